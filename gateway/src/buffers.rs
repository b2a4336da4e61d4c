//! Owns the memory that holds bodies on their way from a cache to a client: buffers of one size, pooled and
//! counted. A body takes its place whole before its first byte is read, so that bodies half read can't hold each
//! other up. Must never hand out more than its bound; who asks beyond that waits, and what it reads waits with it.

use crate::counters::CountGuard;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub const BUFFER_BYTES: usize = 16 * 1024;

pub struct Pool {
    free: RefCell<Vec<Box<[u8]>>>,
    in_use: Cell<usize>,
    max_buffers: usize,
    freed: Event,
    waiters: Rc<Cell<usize>>,
}

impl Pool {
    /// `bytes`: the most that all bodies together may take.
    pub fn new(bytes: usize) -> Rc<Pool> {
        let max_buffers = (bytes / BUFFER_BYTES).max(1);
        Rc::new(Pool {
            free: RefCell::default(),
            in_use: Cell::new(0),
            max_buffers,
            freed: Event::new(),
            waiters: Rc::default(),
        })
    }

    pub fn used_bytes(&self) -> usize {
        self.in_use.get() * BUFFER_BYTES
    }

    /// Somebody waits for room.
    pub fn has_waiters(&self) -> bool {
        self.waiters.get() > 0
    }

    /// Room for a body, as soon as there is some; `None` if it could never fit.
    pub async fn allocate(self: &Rc<Pool>, len: usize) -> Option<Body> {
        let n = len.div_ceil(BUFFER_BYTES);
        if n > self.max_buffers {
            return None;
        }
        while self.in_use.get() + n > self.max_buffers {
            let freed = self.freed.listen();
            if self.in_use.get() + n > self.max_buffers {
                let _waiter = CountGuard::new(&self.waiters);
                freed.await;
            }
        }
        self.in_use.set(self.in_use.get() + n);
        let mut free = self.free.borrow_mut();
        let buffers = (0..n).map(|_| free.pop().unwrap_or_else(|| vec![0; BUFFER_BYTES].into_boxed_slice()));
        Some(Body { buffers: buffers.collect(), len, filled: 0, pool: Rc::clone(self) })
    }
}

/// The bytes of one answer, in order; all of them count only once it is full.
pub struct Body {
    buffers: Vec<Box<[u8]>>,
    len: usize,
    filled: usize,
    pool: Rc<Pool>,
}

impl Body {
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub fn is_full(&self) -> bool {
        self.filled == self.len
    }

    /// Where the next bytes go; empty once the body is full.
    pub fn unfilled(&mut self) -> &mut [u8] {
        if self.is_full() {
            return &mut [];
        }
        let (buffer, from) = (self.filled / BUFFER_BYTES, self.filled % BUFFER_BYTES);
        let to = BUFFER_BYTES.min(from + self.len - self.filled);
        &mut self.buffers[buffer][from..to]
    }

    pub fn advance(&mut self, n: usize) {
        self.filled = (self.filled + n).min(self.len);
    }

    /// Takes what fits of `bytes` and tells how much that was.
    pub fn copy_from(&mut self, bytes: &[u8]) -> usize {
        let mut copied = 0;
        while copied < bytes.len() && !self.is_full() {
            let unfilled = self.unfilled();
            let n = unfilled.len().min(bytes.len() - copied);
            unfilled[..n].copy_from_slice(&bytes[copied..copied + n]);
            self.advance(n);
            copied += n;
        }
        copied
    }

    pub fn chunks(&self) -> impl Iterator<Item = &[u8]> {
        self.buffers
            .iter()
            .enumerate()
            .map(|(i, buffer)| &buffer[..BUFFER_BYTES.min(self.len - i * BUFFER_BYTES)])
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.pool.in_use.set(self.pool.in_use.get() - self.buffers.len());
        self.pool.free.borrow_mut().append(&mut self.buffers);
        self.pool.freed.notify(usize::MAX);
    }
}

//! A bounded pool of fixed-size buffers for bodies on their way from a cache to a client. A body reserves all its buffers
//! before its first byte is read, so that partly read bodies can't deadlock each other.
//!
//! Invariant: no more buffers than the limit are in use; an allocation beyond it waits, which also stops the read from the
//! cache.

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
    /// `bytes`: memory limit for all bodies together.
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

    /// Whether an allocation is waiting for free buffers.
    pub fn has_waiters(&self) -> bool {
        self.waiters.get() > 0
    }

    /// Reserves the buffers for a body, waiting until enough are free; `None` if the body exceeds the pool.
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

/// The body of one response. Its bytes are valid only once it is full.
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

    /// Space for the next bytes; empty once the body is full.
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

    /// Appends as many of `bytes` as fit and returns their number.
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

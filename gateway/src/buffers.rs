//! Owns the memory that holds bodies on their way from a cache to a client: buffers of one size, pooled and
//! counted. A body takes its place whole before its first byte is read, so that bodies half read can't hold each
//! other up. Must never hand out more than its bound; who asks beyond that waits, and what it reads waits with it.

use crate::counters::CountGuard;
use event_listener::Event;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

pub const SIZE: usize = 16 * 1024;

pub struct Pool {
    free: RefCell<Vec<Box<[u8]>>>,
    out: Cell<usize>,
    most: usize,
    freed: Event,
    waiting: Rc<Cell<usize>>,
}

impl Pool {
    /// `bytes`: the most that all bodies together may take.
    pub fn new(bytes: usize) -> Rc<Pool> {
        let most = (bytes / SIZE).max(1);
        Rc::new(Pool {
            free: RefCell::default(),
            out: Cell::new(0),
            most,
            freed: Event::new(),
            waiting: Rc::default(),
        })
    }

    pub fn used(&self) -> usize {
        self.out.get() * SIZE
    }

    /// Somebody waits for room.
    pub fn is_short(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Room for a body, as soon as there is some; `None` if it could never fit.
    pub async fn body(self: &Rc<Pool>, len: usize) -> Option<Body> {
        let n = len.div_ceil(SIZE);
        if n > self.most {
            return None;
        }
        while self.out.get() + n > self.most {
            let freed = self.freed.listen();
            if self.out.get() + n > self.most {
                let _waits = CountGuard::new(&self.waiting);
                freed.await;
            }
        }
        self.out.set(self.out.get() + n);
        let mut free = self.free.borrow_mut();
        let parts = (0..n).map(|_| free.pop().unwrap_or_else(|| vec![0; SIZE].into_boxed_slice()));
        Some(Body { parts: parts.collect(), len, filled: 0, pool: Rc::clone(self) })
    }
}

/// The bytes of one answer, in order; all of them count only once it is full.
pub struct Body {
    parts: Vec<Box<[u8]>>,
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
    pub fn space(&mut self) -> &mut [u8] {
        if self.is_full() {
            return &mut [];
        }
        let (part, from) = (self.filled / SIZE, self.filled % SIZE);
        let to = SIZE.min(from + self.len - self.filled);
        &mut self.parts[part][from..to]
    }

    pub fn advance(&mut self, n: usize) {
        self.filled = (self.filled + n).min(self.len);
    }

    /// Takes what fits of `bytes` and tells how much that was.
    pub fn fill(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && !self.is_full() {
            let space = self.space();
            let n = space.len().min(bytes.len() - taken);
            space[..n].copy_from_slice(&bytes[taken..taken + n]);
            self.advance(n);
            taken += n;
        }
        taken
    }

    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.parts.iter().enumerate().map(|(i, part)| &part[..SIZE.min(self.len - i * SIZE)])
    }
}

impl Drop for Body {
    fn drop(&mut self) {
        self.pool.out.set(self.pool.out.get() - self.parts.len());
        self.pool.free.borrow_mut().append(&mut self.parts);
        self.pool.freed.notify(usize::MAX);
    }
}

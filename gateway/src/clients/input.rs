//! The input of a client connection that is not decoded yet, within a memory budget that all connections share.
//!
//! Invariants: a connection without a reservation buffers at most `UNRESERVED_BYTES`; one with a reservation buffers at
//! most one frame. No memory is kept for a connection that has nothing to decode.

use super::message_timer::MessageTimer;
use crate::memory::{Budget, Reservation};
use crate::rpc::MAX_FRAME_BYTES;
use kelpcart::Time;
use std::io::{self, Read};
use std::net::TcpStream;
use std::rc::Rc;

/// Input that a connection may buffer without a reservation: more than most requests without a body take.
const UNRESERVED_BYTES: usize = 2 * 1024;
/// Most bytes that are read at once.
pub const READ_CHUNK_BYTES: usize = 16 * 1024;

pub struct Input {
    buffer: Vec<u8>,
    /// How long the rest of a message is waited for.
    pub timer: MessageTimer,
    budget: Rc<Budget>,
    reservation: Option<Reservation>,
}

impl Input {
    pub fn new(budget: &Rc<Budget>, now: Time) -> Input {
        let timer = MessageTimer::start(now);
        Input { buffer: Vec::new(), timer, budget: Rc::clone(budget), reservation: None }
    }

    /// The bytes that are not decoded yet.
    pub fn bytes(&self) -> &[u8] {
        &self.buffer
    }

    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether this connection holds memory that others may wait for.
    pub fn is_reserved(&self) -> bool {
        self.reservation.is_some()
    }

    /// Makes room for the next bytes; `false` if that needs a reservation and there is none at present.
    pub fn make_room(&mut self) -> bool {
        if self.buffer.len() < UNRESERVED_BYTES || self.is_reserved() {
            return true;
        }
        self.reservation = self.budget.reserve(MAX_FRAME_BYTES);
        self.is_reserved()
    }

    /// Reads once without blocking, by way of `scratch`. `Ok(0)` is the end of the stream.
    pub fn receive(&mut self, mut stream: &TcpStream, scratch: &mut [u8]) -> io::Result<usize> {
        let capacity = if self.is_reserved() { MAX_FRAME_BYTES } else { UNRESERVED_BYTES };
        let room = (capacity - self.buffer.len()).min(scratch.len());
        let received = stream.read(&mut scratch[..room])?;
        if self.is_reserved() {
            // Growth by doubling could take twice the reservation.
            self.buffer.reserve_exact(MAX_FRAME_BYTES - self.buffer.len());
        }
        self.buffer.extend_from_slice(&scratch[..received]);
        Ok(received)
    }

    /// Removes decoded bytes, and gives back what is no longer needed.
    pub fn consume(&mut self, used: usize) {
        self.buffer.drain(..used);
        if self.buffer.len() < UNRESERVED_BYTES && self.buffer.capacity() > UNRESERVED_BYTES {
            self.buffer.shrink_to(UNRESERVED_BYTES);
        }
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
        if self.buffer.len() < UNRESERVED_BYTES {
            self.reservation = None;
        }
    }
}

//! Reassembles events other than purges from their pieces and keeps them until their turn.
//!
//! Invariant: an incomplete event is never delivered; at its limits it accepts no more, and the sequence number remains
//! a gap.

use crate::positions::Positions;
use crate::settings::MAX_STREAMS;
use crate::wire::{MAX_LINE_BYTES, Piece};
use kelpcart::Time;
use std::collections::BTreeMap;

pub const MAX_BYTES: usize = 4 * 1024 * 1024;
pub const MAX_LINES: usize = 2_048;

struct Partial {
    bytes: Vec<u8>,
    /// Received bytes, counted from 1.
    received: Positions,
    last_piece_at: Time,
}

#[derive(Default)]
pub struct Reassembler {
    partial: BTreeMap<(usize, u64), Partial>,
    complete: BTreeMap<(usize, u64), Vec<u8>>,
    bytes: usize,
    pub dropped: u64,
}

impl Reassembler {
    /// Adds a piece. `needed`: delivery is blocked on this event, so the limits do not apply.
    pub fn add_piece(&mut self, now: Time, p: &Piece, needed: bool) {
        let key = (p.stream as usize, p.seq);
        if self.complete.contains_key(&key) {
            return;
        }
        if self.partial.get(&key).is_some_and(|o| o.bytes.len() != p.total_len as usize) {
            self.drop_partial(key);
        }
        if !self.partial.contains_key(&key) {
            while !needed && !self.has_room(p.total_len as usize) {
                // The furthest event is evicted in favour of a nearer one.
                match self.partial.keys().next_back().copied().filter(|last| *last > key) {
                    Some(last) => {
                        self.dropped += 1;
                        self.drop_partial(last);
                    }
                    None => {
                        self.dropped += 1;
                        return;
                    }
                }
            }
            self.bytes += p.total_len as usize;
            let partial = Partial {
                bytes: vec![0; p.total_len as usize],
                received: Positions::default(),
                last_piece_at: now,
            };
            self.partial.insert(key, partial);
        }
        let Some(partial) = self.partial.get_mut(&key) else { return };
        let from = p.offset as usize;
        partial.bytes[from..from + p.bytes.len()].copy_from_slice(&p.bytes);
        partial.received.add(from as u64 + 1, (from + p.bytes.len()) as u64);
        partial.last_piece_at = now;
        if partial.received.position() == u64::from(p.total_len)
            && let Some(partial) = self.partial.remove(&key)
        {
            self.complete.insert(key, partial.bytes);
        }
    }

    fn has_room(&self, more: usize) -> bool {
        self.bytes + more <= MAX_BYTES && self.partial.len() + self.complete.len() < MAX_LINES
    }

    fn drop_partial(&mut self, key: (usize, u64)) {
        if let Some(partial) = self.partial.remove(&key) {
            self.bytes -= partial.bytes.len();
        }
    }

    pub fn is_complete(&self, stream: usize, seq: u64) -> bool {
        self.complete.contains_key(&(stream, seq))
    }

    /// The first missing byte of an incomplete event, and when its last piece arrived.
    pub fn first_missing(&self, stream: usize, seq: u64) -> Option<(u32, Time)> {
        self.partial.get(&(stream, seq)).map(|o| (o.received.position() as u32, o.last_piece_at))
    }

    /// Incomplete events, newest first: sequence number, first missing byte, and when the last piece arrived.
    pub fn partials(&self, stream: usize, first: u64, last: u64) -> impl Iterator<Item = (u64, u32, Time)> {
        let all = self.partial.range((stream, first)..=(stream, last.max(first))).rev();
        all.map(|((_, seq), o)| (*seq, o.received.position() as u32, o.last_piece_at))
    }

    /// Removes and returns the complete events up to a sequence number, in order; incomplete ones up to it are dropped.
    pub fn take_through(&mut self, stream: usize, to: u64) -> Vec<(u64, Vec<u8>)> {
        let keys: Vec<u64> =
            self.partial.range((stream, 0)..=(stream, to)).map(|((_, seq), _)| *seq).collect();
        keys.into_iter().for_each(|seq| self.drop_partial((stream, seq)));
        let keys: Vec<u64> =
            self.complete.range((stream, 0)..=(stream, to)).map(|((_, seq), _)| *seq).collect();
        let one = |seq| self.complete.remove(&(stream, seq)).map(|line| (seq, line));
        let all: Vec<(u64, Vec<u8>)> = keys.into_iter().filter_map(one).collect();
        self.bytes -= all.iter().map(|(_, line)| line.len()).sum::<usize>();
        all
    }

    /// Complete events after one sequence number up to another; they are kept.
    pub fn complete_between(
        &self,
        stream: usize,
        after: u64,
        to: u64,
    ) -> impl Iterator<Item = (u64, &Vec<u8>)> {
        self.complete
            .range((stream, after + 1)..=(stream, to.max(after + 1)))
            .map(|((_, seq), line)| (*seq, line))
            .filter(move |(seq, _)| *seq <= to)
    }

    pub fn len(&self) -> usize {
        self.partial.len() + self.complete.len()
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        let partial: usize = self.partial.values().map(|o| o.bytes.len()).sum();
        let sum = partial + self.complete.values().map(Vec::len).sum::<usize>();
        // Each stream may exceed the limit by one event on which delivery is blocked.
        let max_bytes = MAX_BYTES + MAX_STREAMS * MAX_LINE_BYTES;
        let within_limits = sum == self.bytes && sum <= max_bytes && self.len() <= MAX_LINES + MAX_STREAMS;
        if within_limits { Ok(()) } else { Err(format!("{} events of {sum} bytes buffered", self.len())) }
    }
}

//! Events that are no purges, put together from their pieces and kept until their turn comes. Must never give one out
//! that is not whole; at its bounds it takes no more, so that its number stays a gap.

use crate::positions::Positions;
use crate::settings::MOST_STREAMS;
use crate::wire::{MOST_LINE, Piece};
use kelpcart::Time;
use std::collections::BTreeMap;

pub const MOST_BYTES: usize = 4 * 1024 * 1024;
pub const MOST_LINES: usize = 2_048;

struct Open {
    bytes: Vec<u8>,
    /// Bytes that have come, counted from 1.
    got: Positions,
    at: Time,
}

#[derive(Default)]
pub struct Lines {
    open: BTreeMap<(usize, u64), Open>,
    whole: BTreeMap<(usize, u64), Vec<u8>>,
    bytes: usize,
    pub dropped: u64,
}

impl Lines {
    /// Takes a piece; `needed`: nothing goes on without it, so that bounds don't hold it off.
    pub fn piece(&mut self, now: Time, p: &Piece, needed: bool) {
        let key = (p.stream as usize, p.no);
        if self.whole.contains_key(&key) {
            return;
        }
        if self.open.get(&key).is_some_and(|o| o.bytes.len() != p.of as usize) {
            self.drop_open(key);
        }
        if !self.open.contains_key(&key) {
            while !needed && !self.has_room(p.of as usize) {
                // The furthest one gives way to a nearer one.
                match self.open.keys().next_back().copied().filter(|last| *last > key) {
                    Some(last) => {
                        self.dropped += 1;
                        self.drop_open(last);
                    }
                    None => {
                        self.dropped += 1;
                        return;
                    }
                }
            }
            self.bytes += p.of as usize;
            let open = Open { bytes: vec![0; p.of as usize], got: Positions::default(), at: now };
            self.open.insert(key, open);
        }
        let Some(open) = self.open.get_mut(&key) else { return };
        let from = p.offset as usize;
        open.bytes[from..from + p.bytes.len()].copy_from_slice(&p.bytes);
        open.got.add(from as u64 + 1, (from + p.bytes.len()) as u64);
        open.at = now;
        if open.got.position() == u64::from(p.of)
            && let Some(open) = self.open.remove(&key)
        {
            self.whole.insert(key, open.bytes);
        }
    }

    fn has_room(&self, more: usize) -> bool {
        self.bytes + more <= MOST_BYTES && self.open.len() + self.whole.len() < MOST_LINES
    }

    fn drop_open(&mut self, key: (usize, u64)) {
        if let Some(open) = self.open.remove(&key) {
            self.bytes -= open.bytes.len();
        }
    }

    pub fn is_whole(&self, stream: usize, no: u64) -> bool {
        self.whole.contains_key(&(stream, no))
    }

    /// The first byte that is missing of one that has begun, and when the last piece came.
    pub fn lacks(&self, stream: usize, no: u64) -> Option<(u32, Time)> {
        self.open.get(&(stream, no)).map(|o| (o.got.position() as u32, o.at))
    }

    /// Of those that have begun, the newest first: number, the first byte that is missing, and when the last piece came.
    pub fn begun(&self, stream: usize, first: u64, last: u64) -> impl Iterator<Item = (u64, u32, Time)> {
        let all = self.open.range((stream, first)..=(stream, last.max(first))).rev();
        all.map(|((_, no), o)| (*no, o.got.position() as u32, o.at))
    }

    /// Those up to a number, in order; they are not kept any more, nor is what has begun of others.
    pub fn take(&mut self, stream: usize, to: u64) -> Vec<(u64, Vec<u8>)> {
        let keys: Vec<u64> = self.open.range((stream, 0)..=(stream, to)).map(|((_, no), _)| *no).collect();
        keys.into_iter().for_each(|no| self.drop_open((stream, no)));
        let keys: Vec<u64> = self.whole.range((stream, 0)..=(stream, to)).map(|((_, no), _)| *no).collect();
        let one = |no| self.whole.remove(&(stream, no)).map(|line| (no, line));
        let all: Vec<(u64, Vec<u8>)> = keys.into_iter().filter_map(one).collect();
        self.bytes -= all.iter().map(|(_, line)| line.len()).sum::<usize>();
        all
    }

    /// Those behind one number and up to another, which stay.
    pub fn between(&self, stream: usize, after: u64, to: u64) -> impl Iterator<Item = (u64, &Vec<u8>)> {
        self.whole
            .range((stream, after + 1)..=(stream, to.max(after + 1)))
            .map(|((_, no), line)| (*no, line))
            .filter(move |(no, _)| *no <= to)
    }

    pub fn held(&self) -> usize {
        self.open.len() + self.whole.len()
    }

    pub fn check_rules(&self) -> Result<(), String> {
        let open: usize = self.open.values().map(|o| o.bytes.len()).sum();
        let sum = open + self.whole.values().map(Vec::len).sum::<usize>();
        // Beyond the bound each stream has one that nothing goes on without.
        let most = MOST_BYTES + MOST_STREAMS * MOST_LINE;
        let is = sum == self.bytes && sum <= most && self.held() <= MOST_LINES + MOST_STREAMS;
        if is { Ok(()) } else { Err(format!("{} events of {sum} bytes wait", self.held())) }
    }
}

//! State of each stream at a gateway: what hubs have signed, and what the site's contact has gathered provisionally.
//!
//! Invariant: a position advances only by a hub's bundle, and an event is never delivered before those preceding it.

use crate::Output;
use crate::log::Seen;
use crate::positions::Positions;
use crate::reassembly::Reassembler;
use crate::wire::{Bundle, Range};
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Limit on events delivered from provisional bundles before a hub has sent them.
const MAX_EARLY: usize = 4_096;
/// An incomplete event is not requested within this time after its last piece.
const PIECE_WAIT: Span = Span::from_millis(300);

pub struct Stream {
    /// The position is known, from the configuration or from a first bundle.
    pub started: bool,
    pub signed: Positions,
    /// Everything in `signed`, and what was received provisionally.
    pub provisional: Positions,
    /// Where `provisional` started before a signed position was known.
    provisional_base: u64,
    /// The latest timestamp of a bundle that reaches beyond the position.
    latest_issued_ms: u64,
    /// Gaps up to here were reported as a purge of everything.
    purged_through: u64,
    /// An open gap: since when, and its last sequence number.
    open_gap: Option<(Time, u64)>,
    pub in_touch: u64,
    pub everywhere: u64,
    /// When the list service was known to have no more events than were received, less the transmission delay.
    fresh_at: Option<Time>,
}

pub struct Streams {
    pub all: Vec<Stream>,
    pub signed_lines: Reassembler,
    provisional_lines: Reassembler,
    /// Hashes of the events delivered from provisional bundles, by stream and sequence number.
    delivered_early: BTreeMap<(usize, u64), u64>,
    pub seen: Seen,
    /// Provisional bundles were applied since the last live bundle of a hub.
    has_provisional: bool,
    pub outputs: Vec<Output>,
    pub gaps_purged: u64,
    pub purges: u64,
    pub lines: u64,
}

impl Streams {
    pub fn new(known: impl Iterator<Item = u64>) -> Streams {
        let one = |known: u64| Stream {
            started: known > 0,
            signed: Positions::new(known),
            provisional: Positions::new(known),
            provisional_base: 0,
            latest_issued_ms: 0,
            purged_through: known,
            open_gap: None,
            in_touch: 0,
            everywhere: 0,
            fresh_at: None,
        };
        Streams {
            all: known.map(one).collect(),
            signed_lines: Reassembler::default(),
            provisional_lines: Reassembler::default(),
            delivered_early: BTreeMap::new(),
            seen: Seen::default(),
            has_provisional: false,
            outputs: Vec::new(),
            gaps_purged: 0,
            purges: 0,
            lines: 0,
        }
    }

    pub fn staleness(&self, now: Time, stream: usize) -> Option<Span> {
        self.all.get(stream)?.fresh_at.map(|at| now - at)
    }

    fn emit_purge(&mut self, body: &Bundle, names: Option<PrefixSet>) {
        if let Some(names) = names {
            let stream = body.ranges().find(|(_, first, last)| first <= last).map_or(0, |(s, _, _)| s);
            self.purges += 1;
            self.outputs.push(Output::Purge { stream, names, issued_ms: body.issued_ms });
        }
    }

    /// The sub-ranges of a bundle's range, without events that are incomplete here.
    fn complete_ranges(
        body: &Bundle,
        lines: &Reassembler,
        s: usize,
        first: u64,
        last: u64,
    ) -> Vec<(u64, u64)> {
        let in_range = |p: &&crate::wire::Piece| p.stream as usize == s && (first..=last).contains(&p.seq);
        let open: BTreeSet<u64> = body
            .pieces
            .iter()
            .filter(in_range)
            .map(|p| p.seq)
            .filter(|seq| !lines.is_complete(s, *seq))
            .collect();
        let (mut from, mut all) = (first, Vec::new());
        for seq in open {
            all.push((from, seq - 1));
            from = seq + 1;
        }
        all.push((from, last));
        all.retain(|(a, b)| a <= b);
        all
    }

    /// Applies a hub's bundle. Returns the streams whose position it initialised, with that position.
    pub fn apply_signed(
        &mut self,
        now: Time,
        body: &Bundle,
        names: Option<PrefixSet>,
        live: bool,
    ) -> Vec<(usize, u64)> {
        let mut started = Vec::new();
        self.emit_purge(body, names);
        for (s, first, _) in body.ranges() {
            let Some(stream) = self.all.get_mut(s).filter(|t| live && !t.started) else { continue };
            stream.started = true;
            stream.purged_through = stream.purged_through.max(first - 1);
            stream.signed.start_at(first - 1);
            if stream.provisional_base > first - 1 {
                // The provisional range started further on and says nothing about what precedes it.
                stream.provisional = Positions::new(first - 1);
            }
            stream.provisional.start_at(first - 1);
            started.push((s, first - 1));
        }
        for p in &body.pieces {
            let s = p.stream as usize;
            let Some(stream) = self.all.get(s).filter(|t| t.started && p.seq > t.signed.position()) else {
                continue;
            };
            let needed = p.seq == stream.signed.position() + 1;
            self.signed_lines.add_piece(now, p, needed);
            if self.signed_lines.is_complete(s, p.seq) {
                self.all[s].signed.add(p.seq, p.seq);
                self.all[s].provisional.add(p.seq, p.seq);
            } else {
                // The event exists, even if it is not completed.
                self.all[s].signed.observe(p.seq);
                self.all[s].provisional.observe(p.seq);
            }
        }
        for (s, first, last) in body.ranges() {
            let Some(stream) = self.all.get_mut(s).filter(|t| t.started) else { continue };
            if last > stream.signed.position() {
                stream.latest_issued_ms = stream.latest_issued_ms.max(body.latest_issued_ms());
            }
            for (a, b) in Self::complete_ranges(body, &self.signed_lines, s, first, last) {
                stream.signed.add(a, b);
                stream.provisional.add(a, b);
            }
            stream.signed.observe(last);
            stream.provisional.observe(last);
            if let Some(age) = body.ages_10ms.get(s).filter(|_| live) {
                let at = now.saturating_sub(Span::from_millis(u64::from(*age) * 10));
                stream.fresh_at = Some(stream.fresh_at.map_or(at, |f| f.max(at)));
            }
            if let Some(behind) = body.in_touch_lag.get(s) {
                let in_touch = last.saturating_sub(*behind);
                let everywhere = in_touch.saturating_sub(body.everywhere_lag.get(s).copied().unwrap_or(0));
                stream.in_touch = stream.in_touch.max(in_touch);
                stream.everywhere = stream.everywhere.max(everywhere);
            }
            if live && self.has_provisional {
                // Provisional knowledge must not cover events that hubs publish from now on.
                stream.provisional.truncate(last.max(stream.signed.highest_seen()));
            }
        }
        if live {
            self.has_provisional = false;
        }
        self.deliver();
        started
    }

    /// Applies a provisional bundle: its events take effect, but no position advances.
    pub fn apply_provisional(&mut self, now: Time, body: &Bundle, names: Option<PrefixSet>) {
        self.has_provisional = true;
        self.emit_purge(body, names);
        for p in &body.pieces {
            let s = p.stream as usize;
            let Some(stream) = self.all.get_mut(s).filter(|t| p.seq > t.provisional.position()) else {
                continue;
            };
            self.provisional_lines.add_piece(now, p, false);
            if self.provisional_lines.is_complete(s, p.seq) {
                stream.provisional.add(p.seq, p.seq);
            }
        }
        for (s, first, last) in body.ranges() {
            let Some(stream) = self.all.get_mut(s) else { continue };
            if !stream.started && stream.provisional.position() == 0 {
                stream.provisional.start_at(first - 1);
                stream.provisional_base = first - 1;
                stream.purged_through = stream.purged_through.max(first - 1);
            }
            stream.latest_issued_ms = stream.latest_issued_ms.max(body.latest_issued_ms());
            for (a, b) in Self::complete_ranges(body, &self.provisional_lines, s, first, last) {
                stream.provisional.add(a, b);
            }
            stream.provisional.observe(last);
        }
        self.deliver();
    }

    fn emit_line(&mut self, stream: usize, seq: u64, line: Vec<u8>) {
        self.lines += 1;
        self.outputs.push(Output::Line { stream, seq, line });
    }

    fn deliver(&mut self) {
        for s in 0..self.all.len() {
            let (signed, provisional) = (self.all[s].signed.position(), self.all[s].provisional.position());
            for (seq, line) in self.signed_lines.take_through(s, signed) {
                // An event delivered early is delivered again only if the hub's version differs.
                if self.delivered_early.get(&(s, seq)) != Some(&xxh3_64(&line)) {
                    self.emit_line(s, seq, line);
                }
            }
            let done: Vec<(usize, u64)> =
                self.delivered_early.range((s, 0)..=(s, signed)).map(|(key, _)| *key).collect();
            done.iter().for_each(|key| _ = self.delivered_early.remove(key));
            if !self.all[s].started && self.all[s].provisional_base > 0 {
                // A hub may start further back: earlier events would then follow these.
                continue;
            }
            let provisional_lines = self.provisional_lines.take_through(s, provisional);
            if provisional <= signed {
                continue;
            }
            let mut due: BTreeMap<u64, Vec<u8>> =
                provisional_lines.into_iter().filter(|(seq, _)| *seq > signed).collect();
            let signed_later = self
                .signed_lines
                .complete_between(s, signed, provisional)
                .filter(|(seq, _)| !self.delivered_early.contains_key(&(s, *seq)));
            due.extend(signed_later.map(|(seq, line)| (seq, line.clone())));
            for (seq, line) in due {
                if self.delivered_early.len() < MAX_EARLY && !self.delivered_early.contains_key(&(s, seq)) {
                    self.delivered_early.insert((s, seq), xxh3_64(&line));
                    self.emit_line(s, seq, line);
                }
            }
        }
    }

    /// The last sequence number of a range that is neither received nor part of an incomplete event.
    fn last_unknown(&self, s: usize, after: u64, to: u64) -> Option<u64> {
        let open = |seq: u64| {
            self.signed_lines.first_missing(s, seq).is_some()
                || self.provisional_lines.first_missing(s, seq).is_some()
        };
        for (first, last) in self.all[s].provisional.gaps() {
            let (first, mut last) = (first.max(after + 1), last.min(to));
            while last >= first {
                if !open(last) {
                    return Some(last);
                }
                last -= 1;
            }
        }
        None
    }

    /// Reports gaps that outlast the grace period as a purge of everything, each once. Returns when to check again.
    pub fn purge_expired_gaps(&mut self, now: Time, grace: Span) -> Option<Time> {
        let mut next = None;
        for s in 0..self.all.len() {
            let purged_through = self.all[s].purged_through;
            if let Some((since, to)) = self.all[s].open_gap {
                if self.last_unknown(s, purged_through, to).is_none() {
                    self.all[s].open_gap = None;
                } else if now >= since + grace {
                    let own = self.all[s].latest_issued_ms;
                    let any = || self.all.iter().map(|t| t.latest_issued_ms).max().unwrap_or(0);
                    let issued_ms = if own > 0 { own } else { any() };
                    if issued_ms > 0 {
                        self.gaps_purged += 1;
                        self.outputs.push(Output::Purge { stream: s, names: PrefixSet::all(), issued_ms });
                        (self.all[s].purged_through, self.all[s].open_gap) = (to, None);
                    }
                }
            }
            if self.all[s].open_gap.is_none() {
                let to = self.last_unknown(s, self.all[s].purged_through, u64::MAX);
                self.all[s].open_gap = to.map(|to| (now, to));
            }
            if let Some((since, _)) = self.all[s].open_gap {
                let at = (since + grace).max(now + Span::from_millis(10));
                next = Some(next.map_or(at, |n: Time| n.min(at)));
            }
        }
        next
    }

    /// The requests for one gap, newest first. An incomplete event gets its own request from its first missing byte on.
    fn requests_for_gap(&self, now: Time, s: usize, first: u64, mut last: u64) -> Vec<Range> {
        let stream = s as u32;
        let mut all = Vec::new();
        for (seq, offset, at) in self.signed_lines.partials(s, first, last) {
            if seq < last {
                all.push(Range { stream, first: seq + 1, last, offset: 0 });
            }
            if now - at >= PIECE_WAIT {
                all.push(Range { stream, first: seq, last: seq, offset });
            }
            last = seq - 1;
        }
        if first <= last {
            all.push(Range { stream, first, last, offset: 0 });
        }
        all
    }

    /// Missing ranges of signed streams, the newest of each stream first.
    pub fn missing_ranges(&self, now: Time, max: usize) -> Vec<Range> {
        let mut all: Vec<Vec<Range>> = Vec::new();
        for (s, stream) in self.all.iter().enumerate().filter(|(_, t)| t.started) {
            let mine: Vec<Range> = stream
                .signed
                .gaps()
                .flat_map(|(first, last)| self.requests_for_gap(now, s, first, last))
                .take(max)
                .collect();
            if !mine.is_empty() {
                all.push(mine);
            }
        }
        // The newest gap of each stream comes before the second of any.
        let mut outputs = Vec::new();
        for i in 0..max {
            outputs.extend(all.iter().filter_map(|mine| mine.get(i)));
        }
        outputs.truncate(max);
        outputs
    }

    pub fn has_no_gaps(&self) -> bool {
        self.all.iter().all(|t| !t.started || t.signed.gaps().next().is_none())
    }

    pub fn missing_count(&self) -> u64 {
        self.all.iter().filter(|t| t.started).flat_map(|t| t.signed.gaps()).map(|(a, b)| b - a + 1).sum()
    }

    /// Pieces and ranges dropped at a limit; they are gaps again.
    pub fn dropped(&self) -> u64 {
        let ranges = self.all.iter().map(|t| t.signed.forgotten).sum::<u64>();
        ranges + self.signed_lines.dropped + self.provisional_lines.dropped
    }

    pub fn sizes(&self) -> [(&'static str, usize); 4] {
        [
            (
                "feed ranges",
                self.all.iter().map(|t| t.signed.range_count() + t.provisional.range_count()).sum(),
            ),
            ("feed lines", self.signed_lines.len() + self.provisional_lines.len()),
            ("feed early lines", self.delivered_early.len()),
            ("feed bundles seen", self.seen.len()),
        ]
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        for (s, stream) in self.all.iter().enumerate() {
            stream.signed.check_invariants().map_err(|e| format!("stream {s}: {e}"))?;
            stream.provisional.check_invariants().map_err(|e| format!("stream {s}, provisional: {e}"))?;
            if stream.provisional.position() < stream.signed.position() {
                return Err(format!("stream {s}: provisional position is behind the signed one"));
            }
            if stream.everywhere > stream.in_touch {
                return Err(format!("stream {s}: watermark of all sites is above that of sites in touch"));
            }
        }
        self.signed_lines.check_invariants()?;
        self.provisional_lines.check_invariants()?;
        if self.delivered_early.len() > MAX_EARLY {
            return Err(format!("{} events delivered early", self.delivered_early.len()));
        }
        Ok(())
    }
}

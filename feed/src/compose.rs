//! Composes bundles from the events of the list services: live bundles of what is new, and retransmissions of requested
//! ranges.
//!
//! Invariant: a bundle contains every purge of the ranges it names; where space is short, hash prefixes are shortened
//! so that they cover more objects.

use crate::EventError;
use crate::config::SIGNATURE_LEN;
use crate::name_codec;
use crate::positions::MAX_SEQ;
use crate::wire::{Bundle, MAX_BUNDLE_BYTES, MAX_LINE_BYTES, MAX_PIECE_BYTES, Piece, Range};
use kelpcart::hash_prefix::{self, PrefixSet};
use kelpcart::{Span, Time};
use prost::Message;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// Live bundles are cut off before hash prefixes get shorter than this; at that length a full bundle covers 0.8% of all
/// objects.
const MIN_LIVE_BITS: u8 = 17;
/// Prefix length for which retransmissions are sized.
const RETRANSMIT_BITS: u8 = 24;
/// Number of events up to which a backlog is published live after a list service was unreachable; older ones are sent
/// on request.
const MAX_LIVE_BACKLOG: u64 = 20_000;
/// Maximum number of pieces queued for the next bundles.
const MAX_QUEUED_PIECES: usize = 8_192;
/// Limit on the bytes of kept events other than purges, over all streams.
const MAX_KEPT_LINE_BYTES: usize = 16 * 1024 * 1024;
/// Purges have an effect for this long; events that arrived earlier are not recent, whatever their timestamps.
const RECENT_WINDOW: Span = Span::from_millis(30_000);
/// Interval at which positions are recorded.
const MARK_INTERVAL: Span = Span::from_millis(1_000);
/// Maximum number of recorded positions of each stream.
const MAX_MARKS: usize = 40;
/// After this many stale timestamps in a row, older events are not recent either.
const MAX_STALE_IN_ROW: usize = 32;
/// Number of recent bundles whose timestamps are used for a bundle without purges. Not all of them, since one may come
/// from a clock that was far ahead.
const RECENT_BUNDLES: usize = 64;
/// Number of recent events of each stream whose timestamps are used likewise.
const RECENT_EVENTS: usize = 512;
/// Stored in place of a timestamp for an event that is not a purge.
const NOT_A_PURGE: u64 = u64::MAX;

#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// Full-length hashes of the object, of the group, or of both.
    Purge {
        names: [Option<u64>; 2],
        issued_ms: u64,
    },
    Other,
}

fn parse_event(line: &[u8]) -> Result<(u64, Event), EventError> {
    if line.len() > MAX_LINE_BYTES {
        return Err(EventError::TooLarge);
    }
    let value: Value = serde_json::from_slice(line).map_err(|_| EventError::Json)?;
    let seq = value.get("no").and_then(Value::as_u64).ok_or(EventError::Malformed("no sequence number"))?;
    if seq == 0 || seq > MAX_SEQ {
        return Err(EventError::Malformed("sequence number out of range"));
    }
    // Anything that is not certainly a purge is passed on verbatim.
    let purge = || {
        let recall = value.get("recall")?;
        let issued_ms = recall.get("issued")?.as_u64().filter(|i| *i < NOT_A_PURGE)?;
        let item = match recall.get("item") {
            Some(item) => Some(u64::from_str_radix(item.as_str()?, 16).ok()?),
            None => None,
        };
        let lot = match recall.get("lot") {
            Some(lot) => Some(lot.as_u64()?).filter(|l| *l != 0),
            None => None,
        };
        let names = [item.map(hash_prefix::object_hash), lot.map(hash_prefix::group_hash)];
        names.iter().any(Option::is_some).then_some(Event::Purge { names, issued_ms })
    };
    Ok((seq, purge().unwrap_or(Event::Other)))
}

/// The events of one list service.
pub struct Source {
    pub position: u64,
    /// The first event may have a higher sequence number than the one requested.
    accepts_later_start: bool,
    /// Everything up to it has been published in bundles; `None`: nothing yet.
    pub published: Option<u64>,
    /// All events of the list service up to `position` have been received.
    pub caught_up: bool,
    pub fresh_at: Option<Time>,
    /// Sequence number of the front of `events`.
    first_kept: u64,
    /// Hash and timestamp of each event, in sequence.
    events: VecDeque<(u64, u64)>,
    /// The second hash of purges that have two.
    second_names: BTreeMap<u64, u64>,
    lines: BTreeMap<u64, Vec<u8>>,
    /// The latest timestamps: of all events, and of those that are no longer kept.
    latest_issued_ms: u64,
    dropped_issued_ms: u64,
    /// Positions at recent points in time.
    marks: VecDeque<(Time, u64)>,
}

impl Source {
    pub fn new(position: u64, accepts_later_start: bool) -> Source {
        Source {
            position,
            accepts_later_start,
            published: None,
            caught_up: false,
            fresh_at: None,
            first_kept: position + 1,
            events: VecDeque::new(),
            second_names: BTreeMap::new(),
            lines: BTreeMap::new(),
            latest_issued_ms: 0,
            dropped_issued_ms: 0,
            marks: VecDeque::new(),
        }
    }

    /// Starts at this sequence number if it is the first one received: the list service has no older events.
    fn try_start_at(&mut self, seq: u64) -> bool {
        let starts_here = self.accepts_later_start && self.events.is_empty() && seq > self.position;
        if starts_here {
            (self.position, self.first_kept) = (seq - 1, seq);
        }
        starts_here
    }

    /// Records the current position, at intervals.
    fn add_mark(&mut self, now: Time) {
        if self.marks.back().is_none_or(|(at, _)| now - *at >= MARK_INTERVAL) {
            self.marks.push_back((now, self.position));
            if self.marks.len() > MAX_MARKS {
                self.marks.pop_front();
            }
        }
    }

    /// The position at a point in time: all events up to it had arrived by then.
    fn position_at(&self, time: Time) -> u64 {
        self.marks.iter().rev().find(|(at, _)| *at <= time).map_or(0, |(_, position)| *position)
    }

    fn unpublished(&self) -> u64 {
        self.published.map_or(0, |t| self.position.saturating_sub(t))
    }

    fn drop_oldest(&mut self) {
        if let Some((_, issued_ms)) = self.events.pop_front() {
            if issued_ms != NOT_A_PURGE {
                self.dropped_issued_ms = self.dropped_issued_ms.max(issued_ms);
            }
            self.second_names.remove(&self.first_kept);
            self.first_kept += 1;
        }
    }
}

/// Contents of a live bundle besides events.
pub struct LiveHeader {
    pub now: Time,
    /// The watermarks by stream: at sites in touch, and at all sites.
    pub watermarks: Vec<(u64, u64)>,
    pub site_count: u32,
}

pub struct Composer {
    pub sources: Vec<Source>,
    /// Pieces to send: stream, sequence number and offset.
    piece_queue: VecDeque<(usize, u64, u32)>,
    hub_id: u32,
    run_id: u32,
    pub seq: u64,
    max_kept: usize,
    line_bytes: usize,
    piece_len: usize,
    recent_issued_ms: VecDeque<u64>,
    /// The latest timestamps that other hubs have announced.
    pub latest_by_hub: BTreeMap<u32, u64>,
    /// Events dropped although no one else has them.
    pub dropped: u64,
}

/// Upper estimate of the encoded length of this many hashes at this prefix length.
fn estimate_names_len(names: usize, bits: u8) -> usize {
    if names == 0 {
        return 0;
    }
    let n = names as f64;
    let each = (f64::from(bits) - n.log2() + 1.7).max(1.0);
    12 + (n * each / 8.0).ceil() as usize
}

impl Composer {
    pub fn new(hub_id: u32, run_id: u32, positions: &[u64], max_kept: usize) -> Composer {
        // A hub also reads events from before the configured position, for gateways that are behind.
        let before = |p: &u64| if hub_id == 0 { *p } else { p.saturating_sub(max_kept as u64) };
        Composer {
            sources: positions.iter().map(|p| Source::new(before(p), hub_id != 0)).collect(),
            piece_queue: VecDeque::new(),
            hub_id,
            run_id,
            seq: 0,
            max_kept,
            line_bytes: 0,
            // Leaves room for the headers of many streams beside one piece.
            piece_len: MAX_PIECE_BYTES.min(1_010 - 13 * positions.len()),
            recent_issued_ms: VecDeque::new(),
            latest_by_hub: BTreeMap::new(),
            dropped: 0,
        }
    }

    // Input from list services.

    pub fn add_line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), EventError> {
        let line = line.trim_ascii();
        let source = self.sources.get_mut(stream).ok_or(EventError::UnknownStream)?;
        let (seq, event) = parse_event(line)?;
        if seq <= source.position {
            return Ok(());
        }
        if seq != source.position + 1 && !source.try_start_at(seq) {
            return Err(EventError::Gap(seq, source.position));
        }
        source.add_mark(now);
        source.position = seq;
        if source.caught_up {
            source.fresh_at = Some(now);
        }
        match event {
            Event::Purge { names, issued_ms } => {
                let mut names = names.into_iter().flatten();
                source.events.push_back((names.next().unwrap_or(0), issued_ms));
                if let Some(second_names) = names.next() {
                    source.second_names.insert(seq, second_names);
                }
                source.latest_issued_ms = source.latest_issued_ms.max(issued_ms);
            }
            Event::Other => {
                source.events.push_back((0, NOT_A_PURGE));
                source.lines.insert(seq, line.to_vec());
                self.line_bytes += line.len();
            }
        }
        if source.events.len() > self.max_kept {
            source.drop_oldest();
        }
        self.enforce_line_limit();
        Ok(())
    }

    /// Over the limit, the oldest lines are dropped of the stream that has the most.
    fn enforce_line_limit(&mut self) {
        while self.line_bytes > MAX_KEPT_LINE_BYTES {
            let longest = self.sources.iter_mut().max_by_key(|s| s.lines.len());
            let Some((_, line)) = longest.and_then(|s| s.lines.pop_first()) else { break };
            self.line_bytes -= line.len();
            self.dropped += 1;
        }
    }

    /// Restarts a stream after a position; everything after it is published.
    pub fn reset(&mut self, stream: usize, position: u64) {
        let old = std::mem::replace(&mut self.sources[stream], Source::new(position, false));
        self.line_bytes -= old.lines.values().map(Vec::len).sum::<usize>();
        (self.sources[stream].published, self.sources[stream].caught_up) = (Some(position), true);
        self.piece_queue.retain(|(s, _, _)| *s != stream);
    }

    /// Returns `false` if the list service has events that were not received.
    pub fn set_last(&mut self, now: Time, stream: usize, seq: u64) -> bool {
        let Some(source) = self.sources.get_mut(stream) else { return true };
        if seq > source.position && !source.try_start_at(seq + 1) {
            return false;
        }
        source.fresh_at = Some(now);
        source.caught_up = true;
        true
    }

    pub fn begin_period(&mut self) {
        for source in &mut self.sources {
            if source.caught_up && source.published.is_none() {
                source.published = Some(source.position);
            }
            source.published =
                source.published.map(|t| t.max(source.position.saturating_sub(MAX_LIVE_BACKLOG)));
        }
    }

    /// Whether there is anything left to publish.
    pub fn has_more(&self) -> bool {
        !self.piece_queue.is_empty() || self.sources.iter().any(|s| s.unpublished() > 0)
    }

    // Bundles.

    fn piece_at(&self, stream: usize, seq: u64, offset: u32) -> Option<Piece> {
        let line = self.sources[stream].lines.get(&seq)?;
        let from = (offset as usize).min(line.len());
        let to = (from + self.piece_len).min(line.len());
        let bytes = line[from..to].to_vec();
        Some(Piece { stream: stream as u32, seq, offset, total_len: line.len() as u32, bytes })
    }

    fn names_at(&self, stream: usize, seq: u64) -> impl Iterator<Item = u64> {
        let source = &self.sources[stream];
        let first = source.events.get((seq - source.first_kept) as usize).map(|(name, _)| *name);
        first.into_iter().chain(source.second_names.get(&seq).copied())
    }

    /// The timestamp of a purge; `None` if the event is not a purge or not kept.
    fn issued_at(&self, stream: usize, seq: u64) -> Option<u64> {
        let source = &self.sources[stream];
        let (_, issued_ms) = source.events.get(seq.checked_sub(source.first_kept)? as usize)?;
        (*issued_ms != NOT_A_PURGE).then_some(*issued_ms)
    }

    fn new_bundle(&mut self) -> Bundle {
        self.seq += 1;
        let n = self.sources.len();
        let (firsts, counts) = (vec![0; n], vec![0; n]);
        Bundle { hub: self.hub_id, run_id: self.run_id, seq: self.seq, firsts, counts, ..Bundle::default() }
    }

    /// Guards against a gap that is reported as a purge of everything with a timestamp older than what it hides.
    fn set_latest_delta(&self, bundle: &mut Bundle) {
        let latest =
            self.latest_recent_issued_ms().max(self.latest_by_hub.values().copied().max().unwrap_or(0));
        bundle.latest_delta_ms = latest.saturating_sub(bundle.issued_ms);
    }

    fn encode_names(&mut self, bundle: &mut Bundle, all: &[u64]) {
        self.set_latest_delta(bundle);
        if !all.is_empty() {
            let room = (MAX_BUNDLE_BYTES - SIGNATURE_LEN).saturating_sub(bundle.encoded_len() + 3);
            let (_, encoded) = name_codec::encode_within(all, room);
            // Not expected, given the room that `estimate_names_len` reserves; purging too much is safer than too
            // little.
            bundle.names = if encoded.len() > room { name_codec::encode(&PrefixSet::all()) } else { encoded };
        }
    }

    /// The latest recent timestamp, including events that were never published here: a gap revealed by a bundle may
    /// hide them.
    fn latest_recent_issued_ms(&self) -> u64 {
        let kept = self
            .sources
            .iter()
            .flat_map(|s| s.events.iter().rev().take(RECENT_EVENTS).map(|(_, issued_ms)| *issued_ms));
        kept.filter(|i| *i != NOT_A_PURGE).chain(self.recent_issued_ms.iter().copied()).max().unwrap_or(0)
    }

    /// The next bundle of unpublished events.
    pub fn live_bundle(&mut self, header: &LiveHeader) -> Bundle {
        let mut bundle = self.new_bundle();
        let room = MAX_BUNDLE_BYTES - SIGNATURE_LEN;
        let n = self.sources.len();
        for (s, source) in self.sources.iter().enumerate() {
            if let Some(published) = source.published {
                bundle.firsts[s] = published + 1;
            }
            // Placeholder of the maximum encoded length.
            bundle.counts[s] = 1_000;
            let age = source.fresh_at.map_or(Span::from_millis(600_000), |at| header.now - at);
            bundle.ages_10ms.push((age.as_micros().div_ceil(10_000)).min(60_000) as u32);
        }
        if !header.watermarks.is_empty() {
            bundle.in_touch_lag = vec![1_000; n];
            bundle.everywhere_lag = vec![1_000; n];
        }
        (bundle.issued_ms, bundle.site_count, bundle.wants_report) =
            (u64::MAX >> 20, header.site_count, true);
        bundle.latest_delta_ms = u64::MAX >> 20;
        let mut length = bundle.encoded_len() + 8;
        let (mut all, mut issued_ms) = (Vec::new(), 0);
        bundle.counts.fill(0);
        let unpublished = self.sources.iter().map(Source::unpublished).sum::<u64>().min(100) as usize;
        while let Some((s, seq, offset)) = self.piece_queue.front().copied() {
            let Some(piece) = self.piece_at(s, seq, offset) else {
                self.piece_queue.pop_front();
                continue;
            };
            let more = piece.encoded_len() + 3;
            if length + more + estimate_names_len(unpublished, MIN_LIVE_BITS) > room {
                break;
            }
            length += more;
            bundle.pieces.push(piece);
            self.piece_queue.pop_front();
        }
        for i in 0..n {
            // Rotates the first stream, so that a large event finds room eventually.
            let s = (i + self.seq as usize) % n;
            let Some(published) = self.sources[s].published else { continue };
            for seq in published + 1..=self.sources[s].position {
                match self.issued_at(s, seq) {
                    Some(stamp_ms) => {
                        let names: Vec<u64> = self.names_at(s, seq).collect();
                        if length + estimate_names_len(all.len() + names.len(), MIN_LIVE_BITS) > room {
                            break;
                        }
                        all.extend(names);
                        issued_ms = issued_ms.max(stamp_ms);
                    }
                    None => {
                        if let Some(piece) = self.piece_at(s, seq, 0) {
                            let more = piece.encoded_len() + 3;
                            let rest = (piece.total_len as usize).div_ceil(self.piece_len) - 1;
                            let fits = length + more + estimate_names_len(all.len(), MIN_LIVE_BITS) <= room;
                            if !fits || self.piece_queue.len() + rest > MAX_QUEUED_PIECES {
                                break;
                            }
                            length += more;
                            bundle.pieces.push(piece);
                            let step = self.piece_len;
                            self.piece_queue.extend((1..=rest).map(|i| (s, seq, (i * step) as u32)));
                        }
                    }
                }
                bundle.counts[s] += 1;
            }
            self.sources[s].published = Some(published + bundle.counts[s]);
        }
        if all.is_empty() {
            bundle.issued_ms = self.latest_recent_issued_ms();
        } else {
            bundle.issued_ms = issued_ms;
            self.recent_issued_ms.push_back(issued_ms);
            if self.recent_issued_ms.len() > RECENT_BUNDLES {
                self.recent_issued_ms.pop_front();
            }
        }
        for (s, (in_touch, everywhere)) in header.watermarks.iter().enumerate() {
            let last = (bundle.firsts[s] + bundle.counts[s]).saturating_sub(1);
            let in_touch = last.min(*in_touch);
            bundle.in_touch_lag[s] = last - in_touch;
            bundle.everywhere_lag[s] = in_touch.saturating_sub(*everywhere);
        }
        if bundle.everywhere_lag.iter().all(|a| *a == 0) {
            bundle.everywhere_lag.clear();
        }
        // `wants_report` was included in the length; the caller sets it once it knows whether more follows.
        self.encode_names(&mut bundle, &all);
        bundle.wants_report = false;
        bundle
    }

    /// Builds a retransmission of the requested ranges, as much as fits from their newest ends; `None` if nothing is
    /// available.
    pub fn retransmission(&mut self, now: Time, ranges: &[Range], recent_only: bool) -> Option<Bundle> {
        let mut wanted: Vec<(usize, u64, u64, u32)> = Vec::new();
        for r in ranges {
            let s = r.stream as usize;
            let Some(source) = self.sources.get(s) else { continue };
            let last = r.last.min(source.position);
            // One range per stream, the first one named.
            if r.first <= last && wanted.iter().all(|w| w.0 != s) {
                wanted.push((s, r.first, last, r.offset));
            }
        }
        // A purge has no pieces, whatever the offset in the request.
        let is_other = |w: &&(usize, u64, u64, u32)| w.3 > 0 && self.issued_at(w.0, w.1).is_none();
        if let Some((s, seq, _, offset)) = wanted.iter().find(is_other).copied() {
            return self.retransmit_piece(s, seq, offset);
        }
        if let Some(dropped_range) = wanted.iter().copied().find(|w| w.2 < self.sources[w.0].first_kept) {
            wanted.retain(|w| w.2 >= self.sources[w.0].first_kept);
            if wanted.is_empty() {
                return if recent_only {
                    None
                } else {
                    self.purge_dropped_range(dropped_range.0, dropped_range.1, dropped_range.2)
                };
            }
        }
        let mut bundle = self.new_bundle();
        (bundle.issued_ms, bundle.latest_delta_ms) = (u64::MAX >> 20, u64::MAX >> 20);
        bundle.firsts.fill(MAX_SEQ >> 8);
        bundle.counts.fill(1_000);
        let mut length = bundle.encoded_len() + 8;
        bundle.firsts.fill(0);
        bundle.counts.fill(0);
        let room = MAX_BUNDLE_BYTES - SIGNATURE_LEN;
        let (mut all, mut issued_ms) = (Vec::new(), 0);
        wanted.sort_by_key(|(_, first, last, _)| last - first);
        // Recent events are requested for all streams at once; the rotation gives each stream its turn.
        let turn = if recent_only { self.seq as usize % wanted.len().max(1) } else { 0 };
        wanted.rotate_left(turn);
        let max_names = (1..)
            .step_by(8)
            .take_while(|n| length + estimate_names_len(*n, RETRANSMIT_BITS) <= room)
            .last()
            .unwrap_or(1);
        for (i, (s, first, last, _)) in wanted.iter().copied().enumerate() {
            let quota = max_names.saturating_sub(all.len()) / (wanted.len() - i);
            let oldest = first.max(self.sources[s].first_kept);
            let before =
                if recent_only { self.sources[s].position_at(now.saturating_sub(RECENT_WINDOW)) } else { 0 };
            let (mut low, mut taken) = (last + 1, 0);
            // A hub that has just restarted does not know when events arrived. Timestamps are used then, but not those
            // of a few outliers.
            let stale_before_ms = if recent_only {
                self.median_issued_ms(s).saturating_sub(RECENT_WINDOW.as_micros() / 1_000)
            } else {
                0
            };
            let (mut stale_in_row, mut has_recent) = (0, !recent_only);
            let checkpoint = (length, all.len(), bundle.pieces.len(), issued_ms);
            while low > oldest.max(before + 1) && taken < quota && stale_in_row < MAX_STALE_IN_ROW {
                let seq = low - 1;
                match self.issued_at(s, seq) {
                    Some(stamp_ms) => {
                        stale_in_row = if stamp_ms < stale_before_ms { stale_in_row + 1 } else { 0 };
                        has_recent |= stamp_ms >= stale_before_ms;
                        let names: Vec<u64> = self.names_at(s, seq).collect();
                        if length + estimate_names_len(all.len() + names.len(), RETRANSMIT_BITS) > room {
                            break;
                        }
                        taken += names.len();
                        all.extend(names);
                        issued_ms = issued_ms.max(stamp_ms);
                    }
                    None => {
                        if let Some(piece) = self.piece_at(s, seq, 0) {
                            let more = piece.encoded_len() + 3;
                            if length + more + estimate_names_len(all.len().max(16), RETRANSMIT_BITS) > room {
                                // Purges may lie below large events; those are sent separately.
                                has_recent |= stale_in_row == 0;
                                break;
                            }
                            length += more;
                            bundle.pieces.push(piece);
                        }
                        taken += 1;
                    }
                }
                low = seq;
            }
            if !has_recent {
                (length, issued_ms) = (checkpoint.0, checkpoint.3);
                all.truncate(checkpoint.1);
                bundle.pieces.truncate(checkpoint.2);
            } else if low <= last {
                (bundle.firsts[s], bundle.counts[s]) = (low, last + 1 - low);
            }
        }
        if bundle.counts.iter().all(|c| *c == 0) {
            return None;
        }
        bundle.issued_ms = issued_ms;
        self.encode_names(&mut bundle, &all);
        Some(bundle)
    }

    /// The median of the latest timestamps, since only few clocks are far ahead.
    fn median_issued_ms(&self, s: usize) -> u64 {
        let kept = self.sources[s].events.iter().rev().map(|(_, issued_ms)| *issued_ms);
        let mut latest: Vec<u64> = kept.take(RECENT_EVENTS).filter(|i| *i != NOT_A_PURGE).take(31).collect();
        latest.sort_unstable();
        latest.get(latest.len() / 2).copied().unwrap_or(0)
    }

    fn retransmit_piece(&mut self, s: usize, seq: u64, offset: u32) -> Option<Bundle> {
        let source = &self.sources[s];
        let (is_kept, was_kept) = (source.lines.contains_key(&seq), seq >= source.first_kept);
        if !is_kept && !was_kept {
            return self.purge_dropped_range(s, seq, seq);
        }
        // Guards against a signed range without its event: only an event that was dropped is skipped.
        let piece = self.piece_at(s, seq, offset).filter(|p| !p.bytes.is_empty());
        if is_kept && piece.is_none() {
            return None;
        }
        let mut bundle = self.new_bundle();
        match piece {
            Some(piece) => bundle.pieces.push(piece),
            None => (bundle.firsts[s], bundle.counts[s]) = (seq, 1),
        }
        self.set_latest_delta(&mut bundle);
        Some(bundle)
    }

    /// Covers a range that is no longer kept by a purge of everything, with the other events of the range that are
    /// still available.
    fn purge_dropped_range(&mut self, s: usize, first: u64, last: u64) -> Option<Bundle> {
        let source = &self.sources[s];
        let issued_ms =
            if source.dropped_issued_ms > 0 { source.dropped_issued_ms } else { source.latest_issued_ms };
        if issued_ms == 0 {
            return None;
        }
        let mut bundle = self.new_bundle();
        (bundle.firsts[s], bundle.counts[s], bundle.issued_ms) = (first, last + 1 - first, issued_ms);
        bundle.names = name_codec::encode(&PrefixSet::all());
        self.set_latest_delta(&mut bundle);
        let mut length = bundle.encoded_len() + 8;
        let others: Vec<u64> = self.sources[s].lines.range(first..=last).map(|(seq, _)| *seq).rev().collect();
        for seq in others {
            let Some(piece) = self.piece_at(s, seq, 0) else { continue };
            length += piece.encoded_len() + 3;
            if length > MAX_BUNDLE_BYTES - SIGNATURE_LEN {
                // The range starts after it; the rest will be requested again.
                (bundle.firsts[s], bundle.counts[s]) = (seq + 1, last - seq);
                break;
            }
            bundle.pieces.push(piece);
        }
        (bundle.counts[s] > 0).then_some(bundle)
    }

    pub fn event_count(&self) -> usize {
        self.sources.iter().map(|s| s.events.len()).sum()
    }

    pub fn line_count(&self) -> usize {
        self.sources.iter().map(|s| s.lines.len()).sum()
    }

    pub fn queued_pieces(&self) -> usize {
        self.piece_queue.len()
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        for (s, source) in self.sources.iter().enumerate() {
            if source.events.len() > self.max_kept || source.second_names.len() > source.events.len() {
                return Err(format!("stream {s} keeps {} events", source.events.len()));
            }
            if source.first_kept + source.events.len() as u64 != source.position + 1 {
                return Err(format!("stream {s} does not keep the events up to {}", source.position));
            }
        }
        let bytes: usize = self.sources.iter().flat_map(|s| s.lines.values()).map(Vec::len).sum();
        if bytes != self.line_bytes
            || bytes > MAX_KEPT_LINE_BYTES + MAX_LINE_BYTES
            || self.piece_queue.len() > MAX_QUEUED_PIECES
        {
            return Err(format!("{bytes} bytes of events, {} pieces queued", self.piece_queue.len()));
        }
        Ok(())
    }
}

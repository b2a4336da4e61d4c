//! Events of the list services as bundles: what has come since the last one, and ranges for those who were away. Must
//! never leave a purge out of a range that it names; where names are short of room they cover more.

use crate::Unusable;
use crate::code;
use crate::common::SIGNATURE;
use crate::positions::MOST_NO;
use crate::wire::{Bundle, MOST_BUNDLE, MOST_LINE, PIECE, Piece, Range};
use kelpcart::hash_prefix::{self, PrefixSet};
use kelpcart::{Span, Time};
use prost::Message;
use serde_json::Value;
use std::collections::{BTreeMap, VecDeque};

/// A bundle ends sooner rather than that its names get shorter than this: 0.8% of all objects, at the fullest.
const LIVE_BITS: u8 = 17;
/// Names for those who were away.
const OLD_BITS: u8 = 24;
/// Numbers behind that are told live after a list service was away; who needs older ones asks for them.
const BACKLOG: u64 = 20_000;
/// Pieces that wait for the next bundles, and the bytes of all events that are kept and no purges.
const MOST_QUEUE: usize = 8_192;
const MOST_LINE_BYTES: usize = 16 * 1024 * 1024;
/// Purges bind for so long; what came before that is no more of late, whatever its stamp. Seconds are marked.
const LATE: Span = Span::from_millis(30_000);
const MARK_EVERY: Span = Span::from_millis(1_000);
const MOST_MARKS: usize = 40;
/// So many stale stamps in a row: what lies before is no more of late.
const MOST_OLD: usize = 32;
/// Bundles of late, and events of each stream, by whose stamps a bundle without purges has its own: not those of all
/// times, since one may come from a clock that was far ahead.
const RECENT: usize = 64;
const STAMPS: usize = 512;
/// In place of a stamp: the event is no purge.
const OTHER: u64 = u64::MAX;

#[derive(Clone, Debug, PartialEq)]
enum Event {
    /// Names at full length, one of them or both.
    Purge {
        names: [Option<u64>; 2],
        issued: u64,
    },
    Other,
}

fn event(line: &[u8]) -> Result<(u64, Event), Unusable> {
    if line.len() > MOST_LINE {
        return Err(Unusable::Large);
    }
    let value: Value = serde_json::from_slice(line).map_err(|_| Unusable::Json)?;
    let no = value.get("no").and_then(Value::as_u64).ok_or(Unusable::Form("no number"))?;
    if no == 0 || no > MOST_NO {
        return Err(Unusable::Form("a number out of bounds"));
    }
    // What isn't known for a purge for sure goes on as it is.
    let purge = || {
        let recall = value.get("recall")?;
        let issued = recall.get("issued")?.as_u64().filter(|i| *i < OTHER)?;
        let item = match recall.get("item") {
            Some(item) => Some(u64::from_str_radix(item.as_str()?, 16).ok()?),
            None => None,
        };
        let lot = match recall.get("lot") {
            Some(lot) => Some(lot.as_u64()?).filter(|l| *l != 0),
            None => None,
        };
        let names = [item.map(hash_prefix::object_hash), lot.map(hash_prefix::group_hash)];
        names.iter().any(Option::is_some).then_some(Event::Purge { names, issued })
    };
    Ok((no, purge().unwrap_or(Event::Other)))
}

/// What one list service has told.
pub struct Source {
    pub position: u64,
    /// It may begin further on than where it was asked from.
    open: bool,
    /// All up to it has been told in bundles; `None`: nothing yet.
    pub told: Option<u64>,
    /// The list service has no more than this.
    pub caught: bool,
    pub fresh: Option<Time>,
    /// Of the front of `kept`.
    first: u64,
    /// Name and stamp by number.
    kept: VecDeque<(u64, u64)>,
    /// The second names of purges that have two.
    second: BTreeMap<u64, u64>,
    lines: BTreeMap<u64, Vec<u8>>,
    /// The latest stamps: of all, and of those that are not kept any more.
    latest: u64,
    gone: u64,
    /// Positions at times of late.
    marks: VecDeque<(Time, u64)>,
}

impl Source {
    pub fn new(position: u64, open: bool) -> Source {
        Source {
            position,
            open,
            told: None,
            caught: false,
            fresh: None,
            first: position + 1,
            kept: VecDeque::new(),
            second: BTreeMap::new(),
            lines: BTreeMap::new(),
            latest: 0,
            gone: 0,
            marks: VecDeque::new(),
        }
    }

    /// The list service has nothing older than this number, which is the first one that it tells here.
    fn begins(&mut self, no: u64) -> bool {
        let is = self.open && self.kept.is_empty() && no > self.position;
        if is {
            (self.position, self.first) = (no - 1, no);
        }
        is
    }

    /// Notes how far it is.
    fn mark(&mut self, now: Time) {
        if self.marks.back().is_none_or(|(at, _)| now - *at >= MARK_EVERY) {
            self.marks.push_back((now, self.position));
            if self.marks.len() > MOST_MARKS {
                self.marks.pop_front();
            }
        }
    }

    /// All up to this number came before a time.
    fn came_before(&self, time: Time) -> u64 {
        self.marks.iter().rev().find(|(at, _)| *at <= time).map_or(0, |(_, position)| *position)
    }

    fn untold(&self) -> u64 {
        self.told.map_or(0, |t| self.position.saturating_sub(t))
    }

    fn forget_front(&mut self) {
        if let Some((_, issued)) = self.kept.pop_front() {
            if issued != OTHER {
                self.gone = self.gone.max(issued);
            }
            self.second.remove(&self.first);
            self.first += 1;
        }
    }
}

/// What is said in a bundle beside events.
pub struct Head {
    pub now: Time,
    /// The watermarks by stream: at sites in touch, and at all.
    pub done: Vec<(u64, u64)>,
    pub sites: u32,
}

pub struct Composer {
    pub sources: Vec<Source>,
    /// Pieces that wait: stream, number and offset.
    queue: VecDeque<(usize, u64, u32)>,
    hub: u32,
    run: u32,
    pub number: u64,
    most_kept: usize,
    line_bytes: usize,
    piece: usize,
    recent: VecDeque<u64>,
    /// The latest stamps that other hubs know of.
    pub heard: BTreeMap<u32, u64>,
    /// Events that were let go of although nobody can have them again.
    pub dropped: u64,
}

/// Bytes that so many names want with so many bits, with some room to spare.
fn wants(names: usize, bits: u8) -> usize {
    if names == 0 {
        return 0;
    }
    let n = names as f64;
    let each = (f64::from(bits) - n.log2() + 1.7).max(1.0);
    12 + (n * each / 8.0).ceil() as usize
}

impl Composer {
    pub fn new(hub: u32, run: u32, positions: &[u64], most_kept: usize) -> Composer {
        // A hub has what was before the configuration, too, for those who were away.
        let before = |p: &u64| if hub == 0 { *p } else { p.saturating_sub(most_kept as u64) };
        Composer {
            sources: positions.iter().map(|p| Source::new(before(p), hub != 0)).collect(),
            queue: VecDeque::new(),
            hub,
            run,
            number: 0,
            most_kept,
            line_bytes: 0,
            // So that the heads of many streams and a piece fit together.
            piece: PIECE.min(1_010 - 13 * positions.len()),
            recent: VecDeque::new(),
            heard: BTreeMap::new(),
            dropped: 0,
        }
    }

    // What a list service tells.

    pub fn line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), Unusable> {
        let line = line.trim_ascii();
        let source = self.sources.get_mut(stream).ok_or(Unusable::Stream)?;
        let (no, event) = event(line)?;
        if no <= source.position {
            return Ok(());
        }
        if no != source.position + 1 && !source.begins(no) {
            return Err(Unusable::Gap(no, source.position));
        }
        source.mark(now);
        source.position = no;
        if source.caught {
            source.fresh = Some(now);
        }
        match event {
            Event::Purge { names, issued } => {
                let mut names = names.into_iter().flatten();
                source.kept.push_back((names.next().unwrap_or(0), issued));
                if let Some(second) = names.next() {
                    source.second.insert(no, second);
                }
                source.latest = source.latest.max(issued);
            }
            Event::Other => {
                source.kept.push_back((0, OTHER));
                source.lines.insert(no, line.to_vec());
                self.line_bytes += line.len();
            }
        }
        if source.kept.len() > self.most_kept {
            source.forget_front();
        }
        self.bound_lines();
        Ok(())
    }

    /// Where all together are too much, the oldest go of the stream that has most.
    fn bound_lines(&mut self) {
        while self.line_bytes > MOST_LINE_BYTES {
            let most = self.sources.iter_mut().max_by_key(|s| s.lines.len());
            let Some((_, line)) = most.and_then(|s| s.lines.pop_first()) else { break };
            self.line_bytes -= line.len();
            self.dropped += 1;
        }
    }

    /// Begins a stream anew behind a number, from which on all is told.
    pub fn reset(&mut self, stream: usize, position: u64) {
        let old = std::mem::replace(&mut self.sources[stream], Source::new(position, false));
        self.line_bytes -= old.lines.values().map(Vec::len).sum::<usize>();
        (self.sources[stream].told, self.sources[stream].caught) = (Some(position), true);
        self.queue.retain(|(s, _, _)| *s != stream);
    }

    /// `false`: the list service has more than it told.
    pub fn last(&mut self, now: Time, stream: usize, no: u64) -> bool {
        let Some(source) = self.sources.get_mut(stream) else { return true };
        if no > source.position && !source.begins(no + 1) {
            return false;
        }
        source.fresh = Some(now);
        source.caught = true;
        true
    }

    pub fn begin_period(&mut self) {
        for source in &mut self.sources {
            if source.caught && source.told.is_none() {
                source.told = Some(source.position);
            }
            source.told = source.told.map(|t| t.max(source.position.saturating_sub(BACKLOG)));
        }
    }

    /// Whether there is something to tell.
    pub fn has_more(&self) -> bool {
        !self.queue.is_empty() || self.sources.iter().any(|s| s.untold() > 0)
    }

    // Bundles.

    fn piece_at(&self, stream: usize, no: u64, offset: u32) -> Option<Piece> {
        let line = self.sources[stream].lines.get(&no)?;
        let from = (offset as usize).min(line.len());
        let to = (from + self.piece).min(line.len());
        let bytes = line[from..to].to_vec();
        Some(Piece { stream: stream as u32, no, offset, of: line.len() as u32, bytes })
    }

    fn names_at(&self, stream: usize, no: u64) -> impl Iterator<Item = u64> {
        let source = &self.sources[stream];
        let first = source.kept.get((no - source.first) as usize).map(|(name, _)| *name);
        first.into_iter().chain(source.second.get(&no).copied())
    }

    /// The stamp of a purge; `None`: it is none, or not kept.
    fn issued_at(&self, stream: usize, no: u64) -> Option<u64> {
        let source = &self.sources[stream];
        let (_, issued) = source.kept.get(no.checked_sub(source.first)? as usize)?;
        (*issued != OTHER).then_some(*issued)
    }

    fn empty(&mut self) -> Bundle {
        self.number += 1;
        let n = self.sources.len();
        let (firsts, counts) = (vec![0; n], vec![0; n]);
        Bundle { hub: self.hub, run: self.run, number: self.number, firsts, counts, ..Bundle::default() }
    }

    /// Guards against a gap that is told as a purge of everything with a stamp of before what it hides.
    fn mark_latest(&self, bundle: &mut Bundle) {
        let latest = self.of_late().max(self.heard.values().copied().max().unwrap_or(0));
        bundle.later = latest.saturating_sub(bundle.issued);
    }

    fn seal_names(&mut self, bundle: &mut Bundle, all: &[u64]) {
        self.mark_latest(bundle);
        if !all.is_empty() {
            let room = (MOST_BUNDLE - SIGNATURE).saturating_sub(bundle.encoded_len() + 3);
            let (_, code) = code::fit(all, room);
            // Can't be with what `wants` has left; too much is purged rather than too little.
            bundle.names = if code.len() > room { code::encode(&PrefixSet::all()) } else { code };
        }
    }

    /// The latest stamp of late, also of what was never told here: a gap that a bundle shows may hide that.
    fn of_late(&self) -> u64 {
        let kept =
            self.sources.iter().flat_map(|s| s.kept.iter().rev().take(STAMPS).map(|(_, issued)| *issued));
        kept.filter(|i| *i != OTHER).chain(self.recent.iter().copied()).max().unwrap_or(0)
    }

    /// The next bundle of what has not been told.
    pub fn live(&mut self, head: &Head) -> Bundle {
        let mut bundle = self.empty();
        let room = MOST_BUNDLE - SIGNATURE;
        let n = self.sources.len();
        for (s, source) in self.sources.iter().enumerate() {
            if let Some(told) = source.told {
                bundle.firsts[s] = told + 1;
            }
            // As long as they may get, for now.
            bundle.counts[s] = 1_000;
            let age = source.fresh.map_or(Span::from_millis(600_000), |at| head.now - at);
            bundle.ages.push((age.as_micros().div_ceil(10_000)).min(60_000) as u32);
        }
        if !head.done.is_empty() {
            bundle.behind = vec![1_000; n];
            bundle.apart = vec![1_000; n];
        }
        (bundle.issued, bundle.sites, bundle.asks) = (u64::MAX >> 20, head.sites, true);
        bundle.later = u64::MAX >> 20;
        let mut length = bundle.encoded_len() + 8;
        let (mut all, mut issued) = (Vec::new(), 0);
        bundle.counts.fill(0);
        let waiting = self.sources.iter().map(Source::untold).sum::<u64>().min(100) as usize;
        while let Some((s, no, offset)) = self.queue.front().copied() {
            let Some(piece) = self.piece_at(s, no, offset) else {
                self.queue.pop_front();
                continue;
            };
            let more = piece.encoded_len() + 3;
            if length + more + wants(waiting, LIVE_BITS) > room {
                break;
            }
            length += more;
            bundle.pieces.push(piece);
            self.queue.pop_front();
        }
        for i in 0..n {
            // Another one is first each time, so that a large event finds room some time.
            let s = (i + self.number as usize) % n;
            let Some(told) = self.sources[s].told else { continue };
            for no in told + 1..=self.sources[s].position {
                match self.issued_at(s, no) {
                    Some(stamp) => {
                        let names: Vec<u64> = self.names_at(s, no).collect();
                        if length + wants(all.len() + names.len(), LIVE_BITS) > room {
                            break;
                        }
                        all.extend(names);
                        issued = issued.max(stamp);
                    }
                    None => {
                        if let Some(piece) = self.piece_at(s, no, 0) {
                            let more = piece.encoded_len() + 3;
                            let rest = (piece.of as usize).div_ceil(self.piece) - 1;
                            let fits = length + more + wants(all.len(), LIVE_BITS) <= room;
                            if !fits || self.queue.len() + rest > MOST_QUEUE {
                                break;
                            }
                            length += more;
                            bundle.pieces.push(piece);
                            let step = self.piece;
                            self.queue.extend((1..=rest).map(|i| (s, no, (i * step) as u32)));
                        }
                    }
                }
                bundle.counts[s] += 1;
            }
            self.sources[s].told = Some(told + bundle.counts[s]);
        }
        if all.is_empty() {
            bundle.issued = self.of_late();
        } else {
            bundle.issued = issued;
            self.recent.push_back(issued);
            if self.recent.len() > RECENT {
                self.recent.pop_front();
            }
        }
        for (s, (in_touch, everywhere)) in head.done.iter().enumerate() {
            let last = (bundle.firsts[s] + bundle.counts[s]).saturating_sub(1);
            let in_touch = last.min(*in_touch);
            bundle.behind[s] = last - in_touch;
            bundle.apart[s] = in_touch.saturating_sub(*everywhere);
        }
        if bundle.apart.iter().all(|a| *a == 0) {
            bundle.apart.clear();
        }
        // With room for its asking, which is decided when it is known whether more follows.
        self.seal_names(&mut bundle, &all);
        bundle.asks = false;
        bundle
    }

    /// What was asked for, as much as fits from its newest end; `None`: it is not here.
    pub fn old(&mut self, now: Time, ranges: &[Range], late: bool) -> Option<Bundle> {
        let mut wanted: Vec<(usize, u64, u64, u32)> = Vec::new();
        for r in ranges {
            let s = r.stream as usize;
            let Some(source) = self.sources.get(s) else { continue };
            let last = r.last.min(source.position);
            // One range a stream, the one that was named first.
            if r.first <= last && wanted.iter().all(|w| w.0 != s) {
                wanted.push((s, r.first, last, r.offset));
            }
        }
        // A purge has no pieces, whatever was asked for.
        let is_other = |w: &&(usize, u64, u64, u32)| w.3 > 0 && self.issued_at(w.0, w.1).is_none();
        if let Some((s, no, _, offset)) = wanted.iter().find(is_other).copied() {
            return self.piece_again(s, no, offset);
        }
        if let Some(gone) = wanted.iter().copied().find(|w| w.2 < self.sources[w.0].first) {
            wanted.retain(|w| w.2 >= self.sources[w.0].first);
            if wanted.is_empty() {
                return if late { None } else { self.gone(gone.0, gone.1, gone.2) };
            }
        }
        let mut bundle = self.empty();
        (bundle.issued, bundle.later) = (u64::MAX >> 20, u64::MAX >> 20);
        bundle.firsts.fill(MOST_NO >> 8);
        bundle.counts.fill(1_000);
        let mut length = bundle.encoded_len() + 8;
        bundle.firsts.fill(0);
        bundle.counts.fill(0);
        let room = MOST_BUNDLE - SIGNATURE;
        let (mut all, mut issued) = (Vec::new(), 0);
        wanted.sort_by_key(|(_, first, last, _)| last - first);
        // What is of late is asked of all streams at once: none keeps the others from their turn.
        let turn = if late { self.number as usize % wanted.len().max(1) } else { 0 };
        wanted.rotate_left(turn);
        let most = (1..).step_by(8).take_while(|n| length + wants(*n, OLD_BITS) <= room).last().unwrap_or(1);
        for (i, (s, first, last, _)) in wanted.iter().copied().enumerate() {
            let quota = most.saturating_sub(all.len()) / (wanted.len() - i);
            let oldest = first.max(self.sources[s].first);
            let before = if late { self.sources[s].came_before(now.saturating_sub(LATE)) } else { 0 };
            let (mut low, mut taken) = (last + 1, 0);
            // A hub that has read all anew does not know when it came: there stamps tell, but not those of a few.
            let stale = if late { self.usual_stamp(s).saturating_sub(LATE.as_micros() / 1_000) } else { 0 };
            let (mut old, mut of_late) = (0, !late);
            let begun = (length, all.len(), bundle.pieces.len(), issued);
            while low > oldest.max(before + 1) && taken < quota && old < MOST_OLD {
                let no = low - 1;
                match self.issued_at(s, no) {
                    Some(stamp) => {
                        old = if stamp < stale { old + 1 } else { 0 };
                        of_late |= stamp >= stale;
                        let names: Vec<u64> = self.names_at(s, no).collect();
                        if length + wants(all.len() + names.len(), OLD_BITS) > room {
                            break;
                        }
                        taken += names.len();
                        all.extend(names);
                        issued = issued.max(stamp);
                    }
                    None => {
                        if let Some(piece) = self.piece_at(s, no, 0) {
                            let more = piece.encoded_len() + 3;
                            if length + more + wants(all.len().max(16), OLD_BITS) > room {
                                // Purges may lie behind large events: those go on their own.
                                of_late |= old == 0;
                                break;
                            }
                            length += more;
                            bundle.pieces.push(piece);
                        }
                        taken += 1;
                    }
                }
                low = no;
            }
            if !of_late {
                (length, issued) = (begun.0, begun.3);
                all.truncate(begun.1);
                bundle.pieces.truncate(begun.2);
            } else if low <= last {
                (bundle.firsts[s], bundle.counts[s]) = (low, last + 1 - low);
            }
        }
        if bundle.counts.iter().all(|c| *c == 0) {
            return None;
        }
        bundle.issued = issued;
        self.seal_names(&mut bundle, &all);
        Some(bundle)
    }

    /// The middle one of the latest stamps: clocks that are far ahead are few.
    fn usual_stamp(&self, s: usize) -> u64 {
        let kept = self.sources[s].kept.iter().rev().map(|(_, issued)| *issued);
        let mut latest: Vec<u64> = kept.take(STAMPS).filter(|i| *i != OTHER).take(31).collect();
        latest.sort_unstable();
        latest.get(latest.len() / 2).copied().unwrap_or(0)
    }

    fn piece_again(&mut self, s: usize, no: u64, offset: u32) -> Option<Bundle> {
        let source = &self.sources[s];
        let (is_kept, was_kept) = (source.lines.contains_key(&no), no >= source.first);
        if !is_kept && !was_kept {
            return self.gone(s, no, no);
        }
        // Guards against a signed range without its event: only one that was let go of is passed over.
        let piece = self.piece_at(s, no, offset).filter(|p| !p.bytes.is_empty());
        if is_kept && piece.is_none() {
            return None;
        }
        let mut bundle = self.empty();
        match piece {
            Some(piece) => bundle.pieces.push(piece),
            None => (bundle.firsts[s], bundle.counts[s]) = (no, 1),
        }
        self.mark_latest(&mut bundle);
        Some(bundle)
    }

    /// A range that is not kept any more, as a purge of everything; what is known of its other events goes with it.
    fn gone(&mut self, s: usize, first: u64, last: u64) -> Option<Bundle> {
        let source = &self.sources[s];
        let issued = if source.gone > 0 { source.gone } else { source.latest };
        if issued == 0 {
            return None;
        }
        let mut bundle = self.empty();
        (bundle.firsts[s], bundle.counts[s], bundle.issued) = (first, last + 1 - first, issued);
        bundle.names = code::encode(&PrefixSet::all());
        self.mark_latest(&mut bundle);
        let mut length = bundle.encoded_len() + 8;
        let others: Vec<u64> = self.sources[s].lines.range(first..=last).map(|(no, _)| *no).rev().collect();
        for no in others {
            let Some(piece) = self.piece_at(s, no, 0) else { continue };
            length += piece.encoded_len() + 3;
            if length > MOST_BUNDLE - SIGNATURE {
                // The range begins behind it; the rest is asked for again.
                (bundle.firsts[s], bundle.counts[s]) = (no + 1, last - no);
                break;
            }
            bundle.pieces.push(piece);
        }
        (bundle.counts[s] > 0).then_some(bundle)
    }

    pub fn kept(&self) -> usize {
        self.sources.iter().map(|s| s.kept.len()).sum()
    }

    pub fn lines(&self) -> usize {
        self.sources.iter().map(|s| s.lines.len()).sum()
    }

    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    pub fn check_rules(&self) -> Result<(), String> {
        for (s, source) in self.sources.iter().enumerate() {
            if source.kept.len() > self.most_kept || source.second.len() > source.kept.len() {
                return Err(format!("stream {s} keeps {} events", source.kept.len()));
            }
            if source.first + source.kept.len() as u64 != source.position + 1 {
                return Err(format!("stream {s} keeps other events than those up to {}", source.position));
            }
        }
        let bytes: usize = self.sources.iter().flat_map(|s| s.lines.values()).map(Vec::len).sum();
        if bytes != self.line_bytes || bytes > MOST_LINE_BYTES + MOST_LINE || self.queue.len() > MOST_QUEUE {
            return Err(format!("{bytes} bytes of events, {} pieces wait", self.queue.len()));
        }
        Ok(())
    }
}

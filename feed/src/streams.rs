//! What a gateway knows of each stream: by hubs' bundles, and with what its site's contact gathered itself. Must never
//! move a position by anything but a hub's bundle, nor give out an event before those in front of it.

use crate::Out;
use crate::lines::Lines;
use crate::log::Seen;
use crate::positions::Positions;
use crate::wire::{Bundle, Range};
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet};
use xxhash_rust::xxh3::xxh3_64;

/// Events given out by a provisional bundle before a hub told them.
const MOST_EARLY: usize = 4_096;
/// An event of which pieces come is not asked for.
const PIECES_COME: Span = Span::from_millis(300);

pub struct Stream {
    /// A position is known: by the file or by a first bundle.
    pub started: bool,
    pub hard: Positions,
    /// The same and what is provisional.
    pub soft: Positions,
    /// Where the latter began, before a position was known.
    soft_from: u64,
    /// The latest stamp of a bundle that reaches beyond the position.
    stamp: u64,
    /// Gaps up to here were told as a purge of everything.
    covered: u64,
    /// A gap that stands: since when, and its last number.
    stands: Option<(Time, u64)>,
    pub in_touch: u64,
    pub everywhere: u64,
    /// The list service had no more than is known at that time, less what the word took on its way.
    fresh: Option<Time>,
}

pub struct Streams {
    pub all: Vec<Stream>,
    pub hard: Lines,
    soft: Lines,
    /// By stream and number what was given out of soft ones, as a hash.
    early: BTreeMap<(usize, u64), u64>,
    pub seen: Seen,
    /// Provisional bundles were taken since a hub was heard last.
    provisional: bool,
    pub out: Vec<Out>,
    pub purged_all: u64,
    pub purges: u64,
    pub lines: u64,
}

impl Streams {
    pub fn new(known: impl Iterator<Item = u64>) -> Streams {
        let one = |known: u64| Stream {
            started: known > 0,
            hard: Positions::new(known),
            soft: Positions::new(known),
            soft_from: 0,
            stamp: 0,
            covered: known,
            stands: None,
            in_touch: 0,
            everywhere: 0,
            fresh: None,
        };
        Streams {
            all: known.map(one).collect(),
            hard: Lines::default(),
            soft: Lines::default(),
            early: BTreeMap::new(),
            seen: Seen::default(),
            provisional: false,
            out: Vec::new(),
            purged_all: 0,
            purges: 0,
            lines: 0,
        }
    }

    pub fn age(&self, now: Time, stream: usize) -> Option<Span> {
        self.all.get(stream)?.fresh.map(|at| now - at)
    }

    fn purge(&mut self, body: &Bundle, names: Option<PrefixSet>) {
        if let Some(names) = names {
            let stream = body.ranges().find(|(_, first, last)| first <= last).map_or(0, |(s, _, _)| s);
            self.purges += 1;
            self.out.push(Out::Purge { stream, names, issued_ms: body.issued });
        }
    }

    /// Numbers of the range but those of events that are not whole here.
    fn parts(body: &Bundle, lines: &Lines, s: usize, first: u64, last: u64) -> Vec<(u64, u64)> {
        let here = |p: &&crate::wire::Piece| p.stream as usize == s && (first..=last).contains(&p.no);
        let open: BTreeSet<u64> =
            body.pieces.iter().filter(here).map(|p| p.no).filter(|no| !lines.is_whole(s, *no)).collect();
        let (mut from, mut all) = (first, Vec::new());
        for no in open {
            all.push((from, no - 1));
            from = no + 1;
        }
        all.push((from, last));
        all.retain(|(a, b)| a <= b);
        all
    }

    /// A hub's bundle; streams that it started, each with its position then.
    pub fn take(
        &mut self,
        now: Time,
        body: &Bundle,
        names: Option<PrefixSet>,
        live: bool,
    ) -> Vec<(usize, u64)> {
        let mut started = Vec::new();
        self.purge(body, names);
        for (s, first, _) in body.ranges() {
            let Some(stream) = self.all.get_mut(s).filter(|t| live && !t.started) else { continue };
            stream.started = true;
            stream.covered = stream.covered.max(first - 1);
            stream.hard.start(first - 1);
            if stream.soft_from > first - 1 {
                // What was provisional began further on, and stands for nothing in front of that.
                stream.soft = Positions::new(first - 1);
            }
            stream.soft.start(first - 1);
            started.push((s, first - 1));
        }
        for p in &body.pieces {
            let s = p.stream as usize;
            let Some(stream) = self.all.get(s).filter(|t| t.started && p.no > t.hard.position()) else {
                continue;
            };
            let needed = p.no == stream.hard.position() + 1;
            self.hard.piece(now, p, needed);
            if self.hard.is_whole(s, p.no) {
                self.all[s].hard.add(p.no, p.no);
                self.all[s].soft.add(p.no, p.no);
            } else {
                // It exists, whatever becomes of it.
                self.all[s].hard.see(p.no);
                self.all[s].soft.see(p.no);
            }
        }
        for (s, first, last) in body.ranges() {
            let Some(stream) = self.all.get_mut(s).filter(|t| t.started) else { continue };
            if last > stream.hard.position() {
                stream.stamp = stream.stamp.max(body.latest());
            }
            for (a, b) in Self::parts(body, &self.hard, s, first, last) {
                stream.hard.add(a, b);
                stream.soft.add(a, b);
            }
            stream.hard.see(last);
            stream.soft.see(last);
            if let Some(age) = body.ages.get(s).filter(|_| live) {
                let at = now.saturating_sub(Span::from_millis(u64::from(*age) * 10));
                stream.fresh = Some(stream.fresh.map_or(at, |f| f.max(at)));
            }
            if let Some(behind) = body.behind.get(s) {
                let in_touch = last.saturating_sub(*behind);
                let everywhere = in_touch.saturating_sub(body.apart.get(s).copied().unwrap_or(0));
                stream.in_touch = stream.in_touch.max(in_touch);
                stream.everywhere = stream.everywhere.max(everywhere);
            }
            if live && self.provisional {
                // What is provisional can't stand for anything that hubs tell from now on.
                stream.soft.truncate(last.max(stream.hard.seen()));
            }
        }
        if live {
            self.provisional = false;
        }
        self.deliver();
        started
    }

    /// What the site's contact gathered: acted on, but no position moves.
    pub fn take_provisional(&mut self, now: Time, body: &Bundle, names: Option<PrefixSet>) {
        self.provisional = true;
        self.purge(body, names);
        for p in &body.pieces {
            let s = p.stream as usize;
            let Some(stream) = self.all.get_mut(s).filter(|t| p.no > t.soft.position()) else { continue };
            self.soft.piece(now, p, false);
            if self.soft.is_whole(s, p.no) {
                stream.soft.add(p.no, p.no);
            }
        }
        for (s, first, last) in body.ranges() {
            let Some(stream) = self.all.get_mut(s) else { continue };
            if !stream.started && stream.soft.position() == 0 {
                stream.soft.start(first - 1);
                stream.soft_from = first - 1;
                stream.covered = stream.covered.max(first - 1);
            }
            stream.stamp = stream.stamp.max(body.latest());
            for (a, b) in Self::parts(body, &self.soft, s, first, last) {
                stream.soft.add(a, b);
            }
            stream.soft.see(last);
        }
        self.deliver();
    }

    fn give(&mut self, stream: usize, no: u64, line: Vec<u8>) {
        self.lines += 1;
        self.out.push(Out::Line { stream, no, line });
    }

    fn deliver(&mut self) {
        for s in 0..self.all.len() {
            let (hard, soft) = (self.all[s].hard.position(), self.all[s].soft.position());
            for (no, line) in self.hard.take(s, hard) {
                // What was given out early is not again, unless a hub tells it otherwise.
                if self.early.get(&(s, no)) != Some(&xxh3_64(&line)) {
                    self.give(s, no, line);
                }
            }
            let done: Vec<(usize, u64)> = self.early.range((s, 0)..=(s, hard)).map(|(key, _)| *key).collect();
            done.iter().for_each(|key| _ = self.early.remove(key));
            if !self.all[s].started && self.all[s].soft_from > 0 {
                // A hub may begin further back: events of before would come after these.
                continue;
            }
            let soft_lines = self.soft.take(s, soft);
            if soft <= hard {
                continue;
            }
            let mut due: BTreeMap<u64, Vec<u8>> =
                soft_lines.into_iter().filter(|(no, _)| *no > hard).collect();
            let told = self.hard.between(s, hard, soft).filter(|(no, _)| !self.early.contains_key(&(s, *no)));
            due.extend(told.map(|(no, line)| (no, line.clone())));
            for (no, line) in due {
                if self.early.len() < MOST_EARLY && !self.early.contains_key(&(s, no)) {
                    self.early.insert((s, no), xxh3_64(&line));
                    self.give(s, no, line);
                }
            }
        }
    }

    /// The last number of a range that is neither known nor an event whose pieces come.
    fn unknown(&self, s: usize, after: u64, to: u64) -> Option<u64> {
        let open = |no: u64| self.hard.lacks(s, no).is_some() || self.soft.lacks(s, no).is_some();
        for (first, last) in self.all[s].soft.gaps() {
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

    /// Gaps that stand too long are told as a purge of everything, each once; when to look again.
    pub fn grace(&mut self, now: Time, grace: Span) -> Option<Time> {
        let mut next = None;
        for s in 0..self.all.len() {
            let covered = self.all[s].covered;
            if let Some((since, to)) = self.all[s].stands {
                if self.unknown(s, covered, to).is_none() {
                    self.all[s].stands = None;
                } else if now >= since + grace {
                    let own = self.all[s].stamp;
                    let any = || self.all.iter().map(|t| t.stamp).max().unwrap_or(0);
                    let issued_ms = if own > 0 { own } else { any() };
                    if issued_ms > 0 {
                        self.purged_all += 1;
                        self.out.push(Out::Purge { stream: s, names: PrefixSet::all(), issued_ms });
                        (self.all[s].covered, self.all[s].stands) = (to, None);
                    }
                }
            }
            if self.all[s].stands.is_none() {
                let to = self.unknown(s, self.all[s].covered, u64::MAX);
                self.all[s].stands = to.map(|to| (now, to));
            }
            if let Some((since, _)) = self.all[s].stands {
                let at = (since + grace).max(now + Span::from_millis(10));
                next = Some(next.map_or(at, |n: Time| n.min(at)));
            }
        }
        next
    }

    /// A gap as it is asked for, the newest first: an event that has begun by itself, from the byte on that it lacks.
    fn wanted(&self, now: Time, s: usize, first: u64, mut last: u64) -> Vec<Range> {
        let stream = s as u32;
        let mut all = Vec::new();
        for (no, offset, at) in self.hard.begun(s, first, last) {
            if no < last {
                all.push(Range { stream, first: no + 1, last, offset: 0 });
            }
            if now - at >= PIECES_COME {
                all.push(Range { stream, first: no, last: no, offset });
            }
            last = no - 1;
        }
        if first <= last {
            all.push(Range { stream, first, last, offset: 0 });
        }
        all
    }

    /// What is missing of hubs' bundles, the newest of each stream first.
    pub fn gaps(&self, now: Time, most: usize) -> Vec<Range> {
        let mut all: Vec<Vec<Range>> = Vec::new();
        for (s, stream) in self.all.iter().enumerate().filter(|(_, t)| t.started) {
            let mine: Vec<Range> = stream
                .hard
                .gaps()
                .flat_map(|(first, last)| self.wanted(now, s, first, last))
                .take(most)
                .collect();
            if !mine.is_empty() {
                all.push(mine);
            }
        }
        // The newest gap of every stream before the second of any.
        let mut out = Vec::new();
        for i in 0..most {
            out.extend(all.iter().filter_map(|mine| mine.get(i)));
        }
        out.truncate(most);
        out
    }

    pub fn is_whole(&self) -> bool {
        self.all.iter().all(|t| !t.started || t.hard.gaps().next().is_none())
    }

    pub fn missing(&self) -> u64 {
        self.all.iter().filter(|t| t.started).flat_map(|t| t.hard.gaps()).map(|(a, b)| b - a + 1).sum()
    }

    /// Pieces and ranges that found no room, and are gaps therefore.
    pub fn dropped(&self) -> u64 {
        let ranges = self.all.iter().map(|t| t.hard.forgotten).sum::<u64>();
        ranges + self.hard.dropped + self.soft.dropped
    }

    pub fn sizes(&self) -> [(&'static str, usize); 4] {
        [
            ("feed ranges", self.all.iter().map(|t| t.hard.ranges() + t.soft.ranges()).sum()),
            ("feed lines", self.hard.held() + self.soft.held()),
            ("feed early lines", self.early.len()),
            ("feed bundles seen", self.seen.held()),
        ]
    }

    pub fn check_rules(&self) -> Result<(), String> {
        for (s, stream) in self.all.iter().enumerate() {
            stream.hard.check_rules().map_err(|e| format!("stream {s}: {e}"))?;
            stream.soft.check_rules().map_err(|e| format!("stream {s}, provisional: {e}"))?;
            if stream.soft.position() < stream.hard.position() {
                return Err(format!("stream {s}: provisional knowledge ends before a hub's"));
            }
            if stream.everywhere > stream.in_touch {
                return Err(format!("stream {s}: more is done everywhere than in touch"));
            }
        }
        self.hard.check_rules()?;
        self.soft.check_rules()?;
        if self.early.len() > MOST_EARLY {
            return Err(format!("{} events given out early", self.early.len()));
        }
        Ok(())
    }
}

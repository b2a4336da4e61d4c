//! How the list comes to every gateway while a few ask for it: who asks, whom to follow, what to fetch, and what is
//! believed of it. Must never pass on an event after a gap, nor hold old news for fresh: ages only grow on the way.
//!
//! Members stand in one order by rendezvous hashing. The first ones ask the bulletin; each other one follows a member
//! that is about `children` times nearer to the front, so that the depth grows with the logarithm of the members, and two
//! more that only tell numbers: what the first one keeps back or makes up shows by their numbers and digests.
//! Every probe carries number, digest and age as well, so that each gateway compares itself with another one a second.

use crate::list::List;
use crate::members::{Members, Name};
use crate::rank;
use crate::settings;
use crate::wire::{Chunk, Fetch, Follow, Pulse, Said, Standing};
use kelpcart::{Span, Time};
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One tells events, the others numbers: with any two of them gone at once the third one still does.
const SOURCES: usize = 3;
/// Followers are told this often that nothing is new, and again so long after something was.
const PULSE_EVERY: Span = Span::from_millis(300);
const AGAIN: [Span; 2] = [Span::from_millis(60), Span::from_millis(200)];
/// A source that says nothing for so long is left.
const SILENT: Span = Span::from_millis(1_000);
/// One that was left for that is not counted among those ahead for so long.
const PASSED_OVER: Span = Span::from_millis(10_000);
/// Followers say this often that they still follow, and are forgotten after the other span.
const FOLLOW_EVERY: Span = Span::from_millis(1_000);
const FOLLOWED_FOR: Span = Span::from_millis(3_500);
/// The first answer to a new follower is due by then.
const FIRST_WORD: Span = Span::from_millis(300);
/// Events that fit into one datagram with the pulse go with it.
const INLINE: usize = 1_000;
const CHUNK: usize = 1_000;
const CHUNKS_AT_ONCE: u32 = 24;
const FETCH_AGAIN: Span = Span::from_millis(80);
const FETCH_TRIES: u32 = 6;
/// The events that a number tells of may still be on their way from the first source.
const FETCH_AFTER: Span = Span::from_millis(20);
/// A source that failed, was full, or told what did not hold.
const AVOID: Span = Span::from_millis(5_000);
const AVOID_LIAR: Span = Span::from_millis(30_000);
/// Who is there has to stand for so long before one of the first asks; after the other span it asks all the same.
const SETTLED: Span = Span::from_millis(400);
const SETTLES_BY: Span = Span::from_millis(4_000);
/// Alone: so long without hearing of any other gateway.
const ALONE: Span = Span::from_millis(2_000);
/// A source that stands elsewhere than it should is left for a better one, one of them in this time.
const MOVE_EVERY: Span = Span::from_millis(2_000);
/// Groups of gateways take turns of this length at the bulletin while the first ones bring nothing.
const TURN: Span = Span::from_millis(2_000);
/// One that need not ask any more does so for this long.
const YIELD: Span = Span::from_millis(2_000);
const MOST_VOTES: usize = 32;
const VOTES_FOR: Span = Span::from_millis(10_000);
const MOST_AVOIDED: usize = 64;
/// Ages beyond that are no knowledge.
const NEVER: u64 = u64::MAX;

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Send(Name, Vec<Said>),
    /// The host has to hear this event, a line of JSON.
    Line(Vec<u8>),
}

#[derive(Clone, Debug)]
struct Source {
    name: Name,
    followed: Time,
    /// Its last word, and the one that is due.
    heard: Option<Time>,
    since: Time,
    pulse: Option<Pulse>,
}

#[derive(Clone, Debug)]
struct Follower {
    second: bool,
    until: Time,
    told: u64,
    again: Option<(usize, Time)>,
}

#[derive(Clone, Debug)]
struct Fetching {
    from: Name,
    after: u64,
    whole: bool,
    /// What is here was made up by someone: the list that comes stands in its place, whatever its number.
    mends: bool,
    to: u64,
    digest: u64,
    of: u32,
    got: BTreeMap<u32, Vec<u8>>,
    asked: Time,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Line {
    Closed,
    /// The host has been told to connect.
    Opening,
    Open,
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counts {
    pub asked: u64,
    pub events_from_bulletin: u64,
    pub events_from_members: u64,
    pub lists_fetched: u64,
    pub fetches_failed: u64,
    pub sources_left: u64,
    pub disputes: u64,
    pub lies: u64,
    pub turns: u64,
}

pub struct Relay {
    set: settings::Relays,
    /// The list comes by the feed: nobody is asked, followed or told.
    off: bool,
    expected: usize,
    /// Its place among the seeds is one of the first.
    seed: bool,
    pub list: List,
    start: Time,
    /// When the bulletin had no more than what is known here.
    fresh_at: Option<Time>,
    depth: u32,
    line: Line,
    next_attempt: Time,
    /// Tries that its part of the common pace allows now, and as of when.
    tokens: (f64, Time),
    last_wait: Span,
    /// Since when it is not one of those that have to ask.
    spare_since: Option<Time>,
    sources: [Option<Source>; SOURCES],
    avoid: BTreeMap<Name, Time>,
    /// Sources that fell silent, and when: who stands behind them asks in their place before they are held to be gone.
    silent: BTreeMap<Name, Time>,
    followers: BTreeMap<Name, Follower>,
    next_pulse: Time,
    fetch: Option<Fetching>,
    /// A number that is not here yet, who told it, and when it is fetched.
    behind: Option<(u64, Name, Time)>,
    votes: BTreeMap<Name, (Time, bool)>,
    next_move: Time,
    ranked: u64,
    rank: usize,
    order: Vec<Name>,
    rng: Pcg64Mcg,
    pub warm: bool,
    pub counts: Counts,
    pub out: VecDeque<Out>,
}

impl Relay {
    pub fn new(file: &settings::Fleet, list: List, seed: u64, now: Time) -> Relay {
        let set = file.relays.clone();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let early: f64 = rng.random();
        Relay {
            off: file.feed.is_some(),
            expected: file.members.expected,
            seed: file.seeds.iter().take(set.askers).any(|s| *s == file.reached()),
            list,
            start: now,
            fresh_at: None,
            depth: 0,
            line: Line::Closed,
            next_attempt: now,
            tokens: (early, now),
            last_wait: Span::ZERO,
            spare_since: None,
            sources: [const { None }; SOURCES],
            avoid: BTreeMap::new(),
            silent: BTreeMap::new(),
            followers: BTreeMap::new(),
            next_pulse: now + PULSE_EVERY * early,
            fetch: None,
            behind: None,
            votes: BTreeMap::new(),
            next_move: now,
            ranked: u64::MAX,
            rank: 0,
            order: Vec::new(),
            rng,
            warm: false,
            counts: Counts::default(),
            out: VecDeque::new(),
            set,
        }
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = vec![
            ("fleet followers", self.followers.len()),
            ("fleet sources avoided", self.avoid.len()),
            ("fleet sources silent", self.silent.len()),
            ("fleet votes", self.votes.len()),
            ("fleet depth", self.depth as usize),
        ];
        all.extend(self.list.sizes());
        all
    }

    /// How old what is known is; `None`: nothing was ever heard.
    pub fn age(&self, now: Time) -> Option<Span> {
        self.fresh_at.map(|at| now - at)
    }

    pub fn is_fresh(&self, now: Time) -> bool {
        self.age(now).is_some_and(|age| age <= Span::from_millis(self.set.stale_ms))
    }

    /// The list, whole, has come from somewhere.
    pub fn listed(&self) -> bool {
        self.off || !self.list.is_empty()
    }

    pub fn is_off(&self) -> bool {
        self.off
    }

    pub fn pulse(&self, now: Time) -> Pulse {
        Pulse {
            no: self.list.no(),
            digest: self.list.digest(),
            age_us: self.age(now).map_or(NEVER, Span::as_micros),
            depth: self.depth,
            after: 0,
            lines: Vec::new(),
            warm: self.warm,
        }
    }

    // The bulletin.

    /// The host keeps a connection to the bulletin while this holds.
    pub fn asks(&self) -> bool {
        self.line != Line::Closed
    }

    /// The connection has ended or did not come up.
    pub fn ended(&mut self, now: Time) {
        self.line = Line::Closed;
        // Decorrelated, and no sooner than the fleet's common pace allows.
        let share = f64::from(2 * self.set.askers as u32) / self.set.connections_per_s;
        let most = (share * 4.0).max(2.0);
        let least = share.min(most);
        let high = (self.last_wait.as_secs_f64() * 3.0).clamp(least + 0.01, most + 0.02);
        self.last_wait = Span::from_secs_f64(self.rng.random_range(least..high));
        self.next_attempt = now + self.last_wait;
    }

    /// An event as the bulletin wrote it.
    pub fn line(&mut self, now: Time, line: &[u8]) -> Result<(), crate::list::Unusable> {
        self.line = Line::Open;
        if self.list.apply(now, line)? {
            self.counts.events_from_bulletin += 1;
            self.out.push_back(Out::Line(line.trim_ascii().to_vec()));
        }
        Ok(())
    }

    /// The bulletin's last number. `false`: it has more than was told.
    pub fn last(&mut self, now: Time, no: u64) -> bool {
        (self.line, self.last_wait) = (Line::Open, Span::ZERO);
        if no > self.list.no() {
            return false;
        }
        if no == self.list.no() {
            (self.fresh_at, self.depth) = (Some(now), 0);
        }
        true
    }

    /// Tells followers at once what has come.
    pub fn pass_on(&mut self, now: Time) {
        let no = self.list.no();
        let late: Vec<Name> =
            self.followers.iter().filter(|(_, f)| f.told < no).map(|(n, _)| n.clone()).collect();
        for name in late {
            self.tell(now, &name, true);
        }
    }

    fn tell(&mut self, now: Time, name: &Name, fresh: bool) {
        let mut pulse = self.pulse(now);
        let Some(follower) = self.followers.get_mut(name) else { return };
        if fresh {
            if !follower.second
                && let Some(lines) = self.list.lines(follower.told, pulse.no).filter(|l| l.len() <= INLINE)
            {
                (pulse.after, pulse.lines) = (follower.told, lines);
            }
            follower.told = pulse.no;
            follower.again = Some((0, now + AGAIN[0]));
        }
        self.out.push_back(Out::Send(name.clone(), vec![Said::Pulse(pulse)]));
    }

    // What members say.

    pub fn said(&mut self, now: Time, from: &Name, said: &Said) {
        if self.off {
            return;
        }
        self.silent.remove(from);
        match said {
            Said::Follow(follow) => self.follow(now, from, follow),
            Said::Full(_) if self.sources.iter().flatten().any(|s| s.name == *from) => {
                self.leave(now, from, AVOID);
            }
            Said::Pulse(pulse) => self.pulsed(now, from, pulse),
            Said::Fetch(fetch) => self.asked(now, from, fetch),
            Said::Chunk(chunk) => self.chunk(now, from, chunk),
            _ => {}
        }
    }

    fn follow(&mut self, now: Time, from: &Name, follow: &Follow) {
        if follow.ends {
            self.followers.remove(from);
            return;
        }
        // Many more follow for numbers than for events.
        let most = self.set.children * if follow.second { 2 * SOURCES } else { 2 };
        let alike = self.followers.values().filter(|f| f.second == follow.second).count();
        let known = self.followers.get(from).is_some_and(|f| f.second == follow.second);
        if !known && alike >= most {
            self.out.push_back(Out::Send(from.clone(), vec![Said::Full(true)]));
            return;
        }
        let until = now + FOLLOWED_FOR;
        let told = self.list.no();
        if known {
            if let Some(follower) = self.followers.get_mut(from) {
                follower.until = until;
            }
        } else {
            self.followers.insert(from.clone(), Follower { second: follow.second, until, told, again: None });
            self.tell(now, from, false);
        }
    }

    /// One's own list against what another says of its own.
    fn compare(&mut self, now: Time, from: &Name, pulse: &Pulse) {
        let Some(own) = self.list.digest_at(pulse.no).filter(|d| *d != 0 && pulse.digest != 0) else {
            return;
        };
        let same = own == pulse.digest;
        let disputed = self.votes.values().any(|(at, same)| !same && now - *at < VOTES_FOR);
        self.votes.insert(from.clone(), (now, same));
        if self.votes.len() > MOST_VOTES {
            let oldest = self.votes.iter().min_by_key(|(_, (at, _))| *at).map(|(n, _)| n.clone());
            oldest.map(|n| self.votes.remove(&n));
        }
        if same {
            return;
        }
        if !disputed {
            self.counts.disputes += 1;
            // Others decide between the two, at once.
            let near = self.order.iter().filter(|n| *n != from).cloned();
            for name in near.choose_multiple(&mut self.rng, 4) {
                let ask = Fetch { after: self.list.no(), whole: false, to: 0, chunks: Vec::new() };
                self.out.push_back(Out::Send(name, vec![Said::Fetch(ask)]));
            }
        }
        let of_late = |same: bool| {
            let wanted = move |(at, s): &(Time, bool)| *s == same && now - *at < VOTES_FOR;
            self.votes.iter().filter(move |(_, v)| wanted(v)).map(|(n, _)| n.clone())
        };
        let (with, against): (Vec<Name>, Vec<Name>) = (of_late(true).collect(), of_late(false).collect());
        let mending = self.fetch.as_ref().is_some_and(|f| f.mends);
        if against.len() >= 2 && against.len() > with.len() && !mending {
            // Most others hold another list: this one was told a lie, by one of those that bear it out.
            self.counts.lies += 1;
            let sources: Vec<Name> = self.sources.iter().flatten().map(|s| s.name.clone()).collect();
            for name in sources.iter().filter(|n| with.contains(n)) {
                self.leave(now, name, AVOID_LIAR);
            }
            self.votes.clear();
            if let Some(from) = against.choose(&mut self.rng).cloned() {
                self.begin(now, &from, 0, true);
            }
        }
    }

    fn pulsed(&mut self, now: Time, from: &Name, pulse: &Pulse) {
        let at = self.sources.iter().position(|s| s.as_ref().is_some_and(|s| s.name == *from));
        if let Some(source) = at.and_then(|i| self.sources[i].as_mut()) {
            source.heard = Some(now);
            source.pulse = Some(Pulse { lines: Vec::new(), ..pulse.clone() });
        }
        self.warm |= pulse.warm && at.is_some();
        if pulse.no > self.list.no()
            && at == Some(0)
            && !pulse.lines.is_empty()
            && pulse.after <= self.list.no()
        {
            self.take_lines(now, from, &pulse.lines, pulse.no, pulse.digest);
        }
        self.weigh(now, from, pulse);
    }

    /// A number, a digest and an age that another names, by whatever way.
    pub fn weigh(&mut self, now: Time, from: &Name, pulse: &Pulse) {
        if self.off {
            return;
        }
        self.compare(now, from, pulse);
        let no = self.list.no();
        if pulse.no > no && pulse.age_us != NEVER && !self.is_avoided(now, from) {
            let first = self.sources[0].as_ref().is_some_and(|s| s.name == *from);
            let wait = if first || self.fetch.is_none() && no == 0 { Span::ZERO } else { FETCH_AFTER };
            if self.behind.as_ref().is_none_or(|(n, _, _)| *n < pulse.no) {
                let at = self.behind.as_ref().map_or(now + wait, |(_, _, at)| *at);
                self.behind = Some((pulse.no, from.clone(), at));
            }
        }
        if pulse.no == no && pulse.age_us != NEVER && (pulse.digest == self.list.digest() || no == 0) {
            let at = now.saturating_sub(Span::from_micros(pulse.age_us));
            let source = self.sources.iter().flatten().any(|s| s.name == *from);
            if source && self.fresh_at.is_none_or(|known| at > known) {
                self.fresh_at = Some(at);
                if self.line != Line::Open {
                    self.depth = pulse.depth.saturating_add(1).min(64);
                }
            }
        }
    }

    fn is_avoided(&self, now: Time, name: &Name) -> bool {
        self.avoid.get(name).is_some_and(|until| *until > now)
    }

    fn leave(&mut self, now: Time, name: &Name, span: Span) {
        for source in &mut self.sources {
            if source.as_ref().is_some_and(|s| s.name == *name) {
                *source = None;
                self.counts.sources_left += 1;
                let ends = Follow { second: false, ends: true };
                self.out.push_back(Out::Send(name.clone(), vec![Said::Follow(ends)]));
            }
        }
        self.avoid.insert(name.clone(), now + span);
        if self.avoid.len() > MOST_AVOIDED {
            let first = self.avoid.iter().min_by_key(|(_, until)| **until).map(|(n, _)| n.clone());
            first.map(|n| self.avoid.remove(&n));
        }
        if self.fetch.as_ref().is_some_and(|f| f.from == *name) {
            self.fetch = None;
        }
        if self.behind.as_ref().is_some_and(|(_, from, _)| from == name) {
            self.behind = None;
        }
    }

    /// Events in order; what does not fit is its teller's fault.
    fn take_lines(&mut self, now: Time, from: &Name, lines: &[u8], to: u64, digest: u64) {
        for line in lines.split(|b| *b == b'\n').filter(|l| !l.is_empty()) {
            match self.list.apply(now, line) {
                Ok(true) => {
                    self.counts.events_from_members += 1;
                    self.out.push_back(Out::Line(line.to_vec()));
                }
                Ok(false) => {}
                Err(_) => {
                    self.counts.lies += 1;
                    return self.leave(now, from, AVOID_LIAR);
                }
            }
        }
        let fits = self.list.digest_at(to).is_none_or(|own| own == digest || digest == 0 || own == 0);
        if self.list.no() < to || !fits {
            // It told one thing and gave another.
            self.counts.lies += 1;
            self.leave(now, from, AVOID_LIAR);
            if !fits {
                self.mend(now, from);
            }
        }
        if self.behind.as_ref().is_some_and(|(no, _, _)| *no <= self.list.no()) {
            self.behind = None;
        }
    }

    /// Gets the whole list from someone else.
    fn mend(&mut self, now: Time, not: &Name) {
        let fit = |n: &&Name| *n != not && !self.is_avoided(now, n);
        let others: Vec<Name> = self.order.iter().filter(fit).cloned().collect();
        if let Some(from) = others.choose(&mut self.rng) {
            self.begin(now, from, 0, true);
        }
    }

    // Fetching.

    fn begin(&mut self, now: Time, from: &Name, after: u64, whole: bool) {
        let got = BTreeMap::new();
        let (to, digest, of, tries) = (0, 0, 0, 0);
        let mends = whole;
        let from = from.clone();
        self.fetch = Some(Fetching { from, after, whole, mends, to, digest, of, got, asked: now, tries });
        self.ask_chunks();
    }

    fn ask_chunks(&mut self) {
        let Some(f) = &self.fetch else { return };
        let of = if f.of == 0 { CHUNKS_AT_ONCE } else { f.of };
        let chunks = (0..of).filter(|i| !f.got.contains_key(i)).take(CHUNKS_AT_ONCE as usize).collect();
        let ask = Fetch { after: f.after, whole: f.whole, to: f.to, chunks };
        self.out.push_back(Out::Send(f.from.clone(), vec![Said::Fetch(ask)]));
    }

    fn asked(&mut self, now: Time, from: &Name, fetch: &Fetch) {
        if fetch.chunks.is_empty() {
            let pulse = self.pulse(now);
            self.out.push_back(Out::Send(from.clone(), vec![Said::Pulse(pulse)]));
            return;
        }
        let to = if fetch.to == 0 { self.list.no() } else { fetch.to };
        let events = if fetch.whole { None } else { self.list.lines(fetch.after, to) };
        let (after, whole, to, bytes) = match events {
            Some(lines) => (fetch.after, false, to, lines),
            None => {
                let Some((to, bytes)) = self.list.whole(now, fetch.to) else { return };
                (0, true, to, bytes.to_vec())
            }
        };
        // Of an older number the digest may be known no more; 0 is not compared.
        let digest = self.list.digest_at(to).unwrap_or(0);
        let of = bytes.len().div_ceil(CHUNK).max(1) as u32;
        for &index in fetch.chunks.iter().filter(|i| **i < of) {
            let at = index as usize * CHUNK;
            let part = bytes[at..(at + CHUNK).min(bytes.len())].to_vec();
            let chunk = Chunk { after, whole, to, digest, index, of, bytes: part };
            self.out.push_back(Out::Send(from.clone(), vec![Said::Chunk(chunk)]));
        }
    }

    fn chunk(&mut self, now: Time, from: &Name, chunk: &Chunk) {
        let most = self.set.most_kb * 1024;
        let Some(f) = self.fetch.as_mut().filter(|f| f.from == *from) else { return };
        if chunk.of as usize * CHUNK > most + CHUNK {
            self.counts.fetches_failed += 1;
            return self.leave(now, from, AVOID_LIAR);
        }
        let same = (chunk.after, chunk.whole, chunk.to, chunk.digest, chunk.of);
        if f.of == 0 || (f.after, f.whole, f.to, f.digest, f.of) != same {
            (f.after, f.whole, f.to, f.digest, f.of) = same;
            f.got.clear();
        }
        let fresh = f.got.insert(chunk.index, chunk.bytes.clone()).is_none();
        if fresh {
            (f.asked, f.tries) = (now, 0);
        }
        if f.got.len() < f.of as usize {
            if fresh && (f.got.len() as u32).is_multiple_of(CHUNKS_AT_ONCE) {
                self.ask_chunks();
            }
            return;
        }
        let Some(f) = self.fetch.take() else { return };
        let text: Vec<u8> = f.got.into_values().flatten().collect();
        if !f.whole {
            return self.take_lines(now, from, &text, f.to, f.digest);
        }
        if f.to < self.list.no() && !f.mends {
            // Older than what has come meanwhile, and nothing speaks against that.
            return;
        }
        match self.list.replace(now, &text, f.to, f.digest) {
            Ok(lines) => {
                self.counts.lists_fetched += 1;
                self.out.extend(lines.into_iter().map(Out::Line));
                self.votes.clear();
                if self.behind.as_ref().is_some_and(|(no, _, _)| *no <= self.list.no()) {
                    self.behind = None;
                }
                if self.line == Line::Open {
                    // The bulletin is asked anew from this number.
                    self.line = Line::Closed;
                }
            }
            Err(_) => {
                self.counts.fetches_failed += 1;
                self.leave(now, from, AVOID_LIAR);
            }
        }
    }

    // What time brings.

    pub fn next_wake(&self, now: Time) -> Time {
        let mut at = now + Span::from_millis(100);
        if !self.followers.is_empty() {
            at = at.min(self.next_pulse);
        }
        let again = self.followers.values().filter_map(|f| f.again.map(|a| a.1));
        at = again.fold(at, Time::min);
        if let Some((_, _, due)) = self.behind.as_ref().filter(|_| self.fetch.is_none()) {
            at = at.min(*due);
        }
        if let Some(fetch) = &self.fetch {
            at = at.min(fetch.asked + FETCH_AGAIN);
        }
        at.max(now)
    }

    pub fn tick(&mut self, now: Time, members: &Members) {
        if self.off {
            return;
        }
        if self.ranked != members.version {
            self.rerank(members);
        }
        if !self.set.on {
            self.ask_if(now, true, 1.0);
            return;
        }
        self.ask_or_not(now, members);
        self.tick_sources(now, members);
        self.tick_fetch(now, members);
        self.tick_followers(now);
        self.avoid.retain(|_, until| *until > now);
        self.silent.retain(|_, at| now - *at < PASSED_OVER);
    }

    fn rerank(&mut self, members: &Members) {
        self.ranked = members.version;
        let mut all: Vec<(u64, Name)> =
            members.others().map(|(n, _)| (rank::score(n, rank::CONTACT_ORDER), n.clone())).collect();
        all.sort_unstable_by(|a, b| b.cmp(a));
        self.order = all.into_iter().map(|(_, n)| n).collect();
        self.rank = rank::rank_of(self.order.iter().map(|n| &**n), &members.name, rank::CONTACT_ORDER);
    }

    pub fn rank(&self) -> usize {
        self.rank
    }

    fn ask_or_not(&mut self, now: Time, members: &Members) {
        let (askers, n) = (self.set.askers, members.live());
        let since = now - self.start;
        if self.seed && !self.listed() && since < SETTLES_BY {
            // The seeds are known to all before anyone else is: they bring the first list.
            return self.ask_if(now, true, 0.5 / askers as f64);
        }
        if !members.joined() {
            // Its fair part of the common pace, and no more.
            let part = 1.0 / self.expected.max(members.names_of_late().count()).max(1) as f64;
            let mine = f64::from(members.name.len() as u32 % 8) / 8.0;
            return self.ask_if(now, since > ALONE * (1.0 + mine), part);
        }
        // With most of those that are expected the order is nearly the last one.
        let enough = n * 5 >= self.expected * 4;
        // One that is fed already takes its place at the bulletin when the order stands for sure.
        let settled = if self.is_fresh(now) { false } else { enough || now - members.grew >= SETTLED };
        let settled = settled || since >= SETTLES_BY;
        let passed = |n: &&Name| self.silent.get(*n).is_some_and(|at| now - *at < PASSED_OVER);
        let ahead = self.rank.min(self.order.len());
        let silent = self.order[..ahead].iter().filter(passed).count();
        let first = self.rank - silent.min(self.rank) < askers;
        if first {
            self.spare_since = None;
            return self.ask_if(now, settled, 0.5 / askers as f64);
        }
        let stale = match self.age(now) {
            Some(age) => age,
            None => since,
        };
        let limit = Span::from_millis(self.set.stale_ms);
        if stale > limit {
            self.spare_since = None;
            let (groups, turn) =
                (n.div_ceil(askers), ((stale.as_micros() - limit.as_micros()) / TURN.as_micros()) as usize);
            let mine = groups > 1 && self.rank / askers == 1 + turn % (groups - 1).max(1);
            if mine && self.line == Line::Closed {
                self.counts.turns += 1;
            }
            if mine || self.line == Line::Open {
                self.ask_if(now, settled, 0.5 / askers as f64);
            } else {
                self.line = Line::Closed;
            }
            return;
        }
        if self.line != Line::Closed {
            // Others bring it now: the place at the bulletin is given back once they have done so for a while.
            let fed = self.sources.iter().flatten().any(|s| {
                s.pulse.as_ref().is_some_and(|p| p.age_us < limit.as_micros() && p.no >= self.list.no())
            });
            let spare = *self.spare_since.get_or_insert(now);
            if !fed {
                self.spare_since = Some(now);
            } else if now - spare > YIELD {
                self.line = Line::Closed;
            }
        }
    }

    fn ask_if(&mut self, now: Time, is: bool, part: f64) {
        if !is {
            return;
        }
        // Saved up one at the most; the first ones need none for their first try.
        let rate = self.set.connections_per_s * part;
        self.tokens.0 = (self.tokens.0 + (now - self.tokens.1).as_secs_f64() * rate).min(1.0);
        self.tokens.1 = now;
        if self.line == Line::Closed && now >= self.next_attempt {
            let first = self.seed || self.rank < self.set.askers && !self.order.is_empty();
            let begins = self.counts.asked == 0 && first;
            if !self.set.on || begins || self.tokens.0 >= 1.0 {
                self.tokens.0 = (self.tokens.0 - 1.0).max(0.0);
                self.counts.asked += 1;
                self.line = Line::Opening;
            }
        }
    }

    /// Whom one may follow: members about `children` times nearer to the front, or, with those gone, any nearer one.
    fn candidates(&self, now: Time, members: &Members) -> Vec<Name> {
        let ahead = self.rank.min(self.order.len());
        let near = (ahead / self.set.children).max(self.set.askers).min(ahead);
        let from = if near > self.set.askers { near / 2 } else { 0 };
        let fit = |names: &[Name]| -> Vec<Name> {
            let good = |n: &&Name| {
                !self.is_avoided(now, n) && members.get(n).is_some_and(|k| k.standing == Standing::Alive)
            };
            names.iter().filter(good).cloned().collect()
        };
        // The order leaves oneself out: all before one's own place are nearer.
        let mut all = fit(&self.order[from..near]);
        if all.len() < 2 {
            all = fit(&self.order[..ahead]);
        }
        if all.len() < 2 {
            all = fit(&self.order);
        }
        all
    }

    fn tick_sources(&mut self, now: Time, members: &Members) {
        let first = self.rank < self.set.askers;
        let stale = Span::from_millis(self.set.stale_ms);
        for i in 0..SOURCES {
            let Some(s) = &self.sources[i] else { continue };
            let silent = match s.heard {
                Some(at) => now - at > SILENT,
                None => now - s.since > FIRST_WORD,
            };
            let gone = members.get(&s.name).is_none_or(|k| k.standing >= Standing::Gone);
            // Old itself while another member says that it is not.
            let old = s.pulse.as_ref().is_some_and(|p| p.age_us > stale.as_micros())
                && now - s.since > stale
                && members
                    .others()
                    .any(|(n, k)| *n != s.name && Self::is_better(k.list.as_ref(), now, stale));
            if silent || gone || old {
                let name = s.name.clone();
                if silent {
                    self.silent.insert(name.clone(), now);
                }
                self.leave(now, &name, AVOID);
            }
        }
        if self.line == Line::Open && first {
            // The source of others needs none for itself; its probes compare it with them.
            for i in 0..SOURCES {
                if let Some(s) = self.sources[i].take() {
                    let ends = Follow { second: false, ends: true };
                    self.out.push_back(Out::Send(s.name, vec![Said::Follow(ends)]));
                }
            }
            return;
        }
        self.move_nearer(now, members);
        for i in 0..SOURCES {
            if self.sources[i].is_none() {
                let taken: Vec<Name> = self.sources.iter().flatten().map(|s| s.name.clone()).collect();
                let mut all = self.candidates(now, members);
                if !self.is_fresh(now) && now - self.start > stale {
                    let better: Vec<Name> = members
                        .others()
                        .filter(|(n, k)| {
                            Self::is_better(k.list.as_ref(), now, stale) && !self.is_avoided(now, n)
                        })
                        .map(|(n, _)| n.clone())
                        .collect();
                    if !better.is_empty() {
                        all = better;
                    }
                }
                all.retain(|n| !taken.contains(n));
                let purpose = rank::key(&members.name) ^ i as u64;
                let Some(name) = all.iter().max_by_key(|n| rank::score(n, purpose)).cloned() else {
                    continue;
                };
                self.sources[i] =
                    Some(Source { name: name.clone(), followed: now, heard: None, since: now, pulse: None });
                let follow = Follow { second: i > 0, ends: false };
                self.out.push_back(Out::Send(name, vec![Said::Follow(follow)]));
            } else if let Some(s) = self.sources[i].as_mut().filter(|s| now - s.followed >= FOLLOW_EVERY) {
                s.followed = now;
                let follow = Follow { second: i > 0, ends: false };
                self.out.push_back(Out::Send(s.name.clone(), vec![Said::Follow(follow)]));
            }
        }
    }

    /// Who is followed since the start was chosen among the few known then: one at a time moves to its right place.
    fn move_nearer(&mut self, now: Time, members: &Members) {
        if now < self.next_move || now - members.grew < MOVE_EVERY || !self.is_fresh(now) {
            return;
        }
        self.next_move = now + MOVE_EVERY * self.rng.random_range(0.7..1.3);
        let fit = self.candidates(now, members);
        let astray = |s: &&mut Source| !fit.contains(&s.name) && now - s.since > MOVE_EVERY;
        let enough = fit.len() >= SOURCES.min(self.order.len());
        if let Some(name) =
            self.sources.iter_mut().flatten().find(astray).map(|s| s.name.clone()).filter(|_| enough)
        {
            self.leave(now, &name, Span::ZERO);
        }
    }

    fn is_better(list: Option<&(Time, Pulse)>, now: Time, stale: Span) -> bool {
        list.is_some_and(|(at, p)| p.age_us != NEVER && Span::from_micros(p.age_us) + (now - *at) < stale)
    }

    fn tick_fetch(&mut self, now: Time, members: &Members) {
        if let Some(f) = &mut self.fetch {
            if now - f.asked >= FETCH_AGAIN {
                f.tries += 1;
                f.asked = now;
                if f.tries > FETCH_TRIES {
                    let from = f.from.clone();
                    self.counts.fetches_failed += 1;
                    self.fetch = None;
                    self.leave(now, &from, AVOID);
                } else {
                    self.ask_chunks();
                }
            }
            return;
        }
        let Some((no, from, at)) = self.behind.clone() else { return };
        if no <= self.list.no() || self.line == Line::Open {
            self.behind = None;
        } else if at <= now {
            self.behind = None;
            if members.get(&from).is_some_and(|k| k.standing <= Standing::Suspect) {
                let after = self.list.no();
                self.begin(now, &from, after, false);
            }
        }
    }

    fn tick_followers(&mut self, now: Time) {
        self.followers.retain(|_, f| f.until > now);
        let periodic = now >= self.next_pulse;
        if periodic {
            self.next_pulse = now + PULSE_EVERY;
        }
        let due = |f: &Follower| periodic || f.again.is_some_and(|(_, at)| at <= now);
        let due: Vec<Name> = self.followers.iter().filter(|(_, f)| due(f)).map(|(n, _)| n.clone()).collect();
        for name in due {
            if let Some(f) = self.followers.get_mut(&name) {
                f.again = match f.again {
                    Some((i, at)) if at <= now => AGAIN.get(i + 1).map(|wait| (i + 1, now + *wait)),
                    other => other,
                };
            }
            self.tell(now, &name, false);
        }
    }

    /// The rules that have to hold after every step; for tests.
    pub fn check_rules(&self) -> Result<(), String> {
        let most = self.set.children * (2 + 2 * SOURCES);
        if self.followers.len() > most {
            return Err(format!("{} followers, {most} at most", self.followers.len()));
        }
        let names: BTreeSet<&Name> = self.sources.iter().flatten().map(|s| &s.name).collect();
        if names.len() < self.sources.iter().flatten().count() {
            return Err("two sources are one".to_owned());
        }
        Ok(())
    }
}

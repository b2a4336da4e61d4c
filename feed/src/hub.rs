//! A machine set aside for control: it follows all list services, makes bundles of what they tell and sends them to one
//! gateway of each site, answers those who were away, and gathers who has confirmed. Must never sign a range of which it
//! does not know every event, nor answer faster than its pace.

use crate::common::{self, Bucket, Set, Signs, short};
use crate::compose::{Composer, Head};
use crate::log::{Log, Seen};
use crate::report::{Sites, Taken};
use crate::settings::{self, MOST_SITES};
use crate::wire::{Bundle, Fetch, Follow, Passed, Range, Report, Said};
use crate::{Counts, Missing, Unusable};
use kelpcart::{Span, Time};
use prost::Message;
use ring::signature::Ed25519KeyPair;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Who has not said for so long that it follows is sent nothing more.
const FOLLOWS_FOR: Span = Span::from_millis(3_200);
/// One that was heard so long ago gives way to another of its site.
const GIVES_WAY: Span = Span::from_millis(1_500);
const AT_A_SITE: usize = 6;
/// Followers of before stay for as long as there is room: what they said must not come again.
const MOST_FOLLOWERS: usize = 2 * MOST_SITES;
/// Bundles in answer to one site: so many at once, then so many a second.
const FOUND: f64 = 4.0;
/// Bundles of one period are so far apart.
const SPACED: Span = Span::from_millis(20);
/// A list service that told nothing for so long: another hub may know more.
const STALE: Span = Span::from_millis(2_000);
/// Sites have reported by then on a bundle that asks: what they confirmed is told to the other hubs.
const GATHER_AFTER: Span = Span::from_millis(550);
const GATHER_EVERY: Span = Span::from_millis(1_000);

struct Follower {
    site: String,
    run: u32,
    number: u64,
    at: Time,
    ends: bool,
}

impl Follower {
    fn is_live(&self, now: Time) -> bool {
        !self.ends && now - self.at < FOLLOWS_FOR
    }
}

pub struct Hub {
    set: Arc<Set>,
    me: usize,
    id: u32,
    run: u32,
    signer: Ed25519KeyPair,
    composer: Composer,
    followers: BTreeMap<SocketAddr, Follower>,
    secret: u64,
    pub sites: Sites,
    log: Log,
    seen: Seen,
    /// By hub, when it was heard.
    others: Vec<Option<Time>>,
    /// By stream, the hub whose bundles are handed on while this one lacks it.
    via: Vec<Option<usize>>,
    budgets: BTreeMap<String, Bucket>,
    period: Time,
    /// The next bundle of a period that does not fit one.
    spaced: Option<Time>,
    asks: bool,
    gather: Time,
    gathered: u64,
    /// For who begins to follow.
    latest: Option<Vec<u8>>,
    pub said: VecDeque<(SocketAddr, Said)>,
}

impl Hub {
    /// `None`: its secret is not that of its public key.
    pub fn new(
        set: Arc<Set>,
        me: usize,
        control: &settings::Control,
        run: u64,
        seed: u64,
        now: Time,
    ) -> Option<Hub> {
        let signer = set.hubs[me].signer(&control.secret)?;
        let known: Vec<u64> = set.streams.iter().map(|s| s.known).collect();
        let id = set.hubs[me].id;
        // Hubs don't all send at the same time.
        let first = now + set.period * (me as f64 / set.hubs.len() as f64);
        Some(Hub {
            me,
            id,
            run: short(run),
            signer,
            composer: Composer::new(id, short(run), &known, control.most_kept),
            followers: BTreeMap::new(),
            secret: seed ^ run.rotate_left(32),
            sites: Sites::new(&control.sites, known.len(), set.silent, now),
            log: Log::default(),
            seen: Seen::default(),
            others: vec![None; set.hubs.len()],
            via: vec![None; known.len()],
            budgets: BTreeMap::new(),
            period: first,
            spaced: None,
            asks: false,
            gather: first,
            gathered: 0,
            latest: None,
            said: VecDeque::new(),
            set,
        })
    }

    pub fn position(&self, stream: usize) -> u64 {
        self.composer.sources.get(stream).map_or(0, |s| s.position)
    }

    pub fn line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), Unusable> {
        self.composer.line(now, stream, line)
    }

    pub fn last(&mut self, now: Time, stream: usize, no: u64) -> bool {
        self.composer.last(now, stream, no)
    }

    // What goes out.

    fn lacks(&self, now: Time, stream: usize) -> bool {
        let source = &self.composer.sources[stream];
        !source.caught || source.fresh.is_none_or(|at| now - at > STALE)
    }

    fn send_followers(&mut self, now: Time, bytes: &[u8]) {
        for (address, _) in self.followers.iter().filter(|(_, f)| f.is_live(now)) {
            let passed = Passed { bundle: bytes.to_vec(), via: 0 };
            self.said.push_back((*address, Said::Live(passed)));
        }
    }

    fn sign(&self, body: &Bundle) -> Vec<u8> {
        self.set.sign(&self.signer, Signs::Bundle, body.encode_to_vec())
    }

    fn tell(&mut self, now: Time, counts: &mut Counts) {
        let streams = self.set.streams.len();
        self.sites.weigh(now);
        let done = (0..streams).map(|s| self.sites.done(s)).collect();
        let head = Head { now, done, sites: self.sites.listed() as u32 };
        let mut body = self.composer.live(&head);
        let more = self.composer.has_more();
        // Every second period, with all that it has.
        body.asks = !more && self.asks;
        if body.asks {
            let ends = body.ranges().map(|(s, _, last)| (s, last)).collect();
            self.sites.asked(body.number, ends);
        }
        self.spaced = more.then_some(now + SPACED);
        counts.bundles_made += 1;
        let bytes = self.sign(&body);
        self.send_followers(now, &bytes);
        for (_, hub) in self.set.hubs.iter().enumerate().filter(|(i, _)| *i != self.me) {
            let passed = Passed { bundle: bytes.clone(), via: 0 };
            self.said.push_back((hub.address, Said::Live(passed)));
        }
        self.latest = Some(bytes);
    }

    fn tell_hubs(&mut self, now: Time) {
        for told in self.sites.gathered(now, self.id, self.run, &mut self.gathered) {
            let bytes = self.set.sign(&self.signer, Signs::Gathered, told.encode_to_vec());
            for (_, hub) in self.set.hubs.iter().enumerate().filter(|(i, _)| *i != self.me) {
                self.said.push_back((hub.address, Said::Gathered(bytes.clone())));
            }
        }
    }

    // What comes in.

    /// Of an address, so that nobody can have answers sent elsewhere by saying again what another one said.
    fn token(&self, from: SocketAddr) -> u64 {
        xxh3_64_with_seed(from.to_string().as_bytes(), self.secret).max(1)
    }

    fn follow(&mut self, now: Time, from: SocketAddr, follow: &Follow, counts: &mut Counts) {
        if follow.token != self.token(from) {
            self.said.push_back((from, Said::Challenge(self.token(from))));
            return;
        }
        let old = |f: &Follower| f.run == follow.run && f.number >= follow.number;
        if self.followers.get(&from).is_some_and(old) {
            counts.refused_requests += 1;
            return;
        }
        let begins = !self.followers.get(&from).is_some_and(|f| f.is_live(now));
        if begins && !follow.ends && !self.make_room(now, &follow.site) {
            counts.refused_requests += 1;
            return;
        }
        let (site, run, number, ends) = (follow.site.clone(), follow.run, follow.number, follow.ends);
        self.followers.insert(from, Follower { site, run, number, at: now, ends });
        if !follow.ends {
            self.sites.touched(now, &follow.site);
        }
        if let Some(bytes) = self.latest.clone().filter(|_| begins && !follow.ends) {
            self.said.push_back((from, Said::Live(Passed { bundle: bytes, via: 0 })));
        }
    }

    fn make_room(&mut self, now: Time, site: &str) -> bool {
        let live = self.followers.iter().filter(|(_, f)| f.site == site && f.is_live(now));
        let live: Vec<(Time, SocketAddr)> = live.map(|(a, f)| (f.at, *a)).collect();
        if live.len() >= AT_A_SITE {
            let Some((_, oldest)) = live.iter().min().filter(|(at, _)| now - *at > GIVES_WAY) else {
                return false;
            };
            if let Some(f) = self.followers.get_mut(oldest) {
                f.ends = true;
            }
        }
        if self.followers.len() >= MOST_FOLLOWERS {
            let past = self.followers.iter().filter(|(_, f)| !f.is_live(now)).min_by_key(|(_, f)| f.at);
            let Some(past) = past.map(|(a, _)| *a) else { return false };
            self.followers.remove(&past);
        }
        true
    }

    fn fetch(&mut self, now: Time, from: SocketAddr, fetch: &Fetch, counts: &mut Counts) {
        if fetch.token != self.token(from) {
            self.said.push_back((from, Said::Challenge(self.token(from))));
            return;
        }
        if fetch.site.is_empty()
            || self.budgets.len() >= MOST_SITES && !self.budgets.contains_key(&fetch.site)
        {
            counts.refused_requests += 1;
            return;
        }
        let budget = self.budgets.entry(fetch.site.clone()).or_insert_with(|| Bucket::new(now, FOUND));
        if !budget.take(now, FOUND, FOUND) {
            counts.refused_requests += 1;
            return;
        }
        let said = match self.found(now, &fetch.ranges, fetch.late) {
            Some(bytes) => Said::Found(bytes),
            None => {
                counts.lacked += 1;
                Said::Lacks(true)
            }
        };
        self.said.push_back((from, said));
    }

    fn found(&mut self, now: Time, ranges: &[Range], late: bool) -> Option<Vec<u8>> {
        if let Some(body) = self.composer.old(now, ranges, late) {
            return Some(self.sign(&body));
        }
        // What this one lacks another hub may have told.
        self.log.find(ranges, Time::default(), 1).first().map(|bytes| bytes.to_vec())
    }

    /// Another hub's bundle: kept, and handed on where it tells of a stream that is lacking here.
    fn bundle(&mut self, now: Time, bytes: &[u8], counts: &mut Counts) {
        let Some(body) = common::bundle(bytes) else {
            counts.refused_forms += 1;
            return;
        };
        if self.seen.has(&body.named()) {
            counts.copies += 1;
            return;
        }
        if !self.set.is_signed(body.hub, Signs::Bundle, bytes) {
            counts.refused_signatures += 1;
            return;
        }
        let Some(hub) = self.set.hub_of(body.hub).filter(|h| body.is_sound() && *h != self.me) else {
            counts.refused_forms += 1;
            return;
        };
        self.seen.insert(body.named());
        counts.bundles += 1;
        self.others[hub] = Some(now);
        self.log.push(now, &body, bytes);
        self.composer.heard.insert(body.hub, body.latest());
        let mut hands_on = false;
        for (s, first, last) in body.ranges().filter(|r| r.0 < self.set.streams.len()) {
            if !self.lacks(now, s) {
                self.via[s] = None;
                continue;
            }
            let silent = |h: usize| self.others[h].is_none_or(|at| now - at > self.set.silent);
            let fresh = body.ages.get(s).is_some_and(|age| *age < 200);
            if self.via[s].is_none_or(silent) && fresh {
                self.via[s] = Some(hub);
            }
            let source = &mut self.composer.sources[s];
            if self.via[s] == Some(hub) && source.told.is_none_or(|t| last > t) {
                // Between what was told and the first number there may be a gap, which followers see.
                hands_on |= first <= last || source.told.is_none();
                source.told = Some(last);
            }
        }
        if hands_on {
            self.send_followers(now, bytes);
        }
    }

    fn gathered(&mut self, now: Time, bytes: &[u8], counts: &mut Counts) {
        let Some(told) = common::gathered(bytes) else {
            counts.refused_forms += 1;
            return;
        };
        if !self.set.is_signed(told.hub, Signs::Gathered, bytes) {
            counts.refused_signatures += 1;
            return;
        }
        self.sites.told(now, &told);
        self.sites.weigh(now);
    }

    fn report(&mut self, now: Time, report: &Report, counts: &mut Counts) {
        if report.of.is_none_or(|of| (of.hub, of.run) != (self.id, self.run)) {
            return;
        }
        match self.sites.report(now, report) {
            Taken::Good => self.sites.weigh(now),
            Taken::Passed => {}
            Taken::Refused => counts.refused_reports += 1,
        }
    }

    pub fn said(&mut self, now: Time, from: SocketAddr, said: &Said, counts: &mut Counts) {
        match said {
            Said::Live(p) => self.bundle(now, &p.bundle, counts),
            Said::Follow(follow) => self.follow(now, from, follow, counts),
            Said::Fetch(fetch) => self.fetch(now, from, fetch, counts),
            Said::Report(report) => self.report(now, report, counts),
            Said::Gathered(bytes) => self.gathered(now, bytes, counts),
            _ => counts.refused_forms += 1,
        }
    }

    pub fn missing(&self, now: Time) -> Vec<Missing> {
        self.sites.missing(now)
    }

    pub fn next_wake(&self, now: Time) -> Time {
        let at = self.period.min(self.gather);
        self.spaced.map_or(at, |s| s.min(at)).max(now)
    }

    pub fn tick(&mut self, now: Time, counts: &mut Counts) {
        if now >= self.gather {
            self.gather = now + GATHER_EVERY;
            self.tell_hubs(now);
        }
        if now >= self.period {
            // A host that was held up leaves periods out, and keeps its place among the hubs.
            while self.period <= now {
                self.period += self.set.period.max(Span::from_millis(1));
            }
            self.asks = !self.asks;
            if self.asks {
                self.gather = self.gather.min(now + GATHER_AFTER);
            }
            self.composer.begin_period();
            self.tell(now, counts);
        } else if self.spaced.is_some_and(|at| now >= at) {
            self.tell(now, counts);
        }
        counts.dropped = self.composer.dropped;
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("feed followers", self.followers.len()),
            ("feed sites", self.sites.held()),
            ("feed events kept", self.composer.kept()),
            ("feed lines kept", self.composer.lines()),
            ("feed pieces queued", self.composer.queued()),
            ("feed bundles kept", self.log.held()),
            ("feed bundles seen", self.seen.held()),
            ("feed budgets", self.budgets.len()),
        ]
    }

    pub fn check_rules(&self) -> Result<(), String> {
        self.composer.check_rules()?;
        self.sites.check_rules()?;
        self.log.check_rules()?;
        if self.followers.len() > MOST_FOLLOWERS || self.budgets.len() > MOST_SITES {
            return Err(format!("{} followers, {} budgets", self.followers.len(), self.budgets.len()));
        }
        Ok(())
    }
}

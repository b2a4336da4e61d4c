//! A gateway's part: who of its site hears a hub for the others, the tree by which a bundle goes round, repair among
//! neighbours, and what is confirmed. Must never move a position by what no hub has signed, nor answer one that is
//! neither of its site nor a hub.

use crate::code;
use crate::common::{self, Bucket, Set, Signs, short};
use crate::compose::{Composer, Head};
use crate::log::Log;
use crate::positions::MOST_NO;
use crate::rank;
use crate::report::{self, Ends, Gather};
use crate::streams::{Stream, Streams};
use crate::wire::{Bundle, Confirm, Fetch, Follow, MOST_RANGES, Named, Passed, Range, Said};
use crate::{Counts, Out, Unusable};
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::{Span, Time};
use prost::Message;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Whom each member hands a bundle to.
const ARITY: usize = 3;
const GOLDEN: u64 = 0x9e37_79b9_7f4a_7c15;
/// From one in the order to the next, before it steps in.
const STEP: Span = Span::from_millis(150);
/// Alone at the start: others may only not be known yet.
const ALONE: Span = Span::from_millis(1_000);
const FOLLOW_EVERY: Span = Span::from_millis(1_000);
/// With no word from any hub the next one is tried so soon.
const NEXT_HUB: Span = Span::from_millis(600);
/// Whether the first hub in the site's order is back.
const FIRST_AGAIN: Span = Span::from_millis(30_000);
/// A first request waits so long for what comes out of order; on the way from a hub that is longer.
const OUT_OF_ORDER: Span = Span::from_millis(10);
const OUT_OF_ORDER_FAR: Span = Span::from_millis(40);
const AGAIN: Span = Span::from_millis(80);
const AGAIN_FAR: Span = Span::from_millis(250);
const AGAIN_MOST: Span = Span::from_millis(1_000);
/// One that is no contact leaves a gap to its contact for so long, and then to chance for as long again.
const HUB_AFTER: Span = Span::from_millis(600);
/// What came before that does not bind any more.
const LATE: Span = Span::from_millis(30_000);
const CONFIRM_AFTER: Span = Span::from_millis(150);
const REPORT_AFTER: Span = Span::from_millis(300);
/// A confirmation is said once more, and a report made once more of what has come since: one datagram lost, or a bundle had
/// late by repair, would put the watermark off by a whole round, and among thousands there are some in each.
const ONCE_MORE: Span = Span::from_millis(60);
const REPORT_AGAIN: Span = Span::from_millis(500);
const MOST_ONCE_MORE: usize = 64;
const MOST_DUE: usize = 16;
const MOST_UNHANDED: usize = 64;
/// Bundles in answer to one request, and in a second to one member.
const MOST_FOUND: usize = 4;
const FOUND_PER_S: f64 = 40.0;
/// A bundle that is older than what was known so long ago is no sign of life.
const OLD: Span = Span::from_millis(2_000);
/// A bundle comes a period after the last one and so much later at the most, when nothing is lost.
const OVERDUE: Span = Span::from_millis(150);
/// Without hubs the next place in the order asks list services so much later than all had their turn.
const NEXT_PLACE: Span = Span::from_millis(2_000);
/// Pieces and backlogs go out in bundles so far apart.
const SPACED: Span = Span::from_millis(20);
/// Sites that there are, as long as no hub has told.
const SITES: u32 = 64;
/// What is gathered without hubs is kept no longer than until it is told.
const MOST_GATHERED: usize = 4_096;

struct Contact {
    /// In the set's order.
    hub: usize,
    since: Time,
    tries: u32,
    next: Time,
    first_again: Time,
}

#[derive(Default)]
struct Repair {
    next: Option<Time>,
    since: Time,
    tries: u32,
    seen: u64,
    from: Option<SocketAddr>,
    asked: Option<SocketAddr>,
    /// No request to a hub before, from one that is no contact; and to a neighbour, from a contact.
    hub_at: Time,
    near_at: Time,
}

/// What is wanted of before the start: by stream, up to which number it isn't there yet, and what is there below that.
struct Late {
    until: Time,
    next: Time,
    tries: u32,
    /// The hub that was asked last, and how many had nothing.
    asked: Option<SocketAddr>,
    lacked: u32,
    floors: BTreeMap<usize, (u64, VecDeque<(u64, u64)>)>,
}

/// A connection to a list service.
#[derive(Default)]
struct Asking {
    open: bool,
    next: Option<Time>,
    tries: u32,
}

struct Due {
    at: Time,
    named: Named,
    root: SocketAddr,
    ends: Ends,
}

pub struct Site {
    set: Arc<Set>,
    name: String,
    run: u32,
    rng: Pcg64Mcg,
    members: BTreeMap<String, SocketAddr>,
    by_address: BTreeMap<SocketAddr, String>,
    /// The others in the common order, and one's own place in it.
    ranked: Vec<String>,
    place: usize,
    start: Time,
    pub streams: Streams,
    log: Log,
    /// Got by repair and not by the tree.
    unhanded: VecDeque<Named>,
    /// The latest number of each hub and its run.
    latest: BTreeMap<u32, (u32, u64)>,
    /// Positions of late, and of somewhat earlier.
    was: [Vec<u64>; 2],
    was_at: Time,
    /// A hub's live bundle was heard: by any way, and from the hub itself.
    heard: Option<Time>,
    direct: Option<Time>,
    /// When the next one has to be here.
    overdue: Option<Time>,
    /// What one before it in the order gathered without hubs.
    gathered: Option<Time>,
    /// The place of the contact that was heard last.
    via: u32,
    contact: Option<Contact>,
    tokens: Vec<u64>,
    followed: u64,
    repair: Repair,
    late: Option<Late>,
    dues: VecDeque<Due>,
    /// To be said once more, and when.
    once_more: VecDeque<(Time, SocketAddr, Said)>,
    gathers: BTreeMap<Named, Gather>,
    asking: Vec<Asking>,
    composer: Composer,
    period: Time,
    again: Option<Vec<u8>>,
    sites: u32,
    budgets: BTreeMap<SocketAddr, Bucket>,
    grace_at: Option<Time>,
    pub said: VecDeque<(SocketAddr, Said)>,
}

impl Site {
    pub fn new(set: Arc<Set>, gateway: &str, run: u64, seed: u64, now: Time) -> Site {
        let known: Vec<u64> = set.streams.iter().map(|s| s.known).collect();
        let run = short(run);
        Site {
            name: gateway.to_owned(),
            run,
            rng: Pcg64Mcg::seed_from_u64(seed ^ rank::key(gateway)),
            members: BTreeMap::new(),
            by_address: BTreeMap::new(),
            ranked: Vec::new(),
            place: 0,
            start: now,
            streams: Streams::new(known.iter().copied()),
            log: Log::default(),
            unhanded: VecDeque::new(),
            latest: BTreeMap::new(),
            was: [known.clone(), known.clone()],
            was_at: now,
            heard: None,
            direct: None,
            overdue: None,
            gathered: None,
            via: 0,
            contact: None,
            tokens: vec![0; set.hubs.len()],
            followed: 0,
            repair: Repair::default(),
            late: None,
            dues: VecDeque::new(),
            once_more: VecDeque::new(),
            gathers: BTreeMap::new(),
            asking: known.iter().map(|_| Asking::default()).collect(),
            composer: Composer::new(0, run, &known, MOST_GATHERED),
            period: now,
            again: None,
            sites: SITES,
            budgets: BTreeMap::new(),
            grace_at: None,
            said: VecDeque::new(),
            set,
        }
    }

    pub fn members<'a>(&mut self, live: impl Iterator<Item = (&'a str, SocketAddr)>) {
        self.members = live.filter(|(n, _)| *n != self.name).map(|(n, a)| (n.to_owned(), a)).collect();
        self.by_address = self.members.iter().map(|(n, a)| (*a, n.clone())).collect();
        self.ranked = self.members.keys().cloned().collect();
        self.ranked.sort_by_cached_key(|n| std::cmp::Reverse((rank::score(n, rank::ORDER), n.clone())));
        self.place = rank::place(self.ranked.iter().map(String::as_str), &self.name, rank::ORDER);
        self.budgets.retain(|address, _| self.by_address.contains_key(address));
        self.gathers.values_mut().for_each(|g| g.got.retain(|n, _| self.members.contains_key(n)));
        self.repair.from = self.repair.from.filter(|a| self.by_address.contains_key(a));
    }

    // The way through the site.

    /// All of the site in the order of one bundle's tree: an order for each hub, turned on by its number, so that each
    /// one carries as much as the others over any row of bundles.
    fn tree(&self, named: &Named) -> Vec<&str> {
        self.order(named, named.number)
    }

    /// Who gathers what is confirmed: every second bundle asks, and each one's turn comes.
    fn gatherer(&self, named: &Named) -> &str {
        self.order(named, named.number / 2)[0]
    }

    fn order(&self, named: &Named, turn: u64) -> Vec<&str> {
        let mut all: Vec<&str> = self.members.keys().map(String::as_str).collect();
        all.push(&self.name);
        all.sort_by_cached_key(|n| std::cmp::Reverse((rank::score(n, named.hub.into()), *n)));
        // By the golden section (Weyl's sequence): turns spread evenly, and who knows one member more or less turns to
        // nearly the same place.
        let start = (u128::from(turn.wrapping_mul(GOLDEN)) * all.len() as u128) >> 64;
        all.rotate_left(start as usize);
        all
    }

    fn hand_on(&mut self, named: &Named, bytes: &[u8], via: u32, root_too: bool) {
        let tree = self.tree(named);
        let Some(own) = tree.iter().position(|n| *n == self.name) else { return };
        let children = (ARITY * own + 1..=ARITY * own + ARITY).filter(|i| *i < tree.len());
        let root = (root_too && own != 0).then_some(0);
        // The contact had it first.
        let contact = if root_too { None } else { self.at_place(via) };
        let to = root.into_iter().chain(children).map(|i| tree[i]).filter(|n| contact != Some(*n));
        let to: Vec<SocketAddr> = to.filter_map(|n| self.members.get(n).copied()).collect();
        for address in to {
            let passed = Passed { bundle: bytes.to_vec(), via };
            self.said.push_back((address, Said::Live(passed)));
        }
    }

    /// One that a neighbour gave before it came by its tree: those behind in the tree wait for it all the same.
    fn hand_on_after(&mut self, named: &Named, hub: Option<usize>, via: u32) {
        let Some(at) = self.unhanded.iter().position(|n| n == named) else { return };
        self.unhanded.remove(at);
        let via = if hub.is_some() { self.place as u32 } else { via };
        if let Some(bytes) = self.log.one(*named).map(<[u8]>::to_vec) {
            self.hand_on(named, &bytes, via, hub.is_some());
        }
    }

    /// It is not older than what was known here some seconds ago, nor than the hub's latest.
    fn is_late(&self, body: &Bundle) -> bool {
        let newer = match self.latest.get(&body.hub) {
            Some((run, number)) if *run == body.run => body.number >= *number,
            _ => true,
        };
        let fresh = |s: usize| body.ages.get(s).is_some_and(|age| *age < 100);
        let old = |(s, _, last): (usize, u64, u64)| fresh(s) && self.was[1].get(s).is_some_and(|p| last < *p);
        newer && !body.ages.is_empty() && !body.ranges().any(old)
    }

    fn heard_lately(&self, now: Time) -> bool {
        self.heard.is_some_and(|at| now - at < self.set.silent)
    }

    /// A bundle of a hub on its way through the site, or one that was asked for.
    fn bundle(&mut self, now: Time, from: SocketAddr, bytes: &[u8], via: Option<u32>, counts: &mut Counts) {
        let hub = self.set.hub_at(from);
        let Some(body) = common::bundle(bytes) else {
            counts.refused_forms += 1;
            return;
        };
        let named = body.named();
        if let Some(via) = via.filter(|_| hub.is_none()) {
            self.steps_back(via, &body);
        }
        if self.streams.seen.has(&named) {
            counts.copies += 1;
            if let Some(via) = via {
                if hub.is_some() {
                    self.heard_itself(now, hub, &body);
                }
                self.hand_on_after(&named, hub, via);
            }
            return;
        }
        if !self.set.is_signed(body.hub, Signs::Bundle, bytes) {
            counts.refused_signatures += 1;
            return;
        }
        let names = if body.names.is_empty() { None } else { code::decode(&body.names) };
        if !body.is_sound() || names.is_none() != body.names.is_empty() {
            counts.refused_forms += 1;
            return;
        }
        self.streams.seen.insert(named);
        counts.bundles += 1;
        let live = via.is_some() && self.is_late(&body);
        if live {
            self.heard = Some(now);
            self.overdue = Some(now + self.set.period + OVERDUE);
            if hub.is_some() {
                self.direct = Some(now);
                self.speaks(now, hub);
            }
            self.via = if hub.is_some() { self.place as u32 } else { via.unwrap_or(0) };
            self.latest.insert(body.hub, (body.run, body.number));
            if body.sites > 0 {
                self.sites = body.sites;
            }
        }
        let missing = self.streams.missing();
        let started = self.streams.take(now, &body, names, live);
        self.log.push(now, &body, bytes);
        match via {
            Some(_) if hub.is_some() => self.hand_on(&named, bytes, self.place as u32, true),
            Some(via) => self.hand_on(&named, bytes, via, false),
            // What a hub sends for one who was away the whole site has missed.
            None if hub.is_some() && self.contact.is_some() => {
                self.hand_on(&named, bytes, self.place as u32, true);
            }
            None => {
                counts.repaired += 1;
                self.unhanded.push_back(named);
                if self.unhanded.len() > MOST_UNHANDED {
                    self.unhanded.pop_front();
                }
            }
        }
        let latest =
            self.latest.get(&body.hub).is_some_and(|(run, n)| *run == body.run && body.number + 4 > *n);
        if latest && body.asks {
            self.confirm_later(now, named, &body);
        }
        self.starts(now, started);
        self.lower(&body);
        self.repairs(now, from, missing);
    }

    /// Another contact in front is heard: one is enough.
    fn steps_back(&mut self, via: u32, body: &Bundle) {
        if (via as usize) < self.place && self.contact.is_some() && self.is_late(body) {
            self.step_down();
        }
    }

    fn step_down(&mut self) {
        let Some(contact) = self.contact.take() else { return };
        let hub = self.set.order[contact.hub];
        self.follow(hub, true);
        self.close();
    }

    /// A copy that came from a hub: this contact hears it, though another one was faster.
    fn heard_itself(&mut self, now: Time, hub: Option<usize>, body: &Bundle) {
        let is = self.latest.get(&body.hub) == Some(&(body.run, body.number));
        if !is {
            return;
        }
        self.direct = Some(now);
        self.speaks(now, hub);
        if (self.via as usize) > self.place
            && self.contact.is_some()
            && let Some(address) = self.contact_heard()
        {
            self.said.push_back((address, Said::Hears(self.place as u32)));
        }
    }

    // The contact.

    /// Since when nobody brings anything to this one.
    fn quiet_since(&self) -> Time {
        self.heard.max(self.gathered).unwrap_or(self.start)
    }

    /// Since when it may ask list services itself: each place in the order gets its turn before the next one.
    fn asks_from(&self) -> Time {
        let one = self.turns(false) + NEXT_PLACE;
        self.quiet_since() + self.set.silent * 2.0 + one * self.place as f64
    }

    fn contact_or_not(&mut self, now: Time, counts: &mut Counts) {
        let quiet = now - self.quiet_since();
        let known = !self.ranked.is_empty() || now - self.start >= ALONE;
        let first = self.place == 0 && known;
        let steps_in = quiet >= self.set.silent + STEP * self.place as f64;
        if self.contact.is_none() && (first || steps_in) {
            counts.contacts += 1;
            self.contact = Some(Contact {
                hub: 0,
                since: now,
                tries: 0,
                next: now,
                first_again: now + FIRST_AGAIN * self.rng.random_range(1.0..2.0),
            });
        }
        let Some(contact) = &mut self.contact else { return };
        let since = self.direct.map_or(contact.since, |d| d.max(contact.since));
        let patience = if contact.tries == 0 { self.set.silent } else { NEXT_HUB };
        if now - since >= patience {
            contact.hub = (contact.hub + 1) % self.set.order.len();
            (contact.since, contact.next) = (now, now);
            contact.tries += 1;
            counts.hubs_left += 1;
        }
        if contact.next <= now {
            contact.next = now + FOLLOW_EVERY;
            let hub = self.set.order[contact.hub];
            let first = contact.hub != 0 && now >= contact.first_again;
            if first {
                contact.first_again = now + FIRST_AGAIN * self.rng.random_range(1.0..2.0);
            }
            self.follow(hub, false);
            if first {
                self.follow(self.set.order[0], false);
            }
        }
    }

    /// A hub speaks to this contact itself: it stays with that one.
    fn speaks(&mut self, now: Time, hub: Option<usize>) {
        let Some(contact) = &mut self.contact else { return };
        let Some(at) = self.set.order.iter().position(|h| Some(*h) == hub) else { return };
        let before = contact.hub;
        // Back to the first one, or to whoever speaks while the one that was asked does not.
        if at != before && at != 0 && contact.tries == 0 {
            return;
        }
        (contact.hub, contact.tries) = (at, 0);
        if at != before {
            contact.since = now;
            self.follow(self.set.order[before], true);
        }
    }

    fn follow(&mut self, hub: usize, ends: bool) {
        self.followed += 1;
        let follow = Follow {
            site: self.set.site.clone(),
            gateway: self.name.clone(),
            run: self.run,
            number: self.followed,
            token: self.tokens[hub],
            ends,
            positions: self.streams.all.iter().map(|s| s.hard.position()).collect(),
        };
        self.said.push_back((self.set.hubs[hub].address, Said::Follow(follow)));
    }

    fn challenged(&mut self, now: Time, from: SocketAddr, token: u64) {
        let Some(hub) = self.set.hub_at(from).filter(|h| self.tokens[*h] != token) else { return };
        self.tokens[hub] = token;
        if self.contact.as_ref().is_some_and(|c| self.set.order[c.hub] == hub || hub == self.set.order[0]) {
            self.follow(hub, false);
        }
        if self.repair.asked == Some(from) {
            self.ask_hub(now, hub);
        }
    }

    // Repair.

    fn starts(&mut self, now: Time, started: Vec<(usize, u64)>) {
        let before = started.into_iter().filter(|(_, floor)| *floor > 0);
        let floors: BTreeMap<_, _> = before.map(|(s, floor)| (s, (floor, VecDeque::new()))).collect();
        if !floors.is_empty() {
            let next = now + Span::from_millis(self.rng.random_range(10..100));
            let late = self.late.get_or_insert(Late {
                until: now + LATE,
                next,
                tries: 0,
                asked: None,
                lacked: 0,
                floors: BTreeMap::new(),
            });
            late.floors.extend(floors);
        }
    }

    /// What has come of before the start.
    fn lower(&mut self, body: &Bundle) {
        let Some(late) = &mut self.late else { return };
        for (s, first, last) in body.ranges().filter(|(_, first, last)| first <= last) {
            let Some((floor, below)) = late.floors.get_mut(&s) else { continue };
            below.push_back((first, last));
            // Answers come in any order.
            while let Some(at) = below.iter().position(|(a, b)| a <= floor && *floor <= *b) {
                *floor = below[at].0 - 1;
                below.remove(at);
                late.tries = late.tries.min(6);
            }
            if below.len() > MOST_UNHANDED {
                below.pop_front();
            }
        }
        late.floors.retain(|_, (floor, _)| *floor > 0);
    }

    /// Sets repair going where there are gaps; `before`: numbers that were missing before this bundle.
    fn repairs(&mut self, now: Time, from: SocketAddr, before: u64) {
        if self.streams.is_whole() {
            self.repair.next = None;
            return;
        }
        let seen: u64 = self.streams.all.iter().map(|s| s.hard.seen()).sum();
        let grows = self.streams.missing() > before;
        let far = self.contact.is_some();
        if self.repair.next.is_none() || grows && seen > self.repair.seen {
            self.repair.since = now;
            self.repair.tries = 0;
            self.repair.next = Some(now + if far { OUT_OF_ORDER_FAR } else { OUT_OF_ORDER });
            self.repair.from = self.by_address.contains_key(&from).then_some(from);
        }
        self.repair.seen = seen;
        if self.streams.missing() >= before {
            return;
        }
        let near = self.by_address.contains_key(&from);
        if near || far {
            // While others bring it, a hub is left to them.
            self.repair.since = now;
        }
        if near && self.repair.asked == Some(from) {
            // It has more of it, likely.
            self.repair.tries = self.repair.tries.min(3);
            self.repair.next = self.repair.next.map(|at| at.min(now + AGAIN));
        }
    }

    fn ranges(&self, now: Time) -> Vec<Range> {
        self.streams.gaps(now, MOST_RANGES)
    }

    fn ask_hub(&mut self, now: Time, hub: usize) {
        let ranges = self.ranges(now);
        let fetch =
            Fetch { ranges, site: self.set.site.clone(), token: self.tokens[hub], ..Fetch::default() };
        if !fetch.ranges.is_empty() {
            let address = self.set.hubs[hub].address;
            self.repair.asked = Some(address);
            self.said.push_back((address, Said::Fetch(fetch)));
        }
    }

    fn neighbour(&mut self) -> Option<SocketAddr> {
        let last = self.repair.asked;
        self.members.values().filter(|a| Some(**a) != last).choose(&mut self.rng).copied()
    }

    fn tick_repair(&mut self, now: Time, counts: &mut Counts) {
        if self.repair.next.is_none_or(|at| at > now) {
            return;
        }
        if self.streams.is_whole() {
            self.repair.next = None;
            return;
        }
        let ranges = self.ranges(now);
        let tries = self.repair.tries;
        self.repair.tries += 1;
        if ranges.is_empty() {
            // Pieces still come.
            self.repair.next = Some(now + AGAIN_FAR);
            return;
        }
        counts.fetches += 1;
        let hubs = self.set.order.len();
        let near = !self.members.is_empty() && now >= self.repair.near_at;
        if let Some(contact) = &self.contact {
            // The hub that is followed, and another one now and then; between them neighbours, who may have been here
            // while this one was not.
            if now >= self.repair.hub_at {
                let turn = tries as usize / 4;
                let hub = self.set.order[(contact.hub + if turn % 4 == 3 { turn } else { 0 }) % hubs];
                self.repair.hub_at = now + AGAIN_FAR;
                self.ask_hub(now, hub);
            } else if near {
                self.ask_neighbour(ranges);
            }
            self.repair.next = Some(if near { now + AGAIN } else { self.repair.hub_at });
            return;
        }
        let wait = if tries < 6 {
            AGAIN
        } else if tries < 12 {
            AGAIN_FAR
        } else {
            AGAIN_MOST
        };
        let long = tries >= 3 && now - self.repair.since >= HUB_AFTER * self.rng.random_range(1.0..2.0);
        if self.members.is_empty() || long && now >= self.repair.hub_at {
            self.repair.hub_at = now + AGAIN_FAR * self.rng.random_range(1.0..3.0);
            self.repair.next = Some(self.repair.hub_at);
            self.ask_hub(now, self.set.order[tries as usize % hubs]);
        } else {
            self.repair.next = Some(now + wait);
            self.ask_neighbour(ranges);
        }
    }

    fn ask_neighbour(&mut self, ranges: Vec<Range>) {
        let from = self.repair.from.take();
        // The contact has whatever came to the site.
        let contact = (self.repair.tries == 2).then(|| self.contact_heard());
        let Some(to) = from.or(contact.flatten()).or_else(|| self.neighbour()) else { return };
        self.repair.asked = Some(to);
        self.said.push_back((to, Said::Fetch(Fetch { ranges, ..Fetch::default() })));
    }

    /// A bundle is over its time: it is asked for before the next one shows that it was lost.
    fn tick_overdue(&mut self, now: Time, counts: &mut Counts) {
        if self.overdue.is_none_or(|at| at > now) {
            return;
        }
        self.overdue = None;
        let started = self.streams.all.iter().enumerate().filter(|(_, t)| t.started);
        let beyond = |(s, t): (usize, &Stream)| {
            let first = t.hard.seen() + 1;
            Range { stream: s as u32, first, last: MOST_NO, offset: 0 }
        };
        let ranges = started.map(beyond).take(MOST_RANGES).collect();
        counts.fetches += 1;
        if let Some(contact) = &self.contact {
            let hub = self.set.order[contact.hub];
            let (site, token) = (self.set.site.clone(), self.tokens[hub]);
            let fetch = Fetch { ranges, site, token, ..Fetch::default() };
            self.said.push_back((self.set.hubs[hub].address, Said::Fetch(fetch)));
        } else if let Some(to) = self.contact_heard() {
            self.said.push_back((to, Said::Fetch(Fetch { ranges, ..Fetch::default() })));
        }
    }

    /// Where the contact is that was heard last, if that is another one.
    fn contact_heard(&self) -> Option<SocketAddr> {
        self.at_place(self.via).and_then(|n| self.members.get(n)).copied()
    }

    /// Who stands there in the common order, where it is another one.
    fn at_place(&self, place: u32) -> Option<&str> {
        let place = place as usize;
        let at = if place > self.place { place - 1 } else { place };
        self.ranked.get(at).filter(|_| place != self.place).map(String::as_str)
    }

    fn tick_late(&mut self, now: Time, counts: &mut Counts) {
        let Some(late) = &mut self.late else { return };
        if late.floors.is_empty() || now >= late.until || late.lacked >= 2 {
            self.late = None;
            return;
        }
        if late.next > now {
            return;
        }
        let tries = late.tries;
        late.tries += 1;
        let range = |(s, below): (&usize, &(u64, VecDeque<_>))| Range {
            stream: *s as u32,
            first: 1,
            last: below.0,
            offset: 0,
        };
        let ranges = late.floors.iter().map(range).take(MOST_RANGES).collect();
        counts.fetches += 1;
        let hub = match &self.contact {
            Some(contact) if tries >= 2 || self.members.is_empty() => Some(contact.hub + tries as usize / 4),
            None if tries >= 6 || self.members.is_empty() => Some(tries as usize),
            _ => None,
        };
        let hub = hub.map(|h| self.set.order[h % self.set.order.len()]);
        late.next = now
            + match hub {
                None => AGAIN,
                Some(_) if tries < 12 => AGAIN_FAR,
                Some(_) => AGAIN_MOST,
            };
        match hub {
            Some(hub) => {
                let (site, token) = (self.set.site.clone(), self.tokens[hub]);
                let fetch = Fetch { ranges, late: true, site, token, one: None };
                late.asked = Some(self.set.hubs[hub].address);
                self.said.push_back((self.set.hubs[hub].address, Said::Fetch(fetch)));
            }
            None => {
                if let Some(to) = self.members.values().choose(&mut self.rng).copied() {
                    let fetch = Fetch { ranges, late: true, ..Fetch::default() };
                    self.said.push_back((to, Said::Fetch(fetch)));
                }
            }
        }
    }

    fn fetched(&mut self, now: Time, from: SocketAddr, fetch: &Fetch, counts: &mut Counts) {
        // Who is not of the site gets nothing, so that what was said elsewhere opens no flood.
        if !self.by_address.contains_key(&from) {
            counts.refused_requests += 1;
            return;
        }
        let since = if fetch.late { now.saturating_sub(LATE) } else { Time::default() };
        let found: Vec<Vec<u8>> = match fetch.one {
            Some(named) => self.log.one(named).map(<[u8]>::to_vec).into_iter().collect(),
            None => self.log.find(&fetch.ranges, since, MOST_FOUND).into_iter().map(<[u8]>::to_vec).collect(),
        };
        if found.is_empty() {
            counts.lacked += 1;
            self.said.push_back((from, Said::Lacks(true)));
            return;
        }
        let budget = self.budgets.entry(from).or_insert_with(|| Bucket::new(now, FOUND_PER_S));
        for bytes in found {
            if budget.take(now, FOUND_PER_S, FOUND_PER_S) {
                self.said.push_back((from, Said::Found(bytes)));
            } else {
                counts.refused_requests += 1;
            }
        }
    }

    fn lacks(&mut self, now: Time, from: SocketAddr) {
        if self.contact.is_some() && self.by_address.contains_key(&from) {
            self.repair.near_at = now + AGAIN_MOST;
        }
        if let Some(late) = self.late.as_mut().filter(|l| l.asked == Some(from)) {
            // Nothing more of late, if another hub says so, too.
            (late.asked, late.lacked) = (None, late.lacked + 1);
        }
        // The next one at once, but only a few times: others wait for the same.
        if self.repair.asked == Some(from) && self.contact.is_none() && self.repair.tries <= 3 {
            self.repair.next = self.repair.next.map(|_| now);
        }
    }

    // Confirmation.

    fn confirm_later(&mut self, now: Time, named: Named, body: &Bundle) {
        let n = self.streams.all.len();
        let ends: Ends = body.ranges().filter(|r| r.0 < n).map(|(s, _, last)| (s, last)).collect();
        let root = self.gatherer(&named).to_owned();
        match self.members.get(&root) {
            Some(root) => {
                self.dues.push_back(Due { at: now + CONFIRM_AFTER, named, root: *root, ends });
                if self.dues.len() > MOST_DUE {
                    self.dues.pop_front();
                }
            }
            None => self.gather(now + REPORT_AFTER, named),
        }
    }

    fn gather(&mut self, due: Time, named: Named) {
        self.gathers.entry(named).or_insert_with(|| Gather { due, told: false, got: BTreeMap::new() });
        if self.gathers.len() > MOST_DUE
            && let Some(oldest) = self.gathers.iter().min_by_key(|(_, g)| g.due).map(|(n, _)| *n)
        {
            self.gathers.remove(&oldest);
        }
    }

    fn confirmed(&mut self, now: Time, from: SocketAddr, confirm: &Confirm) {
        let (Some(name), Some(named)) = (self.by_address.get(&from).cloned(), confirm.of) else { return };
        let known = self.streams.seen.has(&named);
        // One that this root has reported already is over.
        if !self.gathers.contains_key(&named) && (known || self.set.hub_of(named.hub).is_none()) {
            return;
        }
        self.gather(now + CONFIRM_AFTER, named);
        if let Some(gather) = self.gathers.get_mut(&named) {
            let first = gather.got.is_empty();
            gather.got.insert(name, confirm.clone());
            if !known && first {
                self.said.push_back((from, Said::Fetch(Fetch { one: Some(named), ..Fetch::default() })));
            }
        }
    }

    fn tick_reports(&mut self, now: Time) {
        while self.once_more.front().is_some_and(|(at, _, _)| *at <= now) {
            self.said.extend(self.once_more.pop_front().map(|(_, to, said)| (to, said)));
        }
        while self.dues.front().is_some_and(|d| d.at <= now) {
            let Some(due) = self.dues.pop_front() else { break };
            let confirm = report::confirm(due.named, &due.ends, |s| self.streams.all[s].hard.position());
            self.say_twice(now, due.root, Said::Confirm(confirm));
        }
        let over: Vec<Named> = self.gathers.iter().filter(|(_, g)| g.due <= now).map(|(n, _)| *n).collect();
        for named in over {
            let Some(mut gather) = self.gathers.remove(&named) else { continue };
            let body = self.log.one(named).and_then(common::bundle);
            let (Some(body), Some(hub)) = (body, self.set.hub_of(named.hub)) else { continue };
            let n = self.streams.all.len();
            let ends: Ends = body.ranges().filter(|r| r.0 < n).map(|(s, _, last)| (s, last)).collect();
            let own = report::confirm(named, &ends, |s| self.streams.all[s].hard.position());
            gather.got.insert(self.name.clone(), own);
            let live: Vec<String> = self.members.keys().cloned().collect();
            let report = gather.report(&self.set, &self.name, named, &ends, &live);
            self.said.push_back((self.set.hubs[hub].address, Said::Report(report)));
            if !gather.told {
                (gather.told, gather.due) = (true, now + REPORT_AGAIN);
                self.gathers.insert(named, gather);
            }
        }
    }

    fn say_twice(&mut self, now: Time, to: SocketAddr, said: Said) {
        self.once_more.push_back((now + ONCE_MORE, to, said.clone()));
        self.said.push_back((to, said));
        if self.once_more.len() > MOST_ONCE_MORE {
            self.once_more.pop_front();
        }
    }

    // Without hubs.

    pub fn asks(&self, stream: usize) -> bool {
        self.contact.is_some() && self.asking.get(stream).is_some_and(|a| a.open)
    }

    pub fn after(&self, stream: usize) -> u64 {
        match self.asks(stream) {
            true => self.composer.sources[stream].position,
            false => self.streams.all.get(stream).map_or(0, |s| s.soft.position()),
        }
    }

    pub fn line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), Unusable> {
        if stream >= self.asking.len() {
            return Err(Unusable::Stream);
        }
        // Nobody waits for what still comes when a hub is back.
        if self.asks(stream) { self.composer.line(now, stream, line) } else { Ok(()) }
    }

    pub fn last(&mut self, now: Time, stream: usize, no: u64) -> bool {
        !self.asks(stream) || self.composer.last(now, stream, no)
    }

    pub fn ended(&mut self, now: Time, stream: usize) {
        let all = self.turns(self.place > 0);
        let Some(asking) = self.asking.get_mut(stream).filter(|a| a.open) else { return };
        asking.open = false;
        let wait = all * self.rng.random_range(0.5..1.5) * f64::from(1 << asking.tries.min(3));
        asking.tries += 1;
        asking.next = Some(now + wait + Span::from_millis(100));
    }

    /// All sites have asked a list service once in this time, at the common pace; with `all` every gateway has.
    fn turns(&self, all: bool) -> Span {
        let here = if all { self.members.len() + 1 } else { 1 };
        Span::from_secs_f64(f64::from(self.sites) * here as f64 / self.set.connections_per_s)
    }

    fn close(&mut self) {
        self.asking.iter_mut().for_each(|a| *a = Asking::default());
        self.again = None;
    }

    fn tick_asking(&mut self, now: Time, counts: &mut Counts) {
        if self.contact.is_none() {
            return;
        }
        if now < self.asks_from() {
            return self.close();
        }
        let all = self.turns(self.place > 0);
        for s in 0..self.asking.len() {
            let asking = &mut self.asking[s];
            if asking.open {
                continue;
            }
            let wait = self.rng.random_range(0.0..1.0);
            let at = *asking.next.get_or_insert(now + all * wait);
            if at <= now {
                (asking.open, asking.next) = (true, None);
                counts.asked += 1;
                self.composer.reset(s, self.streams.all[s].soft.position());
            }
        }
        if now < self.period || !self.asking.iter().any(|a| a.open) {
            return;
        }
        self.composer.begin_period();
        let body = self.composer.live(&Head { now, done: Vec::new(), sites: 0 });
        self.period = now + if self.composer.has_more() { SPACED } else { self.set.period };
        let bytes = body.encode_to_vec();
        if let Some(names) = Self::names_of(&body) {
            self.streams.seen.insert(body.named());
            self.streams.take_provisional(now, &body, names);
        }
        counts.provisional_made += 1;
        // To each one itself, and once more with the next one: nobody repairs these.
        for address in self.members.values() {
            if let Some(again) = &self.again {
                self.said.push_back((*address, Said::Provisional(again.clone())));
            }
            self.said.push_back((*address, Said::Provisional(bytes.clone())));
        }
        self.again = Some(bytes);
    }

    /// `None`: not as a bundle has to be.
    fn names_of(body: &Bundle) -> Option<Option<PrefixSet>> {
        if !body.is_sound() {
            return None;
        }
        if body.names.is_empty() { Some(None) } else { code::decode(&body.names).map(Some) }
    }

    fn provisional(&mut self, now: Time, from: SocketAddr, bytes: &[u8], counts: &mut Counts) {
        // Guards against one that has the key alone: while a hub is heard, nobody else tells.
        if !self.by_address.contains_key(&from) || self.heard_lately(now) {
            counts.refused_signatures += 1;
            return;
        }
        let Some(body) = Bundle::decode(bytes).ok().filter(|b| b.hub == 0) else {
            counts.refused_forms += 1;
            return;
        };
        let Some(names) = Self::names_of(&body) else {
            counts.refused_forms += 1;
            return;
        };
        if self.streams.seen.has(&body.named()) {
            counts.copies += 1;
            return;
        }
        self.streams.seen.insert(body.named());
        counts.provisional += 1;
        let place = self.by_address.get(&from).and_then(|n| self.ranked.iter().position(|r| r == n));
        if place.is_some_and(|p| p < self.place) {
            self.gathered = Some(now);
            self.step_down();
        }
        self.streams.take_provisional(now, &body, names);
    }

    // Inputs and time.

    pub fn said(&mut self, now: Time, from: SocketAddr, said: &Said, counts: &mut Counts) {
        match said {
            Said::Live(p) => self.bundle(now, from, &p.bundle, Some(p.via), counts),
            Said::Found(bytes) => self.bundle(now, from, bytes, None, counts),
            Said::Provisional(bytes) => self.provisional(now, from, bytes, counts),
            Said::Challenge(token) => self.challenged(now, from, *token),
            Said::Fetch(fetch) => self.fetched(now, from, fetch, counts),
            Said::Lacks(_) => self.lacks(now, from),
            Said::Confirm(confirm) => self.confirmed(now, from, confirm),
            Said::Hears(place) => {
                let lately = self.heard_lately(now) && self.by_address.contains_key(&from);
                if lately && (*place as usize) < self.place {
                    self.step_down();
                }
            }
            Said::Follow(_) | Said::Report(_) | Said::Gathered(_) => counts.refused_forms += 1,
        }
    }

    pub fn next_wake(&self, now: Time) -> Time {
        let mut at = now + Span::from_millis(1_000);
        let mut by = |t: Time| at = at.min(t);
        let quiet = self.quiet_since();
        match &self.contact {
            Some(contact) => {
                by(contact.next);
                let since = self.direct.map_or(contact.since, |d| d.max(contact.since));
                by(since + if contact.tries == 0 { self.set.silent } else { NEXT_HUB });
                by(self.asks_from().max(now + Span::from_millis(100)));
                self.asking.iter().filter_map(|a| a.next).for_each(&mut by);
                if self.asking.iter().any(|a| a.open) {
                    by(self.period);
                }
            }
            None if self.place == 0 => by(if self.ranked.is_empty() { self.start + ALONE } else { now }),
            None => by(quiet + self.set.silent + STEP * self.place as f64),
        }
        self.repair.next.into_iter().chain(self.overdue).for_each(&mut by);
        self.late.iter().for_each(|l| by(l.next));
        self.dues.front().into_iter().for_each(|d| by(d.at));
        self.once_more.front().into_iter().for_each(|(at, _, _)| by(*at));
        self.gathers.values().for_each(|g| by(g.due));
        self.grace_at.into_iter().for_each(&mut by);
        at.max(now)
    }

    pub fn tick(&mut self, now: Time, counts: &mut Counts) {
        if now - self.was_at >= OLD {
            self.was_at = now;
            let fresh = self.streams.all.iter().map(|s| s.hard.position()).collect();
            self.was = [fresh, std::mem::take(&mut self.was[0])];
        }
        self.contact_or_not(now, counts);
        self.tick_asking(now, counts);
        self.tick_reports(now);
        self.tick_repair(now, counts);
        self.tick_late(now, counts);
        self.tick_overdue(now, counts);
        self.look(now);
    }

    /// Gaps that have come or gone.
    pub fn look(&mut self, now: Time) {
        self.grace_at = self.streams.grace(now, self.set.grace);
    }

    pub fn out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.streams.out)
    }

    pub fn is_contact(&self) -> bool {
        self.contact.is_some()
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = vec![
            ("feed members", self.members.len()),
            ("feed bundles kept", self.log.held()),
            ("feed confirmations due", self.dues.len()),
            ("feed said once more", self.once_more.len()),
            ("feed reports gathered", self.gathers.len()),
            ("feed events gathered", self.composer.kept()),
            ("feed budgets", self.budgets.len()),
            ("feed hubs heard", self.latest.len()),
        ];
        all.extend(self.streams.sizes());
        all
    }

    pub fn check_rules(&self) -> Result<(), String> {
        self.streams.check_rules()?;
        self.log.check_rules()?;
        self.composer.check_rules()?;
        let bounds = [
            ("confirmations due", self.dues.len(), MOST_DUE),
            ("to be said once more", self.once_more.len(), MOST_ONCE_MORE),
            ("reports gathered", self.gathers.len(), MOST_DUE),
            ("hubs heard", self.latest.len(), self.set.hubs.len()),
            ("budgets", self.budgets.len(), self.members.len()),
            ("bundles not handed on", self.unhanded.len(), MOST_UNHANDED),
            ("bundles seen", self.streams.seen.held(), crate::log::MOST_SEEN),
        ];
        for (what, is, most) in bounds {
            if is > most {
                return Err(format!("{is} {what}, {most} at most"));
            }
        }
        let members = self.members.len() + 1;
        match self.gathers.values().find(|g| g.got.len() > members) {
            Some(g) => Err(format!("{} confirmations of {members} members", g.got.len())),
            None => Ok(()),
        }
    }
}

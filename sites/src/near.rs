//! The near end of all links of a gateway, without I/O or clock: the state of each link, what waits for it, what is
//! out on it, and what becomes of hops when it breaks. Inputs only update what is known; the host pulls `Act`s by
//! `poll` and comes back by `next_wake`. Must never end a hop that must not run twice as not run unless the far end
//! says so or nothing of it was sent; nor end one twice.
//!
//! A link is suspected by its own signs of life (RFC 6298), and comes back as parents do: by trials, then in capped
//! steps.

use crate::pace::Pace;
use crate::queue::{Queue, Waiting};
use crate::rtt::RoundTrip;
use crate::settings::{Limits, Sites};
use crate::wire::{Fate, MOST_ANSWER};
use kelpcart::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// So many round trips' time-outs without a sign of life, while one is owed, and a link is suspected.
const SUSPECTED_AFTER: f64 = 3.0;
/// Signs of life in time, one after the other, before a suspected link carries txns again.
const TRIALS: u32 = 3;
/// The part of the far end's credit that is used: at the least, and the step up each second; both are the module's
/// for parents (standby share, half a capped step).
const STANDBY: f64 = 0.05;
const STEP: f64 = 0.075;
const SECOND: Span = Span::from_millis(1_000);
/// A busy link is asked for a sign of life no more often than this.
const BUSY_PING: Span = Span::from_millis(50);
/// Waits between tries to connect grow by this, each spread by half its length.
const BACK_OFF: f64 = 2.0;
/// Questions for signs of life that may be without an answer.
const MOST_PINGS: usize = 16;
/// The part by which the mean of what answers take follows.
const FOLLOWS: f64 = 0.125;
/// An answer is held to be of so many bytes before the first has come.
const FIRST_ANSWER: f64 = 16.0 * 1024.0;
const SETTLES: Span = Span::from_millis(500);
/// Numbers in one question.
const MOST_ASKED: usize = 256;
/// A hop's request that is not told in bytes: its fields.
pub const REQUEST: f64 = 200.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The far end's answer, which the host has.
    Answered,
    /// Nothing was sent: the link is down, suspected, or the far end takes no more.
    Down,
    /// Nothing was sent: there is no room, or it can't cross in its time.
    Full,
    /// Nothing was sent: it has crossed the peer's site before, or too many.
    Loop,
    /// It was sent, and the far end had no room for it, or leaves: it did not run and will not.
    Turned,
    /// It was sent, and the far end says that it never ran and never will.
    NeverTaken,
    /// It was sent, may have run, and nothing more will be known.
    Lost,
    /// Its time is over, and it may have run.
    TimedOut,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Dial {
        link: usize,
    },
    /// Close the connection, whatever it does.
    Drop {
        link: usize,
    },
    /// Write the request; the far end has the span from when it comes.
    Send {
        link: usize,
        number: u64,
        left: Span,
    },
    GiveUp {
        link: usize,
        number: u64,
    },
    Ask {
        link: usize,
        /// The ledger that they were sent to.
        ledger: u64,
        numbers: Vec<u64>,
    },
    Ping {
        link: usize,
        number: u64,
    },
    /// The link carries again.
    Back {
        link: usize,
    },
    Settle {
        link: usize,
        below: u64,
    },
    End {
        number: u64,
        end: End,
    },
}

/// What a far end says of itself when a connection stands.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome {
    /// Whose answers to questions about earlier hops are worth something.
    pub ledger: u64,
    pub credit: u32,
    pub leaving: bool,
    /// It may be asked about what earlier ledgers had taken, too.
    pub recalls: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Phase {
    /// No connection; the next try at the time.
    Idle(Time),
    /// The connection is given up then, if it has not come.
    Dialling(Time),
    Up,
    /// It gave signs of life in time since it was suspected, so many.
    Trial(u32),
    /// Since when.
    Suspected(Time),
}

/// A hop that is to cross.
pub struct Want<'a> {
    pub importance: u8,
    /// It must not run twice.
    pub once: bool,
    /// The size that the txn tells, in KB.
    pub need: Option<f64>,
    /// Bytes of its request's body.
    pub body: usize,
    pub until: Time,
    /// When its SLA time is over.
    pub wanted: Time,
    /// The sites it has crossed before this one.
    pub path: &'a [String],
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Queued,
    Sent,
    /// Its connection broke, and the far gateway with this ledger knows what became of it.
    Doubt,
    /// It was asked about on the link.
    Asked,
    /// It runs there, and its answer comes by the link.
    Runs,
}

#[derive(Debug)]
struct Hop {
    link: usize,
    importance: u8,
    once: bool,
    need: Option<f64>,
    bytes: f64,
    until: Time,
    /// When it ends if nothing else ends it: at its time, or as soon as it can't cross and be answered in it.
    due: Time,
    state: State,
    /// When its request went out, while that is on the link; and what has come of its answer.
    sent: Option<Time>,
    came: f64,
    /// The ledger it was sent to.
    ledger: u64,
}

struct Link {
    site: String,
    phase: Phase,
    rtt: RoundTrip,
    pace: Pace,
    queue: Queue,
    ledger: Option<u64>,
    /// The far end may know what earlier ledgers had taken.
    recalls: bool,
    credit: u32,
    leaving: bool,
    part: f64,
    was_up: bool,
    clean: bool,
    next_step: Time,
    out: BTreeSet<u64>,
    /// The first thing sent since the last sign of life.
    owed: Option<Time>,
    /// Questions without an answer yet; each answer names its own, so that none is taken for another's.
    pings: VecDeque<(u64, Time)>,
    /// What answers take from when their request is sent, in seconds; `None` before the first.
    took: Option<f64>,
    next_ping: Time,
    tries: u32,
    settled: u64,
}

impl Link {
    fn connected(&self) -> bool {
        matches!(self.phase, Phase::Up | Phase::Trial(_) | Phase::Suspected(_))
    }

    /// What an answer takes on average, the round trip included.
    fn answers(&self) -> Span {
        Span::from_secs_f64(self.took.unwrap_or(0.0))
    }

    /// How long one that comes now waits for the credit of those before it.
    fn waits(&self) -> Span {
        let before = (self.out.len() + self.queue.len() + 1).saturating_sub(self.allowed());
        self.answers() * (before as f64 / self.allowed() as f64)
    }

    fn allowed(&self) -> usize {
        ((f64::from(self.credit) * self.part).floor() as usize).max(1)
    }
}

/// Bytes on their way that matter as much: what matters less gives way at the far end's sender.
fn on_the_way(link: &Link, hops: &BTreeMap<u64, Hop>, importance: u8) -> f64 {
    let out = link.out.iter().filter_map(|n| hops.get(n));
    out.filter(|h| h.importance >= importance).map(|h| h.bytes).sum()
}

/// What is known of a link, for counters and tests.
#[derive(Clone, Copy, Debug)]
pub struct View {
    pub phase: Phase,
    pub part: f64,
    pub out: usize,
    pub queued: usize,
    pub round_trip: Span,
    pub rate: Option<f64>,
    pub leaving: bool,
}

pub struct Near {
    limits: Limits,
    rng: Pcg64Mcg,
    links: Vec<Link>,
    hops: BTreeMap<u64, Hop>,
    by_time: BTreeSet<(Time, u64)>,
    /// Numbers of hops that must not run twice and are open.
    once: BTreeSet<u64>,
    next: u64,
    pings: u64,
    /// Bytes of an answer for each KB that its txn told, and of any answer.
    per_kb: Option<f64>,
    mean: f64,
    next_settle: Time,
    acts: VecDeque<Act>,
}

impl Near {
    pub fn new(sites: &Sites, seed: u64, now: Time) -> Near {
        let l = &sites.limits;
        let link = |site: &String| Link {
            site: site.clone(),
            phase: Phase::Idle(now),
            rtt: RoundTrip::default(),
            pace: Pace::default(),
            queue: Queue::new(l.queue, (l.queue_kb * 1024) as f64),
            ledger: None,
            recalls: false,
            credit: 0,
            leaving: false,
            part: 1.0,
            was_up: false,
            clean: true,
            next_step: now + SECOND,
            out: BTreeSet::new(),
            owed: None,
            pings: VecDeque::new(),
            took: None,
            next_ping: now,
            tries: 0,
            settled: 1,
        };
        Near {
            limits: l.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            links: sites.peers.iter().map(|p| link(&p.site)).collect(),
            hops: BTreeMap::new(),
            by_time: BTreeSet::new(),
            once: BTreeSet::new(),
            next: 1,
            pings: 0,
            per_kb: None,
            mean: FIRST_ANSWER,
            next_settle: now + SETTLES,
            acts: VecDeque::new(),
        }
    }

    /// No number from this one on was sent to anybody.
    pub fn fresh(&self) -> u64 {
        self.next
    }

    /// A hop is to cross a link; its number. What becomes of it comes by `poll`, at once where it can't.
    pub fn hop(&mut self, now: Time, link: usize, want: &Want) -> u64 {
        let number = self.next;
        self.next += 1;
        let bytes = self.expects(want);
        let l = &mut self.links[link];
        let before = Span::from_millis(self.limits.answer_before_ms);
        let until = want.until.saturating_sub(before);
        let hop = Hop {
            link,
            importance: want.importance,
            once: want.once,
            need: want.need,
            bytes,
            until,
            due: until,
            state: State::Queued,
            sent: None,
            came: 0.0,
            ledger: l.ledger.unwrap_or(0),
        };
        self.hops.insert(number, hop);
        self.by_time.insert((until, number));
        if want.once {
            self.once.insert(number);
        }
        // The own site stands in the path, too, once it is sent.
        if want.path.contains(&l.site) || want.path.len() + 1 >= self.limits.sites {
            self.end(number, End::Loop);
        } else if l.phase != Phase::Up || l.leaving {
            self.end(number, End::Down);
        } else {
            // Guards the far end and the client's time against txns that would only fill the link: what can't be
            // answered in its time is told at once, and what waits is let go as soon as that shows.
            let ahead = l.queue.ahead(want.importance) + on_the_way(l, &self.hops, want.importance);
            let needs = l.pace.quickest().max(l.rtt.smooth());
            let waits = l.pace.waits(ahead, bytes).max(l.waits());
            // Where it could be in time, it waits for that only; where it never could, for one SLA time at the most,
            // lest it be held till its client gives up.
            let could = now + needs < want.wanted;
            let until = if could { until.min(want.wanted) } else { until };
            if now + needs + waits >= until {
                self.end(number, End::Full);
            } else {
                let most = if could { until } else { now + (want.wanted - now) };
                let due = until.saturating_sub(needs).min(most).max(now);
                let hop = self.hops.get_mut(&number);
                if let Some(before) = hop.map(|hop| std::mem::replace(&mut hop.due, due)) {
                    self.by_time.remove(&(before, number));
                    self.by_time.insert((due, number));
                }
                let one = Waiting { number, importance: want.importance, bytes };
                let gone = l.queue.push(one);
                gone.into_iter().for_each(|number| self.end(number, End::Full));
                self.pump(now, link);
            }
        }
        number
    }

    /// What it puts on the link, answer included: by its told size and what such sizes came to of late, else the mean.
    fn expects(&self, want: &Want) -> f64 {
        let answer = want.need.map_or(self.mean, |kb| kb * self.per_kb.unwrap_or(1_024.0));
        answer.min(MOST_ANSWER as f64) + want.body as f64 + REQUEST
    }

    /// Takes a hop out of all tables and tells its end: from here on it can't end again.
    fn end(&mut self, number: u64, end: End) {
        if self.forget(number).is_some() {
            self.acts.push_back(Act::End { number, end });
        }
    }

    fn forget(&mut self, number: u64) -> Option<Hop> {
        let hop = self.hops.remove(&number)?;
        self.by_time.remove(&(hop.due, number));
        self.once.remove(&number);
        let l = &mut self.links[hop.link];
        l.queue.remove(number);
        l.out.remove(&number);
        Some(hop)
    }

    /// Sends what may go: by importance, within the far end's credit and the link's window.
    fn pump(&mut self, now: Time, link: usize) {
        loop {
            let l = &mut self.links[link];
            let Some(first) = l.queue.first() else { return l.pace.block(now, false) };
            let has_credit = l.out.len() < l.allowed();
            let room = l.pace.has_room(on_the_way(l, &self.hops, first.importance), first.bytes);
            // One that goes meanwhile does not end it: more waits behind.
            if !has_credit || !room {
                l.pace.block(now, has_credit);
            }
            if l.phase != Phase::Up || !has_credit || !room {
                return;
            }
            let Some(hop) = self.hops.get_mut(&first.number) else {
                l.queue.remove(first.number);
                continue;
            };
            // The answer needs its way back: what the far end has is less by a careful round trip.
            let left = hop.until - now;
            let far = hop.until.saturating_sub(l.rtt.timeout().min(left * 0.5)) - now;
            if far < Span::from_millis(1) {
                self.end(first.number, End::Full);
                continue;
            }
            l.queue.remove(first.number);
            l.out.insert(first.number);
            l.owed.get_or_insert(now);
            hop.state = State::Sent;
            self.by_time.remove(&(hop.due, first.number));
            hop.due = hop.until;
            self.by_time.insert((hop.due, first.number));
            hop.ledger = l.ledger.unwrap_or(0);
            hop.sent = Some(now);
            l.pace.sent(hop.bytes);
            self.acts.push_back(Act::Send { link, number: first.number, left: far });
        }
    }

    /// Its request could not be written whole: nothing of it can run.
    pub fn unsent(&mut self, now: Time, number: u64) {
        if self.hops.get(&number).is_some_and(|h| h.state == State::Sent) {
            self.arrived(now, number, None);
            self.end(number, End::Down);
        }
    }

    /// Its request went out whole, and the stream that it was on broke off while the connection stands.
    pub fn astray(&mut self, now: Time, number: u64) {
        let Some(hop) = self.hops.get_mut(&number).filter(|h| h.state == State::Sent) else { return };
        let (link, ledger) = (hop.link, hop.ledger);
        if !hop.once {
            self.arrived(now, number, None);
            return self.end(number, End::Lost);
        }
        hop.state = State::Doubt;
        self.arrived(now, number, None);
        self.links[link].out.remove(&number);
        if self.links[link].connected() {
            self.resolve(link, ledger);
        }
    }

    /// The far end has taken it.
    pub fn taken(&mut self, now: Time, number: u64) -> Option<Span> {
        let hop = self.hops.get(&number)?;
        let (link, sent) = (hop.link, hop.sent?);
        let took = now - sent;
        self.heard(now, link);
        if self.hops.get(&number)?.state == State::Sent {
            self.links[link].rtt.sample(took);
        }
        Some(took)
    }

    /// Its answer has come whole, `bytes` of it. The host has it.
    pub fn answered(&mut self, now: Time, link: usize, number: u64, bytes: f64) {
        self.heard(now, link);
        if let Some(hop) = self.hops.get(&number) {
            self.mean += (bytes - self.mean) * FOLLOWS;
            if let Some(kb) = hop.need.filter(|kb| *kb > 0.0 && bytes > 0.0) {
                let per_kb = self.per_kb.get_or_insert(bytes / kb);
                *per_kb += (bytes / kb - *per_kb) * FOLLOWS;
            }
        }
        self.arrived(now, number, Some(bytes));
        self.end(number, End::Answered);
        self.pump(now, link);
    }

    /// The far end says that it never ran and never will: it had no room, was leaving, or the number was fenced.
    pub fn turned(&mut self, now: Time, link: usize, number: u64, end: End) {
        self.heard(now, link);
        self.arrived(now, number, None);
        self.end(number, end);
        self.pump(now, link);
    }

    /// Its place on the link is free. `bytes`: of its answer, where that came whole.
    fn arrived(&mut self, now: Time, number: u64, bytes: Option<f64>) {
        let Some(hop) = self.hops.get_mut(&number) else { return };
        let Some(sent) = hop.sent.take() else { return };
        let l = &mut self.links[hop.link];
        if let Some(bytes) = bytes {
            l.pace.arrives(now, (bytes - hop.came).max(0.0) + REQUEST);
            let took = (now - sent).as_secs_f64();
            l.took = Some(l.took.map_or(took, |mean| mean + (took - mean) * FOLLOWS));
        }
        l.pace.ended(now, sent, hop.bytes, bytes.is_some());
    }

    /// Some bytes of an answer, before it is whole.
    pub fn comes(&mut self, now: Time, link: usize, number: u64, bytes: f64) {
        self.heard(now, link);
        if let Some(hop) = self.hops.get_mut(&number).filter(|h| h.link == link && h.sent.is_some()) {
            hop.came += bytes;
            self.links[link].pace.arrives(now, bytes);
        }
    }

    /// Bytes of an answer that is still coming, or anything else from the far end.
    pub fn heard(&mut self, _now: Time, link: usize) {
        self.links[link].owed = None;
    }

    pub fn ponged(&mut self, now: Time, link: usize, number: u64, credit: u32, leaving: bool) {
        self.heard(now, link);
        let l = &mut self.links[link];
        (l.credit, l.leaving) = (credit.max(1), l.leaving || leaving);
        let Some(at) = l.pings.iter().position(|p| p.0 == number) else { return };
        let (_, sent) = l.pings[at];
        l.pings.drain(..=at);
        let in_time = now - sent <= l.rtt.timeout() * SUSPECTED_AFTER;
        l.rtt.sample(now - sent);
        match l.phase {
            Phase::Suspected(_) if in_time => l.phase = Phase::Trial(1),
            Phase::Trial(n) if in_time && n + 1 < TRIALS => l.phase = Phase::Trial(n + 1),
            Phase::Trial(_) if in_time => {
                l.phase = Phase::Up;
                (l.tries, l.clean, l.next_step, l.was_up) = (0, true, now + SECOND, true);
                self.acts.push_back(Act::Back { link });
            }
            Phase::Trial(_) => l.phase = Phase::Suspected(now),
            _ => {}
        }
        if matches!(l.phase, Phase::Trial(_)) {
            l.next_ping = now;
        }
        self.pump(now, link);
    }

    /// The far end takes no more; what it has it will answer.
    pub fn leaving(&mut self, now: Time, link: usize) {
        self.heard(now, link);
        self.links[link].leaving = true;
        let queued = self.links[link].queue.drain();
        queued.into_iter().for_each(|number| self.end(number, End::Down));
    }

    /// A connection stands, and the far end has said who it is.
    pub fn connected(&mut self, now: Time, link: usize, welcome: &Welcome) {
        let Welcome { ledger, credit, leaving, recalls } = *welcome;
        let l = &mut self.links[link];
        if !matches!(l.phase, Phase::Dialling(_)) {
            return;
        }
        // The first time it is as good as any other; after a break it has to prove itself.
        l.phase = if l.was_up { Phase::Trial(0) } else { Phase::Up };
        (l.was_up, l.clean, l.next_step) = (true, true, now + SECOND);
        if l.phase == Phase::Up {
            l.tries = 0;
            self.acts.push_back(Act::Back { link });
        }
        (l.ledger, l.credit, l.leaving, l.recalls) = (Some(ledger), credit.max(1), leaving, recalls);
        (l.owed, l.next_ping, l.settled) = (None, now, 1);
        l.pings.clear();
        l.pace.reconnected();
        self.resolve(link, ledger);
    }

    /// Asks about what is in doubt and this gateway can know; a gateway that started anew knows nothing.
    fn resolve(&mut self, link: usize, ledger: u64) {
        self.ask_about(link, ledger);
        let left = |h: &Hop| h.state == State::Doubt && h.link == link;
        if self.links[link].recalls {
            let ledgers: BTreeSet<u64> = self.hops.values().filter(|h| left(h)).map(|h| h.ledger).collect();
            return ledgers.into_iter().for_each(|ledger| self.ask_about(link, ledger));
        }
        let lost: Vec<u64> = self.hops.iter().filter(|(_, h)| left(h)).map(|(n, _)| *n).collect();
        lost.into_iter().for_each(|number| self.end(number, End::Lost));
    }

    fn ask_about(&mut self, link: usize, ledger: u64) {
        let mut asked = Vec::new();
        let doubt = |h: &Hop| h.state == State::Doubt && h.ledger == ledger;
        for (&number, hop) in self.hops.iter_mut().filter(|(_, h)| doubt(h)) {
            (hop.state, hop.link) = (State::Asked, link);
            asked.push(number);
        }
        for numbers in asked.chunks(MOST_ASKED) {
            self.acts.push_back(Act::Ask { link, ledger, numbers: numbers.to_vec() });
        }
    }

    /// What is sent from now on is kept by another ledger; what was sent before stays with the one from before.
    pub fn renamed(&mut self, now: Time, link: usize, ledger: u64) {
        self.heard(now, link);
        let l = &mut self.links[link];
        if l.connected() && l.ledger != Some(ledger) {
            l.ledger = Some(ledger);
            let recalls = l.recalls;
            self.ask_about(link, ledger);
            // What ledgers had taken that no link leads to any more is asked here.
            let of = |h: &&Hop| h.state == State::Doubt;
            let ledgers: BTreeSet<u64> = self.hops.values().filter(of).map(|h| h.ledger).collect();
            let known = |ledger: &u64| self.links.iter().any(|l| l.connected() && l.ledger == Some(*ledger));
            let gone: Vec<u64> = ledgers.into_iter().filter(|l| recalls && !known(l)).collect();
            gone.into_iter().for_each(|ledger| self.ask_about(link, ledger));
        }
    }

    /// What the far end knows of a number that it was asked about; an answer comes by `answered` instead.
    pub fn found(&mut self, now: Time, link: usize, number: u64, fate: Fate) {
        self.heard(now, link);
        let Some(hop) = self.hops.get_mut(&number) else { return };
        if hop.link != link || hop.state != State::Asked {
            return;
        }
        match fate {
            Fate::NeverTaken => self.end(number, End::NeverTaken),
            Fate::Unknown => self.end(number, End::Lost),
            Fate::Running => {
                hop.state = State::Runs;
                self.links[link].out.insert(number);
            }
        }
    }

    /// The connection is gone, or did not come.
    pub fn broken(&mut self, now: Time, link: usize) {
        let l = &mut self.links[link];
        if matches!(l.phase, Phase::Idle(_)) {
            return;
        }
        if l.connected() {
            l.part = STANDBY;
        }
        // Spread, lest all gateways come back at once.
        let first = Span::from_millis(self.limits.reconnect_ms);
        let wait = first * BACK_OFF.powi(l.tries.min(16) as i32);
        let wait = wait.min(Span::from_millis(self.limits.reconnect_most_ms));
        let wait = wait * self.rng.random_range(0.5..1.0);
        l.tries += 1;
        l.phase = Phase::Idle(now + wait);
        l.owed = None;
        l.pings.clear();
        let queued = l.queue.drain();
        let out = std::mem::take(&mut l.out);
        l.pace.reconnected();
        queued.into_iter().for_each(|number| self.end(number, End::Down));
        let of_link = |h: &Hop| h.link == link && matches!(h.state, State::Sent | State::Asked | State::Runs);
        let sent: Vec<u64> = self.hops.iter().filter(|(_, h)| of_link(h)).map(|(n, _)| *n).collect();
        debug_assert!(out.iter().all(|n| sent.contains(n)));
        for number in sent {
            let Some(hop) = self.hops.get_mut(&number) else { continue };
            hop.sent = None;
            if hop.once && self.limits.ask {
                hop.state = State::Doubt;
            } else {
                // The module sends a repeatable one elsewhere at once, which beats asking.
                self.end(number, End::Lost);
            }
        }
        // Another link may lead to the same gateway.
        let other = |l: &Link| l.connected().then_some(l.ledger).flatten();
        let others: Vec<(usize, u64)> =
            self.links.iter().enumerate().filter_map(|(i, l)| Some((i, other(l)?))).collect();
        others.into_iter().for_each(|(i, ledger)| self.resolve(i, ledger));
    }

    /// Nobody waits for it any more.
    pub fn given_up(&mut self, now: Time, number: u64) {
        self.arrived(now, number, None);
        let Some(hop) = self.forget(number) else { return };
        if matches!(hop.state, State::Sent | State::Runs | State::Asked) {
            self.acts.push_back(Act::GiveUp { link: hop.link, number });
        }
        self.pump(now, hop.link);
    }

    pub fn poll(&mut self, now: Time) -> Option<Act> {
        if self.acts.is_empty() {
            self.expire(now);
            (0..self.links.len()).for_each(|link| self.watch(now, link));
            self.settle(now);
        }
        self.acts.pop_front()
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(due, number)) = self.by_time.first().filter(|t| t.0 <= now) {
            self.by_time.remove(&(due, number));
            let Some(hop) = self.hops.get(&number) else { continue };
            let (state, link) = (hop.state, hop.link);
            let end = if state == State::Queued { End::Full } else { End::TimedOut };
            self.arrived(now, number, None);
            if matches!(state, State::Sent | State::Runs | State::Asked) {
                self.acts.push_back(Act::GiveUp { link, number });
            }
            self.end(number, end);
            self.pump(now, link);
        }
    }

    /// Signs of life: asks for them, misses them, gives the link up, and lets it come back.
    fn watch(&mut self, now: Time, link: usize) {
        let dark = self.limits.dark_after();
        let l = &mut self.links[link];
        match l.phase {
            Phase::Idle(at) if at <= now => {
                l.phase = Phase::Dialling(now + Span::from_millis(self.limits.connect_ms));
                self.acts.push_back(Act::Dial { link });
                return;
            }
            Phase::Dialling(until) if until <= now => {
                self.acts.push_back(Act::Drop { link });
                return self.broken(now, link);
            }
            Phase::Idle(_) | Phase::Dialling(_) => return,
            Phase::Suspected(since) if now - since >= dark => {
                self.acts.push_back(Act::Drop { link });
                return self.broken(now, link);
            }
            _ => {}
        }
        let silent = l.owed.is_some_and(|since| now - since >= l.rtt.timeout() * SUSPECTED_AFTER);
        if silent && !matches!(l.phase, Phase::Suspected(_)) {
            l.phase = Phase::Suspected(now);
            l.part = (l.part / 2.0).max(STANDBY);
            l.clean = false;
            let queued = l.queue.drain();
            queued.into_iter().for_each(|number| self.end(number, End::Down));
            self.give_back(now, link);
        }
        let l = &mut self.links[link];
        if now >= l.next_ping {
            self.pings += 1;
            let busy = !l.out.is_empty() || l.phase != Phase::Up;
            let wait = if busy { l.rtt.timeout().max(BUSY_PING) } else { self.limits.idle_ping() };
            l.next_ping = now + wait.min(self.limits.idle_ping());
            l.pings.push_back((self.pings, now));
            if l.pings.len() > MOST_PINGS {
                l.pings.pop_front();
            }
            l.owed.get_or_insert(now);
            self.acts.push_back(Act::Ping { link, number: self.pings });
        }
        if l.phase == Phase::Up && now >= l.next_step {
            l.next_step = now + SECOND;
            if l.clean {
                l.part = (l.part + STEP).min(1.0);
            }
            l.clean = true;
            self.pump(now, link);
        }
    }

    /// What may run again is the module's at once: its client waits, and another way may be open. The rest stays: the
    /// link may still bring its answer, and nothing else will.
    fn give_back(&mut self, now: Time, link: usize) {
        let again = |h: &Hop| h.link == link && !h.once;
        let all: Vec<u64> = self.hops.iter().filter(|(_, h)| again(h)).map(|(n, _)| *n).collect();
        for number in all {
            self.arrived(now, number, None);
            self.acts.push_back(Act::GiveUp { link, number });
            self.end(number, End::Lost);
        }
    }

    /// Tells far ends which numbers they need not keep any more.
    fn settle(&mut self, now: Time) {
        if now < self.next_settle {
            return;
        }
        self.next_settle = now + SETTLES;
        let below = self.once.first().copied().unwrap_or(self.next);
        for (link, l) in self.links.iter_mut().enumerate() {
            if l.connected() && below > l.settled {
                l.settled = below;
                self.acts.push_back(Act::Settle { link, below });
            }
        }
    }

    pub fn next_wake(&self) -> Time {
        let of_link = |l: &Link| match l.phase {
            Phase::Idle(at) | Phase::Dialling(at) => at,
            phase => {
                let mut at = l.next_ping;
                if let Phase::Suspected(since) = phase {
                    at = at.min(since + self.limits.dark_after());
                } else {
                    // Only a link that is up takes steps: a trial has nothing to wait for there.
                    if phase == Phase::Up {
                        at = at.min(l.next_step);
                    }
                    let owed = l.owed.map(|since| since + l.rtt.timeout() * SUSPECTED_AFTER);
                    at = owed.map_or(at, |owed| at.min(owed));
                }
                at
            }
        };
        let links = self.links.iter().map(of_link).min();
        let hops = self.by_time.first().map(|t| t.0);
        [links, hops].into_iter().flatten().fold(self.next_settle, Time::min)
    }

    pub fn view(&self, link: usize) -> View {
        let l = &self.links[link];
        View {
            phase: l.phase,
            part: l.part,
            out: l.out.len(),
            queued: l.queue.len(),
            round_trip: l.rtt.smooth(),
            rate: l.pace.rate(),
            leaving: l.leaving,
        }
    }

    pub fn sizes(&self) -> [(&'static str, usize); 8] {
        let up = self.links.iter().filter(|l| l.phase == Phase::Up).count();
        let queued = self.links.iter().map(|l| l.queue.len()).sum();
        let doubt = self.hops.values().filter(|h| matches!(h.state, State::Doubt | State::Asked)).count();
        let kb = |of: fn(&Link) -> f64| (self.links.iter().map(of).sum::<f64>() / 1024.0) as usize;
        let round_trip = self.links.iter().map(|l| l.rtt.smooth()).max().unwrap_or_default();
        [
            ("links up", up),
            ("hops on links", self.hops.len()),
            ("hops queued", queued),
            ("hops in doubt", doubt),
            ("KB on links", kb(|l| l.pace.out())),
            ("KB that links may hold", kb(|l| l.pace.window())),
            ("KB a second over links", kb(|l| l.pace.rate().unwrap_or(0.0))),
            ("ms of the longest round trip", (round_trip.as_micros() / 1_000) as usize),
        ]
    }
}

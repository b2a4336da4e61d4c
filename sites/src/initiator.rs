//! The near end of all links of a gateway, without I/O or clock: the state of each link, what waits for it, what is
//! out on it, and what becomes of hops when it breaks. Inputs only update what is known; the host pulls `Act`s by
//! `poll` and comes back by `next_wake`. Must never end a hop that must not run twice as not run unless the far end
//! says so or nothing of it was sent; nor end one twice.
//!
//! A link is suspected by its own signs of life (RFC 6298), and comes back as parents do: by trials, then in capped
//! steps.

use crate::pace::Pacer;
use crate::queue::{Queue, QueuedHop};
use crate::rtt::RttEstimator;
use crate::settings::{Limits, Sites};
use crate::wire::{MAX_ANSWER_BODY_BYTES, TxnStatus};
use kelpcart::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// So many round trips' time-outs without a sign of life, while one is owed, and a link is suspected.
const SUSPECT_AFTER_TIMEOUTS: f64 = 3.0;
/// Signs of life in time, one after the other, before a suspected link carries txns again.
const TRIAL_PONGS: u32 = 3;
/// The part of the far end's credit that is used: at the least, and the step up each second; both are the module's
/// for parents (standby share, half a capped step).
const MIN_CREDIT_SHARE: f64 = 0.05;
const CREDIT_SHARE_STEP: f64 = 0.075;
const STEP_INTERVAL: Span = Span::from_millis(1_000);
/// A busy link is asked for a sign of life no more often than this.
const MIN_BUSY_PING_INTERVAL: Span = Span::from_millis(50);
/// Waits between tries to connect grow by this, each spread by half its length.
const RECONNECT_BACKOFF_FACTOR: f64 = 2.0;
/// Questions for signs of life that may be without an answer.
const MAX_OUTSTANDING_PINGS: usize = 16;
/// The part by which the mean of what answers take follows.
const EWMA_WEIGHT: f64 = 0.125;
/// An answer is held to be of so many bytes before the first has come.
const INITIAL_ANSWER_BYTES: f64 = 16.0 * 1024.0;
const SETTLE_INTERVAL: Span = Span::from_millis(500);
/// Numbers in one question.
const MAX_QUERY_NUMBERS: usize = 256;
/// A hop's request that is not told in bytes: its fields.
pub const REQUEST_OVERHEAD_BYTES: f64 = 200.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The far end's answer, which the host has.
    Answered,
    /// Nothing was sent: the link is down, suspected, or the far end takes no more.
    Down,
    /// Nothing was sent: there is no room, or it can't cross in its time.
    Full,
    /// Nothing was sent: it has crossed the peer's site before, or too many.
    Loop,
    /// It was sent, and the far end had no room for it, or leaves: it did not run and will not.
    Refused,
    /// It was sent, and the far end says that it never ran and never will.
    NeverAccepted,
    /// It was sent, may have run, and nothing more will be known.
    Lost,
    /// Its time is over, and it may have run.
    TimedOut,
}

#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    Dial {
        link: usize,
    },
    /// Close the connection, whatever it does.
    Disconnect {
        link: usize,
    },
    /// Write the request; the far end has the span from when it comes.
    Send {
        link: usize,
        number: u64,
        time_left: Span,
    },
    Cancel {
        link: usize,
        number: u64,
    },
    QueryStatus {
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
    LinkUp {
        link: usize,
    },
    Settle {
        link: usize,
        below: u64,
    },
    Finished {
        number: u64,
        outcome: HopOutcome,
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
    pub knows_past_ledgers: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkPhase {
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
pub struct HopSpec<'a> {
    pub importance: u8,
    /// It must not run twice.
    pub unrepeatable: bool,
    /// The size that the txn tells, in KB.
    pub size_kb: Option<f64>,
    /// Bytes of its request's body.
    pub body_bytes: usize,
    pub deadline: Time,
    /// When its SLA time is over.
    pub sla_deadline: Time,
    /// The sites it has crossed before this one.
    pub path: &'a [String],
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HopState {
    Queued,
    Sent,
    /// Its connection broke, and the far gateway with this ledger knows what became of it.
    InDoubt,
    /// It was asked about on the link.
    Queried,
    /// It runs there, and its answer comes by the link.
    Running,
}

#[derive(Debug)]
struct Hop {
    link: usize,
    importance: u8,
    unrepeatable: bool,
    size_kb: Option<f64>,
    expected_bytes: f64,
    deadline: Time,
    /// When it ends if nothing else ends it: at its time, or as soon as it can't cross and be answered in it.
    expires_at: Time,
    state: HopState,
    /// When its request went out, while that is on the link; and what has come of its answer.
    sent_at: Option<Time>,
    received_bytes: f64,
    /// The ledger it was sent to.
    ledger: u64,
}

struct Link {
    site: String,
    phase: LinkPhase,
    rtt: RttEstimator,
    pace: Pacer,
    queue: Queue,
    ledger: Option<u64>,
    /// The far end may know what earlier ledgers had taken.
    knows_past_ledgers: bool,
    credit: u32,
    leaving: bool,
    credit_share: f64,
    was_up: bool,
    stable: bool,
    next_step: Time,
    in_flight: BTreeSet<u64>,
    /// The first thing sent since the last sign of life.
    awaiting_since: Option<Time>,
    /// Questions without an answer yet; each answer names its own, so that none is taken for another's.
    outstanding_pings: VecDeque<(u64, Time)>,
    /// What answers take from when their request is sent, in seconds; `None` before the first.
    mean_answer_secs: Option<f64>,
    next_ping: Time,
    attempts: u32,
    settled: u64,
}

impl Link {
    fn connected(&self) -> bool {
        matches!(self.phase, LinkPhase::Up | LinkPhase::Trial(_) | LinkPhase::Suspected(_))
    }

    /// What an answer takes on average, the round trip included.
    fn mean_answer_time(&self) -> Span {
        Span::from_secs_f64(self.mean_answer_secs.unwrap_or(0.0))
    }

    /// How long one that comes now waits for the credit of those before it.
    fn credit_wait(&self) -> Span {
        let before = (self.in_flight.len() + self.queue.len() + 1).saturating_sub(self.max_in_flight());
        self.mean_answer_time() * (before as f64 / self.max_in_flight() as f64)
    }

    fn max_in_flight(&self) -> usize {
        ((f64::from(self.credit) * self.credit_share).floor() as usize).max(1)
    }
}

/// Bytes on their way that matter as much: what matters less gives way at the far end's sender.
fn bytes_in_flight(link: &Link, hops: &BTreeMap<u64, Hop>, importance: u8) -> f64 {
    let out = link.in_flight.iter().filter_map(|n| hops.get(n));
    out.filter(|h| h.importance >= importance).map(|h| h.expected_bytes).sum()
}

/// What is known of a link, for counters and tests.
#[derive(Clone, Copy, Debug)]
pub struct LinkStats {
    pub phase: LinkPhase,
    pub credit_share: f64,
    pub in_flight: usize,
    pub queued: usize,
    pub round_trip: Span,
    pub rate: Option<f64>,
    pub leaving: bool,
}

pub struct Initiator {
    limits: Limits,
    rng: Pcg64Mcg,
    links: Vec<Link>,
    hops: BTreeMap<u64, Hop>,
    by_expiry: BTreeSet<(Time, u64)>,
    /// Numbers of hops that must not run twice and are open.
    unrepeatable: BTreeSet<u64>,
    next_id: u64,
    ping_count: u64,
    /// Bytes of an answer for each KB that its txn told, and of any answer.
    answer_bytes_per_kb: Option<f64>,
    mean_answer_bytes: f64,
    next_settle: Time,
    actions: VecDeque<LinkAction>,
}

impl Initiator {
    pub fn new(sites: &Sites, seed: u64, now: Time) -> Initiator {
        let l = &sites.limits;
        let link = |site: &String| Link {
            site: site.clone(),
            phase: LinkPhase::Idle(now),
            rtt: RttEstimator::default(),
            pace: Pacer::default(),
            queue: Queue::new(l.queue, (l.queue_kb * 1024) as f64),
            ledger: None,
            knows_past_ledgers: false,
            credit: 0,
            leaving: false,
            credit_share: 1.0,
            was_up: false,
            stable: true,
            next_step: now + STEP_INTERVAL,
            in_flight: BTreeSet::new(),
            awaiting_since: None,
            outstanding_pings: VecDeque::new(),
            mean_answer_secs: None,
            next_ping: now,
            attempts: 0,
            settled: 1,
        };
        Initiator {
            limits: l.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            links: sites.peers.iter().map(|p| link(&p.site)).collect(),
            hops: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            unrepeatable: BTreeSet::new(),
            next_id: 1,
            ping_count: 0,
            answer_bytes_per_kb: None,
            mean_answer_bytes: INITIAL_ANSWER_BYTES,
            next_settle: now + SETTLE_INTERVAL,
            actions: VecDeque::new(),
        }
    }

    /// No number from this one on was sent to anybody.
    pub fn next_number(&self) -> u64 {
        self.next_id
    }

    /// A hop is to cross a link; its number. What becomes of it comes by `poll`, at once where it can't.
    pub fn submit(&mut self, now: Time, link: usize, want: &HopSpec) -> u64 {
        let number = self.next_id;
        self.next_id += 1;
        let bytes = self.expected_bytes(want);
        let l = &mut self.links[link];
        let before = Span::from_millis(self.limits.answer_before_ms);
        let until = want.deadline.saturating_sub(before);
        let hop = Hop {
            link,
            importance: want.importance,
            unrepeatable: want.unrepeatable,
            size_kb: want.size_kb,
            expected_bytes: bytes,
            deadline: until,
            expires_at: until,
            state: HopState::Queued,
            sent_at: None,
            received_bytes: 0.0,
            ledger: l.ledger.unwrap_or(0),
        };
        self.hops.insert(number, hop);
        self.by_expiry.insert((until, number));
        if want.unrepeatable {
            self.unrepeatable.insert(number);
        }
        // The own site stands in the path, too, once it is sent.
        if want.path.contains(&l.site) || want.path.len() + 1 >= self.limits.sites {
            self.finish(number, HopOutcome::Loop);
        } else if l.phase != LinkPhase::Up || l.leaving {
            self.finish(number, HopOutcome::Down);
        } else {
            // Guards the far end and the client's time against txns that would only fill the link: what can't be
            // answered in its time is told at once, and what waits is let go as soon as that shows.
            let ahead =
                l.queue.bytes_ahead(want.importance) + bytes_in_flight(l, &self.hops, want.importance);
            let needs = l.pace.min_answer_time().max(l.rtt.smoothed());
            let waits = l.pace.queueing_delay(ahead, bytes).max(l.credit_wait());
            // Where it could be in time, it waits for that only; where it never could, for one SLA time at the most,
            // lest it be held till its client gives up.
            let could = now + needs < want.sla_deadline;
            let until = if could { until.min(want.sla_deadline) } else { until };
            if now + needs + waits >= until {
                self.finish(number, HopOutcome::Full);
            } else {
                let most = if could { until } else { now + (want.sla_deadline - now) };
                let due = until.saturating_sub(needs).min(most).max(now);
                let hop = self.hops.get_mut(&number);
                if let Some(before) = hop.map(|hop| std::mem::replace(&mut hop.expires_at, due)) {
                    self.by_expiry.remove(&(before, number));
                    self.by_expiry.insert((due, number));
                }
                let one = QueuedHop { number, importance: want.importance, bytes };
                let gone = l.queue.push(one);
                gone.into_iter().for_each(|number| self.finish(number, HopOutcome::Full));
                self.send_queued(now, link);
            }
        }
        number
    }

    /// What it puts on the link, answer included: by its told size and what such sizes came to of late, else the mean.
    fn expected_bytes(&self, want: &HopSpec) -> f64 {
        let answer = want
            .size_kb
            .map_or(self.mean_answer_bytes, |kb| kb * self.answer_bytes_per_kb.unwrap_or(1_024.0));
        answer.min(MAX_ANSWER_BODY_BYTES as f64) + want.body_bytes as f64 + REQUEST_OVERHEAD_BYTES
    }

    /// Takes a hop out of all tables and tells its end: from here on it can't end again.
    fn finish(&mut self, number: u64, end: HopOutcome) {
        if self.remove(number).is_some() {
            self.actions.push_back(LinkAction::Finished { number, outcome: end });
        }
    }

    fn remove(&mut self, number: u64) -> Option<Hop> {
        let hop = self.hops.remove(&number)?;
        self.by_expiry.remove(&(hop.expires_at, number));
        self.unrepeatable.remove(&number);
        let l = &mut self.links[hop.link];
        l.queue.remove(number);
        l.in_flight.remove(&number);
        Some(hop)
    }

    /// Sends what may go: by importance, within the far end's credit and the link's window.
    fn send_queued(&mut self, now: Time, link: usize) {
        loop {
            let l = &mut self.links[link];
            let Some(first) = l.queue.first() else { return l.pace.set_blocked(now, false) };
            let has_credit = l.in_flight.len() < l.max_in_flight();
            let room = l.pace.has_room(bytes_in_flight(l, &self.hops, first.importance), first.bytes);
            // One that goes meanwhile does not end it: more waits behind.
            if !has_credit || !room {
                l.pace.set_blocked(now, has_credit);
            }
            if l.phase != LinkPhase::Up || !has_credit || !room {
                return;
            }
            let Some(hop) = self.hops.get_mut(&first.number) else {
                l.queue.remove(first.number);
                continue;
            };
            // The answer needs its way back: what the far end has is less by a careful round trip.
            let left = hop.deadline - now;
            let far = hop.deadline.saturating_sub(l.rtt.timeout().min(left * 0.5)) - now;
            if far < Span::from_millis(1) {
                self.finish(first.number, HopOutcome::Full);
                continue;
            }
            l.queue.remove(first.number);
            l.in_flight.insert(first.number);
            l.awaiting_since.get_or_insert(now);
            hop.state = HopState::Sent;
            self.by_expiry.remove(&(hop.expires_at, first.number));
            hop.expires_at = hop.deadline;
            self.by_expiry.insert((hop.expires_at, first.number));
            hop.ledger = l.ledger.unwrap_or(0);
            hop.sent_at = Some(now);
            l.pace.on_sent(hop.expected_bytes);
            self.actions.push_back(LinkAction::Send { link, number: first.number, time_left: far });
        }
    }

    /// Its request could not be written whole: nothing of it can run.
    pub fn send_failed(&mut self, now: Time, number: u64) {
        if self.hops.get(&number).is_some_and(|h| h.state == HopState::Sent) {
            self.end_transfer(now, number, None);
            self.finish(number, HopOutcome::Down);
        }
    }

    /// Its request went out whole, and the stream that it was on broke off while the connection stands.
    pub fn stream_lost(&mut self, now: Time, number: u64) {
        let Some(hop) = self.hops.get_mut(&number).filter(|h| h.state == HopState::Sent) else { return };
        let (link, ledger) = (hop.link, hop.ledger);
        if !hop.unrepeatable {
            self.end_transfer(now, number, None);
            return self.finish(number, HopOutcome::Lost);
        }
        hop.state = HopState::InDoubt;
        self.end_transfer(now, number, None);
        self.links[link].in_flight.remove(&number);
        if self.links[link].connected() {
            self.query_in_doubt(link, ledger);
        }
    }

    /// The far end has taken it.
    pub fn accepted(&mut self, now: Time, number: u64) -> Option<Span> {
        let hop = self.hops.get(&number)?;
        let (link, sent) = (hop.link, hop.sent_at?);
        let took = now - sent;
        self.peer_active(now, link);
        if self.hops.get(&number)?.state == HopState::Sent {
            self.links[link].rtt.sample(took);
        }
        Some(took)
    }

    /// Its answer has come whole, `bytes` of it. The host has it.
    pub fn answered(&mut self, now: Time, link: usize, number: u64, bytes: f64) {
        self.peer_active(now, link);
        if let Some(hop) = self.hops.get(&number) {
            self.mean_answer_bytes += (bytes - self.mean_answer_bytes) * EWMA_WEIGHT;
            if let Some(kb) = hop.size_kb.filter(|kb| *kb > 0.0 && bytes > 0.0) {
                let per_kb = self.answer_bytes_per_kb.get_or_insert(bytes / kb);
                *per_kb += (bytes / kb - *per_kb) * EWMA_WEIGHT;
            }
        }
        self.end_transfer(now, number, Some(bytes));
        self.finish(number, HopOutcome::Answered);
        self.send_queued(now, link);
    }

    /// The far end says that it never ran and never will: it had no room, was leaving, or the number was fenced.
    pub fn refused(&mut self, now: Time, link: usize, number: u64, end: HopOutcome) {
        self.peer_active(now, link);
        self.end_transfer(now, number, None);
        self.finish(number, end);
        self.send_queued(now, link);
    }

    /// Its place on the link is free. `bytes`: of its answer, where that came whole.
    fn end_transfer(&mut self, now: Time, number: u64, bytes: Option<f64>) {
        let Some(hop) = self.hops.get_mut(&number) else { return };
        let Some(sent) = hop.sent_at.take() else { return };
        let l = &mut self.links[hop.link];
        if let Some(bytes) = bytes {
            l.pace.on_received(now, (bytes - hop.received_bytes).max(0.0) + REQUEST_OVERHEAD_BYTES);
            let took = (now - sent).as_secs_f64();
            l.mean_answer_secs =
                Some(l.mean_answer_secs.map_or(took, |mean| mean + (took - mean) * EWMA_WEIGHT));
        }
        l.pace.on_finished(now, sent, hop.expected_bytes, bytes.is_some());
    }

    /// Some bytes of an answer, before it is whole.
    pub fn answer_bytes_received(&mut self, now: Time, link: usize, number: u64, bytes: f64) {
        self.peer_active(now, link);
        if let Some(hop) = self.hops.get_mut(&number).filter(|h| h.link == link && h.sent_at.is_some()) {
            hop.received_bytes += bytes;
            self.links[link].pace.on_received(now, bytes);
        }
    }

    /// Bytes of an answer that is still coming, or anything else from the far end.
    pub fn peer_active(&mut self, _now: Time, link: usize) {
        self.links[link].awaiting_since = None;
    }

    pub fn pong_received(&mut self, now: Time, link: usize, number: u64, credit: u32, leaving: bool) {
        self.peer_active(now, link);
        let l = &mut self.links[link];
        (l.credit, l.leaving) = (credit.max(1), l.leaving || leaving);
        let Some(at) = l.outstanding_pings.iter().position(|p| p.0 == number) else { return };
        let (_, sent) = l.outstanding_pings[at];
        l.outstanding_pings.drain(..=at);
        let in_time = now - sent <= l.rtt.timeout() * SUSPECT_AFTER_TIMEOUTS;
        l.rtt.sample(now - sent);
        match l.phase {
            LinkPhase::Suspected(_) if in_time => l.phase = LinkPhase::Trial(1),
            LinkPhase::Trial(n) if in_time && n + 1 < TRIAL_PONGS => l.phase = LinkPhase::Trial(n + 1),
            LinkPhase::Trial(_) if in_time => {
                l.phase = LinkPhase::Up;
                (l.attempts, l.stable, l.next_step, l.was_up) = (0, true, now + STEP_INTERVAL, true);
                self.actions.push_back(LinkAction::LinkUp { link });
            }
            LinkPhase::Trial(_) => l.phase = LinkPhase::Suspected(now),
            _ => {}
        }
        if matches!(l.phase, LinkPhase::Trial(_)) {
            l.next_ping = now;
        }
        self.send_queued(now, link);
    }

    /// The far end takes no more; what it has it will answer.
    pub fn peer_leaving(&mut self, now: Time, link: usize) {
        self.peer_active(now, link);
        self.links[link].leaving = true;
        let queued = self.links[link].queue.drain();
        queued.into_iter().for_each(|number| self.finish(number, HopOutcome::Down));
    }

    /// A connection stands, and the far end has said who it is.
    pub fn connected(&mut self, now: Time, link: usize, welcome: &Welcome) {
        let Welcome { ledger, credit, leaving, knows_past_ledgers: recalls } = *welcome;
        let l = &mut self.links[link];
        if !matches!(l.phase, LinkPhase::Dialling(_)) {
            return;
        }
        // The first time it is as good as any other; after a break it has to prove itself.
        l.phase = if l.was_up { LinkPhase::Trial(0) } else { LinkPhase::Up };
        (l.was_up, l.stable, l.next_step) = (true, true, now + STEP_INTERVAL);
        if l.phase == LinkPhase::Up {
            l.attempts = 0;
            self.actions.push_back(LinkAction::LinkUp { link });
        }
        (l.ledger, l.credit, l.leaving, l.knows_past_ledgers) =
            (Some(ledger), credit.max(1), leaving, recalls);
        (l.awaiting_since, l.next_ping, l.settled) = (None, now, 1);
        l.outstanding_pings.clear();
        l.pace.on_reconnect();
        self.query_in_doubt(link, ledger);
    }

    /// Asks about what is in doubt and this gateway can know; a gateway that started anew knows nothing.
    fn query_in_doubt(&mut self, link: usize, ledger: u64) {
        self.query_ledger(link, ledger);
        let left = |h: &Hop| h.state == HopState::InDoubt && h.link == link;
        if self.links[link].knows_past_ledgers {
            let ledgers: BTreeSet<u64> = self.hops.values().filter(|h| left(h)).map(|h| h.ledger).collect();
            return ledgers.into_iter().for_each(|ledger| self.query_ledger(link, ledger));
        }
        let lost: Vec<u64> = self.hops.iter().filter(|(_, h)| left(h)).map(|(n, _)| *n).collect();
        lost.into_iter().for_each(|number| self.finish(number, HopOutcome::Lost));
    }

    fn query_ledger(&mut self, link: usize, ledger: u64) {
        let mut asked = Vec::new();
        let doubt = |h: &Hop| h.state == HopState::InDoubt && h.ledger == ledger;
        for (&number, hop) in self.hops.iter_mut().filter(|(_, h)| doubt(h)) {
            (hop.state, hop.link) = (HopState::Queried, link);
            asked.push(number);
        }
        for numbers in asked.chunks(MAX_QUERY_NUMBERS) {
            self.actions.push_back(LinkAction::QueryStatus { link, ledger, numbers: numbers.to_vec() });
        }
    }

    /// What is sent from now on is kept by another ledger; what was sent before stays with the one from before.
    pub fn ledger_changed(&mut self, now: Time, link: usize, ledger: u64) {
        self.peer_active(now, link);
        let l = &mut self.links[link];
        if l.connected() && l.ledger != Some(ledger) {
            l.ledger = Some(ledger);
            let recalls = l.knows_past_ledgers;
            self.query_ledger(link, ledger);
            // What ledgers had taken that no link leads to any more is asked here.
            let of = |h: &&Hop| h.state == HopState::InDoubt;
            let ledgers: BTreeSet<u64> = self.hops.values().filter(of).map(|h| h.ledger).collect();
            let known = |ledger: &u64| self.links.iter().any(|l| l.connected() && l.ledger == Some(*ledger));
            let gone: Vec<u64> = ledgers.into_iter().filter(|l| recalls && !known(l)).collect();
            gone.into_iter().for_each(|ledger| self.query_ledger(link, ledger));
        }
    }

    /// What the far end knows of a number that it was asked about; an answer comes by `answered` instead.
    pub fn status_received(&mut self, now: Time, link: usize, number: u64, fate: TxnStatus) {
        self.peer_active(now, link);
        let Some(hop) = self.hops.get_mut(&number) else { return };
        if hop.link != link || hop.state != HopState::Queried {
            return;
        }
        match fate {
            TxnStatus::NeverAccepted => self.finish(number, HopOutcome::NeverAccepted),
            TxnStatus::Unknown => self.finish(number, HopOutcome::Lost),
            TxnStatus::Running => {
                hop.state = HopState::Running;
                self.links[link].in_flight.insert(number);
            }
        }
    }

    /// The connection is gone, or did not come.
    pub fn disconnected(&mut self, now: Time, link: usize) {
        let l = &mut self.links[link];
        if matches!(l.phase, LinkPhase::Idle(_)) {
            return;
        }
        if l.connected() {
            l.credit_share = MIN_CREDIT_SHARE;
        }
        // Spread, lest all gateways come back at once.
        let first = Span::from_millis(self.limits.reconnect_ms);
        let wait = first * RECONNECT_BACKOFF_FACTOR.powi(l.attempts.min(16) as i32);
        let wait = wait.min(Span::from_millis(self.limits.reconnect_most_ms));
        let wait = wait * self.rng.random_range(0.5..1.0);
        l.attempts += 1;
        l.phase = LinkPhase::Idle(now + wait);
        l.awaiting_since = None;
        l.outstanding_pings.clear();
        let queued = l.queue.drain();
        let out = std::mem::take(&mut l.in_flight);
        l.pace.on_reconnect();
        queued.into_iter().for_each(|number| self.finish(number, HopOutcome::Down));
        let of_link = |h: &Hop| {
            h.link == link && matches!(h.state, HopState::Sent | HopState::Queried | HopState::Running)
        };
        let sent: Vec<u64> = self.hops.iter().filter(|(_, h)| of_link(h)).map(|(n, _)| *n).collect();
        debug_assert!(out.iter().all(|n| sent.contains(n)));
        for number in sent {
            let Some(hop) = self.hops.get_mut(&number) else { continue };
            hop.sent_at = None;
            if hop.unrepeatable && self.limits.ask {
                hop.state = HopState::InDoubt;
            } else {
                // The module sends a repeatable one elsewhere at once, which beats asking.
                self.finish(number, HopOutcome::Lost);
            }
        }
        // Another link may lead to the same gateway.
        let other = |l: &Link| l.connected().then_some(l.ledger).flatten();
        let others: Vec<(usize, u64)> =
            self.links.iter().enumerate().filter_map(|(i, l)| Some((i, other(l)?))).collect();
        others.into_iter().for_each(|(i, ledger)| self.query_in_doubt(i, ledger));
    }

    /// Nobody waits for it any more.
    pub fn cancelled(&mut self, now: Time, number: u64) {
        self.end_transfer(now, number, None);
        let Some(hop) = self.remove(number) else { return };
        if matches!(hop.state, HopState::Sent | HopState::Running | HopState::Queried) {
            self.actions.push_back(LinkAction::Cancel { link: hop.link, number });
        }
        self.send_queued(now, hop.link);
    }

    pub fn poll(&mut self, now: Time) -> Option<LinkAction> {
        if self.actions.is_empty() {
            self.expire(now);
            (0..self.links.len()).for_each(|link| self.check_liveness(now, link));
            self.send_settled(now);
        }
        self.actions.pop_front()
    }

    fn expire(&mut self, now: Time) {
        while let Some(&(due, number)) = self.by_expiry.first().filter(|t| t.0 <= now) {
            self.by_expiry.remove(&(due, number));
            let Some(hop) = self.hops.get(&number) else { continue };
            let (state, link) = (hop.state, hop.link);
            let end = if state == HopState::Queued { HopOutcome::Full } else { HopOutcome::TimedOut };
            self.end_transfer(now, number, None);
            if matches!(state, HopState::Sent | HopState::Running | HopState::Queried) {
                self.actions.push_back(LinkAction::Cancel { link, number });
            }
            self.finish(number, end);
            self.send_queued(now, link);
        }
    }

    /// Signs of life: asks for them, misses them, gives the link up, and lets it come back.
    fn check_liveness(&mut self, now: Time, link: usize) {
        let dark = self.limits.dark_after();
        let l = &mut self.links[link];
        match l.phase {
            LinkPhase::Idle(at) if at <= now => {
                l.phase = LinkPhase::Dialling(now + Span::from_millis(self.limits.connect_ms));
                self.actions.push_back(LinkAction::Dial { link });
                return;
            }
            LinkPhase::Dialling(until) if until <= now => {
                self.actions.push_back(LinkAction::Disconnect { link });
                return self.disconnected(now, link);
            }
            LinkPhase::Idle(_) | LinkPhase::Dialling(_) => return,
            LinkPhase::Suspected(since) if now - since >= dark => {
                self.actions.push_back(LinkAction::Disconnect { link });
                return self.disconnected(now, link);
            }
            _ => {}
        }
        let silent =
            l.awaiting_since.is_some_and(|since| now - since >= l.rtt.timeout() * SUSPECT_AFTER_TIMEOUTS);
        if silent && !matches!(l.phase, LinkPhase::Suspected(_)) {
            l.phase = LinkPhase::Suspected(now);
            l.credit_share = (l.credit_share / 2.0).max(MIN_CREDIT_SHARE);
            l.stable = false;
            let queued = l.queue.drain();
            queued.into_iter().for_each(|number| self.finish(number, HopOutcome::Down));
            self.fail_repeatable(now, link);
        }
        let l = &mut self.links[link];
        if now >= l.next_ping {
            self.ping_count += 1;
            let busy = !l.in_flight.is_empty() || l.phase != LinkPhase::Up;
            let wait =
                if busy { l.rtt.timeout().max(MIN_BUSY_PING_INTERVAL) } else { self.limits.idle_ping() };
            l.next_ping = now + wait.min(self.limits.idle_ping());
            l.outstanding_pings.push_back((self.ping_count, now));
            if l.outstanding_pings.len() > MAX_OUTSTANDING_PINGS {
                l.outstanding_pings.pop_front();
            }
            l.awaiting_since.get_or_insert(now);
            self.actions.push_back(LinkAction::Ping { link, number: self.ping_count });
        }
        if l.phase == LinkPhase::Up && now >= l.next_step {
            l.next_step = now + STEP_INTERVAL;
            if l.stable {
                l.credit_share = (l.credit_share + CREDIT_SHARE_STEP).min(1.0);
            }
            l.stable = true;
            self.send_queued(now, link);
        }
    }

    /// What may run again is the module's at once: its client waits, and another way may be open. The rest stays: the
    /// link may still bring its answer, and nothing else will.
    fn fail_repeatable(&mut self, now: Time, link: usize) {
        let again = |h: &Hop| h.link == link && !h.unrepeatable;
        let all: Vec<u64> = self.hops.iter().filter(|(_, h)| again(h)).map(|(n, _)| *n).collect();
        for number in all {
            self.end_transfer(now, number, None);
            self.actions.push_back(LinkAction::Cancel { link, number });
            self.finish(number, HopOutcome::Lost);
        }
    }

    /// Tells far ends which numbers they need not keep any more.
    fn send_settled(&mut self, now: Time) {
        if now < self.next_settle {
            return;
        }
        self.next_settle = now + SETTLE_INTERVAL;
        let below = self.unrepeatable.first().copied().unwrap_or(self.next_id);
        for (link, l) in self.links.iter_mut().enumerate() {
            if l.connected() && below > l.settled {
                l.settled = below;
                self.actions.push_back(LinkAction::Settle { link, below });
            }
        }
    }

    pub fn next_wake(&self) -> Time {
        let of_link = |l: &Link| match l.phase {
            LinkPhase::Idle(at) | LinkPhase::Dialling(at) => at,
            phase => {
                let mut at = l.next_ping;
                if let LinkPhase::Suspected(since) = phase {
                    at = at.min(since + self.limits.dark_after());
                } else {
                    // Only a link that is up takes steps: a trial has nothing to wait for there.
                    if phase == LinkPhase::Up {
                        at = at.min(l.next_step);
                    }
                    let owed = l.awaiting_since.map(|since| since + l.rtt.timeout() * SUSPECT_AFTER_TIMEOUTS);
                    at = owed.map_or(at, |owed| at.min(owed));
                }
                at
            }
        };
        let links = self.links.iter().map(of_link).min();
        let hops = self.by_expiry.first().map(|t| t.0);
        [links, hops].into_iter().flatten().fold(self.next_settle, Time::min)
    }

    pub fn link_stats(&self, link: usize) -> LinkStats {
        let l = &self.links[link];
        LinkStats {
            phase: l.phase,
            credit_share: l.credit_share,
            in_flight: l.in_flight.len(),
            queued: l.queue.len(),
            round_trip: l.rtt.smoothed(),
            rate: l.pace.rate(),
            leaving: l.leaving,
        }
    }

    pub fn sizes(&self) -> [(&'static str, usize); 8] {
        let up = self.links.iter().filter(|l| l.phase == LinkPhase::Up).count();
        let queued = self.links.iter().map(|l| l.queue.len()).sum();
        let doubt =
            self.hops.values().filter(|h| matches!(h.state, HopState::InDoubt | HopState::Queried)).count();
        let kb = |of: fn(&Link) -> f64| (self.links.iter().map(of).sum::<f64>() / 1024.0) as usize;
        let round_trip = self.links.iter().map(|l| l.rtt.smoothed()).max().unwrap_or_default();
        [
            ("links up", up),
            ("hops on links", self.hops.len()),
            ("hops queued", queued),
            ("hops in doubt", doubt),
            ("KB on links", kb(|l| l.pace.in_flight())),
            ("KB that links may hold", kb(|l| l.pace.window())),
            ("KB a second over links", kb(|l| l.pace.rate().unwrap_or(0.0))),
            ("ms of the longest round trip", (round_trip.as_micros() / 1_000) as usize),
        ]
    }
}

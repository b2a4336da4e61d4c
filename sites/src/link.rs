//! State of one link of the initiator: its phase, signs of life, the share of the acceptor's credit that it
//! uses, and its attempts to connect.
//!
//! Invariant: after a failure a link carries txns again only after `TRIAL_PONGS` timely pongs, and then uses a
//! small share of the credit that grows in steps.

use crate::pace::Pacer;
use crate::peer_clock::PeerClock;
use crate::queue::Queue;
use crate::rtt::RttEstimator;
use crate::settings::Limits;
use crate::wire::Pong;
use kelpcart::{Span, Time};
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeSet, VecDeque};

/// A link is suspected after this many RTT time-outs without a message from the acceptor while one is
/// expected.
const SUSPECT_AFTER_TIMEOUTS: f64 = 3.0;
/// Consecutive timely pongs before a suspected link carries txns again.
const TRIAL_PONGS: u32 = 3;
/// Lower bound of the share of the acceptor's credit that is used. Same value as the module's standby share
/// for parents.
const MIN_CREDIT_SHARE: f64 = 0.05;
/// Increase of the used share of credit per `STEP_INTERVAL`. Half of the module's capped step for parents.
const CREDIT_SHARE_STEP: f64 = 0.075;
const STEP_INTERVAL: Span = Span::from_millis(1_000);
/// Lower bound of the ping interval on a busy link.
const MIN_BUSY_PING_INTERVAL: Span = Span::from_millis(50);
/// Growth factor of the reconnect delay. Each delay is jittered down by up to half its length.
const RECONNECT_BACKOFF_FACTOR: f64 = 2.0;
/// Unanswered pings that are tracked; the oldest is dropped beyond that.
const MAX_OUTSTANDING_PINGS: usize = 16;
/// Weight of a new sample in the EWMA of answer times and sizes.
pub const EWMA_WEIGHT: f64 = 0.125;

/// State that an acceptor reports when a connection is established.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Welcome {
    /// Status queries are valid only for hops sent while this ledger was current.
    pub ledger: u64,
    pub credit: u32,
    pub leaving: bool,
    /// Whether it also answers status queries about earlier ledgers.
    pub knows_past_ledgers: bool,
    /// A reading of its clock. `None`: it is of an earlier release.
    pub clock: Option<Time>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LinkPhase {
    /// No connection; the next attempt starts at this time.
    Idle(Time),
    /// Connecting; the attempt is abandoned at this time.
    Dialling(Time),
    Up,
    /// Timely pongs received since the link was suspected.
    Trial(u32),
    /// Suspected since this time.
    Suspected(Time),
}

/// State of a link.
pub struct Link {
    pub site: String,
    pub phase: LinkPhase,
    pub rtt: RttEstimator,
    pub pace: Pacer,
    pub queue: Queue,
    pub ledger: Option<u64>,
    pub clock: Option<PeerClock>,
    /// The acceptor also answers status queries about earlier ledgers.
    pub knows_past_ledgers: bool,
    credit: u32,
    pub leaving: bool,
    /// Share of the credit that is used.
    pub credit_share: f64,
    /// It was connected before.
    was_up: bool,
    /// Not suspected since the last step.
    stable: bool,
    next_step: Time,
    /// Numbers of the hops that the acceptor holds.
    pub in_flight: BTreeSet<u64>,
    /// Time of the first message sent since anything was last received.
    pub awaiting_since: Option<Time>,
    /// Pings without a pong. A pong names its ping, so that a late one is not matched to another ping.
    outstanding_pings: VecDeque<(u64, Time)>,
    /// EWMA of the time from sending a request to its answer, in seconds; `None` before the first.
    mean_answer_secs: Option<f64>,
    next_ping: Time,
    /// Attempts to connect since the link was last up.
    attempts: u32,
    /// The number that the acceptor was last told to be settled below.
    pub settled: u64,
}

impl Link {
    pub fn new(site: &str, limits: &Limits, now: Time) -> Link {
        Link {
            site: site.to_owned(),
            phase: LinkPhase::Idle(now),
            rtt: RttEstimator::default(),
            pace: Pacer::default(),
            queue: Queue::new(limits.queue, (limits.queue_kb * 1024) as f64),
            ledger: None,
            clock: None,
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
        }
    }

    /// A connection is established. Returns whether the link carries txns at once: the first connection is
    /// trusted, after a failure it goes through trial pings.
    pub fn on_connected(&mut self, now: Time, welcome: &Welcome) -> bool {
        self.phase = if self.was_up { LinkPhase::Trial(0) } else { LinkPhase::Up };
        (self.was_up, self.stable, self.next_step) = (true, true, now + STEP_INTERVAL);
        let is_up = self.phase == LinkPhase::Up;
        if is_up {
            self.attempts = 0;
        }
        self.ledger = Some(welcome.ledger);
        self.credit = welcome.credit.max(1);
        self.leaving = welcome.leaving;
        self.knows_past_ledgers = welcome.knows_past_ledgers;
        self.clock = welcome.clock.map(|reading| PeerClock::new(reading, now));
        (self.awaiting_since, self.next_ping, self.settled) = (None, now, 1);
        self.outstanding_pings.clear();
        self.pace.on_reconnect();
        is_up
    }

    /// The connection was lost or could not be established: schedules the next attempt. Jittered, so that
    /// gateways do not reconnect simultaneously.
    pub fn on_disconnected(&mut self, now: Time, limits: &Limits, rng: &mut Pcg64Mcg) {
        if self.connected() {
            self.credit_share = MIN_CREDIT_SHARE;
        }
        let first = Span::from_millis(limits.reconnect_ms);
        let wait = first * RECONNECT_BACKOFF_FACTOR.powi(self.attempts.min(16) as i32);
        let wait = wait.min(Span::from_millis(limits.reconnect_most_ms));
        let wait = wait * rng.random_range(0.5..1.0);
        self.attempts += 1;
        self.phase = LinkPhase::Idle(now + wait);
        self.awaiting_since = None;
        self.outstanding_pings.clear();
        self.pace.on_reconnect();
    }

    /// Takes over what a pong states, whichever ping it belongs to.
    pub fn update_from_pong(&mut self, now: Time, pong: &Pong) {
        (self.credit, self.leaving) = (pong.credit.max(1), self.leaving || pong.leaving);
        self.clock = pong.clock_us.map(|us| PeerClock::new(Time::from_micros(us), now));
    }

    /// Ends the wait for a ping's pong and for those of earlier pings. Returns when it was sent.
    pub fn take_ping(&mut self, number: u64) -> Option<Time> {
        let at = self.outstanding_pings.iter().position(|p| p.0 == number)?;
        let (_, sent) = self.outstanding_pings[at];
        self.outstanding_pings.drain(..=at);
        Some(sent)
    }

    /// A ping sent at `sent` has its pong. Returns whether the link carries txns again.
    pub fn on_round_trip(&mut self, now: Time, sent: Time) -> bool {
        let in_time = now - sent <= self.rtt.timeout() * SUSPECT_AFTER_TIMEOUTS;
        self.rtt.sample(now - sent);
        let mut is_up_again = false;
        match self.phase {
            LinkPhase::Suspected(_) if in_time => self.phase = LinkPhase::Trial(1),
            LinkPhase::Trial(n) if in_time && n + 1 < TRIAL_PONGS => self.phase = LinkPhase::Trial(n + 1),
            LinkPhase::Trial(_) if in_time => {
                self.phase = LinkPhase::Up;
                (self.attempts, self.stable, self.next_step) = (0, true, now + STEP_INTERVAL);
                is_up_again = true;
            }
            LinkPhase::Trial(_) => self.phase = LinkPhase::Suspected(now),
            _ => {}
        }
        if matches!(self.phase, LinkPhase::Trial(_)) {
            self.next_ping = now;
        }
        is_up_again
    }

    /// When the link counts as silent if nothing arrives until then.
    fn silence_limit(&self) -> Option<Time> {
        self.awaiting_since.map(|since| since + self.rtt.timeout() * SUSPECT_AFTER_TIMEOUTS)
    }

    /// Suspects the link if it is silent. Returns whether it is suspected from now on.
    pub fn suspect_if_silent(&mut self, now: Time) -> bool {
        let is_silent = self.silence_limit().is_some_and(|limit| now >= limit);
        if !is_silent || matches!(self.phase, LinkPhase::Suspected(_)) {
            return false;
        }
        self.phase = LinkPhase::Suspected(now);
        self.credit_share = (self.credit_share / 2.0).max(MIN_CREDIT_SHARE);
        self.stable = false;
        true
    }

    pub fn is_ping_due(&self, now: Time) -> bool {
        now >= self.next_ping
    }

    /// Records a ping that is sent now and schedules the next one.
    pub fn on_ping_sent(&mut self, now: Time, number: u64, limits: &Limits) {
        let busy = !self.in_flight.is_empty() || self.phase != LinkPhase::Up;
        let wait = if busy { self.rtt.timeout().max(MIN_BUSY_PING_INTERVAL) } else { limits.idle_ping() };
        self.next_ping = now + wait.min(limits.idle_ping());
        self.outstanding_pings.push_back((number, now));
        if self.outstanding_pings.len() > MAX_OUTSTANDING_PINGS {
            self.outstanding_pings.pop_front();
        }
        self.awaiting_since.get_or_insert(now);
    }

    /// Raises the used share of the credit of a link that is up and stable. Returns whether a step was due.
    pub fn step_credit(&mut self, now: Time) -> bool {
        if self.phase != LinkPhase::Up || now < self.next_step {
            return false;
        }
        self.next_step = now + STEP_INTERVAL;
        if self.stable {
            self.credit_share = (self.credit_share + CREDIT_SHARE_STEP).min(1.0);
        }
        self.stable = true;
        true
    }

    pub fn record_answer_time(&mut self, secs: f64) {
        self.mean_answer_secs =
            Some(self.mean_answer_secs.map_or(secs, |mean| mean + (secs - mean) * EWMA_WEIGHT));
    }

    /// When the link needs attention again.
    pub fn next_wake(&self, limits: &Limits) -> Time {
        match self.phase {
            LinkPhase::Idle(at) | LinkPhase::Dialling(at) => at,
            LinkPhase::Suspected(since) => self.next_ping.min(since + limits.dark_after()),
            phase => {
                // Only a link that is up takes steps. Waking a link on trial at `next_step` would make the
                // host call in a loop.
                let step = (phase == LinkPhase::Up).then_some(self.next_step);
                [step, self.silence_limit()].into_iter().flatten().fold(self.next_ping, Time::min)
            }
        }
    }

    pub fn stats(&self) -> LinkStats {
        LinkStats {
            phase: self.phase,
            credit_share: self.credit_share,
            in_flight: self.in_flight.len(),
            queued: self.queue.len(),
            round_trip: self.rtt.smoothed(),
            rate: self.pace.rate(),
            leaving: self.leaving,
        }
    }

    pub fn connected(&self) -> bool {
        matches!(self.phase, LinkPhase::Up | LinkPhase::Trial(_) | LinkPhase::Suspected(_))
    }

    /// Mean time from sending a request to its answer, including the round trip.
    pub fn mean_answer_time(&self) -> Span {
        Span::from_secs_f64(self.mean_answer_secs.unwrap_or(0.0))
    }

    /// How long a hop that arrives now waits for credit used by those before it.
    pub fn credit_wait(&self) -> Span {
        let before = (self.in_flight.len() + self.queue.len() + 1).saturating_sub(self.max_in_flight());
        self.mean_answer_time() * (before as f64 / self.max_in_flight() as f64)
    }

    pub fn max_in_flight(&self) -> usize {
        ((f64::from(self.credit) * self.credit_share).floor() as usize).max(1)
    }
}

/// Snapshot of a link for counters and tests.
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

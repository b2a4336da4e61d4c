//! Initiating end of the links of a gateway, without I/O or clock: the state of each link, its queue, the
//! hops in flight on it, and the outcome of hops when a link fails. Inputs only update state; the host
//! pulls [`LinkAction`]s with `poll` and calls again at `next_wake`.
//!
//! Invariant: an unrepeatable hop is reported as not run only if the acceptor says so or nothing of it was
//! sent. Each hop is finished exactly once.
//!
//! A link's failure is detected from its own acknowledgements (RFC 6298). A suspected link returns like a
//! parent does: after trial pings, then in capped steps.

use crate::link::{EWMA_WEIGHT, Link, LinkPhase, LinkStats, Welcome};
use crate::peer_clock::PeerClock;
use crate::queue::QueuedHop;
use crate::settings::{Limits, Sites};
use crate::wire::{MAX_ANSWER_BODY_BYTES, Pong, TxnStatus};
use kelpcart::{Span, Time};
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Assumed answer size before the first answer.
const INITIAL_ANSWER_BYTES: f64 = 16.0 * 1024.0;
const SETTLE_INTERVAL: Span = Span::from_millis(500);
/// Numbers in one status query.
const MAX_QUERY_NUMBERS: usize = 256;
/// Size attributed to a request's fields, in addition to its body.
pub const REQUEST_OVERHEAD_BYTES: f64 = 200.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HopOutcome {
    /// The acceptor's answer, which the host holds.
    Answered,
    /// Nothing was sent: the link is down or suspected, or the acceptor is leaving.
    Down,
    /// Nothing was sent: the queue is full, or the hop can't be answered before its deadline.
    Full,
    /// Nothing was sent: the hop has already crossed the peer's site, or too many sites.
    Loop,
    /// Nothing was sent: the acceptor is of an earlier release, which can't keep to the hop's attempt times.
    Outdated,
    /// Sent, but the acceptor had no room or is leaving: it did not run and will not.
    Refused,
    /// Sent, and the acceptor confirms that it never ran and never will.
    NeverAccepted,
    /// Sent and possibly run; its outcome can't be learned any more.
    Lost,
    /// The deadline has passed, and it may have run.
    TimedOut,
}

#[derive(Clone, Debug, PartialEq)]
pub enum LinkAction {
    Dial {
        link: usize,
    },
    /// Close the connection, whatever its state.
    Disconnect {
        link: usize,
    },
    /// Write the request. `time_left` is the acceptor's time budget, counted from the request's arrival.
    Send {
        link: usize,
        number: u64,
        time_left: Span,
        attempts: AcceptorAttempts,
    },
    Cancel {
        link: usize,
        number: u64,
    },
    QueryStatus {
        link: usize,
        /// The ledger that was current when the hops were sent.
        ledger: u64,
        numbers: Vec<u64>,
    },
    Ping {
        link: usize,
        number: u64,
    },
    /// The link carries txns again.
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

/// Attempt times of a hop on the acceptor's clock, as its request states them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AcceptorAttempts {
    pub first_attempt: Option<Time>,
    pub start_by: Option<Time>,
}

/// A hop to be sent over a link.
pub struct HopSpec<'a> {
    pub importance: u8,
    /// It must not run twice.
    pub unrepeatable: bool,
    /// Object size stated by the txn, in KB.
    pub size_kb: Option<f64>,
    /// Size of the request body in bytes.
    pub body_bytes: usize,
    pub deadline: Time,
    /// End of the SLA time.
    pub sla_deadline: Time,
    /// When the first attempt of the txn that may have run was sent.
    pub first_attempt: Option<Time>,
    /// Nothing of the txn may be sent after this time, at the acceptor's site either.
    pub start_by: Time,
    /// Sites crossed before this one.
    pub path: &'a [String],
}

impl HopSpec<'_> {
    /// Whether the acceptor has to know the attempt times: a second run would do harm, and one may have
    /// started, or the start of this one is limited.
    fn needs_attempt_times(&self) -> bool {
        self.unrepeatable && (self.first_attempt.is_some() || self.start_by < self.deadline)
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum HopState {
    Queued,
    Sent,
    /// The connection broke; only the gateway with the hop's ledger knows its outcome.
    InDoubt,
    /// A status query has been sent on the hop's link.
    Queried,
    /// Running at the acceptor; the answer arrives on the hop's link.
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
    first_attempt: Option<Time>,
    start_by: Time,
    /// When the hop is finished if nothing else finishes it: at its deadline, or earlier once it can't be
    /// sent and answered in time.
    expires_at: Time,
    state: HopState,
    /// When the request was sent, while it is in flight.
    sent_at: Option<Time>,
    /// Bytes of the answer received so far.
    received_bytes: f64,
    /// Ledger that was current when the hop was sent.
    ledger: u64,
}

impl Hop {
    /// What the request states of attempts. A repeatable hop that has not run needs nothing.
    fn attempts_on(&self, clock: PeerClock) -> AcceptorAttempts {
        AcceptorAttempts {
            first_attempt: self.first_attempt.map(|at| clock.earliest(at)),
            start_by: self.unrepeatable.then(|| clock.earliest(self.start_by)),
        }
    }
}

/// Bytes in flight of hops of this importance and above. Less important ones yield to them in the
/// acceptor's send order.
fn bytes_in_flight(link: &Link, hops: &BTreeMap<u64, Hop>, importance: u8) -> f64 {
    let out = link.in_flight.iter().filter_map(|n| hops.get(n));
    out.filter(|h| h.importance >= importance).map(|h| h.expected_bytes).sum()
}

pub struct Initiator {
    limits: Limits,
    rng: Pcg64Mcg,
    links: Vec<Link>,
    hops: BTreeMap<u64, Hop>,
    by_expiry: BTreeSet<(Time, u64)>,
    /// Numbers of the open unrepeatable hops.
    unrepeatable: BTreeSet<u64>,
    next_id: u64,
    ping_count: u64,
    /// EWMA of answer bytes per KB of stated size.
    answer_bytes_per_kb: Option<f64>,
    /// EWMA of answer bytes over all txns.
    mean_answer_bytes: f64,
    next_settle: Time,
    actions: VecDeque<LinkAction>,
}

impl Initiator {
    pub fn new(sites: &Sites, seed: u64, now: Time) -> Initiator {
        Initiator {
            limits: sites.limits.clone(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            links: sites.peers.iter().map(|p| Link::new(&p.site, &sites.limits, now)).collect(),
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

    /// First number that has not been used yet.
    pub fn next_number(&self) -> u64 {
        self.next_id
    }

    /// Starts a hop over a link and returns its number. The outcome arrives through `poll`, immediately
    /// where the hop can't be sent.
    pub fn submit(&mut self, now: Time, link: usize, spec: &HopSpec) -> u64 {
        let number = self.next_id;
        self.next_id += 1;
        let bytes = self.expected_bytes(spec);
        let l = &mut self.links[link];
        let before = Span::from_millis(self.limits.answer_before_ms);
        let deadline = spec.deadline.saturating_sub(before);
        let hop = Hop {
            link,
            importance: spec.importance,
            unrepeatable: spec.unrepeatable,
            size_kb: spec.size_kb,
            expected_bytes: bytes,
            deadline,
            first_attempt: spec.first_attempt,
            start_by: spec.start_by,
            expires_at: deadline,
            state: HopState::Queued,
            sent_at: None,
            received_bytes: 0.0,
            ledger: l.ledger.unwrap_or(0),
        };
        self.hops.insert(number, hop);
        self.by_expiry.insert((deadline, number));
        if spec.unrepeatable {
            self.unrepeatable.insert(number);
        }
        // This site is added to the path when the hop is sent.
        if spec.path.contains(&l.site) || spec.path.len() + 1 >= self.limits.sites {
            self.finish(number, HopOutcome::Loop);
        } else if l.phase != LinkPhase::Up || l.leaving {
            self.finish(number, HopOutcome::Down);
        } else if l.clock.is_none() && spec.needs_attempt_times() {
            self.finish(number, HopOutcome::Outdated);
        } else {
            // Admission control, which protects the acceptor and the client's time: a hop that can't be
            // answered in time is finished at once, and a queued one as soon as that becomes certain.
            let ahead =
                l.queue.bytes_ahead(spec.importance) + bytes_in_flight(l, &self.hops, spec.importance);
            let min_time = l.pace.min_answer_time().max(l.rtt.smoothed());
            let wait = l.pace.queueing_delay(ahead, bytes).max(l.credit_wait());
            // A hop that can meet its SLA deadline waits only for that. One that never could waits for one
            // SLA time at most, so that it is not held until its client gives up.
            let can_meet_sla = now + min_time < spec.sla_deadline;
            let deadline = if can_meet_sla { deadline.min(spec.sla_deadline) } else { deadline };
            if now + min_time + wait >= deadline {
                self.finish(number, HopOutcome::Full);
            } else {
                let latest = if can_meet_sla { deadline } else { now + (spec.sla_deadline - now) };
                let expires_at = deadline.saturating_sub(min_time).min(latest).min(spec.start_by).max(now);
                let hop = self.hops.get_mut(&number);
                if let Some(before) = hop.map(|hop| std::mem::replace(&mut hop.expires_at, expires_at)) {
                    self.by_expiry.remove(&(before, number));
                    self.by_expiry.insert((expires_at, number));
                }
                let queued_hop = QueuedHop { number, importance: spec.importance, bytes };
                let evicted = l.queue.push(queued_hop);
                evicted.into_iter().for_each(|number| self.finish(number, HopOutcome::Full));
                self.send_queued(now, link);
            }
        }
        number
    }

    /// Expected bytes on the link, answer included: from the stated size and the recent ratio of actual to
    /// stated size, else from the mean answer.
    fn expected_bytes(&self, spec: &HopSpec) -> f64 {
        let answer = spec
            .size_kb
            .map_or(self.mean_answer_bytes, |kb| kb * self.answer_bytes_per_kb.unwrap_or(1_024.0));
        answer.min(MAX_ANSWER_BODY_BYTES as f64) + spec.body_bytes as f64 + REQUEST_OVERHEAD_BYTES
    }

    /// Removes a hop from all tables and reports its outcome, so that it can't be finished twice.
    fn finish(&mut self, number: u64, outcome: HopOutcome) {
        if self.remove(number).is_some() {
            self.actions.push_back(LinkAction::Finished { number, outcome });
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

    /// Sends queued hops in order of importance, within the acceptor's credit and the link's window.
    fn send_queued(&mut self, now: Time, link: usize) {
        loop {
            let l = &mut self.links[link];
            let Some(first) = l.queue.first() else { return l.pace.set_blocked(now, false) };
            let has_credit = l.in_flight.len() < l.max_in_flight();
            let has_room = l.pace.has_room(bytes_in_flight(l, &self.hops, first.importance), first.bytes);
            // The link stays blocked when a hop finishes meanwhile: more are queued behind it.
            if !has_credit || !has_room {
                l.pace.set_blocked(now, has_credit);
            }
            if l.phase != LinkPhase::Up || !has_credit || !has_room {
                return;
            }
            let Some(hop) = self.hops.get_mut(&first.number) else {
                l.queue.remove(first.number);
                continue;
            };
            // Leaves time for the answer's way back: the acceptor's budget is reduced by one RTT time-out.
            let remaining = hop.deadline - now;
            let time_left = hop.deadline.saturating_sub(l.rtt.timeout().min(remaining * 0.5)) - now;
            if time_left < Span::from_millis(1) || now >= hop.start_by {
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
            let attempts = l.clock.map(|clock| hop.attempts_on(clock)).unwrap_or_default();
            self.actions.push_back(LinkAction::Send { link, number: first.number, time_left, attempts });
        }
    }

    /// The request could not be written in full, so none of it can run.
    pub fn send_failed(&mut self, now: Time, number: u64) {
        if self.hops.get(&number).is_some_and(|h| h.state == HopState::Sent) {
            self.end_transfer(now, number, None);
            self.finish(number, HopOutcome::Down);
        }
    }

    /// The request was sent in full, but its stream failed while the connection stayed up.
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

    /// The acceptor has accepted the request. Returns the time since it was sent.
    pub fn accepted(&mut self, now: Time, number: u64) -> Option<Span> {
        let hop = self.hops.get(&number)?;
        let (link, sent) = (hop.link, hop.sent_at?);
        let elapsed = now - sent;
        self.peer_active(now, link);
        if self.hops.get(&number)?.state == HopState::Sent {
            self.links[link].rtt.sample(elapsed);
        }
        Some(elapsed)
    }

    /// The complete answer of `bytes` has arrived; the host holds it.
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

    /// The acceptor says that the hop did not run and will not (no room, leaving, or fenced), or that it no
    /// longer knows its outcome.
    pub fn refused(&mut self, now: Time, link: usize, number: u64, outcome: HopOutcome) {
        self.peer_active(now, link);
        self.end_transfer(now, number, None);
        self.finish(number, outcome);
        self.send_queued(now, link);
    }

    /// Ends the hop's accounting on the link. `bytes`: size of the answer if it arrived in full.
    fn end_transfer(&mut self, now: Time, number: u64, bytes: Option<f64>) {
        let Some(hop) = self.hops.get_mut(&number) else { return };
        let Some(sent) = hop.sent_at.take() else { return };
        let l = &mut self.links[hop.link];
        if let Some(bytes) = bytes {
            l.pace.on_received(now, (bytes - hop.received_bytes).max(0.0) + REQUEST_OVERHEAD_BYTES);
            l.record_answer_time((now - sent).as_secs_f64());
        }
        l.pace.on_finished(now, sent, hop.expected_bytes, bytes.is_some());
    }

    /// Part of an answer has arrived.
    pub fn answer_bytes_received(&mut self, now: Time, link: usize, number: u64, bytes: f64) {
        self.peer_active(now, link);
        if let Some(hop) = self.hops.get_mut(&number).filter(|h| h.link == link && h.sent_at.is_some()) {
            hop.received_bytes += bytes;
            self.links[link].pace.on_received(now, bytes);
        }
    }

    /// Any message from the acceptor resets failure detection.
    pub fn peer_active(&mut self, _now: Time, link: usize) {
        self.links[link].awaiting_since = None;
    }

    pub fn pong_received(&mut self, now: Time, link: usize, pong: &Pong) {
        self.peer_active(now, link);
        let l = &mut self.links[link];
        l.update_from_pong(now, pong);
        let Some(sent) = l.take_ping(pong.number) else { return };
        if l.on_round_trip(now, sent) {
            self.actions.push_back(LinkAction::LinkUp { link });
        }
        self.send_queued(now, link);
    }

    /// The acceptor accepts no more hops; it still answers those it has.
    pub fn peer_leaving(&mut self, now: Time, link: usize) {
        self.peer_active(now, link);
        self.links[link].leaving = true;
        let queued = self.links[link].queue.drain();
        queued.into_iter().for_each(|number| self.finish(number, HopOutcome::Down));
    }

    /// A connection is established, and the acceptor has identified itself.
    pub fn connected(&mut self, now: Time, link: usize, welcome: &Welcome) {
        let l = &mut self.links[link];
        if !matches!(l.phase, LinkPhase::Dialling(_)) {
            return;
        }
        if l.on_connected(now, welcome) {
            self.actions.push_back(LinkAction::LinkUp { link });
        }
        self.query_in_doubt(link, welcome.ledger);
    }

    /// Queries the outcome of hops in doubt that this acceptor can know. Those sent under a ledger that it
    /// no longer has are lost.
    fn query_in_doubt(&mut self, link: usize, ledger: u64) {
        self.query_ledger(link, ledger);
        let unresolved = |h: &Hop| h.state == HopState::InDoubt && h.link == link;
        if self.links[link].knows_past_ledgers {
            let ledgers: BTreeSet<u64> =
                self.hops.values().filter(|h| unresolved(h)).map(|h| h.ledger).collect();
            return ledgers.into_iter().for_each(|ledger| self.query_ledger(link, ledger));
        }
        let lost: Vec<u64> = self.hops.iter().filter(|(_, h)| unresolved(h)).map(|(n, _)| *n).collect();
        lost.into_iter().for_each(|number| self.finish(number, HopOutcome::Lost));
    }

    fn query_ledger(&mut self, link: usize, ledger: u64) {
        let mut queried = Vec::new();
        let in_doubt = |h: &Hop| h.state == HopState::InDoubt && h.ledger == ledger;
        for (&number, hop) in self.hops.iter_mut().filter(|(_, h)| in_doubt(h)) {
            (hop.state, hop.link) = (HopState::Queried, link);
            queried.push(number);
        }
        for numbers in queried.chunks(MAX_QUERY_NUMBERS) {
            self.actions.push_back(LinkAction::QueryStatus { link, ledger, numbers: numbers.to_vec() });
        }
    }

    /// The acceptor records new hops in another ledger; earlier ones stay with the previous ledger.
    pub fn ledger_changed(&mut self, now: Time, link: usize, ledger: u64) {
        self.peer_active(now, link);
        let l = &mut self.links[link];
        if l.connected() && l.ledger != Some(ledger) {
            l.ledger = Some(ledger);
            let knows_past_ledgers = l.knows_past_ledgers;
            self.query_ledger(link, ledger);
            // Query here about ledgers that no connected link serves any more.
            let in_doubt = |h: &&Hop| h.state == HopState::InDoubt;
            let ledgers: BTreeSet<u64> = self.hops.values().filter(in_doubt).map(|h| h.ledger).collect();
            let served = |ledger: &u64| self.links.iter().any(|l| l.connected() && l.ledger == Some(*ledger));
            let unserved: Vec<u64> =
                ledgers.into_iter().filter(|l| knows_past_ledgers && !served(l)).collect();
            unserved.into_iter().for_each(|ledger| self.query_ledger(link, ledger));
        }
    }

    /// Answer to a status query; a finished hop arrives through `answered` instead.
    pub fn status_received(&mut self, now: Time, link: usize, number: u64, status: TxnStatus) {
        self.peer_active(now, link);
        let Some(hop) = self.hops.get_mut(&number) else { return };
        if hop.link != link || hop.state != HopState::Queried {
            return;
        }
        match status {
            TxnStatus::NeverAccepted => self.finish(number, HopOutcome::NeverAccepted),
            TxnStatus::Unknown => self.finish(number, HopOutcome::Lost),
            TxnStatus::Running => {
                hop.state = HopState::Running;
                self.links[link].in_flight.insert(number);
            }
        }
    }

    /// The connection was lost or could not be established.
    pub fn disconnected(&mut self, now: Time, link: usize) {
        let l = &mut self.links[link];
        if matches!(l.phase, LinkPhase::Idle(_)) {
            return;
        }
        l.on_disconnected(now, &self.limits, &mut self.rng);
        let queued = l.queue.drain();
        let out = std::mem::take(&mut l.in_flight);
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
                // The module retries a repeatable hop elsewhere at once, which is faster than a status
                // query.
                self.finish(number, HopOutcome::Lost);
            }
        }
        // Another link may lead to the same gateway.
        let ledger_of = |l: &Link| l.connected().then_some(l.ledger).flatten();
        let others: Vec<(usize, u64)> =
            self.links.iter().enumerate().filter_map(|(i, l)| Some((i, ledger_of(l)?))).collect();
        others.into_iter().for_each(|(i, ledger)| self.query_in_doubt(i, ledger));
    }

    /// The host no longer waits for the hop.
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
        while let Some(&(expires_at, number)) = self.by_expiry.first().filter(|t| t.0 <= now) {
            self.by_expiry.remove(&(expires_at, number));
            let Some(hop) = self.hops.get(&number) else { continue };
            let (state, link) = (hop.state, hop.link);
            let outcome = if state == HopState::Queued { HopOutcome::Full } else { HopOutcome::TimedOut };
            self.end_transfer(now, number, None);
            if matches!(state, HopState::Sent | HopState::Running | HopState::Queried) {
                self.actions.push_back(LinkAction::Cancel { link, number });
            }
            self.finish(number, outcome);
            self.send_queued(now, link);
        }
    }

    /// Sends pings, detects a silent link, closes it when it stays silent, and raises its credit share step
    /// by step.
    fn check_liveness(&mut self, now: Time, link: usize) {
        let close_after = self.limits.dark_after();
        let l = &mut self.links[link];
        match l.phase {
            LinkPhase::Idle(at) if at <= now => {
                l.phase = LinkPhase::Dialling(now + Span::from_millis(self.limits.connect_ms));
                self.actions.push_back(LinkAction::Dial { link });
                return;
            }
            LinkPhase::Dialling(deadline) if deadline <= now => {
                self.actions.push_back(LinkAction::Disconnect { link });
                return self.disconnected(now, link);
            }
            LinkPhase::Idle(_) | LinkPhase::Dialling(_) => return,
            LinkPhase::Suspected(since) if now - since >= close_after => {
                self.actions.push_back(LinkAction::Disconnect { link });
                return self.disconnected(now, link);
            }
            _ => {}
        }
        if l.suspect_if_silent(now) {
            let queued = l.queue.drain();
            queued.into_iter().for_each(|number| self.finish(number, HopOutcome::Down));
            self.fail_repeatable(now, link);
        }
        let l = &mut self.links[link];
        if l.is_ping_due(now) {
            self.ping_count += 1;
            l.on_ping_sent(now, self.ping_count, &self.limits);
            self.actions.push_back(LinkAction::Ping { link, number: self.ping_count });
        }
        if l.step_credit(now) {
            self.send_queued(now, link);
        }
    }

    /// Returns repeatable hops to the module at once: the client is waiting, and another path may be open.
    /// Unrepeatable ones stay, since only this link can still bring their answer.
    fn fail_repeatable(&mut self, now: Time, link: usize) {
        let repeatable = |h: &Hop| h.link == link && !h.unrepeatable;
        let all: Vec<u64> = self.hops.iter().filter(|(_, h)| repeatable(h)).map(|(n, _)| *n).collect();
        for number in all {
            self.end_transfer(now, number, None);
            self.actions.push_back(LinkAction::Cancel { link, number });
            self.finish(number, HopOutcome::Lost);
        }
    }

    /// Tells acceptors below which number they need not keep records.
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
        let links = self.links.iter().map(|l| l.next_wake(&self.limits)).min();
        let hops = self.by_expiry.first().map(|t| t.0);
        [links, hops].into_iter().flatten().fold(self.next_settle, Time::min)
    }

    pub fn link_stats(&self, link: usize) -> LinkStats {
        self.links[link].stats()
    }

    pub fn sizes(&self) -> [(&'static str, usize); 8] {
        let up = self.links.iter().filter(|l| l.phase == LinkPhase::Up).count();
        let queued = self.links.iter().map(|l| l.queue.len()).sum();
        let in_doubt =
            self.hops.values().filter(|h| matches!(h.state, HopState::InDoubt | HopState::Queried)).count();
        let kb = |bytes: fn(&Link) -> f64| (self.links.iter().map(bytes).sum::<f64>() / 1024.0) as usize;
        let round_trip = self.links.iter().map(|l| l.rtt.smoothed()).max().unwrap_or_default();
        [
            ("links up", up),
            ("hops on links", self.hops.len()),
            ("hops queued", queued),
            ("hops in doubt", in_doubt),
            ("KB on links", kb(|l| l.pace.in_flight())),
            ("KB that links may hold", kb(|l| l.pace.window())),
            ("KB a second over links", kb(|l| l.pace.rate().unwrap_or(0.0))),
            ("ms of the longest round trip", (round_trip.as_micros() / 1_000) as usize),
        ]
    }
}

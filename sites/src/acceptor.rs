//! Accepting end of links, without I/O or clock: sessions of gateways of other sites, their credit, which
//! of their requests run, and who is sent the outcome. Inputs only update state; the host pulls
//! [`SessionAction`]s with `poll`.
//!
//! Invariant: a request that has arrived before is not run again, and an unrepeatable one does not run
//! before the durable ledger holds it. With a replicated ledger, no outcome is sent and no number is called
//! never accepted before the replicas hold that.

use crate::ledger::{Admission, Answer, Bounds, Change, Key, Ledger, Lookup, TxnOutcome};
use crate::settings::Sites;
use crate::wire;
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// Identifies a connection; assigned by the host.
pub type SessionId = u64;
/// Identifies an admitted request; assigned here.
pub type Call = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It did not run and will not.
    Full,
    Fenced,
    /// It has already crossed this site, or too many sites.
    Loop,
    Leaving,
    /// Its outcome is no longer known; it may have run.
    Forgotten,
}

#[derive(Clone, Debug, PartialEq)]
pub enum SessionAction {
    /// Accept the session and identify this gateway.
    AcceptSession {
        session: SessionId,
        credit: u32,
        leaving: bool,
        /// Ledger of the replica group that records the session's txns.
        ledger: Option<u64>,
    },
    /// Txns accepted from now on are recorded in another ledger.
    LedgerChanged {
        session: SessionId,
        ledger: u64,
    },
    /// This and the next four go to the replicas. Their replies arrive through `sender_registered`,
    /// `accept_replicated`, `outcome_replicated` and `replica_status`.
    RegisterSender {
        session: SessionId,
        sender: u64,
        next_number: u64,
    },
    ReplicateAccept {
        call: Call,
        key: Key,
        importance: u8,
    },
    /// `call` is `None` where nobody waits for the reply.
    ReplicateOutcome {
        call: Option<Call>,
        key: Key,
        answer: Arc<Answer>,
        /// The ledger in which the txn was accepted.
        ledger: u64,
    },
    QueryReplicas {
        session: SessionId,
        key: Key,
        /// The ledger that was current when the hop was sent.
        ledger: u64,
    },
    ReplicateSettle {
        sender: u64,
        below: u64,
    },
    /// Send the reason and close the session.
    RefuseSession {
        session: SessionId,
        reason: String,
    },
    /// Confirm acceptance and run the request.
    Run {
        call: Call,
        session: Option<SessionId>,
        number: u64,
    },
    /// The txn is already running; confirm acceptance.
    AlreadyRunning {
        session: SessionId,
        number: u64,
    },
    /// An answer from the ledger.
    SendAnswer {
        session: SessionId,
        number: u64,
        answer: Arc<Answer>,
    },
    RefuseHop {
        session: SessionId,
        number: u64,
        reason: RefusalReason,
    },
    SendStatus {
        session: SessionId,
        number: u64,
        status: wire::TxnStatus,
    },
    Cancel {
        call: Call,
    },
    /// The call will not run; its request can be dropped.
    Discard {
        call: Call,
    },
    AnnounceLeaving {
        session: SessionId,
    },
    /// Write the changes to disk in order, then call `persisted` with `seq`.
    Persist {
        seq: u64,
        changes: Vec<Change>,
    },
}

#[derive(Debug)]
struct Session {
    sender: u64,
    site: String,
    /// Open requests by number.
    open: BTreeMap<u64, Call>,
    /// First number unused by the sender when the session started.
    next_number: u64,
    /// The session is accepted at this time even if the replicas have not replied.
    welcome_deadline: Option<Time>,
    /// Ledger of the replica group in which the sender is registered.
    replica_ledger: Option<u64>,
    /// Ledger that was last announced to the sender.
    announced_ledger: Option<u64>,
    /// When to register with the replicas again.
    register_at: Option<Time>,
    /// Numbers queried by the sender that run at another gateway: when each is looked up again, and the
    /// ledger that was current when it was sent.
    watches: BTreeMap<u64, (Time, u64)>,
}

/// The replicas' reply to a request to run a txn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptResult {
    /// They have recorded that it runs here.
    Granted,
    /// Another gateway runs it.
    Running,
    Ended(Arc<Answer>),
    /// Not recorded, or recorded too late for this gateway to act on it: it has not run and will not.
    NotAccepted,
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
struct Running {
    number: u64,
    key: Option<Key>,
    /// Session that receives the outcome; `None` once its connection is gone.
    session: Option<SessionId>,
    /// Passed to the host to run.
    started: bool,
    /// Cancelled before it was started.
    cancelled: bool,
    /// The outcome while it is being replicated, and when it is reported as unknown if that has not
    /// succeeded.
    pending_outcome: Option<(Arc<Answer>, Time)>,
    /// The ledger in which it is accepted.
    ledger: u64,
}

/// The fields of a request that admission depends on.
pub struct RequestMeta<'a> {
    pub number: u64,
    pub unrepeatable: bool,
    pub importance: u8,
    pub path: &'a [String],
}

pub struct Acceptor {
    site: String,
    accept: BTreeSet<String>,
    max_running: usize,
    max_sessions: usize,
    max_sites: usize,
    ledger: Ledger,
    durable: bool,
    /// The ledger is replicated over several gateways; the local one holds only what this gateway needs.
    replicated: bool,
    sessions: BTreeMap<SessionId, Session>,
    calls: BTreeMap<Call, Running>,
    calls_by_key: BTreeMap<Key, Call>,
    next_id: Call,
    /// Calls waiting until the write with this sequence number is on disk.
    awaiting_disk: VecDeque<(u64, Call)>,
    seq: u64,
    leaving: bool,
    next_expiry: Time,
    actions: VecDeque<SessionAction>,
}

const EXPIRY_INTERVAL: Span = Span::from_millis(1_000);
/// A new session waits this long for the replicas. The initiator's connect time-out is longer.
const WELCOME_TIMEOUT: Span = Span::from_millis(1_500);
/// Delay before a sender is registered with the replicas again.
const REGISTER_RETRY_INTERVAL: Span = Span::from_millis(150);
/// An outcome that is not replicated within this time is reported as unknown.
const REPLICATION_TIMEOUT: Span = Span::from_millis(1_000);
/// Interval of lookups of txns that run at another gateway.
const WATCH_INTERVAL: Span = Span::from_millis(50);

impl Acceptor {
    pub fn new(sites: &Sites, now: Time) -> Acceptor {
        let l = &sites.ledger;
        let bounds = Bounds {
            entries: l.entries,
            bytes: l.bytes,
            age: Span::from_millis(l.age_ms),
            senders: l.gateways,
        };
        let durable = l.file.is_some();
        Acceptor {
            site: sites.site.clone(),
            accept: sites.accept.clone(),
            max_running: sites.limits.taken,
            max_sessions: sites.limits.sessions,
            max_sites: sites.limits.sites,
            ledger: Ledger::new(bounds, durable),
            durable,
            replicated: false,
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            calls_by_key: BTreeMap::new(),
            next_id: 0,
            awaiting_disk: VecDeque::new(),
            seq: 0,
            leaving: false,
            next_expiry: now + EXPIRY_INTERVAL,
            actions: VecDeque::new(),
        }
    }

    /// Replicates the records of unrepeatable txns over several gateways. To be called before any other
    /// input.
    pub fn enable_replication(&mut self) {
        self.replicated = true;
    }

    pub fn recover(&mut self, now: Time, floors: &[Key], accepted: &[(Key, Option<Answer>)]) {
        self.ledger.recover(now, floors, accepted);
    }

    /// Hops that one session may have here at once: an equal share, so that no sender takes the others'
    /// room.
    fn credit(&self) -> u32 {
        (self.max_running / self.sessions.len().max(1)).max(1) as u32
    }

    /// A gateway has connected. `proven`: its certificate holds the site's name.
    pub fn hello(&mut self, now: Time, session: SessionId, hello: &wire::Hello, proven: bool) {
        // Sent to the peer in the refusal: the texts stay as earlier releases send them.
        let reason = if hello.version != wire::VERSION {
            Some(format!("version {} is spoken here, not {}", wire::VERSION, hello.version))
        } else if !proven {
            Some("the certificate is not that site's".to_owned())
        } else if !self.accept.contains(&hello.site) {
            Some("nothing is taken from that site".to_owned())
        } else if self.sessions.contains_key(&session) {
            Some("a second hello".to_owned())
        } else if self.sessions.len() >= self.max_sessions
            || !self.ledger.register(now, hello.run_id, hello.next_number)
        {
            Some("no room for another gateway".to_owned())
        } else {
            None
        };
        if let Some(reason) = reason {
            self.actions.push_back(SessionAction::RefuseSession { session, reason });
            return;
        }
        let (sender, site, next_number) = (hello.run_id, hello.site.clone(), hello.next_number);
        let state = Session {
            sender,
            site,
            open: BTreeMap::new(),
            next_number,
            welcome_deadline: self.replicated.then_some(now + WELCOME_TIMEOUT),
            replica_ledger: None,
            announced_ledger: None,
            register_at: None,
            watches: BTreeMap::new(),
        };
        self.sessions.insert(session, state);
        if self.replicated {
            self.actions.push_back(SessionAction::RegisterSender { session, sender, next_number });
        } else {
            self.accept_session(session, None);
        }
    }

    fn accept_session(&mut self, session: SessionId, ledger: Option<u64>) {
        let credit = self.credit();
        if let Some(state) = self.sessions.get_mut(&session) {
            (state.welcome_deadline, state.announced_ledger) = (None, ledger);
        }
        self.actions.push_back(SessionAction::AcceptSession {
            session,
            credit,
            leaving: self.leaving,
            ledger,
        });
    }

    /// The replicas have registered the sender in this ledger; `None`: no majority is available, or there
    /// is no room.
    pub fn sender_registered(&mut self, now: Time, session: SessionId, ledger: Option<u64>) {
        let Some(state) = self.sessions.get_mut(&session) else { return };
        state.replica_ledger = ledger;
        if ledger.is_none() {
            state.register_at = Some(now + REGISTER_RETRY_INTERVAL);
            if state.welcome_deadline.is_some_and(|by| by <= now) {
                self.accept_session(session, None);
            }
        } else if state.welcome_deadline.is_some() {
            self.accept_session(session, ledger);
        } else if let Some(ledger) = ledger.filter(|l| state.announced_ledger != Some(*l)) {
            state.announced_ledger = Some(ledger);
            self.actions.push_back(SessionAction::LedgerChanged { session, ledger });
        }
    }

    /// Senders selected by `matches` are recorded in this ledger now. Those registered in another one are
    /// registered again.
    pub fn replica_ledger_changed(&mut self, now: Time, ledger: u64, matches: impl Fn(u64) -> bool) {
        for state in self.sessions.values_mut().filter(|s| matches(s.sender)) {
            if state.replica_ledger.is_some_and(|current| current != ledger) {
                (state.replica_ledger, state.register_at) = (None, Some(now));
            }
        }
    }

    /// Credit and whether this gateway is leaving, as sent in a pong.
    pub fn pong_state(&self) -> (u32, bool) {
        (self.credit(), self.leaving)
    }

    /// Returns a call if the request may run; the host keeps the request under it until `Run`, `Discard` or
    /// `SendAnswer`.
    pub fn request(&mut self, now: Time, session: SessionId, meta: &RequestMeta) -> Option<Call> {
        let result = self.admit(now, session, meta);
        // A request refused as not run is fenced, so that it does not run when it arrives again.
        let refused = matches!(result, Err(Some(SessionAction::RefuseHop { reason, .. })) if reason != RefusalReason::Forgotten);
        if let Some(sender) =
            self.sessions.get(&session).map(|s| s.sender).filter(|_| meta.unrepeatable && refused)
        {
            self.ledger.fence(now, Key { sender, number: meta.number });
        }
        result.map_err(|action| self.actions.extend(action)).ok()
    }

    /// Admits a request, or returns the action to reply with.
    fn admit(
        &mut self,
        now: Time,
        session: SessionId,
        meta: &RequestMeta,
    ) -> Result<Call, Option<SessionAction>> {
        let number = meta.number;
        let refuse = |reason| SessionAction::RefuseHop { session, number, reason };
        // The connection is gone, so there is nobody to reply to.
        let from = self.sessions.get(&session).ok_or(None)?;
        let key = Key { sender: from.sender, number };
        // A duplicate gets the outcome of the first whether or not there is room now: it may have run.
        let previous = if meta.unrepeatable { self.ledger.previous_admission(now, key) } else { None };
        if let Some(previous) = previous {
            return Err(Some(self.reply_to_duplicate(session, key, previous)));
        }
        let Some(from) = self.sessions.get(&session) else { return Err(None) };
        let unregistered = meta.unrepeatable && self.replicated && from.replica_ledger.is_none();
        if from.open.contains_key(&number) {
            // A duplicate of a running repeatable request; the first one is answered.
            return Err(None);
        }
        // Routing loop check: two sites may each name the other as the way to the same object.
        let from_sender = meta.path.last().is_some_and(|last| *last == from.site);
        let loops = !from_sender || meta.path.contains(&self.site) || meta.path.len() >= self.max_sites;
        let over_limit = from.open.len() >= self.credit() as usize || self.calls.len() >= self.max_running;
        let reason = if loops {
            Some(RefusalReason::Loop)
        } else if self.leaving {
            Some(RefusalReason::Leaving)
        } else {
            (over_limit || unregistered).then_some(RefusalReason::Full)
        };
        let full = reason.is_none() && meta.unrepeatable && self.ledger.accept(now, key) != Admission::New;
        if let Some(reason) = reason.or(full.then_some(RefusalReason::Full)) {
            return Err(Some(refuse(reason)));
        }
        self.next_id += 1;
        let call = self.next_id;
        let ledger_key = meta.unrepeatable.then_some(key);
        let deferred = meta.unrepeatable && (self.durable || self.replicated);
        let ledger = self.sessions.get(&session).and_then(|s| s.replica_ledger).unwrap_or(0);
        if let Some(from) = self.sessions.get_mut(&session) {
            from.open.insert(number, call);
        }
        let running = Running {
            number,
            key: ledger_key,
            session: Some(session),
            started: !deferred,
            cancelled: false,
            pending_outcome: None,
            ledger,
        };
        self.calls.insert(call, running);
        if let Some(key) = ledger_key {
            self.calls_by_key.insert(key, call);
        }
        if deferred && self.replicated {
            self.actions.push_back(SessionAction::ReplicateAccept { call, key, importance: meta.importance });
        } else if deferred {
            // Waits for the write that the next `poll` requests.
            self.awaiting_disk.push_back((self.seq + 1, call));
        } else {
            self.actions.push_back(SessionAction::Run { call, session: Some(session), number });
        }
        Ok(call)
    }

    fn reply_to_duplicate(&mut self, session: SessionId, key: Key, previous: Admission) -> SessionAction {
        let number = key.number;
        match previous {
            Admission::Running => {
                self.attach_session(session, key);
                SessionAction::AlreadyRunning { session, number }
            }
            Admission::Ended(answer) => SessionAction::SendAnswer { session, number, answer },
            fenced => {
                let reason = if fenced == Admission::Fenced {
                    RefusalReason::Fenced
                } else {
                    RefusalReason::Forgotten
                };
                SessionAction::RefuseHop { session, number, reason }
            }
        }
    }

    /// The outcome of a running txn goes to this session from now on.
    fn attach_session(&mut self, session: SessionId, key: Key) {
        let Some(&call) = self.calls_by_key.get(&key) else { return };
        let Some(running) = self.calls.get_mut(&call) else { return };
        let previous = running.session.replace(session);
        if let Some(old) = previous.filter(|old| *old != session).and_then(|old| self.sessions.get_mut(&old))
        {
            old.open.remove(&key.number);
        }
        if let Some(new) = self.sessions.get_mut(&session) {
            new.open.insert(key.number, call);
        }
    }

    /// The replicas' reply for a call that waits for it.
    pub fn accept_replicated(&mut self, now: Time, call: Call, result: AcceptResult) {
        let Some(running) = self.calls.get_mut(&call) else { return };
        let (number, session, ledger_key, ledger) =
            (running.number, running.session, running.key, running.ledger);
        match result {
            AcceptResult::Granted if running.cancelled => self.cancel_unstarted(now, call),
            AcceptResult::Granted => {
                running.started = true;
                self.actions.push_back(SessionAction::Run { call, session, number });
            }
            AcceptResult::Running => {
                self.abandon(now, call, TxnOutcome::Aborted);
                if let (Some(session), Some(key)) = (session, ledger_key) {
                    self.actions.push_back(SessionAction::AlreadyRunning { session, number });
                    self.watch(now, session, key, ledger);
                }
            }
            AcceptResult::Ended(answer) => {
                self.abandon(now, call, answer.outcome);
                self.actions.extend(session.map(|session| SessionAction::SendAnswer {
                    session,
                    number,
                    answer,
                }));
            }
            AcceptResult::NotAccepted | AcceptResult::Unknown => {
                let not_accepted = result == AcceptResult::NotAccepted;
                let outcome = if not_accepted {
                    TxnOutcome::Rejected { retry_after: None, may_have_run: false }
                } else {
                    TxnOutcome::Aborted
                };
                self.abandon(now, call, outcome);
                let reason = if not_accepted { RefusalReason::Full } else { RefusalReason::Forgotten };
                self.actions.extend(session.map(|session| SessionAction::RefuseHop {
                    session,
                    number,
                    reason,
                }));
                if let Some(key) = ledger_key.filter(|_| not_accepted) {
                    // The accept may still be recorded later: then its outcome is that it did not run.
                    let answer = Arc::new(Answer { outcome, body: Vec::new() });
                    self.actions.push_back(SessionAction::ReplicateOutcome {
                        call: None,
                        key,
                        answer,
                        ledger,
                    });
                }
            }
        }
    }

    /// Drops a call that was not passed to the host. The local ledger keeps the number with this outcome.
    fn abandon(&mut self, now: Time, call: Call, outcome: TxnOutcome) {
        let Some(running) = self.calls.remove(&call) else { return };
        self.actions.push_back(SessionAction::Discard { call });
        if let Some(key) = running.key {
            self.calls_by_key.remove(&key);
            self.ledger.finish(now, key, &Arc::new(Answer { outcome, body: Vec::new() }));
        }
        if let Some(from) = running.session.and_then(|s| self.sessions.get_mut(&s)) {
            from.open.remove(&running.number);
        }
    }

    fn watch(&mut self, now: Time, session: SessionId, key: Key, ledger: u64) {
        if let Some(state) = self.sessions.get_mut(&session) {
            state.watches.insert(key.number, (now + WATCH_INTERVAL, ledger));
        }
    }

    /// The replicas have recorded a call's outcome (`recorded`), or it counts as unknown.
    pub fn outcome_replicated(&mut self, now: Time, call: Call, recorded: bool) {
        let Some(running) = self.calls.get(&call) else { return };
        let (Some((answer, _)), Some(key)) = (running.pending_outcome.clone(), running.key) else { return };
        let (number, session) = (running.number, running.session);
        let aborted = || Arc::new(Answer { outcome: TxnOutcome::Aborted, body: Vec::new() });
        let answer = if recorded { answer } else { aborted() };
        self.calls.remove(&call);
        self.calls_by_key.remove(&key);
        self.ledger.finish(now, key, &answer);
        if let Some(from) = session.and_then(|s| self.sessions.get_mut(&s)) {
            from.open.remove(&number);
        }
        self.actions.extend(session.map(|session| SessionAction::SendAnswer { session, number, answer }));
    }

    /// The replicas' reply to a status query; `None`: they could not be reached.
    pub fn replica_status(
        &mut self,
        now: Time,
        session: SessionId,
        (key, ledger): (Key, u64),
        lookup: Option<Lookup>,
    ) {
        let number = key.number;
        let status = match lookup {
            Some(Lookup::NeverAccepted) => {
                self.ledger.fence(now, key);
                wire::TxnStatus::NeverAccepted
            }
            Some(Lookup::Running) => {
                let first = self.sessions.get(&session).is_some_and(|s| !s.watches.contains_key(&number));
                self.watch(now, session, key, ledger);
                if !first {
                    return;
                }
                wire::TxnStatus::Running
            }
            Some(Lookup::Ended(answer)) => {
                self.unwatch(session, number);
                return self.actions.push_back(SessionAction::SendAnswer { session, number, answer });
            }
            Some(Lookup::Unknown) | None => wire::TxnStatus::Unknown,
        };
        if status != wire::TxnStatus::Running && self.unwatch(session, number) {
            // The sender has received the status running, after which it accepts only an answer.
            let answer = Arc::new(Answer { outcome: TxnOutcome::Aborted, body: Vec::new() });
            return self.actions.push_back(SessionAction::SendAnswer { session, number, answer });
        }
        self.actions.push_back(SessionAction::SendStatus { session, number, status });
    }

    fn unwatch(&mut self, session: SessionId, number: u64) -> bool {
        self.sessions.get_mut(&session).is_some_and(|s| s.watches.remove(&number).is_some())
    }

    /// All changes up to `seq` are on disk.
    pub fn persisted(&mut self, now: Time, seq: u64) {
        while self.awaiting_disk.front().is_some_and(|(at, _)| *at <= seq) {
            let Some((_, call)) = self.awaiting_disk.pop_front() else { return };
            let Some(running) = self.calls.get_mut(&call) else { continue };
            let (number, session) = (running.number, running.session);
            if running.cancelled {
                self.cancel_unstarted(now, call);
                continue;
            }
            running.started = true;
            // Runs even without a session, since the sender may query it later.
            self.actions.push_back(SessionAction::Run { call, session, number });
        }
    }

    /// A call that was not passed to the host finishes as not run.
    fn cancel_unstarted(&mut self, now: Time, call: Call) {
        self.actions.push_back(SessionAction::Discard { call });
        self.finish_unstarted(now, call);
    }

    fn finish_unstarted(&mut self, now: Time, call: Call) {
        let outcome = TxnOutcome::Rejected { retry_after: None, may_have_run: false };
        self.finished(now, call, &Arc::new(Answer { outcome, body: Vec::new() }));
    }

    /// The write failed: calls that waited for it have not run and will not.
    pub fn persist_failed(&mut self, now: Time, seq: u64) {
        while self.awaiting_disk.front().is_some_and(|(at, _)| *at <= seq) {
            let Some((_, call)) = self.awaiting_disk.pop_front() else { return };
            self.finish_unstarted(now, call);
        }
    }

    /// A txn has finished. An unrepeatable one's answer goes into the ledger. Returns the session and
    /// number to which the host sends the body itself.
    pub fn finished(&mut self, now: Time, call: Call, answer: &Arc<Answer>) -> Option<(SessionId, u64)> {
        if self.replicated
            && let Some(key) = self.calls.get(&call).and_then(|r| r.key)
        {
            // The outcome is sent once the replicas hold it.
            if let Some(running) = self.calls.get_mut(&call).filter(|r| r.pending_outcome.is_none()) {
                running.pending_outcome = Some((Arc::clone(answer), now + REPLICATION_TIMEOUT));
                let (call, answer, ledger) = (Some(call), Arc::clone(answer), running.ledger);
                self.actions.push_back(SessionAction::ReplicateOutcome { call, key, answer, ledger });
            }
            return None;
        }
        let running = self.calls.remove(&call)?;
        if let Some(key) = running.key {
            self.calls_by_key.remove(&key);
            self.ledger.finish(now, key, answer);
        }
        let session = running.session?;
        self.sessions.get_mut(&session)?.open.remove(&running.number);
        if !running.started {
            let (number, answer) = (running.number, Arc::clone(answer));
            self.actions.push_back(SessionAction::SendAnswer { session, number, answer });
            return None;
        }
        Some((session, running.number))
    }

    pub fn query_status(&mut self, now: Time, session: SessionId, ledger: u64, numbers: &[u64]) {
        let Some(sender) = self.sessions.get(&session).map(|s| s.sender) else { return };
        for &number in numbers {
            let key = Key { sender, number };
            if self.replicated {
                // Running txns are looked up locally; the replicas decide about all others.
                if self.calls_by_key.contains_key(&key) {
                    self.attach_session(session, key);
                    self.actions.push_back(SessionAction::SendStatus {
                        session,
                        number,
                        status: wire::TxnStatus::Running,
                    });
                } else {
                    self.actions.push_back(SessionAction::QueryReplicas { session, key, ledger });
                }
                continue;
            }
            let status = match self.ledger.lookup(now, key) {
                Lookup::NeverAccepted => wire::TxnStatus::NeverAccepted,
                Lookup::Running => {
                    self.attach_session(session, key);
                    wire::TxnStatus::Running
                }
                Lookup::Ended(answer) => {
                    self.actions.push_back(SessionAction::SendAnswer { session, number, answer });
                    continue;
                }
                Lookup::Unknown => wire::TxnStatus::Unknown,
            };
            self.actions.push_back(SessionAction::SendStatus { session, number, status });
        }
    }

    pub fn settle(&mut self, session: SessionId, below: u64) {
        if let Some(sender) = self.sessions.get(&session).map(|s| s.sender) {
            let changed = self.ledger.settle(sender, below);
            if changed && self.replicated {
                self.actions.push_back(SessionAction::ReplicateSettle { sender, below });
            }
        }
    }

    /// The sender no longer waits for a number.
    pub fn cancelled(&mut self, session: SessionId, number: u64) {
        let from = self.sessions.get_mut(&session);
        let call = from.and_then(|from| {
            from.watches.remove(&number);
            from.open.remove(&number)
        });
        if let Some(call) = call {
            self.cancel(call);
        }
    }

    fn cancel(&mut self, call: Call) {
        let Some(running) = self.calls.get_mut(&call) else { return };
        running.session = None;
        running.cancelled = true;
        if running.started && running.pending_outcome.is_none() {
            self.actions.push_back(SessionAction::Cancel { call });
        }
    }

    /// The connection is gone. Repeatable txns are cancelled; unrepeatable ones go on, since the sender may
    /// query them.
    pub fn disconnected(&mut self, session: SessionId) {
        let Some(closed) = self.sessions.remove(&session) else { return };
        for call in closed.open.into_values() {
            match self.calls.get_mut(&call) {
                Some(running) if running.key.is_some() => running.session = None,
                _ => self.cancel(call),
            }
        }
    }

    /// Shutdown: accepts no more requests, but answers those that run.
    pub fn stop(&mut self) {
        if !std::mem::replace(&mut self.leaving, true) {
            let notices = self.sessions.keys().map(|&session| SessionAction::AnnounceLeaving { session });
            self.actions.extend(notices);
        }
    }

    pub fn poll(&mut self, now: Time) -> Option<SessionAction> {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRY_INTERVAL;
            self.ledger.expire(now);
        }
        if self.replicated && self.actions.is_empty() {
            self.drive_replication(now);
        }
        let changes = self.ledger.changes();
        if !changes.is_empty() {
            self.seq += 1;
            return Some(SessionAction::Persist { seq: self.seq, changes });
        }
        self.actions.pop_front()
    }

    /// Retries registrations, looks up txns that run elsewhere, and gives up on outcomes that could not be
    /// replicated.
    fn drive_replication(&mut self, now: Time) {
        for (&session, state) in &mut self.sessions {
            if state.register_at.is_some_and(|at| at <= now) {
                state.register_at = None;
                let (sender, next_number) = (state.sender, state.next_number);
                self.actions.push_back(SessionAction::RegisterSender { session, sender, next_number });
            }
            for (&number, (at, ledger)) in state.watches.iter_mut().filter(|(_, w)| w.0 <= now) {
                *at = now + WATCH_INTERVAL;
                self.actions.push_back(SessionAction::QueryReplicas {
                    session,
                    key: Key { sender: state.sender, number },
                    ledger: *ledger,
                });
            }
        }
        let overdue = |r: &Running| r.pending_outcome.as_ref().is_some_and(|(_, by)| *by <= now);
        let overdue: Vec<Call> = self.calls.iter().filter(|(_, r)| overdue(r)).map(|(c, _)| *c).collect();
        overdue.into_iter().for_each(|call| self.outcome_replicated(now, call, false));
    }

    pub fn next_wake(&self) -> Time {
        if !self.replicated {
            return self.next_expiry;
        }
        let greets = self.sessions.values().filter_map(|s| s.register_at);
        let watches = self.sessions.values().flat_map(|s| s.watches.values().map(|w| w.0));
        let endings = self.calls.values().filter_map(|r| r.pending_outcome.as_ref().map(|(_, by)| *by));
        greets.chain(watches).chain(endings).fold(self.next_expiry, Time::min)
    }

    pub fn sizes(&self) -> [(&'static str, usize); 6] {
        [
            ("far sessions", self.sessions.len()),
            ("far txns running", self.calls.len()),
            ("far txns held for the disk", self.awaiting_disk.len()),
            ("ledger entries", self.ledger.len()),
            ("ledger bytes", self.ledger.bytes()),
            ("ledger senders", self.ledger.senders()),
        ]
    }
}

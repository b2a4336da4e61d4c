//! The far end of links, without I/O or clock: sessions of other sites' gateways, what they may have here at once,
//! which of their requests run, and who is told how each ended. Inputs only update what is known; the host pulls
//! `Do`s by `poll`. Must never let a request run that came before, nor one that must not run twice before the durable
//! copy of the ledger holds it; where the ledger is kept by several gateways, nor tell an ending or call a number never
//! taken before they hold that.

use crate::ledger::{Admission, Answer, Bounds, Change, Key, Ledger, Lookup, TxnOutcome};
use crate::settings::Sites;
use crate::wire;
use kelpcart::{Span, Time};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// A connection, by the host's count.
pub type SessionId = u64;
/// A request that was let run, by the core's count.
pub type Call = u64;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It did not run and will not.
    Full,
    Fenced,
    /// It has crossed this site before, or too many.
    Loop,
    Leaving,
    /// It may have run.
    Forgotten,
}

#[derive(Clone, Debug, PartialEq)]
pub enum SessionAction {
    /// Take it in and say who is here.
    AcceptSession {
        session: SessionId,
        credit: u32,
        leaving: bool,
        /// Of the copies that its txns are kept by.
        ledger: Option<u64>,
    },
    /// What is taken from now on is kept by another ledger.
    LedgerChanged {
        session: SessionId,
        ledger: u64,
    },
    /// The next five are for those who keep copies; what they say comes by `greeted`, `taken`, `copied` and `found`.
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
    /// `call`: nobody waits for the word where there is none.
    ReplicateOutcome {
        call: Option<Call>,
        key: Key,
        answer: Arc<Answer>,
        /// The ledger that had taken it.
        ledger: u64,
    },
    QueryReplicas {
        session: SessionId,
        key: Key,
        /// The ledger that it was sent to.
        ledger: u64,
    },
    ReplicateSettle {
        sender: u64,
        below: u64,
    },
    /// Say why and close.
    RefuseSession {
        session: SessionId,
        reason: String,
    },
    /// Tell that it was taken, and let it run.
    Run {
        call: Call,
        session: Option<SessionId>,
        number: u64,
    },
    /// The number is being worked on already; it is taken all the same.
    AlreadyRunning {
        session: SessionId,
        number: u64,
    },
    /// From the ledger.
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
    /// It will not run: its request is of no use.
    Discard {
        call: Call,
    },
    AnnounceLeaving {
        session: SessionId,
    },
    /// Bring these to the disk in order, then call `written` with the mark.
    Persist {
        seq: u64,
        changes: Vec<Change>,
    },
}

#[derive(Debug)]
struct Session {
    sender: u64,
    site: String,
    /// Its open requests, by number.
    open: BTreeMap<u64, Call>,
    /// No number from this one on had been sent when it came.
    next_number: u64,
    /// It is made welcome by then, with copies or without.
    welcome_deadline: Option<Time>,
    /// The ledger that knows it, and the one it was told of.
    replica_ledger: Option<u64>,
    announced_ledger: Option<u64>,
    /// When it is introduced to those who keep copies again.
    register_at: Option<Time>,
    /// Numbers that others run and it asked about, when that is looked up again, and the ledger that they were sent to.
    watches: BTreeMap<u64, (Time, u64)>,
}

/// What those who keep copies say of a txn that is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptResult {
    /// They hold that it runs here.
    Granted,
    /// Another gateway runs it.
    Running,
    Ended(Arc<Answer>),
    /// They don't hold it, or nobody but this gateway could act on it: it has not run and will not.
    NotAccepted,
    /// It may have run.
    Unknown,
}

#[derive(Debug)]
struct Running {
    number: u64,
    key: Option<Key>,
    /// Who is told; none once its connection is gone.
    session: Option<SessionId>,
    /// Given to the host.
    started: bool,
    /// Given up before that.
    cancelled: bool,
    /// How it ended, while that is brought to those who keep copies; it is told without them by then.
    pending_outcome: Option<(Arc<Answer>, Time)>,
    /// The ledger that takes it.
    ledger: u64,
}

/// What a request has to say for itself.
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
    /// The ledger is kept by several gateways, and what is held here is what this one needs of it.
    replicated: bool,
    sessions: BTreeMap<SessionId, Session>,
    calls: BTreeMap<Call, Running>,
    calls_by_key: BTreeMap<Key, Call>,
    next_id: Call,
    /// Calls that wait until the mark is on the disk.
    awaiting_disk: VecDeque<(u64, Call)>,
    seq: u64,
    leaving: bool,
    next_expiry: Time,
    actions: VecDeque<SessionAction>,
}

const EXPIRY_INTERVAL: Span = Span::from_millis(1_000);
/// A gateway that comes waits this long for those who keep copies; its own patience is longer.
const WELCOME_TIMEOUT: Span = Span::from_millis(1_500);
/// Between two tries to introduce it to them.
const REGISTER_RETRY_INTERVAL: Span = Span::from_millis(150);
/// An ending that can't be copied by then is told as unknown.
const REPLICATION_TIMEOUT: Span = Span::from_millis(1_000);
/// What another gateway runs is looked up this often for who waits.
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

    /// From the start on, what must not run twice is kept by several gateways.
    pub fn enable_replication(&mut self) {
        self.replicated = true;
    }

    pub fn recover(&mut self, now: Time, floors: &[Key], taken: &[(Key, Option<Answer>)]) {
        self.ledger.recover(now, floors, taken);
    }

    /// What one session may have here at once: an equal part, so that no sender takes the others' room.
    fn credit(&self) -> u32 {
        (self.max_running / self.sessions.len().max(1)).max(1) as u32
    }

    /// A gateway has come. `proven`: its certificate holds the site's name.
    pub fn hello(&mut self, now: Time, session: SessionId, hello: &wire::Hello, proven: bool) {
        let why = if hello.version != wire::VERSION {
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
        if let Some(why) = why {
            self.actions.push_back(SessionAction::RefuseSession { session, reason: why });
            return;
        }
        let (sender, site, fresh) = (hello.run_id, hello.site.clone(), hello.next_number);
        let one = Session {
            sender,
            site,
            open: BTreeMap::new(),
            next_number: fresh,
            welcome_deadline: self.replicated.then_some(now + WELCOME_TIMEOUT),
            replica_ledger: None,
            announced_ledger: None,
            register_at: None,
            watches: BTreeMap::new(),
        };
        self.sessions.insert(session, one);
        if self.replicated {
            self.actions.push_back(SessionAction::RegisterSender { session, sender, next_number: fresh });
        } else {
            self.accept_session(session, None);
        }
    }

    fn accept_session(&mut self, session: SessionId, ledger: Option<u64>) {
        let credit = self.credit();
        if let Some(one) = self.sessions.get_mut(&session) {
            (one.welcome_deadline, one.announced_ledger) = (None, ledger);
        }
        self.actions.push_back(SessionAction::AcceptSession {
            session,
            credit,
            leaving: self.leaving,
            ledger,
        });
    }

    /// Those who keep copies know the gateway, by this ledger; `None`: there is no majority of them now, or no room.
    pub fn sender_registered(&mut self, now: Time, session: SessionId, ledger: Option<u64>) {
        let Some(one) = self.sessions.get_mut(&session) else { return };
        one.replica_ledger = ledger;
        if ledger.is_none() {
            one.register_at = Some(now + REGISTER_RETRY_INTERVAL);
            if one.welcome_deadline.is_some_and(|by| by <= now) {
                self.accept_session(session, None);
            }
        } else if one.welcome_deadline.is_some() {
            self.accept_session(session, ledger);
        } else if let Some(ledger) = ledger.filter(|l| one.announced_ledger != Some(*l)) {
            one.announced_ledger = Some(ledger);
            self.actions.push_back(SessionAction::LedgerChanged { session, ledger });
        }
    }

    /// Senders for which `of` holds are kept by this ledger now: those that another one knew are introduced anew.
    pub fn replica_ledger_changed(&mut self, now: Time, ledger: u64, of: impl Fn(u64) -> bool) {
        for one in self.sessions.values_mut().filter(|s| of(s.sender)) {
            if one.replica_ledger.is_some_and(|known| known != ledger) {
                (one.replica_ledger, one.register_at) = (None, Some(now));
            }
        }
    }

    /// What a pong tells.
    pub fn pong_state(&self) -> (u32, bool) {
        (self.credit(), self.leaving)
    }

    /// The call it gets if it may run: the host keeps the request under that until `Run` or `Tell` comes.
    pub fn request(&mut self, now: Time, session: SessionId, asked: &RequestMeta) -> Option<Call> {
        let taken = self.admit(now, session, asked);
        // What is told off as not run stays so, however often it comes.
        let told_off = matches!(taken, Err(Some(SessionAction::RefuseHop { reason: why, .. })) if why != RefusalReason::Forgotten);
        if let Some(sender) =
            self.sessions.get(&session).map(|s| s.sender).filter(|_| asked.unrepeatable && told_off)
        {
            self.ledger.fence(now, Key { sender, number: asked.number });
        }
        taken.map_err(|what| self.actions.extend(what)).ok()
    }

    /// A call, or what there is to tell instead.
    fn admit(
        &mut self,
        now: Time,
        session: SessionId,
        asked: &RequestMeta,
    ) -> Result<Call, Option<SessionAction>> {
        let number = asked.number;
        let turn = |why| SessionAction::RefuseHop { session, number, reason: why };
        // Its connection has gone meanwhile: nobody could be told.
        let from = self.sessions.get(&session).ok_or(None)?;
        let key = Key { sender: from.sender, number };
        // What has come before is answered by what became of it, whatever the room is now: it may have run.
        let before = if asked.unrepeatable { self.ledger.known(now, key) } else { None };
        if let Some(before) = before {
            return Err(Some(self.reply_to_duplicate(session, key, before)));
        }
        let Some(from) = self.sessions.get(&session) else { return Err(None) };
        let unkept = asked.unrepeatable && self.replicated && from.replica_ledger.is_none();
        if from.open.contains_key(&number) {
            // A second one under the number of a repeatable: the first is answered.
            return Err(None);
        }
        // Guards against txns that go round: two sites may name each other as the way to the same object.
        let comes_from = asked.path.last().is_some_and(|last| *last == from.site);
        let round = !comes_from || asked.path.contains(&self.site) || asked.path.len() >= self.max_sites;
        let over = from.open.len() >= self.credit() as usize || self.calls.len() >= self.max_running;
        let why = if round {
            Some(RefusalReason::Loop)
        } else if self.leaving {
            Some(RefusalReason::Leaving)
        } else {
            (over || unkept).then_some(RefusalReason::Full)
        };
        let full = why.is_none() && asked.unrepeatable && self.ledger.accept(now, key) != Admission::New;
        if let Some(why) = why.or(full.then_some(RefusalReason::Full)) {
            return Err(Some(turn(why)));
        }
        self.next_id += 1;
        let call = self.next_id;
        let once = asked.unrepeatable.then_some(key);
        let waits = asked.unrepeatable && (self.durable || self.replicated);
        let of = self.sessions.get(&session).and_then(|s| s.replica_ledger).unwrap_or(0);
        if let Some(from) = self.sessions.get_mut(&session) {
            from.open.insert(number, call);
        }
        let running = Running {
            number,
            key: once,
            session: Some(session),
            started: !waits,
            cancelled: false,
            pending_outcome: None,
            ledger: of,
        };
        self.calls.insert(call, running);
        if let Some(key) = once {
            self.calls_by_key.insert(key, call);
        }
        if waits && self.replicated {
            self.actions.push_back(SessionAction::ReplicateAccept {
                call,
                key,
                importance: asked.importance,
            });
        } else if waits {
            // It waits for the write that `poll` orders next.
            self.awaiting_disk.push_back((self.seq + 1, call));
        } else {
            self.actions.push_back(SessionAction::Run { call, session: Some(session), number });
        }
        Ok(call)
    }

    fn reply_to_duplicate(&mut self, session: SessionId, key: Key, before: Admission) -> SessionAction {
        let number = key.number;
        match before {
            Admission::Running => {
                self.attach_session(session, key);
                SessionAction::AlreadyRunning { session, number }
            }
            Admission::Ended(answer) => SessionAction::SendAnswer { session, number, answer },
            fenced => {
                let why = if fenced == Admission::Fenced {
                    RefusalReason::Fenced
                } else {
                    RefusalReason::Forgotten
                };
                SessionAction::RefuseHop { session, number, reason: why }
            }
        }
    }

    /// A txn that runs is to be told on this session from now on.
    fn attach_session(&mut self, session: SessionId, key: Key) {
        let Some(&call) = self.calls_by_key.get(&key) else { return };
        let Some(running) = self.calls.get_mut(&call) else { return };
        let before = running.session.replace(session);
        if let Some(old) = before.filter(|old| *old != session).and_then(|old| self.sessions.get_mut(&old)) {
            old.open.remove(&key.number);
        }
        if let Some(new) = self.sessions.get_mut(&session) {
            new.open.insert(key.number, call);
        }
    }

    /// What those who keep copies say of a call that waits for their word.
    pub fn accept_replicated(&mut self, now: Time, call: Call, taken: AcceptResult) {
        let Some(running) = self.calls.get_mut(&call) else { return };
        let (number, session, once, of) = (running.number, running.session, running.key, running.ledger);
        match taken {
            AcceptResult::Granted if running.cancelled => self.cancel_unstarted(now, call),
            AcceptResult::Granted => {
                running.started = true;
                self.actions.push_back(SessionAction::Run { call, session, number });
            }
            AcceptResult::Running => {
                self.abandon(now, call, TxnOutcome::Aborted);
                if let (Some(session), Some(key)) = (session, once) {
                    self.actions.push_back(SessionAction::AlreadyRunning { session, number });
                    self.watch(now, session, key, of);
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
                let never = taken == AcceptResult::NotAccepted;
                let ending =
                    if never { TxnOutcome::Rejected { retry_after: None } } else { TxnOutcome::Aborted };
                self.abandon(now, call, ending);
                let why = if never { RefusalReason::Full } else { RefusalReason::Forgotten };
                self.actions.extend(session.map(|session| SessionAction::RefuseHop {
                    session,
                    number,
                    reason: why,
                }));
                if let Some(key) = once.filter(|_| never) {
                    // Its taking may still come to be: then it ended as not run.
                    let answer = Arc::new(Answer { outcome: ending, body: Vec::new() });
                    self.actions.push_back(SessionAction::ReplicateOutcome {
                        call: None,
                        key,
                        answer,
                        ledger: of,
                    });
                }
            }
        }
    }

    /// A call that was not given to the host is over for this gateway; the number stays known here by its end.
    fn abandon(&mut self, now: Time, call: Call, ending: TxnOutcome) {
        let Some(running) = self.calls.remove(&call) else { return };
        self.actions.push_back(SessionAction::Discard { call });
        if let Some(key) = running.key {
            self.calls_by_key.remove(&key);
            self.ledger.finish(now, key, &Arc::new(Answer { outcome: ending, body: Vec::new() }));
        }
        if let Some(from) = running.session.and_then(|s| self.sessions.get_mut(&s)) {
            from.open.remove(&running.number);
        }
    }

    fn watch(&mut self, now: Time, session: SessionId, key: Key, of: u64) {
        if let Some(one) = self.sessions.get_mut(&session) {
            one.watches.insert(key.number, (now + WATCH_INTERVAL, of));
        }
    }

    /// Those who keep copies hold how a call ended; or called it unknown before, and it is told so.
    pub fn outcome_replicated(&mut self, now: Time, call: Call, held: bool) {
        let Some(running) = self.calls.get(&call) else { return };
        let (Some((answer, _)), Some(key)) = (running.pending_outcome.clone(), running.key) else { return };
        let (number, session) = (running.number, running.session);
        let aborted = || Arc::new(Answer { outcome: TxnOutcome::Aborted, body: Vec::new() });
        let answer = if held { answer } else { aborted() };
        self.calls.remove(&call);
        self.calls_by_key.remove(&key);
        self.ledger.finish(now, key, &answer);
        if let Some(from) = session.and_then(|s| self.sessions.get_mut(&s)) {
            from.open.remove(&number);
        }
        self.actions.extend(session.map(|session| SessionAction::SendAnswer { session, number, answer }));
    }

    /// What those who keep copies know of a number; `None`: they don't say.
    pub fn replica_status(
        &mut self,
        now: Time,
        session: SessionId,
        (key, of): (Key, u64),
        found: Option<Lookup>,
    ) {
        let number = key.number;
        let fate = match found {
            Some(Lookup::NeverAccepted) => {
                self.ledger.fence(now, key);
                wire::TxnStatus::NeverAccepted
            }
            Some(Lookup::Running) => {
                let first = self.sessions.get(&session).is_some_and(|s| !s.watches.contains_key(&number));
                self.watch(now, session, key, of);
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
        if fate != wire::TxnStatus::Running && self.unwatch(session, number) {
            // Its asker was told that it runs, and takes only an answer now.
            let answer = Arc::new(Answer { outcome: TxnOutcome::Aborted, body: Vec::new() });
            return self.actions.push_back(SessionAction::SendAnswer { session, number, answer });
        }
        self.actions.push_back(SessionAction::SendStatus { session, number, status: fate });
    }

    fn unwatch(&mut self, session: SessionId, number: u64) -> bool {
        self.sessions.get_mut(&session).is_some_and(|s| s.watches.remove(&number).is_some())
    }

    /// All changes up to the mark are on the disk.
    pub fn persisted(&mut self, now: Time, mark: u64) {
        while self.awaiting_disk.front().is_some_and(|(at, _)| *at <= mark) {
            let Some((_, call)) = self.awaiting_disk.pop_front() else { return };
            let Some(running) = self.calls.get_mut(&call) else { continue };
            let (number, session) = (running.number, running.session);
            if running.cancelled {
                self.cancel_unstarted(now, call);
                continue;
            }
            running.started = true;
            // Without a session it runs all the same, since it may be asked about.
            self.actions.push_back(SessionAction::Run { call, session, number });
        }
    }

    /// A call that was not given to the host ends as not run.
    fn cancel_unstarted(&mut self, now: Time, call: Call) {
        self.actions.push_back(SessionAction::Discard { call });
        let ending = TxnOutcome::Rejected { retry_after: None };
        self.finished(now, call, &Arc::new(Answer { outcome: ending, body: Vec::new() }));
    }

    /// The disk does not take it: what waits for it has not run, and will not.
    pub fn persist_failed(&mut self, now: Time, mark: u64) {
        while self.awaiting_disk.front().is_some_and(|(at, _)| *at <= mark) {
            let Some((_, call)) = self.awaiting_disk.pop_front() else { return };
            self.finished(
                now,
                call,
                &Arc::new(Answer { outcome: TxnOutcome::Rejected { retry_after: None }, body: vec![] }),
            );
        }
    }

    /// How a txn ended. `answer` goes into the ledger where it must not run twice; who is told by the host itself,
    /// with the body as it has it, is given back.
    pub fn finished(&mut self, now: Time, call: Call, answer: &Arc<Answer>) -> Option<(SessionId, u64)> {
        if self.replicated
            && let Some(key) = self.calls.get(&call).and_then(|r| r.key)
        {
            // It is told once those who keep copies hold it.
            if let Some(running) = self.calls.get_mut(&call).filter(|r| r.pending_outcome.is_none()) {
                running.pending_outcome = Some((Arc::clone(answer), now + REPLICATION_TIMEOUT));
                let (call, answer, of) = (Some(call), Arc::clone(answer), running.ledger);
                self.actions.push_back(SessionAction::ReplicateOutcome { call, key, answer, ledger: of });
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

    pub fn query_status(&mut self, now: Time, session: SessionId, of: u64, numbers: &[u64]) {
        let Some(sender) = self.sessions.get(&session).map(|s| s.sender) else { return };
        for &number in numbers {
            let key = Key { sender, number };
            if self.replicated {
                // What runs here is known here; of all else those who keep copies have the word.
                if self.calls_by_key.contains_key(&key) {
                    self.attach_session(session, key);
                    self.actions.push_back(SessionAction::SendStatus {
                        session,
                        number,
                        status: wire::TxnStatus::Running,
                    });
                } else {
                    self.actions.push_back(SessionAction::QueryReplicas { session, key, ledger: of });
                }
                continue;
            }
            let fate = match self.ledger.lookup(now, key) {
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
            self.actions.push_back(SessionAction::SendStatus { session, number, status: fate });
        }
    }

    pub fn settle(&mut self, session: SessionId, below: u64) {
        if let Some(sender) = self.sessions.get(&session).map(|s| s.sender) {
            let more = self.ledger.settle(sender, below);
            if more && self.replicated {
                self.actions.push_back(SessionAction::ReplicateSettle { sender, below });
            }
        }
    }

    /// The near end waits no more for a number.
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

    /// The connection is gone. What may run again is given up; what must not goes on, since it will be asked about.
    pub fn disconnected(&mut self, session: SessionId) {
        let Some(gone) = self.sessions.remove(&session) else { return };
        for call in gone.open.into_values() {
            match self.calls.get_mut(&call) {
                Some(running) if running.key.is_some() => running.session = None,
                _ => self.cancel(call),
            }
        }
    }

    /// The process is told to stop: no more is taken, what runs is answered.
    pub fn stop(&mut self) {
        if !std::mem::replace(&mut self.leaving, true) {
            let told = self.sessions.keys().map(|&session| SessionAction::AnnounceLeaving { session });
            self.actions.extend(told);
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

    /// What waits for those who keep copies, and for what others run.
    fn drive_replication(&mut self, now: Time) {
        for (&session, one) in &mut self.sessions {
            if one.register_at.is_some_and(|at| at <= now) {
                one.register_at = None;
                let (sender, fresh) = (one.sender, one.next_number);
                self.actions.push_back(SessionAction::RegisterSender { session, sender, next_number: fresh });
            }
            for (&number, (at, of)) in one.watches.iter_mut().filter(|(_, w)| w.0 <= now) {
                *at = now + WATCH_INTERVAL;
                self.actions.push_back(SessionAction::QueryReplicas {
                    session,
                    key: Key { sender: one.sender, number },
                    ledger: *of,
                });
            }
        }
        let late = |r: &Running| r.pending_outcome.as_ref().is_some_and(|(_, by)| *by <= now);
        let late: Vec<Call> = self.calls.iter().filter(|(_, r)| late(r)).map(|(c, _)| *c).collect();
        late.into_iter().for_each(|call| self.outcome_replicated(now, call, false));
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

//! The far end of links, without I/O or clock: sessions of other sites' gateways, what they may have here at once,
//! which of their requests run, and who is told how each ended. Inputs only update what is known; the host pulls
//! `Do`s by `poll`. Must never let a request run that came before, nor one that must not run twice before the durable
//! copy of the ledger holds it.

use crate::ledger::{Answer, Bounds, Change, Ending, Found, Intake, Key, Ledger};
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
pub enum Turned {
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
pub enum Do {
    /// Take it in and say who is here.
    Welcome {
        session: SessionId,
        credit: u32,
        leaving: bool,
    },
    /// Say why and close.
    Refuse {
        session: SessionId,
        why: String,
    },
    /// Tell that it was taken, and let it run.
    Run {
        call: Call,
        session: Option<SessionId>,
        number: u64,
    },
    /// The number is being worked on already; it is taken all the same.
    Joined {
        session: SessionId,
        number: u64,
    },
    /// From the ledger.
    Tell {
        session: SessionId,
        number: u64,
        answer: Arc<Answer>,
    },
    Turn {
        session: SessionId,
        number: u64,
        why: Turned,
    },
    Say {
        session: SessionId,
        number: u64,
        fate: wire::Fate,
    },
    HangUp {
        call: Call,
    },
    /// It will not run: its request is of no use.
    Forget {
        call: Call,
    },
    Leaving {
        session: SessionId,
    },
    /// Bring these to the disk in order, then call `written` with the mark.
    Write {
        mark: u64,
        changes: Vec<Change>,
    },
}

#[derive(Debug)]
struct Session {
    sender: u64,
    site: String,
    /// Its open requests, by number.
    open: BTreeMap<u64, Call>,
}

#[derive(Debug)]
struct Running {
    number: u64,
    once: Option<Key>,
    /// Who is told; none once its connection is gone.
    session: Option<SessionId>,
    /// Given to the host.
    runs: bool,
    /// Given up before that.
    dropped: bool,
}

/// What a request has to say for itself.
pub struct Asked<'a> {
    pub number: u64,
    pub once: bool,
    pub path: &'a [String],
}

pub struct Far {
    site: String,
    accept: BTreeSet<String>,
    most_taken: usize,
    most_sessions: usize,
    most_sites: usize,
    ledger: Ledger,
    durable: bool,
    sessions: BTreeMap<SessionId, Session>,
    calls: BTreeMap<Call, Running>,
    once: BTreeMap<Key, Call>,
    next: Call,
    /// Calls that wait until the mark is on the disk.
    held: VecDeque<(u64, Call)>,
    mark: u64,
    leaving: bool,
    next_expiry: Time,
    todo: VecDeque<Do>,
}

const EXPIRES: Span = Span::from_millis(1_000);

impl Far {
    pub fn new(sites: &Sites, now: Time) -> Far {
        let l = &sites.ledger;
        let bounds = Bounds {
            entries: l.entries,
            bytes: l.bytes,
            age: Span::from_millis(l.age_ms),
            senders: l.gateways,
        };
        let durable = l.file.is_some();
        Far {
            site: sites.site.clone(),
            accept: sites.accept.clone(),
            most_taken: sites.limits.taken,
            most_sessions: sites.limits.sessions,
            most_sites: sites.limits.sites,
            ledger: Ledger::new(bounds, durable),
            durable,
            sessions: BTreeMap::new(),
            calls: BTreeMap::new(),
            once: BTreeMap::new(),
            next: 0,
            held: VecDeque::new(),
            mark: 0,
            leaving: false,
            next_expiry: now + EXPIRES,
            todo: VecDeque::new(),
        }
    }

    pub fn recover(&mut self, now: Time, floors: &[Key], taken: &[(Key, Option<Answer>)]) {
        self.ledger.recover(now, floors, taken);
    }

    /// What one session may have here at once: an equal part, so that no sender takes the others' room.
    fn credit(&self) -> u32 {
        (self.most_taken / self.sessions.len().max(1)).max(1) as u32
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
        } else if self.sessions.len() >= self.most_sessions || !self.ledger.greet(now, hello.run, hello.fresh)
        {
            Some("no room for another gateway".to_owned())
        } else {
            None
        };
        if let Some(why) = why {
            self.todo.push_back(Do::Refuse { session, why });
            return;
        }
        let (sender, site) = (hello.run, hello.site.clone());
        self.sessions.insert(session, Session { sender, site, open: BTreeMap::new() });
        let credit = self.credit();
        self.todo.push_back(Do::Welcome { session, credit, leaving: self.leaving });
    }

    /// What a pong tells.
    pub fn state(&self) -> (u32, bool) {
        (self.credit(), self.leaving)
    }

    /// The call it gets if it may run: the host keeps the request under that until `Run` or `Tell` comes.
    pub fn request(&mut self, now: Time, session: SessionId, asked: &Asked) -> Option<Call> {
        let taken = self.intake(now, session, asked);
        // What is told off as not run stays so, however often it comes.
        let told_off = matches!(taken, Err(Some(Do::Turn { why, .. })) if why != Turned::Forgotten);
        if let Some(sender) = self.sessions.get(&session).map(|s| s.sender).filter(|_| asked.once && told_off)
        {
            self.ledger.fence(now, Key { sender, number: asked.number });
        }
        taken.map_err(|what| self.todo.extend(what)).ok()
    }

    /// A call, or what there is to tell instead.
    fn intake(&mut self, now: Time, session: SessionId, asked: &Asked) -> Result<Call, Option<Do>> {
        let number = asked.number;
        let turn = |why| Do::Turn { session, number, why };
        // Its connection has gone meanwhile: nobody could be told.
        let from = self.sessions.get(&session).ok_or(None)?;
        let key = Key { sender: from.sender, number };
        // What has come before is answered by what became of it, whatever the room is now: it may have run.
        let before = if asked.once { self.ledger.known(now, key) } else { None };
        if let Some(before) = before {
            return Err(Some(self.told_before(session, key, before)));
        }
        let Some(from) = self.sessions.get(&session) else { return Err(None) };
        if from.open.contains_key(&number) {
            // A second one under the number of a repeatable: the first is answered.
            return Err(None);
        }
        // Guards against txns that go round: two sites may name each other as the way to the same object.
        let comes_from = asked.path.last().is_some_and(|last| *last == from.site);
        let round = !comes_from || asked.path.contains(&self.site) || asked.path.len() >= self.most_sites;
        let over = from.open.len() >= self.credit() as usize || self.calls.len() >= self.most_taken;
        let why = if round {
            Some(Turned::Loop)
        } else if self.leaving {
            Some(Turned::Leaving)
        } else {
            over.then_some(Turned::Full)
        };
        let full = why.is_none() && asked.once && self.ledger.take(now, key) != Intake::New;
        if let Some(why) = why.or(full.then_some(Turned::Full)) {
            return Err(Some(turn(why)));
        }
        self.next += 1;
        let call = self.next;
        let once = asked.once.then_some(key);
        let waits = asked.once && self.durable;
        if let Some(from) = self.sessions.get_mut(&session) {
            from.open.insert(number, call);
        }
        let running = Running { number, once, session: Some(session), runs: !waits, dropped: false };
        self.calls.insert(call, running);
        if let Some(key) = once {
            self.once.insert(key, call);
        }
        if waits {
            // It waits for the write that `poll` orders next.
            self.held.push_back((self.mark + 1, call));
        } else {
            self.todo.push_back(Do::Run { call, session: Some(session), number });
        }
        Ok(call)
    }

    fn told_before(&mut self, session: SessionId, key: Key, before: Intake) -> Do {
        let number = key.number;
        match before {
            Intake::Running => {
                self.attach(session, key);
                Do::Joined { session, number }
            }
            Intake::Ended(answer) => Do::Tell { session, number, answer },
            fenced => {
                let why = if fenced == Intake::Fenced { Turned::Fenced } else { Turned::Forgotten };
                Do::Turn { session, number, why }
            }
        }
    }

    /// A txn that runs is to be told on this session from now on.
    fn attach(&mut self, session: SessionId, key: Key) {
        let Some(&call) = self.once.get(&key) else { return };
        let Some(running) = self.calls.get_mut(&call) else { return };
        let before = running.session.replace(session);
        if let Some(old) = before.filter(|old| *old != session).and_then(|old| self.sessions.get_mut(&old)) {
            old.open.remove(&key.number);
        }
        if let Some(new) = self.sessions.get_mut(&session) {
            new.open.insert(key.number, call);
        }
    }

    /// All changes up to the mark are on the disk.
    pub fn written(&mut self, now: Time, mark: u64) {
        while self.held.front().is_some_and(|(at, _)| *at <= mark) {
            let Some((_, call)) = self.held.pop_front() else { return };
            let Some(running) = self.calls.get_mut(&call) else { continue };
            let (number, session) = (running.number, running.session);
            if running.dropped {
                self.refuse(now, call);
                continue;
            }
            running.runs = true;
            // Without a session it runs all the same, since it may be asked about.
            self.todo.push_back(Do::Run { call, session, number });
        }
    }

    /// A call that was not given to the host ends as not run.
    fn refuse(&mut self, now: Time, call: Call) {
        self.todo.push_back(Do::Forget { call });
        let ending = Ending::Rejected { come_back: None };
        self.ended(now, call, &Arc::new(Answer { ending, body: Vec::new() }));
    }

    /// The disk does not take it: what waits for it has not run, and will not.
    pub fn unwritten(&mut self, now: Time, mark: u64) {
        while self.held.front().is_some_and(|(at, _)| *at <= mark) {
            let Some((_, call)) = self.held.pop_front() else { return };
            self.ended(
                now,
                call,
                &Arc::new(Answer { ending: Ending::Rejected { come_back: None }, body: vec![] }),
            );
        }
    }

    /// How a txn ended. `answer` goes into the ledger where it must not run twice; who is told by the host itself,
    /// with the body as it has it, is given back.
    pub fn ended(&mut self, now: Time, call: Call, answer: &Arc<Answer>) -> Option<(SessionId, u64)> {
        let running = self.calls.remove(&call)?;
        if let Some(key) = running.once {
            self.once.remove(&key);
            self.ledger.end(now, key, answer);
        }
        let session = running.session?;
        self.sessions.get_mut(&session)?.open.remove(&running.number);
        if !running.runs {
            let (number, answer) = (running.number, Arc::clone(answer));
            self.todo.push_back(Do::Tell { session, number, answer });
            return None;
        }
        Some((session, running.number))
    }

    pub fn ask(&mut self, now: Time, session: SessionId, numbers: &[u64]) {
        let Some(sender) = self.sessions.get(&session).map(|s| s.sender) else { return };
        for &number in numbers {
            let key = Key { sender, number };
            let fate = match self.ledger.find(now, key) {
                Found::NeverTaken => wire::Fate::NeverTaken,
                Found::Running => {
                    self.attach(session, key);
                    wire::Fate::Running
                }
                Found::Ended(answer) => {
                    self.todo.push_back(Do::Tell { session, number, answer });
                    continue;
                }
                Found::Unknown => wire::Fate::Unknown,
            };
            self.todo.push_back(Do::Say { session, number, fate });
        }
    }

    pub fn settle(&mut self, session: SessionId, below: u64) {
        if let Some(sender) = self.sessions.get(&session).map(|s| s.sender) {
            self.ledger.settle(sender, below);
        }
    }

    /// The near end waits no more for a number.
    pub fn gave_up(&mut self, session: SessionId, number: u64) {
        let from = self.sessions.get_mut(&session);
        if let Some(call) = from.and_then(|from| from.open.remove(&number)) {
            self.hang_up(call);
        }
    }

    fn hang_up(&mut self, call: Call) {
        let Some(running) = self.calls.get_mut(&call) else { return };
        running.session = None;
        running.dropped = true;
        if running.runs {
            self.todo.push_back(Do::HangUp { call });
        }
    }

    /// The connection is gone. What may run again is given up; what must not goes on, since it will be asked about.
    pub fn broken(&mut self, session: SessionId) {
        let Some(gone) = self.sessions.remove(&session) else { return };
        for call in gone.open.into_values() {
            match self.calls.get_mut(&call) {
                Some(running) if running.once.is_some() => running.session = None,
                _ => self.hang_up(call),
            }
        }
    }

    /// The process is told to stop: no more is taken, what runs is answered.
    pub fn stop(&mut self) {
        if !std::mem::replace(&mut self.leaving, true) {
            let told = self.sessions.keys().map(|&session| Do::Leaving { session });
            self.todo.extend(told);
        }
    }

    pub fn poll(&mut self, now: Time) -> Option<Do> {
        if now >= self.next_expiry {
            self.next_expiry = now + EXPIRES;
            self.ledger.expire(now);
        }
        let changes = self.ledger.changes();
        if !changes.is_empty() {
            self.mark += 1;
            return Some(Do::Write { mark: self.mark, changes });
        }
        self.todo.pop_front()
    }

    pub fn next_wake(&self) -> Time {
        self.next_expiry
    }

    pub fn sizes(&self) -> [(&'static str, usize); 6] {
        [
            ("far sessions", self.sessions.len()),
            ("far txns running", self.calls.len()),
            ("far txns held for the disk", self.held.len()),
            ("ledger entries", self.ledger.len()),
            ("ledger bytes", self.ledger.bytes()),
            ("ledger senders", self.ledger.senders()),
        ]
    }
}

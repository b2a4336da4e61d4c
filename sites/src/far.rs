//! The far end of links, without I/O or clock: sessions of other sites' gateways, what they may have here at once,
//! which of their requests run, and who is told how each ended. Inputs only update what is known; the host pulls
//! `Do`s by `poll`. Must never let a request run that came before, nor one that must not run twice before the durable
//! copy of the ledger holds it; where the ledger is kept by several gateways, nor tell an ending or call a number never
//! taken before they hold that.

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
        /// Of the copies that its txns are kept by.
        ledger: Option<u64>,
    },
    /// What is taken from now on is kept by another ledger.
    Renamed {
        session: SessionId,
        ledger: u64,
    },
    /// The next five are for those who keep copies; what they say comes by `greeted`, `taken`, `copied` and `found`.
    Greet {
        session: SessionId,
        sender: u64,
        fresh: u64,
    },
    Take {
        call: Call,
        key: Key,
        importance: u8,
    },
    /// `call`: nobody waits for the word where there is none.
    End {
        call: Option<Call>,
        key: Key,
        answer: Arc<Answer>,
        /// The ledger that had taken it.
        of: u64,
    },
    Find {
        session: SessionId,
        key: Key,
        /// The ledger that it was sent to.
        of: u64,
    },
    Settle {
        sender: u64,
        below: u64,
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
    /// No number from this one on had been sent when it came.
    fresh: u64,
    /// It is made welcome by then, with copies or without.
    welcome_by: Option<Time>,
    /// The ledger that knows it, and the one it was told of.
    kept_by: Option<u64>,
    told: Option<u64>,
    /// When it is introduced to those who keep copies again.
    greet_at: Option<Time>,
    /// Numbers that others run and it asked about, when that is looked up again, and the ledger that they were sent to.
    watches: BTreeMap<u64, (Time, u64)>,
}

/// What those who keep copies say of a txn that is to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Taken {
    /// They hold that it runs here.
    Go,
    /// Another gateway runs it.
    Running,
    Ended(Arc<Answer>),
    /// They don't hold it, or nobody but this gateway could act on it: it has not run and will not.
    Never,
    /// It may have run.
    Unknown,
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
    /// How it ended, while that is brought to those who keep copies; it is told without them by then.
    ending: Option<(Arc<Answer>, Time)>,
    /// The ledger that takes it.
    of: u64,
}

/// What a request has to say for itself.
pub struct Asked<'a> {
    pub number: u64,
    pub once: bool,
    pub importance: u8,
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
    /// The ledger is kept by several gateways, and what is held here is what this one needs of it.
    copied: bool,
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
/// A gateway that comes waits this long for those who keep copies; its own patience is longer.
const WELCOME: Span = Span::from_millis(1_500);
/// Between two tries to introduce it to them.
const GREETS: Span = Span::from_millis(150);
/// An ending that can't be copied by then is told as unknown.
const COPIED: Span = Span::from_millis(1_000);
/// What another gateway runs is looked up this often for who waits.
const LOOKS: Span = Span::from_millis(50);

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
            copied: false,
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

    /// From the start on, what must not run twice is kept by several gateways.
    pub fn keep_copies(&mut self) {
        self.copied = true;
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
        let (sender, site, fresh) = (hello.run, hello.site.clone(), hello.fresh);
        let one = Session {
            sender,
            site,
            open: BTreeMap::new(),
            fresh,
            welcome_by: self.copied.then_some(now + WELCOME),
            kept_by: None,
            told: None,
            greet_at: None,
            watches: BTreeMap::new(),
        };
        self.sessions.insert(session, one);
        if self.copied {
            self.todo.push_back(Do::Greet { session, sender, fresh });
        } else {
            self.welcome(session, None);
        }
    }

    fn welcome(&mut self, session: SessionId, ledger: Option<u64>) {
        let credit = self.credit();
        if let Some(one) = self.sessions.get_mut(&session) {
            (one.welcome_by, one.told) = (None, ledger);
        }
        self.todo.push_back(Do::Welcome { session, credit, leaving: self.leaving, ledger });
    }

    /// Those who keep copies know the gateway, by this ledger; `None`: there is no majority of them now, or no room.
    pub fn greeted(&mut self, now: Time, session: SessionId, ledger: Option<u64>) {
        let Some(one) = self.sessions.get_mut(&session) else { return };
        one.kept_by = ledger;
        if ledger.is_none() {
            one.greet_at = Some(now + GREETS);
            if one.welcome_by.is_some_and(|by| by <= now) {
                self.welcome(session, None);
            }
        } else if one.welcome_by.is_some() {
            self.welcome(session, ledger);
        } else if let Some(ledger) = ledger.filter(|l| one.told != Some(*l)) {
            one.told = Some(ledger);
            self.todo.push_back(Do::Renamed { session, ledger });
        }
    }

    /// Senders for which `of` holds are kept by this ledger now: those that another one knew are introduced anew.
    pub fn kept_by(&mut self, now: Time, ledger: u64, of: impl Fn(u64) -> bool) {
        for one in self.sessions.values_mut().filter(|s| of(s.sender)) {
            if one.kept_by.is_some_and(|known| known != ledger) {
                (one.kept_by, one.greet_at) = (None, Some(now));
            }
        }
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
        let unkept = asked.once && self.copied && from.kept_by.is_none();
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
            (over || unkept).then_some(Turned::Full)
        };
        let full = why.is_none() && asked.once && self.ledger.take(now, key) != Intake::New;
        if let Some(why) = why.or(full.then_some(Turned::Full)) {
            return Err(Some(turn(why)));
        }
        self.next += 1;
        let call = self.next;
        let once = asked.once.then_some(key);
        let waits = asked.once && (self.durable || self.copied);
        let of = self.sessions.get(&session).and_then(|s| s.kept_by).unwrap_or(0);
        if let Some(from) = self.sessions.get_mut(&session) {
            from.open.insert(number, call);
        }
        let running =
            Running { number, once, session: Some(session), runs: !waits, dropped: false, ending: None, of };
        self.calls.insert(call, running);
        if let Some(key) = once {
            self.once.insert(key, call);
        }
        if waits && self.copied {
            self.todo.push_back(Do::Take { call, key, importance: asked.importance });
        } else if waits {
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

    /// What those who keep copies say of a call that waits for their word.
    pub fn taken(&mut self, now: Time, call: Call, taken: Taken) {
        let Some(running) = self.calls.get_mut(&call) else { return };
        let (number, session, once, of) = (running.number, running.session, running.once, running.of);
        match taken {
            Taken::Go if running.dropped => self.refuse(now, call),
            Taken::Go => {
                running.runs = true;
                self.todo.push_back(Do::Run { call, session, number });
            }
            Taken::Running => {
                self.let_go(now, call, Ending::Aborted);
                if let (Some(session), Some(key)) = (session, once) {
                    self.todo.push_back(Do::Joined { session, number });
                    self.watch(now, session, key, of);
                }
            }
            Taken::Ended(answer) => {
                self.let_go(now, call, answer.ending);
                self.todo.extend(session.map(|session| Do::Tell { session, number, answer }));
            }
            Taken::Never | Taken::Unknown => {
                let never = taken == Taken::Never;
                let ending = if never { Ending::Rejected { come_back: None } } else { Ending::Aborted };
                self.let_go(now, call, ending);
                let why = if never { Turned::Full } else { Turned::Forgotten };
                self.todo.extend(session.map(|session| Do::Turn { session, number, why }));
                if let Some(key) = once.filter(|_| never) {
                    // Its taking may still come to be: then it ended as not run.
                    let answer = Arc::new(Answer { ending, body: Vec::new() });
                    self.todo.push_back(Do::End { call: None, key, answer, of });
                }
            }
        }
    }

    /// A call that was not given to the host is over for this gateway; the number stays known here by its end.
    fn let_go(&mut self, now: Time, call: Call, ending: Ending) {
        let Some(running) = self.calls.remove(&call) else { return };
        self.todo.push_back(Do::Forget { call });
        if let Some(key) = running.once {
            self.once.remove(&key);
            self.ledger.end(now, key, &Arc::new(Answer { ending, body: Vec::new() }));
        }
        if let Some(from) = running.session.and_then(|s| self.sessions.get_mut(&s)) {
            from.open.remove(&running.number);
        }
    }

    fn watch(&mut self, now: Time, session: SessionId, key: Key, of: u64) {
        if let Some(one) = self.sessions.get_mut(&session) {
            one.watches.insert(key.number, (now + LOOKS, of));
        }
    }

    /// Those who keep copies hold how a call ended; or called it unknown before, and it is told so.
    pub fn copied(&mut self, now: Time, call: Call, held: bool) {
        let Some(running) = self.calls.get(&call) else { return };
        let (Some((answer, _)), Some(key)) = (running.ending.clone(), running.once) else { return };
        let (number, session) = (running.number, running.session);
        let aborted = || Arc::new(Answer { ending: Ending::Aborted, body: Vec::new() });
        let answer = if held { answer } else { aborted() };
        self.calls.remove(&call);
        self.once.remove(&key);
        self.ledger.end(now, key, &answer);
        if let Some(from) = session.and_then(|s| self.sessions.get_mut(&s)) {
            from.open.remove(&number);
        }
        self.todo.extend(session.map(|session| Do::Tell { session, number, answer }));
    }

    /// What those who keep copies know of a number; `None`: they don't say.
    pub fn found(&mut self, now: Time, session: SessionId, (key, of): (Key, u64), found: Option<Found>) {
        let number = key.number;
        let fate = match found {
            Some(Found::NeverTaken) => {
                self.ledger.fence(now, key);
                wire::Fate::NeverTaken
            }
            Some(Found::Running) => {
                let first = self.sessions.get(&session).is_some_and(|s| !s.watches.contains_key(&number));
                self.watch(now, session, key, of);
                if !first {
                    return;
                }
                wire::Fate::Running
            }
            Some(Found::Ended(answer)) => {
                self.unwatch(session, number);
                return self.todo.push_back(Do::Tell { session, number, answer });
            }
            Some(Found::Unknown) | None => wire::Fate::Unknown,
        };
        if fate != wire::Fate::Running && self.unwatch(session, number) {
            // Its asker was told that it runs, and takes only an answer now.
            let answer = Arc::new(Answer { ending: Ending::Aborted, body: Vec::new() });
            return self.todo.push_back(Do::Tell { session, number, answer });
        }
        self.todo.push_back(Do::Say { session, number, fate });
    }

    fn unwatch(&mut self, session: SessionId, number: u64) -> bool {
        self.sessions.get_mut(&session).is_some_and(|s| s.watches.remove(&number).is_some())
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
        if self.copied
            && let Some(key) = self.calls.get(&call).and_then(|r| r.once)
        {
            // It is told once those who keep copies hold it.
            if let Some(running) = self.calls.get_mut(&call).filter(|r| r.ending.is_none()) {
                running.ending = Some((Arc::clone(answer), now + COPIED));
                let (call, answer, of) = (Some(call), Arc::clone(answer), running.of);
                self.todo.push_back(Do::End { call, key, answer, of });
            }
            return None;
        }
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

    pub fn ask(&mut self, now: Time, session: SessionId, of: u64, numbers: &[u64]) {
        let Some(sender) = self.sessions.get(&session).map(|s| s.sender) else { return };
        for &number in numbers {
            let key = Key { sender, number };
            if self.copied {
                // What runs here is known here; of all else those who keep copies have the word.
                if self.once.contains_key(&key) {
                    self.attach(session, key);
                    self.todo.push_back(Do::Say { session, number, fate: wire::Fate::Running });
                } else {
                    self.todo.push_back(Do::Find { session, key, of });
                }
                continue;
            }
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
            let more = self.ledger.settle(sender, below);
            if more && self.copied {
                self.todo.push_back(Do::Settle { sender, below });
            }
        }
    }

    /// The near end waits no more for a number.
    pub fn gave_up(&mut self, session: SessionId, number: u64) {
        let from = self.sessions.get_mut(&session);
        let call = from.and_then(|from| {
            from.watches.remove(&number);
            from.open.remove(&number)
        });
        if let Some(call) = call {
            self.hang_up(call);
        }
    }

    fn hang_up(&mut self, call: Call) {
        let Some(running) = self.calls.get_mut(&call) else { return };
        running.session = None;
        running.dropped = true;
        if running.runs && running.ending.is_none() {
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
        if self.copied && self.todo.is_empty() {
            self.pursue(now);
        }
        let changes = self.ledger.changes();
        if !changes.is_empty() {
            self.mark += 1;
            return Some(Do::Write { mark: self.mark, changes });
        }
        self.todo.pop_front()
    }

    /// What waits for those who keep copies, and for what others run.
    fn pursue(&mut self, now: Time) {
        for (&session, one) in &mut self.sessions {
            if one.greet_at.is_some_and(|at| at <= now) {
                one.greet_at = None;
                let (sender, fresh) = (one.sender, one.fresh);
                self.todo.push_back(Do::Greet { session, sender, fresh });
            }
            for (&number, (at, of)) in one.watches.iter_mut().filter(|(_, w)| w.0 <= now) {
                *at = now + LOOKS;
                self.todo.push_back(Do::Find { session, key: Key { sender: one.sender, number }, of: *of });
            }
        }
        let late = |r: &Running| r.ending.as_ref().is_some_and(|(_, by)| *by <= now);
        let late: Vec<Call> = self.calls.iter().filter(|(_, r)| late(r)).map(|(c, _)| *c).collect();
        late.into_iter().for_each(|call| self.copied(now, call, false));
    }

    pub fn next_wake(&self) -> Time {
        if !self.copied {
            return self.next_expiry;
        }
        let greets = self.sessions.values().filter_map(|s| s.greet_at);
        let watches = self.sessions.values().flat_map(|s| s.watches.values().map(|w| w.0));
        let endings = self.calls.values().filter_map(|r| r.ending.as_ref().map(|(_, by)| *by));
        greets.chain(watches).chain(endings).fold(self.next_expiry, Time::min)
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

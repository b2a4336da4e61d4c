//! The far end of links on sockets: a front like any other. Takes in gateways of other sites, decodes their requests
//! into txns for the dispatcher, and writes the answers. Must never hand a request to the dispatcher without the core's word, nor
//! answer one twice.

use super::copies::{Copies, Heard};
use super::{Frame, LEAST_SLEEP, Means, fresh_number, write_frames};
use crate::buffers::Body;
use crate::counters::CountGuard;
use crate::dispatch_api::{Event, Request, Responder};
use async_channel::{Receiver, Sender};
use event_listener::Event as Poke;
use futures_lite::future;
use kelpcart::{Span, Time};
use kelpcart_copies::client::{self, Failed};
use kelpcart_copies::command::{Greet, Number, Outcome, Word as Command};
use kelpcart_sites::far::{Asked, Call, Do, Far, SessionId, Taken, Turned};
use kelpcart_sites::ledger::{Answer, Ending, Key};
use kelpcart_sites::quic::{self, Connection, Endpoint, Incoming, RecvStream, SendStream};
use kelpcart_sites::settings::Sites;
use kelpcart_sites::store::{Store, Writer};
use kelpcart_sites::wire::{self, Said, Word};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// From its connection to its hello, and from a stream's start to its whole request.
const HELLO: Span = Span::from_millis(3_000);
const WHOLE: Span = Span::from_millis(10_000);
/// A refused gateway gets this long to read why.
const REFUSED: Span = Span::from_millis(200);

/// Above all importances.
const CONTROL: i32 = 100;

struct Session {
    connection: Connection,
    control: Sender<Frame>,
    greeted: Cell<bool>,
}

/// A request that waits for the core's word.
struct Pending {
    method: String,
    ask: Box<Request>,
    at: Time,
}

/// What a question to those who keep copies was for.
#[derive(Clone, Copy)]
enum Why {
    Greet(SessionId, u32),
    Take(Call, Time),
    End(Option<Call>),
    Find(SessionId, (Key, u64)),
    Settle,
}

pub struct Door {
    means: Means,
    file: Rc<Sites>,
    itself: Weak<Door>,
    key: u64,
    /// Of the ledger: new with each start where none is kept on a disk.
    ledger: u64,
    core: RefCell<Far>,
    writer: Option<Writer>,
    copies: Option<Rc<Copies>>,
    asks: RefCell<BTreeMap<u64, Why>>,
    /// The core may have to be called sooner than it said.
    poke: Poke,
    sessions: RefCell<BTreeMap<SessionId, Rc<Session>>>,
    next: Cell<SessionId>,
    pending: RefCell<BTreeMap<Call, Pending>>,
    /// Whether what runs must not run twice.
    calls: RefCell<BTreeMap<Call, bool>>,
    /// Streams on which a request's answer is awaited, by session and number.
    replies: RefCell<BTreeMap<(SessionId, u64), Sender<Frame>>>,
}

impl Door {
    pub fn start(
        means: &Means,
        file: &Rc<Sites>,
        endpoint: &Endpoint,
        copies: Option<(Rc<Copies>, Receiver<Heard>)>,
    ) -> Result<Rc<Door>, String> {
        let mut core = Far::new(file, means.clock.now());
        let (copies, heard) = copies.unzip();
        if copies.is_some() {
            core.keep_copies();
        }
        let (mut ledger, mut writer) = (fresh_number(), None);
        if let Some(path) = &file.ledger.file {
            let bad = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
            let (store, found) = Store::open(path, ledger).map_err(|e| bad(&e))?;
            log::info!("the ledger holds {} txns of {} gateways", found.taken.len(), found.floors.len());
            core.recover(means.clock.now(), &found.floors, &found.taken);
            ledger = found.ledger;
            writer = Some(Writer::start(store).map_err(|e| bad(&e))?);
        }
        let door = Rc::new_cyclic(|itself| Door {
            means: means.clone(),
            file: Rc::clone(file),
            itself: itself.clone(),
            key: means.keys.next(),
            ledger,
            core: RefCell::new(core),
            writer,
            copies,
            asks: RefCell::default(),
            poke: Poke::new(),
            sessions: RefCell::default(),
            next: Cell::new(0),
            pending: RefCell::default(),
            calls: RefCell::default(),
            replies: RefCell::default(),
        });
        means.tasks.spawn(Rc::clone(&door).accept(endpoint.clone())).detach();
        means.tasks.spawn(Rc::clone(&door).keep_time()).detach();
        if door.writer.is_some() {
            means.tasks.spawn(Rc::clone(&door).hear_disk()).detach();
        }
        if let Some(heard) = heard {
            means.tasks.spawn(Rc::clone(&door).hear_copies(heard)).detach();
        }
        Ok(door)
    }

    pub fn stop(&self) {
        self.tell(|core, _| core.stop());
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.core.borrow().sizes().to_vec();
        all.push(("far requests pending", self.pending.borrow().len()));
        all.push(("far answers awaited", self.replies.borrow().len()));
        if self.copies.is_some() {
            all.push(("far questions to copies", self.asks.borrow().len()));
        }
        all
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            self.tell(|_, _| ());
            let poked = self.poke.listen();
            let wake = self.core.borrow().next_wake().max(self.means.clock.now() + LEAST_SLEEP);
            self.means.clock.timeout_at(wake, poked).await;
        }
    }

    async fn hear_disk(self: Rc<Self>) {
        let Some(writer) = &self.writer else { return };
        while let Ok((mark, written)) = writer.done.recv().await {
            self.tell(|core, now| if written { core.written(now, mark) } else { core.unwritten(now, mark) });
        }
    }

    /// What those who keep copies say.
    async fn hear_copies(self: Rc<Self>, heard: Receiver<Heard>) {
        while let Ok(word) = heard.recv().await {
            match word {
                Heard::Ledger(group, ledger) => {
                    let Some(copies) = &self.copies else { return };
                    self.tell(|core, now| {
                        core.kept_by(now, ledger, |sender| copies.group_of(sender) == group)
                    });
                }
                Heard::Told(ask, result) => self.told(ask, result),
            }
            self.poke.notify(1);
        }
    }

    fn told(&self, ask: u64, result: Result<Outcome, Failed>) {
        let Some(why) = self.asks.borrow_mut().remove(&ask) else { return };
        match why {
            Why::Greet(session, group) => {
                let known = result == Ok(Outcome::Greeted(true));
                let ledger = self.copies.as_ref().and_then(|c| c.ledger(group)).filter(|_| known);
                self.tell(|core, now| core.greeted(now, session, ledger));
            }
            Why::Take(call, asked) => {
                let now = self.means.clock.now();
                let taken = client::taken(result, asked, now, self.right());
                if taken == Taken::Never {
                    self.means.counters.add("far requests told off for want of copies");
                }
                self.tell(|core, now| core.taken(now, call, taken));
            }
            Why::End(Some(call)) => {
                let held = result == Ok(Outcome::Noted);
                self.tell(|core, now| core.copied(now, call, held));
            }
            Why::Find(session, what) => {
                let found = client::found(result);
                self.tell(|core, now| core.found(now, session, what, found));
            }
            Why::End(None) | Why::Settle => {}
        }
    }

    /// How long a gateway may act on its right to run a txn after it asked for it.
    fn right(&self) -> Span {
        self.copies.as_ref().map_or(Span::ZERO, |copies| copies.right())
    }

    fn question(&self, sender: u64, importance: u8, word: Command, why: impl FnOnce(u32) -> Why) {
        let Some(copies) = &self.copies else { return };
        let group = copies.group_of(sender);
        let ask = copies.ask(group, importance, word);
        self.asks.borrow_mut().insert(ask, why(group));
        copies.kick();
    }

    /// Tells the core something and carries out what it orders then.
    fn tell<T>(&self, what: impl FnOnce(&mut Far, Time) -> T) -> T {
        let told = what(&mut self.core.borrow_mut(), self.means.clock.now());
        self.pull();
        told
    }

    fn pull(&self) {
        loop {
            let now = self.means.clock.now();
            let Some(todo) = self.core.borrow_mut().poll(now) else { return };
            match todo {
                Do::Welcome { session, credit, leaving, ledger } => {
                    let (site, gateway) = (self.file.site.clone(), self.file.gateway.clone());
                    let (version, ledger) = (wire::VERSION, ledger.unwrap_or(self.ledger));
                    let recalls = self.copies.is_some();
                    let welcome = wire::Welcome { version, site, gateway, ledger, credit, leaving, recalls };
                    if let Some(of) = self.sessions.borrow().get(&session) {
                        of.greeted.set(true);
                    }
                    self.means.counters.add("far gateways taken in");
                    self.control(session, wire::encode(Said::Welcome(welcome)).into());
                }
                Do::Refuse { session, why } => {
                    log::warn!("a gateway of another site is turned away: {why}");
                    self.means.counters.add("far gateways turned away");
                    let refusal = wire::Refusal { version: wire::VERSION, why: why.clone() };
                    self.control(session, wire::encode(Said::Refusal(refusal)).into());
                    if let Some(of) = self.sessions.borrow().get(&session) {
                        let (connection, clock) = (of.connection.clone(), self.means.clock);
                        let close = async move {
                            clock.sleep(REFUSED).await;
                            quic::close(&connection, &why);
                        };
                        self.means.tasks.spawn(close).detach();
                    }
                }
                Do::Run { call, session, number } => self.run(call, session, number),
                Do::Joined { session, number } => self.say(session, number, Said::Taken(number), false),
                Do::Tell { session, number, answer } => {
                    self.answer(session, number, answer.ending, Bytes::Kept(&answer.body), None);
                }
                Do::Turn { session, number, why } => {
                    self.means.counters.add(match why {
                        Turned::Full => "far requests turned away for room",
                        Turned::Fenced => "far requests that came after they were called never taken",
                        Turned::Loop => "far requests that went round",
                        Turned::Leaving => "far requests at the stop",
                        Turned::Forgotten => "far requests not known any more",
                    });
                    let word = if why == Turned::Forgotten { Word::Forgotten } else { Word::Turned };
                    self.say(session, number, Said::Answer(wire::Answer::turned(number, word)), true);
                }
                Do::Say { session, number, fate } => {
                    let found = wire::Found { number, fate: fate as i32 };
                    self.control(session, wire::encode(Said::Found(found)).into());
                }
                Do::Forget { call } => {
                    self.pending.borrow_mut().remove(&call);
                    self.calls.borrow_mut().remove(&call);
                }
                Do::HangUp { call } => {
                    self.calls.borrow_mut().remove(&call);
                    // It fails only when the dispatcher has ended, and with it the process.
                    _ = self.means.dispatcher.try_send(Event::Cancelled { responder: self.key, id: call });
                    let answer = Arc::new(Answer { ending: Ending::Aborted, body: Vec::new() });
                    self.core.borrow_mut().ended(now, call, &answer);
                }
                Do::Leaving { session } => {
                    self.control(session, wire::encode(Said::Leaving(true)).into());
                }
                Do::Renamed { session, ledger } => {
                    self.control(session, wire::encode(Said::Ledger(ledger)).into());
                }
                Do::Greet { session, sender, fresh } => {
                    let word = Command::Greet(Greet { sender, fresh });
                    self.question(sender, 9, word, |group| Why::Greet(session, group));
                }
                Do::Take { call, key, importance } => {
                    self.question(key.sender, importance, Command::take(key), |_| Why::Take(call, now));
                }
                Do::End { call, key, answer, of } => {
                    let most = self.copies.as_ref().map_or(0, |copies| copies.most_answer());
                    let word = if answer.body.len() > most {
                        self.means.counters.add("far answers too long to be kept");
                        Command::end(key, &Answer { ending: Ending::Aborted, body: Vec::new() }, of)
                    } else {
                        Command::end(key, &answer, of)
                    };
                    self.question(key.sender, 9, word, |_| Why::End(call));
                }
                Do::Find { session, key, of } => {
                    self.question(key.sender, 9, Command::find(key, of), |_| Why::Find(session, (key, of)));
                }
                Do::Settle { sender, below } => {
                    let word = Command::Settle(Number { sender, number: below });
                    self.question(sender, 0, word, |_| Why::Settle);
                }
                Do::Write { mark, changes } => {
                    let written = self.writer.as_ref().is_some_and(|w| w.write(mark, changes));
                    if !written {
                        self.core.borrow_mut().unwritten(now, mark);
                    }
                }
            }
        }
    }

    fn run(&self, call: Call, session: Option<SessionId>, number: u64) {
        let Some(Pending { method, ask, at }) = self.pending.borrow_mut().remove(&call) else { return };
        if let Some(session) = session {
            self.say(session, number, Said::Taken(number), false);
        }
        let Some(client) = self.itself.upgrade() else { return };
        self.means.counters.add("far requests");
        // It fails only when the dispatcher has ended, and with it the process.
        _ = self.means.dispatcher.try_send(Event::Request {
            responder: client,
            id: call,
            method,
            request: ask,
            received_at: at,
        });
    }

    fn control(&self, session: SessionId, frame: Frame) {
        if let Some(of) = self.sessions.borrow().get(&session) {
            // It fails only when the connection is gone.
            _ = of.control.try_send(frame);
        }
    }

    /// Tells something of a number on its own stream, else on the session's.
    fn say(&self, session: SessionId, number: u64, said: Said, last: bool) {
        self.write(session, number, wire::encode(said).into(), last);
    }

    fn write(&self, session: SessionId, number: u64, frame: Frame, last: bool) {
        let mut replies = self.replies.borrow_mut();
        let Some(reply) = replies.get(&(session, number)) else {
            drop(replies);
            return self.control(session, frame);
        };
        // It fails only when the stream is gone.
        _ = reply.try_send(frame);
        if last {
            replies.remove(&(session, number));
        }
    }

    fn answer(&self, session: SessionId, number: u64, ending: Ending, bytes: Bytes, until: Option<Time>) {
        let answer = wire::Answer::of(number, ending, bytes.len());
        let mut frame = Frame::from(wire::encode(Said::Answer(answer)));
        match bytes {
            Bytes::Kept(bytes) => frame.bytes.extend_from_slice(bytes),
            Bytes::Body(body) => frame.body = Some(body),
            Bytes::None => {}
        }
        (frame.until, frame._held) = (until, Some(CountGuard::new(&self.means.counters.unwritten_answers)));
        self.write(session, number, frame, true);
    }

    /// What the dispatcher says of a call; each has one answer.
    fn ended(&self, call: Call, ending: Ending, body: Option<Body>, until: Option<Time>) {
        let Some(once) = self.calls.borrow_mut().remove(&call) else { return };
        let kept = body.iter().filter(|_| once).flat_map(Body::chunks).flatten().copied().collect();
        let answer = Arc::new(Answer { ending, body: kept });
        let to = self.core.borrow_mut().ended(self.means.clock.now(), call, &answer);
        if let Some((session, number)) = to {
            let bytes = body.map_or(Bytes::None, Bytes::Body);
            self.answer(session, number, ending, bytes, until);
        }
        self.pull();
    }

    async fn accept(self: Rc<Self>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            if self.sessions.borrow().len() >= 2 * self.file.limits.sessions {
                self.means.counters.add("far connections over the bound");
                incoming.refuse();
                continue;
            }
            self.next.set(self.next.get() + 1);
            let (door, session) = (Rc::clone(&self), self.next.get());
            self.means.tasks.spawn(async move { door.serve(session, incoming).await }).detach();
        }
    }

    async fn serve(self: Rc<Self>, session: SessionId, incoming: Incoming) {
        let clock = self.means.clock;
        let begun = async {
            let connection = incoming.await.map_err(|e| e.to_string())?;
            let (send, mut recv) = connection.accept_bi().await.map_err(|e| e.to_string())?;
            match quic::read(&mut recv).await.map_err(|e| e.to_string())? {
                Said::Hello(hello) => Ok((connection, send, recv, hello)),
                _ => Err("its first word is no hello".to_owned()),
            }
        };
        let (connection, mut send, mut recv, hello) = match clock.timeout(HELLO, begun).await {
            Some(Ok(begun)) => begun,
            other => {
                let why = other
                    .map_or("it says nothing".to_owned(), |e: Result<_, String>| e.err().unwrap_or_default());
                self.means.counters.add("far gateways turned away");
                log::warn!("a gateway of another site is turned away: {why}");
                return;
            }
        };
        // Signs of life and answers to questions go before all else.
        _ = send.set_priority(CONTROL);
        let (control, frames) = async_channel::unbounded();
        let of = Rc::new(Session { connection: connection.clone(), control, greeted: Cell::new(false) });
        self.sessions.borrow_mut().insert(session, Rc::clone(&of));
        let proven = quic::proves(&connection, &hello.site);
        self.tell(|core, now| core.hello(now, session, &hello, proven));
        let write = async {
            write_frames(clock, &mut send, &frames).await;
            "it can't be written to".to_owned()
        };
        let read = async {
            loop {
                match quic::read(&mut recv).await {
                    // A refused one is heard no more; it closes, or is closed.
                    Ok(_) if !of.greeted.get() => {}
                    Ok(said) => {
                        if !self.hear(session, said, None) {
                            self.means.counters.add("far messages that may not be sent");
                            return "it sends what it may not".to_owned();
                        }
                    }
                    Err(quic::Broken::Ended) => return "the connection ended".to_owned(),
                    Err(why) => {
                        self.means.counters.add("far messages that may not be sent");
                        return why.to_string();
                    }
                }
            }
        };
        let streams = async {
            while let Ok((send, recv)) = connection.accept_bi().await {
                let door = Rc::clone(&self);
                self.means.tasks.spawn(door.stream(session, send, recv)).detach();
            }
            "the connection ended".to_owned()
        };
        let why = future::or(future::or(write, read), streams).await;
        log::info!("{} of {} has gone: {why}", hello.gateway, hello.site);
        quic::close(&connection, &why);
        self.sessions.borrow_mut().remove(&session);
        self.replies.borrow_mut().retain(|(of, _), _| *of != session);
        self.tell(|core, _| core.broken(session));
    }

    /// A hop's own stream: its request, then what is told of it.
    async fn stream(self: Rc<Self>, session: SessionId, mut send: SendStream, mut recv: RecvStream) {
        let clock = self.means.clock;
        let greeted = || self.sessions.borrow().get(&session).is_some_and(|s| s.greeted.get());
        let request = match clock.timeout(WHOLE, quic::read(&mut recv)).await {
            Some(Ok(Said::Request(request))) if greeted() => request,
            _ => {
                self.means.counters.add("far streams without a request");
                return quic::reset(&mut send);
            }
        };
        let (number, importance) = (request.number, request.importance);
        // It fails only on a stream that has ended.
        _ = send.set_priority(importance as i32);
        let (reply, frames) = async_channel::unbounded();
        self.hear(session, Said::Request(request), Some(reply));
        if write_frames(clock, &mut send, &frames).await {
            _ = send.finish();
        } else {
            quic::reset(&mut send);
        }
        let mut replies = self.replies.borrow_mut();
        if replies.get(&(session, number)).is_some_and(|r| r.is_closed()) {
            replies.remove(&(session, number));
        }
    }

    /// `false`: it may not send that.
    fn hear(&self, session: SessionId, said: Said, reply: Option<Sender<Frame>>) -> bool {
        match said {
            Said::Request(request) => self.request(session, request, reply),
            Said::Ask(ask) => {
                self.tell(|core, now| core.ask(now, session, ask.ledger, &ask.numbers));
            }
            Said::Settle(below) => self.tell(|core, _| core.settle(session, below)),
            Said::GiveUp(number) => {
                self.replies.borrow_mut().remove(&(session, number));
                self.tell(|core, _| core.gave_up(session, number));
            }
            Said::Ping(number) => {
                let (credit, leaving) = self.core.borrow().state();
                let pong = Said::Pong(wire::Pong { number, credit, leaving });
                self.control(session, wire::encode(pong).into());
            }
            _ => return false,
        }
        true
    }

    fn request(&self, session: SessionId, r: wire::Request, reply: Option<Sender<Frame>>) {
        let (number, now) = (r.number, self.means.clock.now());
        if let Some(reply) = reply {
            self.replies.borrow_mut().insert((session, number), reply);
        }
        let ask = Request {
            request_id: format!("{:016x}", r.trace),
            request_number: r.trace,
            object_name: format!("{:016x}", r.object),
            object: r.object,
            part: r.part,
            group: r.group as u8,
            timeout_ms: (r.left_us / 1_000).clamp(1, u32::MAX.into()) as u32,
            size_kb: r.need,
            client_etag: r.seen,
            idempotency_key: r.mark,
            body: r.body,
            max_age: r.oldest_us.map(Span::from_micros),
            via: r.path,
        };
        let importance = r.importance as u8;
        let asked = Asked { number, once: r.once, importance, path: &ask.via };
        let call = self.core.borrow_mut().request(now, session, &asked);
        if let Some(call) = call {
            let pending = Pending { method: r.rule, ask: Box::new(ask), at: now };
            self.pending.borrow_mut().insert(call, pending);
            self.calls.borrow_mut().insert(call, r.once);
        }
        self.pull();
    }
}

/// What stands behind an answer.
enum Bytes<'a> {
    None,
    Kept(&'a [u8]),
    Body(Body),
}

impl Bytes<'_> {
    fn len(&self) -> usize {
        match self {
            Bytes::None => 0,
            Bytes::Kept(bytes) => bytes.len(),
            Bytes::Body(body) => body.len(),
        }
    }
}

impl Responder for Door {
    fn key(&self) -> u64 {
        self.key
    }

    fn serve(&self, id: u64, body: Option<Body>, until: Time) {
        let ending = if body.is_some() { Ending::Served } else { Ending::Current };
        self.ended(id, ending, body, Some(until));
    }

    fn reject(&self, id: u64, come_back: Option<Span>) {
        self.ended(id, Ending::Rejected { come_back }, None, None);
    }

    fn abort(&self, id: u64) {
        self.ended(id, Ending::Aborted, None, None);
    }

    fn invalid(&self, id: u64) {
        self.ended(id, Ending::Invalid, None, None);
    }

    fn ready(&self, _: u64, _: bool) {}
}

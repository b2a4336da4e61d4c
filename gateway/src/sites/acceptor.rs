//! The far end of links on sockets: a front like any other. Takes in gateways of other sites, decodes their requests
//! into txns for the dispatcher, and writes the answers. Must never hand a request to the dispatcher without the core's word, nor
//! answer one twice.

use super::copies::{Copies, GroupEvent};
use super::{Frame, LinkContext, MIN_SLEEP, random_id, write_frames};
use crate::buffers::Body;
use crate::counters::CountGuard;
use crate::dispatch_api::{Event, Request, Responder};
use async_channel::{Receiver, Sender};
use event_listener::Event as Wakeup;
use futures_lite::future;
use kelpcart::{Span, Time};
use kelpcart_copies::client::{self, RequestError};
use kelpcart_copies::command::{CommandResult, Operation as Command, RegisterSender, TxnKey};
use kelpcart_sites::acceptor::{
    AcceptResult, Acceptor, Call, RefusalReason, RequestMeta, SessionAction, SessionId,
};
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use kelpcart_sites::quic::{self, Connection, Endpoint, Incoming, RecvStream, SendStream};
use kelpcart_sites::settings::Sites;
use kelpcart_sites::store::{Store, Writer};
use kelpcart_sites::wire::{self, AnswerCode, Message};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;

/// From its connection to its hello, and from a stream's start to its whole request.
const HELLO_TIMEOUT: Span = Span::from_millis(3_000);
const REQUEST_TIMEOUT: Span = Span::from_millis(10_000);
/// A refused gateway gets this long to read why.
const REFUSAL_LINGER: Span = Span::from_millis(200);

/// Above all importances.
const CONTROL_PRIORITY: i32 = 100;

struct Session {
    connection: Connection,
    control: Sender<Frame>,
    welcomed: Cell<bool>,
}

/// A request that waits for the core's word.
struct Pending {
    method: String,
    request: Box<Request>,
    received_at: Time,
}

/// What a question to those who keep copies was for.
#[derive(Clone, Copy)]
enum QueryPurpose {
    RegisterSender(SessionId, u32),
    ReplicateAccept(Call, Time),
    ReplicateOutcome(Option<Call>),
    QueryReplicas(SessionId, (Key, u64)),
    ReplicateSettle,
}

pub struct AcceptorDriver {
    context: LinkContext,
    settings: Rc<Sites>,
    weak_self: Weak<AcceptorDriver>,
    key: u64,
    /// Of the ledger: new with each start where none is kept on a disk.
    ledger: u64,
    core: RefCell<Acceptor>,
    writer: Option<Writer>,
    copies: Option<Rc<Copies>>,
    replica_queries: RefCell<BTreeMap<u64, QueryPurpose>>,
    /// The core may have to be called sooner than it said.
    wakeup: Wakeup,
    sessions: RefCell<BTreeMap<SessionId, Rc<Session>>>,
    next_id: Cell<SessionId>,
    pending: RefCell<BTreeMap<Call, Pending>>,
    /// Whether what runs must not run twice.
    calls: RefCell<BTreeMap<Call, bool>>,
    /// Streams on which a request's answer is awaited, by session and number.
    replies: RefCell<BTreeMap<(SessionId, u64), Sender<Frame>>>,
}

impl AcceptorDriver {
    pub fn start(
        context: &LinkContext,
        settings: &Rc<Sites>,
        endpoint: &Endpoint,
        copies: Option<(Rc<Copies>, Receiver<GroupEvent>)>,
    ) -> Result<Rc<AcceptorDriver>, String> {
        let mut core = Acceptor::new(settings, context.clock.now());
        let (copies, heard) = copies.unzip();
        if copies.is_some() {
            core.enable_replication();
        }
        let (mut ledger, mut writer) = (random_id(), None);
        if let Some(path) = &settings.ledger.file {
            let bad = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
            let (store, found) = Store::open(path, ledger).map_err(|e| bad(&e))?;
            log::info!("the ledger holds {} txns of {} gateways", found.accepted.len(), found.floors.len());
            core.recover(context.clock.now(), &found.floors, &found.accepted);
            ledger = found.ledger;
            writer = Some(Writer::start(store).map_err(|e| bad(&e))?);
        }
        let door = Rc::new_cyclic(|itself| AcceptorDriver {
            context: context.clone(),
            settings: Rc::clone(settings),
            weak_self: itself.clone(),
            key: context.keys.next(),
            ledger,
            core: RefCell::new(core),
            writer,
            copies,
            replica_queries: RefCell::default(),
            wakeup: Wakeup::new(),
            sessions: RefCell::default(),
            next_id: Cell::new(0),
            pending: RefCell::default(),
            calls: RefCell::default(),
            replies: RefCell::default(),
        });
        context.tasks.spawn(Rc::clone(&door).accept(endpoint.clone())).detach();
        context.tasks.spawn(Rc::clone(&door).run_timer()).detach();
        if door.writer.is_some() {
            context.tasks.spawn(Rc::clone(&door).handle_disk_results()).detach();
        }
        if let Some(heard) = heard {
            context.tasks.spawn(Rc::clone(&door).handle_replica_events(heard)).detach();
        }
        Ok(door)
    }

    pub fn stop(&self) {
        self.with_core(|core, _| core.stop());
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.core.borrow().sizes().to_vec();
        all.push(("far requests pending", self.pending.borrow().len()));
        all.push(("far answers awaited", self.replies.borrow().len()));
        if self.copies.is_some() {
            all.push(("far questions to copies", self.replica_queries.borrow().len()));
        }
        all
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            self.with_core(|_, _| ());
            let poked = self.wakeup.listen();
            let wake = self.core.borrow().next_wake().max(self.context.clock.now() + MIN_SLEEP);
            self.context.clock.timeout_at(wake, poked).await;
        }
    }

    async fn handle_disk_results(self: Rc<Self>) {
        let Some(writer) = &self.writer else { return };
        while let Ok((mark, written)) = writer.done.recv().await {
            self.with_core(
                |core, now| if written { core.persisted(now, mark) } else { core.persist_failed(now, mark) },
            );
        }
    }

    /// What those who keep copies say.
    async fn handle_replica_events(self: Rc<Self>, heard: Receiver<GroupEvent>) {
        while let Ok(word) = heard.recv().await {
            match word {
                GroupEvent::LedgerChanged(group, ledger) => {
                    let Some(copies) = &self.copies else { return };
                    self.with_core(|core, now| {
                        core.replica_ledger_changed(now, ledger, |sender| copies.group_of(sender) == group)
                    });
                }
                GroupEvent::Response(ask, result) => self.handle_replica_answer(ask, result),
            }
            self.wakeup.notify(1);
        }
    }

    fn handle_replica_answer(&self, ask: u64, result: Result<CommandResult, RequestError>) {
        let Some(why) = self.replica_queries.borrow_mut().remove(&ask) else { return };
        match why {
            QueryPurpose::RegisterSender(session, group) => {
                let known = result == Ok(CommandResult::Registered(true));
                let ledger = self.copies.as_ref().and_then(|c| c.ledger(group)).filter(|_| known);
                self.with_core(|core, now| core.sender_registered(now, session, ledger));
            }
            QueryPurpose::ReplicateAccept(call, asked) => {
                let now = self.context.clock.now();
                let taken = client::accept_result(result, asked, now, self.lease());
                if taken == AcceptResult::NotAccepted {
                    self.context.counters.add("far requests told off for want of copies");
                }
                self.with_core(|core, now| core.accept_replicated(now, call, taken));
            }
            QueryPurpose::ReplicateOutcome(Some(call)) => {
                let held = result == Ok(CommandResult::Recorded);
                self.with_core(|core, now| core.outcome_replicated(now, call, held));
            }
            QueryPurpose::QueryReplicas(session, what) => {
                let found = client::lookup_result(result);
                self.with_core(|core, now| core.replica_status(now, session, what, found));
            }
            QueryPurpose::ReplicateOutcome(None) | QueryPurpose::ReplicateSettle => {}
        }
    }

    /// How long a gateway may act on its right to run a txn after it asked for it.
    fn lease(&self) -> Span {
        self.copies.as_ref().map_or(Span::ZERO, |copies| copies.accept_lease())
    }

    fn query_replicas(
        &self,
        sender: u64,
        importance: u8,
        word: Command,
        why: impl FnOnce(u32) -> QueryPurpose,
    ) {
        let Some(copies) = &self.copies else { return };
        let group = copies.group_of(sender);
        let ask = copies.submit(group, importance, word);
        self.replica_queries.borrow_mut().insert(ask, why(group));
        copies.flush();
    }

    /// Tells the core something and carries out what it orders then.
    fn with_core<T>(&self, what: impl FnOnce(&mut Acceptor, Time) -> T) -> T {
        let told = what(&mut self.core.borrow_mut(), self.context.clock.now());
        self.run_actions();
        told
    }

    fn run_actions(&self) {
        loop {
            let now = self.context.clock.now();
            let Some(todo) = self.core.borrow_mut().poll(now) else { return };
            match todo {
                SessionAction::AcceptSession { session, credit, leaving, ledger } => {
                    let (site, gateway) = (self.settings.site.clone(), self.settings.gateway.clone());
                    let (version, ledger) = (wire::VERSION, ledger.unwrap_or(self.ledger));
                    let recalls = self.copies.is_some();
                    let welcome = wire::Welcome {
                        version,
                        site,
                        gateway,
                        ledger,
                        credit,
                        leaving,
                        knows_past_ledgers: recalls,
                    };
                    if let Some(of) = self.sessions.borrow().get(&session) {
                        of.welcomed.set(true);
                    }
                    self.context.counters.add("far gateways taken in");
                    self.control(session, wire::encode(Message::Welcome(welcome)).into());
                }
                SessionAction::RefuseSession { session, reason: why } => {
                    log::warn!("a gateway of another site is turned away: {why}");
                    self.context.counters.add("far gateways turned away");
                    let refusal = wire::Refusal { version: wire::VERSION, reason: why.clone() };
                    self.control(session, wire::encode(Message::Refusal(refusal)).into());
                    if let Some(of) = self.sessions.borrow().get(&session) {
                        let (connection, clock) = (of.connection.clone(), self.context.clock);
                        let close = async move {
                            clock.sleep(REFUSAL_LINGER).await;
                            quic::close(&connection, &why);
                        };
                        self.context.tasks.spawn(close).detach();
                    }
                }
                SessionAction::Run { call, session, number } => self.run(call, session, number),
                SessionAction::AlreadyRunning { session, number } => {
                    self.send_message(session, number, Message::Accepted(number), false)
                }
                SessionAction::SendAnswer { session, number, answer } => {
                    self.send_answer(session, number, answer.outcome, AnswerBody::Kept(&answer.body), None);
                }
                SessionAction::RefuseHop { session, number, reason: why } => {
                    self.context.counters.add(match why {
                        RefusalReason::Full => "far requests turned away for room",
                        RefusalReason::Fenced => "far requests that came after they were called never taken",
                        RefusalReason::Loop => "far requests that went round",
                        RefusalReason::Leaving => "far requests at the stop",
                        RefusalReason::Forgotten => "far requests not known any more",
                    });
                    let word = if why == RefusalReason::Forgotten {
                        AnswerCode::Forgotten
                    } else {
                        AnswerCode::Refused
                    };
                    self.send_message(
                        session,
                        number,
                        Message::Answer(wire::Answer::refused(number, word)),
                        true,
                    );
                }
                SessionAction::SendStatus { session, number, status: fate } => {
                    let found = wire::StatusReply { number, status: fate as i32 };
                    self.control(session, wire::encode(Message::StatusReply(found)).into());
                }
                SessionAction::Discard { call } => {
                    self.pending.borrow_mut().remove(&call);
                    self.calls.borrow_mut().remove(&call);
                }
                SessionAction::Cancel { call } => {
                    self.calls.borrow_mut().remove(&call);
                    // It fails only when the dispatcher has ended, and with it the process.
                    _ = self.context.dispatcher.try_send(Event::Cancelled { responder: self.key, id: call });
                    let answer = Arc::new(Answer { outcome: TxnOutcome::Aborted, body: Vec::new() });
                    self.core.borrow_mut().finished(now, call, &answer);
                }
                SessionAction::AnnounceLeaving { session } => {
                    self.control(session, wire::encode(Message::Leaving(true)).into());
                }
                SessionAction::LedgerChanged { session, ledger } => {
                    self.control(session, wire::encode(Message::Ledger(ledger)).into());
                }
                SessionAction::RegisterSender { session, sender, next_number: fresh } => {
                    let word = Command::RegisterSender(RegisterSender { sender, next_number: fresh });
                    self.query_replicas(sender, 9, word, |group| {
                        QueryPurpose::RegisterSender(session, group)
                    });
                }
                SessionAction::ReplicateAccept { call, key, importance } => {
                    self.query_replicas(key.sender, importance, Command::accept(key), |_| {
                        QueryPurpose::ReplicateAccept(call, now)
                    });
                }
                SessionAction::ReplicateOutcome { call, key, answer, ledger: of } => {
                    let most = self.copies.as_ref().map_or(0, |copies| copies.max_answer_bytes());
                    let word = if answer.body.len() > most {
                        self.context.counters.add("far answers too long to be kept");
                        Command::end(key, &Answer { outcome: TxnOutcome::Aborted, body: Vec::new() }, of)
                    } else {
                        Command::end(key, &answer, of)
                    };
                    self.query_replicas(key.sender, 9, word, |_| QueryPurpose::ReplicateOutcome(call));
                }
                SessionAction::QueryReplicas { session, key, ledger: of } => {
                    self.query_replicas(key.sender, 9, Command::query(key, of), |_| {
                        QueryPurpose::QueryReplicas(session, (key, of))
                    });
                }
                SessionAction::ReplicateSettle { sender, below } => {
                    let word = Command::Settle(TxnKey { sender, number: below });
                    self.query_replicas(sender, 0, word, |_| QueryPurpose::ReplicateSettle);
                }
                SessionAction::Persist { seq: mark, changes } => {
                    let written = self.writer.as_ref().is_some_and(|w| w.write(mark, changes));
                    if !written {
                        self.core.borrow_mut().persist_failed(now, mark);
                    }
                }
            }
        }
    }

    fn run(&self, call: Call, session: Option<SessionId>, number: u64) {
        let Some(Pending { method, request: ask, received_at: at }) = self.pending.borrow_mut().remove(&call)
        else {
            return;
        };
        if let Some(session) = session {
            self.send_message(session, number, Message::Accepted(number), false);
        }
        let Some(client) = self.weak_self.upgrade() else { return };
        self.context.counters.add("far requests");
        // It fails only when the dispatcher has ended, and with it the process.
        _ = self.context.dispatcher.try_send(Event::Request {
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
    fn send_message(&self, session: SessionId, number: u64, said: Message, last: bool) {
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

    fn send_answer(
        &self,
        session: SessionId,
        number: u64,
        ending: TxnOutcome,
        bytes: AnswerBody,
        until: Option<Time>,
    ) {
        let answer = wire::Answer::new(number, ending, bytes.len());
        let mut frame = Frame::from(wire::encode(Message::Answer(answer)));
        match bytes {
            AnswerBody::Kept(bytes) => frame.bytes.extend_from_slice(bytes),
            AnswerBody::Body(body) => frame.body = Some(body),
            AnswerBody::None => {}
        }
        (frame.write_deadline, frame._held) =
            (until, Some(CountGuard::new(&self.context.counters.unwritten_answers)));
        self.write(session, number, frame, true);
    }

    /// What the dispatcher says of a call; each has one answer.
    fn finished(&self, call: Call, ending: TxnOutcome, body: Option<Body>, until: Option<Time>) {
        let Some(once) = self.calls.borrow_mut().remove(&call) else { return };
        let kept = body.iter().filter(|_| once).flat_map(Body::chunks).flatten().copied().collect();
        let answer = Arc::new(Answer { outcome: ending, body: kept });
        let to = self.core.borrow_mut().finished(self.context.clock.now(), call, &answer);
        if let Some((session, number)) = to {
            let bytes = body.map_or(AnswerBody::None, AnswerBody::Body);
            self.send_answer(session, number, ending, bytes, until);
        }
        self.run_actions();
    }

    async fn accept(self: Rc<Self>, endpoint: Endpoint) {
        while let Some(incoming) = endpoint.accept().await {
            if self.sessions.borrow().len() >= 2 * self.settings.limits.sessions {
                self.context.counters.add("far connections over the bound");
                incoming.refuse();
                continue;
            }
            self.next_id.set(self.next_id.get() + 1);
            let (door, session) = (Rc::clone(&self), self.next_id.get());
            self.context.tasks.spawn(async move { door.serve(session, incoming).await }).detach();
        }
    }

    async fn serve(self: Rc<Self>, session: SessionId, incoming: Incoming) {
        let clock = self.context.clock;
        let begun = async {
            let connection = incoming.await.map_err(|e| e.to_string())?;
            let (send, mut recv) = connection.accept_bi().await.map_err(|e| e.to_string())?;
            match quic::read(&mut recv).await.map_err(|e| e.to_string())? {
                Message::Hello(hello) => Ok((connection, send, recv, hello)),
                _ => Err("its first word is no hello".to_owned()),
            }
        };
        let (connection, mut send, mut recv, hello) = match clock.timeout(HELLO_TIMEOUT, begun).await {
            Some(Ok(begun)) => begun,
            other => {
                let why = other
                    .map_or("it says nothing".to_owned(), |e: Result<_, String>| e.err().unwrap_or_default());
                self.context.counters.add("far gateways turned away");
                log::warn!("a gateway of another site is turned away: {why}");
                return;
            }
        };
        // Signs of life and answers to questions go before all else.
        _ = send.set_priority(CONTROL_PRIORITY);
        let (control, frames) = async_channel::unbounded();
        let of = Rc::new(Session { connection: connection.clone(), control, welcomed: Cell::new(false) });
        self.sessions.borrow_mut().insert(session, Rc::clone(&of));
        let proven = quic::certifies_site(&connection, &hello.site);
        self.with_core(|core, now| core.hello(now, session, &hello, proven));
        let write = async {
            write_frames(clock, &mut send, &frames).await;
            "it can't be written to".to_owned()
        };
        let read = async {
            loop {
                match quic::read(&mut recv).await {
                    // A refused one is heard no more; it closes, or is closed.
                    Ok(_) if !of.welcomed.get() => {}
                    Ok(said) => {
                        if !self.handle_message(session, said, None) {
                            self.context.counters.add("far messages that may not be sent");
                            return "it sends what it may not".to_owned();
                        }
                    }
                    Err(quic::ReadError::Closed) => return "the connection ended".to_owned(),
                    Err(why) => {
                        self.context.counters.add("far messages that may not be sent");
                        return why.to_string();
                    }
                }
            }
        };
        let streams = async {
            while let Ok((send, recv)) = connection.accept_bi().await {
                let door = Rc::clone(&self);
                self.context.tasks.spawn(door.stream(session, send, recv)).detach();
            }
            "the connection ended".to_owned()
        };
        let why = future::or(future::or(write, read), streams).await;
        log::info!("{} of {} has gone: {why}", hello.gateway, hello.site);
        quic::close(&connection, &why);
        self.sessions.borrow_mut().remove(&session);
        self.replies.borrow_mut().retain(|(of, _), _| *of != session);
        self.with_core(|core, _| core.disconnected(session));
    }

    /// A hop's own stream: its request, then what is told of it.
    async fn stream(self: Rc<Self>, session: SessionId, mut send: SendStream, mut recv: RecvStream) {
        let clock = self.context.clock;
        let greeted = || self.sessions.borrow().get(&session).is_some_and(|s| s.welcomed.get());
        let request = match clock.timeout(REQUEST_TIMEOUT, quic::read(&mut recv)).await {
            Some(Ok(Message::Request(request))) if greeted() => request,
            _ => {
                self.context.counters.add("far streams without a request");
                return quic::reset(&mut send);
            }
        };
        let (number, importance) = (request.number, request.importance);
        // It fails only on a stream that has ended.
        _ = send.set_priority(importance as i32);
        let (reply, frames) = async_channel::unbounded();
        self.handle_message(session, Message::Request(request), Some(reply));
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
    fn handle_message(&self, session: SessionId, said: Message, reply: Option<Sender<Frame>>) -> bool {
        match said {
            Message::Request(request) => self.request(session, request, reply),
            Message::StatusQuery(ask) => {
                self.with_core(|core, now| core.query_status(now, session, ask.ledger, &ask.numbers));
            }
            Message::Settle(below) => self.with_core(|core, _| core.settle(session, below)),
            Message::Cancel(number) => {
                self.replies.borrow_mut().remove(&(session, number));
                self.with_core(|core, _| core.cancelled(session, number));
            }
            Message::Ping(number) => {
                let (credit, leaving) = self.core.borrow().pong_state();
                let pong = Message::Pong(wire::Pong { number, credit, leaving });
                self.control(session, wire::encode(pong).into());
            }
            _ => return false,
        }
        true
    }

    fn request(&self, session: SessionId, r: wire::Request, reply: Option<Sender<Frame>>) {
        let (number, now) = (r.number, self.context.clock.now());
        if let Some(reply) = reply {
            self.replies.borrow_mut().insert((session, number), reply);
        }
        let ask = Request {
            request_id: format!("{:016x}", r.trace_id),
            request_number: r.trace_id,
            object_name: format!("{:016x}", r.object),
            object: r.object,
            part: r.part,
            group: r.group as u8,
            timeout_ms: (r.time_left_us / 1_000).clamp(1, u32::MAX.into()) as u32,
            size_kb: r.size_kb,
            client_etag: r.etag,
            idempotency_key: r.idempotency_key,
            body: r.body,
            max_age: r.max_age_us.map(Span::from_micros),
            via: r.path,
        };
        let importance = r.importance as u8;
        let asked = RequestMeta { number, unrepeatable: r.unrepeatable, importance, path: &ask.via };
        let call = self.core.borrow_mut().request(now, session, &asked);
        if let Some(call) = call {
            let pending = Pending { method: r.rule, request: Box::new(ask), received_at: now };
            self.pending.borrow_mut().insert(call, pending);
            self.calls.borrow_mut().insert(call, r.unrepeatable);
        }
        self.run_actions();
    }
}

/// What stands behind an answer.
enum AnswerBody<'a> {
    None,
    Kept(&'a [u8]),
    Body(Body),
}

impl AnswerBody<'_> {
    fn len(&self) -> usize {
        match self {
            AnswerBody::None => 0,
            AnswerBody::Kept(bytes) => bytes.len(),
            AnswerBody::Body(body) => body.len(),
        }
    }
}

impl Responder for AcceptorDriver {
    fn key(&self) -> u64 {
        self.key
    }

    fn serve(&self, id: u64, body: Option<Body>, until: Time) {
        let ending = if body.is_some() { TxnOutcome::Served } else { TxnOutcome::NotModified };
        self.finished(id, ending, body, Some(until));
    }

    fn reject(&self, id: u64, come_back: Option<Span>) {
        self.finished(id, TxnOutcome::Rejected { retry_after: come_back }, None, None);
    }

    fn abort(&self, id: u64) {
        self.finished(id, TxnOutcome::Aborted, None, None);
    }

    fn invalid(&self, id: u64) {
        self.finished(id, TxnOutcome::Invalid, None, None);
    }

    fn ready(&self, _: u64, _: bool) {}
}

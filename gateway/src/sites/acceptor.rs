//! Drives the accepting end of links on sockets: accepts gateways of other sites, decodes their requests
//! into txns for the dispatcher, and writes the answers.
//!
//! Invariant: a request goes to the dispatcher only when the core says so, and is answered only once.

use super::copies::{Copies, GroupEvent};
use super::{Frame, LinkContext, MIN_SLEEP, random_id, write_frames};
use crate::buffers::Body;
use crate::counters::CountGuard;
use crate::dispatch_api::{Event, Rejection, Request, Responder};
use async_channel::{Receiver, Sender};
use event_listener::Event as Wakeup;
use futures_lite::future;
use kelpcart::interface::EarlierAttempt;
use kelpcart::{Span, Time};
use kelpcart_copies::client::{self, RequestError};
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender, TxnKey};
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

/// From the connection to its hello.
const HELLO_TIMEOUT: Span = Span::from_millis(3_000);
/// From the start of a stream to its complete request.
const REQUEST_TIMEOUT: Span = Span::from_millis(10_000);
/// Time for a refused gateway to read the reason before the connection is closed.
const REFUSAL_LINGER: Span = Span::from_millis(200);

/// Above all importances.
const CONTROL_PRIORITY: i32 = 100;

struct Session {
    connection: Connection,
    control: Sender<Frame>,
    welcomed: Cell<bool>,
    /// Whether requests state earlier attempts.
    states_attempts: bool,
}

/// A request that waits for the core's admission.
struct Pending {
    method: String,
    request: Box<Request>,
    received_at: Time,
}

/// What a query to the replicas was for.
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
    /// The ledger's id: new with each start where the ledger is not on disk.
    ledger: u64,
    core: RefCell<Acceptor>,
    writer: Option<Writer>,
    copies: Option<Rc<Copies>>,
    replica_queries: RefCell<BTreeMap<u64, QueryPurpose>>,
    /// Wakes the timer task: the core may need to be polled earlier than `next_wake` said.
    wakeup: Wakeup,
    sessions: RefCell<BTreeMap<SessionId, Rc<Session>>>,
    next_id: Cell<SessionId>,
    pending: RefCell<BTreeMap<Call, Pending>>,
    /// Running calls, and whether each is unrepeatable.
    calls: RefCell<BTreeMap<Call, bool>>,
    /// Streams on which an answer is awaited, by session and number.
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
        let (copies, events) = copies.unzip();
        if copies.is_some() {
            core.enable_replication();
        }
        let (mut ledger, mut writer) = (random_id(), None);
        if let Some(path) = &settings.ledger.file {
            let with_path = |e: &dyn std::fmt::Display| format!("{}: {e}", path.display());
            let (store, recovered) = Store::open(path, ledger).map_err(|e| with_path(&e))?;
            log::info!(
                "the ledger holds {} txns of {} gateways",
                recovered.accepted.len(),
                recovered.floors.len()
            );
            core.recover(context.clock.now(), &recovered.floors, &recovered.accepted);
            ledger = recovered.ledger;
            writer = Some(Writer::start(store).map_err(|e| with_path(&e))?);
        }
        let driver = Rc::new_cyclic(|weak_self| AcceptorDriver {
            context: context.clone(),
            settings: Rc::clone(settings),
            weak_self: weak_self.clone(),
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
        context.tasks.spawn(Rc::clone(&driver).accept(endpoint.clone())).detach();
        context.tasks.spawn(Rc::clone(&driver).run_timer()).detach();
        if driver.writer.is_some() {
            context.tasks.spawn(Rc::clone(&driver).handle_disk_results()).detach();
        }
        if let Some(events) = events {
            context.tasks.spawn(Rc::clone(&driver).handle_replica_events(events)).detach();
        }
        Ok(driver)
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
            let notified = self.wakeup.listen();
            let wake = self.core.borrow().next_wake().max(self.context.clock.now() + MIN_SLEEP);
            self.context.clock.timeout_at(wake, notified).await;
        }
    }

    async fn handle_disk_results(self: Rc<Self>) {
        let Some(writer) = &self.writer else { return };
        while let Ok((seq, written)) = writer.done.recv().await {
            self.with_core(
                |core, now| if written { core.persisted(now, seq) } else { core.persist_failed(now, seq) },
            );
        }
    }

    /// Handles events from the replicas.
    async fn handle_replica_events(self: Rc<Self>, events: Receiver<GroupEvent>) {
        while let Ok(event) = events.recv().await {
            match event {
                GroupEvent::LedgerChanged(group, ledger) => {
                    let Some(copies) = &self.copies else { return };
                    self.with_core(|core, now| {
                        core.replica_ledger_changed(now, ledger, |sender| copies.group_of(sender) == group)
                    });
                }
                GroupEvent::Response(query, result) => self.handle_replica_answer(query, result),
            }
            self.wakeup.notify(1);
        }
    }

    fn handle_replica_answer(&self, query: u64, result: Result<CommandResult, RequestError>) {
        let Some(purpose) = self.replica_queries.borrow_mut().remove(&query) else { return };
        match purpose {
            QueryPurpose::RegisterSender(session, group) => {
                let registered = result == Ok(CommandResult::Registered(true));
                let ledger = self.copies.as_ref().and_then(|c| c.ledger(group)).filter(|_| registered);
                self.with_core(|core, now| core.sender_registered(now, session, ledger));
            }
            QueryPurpose::ReplicateAccept(call, asked_at) => {
                let now = self.context.clock.now();
                let accept_result = client::accept_result(result, asked_at, now, self.lease());
                if accept_result == AcceptResult::NotAccepted {
                    self.context.counters.add("far requests told off for want of copies");
                }
                self.with_core(|core, now| core.accept_replicated(now, call, accept_result));
            }
            QueryPurpose::ReplicateOutcome(Some(call)) => {
                let recorded = result == Ok(CommandResult::Recorded);
                self.with_core(|core, now| core.outcome_replicated(now, call, recorded));
            }
            QueryPurpose::QueryReplicas(session, hop) => {
                let status = client::lookup_result(result);
                self.with_core(|core, now| core.replica_status(now, session, hop, status));
            }
            QueryPurpose::ReplicateOutcome(None) | QueryPurpose::ReplicateSettle => {}
        }
    }

    /// How long after its request a gateway may act on its permission to run a txn.
    fn lease(&self) -> Span {
        self.copies.as_ref().map_or(Span::ZERO, |copies| copies.accept_lease())
    }

    fn query_replicas(
        &self,
        sender: u64,
        importance: u8,
        command: Operation,
        purpose: impl FnOnce(u32) -> QueryPurpose,
    ) {
        let Some(copies) = &self.copies else { return };
        let group = copies.group_of(sender);
        let query = copies.submit(group, importance, command);
        self.replica_queries.borrow_mut().insert(query, purpose(group));
        copies.flush();
    }

    /// Passes an event to the core and carries out the resulting actions.
    fn with_core<T>(&self, event: impl FnOnce(&mut Acceptor, Time) -> T) -> T {
        let result = event(&mut self.core.borrow_mut(), self.context.clock.now());
        self.run_actions();
        result
    }

    fn run_actions(&self) {
        loop {
            let now = self.context.clock.now();
            let Some(action) = self.core.borrow_mut().poll(now) else { return };
            match action {
                SessionAction::AcceptSession { session, credit, leaving, ledger } => {
                    let (site, gateway) = (self.settings.site.clone(), self.settings.gateway.clone());
                    let (version, ledger) = (wire::VERSION, ledger.unwrap_or(self.ledger));
                    let knows_past_ledgers = self.copies.is_some();
                    let welcome = wire::Welcome {
                        version,
                        site,
                        gateway,
                        ledger,
                        credit,
                        leaving,
                        knows_past_ledgers,
                        clock_us: Some(now.as_micros()),
                    };
                    if let Some(entry) = self.sessions.borrow().get(&session) {
                        entry.welcomed.set(true);
                    }
                    self.context.counters.add("far gateways taken in");
                    self.control(session, wire::encode(Message::Welcome(welcome)).into());
                }
                SessionAction::RefuseSession { session, reason } => {
                    log::warn!("refused a gateway of another site: {reason}");
                    self.context.counters.add("far gateways turned away");
                    let refusal = wire::Refusal { version: wire::VERSION, reason: reason.clone() };
                    self.control(session, wire::encode(Message::Refusal(refusal)).into());
                    if let Some(entry) = self.sessions.borrow().get(&session) {
                        let (connection, clock) = (entry.connection.clone(), self.context.clock);
                        let close = async move {
                            clock.sleep(REFUSAL_LINGER).await;
                            quic::close(&connection, &reason);
                        };
                        self.context.tasks.spawn(close).detach();
                    }
                }
                SessionAction::Run { call, session, number } => self.run(call, session, number),
                SessionAction::AlreadyRunning { session, number } => {
                    self.send_message(session, number, Message::Accepted(number), false)
                }
                SessionAction::SendAnswer { session, number, answer } => {
                    self.send_answer(session, number, answer.outcome, AnswerBody::Stored(&answer.body), None);
                }
                SessionAction::RefuseHop { session, number, reason } => {
                    self.context.counters.add(match reason {
                        RefusalReason::Full => "far requests turned away for room",
                        RefusalReason::Fenced => "far requests that came after they were called never taken",
                        RefusalReason::Loop => "far requests that went round",
                        RefusalReason::Leaving => "far requests at the stop",
                        RefusalReason::Forgotten => "far requests not known any more",
                    });
                    let code = if reason == RefusalReason::Forgotten {
                        AnswerCode::Forgotten
                    } else {
                        AnswerCode::Refused
                    };
                    self.send_message(
                        session,
                        number,
                        Message::Answer(wire::Answer::refused(number, code)),
                        true,
                    );
                }
                SessionAction::SendStatus { session, number, status } => {
                    let reply = wire::StatusReply { number, status: status as i32 };
                    self.control(session, wire::encode(Message::StatusReply(reply)).into());
                }
                SessionAction::Discard { call } => {
                    self.pending.borrow_mut().remove(&call);
                    self.calls.borrow_mut().remove(&call);
                }
                SessionAction::Cancel { call } => {
                    self.calls.borrow_mut().remove(&call);
                    // Fails only when the dispatcher has ended, and with it the process.
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
                SessionAction::RegisterSender { session, sender, next_number } => {
                    let command = Operation::RegisterSender(RegisterSender { sender, next_number });
                    self.query_replicas(sender, 9, command, |group| {
                        QueryPurpose::RegisterSender(session, group)
                    });
                }
                SessionAction::ReplicateAccept { call, key, importance } => {
                    self.query_replicas(key.sender, importance, Operation::accept(key), |_| {
                        QueryPurpose::ReplicateAccept(call, now)
                    });
                }
                SessionAction::ReplicateOutcome { call, key, answer, ledger } => {
                    let max_bytes = self.copies.as_ref().map_or(0, |copies| copies.max_answer_bytes());
                    let command = if answer.body.len() > max_bytes {
                        self.context.counters.add("far answers too long to be kept");
                        Operation::end(
                            key,
                            &Answer { outcome: TxnOutcome::Aborted, body: Vec::new() },
                            ledger,
                        )
                    } else {
                        Operation::end(key, &answer, ledger)
                    };
                    self.query_replicas(key.sender, 9, command, |_| QueryPurpose::ReplicateOutcome(call));
                }
                SessionAction::QueryReplicas { session, key, ledger } => {
                    self.query_replicas(key.sender, 9, Operation::query(key, ledger), |_| {
                        QueryPurpose::QueryReplicas(session, (key, ledger))
                    });
                }
                SessionAction::ReplicateSettle { sender, below } => {
                    let command = Operation::Settle(TxnKey { sender, number: below });
                    self.query_replicas(sender, 0, command, |_| QueryPurpose::ReplicateSettle);
                }
                SessionAction::Persist { seq, changes } => {
                    let written = self.writer.as_ref().is_some_and(|w| w.write(seq, changes));
                    if !written {
                        self.core.borrow_mut().persist_failed(now, seq);
                    }
                }
            }
        }
    }

    fn run(&self, call: Call, session: Option<SessionId>, number: u64) {
        let Some(Pending { method, request, received_at: at }) = self.pending.borrow_mut().remove(&call)
        else {
            return;
        };
        if let Some(session) = session {
            self.send_message(session, number, Message::Accepted(number), false);
        }
        let Some(client) = self.weak_self.upgrade() else { return };
        self.context.counters.add("far requests");
        // Fails only when the dispatcher has ended, and with it the process.
        _ = self.context.dispatcher.try_send(Event::Request {
            responder: client,
            id: call,
            method,
            request,
            received_at: at,
        });
    }

    fn control(&self, session: SessionId, frame: Frame) {
        if let Some(entry) = self.sessions.borrow().get(&session) {
            // Fails only when the connection is gone.
            _ = entry.control.try_send(frame);
        }
    }

    /// Sends a message about a number on its own stream, or else on the session's control stream.
    fn send_message(&self, session: SessionId, number: u64, message: Message, last: bool) {
        self.write(session, number, wire::encode(message).into(), last);
    }

    fn write(&self, session: SessionId, number: u64, frame: Frame, last: bool) {
        let mut replies = self.replies.borrow_mut();
        let Some(reply) = replies.get(&(session, number)) else {
            drop(replies);
            return self.control(session, frame);
        };
        // Fails only when the stream is gone.
        _ = reply.try_send(frame);
        if last {
            replies.remove(&(session, number));
        }
    }

    fn send_answer(
        &self,
        session: SessionId,
        number: u64,
        outcome: TxnOutcome,
        bytes: AnswerBody,
        write_deadline: Option<Time>,
    ) {
        let answer = wire::Answer::new(number, outcome, bytes.len());
        let mut frame = Frame::from(wire::encode(Message::Answer(answer)));
        match bytes {
            AnswerBody::Stored(bytes) => frame.bytes.extend_from_slice(bytes),
            AnswerBody::Body(body) => frame.body = Some(body),
            AnswerBody::None => {}
        }
        (frame.write_deadline, frame._held) =
            (write_deadline, Some(CountGuard::new(&self.context.counters.unwritten_answers)));
        self.write(session, number, frame, true);
    }

    /// The dispatcher's result for a call; there is exactly one.
    fn finished(&self, call: Call, outcome: TxnOutcome, body: Option<Body>, write_deadline: Option<Time>) {
        let Some(unrepeatable) = self.calls.borrow_mut().remove(&call) else { return };
        let stored = body.iter().filter(|_| unrepeatable).flat_map(Body::chunks).flatten().copied().collect();
        let answer = Arc::new(Answer { outcome, body: stored });
        let to = self.core.borrow_mut().finished(self.context.clock.now(), call, &answer);
        if let Some((session, number)) = to {
            let bytes = body.map_or(AnswerBody::None, AnswerBody::Body);
            self.send_answer(session, number, outcome, bytes, write_deadline);
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
            let (driver, session) = (Rc::clone(&self), self.next_id.get());
            self.context.tasks.spawn(async move { driver.serve(session, incoming).await }).detach();
        }
    }

    async fn serve(self: Rc<Self>, session: SessionId, incoming: Incoming) {
        let clock = self.context.clock;
        let handshake = async {
            let connection = incoming.await.map_err(|e| e.to_string())?;
            let (send, mut recv) = connection.accept_bi().await.map_err(|e| e.to_string())?;
            match quic::read(&mut recv).await.map_err(|e| e.to_string())? {
                Message::Hello(hello) => Ok((connection, send, recv, hello)),
                _ => Err("the first message is not a hello".to_owned()),
            }
        };
        let (connection, mut send, mut recv, hello) = match clock.timeout(HELLO_TIMEOUT, handshake).await {
            Some(Ok(handshake)) => handshake,
            other => {
                let reason = other
                    .map_or("no hello within the time-out".to_owned(), |e: Result<_, String>| {
                        e.err().unwrap_or_default()
                    });
                self.context.counters.add("far gateways turned away");
                log::warn!("refused a gateway of another site: {reason}");
                return;
            }
        };
        // Pings and status replies go before everything else.
        _ = send.set_priority(CONTROL_PRIORITY);
        let (control, frames) = async_channel::unbounded();
        if !hello.states_attempts {
            log::warn!(
                "{} of {} is of an earlier release: keyed txns are rejected",
                hello.gateway,
                hello.site
            );
        }
        let entry = Rc::new(Session {
            connection: connection.clone(),
            control,
            welcomed: Cell::new(false),
            states_attempts: hello.states_attempts,
        });
        self.sessions.borrow_mut().insert(session, Rc::clone(&entry));
        let proven = quic::certifies_site(&connection, &hello.site);
        self.with_core(|core, now| core.hello(now, session, &hello, proven));
        let write = async {
            write_frames(clock, &mut send, &frames).await;
            // Sent as the reason of the QUIC close: the texts stay as earlier releases send them.
            "it can't be written to".to_owned()
        };
        let read = async {
            loop {
                match quic::read(&mut recv).await {
                    // Messages of a refused session are ignored until either end closes the connection.
                    Ok(_) if !entry.welcomed.get() => {}
                    Ok(message) => {
                        if !self.handle_message(session, message, None) {
                            self.context.counters.add("far messages that may not be sent");
                            return "it sends what it may not".to_owned();
                        }
                    }
                    Err(quic::ReadError::Closed) => return "the connection ended".to_owned(),
                    Err(reason) => {
                        self.context.counters.add("far messages that may not be sent");
                        return reason.to_string();
                    }
                }
            }
        };
        let streams = async {
            while let Ok((send, recv)) = connection.accept_bi().await {
                let driver = Rc::clone(&self);
                self.context.tasks.spawn(driver.stream(session, send, recv)).detach();
            }
            "the connection ended".to_owned()
        };
        let reason = future::or(future::or(write, read), streams).await;
        log::info!("{} of {} disconnected: {reason}", hello.gateway, hello.site);
        quic::close(&connection, &reason);
        self.sessions.borrow_mut().remove(&session);
        self.replies.borrow_mut().retain(|(id, _), _| *id != session);
        self.with_core(|core, _| core.disconnected(session));
    }

    /// A hop's own stream: reads its request, then writes the replies.
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
        // Fails only on a stream that has ended.
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

    /// Returns `false` for a message that an initiator may not send.
    fn handle_message(&self, session: SessionId, message: Message, reply: Option<Sender<Frame>>) -> bool {
        match message {
            Message::Request(request) => self.request(session, request, reply),
            Message::StatusQuery(query) => {
                self.with_core(|core, now| core.query_status(now, session, query.ledger, &query.numbers));
            }
            Message::Settle(below) => self.with_core(|core, _| core.settle(session, below)),
            Message::Cancel(number) => {
                self.replies.borrow_mut().remove(&(session, number));
                self.with_core(|core, _| core.cancelled(session, number));
            }
            Message::Ping(number) => {
                let (credit, leaving) = self.core.borrow().pong_state();
                let clock_us = Some(self.context.clock.now().as_micros());
                let pong = Message::Pong(wire::Pong { number, credit, leaving, clock_us });
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
        let states_attempts = self.sessions.borrow().get(&session).is_some_and(|s| s.states_attempts);
        let earlier_attempt = match r.first_attempt_us {
            Some(sent_at) => EarlierAttempt::SentAt(Time::from_micros(sent_at)),
            None if states_attempts => EarlierAttempt::None,
            None => EarlierAttempt::Unknown,
        };
        let request = Request {
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
            earlier_attempt,
            start_by: r.start_by_us.map(Time::from_micros),
        };
        let importance = r.importance as u8;
        let meta = RequestMeta { number, unrepeatable: r.unrepeatable, importance, path: &request.via };
        let call = self.core.borrow_mut().request(now, session, &meta);
        if let Some(call) = call {
            let pending = Pending { method: r.rule, request: Box::new(request), received_at: now };
            self.pending.borrow_mut().insert(call, pending);
            self.calls.borrow_mut().insert(call, r.unrepeatable);
        }
        self.run_actions();
    }
}

/// The body that follows an answer.
enum AnswerBody<'a> {
    None,
    Stored(&'a [u8]),
    Body(Body),
}

impl AnswerBody<'_> {
    fn len(&self) -> usize {
        match self {
            AnswerBody::None => 0,
            AnswerBody::Stored(bytes) => bytes.len(),
            AnswerBody::Body(body) => body.len(),
        }
    }
}

impl Responder for AcceptorDriver {
    fn key(&self) -> u64 {
        self.key
    }

    fn serve(&self, id: u64, body: Option<Body>, write_deadline: Time) {
        let outcome = if body.is_some() { TxnOutcome::Served } else { TxnOutcome::NotModified };
        self.finished(id, outcome, body, Some(write_deadline));
    }

    fn reject(&self, id: u64, rejection: Rejection) {
        let Rejection { retry_after, may_have_run } = rejection;
        self.finished(id, TxnOutcome::Rejected { retry_after, may_have_run }, None, None);
    }

    fn abort(&self, id: u64) {
        self.finished(id, TxnOutcome::Aborted, None, None);
    }

    fn invalid(&self, id: u64) {
        self.finished(id, TxnOutcome::Invalid, None, None);
    }

    fn ready(&self, _: u64, _: bool) {}
}

//! Drives the initiating end of links on sockets: connects, writes requests, reads answers and passes
//! events to the core.
//!
//! Invariant: a hop is finished only by the core, and only once.

use super::{Frame, LinkContext, MIN_SLEEP, random_id, write_frames};
use crate::connection_end::ConnectionEnd as Ends;
use crate::dispatch_api::{Event, HopRequest, HopResult};
use async_channel::Sender;
use async_executor::Task;
use event_listener::Event as Wakeup;
use futures_lite::future;
use kelpcart::interface::MemberId;
use kelpcart::{Span, Time};
use kelpcart_sites::initiator::{AcceptorAttempts, HopOutcome, HopSpec, Initiator, LinkAction};
use kelpcart_sites::link::Welcome;
use kelpcart_sites::quic::{self, Connection, Endpoint, RecvStream};
use kelpcart_sites::settings::{Carrier, Sites};
use kelpcart_sites::wire::{self, AnswerCode, Message, TxnStatus};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone)]
struct OpenConnection {
    connection: Connection,
    control: Sender<Frame>,
}

/// A link's connection. The generation is increased when a connection is closed, so that messages of an
/// earlier one can be ignored.
#[derive(Default)]
struct Link {
    generation: u64,
    open: Option<OpenConnection>,
    /// Last connection error, so that a repeated one is not logged again.
    last_error: Option<String>,
}

/// A hop held by the core.
struct PendingHop {
    job: HopRequest,
    reply: Sender<HopResult>,
    result: Option<HopResult>,
    /// Time from sending the request to its acceptance.
    accept_time: Option<Span>,
    /// Runs the exchange on the hop's stream.
    task: Option<Task<()>>,
}

pub struct InitiatorDriver {
    context: LinkContext,
    settings: Rc<Sites>,
    endpoint: Endpoint,
    keys: Rc<RefCell<quic::Keys>>,
    members: BTreeMap<MemberId, usize>,
    /// Identifies this start of the process to acceptors.
    run_id: u64,
    core: RefCell<Initiator>,
    links: RefCell<Vec<Link>>,
    pending: RefCell<BTreeMap<u64, PendingHop>>,
    wakeup: Wakeup,
}

/// Cancels the hop when its future is dropped.
struct CancelOnDrop {
    driver: Rc<InitiatorDriver>,
    number: u64,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        if self.driver.pending.borrow_mut().remove(&self.number).is_some() {
            self.driver.with_core(|core, now| core.cancelled(now, self.number));
        }
    }
}

impl InitiatorDriver {
    pub fn start(
        context: &LinkContext,
        settings: &Rc<Sites>,
        members: BTreeMap<MemberId, usize>,
        endpoint: &Endpoint,
        keys: &Rc<RefCell<quic::Keys>>,
    ) -> Rc<InitiatorDriver> {
        let run_id = random_id();
        let driver = Rc::new(InitiatorDriver {
            context: context.clone(),
            settings: Rc::clone(settings),
            endpoint: endpoint.clone(),
            keys: Rc::clone(keys),
            members,
            run_id,
            core: RefCell::new(Initiator::new(settings, run_id, context.clock.now())),
            links: RefCell::new(settings.peers.iter().map(|_| Link::default()).collect()),
            pending: RefCell::default(),
            wakeup: Wakeup::new(),
        });
        if !settings.peers.is_empty() {
            context.tasks.spawn(Rc::clone(&driver).run_timer()).detach();
        }
        driver
    }

    pub fn reaches(&self, member: &MemberId) -> bool {
        self.members.contains_key(member)
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        self.core.borrow().sizes().to_vec()
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            self.run_actions();
            let notified = self.wakeup.listen();
            // A minimum sleep leaves time to other tasks of the process, whatever the core asks for.
            let wake = self.core.borrow().next_wake().max(self.context.clock.now() + MIN_SLEEP);
            _ = self.context.clock.timeout_at(wake, notified).await;
        }
    }

    /// Passes an event to the core and carries out the resulting actions.
    fn with_core<T>(self: &Rc<Self>, event: impl FnOnce(&mut Initiator, Time) -> T) -> T {
        let result = event(&mut self.core.borrow_mut(), self.context.clock.now());
        self.run_actions();
        self.wakeup.notify(1);
        result
    }

    pub async fn hop(self: Rc<Self>, job: HopRequest) -> HopResult {
        let Some(&link) = self.members.get(&job.member) else { return Ends::FarDown.into() };
        let (reply, result) = async_channel::bounded(1);
        let spec = HopSpec {
            importance: self.settings.importance(&job.rule),
            unrepeatable: job.unrepeatable,
            size_kb: job.request.size_kb.filter(|_| !job.is_write),
            body_bytes: if job.is_write { job.request.body.len() } else { 0 },
            deadline: job.times.deadline,
            sla_deadline: job.times.sla_deadline,
            first_attempt: job.times.first_attempt,
            start_by: job.times.start_by,
            path: &job.request.via,
        };
        let number = self.core.borrow_mut().submit(self.context.clock.now(), link, &spec);
        self.pending
            .borrow_mut()
            .insert(number, PendingHop { job, reply, result: None, accept_time: None, task: None });
        let _guard = CancelOnDrop { driver: Rc::clone(&self), number };
        self.with_core(|_, _| ());
        // The sender is dropped only after a result was sent, or with the guard.
        let mut hop_result = result.recv().await.unwrap_or_else(|_| Ends::FarLost.into());
        hop_result.finished_at = Some(self.context.clock.now());
        self.context.counters.record_end(hop_result.end);
        hop_result
    }

    fn run_actions(self: &Rc<Self>) {
        loop {
            let now = self.context.clock.now();
            let Some(action) = self.core.borrow_mut().poll(now) else { return };
            match action {
                LinkAction::Dial { link } => {
                    let generation = self.links.borrow()[link].generation;
                    self.context.tasks.spawn(Rc::clone(self).dial(link, generation)).detach();
                }
                LinkAction::Disconnect { link } => self.close(link, "silent"),
                LinkAction::Send { link, number, time_left, attempts } => {
                    self.send_request(link, number, time_left, attempts);
                }
                LinkAction::Cancel { link, number } => self.send_message(link, Message::Cancel(number)),
                LinkAction::QueryStatus { link, ledger, numbers } => {
                    self.context.counters.add("questions about hops in doubt");
                    self.send_message(link, Message::StatusQuery(wire::StatusQuery { numbers, ledger }));
                }
                LinkAction::Ping { link, number } => self.send_message(link, Message::Ping(number)),
                LinkAction::LinkUp { link } => {
                    for (member, _) in self.members.iter().filter(|(_, of)| **of == link) {
                        // Fails only when the dispatcher has ended, and with it the process.
                        _ = self.context.dispatcher.try_send(Event::MemberAlive { member: member.clone() });
                    }
                }
                LinkAction::Settle { link, below } => self.send_message(link, Message::Settle(below)),
                LinkAction::Finished { number, outcome } => self.finish(number, outcome),
            }
        }
    }

    fn send_message(&self, link: usize, message: Message) {
        if let Some(open) = &self.links.borrow()[link].open {
            // Fails only when the connection is gone, which the core learns separately.
            _ = open.control.try_send(wire::encode(message).into());
        }
    }

    fn close(&self, link: usize, reason: &str) {
        let mut links = self.links.borrow_mut();
        links[link].generation += 1;
        if let Some(open) = links[link].open.take() {
            quic::close(&open.connection, reason);
            self.context.counters.add("links broken");
            log::warn!("link to {} closed: {reason}", self.settings.peers[link].name);
        }
    }

    fn finish(&self, number: u64, outcome: HopOutcome) {
        let Some(hop) = self.pending.borrow_mut().remove(&number) else { return };
        let mut hop_result = match outcome {
            HopOutcome::Answered => hop.result.unwrap_or_else(|| Ends::FarLost.into()),
            HopOutcome::Down => Ends::FarDown.into(),
            HopOutcome::Full => Ends::FarFull.into(),
            HopOutcome::Loop => Ends::FarLoop.into(),
            HopOutcome::Outdated => Ends::FarOutdated.into(),
            HopOutcome::Refused => Ends::FarTurned.into(),
            HopOutcome::NeverAccepted => Ends::FarNever.into(),
            HopOutcome::Lost => Ends::FarLost.into(),
            HopOutcome::TimedOut => Ends::Late.into(),
        };
        hop_result.first_byte_wait = hop.accept_time;
        _ = hop.reply.try_send(hop_result);
    }

    fn send_request(self: &Rc<Self>, link: usize, number: u64, time_left: Span, attempts: AcceptorAttempts) {
        let open = self.links.borrow()[link].open.clone();
        let mut pending = self.pending.borrow_mut();
        let Some(hop) = pending.get_mut(&number) else { return };
        let Some(open) = open else {
            drop(pending);
            return self.core.borrow_mut().send_failed(self.context.clock.now(), number);
        };
        let request = self.request(&hop.job, number, time_left, attempts);
        let importance = request.importance;
        let bytes = wire::encode(Message::Request(request));
        if self.settings.carrier == Carrier::OneStream {
            _ = open.control.try_send(bytes.into());
            return;
        }
        let work = Rc::clone(self).exchange(open, link, number, bytes, importance);
        hop.task = Some(self.context.tasks.spawn(work));
    }

    fn request(
        &self,
        job: &HopRequest,
        number: u64,
        time_left: Span,
        attempts: AcceptorAttempts,
    ) -> wire::Request {
        let request = &job.request;
        let mut path = request.via.clone();
        path.push(self.settings.site.clone());
        wire::Request {
            number,
            rule: job.rule.to_string(),
            trace_id: request.request_number,
            object: request.object,
            part: request.part,
            group: request.group.into(),
            size_kb: request.size_kb,
            etag: request.client_etag.clone().filter(|_| !job.is_write),
            body: if job.is_write { request.body.clone() } else { Vec::new() },
            time_left_us: time_left.as_micros(),
            max_age_us: job.fill.as_ref().and_then(|f| f.max_age).map(Span::as_micros),
            path,
            unrepeatable: job.unrepeatable,
            idempotency_key: request.idempotency_key.clone(),
            importance: self.settings.importance(&job.rule).into(),
            first_attempt_us: attempts.first_attempt.map(Time::as_micros),
            start_by_us: attempts.start_by.map(Time::as_micros),
        }
    }

    /// Runs one hop on its own stream.
    async fn exchange(
        self: Rc<Self>,
        open: OpenConnection,
        link: usize,
        number: u64,
        bytes: Vec<u8>,
        importance: u32,
    ) {
        let Ok((mut send, mut recv)) = open.connection.open_bi().await else {
            return self.with_core(|core, now| core.send_failed(now, number));
        };
        // Fails only on a stream that has ended.
        _ = send.set_priority(importance as i32);
        if quic::write(&mut send, &bytes).await.is_err() {
            quic::reset(&mut send);
            return self.with_core(|core, now| core.send_failed(now, number));
        }
        // Everything is queued for sending: whatever this returns, the acceptor may receive the whole
        // request.
        _ = send.finish();
        loop {
            match quic::read(&mut recv).await {
                Ok(message) => {
                    if !self.handle_message(link, message, &mut recv).await {
                        return self.with_core(|core, now| core.stream_lost(now, number));
                    }
                    if !self.pending.borrow().contains_key(&number) {
                        return;
                    }
                }
                Err(reason) => {
                    log::debug!("hop stream ended: {reason}");
                    return self.with_core(|core, now| core.stream_lost(now, number));
                }
            }
        }
    }

    /// Handles a message, including the body that follows an answer. Returns `false` if the stream can't be
    /// read any further.
    async fn handle_message(self: &Rc<Self>, link: usize, message: Message, recv: &mut RecvStream) -> bool {
        match message {
            Message::Accepted(number) => {
                let accept_time = self.with_core(|core, now| core.accepted(now, number));
                if let Some(hop) = self.pending.borrow_mut().get_mut(&number) {
                    hop.accept_time = hop.accept_time.or(accept_time);
                }
            }
            Message::Answer(answer) => return self.read_answer(link, &answer, recv).await,
            Message::StatusReply(reply) => {
                let status = TxnStatus::try_from(reply.status).unwrap_or(TxnStatus::Unknown);
                self.context.counters.add(match status {
                    TxnStatus::NeverAccepted => "hops in doubt that never ran",
                    TxnStatus::Running => "hops in doubt that run",
                    TxnStatus::Unknown => "hops in doubt not known any more",
                });
                self.with_core(|core, now| core.status_received(now, link, reply.number, status));
            }
            Message::Pong(pong) => {
                self.with_core(|core, now| core.pong_received(now, link, &pong));
            }
            Message::Ledger(ledger) => self.with_core(|core, now| core.ledger_changed(now, link, ledger)),
            Message::Leaving(_) => {
                log::info!("{} is leaving and accepts no more txns", self.settings.peers[link].name);
                self.with_core(|core, now| core.peer_leaving(now, link));
            }
            _ => return false,
        }
        true
    }

    async fn read_answer(self: &Rc<Self>, link: usize, answer: &wire::Answer, recv: &mut RecvStream) -> bool {
        let code = AnswerCode::try_from(answer.code).unwrap_or(AnswerCode::Unspecified);
        let refused =
            |core: &mut Initiator, now: Time, outcome| core.refused(now, link, answer.number, outcome);
        let outcome = match code {
            AnswerCode::Refused => {
                self.with_core(|core, now| refused(core, now, HopOutcome::Refused));
                return true;
            }
            AnswerCode::Forgotten => {
                self.with_core(|core, now| refused(core, now, HopOutcome::Lost));
                return true;
            }
            AnswerCode::Served => Ends::Whole,
            AnswerCode::NotModified => Ends::Current,
            AnswerCode::Rejected if answer.not_run => Ends::FarRejected,
            AnswerCode::Rejected => Ends::FarGaveUp,
            AnswerCode::Invalid => Ends::FarInvalid,
            AnswerCode::Aborted | AnswerCode::Unspecified => Ends::FarAborted,
        };
        let (mut body, mut local_wait) = (None, Span::ZERO);
        if code == AnswerCode::Served {
            let length = answer.body_len as usize;
            let awaited = self.pending.borrow().contains_key(&answer.number);
            if !awaited {
                return discard(recv, length).await;
            }
            let before = self.context.clock.now();
            body = self.context.pool.allocate(length).await;
            local_wait = self.context.clock.now() - before;
            let Some(body) = &mut body else {
                self.with_core(|core, now| refused(core, now, HopOutcome::Lost));
                return discard(recv, length).await;
            };
            while !body.is_full() {
                match recv.read(body.unfilled()).await {
                    Ok(Some(n)) if n > 0 => {
                        body.advance(n);
                        let now = self.context.clock.now();
                        self.core.borrow_mut().answer_bytes_received(now, link, answer.number, n as f64);
                    }
                    _ => return false,
                }
            }
        }
        if let Some(hop) = self.pending.borrow_mut().get_mut(&answer.number) {
            hop.result = Some(HopResult { body, local_wait, ..HopResult::from(outcome) });
        }
        let bytes = f64::from(answer.body_len);
        self.with_core(|core, now| core.answered(now, link, answer.number, bytes));
        true
    }

    /// Connects, performs the handshake, and reads messages until the connection ends.
    async fn dial(self: Rc<Self>, link: usize, generation: u64) {
        let reason = match self.connect(link, generation).await {
            Ok(reason) => reason,
            Err(reason) => {
                let mut links = self.links.borrow_mut();
                if links[link].last_error.as_ref() != Some(&reason) {
                    log::warn!("connecting to {} failed: {reason}", self.settings.peers[link].name);
                    links[link].last_error = Some(reason);
                }
                self.context.counters.add("links not made");
                "not connected".to_owned()
            }
        };
        if self.links.borrow()[link].generation == generation {
            self.close(link, &reason);
            self.with_core(|core, now| core.disconnected(now, link));
        }
    }

    /// Returns why the connection ended, or as an error why it could not be established.
    async fn connect(self: &Rc<Self>, link: usize, generation: u64) -> Result<String, String> {
        let peer = &self.settings.peers[link];
        let keys = self.keys.borrow().clone();
        let connection = self.endpoint.dial(&keys, peer.address, &peer.site).await?;
        let (mut send, mut recv) = connection.open_bi().await.map_err(|e| e.to_string())?;
        // Fails only on a stream that has ended.
        _ = send.set_priority(100);
        let hello = Message::Hello(wire::Hello {
            version: wire::VERSION,
            site: self.settings.site.clone(),
            gateway: self.settings.gateway.clone(),
            run_id: self.run_id,
            next_number: self.core.borrow().next_number(),
            states_attempts: true,
        });
        quic::write(&mut send, &wire::encode(hello)).await.map_err(|e| e.to_string())?;
        let welcome = match quic::read(&mut recv).await.map_err(|e| e.to_string())? {
            Message::Welcome(welcome) => welcome,
            Message::Refusal(refusal) => return Err(format!("refused: {}", refusal.reason)),
            _ => return Err("unexpected reply to the hello".to_owned()),
        };
        if welcome.version != wire::VERSION || welcome.site != peer.site {
            return Err("the peer has another version or site".to_owned());
        }
        let (control, frames) = async_channel::unbounded();
        {
            let mut links = self.links.borrow_mut();
            if links[link].generation != generation {
                return Err("connected after the time-out".to_owned());
            }
            links[link].open = Some(OpenConnection { connection: connection.clone(), control });
            links[link].last_error = None;
        }
        log::info!("link to {} ({}) is up", peer.name, welcome.gateway);
        self.context.counters.add("links made");
        let wire::Welcome { ledger, credit, leaving, knows_past_ledgers, clock_us, .. } = welcome;
        let clock = clock_us.map(Time::from_micros);
        self.with_core(|core, now| {
            core.connected(now, link, &Welcome { ledger, credit, leaving, knows_past_ledgers, clock })
        });
        let clock = self.context.clock;
        let write = async {
            write_frames(clock, &mut send, &frames).await;
            // Sent as the reason of the QUIC close: the texts stay as earlier releases send them.
            "it can't be written to".to_owned()
        };
        let read = async {
            loop {
                match quic::read(&mut recv).await {
                    Ok(message) if self.links.borrow()[link].generation == generation => {
                        if !self.handle_message(link, message, &mut recv).await {
                            return "it sends what it may not".to_owned();
                        }
                    }
                    Ok(_) => return "an earlier connection".to_owned(),
                    Err(reason) => return reason.to_string(),
                }
            }
        };
        let reason = future::or(write, read).await;
        quic::close(&connection, &reason);
        Ok(reason)
    }
}

/// Reads and discards the body of an answer that nobody waits for.
async fn discard(recv: &mut RecvStream, mut length: usize) -> bool {
    let mut bytes = [0; 4 * 1024];
    while length > 0 {
        let most = length.min(bytes.len());
        match recv.read(&mut bytes[..most]).await {
            Ok(Some(n)) if n > 0 => length -= n,
            _ => return false,
        }
    }
    true
}

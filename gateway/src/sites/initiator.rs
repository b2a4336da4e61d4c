//! The near end of links on sockets: dials, writes requests, reads answers and tells the core what happens. Must never
//! end a hop by itself: each ends by the core's word, once.

use super::{Frame, LinkContext, MIN_SLEEP, random_id, write_frames};
use crate::connection_end::ConnectionEnd as Ends;
use crate::dispatch_api::{Event, HopRequest, HopResult};
use async_channel::Sender;
use async_executor::Task;
use event_listener::Event as Wakeup;
use futures_lite::future;
use kelpcart::interface::MemberId;
use kelpcart::{Span, Time};
use kelpcart_sites::initiator::{HopOutcome, HopSpec, Initiator, LinkAction, Welcome};
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

/// A link's connection, and how many it has had: what an earlier one still brings is told apart by that.
#[derive(Default)]
struct Link {
    generation: u64,
    open: Option<OpenConnection>,
    /// Why the last try failed; told once.
    last_error: Option<String>,
}

/// A hop that the core has.
struct PendingHop {
    job: HopRequest,
    reply: Sender<HopResult>,
    result: Option<HopResult>,
    /// From its sending to the far end's word that it was taken.
    accept_time: Option<Span>,
    /// The exchange on its stream.
    task: Option<Task<()>>,
}

pub struct InitiatorDriver {
    context: LinkContext,
    settings: Rc<Sites>,
    endpoint: Endpoint,
    keys: Rc<RefCell<quic::Keys>>,
    members: BTreeMap<MemberId, usize>,
    /// This start of the process, to the far ends.
    run_id: u64,
    core: RefCell<Initiator>,
    links: RefCell<Vec<Link>>,
    pending: RefCell<BTreeMap<u64, PendingHop>>,
    wakeup: Wakeup,
}

/// Gives the hop up when nobody waits for it any more.
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
        let run = random_id();
        let ways = Rc::new(InitiatorDriver {
            context: context.clone(),
            settings: Rc::clone(settings),
            endpoint: endpoint.clone(),
            keys: Rc::clone(keys),
            members,
            run_id: run,
            core: RefCell::new(Initiator::new(settings, run, context.clock.now())),
            links: RefCell::new(settings.peers.iter().map(|_| Link::default()).collect()),
            pending: RefCell::default(),
            wakeup: Wakeup::new(),
        });
        if !settings.peers.is_empty() {
            context.tasks.spawn(Rc::clone(&ways).run_timer()).detach();
        }
        ways
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
            let poked = self.wakeup.listen();
            // Whatever the core asks for, the others of the process have their turn.
            let wake = self.core.borrow().next_wake().max(self.context.clock.now() + MIN_SLEEP);
            _ = self.context.clock.timeout_at(wake, poked).await;
        }
    }

    /// Tells the core something and carries out what it orders then.
    fn with_core<T>(self: &Rc<Self>, what: impl FnOnce(&mut Initiator, Time) -> T) -> T {
        let told = what(&mut self.core.borrow_mut(), self.context.clock.now());
        self.run_actions();
        self.wakeup.notify(1);
        told
    }

    pub async fn hop(self: Rc<Self>, job: HopRequest) -> HopResult {
        let Some(&link) = self.members.get(&job.member) else { return Ends::FarDown.into() };
        let (tell, told) = async_channel::bounded(1);
        let want = HopSpec {
            importance: self.settings.importance(&job.rule),
            unrepeatable: job.unrepeatable,
            size_kb: job.request.size_kb.filter(|_| !job.is_write),
            body_bytes: if job.is_write { job.request.body.len() } else { 0 },
            deadline: job.deadline,
            sla_deadline: job.sla_deadline,
            path: &job.request.via,
        };
        let number = self.core.borrow_mut().submit(self.context.clock.now(), link, &want);
        self.pending
            .borrow_mut()
            .insert(number, PendingHop { job, reply: tell, result: None, accept_time: None, task: None });
        let _guard = CancelOnDrop { driver: Rc::clone(&self), number };
        self.with_core(|_, _| ());
        // The sender goes only with its word or with the guard.
        let mut ended = told.recv().await.unwrap_or_else(|_| Ends::FarLost.into());
        ended.finished_at = Some(self.context.clock.now());
        self.context.counters.record_end(ended.end);
        ended
    }

    fn run_actions(self: &Rc<Self>) {
        loop {
            let now = self.context.clock.now();
            let Some(act) = self.core.borrow_mut().poll(now) else { return };
            match act {
                LinkAction::Dial { link } => {
                    let generation = self.links.borrow()[link].generation;
                    self.context.tasks.spawn(Rc::clone(self).dial(link, generation)).detach();
                }
                LinkAction::Disconnect { link } => self.close(link, "silent"),
                LinkAction::Send { link, number, time_left: left } => self.send_request(link, number, left),
                LinkAction::Cancel { link, number } => self.send_message(link, Message::Cancel(number)),
                LinkAction::QueryStatus { link, ledger, numbers } => {
                    self.context.counters.add("questions about hops in doubt");
                    self.send_message(link, Message::StatusQuery(wire::StatusQuery { numbers, ledger }));
                }
                LinkAction::Ping { link, number } => self.send_message(link, Message::Ping(number)),
                LinkAction::LinkUp { link } => {
                    for (member, _) in self.members.iter().filter(|(_, of)| **of == link) {
                        // It fails only when the dispatcher has ended, and with it the process.
                        _ = self.context.dispatcher.try_send(Event::MemberAlive { member: member.clone() });
                    }
                }
                LinkAction::Settle { link, below } => self.send_message(link, Message::Settle(below)),
                LinkAction::Finished { number, outcome: end } => self.finish(number, end),
            }
        }
    }

    fn send_message(&self, link: usize, said: Message) {
        if let Some(open) = &self.links.borrow()[link].open {
            // It fails only when the connection is gone, which the core is told of.
            _ = open.control.try_send(wire::encode(said).into());
        }
    }

    fn close(&self, link: usize, why: &str) {
        let mut links = self.links.borrow_mut();
        links[link].generation += 1;
        if let Some(open) = links[link].open.take() {
            quic::close(&open.connection, why);
            self.context.counters.add("links broken");
            log::warn!("the link to {} is given up: {why}", self.settings.peers[link].name);
        }
    }

    fn finish(&self, number: u64, end: HopOutcome) {
        let Some(wait) = self.pending.borrow_mut().remove(&number) else { return };
        let mut ended = match end {
            HopOutcome::Answered => wait.result.unwrap_or_else(|| Ends::FarLost.into()),
            HopOutcome::Down => Ends::FarDown.into(),
            HopOutcome::Full => Ends::FarFull.into(),
            HopOutcome::Loop => Ends::FarLoop.into(),
            HopOutcome::Refused => Ends::FarTurned.into(),
            HopOutcome::NeverAccepted => Ends::FarNever.into(),
            HopOutcome::Lost => Ends::FarLost.into(),
            HopOutcome::TimedOut => Ends::Late.into(),
        };
        ended.first_byte_wait = wait.accept_time;
        _ = wait.reply.try_send(ended);
    }

    fn send_request(self: &Rc<Self>, link: usize, number: u64, left: Span) {
        let open = self.links.borrow()[link].open.clone();
        let mut waits = self.pending.borrow_mut();
        let Some(wait) = waits.get_mut(&number) else { return };
        let Some(open) = open else {
            drop(waits);
            return self.core.borrow_mut().send_failed(self.context.clock.now(), number);
        };
        let request = self.request(&wait.job, number, left);
        let importance = request.importance;
        let bytes = wire::encode(Message::Request(request));
        if self.settings.carrier == Carrier::OneStream {
            _ = open.control.try_send(bytes.into());
            return;
        }
        let work = Rc::clone(self).exchange(open, link, number, bytes, importance);
        wait.task = Some(self.context.tasks.spawn(work));
    }

    fn request(&self, job: &HopRequest, number: u64, left: Span) -> wire::Request {
        let ask = &job.request;
        let mut path = ask.via.clone();
        path.push(self.settings.site.clone());
        wire::Request {
            number,
            rule: job.rule.to_string(),
            trace_id: ask.request_number,
            object: ask.object,
            part: ask.part,
            group: ask.group.into(),
            size_kb: ask.size_kb,
            etag: ask.client_etag.clone().filter(|_| !job.is_write),
            body: if job.is_write { ask.body.clone() } else { Vec::new() },
            time_left_us: left.as_micros(),
            max_age_us: job.fill.as_ref().and_then(|f| f.max_age).map(Span::as_micros),
            path,
            unrepeatable: job.unrepeatable,
            idempotency_key: ask.idempotency_key.clone(),
            importance: self.settings.importance(&job.rule).into(),
        }
    }

    /// One hop on a stream of its own.
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
        // It fails only on a stream that has ended.
        _ = send.set_priority(importance as i32);
        if quic::write(&mut send, &bytes).await.is_err() {
            quic::reset(&mut send);
            return self.with_core(|core, now| core.send_failed(now, number));
        }
        // All of it is under way: whatever this says, the far end may read it whole.
        _ = send.finish();
        loop {
            match quic::read(&mut recv).await {
                Ok(said) => {
                    if !self.handle_message(link, said, &mut recv).await {
                        return self.with_core(|core, now| core.stream_lost(now, number));
                    }
                    if !self.pending.borrow().contains_key(&number) {
                        return;
                    }
                }
                Err(why) => {
                    log::debug!("a hop's stream ended: {why}");
                    return self.with_core(|core, now| core.stream_lost(now, number));
                }
            }
        }
    }

    /// Takes in a message, and the bytes behind an answer. `false`: nothing more can be read there.
    async fn handle_message(self: &Rc<Self>, link: usize, said: Message, recv: &mut RecvStream) -> bool {
        match said {
            Message::Accepted(number) => {
                let first = self.with_core(|core, now| core.accepted(now, number));
                if let Some(wait) = self.pending.borrow_mut().get_mut(&number) {
                    wait.accept_time = wait.accept_time.or(first);
                }
            }
            Message::Answer(answer) => return self.read_answer(link, &answer, recv).await,
            Message::StatusReply(found) => {
                let fate = TxnStatus::try_from(found.status).unwrap_or(TxnStatus::Unknown);
                self.context.counters.add(match fate {
                    TxnStatus::NeverAccepted => "hops in doubt that never ran",
                    TxnStatus::Running => "hops in doubt that run",
                    TxnStatus::Unknown => "hops in doubt not known any more",
                });
                self.with_core(|core, now| core.status_received(now, link, found.number, fate));
            }
            Message::Pong(pong) => {
                self.with_core(|core, now| {
                    core.pong_received(now, link, pong.number, pong.credit, pong.leaving)
                });
            }
            Message::Ledger(ledger) => self.with_core(|core, now| core.ledger_changed(now, link, ledger)),
            Message::Leaving(_) => {
                log::info!("{} takes no more", self.settings.peers[link].name);
                self.with_core(|core, now| core.peer_leaving(now, link));
            }
            _ => return false,
        }
        true
    }

    async fn read_answer(self: &Rc<Self>, link: usize, answer: &wire::Answer, recv: &mut RecvStream) -> bool {
        let word = AnswerCode::try_from(answer.code).unwrap_or(AnswerCode::Unspecified);
        let turned = |core: &mut Initiator, now: Time, end| core.refused(now, link, answer.number, end);
        let end = match word {
            AnswerCode::Refused => {
                self.with_core(|core, now| turned(core, now, HopOutcome::Refused));
                return true;
            }
            AnswerCode::Forgotten => {
                self.with_core(|core, now| turned(core, now, HopOutcome::Lost));
                return true;
            }
            AnswerCode::Served => Ends::Whole,
            AnswerCode::NotModified => Ends::Current,
            AnswerCode::Rejected => Ends::FarRejected,
            AnswerCode::Invalid => Ends::FarInvalid,
            AnswerCode::Aborted | AnswerCode::Unspecified => Ends::FarAborted,
        };
        let (mut body, mut own) = (None, Span::ZERO);
        if word == AnswerCode::Served {
            let length = answer.body_len as usize;
            let awaited = self.pending.borrow().contains_key(&answer.number);
            if !awaited {
                return discard(recv, length).await;
            }
            let before = self.context.clock.now();
            body = self.context.pool.allocate(length).await;
            own = self.context.clock.now() - before;
            let Some(body) = &mut body else {
                self.with_core(|core, now| turned(core, now, HopOutcome::Lost));
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
        if let Some(wait) = self.pending.borrow_mut().get_mut(&answer.number) {
            wait.result = Some(HopResult { body, local_wait: own, ..HopResult::from(end) });
        }
        let bytes = f64::from(answer.body_len);
        self.with_core(|core, now| core.answered(now, link, answer.number, bytes));
        true
    }

    /// Connects, says who is here, and reads what comes until the connection ends.
    async fn dial(self: Rc<Self>, link: usize, generation: u64) {
        let why = match self.connect(link, generation).await {
            Ok(why) => why,
            Err(why) => {
                let mut links = self.links.borrow_mut();
                if links[link].last_error.as_ref() != Some(&why) {
                    log::warn!("no link to {}: {why}", self.settings.peers[link].name);
                    links[link].last_error = Some(why);
                }
                self.context.counters.add("links not made");
                "no link".to_owned()
            }
        };
        if self.links.borrow()[link].generation == generation {
            self.close(link, &why);
            self.with_core(|core, now| core.disconnected(now, link));
        }
    }

    /// What ended it, or why it did not come about.
    async fn connect(self: &Rc<Self>, link: usize, generation: u64) -> Result<String, String> {
        let peer = &self.settings.peers[link];
        let keys = self.keys.borrow().clone();
        let connection = self.endpoint.dial(&keys, peer.address, &peer.site).await?;
        let (mut send, mut recv) = connection.open_bi().await.map_err(|e| e.to_string())?;
        // It fails only on a stream that has ended.
        _ = send.set_priority(100);
        let hello = Message::Hello(wire::Hello {
            version: wire::VERSION,
            site: self.settings.site.clone(),
            gateway: self.settings.gateway.clone(),
            run_id: self.run_id,
            next_number: self.core.borrow().next_number(),
        });
        quic::write(&mut send, &wire::encode(hello)).await.map_err(|e| e.to_string())?;
        let welcome = match quic::read(&mut recv).await.map_err(|e| e.to_string())? {
            Message::Welcome(welcome) => welcome,
            Message::Refusal(refusal) => return Err(format!("it says: {}", refusal.reason)),
            _ => return Err("it says neither yes nor no".to_owned()),
        };
        if welcome.version != wire::VERSION || welcome.site != peer.site {
            return Err("another version or site is there".to_owned());
        }
        let (control, frames) = async_channel::unbounded();
        {
            let mut links = self.links.borrow_mut();
            if links[link].generation != generation {
                return Err("it came too late".to_owned());
            }
            links[link].open = Some(OpenConnection { connection: connection.clone(), control });
            links[link].last_error = None;
        }
        log::info!("the link to {} ({}) stands", peer.name, welcome.gateway);
        self.context.counters.add("links made");
        let wire::Welcome { ledger, credit, leaving, knows_past_ledgers: recalls, .. } = welcome;
        self.with_core(|core, now| {
            core.connected(now, link, &Welcome { ledger, credit, leaving, knows_past_ledgers: recalls })
        });
        let clock = self.context.clock;
        let write = async {
            write_frames(clock, &mut send, &frames).await;
            "it can't be written to".to_owned()
        };
        let read = async {
            loop {
                match quic::read(&mut recv).await {
                    Ok(said) if self.links.borrow()[link].generation == generation => {
                        if !self.handle_message(link, said, &mut recv).await {
                            return "it sends what it may not".to_owned();
                        }
                    }
                    Ok(_) => return "an earlier connection".to_owned(),
                    Err(why) => return why.to_string(),
                }
            }
        };
        let why = future::or(write, read).await;
        quic::close(&connection, &why);
        Ok(why)
    }
}

/// Bytes for which nobody waits.
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

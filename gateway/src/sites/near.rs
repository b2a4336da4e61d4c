//! The near end of links on sockets: dials, writes requests, reads answers and tells the core what happens. Must never
//! end a hop by itself: each ends by the core's word, once.

use super::{Frame, LEAST_SLEEP, Means, fresh_number, write_frames};
use crate::connection_end::ConnectionEnd as Ends;
use crate::dispatch_api::{Event, HopRequest, HopResult};
use async_channel::Sender;
use async_executor::Task;
use event_listener::Event as Poke;
use futures_lite::future;
use kelpcart::interface::MemberId;
use kelpcart::{Span, Time};
use kelpcart_sites::near::{Act, End, Near, Want, Welcome};
use kelpcart_sites::quic::{self, Connection, Endpoint, RecvStream};
use kelpcart_sites::settings::{Carrier, Sites};
use kelpcart_sites::wire::{self, Fate, Said, Word};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

#[derive(Clone)]
struct Open {
    connection: Connection,
    control: Sender<Frame>,
}

/// A link's connection, and how many it has had: what an earlier one still brings is told apart by that.
#[derive(Default)]
struct Link {
    generation: u64,
    open: Option<Open>,
    /// Why the last try failed; told once.
    failed: Option<String>,
}

/// A hop that the core has.
struct Wait {
    job: HopRequest,
    tell: Sender<HopResult>,
    got: Option<HopResult>,
    /// From its sending to the far end's word that it was taken.
    first: Option<Span>,
    /// The exchange on its stream.
    task: Option<Task<()>>,
}

pub struct Ways {
    means: Means,
    file: Rc<Sites>,
    endpoint: Endpoint,
    keys: Rc<RefCell<quic::Keys>>,
    members: BTreeMap<MemberId, usize>,
    /// This start of the process, to the far ends.
    run: u64,
    core: RefCell<Near>,
    links: RefCell<Vec<Link>>,
    waits: RefCell<BTreeMap<u64, Wait>>,
    poke: Poke,
}

/// Gives the hop up when nobody waits for it any more.
struct Guard {
    ways: Rc<Ways>,
    number: u64,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if self.ways.waits.borrow_mut().remove(&self.number).is_some() {
            self.ways.tell(|core, now| core.given_up(now, self.number));
        }
    }
}

impl Ways {
    pub fn start(
        means: &Means,
        file: &Rc<Sites>,
        members: BTreeMap<MemberId, usize>,
        endpoint: &Endpoint,
        keys: &Rc<RefCell<quic::Keys>>,
    ) -> Rc<Ways> {
        let run = fresh_number();
        let ways = Rc::new(Ways {
            means: means.clone(),
            file: Rc::clone(file),
            endpoint: endpoint.clone(),
            keys: Rc::clone(keys),
            members,
            run,
            core: RefCell::new(Near::new(file, run, means.clock.now())),
            links: RefCell::new(file.peers.iter().map(|_| Link::default()).collect()),
            waits: RefCell::default(),
            poke: Poke::new(),
        });
        if !file.peers.is_empty() {
            means.tasks.spawn(Rc::clone(&ways).keep_time()).detach();
        }
        ways
    }

    pub fn carries(&self, member: &MemberId) -> bool {
        self.members.contains_key(member)
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        self.core.borrow().sizes().to_vec()
    }

    async fn keep_time(self: Rc<Self>) {
        loop {
            self.pull();
            let poked = self.poke.listen();
            // Whatever the core asks for, the others of the process have their turn.
            let wake = self.core.borrow().next_wake().max(self.means.clock.now() + LEAST_SLEEP);
            _ = self.means.clock.timeout_at(wake, poked).await;
        }
    }

    /// Tells the core something and carries out what it orders then.
    fn tell<T>(self: &Rc<Self>, what: impl FnOnce(&mut Near, Time) -> T) -> T {
        let told = what(&mut self.core.borrow_mut(), self.means.clock.now());
        self.pull();
        self.poke.notify(1);
        told
    }

    pub async fn hop(self: Rc<Self>, job: HopRequest) -> HopResult {
        let Some(&link) = self.members.get(&job.member) else { return Ends::FarDown.into() };
        let (tell, told) = async_channel::bounded(1);
        let want = Want {
            importance: self.file.importance(&job.rule),
            once: job.unrepeatable,
            need: job.request.size_kb.filter(|_| !job.is_write),
            body: if job.is_write { job.request.body.len() } else { 0 },
            until: job.deadline,
            wanted: job.sla_deadline,
            path: &job.request.via,
        };
        let number = self.core.borrow_mut().hop(self.means.clock.now(), link, &want);
        self.waits.borrow_mut().insert(number, Wait { job, tell, got: None, first: None, task: None });
        let _guard = Guard { ways: Rc::clone(&self), number };
        self.tell(|_, _| ());
        // The sender goes only with its word or with the guard.
        let mut ended = told.recv().await.unwrap_or_else(|_| Ends::FarLost.into());
        ended.finished_at = Some(self.means.clock.now());
        self.means.counters.record_end(ended.end);
        ended
    }

    fn pull(self: &Rc<Self>) {
        loop {
            let now = self.means.clock.now();
            let Some(act) = self.core.borrow_mut().poll(now) else { return };
            match act {
                Act::Dial { link } => {
                    let generation = self.links.borrow()[link].generation;
                    self.means.tasks.spawn(Rc::clone(self).dial(link, generation)).detach();
                }
                Act::Drop { link } => self.close(link, "silent"),
                Act::Send { link, number, left } => self.send(link, number, left),
                Act::GiveUp { link, number } => self.say(link, Said::GiveUp(number)),
                Act::Ask { link, ledger, numbers } => {
                    self.means.counters.add("questions about hops in doubt");
                    self.say(link, Said::Ask(wire::Ask { numbers, ledger }));
                }
                Act::Ping { link, number } => self.say(link, Said::Ping(number)),
                Act::Back { link } => {
                    for (member, _) in self.members.iter().filter(|(_, of)| **of == link) {
                        // It fails only when the dispatcher has ended, and with it the process.
                        _ = self.means.dispatcher.try_send(Event::MemberAlive { member: member.clone() });
                    }
                }
                Act::Settle { link, below } => self.say(link, Said::Settle(below)),
                Act::End { number, end } => self.end(number, end),
            }
        }
    }

    fn say(&self, link: usize, said: Said) {
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
            self.means.counters.add("links broken");
            log::warn!("the link to {} is given up: {why}", self.file.peers[link].name);
        }
    }

    fn end(&self, number: u64, end: End) {
        let Some(wait) = self.waits.borrow_mut().remove(&number) else { return };
        let mut ended = match end {
            End::Answered => wait.got.unwrap_or_else(|| Ends::FarLost.into()),
            End::Down => Ends::FarDown.into(),
            End::Full => Ends::FarFull.into(),
            End::Loop => Ends::FarLoop.into(),
            End::Turned => Ends::FarTurned.into(),
            End::NeverTaken => Ends::FarNever.into(),
            End::Lost => Ends::FarLost.into(),
            End::TimedOut => Ends::Late.into(),
        };
        ended.first_byte_wait = wait.first;
        _ = wait.tell.try_send(ended);
    }

    fn send(self: &Rc<Self>, link: usize, number: u64, left: Span) {
        let open = self.links.borrow()[link].open.clone();
        let mut waits = self.waits.borrow_mut();
        let Some(wait) = waits.get_mut(&number) else { return };
        let Some(open) = open else {
            drop(waits);
            return self.core.borrow_mut().unsent(self.means.clock.now(), number);
        };
        let request = self.request(&wait.job, number, left);
        let importance = request.importance;
        let bytes = wire::encode(Said::Request(request));
        if self.file.carrier == Carrier::OneStream {
            _ = open.control.try_send(bytes.into());
            return;
        }
        let work = Rc::clone(self).exchange(open, link, number, bytes, importance);
        wait.task = Some(self.means.tasks.spawn(work));
    }

    fn request(&self, job: &HopRequest, number: u64, left: Span) -> wire::Request {
        let ask = &job.request;
        let mut path = ask.via.clone();
        path.push(self.file.site.clone());
        wire::Request {
            number,
            rule: job.rule.to_string(),
            trace: ask.request_number,
            object: ask.object,
            part: ask.part,
            group: ask.group.into(),
            need: ask.size_kb,
            seen: ask.client_etag.clone().filter(|_| !job.is_write),
            body: if job.is_write { ask.body.clone() } else { Vec::new() },
            left_us: left.as_micros(),
            oldest_us: job.fill.as_ref().and_then(|f| f.max_age).map(Span::as_micros),
            path,
            once: job.unrepeatable,
            mark: ask.idempotency_key.clone(),
            importance: self.file.importance(&job.rule).into(),
        }
    }

    /// One hop on a stream of its own.
    async fn exchange(self: Rc<Self>, open: Open, link: usize, number: u64, bytes: Vec<u8>, importance: u32) {
        let Ok((mut send, mut recv)) = open.connection.open_bi().await else {
            return self.tell(|core, now| core.unsent(now, number));
        };
        // It fails only on a stream that has ended.
        _ = send.set_priority(importance as i32);
        if quic::write(&mut send, &bytes).await.is_err() {
            quic::reset(&mut send);
            return self.tell(|core, now| core.unsent(now, number));
        }
        // All of it is under way: whatever this says, the far end may read it whole.
        _ = send.finish();
        loop {
            match quic::read(&mut recv).await {
                Ok(said) => {
                    if !self.hear(link, said, &mut recv).await {
                        return self.tell(|core, now| core.astray(now, number));
                    }
                    if !self.waits.borrow().contains_key(&number) {
                        return;
                    }
                }
                Err(why) => {
                    log::debug!("a hop's stream ended: {why}");
                    return self.tell(|core, now| core.astray(now, number));
                }
            }
        }
    }

    /// Takes in a message, and the bytes behind an answer. `false`: nothing more can be read there.
    async fn hear(self: &Rc<Self>, link: usize, said: Said, recv: &mut RecvStream) -> bool {
        match said {
            Said::Taken(number) => {
                let first = self.tell(|core, now| core.taken(now, number));
                if let Some(wait) = self.waits.borrow_mut().get_mut(&number) {
                    wait.first = wait.first.or(first);
                }
            }
            Said::Answer(answer) => return self.answer(link, &answer, recv).await,
            Said::Found(found) => {
                let fate = Fate::try_from(found.fate).unwrap_or(Fate::Unknown);
                self.means.counters.add(match fate {
                    Fate::NeverTaken => "hops in doubt that never ran",
                    Fate::Running => "hops in doubt that run",
                    Fate::Unknown => "hops in doubt not known any more",
                });
                self.tell(|core, now| core.found(now, link, found.number, fate));
            }
            Said::Pong(pong) => {
                self.tell(|core, now| core.ponged(now, link, pong.number, pong.credit, pong.leaving));
            }
            Said::Ledger(ledger) => self.tell(|core, now| core.renamed(now, link, ledger)),
            Said::Leaving(_) => {
                log::info!("{} takes no more", self.file.peers[link].name);
                self.tell(|core, now| core.leaving(now, link));
            }
            _ => return false,
        }
        true
    }

    async fn answer(self: &Rc<Self>, link: usize, answer: &wire::Answer, recv: &mut RecvStream) -> bool {
        let word = Word::try_from(answer.word).unwrap_or(Word::None);
        let turned = |core: &mut Near, now: Time, end| core.turned(now, link, answer.number, end);
        let end = match word {
            Word::Turned => {
                self.tell(|core, now| turned(core, now, End::Turned));
                return true;
            }
            Word::Forgotten => {
                self.tell(|core, now| turned(core, now, End::Lost));
                return true;
            }
            Word::Served => Ends::Whole,
            Word::Current => Ends::Current,
            Word::Rejected => Ends::FarRejected,
            Word::Invalid => Ends::FarInvalid,
            Word::Aborted | Word::None => Ends::FarAborted,
        };
        let (mut body, mut own) = (None, Span::ZERO);
        if word == Word::Served {
            let length = answer.length as usize;
            let awaited = self.waits.borrow().contains_key(&answer.number);
            if !awaited {
                return skip(recv, length).await;
            }
            let before = self.means.clock.now();
            body = self.means.pool.allocate(length).await;
            own = self.means.clock.now() - before;
            let Some(body) = &mut body else {
                self.tell(|core, now| turned(core, now, End::Lost));
                return skip(recv, length).await;
            };
            while !body.is_full() {
                match recv.read(body.unfilled()).await {
                    Ok(Some(n)) if n > 0 => {
                        body.advance(n);
                        let now = self.means.clock.now();
                        self.core.borrow_mut().comes(now, link, answer.number, n as f64);
                    }
                    _ => return false,
                }
            }
        }
        if let Some(wait) = self.waits.borrow_mut().get_mut(&answer.number) {
            wait.got = Some(HopResult { body, local_wait: own, ..HopResult::from(end) });
        }
        let bytes = f64::from(answer.length);
        self.tell(|core, now| core.answered(now, link, answer.number, bytes));
        true
    }

    /// Connects, says who is here, and reads what comes until the connection ends.
    async fn dial(self: Rc<Self>, link: usize, generation: u64) {
        let why = match self.connect(link, generation).await {
            Ok(why) => why,
            Err(why) => {
                let mut links = self.links.borrow_mut();
                if links[link].failed.as_ref() != Some(&why) {
                    log::warn!("no link to {}: {why}", self.file.peers[link].name);
                    links[link].failed = Some(why);
                }
                self.means.counters.add("links not made");
                "no link".to_owned()
            }
        };
        if self.links.borrow()[link].generation == generation {
            self.close(link, &why);
            self.tell(|core, now| core.broken(now, link));
        }
    }

    /// What ended it, or why it did not come about.
    async fn connect(self: &Rc<Self>, link: usize, generation: u64) -> Result<String, String> {
        let peer = &self.file.peers[link];
        let keys = self.keys.borrow().clone();
        let connection = self.endpoint.dial(&keys, peer.address, &peer.site).await?;
        let (mut send, mut recv) = connection.open_bi().await.map_err(|e| e.to_string())?;
        // It fails only on a stream that has ended.
        _ = send.set_priority(100);
        let hello = Said::Hello(wire::Hello {
            version: wire::VERSION,
            site: self.file.site.clone(),
            gateway: self.file.gateway.clone(),
            run: self.run,
            fresh: self.core.borrow().fresh(),
        });
        quic::write(&mut send, &wire::encode(hello)).await.map_err(|e| e.to_string())?;
        let welcome = match quic::read(&mut recv).await.map_err(|e| e.to_string())? {
            Said::Welcome(welcome) => welcome,
            Said::Refusal(refusal) => return Err(format!("it says: {}", refusal.why)),
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
            links[link].open = Some(Open { connection: connection.clone(), control });
            links[link].failed = None;
        }
        log::info!("the link to {} ({}) stands", peer.name, welcome.gateway);
        self.means.counters.add("links made");
        let wire::Welcome { ledger, credit, leaving, recalls, .. } = welcome;
        self.tell(|core, now| core.connected(now, link, &Welcome { ledger, credit, leaving, recalls }));
        let clock = self.means.clock;
        let write = async {
            write_frames(clock, &mut send, &frames).await;
            "it can't be written to".to_owned()
        };
        let read = async {
            loop {
                match quic::read(&mut recv).await {
                    Ok(said) if self.links.borrow()[link].generation == generation => {
                        if !self.hear(link, said, &mut recv).await {
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
async fn skip(recv: &mut RecvStream, mut length: usize) -> bool {
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

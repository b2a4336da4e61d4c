//! Hosts the feed: its core on the fleet's UDP socket, a connection to each list service that the core wants one to, and
//! what comes of both to the dispatcher. On a machine set aside for control it is all that runs: no txns, no caches, no
//! members. Owns no decision: what is believed, repaired and told as done is decided by the core in `kelpcart-feed`. Nothing
//! of it runs unless the file that `KELPCART_FLEET` names has a `feed`.

use crate::Tasks;
use crate::clock::Clock;
use crate::config::{self, DiscoveryEvent, ListedMember, Names};
use crate::counters::Counters;
use crate::discovery::{DiscoveryClient, Subscriber};
use crate::dispatch_api::Event;
use async_channel::{Receiver, Sender};
use async_io::Async;
use async_signal::{Signal, Signals};
use event_listener::Event as Woken;
use futures_lite::{StreamExt, future};
use kelpcart::interface::{Member, MemberId, MemberState};
use kelpcart::{Span, Time};
use kelpcart_feed::seal::MOST_DATAGRAM;
use kelpcart_feed::{Feed as Core, Out, settings};
use kelpcart_fleet::settings::Fleet as File;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

pub use kelpcart_feed::VERSION;

/// Datagrams that are taken in before others have their turn.
const AT_ONCE: usize = 64;
const LEAST_SLEEP: Span = Span::from_millis(1);
/// Caches of all streams together that are remembered by the stream that lists them.
const MOST_LISTED: usize = 16_384;
/// Stands for the stream of caches of which that is not known.
const NOBODY: usize = usize::MAX;
/// Lines of those who have not confirmed that a control machine writes at once.
const MOST_TOLD: usize = 100;

/// Which stream lists which cache: a whole list of one stream must not drop the caches of the others.
#[derive(Default)]
pub struct Owners(BTreeMap<MemberId, usize>);

impl Owners {
    /// What a list of one stream changes in the list of all, and how many were left out at the bound.
    pub fn change(
        &mut self,
        stream: usize,
        whole: bool,
        list: Vec<ListedMember>,
    ) -> (Vec<ListedMember>, usize) {
        let named: BTreeSet<MemberId> = list.iter().map(|l| l.member.id.clone()).collect();
        let (mut all, mut left_out) = (Vec::new(), 0);
        if whole {
            let lost = |(id, of): &(&MemberId, &usize)| **of == stream && !named.contains(*id);
            all.extend(self.0.iter().filter(lost).map(|(id, _)| gone(id)));
            self.0.retain(|id, of| *of != stream || named.contains(id));
        }
        for listed in list {
            let (id, owner) = (&listed.member.id, self.0.get(&listed.member.id).copied());
            if listed.member.state == MemberState::Gone {
                // One that another stream lists by now has only moved.
                if owner.is_some_and(|of| of != stream && of != NOBODY) {
                    continue;
                }
                self.0.remove(id);
            } else if owner.is_none() && self.0.len() >= MOST_LISTED {
                left_out += 1;
                continue;
            } else {
                self.0.insert(id.clone(), stream);
            }
            all.push(listed);
        }
        (all, left_out)
    }
}

fn gone(id: &MemberId) -> ListedMember {
    let member = Member {
        id: id.clone(),
        zone: 0,
        kind: 0,
        cell: 0,
        state: MemberState::Gone,
        capacity: 0.0,
        started: None,
        remote: false,
    };
    ListedMember { member, address: None }
}

/// Where events go at a gateway.
pub struct Serves {
    pub dispatcher: Sender<Event>,
    pub names: Names,
    /// The events that the configuration holds, of the feed's own stream, and the number of the last.
    pub known: Vec<DiscoveryEvent>,
    pub last: u64,
}

struct Hears {
    dispatcher: Sender<Event>,
    names: Names,
    owners: RefCell<Owners>,
}

pub struct Feed {
    core: RefCell<Core>,
    socket: Rc<Async<UdpSocket>>,
    clock: Clock,
    counters: Rc<Counters>,
    /// `None`: a control machine.
    hears: Option<Hears>,
    own: usize,
    streams: Vec<settings::Stream>,
    /// The core was told something: its next time may have moved.
    moved: Woken,
    sleeps_until: Cell<Time>,
    /// Whether a list service is to be asked has changed.
    asks: Woken,
    asked: Vec<Cell<bool>>,
    /// New addresses of the streams that the file alone names.
    moves: RefCell<Vec<(usize, Sender<SocketAddr>)>>,
    by_stream: Vec<[&'static str; 3]>,
}

/// What the rest of the process lends.
pub struct Means {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub socket: Rc<Async<UdpSocket>>,
}

impl Feed {
    /// `serves`: none at a control machine.
    pub fn start(means: Means, file: &File, serves: Option<Serves>) -> Result<Option<Rc<Feed>>, String> {
        let Some(mut of) = file.feed.clone() else { return Ok(None) };
        let (now, mut rng) = (means.clock.now(), rand::rng());
        let (run, seed) = (rng.random_range(1..=u64::MAX), rng.random());
        if let Some(serves) = &serves {
            of.streams[of.own].known = serves.last;
        }
        let core =
            Core::new(&of, &file.keys, &file.gateway, run, seed, now).map_err(|e| format!("feed: {e}"))?;
        let hears = serves.map(|serves| {
            let mut owners = Owners::default();
            // The configuration doesn't say whose the caches are that it holds: where it holds other streams' lists as
            // well, they are nobody's until a stream names them.
            let alone = of.streams.iter().enumerate().all(|(i, s)| i == of.own || s.known == 0);
            for said in serves.known {
                if let DiscoveryEvent::Roster { snapshot: whole, list } = said {
                    owners.change(if alone { of.own } else { NOBODY }, whole, list);
                }
            }
            Hears { dispatcher: serves.dispatcher, names: serves.names, owners: RefCell::new(owners) }
        });
        // A handful for the life of the process.
        let name = |what: &str, i: usize| -> &'static str { format!("fleet feed {what} {i}").leak() };
        let names = |i| [name("position", i), name("done in touch", i), name("done everywhere", i)];
        let feed = Rc::new(Feed {
            core: RefCell::new(core),
            socket: means.socket,
            clock: means.clock,
            counters: means.counters,
            hears,
            own: of.own,
            moved: Woken::new(),
            sleeps_until: Cell::new(now),
            asks: Woken::new(),
            asked: of.streams.iter().map(|_| Cell::new(false)).collect(),
            moves: RefCell::default(),
            by_stream: (0..of.streams.len()).map(names).collect(),
            streams: of.streams,
        });
        let drives = Rc::clone(&feed);
        means.tasks.spawn(async move { drives.drive().await }).detach();
        log::info!("{} is of the site {} of {}", file.gateway, of.site, of.name);
        Ok(Some(feed))
    }

    /// Follows the list services whenever the core wants that. `own`: where that of the own stream is, and its further
    /// addresses, if they come from the configuration.
    pub fn follow(self: &Rc<Self>, tasks: Tasks, mut own: Option<(SocketAddr, Receiver<SocketAddr>)>) {
        for (i, stream) in self.streams.iter().enumerate() {
            let configured = if i == self.own { own.take() } else { None };
            let (address, moves) = configured.unwrap_or_else(|| {
                let (tell, moves) = async_channel::unbounded();
                self.moves.borrow_mut().push((i, tell));
                (stream.address, moves)
            });
            let subscriber = Stream { feed: Rc::clone(self), place: i };
            let (clock, counters) = (self.clock, Rc::clone(&self.counters));
            tasks
                .spawn(DiscoveryClient { address, address_changes: moves, clock, counters, subscriber }.run())
                .detach();
        }
    }

    /// Other keys and other addresses of list services, as its file has them now; the rest of the file stays as it was.
    pub fn reread(&self, file: &File) {
        let usable = self.core.borrow_mut().rekey(&file.keys);
        if !usable {
            self.counters.add("fleet feed keys that can't be used");
            log::warn!("the feed's keys can't be used; they stay");
        }
        self.counters.add("fleet feed files read again");
        let fresh = file.feed.as_ref().map(|f| &f.streams).into_iter().flatten();
        let fresh: BTreeMap<&str, SocketAddr> = fresh.map(|s| (s.name.as_str(), s.address)).collect();
        for (i, tell) in self.moves.borrow().iter() {
            if let Some(address) = fresh.get(self.streams[*i].name.as_str()) {
                // It fails only when its follower has ended, and with it the process.
                _ = tell.try_send(*address);
            }
        }
    }

    /// The live others of the site.
    pub fn members<'a>(&self, live: impl Iterator<Item = (&'a str, SocketAddr)>) {
        self.tell(|core, now| core.members(now, live));
    }

    pub fn datagram(&self, from: SocketAddr, bytes: &[u8]) {
        self.tell(|core, now| core.datagram(now, from, bytes));
    }

    async fn drive(&self) {
        loop {
            let now = self.clock.now();
            self.core.borrow_mut().tick(now);
            self.pull();
            let moved = self.moved.listen();
            // Whatever the core asks for, the others of the process have their turn.
            let at = self.core.borrow().next_wake(now).max(now + LEAST_SLEEP);
            self.sleeps_until.set(at);
            self.clock.timeout_at(at, moved).await;
        }
    }

    /// Tells the core something, and does what comes of it.
    fn tell<T>(&self, what: impl FnOnce(&mut Core, Time) -> T) -> T {
        let now = self.clock.now();
        let given = what(&mut self.core.borrow_mut(), now);
        self.pull();
        if self.core.borrow().next_wake(now) < self.sleeps_until.get() {
            self.moved.notify(1);
        }
        given
    }

    /// Does what the core wants done.
    fn pull(&self) {
        loop {
            let Some(out) = self.core.borrow_mut().poll() else { break };
            match out {
                Out::Datagram(to, bytes) => {
                    // Lost here or on the way is the same to the core.
                    if self.socket.get_ref().send_to(&bytes, to).is_err() {
                        self.counters.add("fleet feed datagrams not sent");
                    }
                }
                Out::Purge { names, issued_ms, .. } => self.news(DiscoveryEvent::Purge { names, issued_ms }),
                Out::Line { stream, line, .. } => self.line(stream, &line),
            }
        }
        let mut changed = false;
        for (i, asked) in self.asked.iter().enumerate() {
            let asks = self.core.borrow().asks(i);
            changed |= asked.replace(asks) != asks;
        }
        if changed {
            self.asks.notify(usize::MAX);
        }
    }

    fn line(&self, stream: usize, line: &[u8]) {
        let Some(hears) = &self.hears else { return };
        let value: Result<serde_json::Value, _> = serde_json::from_slice(line);
        match value.map_err(|e| e.to_string()).and_then(|v| config::parse_event(&v, &hears.names)) {
            Ok((_, Some(DiscoveryEvent::Roster { snapshot: whole, list }))) => {
                let (list, left_out) = hears.owners.borrow_mut().change(stream, whole, list);
                if left_out > 0 {
                    self.counters.add("fleet feed lists beyond the bound");
                    log::warn!(
                        "{left_out} caches of a list are beyond the bound of {MOST_LISTED} and left out"
                    );
                }
                self.news(DiscoveryEvent::Roster { snapshot: false, list });
            }
            Ok((_, Some(said))) => self.news(said),
            Ok((_, None)) => {}
            Err(why) => {
                self.counters.add("fleet feed events that can't be used");
                log::warn!("an event of the feed can't be used: {why}");
            }
        }
    }

    fn news(&self, said: DiscoveryEvent) {
        if let Some(hears) = &self.hears {
            self.counters.add("bulletin events");
            // It fails only when the dispatcher has ended, and with it the process.
            _ = hears.dispatcher.try_send(Event::Discovery(said));
        }
    }

    async fn until(&self, stream: usize, asks: bool) {
        loop {
            let changed = self.asks.listen();
            if self.asked[stream].get() == asks {
                return;
            }
            changed.await;
        }
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let core = self.core.borrow();
        let (c, t) = (core.counts, core.traffic);
        let mut all = core.sizes();
        all.extend(self.hears.iter().map(|h| ("fleet feed caches listed", h.owners.borrow().0.len())));
        let by_stream = self.by_stream.iter().enumerate().flat_map(|(i, names)| {
            let done = core.done(i);
            names.iter().copied().zip([core.position(i), done.in_touch, done.everywhere])
        });
        let streams = 0..self.streams.len();
        let asks = streams.clone().filter(|i| core.asks(*i)).count() as u64;
        let now = self.clock.now();
        let ages = streams.filter_map(|i| core.age(now, i)).map(Span::as_micros);
        let counts = [
            ("fleet feed oldest age us", ages.max().unwrap_or(0)),
            ("fleet feed numbers missing", core.gaps()),
            ("fleet feed is contact", u64::from(core.is_contact())),
            ("fleet feed list services asked now", asks),
            ("fleet feed bundles made", c.bundles_made),
            ("fleet feed provisional made", c.provisional_made),
            ("fleet feed bundles", c.bundles),
            ("fleet feed provisional", c.provisional),
            ("fleet feed copies", c.copies),
            ("fleet feed purges", c.purges),
            ("fleet feed lines", c.lines),
            ("fleet feed gaps purged", c.purged_all),
            ("fleet feed fetches", c.fetches),
            ("fleet feed repaired", c.repaired),
            ("fleet feed lacked", c.lacked),
            ("fleet feed contacts", c.contacts),
            ("fleet feed hubs left", c.hubs_left),
            ("fleet feed list services asked", c.asked),
            ("fleet feed refused seals", c.refused_seals),
            ("fleet feed refused forms", c.refused_forms),
            ("fleet feed refused signatures", c.refused_signatures),
            ("fleet feed refused reports", c.refused_reports),
            ("fleet feed refused requests", c.refused_requests),
            ("fleet feed dropped", c.dropped),
            ("fleet feed bytes in", t.bytes_in),
            ("fleet feed bytes out", t.bytes_out),
            ("fleet feed datagrams in", t.datagrams_in),
            ("fleet feed datagrams out", t.datagrams_out),
        ];
        all.extend(by_stream.chain(counts).map(|(name, n)| (name, n as usize)));
        all
    }

    /// Writes the counters of a control machine, and who has not confirmed what it told.
    fn write(&self) {
        *self.counters.table_sizes.borrow_mut() = self.sizes();
        log::info!("{}", self.counters);
        let (missing, liars) = {
            let core = self.core.borrow();
            (core.missing(), core.liars())
        };
        for (site, member, times) in liars.iter().take(MOST_TOLD) {
            log::info!("confirmed what it was not told: {member} of {site}, {times} times");
        }
        for one in missing.iter().take(MOST_TOLD) {
            let stream = &self.streams[one.stream].name;
            match &one.member {
                Some(member) => {
                    log::info!("not confirmed: {} of {}, {stream} to {}", member, one.site, one.position)
                }
                None => log::info!("not confirmed: {}, {stream} to {}", one.site, one.position),
            }
        }
        if missing.len() > MOST_TOLD {
            log::info!("not confirmed: {} more", missing.len() - MOST_TOLD);
        }
    }
}

/// One list service; its lines go to the core.
struct Stream {
    feed: Rc<Feed>,
    place: usize,
}

impl Subscriber for Stream {
    fn last_event(&self) -> u64 {
        self.feed.core.borrow().after(self.place)
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), String> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        if let Some(no) = crate::digits(line) {
            let fits = self.feed.tell(|core, now| core.last(now, self.place, no));
            return if fits { Ok(()) } else { Err(format!("number {no} after {}", self.last_event())) };
        }
        self.feed.tell(|core, now| core.line(now, self.place, line)).map_err(|e| e.to_string())
    }

    fn connection_wanted(&self) -> impl Future<Output = ()> {
        self.feed.until(self.place, true)
    }

    fn connection_unwanted(&self) -> impl Future<Output = ()> {
        self.feed.until(self.place, false)
    }

    fn connection_ended(&mut self) {
        self.feed.tell(|core, now| core.ended(now, self.place));
    }
}

/// Runs a machine set aside for control until SIGTERM. `read` gives its file as it is now.
pub async fn control(
    tasks: Tasks,
    file: File,
    mut signals: Signals,
    read: impl Fn() -> Result<File, String>,
) -> Result<(), String> {
    let socket =
        Async::<UdpSocket>::bind(file.listen).map_err(|e| format!("listen: {}: {e}", file.listen))?;
    let socket = Rc::new(socket);
    let (clock, counters) = (Clock::start(), Rc::default());
    let means = Means { tasks, clock, counters, socket };
    let Some(feed) = Feed::start(means, &file, None)? else { return Err("feed: none".to_owned()) };
    feed.follow(tasks, None);
    log::info!("{} is a hub at {}", file.gateway, file.listen);
    let hears = async {
        let mut bytes = [0; MOST_DATAGRAM + 1];
        loop {
            for _ in 0..AT_ONCE {
                match feed.socket.recv_from(&mut bytes).await {
                    Ok((n, from)) => feed.datagram(from, &bytes[..n]),
                    // A closed port at the other end is told as a refusal on the next call.
                    Err(e) => log::debug!("the feed's socket: {e}"),
                }
            }
            future::yield_now().await;
        }
    };
    let told = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => feed.write(),
                Ok(Signal::Hup) => match read() {
                    Ok(file) => feed.reread(&file),
                    Err(why) => {
                        feed.counters.add("fleet keys that can't be used");
                        log::warn!("{why}; keys and addresses stay");
                    }
                },
                Ok(_) => return feed.write(),
                Err(e) => log::warn!("signals: {e}"),
            }
        }
        future::pending().await
    };
    future::or(told, hears).await;
    Ok(())
}

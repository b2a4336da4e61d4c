//! Hosts the feed: runs its core on the fleet's UDP socket, keeps a connection to each list service that the core
//! wants, and passes its output to the dispatcher. On a control machine (hub) nothing else runs: no txns, no caches, no
//! members.
//!
//! Invariant: this module makes no decisions; what is accepted, repaired and reported as done is decided by the core in
//! `kelpcart-feed`. Nothing of it runs unless the file named by `KELPCART_FLEET` has a `feed`.

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
use kelpcart_feed::seal::MAX_DATAGRAM_BYTES;
use kelpcart_feed::{Feed as Core, Output, settings};
use kelpcart_fleet::settings::Fleet as File;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

pub use kelpcart_feed::VERSION;

/// Datagrams read before other tasks get their turn.
const MAX_DATAGRAMS_PER_TURN: usize = 64;
const MIN_SLEEP: Span = Span::from_millis(1);
/// Maximum number of caches, over all streams, for which the listing stream is remembered.
const MAX_LISTED_CACHES: usize = 16_384;
/// Owner of caches whose listing stream is unknown.
const UNKNOWN_STREAM: usize = usize::MAX;
/// Maximum number of log lines on missing acknowledgements that a hub writes at once.
const MAX_LOGGED_LINES: usize = 100;

/// Records which stream lists which cache, so that a complete list of one stream does not remove the caches of the
/// others.
#[derive(Default)]
pub struct CacheOwners(BTreeMap<MemberId, usize>);

impl CacheOwners {
    /// Translates a list of one stream into changes of the combined list. Also returns how many caches were left out at
    /// the limit.
    pub fn apply(
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
                // A cache that another stream lists by now has only moved.
                if owner.is_some_and(|of| of != stream && of != UNKNOWN_STREAM) {
                    continue;
                }
                self.0.remove(id);
            } else if owner.is_none() && self.0.len() >= MAX_LISTED_CACHES {
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
        zone: None,
        kind: 0,
        cell: None,
        state: MemberState::Gone,
        capacity: 0.0,
        started: None,
        remote: false,
    };
    ListedMember { member, address: None }
}

/// What the feed needs at a gateway: the recipient of its events, and the initial state.
pub struct GatewayInit {
    pub dispatcher: Sender<Event>,
    pub names: Names,
    /// The events that the configuration includes for the feed's own stream, and the sequence number of the last one.
    pub known_events: Vec<DiscoveryEvent>,
    pub last_known: u64,
}

struct GatewaySink {
    dispatcher: Sender<Event>,
    names: Names,
    owners: RefCell<CacheOwners>,
}

pub struct Feed {
    core: RefCell<Core>,
    socket: Rc<Async<UdpSocket>>,
    clock: Clock,
    counters: Rc<Counters>,
    /// `None`: a hub.
    gateway: Option<GatewaySink>,
    own_stream: usize,
    streams: Vec<settings::Stream>,
    /// Signals that the core's next wake-up may have moved forward.
    wake_changed: Woken,
    sleeps_until: Cell<Time>,
    /// Signals that `wanted` has changed for some list service.
    wanted_changed: Woken,
    wanted: Vec<Cell<bool>>,
    /// Address updates for the streams whose addresses come from the fleet file.
    address_updates: RefCell<Vec<(usize, Sender<SocketAddr>)>>,
    stream_counters: Vec<[&'static str; 3]>,
}

/// Resources of the process that the feed uses.
pub struct Resources {
    pub tasks: Tasks,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub socket: Rc<Async<UdpSocket>>,
}

impl Feed {
    /// `init`: `None` at a hub.
    pub fn start(
        resources: Resources,
        file: &File,
        init: Option<GatewayInit>,
    ) -> Result<Option<Rc<Feed>>, String> {
        let Some(mut feed_settings) = file.feed.clone() else { return Ok(None) };
        let (now, mut rng) = (resources.clock.now(), rand::rng());
        let (run_id, seed) = (rng.random_range(1..=u64::MAX), rng.random());
        if let Some(init) = &init {
            feed_settings.streams[feed_settings.own].known = init.last_known;
        }
        let core = Core::new(&feed_settings, &file.keys, &file.gateway, run_id, seed, now)
            .map_err(|e| format!("feed: {e}"))?;
        let gateway = init.map(|init| {
            let mut owners = CacheOwners::default();
            // The configuration does not say which stream lists its caches. If it includes lists of other streams as
            // well, they have no owner until a stream names them.
            let only_own_list =
                feed_settings.streams.iter().enumerate().all(|(i, s)| i == feed_settings.own || s.known == 0);
            for event in init.known_events {
                if let DiscoveryEvent::Roster { snapshot: whole, list } = event {
                    owners.apply(if only_own_list { feed_settings.own } else { UNKNOWN_STREAM }, whole, list);
                }
            }
            GatewaySink { dispatcher: init.dispatcher, names: init.names, owners: RefCell::new(owners) }
        });
        // Leaked on purpose: a few strings for the lifetime of the process.
        let name = |what: &str, i: usize| -> &'static str { format!("fleet feed {what} {i}").leak() };
        let names = |i| [name("position", i), name("done in touch", i), name("done everywhere", i)];
        let feed = Rc::new(Feed {
            core: RefCell::new(core),
            socket: resources.socket,
            clock: resources.clock,
            counters: resources.counters,
            gateway,
            own_stream: feed_settings.own,
            wake_changed: Woken::new(),
            sleeps_until: Cell::new(now),
            wanted_changed: Woken::new(),
            wanted: feed_settings.streams.iter().map(|_| Cell::new(false)).collect(),
            address_updates: RefCell::default(),
            stream_counters: (0..feed_settings.streams.len()).map(names).collect(),
            streams: feed_settings.streams,
        });
        let driver = Rc::clone(&feed);
        resources.tasks.spawn(async move { driver.drive().await }).detach();
        log::info!(
            "{} belongs to site {} of installation {}",
            file.gateway,
            feed_settings.site,
            feed_settings.name
        );
        Ok(Some(feed))
    }

    /// The most connections to list services at the same time.
    pub fn max_connections(&self) -> usize {
        self.streams.len()
    }

    /// Connects to the list services whenever the core wants it. `own`: address and address updates of the own stream,
    /// if they come from the configuration.
    pub fn subscribe(self: &Rc<Self>, tasks: Tasks, mut own: Option<(SocketAddr, Receiver<SocketAddr>)>) {
        for (i, stream) in self.streams.iter().enumerate() {
            let configured = if i == self.own_stream { own.take() } else { None };
            let (address, updates) = configured.unwrap_or_else(|| {
                let (sender, updates) = async_channel::unbounded();
                self.address_updates.borrow_mut().push((i, sender));
                (stream.address, updates)
            });
            let subscriber = ListSubscriber { feed: Rc::clone(self), stream: i };
            let (clock, counters) = (self.clock, Rc::clone(&self.counters));
            tasks
                .spawn(
                    DiscoveryClient { address, address_changes: updates, clock, counters, subscriber }.run(),
                )
                .detach();
        }
    }

    /// Applies keys and list-service addresses from a reloaded file; everything else in it is ignored.
    pub fn reload(&self, file: &File) {
        let replaced = self.core.borrow_mut().set_keys(&file.keys);
        if !replaced {
            self.counters.add("fleet feed keys that can't be used");
            log::warn!("the feed's new keys can't be used; keeping the old ones");
        }
        self.counters.add("fleet feed files read again");
        let current = file.feed.as_ref().map(|f| &f.streams).into_iter().flatten();
        let current: BTreeMap<&str, SocketAddr> = current.map(|s| (s.name.as_str(), s.address)).collect();
        for (i, sender) in self.address_updates.borrow().iter() {
            if let Some(address) = current.get(self.streams[*i].name.as_str()) {
                // Fails only if its subscriber has ended, and with it the process.
                _ = sender.try_send(*address);
            }
        }
    }

    /// The other live members of the site.
    pub fn set_members<'a>(&self, live: impl Iterator<Item = (&'a str, SocketAddr)>) {
        self.with_core(|core, now| core.set_members(now, live));
    }

    pub fn handle_datagram(&self, from: SocketAddr, bytes: &[u8]) {
        self.with_core(|core, now| core.handle_datagram(now, from, bytes));
    }

    async fn drive(&self) {
        loop {
            let now = self.clock.now();
            self.core.borrow_mut().tick(now);
            self.process_outputs();
            let changed = self.wake_changed.listen();
            // Minimum sleep, so that other tasks get their turn whatever the core asks for.
            let wake_at = self.core.borrow().next_wake(now).max(now + MIN_SLEEP);
            self.sleeps_until.set(wake_at);
            self.clock.timeout_at(wake_at, changed).await;
        }
    }

    /// Calls the core and processes its output.
    fn with_core<T>(&self, call: impl FnOnce(&mut Core, Time) -> T) -> T {
        let now = self.clock.now();
        let result = call(&mut self.core.borrow_mut(), now);
        self.process_outputs();
        if self.core.borrow().next_wake(now) < self.sleeps_until.get() {
            self.wake_changed.notify(1);
        }
        result
    }

    /// Processes the core's output.
    fn process_outputs(&self) {
        loop {
            let Some(out) = self.core.borrow_mut().poll() else { break };
            match out {
                Output::Datagram(to, bytes) => {
                    // To the core, a failed send is the same as a lost datagram.
                    if self.socket.get_ref().send_to(&bytes, to).is_err() {
                        self.counters.add("fleet feed datagrams not sent");
                    }
                }
                Output::Purge { names, issued_ms, .. } => {
                    self.dispatch(DiscoveryEvent::Purge { names, issued_ms })
                }
                Output::Line { stream, line, .. } => self.handle_line(stream, &line),
            }
        }
        let mut changed = false;
        for (i, flag) in self.wanted.iter().enumerate() {
            let wanted = self.core.borrow().wants_connection(i);
            changed |= flag.replace(wanted) != wanted;
        }
        if changed {
            self.wanted_changed.notify(usize::MAX);
        }
    }

    fn handle_line(&self, stream: usize, line: &[u8]) {
        let Some(gateway) = &self.gateway else { return };
        let value: Result<serde_json::Value, _> = serde_json::from_slice(line);
        match value.map_err(|e| e.to_string()).and_then(|v| config::parse_event(&v, &gateway.names)) {
            Ok((_, Some(DiscoveryEvent::Roster { snapshot: whole, list }))) => {
                let (list, left_out) = gateway.owners.borrow_mut().apply(stream, whole, list);
                if left_out > 0 {
                    self.counters.add("fleet feed lists beyond the bound");
                    log::warn!(
                        "{left_out} caches of a list exceed the limit of {MAX_LISTED_CACHES} and are ignored"
                    );
                }
                self.dispatch(DiscoveryEvent::Roster { snapshot: false, list });
            }
            Ok((_, Some(event))) => self.dispatch(event),
            Ok((_, None)) => {}
            Err(why) => {
                self.counters.add("fleet feed events that can't be used");
                log::warn!("feed event can't be used: {why}");
            }
        }
    }

    fn dispatch(&self, event: DiscoveryEvent) {
        if let Some(gateway) = &self.gateway {
            self.counters.add("bulletin events");
            // Fails only if the dispatcher has ended, and with it the process.
            _ = gateway.dispatcher.try_send(Event::Discovery(event));
        }
    }

    async fn wait_for_wanted(&self, stream: usize, wanted: bool) {
        loop {
            let changed = self.wanted_changed.listen();
            if self.wanted[stream].get() == wanted {
                return;
            }
            changed.await;
        }
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let core = self.core.borrow();
        let (c, t) = (core.counts, core.traffic);
        let mut all = core.sizes();
        all.extend(self.gateway.iter().map(|g| ("fleet feed caches listed", g.owners.borrow().0.len())));
        let stream_counters = self.stream_counters.iter().enumerate().flat_map(|(i, names)| {
            let done = core.watermarks(i);
            names.iter().copied().zip([core.position(i), done.in_touch, done.everywhere])
        });
        let streams = 0..self.streams.len();
        let wanted = streams.clone().filter(|i| core.wants_connection(*i)).count() as u64;
        let now = self.clock.now();
        let ages = streams.filter_map(|i| core.staleness(now, i)).map(Span::as_micros);
        let counts = [
            ("fleet feed oldest age us", ages.max().unwrap_or(0)),
            ("fleet feed numbers missing", core.missing_count()),
            ("fleet feed is contact", u64::from(core.is_contact())),
            ("fleet feed list services asked now", wanted),
            ("fleet feed bundles made", c.bundles_made),
            ("fleet feed provisional made", c.provisional_made),
            ("fleet feed bundles", c.bundles),
            ("fleet feed provisional", c.provisional),
            ("fleet feed copies", c.duplicates),
            ("fleet feed purges", c.purges),
            ("fleet feed lines", c.lines),
            ("fleet feed gaps purged", c.gaps_purged),
            ("fleet feed fetches", c.retransmit_requests),
            ("fleet feed repaired", c.repaired),
            ("fleet feed lacked", c.requests_unserved),
            ("fleet feed contacts", c.contact_promotions),
            ("fleet feed hubs left", c.hub_switches),
            ("fleet feed list services asked", c.list_connections),
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
        all.extend(stream_counters.chain(counts).map(|(name, n)| (name, n as usize)));
        all
    }

    /// Logs the counters of a hub, and who has not acknowledged.
    fn log_status(&self) {
        *self.counters.table_sizes.borrow_mut() = self.sizes();
        log::info!("{}", self.counters);
        let (unacked, false_acks) = {
            let core = self.core.borrow();
            (core.unacked(), core.false_acks())
        };
        for (site, member, times) in false_acks.iter().take(MAX_LOGGED_LINES) {
            log::info!("acknowledged events that were never sent: {member} of {site}, {times} times");
        }
        for one in unacked.iter().take(MAX_LOGGED_LINES) {
            let stream = &self.streams[one.stream].name;
            match &one.member {
                Some(member) => {
                    log::info!("not confirmed: {} of {}, {stream} to {}", member, one.site, one.position)
                }
                None => log::info!("not confirmed: {}, {stream} to {}", one.site, one.position),
            }
        }
        if unacked.len() > MAX_LOGGED_LINES {
            log::info!("not confirmed: {} more", unacked.len() - MAX_LOGGED_LINES);
        }
    }
}

/// Subscribes to one list service and passes its lines to the core.
struct ListSubscriber {
    feed: Rc<Feed>,
    stream: usize,
}

impl Subscriber for ListSubscriber {
    fn last_event(&self) -> u64 {
        self.feed.core.borrow().resume_after(self.stream)
    }

    fn on_line(&mut self, line: &[u8]) -> Result<(), String> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        if let Some(seq) = crate::digits(line) {
            let fits = self.feed.with_core(|core, now| core.handle_last(now, self.stream, seq));
            return if fits {
                Ok(())
            } else {
                Err(format!("last sequence number {seq}, but received only up to {}", self.last_event()))
            };
        }
        self.feed.with_core(|core, now| core.handle_line(now, self.stream, line)).map_err(|e| e.to_string())
    }

    fn connection_wanted(&self) -> impl Future<Output = ()> {
        self.feed.wait_for_wanted(self.stream, true)
    }

    fn connection_unwanted(&self) -> impl Future<Output = ()> {
        self.feed.wait_for_wanted(self.stream, false)
    }

    fn connection_ended(&mut self) {
        self.feed.with_core(|core, now| core.handle_disconnect(now, self.stream));
    }
}

/// Runs a hub until SIGTERM. `read` returns its file as it is now.
pub async fn run_control(
    tasks: Tasks,
    file: File,
    mut signals: Signals,
    read: impl Fn() -> Result<File, String>,
) -> Result<(), String> {
    let socket =
        Async::<UdpSocket>::bind(file.listen).map_err(|e| format!("listen: {}: {e}", file.listen))?;
    let socket = Rc::new(socket);
    let (clock, counters) = (Clock::start(), Rc::default());
    let resources = Resources { tasks, clock, counters, socket };
    let Some(feed) = Feed::start(resources, &file, None)? else { return Err("feed: missing".to_owned()) };
    feed.subscribe(tasks, None);
    log::info!("{} is a hub at {}", file.gateway, file.listen);
    let receive_loop = async {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            for _ in 0..MAX_DATAGRAMS_PER_TURN {
                match feed.socket.recv_from(&mut bytes).await {
                    Ok((n, from)) => feed.handle_datagram(from, &bytes[..n]),
                    // A closed remote port is reported as an error by the next call.
                    Err(e) => log::debug!("feed socket: {e}"),
                }
            }
            future::yield_now().await;
        }
    };
    let handle_signals = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => feed.log_status(),
                Ok(Signal::Hup) => match read() {
                    Ok(file) => feed.reload(&file),
                    Err(why) => {
                        feed.counters.add("fleet keys that can't be used");
                        log::warn!("{why}; keeping keys and addresses");
                    }
                },
                Ok(_) => return feed.log_status(),
                Err(e) => log::warn!("signals: {e}"),
            }
        }
        future::pending().await
    };
    future::or(handle_signals, receive_loop).await;
    Ok(())
}

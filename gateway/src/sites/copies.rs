//! Connects this gateway to the other holders of replicated ledgers: one QUIC connection to each, frames in both
//! directions, and the acceptor's requests to groups. Placement, leadership and acceptance are decided in
//! `kelpcart-copies`. Runs only if `KELPCART_COPIES` names a settings file.

use super::{LinkContext, MIN_SLEEP, random_id};
use async_channel::{Receiver, Sender};
use event_listener::Event as Wakeup;
use futures_lite::future;
use kelpcart::{Span, Time};
use kelpcart_copies::client::RequestError;
use kelpcart_copies::command::{CommandResult, Operation};
use kelpcart_copies::node::{Node, Out, length_prefixed};
use kelpcart_copies::outcome_log::{OutcomeLog, Writer};
use kelpcart_copies::settings::Copies as Settings;
use kelpcart_copies::wire::{MAX_FRAME_BYTES, MAX_SNAPSHOT_BYTES};
use kelpcart_sites::quic::{self, Connection, Endpoint, Incoming, RecvStream};
use kelpcart_sites::settings::Sites;
use rand::Rng;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// Timeout of a dial, and of the first frame on a new connection.
const CONNECT_TIMEOUT: Span = Span::from_millis(1_000);
/// Longest wait between two dials, with jitter down to half of it.
const REDIAL_INTERVAL: Span = Span::from_millis(150);
/// A connection to a holder that is not heard for this time is closed and dialled again.
const IDLE_TIMEOUT: Span = Span::from_millis(1_200);
/// Frames queued for a connection; further ones are dropped, as by a lossy network.
const MAX_QUEUED_FRAMES: usize = 4_096;
/// Bytes of a snapshot that are written before other tasks run.
const CHUNK_BYTES: usize = 64 * 1024;
/// Frames joined into one write.
const MAX_FRAMES_PER_WRITE: usize = 64;
/// Snapshots queued for one holder.
const MAX_QUEUED_SNAPSHOTS: usize = 2;

/// A response from a group, or a group's new ledger.
pub enum GroupEvent {
    Response(u64, Result<CommandResult, RequestError>),
    LedgerChanged(u32, u64),
}

#[derive(Default)]
struct Peer {
    /// The queue of the current connection, if there is one.
    frames: Option<Sender<Vec<u8>>>,
    snapshots: Option<Sender<Vec<u8>>>,
    /// Notified when the current connection must be replaced.
    renew: Rc<Wakeup>,
    last_heard: Cell<Time>,
}

pub struct Copies {
    context: LinkContext,
    settings: Settings,
    site: String,
    node: RefCell<Node>,
    endpoint: Endpoint,
    keys: Rc<RefCell<quic::Keys>>,
    peers: RefCell<Vec<Peer>>,
    wake: Wakeup,
    sleeps_until: Cell<Time>,
    events: Sender<GroupEvent>,
    /// Writes outcomes to the disk, if configured.
    writer: Option<Writer>,
}

impl Copies {
    /// Also returns the receiver of group events.
    pub fn start(
        context: &LinkContext,
        text: &str,
        sites: &Sites,
        keys: &Rc<RefCell<quic::Keys>>,
    ) -> Result<(Rc<Copies>, Receiver<GroupEvent>), String> {
        let file = Settings::parse(text).map_err(|e| e.to_string())?;
        if sites.ledger.file.is_some() {
            return Err("the ledger can be kept in a file or replicated, not both".to_owned());
        }
        if sites.listen.is_none() {
            return Err("the site's settings have no `listen`, so there is no ledger to replicate".to_owned());
        }
        let now = context.clock.now();
        let mut node = Node::new(&file, random_id(), rand::rng().random(), now)
            .ok_or("gateway: it is not among the holders")?;
        let mut writer = None;
        if let Some(folder) = &file.disk {
            let (log, found) = OutcomeLog::open(folder).map_err(|e| format!("disk: {e}"))?;
            if found.damaged > 0 {
                log::warn!("skipped {} torn or damaged outcome records", found.damaged);
            }
            log::info!("read {} outcome records from the disk", found.records.len());
            node.recover(found.records);
            writer = Some(Writer::start(log).map_err(|e| format!("disk: {e}"))?);
        }
        let endpoint =
            Endpoint::start(Some(file.listen), &keys.borrow()).map_err(|e| format!("listen: {e}"))?;
        let (events, receiver) = async_channel::unbounded();
        let peers = (0..node.holders()).map(|_| Peer::default()).collect();
        let copies = Rc::new(Copies {
            context: context.clone(),
            site: sites.site.clone(),
            node: RefCell::new(node),
            endpoint,
            keys: Rc::clone(keys),
            peers: RefCell::new(peers),
            wake: Wakeup::new(),
            sleeps_until: Cell::new(now),
            events,
            writer,
            settings: file,
        });
        let driven = copies.endpoint.clone();
        context.tasks.spawn(async move { driven.drive().await }).detach();
        context.tasks.spawn(Rc::clone(&copies).run_timer()).detach();
        context.tasks.spawn(Rc::clone(&copies).accept()).detach();
        if copies.writer.is_some() {
            context.tasks.spawn(Rc::clone(&copies).receive_write_results()).detach();
        }
        let me = copies.settings.own_index();
        for holder in (0..copies.settings.holders.len()).filter(|h| Some(*h) != me) {
            context.tasks.spawn(Rc::clone(&copies).maintain_connection(holder)).detach();
        }
        let f = &copies.settings;
        log::info!(
            "{} replicates ledgers with {} other gateways, listening at {}",
            f.gateway,
            f.holders.len() - 1,
            f.listen
        );
        Ok((copies, receiver))
    }

    /// Applies reloaded keys and the reloaded list of holders that are lost for good.
    pub fn reread(&self, text: Result<String, String>) {
        self.endpoint.set_keys(&self.keys.borrow(), true);
        match text.and_then(|text| Settings::parse(&text).map_err(|e| e.to_string())) {
            Ok(file) => {
                if !file.lost.is_empty() {
                    log::warn!("{:?} are marked as lost for good: what only they held is unknown", file.lost);
                }
                self.node.borrow_mut().set_lost_holders(&file.lost);
            }
            Err(why) => log::warn!("replication settings not reloaded: {why}"),
        }
    }

    pub fn group_of(&self, sender: u64) -> u32 {
        self.node.borrow().group_of(sender)
    }

    pub fn ledger(&self, group: u32) -> Option<u64> {
        self.node.borrow().ledger(group)
    }

    /// Submits a request. The caller must call `flush` after storing the request id.
    pub fn submit(&self, group: u32, importance: u8, operation: Operation) -> u64 {
        let now = self.context.clock.now();
        self.node.borrow_mut().submit(now, group, importance.into(), operation)
    }

    pub fn flush(&self) {
        self.process_outputs();
        let now = self.context.clock.now();
        self.wake_if_earlier(now);
    }

    /// How long after its request a gateway may run an accepted txn. It does not count as lost before that.
    pub fn accept_lease(&self) -> Span {
        Span::from_millis(self.settings.times.wait_ms)
    }

    /// Larger answers are not kept.
    pub fn max_answer_bytes(&self) -> usize {
        self.settings.bounds.answer_kb * 1024
    }

    pub fn stop(&self) {
        let now = self.context.clock.now();
        self.node.borrow_mut().leave(now);
        self.wake.notify(1);
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let node = self.node.borrow();
        let (t, c, (refused, timed_out)) = (&node.totals, node.counters(), node.failed_requests());
        let (led, _) = node.leader_counts(self.context.clock.now());
        let mut all = node.sizes().to_vec();
        all.extend(
            [
                ("copies groups with a leader", led as u64),
                ("copies groups founded", t.founded),
                ("copies memberships", t.joined),
                ("copies memberships dropped", t.dropped),
                ("copies majorities lost", t.lost_majorities),
                ("copies elections", c.elections),
                ("copies led before", c.leaderships),
                ("copies steps proposed", c.proposed),
                ("copies steps applied", c.applied),
                ("copies told off for room", c.busy),
                ("copies members replaced", c.replaced),
                ("copies images made", c.snapshots_created),
                ("copies images taken", c.snapshots_installed),
                ("copies questions told off", refused),
                ("copies questions unheard", timed_out),
                ("copies endings recalled", t.imported),
                ("copies frames in", t.frames_in),
                ("copies bytes in", t.bytes_in),
                ("copies frames out", t.frames_out),
                ("copies bytes out", t.bytes_out),
                ("copies frames refused", t.invalid_frames),
            ]
            .map(|(name, n)| (name, n as usize)),
        );
        all
    }

    async fn run_timer(self: Rc<Self>) {
        loop {
            let now = self.context.clock.now();
            self.node.borrow_mut().tick(now);
            self.process_outputs();
            let woken = self.wake.listen();
            let at = self.node.borrow().next_wake().max(now + MIN_SLEEP);
            self.sleeps_until.set(at);
            self.context.clock.timeout_at(at, woken).await;
        }
    }

    async fn receive_write_results(self: Rc<Self>) {
        let Some(writer) = &self.writer else { return };
        while let Ok((mark, written)) = writer.completions.recv().await {
            self.with_node(
                |node, now| if written { node.writes_persisted(now, mark) } else { node.write_failed(now) },
            );
        }
    }

    /// Wakes the timer task if the node needs a tick earlier than planned.
    fn wake_if_earlier(&self, now: Time) {
        if self.node.borrow().next_wake().max(now) < self.sleeps_until.get() {
            self.wake.notify(1);
        }
    }

    fn process_outputs(&self) {
        loop {
            let Some(out) = self.node.borrow_mut().poll() else { return };
            match out {
                Out::Send { holder, frame, is_snapshot } => {
                    let peers = self.peers.borrow();
                    let queue = if is_snapshot { &peers[holder].snapshots } else { &peers[holder].frames };
                    // The core treats a frame dropped here like one lost by the network.
                    if queue.as_ref().is_none_or(|queue| queue.try_send(frame).is_err()) {
                        self.context.counters.add("copies frames not sent");
                    }
                }
                Out::Write { mark, records } => {
                    let queued = self.writer.as_ref().is_some_and(|w| w.write(mark, records));
                    if !queued {
                        self.context.counters.add("copies writes without room");
                        let now = self.context.clock.now();
                        self.node.borrow_mut().write_failed(now);
                    }
                }
                // Sending fails only when the process ends.
                Out::Response(response) => {
                    _ = self.events.try_send(GroupEvent::Response(response.request_id, response.result))
                }
                Out::LedgerChanged { group, ledger } => {
                    _ = self.events.try_send(GroupEvent::LedgerChanged(group, ledger))
                }
            }
        }
    }

    fn with_node<T>(&self, what: impl FnOnce(&mut Node, Time) -> T) -> T {
        let now = self.context.clock.now();
        let result = what(&mut self.node.borrow_mut(), now);
        self.process_outputs();
        self.wake_if_earlier(now);
        result
    }

    /// Keeps a connection to a holder for outgoing frames.
    async fn maintain_connection(self: Rc<Self>, holder: usize) {
        let clock = self.context.clock;
        loop {
            let keys = self.keys.borrow().clone();
            let address = self.settings.holders[holder].address;
            let dial = self.endpoint.dial(&keys, address, &self.site);
            match clock.timeout(CONNECT_TIMEOUT, dial).await {
                Some(Ok(connection)) => {
                    self.send_to(holder, &connection).await;
                    quic::close(&connection, "renewed");
                    {
                        let peer = &mut self.peers.borrow_mut()[holder];
                        (peer.frames, peer.snapshots) = (None, None);
                    }
                    self.with_node(|node, now| node.connection_lost(now, holder));
                }
                Some(Err(why)) => {
                    log::debug!("no connection to {}: {why}", self.settings.holders[holder].name)
                }
                None => {}
            }
            let wait = REDIAL_INTERVAL * rand::rng().random_range(0.5..1.0);
            clock.sleep(wait).await;
        }
    }

    /// Sends queued frames until the connection fails or must be replaced.
    async fn send_to(&self, holder: usize, connection: &Connection) {
        let clock = self.context.clock;
        let Some(Ok((mut send, _recv))) = clock.timeout(CONNECT_TIMEOUT, connection.open_bi()).await else {
            return;
        };
        _ = send.set_priority(1);
        let greeting = length_prefixed(&self.node.borrow().hello());
        if quic::write(&mut send, &greeting).await.is_err() {
            return;
        }
        let (frames, waiting) = async_channel::bounded::<Vec<u8>>(MAX_QUEUED_FRAMES);
        let (snapshots, queued_snapshots) = async_channel::bounded::<Vec<u8>>(MAX_QUEUED_SNAPSHOTS);
        let renew = {
            let peer = &mut self.peers.borrow_mut()[holder];
            (peer.frames, peer.snapshots) = (Some(frames), Some(snapshots));
            peer.last_heard.set(clock.now());
            Rc::clone(&peer.renew)
        };
        let renewed = renew.listen();
        let write = async {
            while let Ok(frame) = waiting.recv().await {
                let mut bytes = length_prefixed(&frame);
                for _ in 0..MAX_FRAMES_PER_WRITE {
                    let Ok(more) = waiting.try_recv() else { break };
                    bytes.extend(length_prefixed(&more));
                }
                if quic::write(&mut send, &bytes).await.is_err() {
                    return;
                }
            }
        };
        let send_snapshots = async {
            while let Ok(snapshot) = queued_snapshots.recv().await {
                let Ok((mut send, _recv)) = connection.open_bi().await else { return };
                // Snapshots have a lower priority than all other streams.
                _ = send.set_priority(0);
                let bytes = length_prefixed(&snapshot);
                for slice in bytes.chunks(CHUNK_BYTES) {
                    if quic::write(&mut send, slice).await.is_err() {
                        return;
                    }
                    future::yield_now().await;
                }
                _ = send.finish();
            }
        };
        let silent = async {
            loop {
                let at = self.peers.borrow()[holder].last_heard.get() + IDLE_TIMEOUT;
                if at <= clock.now() {
                    return;
                }
                clock.sleep_until(at).await;
            }
        };
        let closed = async { _ = connection.closed().await };
        let over = future::or(silent, future::or(closed, renewed));
        future::or(over, future::or(write, send_snapshots)).await;
    }

    async fn accept(self: Rc<Self>) {
        let connections = Rc::new(Cell::new(0));
        while let Some(incoming) = self.endpoint.accept().await {
            if connections.get() >= 4 * self.settings.holders.len() {
                self.context.counters.add("copies connections over the bound");
                incoming.refuse();
                continue;
            }
            connections.set(connections.get() + 1);
            let (copies, count) = (Rc::clone(&self), Rc::clone(&connections));
            let work = async move {
                if let Err(why) = copies.receive(incoming).await {
                    copies.context.counters.add("copies connections turned away");
                    log::warn!("replication connection refused: {why}");
                }
                count.set(count.get() - 1);
            };
            self.context.tasks.spawn(work).detach();
        }
    }

    /// Receives a holder's frames until its connection ends.
    async fn receive(self: &Rc<Self>, incoming: Incoming) -> Result<(), String> {
        let clock = self.context.clock;
        let accepted = async {
            let connection = incoming.await.map_err(|e| e.to_string())?;
            if !quic::certifies_site(&connection, &self.site) {
                return Err("the peer's certificate is not for this site".to_owned());
            }
            let (_, mut recv) = connection.accept_bi().await.map_err(|e| e.to_string())?;
            let first = read_frame(&mut recv, MAX_FRAME_BYTES).await.ok_or("no first frame")?;
            Ok((connection, recv, first))
        };
        // A peer that gave up before its first frame is not reported as an error.
        let Some(accepted) = clock.timeout(CONNECT_TIMEOUT * 2.0, accepted).await else { return Ok(()) };
        let (connection, mut recv, first) = accepted?;
        let known = self.peers.borrow().len();
        let (holder, id) = self.with_node(|node, now| node.hello_received(now, &first))?;
        debug_assert!(holder < known);
        log::info!("{} connected", self.settings.holders[holder].name);
        {
            // A holder that was silent has probably restarted, so the connection dialled earlier leads to its former
            // process.
            let peers = self.peers.borrow();
            if peers[holder].last_heard.get() + IDLE_TIMEOUT * 0.5 < clock.now() {
                peers[holder].renew.notify(1);
            }
            peers[holder].last_heard.set(clock.now());
        }
        let frames = async {
            while let Some(frame) = read_frame(&mut recv, MAX_FRAME_BYTES).await {
                self.peers.borrow()[holder].last_heard.set(clock.now());
                self.with_node(|node, now| node.frame_received(now, holder, id, &frame));
            }
        };
        let snapshots = async {
            while let Ok((_, mut recv)) = connection.accept_bi().await {
                if let Some(snapshot) = read_frame(&mut recv, MAX_SNAPSHOT_BYTES).await {
                    self.with_node(|node, now| node.frame_received(now, holder, id, &snapshot));
                }
            }
        };
        future::or(frames, snapshots).await;
        quic::close(&connection, "it ended");
        Ok(())
    }
}

/// The next frame; `None` at the end of the stream, or if the frame is too long.
async fn read_frame(stream: &mut RecvStream, max_bytes: usize) -> Option<Vec<u8>> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length = u32::from_be_bytes(length) as usize;
    if length > max_bytes {
        return None;
    }
    let mut bytes = Vec::new();
    // Memory grows with the bytes received, not with the announced length.
    while bytes.len() < length {
        let from = bytes.len();
        bytes.resize(length.min(from + CHUNK_BYTES), 0);
        stream.read_exact(&mut bytes[from..]).await.ok()?;
    }
    Some(bytes)
}

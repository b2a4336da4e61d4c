//! Discrete-event simulation of a datagram network for sans-I/O cores. Events are kept in a priority queue, so a step costs
//! O(log n) in the number of queued events, independent of the number of actors.
//!
//! Invariants: a run is determined by its seed; no event iterates over all actors; the recorded processor time covers the
//! cores only, not the simulation.

use cpu_time::ThreadTime;
use kelpcart::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A sans-I/O core hosted by the simulated network. Outputs other than datagrams are kept for the actor's owner.
pub trait Actor {
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]);
    fn tick(&mut self, now: Time);
    fn next_wake(&self, now: Time) -> Time;
    /// Returns the next datagram to send.
    fn poll_datagram(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
}

enum EventKind {
    Wake(usize),
    Datagram { from: usize, to: usize, bytes: Rc<[u8]> },
}

struct QueuedEvent {
    at: Time,
    seq: u64,
    kind: EventKind,
}

impl PartialEq for QueuedEvent {
    fn eq(&self, other: &QueuedEvent) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for QueuedEvent {}

impl PartialOrd for QueuedEvent {
    fn partial_cmp(&self, other: &QueuedEvent) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for QueuedEvent {
    /// The earliest event is the greatest, as `BinaryHeap` pops the maximum. Ties are broken by sequence number.
    fn cmp(&self, other: &QueuedEvent) -> Ordering {
        (other.at, other.seq).cmp(&(self.at, self.seq))
    }
}

/// Traffic in payload bytes and processor time of one actor since the last reset.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    /// Processor time of the actor's core, if `measure_cpu` is set.
    pub cpu_time: Duration,
}

pub struct Slot<A> {
    pub actor: Option<A>,
    pub address: SocketAddr,
    /// The actor is paused: it gets no events, and datagrams to it are lost.
    pub stopped: bool,
    /// Offset of the actor's clock from simulated time.
    pub clock_offset: Span,
    pub usage: Usage,
    wake: Option<Time>,
}

type LinkFn<T> = Box<dyn Fn(usize, usize) -> T>;

pub struct Sim<A> {
    pub now: Time,
    pub slots: Vec<Slot<A>>,
    pub rng: Pcg64Mcg,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Probability that a datagram is duplicated.
    pub duplication: f64,
    /// Mean one-way delay from the first actor to the second; a datagram takes 0.5 to 1.5 times as long.
    pub delay: LinkFn<Span>,
    /// Whether datagrams from the first actor to the second are dropped.
    pub link_down: LinkFn<bool>,
    /// Further links, from the first actor to the second, that drop all datagrams.
    pub down_links: BTreeSet<(usize, usize)>,
    /// Maximum number of datagrams captured for replay.
    pub capture_limit: usize,
    pub captured: Vec<(usize, usize, Vec<u8>)>,
    /// Whether the processor time of the cores is recorded.
    pub measure_cpu: bool,
    pub steps: u64,
    queue: BinaryHeap<QueuedEvent>,
    seq: u64,
    by_address: HashMap<SocketAddr, usize>,
    same_time_steps: (Time, u32),
}

impl<A: Actor> Sim<A> {
    pub fn new(seed: u64) -> Sim<A> {
        Sim {
            // Far from zero, so that times before the start can be represented.
            now: Time::from_micros(1_000_000_000),
            slots: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            duplication: 0.0,
            delay: Box::new(|_, _| Span::from_millis(1)),
            link_down: Box::new(|_, _| false),
            down_links: BTreeSet::new(),
            capture_limit: 0,
            captured: Vec::new(),
            measure_cpu: false,
            steps: 0,
            queue: BinaryHeap::new(),
            seq: 0,
            by_address: HashMap::new(),
            same_time_steps: (Time::default(), 0),
        }
    }

    /// Adds a slot for an actor and returns its index. The actor may be set later.
    pub fn add(&mut self, address: SocketAddr, actor: Option<A>) -> usize {
        let i = self.slots.len();
        let (stopped, clock_offset, usage) = (false, Span::ZERO, Usage::default());
        self.slots.push(Slot { actor: None, address, stopped, clock_offset, usage, wake: None });
        self.by_address.insert(address, i);
        self.set_actor(i, actor);
        i
    }

    /// Replaces the actor of a slot, which restarts it, or removes it.
    pub fn set_actor(&mut self, i: usize, actor: Option<A>) {
        let slot = &mut self.slots[i];
        (slot.actor, slot.stopped, slot.wake) = (actor, false, None);
        self.drain_output(i);
    }

    pub fn set_stopped(&mut self, i: usize, stopped: bool) {
        self.slots[i].stopped = stopped;
        self.slots[i].wake = None;
        if !stopped {
            self.drain_output(i);
        }
    }

    pub fn actor(&self, i: usize) -> Option<&A> {
        self.slots[i].actor.as_ref()
    }

    /// Returns all actors that exist and are not stopped.
    pub fn live(&self) -> impl Iterator<Item = (usize, &A)> {
        let live = self.slots.iter().enumerate().filter(|(_, s)| !s.stopped);
        live.filter_map(|(i, s)| Some((i, s.actor.as_ref()?)))
    }

    /// Returns the time by the local clock of an actor.
    pub fn local_time(&self, i: usize) -> Time {
        self.now + self.slots[i].clock_offset
    }

    /// Calls `act` on a running actor with its local time and sends the resulting datagrams.
    pub fn with_actor<T>(&mut self, i: usize, act: impl FnOnce(&mut A, Time) -> T) -> Option<T> {
        let (now, measure_cpu) = (self.local_time(i), self.measure_cpu);
        let slot = &mut self.slots[i];
        let actor = slot.actor.as_mut().filter(|_| !slot.stopped)?;
        let started = measure_cpu.then(ThreadTime::now);
        let result = act(actor, now);
        slot.usage.cpu_time += started.map_or(Duration::ZERO, |b| b.elapsed());
        self.drain_output(i);
        Some(result)
    }

    fn push(&mut self, at: Time, kind: EventKind) {
        self.seq += 1;
        self.queue.push(QueuedEvent { at, seq: self.seq, kind });
    }

    /// Sends a datagram between two actors, subject to loss, duplication and delay.
    pub fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if (self.link_down)(from, to)
            || self.down_links.contains(&(from, to))
            || self.rng.random_bool(self.loss)
        {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.duplication));
        let shared: Rc<[u8]> = Rc::from(bytes);
        for _ in 0..copies {
            let delay = (self.delay)(from, to) * self.rng.random_range(0.5..1.5);
            self.push(self.now + delay, EventKind::Datagram { from, to, bytes: Rc::clone(&shared) });
        }
    }

    fn drain_output(&mut self, i: usize) {
        while let Some((to, bytes)) = self.slots[i].actor.as_mut().and_then(A::poll_datagram) {
            self.slots[i].usage.datagrams_out += 1;
            self.slots[i].usage.bytes_out += bytes.len() as u64;
            if let Some(to) = self.by_address.get(&to).copied() {
                if self.captured.len() < self.capture_limit {
                    self.captured.push((i, to, bytes.clone()));
                }
                self.send(i, to, &bytes);
            }
        }
        let local = self.local_time(i);
        let slot = &mut self.slots[i];
        let Some(actor) = slot.actor.as_ref().filter(|_| !slot.stopped) else { return };
        let at = self.now + (actor.next_wake(local) - local);
        if slot.wake != Some(at) {
            slot.wake = Some(at);
            self.push(at, EventKind::Wake(i));
        }
    }

    /// Processes the next event that is due by `until` and returns the index of the actor that handled it.
    pub fn step(&mut self, until: Time) -> Option<usize> {
        while self.queue.peek().is_some_and(|q| q.at <= until) {
            let Some(next) = self.queue.pop() else { break };
            let at = next.at.max(self.now);
            self.same_time_steps =
                if self.same_time_steps.0 == at { (at, self.same_time_steps.1 + 1) } else { (at, 0) };
            let max_steps = 100 * self.slots.len().max(200) as u32;
            assert!(self.same_time_steps.1 < max_steps, "livelock: simulated time does not advance");
            self.now = at;
            let measure_cpu = self.measure_cpu;
            let (i, elapsed) = match next.kind {
                EventKind::Wake(i) => {
                    let local = self.local_time(i);
                    let slot = &mut self.slots[i];
                    if slot.wake != Some(next.at) || slot.stopped {
                        continue;
                    }
                    slot.wake = None;
                    let Some(actor) = slot.actor.as_mut() else { continue };
                    let started = measure_cpu.then(ThreadTime::now);
                    actor.tick(local);
                    (i, started.map(|b| b.elapsed()))
                }
                EventKind::Datagram { from, to, bytes } => {
                    let (local, sender) = (self.local_time(to), self.slots[from].address);
                    let slot = &mut self.slots[to];
                    let Some(actor) = slot.actor.as_mut().filter(|_| !slot.stopped) else { continue };
                    slot.usage.datagrams_in += 1;
                    slot.usage.bytes_in += bytes.len() as u64;
                    let started = measure_cpu.then(ThreadTime::now);
                    actor.handle_datagram(local, sender, &bytes);
                    (to, started.map(|b| b.elapsed()))
                }
            };
            self.slots[i].usage.cpu_time += elapsed.unwrap_or_default();
            self.steps += 1;
            self.drain_output(i);
            return Some(i);
        }
        self.now = self.now.max(until);
        None
    }

    pub fn run_for(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until).is_some() {}
    }

    pub fn reset_usage(&mut self) {
        self.slots.iter_mut().for_each(|s| s.usage = Usage::default());
    }
}

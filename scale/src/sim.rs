//! A network in simulated time for any core without I/O: an ordered queue of datagrams and wake times, so that a step
//! costs the logarithm of what waits, however many actors there are. Chance comes from one seed. Must never look at all
//! actors for one event; the processor time that it notes is that of the cores alone.

use cpu_time::ThreadTime;
use kelpcart::{Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A core that a network hosts. What it wants done beside datagrams it keeps for its owner.
pub trait Actor {
    fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]);
    fn tick(&mut self, now: Time);
    fn next_wake(&self, now: Time) -> Time;
    /// The next datagram that it sends.
    fn sent(&mut self) -> Option<(SocketAddr, Vec<u8>)>;
}

enum Due {
    Wake(usize),
    Datagram { from: usize, to: usize, bytes: Rc<[u8]> },
}

struct Queued {
    at: Time,
    number: u64,
    due: Due,
}

impl PartialEq for Queued {
    fn eq(&self, other: &Queued) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Queued) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    /// The earliest is the greatest; what is due at once goes by its number.
    fn cmp(&self, other: &Queued) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// What one actor has sent and taken since it was last reset, in payload bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Spent {
    pub bytes_in: u64,
    pub bytes_out: u64,
    pub datagrams_in: u64,
    pub datagrams_out: u64,
    /// Of its core alone, where the network measures it.
    pub processor: Duration,
}

pub struct Slot<A> {
    pub actor: Option<A>,
    pub address: SocketAddr,
    /// It is given nothing; what comes meanwhile is lost.
    pub stopped: bool,
    /// Its clock is that much ahead.
    pub ahead: Span,
    pub spent: Spent,
    wake: Option<Time>,
}

type Between<T> = Box<dyn Fn(usize, usize) -> T>;

pub struct Sim<A> {
    pub now: Time,
    pub slots: Vec<Slot<A>>,
    pub rng: Pcg64Mcg,
    /// The part of datagrams that is lost, and that comes twice.
    pub loss: f64,
    pub repeat: f64,
    /// One way, at the mean; a datagram takes half of it to once and a half of it.
    pub delay: Between<Span>,
    /// Nothing goes from the first to the second.
    pub cut: Between<bool>,
    /// Nothing goes from the first to the second, either.
    pub cuts: BTreeSet<(usize, usize)>,
    /// Datagrams that are kept to be sent again, at the most.
    pub records: usize,
    pub recorded: Vec<(usize, usize, Vec<u8>)>,
    /// Notes the processor time of the cores.
    pub measures: bool,
    pub steps: u64,
    queue: BinaryHeap<Queued>,
    number: u64,
    places: HashMap<SocketAddr, usize>,
    still: (Time, u32),
}

impl<A: Actor> Sim<A> {
    pub fn new(seed: u64) -> Sim<A> {
        Sim {
            // Far from zero, so that what lies before the start can be named.
            now: Time::from_micros(1_000_000_000),
            slots: Vec::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            loss: 0.0,
            repeat: 0.0,
            delay: Box::new(|_, _| Span::from_millis(1)),
            cut: Box::new(|_, _| false),
            cuts: BTreeSet::new(),
            records: 0,
            recorded: Vec::new(),
            measures: false,
            steps: 0,
            queue: BinaryHeap::new(),
            number: 0,
            places: HashMap::new(),
            still: (Time::default(), 0),
        }
    }

    /// A place for an actor, which may come later.
    pub fn add(&mut self, address: SocketAddr, actor: Option<A>) -> usize {
        let i = self.slots.len();
        let (stopped, ahead, spent) = (false, Span::ZERO, Spent::default());
        self.slots.push(Slot { actor: None, address, stopped, ahead, spent, wake: None });
        self.places.insert(address, i);
        self.put(i, actor);
        i
    }

    /// Starts one anew, or ends it.
    pub fn put(&mut self, i: usize, actor: Option<A>) {
        let slot = &mut self.slots[i];
        (slot.actor, slot.stopped, slot.wake) = (actor, false, None);
        self.pull(i);
    }

    pub fn stop(&mut self, i: usize, stopped: bool) {
        self.slots[i].stopped = stopped;
        self.slots[i].wake = None;
        if !stopped {
            self.pull(i);
        }
    }

    pub fn get(&self, i: usize) -> Option<&A> {
        self.slots[i].actor.as_ref()
    }

    /// Those that run.
    pub fn live(&self) -> impl Iterator<Item = (usize, &A)> {
        let live = self.slots.iter().enumerate().filter(|(_, s)| !s.stopped);
        live.filter_map(|(i, s)| Some((i, s.actor.as_ref()?)))
    }

    /// The time by the clock of one.
    pub fn at(&self, i: usize) -> Time {
        self.now + self.slots[i].ahead
    }

    /// Has one do something by its own clock; what it sends goes out.
    pub fn with<T>(&mut self, i: usize, act: impl FnOnce(&mut A, Time) -> T) -> Option<T> {
        let (now, measures) = (self.at(i), self.measures);
        let slot = &mut self.slots[i];
        let actor = slot.actor.as_mut().filter(|_| !slot.stopped)?;
        let begun = measures.then(ThreadTime::now);
        let given = act(actor, now);
        slot.spent.processor += begun.map_or(Duration::ZERO, |b| b.elapsed());
        self.pull(i);
        Some(given)
    }

    fn push(&mut self, at: Time, due: Due) {
        self.number += 1;
        self.queue.push(Queued { at, number: self.number, due });
    }

    /// A datagram from one to another, as if the first had sent it.
    pub fn send(&mut self, from: usize, to: usize, bytes: &[u8]) {
        if (self.cut)(from, to) || self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let copies = 1 + u32::from(self.rng.random_bool(self.repeat));
        let shared: Rc<[u8]> = Rc::from(bytes);
        for _ in 0..copies {
            let takes = (self.delay)(from, to) * self.rng.random_range(0.5..1.5);
            self.push(self.now + takes, Due::Datagram { from, to, bytes: Rc::clone(&shared) });
        }
    }

    fn pull(&mut self, i: usize) {
        while let Some((to, bytes)) = self.slots[i].actor.as_mut().and_then(A::sent) {
            self.slots[i].spent.datagrams_out += 1;
            self.slots[i].spent.bytes_out += bytes.len() as u64;
            if let Some(to) = self.places.get(&to).copied() {
                if self.recorded.len() < self.records {
                    self.recorded.push((i, to, bytes.clone()));
                }
                self.send(i, to, &bytes);
            }
        }
        let own = self.at(i);
        let slot = &mut self.slots[i];
        let Some(actor) = slot.actor.as_ref().filter(|_| !slot.stopped) else { return };
        let at = self.now + (actor.next_wake(own) - own);
        if slot.wake != Some(at) {
            slot.wake = Some(at);
            self.push(at, Due::Wake(i));
        }
    }

    /// The next thing that happens, but not beyond `until`; who it happened to.
    pub fn step(&mut self, until: Time) -> Option<usize> {
        while self.queue.peek().is_some_and(|q| q.at <= until) {
            let Some(next) = self.queue.pop() else { break };
            let at = next.at.max(self.now);
            self.still = if self.still.0 == at { (at, self.still.1 + 1) } else { (at, 0) };
            let most = 100 * self.slots.len().max(200) as u32;
            assert!(self.still.1 < most, "time stands still");
            self.now = at;
            let measures = self.measures;
            let (i, given) = match next.due {
                Due::Wake(i) => {
                    let own = self.at(i);
                    let slot = &mut self.slots[i];
                    if slot.wake != Some(next.at) || slot.stopped {
                        continue;
                    }
                    slot.wake = None;
                    let Some(actor) = slot.actor.as_mut() else { continue };
                    let begun = measures.then(ThreadTime::now);
                    actor.tick(own);
                    (i, begun.map(|b| b.elapsed()))
                }
                Due::Datagram { from, to, bytes } => {
                    let (own, sender) = (self.at(to), self.slots[from].address);
                    let slot = &mut self.slots[to];
                    let Some(actor) = slot.actor.as_mut().filter(|_| !slot.stopped) else { continue };
                    slot.spent.datagrams_in += 1;
                    slot.spent.bytes_in += bytes.len() as u64;
                    let begun = measures.then(ThreadTime::now);
                    actor.datagram(own, sender, &bytes);
                    (to, begun.map(|b| b.elapsed()))
                }
            };
            self.slots[i].spent.processor += given.unwrap_or_default();
            self.steps += 1;
            self.pull(i);
            return Some(i);
        }
        self.now = self.now.max(until);
        None
    }

    pub fn run(&mut self, span: Span) {
        let until = self.now + span;
        while self.step(until).is_some() {}
    }

    pub fn reset_spent(&mut self) {
        self.slots.iter_mut().for_each(|s| s.spent = Spent::default());
    }
}

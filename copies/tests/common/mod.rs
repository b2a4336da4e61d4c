//! Holders of copies in simulated time, with kills that lose all, stops, cuts, loss and late frames between them, and
//! senders of other sites whose books run at a store that counts. The rules are checked here from what was told and
//! what ran, apart from the code that decides. Chance comes from one seed.
#![allow(dead_code, reason = "each test file uses its part")]

use kelpcart::{Span, Time};
use kelpcart_copies::client::{RequestError, Response};
use kelpcart_copies::command::{CommandResult, Operation, OutcomeRecord, RegisterSender, TxnKey};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::settings::Copies;
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

pub fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

pub fn file(i: usize, n: usize, copies: usize, groups: u32, disk: bool) -> Copies {
    let holder = |i: usize| json!({"name": format!("g{i}"), "address": format!("127.0.0.1:{}", 7_000 + i), "zone": format!("z{}", i % 3)});
    let all = json!({
        "gateway": format!("g{i}"), "listen": format!("127.0.0.1:{}", 7_000 + i), "copies": copies, "groups": groups,
        "holders": (0..n).map(holder).collect::<Vec<_>>(),
        "times": {"absent_ms": 4_000},
        "bounds": {"entries": 2_000, "log": 256, "waiting": 512},
        "disk": disk.then_some("notes"),
    });
    Copies::parse(&all.to_string()).unwrap()
}

/// Remedies that can be left out, so that the rules are seen to find it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Without {
    /// A book is sent on before its taking is copied.
    pub copied_first: bool,
    /// It is answered before its ending is copied.
    pub ended_first: bool,
    /// A gateway that forgot all comes back under the id that it had.
    pub new_id: bool,
    /// Who was told off may be run all the same when its word comes late.
    pub given_up: bool,
}

/// What a gateway waits for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Why {
    Greet(usize),
    Take(Key),
    End(Key),
    Find(usize, Key),
    Settle,
    /// A look at what was promised, apart from senders.
    Probe(u64, Key),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Do {
    /// The disk has what it was given up to the mark.
    Written {
        at: usize,
        id: u64,
        mark: u64,
    },
    /// A frame arrives, of a start of a holder.
    Frame {
        from: usize,
        id: u64,
        to: usize,
        no: u64,
    },
    /// Two that do not know each other find together.
    Meet {
        a: usize,
        b: usize,
    },
    /// The store runs a book of a gateway's start; what it says comes back later.
    Run {
        at: usize,
        id: u64,
        key: Key,
    },
    Ran {
        at: usize,
        id: u64,
        key: Key,
    },
    /// A sender has something to do.
    Sender {
        sender: usize,
    },
}

pub struct Place {
    pub node: Option<Node>,
    pub stopped: bool,
    leaving: bool,
    /// Its clock is that much ahead of the others'.
    pub ahead: Span,
    starts: u64,
    waits: BTreeMap<u64, (Why, Time)>,
    /// Books that it runs, for a sender that waits for it, and the ledger that took each.
    runs: BTreeMap<Key, u64>,
    wake: Time,
    /// Its notes of endings, as far as the disk has them.
    disk: Vec<OutcomeRecord>,
}

struct Sender {
    run: u64,
    next: u64,
    /// The ledger that it was greeted by, and the gateway.
    greeted: Option<(u64, usize)>,
    book: Option<Book>,
    floor: u64,
}

#[derive(Clone, Copy, Debug)]
struct Book {
    number: u64,
    at: usize,
    id: u64,
    ledger: u64,
    since: Time,
    asking: bool,
}

/// How books ended for their senders.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ends {
    pub asked: u64,
    pub served: u64,
    pub told_off: u64,
    pub again: u64,
    pub aborted: u64,
}

pub struct Net {
    pub now: Time,
    pub all: Vec<Place>,
    files: Vec<Copies>,
    queue: BinaryHeap<Reverse<(Time, u64, Do)>>,
    frames: BTreeMap<u64, (Vec<u8>, bool)>,
    no: u64,
    pub rng: Pcg64Mcg,
    pub steps: u64,
    pub loss: f64,
    pub late: f64,
    pub delay: Span,
    pub cuts: BTreeSet<(usize, usize)>,
    known: BTreeMap<(usize, usize), (u64, u64)>,
    senders: Vec<Sender>,
    pub busy: bool,
    pub without: Without,
    pub ends: Ends,
    // What the rules go by.
    ran: BTreeMap<Key, u32>,
    never: BTreeSet<Key>,
    /// By ledger and txn: the one final word that was given, and since when it need not be known any more.
    words: BTreeMap<(u64, Key), CommandResult>,
    settled: BTreeSet<Key>,
    promised: BTreeMap<(u64, Key), Time>,
    pub broken: Vec<String>,
    pub leaderless: Vec<Span>,
    without_leader: Option<Time>,
    /// On its way to a disk, by holder, start and mark.
    writing: BTreeMap<(usize, u64, u64), Vec<OutcomeRecord>>,
    pub probes: Vec<(u64, Key, Result<CommandResult, RequestError>)>,
}

fn answer(key: Key) -> Answer {
    Answer { outcome: TxnOutcome::Served, body: key.number.to_be_bytes().to_vec() }
}

impl Net {
    pub fn new(n: usize, copies: usize, groups: u32, senders: usize, seed: u64) -> Net {
        Net::with(n, copies, groups, senders, seed, false)
    }

    pub fn with(n: usize, copies: usize, groups: u32, senders: usize, seed: u64, disk: bool) -> Net {
        let now = Time::from_micros(1_000_000_000);
        let place = || Place {
            node: None,
            stopped: false,
            leaving: false,
            ahead: Span::ZERO,
            starts: 0,
            waits: BTreeMap::new(),
            runs: BTreeMap::new(),
            wake: now,
            disk: Vec::new(),
        };
        let sender = |i| Sender { run: 900_000 + i, next: 1, greeted: None, book: None, floor: 0 };
        let mut net = Net {
            now,
            all: (0..n).map(|_| place()).collect(),
            files: (0..n).map(|i| file(i, n, copies, groups, disk)).collect(),
            queue: BinaryHeap::new(),
            frames: BTreeMap::new(),
            no: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            steps: 0,
            loss: 0.0,
            late: 0.0,
            delay: ms(1),
            cuts: BTreeSet::new(),
            known: BTreeMap::new(),
            senders: (0..senders as u64).map(sender).collect(),
            busy: true,
            without: Without::default(),
            ends: Ends::default(),
            ran: BTreeMap::new(),
            never: BTreeSet::new(),
            words: BTreeMap::new(),
            settled: BTreeSet::new(),
            promised: BTreeMap::new(),
            broken: Vec::new(),
            leaderless: Vec::new(),
            without_leader: None,
            writing: BTreeMap::new(),
            probes: Vec::new(),
        };
        (0..n).for_each(|i| net.start(i));
        (0..senders).for_each(|s| net.at(ms(20 + 7 * s as u64), Do::Sender { sender: s }));
        net
    }

    fn at(&mut self, after: Span, what: Do) {
        self.no += 1;
        self.queue.push(Reverse((self.now + after, self.no, what)));
    }

    pub fn start(&mut self, i: usize) {
        let place = &mut self.all[i];
        place.starts += 1;
        let id = 1_000 * (i as u64 + 1) + if self.without.new_id { 0 } else { place.starts };
        let seed = self.rng.random();
        place.node = Node::new(&self.files[i], id, seed, self.now + place.ahead);
        let notes = place.disk.clone();
        place.node.as_mut().expect("it is among the holders").recover(notes);
        (place.stopped, place.leaving, place.wake) = (false, false, self.now);
        self.known.retain(|(a, b), _| *a != i && *b != i);
        for j in (0..self.all.len()).filter(|j| *j != i) {
            self.at(ms(2), Do::Meet { a: i.min(j), b: i.max(j) });
        }
    }

    /// The machine is gone with all that it held.
    pub fn kill(&mut self, i: usize) {
        self.all[i].disk.clear();
        self.end(i);
    }

    /// Its process is gone; the disk has what had come to it.
    pub fn end(&mut self, i: usize) {
        let place = &mut self.all[i];
        place.node = None;
        place.waits.clear();
        place.runs.clear();
        self.known.retain(|(a, b), _| *a != i && *b != i);
        self.part(i);
    }

    /// Each file names these as lost, and is read again.
    pub fn lose_for_good(&mut self, gone: &[usize]) {
        let names: BTreeSet<String> = gone.iter().map(|i| format!("g{i}")).collect();
        self.files.iter_mut().for_each(|f| f.lost.clone_from(&names));
        for i in 0..self.all.len() {
            self.tell(i, |node, _| node.set_lost_holders(&names));
        }
    }

    /// It is told to stop: it takes no more, and what it runs ends.
    pub fn leave(&mut self, i: usize) {
        self.tell(i, |node, now| node.leave(now));
        for sender in &mut self.senders {
            let idle = sender.book.is_none() && sender.greeted.is_some_and(|(_, at)| at == i);
            sender.greeted = sender.greeted.filter(|_| !idle);
        }
        self.all[i].leaving = true;
    }

    pub fn stop(&mut self, i: usize, is: bool) {
        self.all[i].stopped = is;
        if is {
            // Its senders hear nothing of it, and ask elsewhere.
            self.part(i);
        } else {
            // What lies in its buffers may come before its own clock does.
            let wakes = ms(self.rng.random_range(0..100));
            self.all[i].wake = self.now + wakes;
        }
    }

    /// The links of other sites to a gateway break.
    pub fn part(&mut self, i: usize) {
        for s in 0..self.senders.len() {
            let sender = &mut self.senders[s];
            if sender.greeted.is_some_and(|(_, at)| at == i) {
                sender.greeted = None;
                if let Some(book) = &mut sender.book {
                    book.asking = true;
                }
                self.at(ms(5), Do::Sender { sender: s });
            }
        }
    }

    pub fn cut(&mut self, is: bool, of: impl Fn(usize, usize) -> bool) {
        let n = self.all.len();
        for (a, b) in (0..n).flat_map(|a| (0..n).map(move |b| (a, b))).filter(|(a, b)| a != b) {
            if !of(a, b) {
                continue;
            }
            if is {
                self.cuts.insert((a, b));
            } else {
                self.cuts.remove(&(a, b));
            }
        }
    }

    fn id(&self, i: usize) -> Option<u64> {
        self.all[i].node.as_ref().map(Node::id)
    }

    fn up(&self, i: usize) -> bool {
        self.all[i].node.is_some() && !self.all[i].stopped
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            let wakes = self.all.iter().filter(|p| p.node.is_some() && !p.stopped).map(|p| p.wake).min();
            let event = self.queue.peek().map(|Reverse(e)| e.0);
            let next = [wakes, event, Some(end)].into_iter().flatten().min().unwrap_or(end).max(self.now);
            self.now = next;
            if next >= end {
                return;
            }
            if event == Some(next) {
                if let Some(Reverse((_, _, what))) = self.queue.pop() {
                    self.act(what);
                }
                continue;
            }
            for i in 0..self.all.len() {
                if self.up(i) && self.all[i].wake <= self.now {
                    self.tell(i, |node, now| node.tick(now));
                }
            }
            self.watch_leader();
        }
    }

    fn watch_leader(&mut self) {
        let led = self
            .all
            .iter()
            .filter_map(|p| p.node.as_ref())
            .any(|n| n.member(0).is_some_and(|m| m.is_ready()));
        match (led, self.without_leader) {
            (false, None) => self.without_leader = Some(self.now),
            (true, Some(since)) => {
                self.leaderless.push(self.now - since);
                self.without_leader = None;
            }
            _ => {}
        }
    }

    fn tell<T>(&mut self, i: usize, what: impl FnOnce(&mut Node, Time) -> T) -> Option<T> {
        let (now, ahead) = (self.now, self.all[i].ahead);
        let node = self.all[i].node.as_mut()?;
        let given = what(node, now + ahead);
        self.steps += 1;
        let (mut outs, id) = (Vec::new(), node.id());
        while let Some(out) = node.poll() {
            outs.push(out);
        }
        if let Err(why) = node.check_invariants() {
            self.broken.push(why);
        }
        let wake = self.all[i].node.as_ref().map_or(now, |n| n.next_wake().saturating_sub(ahead));
        self.all[i].wake = wake.max(now + ms(1));
        for out in outs {
            match out {
                Out::Send { holder, frame, is_snapshot } => self.send(i, id, holder, frame, is_snapshot),
                Out::Response(told) => self.told(i, id, told),
                Out::Write { mark, records } => {
                    self.writing.insert((i, id, mark), records);
                    let after = ms(self.rng.random_range(1..5));
                    self.at(after, Do::Written { at: i, id, mark });
                }
                Out::LedgerChanged { group, ledger } => self.ledger_is(i, group, ledger),
            }
        }
        Some(given)
    }

    /// Who was greeted by another ledger has to be greeted anew.
    fn ledger_is(&mut self, i: usize, group: u32, ledger: u64) {
        for s in 0..self.senders.len() {
            let of = self.all[i].node.as_ref().is_some_and(|n| n.group_of(self.senders[s].run) == group);
            if of && self.senders[s].greeted.is_some_and(|(l, at)| at == i && l != 0 && l != ledger) {
                self.senders[s].greeted = None;
                self.senders[s].book.iter_mut().for_each(|b| b.asking = true);
                self.at(ms(5), Do::Sender { sender: s });
            }
        }
    }

    fn send(&mut self, from: usize, id: u64, to: usize, frame: Vec<u8>, image: bool) {
        let theirs = self.id(to);
        let knows = self.known.get(&(from.min(to), from.max(to)));
        let stands = knows.is_some_and(|(a, b)| {
            let (x, y) = if from < to { (*a, *b) } else { (*b, *a) };
            x == id && Some(y) == theirs
        });
        if !stands || self.cuts.contains(&(from, to)) || self.rng.random_bool(self.loss) {
            return;
        }
        let mut delay =
            self.delay * self.rng.random_range(0.5..1.5) + if image { ms(20) } else { Span::ZERO };
        if self.rng.random_bool(self.late) {
            delay = delay + ms(self.rng.random_range(100..30_000));
        }
        self.no += 1;
        let no = self.no;
        self.frames.insert(no, (frame, image));
        self.at(delay, Do::Frame { from, id, to, no });
    }

    fn act(&mut self, what: Do) {
        match what {
            Do::Frame { from, id, to, no } => {
                let Some((frame, _)) = self.frames.remove(&no) else { return };
                if self.all[to].stopped {
                    // It lies in the machine's buffers till the process goes on.
                    self.frames.insert(no, (frame, false));
                    return self.at(ms(50), what);
                }
                if self.up(to) && !self.cuts.contains(&(from, to)) {
                    self.tell(to, |node, now| node.frame_received(now, from, id, &frame));
                }
            }
            Do::Meet { a, b } => {
                let cut = self.cuts.contains(&(a, b)) || self.cuts.contains(&(b, a));
                if self.all[a].node.is_none() || self.all[b].node.is_none() {
                    return;
                }
                if cut || !self.up(a) || !self.up(b) {
                    return self.at(ms(100), what);
                }
                let greetings =
                    [a, b].map(|i| self.all[i].node.as_ref().map(Node::hello).unwrap_or_default());
                self.tell(a, |node, now| node.hello_received(now, &greetings[1]).unwrap());
                self.tell(b, |node, now| node.hello_received(now, &greetings[0]).unwrap());
                if let (Some(x), Some(y)) = (self.id(a), self.id(b)) {
                    self.known.insert((a, b), (x, y));
                }
            }
            Do::Run { at, id, key } => {
                // The hop reaches the store whether or not its gateway still lives.
                *self.ran.entry(key).or_default() += 1;
                if self.ran[&key] > 1 {
                    self.broken.push(format!("{key:?} ran twice"));
                }
                if self.never.contains(&key) {
                    self.broken.push(format!("{key:?} ran though it was called never taken"));
                }
                let took = ms(self.rng.random_range(10..80));
                self.at(took, Do::Ran { at, id, key });
            }
            Do::Ran { at, id, key } => {
                if self.id(at) != Some(id) {
                    return;
                }
                if self.all[at].stopped {
                    return self.at(ms(50), what);
                }
                if self.without.ended_first {
                    self.serve(at, key);
                }
                let of = self.all[at].runs.get(&key).copied().unwrap_or(0);
                self.ask(at, key.sender, 9, Operation::end(key, &answer(key), of), Why::End(key));
            }
            Do::Sender { sender } => self.sender(sender),
            Do::Written { at, id, mark } => {
                if self.id(at) != Some(id) {
                    return;
                }
                if self.all[at].stopped {
                    return self.at(ms(50), what);
                }
                for m in self.writing.range((at, id, 0)..=(at, id, mark)).map(|(k, _)| *k).collect::<Vec<_>>()
                {
                    let notes = self.writing.remove(&m).unwrap_or_default();
                    self.all[at].disk.extend(notes);
                }
                self.tell(at, |node, now| node.writes_persisted(now, mark));
            }
        }
    }

    fn ask(&mut self, at: usize, sender: u64, importance: u32, word: Operation, why: Why) {
        let (now, ahead) = (self.now, self.all[at].ahead);
        // The number is known before anything can come of it.
        let asked = self.all[at].node.as_mut().map(|node| {
            let group = node.group_of(sender);
            node.submit(now + ahead, group, importance, word)
        });
        if let Some(ask) = asked {
            self.all[at].waits.insert(ask, (why, now));
            self.tell(at, |_, _| ());
        }
    }

    /// A sender of another site: greets a gateway, has a book run, asks another one when its link broke.
    fn sender(&mut self, s: usize) {
        let live: Vec<usize> = (0..self.all.len()).filter(|&i| self.up(i) && !self.all[i].leaving).collect();
        if live.is_empty() {
            return self.at(ms(200), Do::Sender { sender: s });
        }
        let sender = &mut self.senders[s];
        let leaves = sender.greeted.is_some_and(|(_, at)| self.all[at].leaving);
        sender.greeted = sender.greeted.filter(|_| !leaves || sender.book.is_some());
        let at = live[self.rng.random_range(0..live.len())];
        let sender = &self.senders[s];
        let (run, number) = (sender.run, sender.next);
        if sender.greeted.is_none() {
            let fresh = sender.next;
            self.senders[s].greeted = Some((0, at));
            self.ask(
                at,
                run,
                5,
                Operation::RegisterSender(RegisterSender { sender: run, next_number: fresh }),
                Why::Greet(s),
            );
            return;
        }
        let Some((ledger, at)) = sender.greeted.filter(|(ledger, _)| *ledger != 0) else { return };
        if let Some(book) = sender.book {
            let key = Key { sender: run, number: book.number };
            if !book.asking {
                return;
            }
            // Another ledger is told which one had taken it.
            return self.ask(at, run, 9, Operation::query(key, book.ledger), Why::Find(s, key));
        }
        if !self.busy {
            return self.at(ms(100), Do::Sender { sender: s });
        }
        let Some(id) = self.id(at) else { return };
        let key = Key { sender: run, number };
        let sender = &mut self.senders[s];
        sender.next += 1;
        sender.book = Some(Book { number, at, id, ledger, since: self.now, asking: false });
        self.ends.asked += 1;
        if self.without.copied_first {
            self.at(ms(1), Do::Run { at, id, key });
        }
        self.ask(at, run, 9, Operation::accept(key), Why::Take(key));
    }

    /// A book has come to its end for its sender; the next one comes soon.
    fn over(&mut self, s: usize, count: impl FnOnce(&mut Ends)) {
        count(&mut self.ends);
        if let Some(book) = self.senders[s].book.take() {
            let run = self.senders[s].run;
            // Now and then it says that it needs no more of what was.
            if self.rng.random_bool(0.2) {
                self.senders[s].floor = book.number + 1;
                for n in 0..=book.number {
                    self.settled.insert(Key { sender: run, number: n });
                }
                if let Some((_, at)) = self.senders[s].greeted.filter(|(l, at)| *l != 0 && self.up(*at)) {
                    let below = TxnKey { sender: run, number: book.number + 1 };
                    self.ask(at, run, 9, Operation::Settle(below), Why::Settle);
                }
            }
        }
        let wait = ms(self.rng.random_range(1..60));
        self.at(wait, Do::Sender { sender: s });
    }

    fn by_run(&self, run: u64) -> usize {
        self.senders.iter().position(|s| s.run == run).unwrap()
    }

    /// The sender that waits at this gateway for the book has its answer.
    fn serve(&mut self, at: usize, key: Key) {
        let s = self.by_run(key.sender);
        let waits = self.senders[s].book.is_some_and(|b| b.number == key.number && b.at == at && !b.asking);
        let ledger = self.senders[s].book.map_or(0, |b| b.ledger);
        if waits && self.senders[s].greeted.is_some_and(|(_, g)| g == at) {
            self.final_word(ledger, key, CommandResult::Ended(answer(key).into()));
            if self.rng.random_bool(0.1) {
                // Its link breaks under the answer.
                self.senders[s].greeted = None;
                self.senders[s].book.iter_mut().for_each(|b| b.asking = true);
                return self.at(ms(5), Do::Sender { sender: s });
            }
            self.over(s, |e| e.served += 1);
        }
    }

    /// Each txn has one final word, whoever is asked, until its sender needs it no more.
    fn final_word(&mut self, ledger: u64, key: Key, word: CommandResult) {
        if self.settled.contains(&key) {
            return;
        }
        if word == CommandResult::NeverAccepted {
            if self.promised.contains_key(&(ledger, key)) {
                self.broken.push(format!("{key:?} had ended, and is called never taken"));
            }
            self.never.insert(key);
            if self.ran.contains_key(&key) {
                self.broken.push(format!("{key:?} is called never taken, and ran"));
            }
        }
        if let CommandResult::Ended(answer) = &word
            && answer.outcome == TxnOutcome::Served
            && !self.ran.contains_key(&key)
        {
            self.broken.push(format!("{key:?} is called served, and never ran"));
        }
        // What only machines knew that are lost with a majority is unknown to the ledger that follows.
        let now_kept = self.senders[self.by_run(key.sender)].greeted.map_or(0, |(l, _)| l);
        if word == CommandResult::Unknown && now_kept != ledger {
            return;
        }
        let first = self.words.entry((ledger, key)).or_insert_with(|| word.clone());
        if *first != word {
            self.broken
                .push(format!("{key:?} of {ledger:x} was {first:?} and is {word:?} at {:?}", self.now));
        }
    }

    fn told(&mut self, i: usize, id: u64, told: Response) {
        let Some((why, asked)) = self.all[i].waits.remove(&told.request_id) else { return };
        match why {
            Why::Settle => {}
            Why::Probe(ledger, key) => self.probes.push((ledger, key, told.result)),
            Why::Greet(s) => {
                let ledger =
                    self.all[i].node.as_ref().and_then(|n| n.ledger(n.group_of(self.senders[s].run)));
                let stands = self.senders[s].greeted.is_some_and(|(_, at)| at == i);
                if !stands {
                    return;
                }
                let fine = told.result == Ok(CommandResult::Registered(true));
                self.senders[s].greeted = ledger.filter(|_| fine).map(|l| (l, i));
                let wait = if fine { ms(1) } else { ms(150) };
                self.at(wait, Do::Sender { sender: s });
            }
            Why::Take(key) => self.take_told(i, id, key, asked, told.result),
            Why::End(key) => {
                self.all[i].runs.remove(&key);
                let s = self.by_run(key.sender);
                let mine = self.senders[s].book.filter(|b| b.number == key.number && b.at == i);
                match told.result {
                    Ok(CommandResult::Recorded) => {
                        if let Some(book) = mine {
                            self.promised.insert((book.ledger, key), self.now);
                        }
                        self.serve(i, key);
                    }
                    // Called unknown meanwhile, or not to be copied: what has run is not known.
                    _ if mine.is_some_and(|b| !b.asking) => self.over(s, |e| e.aborted += 1),
                    _ => {}
                }
            }
            Why::Find(s, key) => {
                let Some(book) = self.senders[s].book.filter(|b| b.number == key.number && b.asking) else {
                    return;
                };
                if self.senders[s].greeted.is_none_or(|(_, at)| at != i) {
                    return;
                }
                match told.result {
                    Ok(CommandResult::Running) => {
                        // It gives up at its limit.
                        if self.now - book.since >= ms(3_000) {
                            return self.over(s, |e| e.aborted += 1);
                        }
                        self.at(ms(50), Do::Sender { sender: s });
                    }
                    Ok(word) => {
                        let count: fn(&mut Ends) = match &word {
                            CommandResult::Ended(_) => |e| e.served += 1,
                            CommandResult::NeverAccepted => |e| e.again += 1,
                            _ => |e| e.aborted += 1,
                        };
                        self.final_word(book.ledger, key, word);
                        self.over(s, count);
                    }
                    Err(_) => self.over(s, |e| e.aborted += 1),
                }
            }
        }
    }

    fn take_told(
        &mut self,
        i: usize,
        id: u64,
        key: Key,
        asked: Time,
        result: Result<CommandResult, RequestError>,
    ) {
        let s = self.by_run(key.sender);
        let waits = self.senders[s].book.is_some_and(|b| b.number == key.number && b.at == i && !b.asking);
        match result {
            Ok(CommandResult::Granted) => {
                let group = self.all[i].node.as_ref().map_or(0, |n| n.group_of(key.sender));
                if self.leader(group).is_some() && self.voters(group).len() < 2 {
                    self.broken.push(format!("{key:?} is promised by one alone"));
                }
                let in_time = self.now - asked < ms(1_000);
                if self.without.copied_first {
                    return;
                }
                if in_time || self.without.given_up {
                    // Who was stopped meanwhile, and is held to be lost, sends nothing on.
                    let called =
                        self.words.iter().any(|((_, k), word)| *k == key && *word == CommandResult::Unknown);
                    if called {
                        self.broken.push(format!("{key:?} is sent on after it was called unknown"));
                    }
                    let of = self.senders[s].book.map_or(0, |b| b.ledger);
                    self.all[i].runs.insert(key, of);
                    let after = ms(self.rng.random_range(0..4));
                    self.at(after, Do::Run { at: i, id, key });
                } else {
                    // It was stopped in between: its right has run out.
                    let rejected =
                        Answer { outcome: TxnOutcome::Rejected { retry_after: None }, body: Vec::new() };
                    self.ask(i, key.sender, 9, Operation::end(key, &rejected, 0), Why::Settle);
                    if waits {
                        self.never.insert(key);
                        self.over(s, |e| e.told_off += 1);
                    }
                }
            }
            // Nobody but this gateway would act on it, and it does not.
            Err(_) if !self.without.copied_first => {
                if waits {
                    self.never.insert(key);
                    self.over(s, |e| e.told_off += 1);
                }
                let rejected =
                    Answer { outcome: TxnOutcome::Rejected { retry_after: None }, body: Vec::new() };
                if result == Err(RequestError::Unconfirmed) {
                    self.ask(i, key.sender, 9, Operation::end(key, &rejected, 0), Why::Settle);
                }
            }
            Ok(CommandResult::Full | CommandResult::NeverAccepted) if waits => {
                self.never.insert(key);
                self.over(s, |e| e.told_off += 1);
            }
            _ if waits => self.over(s, |e| e.aborted += 1),
            _ => {}
        }
    }

    pub fn assert_sound(&self) {
        assert!(self.broken.is_empty(), "{:#?}", &self.broken[..self.broken.len().min(5)]);
    }

    /// Groups that a leader says are ready, as every live gateway sees it.
    pub fn all_led(&self) -> bool {
        let mut live =
            self.all.iter().filter(|p| !p.stopped).filter_map(|p| Some((p.node.as_ref()?, p.ahead)));
        let groups = self.files[0].groups;
        live.all(|(n, ahead)| (0..groups).all(|g| n.has_majority(self.now + ahead, g)))
    }

    /// How many vote in a group, by its leader.
    pub fn voters(&self, group: u32) -> Vec<u64> {
        let leads = |n: &Node| n.member(group).filter(|m| m.is_ready()).map(|m| m.voters().to_vec());
        self.all.iter().filter_map(|p| p.node.as_ref()).find_map(leads).unwrap_or_default()
    }

    pub fn leader(&self, group: u32) -> Option<usize> {
        let leads =
            |p: &Place| p.node.as_ref().is_some_and(|n| n.member(group).is_some_and(|m| m.is_ready()));
        self.all.iter().position(leads)
    }

    /// What each holder knows of the groups, for a failure's message.
    pub fn state(&self) -> String {
        let mut out = String::new();
        for (i, place) in self.all.iter().enumerate() {
            let Some(node) = &place.node else { continue };
            let sees: Vec<bool> =
                (0..self.files[0].groups).map(|g| node.has_majority(self.now + place.ahead, g)).collect();
            out += &format!(
                "g{i} run {} stopped {} sees {sees:?} {:?}\n",
                node.id(),
                place.stopped,
                node.totals
            );
            for m in (0..self.files[0].groups).filter_map(|g| node.member(g)) {
                let (conf, steps) = (&m.log().conf_state, m.log());
                out += &format!(
                    "  group {} ledger {:x} id {:x} leads {} ready {} term {} leader {:x?} last {} commit {}\n    \
                    voters {:x?} before {:x?} learners {:x?} members {:x?}\n",
                    m.number,
                    m.ledger,
                    m.id,
                    m.is_leader(),
                    m.is_ready(),
                    m.term(),
                    m.leader(),
                    steps.last(),
                    steps.hard_state.commit,
                    conf.voters,
                    conf.voters_outgoing,
                    conf.learners,
                    m.members().map(|m| (m.id, m.holder, m.run_id)).collect::<Vec<_>>()
                );
            }
        }
        out
    }

    /// Memberships that the library gave up on.
    pub fn given_up(&self) -> u64 {
        self.all.iter().filter_map(|p| p.node.as_ref()).map(|n| n.totals.raft_panics).sum()
    }

    /// What a gateway is told of a question, in three seconds.
    pub fn question(&mut self, at: usize, word: Operation) -> Result<CommandResult, RequestError> {
        self.probes.clear();
        self.ask(at, 77, 9, word, Why::Probe(0, Key { sender: 77, number: 0 }));
        self.run(ms(3_000));
        self.probes.pop().map_or(Err(RequestError::Unconfirmed), |p| p.2)
    }

    pub fn ledger(&self, at: usize, group: u32) -> Option<u64> {
        self.all[at].node.as_ref()?.ledger(group)
    }

    /// The holders that are members of a group.
    pub fn member_holders(&self, group: u32) -> Vec<usize> {
        let holds = |i: &usize| self.all[*i].node.as_ref().is_some_and(|n| n.member(group).is_some());
        (0..self.all.len()).filter(holds).collect()
    }

    /// Looks for each promise at a gateway: what was found where it ended, and all that were looked for.
    pub fn probe(&mut self) -> (usize, usize) {
        self.probes.clear();
        let all = self.promises();
        for &(ledger, key) in &all {
            let live: Vec<usize> = (0..self.all.len()).filter(|&i| self.up(i)).collect();
            let at = live[self.rng.random_range(0..live.len())];
            self.ask(at, key.sender, 9, Operation::query(key, ledger), Why::Probe(ledger, key));
            self.run(ms(20));
        }
        self.run(ms(2_000));
        let ended = |p: &&(u64, Key, Result<CommandResult, RequestError>)| {
            p.2 == Ok(CommandResult::Ended(answer(p.1).into()))
        };
        (self.probes.iter().filter(ended).count(), all.len())
    }

    /// Finds each promise again, whoever is asked: of txns that ended and were not settled since.
    pub fn promises(&self) -> Vec<(u64, Key)> {
        self.promised.keys().filter(|(_, key)| !self.settled.contains(key)).copied().collect()
    }
}

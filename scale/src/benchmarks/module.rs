//! Cost of routing decisions at one gateway: drives the routing module through its public interface with simulated time and
//! simulated members.
//!
//! Invariant: all decisions are made by the module, none by the harness.

use crate::memory;
use crate::slopes::{Host, Sample, Series};
use cpu_time::ThreadTime;
use kelpcart::hash_prefix::{PrefixSet, object_hash};
use kelpcart::interface::*;
use kelpcart::{Gateway, Span, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

const EDGE: usize = 0;
const PARENT: usize = 1;
const ORIGIN: usize = 2;
/// Number of zones other than the gateway's own.
const OTHER_ZONES: usize = 29;
/// Gateways of the whole installation.
const GATEWAYS: u32 = 8_000;
/// Gateways that share the caches of one zone.
const ZONE_GATEWAYS: u32 = 267;
const OBJECT_KB: f64 = 120.0;
const CLIENT_KB_PER_S: f64 = 5_000.0;
const OBJECTS: u64 = 1 << 20;
/// Batching interval of the feed.
const FEED_PERIOD: Span = Span::from_millis(500);
/// Length of a purge's hash prefix in bits as long as the bandwidth allows it.
const HASH_BITS: u8 = 40;
/// How long the module keeps purges.
const PURGE_RETENTION: Span = Span::from_millis(7_000);
/// Ratio of txns that are cache hits.
const HIT_RATIO: f64 = 0.9;
/// Capacity of a member as a multiple of its txns in flight, so that no txn is rejected for lack of capacity.
const CAPACITY_FACTOR: f64 = 16.0;
const LOGIC: &str = "src/logic.rs";
const COMMAND: &str = "cargo run --release -p kelpcart-scale -- measure --only module --json FILE";

/// The values of all dimensions for one run.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Caches in the list, including those of the gateway's own zone.
    pub caches: usize,
    pub zone_caches: usize,
    pub parents: usize,
    pub purges_per_s: u32,
    /// Purges arrive as from the feed, as one set of hash prefixes per period; otherwise one by one with full hashes.
    pub purge_sets: bool,
    pub in_flight: usize,
    pub txns_per_s: f64,
    /// Gateways that share the caches of one zone.
    pub zone_gateways: u32,
    /// If set, the caches of the gateway's own zone have just started, and each has this capacity in concurrent transfers.
    pub cold: Option<f64>,
}

impl Default for Case {
    fn default() -> Case {
        let (caches, zone_caches, parents, purges_per_s) = (1_100, 37, 11, 0);
        let (purge_sets, in_flight, txns_per_s, zone_gateways, cold) =
            (false, 60, 1_200.0, ZONE_GATEWAYS, None);
        Case {
            caches,
            zone_caches,
            parents,
            purges_per_s,
            purge_sets,
            in_flight,
            txns_per_s,
            zone_gateways,
            cold,
        }
    }
}

impl Case {
    pub fn fixed(&self, over: &str) -> BTreeMap<String, f64> {
        let all = [
            ("caches", self.caches as f64),
            ("zone_caches", self.zone_caches as f64),
            ("parents", self.parents as f64),
            ("purges_per_s", f64::from(self.purges_per_s)),
            ("open_txns", self.in_flight as f64),
            ("txns_per_s", self.txns_per_s),
            ("zone_gateways", f64::from(self.zone_gateways)),
        ];
        let rest = all.into_iter().filter(|(name, _)| *name != over);
        rest.map(|(name, n)| (name.to_owned(), n)).collect()
    }

    fn purge_interval(&self) -> Span {
        if self.purge_sets { FEED_PERIOD } else { Span::from_secs_f64(1.0 / f64::from(self.purges_per_s)) }
    }

    fn txn_duration(&self) -> Span {
        Span::from_secs_f64(self.in_flight as f64 / self.txns_per_s)
    }

    fn settings(&self) -> Settings {
        let sla = Span::from_millis(500).max(self.txn_duration() * 4.0);
        let rule = RemapRule {
            effect: Effect::Repeatable,
            dedup_scope: DedupScope::All,
            dedup_window: Span::ZERO,
            sla,
            sla_size_factor: 1.6,
            max_age: Span::ZERO,
            max_stale: Span::ZERO,
            is_write: false,
        };
        let cold = |from| ColdStart {
            initial_share: from,
            warm_up: Span::from_millis(15_000),
            overload_factor: 2.0,
            overload_window: Span::from_millis(3_000),
        };
        Settings {
            gateways: GATEWAYS,
            zone_gateways: self.zone_gateways,
            zone: 0,
            rules: vec![rule],
            parent_kind: Some(PARENT),
            origin_kind: Some(ORIGIN),
            client_rate: CLIENT_KB_PER_S,
            capacities_known: true,
            bypass_allowed: true,
            coalescing: false,
            sibling_fills: FillScope::All,
            cancellation: true,
            retry_after_allowed: true,
            max_retry_after: Span::from_millis(2_000),
            max_hops: 6,
            connect_timeout: Span::from_millis(400),
            cache_cold_start: cold(0.2),
            parent_cold_start: cold(0.1),
            purge_propagation: Span::from_millis(6_000),
            subscription_required: false,
            subscribe_within: Span::from_millis(10_000),
            tick: Span::from_millis(1),
        }
    }

    fn list(&self, now: Time) -> Vec<Member> {
        let size = |sharers: u32, of: usize| {
            CAPACITY_FACTOR * self.in_flight as f64 / of.max(1) as f64 * f64::from(sharers) / 4.0
        };
        let cache = self.cold.unwrap_or_else(|| size(self.zone_gateways, self.zone_caches));
        let parent = size(GATEWAYS, self.parents);
        let zone_of = |i: usize| if i < self.zone_caches { 0 } else { 1 + i % OTHER_ZONES };
        let started = |i: usize| self.cold.filter(|_| i < self.zone_caches).map(|_| now);
        let caches = (0..self.caches).map(|i| {
            let m = member(format!("cache-{i}"), EDGE, zone_of(i), cache);
            Member { started: started(i), ..m }
        });
        let parents =
            (0..self.parents).map(|i| member(format!("parent-{i}"), PARENT, 1 + i % OTHER_ZONES, parent));
        let origin = (self.parents > 0).then(|| member("origin".to_owned(), ORIGIN, 1, parent));
        caches.chain(parents).chain(origin).collect()
    }
}

pub fn member(id: String, kind: usize, zone: usize, size: f64) -> Member {
    let (id, state) = (Arc::from(id), MemberState::Up);
    Member { id, zone: Some(zone), kind, cell: Some(0), state, capacity: size, started: None, remote: false }
}

#[derive(Clone, Debug, Default)]
pub struct Counts {
    pub submitted: u64,
    pub hops: u64,
    /// Txns that were rejected or aborted.
    pub refused: u64,
}

/// A gateway's routing module with simulated members that all answer after the same time.
pub struct Harness {
    pub gateway: Gateway,
    pub now: Time,
    pub counts: Counts,
    case: Case,
    rng: Pcg64Mcg,
    pending: VecDeque<(Time, Outcome, MemberId)>,
    next_purge: Time,
}

impl Harness {
    pub fn new(case: Case, seed: u64) -> Harness {
        let now = Time::from_micros(1_000_000_000);
        let mut gateway = Gateway::new(case.settings(), seed, now);
        gateway.update_members(now, true, case.list(now));
        let (counts, rng) = (Counts::default(), Pcg64Mcg::seed_from_u64(seed));
        let mut harness =
            Harness { gateway, now, counts, case, rng, pending: VecDeque::new(), next_purge: now };
        harness.preload_purges();
        harness
    }

    /// Adds the purges that the module would hold after running at this rate for a long time.
    fn preload_purges(&mut self) {
        let mut ago = PURGE_RETENTION;
        while self.case.purges_per_s > 0 && ago > Span::ZERO {
            self.purge(ago);
            let every = self.case.purge_interval();
            ago = Span::from_micros(ago.as_micros().saturating_sub(every.as_micros()));
        }
    }

    fn purge(&mut self, ago: Span) {
        let names = if self.case.purge_sets { self.case.purges_per_s as usize / 2 } else { 1 };
        let bits = if self.case.purge_sets { HASH_BITS } else { u64::BITS as u8 };
        let objects = (0..names).map(|_| self.rng.random_range(0..OBJECTS)).map(object_hash);
        let names = PrefixSet::new(bits, objects.collect::<Vec<_>>());
        let issued = self.now.saturating_sub(ago);
        self.gateway.purge(issued, names, Span::ZERO);
    }

    /// Advances time by the interval between two txns, delivers due outcomes and submits one txn. `sent` is called for each
    /// hop, with `true` when it starts and `false` when it ends.
    pub fn submit_txn(&mut self, on_hop: &mut impl FnMut(Time, &MemberId, bool)) {
        self.now += Span::from_secs_f64(1.0 / self.case.txns_per_s);
        while self.case.purges_per_s > 0 && self.next_purge <= self.now {
            self.purge(Span::ZERO);
            self.next_purge += self.case.purge_interval();
        }
        while self.pending.front().is_some_and(|(at, ..)| *at <= self.now) {
            let Some((at, outcome, member)) = self.pending.pop_front() else { break };
            on_hop(at, &member, false);
            self.gateway.record_outcome(at, outcome);
            self.handle_decisions(at, on_hop);
        }
        self.counts.submitted += 1;
        let (object, rule, part, write) = (self.rng.random_range(0..OBJECTS), 0, 0, false);
        let (id, group, size) = (self.counts.submitted, object % 256, Some(OBJECT_KB));
        let time_left = self.case.txn_time_left();
        self.gateway.submit(
            self.now,
            Txn { id, rule, object, group, part, is_write: write, size, time_left, ..Txn::default() },
        );
        self.handle_decisions(self.now, on_hop);
    }

    fn handle_decisions(&mut self, now: Time, on_hop: &mut impl FnMut(Time, &MemberId, bool)) {
        while let Some(decision) = self.gateway.poll(now) {
            match decision {
                Decision::Hop { txn, member, .. } => {
                    on_hop(now, &member, true);
                    self.counts.hops += 1;
                    let duration = self.case.txn_duration();
                    let is_hit = self.rng.random_bool(HIT_RATIO);
                    let cache_status = Some(if is_hit { CacheStatus::Held } else { CacheStatus::Filled });
                    let (status, answered, first_byte) =
                        (HopStatus::Completed, true, Some(Span::from_millis(20)));
                    let load = LoadReport::default();
                    let outcome =
                        Outcome { txn, hop: 0, status, duration, answered, cache_status, first_byte, load };
                    self.pending.push_back((now + duration, outcome, member));
                }
                Decision::Reject { .. } | Decision::Abort { .. } => self.counts.refused += 1,
                Decision::Cancel { .. } | Decision::Subscribe => {}
            }
        }
    }

    /// Number of entries in all tables, without sizes in ms and those that count a subset of another table.
    pub fn table_entries(&self) -> usize {
        let no_table = ["members left out", "purges joined at the bound", "ms of the longest silence"];
        self.gateway.table_sizes(self.now).filter(|(name, _)| !no_table.contains(name)).map(|(_, n)| n).sum()
    }
}

impl Case {
    fn txn_time_left(&self) -> Span {
        Span::from_millis(6_000).max(self.txn_duration() * 16.0)
    }
}

struct Measurement {
    /// Processor time per txn in us, for each batch.
    us: Vec<f64>,
    table_entries: usize,
    /// Memory of the module, in bytes.
    memory: f64,
    refused: f64,
}

/// Fills the module up to the wanted number of txns in flight, then measures batches of one second's txns.
fn run_case(case: Case, seed: u64, quick: bool) -> Measurement {
    let mut harness = Harness::new(case, seed);
    let (batch, batches) = if quick { (50, 2) } else { (case.txns_per_s as usize, 5) };
    // Until the wanted number of txns is in flight and the first ones have completed.
    for _ in 0..case.in_flight + 100 {
        harness.submit_txn(&mut |_, _, _| {});
    }
    let table_entries = harness.table_entries();
    let us = (0..batches).map(|_| {
        let started = ThreadTime::now();
        for _ in 0..batch {
            harness.submit_txn(&mut |_, _, _| {});
        }
        started.elapsed().as_secs_f64() * 1e6 / batch as f64
    });
    let us = us.collect();
    let (refused, allocated) =
        (harness.counts.refused as f64 / harness.counts.submitted as f64, memory::allocated());
    drop(harness.gateway);
    Measurement { us, table_entries, memory: allocated.saturating_sub(memory::allocated()) as f64, refused }
}

pub fn sample(at: f64, all: &[f64]) -> Sample {
    let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
    Sample { at, mean, worst: all.iter().copied().fold(0.0, f64::max), p50: None, p99: None }
}

/// Returns all sizes, or the five smallest in quick mode.
pub fn limit_sizes(sizes: &[usize], quick: bool) -> &[usize] {
    &sizes[..if quick { sizes.len().min(5) } else { sizes.len() }]
}

/// Metadata of a series, without its samples.
pub struct SeriesHead<'a> {
    pub id: &'a str,
    pub over: &'a str,
    pub unit: &'a str,
    pub mechanism: &'a str,
    pub command: &'a str,
    pub host: Host,
    pub timed: bool,
}

impl SeriesHead<'_> {
    pub fn series(&self, fixed: BTreeMap<String, f64>, points: Vec<Sample>) -> Series {
        Series {
            id: self.id.to_owned(),
            over: self.over.to_owned(),
            fixed,
            unit: self.unit.to_owned(),
            host: self.host,
            mechanism: self.mechanism.to_owned(),
            command: self.command.to_owned(),
            timed: self.timed,
            points,
        }
    }
}

type CaseFn = fn(usize) -> Case;

fn head<'a>(id: &'a str, over: &'a str, unit: &'a str, timed: bool) -> SeriesHead<'a> {
    SeriesHead { id, over, unit, mechanism: LOGIC, command: COMMAND, host: Host::Core, timed }
}

/// Measures processor time per txn, table entries, memory and the ratio of refused txns over one growing dimension.
fn txn_series(
    name: &str,
    over: &str,
    sizes: &[usize],
    case_of: CaseFn,
    (seed, quick): (u64, bool),
) -> Vec<Series> {
    let measured: Vec<(f64, Measurement)> =
        sizes.iter().map(|&n| (n as f64, run_case(case_of(n), seed, quick))).collect();
    let fixed = case_of(sizes[0]).fixed(over);
    let one_series = |what: &str, unit: &str, timed: bool, of: fn(&Measurement) -> Vec<f64>| {
        let id = format!("module.{what}.by-{name}");
        let points = measured.iter().map(|(at, p)| sample(*at, &of(p))).collect();
        head(&id, over, unit, timed).series(fixed.clone(), points)
    };
    vec![
        one_series("processor", "us", true, |p| p.us.clone()),
        one_series("kept", "objects", false, |p| vec![p.table_entries as f64]),
        one_series("memory", "B", false, |p| vec![p.memory]),
        one_series("refused-part", "part", false, |p| vec![p.refused]),
    ]
}

/// Measures the processor time of one change of the member list at growing lists.
fn list_change_series(
    id: &str,
    sizes: &[usize],
    (seed, quick): (u64, bool),
    change: fn(&mut Harness, usize),
) -> Series {
    let rounds = if quick { 2 } else { 20 };
    let points = sizes.iter().map(|&caches| {
        let mut harness = Harness::new(Case { caches, ..Case::default() }, seed);
        (0..300).for_each(|_| harness.submit_txn(&mut |_, _, _| {}));
        let us = (0..rounds).map(|round| {
            let started = ThreadTime::now();
            change(&mut harness, round);
            started.elapsed().as_secs_f64() * 1e6
        });
        let us: Vec<f64> = us.collect();
        sample(caches as f64, &us)
    });
    let points = points.collect();
    head(id, "caches", "us", true).series(Case::default().fixed("caches"), points)
}

fn drain_one(harness: &mut Harness, round: usize) {
    let mut cache = member(format!("cache-{}", round / 2), EDGE, 0, 100.0);
    cache.state = if round.is_multiple_of(2) { MemberState::Draining } else { MemberState::Up };
    harness.gateway.update_members(harness.now, false, vec![cache]);
}

/// Removes one cache and adds another one with a new name.
fn replace_one(harness: &mut Harness, round: usize) {
    let name = |round: usize| if round == 0 { "cache-0".to_owned() } else { format!("new-{round}") };
    let mut removed = member(name(round), EDGE, 0, 100.0);
    removed.state = MemberState::Gone;
    let changes = vec![removed, member(name(round + 1), EDGE, 0, 100.0)];
    harness.gateway.update_members(harness.now, false, changes);
}

fn replace_all(harness: &mut Harness, _: usize) {
    harness.gateway.update_members(harness.now, true, harness.case.list(harness.now));
}

pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    let options = (seed, quick);
    let caches = limit_sizes(&[100, 200, 300, 600, 1_100, 2_200], quick);
    let mut all =
        txn_series("caches", "caches", caches, |caches| Case { caches, ..Case::default() }, options);
    let one_zone = |n| Case { caches: n, zone_caches: n, ..Case::default() };
    all.extend(txn_series("caches-of-one-zone", "caches", caches, one_zone, options));
    let zone = |n| Case { zone_caches: n, ..Case::default() };
    all.extend(txn_series(
        "zone-caches",
        "zone_caches",
        limit_sizes(&[10, 20, 37, 75, 150, 300], quick),
        zone,
        options,
    ));
    let no_source = |n| Case { caches: n, parents: 0, ..Case::default() };
    all.extend(txn_series("caches-without-parents", "caches", caches, no_source, options));
    let parents = |n| Case { parents: n, ..Case::default() };
    all.extend(txn_series(
        "parents",
        "parents",
        limit_sizes(&[5, 11, 33, 66, 110, 220], quick),
        parents,
        options,
    ));
    let purges = |n: usize| Case { purges_per_s: n as u32, ..Case::default() };
    all.extend(txn_series(
        "purges",
        "purges_per_s",
        limit_sizes(&[0, 15, 50, 150, 300, 1_500], quick),
        purges,
        options,
    ));
    let purge_sets = |n: usize| Case { purges_per_s: n as u32, purge_sets: true, ..Case::default() };
    all.extend(txn_series(
        "purges-in-sets",
        "purges_per_s",
        limit_sizes(&[0, 15, 50, 150, 300, 1_500], quick),
        purge_sets,
        options,
    ));
    let in_flight = |in_flight| Case { in_flight, ..Case::default() };
    all.extend(txn_series(
        "open-txns",
        "open_txns",
        limit_sizes(&[60, 125, 250, 1_000, 4_000, 16_000], quick),
        in_flight,
        options,
    ));
    all.push(list_change_series("module.processor-of-a-change.by-caches", caches, options, drain_one));
    all.push(list_change_series("module.processor-of-a-replacement.by-caches", caches, options, replace_one));
    all.push(list_change_series("module.processor-of-a-whole-list.by-caches", caches, options, replace_all));
    all
}

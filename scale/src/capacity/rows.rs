//! The capacity rows of each role. A row stays listed even if its benchmark series has not been measured: it then counts
//! as failed.

use super::Quantity::{Delay, Memory, Messages, Processor, State};
use super::Source::{Computed, Fitted};
use super::{Role, TargetFn, Term, row, superseded, term};
use crate::fit::Statistic::{Mean, P99, Worst};
use crate::target::Target;

fn gateways(t: &Target) -> f64 {
    f64::from(t.gateways)
}

fn caches(t: &Target) -> f64 {
    f64::from(t.caches)
}

fn sites(t: &Target) -> f64 {
    f64::from(t.sites)
}

// Mean sizes of a site, a zone and a region, rounded up because gateways and caches are whole machines.

fn site(t: &Target) -> f64 {
    t.gateways_per_site().ceil()
}

fn zone_gateways(t: &Target) -> f64 {
    (gateways(t) / zones(t)).ceil()
}

fn zone_caches(t: &Target) -> f64 {
    t.caches_per_zone().ceil()
}

/// Mean payload of a txn.
fn kb(t: &Target) -> f64 {
    t.megabytes_per_s() / t.txns_per_s() * 1e3
}

fn zones(t: &Target) -> f64 {
    f64::from(t.zones)
}

fn region_gateways(t: &Target) -> f64 {
    (gateways(t) / f64::from(t.regions)).ceil()
}

/// Restarts per hour while a release is rolled out to all gateways.
fn release_per_h(t: &Target) -> f64 {
    gateways(t) / t.assumed.release_s * 3_600.0
}

fn purges(t: &Target) -> f64 {
    t.purges.per_s
}

const PURGE_MS: Option<TargetFn> = Some(|t| t.purges.within_ms as f64);
const CHANGE_MS: Option<TargetFn> = Some(|t| t.changes.within_ms as f64);
const BYTES_IN: Option<TargetFn> = Some(|t| t.control.bytes_in_per_s);
const BYTES_OUT: Option<TargetFn> = Some(|t| t.control.bytes_out_per_s);
const BYTES_BOTH: Option<TargetFn> = Some(|t| t.control.bytes_in_per_s + t.control.bytes_out_per_s);
const CORE: Option<TargetFn> = Some(|t| t.control.core_part * 1e6);
const MEMORY: Option<TargetFn> = Some(|t| t.control.memory as f64);
const MACHINE: Option<TargetFn> = Some(|t| t.assumed.machine_cores * 1e6);
const TXN_CORES: Option<TargetFn> = Some(|t| t.assumed.data_path_cores * 1e6);

/// Expected number of unrelated objects that share a hash prefix of `bits` bits with a purged object.
fn hits(t: &Target, bits: i32) -> f64 {
    t.traffic.objects as f64 / 2f64.powi(bits)
}

/// Percentage of all objects covered by hash prefixes of `bits` bits for the purges that a region missed.
fn covered_percent(t: &Target, bits: i32) -> f64 {
    100.0 * (1.0 - (-t.purges_missed() / 2f64.powi(bits)).exp())
}

/// Approximate encoded size of one hash prefix of `bits` bits, in bits, when the sorted prefixes are delta-encoded with
/// Golomb-Rice codes.
fn encoded_bits(bits: f64, prefixes: f64) -> f64 {
    bits - prefixes.log2() + 1.5
}

/// Seconds needed to resend the purges that a region missed within a gateway's inbound byte budget, next to live purges
/// at 40 bits.
fn resend_s(t: &Target, bits: f64) -> f64 {
    let per_period = t.purges.per_s * t.assumed.feed_period_ms as f64 / 1e3;
    let live = t.purges.per_s * encoded_bits(40.0, per_period) / 8.0;
    let missed = t.purges_missed() * encoded_bits(bits, t.purges_missed()) / 8.0;
    missed / (t.control.bytes_in_per_s - live).max(0.0)
}

const FEED: &str = "feed/src/lib.rs";
const RELAY: &str = "fleet/src/relay.rs";
const MEMBERS: &str = "fleet/src/members.rs";
const MODULE: &str = "src/logic.rs";
const GATEWAY: &str = "gateway/src/dispatcher.rs";
const LEASES: &str = "fleet/src/lease.rs";
const GROUP: &str = "copies/src/group.rs";
const DECIDE: &str = "failover/src/decide.rs";
const NAMES: &str = "src/hash_prefix.rs";

/// A source that evaluates one statistic of one series at a size.
macro_rules! of {
    ($id:literal, $figure:expr, $at:expr) => {
        Fitted(&[term($id, $figure, $at)])
    };
    ($id:literal, $figure:expr, $at:expr, times $times:expr) => {
        Fitted(&[Term { id: $id, statistic: $figure, size: $at, factor: $times }])
    };
}

pub const ROLES: &[Role] = &[
    Role {
        id: "data-path",
        title: "Gateway, data path",
        rows: &[
            row("txns at the mean", Messages, "txns/s", Computed(Target::txns_per_s), None, MODULE),
            row("payload at the mean", Messages, "MB/s", Computed(Target::megabytes_per_s), None, MODULE),
            row("a txn's payload at the mean", Messages, "KB", Computed(kb), None, MODULE),
            row(
                "the largest site's txns at the peak",
                Messages,
                "txns/s",
                Computed(|t| f64::from(t.assumed.largest_site_gateways) * t.txns_per_s()),
                None,
                MODULE,
            ),
            row(
                "the largest site's payload at the peak",
                Messages,
                "Gbit/s",
                Computed(|t| f64::from(t.assumed.largest_site_gateways) * t.megabytes_per_s() * 8e-3),
                None,
                MODULE,
            ),
            row(
                "the program's processor at these txns",
                Processor,
                "us/s",
                of!("data-path.processor.by-txns", Mean, Target::txns_per_s),
                TXN_CORES,
                GATEWAY,
            ),
            row(
                "the program's processor by a txn's payload",
                Processor,
                "us/s",
                of!("data-path.processor-a-txn.by-kb", Mean, kb, times Target::txns_per_s),
                TXN_CORES,
                GATEWAY,
            ),
            row(
                "a txn's time at these txns, p99",
                Delay,
                "ms",
                of!("data-path.delay.by-txns", P99, Target::txns_per_s),
                None,
                GATEWAY,
            ),
        ],
    },
    Role {
        id: "connections",
        title: "Connections between gateways and caches",
        rows: &[
            row(
                "every gateway to every cache, in all",
                State,
                "connections",
                Computed(|t| gateways(t) * caches(t)),
                None,
                MODULE,
            ),
            row("the same at one cache", State, "connections", Computed(gateways), None, MODULE),
            row("the same at one gateway", State, "connections", Computed(caches), None, MODULE),
            row("caches of a gateway's zone", State, "caches", Computed(zone_caches), None, MODULE),
            row("gateways of a cache's zone", State, "gateways", Computed(zone_gateways), None, MODULE),
            row(
                "txns at a cache at the mean",
                Messages,
                "txns/s",
                Computed(|t| t.traffic.requests_per_s / caches(t)),
                None,
                MODULE,
            ),
            row(
                "caches that a gateway keeps connections to at these txns",
                State,
                "caches",
                of!("connections.caches.by-txns", Worst, Target::txns_per_s),
                None,
                "gateway/src/caches.rs",
            ),
            row(
                "gateways that a cache then has connections from",
                State,
                "gateways",
                of!(
                    "connections.caches.by-txns",
                    Worst,
                    Target::txns_per_s,
                    times | t | gateways(t) / caches(t)
                ),
                None,
                "gateway/src/caches.rs",
            ),
            row(
                "connections that a gateway has out at these txns",
                State,
                "connections",
                of!("data-path.hop-connections.by-txns", Worst, Target::txns_per_s),
                None,
                "gateway/src/caches.rs",
            ),
            row(
                "what a cache then has at the mean",
                State,
                "connections",
                of!(
                    "data-path.hop-connections.by-txns",
                    Worst,
                    Target::txns_per_s,
                    times | t | gateways(t) / caches(t)
                ),
                None,
                "gateway/src/caches.rs",
            ),
        ],
    },
    Role {
        id: "module",
        title: "Module",
        rows: &[
            row(
                "processor of decisions",
                Processor,
                "us/s",
                of!("module.processor.by-caches", Mean, caches, times Target::txns_per_s),
                TXN_CORES,
                MODULE,
            ),
            row(
                "decisions, all caches in one zone",
                Processor,
                "us/s",
                of!("module.processor.by-caches-of-one-zone", Mean, caches, times Target::txns_per_s),
                TXN_CORES,
                MODULE,
            ),
            row(
                "decisions, no parents in the list",
                Processor,
                "us/s",
                of!("module.processor.by-caches-without-parents", Mean, caches, times Target::txns_per_s),
                TXN_CORES,
                MODULE,
            ),
            row(
                "decisions by caches of the own zone",
                Processor,
                "us/s",
                of!("module.processor.by-zone-caches", Mean, zone_caches, times Target::txns_per_s),
                TXN_CORES,
                MODULE,
            ),
            superseded(row(
                "before: decisions by purges told one by one",
                Processor,
                "us/s",
                of!("module.processor.by-purges", Mean, purges, times Target::txns_per_s),
                TXN_CORES,
                MODULE,
            )),
            row(
                "after: decisions by purges in sets of short names",
                Processor,
                "us/s",
                of!("module.processor.by-purges-in-sets", Mean, purges, times Target::txns_per_s),
                TXN_CORES,
                MODULE,
            ),
            row("memory", Memory, "B", of!("module.memory.by-caches", Worst, caches), MEMORY, "src/state.rs"),
            row(
                "memory by purges in sets",
                Memory,
                "B",
                of!("module.memory.by-purges-in-sets", Worst, purges),
                MEMORY,
                "src/state.rs",
            ),
            row(
                "entries of all tables",
                State,
                "objects",
                of!("module.kept.by-caches", Worst, caches),
                None,
                "src/state.rs",
            ),
        ],
    },
    Role {
        id: "cold",
        title: "Probes and cold budgets",
        rows: &[
            row("gateways that share a cache", State, "gateways", Computed(zone_gateways), None, MODULE),
            row(
                "txns that one gateway sends a cold cache in its first 3 s",
                Messages,
                "txns",
                of!("cold.txns-of-one-gateway.by-zone-gateways", Mean, zone_gateways),
                None,
                MODULE,
            ),
            row(
                "txns that a cold cache gets from all of them",
                Messages,
                "txns/s",
                of!("cold.txns-at-a-cache.by-zone-gateways", Mean, zone_gateways),
                None,
                MODULE,
            ),
            row(
                "txns that a cold cache gets if all gateways shared it",
                Messages,
                "txns/s",
                of!("cold.txns-at-a-cache.by-zone-gateways", Mean, gateways),
                None,
                MODULE,
            ),
        ],
    },
    Role {
        id: "membership",
        title: "Membership",
        rows: &[
            superseded(row(
                "before, all in one fleet: bytes out in calm",
                Messages,
                "B/s",
                of!("members.bytes-out.by-gateways", Mean, gateways),
                BYTES_OUT,
                MEMBERS,
            )),
            superseded(row(
                "before: memory",
                Memory,
                "B",
                of!("members.memory.by-gateways", Mean, gateways),
                MEMORY,
                MEMBERS,
            )),
            row(
                "after, a fleet a site: bytes out in calm",
                Messages,
                "B/s",
                of!("members.bytes-out.by-gateways", Mean, site),
                BYTES_OUT,
                MEMBERS,
            ),
            row(
                "after: bytes out of the one that sends most",
                Messages,
                "B/s",
                of!("members.bytes-out.by-gateways", Worst, site),
                BYTES_OUT,
                MEMBERS,
            ),
            row(
                "after: processor",
                Processor,
                "us/s",
                of!("members.processor.by-gateways", Mean, site),
                CORE,
                MEMBERS,
            ),
            row("after: memory", Memory, "B", of!("members.memory.by-gateways", Mean, site), MEMORY, MEMBERS),
        ],
    },
    Role {
        id: "purges",
        title: "List and purges",
        rows: &[
            superseded(row(
                "before, the relayed list: bytes in",
                Messages,
                "B/s",
                of!("fleet.bytes-in.by-gateways", Mean, gateways),
                BYTES_IN,
                RELAY,
            )),
            superseded(row(
                "before: bytes out of the one that sends most",
                Messages,
                "B/s",
                of!("fleet.bytes-out.by-gateways", Worst, gateways),
                BYTES_OUT,
                RELAY,
            )),
            superseded(row(
                "before: processor",
                Processor,
                "us/s",
                of!("fleet.processor.by-gateways", Mean, gateways),
                CORE,
                RELAY,
            )),
            superseded(row(
                "before: memory",
                Memory,
                "B",
                of!("fleet.memory.by-gateways", Mean, gateways),
                MEMORY,
                RELAY,
            )),
            superseded(row(
                "before: delay to the last gateway",
                Delay,
                "ms",
                of!("fleet.delay.by-gateways", Worst, gateways),
                PURGE_MS,
                RELAY,
            )),
            row(
                "after, the feed: bytes in",
                Messages,
                "B/s",
                of!("feed.bytes-in.by-gateways", Mean, gateways),
                BYTES_IN,
                FEED,
            ),
            row(
                "after: bytes in of the one that takes most",
                Messages,
                "B/s",
                of!("feed.bytes-in.by-gateways", Worst, gateways),
                BYTES_IN,
                FEED,
            ),
            row(
                "after: bytes out",
                Messages,
                "B/s",
                of!("feed.bytes-out.by-gateways", Mean, gateways),
                BYTES_OUT,
                FEED,
            ),
            row(
                "after: bytes out of the one that sends most",
                Messages,
                "B/s",
                of!("feed.bytes-out.by-gateways", Worst, gateways),
                BYTES_OUT,
                FEED,
            ),
            row(
                "after: processor",
                Processor,
                "us/s",
                of!("feed.processor.by-gateways", Mean, gateways),
                CORE,
                FEED,
            ),
            row("after: memory", Memory, "B", of!("feed.memory.by-gateways", Mean, gateways), MEMORY, FEED),
            row(
                "after: delay, p99",
                Delay,
                "ms",
                of!("feed.delay.by-gateways", P99, gateways),
                PURGE_MS,
                FEED,
            ),
            row(
                "after: delay to the last gateway",
                Delay,
                "ms",
                of!("feed.delay.by-gateways", Worst, gateways),
                PURGE_MS,
                FEED,
            ),
            row(
                "after: until a purge is known to be done everywhere",
                Delay,
                "ms",
                of!("hub.delay.by-gateways", Worst, gateways),
                PURGE_MS,
                FEED,
            ),
            row("others hit by a purge, 40 bits", State, "objects", Computed(|t| hits(t, 40)), None, NAMES),
            row("others hit by a purge, 32 bits", State, "objects", Computed(|t| hits(t, 32)), None, NAMES),
            row("others hit by a purge, 21 bits", State, "objects", Computed(|t| hits(t, 21)), None, NAMES),
        ],
    },
    Role {
        id: "control",
        title: "Control of a gateway, all together",
        rows: &[
            row(
                "bytes in",
                Messages,
                "B/s",
                of!("control.bytes-in.by-gateways", Mean, gateways),
                BYTES_IN,
                FEED,
            ),
            row(
                "bytes in of the one that takes most",
                Messages,
                "B/s",
                of!("control.bytes-in.by-gateways", Worst, gateways),
                BYTES_IN,
                FEED,
            ),
            row(
                "bytes out",
                Messages,
                "B/s",
                of!("control.bytes-out.by-gateways", Mean, gateways),
                BYTES_OUT,
                FEED,
            ),
            row(
                "bytes out of the one that sends most",
                Messages,
                "B/s",
                of!("control.bytes-out.by-gateways", Worst, gateways),
                BYTES_OUT,
                FEED,
            ),
            row(
                "bytes in and out",
                Messages,
                "B/s",
                Fitted(&[
                    term("control.bytes-in.by-gateways", Mean, gateways),
                    term("control.bytes-out.by-gateways", Mean, gateways),
                ]),
                BYTES_BOTH,
                FEED,
            ),
            row(
                "processor",
                Processor,
                "us/s",
                of!("control.processor.by-gateways", Mean, gateways),
                CORE,
                FEED,
            ),
            row(
                "processor of the one that spends most",
                Processor,
                "us/s",
                of!("control.processor.by-gateways", Worst, gateways),
                CORE,
                FEED,
            ),
            row("memory", Memory, "B", of!("control.memory.by-gateways", Mean, gateways), MEMORY, FEED),
            row(
                "real processes among 288 gateways on loopback: bytes in",
                Messages,
                "B/s",
                of!("loopback.real-bytes-in.by-gateways", Mean, |_| 288.0),
                None,
                "gateway/src/feed.rs",
            ),
            row(
                "real processes among 288 gateways on loopback: bytes out",
                Messages,
                "B/s",
                of!("loopback.real-bytes-out.by-gateways", Mean, |_| 288.0),
                None,
                "gateway/src/feed.rs",
            ),
            row(
                "288 gateways on loopback: a purge's delay, p99",
                Delay,
                "ms",
                of!("loopback.delay.by-gateways", P99, |_| 288.0),
                None,
                "gateway/src/feed.rs",
            ),
            row(
                "bytes out by purges a second",
                Messages,
                "B/s",
                of!("control.bytes-out.by-purges-per-s", Mean, purges),
                BYTES_OUT,
                FEED,
            ),
        ],
    },
    Role {
        id: "configuration",
        title: "Configuration",
        rows: &[
            row("changes", Messages, "changes/s", Computed(Target::changes_per_s), None, FEED),
            row(
                "delay to the last gateway",
                Delay,
                "ms",
                of!("feed.delay.by-changes-per-s", Worst, Target::changes_per_s),
                CHANGE_MS,
                FEED,
            ),
            row(
                "processor of the module, each change a whole list",
                Processor,
                "us/s",
                of!("module.processor-of-a-whole-list.by-caches", Mean, caches, times Target::changes_per_s),
                CORE,
                MODULE,
            ),
        ],
    },
    Role {
        id: "budgets",
        title: "Budgets' keepers",
        rows: &[
            row(
                "a keeper's bytes in beyond calm, a fleet a site",
                Messages,
                "B/s",
                of!("budgets.keeper-bytes-in.by-gateways", Worst, site),
                BYTES_IN,
                LEASES,
            ),
            row(
                "a keeper's bytes out beyond calm",
                Messages,
                "B/s",
                of!("budgets.keeper-bytes-out.by-gateways", Worst, site),
                BYTES_OUT,
                LEASES,
            ),
            row(
                "a keeper's processor beyond calm",
                Processor,
                "us/s",
                of!("budgets.keeper-processor.by-gateways", Worst, site),
                CORE,
                LEASES,
            ),
            row(
                "part of the wanted units that are lent",
                State,
                "part",
                of!("budgets.lent-part.by-gateways", Mean, site),
                None,
                LEASES,
            ),
        ],
    },
    Role {
        id: "ledgers",
        title: "Ledger groups",
        rows: &[
            row(
                "books of four groups on one thread",
                Messages,
                "txns/s",
                of!("ledgers.books.by-groups", Mean, |_| 4.0),
                None,
                GROUP,
            ),
            row(
                "bytes between holders a book, four groups",
                Messages,
                "B",
                of!("ledgers.bytes-a-book.by-groups", Mean, |_| 4.0),
                None,
                GROUP,
            ),
        ],
    },
    Role {
        id: "failover",
        title: "Failover",
        rows: &[
            row(
                "the decider's processor by zones, a step each 500 ms",
                Processor,
                "us/s",
                of!("failover.processor-a-step.by-zones", Mean, zones, times | _ | 2.0),
                MACHINE,
                DECIDE,
            ),
            row(
                "the decider's processor, a region's gateways report",
                Processor,
                "us/s",
                of!("failover.processor-a-step.by-gateways", Mean, region_gateways, times | _ | 2.0),
                MACHINE,
                DECIDE,
            ),
            row(
                "the decider's processor, all gateways report",
                Processor,
                "us/s",
                of!("failover.processor-a-step.by-gateways", Mean, gateways, times | _ | 2.0),
                MACHINE,
                DECIDE,
            ),
            row(
                "reports that count, a region's gateways",
                State,
                "gateways",
                of!("failover.gateways-heard.by-gateways", Mean, region_gateways),
                None,
                DECIDE,
            ),
            row(
                "reports that count, all gateways",
                State,
                "gateways",
                of!("failover.gateways-heard.by-gateways", Mean, gateways),
                None,
                DECIDE,
            ),
        ],
    },
    Role {
        id: "machines",
        title: "List services and the machines set aside",
        rows: &[
            row(
                "connections that a list service has",
                State,
                "connections",
                Computed(|t| f64::from(t.control.machines)),
                None,
                FEED,
            ),
            row(
                "a machine's bytes in",
                Messages,
                "B/s",
                of!("hub.bytes-in.by-gateways", Worst, gateways),
                None,
                FEED,
            ),
            row(
                "a machine's bytes out",
                Messages,
                "B/s",
                of!("hub.bytes-out.by-gateways", Worst, gateways),
                None,
                FEED,
            ),
            row(
                "a machine's datagrams in",
                Messages,
                "datagrams/s",
                of!("hub.datagrams-in.by-gateways", Worst, gateways),
                None,
                FEED,
            ),
            row(
                "a machine's datagrams out",
                Messages,
                "datagrams/s",
                of!("hub.datagrams-out.by-gateways", Worst, gateways),
                None,
                FEED,
            ),
            row(
                "a machine's processor",
                Processor,
                "us/s",
                of!("hub.processor.by-gateways", Worst, gateways),
                MACHINE,
                FEED,
            ),
            row(
                "a machine's memory",
                Memory,
                "B",
                of!("hub.memory.by-gateways", Worst, gateways),
                None,
                FEED,
            ),
        ],
    },
    Role {
        id: "faults",
        title: "Faults",
        rows: &[
            row("failures and restarts", State, "1/h", Computed(Target::restarts_per_h), None, FEED),
            row(
                "restarts an hour while a release goes over all",
                State,
                "1/h",
                Computed(release_per_h),
                None,
                FEED,
            ),
            row(
                "delay at an ordinary day's restarts",
                Delay,
                "ms",
                of!("feed.delay.by-restarts-per-h", Worst, Target::restarts_per_h),
                PURGE_MS,
                FEED,
            ),
            row(
                "delay while a release goes over all",
                Delay,
                "ms",
                of!("feed.delay.by-restarts-per-h", Worst, release_per_h),
                PURGE_MS,
                FEED,
            ),
            row(
                "bytes in while a release goes over all",
                Messages,
                "B/s",
                of!("control.bytes-in.by-restarts-per-h", Mean, release_per_h),
                BYTES_IN,
                FEED,
            ),
            row(
                "bytes out while a release goes over all",
                Messages,
                "B/s",
                of!("control.bytes-out.by-restarts-per-h", Mean, release_per_h),
                BYTES_OUT,
                FEED,
            ),
            row(
                "delay, a rack's gateways restarted at once",
                Delay,
                "ms",
                of!("feed-restarted-at-once.delay.by-restarted-part", Worst, |t| f64::from(
                    t.assumed.gateways_per_rack
                ) / gateways(t)),
                PURGE_MS,
                FEED,
            ),
            row(
                "delay, a zone's gateways restarted at once",
                Delay,
                "ms",
                of!("feed-restarted-at-once.delay.by-restarted-part", Worst, |t| 1.0 / zones(t)),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, a zone's restarted at once",
                Delay,
                "ms",
                of!("hub-restarted-at-once.delay.by-restarted-part", Worst, |t| 1.0 / zones(t)),
                PURGE_MS,
                FEED,
            ),
            row(
                "delay, one machine set aside lost",
                Delay,
                "ms",
                of!("feed-hubs-killed.delay.by-hubs-killed", Worst, |_| 1.0),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, one machine lost",
                Delay,
                "ms",
                of!("hub-hubs-killed.delay.by-hubs-killed", Worst, |_| 1.0),
                PURGE_MS,
                FEED,
            ),
            row(
                "delay, all but one of them lost",
                Delay,
                "ms",
                of!("feed-hubs-killed.delay.by-hubs-killed", Worst, |t| f64::from(t.control.machines) - 1.0),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, two of them lost",
                Delay,
                "ms",
                of!("hub-hubs-killed.delay.by-hubs-killed", Worst, |_| 2.0),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, all but one lost",
                Delay,
                "ms",
                of!("hub-hubs-killed.delay.by-hubs-killed", Worst, |t| f64::from(t.control.machines) - 1.0),
                PURGE_MS,
                FEED,
            ),
            row(
                "delay, all of them lost for 20 s",
                Delay,
                "ms",
                of!("feed-hubs-away.delay.by-away-s", Worst, |_| 20.0),
                PURGE_MS,
                FEED,
            ),
            row(
                "bytes out of the one that sends most, all of them lost for 20 s",
                Messages,
                "B/s",
                of!("control-hubs-away.bytes-out.by-away-s", Worst, |_| 20.0),
                BYTES_OUT,
                FEED,
            ),
            row(
                "delay, 5% of datagrams lost and repeated",
                Delay,
                "ms",
                of!("feed-lossy.delay.by-lost-part", Worst, |_| 0.05),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, 1% lost and repeated",
                Delay,
                "ms",
                of!("hub-lossy.delay.by-lost-part", Worst, |_| 0.01),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, 5% lost and repeated",
                Delay,
                "ms",
                of!("hub-lossy.delay.by-lost-part", Worst, |_| 0.05),
                PURGE_MS,
                FEED,
            ),
            row(
                "bytes out of the one that sends most, 5% lost and repeated",
                Messages,
                "B/s",
                of!("control-lossy.bytes-out.by-lost-part", Worst, |_| 0.05),
                BYTES_OUT,
                FEED,
            ),
            row(
                "delay, ten times the purges",
                Delay,
                "ms",
                of!("feed-flood.delay.by-purges-per-s", Worst, |t| 10.0 * purges(t)),
                PURGE_MS,
                FEED,
            ),
            row(
                "until a purge is known to be done, ten times the purges",
                Delay,
                "ms",
                of!("hub-flood.delay.by-purges-per-s", Worst, |t| 10.0 * purges(t)),
                PURGE_MS,
                FEED,
            ),
            row(
                "bytes in, ten times the purges",
                Messages,
                "B/s",
                of!("control-flood.bytes-in.by-purges-per-s", Mean, |t| 10.0 * purges(t)),
                BYTES_IN,
                FEED,
            ),
            row(
                "bytes out of the one that sends most, ten times the purges",
                Messages,
                "B/s",
                of!("control-flood.bytes-out.by-purges-per-s", Worst, |t| 10.0 * purges(t)),
                BYTES_OUT,
                FEED,
            ),
            row(
                "delay, a region away for 20 s",
                Delay,
                "ms",
                of!("feed-region-away.delay.by-away-s", Worst, |_| 20.0),
                None,
                FEED,
            ),
            row(
                "bytes in of the one that takes most, a region away for 20 s",
                Messages,
                "B/s",
                of!("control-region-away.bytes-in.by-away-s", Worst, |_| 20.0),
                BYTES_IN,
                FEED,
            ),
            row("gateways lost with a zone", State, "gateways", Computed(zone_gateways), None, FEED),
            row(
                "sites that a region's loss takes",
                State,
                "sites",
                Computed(|t| sites(t) / f64::from(t.regions)),
                None,
                FEED,
            ),
            row(
                "purges missed by a region that is away",
                State,
                "purges",
                Computed(Target::purges_missed),
                None,
                FEED,
            ),
            row(
                "objects that these cover, 40 bits",
                State,
                "%",
                Computed(|t| covered_percent(t, 40)),
                None,
                NAMES,
            ),
            row(
                "objects that these cover, 32 bits",
                State,
                "%",
                Computed(|t| covered_percent(t, 32)),
                None,
                NAMES,
            ),
            row(
                "objects that these cover, 21 bits",
                State,
                "%",
                Computed(|t| covered_percent(t, 21)),
                None,
                NAMES,
            ),
            row(
                "these told again within the bytes in, 40 bits",
                Delay,
                "s",
                Computed(|t| resend_s(t, 40.0)),
                None,
                NAMES,
            ),
            row(
                "these told again within the bytes in, 32 bits",
                Delay,
                "s",
                Computed(|t| resend_s(t, 32.0)),
                None,
                NAMES,
            ),
        ],
    },
];

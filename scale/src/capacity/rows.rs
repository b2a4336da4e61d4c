//! The rows, role by role. A row whose ladder nobody has measured stands all the same: it is red.

use super::Quantity::{Delay, Memory, Messages, Processor, State};
use super::Source::{Computed, Ladders};
use super::{Of, Read, Role, read, row};
use crate::fit::Figure::{Mean, P99, Worst};
use crate::target::Target;

fn gateways(t: &Target) -> f64 {
    f64::from(t.gateways)
}

fn caches(t: &Target) -> f64 {
    f64::from(t.caches)
}

fn site(t: &Target) -> f64 {
    t.gateways_per_site()
}

fn zones(t: &Target) -> f64 {
    f64::from(t.zones)
}

fn purges(t: &Target) -> f64 {
    t.purges.per_s
}

const PURGE_MS: Option<Of> = Some(|t| t.purges.within_ms as f64);
const CHANGE_MS: Option<Of> = Some(|t| t.changes.within_ms as f64);
const BYTES_IN: Option<Of> = Some(|t| t.control.bytes_in_per_s);
const BYTES_OUT: Option<Of> = Some(|t| t.control.bytes_out_per_s);
const BYTES_BOTH: Option<Of> = Some(|t| t.control.bytes_in_per_s + t.control.bytes_out_per_s);
const CORE: Option<Of> = Some(|t| t.control.core_part * 1e6);
const MEMORY: Option<Of> = Some(|t| t.control.memory as f64);
const TXN_CORES: Option<Of> = Some(|t| t.assumed.data_path_cores * 1e6);

/// Names of so many bits that a purge hits beside the one that was meant.
fn hits(t: &Target, bits: i32) -> f64 {
    t.traffic.objects as f64 / 2f64.powi(bits)
}

/// The part of all objects that what a region missed covers by names of so many bits.
fn covered(t: &Target, bits: i32) -> f64 {
    100.0 * (1.0 - (-t.purges_missed() / 2f64.powi(bits)).exp())
}

const FEED: &str = "feed/src/lib.rs";
const RELAY: &str = "fleet/src/relay.rs";
const MEMBERS: &str = "fleet/src/members.rs";
const MODULE: &str = "src/logic.rs";

pub const ROLES: &[Role] = &[
    Role {
        id: "data-path",
        title: "Gateway, data path",
        rows: &[
            row("txns at the mean", Messages, "txns/s", Computed(Target::txns_per_s), None, MODULE),
            row("payload at the mean", Messages, "MB/s", Computed(Target::megabytes_per_s), None, MODULE),
            row(
                "a txn's payload at the mean",
                Messages,
                "KB",
                Computed(|t| t.megabytes_per_s() / t.txns_per_s() * 1e3),
                None,
                MODULE,
            ),
            row(
                "the largest site at the peak",
                Messages,
                "Gbit/s",
                Computed(|t| f64::from(t.assumed.largest_site_gateways) * t.megabytes_per_s() * 8e-3),
                None,
                MODULE,
            ),
            row(
                "the largest site at the peak",
                Messages,
                "txns/s",
                Computed(|t| f64::from(t.assumed.largest_site_gateways) * t.txns_per_s()),
                None,
                MODULE,
            ),
            row(
                "processor of the program at these txns",
                Processor,
                "us/s",
                Ladders(&[read("data-path.processor.by-txns", Mean, Target::txns_per_s)]),
                TXN_CORES,
                "gateway/src/dispatcher.rs",
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
            row("the same, at one cache", State, "connections", Computed(gateways), None, MODULE),
            row("the same, at one gateway", State, "connections", Computed(caches), None, MODULE),
            row(
                "caches of a zone, at one gateway of it",
                State,
                "caches",
                Computed(Target::caches_per_zone),
                None,
                MODULE,
            ),
            row(
                "gateways of a zone, at one cache of it",
                State,
                "gateways",
                Computed(|t| gateways(t) / zones(t)),
                None,
                MODULE,
            ),
            row(
                "caches that a gateway keeps connections to",
                State,
                "caches",
                Ladders(&[read("connections.caches.by-txns", Worst, Target::txns_per_s)]),
                None,
                MODULE,
            ),
        ],
    },
    Role {
        id: "module",
        title: "Module",
        rows: &[
            row(
                "processor of decisions at these txns",
                Processor,
                "us/s",
                Ladders(&[Read {
                    id: "module.processor.by-caches",
                    figure: Mean,
                    at: caches,
                    times: Target::txns_per_s,
                }]),
                TXN_CORES,
                MODULE,
            ),
            row(
                "the same where all caches stand in one zone",
                Processor,
                "us/s",
                Ladders(&[Read {
                    id: "module.processor.by-caches-of-one-zone",
                    figure: Mean,
                    at: caches,
                    times: Target::txns_per_s,
                }]),
                TXN_CORES,
                MODULE,
            ),
            row(
                "the same by purges kept",
                Processor,
                "us/s",
                Ladders(&[Read {
                    id: "module.processor.by-purges",
                    figure: Mean,
                    at: purges,
                    times: Target::txns_per_s,
                }]),
                TXN_CORES,
                MODULE,
            ),
            row(
                "memory by caches listed",
                Memory,
                "B",
                Ladders(&[read("module.memory.by-caches", Worst, caches)]),
                MEMORY,
                "src/state.rs",
            ),
        ],
    },
    Role {
        id: "membership",
        title: "Membership",
        rows: &[
            row(
                "before: all gateways one fleet, bytes out in calm",
                Messages,
                "B/s",
                Ladders(&[read("fleet.calm-bytes-out.by-gateways", Mean, gateways)]),
                BYTES_OUT,
                MEMBERS,
            ),
            row(
                "after: a fleet a site, bytes out in calm",
                Messages,
                "B/s",
                Ladders(&[read("fleet.calm-bytes-out.by-gateways", Mean, site)]),
                BYTES_OUT,
                MEMBERS,
            ),
        ],
    },
    Role {
        id: "purges",
        title: "List and purges",
        rows: &[
            row(
                "before: relayed list, bytes out at the mean",
                Messages,
                "B/s",
                Ladders(&[read("fleet.bytes-out.by-gateways", Mean, gateways)]),
                BYTES_OUT,
                RELAY,
            ),
            row(
                "before: the one that sends most",
                Messages,
                "B/s",
                Ladders(&[read("fleet.bytes-out.by-gateways", Worst, gateways)]),
                BYTES_OUT,
                RELAY,
            ),
            row(
                "after: bytes in at the mean",
                Messages,
                "B/s",
                Ladders(&[read("feed.bytes-in.by-gateways", Mean, gateways)]),
                BYTES_IN,
                FEED,
            ),
            row(
                "after: bytes out at the mean",
                Messages,
                "B/s",
                Ladders(&[read("feed.bytes-out.by-gateways", Mean, gateways)]),
                BYTES_OUT,
                FEED,
            ),
            row(
                "after: in and out together",
                Messages,
                "B/s",
                Ladders(&[
                    read("feed.bytes-in.by-gateways", Mean, gateways),
                    read("feed.bytes-out.by-gateways", Mean, gateways),
                ]),
                BYTES_BOTH,
                FEED,
            ),
            row(
                "after: processor",
                Processor,
                "us/s",
                Ladders(&[read("feed.processor.by-gateways", Mean, gateways)]),
                CORE,
                FEED,
            ),
            row(
                "after: memory",
                Memory,
                "B",
                Ladders(&[read("feed.memory.by-gateways", Mean, gateways)]),
                MEMORY,
                FEED,
            ),
            row(
                "after: delay to a gateway, p99",
                Delay,
                "ms",
                Ladders(&[read("feed.delay.by-gateways", P99, gateways)]),
                PURGE_MS,
                FEED,
            ),
            row(
                "after: delay to the last gateway",
                Delay,
                "ms",
                Ladders(&[read("feed.delay.by-gateways", Worst, gateways)]),
                PURGE_MS,
                FEED,
            ),
            row(
                "others hit by a purge, 40 bits",
                State,
                "objects",
                Computed(|t| hits(t, 40)),
                None,
                "src/names.rs",
            ),
            row(
                "others hit by a purge, 32 bits",
                State,
                "objects",
                Computed(|t| hits(t, 32)),
                None,
                "src/names.rs",
            ),
            row(
                "others hit by a purge, 21 bits",
                State,
                "objects",
                Computed(|t| hits(t, 21)),
                None,
                "src/names.rs",
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
                Ladders(&[read("feed.delay.by-changes", Worst, Target::changes_per_s)]),
                CHANGE_MS,
                FEED,
            ),
        ],
    },
    Role {
        id: "faults",
        title: "Faults",
        rows: &[
            row("restarts and failures", State, "1/h", Computed(Target::restarts_per_h), None, FEED),
            row(
                "purges that a region away for its hour misses",
                State,
                "purges",
                Computed(Target::purges_missed),
                None,
                FEED,
            ),
            row(
                "objects covered by these, 40 bits",
                State,
                "%",
                Computed(|t| covered(t, 40)),
                None,
                "src/names.rs",
            ),
            row(
                "objects covered by these, 32 bits",
                State,
                "%",
                Computed(|t| covered(t, 32)),
                None,
                "src/names.rs",
            ),
            row(
                "objects covered by these, 21 bits",
                State,
                "%",
                Computed(|t| covered(t, 21)),
                None,
                "src/names.rs",
            ),
        ],
    },
];

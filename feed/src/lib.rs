//! Disseminates changes (purges, cache lists, configurations) to every gateway of a large installation and tracks which
//! sites have acknowledged them. Sans-IO: the host passes in datagrams, list-service lines and the time, and polls for
//! output.
//!
//! Invariant: the feed decides nothing about a txn, and never skips a gap: a sequence number that has not been received
//! is reported as missing.

mod compose;
mod config;
mod gateway;
mod hub;
mod log;
pub mod name_codec;
pub mod positions;
pub mod rank;
mod reassembly;
mod report;
pub mod seal;
pub mod settings;
mod streams;
pub mod wire;

use crate::config::Config;
use crate::gateway::Gateway;
use crate::hub::Hub;
use crate::wire::Packet;
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::{Span, Time};
use prost::Message;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;

/// The first byte of each datagram. The fleet protocol uses another value, so that both share one socket.
pub const VERSION: u8 = 2;

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Datagram(SocketAddr, Vec<u8>),
    /// Copies of these objects and groups that are older than `issued_ms` (Unix ms) must not be used any more.
    Purge {
        stream: usize,
        names: PrefixSet,
        issued_ms: u64,
    },
    /// Any other event, verbatim and in order within its stream.
    Line {
        stream: usize,
        seq: u64,
        line: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    #[error("keys: a secret is not hexadecimal")]
    Keys,
    #[error("{0}: {1}")]
    File(String, &'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    #[error("event is not valid JSON")]
    Json,
    #[error("malformed event: {0}")]
    Malformed(&'static str),
    #[error("sequence number {0} received after {1}")]
    Gap(u64, u64),
    #[error("event exceeds the size limit")]
    TooLarge,
    #[error("unknown stream")]
    UnknownStream,
}

/// Every sequence number up to these is acknowledged: by all sites in touch, and by all configured sites.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermarks {
    pub in_touch: u64,
    pub everywhere: u64,
}

/// A site or gateway that has not acknowledged what a hub has sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unacked {
    pub site: String,
    /// `None`: the whole site is out of touch or behind.
    pub member: Option<String>,
    /// The stream in which it is furthest behind, and its position there.
    pub stream: usize,
    pub position: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub bundles_made: u64,
    pub provisional_made: u64,
    /// Bundles received for the first time, and duplicates of received ones.
    pub bundles: u64,
    pub provisional: u64,
    pub duplicates: u64,
    pub purges: u64,
    pub lines: u64,
    /// Gaps that were not repaired in time and were reported as a purge of everything.
    pub gaps_purged: u64,
    pub retransmit_requests: u64,
    pub repaired: u64,
    /// Retransmission requests of which nothing was available.
    pub requests_unserved: u64,
    /// How often this gateway became its site's contact, and how often a contact changed its hub.
    pub contact_promotions: u64,
    pub hub_switches: u64,
    /// Connections to list services that contacts opened.
    pub list_connections: u64,
    /// Rejected input: bad MAC or unknown key; malformed message; signature of no hub; report that acknowledges what
    /// was never sent.
    pub refused_seals: u64,
    pub refused_forms: u64,
    pub refused_signatures: u64,
    pub refused_reports: u64,
    /// Requests beyond the rate limit of the requester.
    pub refused_requests: u64,
    /// Items dropped because a limit was reached.
    pub dropped: u64,
}

/// Datagrams and their payload bytes, without IP and UDP headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    pub datagrams_in: u64,
    pub bytes_in: u64,
    pub datagrams_out: u64,
    pub bytes_out: u64,
}

enum Role {
    Gateway(Box<Gateway>),
    Hub(Box<Hub>),
}

/// The feed endpoint of a gateway or of a hub.
pub struct Feed {
    keys: seal::Keys,
    config: Arc<Config>,
    role: Role,
    now: Time,
    pub counts: Counts,
    pub traffic: Traffic,
    outputs: VecDeque<Output>,
}

impl Feed {
    /// `gateway`: the gateway's name in its fleet, or the hub's name on a control machine. `run_id`: a number that no
    /// other start of the process uses.
    pub fn new(
        file: &settings::Feed,
        keys: &[settings::Key],
        gateway: &str,
        run_id: u64,
        seed: u64,
        now: Time,
    ) -> Result<Feed, StartError> {
        file.check().map_err(|(field, what)| StartError::File(field, what))?;
        let keys = seal::Keys::new(&file.name, keys).ok_or(StartError::Keys)?;
        let public = StartError::File("hubs".to_owned(), "public keys must be hexadecimal");
        let config = Arc::new(Config::new(file).ok_or(public)?);
        let role = match (&file.control, file.control_hub_index()) {
            (Some(control), Some(index)) => {
                let secret =
                    StartError::File("control.secret".to_owned(), "does not match the hub's public key");
                let hub = Hub::new(Arc::clone(&config), index, control, run_id, seed, now).ok_or(secret)?;
                Role::Hub(Box::new(hub))
            }
            _ => Role::Gateway(Box::new(Gateway::new(Arc::clone(&config), gateway, run_id, seed, now))),
        };
        let (counts, traffic) = (Counts::default(), Traffic::default());
        Ok(Feed { keys, config, role, now, counts, traffic, outputs: VecDeque::new() })
    }

    /// Replaces the shared keys. Returns `false` and keeps the old ones if the new ones are unusable.
    pub fn set_keys(&mut self, keys: &[settings::Key]) -> bool {
        let new_keys = seal::Keys::new(&self.config.installation, keys);
        let usable = new_keys.is_some();
        if let Some(new_keys) = new_keys {
            self.keys = new_keys;
        }
        usable
    }

    // Inputs.

    /// The other live members of the site with their addresses; called whenever they change.
    pub fn set_members<'a>(&mut self, now: Time, live: impl Iterator<Item = (&'a str, SocketAddr)>) {
        if let Role::Gateway(gateway) = &mut self.role {
            gateway.set_members(live);
        }
        self.collect_outputs(now);
    }

    pub fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.traffic.datagrams_in += 1;
        self.traffic.bytes_in += bytes.len() as u64;
        let Ok(body) = self.keys.open(VERSION, bytes) else {
            self.counts.refused_seals += 1;
            return;
        };
        let payload = Packet::decode(body).ok().and_then(|p| p.payload).filter(|s| s.is_valid());
        let Some(payload) = payload else {
            self.counts.refused_forms += 1;
            return;
        };
        match &mut self.role {
            Role::Gateway(gateway) => gateway.handle_payload(now, from, &payload, &mut self.counts),
            Role::Hub(hub) => hub.handle_payload(now, from, &payload, &mut self.counts),
        }
        self.collect_outputs(now);
    }

    /// An event line exactly as the list service wrote it.
    pub fn handle_line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), EventError> {
        let result = match &mut self.role {
            Role::Gateway(gateway) => gateway.handle_line(now, stream, line),
            Role::Hub(hub) => hub.handle_line(now, stream, line),
        };
        self.collect_outputs(now);
        result
    }

    /// The last sequence number of a list service. Returns `false` if some events before it were not received.
    pub fn handle_last(&mut self, now: Time, stream: usize, seq: u64) -> bool {
        match &mut self.role {
            Role::Gateway(gateway) => gateway.handle_last(now, stream, seq),
            Role::Hub(hub) => hub.handle_last(now, stream, seq),
        }
    }

    /// The connection to a list service has ended or could not be established.
    pub fn handle_disconnect(&mut self, now: Time, stream: usize) {
        if let Role::Gateway(gateway) = &mut self.role {
            gateway.handle_disconnect(now, stream);
        }
    }

    /// Whether the host has to keep a connection to that list service.
    pub fn wants_connection(&self, stream: usize) -> bool {
        match &self.role {
            Role::Gateway(gateway) => gateway.wants_connection(stream),
            Role::Hub(_) => stream < self.config.streams.len(),
        }
    }

    // State.

    /// Every sequence number of the stream up to this one has been received.
    pub fn position(&self, stream: usize) -> u64 {
        match &self.role {
            Role::Gateway(gateway) => gateway.streams.all.get(stream).map_or(0, |s| s.signed.position()),
            Role::Hub(hub) => hub.position(stream),
        }
    }

    /// A list service is asked for the events after this sequence number.
    pub fn resume_after(&self, stream: usize) -> u64 {
        match &self.role {
            Role::Gateway(gateway) => gateway.resume_after(stream),
            Role::Hub(hub) => hub.position(stream),
        }
    }

    /// How long ago this gateway was known to have all events of the list service; `None` if that is unknown, and at
    /// hubs.
    pub fn staleness(&self, now: Time, stream: usize) -> Option<Span> {
        match &self.role {
            Role::Gateway(gateway) => gateway.streams.staleness(now, stream),
            Role::Hub(_) => None,
        }
    }

    /// Number of missing sequence numbers, over all streams.
    pub fn missing_count(&self) -> u64 {
        match &self.role {
            Role::Gateway(gateway) => gateway.streams.missing_count(),
            Role::Hub(_) => 0,
        }
    }

    /// The watermarks: computed at a hub, received from hubs at a gateway.
    pub fn watermarks(&self, stream: usize) -> Watermarks {
        match &self.role {
            Role::Gateway(gateway) => {
                let all = gateway.streams.all.get(stream);
                all.map_or(Watermarks::default(), |s| Watermarks {
                    in_touch: s.in_touch,
                    everywhere: s.everywhere,
                })
            }
            Role::Hub(hub) => {
                let (in_touch, everywhere) = hub.sites.watermarks(stream);
                Watermarks { in_touch, everywhere }
            }
        }
    }

    /// At a hub: sites and gateways that have not acknowledged; bounded.
    pub fn unacked(&self) -> Vec<Unacked> {
        match &self.role {
            Role::Gateway(_) => Vec::new(),
            Role::Hub(hub) => hub.unacked(self.now),
        }
    }

    /// At a hub: site, gateway and number of acknowledgements for events that were never sent.
    pub fn false_acks(&self) -> Vec<(String, String, u64)> {
        match &self.role {
            Role::Gateway(_) => Vec::new(),
            Role::Hub(hub) => {
                let one = |((site, name), n): (&(String, String), &u64)| (site.clone(), name.clone(), *n);
                hub.sites.false_acks.iter().map(one).collect()
            }
        }
    }

    /// Whether this gateway subscribes to a hub on behalf of its site.
    pub fn is_contact(&self) -> bool {
        matches!(&self.role, Role::Gateway(gateway) if gateway.is_contact())
    }

    // Time.

    pub fn next_wake(&self, now: Time) -> Time {
        match &self.role {
            Role::Gateway(gateway) => gateway.next_wake(now),
            Role::Hub(hub) => hub.next_wake(now),
        }
    }

    pub fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Gateway(gateway) => gateway.tick(now, &mut self.counts),
            Role::Hub(hub) => hub.tick(now, &mut self.counts),
        }
        self.collect_outputs(now);
    }

    pub fn poll(&mut self) -> Option<Output> {
        self.outputs.pop_front()
    }

    fn collect_outputs(&mut self, now: Time) {
        self.now = now;
        let payload = match &mut self.role {
            Role::Gateway(gateway) => {
                gateway.check_gaps(now);
                self.outputs.extend(gateway.take_outputs());
                let streams = &gateway.streams;
                (self.counts.purges, self.counts.lines) = (streams.purges, streams.lines);
                self.counts.gaps_purged = streams.gaps_purged;
                self.counts.dropped = streams.dropped();
                std::mem::take(&mut gateway.outbox)
            }
            Role::Hub(hub) => std::mem::take(&mut hub.outbox),
        };
        for (to, payload) in payload {
            let bytes = self.keys.seal(VERSION, &Packet { payload: Some(payload) }.encode_to_vec());
            self.traffic.datagrams_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
            self.outputs.push_back(Output::Datagram(to, bytes));
        }
    }

    /// Sizes of internal tables, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        match &self.role {
            Role::Gateway(gateway) => gateway.sizes(),
            Role::Hub(hub) => hub.sizes(),
        }
    }

    /// Checks limits and invariants that hold after every step; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        match &self.role {
            Role::Gateway(gateway) => gateway.check_invariants(),
            Role::Hub(hub) => hub.check_invariants(),
        }
    }
}

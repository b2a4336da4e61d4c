//! How changes (purges, lists of caches, configurations) reach every gateway of a large installation, and how it is known
//! that they did. Everything here is without I/O and clock; the host hands in datagrams, lines and times, and pulls what
//! is to be done. Must never decide on a txn, nor pass over a gap: what is not known is known to be missing.

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

/// The first byte of each datagram; the fleet's have another one, so that one socket serves both.
pub const VERSION: u8 = 2;

#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    Datagram(SocketAddr, Vec<u8>),
    /// Objects and groups of which nothing older than `issued_ms` (Unix ms) is good any more.
    Purge {
        stream: usize,
        names: PrefixSet,
        issued_ms: u64,
    },
    /// Any other event, verbatim, in order within its stream.
    Line {
        stream: usize,
        seq: u64,
        line: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    #[error("keys: a secret is no row of hex digits")]
    Keys,
    #[error("{0}: {1}")]
    File(String, &'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EventError {
    #[error("not JSON")]
    Json,
    #[error("no event: {0}")]
    Malformed(&'static str),
    #[error("number {0} after {1}")]
    Gap(u64, u64),
    #[error("more than its bound")]
    TooLarge,
    #[error("no such stream")]
    UnknownStream,
}

/// All numbers up to these are known: at all sites in touch, and at all sites that there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watermarks {
    pub in_touch: u64,
    pub everywhere: u64,
}

/// Who has not confirmed what a hub has told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Unacked {
    pub site: String,
    /// `None`: the site as a whole is out of touch.
    pub member: Option<String>,
    /// The stream in which it is most behind, and its position there.
    pub stream: usize,
    pub position: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub bundles_made: u64,
    pub provisional_made: u64,
    /// Bundles that were new here, and copies of known ones.
    pub bundles: u64,
    pub provisional: u64,
    pub duplicates: u64,
    pub purges: u64,
    pub lines: u64,
    /// Gaps told to the module as a purge of everything.
    pub gaps_purged: u64,
    pub retransmit_requests: u64,
    pub repaired: u64,
    /// Requests that could not be served.
    pub requests_unserved: u64,
    /// Times that this gateway became its site's contact, and that a contact left its hub for another.
    pub contact_promotions: u64,
    pub hub_switches: u64,
    /// Connections to list services wanted by contacts.
    pub list_connections: u64,
    /// Sealed by no key of ours or damaged; of no sound form; signed by no hub; told what can't be.
    pub refused_seals: u64,
    pub refused_forms: u64,
    pub refused_signatures: u64,
    pub refused_reports: u64,
    /// Requests beyond what one requester gets.
    pub refused_requests: u64,
    /// What was let go of at a bound.
    pub dropped: u64,
}

/// Datagrams and their bytes, without the heads of IP and UDP.
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

/// A gateway's or a hub's part in the feed.
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
    /// `gateway`: its name in its fleet; a control machine has the name of its hub. `run`: a number that no other start
    /// has.
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
        let public = StartError::File("hubs".to_owned(), "public keys in hex digits are wanted");
        let config = Arc::new(Config::new(file).ok_or(public)?);
        let role = match (&file.control, file.control_hub_index()) {
            (Some(control), Some(index)) => {
                let secret =
                    StartError::File("control.secret".to_owned(), "not the seed of the hub's public key");
                let hub = Hub::new(Arc::clone(&config), index, control, run_id, seed, now).ok_or(secret)?;
                Role::Hub(Box::new(hub))
            }
            _ => Role::Gateway(Box::new(Gateway::new(Arc::clone(&config), gateway, run_id, seed, now))),
        };
        let (counts, traffic) = (Counts::default(), Traffic::default());
        Ok(Feed { keys, config, role, now, counts, traffic, outputs: VecDeque::new() })
    }

    /// Other keys from now on; `false`: they can't be used, and all stays.
    pub fn set_keys(&mut self, keys: &[settings::Key]) -> bool {
        let new_keys = seal::Keys::new(&self.config.installation, keys);
        let usable = new_keys.is_some();
        if let Some(new_keys) = new_keys {
            self.keys = new_keys;
        }
        usable
    }

    // Inputs.

    /// The live others of its site with their addresses, whenever they change.
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

    /// An event of a list service as it wrote it.
    pub fn handle_line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), EventError> {
        let result = match &mut self.role {
            Role::Gateway(gateway) => gateway.handle_line(now, stream, line),
            Role::Hub(hub) => hub.handle_line(now, stream, line),
        };
        self.collect_outputs(now);
        result
    }

    /// A list service's last number; `false`: it has more than it told.
    pub fn handle_last(&mut self, now: Time, stream: usize, seq: u64) -> bool {
        match &mut self.role {
            Role::Gateway(gateway) => gateway.handle_last(now, stream, seq),
            Role::Hub(hub) => hub.handle_last(now, stream, seq),
        }
    }

    /// The connection to a list service has ended or did not come up.
    pub fn handle_disconnect(&mut self, now: Time, stream: usize) {
        if let Role::Gateway(gateway) = &mut self.role {
            gateway.handle_disconnect(now, stream);
        }
    }

    /// The host keeps a connection to that list service while this holds.
    pub fn wants_connection(&self, stream: usize) -> bool {
        match &self.role {
            Role::Gateway(gateway) => gateway.wants_connection(stream),
            Role::Hub(_) => stream < self.config.streams.len(),
        }
    }

    // What is known.

    /// All numbers of a stream up to it are known here.
    pub fn position(&self, stream: usize) -> u64 {
        match &self.role {
            Role::Gateway(gateway) => gateway.streams.all.get(stream).map_or(0, |s| s.signed.position()),
            Role::Hub(hub) => hub.position(stream),
        }
    }

    /// What a list service is asked for: events behind this number.
    pub fn resume_after(&self, stream: usize) -> u64 {
        match &self.role {
            Role::Gateway(gateway) => gateway.resume_after(stream),
            Role::Hub(hub) => hub.position(stream),
        }
    }

    /// How long ago a list service had no more than what was told here; `None`: nothing was told. At a gateway.
    pub fn staleness(&self, now: Time, stream: usize) -> Option<Span> {
        match &self.role {
            Role::Gateway(gateway) => gateway.streams.staleness(now, stream),
            Role::Hub(_) => None,
        }
    }

    /// Numbers of all streams that are known to be missing here.
    pub fn missing_count(&self) -> u64 {
        match &self.role {
            Role::Gateway(gateway) => gateway.streams.missing_count(),
            Role::Hub(_) => 0,
        }
    }

    /// The watermark: at a hub as gathered, at a gateway as told.
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

    /// At a hub: who has not confirmed, bounded.
    pub fn unacked(&self) -> Vec<Unacked> {
        match &self.role {
            Role::Gateway(_) => Vec::new(),
            Role::Hub(hub) => hub.unacked(self.now),
        }
    }

    /// At a hub: who confirmed what can't be, by site and gateway, and how often.
    pub fn false_acks(&self) -> Vec<(String, String, u64)> {
        match &self.role {
            Role::Gateway(_) => Vec::new(),
            Role::Hub(hub) => {
                let one = |((site, name), n): (&(String, String), &u64)| (site.clone(), name.clone(), *n);
                hub.sites.false_acks.iter().map(one).collect()
            }
        }
    }

    /// This gateway hears a hub for its site, or tries to.
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

    /// How much is kept, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        match &self.role {
            Role::Gateway(gateway) => gateway.sizes(),
            Role::Hub(hub) => hub.sizes(),
        }
    }

    /// Bounds and rules that have to hold after every step; for tests.
    pub fn check_invariants(&self) -> Result<(), String> {
        match &self.role {
            Role::Gateway(gateway) => gateway.check_invariants(),
            Role::Hub(hub) => hub.check_invariants(),
        }
    }
}

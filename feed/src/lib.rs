//! How changes (purges, lists of caches, configurations) reach every gateway of a large installation, and how it is known
//! that they did. Everything here is without I/O and clock; the host hands in datagrams, lines and times, and pulls what
//! is to be done. Must never decide on a txn, nor pass over a gap: what is not known is known to be missing.

pub mod code;
mod common;
mod compose;
mod hub;
mod lines;
mod log;
pub mod positions;
pub mod rank;
mod report;
pub mod seal;
pub mod settings;
mod site;
mod streams;
pub mod wire;

use crate::common::Set;
use crate::hub::Hub;
use crate::site::Site;
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
pub enum Out {
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
        no: u64,
        line: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unstartable {
    #[error("keys: a secret is no row of hex digits")]
    Keys,
    #[error("{0}: {1}")]
    File(String, &'static str),
}

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    #[error("not JSON")]
    Json,
    #[error("no event: {0}")]
    Form(&'static str),
    #[error("number {0} after {1}")]
    Gap(u64, u64),
    #[error("more than its bound")]
    Large,
    #[error("no such stream")]
    Stream,
}

/// All numbers up to these are known: at all sites in touch, and at all sites that there are.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Done {
    pub in_touch: u64,
    pub everywhere: u64,
}

/// Who has not confirmed what a hub has told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Missing {
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
    pub copies: u64,
    pub purges: u64,
    pub lines: u64,
    /// Gaps told to the module as a purge of everything.
    pub purged_all: u64,
    pub fetches: u64,
    pub repaired: u64,
    /// Requests that could not be served.
    pub lacked: u64,
    /// Times that this gateway became its site's contact, and that a contact left its hub for another.
    pub contacts: u64,
    pub hubs_left: u64,
    /// Connections to list services wanted by contacts.
    pub asked: u64,
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
    Site(Box<Site>),
    Hub(Box<Hub>),
}

/// A gateway's or a hub's part in the feed.
pub struct Feed {
    keys: seal::Keys,
    set: Arc<Set>,
    role: Role,
    now: Time,
    pub counts: Counts,
    pub traffic: Traffic,
    out: VecDeque<Out>,
}

impl Feed {
    /// `gateway`: its name in its fleet; a control machine has the name of its hub. `run`: a number that no other start
    /// has.
    pub fn new(
        file: &settings::Feed,
        keys: &[settings::Key],
        gateway: &str,
        run: u64,
        seed: u64,
        now: Time,
    ) -> Result<Feed, Unstartable> {
        file.check().map_err(|(field, what)| Unstartable::File(field, what))?;
        let keys = seal::Keys::new(&file.name, keys).ok_or(Unstartable::Keys)?;
        let public = Unstartable::File("hubs".to_owned(), "public keys in hex digits are wanted");
        let set = Arc::new(Set::new(file).ok_or(public)?);
        let role = match (&file.control, file.hub()) {
            (Some(control), Some(me)) => {
                let secret =
                    Unstartable::File("control.secret".to_owned(), "not the seed of the hub's public key");
                let hub = Hub::new(Arc::clone(&set), me, control, run, seed, now).ok_or(secret)?;
                Role::Hub(Box::new(hub))
            }
            _ => Role::Site(Box::new(Site::new(Arc::clone(&set), gateway, run, seed, now))),
        };
        let (counts, traffic) = (Counts::default(), Traffic::default());
        Ok(Feed { keys, set, role, now, counts, traffic, out: VecDeque::new() })
    }

    /// Other keys from now on; `false`: they can't be used, and all stays.
    pub fn rekey(&mut self, keys: &[settings::Key]) -> bool {
        let fresh = seal::Keys::new(&self.set.of, keys);
        let usable = fresh.is_some();
        if let Some(fresh) = fresh {
            self.keys = fresh;
        }
        usable
    }

    // Inputs.

    /// The live others of its site with their addresses, whenever they change.
    pub fn members<'a>(&mut self, now: Time, live: impl Iterator<Item = (&'a str, SocketAddr)>) {
        if let Role::Site(site) = &mut self.role {
            site.members(live);
        }
        self.collect(now);
    }

    pub fn datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) {
        self.traffic.datagrams_in += 1;
        self.traffic.bytes_in += bytes.len() as u64;
        let Ok(body) = self.keys.open(VERSION, bytes) else {
            self.counts.refused_seals += 1;
            return;
        };
        let said = Packet::decode(body).ok().and_then(|p| p.said).filter(|s| s.is_sound());
        let Some(said) = said else {
            self.counts.refused_forms += 1;
            return;
        };
        match &mut self.role {
            Role::Site(site) => site.said(now, from, &said, &mut self.counts),
            Role::Hub(hub) => hub.said(now, from, &said, &mut self.counts),
        }
        self.collect(now);
    }

    /// An event of a list service as it wrote it.
    pub fn line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), Unusable> {
        let taken = match &mut self.role {
            Role::Site(site) => site.line(now, stream, line),
            Role::Hub(hub) => hub.line(now, stream, line),
        };
        self.collect(now);
        taken
    }

    /// A list service's last number; `false`: it has more than it told.
    pub fn last(&mut self, now: Time, stream: usize, no: u64) -> bool {
        match &mut self.role {
            Role::Site(site) => site.last(now, stream, no),
            Role::Hub(hub) => hub.last(now, stream, no),
        }
    }

    /// The connection to a list service has ended or did not come up.
    pub fn ended(&mut self, now: Time, stream: usize) {
        if let Role::Site(site) = &mut self.role {
            site.ended(now, stream);
        }
    }

    /// The host keeps a connection to that list service while this holds.
    pub fn asks(&self, stream: usize) -> bool {
        match &self.role {
            Role::Site(site) => site.asks(stream),
            Role::Hub(_) => stream < self.set.streams.len(),
        }
    }

    // What is known.

    /// All numbers of a stream up to it are known here.
    pub fn position(&self, stream: usize) -> u64 {
        match &self.role {
            Role::Site(site) => site.streams.all.get(stream).map_or(0, |s| s.hard.position()),
            Role::Hub(hub) => hub.position(stream),
        }
    }

    /// What a list service is asked for: events behind this number.
    pub fn after(&self, stream: usize) -> u64 {
        match &self.role {
            Role::Site(site) => site.after(stream),
            Role::Hub(hub) => hub.position(stream),
        }
    }

    /// How long ago a list service had no more than what was told here; `None`: nothing was told. At a gateway.
    pub fn age(&self, now: Time, stream: usize) -> Option<Span> {
        match &self.role {
            Role::Site(site) => site.streams.age(now, stream),
            Role::Hub(_) => None,
        }
    }

    /// Numbers of all streams that are known to be missing here.
    pub fn gaps(&self) -> u64 {
        match &self.role {
            Role::Site(site) => site.streams.missing(),
            Role::Hub(_) => 0,
        }
    }

    /// The watermark: at a hub as gathered, at a gateway as told.
    pub fn done(&self, stream: usize) -> Done {
        match &self.role {
            Role::Site(site) => {
                let all = site.streams.all.get(stream);
                all.map_or(Done::default(), |s| Done { in_touch: s.in_touch, everywhere: s.everywhere })
            }
            Role::Hub(hub) => {
                let (in_touch, everywhere) = hub.sites.done(stream);
                Done { in_touch, everywhere }
            }
        }
    }

    /// At a hub: who has not confirmed, bounded.
    pub fn missing(&self) -> Vec<Missing> {
        match &self.role {
            Role::Site(_) => Vec::new(),
            Role::Hub(hub) => hub.missing(self.now),
        }
    }

    /// At a hub: who confirmed what can't be, by site and gateway, and how often.
    pub fn liars(&self) -> Vec<(String, String, u64)> {
        match &self.role {
            Role::Site(_) => Vec::new(),
            Role::Hub(hub) => {
                let one = |((site, name), n): (&(String, String), &u64)| (site.clone(), name.clone(), *n);
                hub.sites.liars.iter().map(one).collect()
            }
        }
    }

    /// This gateway hears a hub for its site, or tries to.
    pub fn is_contact(&self) -> bool {
        matches!(&self.role, Role::Site(site) if site.is_contact())
    }

    // Time.

    pub fn next_wake(&self, now: Time) -> Time {
        match &self.role {
            Role::Site(site) => site.next_wake(now),
            Role::Hub(hub) => hub.next_wake(now),
        }
    }

    pub fn tick(&mut self, now: Time) {
        match &mut self.role {
            Role::Site(site) => site.tick(now, &mut self.counts),
            Role::Hub(hub) => hub.tick(now, &mut self.counts),
        }
        self.collect(now);
    }

    pub fn poll(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    fn collect(&mut self, now: Time) {
        self.now = now;
        let said = match &mut self.role {
            Role::Site(site) => {
                site.look(now);
                self.out.extend(site.out());
                let streams = &site.streams;
                (self.counts.purges, self.counts.lines) = (streams.purges, streams.lines);
                self.counts.purged_all = streams.purged_all;
                self.counts.dropped = streams.dropped();
                std::mem::take(&mut site.said)
            }
            Role::Hub(hub) => std::mem::take(&mut hub.said),
        };
        for (to, said) in said {
            let bytes = self.keys.seal(VERSION, &Packet { said: Some(said) }.encode_to_vec());
            self.traffic.datagrams_out += 1;
            self.traffic.bytes_out += bytes.len() as u64;
            self.out.push_back(Out::Datagram(to, bytes));
        }
    }

    /// How much is kept, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        match &self.role {
            Role::Site(site) => site.sizes(),
            Role::Hub(hub) => hub.sizes(),
        }
    }

    /// Bounds and rules that have to hold after every step; for tests.
    pub fn check_rules(&self) -> Result<(), String> {
        match &self.role {
            Role::Site(site) => site.check_rules(),
            Role::Hub(hub) => hub.check_rules(),
        }
    }
}

//! How changes (purges, lists of caches, configurations) reach every gateway of a large installation, and how it is known
//! that they did. Everything here is without I/O and clock; the host hands in datagrams, lines and times, and pulls what
//! is to be done. Must never decide on a txn, nor pass over a gap: what is not known is known to be missing.

pub mod rank;
pub mod seal;
pub mod settings;

use kelpcart::names::NameSet;
use kelpcart::{Span, Time};
use std::collections::VecDeque;
use std::net::SocketAddr;

/// The first byte of each datagram; the fleet's have another one, so that one socket serves both.
pub const VERSION: u8 = 2;

#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    Datagram(SocketAddr, Vec<u8>),
    /// Objects and groups of which nothing older than `issued_ms` (Unix ms) is good any more.
    Purge {
        stream: usize,
        names: NameSet,
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

pub struct Feed {
    keys: seal::Keys,
    name: String,
    positions: Vec<u64>,
    hub: bool,
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
        let _ = (gateway, run, seed, now);
        Ok(Feed {
            keys,
            name: file.name.clone(),
            positions: file.streams.iter().map(|s| s.known).collect(),
            hub: file.hub().is_some(),
            counts: Counts::default(),
            traffic: Traffic::default(),
            out: VecDeque::new(),
        })
    }

    /// Other keys from now on; `false`: they can't be used, and all stays.
    pub fn rekey(&mut self, keys: &[settings::Key]) -> bool {
        let fresh = seal::Keys::new(&self.name, keys);
        let usable = fresh.is_some();
        if let Some(fresh) = fresh {
            self.keys = fresh;
        }
        usable
    }

    /// The live others of its site with their addresses, whenever they change.
    pub fn members<'a>(&mut self, _now: Time, _live: impl Iterator<Item = (&'a str, SocketAddr)>) {}

    pub fn datagram(&mut self, _now: Time, _from: SocketAddr, bytes: &[u8]) {
        self.traffic.datagrams_in += 1;
        self.traffic.bytes_in += bytes.len() as u64;
    }

    /// An event of a list service as it wrote it.
    pub fn line(&mut self, _now: Time, stream: usize, _line: &[u8]) -> Result<(), Unusable> {
        self.positions.get(stream).map(|_| ()).ok_or(Unusable::Stream)
    }

    /// A list service's last number; `false`: it has more than it told.
    pub fn last(&mut self, _now: Time, stream: usize, no: u64) -> bool {
        self.positions.get(stream).is_some_and(|p| *p >= no)
    }

    /// The connection to a list service has ended or did not come up.
    pub fn ended(&mut self, _now: Time, _stream: usize) {}

    /// The host keeps a connection to that list service while this holds.
    pub fn asks(&self, _stream: usize) -> bool {
        self.hub
    }

    /// All numbers of a stream up to it are known here.
    pub fn position(&self, stream: usize) -> u64 {
        self.positions.get(stream).copied().unwrap_or(0)
    }

    /// What a list service is asked for: events behind this number.
    pub fn after(&self, stream: usize) -> u64 {
        self.position(stream)
    }

    /// The watermark: at a hub as gathered, at a gateway as told.
    pub fn done(&self, _stream: usize) -> Done {
        Done::default()
    }

    /// At a hub: who has not confirmed, bounded.
    pub fn missing(&self) -> Vec<Missing> {
        Vec::new()
    }

    pub fn next_wake(&self, now: Time) -> Time {
        now + Span::from_millis(100)
    }

    pub fn tick(&mut self, _now: Time) {}

    pub fn poll(&mut self) -> Option<Out> {
        self.out.pop_front()
    }

    /// How much is kept, by name.
    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        vec![("feed out", self.out.len())]
    }

    /// Bounds and rules that have to hold after every step; for tests.
    pub fn check_rules(&self) -> Result<(), String> {
        Ok(())
    }
}

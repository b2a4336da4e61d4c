//! Where fronts and carriers meet the dispatcher: what a txn asks, whom it is answered to, and how a member is reached.
//! Fronts decode into `Event`s and carry out what a `Caller` is told; carriers run hops. Must never know a protocol,
//! nor decide: the dispatcher and all fronts and carriers depend on this, and none of them on another.

use crate::buffers::Body;
use crate::config::DiscoveryEvent;
use crate::connection_end::ConnectionEnd;
use kelpcart::interface::{CacheStatus, Fill, MemberId, TxnId};
use kelpcart::{Span, Time};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// What a txn asks for, as its front read it.
#[derive(Debug, Default, PartialEq)]
pub struct Request {
    /// The client's own id, as it was sent and as a number.
    pub request_id: String,
    pub request_number: u64,
    /// The object, as it was sent and as a number.
    pub object_name: String,
    pub object: u64,
    pub part: u64,
    pub group: u8,
    pub timeout_ms: u32,
    /// The size in KB.
    pub size_kb: Option<f64>,
    /// The tag of a copy that the client holds.
    pub client_etag: Option<String>,
    /// The mark by which caches know a repeat of a keyed txn, as it was sent.
    pub idempotency_key: Option<String>,
    pub body: Vec<u8>,
    /// The oldest copy that the asker takes, where it says so.
    pub max_age: Option<Span>,
    /// The sites that it has crossed, oldest first.
    pub via: Vec<String>,
}

/// How a front is told what became of a txn; each is called once at most for an id.
pub trait Responder {
    /// Unique among all callers of the process.
    fn key(&self) -> u64;
    /// Without a body the asker's own copy is the one. After `until` nobody waits for it.
    fn serve(&self, id: u64, body: Option<Body>, deadline: Time);
    /// Another try is harmless, and welcome after the span where one is given.
    fn reject(&self, id: u64, retry_after: Option<Span>);
    /// What has run is not known.
    fn abort(&self, id: u64);
    /// The request itself can't be used; it went nowhere.
    fn invalid(&self, id: u64);
    fn ready(&self, id: u64, ready: bool);
}

/// Gives each caller its own key, whatever its front.
#[derive(Clone, Default)]
pub struct ResponderKeys(Rc<Cell<u64>>);

impl ResponderKeys {
    pub fn next(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}

pub enum Event {
    Request {
        responder: Rc<dyn Responder>,
        id: u64,
        method: String,
        request: Box<Request>,
        received_at: Time,
    },
    HealthCheck {
        responder: Rc<dyn Responder>,
        id: u64,
    },
    Cancelled {
        responder: u64,
        id: u64,
    },
    Disconnected {
        responder: u64,
    },
    HopFinished {
        txn: TxnId,
        hop: u32,
        result: HopResult,
    },
    Discovery(DiscoveryEvent),
    /// A sign of life apart from hops.
    MemberAlive {
        member: MemberId,
    },
    DumpCounters,
    Shutdown,
}

/// One hop, as the module ordered it.
pub struct HopRequest {
    pub member: MemberId,
    /// Its first byte goes out by then, or none does.
    pub start_by: Time,
    /// Set just before its first byte: from there on what was ordered can't be taken for never sent.
    pub started: Rc<Cell<bool>>,
    pub deadline: Time,
    /// When the txn's SLA time is over.
    pub sla_deadline: Time,
    pub rule: Rc<str>,
    pub is_write: bool,
    /// It must not run twice.
    pub unrepeatable: bool,
    pub request: Rc<Request>,
    pub fill: Option<Fill>,
}

pub struct HopResult {
    pub end: ConnectionEnd,
    pub cache_status: Option<CacheStatus>,
    pub first_byte_wait: Option<Span>,
    pub load_report: Option<Vec<u8>>,
    pub body: Option<Body>,
    /// When it ended at the socket; `None` where no task reports it.
    pub finished_at: Option<Time>,
    /// How long the hop waited for what the gateway itself lacked.
    pub local_wait: Span,
}

impl From<ConnectionEnd> for HopResult {
    fn from(end: ConnectionEnd) -> HopResult {
        HopResult {
            end,
            cache_status: None,
            first_byte_wait: None,
            load_report: None,
            body: None,
            finished_at: None,
            local_wait: Span::ZERO,
        }
    }
}

pub type HopFuture = Pin<Box<dyn Future<Output = HopResult>>>;

/// Work beside that of the dispatcher.
pub trait Service {
    /// The process is told to stop.
    fn shutdown(&self);
    /// Nothing more comes: what is owed goes out, and then connections end.
    fn close(&self) {}
    fn is_closed(&self) -> bool {
        true
    }
    /// How much is kept, by name.
    fn table_sizes(&self) -> Vec<(&'static str, usize)>;
}

/// A way to some members other than a connection of HTTP to each.
pub trait Transport: Service {
    /// Members that are reached by it.
    fn reaches(&self, member: &MemberId) -> bool;
    /// Runs one hop to its end, which comes by the job's time at the latest; dropped, the hop is given up.
    fn hop(&self, request: HopRequest) -> HopFuture;
}

/// Given back when it is dropped.
pub trait Permit {
    /// What it was given for is done, and need not be done again by another gateway.
    fn complete(&mut self);
}

pub type PermitFuture = Pin<Box<dyn Future<Output = Option<Box<dyn Permit>>>>>;

/// Bounds that hold for several gateways together. It only narrows what the module has ordered: a hop for which there
/// is no permit in time ends as never sent.
pub trait SharedLimits {
    /// For one connection to a member; `None`: there is none in time.
    fn acquire_connection(&self, member: &MemberId, deadline: Time) -> PermitFuture;
    /// For a fill of the object through a member; `None` at once where fills are not counted now.
    fn acquire_fill(&self, request: &HopRequest) -> Option<PermitFuture>;
}

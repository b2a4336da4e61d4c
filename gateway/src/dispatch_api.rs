//! Interface between the dispatcher and its frontends and transports. Frontends decode requests into `Event`s and implement
//! `Responder` for the answers; transports run hops.
//!
//! Invariant: this module knows no protocol and takes no decision. The dispatcher, the frontends and the transports depend
//! on it and not on each other.

use crate::buffers::Body;
use crate::config::DiscoveryEvent;
use crate::connection_end::ConnectionEnd;
use kelpcart::interface::{CacheStatus, EarlierAttempt, Fill, MemberId, TxnId};
use kelpcart::{Span, Time};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// A txn's request as decoded by its frontend.
#[derive(Debug, Default, PartialEq)]
pub struct Request {
    /// The id that the client chose, as it was sent.
    pub request_id: String,
    /// `request_id` as a number.
    pub request_number: u64,
    /// The object's id, as it was sent.
    pub object_name: String,
    /// `object_name` as a number.
    pub object: u64,
    pub part: u64,
    pub group: u8,
    pub timeout_ms: u32,
    pub size_kb: Option<f64>,
    /// The entity tag of the copy that the client holds.
    pub client_etag: Option<String>,
    /// The key by which caches recognise a repeat of a keyed txn, as it was sent.
    pub idempotency_key: Option<String>,
    pub body: Vec<u8>,
    /// Maximum age of the copy that the requester accepts, if it sets one.
    pub max_age: Option<Span>,
    /// The sites that the txn has crossed, oldest first.
    pub via: Vec<String>,
    pub earlier_attempt: EarlierAttempt,
    /// Nothing of the txn may be sent after this time, if the requester sets one.
    pub start_by: Option<Time>,
}

impl Request {
    /// The bytes that its texts and its body take on the heap.
    pub fn heap_bytes(&self) -> usize {
        let optional = |text: &Option<String>| text.as_ref().map_or(0, String::capacity);
        self.request_id.capacity()
            + self.object_name.capacity()
            + optional(&self.client_etag)
            + optional(&self.idempotency_key)
            + self.body.capacity()
            + self.via.iter().map(String::capacity).sum::<usize>()
    }
}

/// The answer to a request that was not served and may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// When the requester may come again.
    pub retry_after: Option<Span>,
    /// A hop has ended without proof that the txn did not run.
    pub may_have_run: bool,
}

impl Rejection {
    /// No hop was started.
    pub const NOT_STARTED: Rejection = Rejection { retry_after: None, may_have_run: false };
}

/// Receives the final answers of a frontend's requests. At most one method is called per message id.
pub trait Responder {
    /// Unique among all responders of the process.
    fn key(&self) -> u64;
    /// The txn completed. Without a body the requester's own copy is current. After `deadline` the requester no longer
    /// waits.
    fn serve(&self, id: u64, body: Option<Body>, deadline: Time);
    /// The txn may safely be retried.
    fn reject(&self, id: u64, rejection: Rejection);
    /// Whether the txn ran is unknown.
    fn abort(&self, id: u64);
    /// The request is invalid and was not forwarded.
    fn invalid(&self, id: u64);
    /// Answers a health check.
    fn ready(&self, id: u64, ready: bool);
}

/// Allocates responder keys for all frontends.
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
    /// Evidence other than a hop that a member is alive.
    MemberAlive {
        member: MemberId,
    },
    DumpCounters,
    Shutdown,
}

#[derive(Clone, Copy, Debug)]
pub struct HopTimes {
    /// When the first attempt of the txn that may have run was sent.
    pub first_attempt: Option<Time>,
    /// The first byte is sent by this time, or the hop does not start.
    pub start_by: Time,
    /// The end of the txn's SLA time.
    pub sla_deadline: Time,
    pub deadline: Time,
}

/// One hop, as the module ordered it.
pub struct HopRequest {
    pub member: MemberId,
    pub times: HopTimes,
    /// Set just before the first byte is sent: from then on the hop can't be reported as never sent.
    pub started: Rc<Cell<bool>>,
    pub rule: Rc<str>,
    pub is_write: bool,
    /// The txn must not run twice.
    pub unrepeatable: bool,
    pub request: Rc<Request>,
    pub fill: Option<Fill>,
}

pub struct HopResult {
    pub end: ConnectionEnd,
    pub cache_status: Option<CacheStatus>,
    /// The cache's own wait for the first byte of a fill, as it reports it.
    pub first_byte_wait: Option<Span>,
    pub load_report: Option<Vec<u8>>,
    pub body: Option<Body>,
    /// When the hop ended at the socket; `None` if no task ran it.
    pub finished_at: Option<Time>,
    /// Time the hop spent waiting for this gateway's own resources.
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

/// A component that runs beside the dispatcher and takes part in its shutdown.
pub trait Service {
    /// A shutdown of the process has begun; requests are still accepted.
    fn shutdown(&self);
    /// Stop accepting requests: write pending answers, then close all connections.
    fn close(&self) {}
    fn is_closed(&self) -> bool {
        true
    }
    /// Table sizes by name.
    fn table_sizes(&self) -> Vec<(&'static str, usize)>;
}

/// Carries hops to members that are not reached by HTTP connections.
pub trait Transport: Service {
    /// Whether this transport carries the hops to a member.
    fn reaches(&self, member: &MemberId) -> bool;
    /// Runs one hop to its end, at the latest at its deadline. Dropping the future cancels the hop.
    fn hop(&self, request: HopRequest) -> HopFuture;
}

/// Permission to use a shared resource; released on drop.
pub trait Permit {
    /// The work is done, and another gateway need not repeat it.
    fn complete(&mut self);
}

pub type PermitFuture = Pin<Box<dyn Future<Output = Option<Box<dyn Permit>>>>>;

/// Limits shared by several gateways. They only restrict what the module has ordered: a hop that gets no permit in time
/// ends as never sent.
pub trait SharedLimits {
    /// Permit for one connection to a member; resolves to `None` if there is none by the deadline.
    fn acquire_connection(&self, member: &MemberId, deadline: Time) -> PermitFuture;
    /// Permit for a fill of the object through a member; `None` if fills are not limited at present.
    fn acquire_fill(&self, request: &HopRequest) -> Option<PermitFuture>;
}

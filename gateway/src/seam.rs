//! Where fronts and carriers meet the dispatcher: what a txn asks, whom it is answered to, and how a member is reached.
//! Fronts decode into `Event`s and carry out what a `Caller` is told; carriers run hops. Must never know a protocol,
//! nor decide: the dispatcher and all fronts and carriers depend on this, and none of them on another.

use crate::buffers::Body;
use crate::config::News;
use crate::end::End;
use kelpcart::interface::{Fill, MemberId, CacheStatus, TxnId};
use kelpcart::{Span, Time};
use std::cell::Cell;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// What a txn asks for, as its front read it.
#[derive(Debug, Default, PartialEq)]
pub struct Ask {
    /// The client's own id, as it was sent and as a number.
    pub req: String,
    pub trace: u64,
    /// The object, as it was sent and as a number.
    pub subject: String,
    pub object: u64,
    pub part: u64,
    pub group: u8,
    pub timeout_ms: u32,
    /// The size in KB.
    pub need: Option<f64>,
    /// The tag of a copy that the client holds.
    pub seen: Option<String>,
    /// The mark by which caches know a repeat of a keyed txn, as it was sent.
    pub mark: Option<String>,
    pub body: Vec<u8>,
    /// The oldest copy that the asker takes, where it says so.
    pub oldest: Option<Span>,
    /// The sites that it has crossed, oldest first.
    pub path: Vec<String>,
}

/// How a front is told what became of a txn; each is called once at most for an id.
pub trait Caller {
    /// Unique among all callers of the process.
    fn key(&self) -> u64;
    /// Without a body the asker's own copy is the one. After `until` nobody waits for it.
    fn serve(&self, id: u64, body: Option<Body>, until: Time);
    /// Another try is harmless, and welcome after the span where one is given.
    fn reject(&self, id: u64, come_back: Option<Span>);
    /// What has run is not known.
    fn abort(&self, id: u64);
    /// The request itself can't be used; it went nowhere.
    fn invalid(&self, id: u64);
    fn ready(&self, id: u64, ready: bool);
}

/// Gives each caller its own key, whatever its front.
#[derive(Clone, Default)]
pub struct Keys(Rc<Cell<u64>>);

impl Keys {
    pub fn next(&self) -> u64 {
        self.0.set(self.0.get() + 1);
        self.0.get()
    }
}

pub enum Event {
    Asked {
        client: Rc<dyn Caller>,
        id: u64,
        method: String,
        ask: Box<Ask>,
        at: Time,
    },
    Check {
        client: Rc<dyn Caller>,
        id: u64,
    },
    Interrupted {
        client: u64,
        id: u64,
    },
    Left {
        client: u64,
    },
    HopEnded {
        txn: TxnId,
        hop: u32,
        ended: Ended,
    },
    News(News),
    /// A sign of life apart from hops.
    Alive {
        member: MemberId,
    },
    Tell,
    Stop,
}

/// One hop, as the module ordered it.
pub struct Job {
    pub member: MemberId,
    /// Its first byte goes out by then, or none does.
    pub begin_by: Time,
    /// Set just before its first byte: from there on what was ordered can't be taken for never sent.
    pub begun: Rc<Cell<bool>>,
    pub until: Time,
    /// When the txn's SLA time is over.
    pub wanted: Time,
    pub rule: Rc<str>,
    pub write: bool,
    /// It must not run twice.
    pub once: bool,
    pub ask: Rc<Ask>,
    pub fill: Option<Fill>,
}

pub struct Ended {
    pub end: End,
    pub note: Option<CacheStatus>,
    pub waited: Option<Span>,
    pub stats: Option<Vec<u8>>,
    pub body: Option<Body>,
    /// When it ended at the socket; `None` where no task reports it.
    pub at: Option<Time>,
    /// How long the hop waited for what the gateway itself lacked.
    pub own: Span,
}

impl From<End> for Ended {
    fn from(end: End) -> Ended {
        Ended { end, note: None, waited: None, stats: None, body: None, at: None, own: Span::ZERO }
    }
}

pub type Running = Pin<Box<dyn Future<Output = Ended>>>;

/// Work beside that of the dispatcher.
pub trait Service {
    /// The process is told to stop.
    fn stop(&self);
    /// Nothing more comes: what is owed goes out, and then connections end.
    fn close(&self) {}
    fn is_closed(&self) -> bool {
        true
    }
    /// How much is kept, by name.
    fn sizes(&self) -> Vec<(&'static str, usize)>;
}

/// A way to some members other than a connection of HTTP to each.
pub trait Carrier: Service {
    /// Members that are reached by it.
    fn carries(&self, member: &MemberId) -> bool;
    /// Runs one hop to its end, which comes by the job's time at the latest; dropped, the hop is given up.
    fn hop(&self, job: Job) -> Running;
}

/// Given back when it is dropped.
pub trait Permit {
    /// What it was given for is done, and need not be done again by another gateway.
    fn done(&mut self);
}

pub type Permits = Pin<Box<dyn Future<Output = Option<Box<dyn Permit>>>>>;

/// Bounds that hold for several gateways together. It only narrows what the module has ordered: a hop for which there
/// is no permit in time ends as never sent.
pub trait Common {
    /// For one connection to a member; `None`: there is none in time.
    fn connection(&self, member: &MemberId, until: Time) -> Permits;
    /// For a fill of the object through a member; `None` at once where fills are not counted now.
    fn fill(&self, job: &Job) -> Option<Permits>;
}

//! Joins links between sites to the gateway: starts both ends as the file says, and is the dispatcher's one carrier for
//! members that stand for gateways of other sites. Owns no decision: what goes over which link and what becomes of it
//! is decided by the module and by the core in `kelpcart-sites`. Nothing of it runs unless the file is named.

mod acceptor;
mod copies;
mod initiator;

use crate::Tasks;
use crate::buffers::{Body, Pool};
use crate::clock::Clock;
use crate::config::{Config, ListedMember};
use crate::counters::{CountGuard, Counters};
use crate::dispatch_api::{Event, HopFuture, HopRequest, ResponderKeys, Service, Transport};
use acceptor::AcceptorDriver;
use async_channel::{Receiver, Sender};
use copies::Copies;
use initiator::InitiatorDriver;
use kelpcart::interface::{Member, MemberId, MemberState};
use kelpcart::{Span, Time};
use kelpcart_sites::quic::{self, Endpoint, SendStream};
use kelpcart_sites::settings::{Role, Sites};
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Between two calls of a core by its clock.
const MIN_SLEEP: Span = Span::from_millis(1);

/// What the fronts and carriers of the process share.
#[derive(Clone)]
pub struct LinkContext {
    pub tasks: Tasks,
    pub clock: Clock,
    pub pool: Rc<Pool>,
    pub counters: Rc<Counters>,
    pub dispatcher: Sender<Event>,
    pub keys: ResponderKeys,
}

/// What is written to a stream in one piece.
struct Frame {
    bytes: Vec<u8>,
    body: Option<Body>,
    /// Nobody waits for it after that.
    write_deadline: Option<Time>,
    _held: Option<CountGuard>,
}

impl From<Vec<u8>> for Frame {
    fn from(bytes: Vec<u8>) -> Frame {
        Frame { bytes, body: None, write_deadline: None, _held: None }
    }
}

/// Writes what comes until the senders are gone. `false`: the stream is no good any more.
async fn write_frames(clock: Clock, stream: &mut SendStream, frames: &Receiver<Frame>) -> bool {
    while let Ok(frame) = frames.recv().await {
        let write = async {
            quic::write(stream, &frame.bytes).await.ok()?;
            for slice in frame.body.iter().flat_map(Body::chunks) {
                quic::write(stream, slice).await.ok()?;
            }
            Some(())
        };
        let written = match frame.write_deadline {
            Some(until) => clock.timeout_at(until, write).await.flatten(),
            None => write.await,
        };
        if written.is_none() {
            return false;
        }
    }
    true
}

pub struct SiteLinks {
    context: LinkContext,
    settings: Rc<Sites>,
    endpoint: Endpoint,
    keys: Rc<RefCell<quic::Keys>>,
    initiator: Rc<InitiatorDriver>,
    acceptor: Option<Rc<AcceptorDriver>>,
    copies: Option<Rc<Copies>>,
}

impl SiteLinks {
    /// Starts what the file names, and the copies that another one does; gives the members that links reach.
    pub fn start(
        context: LinkContext,
        text: &str,
        copies: Option<&str>,
        config: &Config,
    ) -> Result<(Rc<SiteLinks>, Vec<ListedMember>), String> {
        let file = Rc::new(Sites::read(text).map_err(|e| e.to_string())?);
        let (members, links) = members(&file, config)?;
        let keys = quic::Keys::read(&file.keys, file.congestion).map_err(|e| e.to_string())?;
        let endpoint = Endpoint::start(file.listen, &keys).map_err(|e| format!("listen: {e}"))?;
        let keys = Rc::new(RefCell::new(keys));
        let ways = InitiatorDriver::start(&context, &file, links, &endpoint, &keys);
        let keep = |text| Copies::start(&context, text, &file, &keys).map_err(|e| format!("copies: {e}"));
        let copies = copies.map(keep).transpose()?;
        let kept = copies.as_ref().map(|(copies, _)| Rc::clone(copies));
        let door =
            file.listen.map(|_| AcceptorDriver::start(&context, &file, &endpoint, copies)).transpose()?;
        let driven = endpoint.clone();
        context.tasks.spawn(async move { driven.drive().await }).detach();
        if let Some(at) = file.listen {
            let at = endpoint.address().unwrap_or(at);
            log::info!("{} takes in txns of {:?} at {at}", file.gateway, file.accept);
        }
        Ok((
            Rc::new(SiteLinks {
                context,
                settings: file,
                endpoint,
                keys,
                initiator: ways,
                acceptor: door,
                copies: kept,
            }),
            members,
        ))
    }

    /// Reads certificates and keys again, and takes in the copies' file as it is now. Connections that stand go on; with
    /// files that can't be used, all stays.
    pub fn reload(&self, copies: Option<Result<String, String>>) {
        self.reload_keys();
        if let Some((copies, text)) = self.copies.as_ref().zip(copies) {
            copies.reread(text);
        }
    }

    fn reload_keys(&self) {
        match quic::Keys::read(&self.settings.keys, self.settings.congestion) {
            Ok(keys) => {
                self.endpoint.set_keys(&keys, self.settings.listen.is_some());
                *self.keys.borrow_mut() = keys;
                self.context.counters.add("link keys read again");
                log::info!("links made from now on go by the keys as they are now");
            }
            Err(why) => {
                self.context.counters.add("link keys that can't be used");
                log::warn!("{why}; links go on by the keys from before");
            }
        }
    }
}

/// Each peer is a member for each thing that it stands for.
fn members(file: &Sites, config: &Config) -> Result<(Vec<ListedMember>, BTreeMap<MemberId, usize>), String> {
    let (mut all, mut links) = (Vec::new(), BTreeMap::new());
    for (link, peer) in file.peers.iter().enumerate() {
        for &stands in &peer.roles {
            let (id, kind, what) = match stands {
                Role::Parent => (peer.name.clone(), config.settings.parent_kind, "parent"),
                Role::Origin => (format!("{}/origin", peer.name), config.settings.origin_kind, "origin"),
            };
            let kind = kind.ok_or_else(|| format!("peers[{link}].as: the settings know no {what}"))?;
            let id: MemberId = Arc::from(id);
            links.insert(Arc::clone(&id), link);
            let member = Member {
                id,
                // A place that no local member has.
                zone: config.names.zones.len(),
                kind,
                cell: 0,
                state: MemberState::Up,
                capacity: peer.size,
                started: None,
                remote: true,
            };
            all.push(ListedMember { member, address: None });
        }
    }
    Ok((all, links))
}

/// A number that no other start has.
fn random_id() -> u64 {
    rand::rng().random_range(1..=u64::MAX)
}

impl Transport for SiteLinks {
    fn reaches(&self, member: &MemberId) -> bool {
        self.initiator.reaches(member)
    }

    fn hop(&self, job: HopRequest) -> HopFuture {
        let ways = Rc::clone(&self.initiator);
        Box::pin(async move { ways.hop(job).await })
    }
}

impl Service for SiteLinks {
    fn shutdown(&self) {
        self.acceptor.iter().for_each(|door| door.stop());
        self.copies.iter().for_each(|copies| copies.stop());
    }

    fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.initiator.sizes();
        all.extend(self.acceptor.iter().flat_map(|door| door.sizes()));
        all.extend(self.copies.iter().flat_map(|copies| copies.sizes()));
        all
    }
}

//! Connects links between sites to the gateway: starts the initiator and the acceptor as the settings say,
//! and is the dispatcher's transport for members that represent gateways of other sites. The module decides
//! which link a txn uses, and the core in `kelpcart-sites` what becomes of it. Runs only if a settings file
//! is named.

mod acceptor;
mod copies;
mod initiator;

use crate::Tasks;
use crate::buffers::{Body, Pool};
use crate::clock::Clock;
use crate::config::{Config, ListedMember};
use crate::counters::{CountGuard, Counters};
use crate::descriptors;
use crate::dispatch_api::{Event, HopFuture, HopRequest, ResponderKeys, Service, Transport};
use acceptor::AcceptorDriver;
use async_channel::{Receiver, Sender};
use copies::Copies;
use initiator::InitiatorDriver;
use kelpcart::interface::{Member, MemberId, MemberState};
use kelpcart::{Span, Time};
use kelpcart_sites::quic::{self, Endpoint, KeyError, SendStream};
use kelpcart_sites::settings::{Role, Sites};
use rand::Rng;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

/// Minimum interval between timer-driven polls of a core.
const MIN_SLEEP: Span = Span::from_millis(1);

/// Services of the process that servers and transports share.
#[derive(Clone)]
pub struct LinkContext {
    pub tasks: Tasks,
    pub clock: Clock,
    pub pool: Rc<Pool>,
    pub counters: Rc<Counters>,
    pub dispatcher: Sender<Event>,
    pub keys: ResponderKeys,
}

/// Bytes written to a stream in one piece.
struct Frame {
    bytes: Vec<u8>,
    body: Option<Body>,
    /// After this time nobody waits for it.
    write_deadline: Option<Time>,
    _held: Option<CountGuard>,
}

impl From<Vec<u8>> for Frame {
    fn from(bytes: Vec<u8>) -> Frame {
        Frame { bytes, body: None, write_deadline: None, _held: None }
    }
}

/// Writes frames until the senders are gone. Returns `false` if the stream has failed.
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
            Some(deadline) => clock.timeout_at(deadline, write).await.flatten(),
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
    /// Starts the links in the settings, and replication if it is configured; returns the members that
    /// links reach.
    pub fn start(
        context: LinkContext,
        text: &str,
        copies: Option<&str>,
        config: &Config,
    ) -> Result<(Rc<SiteLinks>, Vec<ListedMember>), String> {
        let settings = Rc::new(Sites::read(text).map_err(|e| e.to_string())?);
        let (members, links) = members(&settings, config)?;
        let keys = quic::Keys::read(&settings.keys, settings.congestion).map_err(|e| e.to_string())?;
        let endpoint = Endpoint::start(settings.listen, &keys).map_err(|e| format!("listen: {e}"))?;
        let keys = Rc::new(RefCell::new(keys));
        let initiator = InitiatorDriver::start(&context, &settings, links, &endpoint, &keys);
        let start_copies =
            |text| Copies::start(&context, text, &settings, &keys).map_err(|e| format!("copies: {e}"));
        let copies = copies.map(start_copies).transpose()?;
        let copies_handle = copies.as_ref().map(|(copies, _)| Rc::clone(copies));
        let acceptor = settings
            .listen
            .map(|_| AcceptorDriver::start(&context, &settings, &endpoint, copies))
            .transpose()?;
        let io = endpoint.clone();
        context.tasks.spawn(async move { io.drive().await }).detach();
        if let Some(at) = settings.listen {
            let at = endpoint.address().unwrap_or(at);
            log::info!("{} accepts txns from {:?} at {at}", settings.gateway, settings.accept);
        }
        Ok((
            Rc::new(SiteLinks {
                context,
                settings,
                endpoint,
                keys,
                initiator,
                acceptor,
                copies: copies_handle,
            }),
            members,
        ))
    }

    /// Reloads certificates and keys, and applies the replication settings. Established connections
    /// continue; if files can't be used, the previous ones stay in effect. `false`: the keys could not be read
    /// for want of a descriptor.
    pub fn reload(&self, copies: Option<Result<String, String>>) -> bool {
        let keys_read = self.reload_keys();
        if let Some((copies, text)) = self.copies.as_ref().zip(copies) {
            copies.reread(text);
        }
        keys_read
    }

    fn reload_keys(&self) -> bool {
        match quic::Keys::read(&self.settings.keys, self.settings.congestion) {
            Ok(keys) => {
                self.endpoint.set_keys(&keys, self.settings.listen.is_some());
                *self.keys.borrow_mut() = keys;
                self.context.counters.add("link keys read again");
                log::info!("new links use the reloaded keys");
                true
            }
            Err(reason) => {
                self.context.counters.add("link keys that can't be used");
                log::warn!("{reason}; links keep the previous keys");
                !matches!(reason, KeyError::Read { error, .. } if descriptors::is_exhaustion(&error))
            }
        }
    }
}

/// One member per role of each peer.
fn members(
    settings: &Sites,
    config: &Config,
) -> Result<(Vec<ListedMember>, BTreeMap<MemberId, usize>), String> {
    let (mut all, mut links) = (Vec::new(), BTreeMap::new());
    for (link, peer) in settings.peers.iter().enumerate() {
        for &role in &peer.roles {
            let (id, kind, what) = match role {
                Role::Parent => (peer.name.clone(), config.settings.parent_kind, "parent"),
                Role::Origin => (format!("{}/origin", peer.name), config.settings.origin_kind, "origin"),
            };
            let kind = kind.ok_or_else(|| format!("peers[{link}].as: the settings have no {what}"))?;
            let id: MemberId = Arc::from(id);
            links.insert(Arc::clone(&id), link);
            let member = Member {
                id,
                zone: None,
                kind,
                cell: None,
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

/// A random id that no other start of a process has.
fn random_id() -> u64 {
    rand::rng().random_range(1..=u64::MAX)
}

impl Transport for SiteLinks {
    fn reaches(&self, member: &MemberId) -> bool {
        self.initiator.reaches(member)
    }

    fn hop(&self, job: HopRequest) -> HopFuture {
        let initiator = Rc::clone(&self.initiator);
        Box::pin(async move { initiator.hop(job).await })
    }
}

impl Service for SiteLinks {
    fn shutdown(&self) {
        self.acceptor.iter().for_each(|acceptor| acceptor.stop());
        self.copies.iter().for_each(|copies| copies.stop());
    }

    fn table_sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = self.initiator.sizes();
        all.extend(self.acceptor.iter().flat_map(|acceptor| acceptor.sizes()));
        all.extend(self.copies.iter().flat_map(|copies| copies.sizes()));
        all
    }
}

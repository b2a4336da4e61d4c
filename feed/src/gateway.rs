//! The feed endpoint of a gateway: election of the site's contact, dissemination tree, repair among neighbours,
//! acknowledgements, and provisional bundles while no hub is reachable.
//!
//! Invariant: a position advances only on a bundle that a hub has signed, and requests are answered only for members of
//! the site.

use crate::compose::{Composer, LiveHeader};
use crate::config::{self, Config, SignedKind, TokenBucket, fold_to_u32};
use crate::log::Log;
use crate::name_codec;
use crate::positions::MAX_SEQ;
use crate::rank;
use crate::report::{self, AckAggregate, BundleEnds};
use crate::streams::{Stream, Streams};
use crate::wire::{
    Ack, Bundle, BundleId, LiveBundle, MAX_RANGES_PER_REQUEST, Payload, Range, RetransmitRequest, Subscribe,
};
use crate::{Counts, EventError, Output};
use kelpcart::hash_prefix::PrefixSet;
use kelpcart::{Span, Time};
use prost::Message;
use rand::seq::IteratorRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

/// Number of members to which each member of the tree forwards a bundle.
const TREE_FANOUT: usize = 3;
/// 2^64 divided by the golden ratio.
const GOLDEN_RATIO: u64 = 0x9e37_79b9_7f4a_7c15;
/// Delay between one rank of the contact order and the next before it takes over as contact.
const CONTACT_STEP: Span = Span::from_millis(150);
/// A gateway that knows no other members waits this long after its start before it becomes the contact: the others may
/// just not have been discovered yet.
const ALONE_DELAY: Span = Span::from_millis(1_000);
/// Interval at which a contact renews its subscription.
const SUBSCRIBE_INTERVAL: Span = Span::from_millis(1_000);
/// After a first timeout, the next hub is tried at this interval until one answers.
const NEXT_HUB_TIMEOUT: Span = Span::from_millis(600);
/// Interval at which a contact tries the first hub in the site's order again.
const FIRST_HUB_RETRY: Span = Span::from_millis(30_000);
/// A gap is first requested after this delay, so that reordered datagrams can still arrive.
const REORDER_WAIT: Span = Span::from_millis(10);
/// The same at the contact, whose datagrams come from a hub and are reordered over a longer time.
const REORDER_WAIT_WAN: Span = Span::from_millis(40);
/// Delay between requests to neighbours.
const RETRY_DELAY: Span = Span::from_millis(80);
/// Delay between requests to hubs.
const RETRY_DELAY_WAN: Span = Span::from_millis(250);
/// Delay between requests after many tries, and before a neighbour that had nothing is asked again.
const MAX_RETRY_DELAY: Span = Span::from_millis(1_000);
/// A gateway that is not the contact waits this long, plus a random delay of up to the same length, before it asks a
/// hub: its contact normally repairs the gap first.
const HUB_REPAIR_DELAY: Span = Span::from_millis(600);
/// Purges older than this no longer have any effect, so they are not requested.
const RECENT_WINDOW: Span = Span::from_millis(30_000);
/// Delay from a bundle to its acknowledgement.
const ACK_DELAY: Span = Span::from_millis(150);
/// Delay from a bundle to the report of its root, by which the acknowledgements have arrived.
const REPORT_DELAY: Span = Span::from_millis(300);
/// An acknowledgement is sent a second time after this delay. One lost datagram would otherwise hold the watermark back
/// for a whole round, and with thousands of gateways every round loses some.
const RESEND_DELAY: Span = Span::from_millis(60);
/// A report is sent again after this delay with what has arrived since: a bundle repaired late would otherwise hold the
/// watermark back for a whole round.
const REPORT_RESEND_DELAY: Span = Span::from_millis(500);
const MAX_RESENDS: usize = 64;
const MAX_PENDING_ACKS: usize = 16;
/// Limit on repaired bundles remembered for forwarding, and on received ranges below a stream's first position.
const MAX_UNFORWARDED: usize = 64;
/// Bundles sent in response to one request.
const MAX_RETRANSMITS_PER_REQUEST: usize = 4;
/// Bundles sent to one member per second.
const RETRANSMITS_PER_S: f64 = 40.0;
/// A bundle that ends below the positions of this long ago does not count as a sign of life from its hub.
const STALE_AFTER: Span = Span::from_millis(2_000);
/// Without loss, a bundle arrives within one period plus this margin after the previous one.
const OVERDUE_MARGIN: Span = Span::from_millis(150);
/// While no hub is reachable, the next rank of the contact order connects to list services this much later than the
/// round in which all sites of the previous rank had their turn.
const NEXT_RANK_DELAY: Span = Span::from_millis(2_000);
/// Spacing between bundles of one period when pieces or a backlog remain.
const BUNDLE_SPACING: Span = Span::from_millis(20);
/// Number of sites assumed until a hub has sent the actual number.
const DEFAULT_SITE_COUNT: u32 = 64;
/// Events gathered from list services are kept only until they have been sent in a provisional bundle.
const MAX_GATHERED_EVENTS: usize = 4_096;

struct Contact {
    /// Index into `Config::hub_order`.
    hub: usize,
    since: Time,
    tries: u32,
    next_subscribe: Time,
    next_first_hub_try: Time,
}

#[derive(Default)]
struct Repair {
    next: Option<Time>,
    since: Time,
    tries: u32,
    highest_seen: u64,
    preferred_source: Option<SocketAddr>,
    last_asked: Option<SocketAddr>,
    /// Earliest time of the next request to a hub (from a gateway that is not the contact) and to a neighbour (from the
    /// contact).
    hub_not_before: Time,
    neighbour_not_before: Time,
}

/// Retransmission of recent events from before the first position: for each stream, the highest sequence number still
/// missing, and received ranges below it.
struct Backfill {
    until: Time,
    next: Time,
    tries: u32,
    /// The hub asked last, and how many hubs had nothing.
    last_asked: Option<SocketAddr>,
    unavailable: u32,
    floors: BTreeMap<usize, (u64, VecDeque<(u64, u64)>)>,
}

/// A connection to a list service.
#[derive(Default)]
struct ListConnection {
    wanted: bool,
    next: Option<Time>,
    tries: u32,
}

struct PendingAck {
    at: Time,
    bundle: BundleId,
    root: SocketAddr,
    ends: BundleEnds,
}

pub struct Gateway {
    config: Arc<Config>,
    name: String,
    run_id: u32,
    rng: Pcg64Mcg,
    members: BTreeMap<String, SocketAddr>,
    by_address: BTreeMap<SocketAddr, String>,
    /// The other members in contact order, and this gateway's own rank in it.
    ranked: Vec<String>,
    rank: usize,
    started_at: Time,
    pub streams: Streams,
    log: Log,
    /// Bundles received by repair and not yet through the tree.
    unforwarded: VecDeque<BundleId>,
    /// Run id and highest sequence number of the latest live bundle, by hub.
    latest_by_hub: BTreeMap<u32, (u32, u64)>,
    /// Positions at `earlier_at`, and one interval of `STALE_AFTER` before.
    earlier_positions: [Vec<u64>; 2],
    earlier_at: Time,
    /// When a live bundle of a hub was last received: by any path, and directly from a hub.
    last_live: Option<Time>,
    last_live_direct: Option<Time>,
    /// When the next live bundle is overdue.
    overdue_at: Option<Time>,
    /// When a provisional bundle of a member with a lower rank was last received.
    last_provisional: Option<Time>,
    /// Rank of the contact whose bundle was received last.
    contact_rank: u32,
    contact: Option<Contact>,
    tokens: Vec<u64>,
    subscribe_seq: u64,
    repair: Repair,
    backfill: Option<Backfill>,
    pending_acks: VecDeque<PendingAck>,
    /// Payloads to send a second time, and when.
    resends: VecDeque<(Time, SocketAddr, Payload)>,
    aggregates: BTreeMap<BundleId, AckAggregate>,
    list_connections: Vec<ListConnection>,
    composer: Composer,
    next_provisional: Time,
    previous_provisional: Option<Vec<u8>>,
    site_count: u32,
    budgets: BTreeMap<SocketAddr, TokenBucket>,
    gap_check_at: Option<Time>,
    pub outbox: VecDeque<(SocketAddr, Payload)>,
}

impl Gateway {
    pub fn new(config: Arc<Config>, gateway: &str, run_id: u64, seed: u64, now: Time) -> Gateway {
        let known: Vec<u64> = config.streams.iter().map(|s| s.known).collect();
        let run_id = fold_to_u32(run_id);
        Gateway {
            name: gateway.to_owned(),
            run_id,
            rng: Pcg64Mcg::seed_from_u64(seed ^ rank::key(gateway)),
            members: BTreeMap::new(),
            by_address: BTreeMap::new(),
            ranked: Vec::new(),
            rank: 0,
            started_at: now,
            streams: Streams::new(known.iter().copied()),
            log: Log::default(),
            unforwarded: VecDeque::new(),
            latest_by_hub: BTreeMap::new(),
            earlier_positions: [known.clone(), known.clone()],
            earlier_at: now,
            last_live: None,
            last_live_direct: None,
            overdue_at: None,
            last_provisional: None,
            contact_rank: 0,
            contact: None,
            tokens: vec![0; config.hubs.len()],
            subscribe_seq: 0,
            repair: Repair::default(),
            backfill: None,
            pending_acks: VecDeque::new(),
            resends: VecDeque::new(),
            aggregates: BTreeMap::new(),
            list_connections: known.iter().map(|_| ListConnection::default()).collect(),
            composer: Composer::new(0, run_id, &known, MAX_GATHERED_EVENTS),
            next_provisional: now,
            previous_provisional: None,
            site_count: DEFAULT_SITE_COUNT,
            budgets: BTreeMap::new(),
            gap_check_at: None,
            outbox: VecDeque::new(),
            config,
        }
    }

    pub fn set_members<'a>(&mut self, live: impl Iterator<Item = (&'a str, SocketAddr)>) {
        self.members = live.filter(|(n, _)| *n != self.name).map(|(n, a)| (n.to_owned(), a)).collect();
        self.by_address = self.members.iter().map(|(n, a)| (*a, n.clone())).collect();
        self.ranked = self.members.keys().cloned().collect();
        self.ranked
            .sort_by_cached_key(|n| std::cmp::Reverse((rank::score(n, rank::CONTACT_ORDER), n.clone())));
        self.rank = rank::rank_of(self.ranked.iter().map(String::as_str), &self.name, rank::CONTACT_ORDER);
        self.budgets.retain(|address, _| self.by_address.contains_key(address));
        self.aggregates.values_mut().for_each(|g| g.acks.retain(|n, _| self.members.contains_key(n)));
        self.repair.preferred_source =
            self.repair.preferred_source.filter(|a| self.by_address.contains_key(a));
    }

    // Dissemination within the site.

    /// All members of the site in the tree order of one bundle. The order is fixed per hub and rotated by the sequence
    /// number, so that the forwarding load spreads evenly over any run of bundles.
    fn tree_order(&self, bundle: &BundleId) -> Vec<&str> {
        self.rotated_order(bundle, bundle.seq)
    }

    /// The member that aggregates the acknowledgements of a bundle. Only every second bundle asks for a report, hence
    /// the halved sequence number.
    fn ack_root(&self, bundle: &BundleId) -> &str {
        self.rotated_order(bundle, bundle.seq / 2)[0]
    }

    fn rotated_order(&self, bundle: &BundleId, turn: u64) -> Vec<&str> {
        let mut all: Vec<&str> = self.members.keys().map(String::as_str).collect();
        all.push(&self.name);
        all.sort_by_cached_key(|n| std::cmp::Reverse((rank::score(n, bundle.hub.into()), *n)));
        // Golden-ratio (Weyl) sequence: successive rotations spread evenly, and a member that knows one member more or
        // less still rotates to nearly the same place.
        let start = (u128::from(turn.wrapping_mul(GOLDEN_RATIO)) * all.len() as u128) >> 64;
        all.rotate_left(start as usize);
        all
    }

    fn forward(&mut self, bundle: &BundleId, bytes: &[u8], contact_rank: u32, root_too: bool) {
        let tree = self.tree_order(bundle);
        let Some(own) = tree.iter().position(|n| *n == self.name) else { return };
        let children = (TREE_FANOUT * own + 1..=TREE_FANOUT * own + TREE_FANOUT).filter(|i| *i < tree.len());
        let root = (root_too && own != 0).then_some(0);
        // The contact already has the bundle.
        let contact = if root_too { None } else { self.member_at_rank(contact_rank) };
        let to = root.into_iter().chain(children).map(|i| tree[i]).filter(|n| contact != Some(*n));
        let to: Vec<SocketAddr> = to.filter_map(|n| self.members.get(n).copied()).collect();
        for address in to {
            let live = LiveBundle { bundle: bytes.to_vec(), contact_rank };
            self.outbox.push_back((address, Payload::Live(live)));
        }
    }

    /// Forwards a bundle that was repaired from a neighbour before it arrived through the tree: the children in the
    /// tree still wait for it.
    fn forward_repaired(&mut self, bundle: &BundleId, hub: Option<usize>, contact_rank: u32) {
        let Some(at) = self.unforwarded.iter().position(|n| n == bundle) else { return };
        self.unforwarded.remove(at);
        let contact_rank = if hub.is_some() { self.rank as u32 } else { contact_rank };
        if let Some(bytes) = self.log.get(*bundle).map(<[u8]>::to_vec) {
            self.forward(bundle, &bytes, contact_rank, hub.is_some());
        }
    }

    /// Whether a bundle is live: not older than the positions of some seconds ago, and not older than the latest one of
    /// its hub. Guards against replayed bundles passing for a live hub.
    fn is_current(&self, body: &Bundle) -> bool {
        let newer = match self.latest_by_hub.get(&body.hub) {
            Some((run_id, seq)) if *run_id == body.run_id => body.seq >= *seq,
            _ => true,
        };
        let fresh = |s: usize| body.ages_10ms.get(s).is_some_and(|age| *age < 100);
        let old = |(s, _, last): (usize, u64, u64)| {
            fresh(s) && self.earlier_positions[1].get(s).is_some_and(|p| last < *p)
        };
        newer && !body.ages_10ms.is_empty() && !body.ranges().any(old)
    }

    fn is_hub_live(&self, now: Time) -> bool {
        self.last_live.is_some_and(|at| now - at < self.config.silence_timeout)
    }

    /// Handles a hub's bundle: live (`contact_rank` is set), or retransmitted (`None`).
    fn handle_bundle(
        &mut self,
        now: Time,
        from: SocketAddr,
        bytes: &[u8],
        contact_rank: Option<u32>,
        counts: &mut Counts,
    ) {
        let hub = self.config.hub_index_by_address(from);
        let Some(body) = config::decode_bundle(bytes) else {
            counts.refused_forms += 1;
            return;
        };
        let bundle = body.id();
        if let Some(contact_rank) = contact_rank.filter(|_| hub.is_none()) {
            self.yield_to(contact_rank, &body);
        }
        if self.streams.seen.contains(&bundle) {
            counts.duplicates += 1;
            if let Some(contact_rank) = contact_rank {
                if hub.is_some() {
                    self.note_direct_copy(now, hub, &body);
                }
                self.forward_repaired(&bundle, hub, contact_rank);
            }
            return;
        }
        if !self.config.is_signed_by(body.hub, SignedKind::Bundle, bytes) {
            counts.refused_signatures += 1;
            return;
        }
        let names = if body.names.is_empty() { None } else { name_codec::decode(&body.names) };
        if !body.is_valid() || names.is_none() != body.names.is_empty() {
            counts.refused_forms += 1;
            return;
        }
        self.streams.seen.insert(bundle);
        counts.bundles += 1;
        let live = contact_rank.is_some() && self.is_current(&body);
        if live {
            self.last_live = Some(now);
            self.overdue_at = Some(now + self.config.period + OVERDUE_MARGIN);
            if hub.is_some() {
                self.last_live_direct = Some(now);
                self.note_hub_live(now, hub);
            }
            self.contact_rank = if hub.is_some() { self.rank as u32 } else { contact_rank.unwrap_or(0) };
            self.latest_by_hub.insert(body.hub, (body.run_id, body.seq));
            if body.site_count > 0 {
                self.site_count = body.site_count;
            }
        }
        let missing = self.streams.missing_count();
        let started = self.streams.apply_signed(now, &body, names, live);
        self.log.push(now, &body, bytes);
        match contact_rank {
            Some(_) if hub.is_some() => self.forward(&bundle, bytes, self.rank as u32, true),
            Some(contact_rank) => self.forward(&bundle, bytes, contact_rank, false),
            // What the contact had to request from a hub, the whole site has missed.
            None if hub.is_some() && self.contact.is_some() => {
                self.forward(&bundle, bytes, self.rank as u32, true);
            }
            None => {
                counts.repaired += 1;
                self.unforwarded.push_back(bundle);
                if self.unforwarded.len() > MAX_UNFORWARDED {
                    self.unforwarded.pop_front();
                }
            }
        }
        let latest = self
            .latest_by_hub
            .get(&body.hub)
            .is_some_and(|(run_id, n)| *run_id == body.run_id && body.seq + 4 > *n);
        if latest && body.wants_report {
            self.schedule_ack(now, bundle, &body);
        }
        self.start_backfill(now, started);
        self.advance_backfill(&body);
        self.schedule_repair(now, from, missing);
    }

    /// Steps down if another contact with a lower rank is active: one is enough.
    fn yield_to(&mut self, contact_rank: u32, body: &Bundle) {
        if (contact_rank as usize) < self.rank && self.contact.is_some() && self.is_current(body) {
            self.stop_contact();
        }
    }

    fn stop_contact(&mut self) {
        let Some(contact) = self.contact.take() else { return };
        let hub = self.config.hub_order[contact.hub];
        self.send_subscribe(hub, true);
        self.close_list_connections();
    }

    /// Handles a duplicate received directly from a hub: this contact is being served although another contact's copy
    /// arrived first.
    fn note_direct_copy(&mut self, now: Time, hub: Option<usize>, body: &Bundle) {
        let is_latest = self.latest_by_hub.get(&body.hub) == Some(&(body.run_id, body.seq));
        if !is_latest {
            return;
        }
        self.last_live_direct = Some(now);
        self.note_hub_live(now, hub);
        if (self.contact_rank as usize) > self.rank
            && self.contact.is_some()
            && let Some(address) = self.current_contact()
        {
            self.outbox.push_back((address, Payload::ContactClaim(self.rank as u32)));
        }
    }

    // The contact.

    /// Since when neither a hub's live bundle nor a provisional bundle has been received.
    fn silent_since(&self) -> Time {
        self.last_live.max(self.last_provisional).unwrap_or(self.started_at)
    }

    /// From when this gateway may connect to list services: each rank gets its turn before the next one.
    fn connects_from(&self) -> Time {
        let one = self.list_round(false) + NEXT_RANK_DELAY;
        self.silent_since() + self.config.silence_timeout * 2.0 + one * self.rank as f64
    }

    fn tick_contact(&mut self, now: Time, counts: &mut Counts) {
        let silence = now - self.silent_since();
        let known = !self.ranked.is_empty() || now - self.started_at >= ALONE_DELAY;
        let first = self.rank == 0 && known;
        let takes_over = silence >= self.config.silence_timeout + CONTACT_STEP * self.rank as f64;
        if self.contact.is_none() && (first || takes_over) {
            counts.contact_promotions += 1;
            self.contact = Some(Contact {
                hub: 0,
                since: now,
                tries: 0,
                next_subscribe: now,
                next_first_hub_try: now + FIRST_HUB_RETRY * self.rng.random_range(1.0..2.0),
            });
        }
        let Some(contact) = &mut self.contact else { return };
        let since = self.last_live_direct.map_or(contact.since, |d| d.max(contact.since));
        let timeout = if contact.tries == 0 { self.config.silence_timeout } else { NEXT_HUB_TIMEOUT };
        if now - since >= timeout {
            contact.hub = (contact.hub + 1) % self.config.hub_order.len();
            (contact.since, contact.next_subscribe) = (now, now);
            contact.tries += 1;
            counts.hub_switches += 1;
        }
        if contact.next_subscribe <= now {
            contact.next_subscribe = now + SUBSCRIBE_INTERVAL;
            let hub = self.config.hub_order[contact.hub];
            let first = contact.hub != 0 && now >= contact.next_first_hub_try;
            if first {
                contact.next_first_hub_try = now + FIRST_HUB_RETRY * self.rng.random_range(1.0..2.0);
            }
            self.send_subscribe(hub, false);
            if first {
                self.send_subscribe(self.config.hub_order[0], false);
            }
        }
    }

    /// Handles a live bundle received directly from a hub: the contact stays with that hub.
    fn note_hub_live(&mut self, now: Time, hub: Option<usize>) {
        let Some(contact) = &mut self.contact else { return };
        let Some(at) = self.config.hub_order.iter().position(|h| Some(*h) == hub) else { return };
        let before = contact.hub;
        // Switches only to the first hub, or to any hub that sends while the subscribed one does not.
        if at != before && at != 0 && contact.tries == 0 {
            return;
        }
        (contact.hub, contact.tries) = (at, 0);
        if at != before {
            contact.since = now;
            self.send_subscribe(self.config.hub_order[before], true);
        }
    }

    fn send_subscribe(&mut self, hub: usize, unsubscribe: bool) {
        self.subscribe_seq += 1;
        let subscribe = Subscribe {
            site: self.config.site.clone(),
            gateway: self.name.clone(),
            run_id: self.run_id,
            seq: self.subscribe_seq,
            token: self.tokens[hub],
            unsubscribe,
            positions: self.streams.all.iter().map(|s| s.signed.position()).collect(),
        };
        self.outbox.push_back((self.config.hubs[hub].address, Payload::Subscribe(subscribe)));
    }

    fn handle_challenge(&mut self, now: Time, from: SocketAddr, token: u64) {
        let Some(hub) = self.config.hub_index_by_address(from).filter(|h| self.tokens[*h] != token) else {
            return;
        };
        self.tokens[hub] = token;
        if self
            .contact
            .as_ref()
            .is_some_and(|c| self.config.hub_order[c.hub] == hub || hub == self.config.hub_order[0])
        {
            self.send_subscribe(hub, false);
        }
        if self.repair.last_asked == Some(from) {
            self.request_from_hub(now, hub);
        }
    }

    // Repair.

    fn start_backfill(&mut self, now: Time, started: Vec<(usize, u64)>) {
        let before = started.into_iter().filter(|(_, floor)| *floor > 0);
        let floors: BTreeMap<_, _> = before.map(|(s, floor)| (s, (floor, VecDeque::new()))).collect();
        if !floors.is_empty() {
            let next = now + Span::from_millis(self.rng.random_range(10..100));
            let backfill = self.backfill.get_or_insert(Backfill {
                until: now + RECENT_WINDOW,
                next,
                tries: 0,
                last_asked: None,
                unavailable: 0,
                floors: BTreeMap::new(),
            });
            backfill.floors.extend(floors);
        }
    }

    /// Records received ranges below the first position.
    fn advance_backfill(&mut self, body: &Bundle) {
        let Some(backfill) = &mut self.backfill else { return };
        for (s, first, last) in body.ranges().filter(|(_, first, last)| first <= last) {
            let Some((floor, below)) = backfill.floors.get_mut(&s) else { continue };
            below.push_back((first, last));
            // Responses arrive in any order.
            while let Some(at) = below.iter().position(|(a, b)| a <= floor && *floor <= *b) {
                *floor = below[at].0 - 1;
                below.remove(at);
                backfill.tries = backfill.tries.min(6);
            }
            if below.len() > MAX_UNFORWARDED {
                below.pop_front();
            }
        }
        backfill.floors.retain(|_, (floor, _)| *floor > 0);
    }

    /// Schedules repair while there are gaps. `before`: number of missing sequence numbers before this bundle.
    fn schedule_repair(&mut self, now: Time, from: SocketAddr, before: u64) {
        if self.streams.has_no_gaps() {
            self.repair.next = None;
            return;
        }
        let seen: u64 = self.streams.all.iter().map(|s| s.signed.highest_seen()).sum();
        let grows = self.streams.missing_count() > before;
        let is_contact = self.contact.is_some();
        if self.repair.next.is_none() || grows && seen > self.repair.highest_seen {
            self.repair.since = now;
            self.repair.tries = 0;
            self.repair.next = Some(now + if is_contact { REORDER_WAIT_WAN } else { REORDER_WAIT });
            self.repair.preferred_source = self.by_address.contains_key(&from).then_some(from);
        }
        self.repair.highest_seen = seen;
        if self.streams.missing_count() >= before {
            return;
        }
        let from_neighbour = self.by_address.contains_key(&from);
        if from_neighbour || is_contact {
            // As long as repair makes progress, hubs are not asked.
            self.repair.since = now;
        }
        if from_neighbour && self.repair.last_asked == Some(from) {
            // This neighbour probably has more of the missing bundles.
            self.repair.tries = self.repair.tries.min(3);
            self.repair.next = self.repair.next.map(|at| at.min(now + RETRY_DELAY));
        }
    }

    fn missing_ranges(&self, now: Time) -> Vec<Range> {
        self.streams.missing_ranges(now, MAX_RANGES_PER_REQUEST)
    }

    fn request_from_hub(&mut self, now: Time, hub: usize) {
        let ranges = self.missing_ranges(now);
        let request = RetransmitRequest {
            ranges,
            site: self.config.site.clone(),
            token: self.tokens[hub],
            ..RetransmitRequest::default()
        };
        if !request.ranges.is_empty() {
            let address = self.config.hubs[hub].address;
            self.repair.last_asked = Some(address);
            self.outbox.push_back((address, Payload::RetransmitRequest(request)));
        }
    }

    fn random_neighbour(&mut self) -> Option<SocketAddr> {
        let last = self.repair.last_asked;
        self.members.values().filter(|a| Some(**a) != last).choose(&mut self.rng).copied()
    }

    fn tick_repair(&mut self, now: Time, counts: &mut Counts) {
        if self.repair.next.is_none_or(|at| at > now) {
            return;
        }
        if self.streams.has_no_gaps() {
            self.repair.next = None;
            return;
        }
        let ranges = self.missing_ranges(now);
        let tries = self.repair.tries;
        self.repair.tries += 1;
        if ranges.is_empty() {
            // The pieces of incomplete events are still arriving.
            self.repair.next = Some(now + RETRY_DELAY_WAN);
            return;
        }
        counts.retransmit_requests += 1;
        let hubs = self.config.hub_order.len();
        let ask_neighbours = !self.members.is_empty() && now >= self.repair.neighbour_not_before;
        if let Some(contact) = &self.contact {
            // Asks the subscribed hub, and now and then another one; in between neighbours, which may have been running
            // while this gateway was not.
            if now >= self.repair.hub_not_before {
                let turn = tries as usize / 4;
                let hub = self.config.hub_order[(contact.hub + if turn % 4 == 3 { turn } else { 0 }) % hubs];
                self.repair.hub_not_before = now + RETRY_DELAY_WAN;
                self.request_from_hub(now, hub);
            } else if ask_neighbours {
                self.request_from_neighbour(ranges);
            }
            self.repair.next =
                Some(if ask_neighbours { now + RETRY_DELAY } else { self.repair.hub_not_before });
            return;
        }
        let wait = if tries < 6 {
            RETRY_DELAY
        } else if tries < 12 {
            RETRY_DELAY_WAN
        } else {
            MAX_RETRY_DELAY
        };
        let hub_due =
            tries >= 3 && now - self.repair.since >= HUB_REPAIR_DELAY * self.rng.random_range(1.0..2.0);
        if self.members.is_empty() || hub_due && now >= self.repair.hub_not_before {
            self.repair.hub_not_before = now + RETRY_DELAY_WAN * self.rng.random_range(1.0..3.0);
            self.repair.next = Some(self.repair.hub_not_before);
            self.request_from_hub(now, self.config.hub_order[tries as usize % hubs]);
        } else {
            self.repair.next = Some(now + wait);
            self.request_from_neighbour(ranges);
        }
    }

    fn request_from_neighbour(&mut self, ranges: Vec<Range>) {
        let from = self.repair.preferred_source.take();
        // The contact has everything that reached the site.
        let contact = (self.repair.tries == 2).then(|| self.current_contact());
        let Some(to) = from.or(contact.flatten()).or_else(|| self.random_neighbour()) else { return };
        self.repair.last_asked = Some(to);
        self.outbox.push_back((
            to,
            Payload::RetransmitRequest(RetransmitRequest { ranges, ..RetransmitRequest::default() }),
        ));
    }

    /// Requests an overdue bundle before the next one reveals that it was lost.
    fn tick_overdue(&mut self, now: Time, counts: &mut Counts) {
        if self.overdue_at.is_none_or(|at| at > now) {
            return;
        }
        self.overdue_at = None;
        let started = self.streams.all.iter().enumerate().filter(|(_, t)| t.started);
        let beyond = |(s, t): (usize, &Stream)| {
            let first = t.signed.highest_seen() + 1;
            Range { stream: s as u32, first, last: MAX_SEQ, offset: 0 }
        };
        let ranges = started.map(beyond).take(MAX_RANGES_PER_REQUEST).collect();
        counts.retransmit_requests += 1;
        if let Some(contact) = &self.contact {
            let hub = self.config.hub_order[contact.hub];
            let (site, token) = (self.config.site.clone(), self.tokens[hub]);
            let request = RetransmitRequest { ranges, site, token, ..RetransmitRequest::default() };
            self.outbox.push_back((self.config.hubs[hub].address, Payload::RetransmitRequest(request)));
        } else if let Some(to) = self.current_contact() {
            self.outbox.push_back((
                to,
                Payload::RetransmitRequest(RetransmitRequest { ranges, ..RetransmitRequest::default() }),
            ));
        }
    }

    /// Address of the contact whose bundle was received last, unless it is this gateway.
    fn current_contact(&self) -> Option<SocketAddr> {
        self.member_at_rank(self.contact_rank).and_then(|n| self.members.get(n)).copied()
    }

    /// The member with this rank in contact order, unless it is this gateway.
    fn member_at_rank(&self, rank: u32) -> Option<&str> {
        let rank = rank as usize;
        let at = if rank > self.rank { rank - 1 } else { rank };
        self.ranked.get(at).filter(|_| rank != self.rank).map(String::as_str)
    }

    fn tick_backfill(&mut self, now: Time, counts: &mut Counts) {
        let Some(backfill) = &mut self.backfill else { return };
        if backfill.floors.is_empty() || now >= backfill.until || backfill.unavailable >= 2 {
            self.backfill = None;
            return;
        }
        if backfill.next > now {
            return;
        }
        let tries = backfill.tries;
        backfill.tries += 1;
        let range = |(s, below): (&usize, &(u64, VecDeque<_>))| Range {
            stream: *s as u32,
            first: 1,
            last: below.0,
            offset: 0,
        };
        let ranges = backfill.floors.iter().map(range).take(MAX_RANGES_PER_REQUEST).collect();
        counts.retransmit_requests += 1;
        let hub = match &self.contact {
            Some(contact) if tries >= 2 || self.members.is_empty() => Some(contact.hub + tries as usize / 4),
            None if tries >= 6 || self.members.is_empty() => Some(tries as usize),
            _ => None,
        };
        let hub = hub.map(|h| self.config.hub_order[h % self.config.hub_order.len()]);
        backfill.next = now
            + match hub {
                None => RETRY_DELAY,
                Some(_) if tries < 12 => RETRY_DELAY_WAN,
                Some(_) => MAX_RETRY_DELAY,
            };
        match hub {
            Some(hub) => {
                let (site, token) = (self.config.site.clone(), self.tokens[hub]);
                let request = RetransmitRequest { ranges, recent_only: true, site, token, bundle: None };
                backfill.last_asked = Some(self.config.hubs[hub].address);
                self.outbox.push_back((self.config.hubs[hub].address, Payload::RetransmitRequest(request)));
            }
            None => {
                if let Some(to) = self.members.values().choose(&mut self.rng).copied() {
                    let request =
                        RetransmitRequest { ranges, recent_only: true, ..RetransmitRequest::default() };
                    self.outbox.push_back((to, Payload::RetransmitRequest(request)));
                }
            }
        }
    }

    fn handle_retransmit_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: &RetransmitRequest,
        counts: &mut Counts,
    ) {
        // Only members of the site are served, so that replayed requests from other addresses cause no flood of
        // responses.
        if !self.by_address.contains_key(&from) {
            counts.refused_requests += 1;
            return;
        }
        let since = if request.recent_only { now.saturating_sub(RECENT_WINDOW) } else { Time::default() };
        let found: Vec<Vec<u8>> = match request.bundle {
            Some(bundle) => self.log.get(bundle).map(<[u8]>::to_vec).into_iter().collect(),
            None => self
                .log
                .find(&request.ranges, since, MAX_RETRANSMITS_PER_REQUEST)
                .into_iter()
                .map(<[u8]>::to_vec)
                .collect(),
        };
        if found.is_empty() {
            counts.requests_unserved += 1;
            self.outbox.push_back((from, Payload::Unavailable(true)));
            return;
        }
        let budget = self.budgets.entry(from).or_insert_with(|| TokenBucket::new(now, RETRANSMITS_PER_S));
        for bytes in found {
            if budget.take(now, RETRANSMITS_PER_S, RETRANSMITS_PER_S) {
                self.outbox.push_back((from, Payload::Retransmission(bytes)));
            } else {
                counts.refused_requests += 1;
            }
        }
    }

    fn handle_unavailable(&mut self, now: Time, from: SocketAddr) {
        if self.contact.is_some() && self.by_address.contains_key(&from) {
            self.repair.neighbour_not_before = now + MAX_RETRY_DELAY;
        }
        if let Some(backfill) = self.backfill.as_mut().filter(|l| l.last_asked == Some(from)) {
            // Backfill ends once a second hub has reported that it has nothing.
            (backfill.last_asked, backfill.unavailable) = (None, backfill.unavailable + 1);
        }
        // Asks the next neighbour at once, but only a few times: other members are waiting for the same bundles.
        if self.repair.last_asked == Some(from) && self.contact.is_none() && self.repair.tries <= 3 {
            self.repair.next = self.repair.next.map(|_| now);
        }
    }

    // Acknowledgements.

    fn schedule_ack(&mut self, now: Time, bundle: BundleId, body: &Bundle) {
        let n = self.streams.all.len();
        let ends: BundleEnds = body.ranges().filter(|r| r.0 < n).map(|(s, _, last)| (s, last)).collect();
        let root = self.ack_root(&bundle).to_owned();
        match self.members.get(&root) {
            Some(root) => {
                self.pending_acks.push_back(PendingAck { at: now + ACK_DELAY, bundle, root: *root, ends });
                if self.pending_acks.len() > MAX_PENDING_ACKS {
                    self.pending_acks.pop_front();
                }
            }
            None => self.start_aggregate(now + REPORT_DELAY, bundle),
        }
    }

    fn start_aggregate(&mut self, due_at: Time, bundle: BundleId) {
        self.aggregates.entry(bundle).or_insert_with(|| AckAggregate {
            due_at,
            reported: false,
            acks: BTreeMap::new(),
        });
        if self.aggregates.len() > MAX_PENDING_ACKS
            && let Some(oldest) = self.aggregates.iter().min_by_key(|(_, g)| g.due_at).map(|(n, _)| *n)
        {
            self.aggregates.remove(&oldest);
        }
    }

    fn handle_ack(&mut self, now: Time, from: SocketAddr, ack: &Ack) {
        let (Some(name), Some(bundle)) = (self.by_address.get(&from).cloned(), ack.bundle) else { return };
        let known = self.streams.seen.contains(&bundle);
        // A bundle that this root has already reported is done.
        if !self.aggregates.contains_key(&bundle)
            && (known || self.config.hub_index_by_id(bundle.hub).is_none())
        {
            return;
        }
        self.start_aggregate(now + ACK_DELAY, bundle);
        if let Some(aggregate) = self.aggregates.get_mut(&bundle) {
            let first = aggregate.acks.is_empty();
            aggregate.acks.insert(name, ack.clone());
            if !known && first {
                self.outbox.push_back((
                    from,
                    Payload::RetransmitRequest(RetransmitRequest {
                        bundle: Some(bundle),
                        ..RetransmitRequest::default()
                    }),
                ));
            }
        }
    }

    fn tick_acks(&mut self, now: Time) {
        while self.resends.front().is_some_and(|(at, _, _)| *at <= now) {
            self.outbox.extend(self.resends.pop_front().map(|(_, to, payload)| (to, payload)));
        }
        while self.pending_acks.front().is_some_and(|d| d.at <= now) {
            let Some(due) = self.pending_acks.pop_front() else { break };
            let ack = report::make_ack(due.bundle, &due.ends, |s| self.streams.all[s].signed.position());
            self.send_twice(now, due.root, Payload::Ack(ack));
        }
        let over: Vec<BundleId> =
            self.aggregates.iter().filter(|(_, g)| g.due_at <= now).map(|(n, _)| *n).collect();
        for bundle in over {
            let Some(mut aggregate) = self.aggregates.remove(&bundle) else { continue };
            let body = self.log.get(bundle).and_then(config::decode_bundle);
            let (Some(body), Some(hub)) = (body, self.config.hub_index_by_id(bundle.hub)) else { continue };
            let n = self.streams.all.len();
            let ends: BundleEnds = body.ranges().filter(|r| r.0 < n).map(|(s, _, last)| (s, last)).collect();
            let own = report::make_ack(bundle, &ends, |s| self.streams.all[s].signed.position());
            aggregate.acks.insert(self.name.clone(), own);
            let live: Vec<String> = self.members.keys().cloned().collect();
            let report = aggregate.report(&self.config, &self.name, bundle, &ends, &live);
            self.outbox.push_back((self.config.hubs[hub].address, Payload::Report(report)));
            if !aggregate.reported {
                (aggregate.reported, aggregate.due_at) = (true, now + REPORT_RESEND_DELAY);
                self.aggregates.insert(bundle, aggregate);
            }
        }
    }

    fn send_twice(&mut self, now: Time, to: SocketAddr, payload: Payload) {
        self.resends.push_back((now + RESEND_DELAY, to, payload.clone()));
        self.outbox.push_back((to, payload));
        if self.resends.len() > MAX_RESENDS {
            self.resends.pop_front();
        }
    }

    // Operation without hubs.

    pub fn wants_connection(&self, stream: usize) -> bool {
        self.contact.is_some() && self.list_connections.get(stream).is_some_and(|a| a.wanted)
    }

    pub fn resume_after(&self, stream: usize) -> u64 {
        match self.wants_connection(stream) {
            true => self.composer.sources[stream].position,
            false => self.streams.all.get(stream).map_or(0, |s| s.provisional.position()),
        }
    }

    pub fn handle_line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), EventError> {
        if stream >= self.list_connections.len() {
            return Err(EventError::UnknownStream);
        }
        // Lines that still arrive after a hub is back are ignored.
        if self.wants_connection(stream) { self.composer.add_line(now, stream, line) } else { Ok(()) }
    }

    pub fn handle_last(&mut self, now: Time, stream: usize, seq: u64) -> bool {
        !self.wants_connection(stream) || self.composer.set_last(now, stream, seq)
    }

    pub fn handle_disconnect(&mut self, now: Time, stream: usize) {
        let round = self.list_round(self.rank > 0);
        let Some(connection) = self.list_connections.get_mut(stream).filter(|a| a.wanted) else { return };
        connection.wanted = false;
        let wait = round * self.rng.random_range(0.5..1.5) * f64::from(1 << connection.tries.min(3));
        connection.tries += 1;
        connection.next = Some(now + wait + Span::from_millis(100));
    }

    /// Time in which one gateway of every site, or with `all` every gateway, connects to a list service once at the
    /// configured rate.
    fn list_round(&self, all: bool) -> Span {
        let here = if all { self.members.len() + 1 } else { 1 };
        Span::from_secs_f64(f64::from(self.site_count) * here as f64 / self.config.connections_per_s)
    }

    fn close_list_connections(&mut self) {
        self.list_connections.iter_mut().for_each(|a| *a = ListConnection::default());
        self.previous_provisional = None;
    }

    fn tick_list_connections(&mut self, now: Time, counts: &mut Counts) {
        if self.contact.is_none() {
            return;
        }
        if now < self.connects_from() {
            return self.close_list_connections();
        }
        let round = self.list_round(self.rank > 0);
        for s in 0..self.list_connections.len() {
            let connection = &mut self.list_connections[s];
            if connection.wanted {
                continue;
            }
            let wait = self.rng.random_range(0.0..1.0);
            let at = *connection.next.get_or_insert(now + round * wait);
            if at <= now {
                (connection.wanted, connection.next) = (true, None);
                counts.list_connections += 1;
                self.composer.reset(s, self.streams.all[s].provisional.position());
            }
        }
        if now < self.next_provisional || !self.list_connections.iter().any(|a| a.wanted) {
            return;
        }
        self.composer.begin_period();
        let body = self.composer.live_bundle(&LiveHeader { now, watermarks: Vec::new(), site_count: 0 });
        self.next_provisional =
            now + if self.composer.has_more() { BUNDLE_SPACING } else { self.config.period };
        let bytes = body.encode_to_vec();
        if let Some(names) = Self::decode_names(&body) {
            self.streams.seen.insert(body.id());
            self.streams.apply_provisional(now, &body, names);
        }
        counts.provisional_made += 1;
        // Sent to each member directly and repeated with the next bundle, because provisional bundles are not repaired.
        for address in self.members.values() {
            if let Some(previous) = &self.previous_provisional {
                self.outbox.push_back((*address, Payload::Provisional(previous.clone())));
            }
            self.outbox.push_back((*address, Payload::Provisional(bytes.clone())));
        }
        self.previous_provisional = Some(bytes);
    }

    /// `None`: the bundle is malformed.
    fn decode_names(body: &Bundle) -> Option<Option<PrefixSet>> {
        if !body.is_valid() {
            return None;
        }
        if body.names.is_empty() { Some(None) } else { name_codec::decode(&body.names).map(Some) }
    }

    fn handle_provisional(&mut self, now: Time, from: SocketAddr, bytes: &[u8], counts: &mut Counts) {
        // Guards against a sender that has only the shared key: while a hub is live, unsigned bundles are rejected.
        if !self.by_address.contains_key(&from) || self.is_hub_live(now) {
            counts.refused_signatures += 1;
            return;
        }
        let Some(body) = Bundle::decode(bytes).ok().filter(|b| b.hub == 0) else {
            counts.refused_forms += 1;
            return;
        };
        let Some(names) = Self::decode_names(&body) else {
            counts.refused_forms += 1;
            return;
        };
        if self.streams.seen.contains(&body.id()) {
            counts.duplicates += 1;
            return;
        }
        self.streams.seen.insert(body.id());
        counts.provisional += 1;
        let rank = self.by_address.get(&from).and_then(|n| self.ranked.iter().position(|r| r == n));
        if rank.is_some_and(|r| r < self.rank) {
            self.last_provisional = Some(now);
            self.stop_contact();
        }
        self.streams.apply_provisional(now, &body, names);
    }

    // Inputs and time.

    pub fn handle_payload(&mut self, now: Time, from: SocketAddr, payload: &Payload, counts: &mut Counts) {
        match payload {
            Payload::Live(p) => self.handle_bundle(now, from, &p.bundle, Some(p.contact_rank), counts),
            Payload::Retransmission(bytes) => self.handle_bundle(now, from, bytes, None, counts),
            Payload::Provisional(bytes) => self.handle_provisional(now, from, bytes, counts),
            Payload::Challenge(token) => self.handle_challenge(now, from, *token),
            Payload::RetransmitRequest(request) => self.handle_retransmit_request(now, from, request, counts),
            Payload::Unavailable(_) => self.handle_unavailable(now, from),
            Payload::Ack(ack) => self.handle_ack(now, from, ack),
            Payload::ContactClaim(rank) => {
                let is_peer_contact = self.is_hub_live(now) && self.by_address.contains_key(&from);
                if is_peer_contact && (*rank as usize) < self.rank {
                    self.stop_contact();
                }
            }
            Payload::Subscribe(_) | Payload::Report(_) | Payload::HubSummary(_) => counts.refused_forms += 1,
        }
    }

    pub fn next_wake(&self, now: Time) -> Time {
        let mut at = now + Span::from_millis(1_000);
        let mut by = |t: Time| at = at.min(t);
        let silent_since = self.silent_since();
        match &self.contact {
            Some(contact) => {
                by(contact.next_subscribe);
                let since = self.last_live_direct.map_or(contact.since, |d| d.max(contact.since));
                by(since + if contact.tries == 0 { self.config.silence_timeout } else { NEXT_HUB_TIMEOUT });
                by(self.connects_from().max(now + Span::from_millis(100)));
                self.list_connections.iter().filter_map(|a| a.next).for_each(&mut by);
                if self.list_connections.iter().any(|a| a.wanted) {
                    by(self.next_provisional);
                }
            }
            None if self.rank == 0 => {
                by(if self.ranked.is_empty() { self.started_at + ALONE_DELAY } else { now })
            }
            None => by(silent_since + self.config.silence_timeout + CONTACT_STEP * self.rank as f64),
        }
        self.repair.next.into_iter().chain(self.overdue_at).for_each(&mut by);
        self.backfill.iter().for_each(|l| by(l.next));
        self.pending_acks.front().into_iter().for_each(|d| by(d.at));
        self.resends.front().into_iter().for_each(|(at, _, _)| by(*at));
        self.aggregates.values().for_each(|g| by(g.due_at));
        self.gap_check_at.into_iter().for_each(&mut by);
        at.max(now)
    }

    pub fn tick(&mut self, now: Time, counts: &mut Counts) {
        if now - self.earlier_at >= STALE_AFTER {
            self.earlier_at = now;
            let fresh = self.streams.all.iter().map(|s| s.signed.position()).collect();
            self.earlier_positions = [fresh, std::mem::take(&mut self.earlier_positions[0])];
        }
        self.tick_contact(now, counts);
        self.tick_list_connections(now, counts);
        self.tick_acks(now);
        self.tick_repair(now, counts);
        self.tick_backfill(now, counts);
        self.tick_overdue(now, counts);
        self.check_gaps(now);
    }

    /// Updates the timers of gaps that have opened or closed, and purges those that have expired.
    pub fn check_gaps(&mut self, now: Time) {
        self.gap_check_at = self.streams.purge_expired_gaps(now, self.config.gap_grace);
    }

    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.streams.outputs)
    }

    pub fn is_contact(&self) -> bool {
        self.contact.is_some()
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        let mut all = vec![
            ("feed members", self.members.len()),
            ("feed bundles kept", self.log.len()),
            ("feed confirmations due", self.pending_acks.len()),
            ("feed said once more", self.resends.len()),
            ("feed reports gathered", self.aggregates.len()),
            ("feed events gathered", self.composer.event_count()),
            ("feed budgets", self.budgets.len()),
            ("feed hubs heard", self.latest_by_hub.len()),
        ];
        all.extend(self.streams.sizes());
        all
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        self.streams.check_invariants()?;
        self.log.check_invariants()?;
        self.composer.check_invariants()?;
        let bounds = [
            ("pending acknowledgements", self.pending_acks.len(), MAX_PENDING_ACKS),
            ("payloads to resend", self.resends.len(), MAX_RESENDS),
            ("aggregates", self.aggregates.len(), MAX_PENDING_ACKS),
            ("hubs tracked", self.latest_by_hub.len(), self.config.hubs.len()),
            ("budgets", self.budgets.len(), self.members.len()),
            ("bundles not forwarded", self.unforwarded.len(), MAX_UNFORWARDED),
            ("bundles seen", self.streams.seen.len(), crate::log::MAX_SEEN),
        ];
        for (what, is, max) in bounds {
            if is > max {
                return Err(format!("{is} {what}, limit {max}"));
            }
        }
        let members = self.members.len() + 1;
        match self.aggregates.values().find(|g| g.acks.len() > members) {
            Some(g) => Err(format!("{} acknowledgements of {members} members", g.acks.len())),
            None => Ok(()),
        }
    }
}

//! The feed endpoint of a hub (control machine): reads all list services, publishes their events as signed bundles to
//! one gateway of each site, serves retransmission requests, and aggregates acknowledgements.
//!
//! Invariant: a hub never signs a range of which it does not have every event, and never responds faster than its rate
//! limit.

use crate::compose::{Composer, LiveHeader};
use crate::config::{self, Config, SignedKind, TokenBucket, fold_to_u32};
use crate::log::{Log, Seen};
use crate::report::{Outcome, SiteTracker};
use crate::settings::{self, MAX_SITES};
use crate::wire::{Bundle, LiveBundle, Payload, Range, Report, RetransmitRequest, Subscribe};
use crate::{Counts, EventError, Unacked};
use kelpcart::{Span, Time};
use prost::Message;
use ring::signature::Ed25519KeyPair;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A subscription expires this long after its last renewal.
const SUBSCRIPTION_TTL: Span = Span::from_millis(3_200);
/// A subscriber not renewed for this long may be replaced by another one of its site.
const REPLACEABLE_AFTER: Span = Span::from_millis(1_500);
const MAX_SUBSCRIBERS_PER_SITE: usize = 6;
/// Expired subscribers are kept while there is room: their sequence numbers reject replayed subscriptions.
const MAX_SUBSCRIBERS: usize = 2 * MAX_SITES;
/// Retransmissions per site: burst size and rate per second.
const RETRANSMITS_PER_S: f64 = 4.0;
/// Spacing between bundles of one period.
const BUNDLE_SPACING: Span = Span::from_millis(20);
/// With nothing new from a list service for this long, another hub may know more.
const LIST_STALE_AFTER: Span = Span::from_millis(2_000);
/// Delay after a bundle that asks for reports, by which sites have reported; then the other hubs get a summary.
const SUMMARY_DELAY: Span = Span::from_millis(550);
const SUMMARY_INTERVAL: Span = Span::from_millis(1_000);

struct Subscriber {
    site: String,
    run_id: u32,
    seq: u64,
    renewed_at: Time,
    ended: bool,
}

impl Subscriber {
    fn is_live(&self, now: Time) -> bool {
        !self.ended && now - self.renewed_at < SUBSCRIPTION_TTL
    }
}

pub struct Hub {
    config: Arc<Config>,
    index: usize,
    hub_id: u32,
    run_id: u32,
    signer: Ed25519KeyPair,
    composer: Composer,
    subscribers: BTreeMap<SocketAddr, Subscriber>,
    token_secret: u64,
    pub sites: SiteTracker,
    log: Log,
    seen: Seen,
    /// By hub: when a bundle of it was last received.
    last_received: Vec<Option<Time>>,
    /// By stream: the hub whose bundles are forwarded while this hub lags.
    relayed_hub: Vec<Option<usize>>,
    budgets: BTreeMap<String, TokenBucket>,
    next_period: Time,
    /// When the next bundle of the same period is due, if one was not enough.
    next_bundle: Option<Time>,
    wants_reports: bool,
    next_summary: Time,
    summary_seq: u64,
    /// Sent to new subscribers.
    latest_bundle: Option<Vec<u8>>,
    pub outbox: VecDeque<(SocketAddr, Payload)>,
}

impl Hub {
    /// Returns `None` if the secret does not match the hub's public key.
    pub fn new(
        config: Arc<Config>,
        index: usize,
        control: &settings::Control,
        run_id: u64,
        seed: u64,
        now: Time,
    ) -> Option<Hub> {
        let signer = config.hubs[index].signer(&control.secret)?;
        let known: Vec<u64> = config.streams.iter().map(|s| s.known).collect();
        let hub_id = config.hubs[index].id;
        // Staggers the periods of the hubs.
        let first = now + config.period * (index as f64 / config.hubs.len() as f64);
        Some(Hub {
            index,
            hub_id,
            run_id: fold_to_u32(run_id),
            signer,
            composer: Composer::new(hub_id, fold_to_u32(run_id), &known, control.most_kept),
            subscribers: BTreeMap::new(),
            token_secret: seed ^ run_id.rotate_left(32),
            sites: SiteTracker::new(&control.sites, known.len(), config.silence_timeout, now),
            log: Log::default(),
            seen: Seen::default(),
            last_received: vec![None; config.hubs.len()],
            relayed_hub: vec![None; known.len()],
            budgets: BTreeMap::new(),
            next_period: first,
            next_bundle: None,
            wants_reports: false,
            next_summary: first,
            summary_seq: 0,
            latest_bundle: None,
            outbox: VecDeque::new(),
            config,
        })
    }

    pub fn position(&self, stream: usize) -> u64 {
        self.composer.sources.get(stream).map_or(0, |s| s.position)
    }

    pub fn handle_line(&mut self, now: Time, stream: usize, line: &[u8]) -> Result<(), EventError> {
        self.composer.add_line(now, stream, line)
    }

    pub fn handle_last(&mut self, now: Time, stream: usize, seq: u64) -> bool {
        self.composer.set_last(now, stream, seq)
    }

    // Outgoing payloads.

    fn is_lagging(&self, now: Time, stream: usize) -> bool {
        let source = &self.composer.sources[stream];
        !source.caught_up || source.fresh_at.is_none_or(|at| now - at > LIST_STALE_AFTER)
    }

    fn send_to_subscribers(&mut self, now: Time, bytes: &[u8]) {
        for (address, _) in self.subscribers.iter().filter(|(_, s)| s.is_live(now)) {
            let live = LiveBundle { bundle: bytes.to_vec(), contact_rank: 0 };
            self.outbox.push_back((*address, Payload::Live(live)));
        }
    }

    fn sign(&self, body: &Bundle) -> Vec<u8> {
        self.config.sign(&self.signer, SignedKind::Bundle, body.encode_to_vec())
    }

    fn send_live_bundle(&mut self, now: Time, counts: &mut Counts) {
        let streams = self.config.streams.len();
        self.sites.update_watermarks(now);
        let watermarks = (0..streams).map(|s| self.sites.watermarks(s)).collect();
        let header = LiveHeader { now, watermarks, site_count: self.sites.listed() as u32 };
        let mut body = self.composer.live_bundle(&header);
        let more = self.composer.has_more();
        // Asks for reports every second period, in the bundle that completes the period.
        body.wants_report = !more && self.wants_reports;
        if body.wants_report {
            let ends = body.ranges().map(|(s, _, last)| (s, last)).collect();
            self.sites.expect_reports(body.seq, ends);
        }
        self.next_bundle = more.then_some(now + BUNDLE_SPACING);
        counts.bundles_made += 1;
        let bytes = self.sign(&body);
        self.send_to_subscribers(now, &bytes);
        for (_, hub) in self.config.hubs.iter().enumerate().filter(|(i, _)| *i != self.index) {
            let live = LiveBundle { bundle: bytes.clone(), contact_rank: 0 };
            self.outbox.push_back((hub.address, Payload::Live(live)));
        }
        self.latest_bundle = Some(bytes);
    }

    fn send_summaries(&mut self, now: Time) {
        for summary in self.sites.summaries(now, self.hub_id, self.run_id, &mut self.summary_seq) {
            let bytes = self.config.sign(&self.signer, SignedKind::HubSummary, summary.encode_to_vec());
            for (_, hub) in self.config.hubs.iter().enumerate().filter(|(i, _)| *i != self.index) {
                self.outbox.push_back((hub.address, Payload::HubSummary(bytes.clone())));
            }
        }
    }

    // Incoming payloads.

    /// Token bound to the sender's address, so that replayed requests cannot direct responses to another address.
    fn token(&self, from: SocketAddr) -> u64 {
        xxh3_64_with_seed(from.to_string().as_bytes(), self.token_secret).max(1)
    }

    fn handle_subscribe(&mut self, now: Time, from: SocketAddr, subscribe: &Subscribe, counts: &mut Counts) {
        if subscribe.token != self.token(from) {
            self.outbox.push_back((from, Payload::Challenge(self.token(from))));
            return;
        }
        let is_replay = |s: &Subscriber| s.run_id == subscribe.run_id && s.seq >= subscribe.seq;
        if self.subscribers.get(&from).is_some_and(is_replay) {
            counts.refused_requests += 1;
            return;
        }
        let is_new = !self.subscribers.get(&from).is_some_and(|s| s.is_live(now));
        if is_new && !subscribe.unsubscribe && !self.make_room(now, &subscribe.site) {
            counts.refused_requests += 1;
            return;
        }
        let (site, run_id, seq, ended) =
            (subscribe.site.clone(), subscribe.run_id, subscribe.seq, subscribe.unsubscribe);
        self.subscribers.insert(from, Subscriber { site, run_id, seq, renewed_at: now, ended });
        if !subscribe.unsubscribe {
            self.sites.note_direct_contact(now, &subscribe.site);
        }
        if let Some(bytes) = self.latest_bundle.clone().filter(|_| is_new && !subscribe.unsubscribe) {
            self.outbox.push_back((from, Payload::Live(LiveBundle { bundle: bytes, contact_rank: 0 })));
        }
    }

    fn make_room(&mut self, now: Time, site: &str) -> bool {
        let live = self.subscribers.iter().filter(|(_, s)| s.site == site && s.is_live(now));
        let live: Vec<(Time, SocketAddr)> = live.map(|(a, s)| (s.renewed_at, *a)).collect();
        if live.len() >= MAX_SUBSCRIBERS_PER_SITE {
            let Some((_, oldest)) = live.iter().min().filter(|(at, _)| now - *at > REPLACEABLE_AFTER) else {
                return false;
            };
            if let Some(s) = self.subscribers.get_mut(oldest) {
                s.ended = true;
            }
        }
        if self.subscribers.len() >= MAX_SUBSCRIBERS {
            let expired =
                self.subscribers.iter().filter(|(_, s)| !s.is_live(now)).min_by_key(|(_, s)| s.renewed_at);
            let Some(expired) = expired.map(|(a, _)| *a) else { return false };
            self.subscribers.remove(&expired);
        }
        true
    }

    fn handle_retransmit_request(
        &mut self,
        now: Time,
        from: SocketAddr,
        request: &RetransmitRequest,
        counts: &mut Counts,
    ) {
        if request.token != self.token(from) {
            self.outbox.push_back((from, Payload::Challenge(self.token(from))));
            return;
        }
        if request.site.is_empty()
            || self.budgets.len() >= MAX_SITES && !self.budgets.contains_key(&request.site)
        {
            counts.refused_requests += 1;
            return;
        }
        let budget = self
            .budgets
            .entry(request.site.clone())
            .or_insert_with(|| TokenBucket::new(now, RETRANSMITS_PER_S));
        if !budget.take(now, RETRANSMITS_PER_S, RETRANSMITS_PER_S) {
            counts.refused_requests += 1;
            return;
        }
        // Guards against a hub that has just restarted and would report events as unavailable that it has not read yet.
        let still_reading =
            |r: &Range| self.composer.sources.get(r.stream as usize).is_some_and(|s| !s.caught_up);
        let still_reading = request.recent_only && request.ranges.iter().any(still_reading);
        let payload = match self.build_retransmission(now, &request.ranges, request.recent_only) {
            Some(bytes) => Payload::Retransmission(bytes),
            None if still_reading => return,
            None => {
                counts.requests_unserved += 1;
                Payload::Unavailable(true)
            }
        };
        self.outbox.push_back((from, payload));
    }

    fn build_retransmission(&mut self, now: Time, ranges: &[Range], recent_only: bool) -> Option<Vec<u8>> {
        if let Some(body) = self.composer.retransmission(now, ranges, recent_only) {
            return Some(self.sign(&body));
        }
        // Another hub may have published what this one lacks.
        self.log.find(ranges, Time::default(), 1).first().map(|bytes| bytes.to_vec())
    }

    /// Handles another hub's bundle: logged, and forwarded if it covers a stream in which this hub lags.
    fn handle_bundle(&mut self, now: Time, bytes: &[u8], counts: &mut Counts) {
        let Some(body) = config::decode_bundle(bytes) else {
            counts.refused_forms += 1;
            return;
        };
        if self.seen.contains(&body.id()) {
            counts.duplicates += 1;
            return;
        }
        if !self.config.is_signed_by(body.hub, SignedKind::Bundle, bytes) {
            counts.refused_signatures += 1;
            return;
        }
        let Some(hub) = self.config.hub_index_by_id(body.hub).filter(|h| body.is_valid() && *h != self.index)
        else {
            counts.refused_forms += 1;
            return;
        };
        self.seen.insert(body.id());
        counts.bundles += 1;
        self.last_received[hub] = Some(now);
        self.log.push(now, &body, bytes);
        self.composer.latest_by_hub.insert(body.hub, body.latest_issued_ms());
        let mut forwards = false;
        for (s, first, last) in body.ranges().filter(|r| r.0 < self.config.streams.len()) {
            if !self.is_lagging(now, s) {
                self.relayed_hub[s] = None;
                continue;
            }
            let silent =
                |h: usize| self.last_received[h].is_none_or(|at| now - at > self.config.silence_timeout);
            let fresh = body.ages_10ms.get(s).is_some_and(|age| *age < 200);
            if self.relayed_hub[s].is_none_or(silent) && fresh {
                self.relayed_hub[s] = Some(hub);
            }
            let source = &mut self.composer.sources[s];
            if self.relayed_hub[s] == Some(hub) && source.published.is_none_or(|t| last > t) {
                // A gap between the published position and the first sequence number is visible to subscribers.
                forwards |= first <= last || source.published.is_none();
                source.published = Some(last);
            }
        }
        if forwards {
            self.send_to_subscribers(now, bytes);
        }
    }

    fn handle_summary(&mut self, now: Time, bytes: &[u8], counts: &mut Counts) {
        let Some(summary) = config::decode_hub_summary(bytes) else {
            counts.refused_forms += 1;
            return;
        };
        if !self.config.is_signed_by(summary.hub, SignedKind::HubSummary, bytes) {
            counts.refused_signatures += 1;
            return;
        }
        self.sites.handle_summary(now, &summary);
        self.sites.update_watermarks(now);
    }

    fn handle_report(&mut self, now: Time, report: &Report, counts: &mut Counts) {
        if report.bundle.is_none_or(|bundle| (bundle.hub, bundle.run_id) != (self.hub_id, self.run_id)) {
            return;
        }
        match self.sites.handle_report(now, report) {
            Outcome::Accepted => self.sites.update_watermarks(now),
            Outcome::Ignored => {}
            Outcome::Rejected => counts.refused_reports += 1,
        }
    }

    pub fn handle_payload(&mut self, now: Time, from: SocketAddr, payload: &Payload, counts: &mut Counts) {
        match payload {
            Payload::Live(p) => self.handle_bundle(now, &p.bundle, counts),
            Payload::Subscribe(subscribe) => self.handle_subscribe(now, from, subscribe, counts),
            Payload::RetransmitRequest(request) => self.handle_retransmit_request(now, from, request, counts),
            Payload::Report(report) => self.handle_report(now, report, counts),
            Payload::HubSummary(bytes) => self.handle_summary(now, bytes, counts),
            _ => counts.refused_forms += 1,
        }
    }

    pub fn unacked(&self, now: Time) -> Vec<Unacked> {
        self.sites.unacked(now)
    }

    pub fn next_wake(&self, now: Time) -> Time {
        let at = self.next_period.min(self.next_summary);
        self.next_bundle.map_or(at, |s| s.min(at)).max(now)
    }

    pub fn tick(&mut self, now: Time, counts: &mut Counts) {
        if now >= self.next_summary {
            self.next_summary = now + SUMMARY_INTERVAL;
            self.send_summaries(now);
        }
        if now >= self.next_period {
            // A host that was delayed skips periods and keeps its offset to the other hubs.
            while self.next_period <= now {
                self.next_period += self.config.period.max(Span::from_millis(1));
            }
            self.wants_reports = !self.wants_reports;
            if self.wants_reports {
                self.next_summary = self.next_summary.min(now + SUMMARY_DELAY);
            }
            self.composer.begin_period();
            self.send_live_bundle(now, counts);
        } else if self.next_bundle.is_some_and(|at| now >= at) {
            self.send_live_bundle(now, counts);
        }
        counts.dropped = self.composer.dropped;
    }

    pub fn sizes(&self) -> Vec<(&'static str, usize)> {
        vec![
            ("feed followers", self.subscribers.len()),
            ("feed sites", self.sites.len()),
            ("feed events kept", self.composer.event_count()),
            ("feed lines kept", self.composer.line_count()),
            ("feed pieces queued", self.composer.queued_pieces()),
            ("feed bundles kept", self.log.len()),
            ("feed bundles seen", self.seen.len()),
            ("feed budgets", self.budgets.len()),
        ]
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        self.composer.check_invariants()?;
        self.sites.check_invariants()?;
        self.log.check_invariants()?;
        if self.subscribers.len() > MAX_SUBSCRIBERS || self.budgets.len() > MAX_SITES {
            return Err(format!("{} subscribers, {} budgets", self.subscribers.len(), self.budgets.len()));
        }
        Ok(())
    }
}

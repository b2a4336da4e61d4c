//! Aggregates acknowledgements: of live members at the root of a tree, and of all sites at a hub.
//!
//! Invariant: a watermark never covers a sequence number that a counted site has not acknowledged, and never goes back.

use crate::Unacked;
use crate::config::Config;
use crate::rank;
use crate::settings::MAX_SITES;
use crate::wire::{
    Ack, BundleId, HubSummary, Laggard, MAX_LAGGARDS_PER_REPORT, MAX_SITES_PER_SUMMARY, Report,
};
use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// Maximum number of bundles whose ends are kept to check reports.
const MAX_PENDING_BUNDLES: usize = 64;
pub const MAX_FALSE_ACKERS: usize = 64;
const MAX_UNACKED: usize = 256;
/// A site that has not been heard from for this multiple of `silent_ms` is out of touch.
const OUT_OF_TOUCH_FACTOR: f64 = 3.0;

/// The last sequence number of each stream named in a bundle.
pub type BundleEnds = Vec<(usize, u64)>;

/// The acknowledgement of a bundle by the local positions.
pub fn make_ack(bundle: BundleId, ends: &BundleEnds, position: impl Fn(usize) -> u64) -> Ack {
    let behind =
        ends.iter().map(|(s, last)| (*s as u32, *last, position(*s))).filter(|(_, last, p)| p < last);
    let (streams, positions) = behind.map(|(s, _, p)| (s, p)).unzip();
    Ack { bundle: Some(bundle), streams, positions }
}

/// Acknowledgements of one bundle, collected at the root of its tree.
pub struct AckAggregate {
    pub due_at: Time,
    /// The first report has been sent.
    pub reported: bool,
    pub acks: BTreeMap<String, Ack>,
}

impl AckAggregate {
    pub fn report(
        &self,
        config: &Config,
        own: &str,
        bundle: BundleId,
        ends: &BundleEnds,
        live: &[String],
    ) -> Report {
        let mut minimum: BTreeMap<u32, u64> = BTreeMap::new();
        let mut laggards: Vec<Laggard> = Vec::new();
        let mut silent = 0;
        for name in live.iter().map(String::as_str).chain(std::iter::once(own)) {
            let Some(ack) = self.acks.get(name) else {
                silent += 1;
                if silent <= MAX_LAGGARDS_PER_REPORT {
                    let name = name.to_owned();
                    laggards.push(Laggard { name, silent: true, ..Laggard::default() });
                }
                continue;
            };
            for (s, p) in ack.streams.iter().zip(&ack.positions) {
                let Some((_, last)) = ends.iter().find(|(e, _)| *e as u32 == *s) else { continue };
                let p = (*p).min(*last);
                minimum.entry(*s).and_modify(|l| *l = (*l).min(p)).or_insert(p);
            }
            let behind = |(s, p): (&u32, &u64)| {
                let last = ends.iter().find(|(e, _)| *e as u32 == *s).map_or(0, |(_, last)| *last);
                (last.saturating_sub(*p), *s, *p)
            };
            if let Some((_, stream, position)) = ack.streams.iter().zip(&ack.positions).map(behind).max() {
                laggards.push(Laggard { name: name.to_owned(), silent: false, stream, position });
            }
        }
        // Silent members first: the hub needs their names, while the others are covered by the minimum positions.
        laggards.sort_by_key(|l| !l.silent);
        laggards.truncate(MAX_LAGGARDS_PER_REPORT);
        let (streams, positions) = minimum.into_iter().unzip();
        Report {
            site: config.site.clone(),
            gateway: own.to_owned(),
            bundle: Some(bundle),
            members: live.len() as u32 + 1,
            streams,
            positions,
            laggards,
            silent_omitted: silent.saturating_sub(MAX_LAGGARDS_PER_REPORT) as u32,
        }
    }
}

#[derive(Default)]
struct SiteState {
    name: String,
    /// It is listed in the hub's configuration.
    listed: bool,
    last_seen: Option<Time>,
    /// By this hub directly, not through another hub.
    last_seen_directly: Option<Time>,
    /// Bundle of the last accepted report; this hub's run id never changes.
    report_seq: u64,
    /// Minimum positions of the members that acknowledged in the last report; `None`: no report yet.
    acked: Option<Vec<u64>>,
    /// Members that did not acknowledge, with their last acknowledged positions.
    silent: BTreeMap<String, Vec<u64>>,
    /// Members that acknowledged only in part: stream and position.
    behind: BTreeMap<String, (usize, u64)>,
    /// Positions acknowledged by the whole site, to this hub or to another one.
    positions: Option<Vec<u64>>,
}

impl SiteState {
    fn raise_positions(&mut self, to: &[u64]) {
        match &mut self.positions {
            Some(all) => all.iter_mut().zip(to).for_each(|(a, b)| *a = (*a).max(*b)),
            None => self.positions = Some(to.to_vec()),
        }
    }
}

fn take_minimum(all: &mut Option<Vec<u64>>, one: &[u64]) {
    match all {
        Some(all) => all.iter_mut().zip(one).for_each(|(a, b)| *a = (*a).min(*b)),
        None => *all = Some(one.to_vec()),
    }
}

/// Tracks the acknowledgements of all sites, at a hub.
pub struct SiteTracker {
    sites: BTreeMap<u64, SiteState>,
    stream_count: usize,
    listed_count: usize,
    started_at: Time,
    touch_timeout: Span,
    in_touch: Vec<u64>,
    everywhere: Vec<u64>,
    /// Ends of bundles that ask for reports, by sequence number.
    pending_ends: BTreeMap<u64, BundleEnds>,
    latest_seq: u64,
    /// By hub: run id and sequence number of its last summary.
    last_summaries: BTreeMap<u32, (u32, u64)>,
    /// Senders of reports that acknowledge what was never sent, by site and gateway, with their number.
    pub false_acks: BTreeMap<(String, String), u64>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Outcome {
    Accepted,
    /// Too old, or the limit on sites is reached.
    Ignored,
    Rejected,
}

impl SiteTracker {
    pub fn new(listed: &[String], streams: usize, silence_timeout: Span, now: Time) -> SiteTracker {
        let one = |name: &String| {
            (rank::key(name), SiteState { name: name.clone(), listed: true, ..SiteState::default() })
        };
        let sites: BTreeMap<u64, SiteState> = listed.iter().map(one).collect();
        SiteTracker {
            listed_count: sites.len(),
            sites,
            stream_count: streams,
            started_at: now,
            touch_timeout: silence_timeout * OUT_OF_TOUCH_FACTOR,
            in_touch: vec![0; streams],
            everywhere: vec![0; streams],
            pending_ends: BTreeMap::new(),
            latest_seq: 0,
            last_summaries: BTreeMap::new(),
            false_acks: BTreeMap::new(),
        }
    }

    pub fn listed(&self) -> usize {
        self.listed_count
    }

    /// Registers a bundle that asks for reports.
    pub fn expect_reports(&mut self, seq: u64, ends: BundleEnds) {
        self.latest_seq = self.latest_seq.max(seq);
        self.pending_ends.insert(seq, ends);
        if self.pending_ends.len() > MAX_PENDING_BUNDLES {
            self.pending_ends.pop_first();
        }
    }

    fn site_mut(&mut self, name: &str) -> Option<&mut SiteState> {
        let key = rank::key(name);
        if !self.sites.contains_key(&key) {
            if self.sites.len() >= MAX_SITES {
                return None;
            }
            self.sites.insert(key, SiteState { name: name.to_owned(), ..SiteState::default() });
        }
        self.sites.get_mut(&key)
    }

    /// A site's contact has renewed its subscription.
    pub fn note_direct_contact(&mut self, now: Time, name: &str) {
        if let Some(site) = self.site_mut(name) {
            (site.last_seen, site.last_seen_directly) = (Some(now), Some(now));
        }
    }

    pub fn handle_report(&mut self, now: Time, report: &Report) -> Outcome {
        let Some(bundle) = report.bundle else { return Outcome::Ignored };
        if bundle.seq > self.latest_seq {
            return self.reject(report);
        }
        let Some(ends) = self.pending_ends.get(&bundle.seq).cloned() else { return Outcome::Ignored };
        let mut acked_now = vec![None; self.stream_count];
        ends.iter().for_each(|(s, last)| acked_now[*s] = Some(*last));
        for (s, p) in report.streams.iter().zip(&report.positions) {
            match acked_now.get_mut(*s as usize) {
                Some(Some(last)) if *p <= *last => *last = *p,
                // More than this hub has sent, or a stream that the bundle does not name.
                _ => return self.reject(report),
            }
        }
        let Some(site) = self.site_mut(&report.site) else { return Outcome::Ignored };
        // Guards against old reports that are delayed or replayed.
        if bundle.seq < site.report_seq {
            return Outcome::Ignored;
        }
        // A repetition of the last report is no sign of life.
        if bundle.seq > site.report_seq {
            (site.last_seen, site.last_seen_directly, site.report_seq) = (Some(now), Some(now), bundle.seq);
        }
        if report.silent_omitted > 0 {
            return Outcome::Accepted;
        }
        let before = site.acked.take();
        let streams = acked_now.len();
        // A stream that the bundle does not name keeps its position.
        let updated: Vec<u64> = acked_now
            .into_iter()
            .enumerate()
            .map(|(s, p)| p.unwrap_or_else(|| before.as_ref().map_or(0, |b| b[s])))
            .collect();
        let previous = before.unwrap_or_else(|| vec![0; streams]);
        let is_silent = |l: &&Laggard| l.silent;
        let mut silent = BTreeMap::new();
        for laggard in report.laggards.iter().filter(is_silent) {
            let acked = site.silent.remove(&laggard.name).unwrap_or_else(|| previous.clone());
            silent.insert(laggard.name.clone(), acked);
        }
        site.silent = silent;
        let behind = report.laggards.iter().filter(|l| !l.silent);
        site.behind = behind.map(|l| (l.name.clone(), (l.stream as usize, l.position))).collect();
        let mut all = Some(updated.clone());
        site.silent.values().for_each(|acked| take_minimum(&mut all, acked));
        site.acked = Some(updated);
        if let Some(all) = all {
            site.raise_positions(&all);
        }
        Outcome::Accepted
    }

    fn reject(&mut self, report: &Report) -> Outcome {
        let key = (report.site.clone(), report.gateway.clone());
        if self.false_acks.len() < MAX_FALSE_ACKERS || self.false_acks.contains_key(&key) {
            *self.false_acks.entry(key).or_default() += 1;
        }
        Outcome::Rejected
    }

    /// Summaries for the other hubs of the sites in direct touch with this one.
    pub fn summaries(&self, now: Time, hub: u32, run_id: u32, seq: &mut u64) -> Vec<HubSummary> {
        let is_in_touch = |at: Option<Time>| at.is_some_and(|at| now - at < self.touch_timeout);
        let mut common: Option<Vec<u64>> = None;
        let (mut reported, mut silent) = (Vec::new(), Vec::new());
        for (key, site) in self.sites.iter().filter(|(_, site)| is_in_touch(site.last_seen_directly)) {
            match &site.positions {
                Some(positions) => {
                    take_minimum(&mut common, positions);
                    reported.push(*key);
                }
                None => silent.push(*key),
            }
        }
        let mut all = Vec::new();
        for (sites, unreported) in [(reported, false), (silent, true)] {
            for sites in sites.chunks(MAX_SITES_PER_SUMMARY) {
                *seq += 1;
                let positions = common.clone().filter(|_| !unreported).unwrap_or_default();
                all.push(HubSummary { hub, run_id, seq: *seq, positions, sites: sites.to_vec(), unreported });
            }
        }
        all
    }

    /// Handles another hub's summary; its signature has been verified.
    pub fn handle_summary(&mut self, now: Time, summary: &HubSummary) -> Outcome {
        let before = self.last_summaries.get(&summary.hub);
        // Guards against replayed summaries.
        if before.is_some_and(|(run_id, seq)| *run_id == summary.run_id && *seq >= summary.seq) {
            return Outcome::Ignored;
        }
        self.last_summaries.insert(summary.hub, (summary.run_id, summary.seq));
        let fits = summary.unreported || summary.positions.len() == self.stream_count;
        for key in summary.sites.iter().take(MAX_SITES_PER_SUMMARY) {
            // Sites known only to another hub are tracked there.
            if let Some(site) = self.sites.get_mut(key) {
                site.last_seen = Some(now);
                if !summary.unreported && fits {
                    site.raise_positions(&summary.positions);
                }
            }
        }
        Outcome::Accepted
    }

    /// Recomputes the watermarks.
    pub fn update_watermarks(&mut self, now: Time) {
        let is_in_touch = |site: &&SiteState| site.last_seen.is_some_and(|at| now - at < self.touch_timeout);
        let none = vec![0; self.stream_count];
        let mut in_touch: Option<Vec<u64>> = None;
        for site in self.sites.values().filter(is_in_touch) {
            take_minimum(&mut in_touch, site.positions.as_ref().unwrap_or(&none));
        }
        let mut everywhere: Option<Vec<u64>> = None;
        for site in self.sites.values().filter(|s| s.listed) {
            take_minimum(&mut everywhere, site.positions.as_ref().unwrap_or(&none));
        }
        let raise = |to: &mut Vec<u64>, by: Option<Vec<u64>>| {
            to.iter_mut().zip(by.unwrap_or_default()).for_each(|(a, b)| *a = (*a).max(b));
        };
        // Sites that were in touch with a hub before this one started show up within this time.
        if now - self.started_at >= self.touch_timeout {
            raise(&mut self.in_touch, in_touch);
        }
        raise(&mut self.everywhere, everywhere);
        let both = self.in_touch.iter_mut().zip(&self.everywhere);
        both.for_each(|(t, e)| *t = (*t).max(*e));
    }

    pub fn watermarks(&self, stream: usize) -> (u64, u64) {
        let at = |of: &Vec<u64>| of.get(stream).copied().unwrap_or(0);
        (at(&self.in_touch), at(&self.everywhere))
    }

    /// Configured sites that are out of touch, and lagging members of sites in direct touch with this hub.
    pub fn unacked(&self, now: Time) -> Vec<Unacked> {
        let mut all = Vec::new();
        for site in self.sites.values() {
            let entry = |member: Option<&String>, (stream, position): (usize, u64)| Unacked {
                site: site.name.clone(),
                member: member.cloned(),
                stream,
                position,
            };
            let lowest = |of: &Vec<u64>| {
                let latest_ends = self.pending_ends.values().next_back();
                let last =
                    |s: usize| latest_ends.and_then(|e| e.iter().find(|e| e.0 == s)).map_or(0, |e| e.1);
                of.iter()
                    .enumerate()
                    .max_by_key(|(s, p)| last(*s).saturating_sub(**p))
                    .map_or((0, 0), |(s, p)| (s, *p))
            };
            let is_in_touch = site.last_seen.is_some_and(|at| now - at < self.touch_timeout);
            if !is_in_touch || site.positions.is_none() {
                if site.listed || is_in_touch {
                    all.push(entry(None, site.positions.as_ref().map_or((0, 0), lowest)));
                }
                continue;
            }
            // A site that is back does not have the events acknowledged while it was away.
            let minimum = site.positions.iter().flatten().zip(&self.in_touch).enumerate();
            if let Some((s, (p, _))) =
                minimum.filter(|(_, (p, done))| p < done).max_by_key(|(_, (p, done))| *done - *p)
            {
                all.push(entry(None, (s, *p)));
            }
            if site.last_seen_directly.is_some_and(|at| now - at < self.touch_timeout) {
                all.extend(site.silent.iter().map(|(m, acked)| entry(Some(m), lowest(acked))));
                all.extend(site.behind.iter().map(|(m, at)| entry(Some(m), *at)));
            }
        }
        all.truncate(MAX_UNACKED);
        all
    }

    pub fn len(&self) -> usize {
        self.sites.len()
    }

    pub fn check_invariants(&self) -> Result<(), String> {
        if self.sites.len() > MAX_SITES
            || self.pending_ends.len() > MAX_PENDING_BUNDLES
            || self.false_acks.len() > MAX_FALSE_ACKERS
        {
            return Err(format!(
                "{} sites, {} bundle ends, {} senders of false acknowledgements",
                self.sites.len(),
                self.pending_ends.len(),
                self.false_acks.len()
            ));
        }
        if self
            .sites
            .values()
            .any(|s| s.silent.len() > MAX_LAGGARDS_PER_REPORT || s.behind.len() > MAX_LAGGARDS_PER_REPORT)
        {
            return Err("more laggards than a report names".to_owned());
        }
        if self.in_touch.iter().zip(&self.everywhere).any(|(t, e)| t < e) {
            return Err("watermark of all sites is above that of sites in touch".to_owned());
        }
        Ok(())
    }
}

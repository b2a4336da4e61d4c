//! What sites have confirmed: gathered from live members at a tree's root, and from all sites at a hub. Must never tell a
//! number for done that one of those who count has not confirmed, nor go back.

use crate::Missing;
use crate::common::Set;
use crate::rank;
use crate::settings::MOST_SITES;
use crate::wire::{Confirm, Gathered, Laggard, MOST_LAGGARDS, MOST_SITES as SITES_AT_ONCE, Named, Report};
use kelpcart::{Span, Time};
use std::collections::BTreeMap;

/// Bundles whose ends are kept for reports on them.
const MOST_ENDS: usize = 64;
pub const MOST_LIARS: usize = 64;
const MOST_MISSING: usize = 256;
/// A site that is not heard for so many times `silent_ms` is out of touch.
const OUT_OF_TOUCH: f64 = 3.0;

/// The last number of each stream of which a bundle says something.
pub type Ends = Vec<(usize, u64)>;

/// The positions here as a confirmation.
pub fn confirm(of: Named, ends: &Ends, position: impl Fn(usize) -> u64) -> Confirm {
    let lacking =
        ends.iter().map(|(s, last)| (*s as u32, *last, position(*s))).filter(|(_, last, p)| p < last);
    let (streams, positions) = lacking.map(|(s, _, p)| (s, p)).unzip();
    Confirm { of: Some(of), streams, positions }
}

/// Confirmations of one bundle, at the root of its tree.
pub struct Gather {
    pub due: Time,
    /// A first report was made of it.
    pub told: bool,
    pub got: BTreeMap<String, Confirm>,
}

impl Gather {
    pub fn report(&self, set: &Set, own: &str, of: Named, ends: &Ends, live: &[String]) -> Report {
        let mut least: BTreeMap<u32, u64> = BTreeMap::new();
        let mut laggards: Vec<Laggard> = Vec::new();
        let mut silent = 0;
        for name in live.iter().map(String::as_str).chain(std::iter::once(own)) {
            let Some(confirm) = self.got.get(name) else {
                silent += 1;
                if silent <= MOST_LAGGARDS {
                    let name = name.to_owned();
                    laggards.push(Laggard { name, silent: true, ..Laggard::default() });
                }
                continue;
            };
            for (s, p) in confirm.streams.iter().zip(&confirm.positions) {
                let Some((_, last)) = ends.iter().find(|(e, _)| *e as u32 == *s) else { continue };
                let p = (*p).min(*last);
                least.entry(*s).and_modify(|l| *l = (*l).min(p)).or_insert(p);
            }
            let behind = |(s, p): (&u32, &u64)| {
                let last = ends.iter().find(|(e, _)| *e as u32 == *s).map_or(0, |(_, last)| *last);
                (last.saturating_sub(*p), *s, *p)
            };
            if let Some((_, stream, position)) =
                confirm.streams.iter().zip(&confirm.positions).map(behind).max()
            {
                laggards.push(Laggard { name: name.to_owned(), silent: false, stream, position });
            }
        }
        // The silent ones have to be known to the hub by name, the others are in the least positions.
        laggards.sort_by_key(|l| !l.silent);
        laggards.truncate(MOST_LAGGARDS);
        let (streams, positions) = least.into_iter().unzip();
        Report {
            site: set.site.clone(),
            gateway: own.to_owned(),
            of: Some(of),
            members: live.len() as u32 + 1,
            streams,
            positions,
            laggards,
            more: silent.saturating_sub(MOST_LAGGARDS) as u32,
        }
    }
}

#[derive(Default)]
struct Site {
    name: String,
    /// It is one of the hub's file.
    listed: bool,
    heard: Option<Time>,
    /// Heard by this hub itself.
    direct: Option<Time>,
    /// Of the last report taken: run of this hub never changes.
    number: u64,
    /// What those had who confirmed in the last report; `None`: there was none.
    confirmed: Option<Vec<u64>>,
    /// Silent ones, and what they had confirmed before.
    silent: BTreeMap<String, Vec<u64>>,
    /// Those who confirmed less than all: stream and position.
    behind: BTreeMap<String, (usize, u64)>,
    /// What all of it have, as it was told here or to another hub.
    positions: Option<Vec<u64>>,
}

impl Site {
    fn raise(&mut self, to: &[u64]) {
        match &mut self.positions {
            Some(all) => all.iter_mut().zip(to).for_each(|(a, b)| *a = (*a).max(*b)),
            None => self.positions = Some(to.to_vec()),
        }
    }
}

fn least(all: &mut Option<Vec<u64>>, one: &[u64]) {
    match all {
        Some(all) => all.iter_mut().zip(one).for_each(|(a, b)| *a = (*a).min(*b)),
        None => *all = Some(one.to_vec()),
    }
}

/// What all sites have confirmed, at a hub.
pub struct Sites {
    all: BTreeMap<u64, Site>,
    streams: usize,
    listed: usize,
    start: Time,
    touch: Span,
    in_touch: Vec<u64>,
    everywhere: Vec<u64>,
    /// Of bundles that ask for reports, by number.
    ends: BTreeMap<u64, Ends>,
    number: u64,
    /// By hub: run and number of the last word.
    told: BTreeMap<u32, (u32, u64)>,
    /// Who told what can't be, by site and gateway.
    pub liars: BTreeMap<(String, String), u64>,
}

#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    Good,
    /// Too old, or of a site for which there is no room.
    Passed,
    Refused,
}

impl Sites {
    pub fn new(listed: &[String], streams: usize, silent: Span, now: Time) -> Sites {
        let one =
            |name: &String| (rank::key(name), Site { name: name.clone(), listed: true, ..Site::default() });
        let all: BTreeMap<u64, Site> = listed.iter().map(one).collect();
        Sites {
            listed: all.len(),
            all,
            streams,
            start: now,
            touch: silent * OUT_OF_TOUCH,
            in_touch: vec![0; streams],
            everywhere: vec![0; streams],
            ends: BTreeMap::new(),
            number: 0,
            told: BTreeMap::new(),
            liars: BTreeMap::new(),
        }
    }

    pub fn listed(&self) -> usize {
        self.listed
    }

    /// A bundle asks for reports.
    pub fn asked(&mut self, number: u64, ends: Ends) {
        self.number = self.number.max(number);
        self.ends.insert(number, ends);
        if self.ends.len() > MOST_ENDS {
            self.ends.pop_first();
        }
    }

    fn site(&mut self, name: &str) -> Option<&mut Site> {
        let key = rank::key(name);
        if !self.all.contains_key(&key) {
            if self.all.len() >= MOST_SITES {
                return None;
            }
            self.all.insert(key, Site { name: name.to_owned(), ..Site::default() });
        }
        self.all.get_mut(&key)
    }

    /// A site's contact is heard.
    pub fn touched(&mut self, now: Time, name: &str) {
        if let Some(site) = self.site(name) {
            (site.heard, site.direct) = (Some(now), Some(now));
        }
    }

    pub fn report(&mut self, now: Time, report: &Report) -> Taken {
        let Some(of) = report.of else { return Taken::Passed };
        if of.number > self.number {
            return self.refuse(report);
        }
        let Some(ends) = self.ends.get(&of.number).cloned() else { return Taken::Passed };
        let mut now_confirmed = vec![None; self.streams];
        ends.iter().for_each(|(s, last)| now_confirmed[*s] = Some(*last));
        for (s, p) in report.streams.iter().zip(&report.positions) {
            match now_confirmed.get_mut(*s as usize) {
                Some(Some(last)) if *p <= *last => *last = *p,
                // More than this hub itself has told, or of a stream of which it told nothing.
                _ => return self.refuse(report),
            }
        }
        let Some(site) = self.site(&report.site) else { return Taken::Passed };
        // Guards against old reports that come again, late or on purpose.
        if of.number < site.number {
            return Taken::Passed;
        }
        // The last one again is no sign of life either.
        if of.number > site.number {
            (site.heard, site.direct, site.number) = (Some(now), Some(now), of.number);
        }
        if report.more > 0 {
            return Taken::Good;
        }
        let before = site.confirmed.take();
        let streams = now_confirmed.len();
        // A stream of which the bundle said nothing stays where it was.
        let fresh: Vec<u64> = now_confirmed
            .into_iter()
            .enumerate()
            .map(|(s, p)| p.unwrap_or_else(|| before.as_ref().map_or(0, |b| b[s])))
            .collect();
        let known = before.unwrap_or_else(|| vec![0; streams]);
        let quiet = |l: &&Laggard| l.silent;
        let mut silent = BTreeMap::new();
        for laggard in report.laggards.iter().filter(quiet) {
            let had = site.silent.remove(&laggard.name).unwrap_or_else(|| known.clone());
            silent.insert(laggard.name.clone(), had);
        }
        site.silent = silent;
        let behind = report.laggards.iter().filter(|l| !l.silent);
        site.behind = behind.map(|l| (l.name.clone(), (l.stream as usize, l.position))).collect();
        let mut all = Some(fresh.clone());
        site.silent.values().for_each(|had| least(&mut all, had));
        site.confirmed = Some(fresh);
        if let Some(all) = all {
            site.raise(&all);
        }
        Taken::Good
    }

    fn refuse(&mut self, report: &Report) -> Taken {
        let key = (report.site.clone(), report.gateway.clone());
        if self.liars.len() < MOST_LIARS || self.liars.contains_key(&key) {
            *self.liars.entry(key).or_default() += 1;
        }
        Taken::Refused
    }

    /// What this hub hears itself, for the others.
    pub fn gathered(&self, now: Time, hub: u32, run: u32, number: &mut u64) -> Vec<Gathered> {
        let near = |at: Option<Time>| at.is_some_and(|at| now - at < self.touch);
        let mut known: Option<Vec<u64>> = None;
        let (mut with, mut without) = (Vec::new(), Vec::new());
        for (key, site) in self.all.iter().filter(|(_, site)| near(site.direct)) {
            match &site.positions {
                Some(positions) => {
                    least(&mut known, positions);
                    with.push(*key);
                }
                None => without.push(*key),
            }
        }
        let mut all = Vec::new();
        for (sites, unknown) in [(with, false), (without, true)] {
            for sites in sites.chunks(SITES_AT_ONCE) {
                *number += 1;
                let positions = known.clone().filter(|_| !unknown).unwrap_or_default();
                all.push(Gathered { hub, run, number: *number, positions, sites: sites.to_vec(), unknown });
            }
        }
        all
    }

    /// Another hub's word, whose signature is good.
    pub fn told(&mut self, now: Time, told: &Gathered) -> Taken {
        let before = self.told.get(&told.hub);
        // Guards against old words that come again.
        if before.is_some_and(|(run, number)| *run == told.run && *number >= told.number) {
            return Taken::Passed;
        }
        self.told.insert(told.hub, (told.run, told.number));
        let fits = told.unknown || told.positions.len() == self.streams;
        for key in told.sites.iter().take(SITES_AT_ONCE) {
            // Sites that only another hub knows are its own to wait for.
            if let Some(site) = self.all.get_mut(key) {
                site.heard = Some(now);
                if !told.unknown && fits {
                    site.raise(&told.positions);
                }
            }
        }
        Taken::Good
    }

    /// The watermarks as of now.
    pub fn weigh(&mut self, now: Time) {
        let near = |site: &&Site| site.heard.is_some_and(|at| now - at < self.touch);
        let none = vec![0; self.streams];
        let mut in_touch: Option<Vec<u64>> = None;
        for site in self.all.values().filter(near) {
            least(&mut in_touch, site.positions.as_ref().unwrap_or(&none));
        }
        let mut everywhere: Option<Vec<u64>> = None;
        for site in self.all.values().filter(|s| s.listed) {
            least(&mut everywhere, site.positions.as_ref().unwrap_or(&none));
        }
        let raise = |to: &mut Vec<u64>, by: Option<Vec<u64>>| {
            to.iter_mut().zip(by.unwrap_or_default()).for_each(|(a, b)| *a = (*a).max(b));
        };
        // Those that were in touch with a hub before this one began show within this time.
        if now - self.start >= self.touch {
            raise(&mut self.in_touch, in_touch);
        }
        raise(&mut self.everywhere, everywhere);
        let both = self.in_touch.iter_mut().zip(&self.everywhere);
        both.for_each(|(t, e)| *t = (*t).max(*e));
    }

    pub fn done(&self, stream: usize) -> (u64, u64) {
        let at = |of: &Vec<u64>| of.get(stream).copied().unwrap_or(0);
        (at(&self.in_touch), at(&self.everywhere))
    }

    /// Sites of the file that are out of touch, and members that lag at those heard by this hub.
    pub fn missing(&self, now: Time) -> Vec<Missing> {
        let mut all = Vec::new();
        for site in self.all.values() {
            let named = |member: Option<&String>, (stream, position): (usize, u64)| Missing {
                site: site.name.clone(),
                member: member.cloned(),
                stream,
                position,
            };
            let lowest = |of: &Vec<u64>| {
                let far = self.ends.values().next_back();
                let last = |s: usize| far.and_then(|e| e.iter().find(|e| e.0 == s)).map_or(0, |e| e.1);
                of.iter()
                    .enumerate()
                    .max_by_key(|(s, p)| last(*s).saturating_sub(**p))
                    .map_or((0, 0), |(s, p)| (s, *p))
            };
            let near = site.heard.is_some_and(|at| now - at < self.touch);
            if !near || site.positions.is_none() {
                if site.listed || near {
                    all.push(named(None, site.positions.as_ref().map_or((0, 0), lowest)));
                }
                continue;
            }
            // One that is back has not what was done while it was away.
            let least = site.positions.iter().flatten().zip(&self.in_touch).enumerate();
            if let Some((s, (p, _))) =
                least.filter(|(_, (p, done))| p < done).max_by_key(|(_, (p, done))| *done - *p)
            {
                all.push(named(None, (s, *p)));
            }
            if site.direct.is_some_and(|at| now - at < self.touch) {
                all.extend(site.silent.iter().map(|(m, had)| named(Some(m), lowest(had))));
                all.extend(site.behind.iter().map(|(m, at)| named(Some(m), *at)));
            }
        }
        all.truncate(MOST_MISSING);
        all
    }

    pub fn held(&self) -> usize {
        self.all.len()
    }

    pub fn check_rules(&self) -> Result<(), String> {
        if self.all.len() > MOST_SITES || self.ends.len() > MOST_ENDS || self.liars.len() > MOST_LIARS {
            return Err(format!(
                "{} sites, {} ends, {} liars",
                self.all.len(),
                self.ends.len(),
                self.liars.len()
            ));
        }
        if self.all.values().any(|s| s.silent.len() > MOST_LAGGARDS || s.behind.len() > MOST_LAGGARDS) {
            return Err("more laggards than reports name".to_owned());
        }
        if self.in_touch.iter().zip(&self.everywhere).any(|(t, e)| t < e) {
            return Err("more is done everywhere than at the sites in touch".to_owned());
        }
        Ok(())
    }
}

//! Results of one run over all members, and the benchmark series assembled from several runs.
//!
//! Invariant: a run in which a change did not reach all members aborts the benchmark.

use crate::memory;
use crate::sim::Usage;
use crate::slopes::{Host, Sample, Series};
use hdrhistogram::Histogram;
use kelpcart::Span;
use std::collections::BTreeMap;

/// The results at one size.
pub struct Run {
    /// Usage of each member over `duration`.
    pub usage: Vec<Usage>,
    pub duration: Span,
    /// Time from the publication of a change to its application at each gateway, in us.
    pub delays: Histogram<u64>,
    /// Memory of one member, in bytes.
    pub memory: f64,
    /// Time from the start of all members until they have converged.
    pub start: Span,
    /// Whether every live gateway had every change at the end.
    pub converged: Result<(), String>,
    /// Further results: name, unit and value.
    pub extra: Vec<(&'static str, &'static str, f64)>,
}

/// Runs at growing sizes of one dimension.
pub struct SeriesGroup {
    name: String,
    /// The module's name for `--only`.
    module: &'static str,
    mechanism: &'static str,
    host: Host,
    over: &'static str,
    fixed: BTreeMap<String, f64>,
    runs: Vec<(f64, Run)>,
}

type Metric = (&'static str, &'static str, bool, fn(&Usage) -> f64);

const METRICS: [Metric; 5] = [
    ("bytes-in", "B/s", false, |s| s.bytes_in as f64),
    ("bytes-out", "B/s", false, |s| s.bytes_out as f64),
    ("datagrams-in", "datagrams/s", false, |s| s.datagrams_in as f64),
    ("datagrams-out", "datagrams/s", false, |s| s.datagrams_out as f64),
    ("processor", "us/s", true, |s| s.cpu_time.as_secs_f64() * 1e6),
];

impl SeriesGroup {
    pub fn new(
        name: &str,
        module: &'static str,
        mechanism: &'static str,
        host: Host,
        over: &'static str,
        fixed: &[(&str, f64)],
    ) -> SeriesGroup {
        let fixed = fixed.iter().map(|(k, v)| ((*k).to_owned(), *v)).collect();
        SeriesGroup { name: name.to_owned(), module, mechanism, host, over, fixed, runs: Vec::new() }
    }

    /// Checks whether a run with `n` members fits into half of the machine's memory, extrapolated from the last run. `grows`
    /// means that each member's memory is proportional to the number of members.
    pub fn fits_memory(&self, n: f64, grows: bool) -> bool {
        let Some((at, run)) = self.runs.last() else { return true };
        let each = run.memory * if grows { n / at } else { 1.0 };
        match memory::fits((each * n) as u64) {
            Ok(()) => true,
            Err(why) => {
                eprintln!("{} stops before {n} {}: {why}", self.name, self.over);
                false
            }
        }
    }

    pub fn push(&mut self, at: f64, run: Run) {
        if let Err(why) = &run.converged {
            panic!("{} at {at} {}: {why}", self.name, self.over);
        }
        eprintln!("{} at {at} {}: {}", self.name, self.over, run.summary());
        self.runs.push((at, run));
    }

    pub fn series(&self, seed: u64) -> Vec<Series> {
        let mut all: Vec<Series> = METRICS
            .iter()
            .map(|(name, unit, timed, of)| {
                self.one_series(seed, name, unit, *timed, |run| {
                    let per_second = |s: &Usage| of(s) / run.duration.as_secs_f64();
                    let sum: f64 = run.usage.iter().map(per_second).sum();
                    let worst = run.usage.iter().map(per_second).fold(0.0, f64::max);
                    (!run.usage.is_empty()).then(|| (sum / run.usage.len() as f64, worst, None))
                })
            })
            .collect();
        all.push(self.one_series(seed, "memory", "B", false, |r| Some((r.memory, r.memory, None))));
        all.push(self.one_series(seed, "delay", "ms", false, |r| {
            let at = |us: u64| us as f64 / 1e3;
            let quantile = |q| at(r.delays.value_at_quantile(q));
            let some = !r.delays.is_empty();
            some.then(|| (r.delays.mean() / 1e3, at(r.delays.max()), Some((quantile(0.5), quantile(0.99)))))
        }));
        all.push(self.one_series(seed, "start", "ms", false, |r| {
            let start_ms = r.start.as_secs_f64() * 1e3;
            Some((start_ms, start_ms, None))
        }));
        for (at, (name, unit, _)) in self.runs.first().iter().flat_map(|r| r.1.extra.iter().enumerate()) {
            all.push(self.one_series(seed, name, unit, false, |r| r.extra.get(at).map(|m| (m.2, m.2, None))));
        }
        all.retain(|l| !l.points.is_empty());
        all
    }

    fn one_series(
        &self,
        seed: u64,
        name: &str,
        unit: &str,
        timed: bool,
        of: impl Fn(&Run) -> Option<(f64, f64, Option<(f64, f64)>)>,
    ) -> Series {
        let point = |(at, run): &(f64, Run)| {
            let (mean, worst, quantiles) = of(run)?;
            let (p50, p99) = quantiles.unzip();
            Some(Sample { at: *at, mean, worst, p50, p99 })
        };
        Series {
            id: format!("{}.{name}.by-{}", self.name, self.over.replace('_', "-")),
            over: self.over.to_owned(),
            fixed: self.fixed.clone(),
            unit: unit.to_owned(),
            host: self.host,
            mechanism: self.mechanism.to_owned(),
            command: format!(
                "cargo run --release -p kelpcart-scale -- measure --seed {seed} --only {} --json slopes.json",
                self.module
            ),
            // Results on loopback are never reproducible exactly.
            timed: timed || self.host == Host::Loopback,
            points: self.runs.iter().filter_map(point).collect(),
        }
    }
}

impl Run {
    fn summary(&self) -> String {
        let n = self.usage.len().max(1) as f64;
        let s = self.duration.as_secs_f64();
        let extra: String = self.extra.iter().map(|(name, _, n)| format!("; {name} {n}")).collect();
        let out = self.usage.iter().map(|x| x.bytes_out as f64 / s);
        let (sum, worst) = out.fold((0.0, 0f64), |(a, w), x| (a + x, w.max(x)));
        format!(
            "{:.0} B/s out at the mean, {worst:.0} at the worst; p99 {:.1} ms, most {:.1} ms; {:.0} B held{extra}",
            sum / n,
            self.delays.value_at_quantile(0.99) as f64 / 1e3,
            self.delays.max() as f64 / 1e3,
            self.memory,
        )
    }
}

//! One run's quantities of all members, and the ladders that several runs make. Must never hide a run whose changes did
//! not reach all: it ends the measuring.

use crate::memory;
use crate::sim::Spent;
use crate::slopes::{Host, Ladder, Point};
use hdrhistogram::Histogram;
use kelpcart::Span;
use std::collections::BTreeMap;

/// What one size gave.
pub struct Run {
    /// Of each member, over the time.
    pub spent: Vec<Spent>,
    pub over: Span,
    /// From a list service's line to each gateway, in us.
    pub delays: Histogram<u64>,
    /// Bytes of one member.
    pub memory: f64,
    /// From the start of all until all know all.
    pub start: Span,
    /// Whether each live gateway knows each change in the end.
    pub told: Result<(), String>,
    /// Other figures by their names and units.
    pub more: Vec<(&'static str, &'static str, f64)>,
}

/// Runs at growing sizes of one thing.
pub struct Group {
    of: String,
    /// The ladders' name at the command line.
    module: &'static str,
    mechanism: &'static str,
    host: Host,
    over: &'static str,
    fixed: BTreeMap<String, f64>,
    runs: Vec<(f64, Run)>,
}

type Quantity = (&'static str, &'static str, bool, fn(&Spent) -> f64);

const QUANTITIES: [Quantity; 5] = [
    ("bytes-in", "B/s", false, |s| s.bytes_in as f64),
    ("bytes-out", "B/s", false, |s| s.bytes_out as f64),
    ("datagrams-in", "datagrams/s", false, |s| s.datagrams_in as f64),
    ("datagrams-out", "datagrams/s", false, |s| s.datagrams_out as f64),
    ("processor", "us/s", true, |s| s.processor.as_secs_f64() * 1e6),
];

impl Group {
    pub fn new(
        of: &str,
        module: &'static str,
        mechanism: &'static str,
        host: Host,
        over: &'static str,
        fixed: &[(&str, f64)],
    ) -> Group {
        let fixed = fixed.iter().map(|(k, v)| ((*k).to_owned(), *v)).collect();
        Group { of: of.to_owned(), module, mechanism, host, over, fixed, runs: Vec::new() }
    }

    /// Whether a run of so many members fits into half of the memory, by what the last one took: `grows` where each
    /// member holds all others.
    pub fn fits(&self, n: f64, grows: bool) -> bool {
        let Some((at, run)) = self.runs.last() else { return true };
        let each = run.memory * if grows { n / at } else { 1.0 };
        match memory::fits((each * n) as u64) {
            Ok(()) => true,
            Err(why) => {
                eprintln!("{} stops before {n} {}: {why}", self.of, self.over);
                false
            }
        }
    }

    pub fn take(&mut self, at: f64, run: Run) {
        if let Err(why) = &run.told {
            panic!("{} at {at} {}: {why}", self.of, self.over);
        }
        eprintln!("{} at {at} {}: {}", self.of, self.over, run.told_short());
        self.runs.push((at, run));
    }

    pub fn ladders(&self, seed: u64) -> Vec<Ladder> {
        let mut all: Vec<Ladder> = QUANTITIES
            .iter()
            .map(|(name, unit, timed, of)| {
                self.ladder(seed, name, unit, *timed, |run| {
                    let a_second = |s: &Spent| of(s) / run.over.as_secs_f64();
                    let sum: f64 = run.spent.iter().map(a_second).sum();
                    let worst = run.spent.iter().map(a_second).fold(0.0, f64::max);
                    (!run.spent.is_empty()).then(|| (sum / run.spent.len() as f64, worst, None))
                })
            })
            .collect();
        all.push(self.ladder(seed, "memory", "B", false, |r| Some((r.memory, r.memory, None))));
        all.push(self.ladder(seed, "delay", "ms", false, |r| {
            let at = |us: u64| us as f64 / 1e3;
            let quantile = |q| at(r.delays.value_at_quantile(q));
            let some = !r.delays.is_empty();
            some.then(|| (r.delays.mean() / 1e3, at(r.delays.max()), Some((quantile(0.5), quantile(0.99)))))
        }));
        all.push(self.ladder(seed, "start", "ms", false, |r| {
            let took = r.start.as_secs_f64() * 1e3;
            Some((took, took, None))
        }));
        for (at, (name, unit, _)) in self.runs.first().iter().flat_map(|r| r.1.more.iter().enumerate()) {
            all.push(self.ladder(seed, name, unit, false, |r| r.more.get(at).map(|m| (m.2, m.2, None))));
        }
        all.retain(|l| !l.points.is_empty());
        all
    }

    fn ladder(
        &self,
        seed: u64,
        name: &str,
        unit: &str,
        timed: bool,
        of: impl Fn(&Run) -> Option<(f64, f64, Option<(f64, f64)>)>,
    ) -> Ladder {
        let point = |(at, run): &(f64, Run)| {
            let (mean, worst, quantiles) = of(run)?;
            let (p50, p99) = quantiles.unzip();
            Some(Point { at: *at, mean, worst, p50, p99 })
        };
        Ladder {
            id: format!("{}.{name}.by-{}", self.of, self.over.replace('_', "-")),
            over: self.over.to_owned(),
            fixed: self.fixed.clone(),
            unit: unit.to_owned(),
            host: self.host,
            mechanism: self.mechanism.to_owned(),
            command: format!(
                "cargo run --release -p kelpcart-scale -- measure --seed {seed} --only {} --json slopes.json",
                self.module
            ),
            // Nothing on loopback comes twice the same.
            timed: timed || self.host == Host::Loopback,
            points: self.runs.iter().filter_map(point).collect(),
        }
    }
}

impl Run {
    fn told_short(&self) -> String {
        let n = self.spent.len().max(1) as f64;
        let s = self.over.as_secs_f64();
        let more: String = self.more.iter().map(|(name, _, n)| format!("; {name} {n}")).collect();
        let out = self.spent.iter().map(|x| x.bytes_out as f64 / s);
        let (sum, worst) = out.fold((0.0, 0f64), |(a, w), x| (a + x, w.max(x)));
        format!(
            "{:.0} B/s out at the mean, {worst:.0} at the worst; p99 {:.1} ms, most {:.1} ms; {:.0} B held{more}",
            sum / n,
            self.delays.value_at_quantile(0.99) as f64 / 1e3,
            self.delays.max() as f64 / 1e3,
            self.memory,
        )
    }
}

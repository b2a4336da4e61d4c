//! Outcome of each txn by remap rule, and the invariant violations of a run. Performs no I/O and reads no clock;
//! times come from the caller.

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// A remap rule as the clients see it.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    pub name: &'static str,
    pub importance: f64,
    /// SLA time in seconds.
    pub sla_s: f64,
    /// Seconds that are added to the SLA time for each second of the txn's own transfer time.
    pub stretch: f64,
    /// Time limit in seconds.
    pub limit_s: f64,
    pub write: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Rejected,
    Aborted,
    /// No response within the time limit plus the permitted grace.
    Unanswered,
}

struct RuleCounts {
    asked: u64,
    in_time: u64,
    late: u64,
    rejected: u64,
    aborted: u64,
    unanswered: u64,
    latency: Histogram<u64>,
    refusal_time: Histogram<u64>,
}

/// Histogram in microseconds; its upper bound (120 s) is well above any time limit.
fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 120_000_000, 3).expect("valid histogram bounds")
}

/// Importance of the txns sent in one second of the run: in total, and of those served within their SLA time.
#[derive(Clone, Copy, Debug, Default, Serialize, PartialEq)]
pub struct SecondTotals {
    pub asked: f64,
    pub served: f64,
}

/// Counts of invariant violations. Invariant: each stays 0.
#[derive(Clone, Debug, Default, Serialize, PartialEq)]
pub struct Violations {
    pub ran_twice: u64,
    pub ran_though_rejected: u64,
    pub served_though_never_run: u64,
    pub unanswered: u64,
    pub answered_late: u64,
    pub answered_twice: u64,
    pub stale: u64,
    pub damaged: u64,
}

impl Violations {
    pub fn any(&self) -> bool {
        *self != Violations::default()
    }

    fn rows(&self) -> [(&'static str, u64); 8] {
        [
            ("book run twice", self.ran_twice),
            ("book run though rejected", self.ran_though_rejected),
            ("book served though never run", self.served_though_never_run),
            ("unanswered at the time limit", self.unanswered),
            ("answered after it", self.answered_late),
            ("answered twice", self.answered_twice),
            ("older than a purge", self.stale),
            ("bytes of no copy", self.damaged),
        ]
    }
}

pub struct Report {
    rules: Vec<Rule>,
    counts: Vec<RuleCounts>,
    seconds: Vec<SecondTotals>,
    /// Ends of writes, by trace id.
    writes: BTreeMap<u64, End>,
    pub violations: Violations,
    pub bytes: u64,
    /// The first `MAX_OVER_LIMIT` txns that exceeded their time limit: second of sending, rule, and latency in
    /// seconds.
    over_limit: Vec<(f64, &'static str, f64)>,
}

/// Number of txns over their time limit that are listed.
const MAX_OVER_LIMIT: usize = 200;

impl Report {
    pub fn new(rules: &[Rule]) -> Report {
        let count = |_: &Rule| RuleCounts {
            asked: 0,
            in_time: 0,
            late: 0,
            rejected: 0,
            aborted: 0,
            unanswered: 0,
            latency: histogram(),
            refusal_time: histogram(),
        };
        Report {
            rules: rules.to_vec(),
            counts: rules.iter().map(count).collect(),
            seconds: Vec::new(),
            writes: BTreeMap::new(),
            violations: Violations::default(),
            bytes: 0,
            over_limit: Vec::new(),
        }
    }

    /// Records the end of a txn sent at second `at` of the run. `latency` is measured in seconds from the last byte
    /// of the request.
    pub fn record_end(&mut self, rule: usize, trace: u64, at: f64, sla_s: f64, end: End, latency: f64) {
        let (r, count) = (self.rules[rule], &mut self.counts[rule]);
        if latency > r.limit_s && self.over_limit.len() < MAX_OVER_LIMIT {
            self.over_limit.push((at, r.name, latency));
        }
        count.asked += 1;
        let micros = ((latency * 1e6) as u64).clamp(1, 120_000_000);
        let in_time = end == End::Served && latency <= sla_s;
        match end {
            End::Served if in_time => count.in_time += 1,
            End::Served => count.late += 1,
            End::Rejected => count.rejected += 1,
            End::Aborted => count.aborted += 1,
            End::Unanswered => {
                count.unanswered += 1;
                self.violations.unanswered += 1;
            }
        }
        // `micros` is clamped to the histogram's bounds, so nothing saturates.
        match end {
            End::Served => count.latency.saturating_record(micros),
            End::Rejected | End::Aborted => count.refusal_time.saturating_record(micros),
            End::Unanswered => {}
        }
        if r.write {
            self.writes.insert(trace, end);
        }
        let second = at.max(0.0) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondTotals::default());
        }
        self.seconds[second].asked += r.importance;
        self.seconds[second].served += if in_time { r.importance } else { 0.0 };
    }

    /// Checks the writes against the origin's execution counts by trace id.
    pub fn record_executions(&mut self, counted: &BTreeMap<u64, u32>) {
        self.violations.ran_twice = counted.values().filter(|n| **n > 1).count() as u64;
        let executed = |trace: &u64| counted.contains_key(trace);
        for (trace, end) in &self.writes {
            self.violations.ran_though_rejected += u64::from(*end == End::Rejected && executed(trace));
            self.violations.served_though_never_run += u64::from(*end == End::Served && !executed(trace));
        }
    }

    /// Share of importance served within the SLA time, over the txns sent from second `from` up to second `to`.
    pub fn share(&self, from: usize, to: usize) -> f64 {
        let part = &self.seconds[from.min(self.seconds.len())..to.min(self.seconds.len())];
        let sum = |of: fn(&SecondTotals) -> f64| part.iter().map(of).sum::<f64>();
        sum(|s| s.served) / sum(|s| s.asked).max(1e-9)
    }

    /// Seconds after `from` until the share over three seconds reaches `part` of `before`; `None` if it never does.
    pub fn recovery_s(&self, from: usize, before: f64, part: f64) -> Option<usize> {
        (from..self.seconds.len().saturating_sub(3))
            .find(|&s| self.share(s, s + 3) >= before * part)
            .map(|s| s - from)
    }

    fn row(&self, i: usize) -> Value {
        let (r, c) = (&self.rules[i], &self.counts[i]);
        let ms = |h: &Histogram<u64>, q: f64| {
            if h.is_empty() { None } else { Some(h.value_at_quantile(q) as f64 / 1e3) }
        };
        json!({
            "rule": r.name, "asked": c.asked, "in_time": c.in_time, "late": c.late, "rejected": c.rejected,
            "aborted": c.aborted, "unanswered": c.unanswered,
            "p50_ms": ms(&c.latency, 0.5), "p90_ms": ms(&c.latency, 0.9), "p99_ms": ms(&c.latency, 0.99),
            "told_off_p50_ms": ms(&c.refusal_time, 0.5), "told_off_p99_ms": ms(&c.refusal_time, 0.99),
        })
    }

    pub fn json(&self) -> Value {
        let rules: Vec<Value> = (0..self.rules.len()).map(|i| self.row(i)).collect();
        json!({
            "rules": rules, "broken": self.violations, "served_in_time": self.share(0, self.seconds.len()),
            "goodput_kb_per_s": self.bytes as f64 / 1024.0 / (self.seconds.len().max(1) as f64),
            "seconds": self.seconds, "over_their_limit": self.over_limit,
        })
    }

    pub fn table(&self) -> String {
        let mut out = String::from(
            "rule      asked in time   late rejected aborted unanswered |  p50 ms  p90 ms  p99 ms | told off p50, p99 ms\n",
        );
        for i in 0..self.rules.len() {
            let row = self.row(i);
            let n = |name: &str| row[name].as_u64().unwrap_or(0);
            let ms = |name: &str| row[name].as_f64().map_or("-".to_owned(), |ms| format!("{ms:.0}"));
            out.push_str(&format!(
                "{:8} {:>6} {:>7} {:>6} {:>8} {:>7} {:>10} | {:>7} {:>7} {:>7} | {:>7} {:>7}\n",
                self.rules[i].name,
                n("asked"),
                n("in_time"),
                n("late"),
                n("rejected"),
                n("aborted"),
                n("unanswered"),
                ms("p50_ms"),
                ms("p90_ms"),
                ms("p99_ms"),
                ms("told_off_p50_ms"),
                ms("told_off_p99_ms"),
            ));
        }
        let (share, rate) = (self.share(0, self.seconds.len()), self.bytes as f64 / 1024.0);
        let rate = rate / self.seconds.len().max(1) as f64;
        out.push_str(&format!("importance served in time {share:.3}, {rate:.0} KB/s\n"));
        for (what, n) in self.violations.rows() {
            out.push_str(&format!("{:30} {n}{}\n", what, if n > 0 { "  BROKEN" } else { "" }));
        }
        out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const RULES: [Rule; 2] = [
        Rule { name: "media", importance: 2.0, sla_s: 0.5, stretch: 1.0, limit_s: 6.0, write: false },
        Rule { name: "book", importance: 3.0, sla_s: 0.8, stretch: 0.0, limit_s: 3.0, write: true },
    ];

    #[test]
    fn each_violation_is_reported() {
        let mut report = Report::new(&RULES);
        for (trace, end) in [(1, End::Served), (2, End::Rejected), (3, End::Aborted), (4, End::Served)] {
            report.record_end(1, trace, 0.5, 0.8, end, 0.1);
        }
        report.record_executions(&BTreeMap::from([(1, 1), (3, 1), (4, 1)]));
        assert!(!report.violations.any());
        report.record_executions(&BTreeMap::from([(1, 2), (2, 1)]));
        let b = &report.violations;
        assert_eq!((b.ran_twice, b.ran_though_rejected, b.served_though_never_run), (1, 1, 1));
        report.record_end(0, 5, 0.5, 0.5, End::Unanswered, 6.1);
        assert_eq!(report.violations.unanswered, 1);
        assert_eq!(report.table().matches("BROKEN").count(), 4);
    }

    #[test]
    fn shares_are_weighted_by_importance_and_counted_at_the_second_of_sending() {
        let mut report = Report::new(&RULES);
        for second in 0..10 {
            let at = f64::from(second);
            let gone = (3..6).contains(&second);
            report.record_end(0, 0, at, 0.5, if gone { End::Rejected } else { End::Served }, 0.4);
            report.record_end(1, second as u64, at, 0.8, End::Served, if second == 9 { 0.9 } else { 0.2 });
        }
        assert!((report.share(0, 3) - 1.0).abs() < 1e-9 && (report.share(3, 6) - 0.6).abs() < 1e-9);
        assert!((report.share(9, 10) - 0.4).abs() < 1e-9);
        assert_eq!(report.recovery_s(3, 1.0, 0.95), Some(3));
        let rows = report.json();
        assert_eq!(
            (rows["rules"][0]["rejected"].as_u64(), rows["rules"][1]["late"].as_u64()),
            (Some(3), Some(1))
        );
    }
}

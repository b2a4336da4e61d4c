//! Explains the route of one txn in one scenario: the module's own reasons, and the trace of the simulated txn.

use crate::fleet::Fleet;
use crate::world::{Final, Scenario, Trace, World};
use kelpcart::explain::{Explanation, MemberExplanation};
use kelpcart::interface::MemberState;
use serde_json::{Value, json};

pub struct TxnExplanation {
    pub reasons: Explanation,
    pub trace: Trace,
}

/// Explains one txn. `after` other txns of the rule run first, so that the gateway knows what only hops reveal.
pub fn explain(
    fleet: &Fleet,
    zone: usize,
    scenario: &Scenario,
    rule: usize,
    object: u64,
    after: u64,
) -> TxnExplanation {
    let mut world = World::new(fleet, zone, scenario);
    for other in 1..=after {
        world.run_txn(rule, other.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    }
    let reasons = world.explain(rule, object);
    TxnExplanation { reasons, trace: world.run_txn(rule, object) }
}

/// The reasons that exclude a member; empty if there are none.
fn objections(s: &MemberExplanation, fraction: f64) -> Vec<String> {
    let mut all = Vec::new();
    match s.state {
        MemberState::Up => {}
        MemberState::Draining => all.push("draining".to_owned()),
        MemberState::Gone => all.push("gone".to_owned()),
    }
    if s.ejected_until.is_some() {
        all.push("silent".to_owned());
    }
    if s.cold_budget_spent {
        all.push("cold, its budget spent".to_owned());
    }
    if s.at_concurrency_limit {
        all.push("its gate is full".to_owned());
    }
    if let Some(weight) = s.weight.filter(|w| *w / 100.0 <= fraction) {
        all.push(format!("weight {weight:.0} below the object's fraction {fraction:.2}"));
    }
    all
}

fn describe_trace(fleet: &Fleet, trace: &Trace) -> Vec<String> {
    let name = |i: usize| &*fleet.members[i].id;
    let hop = |s: &crate::world::TraceHop| {
        let from = s.source.map_or(String::new(), |s| format!(", filled from {}", name(s)));
        let max_age =
            s.max_age.map_or(String::new(), |o| format!(", no copy older than {} ms", o.as_micros() / 1_000));
        format!("hop to {}{from}{max_age}: {:?}", name(s.member), s.status).to_lowercase()
    };
    let result = match trace.result {
        Some(Final::Served) => "served".to_owned(),
        Some(Final::Rejected(wait)) => {
            let wait =
                wait.map_or(String::new(), |w| format!(", to come back after {} ms", w.as_micros() / 1_000));
            format!("rejected{wait}")
        }
        Some(Final::Aborted) => "aborted".to_owned(),
        None => "no final answer".to_owned(),
    };
    trace.hops.iter().map(hop).chain([result]).collect()
}

impl TxnExplanation {
    pub fn text(&self, fleet: &Fleet) -> String {
        let r = &self.reasons;
        let mut out = String::new();
        for (what, all) in [("caches", &r.caches), ("parents", &r.parents), ("origin", &r.origins)] {
            out.push_str(&format!("{what}, in the object's order:\n"));
            for s in all {
                let objections = objections(s, r.fraction);
                let text = if objections.is_empty() { "fits".to_owned() } else { objections.join("; ") };
                out.push_str(&format!("  {}: {text}\n", s.member));
            }
        }
        if r.origin_failing {
            out.push_str("the origin is considered failing: parents are asked only for cached copies\n");
        }
        out.push_str("trace:\n");
        describe_trace(fleet, &self.trace).iter().for_each(|step| out.push_str(&format!("  {step}\n")));
        out
    }

    pub fn json(&self, fleet: &Fleet) -> Value {
        let r = &self.reasons;
        let all = |all: &[MemberExplanation]| -> Vec<Value> {
            all.iter()
                .map(|s| json!({"member": &*s.member, "against": objections(s, r.fraction), "weight": s.weight}))
                .collect()
        };
        json!({"caches": all(&r.caches), "parents": all(&r.parents), "origins": all(&r.origins),
            "fraction": r.fraction, "origin_sick": r.origin_failing, "way": describe_trace(fleet, &self.trace)})
    }
}

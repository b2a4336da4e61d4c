//! Benchmarks the search on generated fleets and suites of growing size. Members are simulated; times depend on the machine.

use crate::expect::Suite;
use crate::fleet::Fleet;
use crate::search;
use kelpcart::Time;
use kelpcart::interface::{Member, MemberState};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Instant;

#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub members: usize,
    pub expectations: usize,
    pub search: usize,
}

/// A fleet with the configuration's rules and the given number of members: one origin, one parent in ten, and boxes,
/// spread over the zones.
pub fn fleet(base: &Fleet, members: usize) -> Fleet {
    let (parent, origin) = (base.settings.parent_kind, base.settings.origin_kind);
    let edge = (0..base.names.kinds.len()).find(|k| Some(*k) != parent && Some(*k) != origin).unwrap_or(0);
    let zones = base.names.zones.len().max(1);
    let member = |i: usize| {
        let (kind, name) = match i {
            0 => (origin.unwrap_or(edge), "origin".to_owned()),
            i if i % 10 == 1 => (parent.unwrap_or(edge), format!("parent-{i}")),
            i => (edge, format!("box-{i}")),
        };
        let (id, state, started) = (Arc::from(name), MemberState::Up, None::<Time>);
        Member {
            id,
            zone: Some(i % zones),
            kind,
            cell: Some((i % 7) as u64),
            state,
            capacity: 4.0,
            started,
            remote: false,
        }
    };
    Fleet { members: (0..members).map(member).collect(), ..base.clone() }
}

pub fn suite(base: &Fleet, size: Size) -> String {
    let rules = &base.names.rules;
    let requirements = [
        json!({"never_go_to": {"trouble": "draining"}}),
        json!({"at_most_hops": 6}),
        json!({"never_fill_from": {"trouble": "down"}}),
        json!({"move_at_most": 1.0}),
        json!({"share_between": {"of": {"names": ["origin"]}, "least": 0.0, "most": 1.0}}),
    ];
    let one = |i: usize| {
        json!({"name": format!("expectation {i}"), "about": {"rule": rules[i % rules.len()], "objects": 4},
            "troubles": ["down", "draining"], "search": size.search, "must": requirements[i % requirements.len()]})
    };
    json!({"expectations": (0..size.expectations).map(one).collect::<Vec<_>>()}).to_string()
}

/// Returns the seconds taken and the number of scenarios tried.
pub fn run(base: &Fleet, size: Size) -> Result<(f64, u64), String> {
    let (fleet, text) = (fleet(base, size.members), suite(base, size));
    let suite = Suite::read(&text).map_err(|all| format!("{all:?}"))?;
    let began = Instant::now();
    let all = search::run(&fleet, &suite, &text, None);
    Ok((began.elapsed().as_secs_f64(), all.iter().map(|o| o.tried).sum()))
}

/// Returns a table with a row per size, and the same as JSON.
pub fn table(base: &Fleet, sizes: &[Size]) -> Result<(String, Value), String> {
    let mut out = String::from("members expectations search circumstances seconds\n");
    let mut rows = Vec::new();
    for &size in sizes {
        let (secs, tried) = run(base, size)?;
        let Size { members, expectations, search } = size;
        out.push_str(&format!("{members:>7} {expectations:>12} {search:>6} {tried:>13} {secs:>7.2}\n"));
        rows.push(
            json!({"members": members, "expectations": expectations, "search": search, "circumstances": tried,
            "seconds": secs}),
        );
    }
    Ok((out, json!(rows)))
}

//! Runs one suite against deliberately broken configurations: each must be caught by the expectation meant for it. Prints
//! how many are caught with no, one and two failed members.

use kelpcart_gateway::config::Config;
use kelpcart_routes::expect::Suite;
use kelpcart_routes::fleet::Fleet;
use kelpcart_routes::search;
use serde_json::{Value, json};

fn base() -> Value {
    let text =
        std::fs::read_to_string(format!("{}/../examples/config.json", env!("CARGO_MANIFEST_DIR"))).unwrap();
    let mut all: Value = serde_json::from_str(&text).unwrap();
    let member = |(name, kind, zone): (&str, &str, &str)| {
        json!({"name": name, "address": "127.0.0.1:1", "zone": zone, "type": kind, "group": 0, "status": "up",
            "weight": 4, "since_ms": 0})
    };
    let members = [
        ("a1", "box", "here"),
        ("a2", "box", "here"),
        ("a3", "box", "here"),
        ("b1", "box", "hub"),
        ("b2", "box", "hub"),
        ("p1", "parent", "hub"),
        ("p2", "parent", "hub"),
        ("o", "origin", "hub"),
    ];
    all["known"]["items"][0]["roster"]["endpoints"] = json!(members.map(member));
    all["settings"]["FamilyInfo"]["CrewByZone"] = json!([1, 1]);
    all["settings"]["Instances"] = json!(2);
    all
}

fn suite() -> String {
    let box_troubles = json!(["down", "draining"]);
    json!({"expectations": [
        {"name": "commit once", "about": {"rule": "commit"}, "troubles": ["silent", "failing"],
            "must": {"never_again_once_it_may_have_run": true}},
        {"name": "commit first at the origin", "about": {"rule": "commit"}, "search": 0,
            "must": {"go_first_to": {"kind": "origin"}}},
        {"name": "commit in doubt aborts", "about": {"rule": "commit", "objects": 1}, "search": 0,
            "while": {"members": {"silent": {"kind": "origin"}}}, "must": {"be_aborted": true}},
        {"name": "segment served in every pair of drains", "about": {"rule": "segment"}, "troubles": box_troubles,
            "must": {"be_served": true}},
        {"name": "segment retried", "about": {"rule": "segment", "objects": 6}, "troubles": ["failing"], "search": 1,
            "must": {"be_served": true}},
        {"name": "segment stays here", "about": {"rule": "segment"}, "troubles": box_troubles,
            "must": {"stay_in_zone": "here"}},
        {"name": "fills from parents", "about": {"rule": "segment"}, "troubles": box_troubles, "search": 1,
            "must": {"fill_only_from": {"kind": "parent"}}},
        {"name": "boxes share", "about": {"rule": "segment", "objects": 300}, "search": 0,
            "must": {"share_between": {"of": {"names": ["a1"]}, "least": 0.23, "most": 0.43}}},
        {"name": "a box moves its own", "about": {"rule": "segment", "objects": 300}, "troubles": box_troubles,
            "search": 1, "must": {"move_at_most": 0.45}},
        {"name": "rejection carries a retry time", "about": {"rule": "segment"}, "search": 0,
            "while": {"members": {"full": {"kind": "box"}, "down": {"kind": "parent"}, "draining": {"kind": "origin"}}},
            "must": {"come_back_within_ms": 250}},
        {"name": "rejected, not aborted", "about": {"rule": "segment"}, "search": 0,
            "while": {"members": {"full": {"kind": "box"}, "down": {"kind": "parent"}, "draining": {"kind": "origin"}}},
            "must": {"be_rejected": true}},
        {"name": "one home", "about": {"rule": "segment", "objects": 100}, "search": 0, "must": {"have_one_home": true}},
    ]})
    .to_string()
}

type Edit = (&'static str, Vec<(&'static str, Value)>, &'static str);

const LIST: &str = "/known/items/0/roster/endpoints";

fn edits() -> Vec<Edit> {
    let family = |name: &str| -> &'static str {
        match name {
            "bypass" => "/settings/FamilyInfo/BypassAllowed",
            "sibs" => "/settings/FamilyInfo/Neighbours",
            "parent" => "/settings/FamilyInfo/ParentKind",
            "origin" => "/settings/FamilyInfo/OriginKind",
            _ => "/settings/FamilyInfo/PassOn",
        }
    };
    let set = |i: usize, field: &str, value: Value| -> (&'static str, Value) {
        // Leaked, so that the paths live as long as the test.
        (Box::leak(format!("{LIST}/{i}/{field}").into_boxed_str()), value)
    };
    let gone = |i: usize| set(i, "status", json!("removed"));
    let drained = |i: usize| set(i, "status", json!("draining"));
    let zone = |i: usize, z: &str| set(i, "zone", json!(z));
    let kind = |i: usize, k: &str| set(i, "type", json!(k));
    let served = "segment served in every pair of drains";
    vec![
        ("commit repeatable", vec![("/settings/Classes/1/Repeat", json!("pure"))], "commit once"),
        ("commit keyed", vec![("/settings/Classes/1/Repeat", json!("token"))], "commit in doubt aborts"),
        (
            "commit cached like a read",
            vec![(family("pass"), json!([false, false]))],
            "commit first at the origin",
        ),
        (
            "segment unrepeatable",
            vec![("/settings/Classes/0/Repeat", json!("side_effect"))],
            "segment retried",
        ),
        ("segment a write", vec![(family("pass"), json!([true, true]))], "segment stays here"),
        ("one hop a txn", vec![("/settings/PolicyLimits/MaxAttempts", json!(1))], "segment retried"),
        (
            "no time to come back",
            vec![("/settings/PolicyLimits/RetryAfter", json!(false))],
            "rejection carries a retry time",
        ),
        ("parents of the wrong kind", vec![(family("parent"), json!(0))], "fills from parents"),
        ("no parents configured", vec![(family("parent"), Value::Null)], "fills from parents"),
        ("the origin of the wrong kind", vec![(family("origin"), json!(0))], "commit first at the origin"),
        ("no direct hops", vec![(family("bypass"), json!(false))], "commit first at the origin"),
        ("a1 removed", vec![gone(0)], "boxes share"),
        ("a1 draining", vec![drained(0)], "boxes share"),
        ("a2 removed", vec![gone(1)], "segment stays here"),
        ("a3 draining", vec![drained(2)], "segment stays here"),
        ("a2 in the hub", vec![zone(1, "hub")], "segment stays here"),
        ("a1 in the hub", vec![zone(0, "hub")], "boxes share"),
        ("two boxes removed", vec![gone(1), gone(2)], "segment stays here"),
        ("all boxes removed", vec![gone(0), gone(1), gone(2)], "segment stays here"),
        ("all boxes in the hub", vec![zone(0, "hub"), zone(1, "hub"), zone(2, "hub")], "segment stays here"),
        ("p1 removed", vec![gone(5)], "fills from parents"),
        ("p2 draining", vec![drained(6)], "fills from parents"),
        ("both parents removed", vec![gone(5), gone(6)], "fills from parents"),
        ("the origin removed", vec![gone(7)], served),
        ("the origin draining", vec![drained(7)], "commit first at the origin"),
        ("p1 listed as a box here", vec![kind(5, "box"), zone(5, "here")], "fills from parents"),
        ("a1 listed as a parent", vec![kind(0, "parent")], "boxes share"),
        ("a2 listed as the origin", vec![kind(1, "origin")], "segment stays here"),
        ("a1 ten times the size", vec![set(0, "weight", json!(40))], "boxes share"),
        ("a1 a tenth of the size", vec![set(0, "weight", json!(0.4))], "boxes share"),
        ("a2 ten times the size", vec![set(1, "weight", json!(40))], "a box moves its own"),
        ("no weights, a1 removed", vec![("/settings/Weights", json!("none")), gone(0)], "boxes share"),
    ]
}

fn fleet(changes: &[(&str, Value)]) -> Fleet {
    let mut all = base();
    for (path, value) in changes {
        *all.pointer_mut(path).unwrap() = value.clone();
    }
    Fleet::from_config(&Config::read(&all.to_string()).unwrap())
}

/// The names of the expectations that do not hold.
fn failed(fleet: &Fleet, max_search: usize) -> Vec<String> {
    let text = suite();
    let all = search::run(fleet, &Suite::read(&text).unwrap(), &text, Some(max_search));
    all.into_iter().filter(|o| !o.passes()).map(|o| o.name).collect()
}

#[test]
fn every_broken_configuration_is_caught_by_the_expectation_meant_for_it() {
    assert_eq!(failed(&fleet(&[]), 2), Vec::<String>::new(), "false failure on the unbroken configuration");
    let (mut caught, mut missed, edits) = ([0; 3], Vec::new(), edits());
    for (name, changes, meant) in &edits {
        let broken = fleet(changes);
        for (max_search, n) in caught.iter_mut().enumerate() {
            let names = failed(&broken, max_search);
            let found = names.iter().any(|f| f == meant);
            *n += usize::from(found);
            if max_search == 2 && !found {
                missed.push(format!("{name}: {names:?}"));
            }
        }
    }
    println!("of {} caught with 0, 1 and 2 failed members: {caught:?}", edits.len());
    assert!(missed.is_empty(), "{missed:#?}");
    assert!(edits.len() >= 30 && caught[0] < caught[2]);
}

//! Suites against configurations: failures that need two failed members are found and named, vacuous expectations are
//! reported, and verdicts are reproducible.

use kelpcart_gateway::config::Config;
use kelpcart_routes::expect::{FailureMode, Suite};
use kelpcart_routes::fleet::Fleet;
use kelpcart_routes::report;
use kelpcart_routes::search::{self, ExpectationResult, Verdict};
use quickcheck::{Gen, QuickCheck};
use serde_json::{Value, json};

fn example(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../examples/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

/// The example configuration with the values at some paths changed.
fn fleet(changes: &[(&str, Value)]) -> Fleet {
    let mut all: Value = serde_json::from_str(&example("config.json")).unwrap();
    for (path, value) in changes {
        *all.pointer_mut(path).unwrap() = value.clone();
    }
    Fleet::from_config(&Config::read(&all.to_string()).unwrap())
}

/// A fleet with the given numbers of boxes and parents and one origin, all in one zone.
fn large(boxes: usize, parents: usize) -> Fleet {
    let member = |name: String, kind: &str| {
        json!({"name": name, "address": "127.0.0.1:1", "zone": "here", "type": kind, "group": 0, "status": "up",
            "weight": 4, "since_ms": 0})
    };
    let boxes = (0..boxes).map(|i| member(format!("box-{i}"), "box"));
    let parents = (0..parents).map(|i| member(format!("parent-{i}"), "parent"));
    let all: Vec<Value> = boxes.chain(parents).chain([member("origin".to_owned(), "origin")]).collect();
    fleet(&[("/known/items/0/roster/endpoints", json!(all))])
}

fn run(fleet: &Fleet, expectations: Value, max_search: Option<usize>) -> Vec<ExpectationResult> {
    let text = json!({"hosts": {"host1.example.org": "here"}, "expectations": expectations}).to_string();
    search::run(fleet, &Suite::read(&text).unwrap(), &text, max_search)
}

fn one(fleet: &Fleet, expectation: Value) -> Verdict {
    run(fleet, json!([expectation]), None).remove(0).verdict
}

fn expect(rule: &str, search: usize, must: Value) -> Value {
    json!({"name": "n", "about": {"rule": rule}, "search": search, "must": must})
}

#[test]
fn the_example_suite_holds_and_fails_by_name_after_one_edit() {
    let text = example("routes.json");
    let suite = Suite::read(&text).unwrap();
    let all = search::run(&fleet(&[]), &suite, &text, None);
    assert!(all.iter().all(ExpectationResult::passes), "{}", report::text(&all, "routes.json"));
    // Without direct hops, nothing can serve while both boxes are absent.
    let edited = fleet(&[("/settings/FamilyInfo/BypassAllowed", json!(false))]);
    let all = search::run(&edited, &suite, &text, None);
    let failed: Vec<&str> = all.iter().filter(|o| !o.passes()).map(|o| o.name.as_str()).collect();
    assert!(failed.contains(&"a segment is served while both boxes are drained or down"), "{failed:?}");
}

#[test]
fn a_failure_that_needs_two_boxes_is_found_and_names_both() {
    let edited = fleet(&[("/settings/FamilyInfo/BypassAllowed", json!(false))]);
    let mut served = expect("segment", 1, json!({"be_served": true}));
    served["troubles"] = json!(["draining"]);
    assert_eq!(one(&edited, served.clone()), Verdict::Held);
    served["search"] = json!(2);
    let Verdict::Broken { failures, why, .. } = one(&edited, served.clone()) else { panic!("not found") };
    let both = [("box-a".to_owned(), FailureMode::Draining), ("box-b".to_owned(), FailureMode::Draining)];
    assert_eq!(failures, both);
    assert!(why.contains("rejected"), "{why}");
    // Without the edit the two boxes do not break it: the counterexample names other members.
    let Verdict::Broken { failures, .. } = one(&fleet(&[]), served) else { panic!("parent and origin") };
    assert_ne!(failures, both);
}

#[test]
fn the_smallest_scenario_is_reported() {
    // One parent that is down is enough, although combinations of two are searched.
    let must = json!({"fill_only_from": {"names": ["parent"]}});
    let Verdict::Broken { failures, trace, .. } = one(&fleet(&[]), expect("segment", 2, must)) else {
        panic!()
    };
    assert_eq!(failures.len(), 1, "{failures:?}");
    assert_eq!(failures[0].0, "parent");
    assert!(trace.iter().any(|s| s.contains("filled from origin")), "{trace:?}");
}

#[test]
fn an_unrepeatable_txn_is_not_retried_and_a_violation_is_detected() {
    let held = one(&fleet(&[]), expect("commit", 2, json!({"never_again_once_it_may_have_run": true})));
    assert_eq!(held, Verdict::Held);
    // A repeatable txn is retried, so it breaks the same expectation.
    let mut other = expect("segment", 1, json!({"never_again_once_it_may_have_run": true}));
    other["troubles"] = json!(["failing"]);
    assert!(matches!(one(&fleet(&[]), other), Verdict::Broken { .. }));
    let mut aborted = expect("commit", 0, json!({"be_aborted": true}));
    aborted["while"] = json!({"members": {"silent": {"kind": "origin"}}});
    // Only the first txn: later ones are answered at once because the origin is known to be silent, and have not run.
    aborted["about"]["objects"] = json!(1);
    assert_eq!(one(&fleet(&[]), aborted.clone()), Verdict::Held);
    aborted["must"] = json!({"be_rejected": true});
    assert!(matches!(one(&fleet(&[]), aborted), Verdict::Broken { .. }));
}

#[test]
fn an_expectation_that_is_never_exercised_fails_as_vacuous() {
    let selector = json!({"never_go_to": {"trouble": "full"}});
    let mut e = expect("segment", 1, selector);
    e["troubles"] = json!(["down"]);
    assert_eq!(one(&fleet(&[]), e), Verdict::Vacuous);
    // Every txn is served here, so none can be rejected.
    assert_eq!(one(&fleet(&[]), expect("segment", 0, json!({"be_rejected": true}))), Verdict::Vacuous);
}

#[test]
fn contradictory_expectations_are_both_judged_and_the_broken_one_is_named() {
    let all = run(
        &fleet(&[]),
        json!([
            {"name": "first", "about": {"rule": "segment"}, "search": 0, "must": {"go_first_to": {"kind": "box"}}},
            {"name": "second", "about": {"rule": "segment"}, "search": 0, "must": {"never_go_to": {"kind": "box"}}},
        ]),
        None,
    );
    assert!(all[0].passes() && !all[1].passes());
    let xml = report::junit(&all, "a <suite>");
    assert!(
        xml.contains("a &lt;suite&gt;")
            && xml.contains("failures=\"1\"")
            && xml.contains("name=\"second\"><failure")
    );
}

#[test]
fn an_unknown_name_is_reported_with_a_suggestion() {
    let unusable_reason = |e: Value| match one(&fleet(&[]), e) {
        Verdict::Unusable(why) => why,
        other => panic!("{other:?}"),
    };
    assert_eq!(
        unusable_reason(expect("segmnet", 0, json!({"be_served": true}))),
        "the configuration has no rule segmnet; did you mean segment?"
    );
    let why = unusable_reason(expect("segment", 0, json!({"never_go_to": {"names": ["box-c"]}})));
    assert!(why.starts_with("the configuration has no member box-c; did you mean box-"), "{why}");
    let mut unknown_zone = expect("segment", 0, json!({"be_served": true}));
    unknown_zone["about"]["near"] = json!("host9.example.org");
    assert!(unusable_reason(unknown_zone).contains("no host and no zone"));
    let mut twice = expect("segment", 0, json!({"be_served": true}));
    twice["while"] = json!({"members": {"down": {"kind": "box"}, "cold": {"names": ["box-a"]}}});
    assert_eq!(unusable_reason(twice), "box-a is in two troubles at once");
}

#[test]
fn all_errors_of_the_file_are_reported_at_once_with_their_lines() {
    let text = "{\"expectations\": [\n{\"name\": \"a\", \"about\": {\"rule\": \"x\", \"objects\": 0}, \"must\": {\"be_served\": false}},\n\
        {\"name\": \"a\", \"about\": {\"rule\": \"x\", \"object\": \"zz\"}, \"search\": 9, \"must\": {\"move_at_most\": 2}}]}";
    let faults: Vec<String> = Suite::read(text).unwrap_err().iter().map(ToString::to_string).collect();
    assert_eq!(faults.len(), 6, "{faults:#?}");
    assert!(faults[0].starts_with("line 2: a: objects is 0"));
    let half = &example("routes.json")[..300];
    assert!(Suite::read(half).unwrap_err()[0].to_string().contains("EOF"));
    let unknown =
        Suite::read(r#"{"expectations": [{"name": "ü", "about": {"rule": "x"}, "must": {"fly": 1}}]}"#);
    assert!(unknown.unwrap_err()[0].to_string().contains("unknown variant"));
}

/// The verdict and its report must not depend on the order in which threads finish.
fn is_reproducible(seed: u8) -> bool {
    let fleet = large(3 + usize::from(seed % 4), 2);
    let musts = [
        json!({"be_served": true}),
        json!({"at_most_hops": 1}),
        json!({"fill_only_from": {"kind": "parent"}}),
    ];
    let all = musts.map(|must| expect("segment", 2, must));
    let rendered = || {
        format!("{:?}", run(&fleet, json!([all[0]]), None))
            + &format!("{:?}", one(&fleet, all[usize::from(seed) % 3].clone()))
    };
    rendered() == rendered()
}

#[test]
fn the_same_input_has_the_same_verdict() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(5, 7))
        .tests(8)
        .quickcheck(is_reproducible as fn(u8) -> bool);
}

#[test]
fn a_drained_member_is_avoided_in_fleets_of_every_size_unless_the_list_is_late() {
    for boxes in [1, 5, 40] {
        let fleet = large(boxes, 2);
        let mut e = expect("segment", 1, json!({"never_go_to": {"trouble": "draining"}}));
        e["while"] = json!({"members": {"draining": {"names": ["box-0"]}}});
        assert_eq!(one(&fleet, e.clone()), Verdict::Held, "{boxes}");
        // With a late list the gateway still goes there, and the expectation fails.
        e["while"]["list_late"] = json!(true);
        assert!(matches!(one(&fleet, e), Verdict::Broken { .. }), "{boxes}");
    }
}

#[test]
fn a_purge_limits_the_age_of_requested_copies() {
    use kelpcart_routes::world::{Scenario, World};
    let fleet = large(4, 2);
    let scenario = Scenario { purged: true, ..Scenario::default() };
    let mut world = World::new(&fleet, fleet.settings.zone, &scenario);
    for object in 1..20 {
        let trace = world.run_txn(0, object);
        assert!(!trace.hops.is_empty() && trace.hops.iter().all(|s| s.max_age.is_some()), "{trace:?}");
    }
}

/// The explanation of a txn matches what the module then does: the first hop goes to the first cache without a reason
/// against it, and is filled from the first such parent.
fn explanation_matches(cases: Vec<(u8, u8, u8, u64)>) -> bool {
    use kelpcart_routes::explain::explain;
    use kelpcart_routes::world::Scenario;
    let fleet = large(5, 3);
    cases.into_iter().all(|(a, b, trouble, object)| {
        let all = [FailureMode::Down, FailureMode::Draining, FailureMode::Silent, FailureMode::Full];
        let failures = [a, b].map(|i| (usize::from(i) % fleet.members.len(), all[usize::from(trouble) % 4]));
        let scenario = Scenario { failures: failures.into(), ..Scenario::default() };
        let explanation = explain(&fleet, fleet.settings.zone, &scenario, 0, object, 30);
        let fits = |s: &&kelpcart::explain::MemberExplanation| {
            let by_weight = s.weight.is_none_or(|w| w / 100.0 > explanation.reasons.fraction);
            let up = s.state == kelpcart::interface::MemberState::Up && s.ejected_until.is_none();
            up && !s.cold_budget_spent && by_weight
        };
        let name = |i: usize| fleet.members[i].id.clone();
        let Some(first) = explanation.trace.hops.first() else { return true };
        let cache = explanation.reasons.caches.iter().find(fits).map(|s| s.member.clone());
        let parent = explanation.reasons.parents.iter().find(fits).map(|s| s.member.clone());
        // A probe may go to a silent member; without a usable cache the hop goes directly to the parent.
        let is_probe = |i: usize| scenario.failures.get(&i) == Some(&FailureMode::Silent);
        let to_cache = cache.is_none_or(|c| c == name(first.member)) || is_probe(first.member);
        let from_parent = first.source.is_none_or(|s| parent.is_none_or(|p| p == name(s)) || is_probe(s));
        to_cache && from_parent
    })
}

#[test]
fn the_explanation_matches_what_the_module_does() {
    type Cases = Vec<(u8, u8, u8, u64)>;
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, 7))
        .tests(40)
        .quickcheck(explanation_matches as fn(Cases) -> bool);
}

#[test]
fn an_explanation_names_the_reasons_against_each_member() {
    use kelpcart_routes::explain::explain;
    use kelpcart_routes::world::Scenario;
    let fleet = large(3, 2);
    let failures = ["box-0=draining", "parent-1=silent"].map(|t| fleet.parse_failure(t).unwrap()).into();
    let scenario = Scenario { failures, purged: true, ..Scenario::default() };
    let explanation = explain(&fleet, fleet.settings.zone, &scenario, 0, 77, 40);
    let text = explanation.text(&fleet);
    assert!(text.contains("box-0: draining") && text.contains("parent-1: silent"), "{text}");
    assert!(text.contains("no copy older than") && text.contains("served"), "{text}");
    assert!(fleet.parse_failure("box-9=down").unwrap_err().contains("did you mean box-"));
    assert!(fleet.parse_failure("box-0=tired").unwrap_err().contains("no trouble"));
}

#[test]
fn an_added_box_moves_only_its_share_of_objects_and_no_parents() {
    use kelpcart_routes::diff::diff;
    let (old, new) = (large(4, 2), large(5, 2));
    let changes = diff(&old, &new, None, 400);
    assert_eq!((changes.added.as_slice(), changes.removed.len()), (&["box-4".to_owned()][..], 0));
    let baseline = changes.moved.iter().find(|m| m.rule == "segment" && m.down.is_none()).unwrap();
    // One object in five moves to the new box; its fill parent does not change.
    assert!(
        (0.13..0.27).contains(&baseline.cache) && baseline.parent < 1e-9 && baseline.lost < 1e-9,
        "{baseline:?}"
    );
    let unchanged = diff(&old, &old, None, 100);
    assert!(unchanged.moved.iter().all(|m| m.cache < 1e-9 && m.parent < 1e-9) && unchanged.added.is_empty());
}

#[test]
fn the_diff_names_the_expectation_whose_verdict_changes() {
    use kelpcart_routes::diff::diff;
    let text = example("routes.json");
    let suite = Suite::read(&text).unwrap();
    let edited = fleet(&[("/settings/FamilyInfo/BypassAllowed", json!(false))]);
    let changes = diff(&fleet(&[]), &edited, Some((&suite, &text)), 50);
    let name = "a segment is served while both boxes are drained or down";
    assert!(changes.verdicts.contains(&(name.to_owned(), true, false)), "{:?}", changes.verdicts);
    assert!(changes.text().contains("holds before, fails now"));
}

#[test]
fn a_returned_parent_gets_its_objects_back_slowly_and_an_expectation_detects_it() {
    let fleet = large(3, 2);
    let mut e = expect("segment", 0, json!({"fill_only_from": {"names": ["parent-0"]}}));
    e["while"] = json!({"members": {"returned": {"names": ["parent-1"]}}});
    e["about"]["objects"] = json!(60);
    // At the standby share some of its objects already go to it, though most go to the other parent.
    let Verdict::Broken { why, .. } = one(&fleet, e.clone()) else { panic!("no fill from parent-1") };
    assert!(why.contains("parent-1"), "{why}");
    // Had it never been gone, it would fill about half of the objects.
    use kelpcart_routes::world::{Scenario, World};
    let fill_count = |failure: Option<FailureMode>| {
        let at = fleet.members.iter().position(|m| &*m.id == "parent-1").unwrap();
        let failures = failure.map(|t| (at, t)).into_iter().collect();
        let scenario = Scenario { failures, ..Scenario::default() };
        let mut world = World::new(&fleet, fleet.settings.zone, &scenario);
        let filled = |i: &u64| world.run_txn(0, i * 7_919).hops.iter().any(|s| s.source == Some(at));
        (1..200u64).filter(filled).count()
    };
    let (baseline, returned) = (fill_count(None), fill_count(Some(FailureMode::Returned)));
    assert!(baseline > 70 && returned < baseline, "{baseline} {returned}");
}

//! Settings as they come, and as they come where something is not told.

use kelpcart_settings::settings;
use serde_json::{Value, json};

fn told() -> Value {
    json!({
        "Instances": 30, "Locality": 1, "Weights": "nominal", "Discovery": "push", "TickUs": 2000,
        "Classes": [{"Name": "reads", "Repeat": "pure", "SloUs": 500_000}],
        "FamilyInfo": {"CrewByZone": [12, 18], "ParentKind": -1, "OriginKind": 2, "Neighbours": "off",
            "GoneEverywhereUs": 6_000_000},
        "PolicyLimits": {"Cancel": true, "RetryAfter": true, "MaxRetryAfterUs": 2_000_000, "MaxAttempts": 6,
            "ConnectTimeoutUs": 400_000},
        "Contract": {"AskWithinUs": 9_000_000, "ColdFrom": 0.2, "ColdUs": 9_000_000, "FallMultiple": 2.0,
            "TipAfterUs": 3_000_000},
    })
}

fn in_zone(crew: Option<Value>) -> u32 {
    let mut all = told();
    let family = all["FamilyInfo"].as_object_mut().unwrap();
    family.remove("CrewByZone");
    family.extend(crew.map(|crew| ("CrewByZone".to_owned(), crew)));
    settings(all.as_object().unwrap()).unwrap().zone_gateways
}

#[test]
fn where_the_zones_gateways_are_not_told_all_may_share_its_caches() {
    assert_eq!(in_zone(Some(json!([12, 18]))), 18);
    // Else each would take a cold cache's budget for its own.
    for untold in [None, Some(json!([12])), Some(json!([12, 0])), Some(Value::Null)] {
        assert_eq!(in_zone(untold), 30);
    }
}

#[test]
fn what_is_there_has_to_be_told_in_full() {
    let lacks = |path: &str, value: Value| {
        let mut all = told();
        let (way, last) = path.rsplit_once('/').unwrap();
        all.pointer_mut(way).unwrap()[last] = value;
        settings(all.as_object().unwrap()).unwrap_err()
    };
    assert!(lacks("/FamilyInfo/ParentKind", json!(1)).contains("ParentColdFrom"));
    assert!(lacks("/Classes/0/Repeat", json!("token")).contains("DedupScope"));
    assert!(lacks("/Classes/0/Repeat", json!("twice")).contains("twice"));
}

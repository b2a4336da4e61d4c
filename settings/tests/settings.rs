//! Parsing of complete settings and of settings with missing parts.

use kelpcart_settings::settings;
use serde_json::{Value, json};

fn complete() -> Value {
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

fn zone_gateways(count: Option<Value>) -> u32 {
    let mut all = complete();
    let family = all["FamilyInfo"].as_object_mut().unwrap();
    family.remove("CrewByZone");
    family.extend(count.map(|count| ("CrewByZone".to_owned(), count)));
    settings(all.as_object().unwrap()).unwrap().zone_gateways
}

#[test]
fn without_a_gateway_count_for_the_zone_all_gateways_may_share_its_caches() {
    assert_eq!(zone_gateways(Some(json!([12, 18]))), 18);
    // Otherwise each gateway would claim the whole cold-start budget of a cache.
    for missing in [None, Some(json!([12])), Some(json!([12, 0])), Some(Value::Null)] {
        assert_eq!(zone_gateways(missing), 30);
    }
}

#[test]
fn required_settings_must_be_complete() {
    let error_with = |path: &str, value: Value| {
        let mut all = complete();
        let (parent, last) = path.rsplit_once('/').unwrap();
        all.pointer_mut(parent).unwrap()[last] = value;
        settings(all.as_object().unwrap()).unwrap_err()
    };
    assert!(error_with("/FamilyInfo/ParentKind", json!(1)).contains("ParentColdFrom"));
    assert!(error_with("/Classes/0/Repeat", json!("token")).contains("DedupScope"));
    assert!(error_with("/Classes/0/Repeat", json!("twice")).contains("twice"));
}

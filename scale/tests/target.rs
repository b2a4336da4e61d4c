//! The committed target and schema are valid and current, and inconsistent targets are rejected with the field's path.

use kelpcart_scale::target::Target;

fn read(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../deploy/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn the_committed_target_is_valid_and_its_schema_is_current() {
    let target = Target::read(&read("target.json")).unwrap();
    assert_eq!(read("target.schema.json").trim(), Target::schema());
    assert_eq!(target.txns_per_s(), 1_200.0);
    assert_eq!(target.megabytes_per_s(), 145.3125);
    assert_eq!(target.purges_missed(), 540_000.0);
}

/// Each of these values alone makes the file invalid; the error names the field.
#[test]
fn inconsistent_values_are_rejected_with_the_field() {
    let cases = [
        ("gateways", "0", "gateways"),
        ("caches", "0", "caches"),
        ("caches", "29", "zones"),
        ("regions", "0", "regions"),
        ("sites", "10", "sites"),
        ("sites", "8001", "sites"),
        ("zones", "10", "zones"),
        ("traffic/requests_per_s", "0", "traffic.requests_per_s"),
        ("traffic/bits_per_s", "1000", "traffic.bits_per_s"),
        ("traffic/objects", "0", "traffic.objects"),
        ("purges/per_s", "-1", "purges.per_s"),
        ("purges/within_ms", "500", "purges.within_ms"),
        ("changes/per_day", "-1", "changes.per_day"),
        ("changes/within_ms", "400", "changes.within_ms"),
        ("control/core_part", "0", "control.core_part"),
        ("control/core_part", "1.5", "control.core_part"),
        ("control/memory", "0", "control.memory"),
        ("control/bytes_in_per_s", "0", "control.bytes_in_per_s"),
        ("control/bytes_out_per_s", "0", "control.bytes_out_per_s"),
        ("control/machines", "0", "control.machines"),
        ("faults/failures_per_day", "-1", "faults.failures_per_day"),
        ("faults/restarts_per_day", "-1", "faults.restarts_per_day"),
        ("faults/racks_per_year", "-1", "faults.racks_per_year"),
        ("faults/zones_per_year", "-1", "faults.zones_per_year"),
        ("faults/region_away_s", "-1", "faults.region_away_s"),
        ("assumed/feed_period_ms", "0", "assumed.feed_period_ms"),
        ("assumed/feed_period_ms", "3900", "purges.within_ms"),
        ("assumed/largest_site_gateways", "24", "assumed.largest_site_gateways"),
        ("assumed/largest_site_gateways", "7672", "assumed.largest_site_gateways"),
        ("assumed/gateways_per_rack", "0", "assumed.gateways_per_rack"),
        ("assumed/release_s", "0", "assumed.release_s"),
        ("assumed/data_path_cores", "0", "assumed.data_path_cores"),
        ("assumed/machine_cores", "0", "assumed.machine_cores"),
    ];
    for (path, value, field) in cases {
        let mut file: serde_json::Value = serde_json::from_str(&read("target.json")).unwrap();
        *file.pointer_mut(&format!("/{path}")).unwrap() = serde_json::from_str(value).unwrap();
        let why = Target::read(&file.to_string()).expect_err(path).to_string();
        assert!(why.starts_with(&format!("{field}: ")), "{path}: {why}");
    }
}

#[test]
fn unknown_fields_are_rejected() {
    let mut file: serde_json::Value = serde_json::from_str(&read("target.json")).unwrap();
    file["control"]["cores"] = 1.into();
    assert!(Target::read(&file.to_string()).unwrap_err().to_string().contains("cores"));
}

//! The example files in deploy/ are accepted by the program, and the schema there is current.

use kelpcart::Time;
use kelpcart_feed::Feed;
use kelpcart_fleet::settings::Fleet;
use serde_json::{Value, json};

fn read(name: &str) -> String {
    std::fs::read_to_string(format!("{}/../deploy/{name}", env!("CARGO_MANIFEST_DIR"))).unwrap()
}

#[test]
fn the_example_file_is_valid_and_the_schema_is_current() {
    Fleet::read(&read("fleet.json")).unwrap();
    assert_eq!(read("fleet.schema.json").trim(), Fleet::schema());
}

#[test]
fn a_gateway_and_a_hub_of_one_installation_can_start_from_the_examples() {
    let (gateway, hub) = (Fleet::read(&read("feed.json")).unwrap(), Fleet::read(&read("hub.json")).unwrap());
    for file in [&gateway, &hub] {
        let feed = file.feed.as_ref().unwrap();
        Feed::new(feed, &file.keys, &file.gateway, 1, 1, Time::from_micros(1)).unwrap();
    }
    assert_eq!(gateway.keys, hub.keys);
    let (of_gateway, of_hub) = (gateway.feed.unwrap(), hub.feed.unwrap());
    assert_eq!((of_gateway.control_hub_index(), of_hub.control_hub_index()), (None, Some(0)));
    let same = |f: &kelpcart_feed::settings::Feed| (f.name.clone(), f.streams.clone(), f.hubs.clone());
    assert_eq!(same(&of_gateway), same(&of_hub));
    let sites = of_hub.control.unwrap().sites;
    assert!(sites.contains(&of_gateway.site) && gateway.fleet == of_gateway.site);
}

#[test]
fn an_invalid_feed_setting_is_reported_by_its_field() {
    let refused = |of: &str, path: &str, value: Value| {
        let mut file: Value = serde_json::from_str(&read(of)).unwrap();
        *file.pointer_mut(path).unwrap() = value;
        Fleet::read(&file.to_string()).err().map(|why| why.to_string()).unwrap_or_default()
    };
    let cases = [
        ("feed.json", "/seeds", json!([]), "seeds: "),
        ("feed.json", "/feed/own", json!(2), "feed.own: "),
        ("feed.json", "/feed/streams/1/name", json!("east"), "feed.streams[1].name: "),
        ("feed.json", "/feed/hubs/2/public", json!("00"), "feed.hubs[2].public: "),
        ("hub.json", "/feed/control/name", json!("nobody"), "gateway: "),
        ("hub.json", "/feed/control/secret", json!("0"), "feed.control.secret: "),
        ("hub.json", "/gateway", json!("other"), "gateway: "),
    ];
    for (of, path, value, starts) in cases {
        let why = refused(of, path, value);
        assert!(why.starts_with(starts), "{of} {path}: {why:?}");
    }
}

//! Damaged, foreign and oversized input is rejected and changes nothing.

use kelpcart::Time;
use kelpcart_fleet::list::{List, ListError};
use kelpcart_fleet::seal::{Keys, MAX_DATAGRAM_BYTES, OpenError};
use kelpcart_fleet::settings::{Fleet, Key};
use kelpcart_fleet::wire::{Fetch, Packet, Part, Payload};
use quickcheck::quickcheck;
use serde_json::json;

fn keys(fleet: &str, id: u32, byte: &str) -> Keys {
    Keys::new(fleet, &[Key { id, secret: byte.repeat(32) }]).unwrap()
}

fn packet() -> Packet {
    let payload = Payload::Fetch(Fetch { after: 7, snapshot: false, to: 0, chunks: vec![0, 1] });
    Packet { from: "g1".to_owned(), run: 5, to_run: 6, number: 1, parts: vec![Part::from(payload)] }
}

#[test]
fn only_packets_signed_with_the_fleets_key_are_opened() {
    let (ours, sealed) = (keys("east", 1, "ab"), keys("east", 1, "ab").seal(&packet()));
    assert_eq!(ours.open(&sealed), Ok(packet()));
    assert_eq!(keys("west", 1, "ab").open(&sealed), Err(OpenError::Mac));
    assert_eq!(keys("east", 1, "cd").open(&sealed), Err(OpenError::Mac));
    assert_eq!(keys("east", 2, "ab").open(&sealed), Err(OpenError::UnknownKey));
    assert_eq!(ours.open(&sealed[..20]), Err(OpenError::Length));
    assert_eq!(ours.open(&vec![1; MAX_DATAGRAM_BYTES + 1]), Err(OpenError::Length));
    let both = [Key { id: 2, secret: "cd".repeat(32) }, Key { id: 1, secret: "ab".repeat(32) }];
    assert_eq!(Keys::new("east", &both).unwrap().open(&sealed), Ok(packet()));
}

quickcheck! {
    fn a_changed_bit_is_detected(at: usize, bit: u8) -> bool {
        let mut sealed = keys("east", 1, "ab").seal(&packet());
        let at = at % sealed.len();
        sealed[at] ^= 1 << (bit % 8);
        keys("east", 1, "ab").open(&sealed).is_err()
    }

    fn damaged_lists_never_panic_and_change_nothing(text: Vec<u8>, to: u64, digest: u64) -> bool {
        let mut list = List::new(0, 65_536);
        let before = (list.version(), list.digest(), list.len());
        _ = list.replace(Time::default(), &text, to, digest);
        _ = list.apply(Time::default(), &text);
        before == (list.version(), list.digest(), list.len())
    }

    /// Lists of the same version are equal, whether all events were applied or a snapshot and the rest.
    fn a_relayed_list_equals_the_original(changes: Vec<(u8, bool)>, at: usize) -> bool {
        let now = Time::default();
        let (mut first, mut second) = (List::new(0, 1 << 20), List::new(0, 1 << 20));
        let event = |no: usize, (name, up): (u8, bool)| {
            let status = if up { "up" } else { "removed" };
            let entry = json!({"name": format!("c{}", name % 8), "status": status});
            json!({"no": no, "roster": {"snapshot": false, "endpoints": [entry]}}).to_string()
        };
        let lines: Vec<String> = changes.iter().enumerate().map(|(i, c)| event(i + 1, *c)).collect();
        let at = if lines.is_empty() { 0 } else { at % lines.len() };
        for (i, line) in lines.iter().enumerate() {
            assert!(first.apply(now, line.as_bytes()).unwrap());
            if i == at {
                let (digest, (to, text)) = (first.digest(), first.snapshot(now, 0).unwrap());
                let text = text.to_vec();
                second.replace(now, &text, to, digest).unwrap();
                assert!(second.replace(now, &text, to, digest ^ 1).is_err());
            } else if i > at {
                second.apply(now, line.as_bytes()).unwrap();
            }
        }
        lines.is_empty() || first.digest() == second.digest() && first.len() == second.len()
    }
}

#[test]
fn an_event_after_a_gap_is_rejected() {
    let mut list = List::new(4, 1_000);
    let line = |no: u64| json!({"no": no, "recall": {"lot": 1, "issued": 5}}).to_string();
    let now = Time::default();
    assert_eq!(list.apply(now, line(6).as_bytes()), Err(ListError::Gap(6, 4)));
    assert_eq!(list.apply(now, line(4).as_bytes()), Ok(false));
    assert_eq!(list.apply(now, line(5).as_bytes()), Ok(true));
    assert_eq!(
        list.apply(now, format!("{{\"no\":6,\"x\":\"{}\"}}", "y".repeat(1_000)).as_bytes()),
        Err(ListError::TooLarge)
    );
}

#[test]
fn an_invalid_setting_is_reported_by_its_field() {
    let good = json!({"fleet": "east", "gateway": "g1", "listen": "127.0.0.1:7600", "seeds": ["127.0.0.1:7601"],
        "keys": [{"id": 1, "secret": "ab".repeat(32)}]});
    assert!(Fleet::read(&good.to_string()).is_ok());
    for (path, value, prefix) in [
        ("/fleet", json!(""), "fleet: must have 1 to 64"),
        ("/listen", json!("127.0.0.1:0"), "listen: "),
        ("/listen", json!("[::1]:7600"), "advertise: "),
        ("/seeds", json!([]), "seeds: "),
        ("/keys", json!([]), "keys: "),
        ("/keys/0/secret", json!("abc"), "keys[0].secret: "),
    ] {
        let mut bad = good.clone();
        *bad.pointer_mut(path).unwrap() = value;
        let why = Fleet::read(&bad.to_string()).unwrap_err().to_string();
        assert!(why.starts_with(prefix), "{why}");
    }
    let mut bad = good.clone();
    bad["relays"] = json!({"askers": 0});
    assert!(Fleet::read(&bad.to_string()).unwrap_err().to_string().starts_with("relays.askers: "));
}

//! Responses of a hub to direct requests: no range is signed without its events, and responses are rate-limited.

use kelpcart::hash_prefix::object_hash;
use kelpcart::{Span, Time};
use kelpcart_feed::name_codec;
use kelpcart_feed::seal::Keys;
use kelpcart_feed::settings::{self, Key};
use kelpcart_feed::wire::{Bundle, Packet, Payload, Range, RetransmitRequest, Subscribe};
use kelpcart_feed::{Feed, Output, VERSION};
use prost::Message;
use ring::signature::{Ed25519KeyPair, KeyPair};
use serde_json::json;
use std::net::SocketAddr;

struct HubFixture {
    hub: Feed,
    keys: Keys,
    now: Time,
    token: u64,
}

fn client_address() -> SocketAddr {
    "127.0.0.1:7".parse().unwrap()
}

impl HubFixture {
    /// A hub that has received a purge, an event of 2,000 bytes, and a purge.
    fn new() -> HubFixture {
        let secret = "07".repeat(32);
        let pair = Ed25519KeyPair::from_seed_unchecked(&settings::decode_hex(&secret).unwrap()).unwrap();
        let public: String = pair.public_key().as_ref().iter().map(|b| format!("{b:02x}")).collect();
        let file: settings::Feed = serde_json::from_value(json!({
            "name": "sea", "site": "control",
            "streams": [{"name": "list", "address": "127.0.0.1:80"}],
            "hubs": [{"name": "hub", "address": "127.0.0.1:9", "public": public}],
            "control": {"name": "hub", "secret": secret, "sites": ["shore"]},
        }))
        .unwrap();
        let key = [Key { id: 1, secret: "17".repeat(32) }];
        let now = Time::from_micros(1_000_000_000);
        let mut hub = Feed::new(&file, &key, "hub", 1, 2, now).unwrap();
        let purge =
            |no: u64| json!({"no": no, "recall": {"item": format!("{no:016x}"), "issued": 1_000 + no}});
        let event = json!({"no": 2, "roster": {"index": 0, "endpoints": [{"name": "x".repeat(2_000)}]}});
        for line in [purge(1), event, purge(3)] {
            hub.handle_line(now, 0, line.to_string().as_bytes()).unwrap();
        }
        assert!(hub.handle_last(now, 0, 3));
        HubFixture { hub, keys: Keys::new("sea", &key).unwrap(), now, token: 0 }
    }

    /// Sends a payload and returns the immediate responses.
    fn send(&mut self, payload: Payload) -> Vec<Payload> {
        let bytes = self.keys.seal(VERSION, &Packet { payload: Some(payload) }.encode_to_vec());
        self.hub.handle_datagram(self.now, client_address(), &bytes);
        let mut all = Vec::new();
        while let Some(out) = self.hub.poll() {
            if let Output::Datagram(to, bytes) = out
                && to == client_address()
            {
                let body = self.keys.open(VERSION, &bytes).unwrap();
                all.extend(Packet::decode(body).unwrap().payload);
            }
        }
        all
    }

    fn fetch(&mut self, first: u64, last: u64, offset: u32) -> Option<Bundle> {
        self.now += Span::from_millis(250);
        let ranges = vec![Range { stream: 0, first, last, offset }];
        let fetch = RetransmitRequest {
            ranges,
            site: "shore".to_owned(),
            token: self.token,
            ..RetransmitRequest::default()
        };
        match self.send(Payload::RetransmitRequest(fetch.clone())).as_slice() {
            [Payload::Challenge(token)] => {
                self.token = *token;
                self.fetch(first, last, offset)
            }
            [Payload::Retransmission(bytes)] => Some(Bundle::decode(&bytes[..bytes.len() - 64]).unwrap()),
            [Payload::Unavailable(true)] => None,
            other => panic!("{other:?}"),
        }
    }
}

fn ranges(bundle: &Bundle) -> Vec<(usize, u64, u64)> {
    bundle.ranges().collect()
}

#[test]
fn no_range_is_signed_without_its_events() {
    let mut fixture = HubFixture::new();
    let all = fixture.fetch(1, 3, 0).unwrap();
    assert_eq!(ranges(&all), [(0, 1, 3)]);
    assert_eq!(all.pieces.iter().map(|p| (p.seq, p.offset)).collect::<Vec<_>>(), [(2, 0)]);
    let names = name_codec::decode(&all.names).unwrap();
    assert!(names.contains(object_hash(1)) && names.contains(object_hash(3)));
    assert_eq!(all.issued_ms, 1_003);
    // The rest of the event, without claiming its sequence number.
    let rest = fixture.fetch(2, 2, 800).unwrap();
    assert_eq!((ranges(&rest), rest.pieces[0].offset), (vec![], 800));
    // Beyond its end; pieces of a purge; sequence numbers that were never published.
    assert_eq!(fixture.fetch(2, 2, 500_000), None);
    let purge = fixture.fetch(3, 3, 5).unwrap();
    assert!(name_codec::decode(&purge.names).unwrap().contains(object_hash(3)));
    assert_eq!(fixture.fetch(4, 1_000, 0), None);
    assert_eq!(ranges(&fixture.fetch(3, 1_000, 0).unwrap()), [(0, 3, 3)]);
}

#[test]
fn requests_without_token_and_replayed_ones_get_no_bundles() {
    let mut fixture = HubFixture::new();
    let subscribe = |seq, token| {
        let (site, gateway) = ("shore".to_owned(), "g".to_owned());
        Payload::Subscribe(Subscribe { site, gateway, run_id: 1, seq, token, ..Subscribe::default() })
    };
    fixture.hub.tick(fixture.now + Span::from_millis(500));
    while fixture.hub.poll().is_some() {}
    let [Payload::Challenge(token)] = fixture.send(subscribe(1, 0))[..] else { panic!("no challenge") };
    // A token of another address does not match.
    assert_eq!(fixture.send(subscribe(2, token ^ 1)), [Payload::Challenge(token)]);
    assert!(matches!(fixture.send(subscribe(3, token))[..], [Payload::Live(_)]));
    fixture.now += Span::from_millis(60_000);
    assert_eq!(fixture.send(subscribe(3, token)), []);
    assert_eq!(fixture.hub.counts.refused_requests, 1);
    // No faster than the rate limit.
    fixture.token = token;
    let fetch = |token| {
        Payload::RetransmitRequest(RetransmitRequest {
            ranges: vec![Range { stream: 0, first: 1, last: 3, offset: 0 }],
            site: "shore".to_owned(),
            token,
            ..RetransmitRequest::default()
        })
    };
    let answers: usize = (0..100).map(|_| fixture.send(fetch(token)).len()).sum();
    assert_eq!(answers, 4);
}

//! What a hub signs for who asks, asked by hand: never a range without its events, nor more than its pace.

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

struct Asked {
    hub: Feed,
    keys: Keys,
    now: Time,
    token: u64,
}

fn here() -> SocketAddr {
    "127.0.0.1:7".parse().unwrap()
}

impl Asked {
    /// A hub that was told a purge, an event of 2,000 bytes, and a purge.
    fn new() -> Asked {
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
        Asked { hub, keys: Keys::new("sea", &key).unwrap(), now, token: 0 }
    }

    /// What it answers at once.
    fn say(&mut self, payload: Payload) -> Vec<Payload> {
        let bytes = self.keys.seal(VERSION, &Packet { payload: Some(payload) }.encode_to_vec());
        self.hub.handle_datagram(self.now, here(), &bytes);
        let mut all = Vec::new();
        while let Some(out) = self.hub.poll() {
            if let Output::Datagram(to, bytes) = out
                && to == here()
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
        match self.say(Payload::RetransmitRequest(fetch.clone())).as_slice() {
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
    let mut asked = Asked::new();
    let all = asked.fetch(1, 3, 0).unwrap();
    assert_eq!(ranges(&all), [(0, 1, 3)]);
    assert_eq!(all.pieces.iter().map(|p| (p.seq, p.offset)).collect::<Vec<_>>(), [(2, 0)]);
    let names = name_codec::decode(&all.names).unwrap();
    assert!(names.contains(object_hash(1)) && names.contains(object_hash(3)));
    assert_eq!(all.issued_ms, 1_003);
    // The rest of the event, without a word on its number.
    let rest = asked.fetch(2, 2, 800).unwrap();
    assert_eq!((ranges(&rest), rest.pieces[0].offset), (vec![], 800));
    // Beyond its end; pieces of a purge; numbers that nobody has told.
    assert_eq!(asked.fetch(2, 2, 500_000), None);
    let purge = asked.fetch(3, 3, 5).unwrap();
    assert!(name_codec::decode(&purge.names).unwrap().contains(object_hash(3)));
    assert_eq!(asked.fetch(4, 1_000, 0), None);
    assert_eq!(ranges(&asked.fetch(3, 1_000, 0).unwrap()), [(0, 3, 3)]);
}

#[test]
fn who_shows_no_token_and_who_says_it_again_gets_no_bundles() {
    let mut asked = Asked::new();
    let follow = |number, token| {
        let (site, gateway) = ("shore".to_owned(), "g".to_owned());
        Payload::Subscribe(Subscribe { site, gateway, run_id: 1, seq: number, token, ..Subscribe::default() })
    };
    asked.hub.tick(asked.now + Span::from_millis(500));
    while asked.hub.poll().is_some() {}
    let [Payload::Challenge(token)] = asked.say(follow(1, 0))[..] else { panic!("no challenge") };
    // As if it came from elsewhere: another number is wanted there.
    assert_eq!(asked.say(follow(2, token ^ 1)), [Payload::Challenge(token)]);
    assert!(matches!(asked.say(follow(3, token))[..], [Payload::Live(_)]));
    asked.now += Span::from_millis(60_000);
    assert_eq!(asked.say(follow(3, token)), []);
    assert_eq!(asked.hub.counts.refused_requests, 1);
    // No faster than the pace, whoever asks.
    asked.token = token;
    let fetch = |token| {
        Payload::RetransmitRequest(RetransmitRequest {
            ranges: vec![Range { stream: 0, first: 1, last: 3, offset: 0 }],
            site: "shore".to_owned(),
            token,
            ..RetransmitRequest::default()
        })
    };
    let answers: usize = (0..100).map(|_| asked.say(fetch(token)).len()).sum();
    assert_eq!(answers, 4);
}

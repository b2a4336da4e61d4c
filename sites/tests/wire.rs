//! What crosses a link: whole and split messages, damaged ones, and values that a peer may not send.

use kelpcart_sites::wire::{self, Damaged, Said, Word};
use quickcheck::{Arbitrary, Gen, QuickCheck, quickcheck};

fn request() -> wire::Request {
    wire::Request {
        number: 7,
        rule: "book".to_owned(),
        trace: 9,
        object: 11,
        part: 0,
        group: 17,
        need: Some(1.5),
        seen: Some("00aa00aa00aa00aa".to_owned()),
        body: b"two nights".to_vec(),
        left_us: 800_000,
        oldest_us: Some(5),
        path: vec!["east".to_owned()],
        once: true,
        importance: 9,
        mark: Some("66807aca08cfaa19".to_owned()),
    }
}

fn all() -> Vec<Said> {
    let hello = wire::Hello {
        version: wire::VERSION,
        site: "east".to_owned(),
        gateway: "e1".to_owned(),
        run: 5,
        fresh: 1,
    };
    let welcome = wire::Welcome {
        version: wire::VERSION,
        site: "west".to_owned(),
        gateway: "w1".to_owned(),
        ledger: 3,
        credit: 64,
        leaving: false,
        recalls: true,
    };
    vec![
        Said::Hello(hello),
        Said::Welcome(welcome),
        Said::Refusal(wire::Refusal { version: 1, why: "no room".to_owned() }),
        Said::Request(request()),
        Said::Taken(7),
        Said::Answer(wire::Answer::turned(7, Word::Turned)),
        Said::Ask(wire::Ask { numbers: vec![7, 8], ledger: 0 }),
        Said::Found(wire::Found { number: 7, fate: 1 }),
        Said::Ping(1),
        Said::Pong(wire::Pong { number: 1, credit: 3, leaving: true }),
        Said::Settle(9),
        Said::GiveUp(7),
        Said::Leaving(true),
    ]
}

#[test]
fn each_message_comes_back_as_it_was_wherever_it_is_split() {
    let said = all();
    let bytes: Vec<u8> = said.iter().cloned().flat_map(wire::encode).collect();
    let (mut at, mut read) = (0, Vec::new());
    while let Some((one, n)) = wire::decode(&bytes[at..]).unwrap() {
        for cut in 0..n {
            assert_eq!(wire::decode(&bytes[at..at + cut]).unwrap(), None);
        }
        read.push(one);
        at += n;
    }
    assert_eq!((read, at), (said, bytes.len()));
}

#[test]
fn what_may_not_be_sent_is_told_apart() {
    let long = |n: usize| "x".repeat(n);
    let change = |with: fn(&mut wire::Request)| {
        let mut one = request();
        with(&mut one);
        Said::Request(one)
    };
    let bad = [
        change(|r| r.number = 0),
        change(|r| r.rule = "a/b".to_owned()),
        change(|r| r.body = vec![0; wire::MOST_BODY + 1]),
        change(|r| r.group = 256),
        change(|r| r.need = Some(f64::NAN)),
        change(|r| r.seen = Some("short".to_owned())),
        change(|r| r.left_us = 0),
        change(|r| r.left_us = u64::MAX),
        change(|r| r.oldest_us = Some(0)),
        change(|r| r.path.clear()),
        change(|r| r.path = vec!["a".to_owned(); 17]),
        change(|r| r.path = vec!["a\nb".to_owned()]),
        change(|r| r.importance = 10),
        Said::Answer(wire::Answer { word: 99, ..wire::Answer::turned(1, Word::Turned) }),
        Said::Answer(wire::Answer { length: 5, ..wire::Answer::turned(1, Word::Turned) }),
        Said::Answer(wire::Answer { length: 240_001, ..wire::Answer::turned(1, Word::Served) }),
        Said::Ask(wire::Ask { numbers: vec![0], ledger: 0 }),
        Said::Ask(wire::Ask { numbers: vec![1; 513], ledger: 0 }),
        Said::Found(wire::Found { number: 1, fate: 9 }),
        Said::Settle(0),
        Said::Refusal(wire::Refusal { version: 1, why: long(201) }),
    ];
    for said in bad {
        let bytes = wire::encode(said.clone());
        assert!(matches!(wire::decode(&bytes), Err(Damaged::Value(_))), "{said:?}");
    }
    assert_eq!(wire::decode(&[0, 0, 0, 0]), Err(Damaged::Long(0)));
    assert_eq!(wire::decode(&[0, 1, 0, 1]), Err(Damaged::Long(65_537)));
    assert_eq!(wire::decode(&[0, 0, 0, 1, 0xff]), Err(Damaged::Form));
    // Another version's hello is read as far as its version, so that it can be turned away by that.
    let other = wire::Hello { version: 2, site: "east".to_owned(), ..wire::Hello::default() };
    assert!(wire::decode(&wire::encode(Said::Hello(other))).unwrap().is_some());
}

#[derive(Clone, Debug)]
struct Hurt {
    which: usize,
    at: usize,
    with: u8,
    cut: bool,
}

impl Arbitrary for Hurt {
    fn arbitrary(g: &mut Gen) -> Hurt {
        let (which, at) = (usize::arbitrary(g), usize::arbitrary(g));
        Hurt { which, at, with: u8::arbitrary(g), cut: bool::arbitrary(g) }
    }
}

/// Whatever is changed, what comes out is a message that may be sent, or a fault.
fn hurt(all_of_it: Vec<Hurt>) -> bool {
    let said = all();
    all_of_it.into_iter().all(|h| {
        let mut bytes = wire::encode(said[h.which % said.len()].clone());
        let at = h.at % bytes.len();
        if h.cut {
            bytes.truncate(at);
        } else {
            bytes[at] = h.with;
        }
        match wire::decode(&bytes) {
            Ok(Some((said, _))) => {
                wire::decode(&wire::encode(said.clone())).is_ok_and(|again| again.unwrap().0 == said)
            }
            Ok(None) | Err(_) => true,
        }
    })
}

#[test]
fn damaged_messages_never_get_through_as_what_may_not_be_sent() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(300)
        .quickcheck(hurt as fn(Vec<Hurt>) -> bool);
}

quickcheck! {
    fn any_bytes_are_read_without_a_panic(bytes: Vec<u8>) -> bool {
        _ = wire::decode(&bytes);
        _ = wire::message(&bytes);
        true
    }
}

//! What crosses a link: whole and split messages, damaged ones, and values that a peer may not send.

use kelpcart_sites::wire::{self, AnswerCode, DecodeError, Message};
use quickcheck::{Arbitrary, Gen, QuickCheck, quickcheck};

fn request() -> wire::Request {
    wire::Request {
        number: 7,
        rule: "book".to_owned(),
        trace_id: 9,
        object: 11,
        part: 0,
        group: 17,
        size_kb: Some(1.5),
        etag: Some("00aa00aa00aa00aa".to_owned()),
        body: b"two nights".to_vec(),
        time_left_us: 800_000,
        max_age_us: Some(5),
        path: vec!["east".to_owned()],
        unrepeatable: true,
        importance: 9,
        idempotency_key: Some("66807aca08cfaa19".to_owned()),
    }
}

fn all() -> Vec<Message> {
    let hello = wire::Hello {
        version: wire::VERSION,
        site: "east".to_owned(),
        gateway: "e1".to_owned(),
        run_id: 5,
        next_number: 1,
    };
    let welcome = wire::Welcome {
        version: wire::VERSION,
        site: "west".to_owned(),
        gateway: "w1".to_owned(),
        ledger: 3,
        credit: 64,
        leaving: false,
        knows_past_ledgers: true,
    };
    vec![
        Message::Hello(hello),
        Message::Welcome(welcome),
        Message::Refusal(wire::Refusal { version: 1, reason: "no room".to_owned() }),
        Message::Request(request()),
        Message::Accepted(7),
        Message::Answer(wire::Answer::refused(7, AnswerCode::Refused)),
        Message::StatusQuery(wire::StatusQuery { numbers: vec![7, 8], ledger: 0 }),
        Message::StatusReply(wire::StatusReply { number: 7, status: 1 }),
        Message::Ping(1),
        Message::Pong(wire::Pong { number: 1, credit: 3, leaving: true }),
        Message::Settle(9),
        Message::Cancel(7),
        Message::Leaving(true),
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
        Message::Request(one)
    };
    let bad = [
        change(|r| r.number = 0),
        change(|r| r.rule = "a/b".to_owned()),
        change(|r| r.body = vec![0; wire::MAX_REQUEST_BODY_BYTES + 1]),
        change(|r| r.group = 256),
        change(|r| r.size_kb = Some(f64::NAN)),
        change(|r| r.etag = Some("short".to_owned())),
        change(|r| r.time_left_us = 0),
        change(|r| r.time_left_us = u64::MAX),
        change(|r| r.max_age_us = Some(0)),
        change(|r| r.path.clear()),
        change(|r| r.path = vec!["a".to_owned(); 17]),
        change(|r| r.path = vec!["a\nb".to_owned()]),
        change(|r| r.importance = 10),
        Message::Answer(wire::Answer { code: 99, ..wire::Answer::refused(1, AnswerCode::Refused) }),
        Message::Answer(wire::Answer { body_len: 5, ..wire::Answer::refused(1, AnswerCode::Refused) }),
        Message::Answer(wire::Answer { body_len: 240_001, ..wire::Answer::refused(1, AnswerCode::Served) }),
        Message::StatusQuery(wire::StatusQuery { numbers: vec![0], ledger: 0 }),
        Message::StatusQuery(wire::StatusQuery { numbers: vec![1; 513], ledger: 0 }),
        Message::StatusReply(wire::StatusReply { number: 1, status: 9 }),
        Message::Settle(0),
        Message::Refusal(wire::Refusal { version: 1, reason: long(201) }),
    ];
    for said in bad {
        let bytes = wire::encode(said.clone());
        assert!(matches!(wire::decode(&bytes), Err(DecodeError::Value(_))), "{said:?}");
    }
    assert_eq!(wire::decode(&[0, 0, 0, 0]), Err(DecodeError::Length(0)));
    assert_eq!(wire::decode(&[0, 1, 0, 1]), Err(DecodeError::Length(65_537)));
    assert_eq!(wire::decode(&[0, 0, 0, 1, 0xff]), Err(DecodeError::Encoding));
    // Another version's hello is read as far as its version, so that it can be turned away by that.
    let other = wire::Hello { version: 2, site: "east".to_owned(), ..wire::Hello::default() };
    assert!(wire::decode(&wire::encode(Message::Hello(other))).unwrap().is_some());
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
        _ = wire::decode_message(&bytes);
        true
    }
}

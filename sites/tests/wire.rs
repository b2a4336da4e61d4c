//! Messages on a link: whole, split and damaged ones, and values that a peer may not send.

use kelpcart_sites::ledger::TxnOutcome;
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
        first_attempt_us: Some(1_700_000_000_000_000),
        start_by_us: Some(1_700_000_000_400_000),
    }
}

fn all_messages() -> Vec<Message> {
    let hello = wire::Hello {
        version: wire::VERSION,
        site: "east".to_owned(),
        gateway: "e1".to_owned(),
        run_id: 5,
        next_number: 1,
        states_attempts: true,
    };
    let welcome = wire::Welcome {
        version: wire::VERSION,
        site: "west".to_owned(),
        gateway: "w1".to_owned(),
        ledger: 3,
        credit: 64,
        leaving: false,
        knows_past_ledgers: true,
        clock_us: Some(1_700_000_000_000_000),
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
        Message::Pong(wire::Pong {
            number: 1,
            credit: 3,
            leaving: true,
            clock_us: Some(1_700_000_000_000_000),
        }),
        Message::Settle(9),
        Message::Cancel(7),
        Message::Leaving(true),
    ]
}

#[test]
fn each_message_round_trips_wherever_it_is_split() {
    let messages = all_messages();
    let bytes: Vec<u8> = messages.iter().cloned().flat_map(wire::encode).collect();
    let (mut at, mut read) = (0, Vec::new());
    while let Some((one, n)) = wire::decode(&bytes[at..]).unwrap() {
        for cut in 0..n {
            assert_eq!(wire::decode(&bytes[at..at + cut]).unwrap(), None);
        }
        read.push(one);
        at += n;
    }
    assert_eq!((read, at), (messages, bytes.len()));
}

/// Guards against a rejection that passes for proof: earlier releases send, and ledgers hold, ones that don't state whether
/// the txn may have run.
#[test]
fn a_rejection_is_proof_that_nothing_ran_only_if_it_says_so() {
    let rejected = |may_have_run| TxnOutcome::Rejected { retry_after: None, may_have_run };
    for may_have_run in [false, true] {
        let answer = wire::Answer::new(7, rejected(may_have_run), 0);
        assert_eq!(answer.outcome(), Some(rejected(may_have_run)));
        let unstated = wire::Answer { not_run: false, ..answer };
        assert_eq!(unstated.outcome(), Some(rejected(true)));
    }
}

#[test]
fn invalid_values_are_rejected() {
    let long = |n: usize| "x".repeat(n);
    let with_change = |edit: fn(&mut wire::Request)| {
        let mut one = request();
        edit(&mut one);
        Message::Request(one)
    };
    let invalid = [
        with_change(|r| r.number = 0),
        with_change(|r| r.rule = "a/b".to_owned()),
        with_change(|r| r.body = vec![0; wire::MAX_REQUEST_BODY_BYTES + 1]),
        with_change(|r| r.group = 256),
        with_change(|r| r.size_kb = Some(f64::NAN)),
        with_change(|r| r.etag = Some("short".to_owned())),
        with_change(|r| r.time_left_us = 0),
        with_change(|r| r.time_left_us = u64::MAX),
        with_change(|r| r.max_age_us = Some(0)),
        with_change(|r| r.path.clear()),
        with_change(|r| r.path = vec!["a".to_owned(); 17]),
        with_change(|r| r.path = vec!["a\nb".to_owned()]),
        with_change(|r| r.importance = 10),
        Message::Answer(wire::Answer { code: 99, ..wire::Answer::refused(1, AnswerCode::Refused) }),
        Message::Answer(wire::Answer { body_len: 5, ..wire::Answer::refused(1, AnswerCode::Refused) }),
        Message::Answer(wire::Answer { body_len: 240_001, ..wire::Answer::refused(1, AnswerCode::Served) }),
        Message::StatusQuery(wire::StatusQuery { numbers: vec![0], ledger: 0 }),
        Message::StatusQuery(wire::StatusQuery { numbers: vec![1; 513], ledger: 0 }),
        Message::StatusReply(wire::StatusReply { number: 1, status: 9 }),
        Message::Settle(0),
        Message::Refusal(wire::Refusal { version: 1, reason: long(201) }),
    ];
    for message in invalid {
        let bytes = wire::encode(message.clone());
        assert!(matches!(wire::decode(&bytes), Err(DecodeError::Value(_))), "{message:?}");
    }
    assert_eq!(wire::decode(&[0, 0, 0, 0]), Err(DecodeError::Length(0)));
    assert_eq!(wire::decode(&[0, 1, 0, 1]), Err(DecodeError::Length(65_537)));
    assert_eq!(wire::decode(&[0, 0, 0, 1, 0xff]), Err(DecodeError::Encoding));
    // A hello of another version is decoded as far as the version, so that it can be refused for it.
    let other = wire::Hello { version: 2, site: "east".to_owned(), ..wire::Hello::default() };
    assert!(wire::decode(&wire::encode(Message::Hello(other))).unwrap().is_some());
}

#[derive(Clone, Debug)]
struct Damage {
    which: usize,
    at: usize,
    byte: u8,
    cut: bool,
}

impl Arbitrary for Damage {
    fn arbitrary(g: &mut Gen) -> Damage {
        let (which, at) = (usize::arbitrary(g), usize::arbitrary(g));
        Damage { which, at, byte: u8::arbitrary(g), cut: bool::arbitrary(g) }
    }
}

/// Whatever is changed, decoding gives a valid message or an error.
fn decode_damaged(damages: Vec<Damage>) -> bool {
    let messages = all_messages();
    damages.into_iter().all(|damage| {
        let mut bytes = wire::encode(messages[damage.which % messages.len()].clone());
        let at = damage.at % bytes.len();
        if damage.cut {
            bytes.truncate(at);
        } else {
            bytes[at] = damage.byte;
        }
        match wire::decode(&bytes) {
            Ok(Some((message, _))) => wire::decode(&wire::encode(message.clone()))
                .is_ok_and(|decoded| decoded.unwrap().0 == message),
            Ok(None) | Err(_) => true,
        }
    })
}

#[test]
fn damaged_messages_never_decode_to_invalid_ones() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 7))
        .tests(300)
        .quickcheck(decode_damaged as fn(Vec<Damage>) -> bool);
}

quickcheck! {
    fn arbitrary_bytes_decode_without_a_panic(bytes: Vec<u8>) -> bool {
        _ = wire::decode(&bytes);
        _ = wire::decode_message(&bytes);
        true
    }
}

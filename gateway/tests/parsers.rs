//! The parsers on complete, split and corrupted input, the buffer pool, and the mapping of connection ends to hop statuses.

use futures_lite::future::{block_on, poll_once};
use kelpcart::Span;
use kelpcart::interface::{CacheStatus, Fill, HopStatus};
use kelpcart_gateway::buffers::{BUFFER_BYTES, Pool};
use kelpcart_gateway::connection_end::ConnectionEnd;
use kelpcart_gateway::http::{self, Request, ResponseHead};
use kelpcart_gateway::rpc::{self, DecodeError, ErrorCode, Message};
use quickcheck::{Gen, QuickCheck, Testable};
use std::sync::Arc;

fn check<T: Testable>(property: T) {
    QuickCheck::new().rng(Gen::from_size_and_seed(200, 5)).quickcheck(property);
}

const FIELDS: [(&str, &str); 6] = [
    ("req", "9b1f03aa5c7e2d41"),
    ("subject", "7f3a9c21e0b4d655"),
    ("timeout", "1500"),
    ("slice", "3"),
    ("set", "17"),
    ("need", "412.5"),
];

fn request(id: u8, body: &[u8]) -> Vec<u8> {
    request_with(id, &FIELDS, body)
}

fn request_with(id: u8, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, id, 0xa7];
    out.extend(b"segment\x92");
    out.push(0x80 | fields.len() as u8);
    for text in fields.iter().flat_map(|(name, value)| [name, value]) {
        out.push(0xa0 | text.len() as u8);
        out.extend(text.as_bytes());
    }
    out.push(0xc6);
    out.extend((body.len() as u32).to_be_bytes());
    out.extend(body);
    out
}

/// Feeds bytes in pieces as a socket might deliver them, decoding all complete messages after each piece.
fn decode_in_pieces(bytes: &[u8], cuts: &[usize]) -> (Vec<Message>, Option<DecodeError>) {
    let (mut held, mut all, mut rest) = (Vec::new(), Vec::new(), bytes);
    let mut cuts = cuts.iter();
    while !rest.is_empty() {
        let n = cuts.next().map_or(rest.len(), |c| 1 + c % rest.len());
        held.extend_from_slice(&rest[..n]);
        rest = &rest[n..];
        while let Some((message, len)) = match rpc::decode_message(&held) {
            Ok(found) => found,
            Err((error, len)) => {
                assert!(len > 0 && len <= held.len());
                return (all, Some(error));
            }
        } {
            assert!(len > 0 && len <= held.len());
            all.push(message);
            held.drain(..len);
        }
    }
    (all, None)
}

#[test]
fn decoding_a_message_does_not_depend_on_how_it_is_split() {
    check::<fn(Vec<u8>, Vec<usize>) -> bool>(|body: Vec<u8>, cuts: Vec<usize>| {
        let check = b"\x94\x00\x02\xa5check\x91\x80".to_vec();
        let cancel = b"\x93\x02\xa9interrupt\x91\x01".to_vec();
        let bytes = [request(1, &body), check, cancel, request(9, &[])].concat();
        let (all, error) = decode_in_pieces(&bytes, &cuts);
        let Message::Request { id: 1, method, request } = &all[0] else { return false };
        assert_eq!(
            (method.as_str(), request.object, request.part, request.timeout_ms),
            ("segment", 0x7f3a9c21e0b4d655, 3, 1500)
        );
        assert_eq!(
            (request.request_id.as_str(), request.size_kb, &request.body),
            ("9b1f03aa5c7e2d41", Some(412.5), &body)
        );
        let rest = [Message::HealthCheck { id: 2 }, Message::Cancel { ids: vec![1] }];
        error.is_none()
            && all[1..3] == rest
            && matches!(all[3], Message::Request { id: 9, .. })
            && all.len() == 4
    });
}

#[test]
fn corrupted_messages_yield_a_message_or_an_error_and_nothing_else() {
    check::<fn(Vec<u8>, Vec<usize>, Vec<(usize, u8)>) -> bool>(
        |body: Vec<u8>, cuts: Vec<usize>, corruptions: Vec<(usize, u8)>| {
            let mut bytes = [request(1, &body), request(2, &body)].concat();
            for (at, with) in corruptions {
                let at = at % bytes.len();
                bytes[at] = with;
            }
            // The result does not depend on how the input was split.
            decode_in_pieces(&bytes, &cuts) == decode_in_pieces(&bytes, &[])
        },
    );
    check::<fn(Vec<u8>) -> bool>(|bytes: Vec<u8>| decode_in_pieces(&bytes, &[]).0.len() <= bytes.len());
}

#[test]
fn invalid_fields_are_rejected_with_the_id_of_their_message() {
    let rejected = |fields: &[(&str, &str)], body: &[u8]| {
        let bytes = request_with(9, fields, body);
        matches!(rpc::decode_message(&bytes), Err((DecodeError::Invalid { id: Some(9), .. }, n)) if n == bytes.len())
    };
    let bad = [
        ("req", "9b1f03aa5c7e2d4 9b1f03aa5c7e2d4g"),
        ("subject", "-f3a9c21e0b4d655 7f3a9c21e0b4d655a"),
        ("timeout", "0 -5 1e3 1.5 +4 99999999999 nan"),
        ("slice", "-1 x 1.0 99999999999"),
        ("set", "256 -1 x"),
        ("need", "-3 nan inf 0 x 1e9 1.2.3"),
        ("seen", "12ab \u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9}\u{e9} 4be0c1927d55a6f34"),
        ("resent", "2 x"),
        ("opkey", "\u{e9} a\r\nb \t"),
    ];
    for (name, values) in bad {
        for value in values.split(' ').chain([""]) {
            let others = FIELDS.into_iter().filter(|f| f.0 != name);
            let fields: Vec<_> = others.chain([(name, value)]).collect();
            assert!(rejected(&fields, &[]), "{name} {value}");
        }
    }
    for i in 0..FIELDS.len() - 1 {
        let without = [&FIELDS[..i], &FIELDS[i + 1..]].concat();
        assert!(rejected(&without, &[]));
        assert!(rejected(&[&FIELDS[..], &FIELDS[i..i + 1]].concat(), &[]));
    }
    assert!(rejected(&FIELDS, &[0; 48_001]) && !rejected(&FIELDS, &[0; 48_000]));
    let more =
        [&FIELDS[..], &[("seen", "4be0c1927d55a6f3"), ("resent", "1"), ("opkey", "a-1"), ("else", "x")]]
            .concat();
    assert!(!rejected(&more, &[]));
}

#[test]
fn an_oversized_frame_is_rejected_before_it_is_complete() {
    let long = request(7, &vec![0; rpc::MAX_FRAME_BYTES + 1]);
    assert_eq!(rpc::decode_message(&long[..200]), Err((DecodeError::Malformed { id: Some(7) }, 200)));
    let write = request(7, &vec![1; 48_000]);
    assert!(
        matches!(rpc::decode_message(&write), Ok(Some((Message::Request { .. }, n))) if n == write.len())
    );
}

#[test]
fn answers_are_encoded_as_the_protocol_specifies() {
    let (head, tail) = rpc::encode_served(7, 5, false);
    assert_eq!((head, tail), (b"\x94\x01\x07\xc0\x92\xc6\x00\x00\x00\x05".to_vec(), b"\x80".to_vec()));
    assert_eq!(rpc::encode_served(200, 0, true).1, b"\x81\xa7current\xa11");
    let rejected = rpc::encode_error(70_000, ErrorCode::Backoff, &[("holdoff", "250")]);
    assert_eq!(rejected, b"\x94\x01\xce\x00\x01\x11\x70\x92\xa7Backoff\x81\xa7holdoff\xa3250\xc0");
    assert_eq!(rpc::encode_error(200, ErrorCode::Lost, &[]), b"\x94\x01\xcd\x00\xc8\x92\xa4Lost\x80\xc0");
    assert_eq!(rpc::encode_health(8, true), b"\x94\x01\x08\xc0\x92\xc3\x80");
}

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nETag: 4be0\r\nContent-Length: 12\r\nx-result: via_origin\r\n\
    X-Waited-Ms: 31\r\nX-Stats: inflight:7;x1:0.61\r\nConnection: keep-alive\r\n\r\n";

#[test]
fn parsing_a_head_does_not_depend_on_how_it_is_split() {
    let (whole, len) = http::parse_head(HEAD).unwrap().unwrap();
    let load_report = Some(b"inflight:7;x1:0.61".to_vec());
    let (cache_status, first_byte_wait) = (Some(CacheStatus::FilledByOrigin), Some(Span::from_millis(31)));
    let expected = ResponseHead {
        status: 200,
        content_length: 12,
        declined: false,
        close: false,
        cache_status,
        first_byte_wait,
        load_report,
    };
    assert_eq!((whole, len), (expected, HEAD.len()));
    assert!((0..HEAD.len()).all(|n| http::parse_head(&HEAD[..n]) == Ok(None)));
    // Preceding interim responses count towards the length, and the connection is not reused.
    let interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 P\r\n\r\n";
    let both = [interim, HEAD].concat();
    let (head, len) = http::parse_head(&both).unwrap().unwrap();
    assert_eq!((head.status, head.content_length, head.close, len), (200, 12, true, both.len()));
    assert!((0..both.len()).all(|n| http::parse_head(&both[..n]) == Ok(None)));
    assert!(http::parse_head(&interim.repeat(http::MAX_HEAD_BYTES / 32)).is_err());
    let full = b"HTTP/1.1 503 Full\r\nX-Declined: 1\r\nContent-Length: 0\r\n\r\n";
    assert!(http::parse_head(full).unwrap().unwrap().0.declined);
}

#[test]
fn corrupted_heads_are_rejected_or_parsed_but_never_beyond_their_end() {
    check::<fn(Vec<(usize, u8)>, Vec<u8>) -> bool>(|corruptions: Vec<(usize, u8)>, more: Vec<u8>| {
        let mut bytes = [HEAD, &more].concat();
        for (at, with) in corruptions {
            let at = at % HEAD.len();
            bytes[at] = with;
        }
        match http::parse_head(&bytes) {
            Ok(Some((head, len))) => len <= bytes.len() && (200..600).contains(&head.status),
            Ok(None) | Err(_) => true,
        }
    });
    for bad in [
        "HTTP/1.1 20 OK",
        "HTTP/2 200 OK",
        "HTTP/1.1 200 OK\r\nContent-Length: -1",
        "SMTP",
        "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2",
        "HTTP/1.1 200 OK",
        "HTTP/1.1 200 OK\r\nno colon",
        "HTTP/1.1 99999999999999999999 OK",
        "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999",
        "HTTP/1.1 200 OK\r\nContent-Length: +4",
        "HTTP/1.1 101 Switching Protocols\r\nContent-Length: 0",
    ] {
        assert!(http::parse_head(format!("{bad}\r\n\r\n").as_bytes()).is_err(), "{bad}");
        // All errors but a missing length are reported as soon as the offending line is complete.
        let last = bad == "HTTP/1.1 200 OK";
        assert_eq!(http::parse_head(format!("{bad}\r\n").as_bytes()).is_err(), !last, "{bad}");
    }
    assert!(http::parse_head(&[HEAD[..20].to_vec(), vec![b'x'; http::MAX_HEAD_BYTES]].concat()).is_err());
}

#[test]
fn load_reports_are_read_by_name() {
    for (report, value) in
        [("inflight:7;x1:0.61", Some(0.61)), ("x1:nan", None), ("x11:2;x:1", None), ("", None)]
    {
        assert_eq!(http::load_value(report.as_bytes(), "x1"), value);
    }
}

#[test]
fn ages_and_times_are_rounded_so_that_no_rule_is_loosened() {
    let fill = |max_age| {
        let source = Arc::from("p1");
        Fill {
            source,
            keep_rank: 2,
            coalesce: true,
            only_if_cached: false,
            revalidate: true,
            max_age: Some(max_age),
        }
    };
    let head = |micros: u64| {
        let fill = fill(Span::from_micros(micros));
        let request = Request {
            rule: "segment",
            object: "7f3a9c21e0b4d655",
            part: 3,
            trace_id: "9b1f03aa5c7e2d41",
            host: "127.0.0.1:1",
            time_limit: Span::from_micros(900_999),
            fill: Some(&fill),
            etag: Some("4be0"),
            idempotency_key: Some("66807aca08cfaa19"),
            content_length: None,
        };
        String::from_utf8(request.encode()).unwrap()
    };
    // 0 would mean no limit, and rounding up would admit an older copy.
    assert!(head(3).contains("\r\nX-Max-Age-Ms: 1\r\n"));
    let all = head(1_500_999);
    assert_eq!(
        all,
        "GET /x/segment/7f3a9c21e0b4d655/3 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nX-Trace: 9b1f03aa5c7e2d41\r\n\
        X-Patience: 900\r\nX-Fill-From: p1\r\nX-Keep: 2\r\nX-Max-Age-Ms: 1500\r\nX-Flags: ride+update\r\n\
        If-None-Match: 4be0\r\nX-Op-Key: 66807aca08cfaa19\r\n\r\n"
    );
}

#[test]
fn only_proof_lets_a_hop_count_as_not_run() {
    let proven = [
        ConnectionEnd::Lacking,
        ConnectionEnd::Full,
        ConnectionEnd::Over,
        ConnectionEnd::Refused,
        ConnectionEnd::NoConnection,
        ConnectionEnd::NoSocket,
        ConnectionEnd::LateUnsent,
        ConnectionEnd::Overtaken,
        ConnectionEnd::CutUnsent,
        ConnectionEnd::KeptClosed,
        ConnectionEnd::FarDown,
        ConnectionEnd::FarFull,
        ConnectionEnd::FarTurned,
        ConnectionEnd::FarLoop,
        ConnectionEnd::FarOutdated,
        ConnectionEnd::FarNever,
        ConnectionEnd::FarRejected,
        ConnectionEnd::FarInvalid,
    ];
    for end in ConnectionEnd::ALL {
        let not_run = end.hop_status().is_some_and(HopStatus::proves_not_run);
        assert_eq!(not_run, proven.contains(&end), "{end:?}");
    }
    let served = ConnectionEnd::ALL.iter().filter(|e| e.hop_status() == Some(HopStatus::Completed));
    assert!(served.eq(&[ConnectionEnd::Whole, ConnectionEnd::Current]));
}

#[test]
fn the_pool_allocates_no_more_than_its_limit_and_further_allocations_wait() {
    let pool = Pool::new(10 * BUFFER_BYTES);
    assert!(block_on(pool.allocate(10 * BUFFER_BYTES + 1)).is_none());
    check::<fn(Vec<usize>) -> bool>(|lens: Vec<usize>| {
        let pool = Pool::new(10 * BUFFER_BYTES);
        let mut held = Vec::new();
        for len in lens.into_iter().map(|n| n % (10 * BUFFER_BYTES)) {
            let fits = pool.used_bytes() + len.div_ceil(BUFFER_BYTES) * BUFFER_BYTES <= 10 * BUFFER_BYTES;
            let body = block_on(poll_once(pool.allocate(len)));
            assert_eq!(body.is_some(), fits);
            assert!(!pool.has_waiters() && pool.used_bytes() <= 10 * BUFFER_BYTES);
            match body {
                Some(body) => held.push(body.unwrap()),
                None => drop(held.pop()),
            }
        }
        held.clear();
        pool.used_bytes() == 0
    });
}

#[test]
fn a_body_gives_back_what_it_was_filled_with() {
    check::<fn(Vec<u8>, Vec<usize>) -> bool>(|bytes: Vec<u8>, cuts: Vec<usize>| {
        let bytes: Vec<u8> =
            bytes.into_iter().cycle().take(if cuts.is_empty() { 0 } else { 3 * BUFFER_BYTES + 7 }).collect();
        let pool = Pool::new(10 * BUFFER_BYTES);
        let mut body = block_on(pool.allocate(bytes.len())).unwrap();
        let (mut rest, mut cuts) = (&bytes[..], cuts.into_iter().cycle());
        while !rest.is_empty() {
            let n = 1 + cuts.next().unwrap() % rest.len();
            assert_eq!(body.copy_from(&rest[..n]), n);
            rest = &rest[n..];
        }
        // Nothing is written beyond the body's length.
        body.is_full() && body.copy_from(b"more") == 0 && body.chunks().collect::<Vec<_>>().concat() == bytes
    });
}

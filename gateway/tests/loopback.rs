//! End-to-end tests of the gateway process on loopback, with stub caches, a stub discovery service and clients, both
//! well-behaved and misbehaving.

mod stand_ins;

use async_io::block_on;
use futures_lite::future;
use kelpcart::{Span, Time};
use kelpcart_gateway::buffers::{self, Pool};
use kelpcart_gateway::caches::{Caches, ConnectionLimits};
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::config::{self, parse_event};
use kelpcart_gateway::connection_end::ConnectionEnd;
use kelpcart_gateway::dispatch_api::{HopRequest, HopTimes};
use quickcheck::{Gen, QuickCheck};
use serde_json::json;
use stand_ins::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::process::Command;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[test]
fn a_body_reaches_the_client_complete_and_the_hop_carries_all_headers() {
    let bytes = body_for_path("whole", 240_000);
    let served = bytes.clone();
    let edge = StubCache::start(move |_| ok_response(&served));
    let members = [
        Member("e1", "box", edge.address),
        Member("p1", "parent", unused_address()),
        Member("o", "origin", unused_address()),
    ];
    let gateway = Gateway::start(&config(&members, unused_address(), 64));
    let mut client = Client::connect(&gateway);
    assert!(client.is_ready());
    let id = client.send_request("segment", 5, 3_000, &[]);
    let answer = client.read_answer();
    assert_eq!((answer.id, answer.error, answer.body == bytes), (id, None, true));
    assert_eq!(answer.fields, BTreeMap::new());
    let request = edge.next_request();
    assert!(request.head.starts_with("GET /x/segment/0000000000000005/3 HTTP/1.1\r\n"), "{}", request.head);
    assert_eq!(request.header("X-Trace"), Some(&*client.request_id));
    assert_eq!((request.header("X-Fill-From"), request.header("X-Keep")), (Some("p1"), Some("1")));
    let patience: u64 = request.header("X-Patience").unwrap().parse().unwrap();
    assert!((1..=3_000).contains(&patience));
    assert_eq!((request.header("X-Max-Age-Ms"), request.header("If-None-Match")), (None, None));
}

#[test]
fn a_304_is_passed_on_only_to_a_client_that_holds_a_copy() {
    let edge = StubCache::start(|_| Reply::Send(b"HTTP/1.1 304 Not Modified\r\nETag: 12ab\r\n\r\n".to_vec()));
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    let base = [
        ("req", "9b1f03aa5c7e2d41"),
        ("timeout", "900"),
        ("subject", "00000000000000ff"),
        ("slice", "0"),
        ("set", "1"),
        ("need", "1"),
    ];
    client.send_request_with("segment", &[&base[..], &[("seen", "4be0c1927d55a6f3")]].concat(), &[]);
    let answer = client.read_answer();
    assert_eq!((answer.error, answer.body), (None, vec![]));
    assert_eq!(answer.fields.get("current").map(String::as_str), Some("1"));
    assert_eq!(edge.next_request().header("If-None-Match"), Some("4be0c1927d55a6f3"));
    // A client without a copy must not get an answer without a body.
    client.send_request_with("segment", &base, &[]);
    assert!(client.read_answer().error.is_some());
}

#[test]
fn an_unrepeatable_txn_that_may_have_run_is_aborted_and_not_sent_again() {
    let cut: [&[u8]; 4] = [
        b"",
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n",
        b"\xff\xff\xff\xff",
    ];
    for bytes in cut {
        let origin = StubCache::start(move |_| Reply::SendAndClose(bytes.to_vec()));
        let members = [Member("e1", "box", unused_address()), Member("o", "origin", origin.address)];
        let gateway = Gateway::start(&config(&members, unused_address(), 64));
        let mut client = Client::connect(&gateway);
        client.send_request("commit", 9, 3_000, b"the effect");
        assert_eq!(client.read_answer().error.as_deref(), Some("Lost"));
        assert_eq!(origin.next_request().body, b"the effect");
        assert_eq!(origin.take_request_count(), 0);
    }
}

#[test]
fn an_unrepeatable_txn_that_never_ran_is_retried_or_rejected() {
    let declined = || Reply::Send(http_response("503 Full", "X-Declined: 1\r\n", b""));
    let first = Mutex::new(true);
    let origin = StubCache::start(move |_| {
        if std::mem::take(&mut *first.lock().unwrap()) { declined() } else { ok_response(b"done") }
    });
    let members = [Member("e1", "box", unused_address()), Member("o", "origin", origin.address)];
    let gateway = Gateway::start(&config(&members, unused_address(), 64));
    let mut client = Client::connect(&gateway);
    client.send_request("commit", 9, 3_000, b"x");
    assert_eq!(client.read_answer().body, b"done");
    let full = StubCache::start(move |_| declined());
    let members = [Member("e1", "box", unused_address()), Member("o", "origin", full.address)];
    let gateway = Gateway::start(&config(&members, unused_address(), 64));
    let mut client = Client::connect(&gateway);
    client.send_request("commit", 9, 3_000, b"x");
    let answer = client.read_answer();
    assert_eq!(answer.error.as_deref(), Some("Backoff"));
    assert!(answer.fields["holdoff"].parse::<u64>().unwrap() <= 2_000);
}

#[test]
fn malformed_responses_are_not_passed_on_and_their_connections_not_reused() {
    let huge = http_response("200 OK", "", &vec![0; 300_000]);
    let short = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec();
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec();
    let endless = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'x'; 20_000]].concat();
    // The head never ends, but its first header line is already malformed.
    let unended = b"HTTP/1.1 200 OK\r\nno colon\r\n".to_vec();
    let bad = [huge, chunked, endless, unended, b"no HTTP at all\r\n\r\n".to_vec()];
    for (bad, cut) in bad.into_iter().map(|b| (b, false)).chain([(short, true)]) {
        let caches =
            [(); 2].map(|()| {
                let bad = bad.clone();
                StubCache::start(move |_| {
                    if cut { Reply::SendAndClose(bad.clone()) } else { Reply::Send(bad.clone()) }
                })
            });
        let parent = StubCache::start(|_| ok_response(b"good"));
        let members = [
            Member("e1", "box", caches[0].address),
            Member("e2", "box", caches[1].address),
            Member("p1", "parent", parent.address),
            Member("o", "origin", unused_address()),
        ];
        let gateway = Gateway::start(&config(&members, unused_address(), 64));
        let mut client = Client::connect(&gateway);
        client.send_request("segment", 9, 3_000, &[]);
        assert_eq!(client.read_answer().body, b"good");
        for cache in &caches {
            cache.next_request();
            cache.wait_until_closed();
        }
    }
}

#[test]
fn malformed_responses_do_not_make_a_cache_unreachable() {
    // A cache that sends malformed responses must not be treated as unreachable.
    let left = AtomicUsize::new(4);
    let edge = StubCache::start(move |_| {
        let malformed = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
        if malformed { Reply::Send(b"\xff\xff\xff\xff".to_vec()) } else { ok_response(b"x") }
    });
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    let answers: Vec<bool> = (0..5)
        .map(|object| {
            client.send_request("segment", object, 3_000, &[]);
            client.read_answer().error.is_none()
        })
        .collect();
    assert_eq!(answers, [false, false, false, false, true]);
}

#[test]
fn a_kept_connection_that_was_closed_is_not_written_to() {
    let edge =
        StubCache::start(|request| Reply::SendAndClose(http_response("200 OK", "", request.head.as_bytes())));
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    for object in 0..4 {
        client.send_request("segment", object, 3_000, &[]);
        assert_eq!(client.read_answer().error, None);
        edge.next_request();
        edge.wait_until_closed();
        edge.wait_for_acknowledged_fins();
    }
    assert_eq!(edge.take_request_count(), 0);
}

#[test]
fn what_is_sent_beside_a_good_answer_does_not_spoil_it_nor_reach_another_txn() {
    let around: [(&str, &str); 4] = [
        ("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n", ""),
        ("", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil"),
        ("", "noise"),
        ("HTTP/1.1 100 Continue\r\n\r\n", "\r\n"),
    ];
    for (before, after) in around {
        let edge = StubCache::start(move |request| {
            let good = http_response("200 OK", "", request.head.split(' ').nth(1).unwrap().as_bytes());
            Reply::Send([before.as_bytes(), &good, after.as_bytes()].concat())
        });
        let gateway = Gateway::with_edge(&edge);
        let mut client = Client::connect(&gateway);
        for object in 1..4 {
            client.send_request("segment", object, 3_000, &[]);
            let path = format!("/x/segment/{object:016x}/3");
            assert_eq!(String::from_utf8(client.read_answer().body).unwrap(), path);
            edge.next_request();
            // The connection is not reused.
            edge.wait_until_closed();
        }
    }
}

fn connections_for(asks: u64, pause: Duration) -> usize {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    for object in 0..asks {
        client.send_request("segment", object, 3_000, &[]);
        assert_eq!(client.read_answer().body, b"x");
        thread::sleep(pause);
    }
    edge.connection_count.load(Ordering::SeqCst)
}

#[test]
fn an_idle_connection_is_reused_after_the_reuse_delay() {
    assert_eq!(connections_for(9, Duration::from_millis(60)), 1);
    // Within the reuse delay a new connection is opened: stray bytes of one response must not reach another txn.
    assert!(connections_for(60, Duration::ZERO) > 1);
}

#[test]
fn idle_connections_are_closed_before_the_cache_closes_them() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let short = [("/settings/PolicyLimits/ConnIdleUs", 1_000_000)];
    let gateway = Gateway::start(&edge_config(&edge, &short));
    let mut client = Client::connect(&gateway);
    client.send_request("segment", 1, 3_000, &[]);
    assert_eq!(client.read_answer().body, b"x");
    edge.wait_until_closed();
    client.send_request("segment", 1, 3_000, &[]);
    assert_eq!(client.read_answer().body, b"x");
}

#[test]
fn a_silent_discovery_service_is_reconnected() {
    let discovery = DiscoveryServer::start(Vec::new());
    let _gateway = Gateway::start(&config(&[], discovery.address, 64));
    assert_eq!([discovery.next_subscription(), discovery.next_subscription()], ["after 1\n", "after 1\n"]);
}

#[test]
fn clients_without_a_complete_message_are_closed_before_idle_ones() {
    let (edge, release) = StubCache::answering_on_command(b"x");
    let gateway = Gateway::with_edge(&edge);
    let mut usual = Client::connect(&gateway);
    assert!(usual.is_ready());
    // No input, a partial message, a message that trickles in, and a partial message after an open request.
    let mut bad = [(); 4].map(|()| Client::connect(&gateway));
    bad[1].send(&[0x94, 0x00]);
    let trickles = bad[2].stream.try_clone().unwrap();
    bad[2].send(&[0xc5, 0xff, 0x00]);
    thread::spawn(move || {
        while (&trickles).write_all(&[0x00]).is_ok() {
            thread::sleep(Duration::from_millis(700));
        }
    });
    bad[3].send_request("segment", 1, 25_000, &[]);
    bad[3].send(&[0x94, 0x00]);
    edge.next_request();
    assert!(bad[..3].iter_mut().all(Client::is_closed));
    assert!(usual.is_ready());
    // The answer to the open request is still written.
    release.send(()).unwrap();
    assert_eq!(bad[3].read_answer().body, b"x");
    assert!(bad[3].is_closed() && usual.is_closed());
}

#[test]
fn an_error_answer_reaches_a_client_that_keeps_sending() {
    let gateway = Gateway::start(&config(&[], unused_address(), 64));
    let mut client = Client::connect(&gateway);
    // The start of a request with a declared body length of 60 MB, and a small part of the body.
    let endless = [b"\x94\x00\x07\xa7segment\x92\x80\xc6\x03\x93\x87\x00".to_vec(), vec![0; 64 * 1024]];
    client.send(&endless.concat());
    let answer = client.read_answer();
    assert_eq!((answer.id, answer.error.as_deref()), (7, Some("Invalid")));
    // An orderly close: a reset could destroy the error answer.
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

#[test]
fn an_open_request_id_can_not_name_another_object() {
    let (edge, release) = StubCache::answering_on_command(b"x");
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    let first = client.send_request("segment", 1, 15_000, &[]);
    edge.next_request();
    let second = client.resend_request("segment", 2, 15_000, &[]);
    let answer = client.read_answer();
    assert_eq!((answer.id, answer.error.as_deref()), (second, Some("Invalid")));
    release.send(()).unwrap();
    assert_eq!(client.read_answer().id, first);
    // The request id can be reused once its request is answered.
    client.resend_request("segment", 2, 15_000, &[]);
    release.send(()).unwrap();
    assert_eq!(client.read_answer().body, b"x");
}

#[test]
fn a_client_at_full_speed_does_not_starve_others() {
    let gateway = Gateway::start(&config(&[], unused_address(), 64));
    let flood = TcpStream::connect(gateway.address).unwrap();
    let mut usual = Client::connect(&gateway);
    // These messages get no answer, so that only fair scheduling limits their reader.
    let many = b"\x93\x02\xa9interrupt\x91\x01".repeat(4_096);
    thread::spawn(move || while (&flood).write_all(&many).is_ok() {});
    for _ in 0..20 {
        assert!(usual.is_ready());
    }
}

#[test]
fn a_cancelled_txn_gets_no_answer_and_its_hop_is_cancelled() {
    let edge = StubCache::start(|request| {
        if request.head.contains("/0000000000000001/") { Reply::Silent } else { ok_response(b"x") }
    });
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    let first = client.send_request("segment", 1, 15_000, &[]);
    edge.next_request();
    client.cancel(first);
    edge.wait_until_closed();
    let second = client.send_request("segment", 2, 3_000, &[]);
    assert_eq!(client.read_answer().id, second);
    // The same when the client disconnects.
    edge.next_request();
    client.send_request("segment", 1, 15_000, &[]);
    edge.next_request();
    drop(client);
    edge.wait_until_closed();
}

#[test]
fn a_silent_cache_delays_a_txn_to_its_time_limit_at_most() {
    let edge = StubCache::start(|_| Reply::Silent);
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    let id = client.send_request("segment", 1, 200, &[]);
    let answer = client.read_answer();
    assert!(answer.id == id && answer.error.is_some());
    edge.wait_until_closed();
    // A write that may have run must not be rejected, which would mean that a retry is safe.
    let members = [Member("e1", "box", unused_address()), Member("o", "origin", edge.address)];
    let gateway = Gateway::start(&config(&members, unused_address(), 64));
    let mut client = Client::connect(&gateway);
    client.send_request("commit", 1, 200, b"x");
    assert_eq!(client.read_answer().error.as_deref(), Some("Lost"));
}

#[test]
fn hops_over_the_bound_of_descriptors_wait_for_one() {
    let (edge, release) = StubCache::answering_on_command(b"x");
    let few = [("/limits/sockets", 48), ("/settings/PolicyLimits/ConnectTimeoutUs", 20_000_000)];
    let mut gateway = Gateway::start(&edge_config(&edge, &few));
    let mut client = Client::connect(&gateway);
    for object in 0..16 {
        client.send_request("segment", object, 20_000, &[]);
    }
    assert!(client.is_ready());
    (0..8).for_each(|_| _ = edge.next_request());
    // The views of the module, the dispatcher and the sockets agree: eight of sixteen hops wait for a descriptor.
    let now = gateway.gauges();
    assert_eq!((now["hops decided on"], now["hops out"], now["hops"], now["clients"]), (16, 16, 8, 1));
    assert_eq!(edge.take_request_count(), 0);
    (0..16).for_each(|_| release.send(()).unwrap());
    for _ in 0..16 {
        assert_eq!(client.read_answer().body, b"x");
    }
}

/// The hops of one cache, with one connection at most.
fn caches_with(edge: &StubCache, clock: Clock, pool: &Rc<Pool>) -> Rc<Caches> {
    let second = Span::from_millis(1_000);
    let limits =
        ConnectionLimits { connect_timeout: second * 20.0, idle_timeout: second, max_connections: 1 };
    let caches = Caches::new(clock, Rc::clone(pool), Rc::default(), limits);
    let entry = endpoint(&Member("e1", "box", edge.address), "up");
    let roster = json!({"no": 1, "roster": {"index": 0, "snapshot": true, "endpoints": [entry]}});
    let Ok((_, Some(config::DiscoveryEvent::Roster { list, .. }))) =
        parse_event(&roster, &Default::default())
    else {
        panic!("no roster")
    };
    caches.update_members(true, &list);
    caches
}

fn hop_request(start_by: Time, deadline: Time) -> HopRequest {
    let (member, rule, request, started) = ("e1".into(), "segment".into(), Rc::default(), Rc::default());
    let times = HopTimes { first_attempt: None, start_by, sla_deadline: deadline, deadline };
    let (is_write, unrepeatable, fill) = (false, false, None);
    HopRequest { member, times, started, rule, is_write, unrepeatable, request, fill }
}

/// Guards against a first byte after the start limit: a process that stood still finds a connection and the limit's timer
/// ready at once.
#[test]
fn a_hop_whose_start_limit_has_passed_is_not_sent_though_a_connection_is_ready() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let (clock, pool) = (Clock::start(), Pool::new(2 * buffers::BUFFER_BYTES));
    let caches = caches_with(&edge, clock, &pool);
    let deadline = clock.now() + Span::from_millis(20_000);
    assert_eq!(block_on(caches.run_hop(hop_request(deadline, deadline))).end, ConnectionEnd::Whole);
    // A connection is used again only some time after its last response.
    block_on(clock.sleep(Span::from_millis(100)));
    let late = hop_request(clock.now(), deadline);
    assert_eq!(block_on(caches.run_hop(late)).end, ConnectionEnd::Overtaken);
    assert_eq!(edge.take_request_count(), 1);
}

#[test]
fn waits_for_local_resources_do_not_count_as_cache_latency() {
    let (edge, release) = StubCache::answering_on_command(b"x");
    let (clock, pool, second) =
        (Clock::start(), Pool::new(2 * buffers::BUFFER_BYTES), Span::from_millis(1_000));
    let caches = caches_with(&edge, clock, &pool);
    let hop = |wait: Span| caches.run_hop(hop_request(clock.now() + wait, clock.now() + wait));
    // No buffers for the body: the response has arrived, and the deadline passes.
    let held = block_on(pool.allocate(2 * buffers::BUFFER_BYTES));
    release.send(()).unwrap();
    assert_eq!(block_on(hop(Span::from_millis(300))).end, ConnectionEnd::LateForRoom);
    drop(held);
    // The second hop gets no descriptor until the first one ends.
    let both = future::zip(hop(second * 20.0), hop(second * 20.0));
    let later = async {
        clock.sleep(Span::from_millis(100)).await;
        (0..2).for_each(|_| release.send(()).unwrap());
    };
    let ((first, second), ()) = block_on(future::zip(both, later));
    assert_eq!((first.end, second.end), (ConnectionEnd::Whole, ConnectionEnd::Whole));
    assert!(first.local_wait < second.local_wait && second.local_wait >= Span::from_millis(100));
}

#[test]
fn txns_over_the_limit_of_open_txns_are_rejected_at_once() {
    let edge = StubCache::start(|_| Reply::Silent);
    let gateway = Gateway::start(&edge_config(&edge, &[("/settings/PolicyLimits/MaxOpen", 1)]));
    let mut client = Client::connect(&gateway);
    client.send_request("segment", 1, 15_000, &[]);
    let second = client.send_request("segment", 2, 15_000, &[]);
    let answer = client.read_answer();
    assert_eq!((answer.id, answer.error.as_deref()), (second, Some("Backoff")));
    edge.next_request();
    assert_eq!(edge.take_request_count(), 0);
}

#[test]
fn malformed_client_input_affects_only_its_own_connection() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = Gateway::with_edge(&edge);
    let mut good = Client::connect(&gateway);
    // Not MessagePack, a length beyond any frame, and unbounded nesting.
    let nested = vec![0x91; 5_000];
    for bytes in [&b"\xc1"[..], b"\xc6\xff\xff\xff\xff", b"\xdd\xff\xff\xff\xff", &nested] {
        let mut bad = Client::connect(&gateway);
        bad.send(bytes);
        assert!(bad.is_closed());
    }
    let mut bad = Client::connect(&gateway);
    let id = bad.send_request("no such method", 1, 3_000, &[]);
    let refused = bad.read_answer();
    assert_eq!((refused.id, refused.error.as_deref()), (id, Some("Invalid")));
    for fields in [&[("req", "short"), ("timeout", "9")][..], &[("timeout", "x")], &[]] {
        let id = bad.send_request_with("segment", fields, &[]);
        let refused = bad.read_answer();
        assert_eq!((refused.id, refused.error.as_deref()), (id, Some("Invalid")));
    }
    // A read with a body.
    let id = bad.send_request("segment", 1, 3_000, b"x");
    assert_eq!((bad.read_answer().id, edge.take_request_count()), (id, 0));
    // A complete frame with wrong types.
    bad.next_message_id += 1;
    let id = bad.next_message_id - 1;
    bad.send(&[0x94, 0x00, id, 0xa1, b'x', 0x91, 0x07]);
    assert_eq!(bad.read_answer().id, u64::from(id));
    bad.send_request("segment", 1, 3_000, &[]);
    assert_eq!(bad.read_answer().body, b"x");
    // A message id that was used before.
    bad.next_message_id -= 1;
    bad.send_request("segment", 1, 3_000, &[]);
    assert!(bad.is_closed());
    good.send_request("segment", 1, 3_000, &[]);
    assert_eq!(good.read_answer().body, b"x");
}

#[test]
fn a_client_that_stops_reading_does_not_block_the_others() {
    let bytes = body_for_path("stalled", 240_000);
    let served = bytes.clone();
    let edge = StubCache::start(move |_| ok_response(&served));
    // Memory for fewer bodies than the stalled reader requests.
    let gateway = Gateway::start(&edge_config(&edge, &[("/limits/memory_mb", 8)]));
    let mut stopped = Client::connect(&gateway);
    for object in 0..32 {
        stopped.send_request("segment", object, 15_000, &[]);
    }
    let mut good = Client::connect(&gateway);
    // Requests may be rejected while memory is short; they are served once the stalled reader is disconnected.
    let (start, mut served) = (Instant::now(), 0);
    while served < 4 {
        good.send_request("segment", 1, 15_000, &[]);
        let answer = good.read_answer();
        assert!(answer.body == bytes || answer.error.as_deref() == Some("Backoff"));
        served += usize::from(answer.error.is_none());
        if answer.error.is_some() {
            assert!(start.elapsed() < TEST_TIMEOUT);
            thread::sleep(Duration::from_millis(200));
        }
    }
}

#[test]
fn a_client_that_takes_no_answers_is_not_read_on_and_then_left() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = Gateway::with_edge(&edge);
    let mut stopped = Client::connect(&gateway);
    let (mut id, mut sent) = (0_u32, 0);
    loop {
        // Each of these gets an answer that is longer than the request.
        let some: Vec<u8> = (0..1_000)
            .flat_map(|_| {
                id += 1;
                [&[0x94, 0x00, 0xce][..], &id.to_be_bytes(), &[0xa1, b'x', 0x91, 0x07]].concat()
            })
            .collect();
        if stopped.stream.write_all(&some).is_err() {
            break;
        }
        sent += some.len();
        // The kernel buffers of both sides are far smaller.
        assert!(sent < 64 << 20, "the gateway keeps reading from a client that reads no answers");
    }
}

#[test]
fn a_flood_of_idle_connections_does_not_lock_out_other_clients() {
    let (edge, release) = StubCache::answering_on_command(b"x");
    let mut gateway = Gateway::start(&edge_config(&edge, &[("/limits/sockets", 48)]));
    let mut good = Client::connect(&gateway);
    let first = good.send_request("segment", 1, 15_000, &[]);
    let mut rests = Client::connect(&gateway);
    assert!(rests.is_ready());
    // Twice as many as there are descriptors.
    let flood: Vec<Client> = (0..96).map(|_| Client::connect(&gateway)).collect();
    let mut late = Client::connect(&gateway);
    assert!(late.is_ready());
    gateway.signal("USR1");
    assert!(gateway.next_log_line().contains("idle clients closed for room"));
    // Clients that never sent a request are evicted before those that did.
    assert!(rests.is_ready());
    release.send(()).unwrap();
    assert_eq!(good.read_answer().id, first);
    drop(flood);
}

#[test]
fn a_planned_restart_answers_open_txns_first() {
    let (edge, release) = StubCache::answering_on_command(b"late");
    let mut gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    let id = client.send_request("segment", 1, 15_000, &[]);
    let mut other = Client::connect(&gateway);
    assert!(other.is_ready());
    gateway.signal("USR1");
    assert!(gateway.next_log_line().contains("requests 1"));
    gateway.signal("TERM");
    while other.is_ready() {}
    // New connections are still accepted and served.
    let mut newcomer = Client::connect(&gateway);
    assert!(!newcomer.is_ready());
    release.send(()).unwrap();
    let answer = client.read_answer();
    assert_eq!((answer.id, answer.body), (id, b"late".to_vec()));
    assert!(gateway.child.wait().unwrap().success());
    assert!(gateway.next_log_line().contains("told to stop, 1 txns open"));
    assert!(gateway.next_log_line().contains("txns completed 1"));
}

#[test]
fn a_planned_restart_aborts_unfinished_txns_in_time() {
    let edge = StubCache::start(|_| Reply::Silent);
    let mut gateway = Gateway::with_edge(&edge);
    let mut client = Client::connect(&gateway);
    client.send_request("segment", 1, 15_000, &[]);
    edge.next_request();
    gateway.signal("TERM");
    assert_eq!(client.read_answer().error.as_deref(), Some("Lost"));
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn a_configuration_that_lacks_a_field_ends_the_start_with_its_name() {
    let whole = config(&[], unused_address(), 64);
    let without = |path: &[&str]| {
        let mut all = whole.clone();
        let (last, parents) = path.split_last().unwrap();
        let inner = parents.iter().fold(&mut all, |v, name| &mut v[*name]);
        inner.as_object_mut().unwrap().remove(*last).unwrap();
        all
    };
    let paths: [&[&str]; 6] = [
        &["seed"],
        &["bulletin"],
        &["limits", "sockets"],
        &["known", "items"],
        &["settings", "Classes"],
        &["settings", "PolicyLimits", "MaxAttempts"],
    ];
    let nowhere =
        Command::new(env!("CARGO_BIN_EXE_kelpcart")).env("NODE_CONFIG", "/nowhere").output().unwrap();
    assert!(!nowhere.status.success() && nowhere.stderr.ends_with(b"\n"));
    for path in paths {
        let out = spawn(&without(path)).0.wait_with_output().unwrap();
        let stderr = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success());
        assert!(stderr.lines().count() == 1 && stderr.contains(path.last().unwrap()), "{stderr}");
    }
}

#[test]
fn an_idle_connection_belongs_to_a_member_and_not_to_an_address() {
    let cache = StubCache::start(|_| ok_response(b"x"));
    let [old, new] = ["e1", "e2"].map(|id| Member(id, "box", cache.address));
    let discovery = DiscoveryServer::start(Vec::new());
    let listed = [Member("o", "origin", unused_address()), Member("e1", "box", cache.address)];
    let gateway = Gateway::start(&config(&listed, discovery.address, 64));
    discovery.next_subscription();
    let mut client = Client::connect(&gateway);
    client.send_request("segment", 1, 3_000, &[]);
    assert_eq!(client.read_answer().body, b"x");
    discovery.send_line(&roster_event(2, json!([endpoint(&new, "up"), endpoint(&old, "removed")])));
    // The idle connection of the removed member is closed, although its address belongs to another member now.
    cache.wait_until_closed();
    client.send_request("segment", 1, 3_000, &[]);
    assert_eq!(client.read_answer().body, b"x");
    // The same for a member that drains and for one that has restarted.
    discovery.send_line(&roster_event(3, json!([endpoint(&new, "draining"), endpoint(&old, "up")])));
    cache.wait_until_closed();
    client.send_request("segment", 1, 3_000, &[]);
    assert_eq!(client.read_answer().body, b"x");
    let mut restarted = endpoint(&old, "up");
    restarted["since_ms"] = json!(1_000);
    discovery.send_line(&roster_event(4, json!([restarted])));
    cache.wait_until_closed();
}

#[test]
fn the_bulletins_events_come_in_order_and_a_gap_is_asked_for_again() {
    let caches = [(); 2].map(|()| StubCache::start(|_| ok_response(b"x")));
    let [e1, e2] = [Member("e1", "box", caches[0].address), Member("e2", "box", caches[1].address)];
    let first = roster_event(2, json!([endpoint(&e1, "draining"), endpoint(&e2, "up")]));
    let issued = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 - 5_000;
    let purge = json!({"no": 3, "recall": {"lot": 17, "issued": issued}}).to_string();
    // A gap in the numbers, a malformed event, a number ahead of the events, and the missing event after a repeated one.
    let gap = roster_event(9, json!([endpoint(&e2, "removed")]));
    let lines = vec![
        format!("{first}\n{gap}\n"),
        "2\n{\"no\":3,\"roster\":{}}\n".to_owned(),
        "7\n".to_owned(),
        format!("2\n{first}\n{purge}\n3\nnonsense\n"),
    ];
    let discovery = DiscoveryServer::start(lines);
    let members = [Member("o", "origin", unused_address()), Member("e1", "box", caches[0].address)];
    let mut gateway = Gateway::start(&config(&members, discovery.address, 64));
    let subscriptions: Vec<String> = (0..5).map(|_| discovery.next_subscription()).collect();
    assert_eq!(subscriptions, ["after 1\n", "after 2\n", "after 2\n", "after 2\n", "after 3\n"]);
    for reason in
        ["event numbers: 9 after 2", "endpoints is missing", "event numbers: 7 after 2", "not valid JSON"]
    {
        let line = (0..2).map(|_| gateway.next_log_line()).find(|l| l.contains("can't be used")).unwrap();
        assert!(line.contains(reason), "{line}");
    }
    let mut client = Client::connect(&gateway);
    for object in 0..8 {
        client.send_request("segment", object, 3_000, &[]);
        assert_eq!(client.read_answer().body, b"x");
        // The maximum age rules out exactly the copies from before the purge of the group.
        let age: u64 = caches[1].next_request().header("X-Max-Age-Ms").unwrap().parse().unwrap();
        assert!((4_900..60_000).contains(&age));
    }
    assert_eq!(caches[0].take_request_count(), 0);
}

#[test]
fn on_sighup_the_bulletin_moves_and_a_file_that_can_not_be_used_moves_nothing() {
    let cache = StubCache::start(|_| ok_response(b"x"));
    let e1 = Member("e1", "box", cache.address);
    let [old, new] = [(); 2].map(|()| DiscoveryServer::start(Vec::new()));
    let listed = [Member("o", "origin", unused_address()), Member("e1", "box", cache.address)];
    let mut gateway = Gateway::start(&config(&listed, old.address, 64));
    let mut client = Client::connect(&gateway);
    let mut event = |at: &DiscoveryServer, no: u64| {
        client.send_request("segment", 1, 3_000, &[]);
        assert_eq!(client.read_answer().body, b"x");
        let mut restarted = endpoint(&e1, "up");
        restarted["since_ms"] = json!(no);
        at.send_line(&roster_event(no, json!([restarted])));
        // The member restarted by this event: once it is applied, connections to the member are closed.
        cache.wait_until_closed();
    };
    assert_eq!(old.next_subscription(), "after 1\n");
    event(&old, 2);
    for bad in ["", "{\"bulletin\":", "{\"bulletin\": 7}", "[]"] {
        gateway.replace_config(bad);
        assert!(gateway.next_log_line().contains("stays where it was"));
    }
    event(&old, 3);
    gateway.replace_config(&config(&listed, new.address, 64).to_string());
    assert_eq!(new.next_subscription(), "after 3\n");
    assert!(gateway.next_log_line().contains("now followed at"));
    event(&new, 4);
    gateway.replace_config(&config(&listed, old.address, 64).to_string());
    assert_eq!(old.next_subscription(), "after 4\n");
    event(&old, 5);
}

#[test]
fn a_healthy_discovery_connection_that_breaks_is_retried_without_growing_backoff() {
    // With a growing backoff, even a bounded one, the test would exceed its timeout.
    const BREAKS: usize = 64;
    let discovery = DiscoveryServer::start(vec!["1\n".to_owned(); BREAKS]);
    let _gateway = Gateway::start(&config(&[], discovery.address, 64));
    let start = Instant::now();
    for _ in 0..BREAKS {
        assert_eq!(discovery.next_subscription(), "after 1\n");
        // An incomplete event does not count as delivered.
        discovery.write("{\"no\":2,\"recall\":{\"lot\":17,");
        discovery.disconnect();
    }
    assert!(start.elapsed() < TEST_TIMEOUT);
}

#[test]
fn excluded_members_and_the_age_of_reports_agree_with_the_sockets() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let members = [
        Member("e1", "box", edge.address),
        Member("e2", "box", unused_address()),
        Member("o", "origin", unused_address()),
    ];
    let mut gateway = Gateway::start(&config(&members, unused_address(), 64));
    let mut client = Client::connect(&gateway);
    assert_eq!(gateway.gauges()["members left out"], 0);
    for object in 0..24 {
        // Objects of the unreachable cache are served by the other one.
        client.send_request("segment", object, 3_000, &[]);
        _ = client.read_answer();
    }
    let before = Instant::now();
    while client.send_request("segment", 1, 3_000, &[]) > 0 && client.read_answer().error.is_some() {
        assert!(client.next_message_id < 200);
    }
    let after = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let least = after.elapsed().as_millis();
    let now = gateway.gauges();
    assert_eq!(now["members left out"], 1);
    let age = now["ms of the longest silence"] as u128;
    assert!(least <= age + 1 && age <= before.elapsed().as_millis(), "{least} {age}");
    assert_eq!((now["txns open"], now["hops out"], now["hops decided on"]), (0, 0, 0));
}

#[test]
fn no_table_grows_with_the_number_of_past_ids() {
    let cache = StubCache::start(|_| ok_response(b"x"));
    let discovery = DiscoveryServer::start(Vec::new());
    let mut gateway = Gateway::start(&config(&[], discovery.address, 64));
    discovery.next_subscription();
    let mut sizes = |days: std::ops::Range<u64>| {
        for no in days {
            // A new cache at the address of the previous one, a new client and a new object.
            let [new, old] = [no, no - 1].map(|n| format!("e{n}"));
            let [new, old] = [(&new, "up"), (&old, "removed")].map(|(id, state)| {
                let mut at = endpoint(&Member("", "box", cache.address), state);
                at["name"] = json!(id);
                at
            });
            discovery.send_line(&roster_event(no + 1, json!([old, new])));
            let mut client = Client::connect(&gateway);
            while client.send_request("segment", no, 3_000, &[]) > 0 && client.read_answer().error.is_some() {
                assert!(client.next_message_id < 200);
                thread::sleep(Duration::from_millis(20));
            }
        }
        gateway.gauges().iter().filter(|(what, _)| !what.starts_with("ms ")).map(|(_, n)| n).sum::<usize>()
    };
    let (few, many) = (sizes(1..8), sizes(8..60));
    assert!(many <= few + 8, "{few} then {many}");
}

/// A stub cache's response, selected by a random number.
fn random_response(chance: u8, body: &[u8]) -> Reply {
    match chance % 11 {
        0 => Reply::Send(http_response("404 Not Found", "X-Result: src_lacks\r\n", b"")),
        1 => Reply::Send(http_response("503 Full", "X-Declined: 1\r\nX-Result: src_refused\r\n", b"")),
        2 => Reply::Send(http_response("500 Error", "", b"an error page")),
        3 => Reply::SendAndClose(Vec::new()),
        4 => Reply::SendAndClose(http_response("200 OK", "", body)[..30].to_vec()),
        5 => Reply::Send(http_response("504 Over", "X-Declined: 1\r\n", b"")),
        6 => Reply::SendAndClose(http_response("200 OK", "X-Waited-Ms: 3\r\nX-Result: filled\r\n", body)),
        7 => Reply::Send(b"\r\n\r\n".to_vec()),
        _ => ok_response(body),
    }
}

/// Whether the request is a write, its object, and whether it is cancelled.
type RequestPlan = (bool, u8, u8);

/// Checks the txn rules against randomly misbehaving caches, with or without a planned restart: each txn gets exactly one
/// answer, or at most one if it was cancelled; bodies are complete; no write runs twice, and no write that may have run is
/// rejected.
fn random_run(stop: bool, chances: Vec<u8>, asks: Vec<RequestPlan>) -> bool {
    let ran: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let count = Arc::new(Mutex::new(0));
    let start = || {
        let (ran, count, chances) = (Arc::clone(&ran), Arc::clone(&count), chances.clone());
        StubCache::start(move |request| {
            let mut n = count.lock().unwrap();
            *n += 1;
            let chance = chances.get(*n % (chances.len() + 1)).copied().unwrap_or(10);
            let never_ran = matches!(chance % 11, 0 | 1 | 5);
            if !never_ran && !request.body.is_empty() {
                *ran.lock().unwrap().entry(String::from_utf8(request.body.clone()).unwrap()).or_default() +=
                    1;
            }
            let path = request.head.split(' ').nth(1).unwrap();
            random_response(chance, &body_for_path(path, 40_000))
        })
    };
    let caches = [start(), start(), start(), start()];
    let members = [
        Member("e1", "box", caches[0].address),
        Member("e2", "box", caches[1].address),
        Member("p1", "parent", caches[2].address),
        Member("o", "origin", caches[3].address),
    ];
    let mut gateway = Gateway::start(&config(&members, unused_address(), 16));
    let mut client = Client::connect(&gateway);
    let (mut asked, mut unanswered) = (BTreeMap::new(), BTreeSet::new());
    for (i, (write, object, interrupt)) in asks.into_iter().take(30).enumerate() {
        let body = if write { format!("effect {i}") } else { String::new() };
        let (method, object) = (if write { "commit" } else { "segment" }, u64::from(object));
        let id = client.send_request(method, object, 15_000, body.as_bytes());
        asked.insert(id, (format!("/x/{method}/{object:016x}/3"), body));
        if interrupt % 4 == 0 {
            client.cancel(id);
        } else {
            unanswered.insert(id);
        }
    }
    if stop {
        gateway.signal("TERM");
    }
    let mut checked = None;
    loop {
        if unanswered.is_empty() && checked.is_none() {
            if stop {
                break;
            }
            // No answer may follow the one to this health check.
            checked = Some(client.send_health_check());
        }
        let answer = client.read_answer();
        if checked == Some(answer.id) {
            break;
        }
        let Some((path, body)) = asked.remove(&answer.id) else { return false };
        unanswered.remove(&answer.id);
        let times = ran.lock().unwrap().get(&body).copied().unwrap_or(0);
        let fits = match answer.error.as_deref() {
            None => answer.body == body_for_path(&path, 40_000) && (body.is_empty() || times == 1),
            Some("Backoff") => times == 0,
            Some(word) => word == "Lost" && times <= 1,
        };
        if !fits {
            return false;
        }
    }
    if !stop {
        // Answered txns are in no table, and no hop is left in the module or on the sockets.
        let now = gateway.gauges();
        let open =
            ["txns open", "txns by message", "txns by id", "txns decided on", "hops out", "hops decided on"];
        assert_eq!(open.map(|what| now[what]), [0; 6]);
    }
    !ran.lock().unwrap().values().any(|&n| n > 1) && (!stop || gateway.child.wait().unwrap().success())
}

#[test]
fn random_runs_keep_the_rules() {
    let seeded = Gen::from_size_and_seed(40, 11);
    QuickCheck::new()
        .rng(seeded)
        .tests(12)
        .quickcheck(random_run as fn(bool, Vec<u8>, Vec<RequestPlan>) -> bool);
}

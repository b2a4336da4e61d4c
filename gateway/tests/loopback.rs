//! End-to-end tests of the gateway process on loopback, with stub caches, a stub discovery service and clients, both
//! well-behaved and misbehaving.

mod stand_ins;

use async_io::block_on;
use futures_lite::future;
use kelpcart::Span;
use kelpcart_gateway::buffers::{self, Pool};
use kelpcart_gateway::caches::{Caches, ConnectionLimits};
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::config::{self, parse_event};
use kelpcart_gateway::connection_end::ConnectionEnd;
use kelpcart_gateway::dispatch_api::HopRequest;
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
fn a_body_reaches_the_client_whole_and_the_cache_is_told_all() {
    let bytes = bytes_of("whole", 240_000);
    let held = bytes.clone();
    let edge = Cache::start(move |_| ok(&held));
    let members = [
        Member("e1", "box", edge.address),
        Member("p1", "parent", nobody()),
        Member("o", "origin", nobody()),
    ];
    let gateway = Gateway::start(&config(&members, nobody(), 64));
    let mut client = Client::of(&gateway);
    assert!(client.check());
    let id = client.ask("segment", 5, 3_000, &[]);
    let answer = client.answer();
    assert_eq!((answer.id, answer.word, answer.body == bytes), (id, None, true));
    assert_eq!(answer.fields, BTreeMap::new());
    let seen = edge.came();
    assert!(seen.head.starts_with("GET /x/segment/0000000000000005/3 HTTP/1.1\r\n"), "{}", seen.head);
    assert_eq!(seen.field("X-Trace"), Some(&*client.req));
    assert_eq!((seen.field("X-Fill-From"), seen.field("X-Keep")), (Some("p1"), Some("1")));
    let patience: u64 = seen.field("X-Patience").unwrap().parse().unwrap();
    assert!((1..=3_000).contains(&patience));
    assert_eq!((seen.field("X-Max-Age-Ms"), seen.field("If-None-Match")), (None, None));
}

#[test]
fn a_copy_that_still_holds_is_confirmed_only_to_who_has_one() {
    let edge = Cache::start(|_| Reply::Send(b"HTTP/1.1 304 Not Modified\r\nETag: 12ab\r\n\r\n".to_vec()));
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    let base = [
        ("req", "9b1f03aa5c7e2d41"),
        ("timeout", "900"),
        ("subject", "00000000000000ff"),
        ("slice", "0"),
        ("set", "1"),
        ("need", "1"),
    ];
    client.ask_with("segment", &[&base[..], &[("seen", "4be0c1927d55a6f3")]].concat(), &[]);
    let answer = client.answer();
    assert_eq!((answer.word, answer.body), (None, vec![]));
    assert_eq!(answer.fields.get("current").map(String::as_str), Some("1"));
    assert_eq!(edge.came().field("If-None-Match"), Some("4be0c1927d55a6f3"));
    // A client without a copy must not get an answer without a body.
    client.ask_with("segment", &base, &[]);
    assert!(client.answer().word.is_some());
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
        let origin = Cache::start(move |_| Reply::SendAndClose(bytes.to_vec()));
        let members = [Member("e1", "box", nobody()), Member("o", "origin", origin.address)];
        let gateway = Gateway::start(&config(&members, nobody(), 64));
        let mut client = Client::of(&gateway);
        client.ask("commit", 9, 3_000, b"the effect");
        assert_eq!(client.answer().word.as_deref(), Some("Lost"));
        assert_eq!(origin.came().body, b"the effect");
        assert_eq!(origin.came_so_far(), 0);
    }
}

#[test]
fn an_unrepeatable_txn_that_never_ran_is_tried_again_or_rejected() {
    let declined = || Reply::Send(answer("503 Full", "X-Declined: 1\r\n", b""));
    let first = Mutex::new(true);
    let origin =
        Cache::start(
            move |_| {
                if std::mem::take(&mut *first.lock().unwrap()) { declined() } else { ok(b"done") }
            },
        );
    let members = [Member("e1", "box", nobody()), Member("o", "origin", origin.address)];
    let gateway = Gateway::start(&config(&members, nobody(), 64));
    let mut client = Client::of(&gateway);
    client.ask("commit", 9, 3_000, b"x");
    assert_eq!(client.answer().body, b"done");
    let full = Cache::start(move |_| declined());
    let members = [Member("e1", "box", nobody()), Member("o", "origin", full.address)];
    let gateway = Gateway::start(&config(&members, nobody(), 64));
    let mut client = Client::of(&gateway);
    client.ask("commit", 9, 3_000, b"x");
    let answer = client.answer();
    assert_eq!(answer.word.as_deref(), Some("Backoff"));
    assert!(answer.fields["holdoff"].parse::<u64>().unwrap() <= 2_000);
}

#[test]
fn damaged_answers_are_not_passed_on_and_their_connections_not_used_again() {
    let huge = answer("200 OK", "", &vec![0; 300_000]);
    let short = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec();
    let chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_vec();
    let endless = [b"HTTP/1.1 200 OK\r\nX: ".to_vec(), vec![b'x'; 20_000]].concat();
    // The head never ends, but its first header line is already malformed.
    let unended = b"HTTP/1.1 200 OK\r\nno colon\r\n".to_vec();
    let bad = [huge, chunked, endless, unended, b"no HTTP at all\r\n\r\n".to_vec()];
    for (bad, cut) in bad.into_iter().map(|b| (b, false)).chain([(short, true)]) {
        let caches = [(); 2].map(|()| {
            let bad = bad.clone();
            Cache::start(
                move |_| {
                    if cut { Reply::SendAndClose(bad.clone()) } else { Reply::Send(bad.clone()) }
                },
            )
        });
        let parent = Cache::start(|_| ok(b"good"));
        let members = [
            Member("e1", "box", caches[0].address),
            Member("e2", "box", caches[1].address),
            Member("p1", "parent", parent.address),
            Member("o", "origin", nobody()),
        ];
        let gateway = Gateway::start(&config(&members, nobody(), 64));
        let mut client = Client::of(&gateway);
        client.ask("segment", 9, 3_000, &[]);
        assert_eq!(client.answer().body, b"good");
        for cache in &caches {
            cache.came();
            cache.closed();
        }
    }
}

#[test]
fn damaged_answers_are_no_silence() {
    // A cache that sends malformed responses must not be treated as unreachable.
    let left = AtomicUsize::new(4);
    let edge = Cache::start(move |_| {
        let spoilt = left.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |n| n.checked_sub(1)).is_ok();
        if spoilt { Reply::Send(b"\xff\xff\xff\xff".to_vec()) } else { ok(b"x") }
    });
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    let answers: Vec<bool> = (0..5)
        .map(|object| {
            client.ask("segment", object, 3_000, &[]);
            client.answer().word.is_none()
        })
        .collect();
    assert_eq!(answers, [false, false, false, false, true]);
}

#[test]
fn a_kept_connection_that_was_closed_is_not_written_to() {
    let edge = Cache::start(|seen| Reply::SendAndClose(answer("200 OK", "", seen.head.as_bytes())));
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    for object in 0..4 {
        client.ask("segment", object, 3_000, &[]);
        assert_eq!(client.answer().word, None);
        edge.came();
        edge.closed();
        edge.wait_for_acknowledged_ends();
    }
    assert_eq!(edge.came_so_far(), 0);
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
        let edge = Cache::start(move |seen| {
            let good = answer("200 OK", "", seen.head.split(' ').nth(1).unwrap().as_bytes());
            Reply::Send([before.as_bytes(), &good, after.as_bytes()].concat())
        });
        let gateway = Gateway::with_edge(&edge);
        let mut client = Client::of(&gateway);
        for object in 1..4 {
            client.ask("segment", object, 3_000, &[]);
            let path = format!("/x/segment/{object:016x}/3");
            assert_eq!(String::from_utf8(client.answer().body).unwrap(), path);
            edge.came();
            // The connection is not reused.
            edge.closed();
        }
    }
}

fn connections_for(asks: u64, pause: Duration) -> usize {
    let edge = Cache::start(|_| ok(b"x"));
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    for object in 0..asks {
        client.ask("segment", object, 3_000, &[]);
        assert_eq!(client.answer().body, b"x");
        thread::sleep(pause);
    }
    edge.connected.load(Ordering::SeqCst)
}

#[test]
fn a_kept_connection_is_used_again_once_it_has_rested() {
    assert_eq!(connections_for(9, Duration::from_millis(60)), 1);
    // Within the reuse delay a new connection is opened: stray bytes of one response must not reach another txn.
    assert!(connections_for(60, Duration::ZERO) > 1);
}

#[test]
fn idle_connections_are_closed_before_the_caches_would() {
    let edge = Cache::start(|_| ok(b"x"));
    let short = [("/settings/PolicyLimits/ConnIdleUs", 1_000_000)];
    let gateway = Gateway::start(&edge_config(&edge, &short));
    let mut client = Client::of(&gateway);
    client.ask("segment", 1, 3_000, &[]);
    assert_eq!(client.answer().body, b"x");
    edge.closed();
    client.ask("segment", 1, 3_000, &[]);
    assert_eq!(client.answer().body, b"x");
}

#[test]
fn a_silent_bulletin_is_asked_again() {
    let bulletin = Bulletin::start(Vec::new());
    let _gateway = Gateway::start(&config(&[], bulletin.address, 64));
    assert_eq!([bulletin.asked(), bulletin.asked()], ["after 1\n", "after 1\n"]);
}

#[test]
fn who_sends_nothing_whole_is_closed_before_who_asked_and_rests() {
    let (edge, release) = Cache::holding(b"x");
    let gateway = Gateway::with_edge(&edge);
    let mut usual = Client::of(&gateway);
    assert!(usual.check());
    // No input, a partial message, a message that trickles in, and a partial message after an open request.
    let mut bad = [(); 4].map(|()| Client::of(&gateway));
    bad[1].send(&[0x94, 0x00]);
    let trickles = bad[2].stream.try_clone().unwrap();
    bad[2].send(&[0xc5, 0xff, 0x00]);
    thread::spawn(move || {
        while (&trickles).write_all(&[0x00]).is_ok() {
            thread::sleep(Duration::from_millis(700));
        }
    });
    bad[3].ask("segment", 1, 25_000, &[]);
    bad[3].send(&[0x94, 0x00]);
    edge.came();
    assert!(bad[..3].iter_mut().all(Client::is_closed));
    assert!(usual.check());
    // The answer to the open request is still written.
    release.send(()).unwrap();
    assert_eq!(bad[3].answer().body, b"x");
    assert!(bad[3].is_closed() && usual.is_closed());
}

#[test]
fn a_refusal_reaches_a_client_that_sends_on() {
    let gateway = Gateway::start(&config(&[], nobody(), 64));
    let mut client = Client::of(&gateway);
    // The start of a request with a declared body length of 60 MB, and a small part of the body.
    let endless = [b"\x94\x00\x07\xa7segment\x92\x80\xc6\x03\x93\x87\x00".to_vec(), vec![0; 64 * 1024]];
    client.send(&endless.concat());
    let answer = client.answer();
    assert_eq!((answer.id, answer.word.as_deref()), (7, Some("Invalid")));
    // An orderly close: a reset could destroy the error answer.
    assert_eq!(client.stream.read(&mut [0]).unwrap(), 0);
}

#[test]
fn an_id_that_is_open_can_not_name_another_object() {
    let (edge, release) = Cache::holding(b"x");
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    let first = client.ask("segment", 1, 15_000, &[]);
    edge.came();
    let second = client.ask_again("segment", 2, 15_000, &[]);
    let answer = client.answer();
    assert_eq!((answer.id, answer.word.as_deref()), (second, Some("Invalid")));
    release.send(()).unwrap();
    assert_eq!(client.answer().id, first);
    // The request id can be reused once its request is answered.
    client.ask_again("segment", 2, 15_000, &[]);
    release.send(()).unwrap();
    assert_eq!(client.answer().body, b"x");
}

#[test]
fn a_client_at_full_speed_does_not_starve_others() {
    let gateway = Gateway::start(&config(&[], nobody(), 64));
    let flood = TcpStream::connect(gateway.address).unwrap();
    let mut usual = Client::of(&gateway);
    // These messages get no answer, so that only fair scheduling limits their reader.
    let many = b"\x93\x02\xa9interrupt\x91\x01".repeat(4_096);
    thread::spawn(move || while (&flood).write_all(&many).is_ok() {});
    for _ in 0..20 {
        assert!(usual.check());
    }
}

#[test]
fn an_interrupted_txn_gets_no_answer_and_its_hop_is_given_up() {
    let edge =
        Cache::start(|seen| if seen.head.contains("/0000000000000001/") { Reply::Silent } else { ok(b"x") });
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    let first = client.ask("segment", 1, 15_000, &[]);
    edge.came();
    client.interrupt(first);
    edge.closed();
    let second = client.ask("segment", 2, 3_000, &[]);
    assert_eq!(client.answer().id, second);
    // The same when the client disconnects.
    edge.came();
    client.ask("segment", 1, 15_000, &[]);
    edge.came();
    drop(client);
    edge.closed();
}

#[test]
fn a_silent_cache_costs_a_txn_its_time_limit_and_no_more() {
    let edge = Cache::start(|_| Reply::Silent);
    let gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    let id = client.ask("segment", 1, 200, &[]);
    let answer = client.answer();
    assert!(answer.id == id && answer.word.is_some());
    edge.closed();
    // A write that may have run must not be rejected, which would mean that a retry is safe.
    let members = [Member("e1", "box", nobody()), Member("o", "origin", edge.address)];
    let gateway = Gateway::start(&config(&members, nobody(), 64));
    let mut client = Client::of(&gateway);
    client.ask("commit", 1, 200, b"x");
    assert_eq!(client.answer().word.as_deref(), Some("Lost"));
}

#[test]
fn hops_over_the_bound_of_descriptors_wait_for_one() {
    let (edge, release) = Cache::holding(b"x");
    let few = [("/limits/sockets", 48), ("/settings/PolicyLimits/ConnectTimeoutUs", 20_000_000)];
    let mut gateway = Gateway::start(&edge_config(&edge, &few));
    let mut client = Client::of(&gateway);
    for object in 0..16 {
        client.ask("segment", object, 20_000, &[]);
    }
    assert!(client.check());
    (0..8).for_each(|_| _ = edge.came());
    // The views of the module, the dispatcher and the sockets agree: eight of sixteen hops wait for a descriptor.
    let now = gateway.now();
    assert_eq!((now["hops decided on"], now["hops out"], now["hops"], now["clients"]), (16, 16, 8, 1));
    assert_eq!(edge.came_so_far(), 0);
    (0..16).for_each(|_| release.send(()).unwrap());
    for _ in 0..16 {
        assert_eq!(client.answer().body, b"x");
    }
}

#[test]
fn waits_for_the_gateways_own_means_are_not_the_caches() {
    let (edge, release) = Cache::holding(b"x");
    let (clock, counters, pool) = (Clock::start(), Rc::default(), Pool::new(2 * buffers::BUFFER_BYTES));
    let second = Span::from_millis(1_000);
    let bounds =
        ConnectionLimits { connect_timeout: second * 20.0, idle_timeout: second, max_connections: 1 };
    let caches = Caches::new(clock, Rc::clone(&pool), counters, bounds);
    let entry = endpoint(&Member("e1", "box", edge.address), "up");
    let roster = json!({"no": 1, "roster": {"index": 0, "snapshot": true, "endpoints": [entry]}});
    let Ok((_, Some(config::DiscoveryEvent::Roster { list, .. }))) =
        parse_event(&roster, &Default::default())
    else {
        panic!("no roster")
    };
    caches.update_members(true, &list);
    let hop = |wait: Span| {
        let (member, until, rule, ask) = ("e1".into(), clock.now() + wait, "segment".into(), Rc::default());
        let (begin_by, begun) = (until, Rc::default());
        let (write, once, fill) = (false, false, None);
        caches.run_hop(HopRequest {
            member,
            start_by: begin_by,
            started: begun,
            deadline: until,
            sla_deadline: until,
            rule,
            is_write: write,
            unrepeatable: once,
            request: ask,
            fill,
        })
    };
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
fn what_is_over_the_bound_of_open_txns_is_rejected_at_once() {
    let edge = Cache::start(|_| Reply::Silent);
    let gateway = Gateway::start(&edge_config(&edge, &[("/settings/PolicyLimits/MaxOpen", 1)]));
    let mut client = Client::of(&gateway);
    client.ask("segment", 1, 15_000, &[]);
    let second = client.ask("segment", 2, 15_000, &[]);
    let answer = client.answer();
    assert_eq!((answer.id, answer.word.as_deref()), (second, Some("Backoff")));
    edge.came();
    assert_eq!(edge.came_so_far(), 0);
}

#[test]
fn what_a_client_sends_wrong_costs_its_own_connection_at_most() {
    let edge = Cache::start(|_| ok(b"x"));
    let gateway = Gateway::with_edge(&edge);
    let mut good = Client::of(&gateway);
    // Not MessagePack, a length beyond any frame, and unbounded nesting.
    let nested = vec![0x91; 5_000];
    for bytes in [&b"\xc1"[..], b"\xc6\xff\xff\xff\xff", b"\xdd\xff\xff\xff\xff", &nested] {
        let mut bad = Client::of(&gateway);
        bad.send(bytes);
        assert!(bad.is_closed());
    }
    let mut bad = Client::of(&gateway);
    let id = bad.ask("no such method", 1, 3_000, &[]);
    let refused = bad.answer();
    assert_eq!((refused.id, refused.word.as_deref()), (id, Some("Invalid")));
    for fields in [&[("req", "short"), ("timeout", "9")][..], &[("timeout", "x")], &[]] {
        let id = bad.ask_with("segment", fields, &[]);
        let refused = bad.answer();
        assert_eq!((refused.id, refused.word.as_deref()), (id, Some("Invalid")));
    }
    // A read with a body.
    let id = bad.ask("segment", 1, 3_000, b"x");
    assert_eq!((bad.answer().id, edge.came_so_far()), (id, 0));
    // A complete frame with wrong types.
    bad.next += 1;
    let id = bad.next - 1;
    bad.send(&[0x94, 0x00, id, 0xa1, b'x', 0x91, 0x07]);
    assert_eq!(bad.answer().id, u64::from(id));
    bad.ask("segment", 1, 3_000, &[]);
    assert_eq!(bad.answer().body, b"x");
    // A message id that was used before.
    bad.next -= 1;
    bad.ask("segment", 1, 3_000, &[]);
    assert!(bad.is_closed());
    good.ask("segment", 1, 3_000, &[]);
    assert_eq!(good.answer().body, b"x");
}

#[test]
fn a_client_that_stops_reading_does_not_hold_up_the_others() {
    let bytes = bytes_of("stalled", 240_000);
    let held = bytes.clone();
    let edge = Cache::start(move |_| ok(&held));
    // Memory for fewer bodies than the stalled reader requests.
    let gateway = Gateway::start(&edge_config(&edge, &[("/limits/memory_mb", 8)]));
    let mut stopped = Client::of(&gateway);
    for object in 0..32 {
        stopped.ask("segment", object, 15_000, &[]);
    }
    let mut good = Client::of(&gateway);
    // Requests may be rejected while memory is short; they are served once the stalled reader is disconnected.
    let (start, mut served) = (Instant::now(), 0);
    while served < 4 {
        good.ask("segment", 1, 15_000, &[]);
        let answer = good.answer();
        assert!(answer.body == bytes || answer.word.as_deref() == Some("Backoff"));
        served += usize::from(answer.word.is_none());
        if answer.word.is_some() {
            assert!(start.elapsed() < PATIENCE);
            thread::sleep(Duration::from_millis(200));
        }
    }
}

#[test]
fn a_client_that_takes_no_answers_is_not_read_on_and_then_left() {
    let edge = Cache::start(|_| ok(b"x"));
    let gateway = Gateway::with_edge(&edge);
    let mut stopped = Client::of(&gateway);
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
fn a_flood_of_idle_connections_keeps_nobody_out() {
    let (edge, release) = Cache::holding(b"x");
    let mut gateway = Gateway::start(&edge_config(&edge, &[("/limits/sockets", 48)]));
    let mut good = Client::of(&gateway);
    let first = good.ask("segment", 1, 15_000, &[]);
    let mut rests = Client::of(&gateway);
    assert!(rests.check());
    // Twice as many as there are descriptors.
    let flood: Vec<Client> = (0..96).map(|_| Client::of(&gateway)).collect();
    let mut late = Client::of(&gateway);
    assert!(late.check());
    gateway.signal("USR1");
    assert!(gateway.line().contains("idle clients closed for room"));
    // Clients that never sent a request are evicted before those that did.
    assert!(rests.check());
    release.send(()).unwrap();
    assert_eq!(good.answer().id, first);
    drop(flood);
}

#[test]
fn at_a_planned_restart_what_is_open_is_answered_first() {
    let (edge, release) = Cache::holding(b"late");
    let mut gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    let id = client.ask("segment", 1, 15_000, &[]);
    let mut other = Client::of(&gateway);
    assert!(other.check());
    gateway.signal("USR1");
    assert!(gateway.line().contains("requests 1"));
    gateway.signal("TERM");
    while other.check() {}
    // New connections are still accepted and served.
    let mut newcomer = Client::of(&gateway);
    assert!(!newcomer.check());
    release.send(()).unwrap();
    let answer = client.answer();
    assert_eq!((answer.id, answer.body), (id, b"late".to_vec()));
    assert!(gateway.child.wait().unwrap().success());
    assert!(gateway.line().contains("told to stop, 1 txns open"));
    assert!(gateway.line().contains("txns completed 1"));
}

#[test]
fn at_a_planned_restart_what_can_not_end_is_aborted_in_time() {
    let edge = Cache::start(|_| Reply::Silent);
    let mut gateway = Gateway::with_edge(&edge);
    let mut client = Client::of(&gateway);
    client.ask("segment", 1, 15_000, &[]);
    edge.came();
    gateway.signal("TERM");
    assert_eq!(client.answer().word.as_deref(), Some("Lost"));
    assert!(gateway.child.wait().unwrap().success());
}

#[test]
fn a_configuration_that_lacks_a_field_ends_the_start_with_its_name() {
    let whole = config(&[], nobody(), 64);
    let without = |path: &[&str]| {
        let mut all = whole.clone();
        let (last, way) = path.split_last().unwrap();
        let inner = way.iter().fold(&mut all, |v, name| &mut v[*name]);
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
        let said = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success());
        assert!(said.lines().count() == 1 && said.contains(path.last().unwrap()), "{said}");
    }
}

#[test]
fn a_connection_is_its_members_and_not_its_addresses() {
    let cache = Cache::start(|_| ok(b"x"));
    let [old, new] = ["e1", "e2"].map(|id| Member(id, "box", cache.address));
    let bulletin = Bulletin::start(Vec::new());
    let listed = [Member("o", "origin", nobody()), Member("e1", "box", cache.address)];
    let gateway = Gateway::start(&config(&listed, bulletin.address, 64));
    bulletin.asked();
    let mut client = Client::of(&gateway);
    client.ask("segment", 1, 3_000, &[]);
    assert_eq!(client.answer().body, b"x");
    bulletin.tell(&change(2, json!([endpoint(&new, "up"), endpoint(&old, "removed")])));
    // The idle connection of the removed member is closed, although its address belongs to another member now.
    cache.closed();
    client.ask("segment", 1, 3_000, &[]);
    assert_eq!(client.answer().body, b"x");
    // The same for a member that drains and for one that has restarted.
    bulletin.tell(&change(3, json!([endpoint(&new, "draining"), endpoint(&old, "up")])));
    cache.closed();
    client.ask("segment", 1, 3_000, &[]);
    assert_eq!(client.answer().body, b"x");
    let mut anew = endpoint(&old, "up");
    anew["since_ms"] = json!(1_000);
    bulletin.tell(&change(4, json!([anew])));
    cache.closed();
}

#[test]
fn the_bulletins_events_come_in_order_and_a_gap_is_asked_for_again() {
    let caches = [(); 2].map(|()| Cache::start(|_| ok(b"x")));
    let [e1, e2] = [Member("e1", "box", caches[0].address), Member("e2", "box", caches[1].address)];
    let first = change(2, json!([endpoint(&e1, "draining"), endpoint(&e2, "up")]));
    let issued = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64 - 5_000;
    let purge = json!({"no": 3, "recall": {"lot": 17, "issued": issued}}).to_string();
    // A gap in the numbers, a malformed event, a number ahead of the events, and the missing event after a repeated one.
    let gap = change(9, json!([endpoint(&e2, "removed")]));
    let lines = vec![
        format!("{first}\n{gap}\n"),
        "2\n{\"no\":3,\"roster\":{}}\n".to_owned(),
        "7\n".to_owned(),
        format!("2\n{first}\n{purge}\n3\nnonsense\n"),
    ];
    let bulletin = Bulletin::start(lines);
    let members = [Member("o", "origin", nobody()), Member("e1", "box", caches[0].address)];
    let mut gateway = Gateway::start(&config(&members, bulletin.address, 64));
    let asked: Vec<String> = (0..5).map(|_| bulletin.asked()).collect();
    assert_eq!(asked, ["after 1\n", "after 2\n", "after 2\n", "after 2\n", "after 3\n"]);
    for why in
        ["event numbers: 9 after 2", "endpoints is missing", "event numbers: 7 after 2", "not valid JSON"]
    {
        let line = (0..2).map(|_| gateway.line()).find(|l| l.contains("can't be used")).unwrap();
        assert!(line.contains(why), "{line}");
    }
    let mut client = Client::of(&gateway);
    for object in 0..8 {
        client.ask("segment", object, 3_000, &[]);
        assert_eq!(client.answer().body, b"x");
        // The maximum age rules out exactly the copies from before the purge of the group.
        let age: u64 = caches[1].came().field("X-Max-Age-Ms").unwrap().parse().unwrap();
        assert!((4_900..60_000).contains(&age));
    }
    assert_eq!(caches[0].came_so_far(), 0);
}

#[test]
fn on_sighup_the_bulletin_moves_and_a_file_that_can_not_be_used_moves_nothing() {
    let cache = Cache::start(|_| ok(b"x"));
    let e1 = Member("e1", "box", cache.address);
    let [old, new] = [(); 2].map(|()| Bulletin::start(Vec::new()));
    let listed = [Member("o", "origin", nobody()), Member("e1", "box", cache.address)];
    let mut gateway = Gateway::start(&config(&listed, old.address, 64));
    let mut client = Client::of(&gateway);
    let mut event = |at: &Bulletin, no: u64| {
        client.ask("segment", 1, 3_000, &[]);
        assert_eq!(client.answer().body, b"x");
        let mut anew = endpoint(&e1, "up");
        anew["since_ms"] = json!(no);
        at.tell(&change(no, json!([anew])));
        // The member restarted by this event: once it is applied, connections to the member are closed.
        cache.closed();
    };
    assert_eq!(old.asked(), "after 1\n");
    event(&old, 2);
    for bad in ["", "{\"bulletin\":", "{\"bulletin\": 7}", "[]"] {
        gateway.replace(bad);
        assert!(gateway.line().contains("stays where it was"));
    }
    event(&old, 3);
    gateway.replace(&config(&listed, new.address, 64).to_string());
    assert_eq!(new.asked(), "after 3\n");
    assert!(gateway.line().contains("now followed at"));
    event(&new, 4);
    gateway.replace(&config(&listed, old.address, 64).to_string());
    assert_eq!(old.asked(), "after 4\n");
    event(&old, 5);
}

#[test]
fn a_bulletin_that_breaks_off_is_asked_again_without_growing_waits() {
    // With a growing backoff, even a bounded one, the test would exceed its timeout.
    const BREAKS: usize = 64;
    let bulletin = Bulletin::start(vec!["1\n".to_owned(); BREAKS]);
    let _gateway = Gateway::start(&config(&[], bulletin.address, 64));
    let start = Instant::now();
    for _ in 0..BREAKS {
        assert_eq!(bulletin.asked(), "after 1\n");
        // An incomplete event does not count as delivered.
        bulletin.write("{\"no\":2,\"recall\":{\"lot\":17,");
        bulletin.cut();
    }
    assert!(start.elapsed() < PATIENCE);
}

#[test]
fn who_is_left_out_and_the_age_of_reports_agree_with_the_sockets() {
    let edge = Cache::start(|_| ok(b"x"));
    let members =
        [Member("e1", "box", edge.address), Member("e2", "box", nobody()), Member("o", "origin", nobody())];
    let mut gateway = Gateway::start(&config(&members, nobody(), 64));
    let mut client = Client::of(&gateway);
    assert_eq!(gateway.now()["members left out"], 0);
    for object in 0..24 {
        // Objects of the unreachable cache are served by the other one.
        client.ask("segment", object, 3_000, &[]);
        _ = client.answer();
    }
    let before = Instant::now();
    while client.ask("segment", 1, 3_000, &[]) > 0 && client.answer().word.is_some() {
        assert!(client.next < 200);
    }
    let after = Instant::now();
    thread::sleep(Duration::from_millis(100));
    let least = after.elapsed().as_millis();
    let now = gateway.now();
    assert_eq!(now["members left out"], 1);
    let age = now["ms of the longest silence"] as u128;
    assert!(least <= age + 1 && age <= before.elapsed().as_millis(), "{least} {age}");
    assert_eq!((now["txns open"], now["hops out"], now["hops decided on"]), (0, 0, 0));
}

#[test]
fn no_table_grows_with_the_ids_that_have_been() {
    let cache = Cache::start(|_| ok(b"x"));
    let bulletin = Bulletin::start(Vec::new());
    let mut gateway = Gateway::start(&config(&[], bulletin.address, 64));
    bulletin.asked();
    let mut sizes = |days: std::ops::Range<u64>| {
        for no in days {
            // A new cache at the address of the previous one, a new client and a new object.
            let [new, old] = [no, no - 1].map(|n| format!("e{n}"));
            let [new, old] = [(&new, "up"), (&old, "removed")].map(|(id, state)| {
                let mut at = endpoint(&Member("", "box", cache.address), state);
                at["name"] = json!(id);
                at
            });
            bulletin.tell(&change(no + 1, json!([old, new])));
            let mut client = Client::of(&gateway);
            while client.ask("segment", no, 3_000, &[]) > 0 && client.answer().word.is_some() {
                assert!(client.next < 200);
                thread::sleep(Duration::from_millis(20));
            }
        }
        gateway.now().iter().filter(|(what, _)| !what.starts_with("ms ")).map(|(_, n)| n).sum::<usize>()
    };
    let (few, many) = (sizes(1..8), sizes(8..60));
    assert!(many <= few + 8, "{few} then {many}");
}

/// A stub cache's response, selected by a random number.
fn misbehave(chance: u8, body: &[u8]) -> Reply {
    match chance % 11 {
        0 => Reply::Send(answer("404 Not Found", "X-Result: src_lacks\r\n", b"")),
        1 => Reply::Send(answer("503 Full", "X-Declined: 1\r\nX-Result: src_refused\r\n", b"")),
        2 => Reply::Send(answer("500 Error", "", b"an error page")),
        3 => Reply::SendAndClose(Vec::new()),
        4 => Reply::SendAndClose(answer("200 OK", "", body)[..30].to_vec()),
        5 => Reply::Send(answer("504 Over", "X-Declined: 1\r\n", b"")),
        6 => Reply::SendAndClose(answer("200 OK", "X-Waited-Ms: 3\r\nX-Result: filled\r\n", body)),
        7 => Reply::Send(b"\r\n\r\n".to_vec()),
        _ => ok(body),
    }
}

/// Whether the request is a write, its object, and whether it is cancelled.
type Asked = (bool, u8, u8);

/// Checks the txn rules against randomly misbehaving caches, with or without a planned restart: each txn gets exactly one
/// answer, or at most one if it was cancelled; bodies are complete; no write runs twice, and no write that may have run is
/// rejected.
fn random_day(stop: bool, chances: Vec<u8>, asks: Vec<Asked>) -> bool {
    let ran: Arc<Mutex<BTreeMap<String, u32>>> = Arc::default();
    let count = Arc::new(Mutex::new(0));
    let start = || {
        let (ran, count, chances) = (Arc::clone(&ran), Arc::clone(&count), chances.clone());
        Cache::start(move |seen| {
            let mut n = count.lock().unwrap();
            *n += 1;
            let chance = chances.get(*n % (chances.len() + 1)).copied().unwrap_or(10);
            let never_ran = matches!(chance % 11, 0 | 1 | 5);
            if !never_ran && !seen.body.is_empty() {
                *ran.lock().unwrap().entry(String::from_utf8(seen.body.clone()).unwrap()).or_default() += 1;
            }
            let path = seen.head.split(' ').nth(1).unwrap();
            misbehave(chance, &bytes_of(path, 40_000))
        })
    };
    let caches = [start(), start(), start(), start()];
    let members = [
        Member("e1", "box", caches[0].address),
        Member("e2", "box", caches[1].address),
        Member("p1", "parent", caches[2].address),
        Member("o", "origin", caches[3].address),
    ];
    let mut gateway = Gateway::start(&config(&members, nobody(), 16));
    let mut client = Client::of(&gateway);
    let (mut asked, mut owed) = (BTreeMap::new(), BTreeSet::new());
    for (i, (write, object, interrupt)) in asks.into_iter().take(30).enumerate() {
        let body = if write { format!("effect {i}") } else { String::new() };
        let (method, object) = (if write { "commit" } else { "segment" }, u64::from(object));
        let id = client.ask(method, object, 15_000, body.as_bytes());
        asked.insert(id, (format!("/x/{method}/{object:016x}/3"), body));
        if interrupt % 4 == 0 {
            client.interrupt(id);
        } else {
            owed.insert(id);
        }
    }
    if stop {
        gateway.signal("TERM");
    }
    let mut checked = None;
    loop {
        if owed.is_empty() && checked.is_none() {
            if stop {
                break;
            }
            // No answer may follow the one to this health check.
            checked = Some(client.ask_check());
        }
        let answer = client.answer();
        if checked == Some(answer.id) {
            break;
        }
        let Some((path, body)) = asked.remove(&answer.id) else { return false };
        owed.remove(&answer.id);
        let times = ran.lock().unwrap().get(&body).copied().unwrap_or(0);
        let fits = match answer.word.as_deref() {
            None => answer.body == bytes_of(&path, 40_000) && (body.is_empty() || times == 1),
            Some("Backoff") => times == 0,
            Some(word) => word == "Lost" && times <= 1,
        };
        if !fits {
            return false;
        }
    }
    if !stop {
        // Answered txns are in no table, and no hop is left in the module or on the sockets.
        let now = gateway.now();
        let open =
            ["txns open", "txns by message", "txns by id", "txns decided on", "hops out", "hops decided on"];
        assert_eq!(open.map(|what| now[what]), [0; 6]);
    }
    !ran.lock().unwrap().values().any(|&n| n > 1) && (!stop || gateway.child.wait().unwrap().success())
}

#[test]
fn random_days_keep_the_rules() {
    let seeded = Gen::from_size_and_seed(40, 11);
    QuickCheck::new().rng(seeded).tests(12).quickcheck(random_day as fn(bool, Vec<u8>, Vec<Asked>) -> bool);
}

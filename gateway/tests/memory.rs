//! The memory of a gateway process with the least memory and the most descriptors that the pages name, under clients and caches
//! that would have it hold as much as they can. The bound is the limit in its settings.

mod stand_ins;

use serde_json::json;
use stand_ins::*;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

const MEMORY_MB: u64 = 32;
const DESCRIPTORS: u64 = 1_024;
/// A third of the descriptors: the most that clients may hold.
const CLIENTS: u64 = 340;
/// How long the clients go on: longer than the time limit of a slow message.
const LOAD_TIME: Duration = Duration::from_secs(4);

fn start(edge: &StubCache) -> Gateway {
    let mut all = edge_config(edge, &[("/limits/memory_mb", MEMORY_MB), ("/limits/sockets", DESCRIPTORS)]);
    // The module lets all txns pass to the cache.
    all["known"]["items"][0]["roster"]["endpoints"][0]["weight"] = json!(10_000.0);
    all["settings"]["PolicyLimits"]["ConnectTimeoutUs"] = json!(20_000_000);
    Gateway::start_limited(&all)
}

/// The peak of the process's resident memory so far.
fn peak_bytes(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.child.id())).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the process runs");
    line.trim().trim_end_matches(" kB").parse::<u64>().unwrap() * 1024
}

fn assert_within_limit(gateway: &Gateway) {
    let peak = peak_bytes(gateway);
    assert!(peak <= MEMORY_MB << 20, "{:.1} MB of {MEMORY_MB} MB", peak as f64 / f64::from(1 << 20));
}

/// A write of 48,000 bytes.
fn large_write() -> Vec<u8> {
    let mut out = vec![0x94, 0x00, 0x01];
    push_str(&mut out, "commit");
    out.extend([0x92, 0x85]);
    let fields =
        [("req", "00000000000000aa"), ("timeout", "9000"), ("subject", "00000000000000bb"), ("slice", "0")];
    for (name, value) in fields.into_iter().chain([("set", "1")]) {
        push_str(&mut out, name);
        push_str(&mut out, value);
    }
    out.push(0xc5);
    out.extend(48_000_u16.to_be_bytes());
    out.resize(out.len() + 48_000, b'y');
    out
}

/// A connection that neither blocks nor fails the test when the gateway stops reading or closes it.
fn connect(gateway: &Gateway) -> TcpStream {
    let stream = TcpStream::connect(gateway.address).unwrap();
    stream.set_nonblocking(true).unwrap();
    stream.set_nodelay(true).unwrap();
    stream
}

/// Guards against requests that wait for a connection to a cache and take tens of KB each.
#[test]
fn many_open_requests_stay_within_the_memory_limit() {
    let edge = StubCache::start(|_| Reply::Silent);
    let gateway = start(&edge);
    let clients = (0..CLIENTS).map(|i| {
        let mut client = Client::connect(&gateway);
        (0..32).for_each(|j| _ = client.send_request("segment", i * 32 + j, 20_000, &[]));
        client
    });
    let _clients: Vec<Client> = clients.collect();
    sleep(LOAD_TIME);
    assert_within_limit(&gateway);
}

/// Guards against buffers of unfinished requests that are bounded for each connection alone.
#[test]
fn half_written_large_requests_stay_within_the_memory_limit() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = start(&edge);
    let write = large_write();
    for part in [write.len() - 1, 60 * 1024] {
        let part = &[&write[..write.len() - 1], &[0; 16 * 1024]].concat()[..part];
        let clients: Vec<TcpStream> = (0..CLIENTS).map(|_| connect(&gateway)).collect();
        for mut client in &clients {
            _ = client.write(part);
        }
        sleep(LOAD_TIME);
        assert_within_limit(&gateway);
    }
    let mut client = Client::connect(&gateway);
    assert!(client.is_ready());
}

/// Guards against the same with clients that go on writing.
#[test]
fn slowly_written_large_requests_stay_within_the_memory_limit() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = start(&edge);
    let write = large_write();
    let clients: Vec<TcpStream> = (0..CLIENTS).map(|_| connect(&gateway)).collect();
    for piece in write.chunks(1_200) {
        for mut client in &clients {
            _ = client.write(piece);
        }
        sleep(Duration::from_millis(40));
    }
    sleep(LOAD_TIME);
    assert_within_limit(&gateway);
}

/// A health check, or a message without parameters, which is answered as invalid.
fn small_message(id: u32) -> Vec<u8> {
    if id.is_multiple_of(2) {
        [&[0x94, 0x00, 0xce][..], &id.to_be_bytes(), b"\xa5check\x91\x80"].concat()
    } else {
        [&[0x93, 0x00, 0xce][..], &id.to_be_bytes(), b"\xc0"].concat()
    }
}

/// Guards against answers and events that pile up while many clients send small or unsound messages at full speed.
#[test]
fn floods_of_small_messages_stay_within_the_memory_limit() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = start(&edge);
    let clients: Vec<TcpStream> = (0..CLIENTS).map(|_| connect(&gateway)).collect();
    let (began, mut next_id) = (Instant::now(), 1);
    while began.elapsed() < LOAD_TIME {
        let messages: Vec<u8> = (next_id..next_id + 2_000).flat_map(small_message).collect();
        next_id += 2_000;
        for (i, mut client) in clients.iter().enumerate() {
            // Part of a message may be written: those behind it are then unsound, too.
            _ = client.write(&messages);
            // Half of the clients read what they are sent.
            if i % 2 == 0 {
                _ = client.read(&mut [0; 64 * 1024]);
            }
        }
    }
    assert_within_limit(&gateway);
}

/// Guards against a client that sends small messages at full speed and keeps others waiting.
#[test]
fn a_flood_of_one_client_delays_no_other() {
    let edge = StubCache::start(|_| ok_response(b"x"));
    let gateway = start(&edge);
    let flood = TcpStream::connect(gateway.address).unwrap();
    let (mut writer, mut reader) = (flood.try_clone().unwrap(), flood);
    std::thread::spawn(move || while matches!(reader.read(&mut [0; 64 * 1024]), Ok(1..)) {});
    std::thread::spawn(move || {
        let chunks = (0..u32::MAX / 1_000).map(|i| i * 1_000 + 1..(i + 1) * 1_000 + 1);
        for chunk in chunks {
            let messages: Vec<u8> = chunk.flat_map(small_message).collect();
            if writer.write_all(&messages).is_err() {
                return;
            }
        }
    });
    let began = Instant::now();
    while began.elapsed() < LOAD_TIME {
        let asked = Instant::now();
        let mut usual = Client::connect(&gateway);
        usual.send_request("segment", 1, 9_000, &[]);
        assert_eq!(usual.read_answer().body, b"x");
        assert!(asked.elapsed() < Duration::from_millis(500), "waited for {:?}", asked.elapsed());
    }
}

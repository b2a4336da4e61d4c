//! A client writes one of its requests slowly while an earlier one on the same connection is still open.

use crate::{Run, Verdict};
use kelpcart_review::*;
use std::io::Write;

pub fn run(run: &Run) -> Verdict {
    let record = &run.record;
    let log = record.clone();
    // Serves every object; a large one takes as long as its transfer does.
    let cache = start_server(move |request| {
        log.line(&format!("cache: {} trace {}", request.path, request.field("X-Trace")));
        let large = request.path.starts_with("/x/media/00000000000000aa");
        ok(vec![7; 2_000], unix_ms(), "hit", if large { 3_600 } else { 40 })
    });
    let log = record.clone();
    let store = start_server(move |request| {
        log.line(&format!("store: {} trace {} runs", request.path, request.field("X-Trace")));
        ok(b"done".to_vec(), unix_ms(), "hit", 20)
    });
    let class = |name, repeat, slo_ms, stretch, deadline_ms, write| Class {
        name,
        repeat,
        scope: "all",
        memory_ms: 5_000,
        slo_ms,
        stretch,
        deadline_ms,
        write,
    };
    let classes =
        [class("media", "pure", 500, 1.6, 6_000, false), class("book", "side_effect", 800, 0.0, 3_000, true)];
    let members = [("box-1", "std-box", "north", cache), ("store", "origin", "north", store)];
    let config = Config {
        zones: &["north"],
        locality: 0,
        gateways: 1,
        classes: &classes,
        bulletin: Bulletin::start(1).address,
        members: &members,
        client_kb_per_s: 5_000.0,
    };
    let gateway = Gateway::start(&run.folder, "g1", &config.json(), &[], record)?;
    let mut client = Client::connect(gateway.address, record).map_err(|e| e.to_string())?;
    let mut sent = Vec::new();
    let mut open = Vec::new();
    let body = vec![b'x'; 40_000];
    let reqs: Vec<String> = (0..4).map(|_| new_request_id()).collect();
    let ask = |class, req, object, need_kb, timeout_ms, body| Ask {
        class,
        req,
        object,
        group: 1,
        need_kb,
        timeout_ms,
        key: None,
        body,
    };
    let io = |e: std::io::Error| e.to_string();
    // A usual request first: the client is a usual one.
    let id = client.send(&ask("media", &reqs[0], 0xbb, 200.0, 6_000, b"")).map_err(io)?;
    record.line(&format!("client: media {id} {} written whole", reqs[0]));
    sent.push((id, record.now_ms(), 6_000));
    match client.answer(3_000) {
        Some(answer) if answer.what == "served" => open.push(answer),
        other => return Err(format!("the first request was not served: {other:?}")),
    }
    // A large object: 3.6 s to send, within its time limit.
    let id = client.send(&ask("media", &reqs[1], 0xaa, 18_000.0, 6_000, b"")).map_err(io)?;
    record.line(&format!("client: media {id} {} of a large object written whole", reqs[1]));
    sent.push((id, record.now_ms(), 6_000));
    // A write of 40 KB, at 15 KB a second.
    let (id, bytes) = client.encode(&ask("book", &reqs[2], 0xcc, 20.0, 3_000, &body));
    record.line(&format!("client: book {id} {}: first byte written", reqs[2]));
    let pace = if run.trouble { 94 } else { 0 };
    for piece in bytes.chunks(1_400) {
        client
            .stream
            .write_all(piece)
            .map_err(|e| format!("the connection broke while the book was written: {e}"))?;
        sleep_ms(pace);
    }
    record.line(&format!("client: book {id} {}: last byte written", reqs[2]));
    sent.push((id, record.now_ms(), 3_000));
    let id = client.send(&ask("media", &reqs[3], 0xbb, 200.0, 6_000, b"")).map_err(io)?;
    record.line(&format!("client: media {id} {} written whole", reqs[3]));
    sent.push((id, record.now_ms(), 6_000));
    let (mut closed, until) = (None, record.now_ms() + 7_000);
    while record.now_ms() < until && open.len() < sent.len() && closed.is_none() {
        match client.answers.recv_timeout(std::time::Duration::from_millis(100)) {
            Ok(FromGateway::Answer(answer)) => {
                record.line(&format!("client: {} answered {}", answer.id, answer.what));
                open.push(answer);
            }
            Ok(FromGateway::Closed(at)) => {
                record.line("client: the gateway closed the connection");
                closed = Some(at);
            }
            Err(_) => {}
        }
    }
    let mut broken = Vec::new();
    for (id, last_byte, limit) in sent {
        let answers = open.iter().filter(|a| a.id == id).count();
        // What crosses a close within 50 ms is sent again on a new connection.
        let crossed = closed.is_some_and(|at| last_byte + 50 >= at);
        if answers == 0 && !crossed {
            broken.push(format!(
                "request {id}, whose last byte was written at {last_byte} ms, got no answer within its {limit} ms; the \
                 connection was closed at {closed:?} ms"
            ));
        }
    }
    Ok(broken)
}

//! Races between the close of a client connection and requests in flight on it. The frontend runs on the test's thread and
//! the test plays the dispatcher, which makes each race deterministic: bytes written before the frontend runs again have
//! arrived, and bytes written after the test has seen the end of the connection have crossed the close.

use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::{Async, block_on};
use futures_lite::{AsyncReadExt, future};
use kelpcart::Span;
use kelpcart_gateway::Tasks;
use kelpcart_gateway::buffers::Pool;
use kelpcart_gateway::clients::{Frontend, InputBuffers};
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::counters::Counters;
use kelpcart_gateway::dispatch_api::{Event, Rejection, Request, Responder, ResponderKeys, Service};
use std::future::Future;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Ends a test that hangs; far longer than any step takes.
const TEST_TIMEOUT: Span = Span::from_millis(20_000);

struct Fixture {
    frontend: Frontend,
    events: Receiver<Event>,
    address: SocketAddr,
    pool: Rc<Pool>,
    clock: Clock,
}

/// A request as the dispatcher receives it.
struct ForwardedRequest {
    responder: Rc<dyn Responder>,
    id: u64,
    request: Box<Request>,
}

impl Fixture {
    async fn next_event(&self) -> Event {
        self.clock.timeout(TEST_TIMEOUT, self.events.recv()).await.expect("an event").unwrap()
    }

    async fn next_request(&self) -> ForwardedRequest {
        loop {
            match self.next_event().await {
                Event::Request { responder, id, request, .. } => {
                    return ForwardedRequest { responder, id, request };
                }
                Event::Disconnected { .. } => {}
                _ => panic!("unexpected event"),
            }
        }
    }

    /// Whether no event but disconnects was forwarded.
    fn nothing_forwarded(&self) -> bool {
        std::iter::from_fn(|| self.events.try_recv().ok()).all(|e| matches!(e, Event::Disconnected { .. }))
    }

    async fn serve(&self, request: &ForwardedRequest, len: usize) {
        let mut body = self.pool.allocate(len).await.unwrap();
        body.copy_from(&vec![7; len]);
        request.responder.serve(request.id, Some(body), self.clock.now() + TEST_TIMEOUT);
    }

    /// A client that has been served once and is idle.
    async fn idle_client(&self) -> Client {
        let mut client = self.connect();
        client.send_request(1);
        let request = self.next_request().await;
        self.serve(&request, 3).await;
        client.read(SERVED_OVERHEAD_BYTES + 3).await;
        client
    }

    /// The connection stays in the kernel's accept queue until the frontend runs.
    fn connect(&self) -> Client {
        Client { stream: Async::new(TcpStream::connect(self.address).unwrap()).unwrap(), clock: self.clock }
    }
}

struct Client {
    stream: Async<TcpStream>,
    clock: Clock,
}

/// Length of a served answer without its body, for small ids.
const SERVED_OVERHEAD_BYTES: usize = 11;
/// Length of a `Lost` answer, for small ids.
const LOST_ANSWER_BYTES: usize = 11;

fn encode_request(id: u8, object: u8) -> Vec<u8> {
    encode_parameters(id, object, 1)
}

fn encode_write(id: u8, object: u8, body: &[u8]) -> Vec<u8> {
    let mut out = encode_parameters(id, object, 2);
    out.push(0xc5);
    out.extend((body.len() as u16).to_be_bytes());
    out.extend(body);
    out
}

fn encode_parameters(id: u8, object: u8, count: u8) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, id, 0xa7];
    out.extend(b"segment");
    let (req, subject) = (format!("{id:016x}"), format!("{object:016x}"));
    let fields = [("req", &*req), ("timeout", "15000"), ("subject", &*subject), ("slice", "0"), ("set", "1")];
    out.extend([0x90 | count, 0x80 | fields.len() as u8]);
    for (name, value) in fields {
        for text in [name, value] {
            out.push(0xa0 | text.len() as u8);
            out.extend(text.as_bytes());
        }
    }
    out
}

impl Client {
    /// The kernel has accepted all bytes when this returns.
    fn write(&self, bytes: &[u8]) {
        self.stream.get_ref().write_all(bytes).unwrap();
    }

    fn send_request(&self, id: u8) {
        self.write(&encode_request(id, id));
    }

    async fn read(&mut self, n: usize) -> Vec<u8> {
        let mut bytes = vec![0; n];
        let read = self.stream.read_exact(&mut bytes);
        self.clock.timeout(TEST_TIMEOUT, read).await.expect("bytes").unwrap();
        bytes
    }

    /// Waits for the end of the connection; `true` if it is an orderly close and no reset.
    async fn is_closed_cleanly(&mut self) -> bool {
        let mut byte = [0];
        let read = self.stream.read(&mut byte);
        matches!(self.clock.timeout(TEST_TIMEOUT, read).await.expect("an end"), Ok(0))
    }

    fn disconnect(&self) {
        self.stream.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    }
}

fn run_with_frontend<F: Future<Output = ()> + 'static>(max_clients: usize, test: impl FnOnce(Fixture) -> F) {
    let tasks: Tasks = Box::leak(Box::new(LocalExecutor::new()));
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let (dispatcher, events) = async_channel::unbounded();
    let (clock, pool) = (Clock::start(), Pool::new(64 << 20));
    let frontend = Frontend {
        tasks,
        clock,
        counters: Rc::<Counters>::default(),
        pool: Rc::clone(&pool),
        buffers: InputBuffers::new(64 << 20),
        dispatcher,
        max_clients,
        connected: Rc::default(),
        keys: ResponderKeys::default(),
        shutdown_state: Rc::default(),
    };
    tasks.spawn(frontend.clone().accept(listener)).detach();
    // On the same executor as the frontend's tasks, so that they take turns.
    let test = tasks.spawn(test(Fixture { frontend, events, address, pool, clock }));
    block_on(tasks.run(test));
}

impl Fixture {
    async fn wait_until_closed(&self) {
        let closed = async {
            while !self.frontend.is_closed() {
                self.clock.sleep(Span::from_millis(1)).await;
            }
        };
        self.clock.timeout(TEST_TIMEOUT, closed).await.expect("the frontend never closed");
    }

    /// Lets all runnable tasks run.
    async fn run_all_tasks(&self) {
        for _ in 0..100 {
            future::yield_now().await;
        }
        self.clock.sleep(Span::from_millis(5)).await;
    }
}

#[test]
fn a_request_that_has_come_when_the_front_closes_is_served_first() {
    run_with_frontend(9, async |fixture: Fixture| {
        let mut client = fixture.idle_client().await;
        client.send_request(2);
        fixture.frontend.close();
        let request = fixture.next_request().await;
        fixture.run_all_tasks().await;
        assert!(!fixture.frontend.is_closed());
        fixture.serve(&request, 3).await;
        client.read(SERVED_OVERHEAD_BYTES + 3).await;
        assert!(client.is_closed_cleanly().await);
        fixture.wait_until_closed().await;
    });
}

#[test]
fn a_request_that_comes_between_the_word_and_the_last_look_is_served() {
    // After one turn the frontend's reader has received the close request and has not yet checked its socket.
    for turns in 0..=1 {
        run_with_frontend(9, async move |fixture: Fixture| {
            let client = fixture.idle_client().await;
            fixture.run_all_tasks().await;
            fixture.frontend.close();
            for _ in 0..turns {
                future::yield_now().await;
            }
            client.send_request(2);
            assert_eq!(fixture.next_request().await.id, 2);
        });
    }
}

#[test]
fn what_comes_after_the_shutdown_is_not_passed_on_and_resets_nothing() {
    run_with_frontend(9, async |fixture: Fixture| {
        let mut client = fixture.idle_client().await;
        client.send_request(2);
        let request = fixture.next_request().await;
        fixture.serve(&request, 3_000).await;
        // The answer is in the kernel's buffers and not read yet.
        while fixture.frontend.counters.unwritten_answers.get() > 0 {
            fixture.run_all_tasks().await;
        }
        fixture.frontend.close();
        // Until the frontend has shut down its write side: the next request crosses the close.
        while fixture.frontend.connected.borrow().values().any(|c| c.is_writable()) {
            future::yield_now().await;
        }
        client.send_request(3);
        client.read(SERVED_OVERHEAD_BYTES + 3_000).await;
        assert!(client.is_closed_cleanly().await, "the connection was reset, which may destroy answers");
        client.write(&encode_request(4, 4));
        client.disconnect();
        fixture.wait_until_closed().await;
        assert!(fixture.nothing_forwarded());
    });
}

#[test]
fn half_a_message_at_the_close_gets_its_other_half() {
    run_with_frontend(9, async |fixture: Fixture| {
        let client = fixture.idle_client().await;
        let whole = encode_request(2, 2);
        client.write(&whole[..20]);
        fixture.run_all_tasks().await;
        fixture.frontend.close();
        client.write(&whole[20..]);
        let request = fixture.next_request().await;
        assert_eq!((request.id, request.request.object), (2, 2));
    });
}

#[test]
fn who_waits_in_the_machines_queue_at_the_close_is_taken_in() {
    run_with_frontend(9, async |fixture: Fixture| {
        let mut late: Vec<Client> = (0..3).map(|_| fixture.connect()).collect();
        late.iter().for_each(|client| client.send_request(1));
        fixture.frontend.close();
        for _ in 0..3 {
            let request = fixture.next_request().await;
            fixture.serve(&request, 3).await;
        }
        for client in &mut late {
            client.read(SERVED_OVERHEAD_BYTES + 3).await;
            assert!(client.is_closed_cleanly().await);
        }
        fixture.wait_until_closed().await;
        // No client can connect any more: its connection would never be read.
        let refused = TcpStream::connect(fixture.address).unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    });
}

#[test]
fn a_connection_that_came_last_has_time_for_its_first_request() {
    run_with_frontend(9, async |fixture: Fixture| {
        let client = fixture.connect();
        fixture.frontend.close();
        fixture.run_all_tasks().await;
        client.send_request(1);
        fixture.next_request().await;
    });
}

#[test]
fn who_is_to_make_room_and_asks_just_then_stays_and_another_goes() {
    run_with_frontend(2, async |fixture: Fixture| {
        let (mut first, second) = (fixture.idle_client().await, fixture.idle_client().await);
        let third = fixture.connect();
        first.send_request(2);
        third.send_request(1);
        let requests = [fixture.next_request().await, fixture.next_request().await];
        for request in &requests {
            fixture.serve(request, 3).await;
        }
        first.read(SERVED_OVERHEAD_BYTES + 3).await;
        let mut second = second;
        assert!(second.is_closed_cleanly().await);
    });
}

#[test]
fn damage_does_not_cut_the_answer_that_is_half_written() {
    run_with_frontend(9, async |fixture: Fixture| {
        let mut client = fixture.connect();
        // More than the kernel buffers for a client that does not read.
        let n = 30;
        (1..=n).for_each(|id| client.send_request(id));
        for _ in 1..=n {
            let request = fixture.next_request().await;
            fixture.serve(&request, 230_000).await;
        }
        fixture.run_all_tasks().await;
        client.send_request(n + 1);
        let open = fixture.next_request().await;
        client.write(&[0xc1; 8]);
        // The open request is abandoned and answered with `Lost`.
        assert!(
            matches!(fixture.next_event().await, Event::Disconnected { responder: client } if client == open.responder.key())
        );
        for id in 1..=n {
            let answer = client.read(SERVED_OVERHEAD_BYTES + 230_000).await;
            assert_eq!(answer[..4], [0x94, 0x01, id, 0xc0]);
        }
        let answer = client.read(LOST_ANSWER_BYTES).await;
        assert_eq!(answer[..5], [0x94, 0x01, n + 1, 0x92, 0xa4], "{answer:?}");
        assert!(client.is_closed_cleanly().await);
        // The dispatcher's own answer comes too late and is dropped: a txn gets one answer.
        open.responder.reject(open.id, Rejection::NOT_STARTED);
    });
}

#[test]
fn who_leaves_after_half_a_message_is_seen_to_leave() {
    run_with_frontend(9, async |fixture: Fixture| {
        let client = fixture.connect();
        client.send_request(1);
        let request = fixture.next_request().await;
        client.write(&encode_request(2, 2)[..20]);
        // Until the message timeout has passed, after which no more input is accepted.
        fixture.clock.sleep(Span::from_millis(3_000)).await;
        client.disconnect();
        assert!(
            matches!(fixture.next_event().await, Event::Disconnected { responder: client } if client == request.responder.key())
        );
    });
}

/// Guards against requests that are read and discarded unanswered while their connection stays open for an earlier answer.
#[test]
fn requests_behind_a_slowly_written_one_are_answered_while_another_is_open() {
    run_with_frontend(9, async |fixture: Fixture| {
        let mut client = fixture.connect();
        client.send_request(1);
        let mut requests = vec![fixture.next_request().await];
        let slow = encode_request(2, 2);
        let (last, start) = slow.split_last().unwrap();
        client.write(start);
        // Longer than a message may take on a connection without open requests.
        fixture.clock.sleep(Span::from_millis(3_000)).await;
        client.write(&[*last]);
        client.send_request(3);
        for id in 2..=3 {
            requests.push(fixture.next_request().await);
            assert_eq!(requests.last().unwrap().id, id);
        }
        for request in &requests {
            fixture.serve(request, 3).await;
        }
        for id in 1..=3 {
            assert_eq!(client.read(SERVED_OVERHEAD_BYTES + 3).await[..3], [0x94, 0x01, id]);
        }
    });
}

/// Guards against the close of a connection on which a usual client is writing a long request slowly.
#[test]
fn a_request_that_keeps_arriving_is_not_cut_off() {
    run_with_frontend(9, async |fixture: Fixture| {
        let client = fixture.connect();
        // 3.2 s at 1.3 KB a second.
        for piece in encode_write(1, 1, &[7; 4_000]).chunks(64) {
            client.write(piece);
            fixture.clock.sleep(Span::from_millis(50)).await;
        }
        assert_eq!(fixture.next_request().await.request.body.len(), 4_000);
    });
}

/// Guards against clients that keep all connections by writing slowly.
#[test]
fn a_slow_message_makes_room_for_another_client() {
    run_with_frontend(1, async |fixture: Fixture| {
        let slow = fixture.connect();
        let mut waiting = None;
        // 4.7 s, of which the other client waits 1.7 s at most.
        for (i, piece) in encode_write(1, 1, &[7; 15_000]).chunks(64).enumerate() {
            // Fails once the connection has made room.
            _ = slow.stream.get_ref().write_all(piece);
            fixture.clock.sleep(Span::from_millis(20)).await;
            if i == 150 {
                waiting.insert(fixture.connect()).send_request(2);
            }
        }
        assert_eq!(fixture.next_request().await.id, 2);
    });
}

/// Guards against the close of a connection whose client could not write on, since the gateway did not read.
#[test]
fn a_message_has_its_time_after_the_gateway_has_read_nothing_for_a_while() {
    run_with_frontend(9, async |fixture: Fixture| {
        let mut client = fixture.connect();
        // Bodies beyond what the kernel buffers for a client that does not read, then more answers than may wait. Each
        // write ends a request and begins the next one.
        let mut id = 1;
        client.write(&encode_request(id, id)[..20]);
        while fixture.frontend.counters.unwritten_answers.get() <= 64 {
            client.write(&[&encode_request(id, id)[20..], &encode_request(id + 1, id + 1)[..20]].concat());
            let request = fixture.next_request().await;
            if id <= 30 {
                fixture.serve(&request, 230_000).await;
            } else {
                request.responder.reject(request.id, Rejection::NOT_STARTED);
            }
            id += 1;
            fixture.run_all_tasks().await;
        }
        fixture.clock.sleep(Span::from_millis(3_000)).await;
        while fixture.frontend.counters.unwritten_answers.get() > 0 {
            let mut bytes = vec![0; 64 * 1024];
            _ = fixture.clock.timeout(Span::from_millis(1), client.stream.read(&mut bytes)).await;
        }
        fixture.clock.sleep(Span::from_millis(600)).await;
        client.write(&encode_request(id, id)[20..]);
        assert_eq!(fixture.next_request().await.id, u64::from(id));
    });
}

/// Guards against work for nobody: requests that were written before the client left, and are read after it, are not passed on.
#[test]
fn requests_of_a_client_that_has_left_are_not_passed_on() {
    for count in [1, 100] {
        run_with_frontend(3, async move |fixture| {
            let client = fixture.idle_client().await;
            (2..2 + count).for_each(|id| client.send_request(id));
            client.disconnect();
            let left = async {
                while !fixture.frontend.connected.borrow().is_empty() {
                    fixture.clock.sleep(Span::from_millis(1)).await;
                }
            };
            fixture.clock.timeout(TEST_TIMEOUT, left).await.expect("the client is seen to leave");
            assert!(fixture.nothing_forwarded(), "{count} requests");
        });
    }
}

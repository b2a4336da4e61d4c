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
use kelpcart_gateway::clients::Frontend;
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::counters::Counters;
use kelpcart_gateway::dispatch_api::{Event, Request, Responder, ResponderKeys, Service};
use std::future::Future;
use std::io::{ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Ends a test that hangs; far longer than any step takes.
const PATIENCE: Span = Span::from_millis(20_000);

struct World {
    front: Frontend,
    events: Receiver<Event>,
    address: SocketAddr,
    pool: Rc<Pool>,
    clock: Clock,
}

/// A request as the dispatcher receives it.
struct Asked {
    caller: Rc<dyn Responder>,
    id: u64,
    ask: Box<Request>,
}

impl World {
    async fn event(&self) -> Event {
        self.clock.timeout(PATIENCE, self.events.recv()).await.expect("an event").unwrap()
    }

    async fn asked(&self) -> Asked {
        loop {
            match self.event().await {
                Event::Request { responder: client, id, request: ask, .. } => {
                    return Asked { caller: client, id, ask };
                }
                Event::Disconnected { .. } => {}
                _ => panic!("unexpected event"),
            }
        }
    }

    /// Whether no event but disconnects was forwarded.
    fn nothing_asked(&self) -> bool {
        std::iter::from_fn(|| self.events.try_recv().ok()).all(|e| matches!(e, Event::Disconnected { .. }))
    }

    async fn serve(&self, asked: &Asked, len: usize) {
        let mut body = self.pool.allocate(len).await.unwrap();
        body.copy_from(&vec![7; len]);
        asked.caller.serve(asked.id, Some(body), self.clock.now() + PATIENCE);
    }

    /// A client that has been served once and is idle.
    async fn resting(&self) -> Client {
        let mut client = self.connect();
        client.ask(1);
        let asked = self.asked().await;
        self.serve(&asked, 3).await;
        client.take(SERVED + 3).await;
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
const SERVED: usize = 11;
/// Length of a `Lost` answer, for small ids.
const LOST: usize = 11;

fn request(id: u8, object: u8) -> Vec<u8> {
    let mut out = vec![0x94, 0x00, id, 0xa7];
    out.extend(b"segment");
    let (req, subject) = (format!("{id:016x}"), format!("{object:016x}"));
    let fields = [("req", &*req), ("timeout", "15000"), ("subject", &*subject), ("slice", "0"), ("set", "1")];
    out.extend([0x91, 0x80 | fields.len() as u8]);
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

    fn ask(&self, id: u8) {
        self.write(&request(id, id));
    }

    async fn take(&mut self, n: usize) -> Vec<u8> {
        let mut bytes = vec![0; n];
        let read = self.stream.read_exact(&mut bytes);
        self.clock.timeout(PATIENCE, read).await.expect("bytes").unwrap();
        bytes
    }

    /// Waits for the end of the connection; `true` if it is an orderly close and no reset.
    async fn is_ended(&mut self) -> bool {
        let mut byte = [0];
        let read = self.stream.read(&mut byte);
        matches!(self.clock.timeout(PATIENCE, read).await.expect("an end"), Ok(0))
    }

    fn leave(&self) {
        self.stream.get_ref().shutdown(std::net::Shutdown::Both).unwrap();
    }
}

fn play<F: Future<Output = ()> + 'static>(most: usize, test: impl FnOnce(World) -> F) {
    let tasks: Tasks = Box::leak(Box::new(LocalExecutor::new()));
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).unwrap();
    let address = listener.get_ref().local_addr().unwrap();
    let (dispatcher, events) = async_channel::unbounded();
    let (clock, pool) = (Clock::start(), Pool::new(64 << 20));
    let front = Frontend {
        tasks,
        clock,
        counters: Rc::<Counters>::default(),
        pool: Rc::clone(&pool),
        dispatcher,
        max_clients: most,
        connected: Rc::default(),
        keys: ResponderKeys::default(),
        shutdown_state: Rc::default(),
    };
    tasks.spawn(front.clone().accept(listener)).detach();
    // On the same executor as the frontend's tasks, so that they take turns.
    let test = tasks.spawn(test(World { front, events, address, pool, clock }));
    block_on(tasks.run(test));
}

impl World {
    async fn closed(&self) {
        let closed = async {
            while !self.front.is_closed() {
                self.clock.sleep(Span::from_millis(1)).await;
            }
        };
        self.clock.timeout(PATIENCE, closed).await.expect("the frontend never closed");
    }

    /// Lets all runnable tasks run.
    async fn settle(&self) {
        for _ in 0..100 {
            future::yield_now().await;
        }
        self.clock.sleep(Span::from_millis(5)).await;
    }
}

#[test]
fn a_request_that_has_come_when_the_front_closes_is_served_first() {
    play(9, async |world: World| {
        let mut client = world.resting().await;
        client.ask(2);
        world.front.close();
        let asked = world.asked().await;
        world.settle().await;
        assert!(!world.front.is_closed());
        world.serve(&asked, 3).await;
        client.take(SERVED + 3).await;
        assert!(client.is_ended().await);
        world.closed().await;
    });
}

#[test]
fn a_request_that_comes_between_the_word_and_the_last_look_is_served() {
    // After one turn the frontend's reader has received the close request and has not yet checked its socket.
    for turns in 0..=1 {
        play(9, async move |world: World| {
            let client = world.resting().await;
            world.settle().await;
            world.front.close();
            for _ in 0..turns {
                future::yield_now().await;
            }
            client.ask(2);
            assert_eq!(world.asked().await.id, 2);
        });
    }
}

#[test]
fn what_comes_after_the_shutdown_is_not_passed_on_and_resets_nothing() {
    play(9, async |world: World| {
        let mut client = world.resting().await;
        client.ask(2);
        let asked = world.asked().await;
        world.serve(&asked, 3_000).await;
        // The answer is in the kernel's buffers and not read yet.
        while world.front.counters.unwritten_answers.get() > 0 {
            world.settle().await;
        }
        world.front.close();
        // Until the frontend has shut down its write side: the next request crosses the close.
        while world.front.connected.borrow().values().any(|c| c.is_writable()) {
            future::yield_now().await;
        }
        client.ask(3);
        client.take(SERVED + 3_000).await;
        assert!(client.is_ended().await, "the connection was reset, which may destroy answers");
        client.write(&request(4, 4));
        client.leave();
        world.closed().await;
        assert!(world.nothing_asked());
    });
}

#[test]
fn half_a_message_at_the_close_gets_its_other_half() {
    play(9, async |world: World| {
        let client = world.resting().await;
        let whole = request(2, 2);
        client.write(&whole[..20]);
        world.settle().await;
        world.front.close();
        client.write(&whole[20..]);
        let asked = world.asked().await;
        assert_eq!((asked.id, asked.ask.object), (2, 2));
    });
}

#[test]
fn who_waits_in_the_machines_queue_at_the_close_is_taken_in() {
    play(9, async |world: World| {
        let mut late: Vec<Client> = (0..3).map(|_| world.connect()).collect();
        late.iter().for_each(|client| client.ask(1));
        world.front.close();
        for _ in 0..3 {
            let asked = world.asked().await;
            world.serve(&asked, 3).await;
        }
        for client in &mut late {
            client.take(SERVED + 3).await;
            assert!(client.is_ended().await);
        }
        world.closed().await;
        // No client can connect any more: its connection would never be read.
        let refused = TcpStream::connect(world.address).unwrap_err();
        assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    });
}

#[test]
fn a_connection_that_came_last_has_time_for_its_first_request() {
    play(9, async |world: World| {
        let client = world.connect();
        world.front.close();
        world.settle().await;
        client.ask(1);
        world.asked().await;
    });
}

#[test]
fn who_is_to_make_room_and_asks_just_then_stays_and_another_goes() {
    play(2, async |world: World| {
        let (mut first, second) = (world.resting().await, world.resting().await);
        let third = world.connect();
        first.ask(2);
        third.ask(1);
        let asked = [world.asked().await, world.asked().await];
        for asked in &asked {
            world.serve(asked, 3).await;
        }
        first.take(SERVED + 3).await;
        let mut second = second;
        assert!(second.is_ended().await);
    });
}

#[test]
fn damage_does_not_cut_the_answer_that_is_half_written() {
    play(9, async |world: World| {
        let mut client = world.connect();
        // More than the kernel buffers for a client that does not read.
        let n = 30;
        (1..=n).for_each(|id| client.ask(id));
        for _ in 1..=n {
            let asked = world.asked().await;
            world.serve(&asked, 230_000).await;
        }
        world.settle().await;
        client.ask(n + 1);
        let open = world.asked().await;
        client.write(&[0xc1; 8]);
        // The open request is abandoned and answered with `Lost`.
        assert!(
            matches!(world.event().await, Event::Disconnected { responder: client } if client == open.caller.key())
        );
        for id in 1..=n {
            let answer = client.take(SERVED + 230_000).await;
            assert_eq!(answer[..4], [0x94, 0x01, id, 0xc0]);
        }
        let answer = client.take(LOST).await;
        assert_eq!(answer[..5], [0x94, 0x01, n + 1, 0x92, 0xa4], "{answer:?}");
        assert!(client.is_ended().await);
        // The dispatcher's own answer comes too late and is dropped: a txn gets one answer.
        open.caller.reject(open.id, None);
    });
}

#[test]
fn who_leaves_after_half_a_message_is_seen_to_leave() {
    play(9, async |world: World| {
        let client = world.connect();
        client.ask(1);
        let asked = world.asked().await;
        client.write(&request(2, 2)[..20]);
        // Until the message timeout has passed, after which no more input is accepted.
        world.clock.sleep(Span::from_millis(3_000)).await;
        client.leave();
        assert!(
            matches!(world.event().await, Event::Disconnected { responder: client } if client == asked.caller.key())
        );
    });
}

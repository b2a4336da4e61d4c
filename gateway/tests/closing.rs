//! Where the end of a client's connection crosses what comes on it. The front runs in the test's own thread and the
//! test plays the dispatcher, so that each case is forced by the order of events: what the test writes before it lets the
//! front run again has come, and what it writes after it has seen the end of the connection has crossed it.

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

/// Longer than anything here may take: it ends a test that hangs and decides none.
const PATIENCE: Span = Span::from_millis(20_000);

struct World {
    front: Frontend,
    events: Receiver<Event>,
    address: SocketAddr,
    pool: Rc<Pool>,
    clock: Clock,
}

/// What the dispatcher is given of a txn.
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
                _ => panic!("something else came"),
            }
        }
    }

    /// Whether nothing but the ends of connections was passed on.
    fn nothing_asked(&self) -> bool {
        std::iter::from_fn(|| self.events.try_recv().ok()).all(|e| matches!(e, Event::Disconnected { .. }))
    }

    async fn serve(&self, asked: &Asked, len: usize) {
        let mut body = self.pool.allocate(len).await.unwrap();
        body.copy_from(&vec![7; len]);
        asked.caller.serve(asked.id, Some(body), self.clock.now() + PATIENCE);
    }

    /// Comes, asks once and is served.
    async fn resting(&self) -> Client {
        let mut client = self.connect();
        client.ask(1);
        let asked = self.asked().await;
        self.serve(&asked, 3).await;
        client.take(SERVED + 3).await;
        client
    }

    /// Waits in the machine's queue until the front runs.
    fn connect(&self) -> Client {
        Client { stream: Async::new(TcpStream::connect(self.address).unwrap()).unwrap(), clock: self.clock }
    }
}

struct Client {
    stream: Async<TcpStream>,
    clock: Clock,
}

/// The bytes of a served answer beside those of its body, for small ids.
const SERVED: usize = 11;
/// Those of an answer that promises nothing.
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
    /// All of it is in the machine's hands when this returns.
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

    /// The other side has ended the connection, and not by a reset.
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
    // In the queue of tasks with the front's: they take turns.
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
        self.clock.timeout(PATIENCE, closed).await.expect("the front never closed");
    }

    /// Lets everything run that can.
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
    // After one turn the front's reader has the word and has not looked yet.
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
        // The answer is in the machine's hands and not read yet.
        while world.front.counters.unwritten_answers.get() > 0 {
            world.settle().await;
        }
        world.front.close();
        // Writes as long as the connection takes it: the first of these may come before the close.
        while world.front.connected.borrow().values().any(|c| c.is_writable()) {
            future::yield_now().await;
        }
        client.ask(3);
        client.take(SERVED + 3_000).await;
        assert!(client.is_ended().await, "a reset, which may take answers with it");
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
        // Nobody comes to a connection that would never be read.
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
        // More than the machine takes for one that does not read.
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
        // What is open is given up, with an answer that promises nothing.
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
        // Its own answer comes too late: a txn gets one.
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
        // Until nothing more is taken from it.
        world.clock.sleep(Span::from_millis(3_000)).await;
        client.leave();
        assert!(
            matches!(world.event().await, Event::Disconnected { responder: client } if client == asked.caller.key())
        );
    });
}

//! One client connection: reads and decodes messages, writes answers, and closes in order.
//!
//! Invariant: on an intact connection, input is decoded until the write side is shut down, and discarded only after that. A
//! complete request that arrived before the shutdown is therefore answered. Behind malformed input nothing is decoded.

use super::client::{Client, Frame};
use super::input::Input;
use super::message_timer::MessageTimer;
use super::{CROSSING_WINDOW, Frontend};
use crate::clock::Clock;
use crate::connection_end::ConnectionEnd;
use crate::dispatch_api::{Event as DispatchEvent, Rejection, Responder};
use crate::rpc::{self, DecodeError, ErrorCode, Message};
use async_channel::Receiver;
use async_io::Async;
use event_listener::EventListener;
use futures_lite::{AsyncWriteExt, future};
use kelpcart::{Span, Time};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use std::io::{self, ErrorKind, IoSlice, Read};
use std::net::{Shutdown, TcpStream};
use std::pin::pin;
use std::rc::Rc;

/// Maximum number of open requests per connection, set by the protocol.
const MAX_OPEN_REQUESTS: usize = 32;
/// No more is read from a connection while more answers than this wait to be written to it.
const MAX_UNWRITTEN_ANSWERS: usize = 2 * MAX_OPEN_REQUESTS;
/// Messages of one connection that are handled before others have their turn.
const MESSAGES_PER_TURN: usize = 8;
/// Most answers that are written at once.
const MAX_ANSWERS_PER_WRITE: usize = 32;
/// Idle timeout of a connection that has sent a request. Well-behaved clients close theirs earlier.
const IDLE_TIMEOUT: Span = Span::from_millis(5_000);
/// After the write side is shut down, input is read and discarded for this long: closing a socket with unread input
/// sends a reset, which may destroy the last answers.
const LINGER_TIMEOUT: Span = Span::from_millis(300);
/// Most bytes that are read and discarded before a connection is closed.
const MAX_DRAIN_BYTES: usize = 1024 * 1024;
/// Interval at which a connection that should close is checked for open requests.
const CLOSE_POLL_INTERVAL: Span = Span::from_millis(20);
/// A connection that accepts no bytes for this long is closed.
const STALL_TIMEOUT: Span = Span::from_millis(5_000);
/// The same while other bodies wait for buffers, which a stalled reader holds.
const STALL_TIMEOUT_LOW_MEMORY: Span = Span::from_millis(500);
/// Interval at which a connection that is not read on is looked at: its client may have left.
const PAUSE_POLL_INTERVAL: Span = Span::from_millis(50);
/// Interval at which a stalled write, or a client that waits for its last answers, is checked.
const POLL_INTERVAL: Span = Span::from_millis(250);

pub(super) struct Connection<'a> {
    pub frontend: &'a Frontend,
    pub stream: &'a Async<TcpStream>,
    pub client: Rc<Client>,
}

/// What ended a wait for input.
enum ReadEvent {
    Received(usize),
    /// Memory for more input may be free.
    Retry,
    PeerLeft,
    TimedOut,
    /// The connection should close, to make room or for a shutdown.
    CloseRequested,
}

impl Connection<'_> {
    /// Serves the client until the connection ends.
    pub async fn run(&self, frames: &Receiver<Frame>) -> ConnectionEnd {
        let mut writer = pin!(self.write_loop(frames));
        let end = future::or(self.read_loop(), writer.as_mut()).await;
        match end {
            // Keeps the writer running until the last answer: a partly written one must not be cut off.
            ConnectionEnd::PeerDamaged => {
                self.abort_open_requests().await;
                writer.await;
                self.close().await;
            }
            ConnectionEnd::PeerSilent => self.close().await,
            // The peer is gone or does not read: closing in order has no effect.
            _ => {}
        }
        end
    }

    fn clock(&self) -> Clock {
        self.frontend.clock
    }

    /// Answers every open request of a client that sent malformed input with `Lost`: whether it ran is unknown.
    async fn abort_open_requests(&self) {
        let client = &self.client;
        _ = self.frontend.dispatcher.send(DispatchEvent::Disconnected { responder: client.id }).await;
        let open: Vec<u64> = client.open_requests.borrow().iter().copied().collect();
        open.into_iter().for_each(|id| client.send_error(id, ErrorCode::Lost, &[]));
        client.frames.close();
    }

    /// Closes an intact connection: shuts down the write side, then discards input up to a limit. Without that, closing
    /// with unread input would send a reset that may destroy the last answers. Discarded requests are never executed.
    async fn close(&self) {
        self.client.closing.set(true);
        if self.stream.get_ref().shutdown(Shutdown::Write).is_ok() {
            let linger = if self.client.evicting.get() { CROSSING_WINDOW } else { LINGER_TIMEOUT };
            self.clock().timeout(linger, self.drain()).await;
        }
    }

    /// Reads and discards input up to `MAX_DRAIN_BYTES`.
    async fn drain(&self) {
        let mut budget = MAX_DRAIN_BYTES;
        let read = |mut stream: &TcpStream| stream.read(&mut self.frontend.buffers.scratch.borrow_mut());
        while let Ok(n @ 1..) = self.stream.read_with(read).await {
            self.frontend.counters.add_many("client bytes discarded after the shutdown", n);
            budget = budget.saturating_sub(n);
            if budget == 0 {
                return;
            }
            future::yield_now().await;
        }
    }

    async fn read_loop(&self) -> ConnectionEnd {
        let mut input = Input::new(&self.frontend.buffers.budget, self.clock().now());
        loop {
            // Lets other tasks run after each chunk, so that a client sending at full speed does not starve them.
            future::yield_now().await;
            if let Err(end) = self.wait_for_unwritten_answers(&mut input.timer).await {
                return end;
            }
            let close_requested = self.client.close_requested.listen();
            let mut deadline = self.read_deadline(&input);
            if self.should_close() {
                if let Some(end) = self.try_close(&input) {
                    return end;
                }
                deadline = deadline.min(self.clock().now() + CLOSE_POLL_INTERVAL);
            }
            let event = if input.make_room() {
                self.read(&mut input, deadline, close_requested).await
            } else {
                self.wait_for_memory(&mut input, close_requested).await
            };
            let received = match event {
                ReadEvent::Received(n) => self.handle_input(&mut input, n).await,
                ReadEvent::Retry => self.check_peer(),
                ReadEvent::PeerLeft => Err(ConnectionEnd::PeerLeft),
                ReadEvent::TimedOut => self.check_timeouts(&input).map_or(Ok(()), Err),
                ReadEvent::CloseRequested => Ok(()),
            };
            self.client.holds_input_memory.set(input.is_reserved());
            if let Err(end) = received {
                return end;
            }
        }
    }

    /// Backpressure: bounds the memory held by a client that sends requests and reads no answers. Fails if it leaves.
    async fn wait_for_unwritten_answers(&self, timer: &mut MessageTimer) -> Result<(), ConnectionEnd> {
        let client = &self.client;
        while client.unwritten_answers.get() > MAX_UNWRITTEN_ANSWERS {
            let written = client.written.listen();
            if client.unwritten_answers.get() > MAX_UNWRITTEN_ANSWERS {
                let wait_start = self.clock().now();
                // Without effect on what follows: the number is looked at either way.
                _ = self.clock().timeout(PAUSE_POLL_INTERVAL, written).await;
                timer.exclude(self.clock().now() - wait_start);
                self.check_peer()?;
            }
        }
        Ok(())
    }

    /// Whether a message is due: the rest of a partial one, or the first one of the connection.
    fn is_message_due(&self, input: &Input) -> bool {
        !input.is_empty() || !self.client.has_sent_request()
    }

    /// When to check the timeouts if no input arrives before.
    fn read_deadline(&self, input: &Input) -> Time {
        let deadline = if self.is_message_due(input) {
            input.timer.deadline()
        } else {
            self.client.last_activity.get() + IDLE_TIMEOUT
        };
        if self.client.is_idle() {
            return deadline;
        }
        // An answer keeps the connection open beyond its timeouts.
        deadline.max(self.clock().now() + POLL_INTERVAL)
    }

    /// Waits until memory for more input may be free. The client's message does not age meanwhile.
    async fn wait_for_memory(&self, input: &mut Input, close_requested: EventListener) -> ReadEvent {
        self.frontend.evict_stalled_writer();
        let (wait_start, freed) = (self.clock().now(), self.frontend.buffers.budget.freed());
        let freed = async {
            // Without effect on what follows: either way there may be memory now.
            _ = self.clock().timeout(PAUSE_POLL_INTERVAL, freed).await;
            ReadEvent::Retry
        };
        let close_requested = async {
            close_requested.await;
            ReadEvent::CloseRequested
        };
        let event = future::or(freed, close_requested).await;
        input.timer.exclude(self.clock().now() - wait_start);
        event
    }

    async fn read(&self, input: &mut Input, deadline: Time, close_requested: EventListener) -> ReadEvent {
        let receive =
            |stream: &TcpStream| input.receive(stream, &mut self.frontend.buffers.scratch.borrow_mut());
        let receive = self.stream.read_with(receive);
        let read = async {
            match self.clock().timeout_at(deadline, receive).await {
                Some(Ok(0) | Err(_)) => ReadEvent::PeerLeft,
                Some(Ok(n)) => ReadEvent::Received(n),
                None => ReadEvent::TimedOut,
            }
        };
        let close_requested = async {
            close_requested.await;
            ReadEvent::CloseRequested
        };
        future::or(read, close_requested).await
    }

    /// How the connection ends if a timeout has passed and closing loses nothing.
    fn check_timeouts(&self, input: &Input) -> Option<ConnectionEnd> {
        let (now, client) = (self.clock().now(), &self.client);
        if self.is_message_due(input) {
            if now < input.timer.deadline() || !client.is_idle() {
                return None;
            }
            let end = self.check_idle_socket()?;
            self.log_overdue_message(&input.timer);
            return Some(end);
        }
        if now < client.last_activity.get() + IDLE_TIMEOUT {
            return None;
        }
        if !client.is_idle() {
            client.last_activity.set(now);
            return None;
        }
        self.check_idle_socket()
    }

    fn log_overdue_message(&self, timer: &MessageTimer) {
        self.frontend.counters.add("client messages overdue");
        let now = self.clock().now();
        log::debug!(
            "clients: connection closed: a message is incomplete after {} ms, {} bytes received, the last {} ms ago",
            timer.age(now).as_micros() / 1_000,
            timer.received_bytes(),
            timer.pause(now).as_micros() / 1_000,
        );
    }

    /// Whether the connection should close as soon as that loses nothing.
    fn should_close(&self) -> bool {
        self.client.evicting.get() || self.frontend.shutdown_state.started.get()
    }

    /// How a connection that should close ends, if it can close now: no request is open and no input is pending.
    fn try_close(&self, input: &Input) -> Option<ConnectionEnd> {
        let client = &self.client;
        if !client.is_idle() {
            client.evicting.set(false);
            return None;
        }
        if self.is_input_in_flight(input) {
            return None;
        }
        let end = self.check_idle_socket();
        if end.is_none() {
            client.evicting.set(false);
        }
        end
    }

    /// Whether the first request of a new connection, or the rest of a partial message, may be in flight.
    fn is_input_in_flight(&self, input: &Input) -> bool {
        let (now, client) = (self.clock().now(), &self.client);
        let first_request = !client.has_sent_request()
            && !client.evicting.get()
            && now < client.connected_at + CROSSING_WINDOW;
        let rest_of_message = !input.is_empty()
            && !input.timer.is_extended(now)
            && now < client.last_activity.get() + CROSSING_WINDOW;
        first_request || rest_of_message
    }

    /// Fails if the client has closed the connection, although input that came before may be unread: requests of a client
    /// that has left are not passed on.
    fn check_peer(&self) -> Result<(), ConnectionEnd> {
        let mut watched = [PollFd::new(self.stream.get_ref(), PollFlags::RDHUP)];
        // If the system can't tell, the end of the stream does.
        let known = poll(&mut watched, Some(&Timespec::default()));
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        if known.is_ok() && watched[0].revents().intersects(closed) {
            self.frontend.counters.add("clients that left before their input was read");
            return Err(ConnectionEnd::PeerLeft);
        }
        Ok(())
    }

    /// How an idle connection ends; `None` if input is pending, so that the connection is in use.
    fn check_idle_socket(&self) -> Option<ConnectionEnd> {
        match self.stream.get_ref().peek(&mut [0]) {
            Ok(1..) => None,
            Err(e) if e.kind() == ErrorKind::WouldBlock => Some(ConnectionEnd::PeerSilent),
            _ => Some(ConnectionEnd::PeerLeft),
        }
    }

    /// Decodes and handles all messages that are complete with the last `received` bytes. An error is how the connection
    /// has to end.
    async fn handle_input(&self, input: &mut Input, received: usize) -> Result<(), ConnectionEnd> {
        let now = self.clock().now();
        self.client.last_activity.set(now);
        if input.bytes().len() == received && self.client.has_sent_request() {
            input.timer = MessageTimer::start(now);
        }
        self.check_peer()?;
        let (mut used, mut handled) = (0, 0);
        while used < input.bytes().len() {
            if handled == MESSAGES_PER_TURN {
                handled = 0;
                future::yield_now().await;
                self.wait_for_unwritten_answers(&mut input.timer).await?;
                self.check_peer()?;
            }
            handled += 1;
            used += match rpc::decode_message(&input.bytes()[used..]) {
                Ok(None) => break,
                Ok(Some((message, len))) => {
                    self.handle_message(message, now).await?;
                    len
                }
                Err((error, len)) => {
                    self.refuse_message(&error)?;
                    len
                }
            };
        }
        input.consume(used);
        if used > 0 && self.client.has_sent_request() {
            input.timer = MessageTimer::start(now);
        }
        input.timer.record_input(now, input.bytes().len());
        Ok(())
    }

    /// Answers a message that can't be used, if its id and the position of the next message are known.
    fn refuse_message(&self, error: &DecodeError) -> Result<(), ConnectionEnd> {
        self.frontend.counters.add("client messages refused");
        log::debug!("clients: malformed or invalid message rejected: {error:?}");
        let (DecodeError::Malformed { id } | DecodeError::Invalid { id, .. }) = error;
        let id = id.filter(|id| self.client.register_message_id(*id)).ok_or(ConnectionEnd::PeerDamaged)?;
        self.client.invalid(id);
        match error {
            DecodeError::Malformed { .. } => Err(ConnectionEnd::PeerDamaged),
            DecodeError::Invalid { .. } => Ok(()),
        }
    }

    async fn handle_message(&self, message: Message, received_at: Time) -> Result<(), ConnectionEnd> {
        let (client, counters) = (&self.client, &self.frontend.counters);
        let event = match message {
            Message::Cancel { ids } => {
                self.cancel_requests(&ids).await;
                return Ok(());
            }
            Message::HealthCheck { id } | Message::Request { id, .. } if !client.register_message_id(id) => {
                counters.add("message ids used again");
                return Err(ConnectionEnd::PeerDamaged);
            }
            Message::HealthCheck { id } => {
                DispatchEvent::HealthCheck { responder: Rc::clone(client) as _, id }
            }
            Message::Request { id, .. } if client.open_requests.borrow().len() > MAX_OPEN_REQUESTS => {
                counters.add("requests over the connection's bound");
                client.reject(id, Rejection::NOT_STARTED);
                return Ok(());
            }
            Message::Request { id, method, request } => {
                counters.add("requests");
                DispatchEvent::Request { responder: Rc::clone(client) as _, id, method, request, received_at }
            }
        };
        // Fails only if the dispatcher has ended, and the process with it.
        _ = self.frontend.dispatcher.send(event).await;
        Ok(())
    }

    async fn cancel_requests(&self, ids: &[u64]) {
        let (client, frontend) = (&self.client, self.frontend);
        for &id in ids {
            if client.open_requests.borrow_mut().remove(&id) {
                frontend.counters.add("requests interrupted");
                _ = frontend.dispatcher.send(DispatchEvent::Cancelled { responder: client.id, id }).await;
            }
        }
    }

    async fn write_loop(&self, frames: &Receiver<Frame>) -> ConnectionEnd {
        while let Ok(frame) = frames.recv().await {
            let batch = self.take_batch(frame, frames);
            let mut slices: Vec<IoSlice> = batch.iter().flat_map(Frame::segments).map(IoSlice::new).collect();
            if let Err(end) = self.write_all(&mut slices).await {
                return end;
            }
            drop(slices);
            drop(batch);
            self.client.last_activity.set(self.clock().now());
            self.client.written.notify(1);
        }
        ConnectionEnd::PeerLeft
    }

    /// The next answers, to be written at once: up to the first one with a body, which holds buffers.
    fn take_batch(&self, first: Frame, frames: &Receiver<Frame>) -> Vec<Frame> {
        let mut batch = vec![self.drop_if_late(first)];
        while batch.len() < MAX_ANSWERS_PER_WRITE && batch.last().is_some_and(|frame| frame.body.is_none()) {
            let Ok(frame) = frames.try_recv() else { break };
            batch.push(self.drop_if_late(frame));
        }
        batch
    }

    /// Replaces an answer for which the client has stopped waiting: its body would only occupy buffers and bandwidth.
    fn drop_if_late(&self, mut frame: Frame) -> Frame {
        if let Some((_, id)) = frame.expiry.filter(|(deadline, _)| *deadline < self.clock().now()) {
            self.frontend.counters.add("answers too late to write");
            (frame.head, frame.body) = (rpc::encode_error(id, ErrorCode::Lost, &[]), None);
            frame.tail.clear();
        }
        frame
    }

    async fn write_all(&self, mut slices: &mut [IoSlice<'_>]) -> Result<(), ConnectionEnd> {
        let mut stream = self.stream;
        IoSlice::advance_slices(&mut slices, 0);
        let mut last_progress = self.clock().now();
        while !slices.is_empty() {
            let written: Option<io::Result<usize>> =
                self.clock().timeout(POLL_INTERVAL, stream.write_vectored(slices)).await;
            match written {
                None if self.clock().now() - last_progress >= self.stall_timeout() => {
                    return Err(ConnectionEnd::PeerStalled);
                }
                None => {}
                Some(Ok(0) | Err(_)) => return Err(ConnectionEnd::PeerLeft),
                Some(Ok(n)) => {
                    last_progress = self.clock().now();
                    IoSlice::advance_slices(&mut slices, n);
                }
            }
        }
        Ok(())
    }

    /// A stalled reader pins buffers; they are freed sooner while other bodies wait for them.
    fn stall_timeout(&self) -> Span {
        if self.frontend.pool.has_waiters() { STALL_TIMEOUT_LOW_MEMORY } else { STALL_TIMEOUT }
    }
}

//! Follows the bulletin: its events reach the dispatcher in the order of their numbers, each once, also when its address
//! is changed on the way. Must never pass on an event after a gap, nor take silence for news: it connects anew and
//! asks for what follows the last good one.

use crate::clock::Clock;
use crate::config::{Names, parse_event};
use crate::connection_end::ConnectionEnd;
use crate::counters::Counters;
use crate::dispatch_api::Event;
use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt, future};
use kelpcart::Span;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

const MOST_LINE: usize = 1024 * 1024;
/// It writes a line each second; this long without a whole one, and the connection is held to be dead. A long line has
/// as long again for each piece of it that has come.
const SILENT: Span = Span::from_millis(2_000);
const PIECE: usize = 16 * 1024;
const CONNECT: Span = Span::from_millis(500);
const WAITS: std::ops::Range<Span> = Span::from_millis(50)..Span::from_millis(400);

// What it has to tell counts as told 2 s after a break and 4 s after it stops: one try may fail before that.
const ONE_TRY: u64 = CONNECT.as_micros() + WAITS.end.as_micros();
const _: () = assert!(2 * ONE_TRY < 2_000_000 && SILENT.as_micros() + 2 * ONE_TRY < 4_000_000);

/// Who hears the lines. What comes after a gap or can't be read ends the connection.
pub trait Subscriber {
    /// The number of the last event that is known.
    fn after(&self) -> u64;
    fn line(&mut self, line: &[u8]) -> Result<(), String>;
    /// Comes when a connection is wanted, and when one that stands is not wanted any more.
    fn wanted(&self) -> impl Future<Output = ()>;
    fn unwanted(&self) -> impl Future<Output = ()>;
    /// A connection has ended, or did not come up.
    fn ended(&mut self) {}
}

pub struct DiscoveryClient<H> {
    pub address: SocketAddr,
    /// Further addresses, as the configuration comes to name them.
    pub moves: Receiver<SocketAddr>,
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub subscriber: H,
}

impl<H: Subscriber> DiscoveryClient<H> {
    pub async fn follow(mut self) {
        let (moves, mut wait) = (self.moves.clone(), WAITS.start);
        loop {
            let here = self.address;
            let moved = async {
                while let Ok(address) = moves.recv().await {
                    if address != here {
                        return address;
                    }
                }
                future::pending().await
            };
            let followed = async {
                self.subscriber.wanted().await;
                let (before, mut healthy) = (self.subscriber.after(), false);
                let end = self.read(&mut healthy).await;
                self.counters.record_end(end);
                let after = self.subscriber.after();
                if end == ConnectionEnd::PeerDamaged || after > before && end != ConnectionEnd::Withdrawn {
                    log::warn!("the bulletin's connection ended ({end:?}); asking again after {after}");
                }
                self.subscriber.ended();
                wait = if healthy { WAITS.start } else { (wait * 2.0).min(WAITS.end) };
                self.clock.sleep(wait).await;
                here
            };
            self.address = future::or(moved, followed).await;
            if self.address != here {
                wait = WAITS.start;
                let after = self.subscriber.after();
                log::info!("the bulletin is now followed at {}, after {after}", self.address);
            }
        }
    }

    /// `healthy` becomes true with the first line that can be used.
    async fn read(&mut self, healthy: &mut bool) -> ConnectionEnd {
        let mut stream = match self.clock.within(CONNECT, Async::<TcpStream>::connect(self.address)).await {
            Some(Ok(stream)) => stream,
            Some(Err(_)) => return ConnectionEnd::Refused,
            None => return ConnectionEnd::NoConnection,
        };
        let ask = format!("after {}\n", self.subscriber.after());
        match self.clock.within(SILENT, stream.write_all(ask.as_bytes())).await {
            Some(Ok(())) => {}
            Some(Err(_)) => return ConnectionEnd::PeerLeft,
            None => return ConnectionEnd::PeerSilent,
        }
        let (mut held, mut bytes, mut heard) = (Vec::new(), vec![0; PIECE], self.clock.now());
        loop {
            // Guards against one that stands and sends a byte now and then, but nothing that can be used.
            let silent = heard + SILENT * (1 + held.len() / PIECE) as f64;
            let read = async { Some(self.clock.by(silent, stream.read(&mut bytes)).await) };
            let unwanted = async {
                self.subscriber.unwanted().await;
                None
            };
            let Some(got) = future::or(read, unwanted).await else { return ConnectionEnd::Withdrawn };
            let n = match got {
                Some(Ok(0) | Err(_)) => return ConnectionEnd::PeerLeft,
                Some(Ok(n)) => n,
                None => return ConnectionEnd::PeerSilent,
            };
            let seen = held.len();
            held.extend_from_slice(&bytes[..n]);
            let mut used = 0;
            while let Some(end) = held[seen.max(used)..].iter().position(|&b| b == b'\n') {
                let end = seen.max(used) + end;
                if let Err(why) = self.subscriber.line(&held[used..end]) {
                    log::warn!("a line of the bulletin can't be used: {why}");
                    return ConnectionEnd::PeerDamaged;
                }
                *healthy = true;
                heard = self.clock.now();
                used = end + 1;
            }
            held.drain(..used);
            if held.len() > MOST_LINE {
                return ConnectionEnd::PeerDamaged;
            }
        }
    }
}

/// Passes events on to the dispatcher; a connection is always wanted.
pub struct Alone {
    /// The number of the last event that was passed on.
    pub last: u64,
    pub names: Names,
    pub counters: Rc<Counters>,
    pub dispatcher: Sender<Event>,
}

impl Subscriber for Alone {
    fn after(&self) -> u64 {
        self.last
    }

    async fn wanted(&self) {}

    async fn unwanted(&self) {
        future::pending().await
    }

    fn line(&mut self, line: &[u8]) -> Result<(), String> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let value: serde_json::Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
        let gap = |no| format!("number {no} after {}", self.last);
        if let Some(no) = value.as_u64() {
            return if no > self.last { Err(gap(no)) } else { Ok(()) };
        }
        let (no, said) = parse_event(&value, &self.names)?;
        if no > self.last + 1 {
            return Err(gap(no));
        }
        if no == self.last + 1 {
            self.last = no;
            self.counters.add("bulletin events");
            if let Some(said) = said {
                // It fails only when the dispatcher has ended, and with it the process.
                _ = self.dispatcher.try_send(Event::Discovery(said));
            }
        }
        Ok(())
    }
}

//! The time that a client has to send one complete message.

use kelpcart::{Span, Time};

/// Time for any message. Below the 3 s within which a client that sends no complete message has to be disconnected.
const MESSAGE_TIMEOUT: Span = Span::from_millis(2_500);
/// Longest pause of a message that takes longer than `MESSAGE_TIMEOUT`.
const MAX_PAUSE: Span = Span::from_millis(1_000);
/// Beyond `MESSAGE_TIMEOUT`, a message has the time that its bytes take at this rate, in bytes per second.
const MIN_RATE: f64 = 100.0;
/// Time after which no message is waited for any longer.
const MAX_MESSAGE_TIME: Span = Span::from_millis(20_000);

/// Tracks the arrival of the message that a client is sending.
pub struct MessageTimer {
    started_at: Time,
    last_input_at: Time,
    received_bytes: usize,
}

impl MessageTimer {
    /// Starts with the first byte of a message, or with the connection for the first message on it.
    pub fn start(now: Time) -> MessageTimer {
        MessageTimer { started_at: now, last_input_at: now, received_bytes: 0 }
    }

    /// Records input after which the message consists of `received_bytes`.
    pub fn record_input(&mut self, now: Time, received_bytes: usize) {
        self.last_input_at = now;
        self.received_bytes = received_bytes;
    }

    /// Excludes a period in which the gateway did not read.
    pub fn exclude(&mut self, period: Span) {
        self.started_at += period;
        self.last_input_at += period;
    }

    /// When the message is overdue, unless more of it arrives before. `MESSAGE_TIMEOUT` is extended for a message that
    /// keeps arriving.
    pub fn deadline(&self) -> Time {
        let base = self.started_at + MESSAGE_TIMEOUT;
        let by_rate = base + Span::from_secs_f64(self.received_bytes as f64 / MIN_RATE);
        let extended = by_rate.min(self.last_input_at + MAX_PAUSE).min(self.started_at + MAX_MESSAGE_TIME);
        base.max(extended)
    }

    /// Whether the message is older than `MESSAGE_TIMEOUT`, so that a connection that should close does not wait for it.
    pub fn is_extended(&self, now: Time) -> bool {
        now >= self.started_at + MESSAGE_TIMEOUT
    }

    pub fn age(&self, now: Time) -> Span {
        now - self.started_at
    }

    pub fn pause(&self, now: Time) -> Span {
        now - self.last_input_at
    }

    pub fn received_bytes(&self) -> usize {
        self.received_bytes
    }
}

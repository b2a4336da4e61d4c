//! Owns the gateway's one source of time: the Unix time read once at the start, carried on by a clock that never
//! runs back. Must never be asked for a time by another way; sleeping is by the same clock.

use async_io::Timer;
use futures_lite::future;
use kelpcart::{Span, Time};
use std::future::Future;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    unix: Duration,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix }
    }

    pub fn now(&self) -> Time {
        Time::from_micros((self.unix + self.start.elapsed()).as_micros() as u64)
    }

    pub async fn sleep_until(&self, at: Time) {
        Timer::after(Duration::from_micros((at - self.now()).as_micros())).await;
    }

    pub async fn sleep(&self, span: Span) {
        self.sleep_until(self.now() + span).await;
    }

    /// What `work` gives, or `None` when it is not done by `at`.
    pub async fn timeout_at<T>(&self, at: Time, work: impl Future<Output = T>) -> Option<T> {
        let late = async {
            self.sleep_until(at).await;
            None
        };
        future::or(async { Some(work.await) }, late).await
    }

    /// What `work` gives, or `None` when it takes longer than the span.
    pub async fn timeout<T>(&self, span: Span, work: impl Future<Output = T>) -> Option<T> {
        self.timeout_at(self.now() + span, work).await
    }
}

//! The gateway's only source of time and timers: the Unix time at the start of the process plus the elapsed monotonic
//! time, so that it never runs backwards.

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

    /// Runs `work` until `at`; `None` if it has not completed by then.
    pub async fn timeout_at<T>(&self, at: Time, work: impl Future<Output = T>) -> Option<T> {
        let late = async {
            self.sleep_until(at).await;
            None
        };
        future::or(async { Some(work.await) }, late).await
    }

    /// Runs `work` for at most `span`; `None` if it takes longer.
    pub async fn timeout<T>(&self, span: Span, work: impl Future<Output = T>) -> Option<T> {
        self.timeout_at(self.now() + span, work).await
    }
}

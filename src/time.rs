//! A point in time and a span between two points, in whole microseconds of the host's clock. Arithmetic saturates.

use std::ops::{Add, AddAssign, Div, Mul, Sub};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Time(u64);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Span(u64);

impl Time {
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    pub fn saturating_sub(self, span: Span) -> Time {
        Time(self.0.saturating_sub(span.0))
    }
}

impl Span {
    pub const ZERO: Span = Span(0);

    pub const fn from_micros(micros: u64) -> Span {
        Span(micros)
    }

    pub const fn from_millis(millis: u64) -> Span {
        Span(millis * 1_000)
    }

    pub fn from_secs_f64(secs: f64) -> Span {
        Span((secs.max(0.0) * 1e6) as u64)
    }

    pub const fn as_micros(self) -> u64 {
        self.0
    }

    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }
}

impl Add<Span> for Time {
    type Output = Time;

    fn add(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

impl Sub for Time {
    type Output = Span;

    fn sub(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Span;

    fn add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }
}

impl AddAssign<Span> for Time {
    fn add_assign(&mut self, span: Span) {
        *self = *self + span;
    }
}

impl Mul<f64> for Span {
    type Output = Span;

    fn mul(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl Div for Span {
    type Output = f64;

    fn div(self, other: Span) -> f64 {
        self.0 as f64 / other.0.max(1) as f64
    }
}

//! A gateway's copy of the share table. It is used in full while valid; after expiry the shares sent to other zones are
//! scaled down in steps to zero, and the gateway then decides on its own.
//!
//! Invariant: an older table never replaces a newer one, and without a valid table the share that leaves a zone never
//! grows.

use crate::table::{Flow, ReceivedTable, Table};
use kelpcart::{Span, Time};

/// Number of steps in which an expired table is scaled down to zero.
const EXPIRY_STEPS: f64 = 4.0;

#[derive(Clone, Debug, Default)]
pub struct LocalTable {
    current: Option<ReceivedTable>,
}

impl LocalTable {
    /// Stores the table; returns `false` and ignores it if a newer one is held.
    pub fn receive(&mut self, now: Time, table: Table, valid_for: Span) -> bool {
        let newer = |h: &ReceivedTable| (h.table.epoch, h.table.version) > (table.epoch, table.version);
        if self.current.as_ref().is_some_and(newer) {
            return false;
        }
        self.current = Some(ReceivedTable { table, received_at: now, valid_for });
        true
    }

    /// Factor applied to the shares sent to other zones: 1 while the table is valid, 0 once the gateway decides alone.
    pub fn away_factor(&self, now: Time) -> f64 {
        let Some(received) = &self.current else { return 0.0 };
        let overdue = now - (received.received_at + received.valid_for);
        let steps = (overdue / (received.valid_for * (1.0 / EXPIRY_STEPS))).floor()
            + f64::from(u8::from(overdue > Span::ZERO));
        (1.0 - steps / EXPIRY_STEPS).clamp(0.0, 1.0)
    }

    /// The share of a flow that goes to a zone, with the factor applied.
    pub fn share(&self, now: Time, from: Flow, to: usize) -> f64 {
        let factor = self.away_factor(now);
        match &self.current {
            Some(received) if to == from.0 => 1.0 - received.table.away_share(from) * factor,
            Some(received) => received.table.share(from, to) * factor,
            None => f64::from(u8::from(to == from.0)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::TxnClass;

    const FROM: Flow = (0, TxnClass { importance: 5, write: false });

    fn table(version: u64, share: f64) -> Table {
        let mut table = Table::all_local(1, version);
        table.set(FROM, [(1, share)]);
        table
    }

    #[test]
    fn an_expired_table_is_scaled_down_by_steps_to_local_only() {
        let at = |ms: u64| Time::from_micros(1_000_000 + ms * 1_000);
        let mut local = LocalTable::default();
        assert_eq!(local.share(at(0), FROM, 0), 1.0);
        assert!(local.receive(at(0), table(2, 0.8), Span::from_millis(4_000)));
        assert!(
            !local.receive(at(100), table(1, 0.1), Span::from_millis(4_000)),
            "an older table is ignored"
        );
        let mut last = 1.0;
        for ms in (0..10_000).step_by(100) {
            let factor = local.away_factor(at(ms));
            assert!(factor <= last && last - factor <= 0.25 + 1e-9, "{ms}: {last} to {factor}");
            assert!(factor == 1.0 || ms > 4_000, "{ms}");
            let sum = local.share(at(ms), FROM, 0) + local.share(at(ms), FROM, 1);
            assert!((sum - 1.0).abs() < 1e-9);
            last = factor;
        }
        assert_eq!((last, local.share(at(10_000), FROM, 0)), (0.0, 1.0));
        assert!(
            local.receive(at(11_000), table(2, 0.8), Span::from_millis(4_000))
                && local.away_factor(at(11_000)) == 1.0
        );
    }
}

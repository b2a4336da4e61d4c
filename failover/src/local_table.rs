//! A gateway's own copy of the table: used while it holds, narrowed towards near by steps once it holds no more, and
//! then no table at all, so that the gateway decides alone. Must never take an older table for a newer one, nor widen
//! what may leave a zone without one that holds.

use crate::table::{Flow, ReceivedTable, Table};
use kelpcart::{Span, Time};

/// Steps from the end of a table's time to none.
const EXPIRY_STEPS: f64 = 4.0;

#[derive(Clone, Debug, Default)]
pub struct LocalTable {
    current: Option<ReceivedTable>,
}

impl LocalTable {
    /// `false`: a newer one is known.
    pub fn receive(&mut self, now: Time, table: Table, holds: Span) -> bool {
        let newer = |h: &ReceivedTable| (h.table.epoch, h.table.version) > (table.epoch, table.version);
        if self.current.as_ref().is_some_and(newer) {
            return false;
        }
        self.current = Some(ReceivedTable { table, received_at: now, valid_for: holds });
        true
    }

    /// How much of what the table sends away is still sent: 1 while it holds, 0 once the gateway decides alone.
    pub fn away_factor(&self, now: Time) -> f64 {
        let Some(heard) = &self.current else { return 0.0 };
        let over = now - (heard.received_at + heard.valid_for);
        let steps = (over / (heard.valid_for * (1.0 / EXPIRY_STEPS))).floor()
            + f64::from(u8::from(over > Span::ZERO));
        (1.0 - steps / EXPIRY_STEPS).clamp(0.0, 1.0)
    }

    /// The part of a zone's txns of a kind that goes to a zone, as far as the table is trusted.
    pub fn share(&self, now: Time, from: Flow, to: usize) -> f64 {
        let trust = self.away_factor(now);
        match &self.current {
            Some(heard) if to == from.0 => 1.0 - heard.table.away_share(from) * trust,
            Some(heard) => heard.table.share(from, to) * trust,
            None => f64::from(u8::from(to == from.0)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::TxnClass;

    const FROM: Flow = (0, TxnClass { importance: 5, write: false });

    fn table(version: u64, part: f64) -> Table {
        let mut table = Table::all_local(1, version);
        table.set(FROM, [(1, part)]);
        table
    }

    #[test]
    fn a_table_holds_for_its_time_and_narrows_by_steps_to_near() {
        let at = |ms: u64| Time::from_micros(1_000_000 + ms * 1_000);
        let mut holder = LocalTable::default();
        assert_eq!(holder.share(at(0), FROM, 0), 1.0);
        assert!(holder.receive(at(0), table(2, 0.8), Span::from_millis(4_000)));
        assert!(
            !holder.receive(at(100), table(1, 0.1), Span::from_millis(4_000)),
            "an older one is not taken"
        );
        let mut last = 1.0;
        for ms in (0..10_000).step_by(100) {
            let trust = holder.away_factor(at(ms));
            assert!(trust <= last && last - trust <= 0.25 + 1e-9, "{ms}: {last} to {trust}");
            assert!(trust == 1.0 || ms > 4_000, "{ms}");
            let sum = holder.share(at(ms), FROM, 0) + holder.share(at(ms), FROM, 1);
            assert!((sum - 1.0).abs() < 1e-9);
            last = trust;
        }
        assert_eq!((last, holder.share(at(10_000), FROM, 0)), (0.0, 1.0));
        assert!(
            holder.receive(at(11_000), table(2, 0.8), Span::from_millis(4_000))
                && holder.away_factor(at(11_000)) == 1.0
        );
    }
}

//! A member's Raft log, hard state and configuration in memory, as the raft library reads them.
//!
//! Invariant: only applied entries are compacted.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::RefCell;
use std::collections::VecDeque;

#[derive(Default)]
pub struct LogStorage {
    pub hard_state: HardState,
    pub conf_state: ConfState,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Index and term of the last entry that was compacted or came with a snapshot.
    compacted: (u64, u64),
    /// The current snapshot, made on demand, and the lowest index that a requested one must reach.
    snapshot: RefCell<Option<Snapshot>>,
    snapshot_wanted: RefCell<Option<u64>>,
}

fn entry_bytes(entry: &Entry) -> usize {
    entry.data.len() + 64
}

impl LogStorage {
    /// The log of a group's first member.
    pub fn bootstrapped(id: u64) -> LogStorage {
        let conf_state = ConfState { voters: vec![id], ..ConfState::default() };
        let hard_state = HardState { term: 1, commit: 1, ..HardState::default() };
        LogStorage { hard_state, conf_state, compacted: (1, 1), ..LogStorage::default() }
    }

    /// The log of a member that knows only its term and vote.
    pub fn with_hard_state(vote: HardState) -> LogStorage {
        LogStorage { hard_state: vote, ..LogStorage::default() }
    }

    pub fn last(&self) -> u64 {
        self.compacted.0 + self.entries.len() as u64
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Appends entries, and truncates any existing ones from the first new index on.
    pub fn append(&mut self, new: Vec<Entry>) {
        let Some(first) = new.first().map(|e| e.index) else { return };
        while self.last() >= first
            && let Some(gone) = self.entries.pop_back()
        {
            self.bytes -= entry_bytes(&gone);
        }
        debug_assert_eq!(self.last() + 1, first, "no gap in the log");
        self.bytes += new.iter().map(entry_bytes).sum::<usize>();
        self.entries.extend(new);
    }

    /// Replaces the log with a snapshot.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        let metadata = snapshot.get_metadata();
        self.entries.clear();
        self.bytes = 0;
        self.compacted = (metadata.index, metadata.term);
        self.conf_state = metadata.get_conf_state().clone();
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.hard_state.commit = metadata.index;
        self.snapshot.replace(None);
    }

    /// Compacts applied entries while the log exceeds the limits.
    pub fn compact(&mut self, applied: u64, max_entries: usize, max_bytes: usize) {
        while (self.entries.len() > max_entries || self.bytes > max_bytes)
            && let Some(first) = self.entries.front()
            && first.index <= applied
        {
            self.compacted = (first.index, first.term);
            self.bytes -= entry_bytes(first);
            self.entries.pop_front();
        }
    }

    /// Takes the pending snapshot request, if any: the lowest index that the snapshot must reach.
    pub fn snapshot_wanted(&self) -> Option<u64> {
        self.snapshot_wanted.borrow_mut().take()
    }

    /// Stores a snapshot of the state at an applied index.
    pub fn store_snapshot(&self, applied: u64, data: Vec<u8>) {
        let mut snapshot = Snapshot::default();
        let metadata = snapshot.mut_metadata();
        metadata.index = applied;
        metadata.term = self.term(applied).unwrap_or(self.compacted.1);
        metadata.set_conf_state(self.conf_state.clone());
        snapshot.data = data.into();
        self.snapshot.replace(Some(snapshot));
    }

    /// Frees the snapshot, once it is outdated or no member needs it.
    pub fn drop_snapshot(&self) {
        self.snapshot.replace(None);
    }

    pub fn snapshot_bytes(&self) -> usize {
        self.snapshot.borrow().as_ref().map_or(0, |i| i.data.len())
    }
}

impl Storage for LogStorage {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.conf_state.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_bytes: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.compacted.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let max_bytes = max_bytes.into().unwrap_or(u64::MAX) as usize;
        let (from, to) = ((low - self.compacted.0 - 1) as usize, (high - self.compacted.0 - 1) as usize);
        let mut bytes = 0;
        let fits = |e: &&Entry| {
            bytes += entry_bytes(e);
            // The first entry is always returned.
            bytes <= max_bytes || bytes == entry_bytes(e)
        };
        Ok(self.entries.range(from..to).take_while(fits).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.compacted.0 {
            return Ok(self.compacted.1);
        }
        if index < self.compacted.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.compacted.0 - 1) as usize);
        entry.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.compacted.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, index: u64, _: u64) -> raft::Result<Snapshot> {
        // A snapshot older than the first log entry would leave a gap.
        let enough = |i: &Snapshot| i.get_metadata().index >= index.max(self.compacted.0);
        match &*self.snapshot.borrow() {
            Some(snapshot) if enough(snapshot) => Ok(snapshot.clone()),
            _ => {
                self.snapshot_wanted.replace(Some(index));
                Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entry(index: u64, term: u64) -> Entry {
        Entry { index, term, data: vec![0; 10].into(), ..Entry::default() }
    }

    #[test]
    fn append_truncates_conflicting_entries() {
        let mut log = LogStorage::bootstrapped(7);
        log.append((2..=5).map(|i| entry(i, 1)).collect());
        log.append(vec![entry(4, 2)]);
        assert_eq!((log.last(), log.len(), log.bytes()), (4, 3, 3 * 74));
        assert_eq!((log.term(3).ok(), log.term(4).ok()), (Some(1), Some(2)));
        let all = log.entries(2, 5, 100, GetEntriesContext::empty(false)).unwrap();
        assert_eq!(all.len(), 1, "as many as fit, and at least one");
    }

    #[test]
    fn only_applied_entries_are_compacted() {
        let mut log = LogStorage::bootstrapped(7);
        log.append((2..=50).map(|i| entry(i, 1)).collect());
        log.compact(10, 0, 0);
        assert_eq!((log.first_index().unwrap(), log.last()), (11, 50));
        assert!(log.entries(10, 12, None, GetEntriesContext::empty(false)).is_err());
        assert!(log.snapshot(0, 1).is_err() && log.snapshot_wanted() == Some(0));
        log.store_snapshot(40, vec![1]);
        assert_eq!(log.snapshot(0, 1).unwrap().get_metadata().term, 1);
    }
}

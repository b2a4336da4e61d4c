//! A member's copy of its group's steps, in memory, as the consensus library wants to read it: the steps from a place
//! on, the members as of the last one applied, the vote and term. Must never give a step that it does not hold, nor
//! let go of one that was not applied.

use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};
use std::cell::RefCell;
use std::collections::VecDeque;

#[derive(Default)]
pub struct Steps {
    pub hard: HardState,
    pub members: ConfState,
    steps: VecDeque<Entry>,
    bytes: usize,
    /// What was let go of, or never came step by step: the last one's place and term.
    before: (u64, u64),
    /// The whole, made when somebody needed it; and how far it has to go for who needs one now.
    image: RefCell<Option<Snapshot>>,
    wanted: RefCell<Option<u64>>,
}

fn weight(step: &Entry) -> usize {
    step.data.len() + 64
}

impl Steps {
    /// A member of a group that begins with these members.
    pub fn founded(id: u64) -> Steps {
        let members = ConfState { voters: vec![id], ..ConfState::default() };
        let hard = HardState { term: 1, commit: 1, ..HardState::default() };
        Steps { hard, members, before: (1, 1), ..Steps::default() }
    }

    /// A member that a group has called; it knows what it voted before under its id, and no more.
    pub fn called(vote: HardState) -> Steps {
        Steps { hard: vote, ..Steps::default() }
    }

    pub fn last(&self) -> u64 {
        self.before.0 + self.steps.len() as u64
    }

    pub fn len(&self) -> usize {
        self.steps.len()
    }

    pub fn is_empty(&self) -> bool {
        self.steps.is_empty()
    }

    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Takes steps in; what stood at their places and behind goes.
    pub fn append(&mut self, new: Vec<Entry>) {
        let Some(first) = new.first().map(|e| e.index) else { return };
        while self.last() >= first
            && let Some(gone) = self.steps.pop_back()
        {
            self.bytes -= weight(&gone);
        }
        debug_assert_eq!(self.last() + 1, first, "no gap among the steps");
        self.bytes += new.iter().map(weight).sum::<usize>();
        self.steps.extend(new);
    }

    /// Begins anew behind an image.
    pub fn restore(&mut self, image: &Snapshot) {
        let about = image.get_metadata();
        self.steps.clear();
        self.bytes = 0;
        self.before = (about.index, about.term);
        self.members = about.get_conf_state().clone();
        self.hard.term = self.hard.term.max(about.term);
        self.hard.commit = about.index;
        self.image.replace(None);
    }

    /// Lets go of steps up to one that was applied, while there are more than the bounds.
    pub fn trim(&mut self, applied: u64, most: usize, most_bytes: usize) {
        while (self.steps.len() > most || self.bytes > most_bytes)
            && let Some(first) = self.steps.front()
            && first.index <= applied
        {
            self.before = (first.index, first.term);
            self.bytes -= weight(first);
            self.steps.pop_front();
        }
    }

    /// Somebody needs the whole, as far as this place at the least.
    pub fn wanted(&self) -> Option<u64> {
        self.wanted.borrow_mut().take()
    }

    /// The whole as of a step that was applied.
    pub fn keep_image(&self, applied: u64, data: Vec<u8>) {
        let mut image = Snapshot::default();
        let about = image.mut_metadata();
        about.index = applied;
        about.term = self.term(applied).unwrap_or(self.before.1);
        about.set_conf_state(self.members.clone());
        image.data = data.into();
        self.image.replace(Some(image));
    }

    /// Nobody needs it any more.
    pub fn drop_image(&self) {
        self.image.replace(None);
    }

    pub fn image_bytes(&self) -> usize {
        self.image.borrow().as_ref().map_or(0, |i| i.data.len())
    }
}

impl Storage for Steps {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: self.members.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low <= self.before.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let most = most.into().unwrap_or(u64::MAX) as usize;
        let (from, to) = ((low - self.before.0 - 1) as usize, (high - self.before.0 - 1) as usize);
        let mut bytes = 0;
        let fits = |e: &&Entry| {
            bytes += weight(e);
            // The first one always goes.
            bytes <= most || bytes == weight(e)
        };
        Ok(self.steps.range(from..to).take_while(fits).cloned().collect())
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.before.0 {
            return Ok(self.before.1);
        }
        if index < self.before.0 {
            return Err(Error::Store(StorageError::Compacted));
        }
        let step = self.steps.get((index - self.before.0 - 1) as usize);
        step.map(|e| e.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.before.0 + 1)
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, index: u64, _: u64) -> raft::Result<Snapshot> {
        // One that is older than the steps kept would leave a gap.
        let enough = |i: &Snapshot| i.get_metadata().index >= index.max(self.before.0);
        match &*self.image.borrow() {
            Some(image) if enough(image) => Ok(image.clone()),
            _ => {
                self.wanted.replace(Some(index));
                Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn step(index: u64, term: u64) -> Entry {
        Entry { index, term, data: vec![0; 10].into(), ..Entry::default() }
    }

    #[test]
    fn what_stood_at_the_places_of_new_steps_goes() {
        let mut steps = Steps::founded(7);
        steps.append((2..=5).map(|i| step(i, 1)).collect());
        steps.append(vec![step(4, 2)]);
        assert_eq!((steps.last(), steps.len(), steps.bytes()), (4, 3, 3 * 74));
        assert_eq!((steps.term(3).ok(), steps.term(4).ok()), (Some(1), Some(2)));
        let all = steps.entries(2, 5, 100, GetEntriesContext::empty(false)).unwrap();
        assert_eq!(all.len(), 1, "as many as fit, and one at the least");
    }

    #[test]
    fn only_what_was_applied_is_let_go_of() {
        let mut steps = Steps::founded(7);
        steps.append((2..=50).map(|i| step(i, 1)).collect());
        steps.trim(10, 0, 0);
        assert_eq!((steps.first_index().unwrap(), steps.last()), (11, 50));
        assert!(steps.entries(10, 12, None, GetEntriesContext::empty(false)).is_err());
        assert!(steps.snapshot(0, 1).is_err() && steps.wanted() == Some(0));
        steps.keep_image(40, vec![1]);
        assert_eq!(steps.snapshot(0, 1).unwrap().get_metadata().term, 1);
    }
}

//! The ledger on disk (redb): applies changes in order and in batches, and loads them at startup. A
//! dedicated thread does the writes, so that the gateway's thread never blocks on the disk.
//!
//! Invariant: a change is reported as written only once it is on disk, and none is written after an earlier
//! one failed.

use crate::ledger::{Answer, Change, Key};
use crate::wire;
use async_channel::{Receiver, Sender};
use prost::Message as _;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use std::thread;

/// Holds the ledger's id.
const META: TableDefinition<&str, u64> = TableDefinition::new("about");
const FLOORS: TableDefinition<u64, u64> = TableDefinition::new("floors");
/// By sender and number; the value is empty while the txn runs.
const ACCEPTED: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("taken");
/// Batches that wait for the disk. Above the number of txns that may run at once, so that it is not
/// reached.
const MAX_QUEUED_BATCHES: usize = 8_192;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("the ledger's file can't be used: {0}")]
    Disk(#[from] redb::Error),
    #[error("the ledger's file holds an unreadable entry")]
    Entry,
}

/// Contents of the file at startup.
#[derive(Debug)]
pub struct Recovered {
    pub ledger: u64,
    pub floors: Vec<Key>,
    pub accepted: Vec<(Key, Option<Answer>)>,
}

/// An answer as it would be sent over a link, followed by its body.
#[derive(Clone, PartialEq, prost::Message)]
struct StoredAnswer {
    #[prost(message, tag = "1")]
    answer: Option<wire::Answer>,
    #[prost(bytes = "vec", tag = "2")]
    body: Vec<u8>,
}

impl StoredAnswer {
    fn new(key: Key, answer: &Answer) -> StoredAnswer {
        let answer_message = wire::Answer::new(key.number, answer.outcome, answer.body.len());
        StoredAnswer { answer: Some(answer_message), body: answer.body.clone() }
    }

    fn answer(self) -> Option<Answer> {
        Some(Answer { outcome: self.answer?.outcome()?, body: self.body })
    }
}

#[derive(Debug)]
pub struct Store {
    db: Database,
}

/// Converts any redb error.
fn storage_error<E: Into<redb::Error>>(e: E) -> StoreError {
    StoreError::Disk(e.into())
}

impl Store {
    /// Opens the file, or creates one with `new_id` as the ledger's id.
    pub fn open(path: &Path, new_id: u64) -> Result<(Store, Recovered), StoreError> {
        let db = Database::create(path).map_err(storage_error)?;
        let write = db.begin_write().map_err(storage_error)?;
        let mut recovered = Recovered { ledger: new_id, floors: Vec::new(), accepted: Vec::new() };
        {
            let mut meta = write.open_table(META).map_err(storage_error)?;
            let stored_id = meta.get("ledger").map_err(storage_error)?.map(|n| n.value());
            match stored_id {
                Some(stored_id) => recovered.ledger = stored_id,
                None => _ = meta.insert("ledger", new_id).map_err(storage_error)?,
            }
            for row in write.open_table(FLOORS).map_err(storage_error)?.iter().map_err(storage_error)? {
                let (sender, number) = row.map_err(storage_error)?;
                recovered.floors.push(Key { sender: sender.value(), number: number.value() });
            }
            for row in write.open_table(ACCEPTED).map_err(storage_error)?.iter().map_err(storage_error)? {
                let (key, value) = row.map_err(storage_error)?;
                let ((sender, number), bytes) = (key.value(), value.value());
                let decode = |bytes: &[u8]| StoredAnswer::decode(bytes).ok()?.answer();
                let answer = match bytes {
                    [] => None,
                    bytes => Some(decode(bytes).ok_or(StoreError::Entry)?),
                };
                recovered.accepted.push((Key { sender, number }, answer));
            }
        }
        write.commit().map_err(storage_error)?;
        Ok((Store { db }, recovered))
    }

    /// Applies all changes or none; they are on disk when this returns.
    pub fn apply<'a>(&mut self, changes: impl Iterator<Item = &'a Change>) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(storage_error)?;
        {
            let mut floors = write.open_table(FLOORS).map_err(storage_error)?;
            let mut accepted = write.open_table(ACCEPTED).map_err(storage_error)?;
            for change in changes {
                match change {
                    Change::Accepted(key) => {
                        accepted.insert((key.sender, key.number), &[][..]).map_err(storage_error)?;
                    }
                    Change::Ended(key, answer) => {
                        let bytes = StoredAnswer::new(*key, answer).encode_to_vec();
                        accepted.insert((key.sender, key.number), &bytes[..]).map_err(storage_error)?;
                    }
                    Change::Floor(key) => {
                        floors.insert(key.sender, key.number).map_err(storage_error)?;
                    }
                    Change::Dropped(key) => {
                        accepted.remove((key.sender, key.number)).map_err(storage_error)?;
                    }
                    Change::SenderDropped(sender) => {
                        floors.remove(sender).map_err(storage_error)?;
                        let keys = (*sender, 0)..=(*sender, u64::MAX);
                        accepted.retain_in(keys, |_, _| false).map_err(storage_error)?;
                    }
                }
            }
        }
        write.commit().map_err(storage_error)
    }

    /// Number of entries, for tests and operators.
    pub fn len(&self) -> Result<usize, StoreError> {
        let read = self.db.begin_read().map_err(storage_error)?;
        let n = read.open_table(ACCEPTED).map_err(storage_error)?.iter().map_err(storage_error)?.count();
        Ok(n)
    }

    pub fn is_empty(&self) -> Result<bool, StoreError> {
        self.len().map(|n| n == 0)
    }
}

/// The writer thread. Batches that arrive while it waits for the disk are written together.
pub struct Writer {
    batches: Sender<(u64, Vec<Change>)>,
    /// Sequence numbers of batches, and whether all up to that one are on disk.
    pub done: Receiver<(u64, bool)>,
}

impl Writer {
    pub fn start(mut store: Store) -> std::io::Result<Writer> {
        let (batches, waiting) = async_channel::bounded::<(u64, Vec<Change>)>(MAX_QUEUED_BATCHES);
        let (results, done) = async_channel::unbounded();
        let work = move || {
            let mut failed = false;
            while let Ok(first) = waiting.recv_blocking() {
                let mut pending = vec![first];
                while let Ok(batch) = waiting.try_recv() {
                    pending.push(batch);
                }
                let seq = pending.last().map_or(0, |last| last.0);
                if !failed && let Err(error) = store.apply(pending.iter().flat_map(|batch| &batch.1)) {
                    log::error!("{error}; no more unrepeatable txns are accepted");
                    // Later changes could depend on the missing ones.
                    failed = true;
                }
                if results.send_blocking((seq, !failed)).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("ledger".to_owned()).spawn(work)?;
        Ok(Writer { batches, done })
    }

    /// Returns `false` if the queue is full; the batch will then not be written.
    pub fn write(&self, seq: u64, changes: Vec<Change>) -> bool {
        self.batches.try_send((seq, changes)).is_ok()
    }
}

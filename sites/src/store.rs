//! The ledger on a disk: brings changes there in their order, many at once, and reads them back at a start. One thread
//! of its own does the waiting, so that the gateway's one never does. Must never call a change written before the disk
//! has it, nor write a later one once an earlier one failed.

use crate::ledger::{Answer, Change, Key};
use crate::wire;
use async_channel::{Receiver, Sender};
use prost::Message as _;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::Path;
use std::thread;

/// The ledger's own number, which tells it from all others.
const META: TableDefinition<&str, u64> = TableDefinition::new("about");
const FLOORS: TableDefinition<u64, u64> = TableDefinition::new("floors");
/// By sender and number; empty while it runs.
const ACCEPTED: TableDefinition<(u64, u64), &[u8]> = TableDefinition::new("taken");
/// Batches that wait for the disk; more than may run at once never do.
const MAX_QUEUED_BATCHES: usize = 8_192;

#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("the ledger's file can't be used: {0}")]
    Disk(#[from] redb::Error),
    #[error("the ledger's file holds an entry that can't be read")]
    Entry,
}

/// What was there at the start.
#[derive(Debug)]
pub struct Recovered {
    pub ledger: u64,
    pub floors: Vec<Key>,
    pub accepted: Vec<(Key, Option<Answer>)>,
}

/// An answer as it would cross a link, and the bytes behind it.
#[derive(Clone, PartialEq, prost::Message)]
struct StoredAnswer {
    #[prost(message, tag = "1")]
    answer: Option<wire::Answer>,
    #[prost(bytes = "vec", tag = "2")]
    body: Vec<u8>,
}

impl StoredAnswer {
    fn new(key: Key, answer: &Answer) -> StoredAnswer {
        let told = wire::Answer::new(key.number, answer.outcome, answer.body.len());
        StoredAnswer { answer: Some(told), body: answer.body.clone() }
    }

    fn answer(self) -> Option<Answer> {
        Some(Answer { outcome: self.answer?.outcome()?, body: self.body })
    }
}

#[derive(Debug)]
pub struct Store {
    db: Database,
}

/// Any error of the store's library as its one type.
fn storage_error<E: Into<redb::Error>>(e: E) -> StoreError {
    StoreError::Disk(e.into())
}

impl Store {
    /// Opens the file, or makes one with `fresh` as the ledger's number.
    pub fn open(path: &Path, fresh: u64) -> Result<(Store, Recovered), StoreError> {
        let db = Database::create(path).map_err(storage_error)?;
        let write = db.begin_write().map_err(storage_error)?;
        let mut found = Recovered { ledger: fresh, floors: Vec::new(), accepted: Vec::new() };
        {
            let mut about = write.open_table(META).map_err(storage_error)?;
            let known = about.get("ledger").map_err(storage_error)?.map(|n| n.value());
            match known {
                Some(known) => found.ledger = known,
                None => _ = about.insert("ledger", fresh).map_err(storage_error)?,
            }
            for row in write.open_table(FLOORS).map_err(storage_error)?.iter().map_err(storage_error)? {
                let (sender, number) = row.map_err(storage_error)?;
                found.floors.push(Key { sender: sender.value(), number: number.value() });
            }
            for row in write.open_table(ACCEPTED).map_err(storage_error)?.iter().map_err(storage_error)? {
                let (key, value) = row.map_err(storage_error)?;
                let ((sender, number), bytes) = (key.value(), value.value());
                let kept = |bytes: &[u8]| StoredAnswer::decode(bytes).ok()?.answer();
                let answer = match bytes {
                    [] => None,
                    bytes => Some(kept(bytes).ok_or(StoreError::Entry)?),
                };
                found.accepted.push((Key { sender, number }, answer));
            }
        }
        write.commit().map_err(storage_error)?;
        Ok((Store { db }, found))
    }

    /// All of it or nothing, on the disk when this returns.
    pub fn apply<'a>(&mut self, changes: impl Iterator<Item = &'a Change>) -> Result<(), StoreError> {
        let write = self.db.begin_write().map_err(storage_error)?;
        {
            let mut floors = write.open_table(FLOORS).map_err(storage_error)?;
            let mut taken = write.open_table(ACCEPTED).map_err(storage_error)?;
            for change in changes {
                match change {
                    Change::Accepted(key) => {
                        taken.insert((key.sender, key.number), &[][..]).map_err(storage_error)?;
                    }
                    Change::Ended(key, answer) => {
                        let bytes = StoredAnswer::new(*key, answer).encode_to_vec();
                        taken.insert((key.sender, key.number), &bytes[..]).map_err(storage_error)?;
                    }
                    Change::Floor(key) => {
                        floors.insert(key.sender, key.number).map_err(storage_error)?;
                    }
                    Change::Dropped(key) => {
                        taken.remove((key.sender, key.number)).map_err(storage_error)?;
                    }
                    Change::SenderDropped(sender) => {
                        floors.remove(sender).map_err(storage_error)?;
                        let of_sender = (*sender, 0)..=(*sender, u64::MAX);
                        taken.retain_in(of_sender, |_, _| false).map_err(storage_error)?;
                    }
                }
            }
        }
        write.commit().map_err(storage_error)
    }

    /// How many are kept, for tests and operators.
    pub fn len(&self) -> Result<usize, StoreError> {
        let read = self.db.begin_read().map_err(storage_error)?;
        let n = read.open_table(ACCEPTED).map_err(storage_error)?.iter().map_err(storage_error)?.count();
        Ok(n)
    }

    pub fn is_empty(&self) -> Result<bool, StoreError> {
        self.len().map(|n| n == 0)
    }
}

/// The thread that writes. What came together while it waited for the disk goes there together.
pub struct Writer {
    batches: Sender<(u64, Vec<Change>)>,
    /// Marks, and whether all up to them are on the disk.
    pub done: Receiver<(u64, bool)>,
}

impl Writer {
    pub fn start(mut store: Store) -> std::io::Result<Writer> {
        let (batches, waiting) = async_channel::bounded::<(u64, Vec<Change>)>(MAX_QUEUED_BATCHES);
        let (tell, done) = async_channel::unbounded();
        let work = move || {
            let mut failed = false;
            while let Ok(first) = waiting.recv_blocking() {
                let mut all = vec![first];
                while let Ok(more) = waiting.try_recv() {
                    all.push(more);
                }
                let mark = all.last().map_or(0, |last| last.0);
                if !failed && let Err(why) = store.apply(all.iter().flat_map(|batch| &batch.1)) {
                    log::error!("{why}; nothing more is taken that must not run twice");
                    // What follows could rest on what is missing now.
                    failed = true;
                }
                if tell.send_blocking((mark, !failed)).is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("ledger".to_owned()).spawn(work)?;
        Ok(Writer { batches, done })
    }

    /// `false`: there is no room to wait, and it will not be written.
    pub fn write(&self, mark: u64, changes: Vec<Change>) -> bool {
        self.batches.try_send((mark, changes)).is_ok()
    }
}

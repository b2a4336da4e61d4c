//! How txns ended, on a disk: a few files of records, each with its length and checksum, written at the end and brought
//! to the disk before anybody says so. They are read at a start and told to the group that there is then; nothing votes
//! by them, so that what is old, torn, damaged or was never flushed can only be missing. One thread of its own does the
//! waiting. Must never call written what the disk has not taken, nor give out a record whose checksum does not fit.

use crate::command::OutcomeRecord;
use async_channel::{Receiver, Sender};
use prost::Message;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread;
use xxhash_rust::xxh3::xxh3_64;

/// A file is followed by the next one from this size on; so many are kept.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;
const MAX_FILES: usize = 3;
/// A record holds an answer of 240,000 bytes at the most.
const MAX_RECORD_BYTES: usize = 512 * 1024;
const HEADER_BYTES: usize = 4 + 8;
/// Batches that wait for the disk.
const MAX_QUEUED_BATCHES: usize = 8_192;

#[derive(Debug, thiserror::Error)]
#[error("{path}: {why}")]
pub struct OutcomeLogError {
    path: PathBuf,
    why: io::Error,
}

/// What was there at the start.
#[derive(Debug, Default)]
pub struct Recovered {
    pub records: Vec<OutcomeRecord>,
    /// Records that were torn or damaged, or of no form of ours: not taken in.
    pub damaged: usize,
}

#[derive(Debug)]
pub struct OutcomeLog {
    folder: PathBuf,
    file: File,
    number: u64,
    bytes: u64,
}

fn file_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("notes-{number:010}"))
}

/// The files' numbers, the oldest first.
fn file_numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let number = |name: &str| name.strip_prefix("notes-")?.parse::<u64>().ok();
    let mut all = Vec::new();
    for entry in fs::read_dir(folder)? {
        all.extend(entry?.file_name().to_str().and_then(number));
    }
    all.sort_unstable();
    Ok(all)
}

impl OutcomeLog {
    /// Reads what there is, and begins a new file behind it.
    pub fn open(folder: &Path) -> Result<(OutcomeLog, Recovered), OutcomeLogError> {
        let bad = |why| OutcomeLogError { path: folder.to_owned(), why };
        fs::create_dir_all(folder).map_err(bad)?;
        let mut found = Recovered::default();
        let known = file_numbers(folder).map_err(bad)?;
        for &number in &known {
            read(&fs::read(file_path(folder, number)).map_err(bad)?, &mut found);
        }
        let number = known.last().map_or(1, |n| n + 1);
        let file = create(folder, number).map_err(bad)?;
        Ok((OutcomeLog { folder: folder.to_owned(), file, number, bytes: 0 }, found))
    }

    /// On a file that is open already, for tests of disks that fail.
    pub fn with_file(file: File, folder: &Path) -> OutcomeLog {
        OutcomeLog { folder: folder.to_owned(), file, number: 0, bytes: 0 }
    }

    /// On the disk when this returns.
    pub fn write<'a>(
        &mut self,
        notes: impl Iterator<Item = &'a OutcomeRecord>,
    ) -> Result<(), OutcomeLogError> {
        let bad = |folder: &Path, why| OutcomeLogError { path: folder.to_owned(), why };
        let mut bytes = Vec::new();
        for record_read in notes {
            let record = record_read.encode_to_vec();
            bytes.extend((record.len() as u32).to_be_bytes());
            bytes.extend(xxh3_64(&record).to_be_bytes());
            bytes.extend(record);
        }
        let write = |file: &mut File| file.write_all(&bytes).and_then(|()| file.sync_data());
        write(&mut self.file).map_err(|e| bad(&self.folder, e))?;
        self.bytes += bytes.len() as u64;
        if self.bytes >= MAX_FILE_BYTES {
            self.rotate().map_err(|e| bad(&self.folder, e))?;
        }
        Ok(())
    }

    /// The next file; the oldest goes.
    fn rotate(&mut self) -> io::Result<()> {
        (self.number, self.bytes) = (self.number + 1, 0);
        self.file = create(&self.folder, self.number)?;
        let known = file_numbers(&self.folder)?;
        let old = known.len().saturating_sub(MAX_FILES);
        known[..old].iter().try_for_each(|&number| fs::remove_file(file_path(&self.folder, number)))
    }
}

fn create(folder: &Path, number: u64) -> io::Result<File> {
    let file = OpenOptions::new().create_new(true).append(true).open(file_path(folder, number))?;
    // The name has to outlive a power loss, too.
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Takes in the records of a file. After one that is damaged the next is looked for where it says that it ends.
fn read(mut bytes: &[u8], found: &mut Recovered) {
    while !bytes.is_empty() {
        let head = bytes.split_first_chunk::<4>();
        let length = head.map_or(usize::MAX, |(n, _)| u32::from_be_bytes(*n) as usize);
        if length > MAX_RECORD_BYTES || bytes.len() < HEADER_BYTES + length {
            found.damaged += 1;
            return;
        }
        let (sum, record) = (&bytes[4..HEADER_BYTES], &bytes[HEADER_BYTES..HEADER_BYTES + length]);
        let record_read =
            (xxh3_64(record).to_be_bytes() == *sum).then(|| OutcomeRecord::decode(record).ok()).flatten();
        match record_read.filter(|n| n.ledger != 0 && n.end.as_ref().is_some_and(|e| e.read().is_some())) {
            Some(record_read) => found.records.push(record_read),
            None => found.damaged += 1,
        }
        bytes = &bytes[HEADER_BYTES + length..];
    }
}

/// The thread that writes. What came together while it waited for the disk goes there together.
pub struct Writer {
    batches: Sender<(u64, Vec<OutcomeRecord>)>,
    /// Marks, and whether all up to them are on the disk.
    pub completions: Receiver<(u64, bool)>,
}

impl Writer {
    pub fn start(mut notes: OutcomeLog) -> io::Result<Writer> {
        let (batches, waiting) = async_channel::bounded::<(u64, Vec<OutcomeRecord>)>(MAX_QUEUED_BATCHES);
        let (tell, done) = async_channel::unbounded();
        let work = move || {
            while let Ok(first) = waiting.recv_blocking() {
                let mut all = vec![first];
                while let Ok(more) = waiting.try_recv() {
                    all.push(more);
                }
                let mark = all.last().map_or(0, |last| last.0);
                let written = notes.write(all.iter().flat_map(|batch| &batch.1));
                if let Err(why) = &written {
                    ::log::error!("{why}; no copy is held here any more");
                }
                if tell.send_blocking((mark, written.is_ok())).is_err() || written.is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("notes".to_owned()).spawn(work)?;
        Ok(Writer { batches, completions: done })
    }

    /// `false`: there is no room to wait, or nobody writes any more.
    pub fn write(&self, mark: u64, notes: Vec<OutcomeRecord>) -> bool {
        self.batches.try_send((mark, notes)).is_ok()
    }
}

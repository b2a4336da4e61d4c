//! Outcome records on disk: a few append-only files of records with length and checksum, synced by a writer thread
//! before an outcome is acknowledged. At a start they are read and imported by the current ledger. No vote depends on
//! them, so old, torn, damaged or unsynced records can only be missing.
//!
//! Invariant: nothing is reported as written before it is synced, and no record with a wrong checksum is returned.

use crate::command::OutcomeRecord;
use async_channel::{Receiver, Sender};
use prost::Message;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::thread;
use xxhash_rust::xxh3::xxh3_64;

/// Size from which the next file is begun.
const MAX_FILE_BYTES: u64 = 8 * 1024 * 1024;
/// Number of files that are kept.
const MAX_FILES: usize = 3;
/// Maximum size of a record; an answer's body has at most 240,000 bytes.
const MAX_RECORD_BYTES: usize = 512 * 1024;
/// Length and checksum.
const HEADER_BYTES: usize = 4 + 8;
/// Batches that wait for the disk.
const MAX_QUEUED_BATCHES: usize = 8_192;

#[derive(Debug, thiserror::Error)]
#[error("{path}: {cause}")]
pub struct OutcomeLogError {
    path: PathBuf,
    cause: io::Error,
}

/// The records found at the start.
#[derive(Debug, Default)]
pub struct Recovered {
    pub records: Vec<OutcomeRecord>,
    /// Torn, damaged or unreadable records, which are skipped.
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

/// The numbers of the files, oldest first.
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
    /// Reads the existing files and begins a new one.
    pub fn open(folder: &Path) -> Result<(OutcomeLog, Recovered), OutcomeLogError> {
        let to_error = |cause| OutcomeLogError { path: folder.to_owned(), cause };
        fs::create_dir_all(folder).map_err(to_error)?;
        let mut found = Recovered::default();
        let known = file_numbers(folder).map_err(to_error)?;
        for &number in &known {
            read(&fs::read(file_path(folder, number)).map_err(to_error)?, &mut found);
        }
        let number = known.last().map_or(1, |n| n + 1);
        let file = create(folder, number).map_err(to_error)?;
        Ok((OutcomeLog { folder: folder.to_owned(), file, number, bytes: 0 }, found))
    }

    /// Uses a file that is already open; for tests of failing disks.
    pub fn with_file(file: File, folder: &Path) -> OutcomeLog {
        OutcomeLog { folder: folder.to_owned(), file, number: 0, bytes: 0 }
    }

    /// Appends the records and syncs them.
    pub fn write<'a>(
        &mut self,
        records: impl Iterator<Item = &'a OutcomeRecord>,
    ) -> Result<(), OutcomeLogError> {
        let to_error = |folder: &Path, cause| OutcomeLogError { path: folder.to_owned(), cause };
        let mut bytes = Vec::new();
        for record in records {
            let encoded = record.encode_to_vec();
            bytes.extend((encoded.len() as u32).to_be_bytes());
            bytes.extend(xxh3_64(&encoded).to_be_bytes());
            bytes.extend(encoded);
        }
        let write = |file: &mut File| file.write_all(&bytes).and_then(|()| file.sync_data());
        write(&mut self.file).map_err(|e| to_error(&self.folder, e))?;
        self.bytes += bytes.len() as u64;
        if self.bytes >= MAX_FILE_BYTES {
            self.rotate().map_err(|e| to_error(&self.folder, e))?;
        }
        Ok(())
    }

    /// Begins the next file and deletes the oldest one.
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
    // Syncs the folder, so that the file's name survives a power loss.
    File::open(folder)?.sync_all()?;
    Ok(file)
}

/// Reads the records of a file. After a damaged record it continues at the end that the record's length gives.
fn read(mut bytes: &[u8], found: &mut Recovered) {
    while !bytes.is_empty() {
        let head = bytes.split_first_chunk::<4>();
        let length = head.map_or(usize::MAX, |(n, _)| u32::from_be_bytes(*n) as usize);
        if length > MAX_RECORD_BYTES || bytes.len() < HEADER_BYTES + length {
            found.damaged += 1;
            return;
        }
        let (sum, encoded) = (&bytes[4..HEADER_BYTES], &bytes[HEADER_BYTES..HEADER_BYTES + length]);
        let record =
            (xxh3_64(encoded).to_be_bytes() == *sum).then(|| OutcomeRecord::decode(encoded).ok()).flatten();
        match record.filter(|n| n.ledger != 0 && n.end.as_ref().is_some_and(|e| e.read().is_some())) {
            Some(record) => found.records.push(record),
            None => found.damaged += 1,
        }
        bytes = &bytes[HEADER_BYTES + length..];
    }
}

/// Handle of the writer thread, which writes and syncs all waiting batches together.
pub struct Writer {
    batches: Sender<(u64, Vec<OutcomeRecord>)>,
    /// The mark of the last batch written, and whether all batches up to it are on the disk.
    pub completions: Receiver<(u64, bool)>,
}

impl Writer {
    pub fn start(mut log: OutcomeLog) -> io::Result<Writer> {
        let (batches, waiting) = async_channel::bounded::<(u64, Vec<OutcomeRecord>)>(MAX_QUEUED_BATCHES);
        let (result_sender, completions) = async_channel::unbounded();
        let work = move || {
            while let Ok(first) = waiting.recv_blocking() {
                let mut all = vec![first];
                while let Ok(more) = waiting.try_recv() {
                    all.push(more);
                }
                let mark = all.last().map_or(0, |last| last.0);
                let written = log.write(all.iter().flat_map(|batch| &batch.1));
                if let Err(why) = &written {
                    ::log::error!("{why}; this gateway gives up its memberships");
                }
                if result_sender.send_blocking((mark, written.is_ok())).is_err() || written.is_err() {
                    return;
                }
            }
        };
        thread::Builder::new().name("notes".to_owned()).spawn(work)?;
        Ok(Writer { batches, completions })
    }

    /// Returns false if the queue is full or the writer has ended.
    pub fn write(&self, mark: u64, records: Vec<OutcomeRecord>) -> bool {
        self.batches.try_send((mark, records)).is_ok()
    }
}

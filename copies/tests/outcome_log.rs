//! Outcome records on disk: intact records are read back; torn, damaged or old ones do no harm.

use kelpcart_copies::command::{EndTxn, OutcomeRecord};
use kelpcart_copies::outcome_log::{OutcomeLog, Writer};
use kelpcart_sites::ledger::{Answer, Key, TxnOutcome};
use quickcheck::quickcheck;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};

static NEXT: AtomicU64 = AtomicU64::new(0);

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        let no = NEXT.fetch_add(1, Ordering::SeqCst);
        Folder(PathBuf::from(format!("{}/log-{}-{no}", env!("CARGO_TARGET_TMPDIR"), std::process::id())))
    }

    fn files(&self) -> Vec<PathBuf> {
        let mut all: Vec<PathBuf> = fs::read_dir(&self.0).unwrap().map(|e| e.unwrap().path()).collect();
        all.sort();
        all
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        _ = fs::remove_dir_all(&self.0);
    }
}

fn record(number: u64, len: usize) -> OutcomeRecord {
    let answer = Answer { outcome: TxnOutcome::Served, body: vec![number as u8; len] };
    OutcomeRecord { ledger: 7, end: Some(EndTxn::new(Key { sender: 5, number }, &answer)) }
}

fn written(folder: &Folder, n: u64) {
    let (mut log, _) = OutcomeLog::open(&folder.0).unwrap();
    for number in 1..=n {
        log.write([record(number, 20)].iter()).unwrap();
    }
}

#[test]
fn what_was_written_comes_back_after_each_start() {
    let folder = Folder::new();
    written(&folder, 30);
    let (mut log, found) = OutcomeLog::open(&folder.0).unwrap();
    assert_eq!((found.records.len(), found.damaged), (30, 0));
    log.write([record(31, 20), record(32, 20)].iter()).unwrap();
    let (_, found) = OutcomeLog::open(&folder.0).unwrap();
    assert_eq!(found.records, (1..=32).map(|n| record(n, 20)).collect::<Vec<_>>());
}

#[test]
fn files_are_bounded_and_the_oldest_go_first() {
    let folder = Folder::new();
    let (mut log, _) = OutcomeLog::open(&folder.0).unwrap();
    for number in 1..=200 {
        log.write([record(number, 200_000)].iter()).unwrap();
    }
    assert!(folder.files().len() <= 3);
    let (_, found) = OutcomeLog::open(&folder.0).unwrap();
    let last = found.records.last().and_then(|n| n.end.clone()?.key).unwrap().number;
    assert!(last == 200 && found.records.len() < 150 && found.damaged == 0);
}

#[test]
fn a_full_disk_is_reported_and_nothing_counts_as_written() {
    // Every write to it fails as on a full disk.
    let folder = Folder::new();
    let full = fs::OpenOptions::new().append(true).open("/dev/full").unwrap();
    let writer = Writer::start(OutcomeLog::with_file(full, &folder.0)).unwrap();
    assert!(writer.write(1, vec![record(1, 20)]));
    assert_eq!(writer.completions.recv_blocking(), Ok((1, false)));
    assert!(writer.completions.recv_blocking().is_err(), "nothing is written after a failure");
}

quickcheck! {
    /// After truncation or corruption anywhere, only written records are returned, and all records before the damage
    /// are intact.
    fn damage_can_only_lose_records(at: usize, bytes: Vec<u8>, cut: bool) -> bool {
        let folder = Folder::new();
        written(&folder, 12);
        let file = folder.files().into_iter().find(|f| fs::metadata(f).unwrap().len() > 0).unwrap();
        let mut all = fs::read(&file).unwrap();
        let whole = all.clone();
        let at = at % all.len();
        if cut {
            all.truncate(at);
        } else {
            for (b, new) in all[at..].iter_mut().zip(&bytes) {
                *b = *new;
            }
        }
        let before = all.iter().zip(&whole).take_while(|(a, b)| a == b).count() * 12 / whole.len();
        fs::write(&file, &all).unwrap();
        let (_, found) = OutcomeLog::open(&folder.0).unwrap();
        let good: Vec<OutcomeRecord> = (1..=12).map(|n| record(n, 20)).collect();
        let known = found.records.iter().all(|n| good.contains(n));
        known && found.records.len() >= before.min(12) && found.records[..before] == good[..before]
    }
}

//! The ledger on a real disk: each start finds exactly what was written before, in order.

use kelpcart::Span;
use kelpcart_sites::ledger::{Answer, Change, Key, TxnOutcome};
use kelpcart_sites::store::{Store, Writer};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

fn temp_path(name: &str) -> PathBuf {
    let path = PathBuf::from(format!("{}/{name}-{}.redb", env!("CARGO_TARGET_TMPDIR"), std::process::id()));
    _ = std::fs::remove_file(&path);
    path
}

fn key(sender: u64, number: u64) -> Key {
    Key { sender, number }
}

fn replay(all: Vec<Vec<(u8, u8, u8, u8)>>) -> bool {
    let path = temp_path("random");
    let (mut floors, mut accepted) = (BTreeMap::new(), BTreeMap::new());
    let mut ledger = None;
    for (start, batch) in all.into_iter().enumerate() {
        let (mut store, recovered) = Store::open(&path, 100 + start as u64).unwrap();
        // The id from the first start is kept.
        assert_eq!(recovered.ledger, *ledger.get_or_insert(recovered.ledger));
        let found_floors: BTreeMap<u64, u64> =
            recovered.floors.iter().map(|f| (f.sender, f.number)).collect();
        assert_eq!(found_floors, floors);
        assert_eq!(recovered.accepted.into_iter().collect::<BTreeMap<_, _>>(), accepted);
        let mut changes = Vec::new();
        for (kind, sender, number, more) in batch {
            let key = key((sender % 3).into(), (number % 8).into());
            changes.push(match kind % 6 {
                0 | 1 => {
                    accepted.insert(key, None);
                    Change::Accepted(key)
                }
                2 => {
                    let retry_after = (more % 2 == 0).then(|| Span::from_millis(more.into()));
                    let rejected = TxnOutcome::Rejected { retry_after, may_have_run: more % 4 < 2 };
                    let endings = [TxnOutcome::Served, rejected, TxnOutcome::Aborted];
                    let answer =
                        Answer { outcome: endings[usize::from(more) % 3], body: vec![more; more.into()] };
                    accepted.insert(key, Some(answer.clone()));
                    Change::Ended(key, Arc::new(answer))
                }
                3 => {
                    floors.insert(key.sender, key.number);
                    Change::Floor(key)
                }
                4 => {
                    accepted.remove(&key);
                    Change::Dropped(key)
                }
                _ => {
                    floors.remove(&key.sender);
                    accepted.retain(|k, _| k.sender != key.sender);
                    Change::SenderDropped(key.sender)
                }
            });
        }
        store.apply(changes.iter()).unwrap();
        assert_eq!(store.len().unwrap(), accepted.len());
    }
    std::fs::remove_file(path).is_ok() || ledger.is_none()
}

#[test]
fn each_start_finds_what_was_written_before() {
    let tests = std::env::var("QUICKCHECK_TESTS").map_or(20, |n| n.parse().unwrap_or(20)).min(20);
    QuickCheck::new().rng(Gen::from_size_and_seed(12, 7)).tests(tests).quickcheck(replay as fn(_) -> bool);
}

#[test]
fn a_batch_is_reported_once_all_before_it_are_on_disk() {
    let path = temp_path("marks");
    let (store, _) = Store::open(&path, 1).unwrap();
    let writer = Writer::start(store).unwrap();
    for seq in 1..=50 {
        assert!(writer.write(seq, vec![Change::Accepted(key(1, seq))]));
    }
    let mut last = 0;
    while last < 50 {
        let (seq, written) = writer.done.recv_blocking().unwrap();
        assert!(written && seq > last);
        last = seq;
    }
    drop(writer);
    // The file is released once the writer thread has ended.
    let recovered = loop {
        match Store::open(&path, 2) {
            Ok((_, recovered)) => break recovered,
            Err(_) => std::thread::yield_now(),
        }
    };
    assert_eq!((recovered.ledger, recovered.accepted.len()), (1, 50));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_file_that_is_not_a_ledger_is_an_error_and_left_unchanged() {
    let path = temp_path("other");
    std::fs::write(&path, vec![b'x'; 5_000]).unwrap();
    assert!(Store::open(&path, 1).unwrap_err().to_string().starts_with("the ledger's file can't be used"));
    assert_eq!(std::fs::read(&path).unwrap(), vec![b'x'; 5_000]);
    std::fs::remove_file(path).unwrap();
}

//! The ledger on a real disk: what was written is there at the next start, in its order, and nothing else.

use kelpcart::Span;
use kelpcart_sites::ledger::{Answer, Change, Key, TxnOutcome};
use kelpcart_sites::store::{Store, Writer};
use quickcheck::{Gen, QuickCheck};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;

fn file(name: &str) -> PathBuf {
    let path = PathBuf::from(format!("{}/{name}-{}.redb", env!("CARGO_TARGET_TMPDIR"), std::process::id()));
    _ = std::fs::remove_file(&path);
    path
}

fn key(sender: u64, number: u64) -> Key {
    Key { sender, number }
}

fn random(all: Vec<Vec<(u8, u8, u8, u8)>>) -> bool {
    let path = file("random");
    let (mut floors, mut taken) = (BTreeMap::new(), BTreeMap::new());
    let mut ledger = None;
    for (start, batch) in all.into_iter().enumerate() {
        let (mut store, found) = Store::open(&path, 100 + start as u64).unwrap();
        // The number of the first start stays.
        assert_eq!(found.ledger, *ledger.get_or_insert(found.ledger));
        let found_floors: BTreeMap<u64, u64> = found.floors.iter().map(|f| (f.sender, f.number)).collect();
        assert_eq!(found_floors, floors);
        assert_eq!(found.accepted.into_iter().collect::<BTreeMap<_, _>>(), taken);
        let mut changes = Vec::new();
        for (what, sender, number, more) in batch {
            let key = key((sender % 3).into(), (number % 8).into());
            changes.push(match what % 6 {
                0 | 1 => {
                    taken.insert(key, None);
                    Change::Accepted(key)
                }
                2 => {
                    let come_back = (more % 2 == 0).then(|| Span::from_millis(more.into()));
                    let endings = [
                        TxnOutcome::Served,
                        TxnOutcome::Rejected { retry_after: come_back },
                        TxnOutcome::Aborted,
                    ];
                    let answer =
                        Answer { outcome: endings[usize::from(more) % 3], body: vec![more; more.into()] };
                    taken.insert(key, Some(answer.clone()));
                    Change::Ended(key, Arc::new(answer))
                }
                3 => {
                    floors.insert(key.sender, key.number);
                    Change::Floor(key)
                }
                4 => {
                    taken.remove(&key);
                    Change::Dropped(key)
                }
                _ => {
                    floors.remove(&key.sender);
                    taken.retain(|k, _| k.sender != key.sender);
                    Change::SenderDropped(key.sender)
                }
            });
        }
        store.apply(changes.iter()).unwrap();
        assert_eq!(store.len().unwrap(), taken.len());
    }
    std::fs::remove_file(path).is_ok() || ledger.is_none()
}

#[test]
fn each_start_finds_what_was_written_before() {
    let tests = std::env::var("QUICKCHECK_TESTS").map_or(20, |n| n.parse().unwrap_or(20)).min(20);
    QuickCheck::new().rng(Gen::from_size_and_seed(12, 7)).tests(tests).quickcheck(random as fn(_) -> bool);
}

#[test]
fn a_mark_is_told_once_all_before_it_is_on_the_disk() {
    let path = file("marks");
    let (store, _) = Store::open(&path, 1).unwrap();
    let writer = Writer::start(store).unwrap();
    for mark in 1..=50 {
        assert!(writer.write(mark, vec![Change::Accepted(key(1, mark))]));
    }
    let mut last = 0;
    while last < 50 {
        let (mark, written) = writer.done.recv_blocking().unwrap();
        assert!(written && mark > last);
        last = mark;
    }
    drop(writer);
    // The file is free once the thread has seen the end.
    let found = loop {
        match Store::open(&path, 2) {
            Ok((_, found)) => break found,
            Err(_) => std::thread::yield_now(),
        }
    };
    assert_eq!((found.ledger, found.accepted.len()), (1, 50));
    std::fs::remove_file(path).unwrap();
}

#[test]
fn a_file_that_is_no_ledger_is_told_and_left_as_it_is() {
    let path = file("other");
    std::fs::write(&path, vec![b'x'; 5_000]).unwrap();
    assert!(Store::open(&path, 1).unwrap_err().to_string().starts_with("the ledger's file can't be used"));
    assert_eq!(std::fs::read(&path).unwrap(), vec![b'x'; 5_000]);
    std::fs::remove_file(path).unwrap();
}

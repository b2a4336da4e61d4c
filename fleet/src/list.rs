//! The list of caches as built from versioned events, in a form that can be passed on: a log of the latest events,
//! the list itself, recent purges and a digest for each recent version.
//!
//! Invariants: no event is applied after a gap in versions, and all tables are bounded.

use kelpcart::{Span, Time};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Limits of the event log. A member that is further behind gets a snapshot.
const MAX_EVENTS: usize = 2_048;
const MAX_LOG_BYTES: usize = 512 * 1024;
/// Versions whose digests are kept.
const MAX_DIGESTS: usize = 256;
/// Caches have dropped purged objects long before this time, so older purges need not be passed on.
const PURGE_RETENTION: Span = Span::from_millis(30_000);
const MAX_PURGES: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ListError {
    #[error("not JSON")]
    Json,
    #[error("malformed event: {0}")]
    Malformed(&'static str),
    #[error("version {0} does not follow {1}")]
    Gap(u64, u64),
    #[error("larger than the limit")]
    TooLarge,
}

#[derive(Clone, Debug)]
struct Event {
    version: u64,
    line: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct List {
    version: u64,
    entries: BTreeMap<String, Value>,
    /// XOR of the hashes of all entries, independent of their order.
    entries_hash: u64,
    /// Hash of the last event.
    last_event_hash: u64,
    log: VecDeque<Event>,
    log_bytes: usize,
    purges: VecDeque<(Time, Event)>,
    digests: VecDeque<(u64, u64)>,
    max_bytes: usize,
    /// The encoded snapshot of one version, kept while others fetch it.
    snapshot: Option<(u64, Vec<u8>)>,
}

fn hash(value: &Value) -> u64 {
    // `serde_json` orders the keys, so the hash does not depend on how the line was written.
    xxh3_64_with_seed(value.to_string().as_bytes(), 1)
}

fn entry_name(entry: &Value) -> Result<&str, ListError> {
    entry.get("name").and_then(Value::as_str).ok_or(ListError::Malformed("endpoint without a name"))
}

fn roster_endpoints(roster: &Value) -> Result<&Vec<Value>, ListError> {
    roster.get("endpoints").and_then(Value::as_array).ok_or(ListError::Malformed("roster without endpoints"))
}

impl List {
    /// `version`: the last event that the host knows already; `max_bytes`: size limit of a snapshot.
    pub fn new(version: u64, max_bytes: usize) -> List {
        List {
            version,
            entries: BTreeMap::new(),
            entries_hash: 0,
            last_event_hash: 0,
            log: VecDeque::new(),
            log_bytes: 0,
            purges: VecDeque::new(),
            digests: VecDeque::new(),
            max_bytes,
            snapshot: None,
        }
    }

    pub fn version(&self) -> u64 {
        self.version
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    pub fn sizes(&self) -> [(&'static str, usize); 3] {
        [
            ("fleet list entries", self.entries.len()),
            ("fleet list events", self.log.len()),
            ("fleet list purges", self.purges.len()),
        ]
    }

    /// The digest of the current version; 0 if it can't be compared because the last event itself is not known.
    pub fn digest(&self) -> u64 {
        if self.last_event_hash == 0 { 0 } else { (self.entries_hash ^ self.last_event_hash).max(1) }
    }

    /// The digest of a recent version; `None` if it is not kept.
    pub fn digest_at(&self, version: u64) -> Option<u64> {
        self.digests.iter().rev().find(|(n, _)| *n == version).map(|(_, d)| *d)
    }

    /// Loads the host's initial state in place of the events that led to it.
    pub fn load_initial(&mut self, items: &[Value]) -> Result<(), ListError> {
        for item in items {
            if let Some(roster) = item.get("roster") {
                self.apply_roster(roster)?;
            }
        }
        if let Some(last) = items.last().filter(|i| i.get("no").and_then(Value::as_u64) == Some(self.version))
        {
            self.last_event_hash = hash(last);
        }
        self.record_digest();
        Ok(())
    }

    fn apply_roster(&mut self, roster: &Value) -> Result<(), ListError> {
        let list = roster_endpoints(roster)?;
        for entry in list {
            entry_name(entry)?;
        }
        if roster.get("snapshot").and_then(Value::as_bool).unwrap_or(false) {
            self.entries.clear();
            self.entries_hash = 0;
        }
        for entry in list {
            let name = entry_name(entry)?.to_owned();
            let removed = entry.get("status").and_then(Value::as_str) == Some("removed");
            let before =
                if removed { self.entries.remove(&name) } else { self.entries.insert(name, entry.clone()) };
            self.entries_hash ^= before.as_ref().map_or(0, hash) ^ if removed { 0 } else { hash(entry) };
        }
        Ok(())
    }

    /// Applies one event from discovery or from a relaying member. Returns `false` if it was applied before.
    pub fn apply(&mut self, now: Time, line: &[u8]) -> Result<bool, ListError> {
        let value: Value = serde_json::from_slice(line).map_err(|_| ListError::Json)?;
        let version =
            value.get("no").and_then(Value::as_u64).ok_or(ListError::Malformed("missing version number"))?;
        if version <= self.version {
            return Ok(false);
        }
        if version != self.version + 1 {
            return Err(ListError::Gap(version, self.version));
        }
        if line.len() > self.max_bytes {
            return Err(ListError::TooLarge);
        }
        if let Some(roster) = value.get("roster") {
            self.apply_roster(roster)?;
        }
        let event = Event { version, line: line.trim_ascii().to_vec() };
        if value.get("recall").is_some() {
            self.purges.push_back((now, event.clone()));
        }
        (self.version, self.last_event_hash) = (version, hash(&value));
        self.log_bytes += event.line.len();
        self.log.push_back(event);
        self.trim(now);
        self.record_digest();
        Ok(true)
    }

    fn record_digest(&mut self) {
        self.digests.push_back((self.version, self.digest()));
        if self.digests.len() > MAX_DIGESTS {
            self.digests.pop_front();
        }
    }

    fn trim(&mut self, now: Time) {
        while self.log.len() > MAX_EVENTS || self.log_bytes > MAX_LOG_BYTES {
            self.log_bytes -= self.log.pop_front().map_or(0, |e| e.line.len());
        }
        let old = |(at, _): &(Time, Event)| now - *at > PURGE_RETENTION;
        while self.purges.front().is_some_and(old) || self.purges.len() > MAX_PURGES {
            self.purges.pop_front();
        }
    }

    /// The events after one version up to another, one per line; `None` if they are not all kept.
    pub fn lines(&self, after: u64, to: u64) -> Option<Vec<u8>> {
        let first = self.log.front().map_or(self.version + 1, |e| e.version);
        if after + 1 < first || to > self.version {
            return None;
        }
        let mut out = Vec::new();
        for event in self.log.iter().filter(|e| e.version > after && e.version <= to) {
            out.extend(&event.line);
            out.push(b'\n');
        }
        Some(out)
    }

    /// The encoded snapshot with its version. A member that has begun to fetch one gets the rest of the same one.
    pub fn snapshot(&mut self, now: Time, to: u64) -> Option<(u64, &[u8])> {
        let encoded = self.snapshot.as_ref().is_some_and(|(version, _)| *version == to);
        if !encoded {
            if self.digests.back().is_none_or(|(version, _)| *version != self.version) {
                return None;
            }
            self.trim(now);
            let all: Vec<&Value> = self.entries.values().collect();
            let roster = json!({"index": 0, "snapshot": true, "endpoints": all});
            let mut text =
                json!({"no": self.version, "last": format!("{:016x}", self.last_event_hash), "roster": roster}).to_string();
            text.push('\n');
            let mut bytes = text.into_bytes();
            for (_, event) in &self.purges {
                bytes.extend(&event.line);
                bytes.push(b'\n');
            }
            if bytes.len() > self.max_bytes {
                return None;
            }
            self.snapshot = Some((self.version, bytes));
        }
        self.snapshot.as_ref().map(|(version, bytes)| (*version, bytes.as_slice()))
    }

    /// Replaces the list by a snapshot and returns the events that the host has to process. Nothing changes if the
    /// text is damaged or its digest is not the announced one.
    pub fn replace(
        &mut self,
        now: Time,
        text: &[u8],
        to: u64,
        digest: u64,
    ) -> Result<Vec<Vec<u8>>, ListError> {
        if text.len() > self.max_bytes {
            return Err(ListError::TooLarge);
        }
        let mut lines = text.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        let head: Value =
            serde_json::from_slice(lines.next().unwrap_or_default()).map_err(|_| ListError::Json)?;
        let last = head.get("last").and_then(Value::as_str).and_then(|h| u64::from_str_radix(h, 16).ok());
        let last = last.ok_or(ListError::Malformed("snapshot without the hash of its last event"))?;
        let roster = head.get("roster").ok_or(ListError::Malformed("snapshot without a roster"))?;
        if head.get("no").and_then(Value::as_u64) != Some(to) {
            return Err(ListError::Malformed("snapshot of a different version"));
        }
        let mut replacement = List::new(to, self.max_bytes);
        replacement.apply_roster(roster)?;
        replacement.last_event_hash = last;
        if replacement.digest() != digest {
            return Err(ListError::Malformed("snapshot with a different digest"));
        }
        let mut out = vec![
            Value::Object(Map::from_iter([
                ("no".to_owned(), json!(to)),
                ("roster".to_owned(), roster.clone()),
            ]))
            .to_string()
            .into_bytes(),
        ];
        for line in lines {
            let purge: Value = serde_json::from_slice(line).map_err(|_| ListError::Json)?;
            let version = purge.get("no").and_then(Value::as_u64).filter(|version| *version <= to);
            let version = version.ok_or(ListError::Malformed("purge without a valid version number"))?;
            if purge.get("recall").is_none() || replacement.purges.len() >= MAX_PURGES {
                return Err(ListError::Malformed("not a purge, or too many purges"));
            }
            out.push(line.to_vec());
            replacement.purges.push_back((now, Event { version, line: line.to_vec() }));
        }
        replacement.record_digest();
        *self = replacement;
        Ok(out)
    }
}

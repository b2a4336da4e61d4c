//! The list of caches as numbered events made it, so that it can be handed on: the latest events, the list itself, the
//! purges of late and a digest for each number. Must never take an event after a gap, nor grow beyond its bounds.

use kelpcart::{Span, Time};
use serde_json::{Map, Value, json};
use std::collections::{BTreeMap, VecDeque};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Events that are kept, and their bytes: who is further behind gets the whole list.
const MOST_EVENTS: usize = 2_048;
const MOST_BYTES: usize = 512 * 1024;
/// Numbers whose digests are kept.
const MOST_DIGESTS: usize = 256;
/// Caches have dropped what was purged long before that: a purge need not be told any more.
const PURGES_FOR: Span = Span::from_millis(30_000);
const MOST_PURGES: usize = 4_096;

#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Unusable {
    #[error("not JSON")]
    Json,
    #[error("no event: {0}")]
    Form(&'static str),
    #[error("number {0} after {1}")]
    Gap(u64, u64),
    #[error("more than its bound")]
    Large,
}

#[derive(Clone, Debug)]
struct Event {
    no: u64,
    line: Vec<u8>,
}

#[derive(Clone, Debug)]
pub struct List {
    no: u64,
    entries: BTreeMap<String, Value>,
    /// Of the entries, in no order.
    sum: u64,
    /// Of the last event.
    last: u64,
    log: VecDeque<Event>,
    bytes: usize,
    purges: VecDeque<(Time, Event)>,
    digests: VecDeque<(u64, u64)>,
    most: usize,
    /// The list at one number, while others fetch it.
    whole: Option<(u64, Vec<u8>)>,
}

fn hash(value: &Value) -> u64 {
    // Keys are in order, whoever wrote the line.
    xxh3_64_with_seed(value.to_string().as_bytes(), 1)
}

fn name_of(entry: &Value) -> Result<&str, Unusable> {
    entry.get("name").and_then(Value::as_str).ok_or(Unusable::Form("an endpoint without a name"))
}

fn endpoints(roster: &Value) -> Result<&Vec<Value>, Unusable> {
    roster.get("endpoints").and_then(Value::as_array).ok_or(Unusable::Form("a roster without endpoints"))
}

impl List {
    /// `no`: the last event that the host knows already; `most`: bytes of the whole list at the most.
    pub fn new(no: u64, most: usize) -> List {
        List {
            no,
            entries: BTreeMap::new(),
            sum: 0,
            last: 0,
            log: VecDeque::new(),
            bytes: 0,
            purges: VecDeque::new(),
            digests: VecDeque::new(),
            most,
            whole: None,
        }
    }

    pub fn no(&self) -> u64 {
        self.no
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

    /// 0: it can't be compared, since the last event itself is not known.
    pub fn digest(&self) -> u64 {
        if self.last == 0 { 0 } else { (self.sum ^ self.last).max(1) }
    }

    /// As it was at a number of late; `None` where that is not known.
    pub fn digest_at(&self, no: u64) -> Option<u64> {
        self.digests.iter().rev().find(|(n, _)| *n == no).map(|(_, d)| *d)
    }

    /// What the host knew at its start, in place of the events that made it.
    pub fn know(&mut self, items: &[Value]) -> Result<(), Unusable> {
        for item in items {
            if let Some(roster) = item.get("roster") {
                self.fold(roster)?;
            }
        }
        if let Some(last) = items.last().filter(|i| i.get("no").and_then(Value::as_u64) == Some(self.no)) {
            self.last = hash(last);
        }
        self.mark();
        Ok(())
    }

    fn fold(&mut self, roster: &Value) -> Result<(), Unusable> {
        let list = endpoints(roster)?;
        for entry in list {
            name_of(entry)?;
        }
        if roster.get("snapshot").and_then(Value::as_bool).unwrap_or(false) {
            self.entries.clear();
            self.sum = 0;
        }
        for entry in list {
            let name = name_of(entry)?.to_owned();
            let removed = entry.get("status").and_then(Value::as_str) == Some("removed");
            let before =
                if removed { self.entries.remove(&name) } else { self.entries.insert(name, entry.clone()) };
            self.sum ^= before.as_ref().map_or(0, hash) ^ if removed { 0 } else { hash(entry) };
        }
        Ok(())
    }

    /// One line of the bulletin or of a member that passes it on; `false`: it is known already.
    pub fn apply(&mut self, now: Time, line: &[u8]) -> Result<bool, Unusable> {
        let value: Value = serde_json::from_slice(line).map_err(|_| Unusable::Json)?;
        let no = value.get("no").and_then(Value::as_u64).ok_or(Unusable::Form("no number"))?;
        if no <= self.no {
            return Ok(false);
        }
        if no != self.no + 1 {
            return Err(Unusable::Gap(no, self.no));
        }
        if line.len() > self.most {
            return Err(Unusable::Large);
        }
        if let Some(roster) = value.get("roster") {
            self.fold(roster)?;
        }
        let event = Event { no, line: line.trim_ascii().to_vec() };
        if value.get("recall").is_some() {
            self.purges.push_back((now, event.clone()));
        }
        (self.no, self.last) = (no, hash(&value));
        self.bytes += event.line.len();
        self.log.push_back(event);
        self.bound(now);
        self.mark();
        Ok(true)
    }

    fn mark(&mut self) {
        self.digests.push_back((self.no, self.digest()));
        if self.digests.len() > MOST_DIGESTS {
            self.digests.pop_front();
        }
    }

    fn bound(&mut self, now: Time) {
        while self.log.len() > MOST_EVENTS || self.bytes > MOST_BYTES {
            self.bytes -= self.log.pop_front().map_or(0, |e| e.line.len());
        }
        let old = |(at, _): &(Time, Event)| now - *at > PURGES_FOR;
        while self.purges.front().is_some_and(old) || self.purges.len() > MOST_PURGES {
            self.purges.pop_front();
        }
    }

    /// The lines behind a number, each with its end; `None`: they are not all kept.
    pub fn lines(&self, after: u64, to: u64) -> Option<Vec<u8>> {
        let first = self.log.front().map_or(self.no + 1, |e| e.no);
        if after + 1 < first || to > self.no {
            return None;
        }
        let mut out = Vec::new();
        for event in self.log.iter().filter(|e| e.no > after && e.no <= to) {
            out.extend(&event.line);
            out.push(b'\n');
        }
        Some(out)
    }

    /// The whole list as text with its number; the same one again for who has begun to fetch it.
    pub fn whole(&mut self, now: Time, to: u64) -> Option<(u64, &[u8])> {
        let kept = self.whole.as_ref().is_some_and(|(no, _)| *no == to);
        if !kept {
            if self.digests.back().is_none_or(|(no, _)| *no != self.no) {
                return None;
            }
            self.bound(now);
            let all: Vec<&Value> = self.entries.values().collect();
            let roster = json!({"index": 0, "snapshot": true, "endpoints": all});
            let mut text =
                json!({"no": self.no, "last": format!("{:016x}", self.last), "roster": roster}).to_string();
            text.push('\n');
            let mut bytes = text.into_bytes();
            for (_, event) in &self.purges {
                bytes.extend(&event.line);
                bytes.push(b'\n');
            }
            if bytes.len() > self.most {
                return None;
            }
            self.whole = Some((self.no, bytes));
        }
        self.whole.as_ref().map(|(no, bytes)| (*no, bytes.as_slice()))
    }

    /// Takes a whole list in place of all events up to its number; gives the lines that the host has to hear. Nothing
    /// is taken where the text is damaged or its digest is not the one that was told.
    pub fn replace(
        &mut self,
        now: Time,
        text: &[u8],
        to: u64,
        digest: u64,
    ) -> Result<Vec<Vec<u8>>, Unusable> {
        if text.len() > self.most {
            return Err(Unusable::Large);
        }
        let mut lines = text.split(|b| *b == b'\n').filter(|l| !l.is_empty());
        let head: Value =
            serde_json::from_slice(lines.next().unwrap_or_default()).map_err(|_| Unusable::Json)?;
        let last = head.get("last").and_then(Value::as_str).and_then(|h| u64::from_str_radix(h, 16).ok());
        let last = last.ok_or(Unusable::Form("a list without its last event"))?;
        let roster = head.get("roster").ok_or(Unusable::Form("a list without a roster"))?;
        if head.get("no").and_then(Value::as_u64) != Some(to) {
            return Err(Unusable::Form("a list of another number"));
        }
        let mut fresh = List::new(to, self.most);
        fresh.fold(roster)?;
        fresh.last = last;
        if fresh.digest() != digest {
            return Err(Unusable::Form("a list of another digest"));
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
            let purge: Value = serde_json::from_slice(line).map_err(|_| Unusable::Json)?;
            let no = purge.get("no").and_then(Value::as_u64).filter(|no| *no <= to);
            let no = no.ok_or(Unusable::Form("a purge without a number"))?;
            if purge.get("recall").is_none() || fresh.purges.len() >= MOST_PURGES {
                return Err(Unusable::Form("no purge, or too many"));
            }
            out.push(line.to_vec());
            fresh.purges.push_back((now, Event { no, line: line.to_vec() }));
        }
        fresh.mark();
        *self = fresh;
        Ok(out)
    }
}

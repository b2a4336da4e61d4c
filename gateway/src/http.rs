//! Writes requests to caches and reads the heads of their answers (HTTP/1.1), without I/O. Must never panic on
//! what a peer sends, nor take in a head beyond its bound; the body's bytes are the caller's.

use crate::{digits, number};
use kelpcart::Span;
use kelpcart::interface::{CacheStatus, Fill};
use std::fmt::Write;

pub const MOST_HEAD: usize = 8 * 1024;
const STATUS: &[u8] = b"HTTP/1.";

/// What goes out with a hop, beside its body.
pub struct Request<'a> {
    pub rule: &'a str,
    pub object: &'a str,
    pub part: u64,
    pub trace: &'a str,
    pub host: &'a str,
    pub patience: Span,
    pub fill: Option<&'a Fill>,
    pub have: Option<&'a str>,
    pub mark: Option<&'a str>,
    /// The length of a write's body.
    pub body: Option<usize>,
}

impl Request<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let mut head = String::with_capacity(320);
        // Writing to a string can't fail.
        let mut line = |args: std::fmt::Arguments| _ = head.write_fmt(args);
        // A write goes by the same method with its body behind it: caches know no other and answer it with an error.
        line(format_args!("GET /x/{}/{}/{} HTTP/1.1\r\n", self.rule, self.object, self.part));
        line(format_args!("Host: {}\r\nX-Trace: {}\r\n", self.host, self.trace));
        // Rounded down: the cache gives up no later than the gateway.
        line(format_args!("X-Patience: {}\r\n", (self.patience.as_micros() / 1_000).max(1)));
        if let Some(fill) = self.fill {
            line(format_args!("X-Fill-From: {}\r\n", fill.source));
            if fill.keep_rank > 0 {
                line(format_args!("X-Keep: {}\r\n", fill.keep_rank));
            }
            if let Some(oldest) = fill.max_age {
                // Rounded down, but never to 0: that would lift the limit.
                line(format_args!("X-Max-Age-Ms: {}\r\n", (oldest.as_micros() / 1_000).max(1)));
            }
            let flags =
                [(fill.coalesce, "ride"), (fill.only_if_cached, "have-only"), (fill.revalidate, "update")];
            let flags: Vec<&str> = flags.iter().filter(|f| f.0).map(|f| f.1).collect();
            if !flags.is_empty() {
                line(format_args!("X-Flags: {}\r\n", flags.join("+")));
            }
        }
        if let Some(tag) = self.have {
            line(format_args!("If-None-Match: {tag}\r\n"));
        }
        if let Some(mark) = self.mark {
            line(format_args!("X-Op-Key: {mark}\r\n"));
        }
        if let Some(len) = self.body {
            line(format_args!("Content-Length: {len}\r\n"));
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

#[derive(Debug, Default, PartialEq)]
pub struct Head {
    pub status: u16,
    pub length: usize,
    /// The answer says that the txn never ran.
    pub declined: bool,
    pub close: bool,
    pub note: Option<CacheStatus>,
    pub waited: Option<Span>,
    /// The load report's text.
    pub stats: Option<Vec<u8>>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct Damaged(pub &'static str);

/// The head at the start of `bytes` and its length, with that of interim ones (1xx) before it; `None` while it is not
/// whole. What is damaged is told as soon as the line that shows it is whole.
pub fn head(bytes: &[u8]) -> Result<Option<(Head, usize)>, Damaged> {
    let mut from = 0;
    while let Some((mut found, len)) = one_head(&bytes[from..])? {
        from += len;
        if from > MOST_HEAD {
            break;
        }
        if found.status >= 200 {
            // Whoever sends more than the answer may send more behind it, too.
            found.close |= from > len;
            return Ok(Some((found, from)));
        }
    }
    if bytes.len() >= MOST_HEAD { Err(Damaged("a head is too long")) } else { Ok(None) }
}

fn one_head(bytes: &[u8]) -> Result<Option<(Head, usize)>, Damaged> {
    if !bytes.starts_with(&STATUS[..STATUS.len().min(bytes.len())]) {
        return Err(Damaged("not HTTP"));
    }
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let Some(whole) = end.or_else(|| bytes.iter().rposition(|&b| b == b'\n')) else { return Ok(None) };
    let mut lines = bytes[..whole].split(|&b| b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
    let first = lines.next().unwrap_or_default();
    let status = first.strip_prefix(STATUS).filter(|f| f.len() >= 5 && f[1] == b' ');
    // 101 would make another protocol of what follows.
    let status = status.and_then(|f| digits(&f[2..5])).filter(|s| (100..600).contains(s) && *s != 101);
    let mut found = Head { status: status.ok_or(Damaged("no status"))?, ..Head::default() };
    found.close = first.starts_with(b"HTTP/1.0");
    let mut length = None;
    for line in lines {
        let colon = line.iter().position(|&b| b == b':').ok_or(Damaged("a field without a colon"))?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let told = digits(value).ok_or(Damaged("a length that is no number"))?;
            if length.replace(told).is_some_and(|other| other != told) {
                return Err(Damaged("two lengths"));
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            return Err(Damaged("a transfer encoding"));
        } else if name.eq_ignore_ascii_case(b"connection") {
            found.close |= value.eq_ignore_ascii_case(b"close");
        } else if name.eq_ignore_ascii_case(b"x-declined") {
            found.declined = value == b"1";
        } else if name.eq_ignore_ascii_case(b"x-result") {
            found.note = note(value);
        } else if name.eq_ignore_ascii_case(b"x-waited-ms") {
            found.waited = number::<f64>(value).map(|ms| Span::from_secs_f64(ms / 1e3));
        } else if name.eq_ignore_ascii_case(b"x-stats") {
            found.stats = Some(value.to_vec());
        }
    }
    let Some(end) = end else { return Ok(None) };
    found.length = match (found.status, length) {
        (..200 | 204 | 304, _) => 0,
        (_, Some(length)) => length,
        (_, None) => return Err(Damaged("no length")),
    };
    Ok(Some((found, end + 4)))
}

fn note(word: &[u8]) -> Option<CacheStatus> {
    Some(match word {
        b"hit" => CacheStatus::Held,
        b"filled" => CacheStatus::Filled,
        b"via_origin" => CacheStatus::FilledByOrigin,
        b"joined" => CacheStatus::Joined,
        b"stale" => CacheStatus::Old,
        b"src_refused" => CacheStatus::SourceRefused,
        b"src_broke" => CacheStatus::SourceLost,
        b"src_lacks" => CacheStatus::SourceLacks,
        b"no_slot" => CacheStatus::NoPlace,
        b"origin_failed" => CacheStatus::OriginFailed,
        _ => return None,
    })
}

/// A value of a load report such as `inflight:7;util:0.61`.
pub fn stat(report: &[u8], name: &str) -> Option<f64> {
    let mut pairs = report.split(|&b| b == b';');
    pairs.find_map(|pair| {
        let value = pair.trim_ascii().strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
        number(value).filter(|v: &f64| v.is_finite())
    })
}

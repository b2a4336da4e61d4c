//! HTTP/1.1 codec without I/O: encodes requests to caches and parses the heads of their responses. Bodies are handled by the
//! caller.
//!
//! Invariants: no input of a peer causes a panic; no head longer than `MAX_HEAD_BYTES` is accepted.

use crate::{digits, number};
use kelpcart::Span;
use kelpcart::interface::{CacheStatus, Fill};
use std::fmt::Write;

pub const MAX_HEAD_BYTES: usize = 8 * 1024;
const STATUS_LINE_PREFIX: &[u8] = b"HTTP/1.";

/// The head of a hop's request.
pub struct Request<'a> {
    pub rule: &'a str,
    pub object: &'a str,
    pub part: u64,
    pub trace_id: &'a str,
    pub host: &'a str,
    pub time_limit: Span,
    pub fill: Option<&'a Fill>,
    pub etag: Option<&'a str>,
    pub idempotency_key: Option<&'a str>,
    /// Length of the body; set for writes only.
    pub content_length: Option<usize>,
}

impl Request<'_> {
    pub fn encode(&self) -> Vec<u8> {
        let mut head = String::with_capacity(320);
        // Writing to a string can't fail.
        let mut line = |args: std::fmt::Arguments| _ = head.write_fmt(args);
        // Writes use GET with a body, too: caches answer any other method with an error.
        line(format_args!("GET /x/{}/{}/{} HTTP/1.1\r\n", self.rule, self.object, self.part));
        line(format_args!("Host: {}\r\nX-Trace: {}\r\n", self.host, self.trace_id));
        // Rounded down, so that the cache gives up no later than the gateway.
        line(format_args!("X-Patience: {}\r\n", (self.time_limit.as_micros() / 1_000).max(1)));
        if let Some(fill) = self.fill {
            line(format_args!("X-Fill-From: {}\r\n", fill.source));
            if fill.keep_rank > 0 {
                line(format_args!("X-Keep: {}\r\n", fill.keep_rank));
            }
            if let Some(max_age) = fill.max_age {
                // Rounded down, but never to 0, which means no limit.
                line(format_args!("X-Max-Age-Ms: {}\r\n", (max_age.as_micros() / 1_000).max(1)));
            }
            let flags =
                [(fill.coalesce, "ride"), (fill.only_if_cached, "have-only"), (fill.revalidate, "update")];
            let flags: Vec<&str> = flags.iter().filter(|f| f.0).map(|f| f.1).collect();
            if !flags.is_empty() {
                line(format_args!("X-Flags: {}\r\n", flags.join("+")));
            }
        }
        if let Some(tag) = self.etag {
            line(format_args!("If-None-Match: {tag}\r\n"));
        }
        if let Some(key) = self.idempotency_key {
            line(format_args!("X-Op-Key: {key}\r\n"));
        }
        if let Some(len) = self.content_length {
            line(format_args!("Content-Length: {len}\r\n"));
        }
        head.push_str("\r\n");
        head.into_bytes()
    }
}

#[derive(Debug, Default, PartialEq)]
pub struct ResponseHead {
    pub status: u16,
    pub content_length: usize,
    /// The cache states that the txn did not run.
    pub declined: bool,
    pub close: bool,
    pub cache_status: Option<CacheStatus>,
    pub first_byte_wait: Option<Span>,
    /// The unparsed load report.
    pub load_report: Option<Vec<u8>>,
}

#[derive(Debug, PartialEq, Eq)]
pub struct MalformedHead(pub &'static str);

/// Parses the response head at the start of `bytes`, skipping interim responses (1xx), and returns it with the length of
/// all of them; `None` while it is incomplete. An error is reported as soon as the offending line is complete.
pub fn parse_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, MalformedHead> {
    let mut from = 0;
    while let Some((mut head, len)) = parse_one_head(&bytes[from..])? {
        from += len;
        if from > MAX_HEAD_BYTES {
            break;
        }
        if head.status >= 200 {
            // A peer that sends interim responses may also send stray bytes after this one: don't reuse the connection.
            head.close |= from > len;
            return Ok(Some((head, from)));
        }
    }
    if bytes.len() >= MAX_HEAD_BYTES { Err(MalformedHead("response head exceeds 8 KB")) } else { Ok(None) }
}

fn parse_one_head(bytes: &[u8]) -> Result<Option<(ResponseHead, usize)>, MalformedHead> {
    if !bytes.starts_with(&STATUS_LINE_PREFIX[..STATUS_LINE_PREFIX.len().min(bytes.len())]) {
        return Err(MalformedHead("not an HTTP/1.x status line"));
    }
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n");
    let Some(parsed_len) = end.or_else(|| bytes.iter().rposition(|&b| b == b'\n')) else { return Ok(None) };
    let mut lines = bytes[..parsed_len].split(|&b| b == b'\n').map(|l| l.strip_suffix(b"\r").unwrap_or(l));
    let first = lines.next().unwrap_or_default();
    let status = first.strip_prefix(STATUS_LINE_PREFIX).filter(|f| f.len() >= 5 && f[1] == b' ');
    // 101 would switch the connection to another protocol.
    let status = status.and_then(|f| digits(&f[2..5])).filter(|s| (100..600).contains(s) && *s != 101);
    let mut head = ResponseHead {
        status: status.ok_or(MalformedHead("missing or unsupported status code"))?,
        ..ResponseHead::default()
    };
    head.close = first.starts_with(b"HTTP/1.0");
    let mut content_length = None;
    for line in lines {
        let colon =
            line.iter().position(|&b| b == b':').ok_or(MalformedHead("header line without a colon"))?;
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            let length = digits(value).ok_or(MalformedHead("Content-Length is not a number"))?;
            if content_length.replace(length).is_some_and(|other| other != length) {
                return Err(MalformedHead("conflicting Content-Length headers"));
            }
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            return Err(MalformedHead("Transfer-Encoding is not supported"));
        } else if name.eq_ignore_ascii_case(b"connection") {
            head.close |= value.eq_ignore_ascii_case(b"close");
        } else if name.eq_ignore_ascii_case(b"x-declined") {
            head.declined = value == b"1";
        } else if name.eq_ignore_ascii_case(b"x-result") {
            head.cache_status = parse_cache_status(value);
        } else if name.eq_ignore_ascii_case(b"x-waited-ms") {
            head.first_byte_wait = number::<f64>(value).map(|ms| Span::from_secs_f64(ms / 1e3));
        } else if name.eq_ignore_ascii_case(b"x-stats") {
            head.load_report = Some(value.to_vec());
        }
    }
    let Some(end) = end else { return Ok(None) };
    head.content_length = match (head.status, content_length) {
        (..200 | 204 | 304, _) => 0,
        (_, Some(length)) => length,
        (_, None) => return Err(MalformedHead("Content-Length is missing")),
    };
    Ok(Some((head, end + 4)))
}

fn parse_cache_status(value: &[u8]) -> Option<CacheStatus> {
    Some(match value {
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

/// Looks up one value of a load report such as `inflight:7;util:0.61`.
pub fn load_value(report: &[u8], name: &str) -> Option<f64> {
    let mut pairs = report.split(|&b| b == b';');
    pairs.find_map(|pair| {
        let value = pair.trim_ascii().strip_prefix(name.as_bytes())?.strip_prefix(b":")?;
        number(value).filter(|v: &f64| v.is_finite())
    })
}

//! Logger to standard error, with one unbuffered write per line. `KELPCART_LOG` sets the level; at the default level
//! (`info`) there are no per-txn lines.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct StderrLogger;

impl Log for StderrLogger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let line = format!("{} {}\n", record.level().as_str().to_ascii_lowercase(), record.args());
        // A failed write to standard error can't be reported anywhere.
        _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

pub fn start() {
    let level = std::env::var("KELPCART_LOG").ok().and_then(|level| level.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    // Fails only if a logger is already set.
    _ = log::set_logger(&StderrLogger);
}

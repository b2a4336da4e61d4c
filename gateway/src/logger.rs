//! Writes log lines to standard error, one write a line. Must never hold a line back or take part in the work; at
//! the default level there is no line a txn. `KELPCART_LOG` names another level.

use log::{LevelFilter, Log, Metadata, Record};
use std::io::Write;

struct StderrLogger;

impl Log for StderrLogger {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let line = format!("{} {}\n", record.level().as_str().to_ascii_lowercase(), record.args());
        // With standard error gone there is nobody to tell.
        _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

pub fn start() {
    let level = std::env::var("KELPCART_LOG").ok().and_then(|level| level.parse().ok());
    log::set_max_level(level.unwrap_or(LevelFilter::Info));
    // A second start changes nothing.
    _ = log::set_logger(&StderrLogger);
}

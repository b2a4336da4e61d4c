//! Reads the configuration files again on a reload and hands them to the parts that use them. A reload that finds no free
//! descriptor is repeated until it has read every file.
//!
//! Invariant: a file that can't be used changes nothing; only the want of a descriptor is retried.

use crate::clock::Clock;
use crate::config;
use crate::counters::Counters;
use crate::descriptors;
use crate::fleet::Fleet;
use crate::sites::SiteLinks;
use async_channel::Sender;
use futures_lite::future;
use kelpcart::{Span, Time};
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// First and largest delay before a reload is repeated; it doubles until one succeeds.
const RETRY_BACKOFF: std::ops::Range<Span> = Span::from_millis(50)..Span::from_millis(400);

/// Why a configuration file has no effect.
#[derive(Debug)]
pub enum FileError {
    Read { path: String, error: io::Error },
    Invalid { path: String, reason: String },
}

impl fmt::Display for FileError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            FileError::Read { path, error } => write!(f, "{path}: {error}"),
            FileError::Invalid { path, reason } => write!(f, "{path}: {reason}"),
        }
    }
}

impl From<FileError> for String {
    fn from(error: FileError) -> String {
        error.to_string()
    }
}

impl FileError {
    fn lacks_descriptor(&self) -> bool {
        matches!(self, FileError::Read { error, .. } if descriptors::is_exhaustion(error))
    }
}

/// Reads and parses a file.
pub fn read<T>(path: &str, parse: impl FnOnce(&str) -> Result<T, String>) -> Result<T, FileError> {
    let text = std::fs::read_to_string(path);
    let text = text.map_err(|error| FileError::Read { path: path.to_owned(), error })?;
    parse(&text).map_err(|reason| FileError::Invalid { path: path.to_owned(), reason })
}

/// Reads a file without parsing it.
pub fn read_text(path: &str) -> Result<String, FileError> {
    read(path, |text| Ok(text.to_owned()))
}

/// The files of a gateway that a reload reads, and the parts that take what is in them.
pub struct Reloader {
    pub clock: Clock,
    pub counters: Rc<Counters>,
    pub config_path: String,
    pub address_changed: Sender<SocketAddr>,
    pub links: Option<Rc<SiteLinks>>,
    pub copies_path: Option<String>,
    pub fleet: Option<(Rc<Fleet>, String)>,
    pub retry: Retry,
}

/// When to repeat a reload.
pub struct Retry {
    due: Option<Time>,
    delay: Span,
}

impl Default for Retry {
    fn default() -> Retry {
        Retry { due: None, delay: RETRY_BACKOFF.start }
    }
}

impl Reloader {
    /// Reads all files again.
    pub fn reload(&mut self) {
        let complete = [self.reload_address(), self.reload_links(), self.reload_fleet()];
        if complete.iter().all(|complete| *complete) {
            self.retry = Retry::default();
            return;
        }
        self.counters.add("reloads without a descriptor");
        let delay = self.retry.delay;
        self.retry.due = Some(self.clock.now() + delay);
        self.retry.delay = (delay * 2.0).min(RETRY_BACKOFF.end);
    }

    /// Completes when the last reload has to be repeated.
    pub async fn retry_due(&self) {
        match self.retry.due {
            Some(due) => self.clock.sleep_until(due).await,
            None => future::pending().await,
        }
    }

    // Each of the following is false if the part has to be read again for want of a descriptor.

    fn reload_address(&self) -> bool {
        match read(&self.config_path, config::read_discovery_address) {
            Ok(address) => {
                // Fails only if the client of the discovery service has ended, and the process with it.
                _ = self.address_changed.try_send(address);
                true
            }
            Err(error) => {
                let next = if error.lacks_descriptor() { "; to be repeated" } else { "" };
                log::warn!(
                    "reload failed: {error}; the discovery service's address stays where it was{next}"
                );
                !error.lacks_descriptor()
            }
        }
    }

    fn reload_links(&self) -> bool {
        let Some(links) = &self.links else { return true };
        let copies = self.copies_path.as_deref().map(read_text);
        let copies_read = copies.as_ref().is_none_or(|text| !is_without_descriptor(text));
        links.reload(copies.map(|text| text.map_err(String::from))) && copies_read
    }

    fn reload_fleet(&self) -> bool {
        let Some((fleet, path)) = &self.fleet else { return true };
        let text = read_text(path);
        let is_read = !is_without_descriptor(&text);
        fleet.rekey(text.map_err(String::from));
        is_read
    }
}

fn is_without_descriptor<T>(read: &Result<T, FileError>) -> bool {
    read.as_ref().is_err_and(FileError::lacks_descriptor)
}

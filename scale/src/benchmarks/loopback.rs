//! Hollow and real gateways side by side on loopback, to validate the simulated results in real time.
//!
//! Invariant: never runs in parallel with another benchmark, nor in CI, because it uses the whole machine.

use crate::loopback::{Options, loopback};
use crate::slopes::Series;
use std::time::Duration;

/// Returns no series in quick mode or if the `kelpcart` binary is missing.
pub fn measure(seed: u64, quick: bool) -> Vec<Series> {
    let Some(own) = std::env::current_exe().ok().filter(|_| !quick) else { return Vec::new() };
    let kelpcart = own.with_file_name("kelpcart");
    if !kelpcart.is_file() {
        eprintln!("loopback: not run, there is no `kelpcart` beside this program");
        return Vec::new();
    }
    let folder = std::env::temp_dir().join(format!("kelpcart-loopback-{}", std::process::id()));
    let sizes = vec![48, 96, 144, 192, 288];
    let span = Duration::from_secs(10);
    let options = Options { kelpcart, hollow: own, folder: folder.clone(), seed, sizes, real: 6, span };
    let all = loopback(&options).unwrap_or_else(|why| panic!("loopback: {why}"));
    _ = std::fs::remove_dir_all(folder);
    all
}

//! Drivers of the cases: `review-2 CASE ROOT FOLDER RECORD`. Exit code 1: the rule was broken, 0: it held, 2: not run.

mod client;
mod common;
mod feed_restart;
mod keyed_cells;
mod lost_reload;
mod member;
mod second_copy;
mod stale_lease;

use common::{Case, NotRun, Ran};
use std::process::ExitCode;

fn run() -> Ran<bool> {
    let args: Vec<String> = std::env::args().collect();
    if let [_, name, seed, copies] = args.as_slice()
        && name == "cache"
    {
        return second_copy::cache(seed.parse()?, copies == "second-copies").map(|()| false);
    }
    let [_, name, root, folder, record] = args.as_slice() else {
        return common::not_run("usage: review-2 CASE ROOT FOLDER RECORD");
    };
    let case = Case::new(root, folder, record)?;
    match name.as_str() {
        "feed-restart" => feed_restart::run(&case),
        "keyed-cells" => keyed_cells::run(&case),
        "lost-reload" => lost_reload::run(&case),
        "second-copy" => second_copy::run(&case),
        "stale-lease" => stale_lease::run(&case),
        _ => common::not_run("no such case"),
    }
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => {
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Ok(false) => {
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Err(NotRun(why)) => {
            println!("the case could not run: {why}");
            ExitCode::from(2)
        }
    }
}

use crate::{Run, Verdict};

mod late_repeat;
mod old_copy;
mod other_site;
mod slow_writer;

pub fn run(case: &str, run: &Run) -> Verdict {
    match case {
        "other-site" => other_site::run(run),
        "late-repeat" => late_repeat::run(run),
        "old-copy" => old_copy::run(run),
        "slow-writer" => slow_writer::run(run),
        _ => Err(format!("unknown case {case}")),
    }
}

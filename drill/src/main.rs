//! Adapter for the simulator: hosts the decision modules of many gateways, reads one batch a line from stdin and writes
//! one reply line each to stdout.

mod wire;

use std::io::{BufWriter, Write, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut out = BufWriter::new(stdout().lock());
    for (i, line) in stdin().lines().enumerate() {
        let reply = match line {
            Ok(line) => host.batch(&line),
            Err(e) => Err(format!("read error: {e}")),
        };
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(error) => {
                eprintln!("line {}: {error}", i + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

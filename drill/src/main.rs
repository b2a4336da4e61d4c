//! Hosts many gateways' decision modules on the simulator's wire: one line in, one line out.

mod wire;

use std::io::{BufWriter, Write, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = wire::Host::default();
    let mut out = BufWriter::new(stdout().lock());
    for (i, line) in stdin().lines().enumerate() {
        let reply = match line {
            Ok(line) => host.batch(&line),
            Err(e) => Err(format!("cannot be read: {e}")),
        };
        match reply {
            Ok(reply) => {
                if writeln!(out, "{reply}").and_then(|()| out.flush()).is_err() {
                    return ExitCode::FAILURE;
                }
            }
            Err(what) => {
                eprintln!("line {}: {what}", i + 1);
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}

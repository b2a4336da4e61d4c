//! `kelpcart-routes`: checks a configuration against routing expectations, without traffic.
//! Exit code 0: all expectations hold; 1: one does not; 2: a file is invalid or cannot be read.

use clap::{Parser, Subcommand};
use kelpcart_gateway::config::Config;
use kelpcart_routes::expect::{self, Suite};
use kelpcart_routes::fleet::Fleet;
use kelpcart_routes::measure::{self, Size};
use kelpcart_routes::world::Scenario;
use kelpcart_routes::{diff, explain, report, search};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Checks routing expectations against the real decision module, without traffic.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Check every expectation of the file, in every scenario that it asks for.
    Test {
        /// The gateway's configuration file, as in NODE_CONFIG.
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        routes: PathBuf,
        /// Upper bound of the members that fail at the same time; overrides larger values of the file.
        #[arg(long)]
        search: Option<usize>,
        /// Also write the verdicts to this file as JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Also write the verdicts to this file as JUnit XML.
        #[arg(long)]
        junit: Option<PathBuf>,
    },
    /// Check the configuration alone.
    Check {
        #[arg(long)]
        config: PathBuf,
    },
    /// Show what moves between two configurations, without failures and with each single member down.
    Diff {
        old: PathBuf,
        new: PathBuf,
        /// Expectations file whose verdicts are also compared.
        #[arg(long)]
        routes: Option<PathBuf>,
        /// Number of objects per rule.
        #[arg(long, default_value_t = 500)]
        objects: u64,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Explain the route of one txn and show its trace.
    Explain {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        rule: String,
        /// The object in hex digits.
        #[arg(long)]
        object: String,
        /// The zone that the txn comes from; default: the zone of the configuration.
        #[arg(long)]
        zone: Option<String>,
        /// A failed member, as NAME=down, draining, cold, returned, silent, full or failing; repeatable.
        #[arg(long)]
        with: Vec<String>,
        /// The object was purged just before the txn.
        #[arg(long)]
        purged: bool,
        /// Number of other txns that run first, so that the gateway knows what only hops reveal.
        #[arg(long, default_value_t = 0)]
        after: u64,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Measure how long searches of growing size take on this machine, with the configuration's rules.
    Measure {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Print the JSON schema of the expectations file.
    Schema,
}

fn main() -> ExitCode {
    match run(Cli::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

fn read(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn config(path: &Path) -> Result<Config, String> {
    Config::read(&read(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

/// Reads an expectations file and returns it with its text; reports all errors of the file.
fn suite(path: &Path) -> Result<(Suite, String), String> {
    let (text, file) = (read(path)?, path.display());
    let join = |all: Vec<expect::SuiteError>| -> String {
        all.iter().map(|why| format!("{file}: {why}")).collect::<Vec<_>>().join("\n")
    };
    let suite = Suite::read(&text).map_err(join)?;
    Ok((suite, text))
}

fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Schema => {
            println!("{}", Suite::schema());
            Ok(true)
        }
        Command::Check { config: path } => {
            let fleet = Fleet::from_config(&config(&path)?);
            println!(
                "{} members, {} rules: configuration is valid",
                fleet.members.len(),
                fleet.names.rules.len()
            );
            Ok(true)
        }
        Command::Diff { old, new, routes, objects, json } => {
            let (old, new) = (Fleet::from_config(&config(&old)?), Fleet::from_config(&config(&new)?));
            let suite = routes.map(|path| suite(&path)).transpose()?;
            let diff = diff::diff(&old, &new, suite.as_ref().map(|(s, text)| (s, text.as_str())), objects);
            print!("{}", diff.text());
            if let Some(path) = json {
                std::fs::write(&path, diff.json().to_string())
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            // An expectation that no longer holds makes the command fail.
            Ok(diff.verdicts.iter().all(|(_, _, now)| *now))
        }
        Command::Explain { config: path, rule, object, zone, with, purged, after, json } => {
            let fleet = Fleet::from_config(&config(&path)?);
            let (rule, object) = (fleet.rule_index(&rule)?, u64::from_str_radix(&object, 16));
            let object = object.map_err(|_| "--object is not hex digits".to_owned())?;
            let zone = zone.map_or(Ok(fleet.settings.zone), |z| fleet.zone_index(&z))?;
            let failures = with.iter().map(|w| fleet.parse_failure(w)).collect::<Result<_, _>>()?;
            let scenario = Scenario { failures, purged, list_late: false };
            let explanation = explain::explain(&fleet, zone, &scenario, rule, object, after);
            print!("{}", explanation.text(&fleet));
            if let Some(path) = json {
                let text = explanation.json(&fleet).to_string();
                std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(true)
        }
        Command::Measure { config: path, json } => {
            let base = Fleet::from_config(&config(&path)?);
            let size = |members, expectations, search| Size { members, expectations, search };
            let sizes = [
                size(25, 50, 1),
                size(25, 50, 2),
                size(50, 50, 2),
                size(100, 10, 2),
                size(100, 50, 1),
                size(100, 50, 2),
                size(25, 5, 3),
                size(1_000, 2, 1),
            ];
            let (table, rows) = measure::table(&base, &sizes)?;
            print!("{table}");
            if let Some(path) = json {
                std::fs::write(&path, rows.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            Ok(true)
        }
        Command::Test { config: path, routes, search: max_search, json, junit } => {
            let fleet = Fleet::from_config(&config(&path)?);
            let (suite, text) = suite(&routes)?;
            let file = routes.display().to_string();
            let all = search::run(&fleet, &suite, &text, max_search);
            print!("{}", report::text(&all, &file));
            let write = |path: &PathBuf, text: String| {
                std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
            };
            json.map(|path| write(&path, report::json(&all).to_string())).transpose()?;
            junit.map(|path| write(&path, report::junit(&all, &file))).transpose()?;
            Ok(all.iter().all(search::ExpectationResult::passes))
        }
    }
}

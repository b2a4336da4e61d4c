//! `kelpcart-routes`: checks a configuration and what is expected of its routes, without traffic.
//! Exits with 0 if all hold, 1 if one does not, 2 if a file can't be used.

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
#[command(about = "Checks what is expected of routes against the module that serves, without traffic.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Every expectation of the file, in every circumstance that it asks for.
    Test {
        /// The gateway's configuration, as NODE_CONFIG names it.
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        routes: PathBuf,
        /// No more members in trouble at once than this, whatever the file says.
        #[arg(long)]
        search: Option<usize>,
        /// The verdicts as JSON, and as JUnit XML, too.
        #[arg(long)]
        json: Option<PathBuf>,
        #[arg(long)]
        junit: Option<PathBuf>,
    },
    /// The configuration alone.
    Check {
        #[arg(long)]
        config: PathBuf,
    },
    /// What moves between two configurations, in calm and with each one member down.
    Diff {
        old: PathBuf,
        new: PathBuf,
        /// Expectations whose verdict is compared, too.
        #[arg(long)]
        routes: Option<PathBuf>,
        /// Objects of each rule.
        #[arg(long, default_value_t = 500)]
        objects: u64,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// Why one txn goes where it goes, and its whole way.
    Explain {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        rule: String,
        /// In hex digits.
        #[arg(long)]
        object: String,
        /// The zone that it comes from; else the configuration's own.
        #[arg(long)]
        zone: Option<String>,
        /// Members in trouble: NAME=down, draining, cold, returned, silent, full or failing; as often as there are.
        #[arg(long)]
        with: Vec<String>,
        /// The object was purged just now.
        #[arg(long)]
        purged: bool,
        /// So many other txns come first, so that what only hops can tell is known.
        #[arg(long, default_value_t = 0)]
        after: u64,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// How long searches of growing size take on this machine, with the configuration's rules.
    Measure {
        #[arg(long)]
        config: PathBuf,
        #[arg(long)]
        json: Option<PathBuf>,
    },
    /// The schema of the file of expectations.
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

/// A file of expectations and its text; all faults at once.
fn suite(path: &Path) -> Result<(Suite, String), String> {
    let (text, file) = (read(path)?, path.display());
    let told = |all: Vec<expect::SuiteError>| -> String {
        all.iter().map(|why| format!("{file}: {why}")).collect::<Vec<_>>().join("\n")
    };
    let suite = Suite::read(&text).map_err(told)?;
    Ok((suite, text))
}

fn run(what: Command) -> Result<bool, String> {
    match what {
        Command::Schema => {
            println!("{}", Suite::schema());
            Ok(true)
        }
        Command::Check { config: path } => {
            let fleet = Fleet::from_config(&config(&path)?);
            println!("{} members, {} rules: it can be used", fleet.members.len(), fleet.names.rules.len());
            Ok(true)
        }
        Command::Diff { old, new, routes, objects, json } => {
            let (old, new) = (Fleet::from_config(&config(&old)?), Fleet::from_config(&config(&new)?));
            let suite = routes.map(|path| suite(&path)).transpose()?;
            let told = diff::diff(&old, &new, suite.as_ref().map(|(s, text)| (s, text.as_str())), objects);
            print!("{}", told.text());
            if let Some(path) = json {
                std::fs::write(&path, told.json().to_string())
                    .map_err(|e| format!("{}: {e}", path.display()))?;
            }
            // An expectation that no longer holds is a failure.
            Ok(told.verdicts.iter().all(|(_, _, now)| *now))
        }
        Command::Explain { config: path, rule, object, zone, with, purged, after, json } => {
            let fleet = Fleet::from_config(&config(&path)?);
            let (rule, object) = (fleet.rule_index(&rule)?, u64::from_str_radix(&object, 16));
            let object = object.map_err(|_| "--object is not hex digits".to_owned())?;
            let zone = zone.map_or(Ok(fleet.settings.zone), |z| fleet.zone_index(&z))?;
            let troubles = with.iter().map(|w| fleet.parse_failure(w)).collect::<Result<_, _>>()?;
            let circumstance = Scenario { failures: troubles, purged, list_late: false };
            let told = explain::explain(&fleet, zone, &circumstance, rule, object, after);
            print!("{}", told.text(&fleet));
            if let Some(path) = json {
                let text = told.json(&fleet).to_string();
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
        Command::Test { config: path, routes, search: most, json, junit } => {
            let fleet = Fleet::from_config(&config(&path)?);
            let (suite, text) = suite(&routes)?;
            let file = routes.display().to_string();
            let all = search::run(&fleet, &suite, &text, most);
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

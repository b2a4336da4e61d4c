//! `kelpcart-scale`: runs the scalability benchmarks and evaluates the capacity of each role at a target size. Exits with 1
//! if a budget may be exceeded or a row is not measured, and with 2 on an error, such as an invalid file.

use clap::{Parser, Subcommand};
use kelpcart_scale::benchmarks;
use kelpcart_scale::capacity::{self, State, Verdict};
use kelpcart_scale::fit::{self, Statistic, format_number};
use kelpcart_scale::loopback;
use kelpcart_scale::memory;
use kelpcart_scale::plot;
use kelpcart_scale::slopes::{Series, Slopes};
use kelpcart_scale::target::Target;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

#[derive(Parser)]
#[command(
    about = "Scalability benchmarks and capacity planning: how costs grow with an installation's size."
)]
struct Cli {
    #[command(subcommand)]
    what: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs the benchmark series and writes the slopes file.
    Measure(Measure),
    /// Compares the load of each role predicted at the target with its budgets.
    Capacity(Capacity),
    /// Runs hollow gateways on loopback until standard input is closed.
    Hollow(Hollow),
}

#[derive(clap::Args)]
struct Measure {
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Slopes file to write.
    #[arg(long)]
    json: PathBuf,
    /// Run short series, as in CI.
    #[arg(long)]
    quick: bool,
    /// Run only benchmark modules whose name starts with this prefix.
    #[arg(long)]
    only: Option<String>,
    /// Keep the series of this slopes file that are not measured in this run.
    #[arg(long)]
    merge: Option<PathBuf>,
}

#[derive(clap::Args)]
struct Capacity {
    #[arg(long)]
    slopes: PathBuf,
    #[arg(long)]
    target: PathBuf,
    /// Directory to which a chart of each series is written.
    #[arg(long)]
    plot: Option<PathBuf>,
    /// File to which the rows are written as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Print the tables as Markdown, as in docs/CAPACITY.md.
    #[arg(long)]
    markdown: bool,
    /// Update the tables of this page between its markers.
    #[arg(long)]
    page: Option<PathBuf>,
}

#[derive(clap::Args)]
struct Hollow {
    /// JSON file with a list of fleet settings, each with a `feed`.
    #[arg(long)]
    files: PathBuf,
}

type Outcome = Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let result = match Cli::parse().what {
        Command::Measure(options) => measure(&options),
        Command::Capacity(options) => capacity(&options),
        Command::Hollow(options) => loopback::serve(&options.files).map(|()| true).map_err(Into::into),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("kelpcart-scale: {why}");
            ExitCode::from(2)
        }
    }
}

fn read_file(path: &Path) -> Result<String, String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

fn write_file(path: &Path, text: &str) -> Result<(), String> {
    std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))
}

fn slopes(path: &Path) -> Result<Slopes, String> {
    Slopes::read(&read_file(path)?).map_err(|e| format!("{}: {e}", path.display()))
}

fn describe_law(series: &Series, statistic: Statistic) -> String {
    fit::fit_series(series, statistic).map_or("-".to_owned(), |f| f.describe())
}

fn print_series(series: &Series) {
    println!("{}  [{}, over {}]", series.id, series.unit, series.over);
    for p in &series.points {
        let p99 = p.p99.map_or(String::new(), |p| format!("  p99 {}", format_number(p)));
        println!(
            "  {:>10}  mean {:>10}  worst {:>10}{p99}",
            format_number(p.at),
            format_number(p.mean),
            format_number(p.worst)
        );
    }
    println!(
        "  mean: {}; worst: {}",
        describe_law(series, Statistic::Mean),
        describe_law(series, Statistic::Worst)
    );
}

fn measure(options: &Measure) -> Outcome {
    let old = options.merge.as_deref().map(slopes).transpose()?;
    let selected = |name: &str| options.only.as_deref().is_none_or(|only| name.starts_with(only));
    let chosen: Vec<_> = benchmarks::MODULES.iter().filter(|(name, _)| selected(name)).collect();
    if chosen.is_empty() {
        let names: Vec<&str> = benchmarks::MODULES.iter().map(|(name, _)| *name).collect();
        return Err(format!("--only: no such module; available modules: {}", names.join(", ")).into());
    }
    let mut all = Vec::new();
    for (name, measure) in chosen {
        println!("{name}");
        let measured = measure(options.seed, options.quick);
        measured.iter().for_each(print_series);
        all.extend(measured);
    }
    let mut new =
        Slopes { seed: options.seed, quick: options.quick, peak_memory: memory::peak(), ladders: all };
    if let Some(old) = old {
        new = new.merged_with(old)?;
    }
    new.check()?;
    write_file(&options.json, &(serde_json::to_string_pretty(&new)? + "\n"))?;
    Ok(true)
}

fn capacity(options: &Capacity) -> Outcome {
    let slopes = slopes(&options.slopes)?;
    let target = Target::read(&read_file(&options.target)?)
        .map_err(|e| format!("{}: {e}", options.target.display()))?;
    let verdicts = capacity::verdicts(&slopes, &target);
    let breaks = capacity::breaking_points(&slopes, &target);
    if let Some(page) = &options.page {
        let new = capacity::page(&read_file(page)?, &slopes, &target);
        write_file(page, &new.map_err(|e| format!("{}: {e}", page.display()))?)?;
    }
    for role in capacity::ROLES {
        println!("{}{}\n", if options.markdown { "## " } else { "" }, role.title);
        if options.markdown {
            println!("{}", capacity::table(role.id, &verdicts));
        } else {
            println!("{}", capacity::plain_table(role.id, &verdicts));
        }
    }
    println!("{}What breaks first\n", if options.markdown { "## " } else { "" });
    if options.markdown {
        println!("{}", capacity::breaking_points_table(&breaks));
    } else {
        println!("{}", capacity::breaking_points_plain(&breaks));
    }
    if options.markdown {
        println!("## Ladders\n\n{}", capacity::series_table(&slopes));
    }
    if let Some(folder) = &options.plot {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        for series in &slopes.ladders {
            let (budgets, size) = capacity::chart_marks(&series.id, &verdicts);
            plot::draw(series, &budgets, size, folder)?;
        }
    }
    if let Some(path) = &options.json {
        let all = serde_json::json!({ "rows": verdicts, "breaks": breaks });
        write_file(path, &(serde_json::to_string_pretty(&all)? + "\n"))?;
    }
    if slopes.quick {
        println!("these are slopes of short ladders");
    }
    let count = |state: State| verdicts.iter().filter(|v| !v.before && v.state == state).count();
    println!(
        "{} green, {} red, {} open, {} not measured, {} told; {} of what was before",
        count(State::Green),
        count(State::Red),
        count(State::Uncertain),
        count(State::NotMeasured),
        count(State::NoBudget),
        verdicts.iter().filter(|v| v.before).count()
    );
    Ok(!verdicts.iter().any(Verdict::fails))
}

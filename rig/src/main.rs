//! `kelpcart-rig`: plays days on real gateways between stand-ins and exits non-zero when a rule is broken.

use clap::{Parser, Subcommand, ValueEnum};
use kelpcart_rig::keys::Authority;
use kelpcart_rig::lane::Weather;
use kelpcart_rig::plan::Plan;
use kelpcart_rig::sites::{self, Ledger, Options};
use kelpcart_rig::{fleet_day, fleet_plan, list_service, tier};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Plays days on real gateways between stand-ins on loopback; all servers are simulated.")]
struct Line {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Two sites with a slow, lossy link between them.
    Sites(Box<Day>),
    /// Two sites, the far one's gateways keeping copies of what they promise, and machines lost with their disks.
    Copies(Box<CopiesDay>),
    /// A whole fleet that starts at once between stand-ins that can be swamped.
    Fleet(Box<FleetDay>),
    /// Certificates for trying things out: an authority and one for each site named.
    Keys {
        /// The folder they are written to.
        folder: PathBuf,
        #[arg(required = true)]
        sites: Vec<String>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum Kept {
    /// What is in doubt is never asked about.
    None,
    Memory,
    Disk,
}

#[derive(Clone, Copy, ValueEnum)]
enum By {
    Streams,
    OneStream,
}

#[derive(Clone, Copy, ValueEnum)]
enum Control {
    Delay,
    Bbr,
    Cubic,
}

#[derive(clap::Args)]
struct Day {
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Each way.
    #[arg(long, default_value_t = 80.0)]
    delay_ms: f64,
    #[arg(long, default_value_t = 20.0)]
    jitter_ms: f64,
    /// The part of datagrams that is lost each way; so are the next two.
    #[arg(long, default_value_t = 0.02)]
    loss: f64,
    #[arg(long, default_value_t = 0.0)]
    duplicate: f64,
    #[arg(long, default_value_t = 0.0)]
    reorder: f64,
    /// KB a second each way; 0: no bound.
    #[arg(long, default_value_t = 0.0)]
    rate_kb: f64,
    #[arg(long, default_value_t = 256.0)]
    queue_kb: f64,
    /// What happens and when, as JSON; in place of the next four.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// A cut about each so many seconds; 0: none.
    #[arg(long, default_value_t = 0.0)]
    cut_every: f64,
    #[arg(long, default_value_t = 2.5)]
    cut_for: f64,
    /// The far site is dark from this second on.
    #[arg(long)]
    dark_at: Option<f64>,
    #[arg(long, default_value_t = 60.0)]
    dark_for: f64,
    /// Far gateways, and links to each.
    #[arg(long, default_value_t = 1)]
    fars: usize,
    #[arg(long, default_value_t = 1)]
    links: usize,
    /// Txns a second, and the parts of media and book.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    #[arg(long, default_value_t = 0.5)]
    media: f64,
    #[arg(long, default_value_t = 0.1)]
    book: f64,
    #[arg(long, default_value_t = 5_000)]
    objects: u64,
    #[arg(long, value_enum, default_value = "memory")]
    ledger: Kept,
    #[arg(long, value_enum, default_value = "streams")]
    carrier: By,
    #[arg(long, value_enum, default_value = "delay")]
    congestion: Control,
    /// A purge each so many seconds; 0: none.
    #[arg(long, default_value_t = 3.0)]
    purge_every: f64,
    /// The far site hears of it so many seconds later.
    #[arg(long, default_value_t = 2.0)]
    purge_late: f64,
    /// Memory of a gateway.
    #[arg(long, default_value_t = 96)]
    memory_mb: u64,
    /// Where files of the run go; else a folder that is removed at its end.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// The gateway; else the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// The figures as JSON, too.
    #[arg(long)]
    json: Option<PathBuf>,
    /// The gateways' counters at the end, too.
    #[arg(long)]
    counters: bool,
}

#[derive(Clone, Copy, ValueEnum, PartialEq)]
enum KeptBy {
    /// What is in doubt is never asked about.
    None,
    Memory,
    Disk,
    Copies,
}

#[derive(clap::Args)]
struct CopiesDay {
    /// Gateways at both sites together; a third of them are near ones, where the clients are.
    #[arg(long, default_value_t = 9)]
    gateways: usize,
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Who keeps what was promised: several gateways, or each for itself.
    #[arg(long, value_enum, default_value = "copies")]
    ledger: KeptBy,
    #[arg(long, default_value_t = 3)]
    copies: usize,
    #[arg(long, default_value_t = 2)]
    groups: u32,
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// Copies bring endings to a disk, too.
    #[arg(long)]
    disk: bool,
    /// A far machine is lost with its disk about each so many seconds, for so long; 0: none.
    #[arg(long, default_value_t = 20.0)]
    lose_every: f64,
    #[arg(long, default_value_t = 4.0)]
    lose_for: f64,
    /// What happens and when, as JSON, in place of that.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Txns a second, and the part of books.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    #[arg(long, default_value_t = 0.4)]
    book: f64,
    /// Between the sites, each way.
    #[arg(long, default_value_t = 20.0)]
    delay_ms: f64,
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Between the far gateways, each way.
    #[arg(long, default_value_t = 0.3)]
    between_ms: f64,
    #[arg(long, default_value_t = 0.0)]
    between_loss: f64,
    #[arg(long, default_value_t = 96)]
    memory_mb: u64,
    #[arg(long)]
    folder: Option<PathBuf>,
    #[arg(long)]
    program: Option<PathBuf>,
    #[arg(long)]
    json: Option<PathBuf>,
    #[arg(long)]
    counters: bool,
}

fn plan_of(path: &std::path::Path) -> Result<Plan, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Plan::read(&text)?)
}

/// Plays a day between two sites and prints what became of each rule; a folder of the run's own is removed.
fn between(options: &Options, keeps: bool) -> Result<sites::Outcome, Box<dyn std::error::Error>> {
    let outcome = sites::run(options);
    if !keeps {
        // It is gone already where the run never came so far.
        _ = std::fs::remove_dir_all(&options.folder);
    }
    let outcome = outcome?;
    print!("{}", outcome.report.table());
    Ok(outcome)
}

fn play_copies(day: &CopiesDay) -> Outcome {
    let nears = (day.gateways / 3).max(1);
    let fars = day.gateways.saturating_sub(nears);
    if !matches!(day.copies, 3 | 5) || !(day.copies..=64).contains(&fars) {
        return Err(
            "--copies is 3 or 5; two thirds of --gateways are far ones, as many as copies and 64 at most"
                .into(),
        );
    }
    if !(day.seconds >= 1.0 && day.rate > 0.0 && (0.0..=0.9).contains(&day.book)) {
        return Err("--seconds is at least 1, --rate above 0, --book 0 to 0.9".into());
    }
    let plan = match &day.plan {
        Some(path) => plan_of(path)?,
        None => Plan::losses(day.seed, day.seconds, day.lose_every, day.lose_for, fars),
    };
    let own = std::env::temp_dir().join(format!("kelpcart-rig-{}", std::process::id()));
    let ledger = match day.ledger {
        KeptBy::None => Ledger::None,
        KeptBy::Memory => Ledger::Memory,
        KeptBy::Disk => Ledger::Disk,
        KeptBy::Copies => {
            Ledger::Copies { copies: day.copies, groups: day.groups, zones: day.zones, disk: day.disk }
        }
    };
    let options = Options {
        nears,
        fars,
        links: 1,
        seconds: day.seconds,
        seed: day.seed,
        weather: Weather { delay_ms: day.delay_ms, loss: day.loss, ..Weather::default() },
        between: Weather { delay_ms: day.between_ms, loss: day.between_loss, ..Weather::default() },
        plan,
        rate: day.rate,
        media: (1.0 - day.book) / 4.0,
        book: day.book,
        objects: 2_000,
        ledger,
        carrier: "streams",
        congestion: "delay",
        purge_every: 5.0,
        purge_late: 1.0,
        program: day.program.clone().unwrap_or_else(sites::program),
        folder: day.folder.clone().unwrap_or(own),
        memory_mb: day.memory_mb,
    };
    let outcome = between(&options, day.folder.is_some())?;
    println!("{nears} near and {fars} far gateways, {} lost with their disks", outcome.wiped);
    if let Some(most) = outcome.leaderless.last() {
        let median = outcome.leaderless[outcome.leaderless.len() / 2];
        let n = outcome.leaderless.len();
        println!(
            "{n} times a group lost its leader: the next one after {median:.3} s at the median, {most:.3} s at most"
        );
    }
    for (i, far) in outcome.far.iter().enumerate() {
        println!("far gateway {i}: {:.2} s of CPU, {:.1} MB at most", far.cpu_s, far.peak_mb);
    }
    if day.counters {
        outcome.counters.iter().for_each(|(name, line)| println!("{name}: {line}"));
    }
    if outcome.crashed {
        println!("a gateway ended by itself  BROKEN");
    }
    if let Some(path) = &day.json {
        std::fs::write(path, serde_json::to_string_pretty(&sites::json(&options, &outcome))?)?;
    }
    Ok(!outcome.report.broken.any() && !outcome.crashed)
}

/// Remedies that can be left out.
#[derive(Clone, Copy, ValueEnum, PartialEq)]
enum Without {
    /// Each gateway for itself, as without the feature.
    Fleet,
    /// Each asks the bulletin.
    Relays,
    Connections,
    Fills,
    FillsAtCache,
}

#[derive(clap::Args)]
struct FleetDay {
    #[arg(long, default_value_t = 50)]
    gateways: usize,
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    #[arg(long, default_value_t = 24)]
    caches: usize,
    #[arg(long, default_value_t = 4)]
    parents: usize,
    /// Txns a second at each gateway.
    #[arg(long, default_value_t = 3.0)]
    rate: f64,
    #[arg(long, default_value_t = 2_000)]
    objects: u64,
    /// What happens and when, as JSON.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Between gateways, each way.
    #[arg(long, default_value_t = 0.3)]
    delay_ms: f64,
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    #[arg(long, value_enum)]
    without: Vec<Without>,
    /// Sites of one installation, made one by the feed, each with its own fleet; else all are one fleet.
    #[arg(long)]
    sites: Option<usize>,
    /// Machines set aside for control, with --sites.
    #[arg(long, default_value_t = 3)]
    hubs: usize,
    /// List services whose events are numbered apart, with --sites.
    #[arg(long, default_value_t = 1)]
    streams: usize,
    /// Purges count as told so many milliseconds later: 2,000 where the plan breaks all connections to the bulletin. Else
    /// 0, and 650 with --sites.
    #[arg(long)]
    told_ms: Option<u64>,
    /// So many gateways have another key: a fleet of its own with the same seeds.
    #[arg(long, default_value_t = 0)]
    foreign: usize,
    /// Connections to one cache or parent, of all gateways together; and what one bears.
    #[arg(long, default_value_t = 80)]
    connections: u32,
    #[arg(long, default_value_t = 100)]
    bears_connections: usize,
    /// Objects that are filled through one cache at once, of all together; and what a cold one bears.
    #[arg(long, default_value_t = 16)]
    fills_at_cache: u32,
    #[arg(long, default_value_t = 32)]
    bears_fills: usize,
    /// What the bulletin bears.
    #[arg(long, default_value_t = 20.0)]
    bulletin_connections: f64,
    #[arg(long, default_value_t = 1_024.0)]
    bulletin_kb: f64,
    #[arg(long, default_value_t = 64)]
    memory_mb: u64,
    #[arg(long)]
    folder: Option<PathBuf>,
    #[arg(long)]
    program: Option<PathBuf>,
    #[arg(long)]
    json: Option<PathBuf>,
}

fn play_fleet(day: &FleetDay) -> Outcome {
    if !(2..=400).contains(&day.gateways)
        || !(1..=200).contains(&day.caches)
        || day.parents + day.caches > 250
    {
        return Err("--gateways is 2 to 400, --caches 1 to 200, with --parents 250 at the most".into());
    }
    if day.seconds.is_nan() || day.seconds < 1.0 || day.rate.is_nan() || day.rate <= 0.0 {
        return Err("--seconds is at least 1, --rate above 0".into());
    }
    let fits = |sites: usize| {
        (1..=day.gateways).contains(&sites)
            && (1..=16).contains(&day.hubs)
            && (1..=32).contains(&day.streams)
            && day.foreign == 0
            && !day.without.contains(&Without::Fleet)
    };
    if !day.sites.is_none_or(fits) {
        return Err(
            "--sites is 1 to the gateways, --hubs 1 to 16, --streams 1 to 32, none foreign, with fleet"
                .into(),
        );
    }
    let (hubs, streams) = (day.hubs, day.streams);
    let installation = day.sites.map(|sites| fleet_day::Installation { sites, hubs, streams });
    let plan = match &day.plan {
        Some(path) => {
            fleet_plan::read(&std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?)?
        }
        None => Vec::new(),
    };
    let has = |w: Without| !day.without.contains(&w);
    let own = std::env::temp_dir().join(format!("kelpcart-rig-{}", std::process::id()));
    let options = fleet_day::Options {
        gateways: day.gateways,
        caches: day.caches,
        parents: day.parents,
        seconds: day.seconds,
        seed: day.seed,
        rate: day.rate * day.gateways as f64,
        objects: day.objects.max(2),
        plan,
        weather: Weather { delay_ms: day.delay_ms, loss: day.loss, ..Weather::default() },
        fleet: has(Without::Fleet),
        relays: has(Without::Relays),
        connections: has(Without::Connections).then_some(day.connections),
        fills: has(Without::Fills).then_some(1),
        fills_at_cache: has(Without::FillsAtCache).then_some(day.fills_at_cache),
        foreign: day.foreign,
        guests: 0,
        installation,
        told_ms: day.told_ms.unwrap_or(if installation.is_some() { fleet_day::FEED_MS } else { 0 }),
        has_net: false,
        list: list_service::Bears { connections_per_s: day.bulletin_connections, kb_per_s: day.bulletin_kb },
        cache: tier::Bears {
            connections: day.bears_connections,
            cold_fills: day.bears_fills,
            cold_for: std::time::Duration::from_secs(20),
            down_for: std::time::Duration::from_secs(3),
        },
        memory_mb: day.memory_mb,
        program: day.program.clone().unwrap_or_else(sites::program),
        folder: day.folder.clone().unwrap_or_else(|| own.clone()),
    };
    let outcome = fleet_day::run(&options);
    if day.folder.is_none() {
        // It is gone already where the run never came so far.
        _ = std::fs::remove_dir_all(&own);
    }
    let outcome = outcome?;
    print!("{}", fleet_day::table(&options, &outcome));
    if let Some(path) = &day.json {
        std::fs::write(path, serde_json::to_string_pretty(&fleet_day::json(&options, &outcome))?)?;
    }
    Ok(!fleet_day::broken(&outcome))
}

fn main() -> ExitCode {
    let result = match Line::parse().what {
        What::Sites(day) => play(&day),
        What::Copies(day) => play_copies(&day),
        What::Fleet(day) => play_fleet(&day),
        What::Keys { folder, sites } => keys(&folder, &sites),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("kelpcart-rig: {why}");
            ExitCode::from(2)
        }
    }
}

type Outcome = Result<bool, Box<dyn std::error::Error>>;

fn keys(folder: &std::path::Path, sites: &[String]) -> Outcome {
    std::fs::create_dir_all(folder)?;
    let authority = Authority::new()?;
    for site in sites {
        authority.write(folder, site)?;
    }
    Ok(true)
}

fn play(day: &Day) -> Outcome {
    for (name, part) in [("loss", day.loss), ("duplicate", day.duplicate), ("reorder", day.reorder)] {
        if !(0.0..=1.0).contains(&part) {
            return Err(format!("--{name} is not between 0 and 1").into());
        }
    }
    if day.seconds.is_nan() || day.seconds < 1.0 || day.rate <= 0.0 || day.fars == 0 || day.links == 0 {
        return Err("--seconds, --rate, --fars and --links are at least 1".into());
    }
    let plan = match &day.plan {
        Some(path) => plan_of(path)?,
        None => {
            let dark = day.dark_at.map(|at| (at, day.dark_for));
            Plan::cuts(day.seed, day.seconds, day.cut_every, day.cut_for, dark)
        }
    };
    let own = std::env::temp_dir().join(format!("kelpcart-rig-{}", std::process::id()));
    let options = Options {
        seconds: day.seconds,
        seed: day.seed,
        weather: Weather {
            delay_ms: day.delay_ms,
            jitter_ms: day.jitter_ms,
            loss: day.loss,
            duplicate: day.duplicate,
            reorder: day.reorder,
            rate_kb: day.rate_kb,
            queue_kb: day.queue_kb,
            dark: [false; 2],
        },
        plan,
        nears: 1,
        between: Weather::default(),
        fars: day.fars,
        links: day.links,
        rate: day.rate,
        media: day.media,
        book: day.book,
        objects: day.objects.max(2),
        ledger: match day.ledger {
            Kept::None => Ledger::None,
            Kept::Memory => Ledger::Memory,
            Kept::Disk => Ledger::Disk,
        },
        carrier: if matches!(day.carrier, By::Streams) { "streams" } else { "one-stream" },
        congestion: match day.congestion {
            Control::Delay => "delay",
            Control::Bbr => "bbr",
            Control::Cubic => "cubic",
        },
        purge_every: day.purge_every,
        purge_late: day.purge_late,
        program: day.program.clone().unwrap_or_else(sites::program),
        folder: day.folder.clone().unwrap_or(own),
        memory_mb: day.memory_mb,
    };
    let outcome = between(&options, day.folder.is_some())?;
    println!("{} purges, {} fills by the central store", outcome.purges, outcome.origin_fills);
    for near in &outcome.near {
        println!("near gateway: {:.2} s of CPU, {:.1} MB at most", near.cpu_s, near.peak_mb);
    }
    for (i, far) in outcome.far.iter().enumerate() {
        println!("far gateway {i}: {:.2} s of CPU, {:.1} MB at most", far.cpu_s, far.peak_mb);
    }
    if let Some(at) = day.dark_at {
        let (from, to) = (at as usize, (at + day.dark_for) as usize);
        let before = outcome.report.share(5, from);
        let back = outcome.report.back_after(to, before, 0.95);
        let back = back.map_or("not in this run".to_owned(), |s| format!("{s} s after"));
        println!("before the dark time {before:.3}; 0.95 of that again: {back}");
    }
    if day.counters {
        outcome.counters.iter().for_each(|(name, line)| println!("{name}: {line}"));
    }
    if outcome.crashed {
        println!("a gateway ended by itself  BROKEN");
    }
    if let Some(path) = &day.json {
        std::fs::write(path, serde_json::to_string_pretty(&sites::json(&options, &outcome))?)?;
    }
    Ok(!outcome.report.broken.any() && !outcome.crashed)
}

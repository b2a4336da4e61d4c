//! `kelpcart-rig`: plays days on real gateways between stand-ins and exits non-zero when a rule is broken.

use clap::{Parser, Subcommand, ValueEnum};
use kelpcart_rig::keys::Authority;
use kelpcart_rig::link_emulator::LinkConditions;
use kelpcart_rig::plan::Plan;
use kelpcart_rig::sites::{self, Ledger, Options};
use kelpcart_rig::{cache_tier, fleet_discovery, fleet_plan, fleet_run};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "Plays days on real gateways between stand-ins on loopback; all servers are simulated.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Two sites with a slow, lossy link between them.
    Sites(Box<SitesArgs>),
    /// Two sites, the far one's gateways keeping copies of what they promise, and machines lost with their disks.
    Copies(Box<CopiesArgs>),
    /// A whole fleet that starts at once between stand-ins that can be swamped.
    Fleet(Box<FleetArgs>),
    /// Certificates for trying things out: an authority and one for each site named.
    Keys {
        /// The folder they are written to.
        folder: PathBuf,
        #[arg(required = true)]
        sites: Vec<String>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum SitesLedger {
    /// What is in doubt is never asked about.
    None,
    Memory,
    Disk,
}

#[derive(Clone, Copy, ValueEnum)]
enum Carrier {
    Streams,
    OneStream,
}

#[derive(Clone, Copy, ValueEnum)]
enum Congestion {
    Delay,
    Bbr,
    Cubic,
}

#[derive(clap::Args)]
struct SitesArgs {
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
    ledger: SitesLedger,
    #[arg(long, value_enum, default_value = "streams")]
    carrier: Carrier,
    #[arg(long, value_enum, default_value = "delay")]
    congestion: Congestion,
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
enum CopiesLedger {
    /// What is in doubt is never asked about.
    None,
    Memory,
    Disk,
    Copies,
}

#[derive(clap::Args)]
struct CopiesArgs {
    /// Gateways at both sites together; a third of them are near ones, where the clients are.
    #[arg(long, default_value_t = 9)]
    gateways: usize,
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Who keeps what was promised: several gateways, or each for itself.
    #[arg(long, value_enum, default_value = "copies")]
    ledger: CopiesLedger,
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

fn read_plan(path: &std::path::Path) -> Result<Plan, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Plan::parse(&text)?)
}

/// Plays a day between two sites and prints what became of each rule; a folder of the run's own is removed.
fn run_and_report(
    options: &Options,
    keep_folder: bool,
) -> Result<sites::Outcome, Box<dyn std::error::Error>> {
    let outcome = sites::run(options);
    if !keep_folder {
        // It is gone already where the run never came so far.
        _ = std::fs::remove_dir_all(&options.folder);
    }
    let outcome = outcome?;
    print!("{}", outcome.report.table());
    Ok(outcome)
}

fn run_copies(args: &CopiesArgs) -> RunResult {
    let local_gateways = (args.gateways / 3).max(1);
    let remote_gateways = args.gateways.saturating_sub(local_gateways);
    if !matches!(args.copies, 3 | 5) || !(args.copies..=64).contains(&remote_gateways) {
        return Err(
            "--copies is 3 or 5; two thirds of --gateways are far ones, as many as copies and 64 at most"
                .into(),
        );
    }
    if !(args.seconds >= 1.0 && args.rate > 0.0 && (0.0..=0.9).contains(&args.book)) {
        return Err("--seconds is at least 1, --rate above 0, --book 0 to 0.9".into());
    }
    let plan = match &args.plan {
        Some(path) => read_plan(path)?,
        None => {
            Plan::machine_losses(args.seed, args.seconds, args.lose_every, args.lose_for, remote_gateways)
        }
    };
    let temp_folder = std::env::temp_dir().join(format!("kelpcart-rig-{}", std::process::id()));
    let ledger = match args.ledger {
        CopiesLedger::None => Ledger::None,
        CopiesLedger::Memory => Ledger::Memory,
        CopiesLedger::Disk => Ledger::Disk,
        CopiesLedger::Copies => {
            Ledger::Copies { copies: args.copies, groups: args.groups, zones: args.zones, disk: args.disk }
        }
    };
    let options = Options {
        local_gateways,
        remote_gateways,
        links: 1,
        seconds: args.seconds,
        seed: args.seed,
        conditions: LinkConditions { delay_ms: args.delay_ms, loss: args.loss, ..LinkConditions::default() },
        replica_link: LinkConditions {
            delay_ms: args.between_ms,
            loss: args.between_loss,
            ..LinkConditions::default()
        },
        plan,
        rate: args.rate,
        media_share: (1.0 - args.book) / 4.0,
        book_share: args.book,
        objects: 2_000,
        ledger,
        carrier: "streams",
        congestion: "delay",
        purge_every_s: 5.0,
        purge_delay_s: 1.0,
        program: args.program.clone().unwrap_or_else(sites::default_program),
        folder: args.folder.clone().unwrap_or(temp_folder),
        memory_mb: args.memory_mb,
    };
    let outcome = run_and_report(&options, args.folder.is_some())?;
    println!(
        "{local_gateways} near and {remote_gateways} far gateways, {} lost with their disks",
        outcome.wiped
    );
    if let Some(most) = outcome.leaderless_s.last() {
        let median = outcome.leaderless_s[outcome.leaderless_s.len() / 2];
        let n = outcome.leaderless_s.len();
        println!(
            "{n} times a group lost its leader: the next one after {median:.3} s at the median, {most:.3} s at most"
        );
    }
    for (i, usage) in outcome.remote_usage.iter().enumerate() {
        println!("far gateway {i}: {:.2} s of CPU, {:.1} MB at most", usage.cpu_s, usage.peak_mb);
    }
    if args.counters {
        outcome.counters.iter().for_each(|(name, line)| println!("{name}: {line}"));
    }
    if outcome.crashed {
        println!("a gateway ended by itself  BROKEN");
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&sites::json(&options, &outcome))?)?;
    }
    Ok(!outcome.report.violations.any() && !outcome.crashed)
}

/// Remedies that can be left out.
#[derive(Clone, Copy, ValueEnum, PartialEq)]
enum Feature {
    /// Each gateway for itself, as without the feature.
    Fleet,
    /// Each asks the bulletin.
    Relays,
    Connections,
    Fills,
    FillsAtCache,
}

#[derive(clap::Args)]
struct FleetArgs {
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
    without: Vec<Feature>,
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

fn run_fleet(args: &FleetArgs) -> RunResult {
    if !(2..=400).contains(&args.gateways)
        || !(1..=200).contains(&args.caches)
        || args.parents + args.caches > 250
    {
        return Err("--gateways is 2 to 400, --caches 1 to 200, with --parents 250 at the most".into());
    }
    if args.seconds.is_nan() || args.seconds < 1.0 || args.rate.is_nan() || args.rate <= 0.0 {
        return Err("--seconds is at least 1, --rate above 0".into());
    }
    let fits = |sites: usize| {
        (1..=args.gateways).contains(&sites)
            && (1..=16).contains(&args.hubs)
            && (1..=32).contains(&args.streams)
            && args.foreign == 0
            && !args.without.contains(&Feature::Fleet)
    };
    if !args.sites.is_none_or(fits) {
        return Err(
            "--sites is 1 to the gateways, --hubs 1 to 16, --streams 1 to 32, none foreign, with fleet"
                .into(),
        );
    }
    let (hubs, streams) = (args.hubs, args.streams);
    let installation = args.sites.map(|sites| fleet_run::Installation { sites, hubs, streams });
    let plan = match &args.plan {
        Some(path) => fleet_plan::parse(
            &std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?,
        )?,
        None => Vec::new(),
    };
    let enabled = |w: Feature| !args.without.contains(&w);
    let temp_folder = std::env::temp_dir().join(format!("kelpcart-rig-{}", std::process::id()));
    let options = fleet_run::Options {
        gateways: args.gateways,
        caches: args.caches,
        parents: args.parents,
        seconds: args.seconds,
        seed: args.seed,
        rate: args.rate * args.gateways as f64,
        objects: args.objects.max(2),
        plan,
        conditions: LinkConditions { delay_ms: args.delay_ms, loss: args.loss, ..LinkConditions::default() },
        fleet: enabled(Feature::Fleet),
        relays: enabled(Feature::Relays),
        connections: enabled(Feature::Connections).then_some(args.connections),
        fills: enabled(Feature::Fills).then_some(1),
        fills_at_cache: enabled(Feature::FillsAtCache).then_some(args.fills_at_cache),
        foreign: args.foreign,
        extra_members: 0,
        installation,
        propagation_ms: args.told_ms.unwrap_or(if installation.is_some() {
            fleet_run::FEED_PROPAGATION_MS
        } else {
            0
        }),
        subnet_reserved: false,
        discovery_capacity: fleet_discovery::Capacity {
            connections_per_s: args.bulletin_connections,
            kb_per_s: args.bulletin_kb,
        },
        cache_capacity: cache_tier::Capacity {
            connections: args.bears_connections,
            cold_fills: args.bears_fills,
            cold_for: std::time::Duration::from_secs(20),
            down_for: std::time::Duration::from_secs(3),
        },
        memory_mb: args.memory_mb,
        program: args.program.clone().unwrap_or_else(sites::default_program),
        folder: args.folder.clone().unwrap_or_else(|| temp_folder.clone()),
    };
    let outcome = fleet_run::run(&options);
    if args.folder.is_none() {
        // It is gone already where the run never came so far.
        _ = std::fs::remove_dir_all(&temp_folder);
    }
    let outcome = outcome?;
    print!("{}", fleet_run::table(&options, &outcome));
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&fleet_run::json(&options, &outcome))?)?;
    }
    Ok(!fleet_run::failed(&outcome))
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Sites(args) => run_sites(&args),
        Command::Copies(args) => run_copies(&args),
        Command::Fleet(args) => run_fleet(&args),
        Command::Keys { folder, sites } => write_keys(&folder, &sites),
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

type RunResult = Result<bool, Box<dyn std::error::Error>>;

fn write_keys(folder: &std::path::Path, sites: &[String]) -> RunResult {
    std::fs::create_dir_all(folder)?;
    let authority = Authority::new()?;
    for site in sites {
        authority.write(folder, site)?;
    }
    Ok(true)
}

fn run_sites(args: &SitesArgs) -> RunResult {
    for (name, part) in [("loss", args.loss), ("duplicate", args.duplicate), ("reorder", args.reorder)] {
        if !(0.0..=1.0).contains(&part) {
            return Err(format!("--{name} is not between 0 and 1").into());
        }
    }
    if args.seconds.is_nan() || args.seconds < 1.0 || args.rate <= 0.0 || args.fars == 0 || args.links == 0 {
        return Err("--seconds, --rate, --fars and --links are at least 1".into());
    }
    let plan = match &args.plan {
        Some(path) => read_plan(path)?,
        None => {
            let dark = args.dark_at.map(|at| (at, args.dark_for));
            Plan::link_cuts(args.seed, args.seconds, args.cut_every, args.cut_for, dark)
        }
    };
    let temp_folder = std::env::temp_dir().join(format!("kelpcart-rig-{}", std::process::id()));
    let options = Options {
        seconds: args.seconds,
        seed: args.seed,
        conditions: LinkConditions {
            delay_ms: args.delay_ms,
            jitter_ms: args.jitter_ms,
            loss: args.loss,
            duplicate: args.duplicate,
            reorder: args.reorder,
            rate_kb: args.rate_kb,
            queue_kb: args.queue_kb,
            blocked: [false; 2],
        },
        plan,
        local_gateways: 1,
        replica_link: LinkConditions::default(),
        remote_gateways: args.fars,
        links: args.links,
        rate: args.rate,
        media_share: args.media,
        book_share: args.book,
        objects: args.objects.max(2),
        ledger: match args.ledger {
            SitesLedger::None => Ledger::None,
            SitesLedger::Memory => Ledger::Memory,
            SitesLedger::Disk => Ledger::Disk,
        },
        carrier: if matches!(args.carrier, Carrier::Streams) { "streams" } else { "one-stream" },
        congestion: match args.congestion {
            Congestion::Delay => "delay",
            Congestion::Bbr => "bbr",
            Congestion::Cubic => "cubic",
        },
        purge_every_s: args.purge_every,
        purge_delay_s: args.purge_late,
        program: args.program.clone().unwrap_or_else(sites::default_program),
        folder: args.folder.clone().unwrap_or(temp_folder),
        memory_mb: args.memory_mb,
    };
    let outcome = run_and_report(&options, args.folder.is_some())?;
    println!("{} purges, {} fills by the central store", outcome.purges, outcome.origin_fills);
    for usage in &outcome.local_usage {
        println!("near gateway: {:.2} s of CPU, {:.1} MB at most", usage.cpu_s, usage.peak_mb);
    }
    for (i, usage) in outcome.remote_usage.iter().enumerate() {
        println!("far gateway {i}: {:.2} s of CPU, {:.1} MB at most", usage.cpu_s, usage.peak_mb);
    }
    if let Some(at) = args.dark_at {
        let (from, to) = (at as usize, (at + args.dark_for) as usize);
        let before = outcome.report.share(5, from);
        let recovery = outcome.report.recovery_s(to, before, 0.95);
        let recovery = recovery.map_or("not in this run".to_owned(), |s| format!("{s} s after"));
        println!("before the dark time {before:.3}; 0.95 of that again: {recovery}");
    }
    if args.counters {
        outcome.counters.iter().for_each(|(name, line)| println!("{name}: {line}"));
    }
    if outcome.crashed {
        println!("a gateway ended by itself  BROKEN");
    }
    if let Some(path) = &args.json {
        std::fs::write(path, serde_json::to_string_pretty(&sites::json(&options, &outcome))?)?;
    }
    Ok(!outcome.report.violations.any() && !outcome.crashed)
}

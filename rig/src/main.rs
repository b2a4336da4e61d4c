//! `kelpcart-rig`: runs real gateways against simulated servers and exits with a non-zero status when an invariant is
//! violated.

use clap::{Parser, Subcommand, ValueEnum};
use kelpcart_rig::keys::Authority;
use kelpcart_rig::link_emulator::LinkConditions;
use kelpcart_rig::plan::Plan;
use kelpcart_rig::sites::{self, Ledger, Options};
use kelpcart_rig::{cache_tier, fleet_discovery, fleet_plan, fleet_run};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(about = "End-to-end test harness: runs real gateways against simulated servers on loopback.")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run two sites with a slow, lossy link between them.
    Sites(Box<SitesArgs>),
    /// Run two sites whose remote gateways replicate their ledger, and lose machines with their disks.
    Copies(Box<CopiesArgs>),
    /// Run a whole fleet, started at once, against simulated servers that can be overloaded.
    Fleet(Box<FleetArgs>),
    /// Write test certificates: an authority and one certificate for each named site.
    Keys {
        /// Folder to which the certificates are written.
        folder: PathBuf,
        /// Names of the sites.
        #[arg(required = true)]
        sites: Vec<String>,
    },
}

#[derive(Clone, Copy, ValueEnum)]
enum SitesLedger {
    /// The outcome of a lost hop is never asked for.
    None,
    /// Each remote gateway keeps its ledger in memory.
    Memory,
    /// Each remote gateway also keeps its ledger on disk.
    Disk,
}

#[derive(Clone, Copy, ValueEnum)]
enum Carrier {
    /// A QUIC stream for each hop.
    Streams,
    /// One QUIC stream for all hops.
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
    /// Duration of the run in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Delay of the link in each direction, in milliseconds.
    #[arg(long, default_value_t = 80.0)]
    delay_ms: f64,
    /// Maximum additional delay, in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    jitter_ms: f64,
    /// Fraction of datagrams lost in each direction.
    #[arg(long, default_value_t = 0.02)]
    loss: f64,
    /// Fraction of datagrams duplicated in each direction.
    #[arg(long, default_value_t = 0.0)]
    duplicate: f64,
    /// Fraction of datagrams reordered in each direction.
    #[arg(long, default_value_t = 0.0)]
    reorder: f64,
    /// Rate limit in each direction, in KB per second; 0 means unlimited.
    #[arg(long, default_value_t = 0.0)]
    rate_kb: f64,
    /// Queue in front of the rate limit, in KB.
    #[arg(long, default_value_t = 256.0)]
    queue_kb: f64,
    /// Fault plan (JSON file), in place of --cut-every, --cut-for, --dark-at and --dark-for.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Mean interval between short link outages, in seconds; 0 means none.
    #[arg(long, default_value_t = 0.0)]
    cut_every: f64,
    /// Duration of a short outage, in seconds.
    #[arg(long, default_value_t = 2.5)]
    cut_for: f64,
    /// Start of a long outage of all links, in seconds from the start.
    #[arg(long)]
    dark_at: Option<f64>,
    /// Duration of the long outage, in seconds.
    #[arg(long, default_value_t = 60.0)]
    dark_for: f64,
    /// Number of remote gateways.
    #[arg(long, default_value_t = 1)]
    fars: usize,
    /// Number of links to each remote gateway.
    #[arg(long, default_value_t = 1)]
    links: usize,
    /// Txns per second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Fraction of txns under the rule media.
    #[arg(long, default_value_t = 0.5)]
    media: f64,
    /// Fraction of txns under the rule book (unrepeatable writes).
    #[arg(long, default_value_t = 0.1)]
    book: f64,
    /// Number of objects that clients request.
    #[arg(long, default_value_t = 5_000)]
    objects: u64,
    /// Where the remote gateways keep their ledger.
    #[arg(long, value_enum, default_value = "memory")]
    ledger: SitesLedger,
    /// Whether hops between the sites use a QUIC stream each or share one.
    #[arg(long, value_enum, default_value = "streams")]
    carrier: Carrier,
    /// Congestion control of the links.
    #[arg(long, value_enum, default_value = "delay")]
    congestion: Congestion,
    /// Interval between purges, in seconds; 0 means none.
    #[arg(long, default_value_t = 3.0)]
    purge_every: f64,
    /// Delay until the remote site receives a purge, in seconds.
    #[arg(long, default_value_t = 2.0)]
    purge_late: f64,
    /// Memory limit of each gateway, in MB.
    #[arg(long, default_value_t = 96)]
    memory_mb: u64,
    /// Folder for the run's files, which is kept; by default a temporary folder that is removed afterwards.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Gateway executable; by default the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Also write the results to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Also print the gateways' counters at the end.
    #[arg(long)]
    counters: bool,
}

#[derive(Clone, Copy, ValueEnum, PartialEq)]
enum CopiesLedger {
    /// The outcome of a lost hop is never asked for.
    None,
    /// Each remote gateway keeps its ledger in memory.
    Memory,
    /// Each remote gateway also keeps its ledger on disk.
    Disk,
    /// The ledger is replicated over several remote gateways.
    Copies,
}

#[derive(clap::Args)]
struct CopiesArgs {
    /// Number of gateways at both sites; a third of them are at the local site, where the clients are.
    #[arg(long, default_value_t = 9)]
    gateways: usize,
    /// Duration of the run in seconds.
    #[arg(long, default_value_t = 60.0)]
    seconds: f64,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the ledger is kept: replicated over several remote gateways, or by each for itself.
    #[arg(long, value_enum, default_value = "copies")]
    ledger: CopiesLedger,
    /// Replicas of each group: 3 or 5.
    #[arg(long, default_value_t = 3)]
    copies: usize,
    /// Number of replica groups.
    #[arg(long, default_value_t = 2)]
    groups: u32,
    /// Number of zones over which the remote gateways are spread.
    #[arg(long, default_value_t = 3)]
    zones: usize,
    /// Replicas also write the outcomes of hops to a disk.
    #[arg(long)]
    disk: bool,
    /// Interval between losses of a remote machine with its disk, in seconds; 0 means none.
    #[arg(long, default_value_t = 20.0)]
    lose_every: f64,
    /// Time until a lost machine is started again, in seconds.
    #[arg(long, default_value_t = 4.0)]
    lose_for: f64,
    /// Fault plan (JSON file), in place of --lose-every and --lose-for.
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Txns per second.
    #[arg(long, default_value_t = 60.0)]
    rate: f64,
    /// Fraction of txns under the rule book (unrepeatable writes).
    #[arg(long, default_value_t = 0.4)]
    book: f64,
    /// Delay between the sites in each direction, in milliseconds.
    #[arg(long, default_value_t = 20.0)]
    delay_ms: f64,
    /// Fraction of datagrams lost between the sites in each direction.
    #[arg(long, default_value_t = 0.01)]
    loss: f64,
    /// Delay between the remote gateways in each direction, in milliseconds.
    #[arg(long, default_value_t = 0.3)]
    between_ms: f64,
    /// Fraction of datagrams lost between the remote gateways.
    #[arg(long, default_value_t = 0.0)]
    between_loss: f64,
    /// Memory limit of each gateway, in MB.
    #[arg(long, default_value_t = 96)]
    memory_mb: u64,
    /// Folder for the run's files, which is kept; by default a temporary folder that is removed afterwards.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Gateway executable; by default the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Also write the results to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Also print the gateways' counters at the end.
    #[arg(long)]
    counters: bool,
}

fn read_plan(path: &std::path::Path) -> Result<Plan, Box<dyn std::error::Error>> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok(Plan::parse(&text)?)
}

/// Runs two sites and prints the report; the folder is removed unless it is to be kept.
fn run_and_report(
    options: &Options,
    keep_folder: bool,
) -> Result<sites::Outcome, Box<dyn std::error::Error>> {
    let outcome = sites::run(options);
    if !keep_folder {
        // Fails if the run ended before it created the folder.
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
            "--copies must be 3 or 5; the remote two thirds of --gateways must be at least --copies and at most 64"
                .into(),
        );
    }
    if !(args.seconds >= 1.0 && args.rate > 0.0 && (0.0..=0.9).contains(&args.book)) {
        return Err("--seconds must be at least 1, --rate above 0, --book between 0 and 0.9".into());
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

/// Features of the fleet that can be disabled.
#[derive(Clone, Copy, ValueEnum, PartialEq)]
enum Feature {
    /// No fleet: each gateway runs on its own.
    Fleet,
    /// No relays: each gateway connects to the discovery service.
    Relays,
    /// No shared limit of connections.
    Connections,
    /// No shared limit of fills of one object.
    Fills,
    /// No shared limit of fills at one cache.
    FillsAtCache,
}

#[derive(clap::Args)]
struct FleetArgs {
    /// Number of gateways.
    #[arg(long, default_value_t = 50)]
    gateways: usize,
    /// Duration of the run in seconds.
    #[arg(long, default_value_t = 20.0)]
    seconds: f64,
    /// Seed of the random number generators.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of caches.
    #[arg(long, default_value_t = 24)]
    caches: usize,
    /// Number of parents.
    #[arg(long, default_value_t = 4)]
    parents: usize,
    /// Txns per second at each gateway.
    #[arg(long, default_value_t = 3.0)]
    rate: f64,
    /// Number of objects that clients request.
    #[arg(long, default_value_t = 2_000)]
    objects: u64,
    /// Fault plan (JSON file).
    #[arg(long)]
    plan: Option<PathBuf>,
    /// Delay between gateways in each direction, in milliseconds.
    #[arg(long, default_value_t = 0.3)]
    delay_ms: f64,
    /// Fraction of datagrams lost between gateways.
    #[arg(long, default_value_t = 0.0)]
    loss: f64,
    /// Feature to disable; may be given several times.
    #[arg(long, value_enum)]
    without: Vec<Feature>,
    /// Number of sites of one installation, each with a fleet of its own, joined by the feed; by default all gateways
    /// form one fleet.
    #[arg(long)]
    sites: Option<usize>,
    /// Number of machines reserved as hubs of the feed, with --sites.
    #[arg(long, default_value_t = 3)]
    hubs: usize,
    /// Number of discovery services with event numbers of their own, with --sites.
    #[arg(long, default_value_t = 1)]
    streams: usize,
    /// Time within which purges must have reached all gateways, in milliseconds: use 2000 if the plan breaks all
    /// connections to the discovery service. By default 0, and 650 with --sites.
    #[arg(long)]
    told_ms: Option<u64>,
    /// Number of gateways with another key, which form a fleet of their own with the same seeds.
    #[arg(long, default_value_t = 0)]
    foreign: usize,
    /// Limit of connections to one cache or parent, shared by all gateways.
    #[arg(long, default_value_t = 80)]
    connections: u32,
    /// Number of connections beyond which a cache or parent fails.
    #[arg(long, default_value_t = 100)]
    bears_connections: usize,
    /// Limit of objects that are filled through one cache at once, shared by all gateways.
    #[arg(long, default_value_t = 16)]
    fills_at_cache: u32,
    /// Number of concurrent fills beyond which a cold cache fails.
    #[arg(long, default_value_t = 32)]
    bears_fills: usize,
    /// Capacity of the discovery service, in connections per second.
    #[arg(long, default_value_t = 20.0)]
    bulletin_connections: f64,
    /// Capacity of the discovery service, in KB per second.
    #[arg(long, default_value_t = 1_024.0)]
    bulletin_kb: f64,
    /// Memory limit of each gateway, in MB.
    #[arg(long, default_value_t = 64)]
    memory_mb: u64,
    /// Folder for the run's files, which is kept; by default a temporary folder that is removed afterwards.
    #[arg(long)]
    folder: Option<PathBuf>,
    /// Gateway executable; by default the one beside this program.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Also write the results to this file as JSON.
    #[arg(long)]
    json: Option<PathBuf>,
}

fn run_fleet(args: &FleetArgs) -> RunResult {
    if !(2..=400).contains(&args.gateways)
        || !(1..=200).contains(&args.caches)
        || args.parents + args.caches > 250
    {
        return Err(
            "--gateways must be 2 to 400, --caches 1 to 200, --caches and --parents together at most 250"
                .into(),
        );
    }
    if args.seconds.is_nan() || args.seconds < 1.0 || args.rate.is_nan() || args.rate <= 0.0 {
        return Err("--seconds must be at least 1, --rate above 0".into());
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
            "--sites must be 1 to --gateways, --hubs 1 to 16, --streams 1 to 32, without --foreign and --without fleet"
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
        // Fails if the run ended before it created the folder.
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
            return Err(format!("--{name} must be between 0 and 1").into());
        }
    }
    if args.seconds.is_nan() || args.seconds < 1.0 || args.rate <= 0.0 || args.fars == 0 || args.links == 0 {
        return Err("--seconds, --fars and --links must be at least 1, --rate above 0".into());
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

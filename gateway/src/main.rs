//! Starts one gateway: reads the environment and the configuration, listens, runs until SIGTERM and ends when all
//! is answered; SIGHUP has the bulletin's address read again. Must never listen before the configuration is whole
//! and signals are heeded, nor elsewhere than it is told.

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use kelpcart_fleet::settings::Fleet as FleetFile;
use kelpcart_gateway::buffers::Pool;
use kelpcart_gateway::caches::{Bounds, Caches};
use kelpcart_gateway::clients::Front;
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::config::{self, Config};
use kelpcart_gateway::counters::Counters;
use kelpcart_gateway::discovery::{Alone, DiscoveryClient};
use kelpcart_gateway::dispatch_api::{Event, ResponderKeys};
use kelpcart_gateway::dispatcher::Dispatcher;
use kelpcart_gateway::feed;
use kelpcart_gateway::fleet::{Asker, Fleet, Means as FleetMeans};
use kelpcart_gateway::sites::{LinkContext, SiteLinks};
use kelpcart_gateway::{Tasks, logger};
use std::env;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;

/// Descriptors that neither clients nor hops may take: the listener, the bulletin, signals, standard streams.
const RESERVE: usize = 16;

fn main() -> ExitCode {
    logger::start();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("kelpcart: {why}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    // Before all else: what comes while the configuration is read must not end the process by its default.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup]);
    let signals = signals.map_err(|e| format!("signals: {e}"))?;
    let tasks: Tasks = Box::leak(Box::new(LocalExecutor::new()));
    let named = |name: &str| env::var(name).ok();
    if let Some(path) = named("KELPCART_FLEET") {
        let file = || read(&path, |text| FleetFile::read(text).map_err(|e| e.to_string()));
        let first = file()?;
        // Set aside for control: whatever else is configured for this machine, it takes no txns.
        if first.feed.as_ref().is_some_and(|f| f.control.is_some()) {
            let control = feed::control(tasks, first, signals, file);
            return async_io::block_on(tasks.run(control)).map_err(|why| format!("{path}: {why}"));
        }
    }
    let path = env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set")?;
    let mut config = read(&path, Config::read)?;
    if let Ok(listen) = env::var("NODE_LISTEN") {
        config.listen = listen.parse().map_err(|_| "NODE_LISTEN is not an address")?;
    }
    let listener = Async::<TcpListener>::bind(config.listen);
    let listener = listener.map_err(|e| format!("{}: {e}", config.listen))?;
    let (sites, fleet) = (named("KELPCART_SITES"), named("KELPCART_FLEET"));
    let files = Files { sites, fleet, copies: named("KELPCART_COPIES") };
    if files.copies.is_some() && files.sites.is_none() {
        return Err(
            "KELPCART_COPIES: copies are kept of what other sites send, and KELPCART_SITES names none".into(),
        );
    }
    async_io::block_on(tasks.run(run(tasks, &path, files, config, listener, signals)))
}

/// What the environment names beside the configuration.
struct Files {
    sites: Option<String>,
    fleet: Option<String>,
    copies: Option<String>,
}

fn read<T>(path: &str, what: impl FnOnce(&str) -> Result<T, String>) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| what(&text)).map_err(|e| format!("{path}: {e}"))
}

async fn run(
    tasks: Tasks,
    path: &str,
    files: Files,
    config: Config,
    listener: Async<TcpListener>,
    mut signals: Signals,
) -> Result<(), String> {
    let (clock, counters) = (Clock::start(), Rc::new(Counters::default()));
    let (dispatcher, events) = async_channel::unbounded();
    // Clients hold a third of the descriptors at most; some of theirs may still be closing.
    let clients = config.descriptor_limit / 3 + RESERVE / 2;
    let hops = config.descriptor_limit.saturating_sub(clients + RESERVE).max(1);
    let pool = Pool::new(config.memory_limit / 2);
    let bounds = Bounds { connect: config.settings.connect_timeout, idle: config.idle_timeout, most: hops };
    let caches = Caches::new(clock, Rc::clone(&pool), Rc::clone(&counters), bounds);
    caches.sweep(tasks);
    let (moved, moves) = async_channel::unbounded();
    let keys = ResponderKeys::default();
    let means = LinkContext {
        tasks,
        clock,
        pool: Rc::clone(&pool),
        counters: Rc::clone(&counters),
        dispatcher: dispatcher.clone(),
        keys: keys.clone(),
    };
    let whole = |text: &str| Ok(text.to_owned());
    let copies = files.copies.as_ref().map(|path| read(path, whole)).transpose()?;
    let start = |path: &String| read(path, |text| SiteLinks::start(means, text, copies.as_deref(), &config));
    let between = files.sites.as_ref().map(start).transpose()?;
    let of_fleet = FleetMeans {
        tasks,
        clock,
        counters: Rc::clone(&counters),
        dispatcher: dispatcher.clone(),
        caches: Rc::clone(&caches),
    };
    let join = |of: &String| {
        let known = read(path, config::known)?;
        read(of, |text| Fleet::start(of_fleet, text, &config, &known))
    };
    let fleet = files.fleet.as_ref().map(join).transpose()?;
    let address = config.bulletin;
    match (&fleet, fleet.as_ref().and_then(|f| f.feed.as_ref())) {
        (_, Some(feed)) => feed.follow(tasks, Some((address, moves))),
        (None, None) => {
            let subscriber = Alone {
                last: config.last_event,
                names: config.names.clone(),
                counters: Rc::clone(&counters),
                dispatcher: dispatcher.clone(),
            };
            let bulletin =
                DiscoveryClient { address, moves, clock, counters: Rc::clone(&counters), subscriber };
            tasks.spawn(bulletin.follow()).detach();
        }
        (Some(fleet), None) => {
            let subscriber = Asker(Rc::clone(fleet));
            let bulletin =
                DiscoveryClient { address, moves, clock, counters: Rc::clone(&counters), subscriber };
            tasks.spawn(bulletin.follow()).detach();
        }
    }
    let listens = listener.get_ref().local_addr().unwrap_or(config.listen);
    log::info!("{} listens on {listens}", config.name);
    let front = Front {
        tasks,
        clock,
        counters: Rc::clone(&counters),
        pool: Rc::clone(&pool),
        dispatcher: dispatcher.clone(),
        most: clients,
        connected: Rc::default(),
        keys,
        ending: Rc::default(),
    };
    tasks.spawn(front.clone().accept(listener)).detach();
    let mut work = Dispatcher::new(config, clock, tasks, caches, counters, (dispatcher.clone(), events));
    work.add_service(Rc::new(front));
    let rekeys = between.as_ref().map(|(between, _)| Rc::clone(between));
    if let Some((between, members)) = between {
        work.add(between, members);
    }
    if let Some(fleet) = &fleet {
        work.add_service(fleet.clone());
    }
    let told = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => _ = dispatcher.send(Event::DumpCounters).await,
                Ok(Signal::Hup) => {
                    match read(path, config::bulletin) {
                        Ok(address) => _ = moved.try_send(address),
                        Err(why) => log::warn!("{why}; the bulletin stays where it was"),
                    }
                    let copies = files.copies.as_ref().map(|of| read(of, whole));
                    rekeys.iter().for_each(|between| between.reload(copies.clone()));
                    if let Some((fleet, of)) = fleet.as_ref().zip(files.fleet.as_ref()) {
                        fleet.rekey(read(of, whole));
                    }
                }
                Ok(_) => _ = dispatcher.send(Event::Shutdown).await,
                Err(e) => log::warn!("signals: {e}"),
            }
        }
        future::pending().await
    };
    future::or(work.run(), told).await;
    Ok(())
}

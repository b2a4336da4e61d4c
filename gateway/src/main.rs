//! Entry point of the gateway: reads the environment and the configuration, listens, and runs until SIGTERM or SIGINT, then
//! exits once all txns are answered. SIGHUP reloads the discovery service's address and the fleet and copies files; SIGUSR1
//! logs the counters.
//!
//! Invariants: the listener is opened only after signal handlers are installed and the configuration is valid, and only at
//! the configured address.

use async_executor::LocalExecutor;
use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use kelpcart_fleet::settings::Fleet as FleetFile;
use kelpcart_gateway::buffers::Pool;
use kelpcart_gateway::caches::{Caches, ConnectionLimits};
use kelpcart_gateway::clients::{Frontend, InputBuffers};
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::config::{self, Config};
use kelpcart_gateway::counters::Counters;
use kelpcart_gateway::descriptors;
use kelpcart_gateway::discovery::{DiscoveryClient, DispatcherSubscriber};
use kelpcart_gateway::dispatch_api::{Event, ResponderKeys};
use kelpcart_gateway::dispatcher::Dispatcher;
use kelpcart_gateway::feed;
use kelpcart_gateway::fleet::{DiscoverySubscriber, Fleet, Resources as FleetResources};
use kelpcart_gateway::reload::{Reloader, Retry, read, read_text};
use kelpcart_gateway::sites::{LinkContext, SiteLinks};
use kelpcart_gateway::{Tasks, logger, memory};
use std::env;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;

/// A new file of the outcome log and its folder, while the file before is still open.
const OUTCOME_LOG_FILES: usize = 2;

fn main() -> ExitCode {
    logger::start();
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("kelpcart: {reason}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let inherited_descriptors = descriptors::open_count();
    // Installed first: the default action of a signal that arrives while the configuration is read would end the process.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup]);
    let signals = signals.map_err(|e| format!("cannot install signal handlers: {e}"))?;
    let tasks: Tasks = Box::leak(Box::new(LocalExecutor::new()));
    let variable = |name: &str| env::var(name).ok();
    if let Some(path) = variable("KELPCART_FLEET") {
        let parse = |text: &str| FleetFile::read(text).map_err(|e| e.to_string());
        let read_fleet_file = || read(&path, parse).map_err(String::from);
        let first = read_fleet_file()?;
        // A control machine serves no txns, whatever else is configured for it.
        if first.feed.as_ref().is_some_and(|f| f.control.is_some()) {
            let control = feed::run_control(tasks, first, signals, read_fleet_file);
            return async_io::block_on(tasks.run(control)).map_err(|reason| format!("{path}: {reason}"));
        }
    }
    let path = env::var("NODE_CONFIG").map_err(|_| "NODE_CONFIG is not set")?;
    let mut config = read(&path, Config::read)?;
    if let Ok(listen) = env::var("NODE_LISTEN") {
        config.listen = listen.parse().map_err(|_| "NODE_LISTEN is not a socket address")?;
    }
    let listener = Async::<TcpListener>::bind(config.listen);
    let listener = listener.map_err(|e| format!("cannot listen on {}: {e}", config.listen))?;
    let (sites, fleet) = (variable("KELPCART_SITES"), variable("KELPCART_FLEET"));
    let files = Files { sites, fleet, copies: variable("KELPCART_COPIES") };
    if files.copies.is_some() && files.sites.is_none() {
        return Err(
            "KELPCART_COPIES is set, but it needs KELPCART_SITES: copies are kept of txns from other sites"
                .into(),
        );
    }
    async_io::block_on(tasks.run(run(tasks, path, files, config, listener, signals, inherited_descriptors)))
}

/// Paths of the optional configuration files, from the environment.
struct Files {
    sites: Option<String>,
    fleet: Option<String>,
    copies: Option<String>,
}

/// How many descriptors clients and hops may use, now that all parts have started.
fn share_descriptors(
    configured: usize,
    inherited: Option<usize>,
    opened_later: usize,
) -> descriptors::Shares {
    // Where the system does not tell what is open, the least reserve applies.
    let (inherited, open) = inherited.zip(descriptors::open_count()).unwrap_or_default();
    let usage = descriptors::Usage { inherited, open, opened_later };
    let shares = descriptors::Shares::new(configured, descriptors::process_limit(), usage);
    log::debug!("descriptors: {configured} configured, {usage:?}, {shares:?}");
    shares
}

async fn run(
    tasks: Tasks,
    path: String,
    files: Files,
    config: Config,
    listener: Async<TcpListener>,
    mut signals: Signals,
    inherited_descriptors: Option<usize>,
) -> Result<(), String> {
    let (clock, counters) = (Clock::start(), Rc::new(Counters::default()));
    let (dispatcher, events) = async_channel::unbounded();
    let memory = memory::Shares::new(config.memory_limit);
    let pool = Pool::new(memory.bodies);
    let limits = ConnectionLimits {
        connect_timeout: config.settings.connect_timeout,
        idle_timeout: config.idle_timeout,
        max_connections: 1,
    };
    let caches = Caches::new(clock, Rc::clone(&pool), Rc::clone(&counters), limits);
    caches.spawn_idle_sweep(tasks);
    let (address_changed, address_changes) = async_channel::unbounded();
    let keys = ResponderKeys::default();
    let link_context = LinkContext {
        tasks,
        clock,
        pool: Rc::clone(&pool),
        counters: Rc::clone(&counters),
        dispatcher: dispatcher.clone(),
        keys: keys.clone(),
    };
    let copies = files.copies.as_deref().map(read_text).transpose()?;
    let start_sites =
        |path: &String| read(path, |text| SiteLinks::start(link_context, text, copies.as_deref(), &config));
    let between = files.sites.as_ref().map(start_sites).transpose()?;
    let fleet_means = FleetResources {
        tasks,
        clock,
        counters: Rc::clone(&counters),
        dispatcher: dispatcher.clone(),
        caches: Rc::clone(&caches),
    };
    let start_fleet = |fleet_path: &String| {
        let initial_events = read(&path, config::read_initial_events)?;
        read(fleet_path, |text| Fleet::start(fleet_means, text, &config, &initial_events))
    };
    let fleet = files.fleet.as_ref().map(start_fleet).transpose()?;
    let feed_connections = fleet.as_ref().and_then(|f| f.feed.as_ref()).map_or(0, |f| f.max_connections());
    let outcome_log_files = if files.copies.is_some() { OUTCOME_LOG_FILES } else { 0 };
    let opened_later = feed_connections.max(1) + outcome_log_files;
    let shares = share_descriptors(config.descriptor_limit, inherited_descriptors, opened_later);
    caches.set_max_connections(shares.hops);
    let address = config.discovery_address;
    match (&fleet, fleet.as_ref().and_then(|f| f.feed.as_ref())) {
        (_, Some(feed)) => feed.subscribe(tasks, Some((address, address_changes))),
        (None, None) => {
            let subscriber = DispatcherSubscriber {
                last_event: config.last_event,
                names: config.names.clone(),
                counters: Rc::clone(&counters),
                dispatcher: dispatcher.clone(),
            };
            let discovery = DiscoveryClient {
                address,
                address_changes,
                clock,
                counters: Rc::clone(&counters),
                subscriber,
            };
            tasks.spawn(discovery.run()).detach();
        }
        (Some(fleet), None) => {
            let subscriber = DiscoverySubscriber(Rc::clone(fleet));
            let discovery = DiscoveryClient {
                address,
                address_changes,
                clock,
                counters: Rc::clone(&counters),
                subscriber,
            };
            tasks.spawn(discovery.run()).detach();
        }
    }
    let local_address = listener.get_ref().local_addr().unwrap_or(config.listen);
    log::info!("{} listens on {local_address}", config.name);
    let frontend = Frontend {
        tasks,
        clock,
        counters: Rc::clone(&counters),
        pool: Rc::clone(&pool),
        buffers: InputBuffers::new(memory.input),
        dispatcher: dispatcher.clone(),
        max_clients: shares.clients,
        connected: Rc::default(),
        keys,
        shutdown_state: Rc::default(),
    };
    tasks.spawn(frontend.clone().accept(listener)).detach();
    let mut dispatcher_task =
        Dispatcher::new(config, clock, tasks, caches, Rc::clone(&counters), (dispatcher.clone(), events));
    dispatcher_task.add_service(Rc::new(frontend));
    let mut reloader = Reloader {
        clock,
        counters,
        config_path: path,
        address_changed,
        links: between.as_ref().map(|(links, _)| Rc::clone(links)),
        copies_path: files.copies,
        fleet: fleet.clone().zip(files.fleet),
        retry: Retry::default(),
    };
    if let Some((between, members)) = between {
        dispatcher_task.add_transport(between, members);
    }
    if let Some(fleet) = &fleet {
        dispatcher_task.add_service(fleet.clone());
    }
    let signal_handler = async {
        loop {
            let retry_due = async {
                reloader.retry_due().await;
                Some(Ok(Signal::Hup))
            };
            let Some(signal) = future::or(signals.next(), retry_due).await else { break };
            match signal {
                Ok(Signal::Usr1) => _ = dispatcher.send(Event::DumpCounters).await,
                Ok(Signal::Hup) => reloader.reload(),
                Ok(_) => _ = dispatcher.send(Event::Shutdown).await,
                Err(e) => log::warn!("cannot read a signal, ignored: {e}"),
            }
        }
        future::pending().await
    };
    future::or(dispatcher_task.run(), signal_handler).await;
    Ok(())
}

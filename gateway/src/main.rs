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
use kelpcart_gateway::clients::Frontend;
use kelpcart_gateway::clock::Clock;
use kelpcart_gateway::config::{self, Config};
use kelpcart_gateway::counters::Counters;
use kelpcart_gateway::discovery::{DiscoveryClient, DispatcherSubscriber};
use kelpcart_gateway::dispatch_api::{Event, ResponderKeys};
use kelpcart_gateway::dispatcher::Dispatcher;
use kelpcart_gateway::feed;
use kelpcart_gateway::fleet::{DiscoverySubscriber, Fleet, Resources as FleetResources};
use kelpcart_gateway::sites::{LinkContext, SiteLinks};
use kelpcart_gateway::{Tasks, logger};
use std::env;
use std::net::TcpListener;
use std::process::ExitCode;
use std::rc::Rc;

/// Descriptors reserved for the listener, the discovery connection, signals and the standard streams; neither clients nor
/// hops may use them.
const RESERVED_DESCRIPTORS: usize = 16;

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
    // Installed first: the default action of a signal that arrives while the configuration is read would end the process.
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup]);
    let signals = signals.map_err(|e| format!("cannot install signal handlers: {e}"))?;
    let tasks: Tasks = Box::leak(Box::new(LocalExecutor::new()));
    let variable = |name: &str| env::var(name).ok();
    if let Some(path) = variable("KELPCART_FLEET") {
        let read_fleet_file = || read(&path, |text| FleetFile::read(text).map_err(|e| e.to_string()));
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
    async_io::block_on(tasks.run(run(tasks, &path, files, config, listener, signals)))
}

/// Paths of the optional configuration files, from the environment.
struct Files {
    sites: Option<String>,
    fleet: Option<String>,
    copies: Option<String>,
}

fn read<T>(path: &str, parse: impl FnOnce(&str) -> Result<T, String>) -> Result<T, String> {
    let text = std::fs::read_to_string(path).map_err(|e| e.to_string());
    text.and_then(|text| parse(&text)).map_err(|e| format!("{path}: {e}"))
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
    // Clients get a third of the descriptors, and a margin for connections that are still closing.
    let max_clients = config.descriptor_limit / 3 + RESERVED_DESCRIPTORS / 2;
    let max_hop_connections =
        config.descriptor_limit.saturating_sub(max_clients + RESERVED_DESCRIPTORS).max(1);
    let pool = Pool::new(config.memory_limit / 2);
    let limits = ConnectionLimits {
        connect_timeout: config.settings.connect_timeout,
        idle_timeout: config.idle_timeout,
        max_connections: max_hop_connections,
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
    let unparsed = |text: &str| Ok(text.to_owned());
    let copies = files.copies.as_ref().map(|path| read(path, unparsed)).transpose()?;
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
        let initial_events = read(path, config::read_initial_events)?;
        read(fleet_path, |text| Fleet::start(fleet_means, text, &config, &initial_events))
    };
    let fleet = files.fleet.as_ref().map(start_fleet).transpose()?;
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
        dispatcher: dispatcher.clone(),
        max_clients,
        connected: Rc::default(),
        keys,
        shutdown_state: Rc::default(),
    };
    tasks.spawn(frontend.clone().accept(listener)).detach();
    let mut dispatcher_task =
        Dispatcher::new(config, clock, tasks, caches, counters, (dispatcher.clone(), events));
    dispatcher_task.add_service(Rc::new(frontend));
    let rekey_target = between.as_ref().map(|(between, _)| Rc::clone(between));
    if let Some((between, members)) = between {
        dispatcher_task.add_transport(between, members);
    }
    if let Some(fleet) = &fleet {
        dispatcher_task.add_service(fleet.clone());
    }
    let signal_handler = async {
        while let Some(signal) = signals.next().await {
            match signal {
                Ok(Signal::Usr1) => _ = dispatcher.send(Event::DumpCounters).await,
                Ok(Signal::Hup) => {
                    match read(path, config::read_discovery_address) {
                        Ok(address) => _ = address_changed.try_send(address),
                        Err(reason) => log::warn!(
                            "reload failed: {reason}; the discovery service's address stays where it was"
                        ),
                    }
                    let copies = files.copies.as_ref().map(|path| read(path, unparsed));
                    rekey_target.iter().for_each(|between| between.reload(copies.clone()));
                    if let Some((fleet, path)) = fleet.as_ref().zip(files.fleet.as_ref()) {
                        fleet.rekey(read(path, unparsed));
                    }
                }
                Ok(_) => _ = dispatcher.send(Event::Shutdown).await,
                Err(e) => log::warn!("cannot read a signal, ignored: {e}"),
            }
        }
        future::pending().await
    };
    future::or(dispatcher_task.run(), signal_handler).await;
    Ok(())
}

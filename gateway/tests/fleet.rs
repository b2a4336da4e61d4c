//! Fleets of gateway processes on loopback, between simulated servers that can be overloaded, with faults on the link
//! between every pair. The tests run one at a time, since each uses the same loopback addresses.

mod common;

use common::held;
use kelpcart_fleet::node::{Node as Member, Output};
use kelpcart_fleet::settings::Fleet;
use kelpcart_fleet::wire::{MemberRecord, MemberState, Payload, ipv4_and_port};
use kelpcart_gateway::clock::Clock;
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Node};
use kelpcart_rig::fleet_plan::{Event, Fault};
use kelpcart_rig::fleet_run::{self, Installation, Options, Outcome};
use kelpcart_rig::switch;
use serde_json::json;
use std::net::UdpSocket;
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

static RUN_LOCK: Mutex<()> = Mutex::new(());

fn exclusive() -> MutexGuard<'static, ()> {
    // A test that panicked has ended its processes, so a poisoned lock does no harm.
    RUN_LOCK.lock().unwrap_or_else(|e| e.into_inner())
}

fn event(at: f64, lasts: f64, what: Fault) -> Event {
    Event { at, lasts, what }
}

/// Runs a fleet; no invariant may be violated and no process may end by itself.
fn run_fleet(n: usize, seconds: f64, plan: Vec<Event>, change: impl FnOnce(&mut Options)) -> Outcome {
    let _exclusive = exclusive();
    run_fleet_locked(n, seconds, plan, change)
}

fn run_fleet_locked(n: usize, seconds: f64, plan: Vec<Event>, change: impl FnOnce(&mut Options)) -> Outcome {
    let folder = std::env::temp_dir().join(format!("kelpcart-fleet-{}", std::process::id()));
    let mut options =
        Options::small(n, seconds, PathBuf::from(env!("CARGO_BIN_EXE_kelpcart")), folder.clone());
    options.plan = plan;
    change(&mut options);
    let outcome = fleet_run::run(&options).unwrap();
    assert!(!fleet_run::failed(&outcome), "{}", fleet_run::table(&options, &outcome));
    _ = std::fs::remove_dir_all(folder);
    outcome
}

fn served(outcome: &Outcome, from: usize, to: usize) -> f64 {
    outcome.report.share(from, to)
}

/// The values of a counter on all gateways that are still running.
fn counter(outcome: &Outcome, name: &str) -> Vec<f64> {
    outcome.counters.iter().filter_map(|c| c.get(name).copied()).collect()
}

#[test]
fn a_simultaneous_start_does_not_overload_discovery_that_is_down() {
    let plan = vec![event(0.0, 5.0, Fault::BulletinDown)];
    let outcome = run_fleet(16, 11.0, plan.clone(), |_| ());
    // Ten attempts per second of all gateways together, and the first ones.
    assert!(
        outcome.discovery.refused <= 60 && outcome.discovery.connections <= 12,
        "{:?}",
        outcome.discovery
    );
    assert!(served(&outcome, 8, 11) > 0.7, "{}", served(&outcome, 8, 11));
    // Without the fleet each gateway connects for itself.
    let without = run_fleet(16, 6.0, plan, |o| o.fleet = false);
    assert!(
        without.discovery.refused > 3 * outcome.discovery.refused,
        "{:?} against {:?}",
        without.discovery,
        outcome.discovery
    );
}

#[test]
fn discovery_that_dies_in_the_middle_of_the_list_is_contacted_again() {
    let plan = vec![event(0.0, 3.0, Fault::BulletinDies(700))];
    let outcome = run_fleet(12, 10.0, plan, |_| ());
    assert!(served(&outcome, 7, 10) > 0.7, "{}", served(&outcome, 7, 10));
    assert!(counter(&outcome, "fleet list number").iter().all(|no| *no == 1.0));
}

#[test]
fn no_purge_is_lost_when_discovery_subscribers_are_killed_twice_in_a_row() {
    let mut plan = vec![event(4.0, 1.0, Fault::KillAskers), event(6.5, 1.0, Fault::KillAskers)];
    plan.extend((0..20).map(|i| event(4.1 + f64::from(i) * 0.3, 0.0, Fault::Purge)));
    // A gateway whose connections all broke counts as informed 2 s later.
    let outcome = run_fleet(16, 12.0, plan, |o| o.propagation_ms = 2_000);
    assert!(
        counter(&outcome, "fleet list number").iter().all(|no| *no == 21.0),
        "{:?}",
        counter(&outcome, "fleet list number")
    );
    assert!(outcome.discovery.connections <= 30, "{:?}", outcome.discovery);
}

#[test]
fn discovery_subscribers_stopped_for_a_while_do_not_pass_old_lists_for_fresh() {
    let mut plan = vec![event(4.0, 4.0, Fault::StopAskers)];
    plan.extend((0..8).map(|i| event(4.5 + f64::from(i) * 0.4, 0.0, Fault::Purge)));
    // A gateway that was stopped for 4 s can't know what was purged meanwhile.
    let outcome = run_fleet(16, 11.0, plan, |o| o.propagation_ms = 4_000);
    assert!(
        counter(&outcome, "fleet list number").iter().all(|no| *no == 9.0),
        "{:?}",
        counter(&outcome, "fleet list number")
    );
    assert_eq!(counter(&outcome, "fleet lies").iter().sum::<f64>(), 0.0);
}

#[test]
fn a_partition_heals_and_a_member_that_receives_nothing_affects_no_other() {
    let mut plan = vec![event(4.0, 4.0, Fault::Cut(0.5)), event(9.0, 2.0, Fault::Deaf(3))];
    plan.extend((0..3).map(|i| event(5.0 + f64::from(i) * 0.4, 0.0, Fault::Purge)));
    // Gateways that are cut off can't know what was purged.
    let outcome = run_fleet(14, 17.0, plan, |o| o.propagation_ms = 8_000);
    assert!(
        counter(&outcome, "fleet list number").iter().all(|no| *no == 4.0),
        "{:?}",
        counter(&outcome, "fleet list number")
    );
    assert!(served(&outcome, 14, 17) > 0.7, "{}", served(&outcome, 14, 17));
}

#[test]
fn seven_in_ten_killed_while_one_cache_in_eight_is_bad_and_a_purge_at_the_start() {
    let plan = vec![
        event(0.0, 0.0, Fault::Purge),
        event(4.0, 1.0, Fault::Kill(0.7)),
        event(4.0, 4.0, Fault::Bad(8)),
        event(4.5, 0.0, Fault::Purge),
    ];
    // The killed gateways may include all that were connected to discovery.
    let outcome = run_fleet(16, 12.0, plan, |o| o.propagation_ms = 2_000);
    assert!(
        counter(&outcome, "fleet members live").iter().all(|n| *n == 16.0),
        "{:?}",
        counter(&outcome, "fleet members live")
    );
    assert!(served(&outcome, 9, 12) > 0.7, "{}", served(&outcome, 9, 12));
    assert!(outcome.caches.values().all(|c| c.fallen == 0));
}

#[test]
fn keys_change_during_a_start_and_a_rolling_restart() {
    let plan = vec![event(0.2, 3.0, Fault::Rekey), event(4.0, 5.0, Fault::Roll)];
    let outcome = run_fleet(10, 15.0, plan, |_| ());
    let live = counter(&outcome, "fleet members live");
    assert!(live.len() == 10 && live.iter().all(|n| *n >= 10.0), "{live:?}");
    assert!(served(&outcome, 13, 15) > 0.7, "{}", served(&outcome, 13, 15));
}

#[test]
fn two_fleets_with_the_same_seeds_and_other_keys_stay_apart() {
    let outcome = run_fleet(12, 9.0, Vec::new(), |o| o.foreign = 4);
    let mut live = counter(&outcome, "fleet members live");
    live.sort_by(f64::total_cmp);
    assert!(live[11] <= 8.0 && live[8..].iter().all(|n| *n == 8.0), "{live:?}");
    assert!(counter(&outcome, "fleet datagrams refused").iter().sum::<f64>() > 0.0);
}

/// Each gateway is the lessor of a third of the budgets, and the others want the units that it holds all the time.
#[test]
fn a_lessor_goes_on_while_it_closes_contended_connections() {
    let outcome = run_fleet(3, 6.0, Vec::new(), |o| (o.connections, o.rate, o.caches) = (Some(2), 150.0, 6));
    assert!(counter(&outcome, "fleet units wanted").iter().sum::<f64>() > 100.0);
    assert!(served(&outcome, 2, 6) > 0.3, "{}", served(&outcome, 2, 6));
}

#[test]
fn most_of_a_fleet_gone_for_good_leaves_the_rest_serving() {
    let plan = vec![event(5.0, 100.0, Fault::Kill(0.75))];
    let outcome = run_fleet(20, 13.0, plan, |_| ());
    assert!(served(&outcome, 0, 13) > 0.1);
    assert_eq!(outcome.counters.len(), 5);
    assert!(
        counter(&outcome, "fleet list age us").iter().all(|us| *us < 3e6),
        "{:?}",
        counter(&outcome, "fleet list age us")
    );
}

#[test]
fn disabled_it_has_no_thread_socket_or_table_and_enabled_one_socket() {
    let _exclusive = exclusive();
    let folder = std::env::temp_dir().join(format!("kelpcart-fleet-off-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let bulletin = DiscoveryServer::start(1).unwrap();
    let config = |name| {
        let node =
            Node { name, zone: "hub", discovery: bulletin.address, endpoints: &[], memory_mb: 64, seed: 1 };
        fleet::config(&node)
    };
    let program = PathBuf::from(env!("CARGO_BIN_EXE_kelpcart"));
    let off = fleet::Gateway::start(&program, &folder, &config("off"), None).unwrap();
    let listen = fleet::free_udp_address().unwrap().to_string();
    let file = json!({"fleet": "one", "gateway": "on", "listen": listen, "seeds": [listen],
        "keys": [{"id": 1, "secret": "ab".repeat(32)}]});
    let on = fleet::Process::spawn(&program, &folder, "on", &config("on"), Some(&file)).unwrap();
    let begun = Instant::now();
    while !on.log().contains(" listens on ") {
        assert!(begun.elapsed() < Duration::from_secs(10), "{}", on.log());
        thread::sleep(Duration::from_millis(10));
    }
    let ((threads, sockets), (with_threads, with_sockets)) = (held(off.id()), held(on.id()));
    assert_eq!((sockets, with_sockets, with_threads), (0, 1, threads));
    let counters = off.counters();
    assert!(!counters.is_empty() && !counters.contains("fleet") && !counters.contains("feed"), "{counters}");
    // An invalid file ends the start and names the field.
    let mut bad = file.clone();
    bad["keys"] = json!([]);
    let mut wrong = fleet::Process::spawn(&program, &folder, "wrong", &config("wrong"), Some(&bad)).unwrap();
    let begun = Instant::now();
    while !wrong.has_exited() && begun.elapsed() < Duration::from_secs(10) {
        thread::sleep(Duration::from_millis(10));
    }
    assert!(wrong.has_exited() && wrong.log().contains("keys: must have 1 to 4 entries"), "{}", wrong.log());
    _ = std::fs::remove_dir_all(folder);
}

#[test]
fn a_day_of_two_sites_on_the_feed_with_steady_purges_keeps_all_invariants() {
    let size = Installation { sites: 2, hubs: 2, streams: 2 };
    let outcome = run_fleet(12, 9.0, vec![event(2.0, 5.0, Fault::Purges(40.0))], |o| {
        (o.installation, o.propagation_ms, o.objects) = (Some(size), fleet_run::FEED_PROPAGATION_MS, 20);
    });
    let after = outcome.after_purge;
    assert!(after.purges == 200 && after.reads > 50, "{after:?}");
    assert!(counter(&outcome, "fleet members live").iter().all(|n| *n == 6.0));
    let last: Vec<f64> = outcome.discovery_by_stream.iter().map(|l| l.0 as f64).collect();
    assert_eq!(last.iter().sum::<f64>(), 201.0);
    for (stream, last) in last.iter().enumerate() {
        let positions = counter(&outcome, &format!("fleet feed position {stream}"));
        assert!(
            positions.len() == 12 && positions.iter().all(|n| n == last),
            "{stream}: {positions:?} of {last}"
        );
        let name = format!("fleet feed done everywhere {stream}");
        let done: Vec<f64> = outcome.hub_counters.iter().filter_map(|c| c.get(&name).copied()).collect();
        assert_eq!(done, [*last; 2]);
    }
}

/// A member with the fleet's key that declares all others dead and replays its own old datagrams.
#[test]
fn a_member_that_lies_and_replays_does_no_harm() {
    let _exclusive = exclusive();
    switch::next_subnet();
    let file = Fleet::read(
        &json!({"fleet": "rig", "gateway": "liar", "listen": "127.0.0.1:7699",
            "seeds": [switch::advertised_address(0).to_string()], "keys": [{"id": 1, "secret": "01".repeat(32)}]})
        .to_string(),
    )
    .unwrap();
    let hostile = thread::spawn(move || {
        let clock = Clock::start();
        let socket = UdpSocket::bind(switch::bind_address(10)).unwrap();
        let mut node = Member::new(
            &Fleet { advertise: Some(switch::advertised_address(10)), ..file },
            7,
            7,
            clock.now(),
            0,
            &[],
        )
        .unwrap();
        let (begun, mut bytes, mut old, mut last_lie) =
            (Instant::now(), [0; 2_048], Vec::new(), Instant::now());
        let mut lies_sent = 0;
        while begun.elapsed() < Duration::from_secs(11) {
            socket.set_read_timeout(Some(Duration::from_millis(5))).unwrap();
            if let Ok((n, from)) = socket.recv_from(&mut bytes) {
                node.handle_datagram(clock.now(), from, &bytes[..n]);
            }
            node.tick(clock.now());
            if last_lie.elapsed() > Duration::from_millis(300) {
                last_lie = Instant::now();
                let others: Vec<_> = node.members.others().map(|(n, m)| (n.to_string(), m.clone())).collect();
                let claims: Vec<Payload> = others
                    .iter()
                    .map(|(name, m)| {
                        let (ip, port) = ipv4_and_port(m.address);
                        let (run, incarnation) = (m.run, m.incarnation + 1);
                        let state = MemberState::Dead as i32;
                        Payload::Update(MemberRecord {
                            name: name.clone(),
                            ip,
                            port,
                            run,
                            incarnation,
                            state,
                            reported_by: "liar".into(),
                        })
                    })
                    .collect();
                lies_sent += claims.len();
                others.iter().for_each(|(name, _)| node.members.send(name, claims.clone()));
                node.tick(clock.now());
            }
            while let Some(out) = node.poll() {
                if let Output::Datagram(to, bytes) = out {
                    _ = socket.send_to(&bytes, to);
                    old.push((to, bytes));
                }
            }
            // Replays the datagrams that it sent.
            for (to, bytes) in old.iter().rev().take(20) {
                _ = socket.send_to(bytes, *to);
            }
            old.truncate(2_000);
        }
        lies_sent
    });
    let outcome =
        run_fleet_locked(10, 12.0, Vec::new(), |o| (o.extra_members, o.subnet_reserved) = (1, true));
    let lies_sent = hostile.join().unwrap();
    assert!(lies_sent > 0, "the hostile member never joined");
    assert!(counter(&outcome, "fleet falsely gone").iter().all(|n| *n == 0.0));
    assert!(served(&outcome, 6, 12) > 0.7, "{}", served(&outcome, 6, 12));
}

//! The fleet's core in simulated time: difficult cases one by one, and random schedules with all invariants checked
//! after every step. `FLEET_STEPS` (seconds of schedule) and `FLEET_SEEDS` make the random part longer.

use kelpcart_fleet::lease::Decision;
use kelpcart_fleet::node::Phase;
use kelpcart_fleet::wire::BudgetKind;
use kelpcart_scale::fleet_net::{Net, ms};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::Rng;
use std::sync::atomic::{AtomicU64, Ordering};

const DEFAULT_SETTINGS: fn(usize, &mut serde_json::Value) = |_, _| ();

#[test]
fn a_simultaneous_start_leaves_few_discovery_connections() {
    let mut net = Net::new(60, 1, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(5_000));
    net.check_delivered().unwrap();
    net.check_order().unwrap();
    assert!(net.connections <= 9, "{} connections", net.connections);
    net.run_for(ms(15_000));
    assert_eq!(net.live_view_range(), (60, 60));
    assert!(net.live().into_iter().filter(|&i| net.node(i).wants_discovery()).count() == 3);
}

#[test]
fn discovery_down_at_the_start_is_not_overloaded() {
    let mut net = Net::new(60, 2, DEFAULT_SETTINGS);
    net.discovery_up = false;
    net.start_all();
    net.run_for(ms(10_000));
    // The limit is ten attempts per second of all gateways together.
    assert!(net.attempts <= 110, "{} attempts", net.attempts);
    net.discovery_up = true;
    net.run_for(ms(5_000));
    net.check_delivered().unwrap();
    net.check_order().unwrap();
}

#[test]
fn discovery_subscribers_killed_twice_in_a_row_are_replaced() {
    let mut net = Net::new(40, 3, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(8_000));
    for _ in 0..2 {
        let subscribers: Vec<usize> =
            net.live().into_iter().filter(|&i| net.node(i).wants_discovery()).collect();
        assert!(!subscribers.is_empty());
        subscribers.into_iter().for_each(|i| net.kill(i));
        let no = net.purge(7);
        net.run_for(ms(12_000));
        assert_eq!(net.events.len() as u64, no);
        net.check_delivered().unwrap();
    }
    net.check_order().unwrap();
}

#[test]
fn a_purge_spreads_fast_although_one_relay_on_each_level_dies() {
    let mut net = Net::new(120, 4, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(10_000));
    let depth = |net: &Net, i: usize| net.node(i).relay.heartbeat(net.sim.now).depth;
    let deepest = net.live().into_iter().map(|i| depth(&net, i)).max().unwrap();
    assert!((2..=5).contains(&deepest), "{deepest}");
    for level in 0..deepest {
        let one = net.live().into_iter().find(|&i| depth(&net, i) == level).unwrap();
        net.kill(one);
    }
    let (at, no) = (net.sim.now, net.purge(9));
    net.run_for(ms(500));
    net.check_delivered().unwrap();
    let late = net.live().into_iter().map(|i| net.received(i).iter().find(|h| h.0 == no).unwrap().2 - at);
    let worst = late.max().unwrap();
    assert!(worst < ms(250), "{} ms", worst.as_micros() / 1_000);
}

#[test]
fn a_member_that_declares_all_others_dead_is_ignored() {
    use kelpcart_fleet::wire::{MemberRecord, MemberState, Payload, ipv4_and_port};
    let mut net = Net::new(20, 5, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(12_000));
    for _ in 0..20 {
        let claims: Vec<MemberRecord> = (1..20)
            .map(|i| {
                let k = net.node(0).members.get(&format!("g{i}")).unwrap();
                let (ip, port) = ipv4_and_port(k.address);
                MemberRecord {
                    name: format!("g{i}"),
                    ip,
                    port,
                    run: k.run,
                    incarnation: k.incarnation + 1,
                    state: MemberState::Dead as i32,
                    reported_by: "g0".to_owned(),
                }
            })
            .collect();
        net.with_node(0, |n, now| {
            for to in 1..20 {
                n.members.send(&format!("g{to}"), claims.iter().cloned().map(Payload::Update).collect());
            }
            n.tick(now);
        });
        net.run_for(ms(1_000));
        assert_eq!(net.live_view_range(), (20, 20));
    }
    let ignored: u64 = (1..20).map(|i| net.node(i).members.counts.claims_ignored).sum();
    assert!(ignored > 0, "the lying member's claims are still accepted");
}

#[test]
fn stopped_processes_do_not_declare_others_dead() {
    let mut net = Net::new(40, 6, DEFAULT_SETTINGS);
    net.sim.loss = 0.1;
    net.start_all();
    net.run_for(ms(12_000));
    for round in 0..5 {
        let stopped: Vec<usize> = (0..4).map(|i| (round * 4 + i) % 40).collect();
        stopped.iter().for_each(|&i| net.sim.set_stopped(i, true));
        net.run_for(ms(2_000));
        stopped.iter().for_each(|&i| net.sim.set_stopped(i, false));
        net.run_for(ms(3_000));
    }
    let declared_dead: u64 = (0..40).map(|i| net.node(i).members.counts.declared_dead).sum();
    assert_eq!(declared_dead, 0);
    net.check_delivered().unwrap();
}

#[test]
fn two_partitions_merge_again() {
    let mut net = Net::new(24, 7, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(10_000));
    let side = |i: usize| i % 2;
    for a in 0..24 {
        for b in 0..24 {
            if side(a) != side(b) {
                net.sim.down_links.insert((a, b));
            }
        }
        if side(a) == 1 {
            net.cut_from_discovery.insert(a);
        }
    }
    net.run_for(ms(25_000));
    assert!(net.live_view_range().1 <= 13, "{:?}", net.live_view_range());
    // The partition without discovery keeps to its share of the rate and knows that its list is old.
    let odd: Vec<usize> = (0..24).filter(|i| i % 2 == 1).collect();
    assert!(odd.iter().all(|&i| !net.node(i).relay.is_fresh(net.sim.now)));
    let before = net.attempts;
    net.run_for(ms(10_000));
    assert!(net.attempts - before <= 110, "{}", net.attempts - before);
    net.sim.down_links.clear();
    net.cut_from_discovery.clear();
    net.purge(3);
    net.run_for(ms(20_000));
    net.check_delivered().unwrap();
    net.check_order().unwrap();
    assert_eq!(net.live_view_range(), (24, 24));
}

#[test]
fn a_one_way_partition_affects_no_other_member() {
    let mut net = Net::new(20, 8, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(10_000));
    // g5 receives nothing, but what it sends arrives.
    for i in 0..20 {
        net.sim.down_links.insert((i, 5));
    }
    net.run_for(ms(20_000));
    for i in (0..20).filter(|i| *i != 5) {
        let live = net.node(i).members.live();
        assert!(live >= 19, "g{i} sees {live}");
    }
    net.sim.down_links.clear();
    net.run_for(ms(15_000));
    assert_eq!(net.live_view_range(), (20, 20));
}

#[test]
fn replayed_datagrams_change_nothing() {
    let mut net = Net::new(16, 9, DEFAULT_SETTINGS);
    net.sim.capture_limit = 5_000;
    net.start_all();
    net.run_for(ms(6_000));
    net.sim.capture_limit = 0;
    // One is gone for good, one comes back with a new run.
    net.kill(15);
    net.kill(14);
    net.run_for(ms(12_000));
    net.start(14);
    net.run_for(ms(8_000));
    assert_eq!(net.live_view_range(), (15, 15));
    let old = std::mem::take(&mut net.sim.captured);
    for (from, to, bytes) in old {
        if to < 14 {
            net.sim.send(from, to, &bytes);
        }
    }
    net.run_for(ms(3_000));
    assert_eq!(net.live_view_range(), (15, 15));
    let replays: u64 = net.live().into_iter().map(|i| net.node(i).members.counts.replays).sum();
    assert!(replays > 100, "{replays}");
}

#[test]
fn a_fleet_with_other_keys_and_the_same_seeds_is_ignored() {
    let mut net = Net::new(16, 10, |i, v| {
        if i >= 8 {
            v["keys"][0]["secret"] = "29".repeat(32).into();
        }
    });
    net.start_all();
    net.run_for(ms(10_000));
    for i in 0..8 {
        let names: Vec<&str> = net.node(i).members.names().collect();
        assert!(names.len() == 8 && names.iter().all(|n| n[1..].parse::<usize>().unwrap() < 8), "{names:?}");
    }
}

#[test]
fn keys_can_change_during_a_start() {
    let mut net = Net::new(30, 11, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(300));
    let key = |id: u32, byte: &str| kelpcart_fleet::settings::Key { id, secret: byte.repeat(32) };
    let (old, new) = (key(1, "17"), key(2, "33"));
    for step in [[old.clone(), new.clone()].to_vec(), [new.clone(), old].to_vec(), vec![new]] {
        for i in 0..30 {
            let step = step.clone();
            assert!(net.with_node(i, |n, _| n.rekey(&step)));
            net.run_for(ms(20));
        }
    }
    net.run_for(ms(15_000));
    net.check_delivered().unwrap();
    assert_eq!(net.live_view_range(), (30, 30));
    assert!(!net.with_node(0, |n, _| n.rekey(&[])));
}

#[test]
fn a_relay_that_invents_or_withholds_events_is_detected() {
    use kelpcart_fleet::wire::{Heartbeat, Payload};
    let mut net = Net::new(40, 12, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(10_000));
    let liar = net.live().into_iter().find(|&i| net.node(i).wants_discovery()).unwrap();
    let version = net.events.len() as u64 + 1;
    // It claims that c1 was removed, which discovery never reported, and withholds the real event.
    let invented_event = format!(
        "{{\"no\":{version},\"roster\":{{\"index\":0,\"snapshot\":false,\"endpoints\":[{{\"name\":\"c1\",\"status\":\"removed\"}}]}}}}\n"
    );
    let names: Vec<String> = (0..40).map(|i| format!("g{i}")).collect();
    net.with_node(liar, |n, now| {
        let pulse = Heartbeat {
            version,
            digest: 77,
            age_us: 0,
            depth: 0,
            after: version - 1,
            lines: invented_event.clone().into_bytes(),
            warm: true,
        };
        names.iter().for_each(|to| n.members.send(to, vec![Payload::Heartbeat(pulse.clone())]));
        n.tick(now);
    });
    net.run_for(ms(50));
    net.purge(5);
    net.run_for(ms(8_000));
    net.check_delivered().unwrap();
    let digest = net.node(liar).relay.list.digest();
    for i in net.live() {
        assert_eq!(net.node(i).relay.list.digest(), digest, "g{i} keeps the invented event");
    }
}

#[test]
fn a_relay_that_was_stopped_does_not_pass_for_fresh() {
    let mut net = Net::new(40, 13, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(10_000));
    let stopped: Vec<usize> = net.live().into_iter().filter(|&i| net.node(i).wants_discovery()).collect();
    stopped.iter().for_each(|&i| net.sim.set_stopped(i, true));
    net.run_for(ms(1_000));
    net.purge(4);
    net.run_for(ms(12_000));
    net.check_delivered().unwrap();
    stopped.iter().for_each(|&i| net.sim.set_stopped(i, false));
    let no = net.purge(5);
    net.run_for(ms(8_000));
    net.check_delivered().unwrap();
    net.check_order().unwrap();
    assert_eq!(no, net.events.len() as u64);
}

#[test]
fn a_single_start_in_a_warm_fleet_is_not_delayed() {
    let mut net =
        Net::new(50, 14, |_, v| v["budgets"] = serde_json::json!({"fills": 1, "warming_ms": 5_000}));
    (0..49).for_each(|i| net.start(i));
    net.run_for(ms(14_000));
    assert!((0..49).all(|i| net.node(i).phase() == Phase::Serving));
    net.start(49);
    let at = net.sim.now;
    while net.node(49).phase() != Phase::Serving {
        net.run_for(ms(10));
        assert!(net.sim.now - at < ms(600), "{:?}", net.node(49).phase());
    }
    assert!(net.node(49).relay.has_list());
}

#[test]
fn a_budget_is_never_leased_twice_and_released_units_are_granted_again() {
    let mut net =
        Net::new(30, 15, |_, v| v["budgets"] = serde_json::json!({"connections": 12, "lease_ms": 1_000}));
    net.start_all();
    net.run_for(ms(10_000));
    let key = (BudgetKind::Connections, 77);
    let until = net.sim.now + ms(2_000);
    // Two of the thirty request the whole budget.
    for ticket in 0..12 {
        net.request(3, key, ticket, until);
        net.request(4, key, 100 + ticket, until);
    }
    net.run_for(ms(500));
    let used = |net: &Net| -> u32 { net.live().into_iter().map(|i| net.node(i).leases.usage(key).0).sum() };
    assert_eq!(used(&net), 12);
    net.run_for(ms(3_000));
    assert_eq!(used(&net), 12, "renewed leases stay valid");
    let count = |net: &Net, i: usize, v: Decision| net.decisions(i).values().filter(|x| x.1 == v).count();
    let granted = count(&net, 3, Decision::Granted) + count(&net, 4, Decision::Granted);
    assert_eq!((granted, count(&net, 3, Decision::Denied) + count(&net, 4, Decision::Denied)), (12, 12));
    // One is killed while it holds units: its leases expire and others get the units.
    let held = net.node(3).leases.usage(key).0;
    net.kill(3);
    let until = net.sim.now + ms(2_500);
    for ticket in 200..200 + u64::from(held) {
        net.request(5, key, ticket, until);
    }
    net.run_for(ms(2_500));
    assert_eq!(used(&net), 12);
}

#[test]
fn an_object_is_filled_once_and_the_others_continue_when_it_is_done() {
    let mut net = Net::new(30, 16, |_, v| v["budgets"] = serde_json::json!({"fills": 1}));
    net.start_all();
    net.run_for(ms(10_000));
    let key = (BudgetKind::Fill, 4_711);
    let until = net.sim.now + ms(900);
    for i in 0..30 {
        net.request(i, key, 1, until);
    }
    net.run_for(ms(100));
    let first: Vec<usize> =
        (0..30).filter(|&i| net.decisions(i).get(&1).is_some_and(|v| v.1 == Decision::Granted)).collect();
    assert_eq!(first.len(), 1);
    net.with_node(first[0], |n, now| n.release(now, key, true));
    net.run_for(ms(100));
    let free =
        (0..30).filter(|&i| net.decisions(i).get(&1).is_some_and(|v| v.1 == Decision::NotRequired)).count();
    assert_eq!(free, 29);
}

#[test]
fn a_gateway_with_a_wrong_clock_behaves_like_any_other() {
    let mut net = Net::new(20, 18, DEFAULT_SETTINGS);
    net.sim.slots[7].clock_offset = ms(3_600_000 * 24 * 365);
    net.sim.slots[0].clock_offset = ms(3_600_000);
    net.start_all();
    net.run_for(ms(10_000));
    net.purge(1);
    net.run_for(ms(400));
    net.check_delivered().unwrap();
    assert_eq!(net.live_view_range(), (20, 20));
    assert!(net.live().into_iter().all(|i| net.node(i).relay.is_fresh(net.sim.local_time(i))));
}

#[test]
fn members_restarted_together_with_all_seeds_rejoin_soon() {
    let mut net = Net::new(16, 20, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(6_000));
    (0..11).for_each(|i| net.kill(i));
    net.run_for(ms(1_000));
    (0..11).for_each(|i| net.start(i));
    net.run_for(ms(5_000));
    assert_eq!(net.live_view_range(), (16, 16));
    let runs = |of: usize, i: usize| net.node(of).members.get(&format!("g{i}")).map(|k| k.run);
    assert!((11..16).all(|of| (0..11).all(|i| runs(of, i) == Some(net.node(i).members.run))));
}

#[test]
fn a_leaving_member_does_not_wake_up_more_often() {
    let mut net = Net::new(8, 19, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(6_000));
    net.with_node(3, |n, now| n.leave(now));
    // The simulated network panics if a node's timers never advance.
    net.run_for(ms(3_000));
    let at = net.sim.local_time(3);
    assert!(net.node(3).next_wake(at) > at);
    net.kill(3);
    net.run_for(ms(5_000));
    assert_eq!(net.live_view_range(), (7, 7));
}

#[test]
fn a_fleet_that_shrinks_to_a_few_members_goes_on_serving() {
    let mut net = Net::new(60, 17, DEFAULT_SETTINGS);
    net.start_all();
    net.run_for(ms(10_000));
    (5..60).for_each(|i| net.kill(i));
    net.purge(8);
    net.run_for(ms(30_000));
    net.check_delivered().unwrap();
    net.run_for(ms(40_000));
    assert!(net.live_view_range().1 <= 8, "{:?}", net.live_view_range());
}

static STEPS: AtomicU64 = AtomicU64::new(0);

#[derive(Clone, Debug)]
struct Schedule {
    seed: u64,
    seconds: u64,
}

impl Arbitrary for Schedule {
    fn arbitrary(g: &mut Gen) -> Schedule {
        let seconds = std::env::var("FLEET_STEPS").ok().and_then(|s| s.parse().ok()).unwrap_or(20);
        Schedule { seed: u64::arbitrary(g), seconds }
    }
}

/// Kills, starts, stops, partitions, loss, duplicates, replays and failures of discovery, then a calm period after
/// which all members have to agree.
fn random_schedule(s: Schedule) -> bool {
    const N: usize = 14;
    let mut net =
        Net::new(N, s.seed, |_, v| v["budgets"] = serde_json::json!({"connections": 5, "fills": 1}));
    net.sim.capture_limit = 5_000;
    net.start_all();
    let mut ticket = 0;
    for _ in 0..s.seconds * 4 {
        let (i, j) = (net.sim.rng.random_range(0..N), net.sim.rng.random_range(0..N));
        match net.sim.rng.random_range(0..16) {
            0 => net.kill(i),
            1 | 2 if !net.is_running(i) => net.start(i),
            3 => net.sim.set_stopped(i, true),
            4 | 5 => net.sim.set_stopped(i, false),
            6 => _ = net.sim.down_links.insert((i, j)),
            7 => net.sim.down_links.clear(),
            8 => net.sim.loss = net.sim.rng.random_range(0.0..0.3),
            9 => net.sim.duplication = net.sim.rng.random_range(0.0..0.3),
            10 => _ = net.purge(i as u64),
            11 => _ = net.publish_endpoint(&format!("c{j}"), if i % 2 == 0 { "removed" } else { "up" }),
            12 => net.discovery_up = !net.discovery_up,
            13 if !net.sim.captured.is_empty() => {
                let at = net.sim.rng.random_range(0..net.sim.captured.len());
                let (from, to, bytes) = net.sim.captured.swap_remove(at);
                net.sim.send(from, to, &bytes);
            }
            _ if net.is_running(i) && !net.is_stopped(i) => {
                ticket += 1;
                let kind = if j % 2 == 0 { BudgetKind::Connections } else { BudgetKind::Fill };
                let until = net.sim.now + ms(400);
                net.request(i, (kind, (j % 3) as u64), ticket, until);
                if j % 5 < 3 {
                    net.run_for(ms(50));
                    let granted = net.decisions(i).get(&ticket).is_some_and(|v| v.1 == Decision::Granted);
                    if granted && net.is_running(i) {
                        net.with_node(i, |n, now| n.release(now, (kind, (j % 3) as u64), j % 5 == 0));
                    }
                }
            }
            _ => {}
        }
        net.run_for(ms(250));
        net.check_order().unwrap();
    }
    (net.sim.loss, net.sim.duplication, net.discovery_up) = (0.0, 0.0, true);
    net.sim.down_links.clear();
    for i in 0..N {
        net.sim.set_stopped(i, false);
        if !net.is_running(i) {
            net.start(i);
        }
    }
    net.run_for(ms(45_000));
    net.check_delivered().unwrap_or_else(|why| panic!("{why}"));
    net.check_order().unwrap();
    assert_eq!(net.live_view_range(), (N, N));
    let digest = net.node(0).relay.list.digest();
    (1..N).for_each(|i| assert_eq!(net.node(i).relay.list.digest(), digest, "g{i}"));
    STEPS.fetch_add(net.sim.steps, Ordering::Relaxed);
    true
}

#[test]
fn random_schedules_keep_the_invariants_and_converge() {
    let seeds = std::env::var("FLEET_SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    QuickCheck::new().tests(seeds).quickcheck(random_schedule as fn(Schedule) -> bool);
    println!("{} steps in {seeds} schedules", STEPS.load(Ordering::Relaxed));
}

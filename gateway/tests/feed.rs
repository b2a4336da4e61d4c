//! The feed between processes of the program: sites, hubs and list services on loopback, with faults between them. All
//! caches and list services are simulated. Each test guards against the same two failures: a live gateway lacks an
//! event of a list service, or an older copy is served after its purge. Tests run one after another.

mod common;
#[path = "common/installation.rs"]
mod installation;

use common::{PATIENCE, held, program};
use installation::{Installation, PURGE_DEADLINE_MS, exclusive};
use kelpcart::interface::MemberState;
use kelpcart_gateway::config::{self, DiscoveryEvent, Names};
use kelpcart_gateway::feed::CacheOwners;
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Node, Process, free_udp_address};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Duration of a fault, during which purges continue.
const FAULT_DURATION: Duration = Duration::from_millis(1_500);
/// Silence after which another hub or contact takes over, including the delay by its rank.
const TAKEOVER_MS: u64 = 1_200 + 300;

fn wait_until(what: &str, is: impl Fn() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < PATIENCE, "{what} never came");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn killing_tree_members_mid_bundle_loses_no_purge() {
    let mut all = Installation::start("feed-tree", &[8], 2, 2);
    all.purge(30);
    thread::sleep(FAULT_DURATION / 3);
    // The last two in contact order: neither is the contact; each is the root of some bundles and an inner node of
    // others.
    let order = all.order(0);
    all.kill(order[6]);
    thread::sleep(FAULT_DURATION / 3);
    all.kill(order[7]);
    thread::sleep(FAULT_DURATION);
    assert!(all.stop_purges() > 20);
    all.wait_for_all_confirmed();
    all.end(PURGE_DEADLINE_MS + 1_000);
}

#[test]
fn both_first_contacts_killed_at_once_are_replaced_and_come_back() {
    let mut all = Installation::start("feed-contacts", &[5, 2], 2, 2);
    let order = all.order(0);
    assert!(all.counter(order[0], "fleet feed contacts") >= 1.0, "it is not the contact");
    all.purge(30);
    thread::sleep(FAULT_DURATION / 3);
    all.kill(order[0]);
    all.kill(order[1]);
    all.wait_for("a third contact", |all| all.counter(order[2], "fleet feed contacts") >= 1.0);
    all.wait_for_current_events();
    all.spawn(order[0]);
    all.spawn(order[1]);
    thread::sleep(FAULT_DURATION);
    assert!(all.stop_purges() > 20);
    all.wait_for_all_confirmed();
    all.end(PURGE_DEADLINE_MS + TAKEOVER_MS);
}

#[test]
fn hubs_killed_one_by_one_and_all_at_once_delay_no_purge() {
    let mut all = Installation::start("feed-hubs", &[3, 3], 2, 2);
    all.purge(30);
    let (first, second) = (all.hub(0), all.hub(1));
    all.kill(first);
    thread::sleep(FAULT_DURATION);
    all.spawn(first);
    all.wait_for_current_events();
    all.kill(first);
    all.kill(second);
    // Contacts connect to the list services now.
    all.wait_for("list services asked by contacts", |all| all.sum("fleet feed provisional") > 0.0);
    thread::sleep(FAULT_DURATION);
    all.spawn(first);
    all.spawn(second);
    thread::sleep(FAULT_DURATION);
    assert!(all.stop_purges() > 20);
    all.wait_for_all_confirmed();
    let asking =
        all.gateways().into_iter().filter(|i| all.counter(*i, "fleet feed list services asked now") > 0.0);
    assert_eq!(asking.count(), 0, "contacts are still connected although hubs are live");
    all.end(PURGE_DEADLINE_MS + TAKEOVER_MS + 2_000);
}

#[test]
fn a_contact_partitioned_from_all_hubs_costs_its_site_no_purge() {
    let mut all = Installation::start("feed-cut", &[4, 2], 2, 2);
    let (order, n) = (all.order(0), all.site_of.len());
    all.purge(30);
    let of_hub = |i: usize| i >= n;
    all.switch.set_blocked(true, |a, b| a == order[0] && of_hub(b) || b == order[0] && of_hub(a));
    all.wait_for("another contact", |all| {
        order[1..].iter().any(|i| all.counter(*i, "fleet feed contacts") >= 1.0)
            || all.counter(order[0], "fleet feed provisional made") > 0.0
    });
    thread::sleep(FAULT_DURATION);
    all.wait_for_current_events();
    all.switch.set_blocked(false, |_, _| true);
    thread::sleep(FAULT_DURATION);
    assert!(all.stop_purges() > 20);
    all.wait_for_all_confirmed();
    all.end(PURGE_DEADLINE_MS + TAKEOVER_MS + 1_000);
}

#[test]
fn a_site_partitioned_from_all_hubs_gets_purges_through_its_contact() {
    let mut all = Installation::start("feed-site-cut", &[3, 2], 2, 2);
    let (of, n) = (all.site_of.clone(), all.site_of.len());
    all.purge(30);
    let cut = |a: usize, b: usize| a < n && of[a] == 0 && b >= n;
    all.switch.set_blocked(true, |a, b| cut(a, b) || cut(b, a));
    all.wait_for("list services asked by the contact", |all| all.sum("fleet feed provisional") > 0.0);
    // The hubs continue without that site, name it, and do not report anything as done everywhere that it has not
    // acknowledged.
    let hub = all.hub(0);
    all.wait_for("the site named", |all| {
        let c = all.counters(hub);
        let done = |what: &str| c.get(&format!("fleet feed done {what} 0")).copied().unwrap_or(-1.0);
        let named = all.not_confirmed(hub);
        done("in touch") > done("everywhere") && named.iter().any(|who| who.starts_with("site0, "))
    });
    thread::sleep(FAULT_DURATION);
    all.switch.set_blocked(false, |_, _| true);
    thread::sleep(FAULT_DURATION);
    assert!(all.stop_purges() > 20);
    all.wait_for_all_confirmed();
    all.wait_for("nobody missing", |all| all.not_confirmed(hub).is_empty());
    all.end(PURGE_DEADLINE_MS + TAKEOVER_MS + 2_000);
}

#[test]
fn ten_times_the_purge_rate_loses_no_purge() {
    let mut all = Installation::start("feed-flood", &[5, 2], 2, 2);
    all.purge(400);
    thread::sleep(FAULT_DURATION * 2);
    assert!(all.stop_purges() > 500);
    all.wait_for_all_confirmed();
    all.end(PURGE_DEADLINE_MS + 500);
}

#[test]
fn datagram_loss_duplication_and_reordering_lose_no_purge() {
    let mut all = Installation::start("feed-weather", &[5, 2], 2, 2);
    all.switch.set_conditions(|w| (w.loss, w.duplicate, w.reorder, w.jitter_ms) = (0.1, 0.1, 0.1, 20.0));
    all.purge(30);
    thread::sleep(FAULT_DURATION * 2);
    assert!(all.stop_purges() > 40);
    all.wait_for_all_confirmed();
    assert!(all.sum("fleet feed repaired") > 0.0, "nothing was lost");
    all.end(PURGE_DEADLINE_MS + 1_000);
}

#[test]
fn stopped_and_continued_processes_learn_of_purges_meanwhile() {
    let mut all = Installation::start("feed-stopped", &[5, 2], 2, 2);
    let order = all.order(0);
    let stopped = [order[0], order[3], all.hub(0)];
    all.purge(30);
    all.signal("STOP", &stopped);
    thread::sleep(FAULT_DURATION * 2);
    all.signal("CONT", &stopped);
    thread::sleep(FAULT_DURATION);
    assert!(all.stop_purges() > 40);
    all.wait_for_all_confirmed();
    // A stopped process cannot know what was purged meanwhile.
    let more = |i| if stopped.contains(&i) { 2 * FAULT_DURATION.as_millis() as u64 } else { 0 };
    all.end_by(|i| PURGE_DEADLINE_MS + TAKEOVER_MS + more(i));
}

#[test]
fn keys_and_list_addresses_change_during_operation() {
    let mut all = Installation::start("feed-moves", &[3], 1, 2);
    all.purge(30);
    for keys in [vec![1, 2], vec![2, 1], vec![2]] {
        all.keys = keys;
        all.reload_settings();
    }
    all.stop_purges();
    all.wait_for_all_confirmed();
    assert_eq!(all.sum("fleet feed refused seals"), 0.0);
    all.move_discovery_services();
    all.purge(30);
    thread::sleep(FAULT_DURATION / 3);
    all.wait_for_current_events();
    // The gateways got the new address of the own stream from their configuration, that of the other stream from their
    // fleet file.
    let hub = all.hub(0);
    all.kill(hub);
    all.wait_for("both list services asked", |all| all.sum("fleet feed list services asked now") >= 2.0);
    all.wait_for("purges by the contact", |all| all.sum("fleet feed provisional") > 0.0);
    thread::sleep(FAULT_DURATION);
    all.spawn(hub);
    assert!(all.stop_purges() > 20);
    all.wait_for_all_confirmed();
    all.end(PURGE_DEADLINE_MS + TAKEOVER_MS + 2_000);
}

#[test]
fn lists_of_all_streams_reach_every_gateway_independently() {
    let all = Installation::start("feed-lists", &[3, 2], 2, 2);
    let names = |of: &str, n: usize| (0..n).map(|i| format!("{of}{i}")).collect::<Vec<_>>();
    let lists = |n: f64| {
        all.wait_for_all_confirmed();
        all.wait_for("lists as published", |all| {
            all.gateways().into_iter().all(|i| all.counter(i, "fleet feed caches listed") == n)
        });
    };
    // Four come from the configuration; no stream has listed them yet.
    lists(4.0);
    all.list(0, true, &names("east", 12));
    all.list(1, true, &names("west", 12));
    lists(28.0);
    all.list(1, true, &names("west", 2));
    lists(18.0);
    all.list(0, false, &names("west", 2));
    all.list(1, true, &[]);
    lists(18.0);
    all.list(0, true, &[]);
    lists(4.0);
    // The fleet's own relay is not used.
    assert_eq!(all.sum("fleet bulletin asked"), 0.0);
    all.end(PURGE_DEADLINE_MS);
}

#[test]
fn complete_lists_of_one_stream_keep_caches_of_others_and_moved_ones() {
    let roster = |whole, names: &[(&str, &str)]| {
        let endpoint = |(n, s): &(&str, &str)| json!({"name": n, "status": s, "address": "127.0.0.1:1"});
        let list: Vec<_> = names.iter().map(endpoint).collect();
        let event = json!({"no": 1, "roster": {"snapshot": whole, "endpoints": list}});
        match config::parse_event(&event, &Names::default()).unwrap().1 {
            Some(DiscoveryEvent::Roster { snapshot: whole, list }) => (whole, list),
            _ => unreachable!("a roster was written"),
        }
    };
    let mut owners = CacheOwners::default();
    let mut change = |stream, whole, names: &[(&str, &str)]| {
        let (whole, list) = roster(whole, names);
        let (list, left_out) = owners.apply(stream, whole, list);
        assert_eq!(left_out, 0);
        let signed_id = |l: &config::ListedMember| {
            format!("{}{}", if l.member.state == MemberState::Gone { "-" } else { "+" }, l.member.id)
        };
        let mut changes: Vec<String> = list.iter().map(signed_id).collect();
        changes.sort();
        changes.join(" ")
    };
    assert_eq!(change(0, true, &[("a", "up"), ("b", "up")]), "+a +b");
    assert_eq!(change(1, true, &[("c", "up"), ("d", "up")]), "+c +d");
    // Caches that a stream no longer lists are removed, those of other streams stay.
    assert_eq!(change(0, true, &[("a", "up")]), "+a -b");
    // A cache that has moved to another stream is not removed by the stream it left.
    assert_eq!(change(1, false, &[("a", "up")]), "+a");
    assert_eq!(change(0, true, &[]), "");
    assert_eq!(change(0, false, &[("a", "removed")]), "");
    assert_eq!(change(1, false, &[("c", "removed")]), "-c");
    assert_eq!(change(1, true, &[("d", "up")]), "+d -a");
    // Caches beyond the limit are left out and counted.
    let many: Vec<String> = (0..20_000).map(|i| format!("m{i}")).collect();
    let many: Vec<(&str, &str)> = many.iter().map(|n| (n.as_str(), "up")).collect();
    let (whole, list) = roster(false, &many);
    let (list, left_out) = owners.apply(0, whole, list);
    assert!(left_out > 0 && list.len() + left_out == 20_000);
    // Known caches can still change.
    let (whole, list) = roster(false, &[("d", "up")]);
    assert_eq!(owners.apply(1, whole, list).1, 0);
}

#[test]
fn disabled_it_leaves_no_trace_and_enabled_it_adds_no_thread_or_socket() {
    let _alone = exclusive();
    let folder = std::env::temp_dir().join(format!("kelpcart-feed-off-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let bulletin = DiscoveryServer::start(1).unwrap();
    let start = |name: &str, file: &serde_json::Value| {
        let node =
            Node { name, zone: "hub", discovery: bulletin.address, endpoints: &[], memory_mb: 64, seed: 1 };
        Process::spawn(program(), &folder, name, &fleet::config(&node), Some(file)).unwrap()
    };
    let file = |name: &str| {
        let listen = free_udp_address().unwrap().to_string();
        json!({"fleet": "one", "gateway": name, "listen": listen, "seeds": [listen],
            "keys": [{"id": 1, "secret": "ab".repeat(32)}]})
    };
    let (off_file, mut on_file, mut hub_file) = (file("off"), file("on"), file("h0"));
    let address = hub_file["listen"].as_str().unwrap().parse().unwrap();
    on_file["feed"] = json!({"name": "rig", "site": "one", "hubs": [installation::hub(0, address)],
        "streams": [{"name": "s0", "address": bulletin.address.to_string(), "known": 1}]});
    hub_file["feed"] = on_file["feed"].clone();
    hub_file["feed"]["control"] = json!({"name": "h0", "secret": "01".repeat(32), "sites": ["one"]});
    hub_file["seeds"] = json!([]);
    let (off, on, mut hub) = (start("off", &off_file), start("on", &on_file), start("h0", &hub_file));
    wait_until("a start", || off.log().contains(" listens on ") && on.log().contains(" listens on "));
    wait_until("a hub", || hub.log().contains(" is a hub at "));
    let ((threads, sockets), (with_threads, with_sockets)) = (held(off.id()), held(on.id()));
    assert_eq!((sockets, with_sockets, with_threads), (1, 1, threads));
    assert_eq!(held(hub.id()).1, 1);
    fleet::signal("USR1", &[off.id(), on.id(), hub.id()]).unwrap();
    let counters = |p: &Process| p.log().lines().rfind(|l| l.contains("now: clients")).map(str::to_owned);
    wait_until("counters", || [&off, &on, &hub].into_iter().all(|p| counters(p).is_some()));
    assert!(counters(&on).unwrap().contains("fleet feed position 0 "), "{:?}", counters(&on));
    assert!(!counters(&off).unwrap().contains("feed"), "{:?}", counters(&off));
    // Whether or not the site has acknowledged yet, the hub takes no txns, and SIGTERM ends it.
    assert!(!hub.log().contains(" listens on "));
    fleet::signal("TERM", &[hub.id()]).unwrap();
    let began = Instant::now();
    while !hub.has_exited() {
        assert!(began.elapsed() < PATIENCE, "{}", hub.log());
        thread::sleep(Duration::from_millis(10));
    }
    // An invalid file ends the start with the name of its field.
    hub_file["feed"]["control"]["secret"] = json!("02".repeat(32));
    let mut wrong = start("wrong", &hub_file);
    let began = Instant::now();
    while !wrong.has_exited() {
        assert!(began.elapsed() < PATIENCE, "{}", wrong.log());
        thread::sleep(Duration::from_millis(10));
    }
    assert!(wrong.log().contains("feed: control.secret"), "{}", wrong.log());
    drop((off, on));
    _ = std::fs::remove_dir_all(folder);
}

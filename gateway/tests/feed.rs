//! The feed between processes of the program: sites, hubs and list services on loopback with faults between them. All
//! caches and list services are simulated. What each fault must not do is the same: leave a live gateway without a number
//! of a list service, or have an older copy given out after a purge was told. Runs follow one another.

mod common;
#[path = "common/installation.rs"]
mod installation;

use common::{PATIENCE, held, program};
use installation::{Installation, TOLD_MS, alone};
use kelpcart::interface::MemberState;
use kelpcart_gateway::config::{self, DiscoveryEvent, Names};
use kelpcart_gateway::feed::CacheOwners;
use kelpcart_rig::discovery::DiscoveryServer;
use kelpcart_rig::fleet::{self, Node, Process, free_udp_address};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Faults last for a while in which purges go on.
const WHILE: Duration = Duration::from_millis(1_500);
/// Another way is taken when nothing was heard for so long, with the place of the one that takes it.
const SILENT_MS: u64 = 1_200 + 300;

fn wait_until(what: &str, is: impl Fn() -> bool) {
    let began = Instant::now();
    while !is() {
        assert!(began.elapsed() < PATIENCE, "{what} never came");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn members_of_the_tree_killed_with_bundles_out_leave_no_purge_unheard() {
    let mut all = Installation::start("feed-tree", &[8], 2, 2);
    all.purge(30);
    thread::sleep(WHILE / 3);
    // The last two in the order: neither is the contact, each is the root of some bundles and a node of the others.
    let order = all.order(0);
    all.kill(order[6]);
    thread::sleep(WHILE / 3);
    all.kill(order[7]);
    thread::sleep(WHILE);
    assert!(all.purged() > 20);
    all.wait_for_all_done();
    all.end(TOLD_MS + 1_000);
}

#[test]
fn both_first_contacts_of_a_site_killed_at_once_are_replaced_and_come_back() {
    let mut all = Installation::start("feed-contacts", &[5, 2], 2, 2);
    let order = all.order(0);
    assert!(all.counter(order[0], "fleet feed contacts") >= 1.0, "it is not the contact");
    all.purge(30);
    thread::sleep(WHILE / 3);
    all.kill(order[0]);
    all.kill(order[1]);
    all.wait_for("a third contact", |all| all.counter(order[2], "fleet feed contacts") >= 1.0);
    all.wait_for_all_known_so_far();
    all.spawn(order[0]);
    all.spawn(order[1]);
    thread::sleep(WHILE);
    assert!(all.purged() > 20);
    all.wait_for_all_done();
    all.end(TOLD_MS + SILENT_MS);
}

#[test]
fn a_hub_killed_replaced_and_all_hubs_away_keep_no_purge_back() {
    let mut all = Installation::start("feed-hubs", &[3, 3], 2, 2);
    all.purge(30);
    let (first, second) = (all.hub(0), all.hub(1));
    all.kill(first);
    thread::sleep(WHILE);
    all.spawn(first);
    all.wait_for_all_known_so_far();
    all.kill(first);
    all.kill(second);
    // Contacts ask the list services now.
    all.wait_for("list services asked by contacts", |all| all.sum("fleet feed provisional") > 0.0);
    thread::sleep(WHILE);
    all.spawn(first);
    all.spawn(second);
    thread::sleep(WHILE);
    assert!(all.purged() > 20);
    all.wait_for_all_done();
    let asking =
        all.gateways().into_iter().filter(|i| all.counter(*i, "fleet feed list services asked now") > 0.0);
    assert_eq!(asking.count(), 0, "contacts still ask while hubs are heard");
    all.end(TOLD_MS + SILENT_MS + 2_000);
}

#[test]
fn a_contact_cut_from_all_hubs_for_a_time_costs_its_site_no_purge() {
    let mut all = Installation::start("feed-cut", &[4, 2], 2, 2);
    let (order, n) = (all.order(0), all.of.len());
    all.purge(30);
    let of_hub = |i: usize| i >= n;
    all.switch.set_blocked(true, |a, b| a == order[0] && of_hub(b) || b == order[0] && of_hub(a));
    all.wait_for("another contact", |all| {
        order[1..].iter().any(|i| all.counter(*i, "fleet feed contacts") >= 1.0)
            || all.counter(order[0], "fleet feed provisional made") > 0.0
    });
    thread::sleep(WHILE);
    all.wait_for_all_known_so_far();
    all.switch.set_blocked(false, |_, _| true);
    thread::sleep(WHILE);
    assert!(all.purged() > 20);
    all.wait_for_all_done();
    all.end(TOLD_MS + SILENT_MS + 1_000);
}

#[test]
fn a_site_cut_from_all_hubs_hears_purges_by_its_contact() {
    let mut all = Installation::start("feed-site-cut", &[3, 2], 2, 2);
    let (of, n) = (all.of.clone(), all.of.len());
    all.purge(30);
    let cut = |a: usize, b: usize| a < n && of[a] == 0 && b >= n;
    all.switch.set_blocked(true, |a, b| cut(a, b) || cut(b, a));
    all.wait_for("list services asked by the contact", |all| all.sum("fleet feed provisional") > 0.0);
    // The hubs go on without that site, name it, and tell nothing as done everywhere that it has not confirmed.
    let hub = all.hub(0);
    all.wait_for("the site named", |all| {
        let c = all.counters(hub);
        let done = |what: &str| c.get(&format!("fleet feed done {what} 0")).copied().unwrap_or(-1.0);
        let named = all.not_confirmed(hub);
        done("in touch") > done("everywhere") && named.iter().any(|who| who.starts_with("site0, "))
    });
    thread::sleep(WHILE);
    all.switch.set_blocked(false, |_, _| true);
    thread::sleep(WHILE);
    assert!(all.purged() > 20);
    all.wait_for_all_done();
    all.wait_for("nobody missing", |all| all.not_confirmed(hub).is_empty());
    all.end(TOLD_MS + SILENT_MS + 2_000);
}

#[test]
fn ten_times_the_purges_are_all_heard() {
    let mut all = Installation::start("feed-flood", &[5, 2], 2, 2);
    all.purge(400);
    thread::sleep(WHILE * 2);
    assert!(all.purged() > 500);
    all.wait_for_all_done();
    all.end(TOLD_MS + 500);
}

#[test]
fn datagrams_lost_doubled_and_out_of_order_cost_no_purge() {
    let mut all = Installation::start("feed-weather", &[5, 2], 2, 2);
    all.switch.set_conditions(|w| (w.loss, w.duplicate, w.reorder, w.jitter_ms) = (0.1, 0.1, 0.1, 20.0));
    all.purge(30);
    thread::sleep(WHILE * 2);
    assert!(all.purged() > 40);
    all.wait_for_all_done();
    assert!(all.sum("fleet feed repaired") > 0.0, "nothing was lost");
    all.end(TOLD_MS + 1_000);
}

#[test]
fn processes_stopped_and_continued_know_what_was_purged_meanwhile() {
    let mut all = Installation::start("feed-stopped", &[5, 2], 2, 2);
    let order = all.order(0);
    let stopped = [order[0], order[3], all.hub(0)];
    all.purge(30);
    all.signal("STOP", &stopped);
    thread::sleep(WHILE * 2);
    all.signal("CONT", &stopped);
    thread::sleep(WHILE);
    assert!(all.purged() > 40);
    all.wait_for_all_done();
    // One that was stopped can't know what was purged meanwhile.
    let more = |i| if stopped.contains(&i) { 2 * WHILE.as_millis() as u64 } else { 0 };
    all.end_by(|i| TOLD_MS + SILENT_MS + more(i));
}

#[test]
fn keys_and_list_services_change_on_the_way() {
    let mut all = Installation::start("feed-moves", &[3], 1, 2);
    all.purge(30);
    for keys in [vec![1, 2], vec![2, 1], vec![2]] {
        all.keys = keys;
        all.reread();
    }
    all.purged();
    all.wait_for_all_done();
    assert_eq!(all.sum("fleet feed refused seals"), 0.0);
    all.move_lists();
    all.purge(30);
    thread::sleep(WHILE / 3);
    all.wait_for_all_known_so_far();
    // The own stream's place came to the gateways by their configuration, the other's by their file.
    let hub = all.hub(0);
    all.kill(hub);
    all.wait_for("both list services asked", |all| all.sum("fleet feed list services asked now") >= 2.0);
    all.wait_for("purges by the contact", |all| all.sum("fleet feed provisional") > 0.0);
    thread::sleep(WHILE);
    all.spawn(hub);
    assert!(all.purged() > 20);
    all.wait_for_all_done();
    all.end(TOLD_MS + SILENT_MS + 2_000);
}

#[test]
fn lists_of_all_streams_reach_every_gateway_and_leave_one_another_alone() {
    let all = Installation::start("feed-lists", &[3, 2], 2, 2);
    let names = |of: &str, n: usize| (0..n).map(|i| format!("{of}{i}")).collect::<Vec<_>>();
    let lists = |n: f64| {
        all.wait_for_all_done();
        all.wait_for("lists as they were told", |all| {
            all.gateways().into_iter().all(|i| all.counter(i, "fleet feed caches listed") == n)
        });
    };
    // Four come from the configuration, and no stream has named them yet.
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
    // Nobody asks, follows or tells by the fleet's own relay.
    assert_eq!(all.sum("fleet bulletin asked"), 0.0);
    all.end(TOLD_MS);
}

#[test]
fn whole_lists_of_one_stream_leave_the_caches_of_others_and_moved_ones() {
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
        let told = |l: &config::ListedMember| {
            format!("{}{}", if l.member.state == MemberState::Gone { "-" } else { "+" }, l.member.id)
        };
        let mut told: Vec<String> = list.iter().map(told).collect();
        told.sort();
        told.join(" ")
    };
    assert_eq!(change(0, true, &[("a", "up"), ("b", "up")]), "+a +b");
    assert_eq!(change(1, true, &[("c", "up"), ("d", "up")]), "+c +d");
    // What a stream does not name any more goes, the others' stay.
    assert_eq!(change(0, true, &[("a", "up")]), "+a -b");
    // One that moves to another stream is not dropped by the one that it left.
    assert_eq!(change(1, false, &[("a", "up")]), "+a");
    assert_eq!(change(0, true, &[]), "");
    assert_eq!(change(0, false, &[("a", "removed")]), "");
    assert_eq!(change(1, false, &[("c", "removed")]), "-c");
    assert_eq!(change(1, true, &[("d", "up")]), "+d -a");
    // More caches than are remembered are left out and counted.
    let many: Vec<String> = (0..20_000).map(|i| format!("m{i}")).collect();
    let many: Vec<(&str, &str)> = many.iter().map(|n| (n.as_str(), "up")).collect();
    let (whole, list) = roster(false, &many);
    let (list, left_out) = owners.apply(0, whole, list);
    assert!(left_out > 0 && list.len() + left_out == 20_000);
    // Those that are known still change.
    let (whole, list) = roster(false, &[("d", "up")]);
    assert_eq!(owners.apply(1, whole, list).1, 0);
}

#[test]
fn off_there_is_nothing_of_it_and_on_it_has_no_thread_or_socket_of_its_own() {
    let _alone = alone();
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
    let told = |p: &Process| p.log().lines().rfind(|l| l.contains("now: clients")).map(str::to_owned);
    wait_until("counters", || [&off, &on, &hub].into_iter().all(|p| told(p).is_some()));
    assert!(told(&on).unwrap().contains("fleet feed position 0 "), "{:?}", told(&on));
    assert!(!told(&off).unwrap().contains("feed"), "{:?}", told(&off));
    // The site has not confirmed yet, or has come in touch; either way the hub takes no txns, and SIGTERM ends it.
    assert!(!hub.log().contains(" listens on "));
    fleet::signal("TERM", &[hub.id()]).unwrap();
    let began = Instant::now();
    while !hub.has_exited() {
        assert!(began.elapsed() < PATIENCE, "{}", hub.log());
        thread::sleep(Duration::from_millis(10));
    }
    // A file that can't be used ends the start with its field.
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

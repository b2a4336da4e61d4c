//! The gateway at its limit of descriptors: what it needs besides clients and hops stays available.

mod stand_ins;

use kelpcart_gateway::descriptors::{Shares, Usage};
use kelpcart_rig::fleet::free_udp_address;
use kelpcart_rig::keys::Authority;
use rustix::process::{Pid, Resource, Rlimit, getrlimit, prlimit};
use serde_json::{Value, json};
use stand_ins::*;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;

#[test]
fn clients_hops_and_what_is_open_stay_within_the_limit() {
    for configured in [33, 64, 256, 512, 1_024] {
        for (inherited, open) in [(3, 13), (3, 17), (5, 30), (0, 0)] {
            for (process_limit, opened_later) in [(None, 1), (Some(configured), 4), (Some(300), 1)] {
                let usage = Usage { inherited, open, opened_later };
                let Shares { clients, hops } = Shares::new(configured, process_limit, usage);
                let others = open + opened_later;
                let limit = process_limit.unwrap_or(configured + inherited).min(configured + inherited);
                if limit >= 64 {
                    assert!(clients + hops + others < limit, "{limit} {usage:?}: {clients} and {hops}");
                    assert!(clients > limit.min(configured) / 3, "clients may hold a third");
                }
                assert!(clients > 0 && hops > 0);
            }
        }
    }
}

/// Files for a link with a ledger on a disk and for a fleet of one, in a folder that is removed on drop.
struct OptionalFiles {
    folder: PathBuf,
    sites: String,
    fleet: String,
}

impl OptionalFiles {
    fn new() -> OptionalFiles {
        let folder = format!("{}/descriptors-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
        let folder = PathBuf::from(folder);
        std::fs::create_dir_all(&folder).unwrap();
        Authority::new().unwrap().write(&folder, "near").unwrap();
        let path = |name: &str| folder.join(name).display().to_string();
        let peer = json!({"name": "far-1", "site": "far", "address": free_udp_address().unwrap().to_string(),
            "as": ["parent"], "size": 64.0});
        let sites = json!({
            "site": "near", "gateway": "n1", "listen": free_udp_address().unwrap().to_string(),
            "accept": ["far"], "ledger": {"file": path("ledger.redb")}, "peers": [peer],
            "keys": {"certificate": path("near.pem"), "key": path("near.key"), "roots": path("roots.pem")},
        });
        let listen = free_udp_address().unwrap().to_string();
        let fleet = json!({"fleet": "f", "gateway": "n1", "listen": listen, "seeds": [listen],
            "keys": [{"id": 1, "secret": "00".repeat(32)}]});
        let write = |name: &str, value: &Value| {
            std::fs::write(folder.join(name), value.to_string()).unwrap();
            path(name)
        };
        OptionalFiles { sites: write("sites.json", &sites), fleet: write("fleet.json", &fleet), folder }
    }
}

impl Drop for OptionalFiles {
    fn drop(&mut self) {
        _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until clients and hops take no more descriptors.
fn wait_until_full(gateway: &mut Gateway) {
    let mut before = [0; 2];
    loop {
        let gauges = gateway.gauges();
        let now = [gauges["clients"], gauges["hops"]];
        if now == before && now.iter().all(|n| *n > 60) {
            return;
        }
        before = now;
        sleep(Duration::from_millis(300));
    }
}

/// Guards against a reload that is lost because optional parts hold descriptors that are counted as free.
#[test]
fn a_reload_finds_a_descriptor_beside_links_a_ledger_a_fleet_and_full_clients_and_hops() {
    let edge = StubCache::start(|_| Reply::Silent);
    let [old, new] = [(); 2].map(|()| DiscoveryServer::start(Vec::new()));
    let members = [Member("e1", "box", edge.address), Member("o", "origin", unused_address())];
    let mut all = config(&members, old.address, 64);
    all["settings"]["PolicyLimits"]["ConnectTimeoutUs"] = json!(60_000_000);
    all["known"]["items"][0]["roster"]["endpoints"][0]["weight"] = json!(10_000.0);
    let files = OptionalFiles::new();
    let variables = [("KELPCART_SITES", &*files.sites), ("KELPCART_FLEET", &*files.fleet)];
    let mut gateway = Gateway::start_limited_with(&all, &variables);
    old.next_subscription();
    // More than are let in; each of the others stays connected, since its requests have no answer.
    let clients = (0..120).map(|object| {
        let mut client = Client::connect(&gateway);
        (0..4).for_each(|_| _ = client.send_request("segment", object, 30_000, &[]));
        client
    });
    let _clients: Vec<Client> = clients.collect();
    wait_until_full(&mut gateway);
    all["bulletin"] = json!(new.address.to_string());
    gateway.replace_config(&all.to_string());
    new.next_subscription();
}

/// Guards against a reload that is given up when it finds no descriptor.
#[test]
fn a_reload_that_finds_no_descriptor_is_repeated() {
    let [old, new] = [(); 2].map(|()| DiscoveryServer::start(Vec::new()));
    let mut all = config(&[Member("o", "origin", unused_address())], old.address, 64);
    let mut gateway = Gateway::start(&all);
    old.next_subscription();
    let process = Pid::from_child(&gateway.child);
    let before = getrlimit(Resource::Nofile);
    let set_limit = |limit: Rlimit| _ = prlimit(Some(process), Resource::Nofile, limit).unwrap();
    set_limit(Rlimit { current: Some(3), ..before });
    all["bulletin"] = json!(new.address.to_string());
    gateway.replace_config(&all.to_string());
    while !gateway.next_log_line().contains("reload failed") {}
    set_limit(before);
    new.next_subscription();
}

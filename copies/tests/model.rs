//! The holders of replicated ledgers in simulated time: groups form, lose machines with all their state, and violate
//! no invariant.

mod common;

use common::{DisabledSafeguards, Net, ms};
use kelpcart::Time;
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::wire::{self, Payload};
use kelpcart_sites::ledger::Key;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rand::Rng;

#[test]
fn a_group_forms_and_serves_txns() {
    for (copies, n) in [(3, 3), (3, 9), (5, 9)] {
        let mut net = Net::new(n, copies, 1, 3, 1);
        net.run(ms(10_000));
        net.assert_sound();
        assert!(net.all_led(), "{n} holders, {copies} copies");
        assert_eq!(net.voters(0).len(), copies);
        assert!(net.ends.served > 100, "{:?}", net.ends);
        assert_eq!(net.ends.aborted, 0, "{:?}", net.ends);
    }
}

#[test]
fn a_lost_leader_is_replaced_and_no_accepted_txn_is_lost() {
    for seed in 0..6 {
        let mut net = Net::new(6, 3, 1, 4, seed);
        net.run(ms(8_000));
        for round in 0..4 {
            let lost = net.leader(0).unwrap_or(round);
            net.kill(lost);
            net.run(ms(3_000));
            net.start(lost);
            net.run(ms(6_000));
        }
        net.assert_sound();
        assert!(net.all_led() && net.voters(0).len() == 3, "seed {seed}: {:?}", net.voters(0));
        assert!(net.ends.served > 500, "{:?}", net.ends);
    }
}

/// Recorded outcomes that were not settled are found at any gateway.
#[test]
fn outcomes_survive_the_loss_of_one_leader_after_another() {
    for (seed, disk) in [(1, false), (2, true)] {
        let mut net = Net::with(7, 3, 2, 6, seed, disk);
        net.run(ms(8_000));
        for _ in 0..3 {
            let lost = net.leader(0).unwrap_or(0);
            net.kill(lost);
            net.run(ms(2_500));
            net.start(lost);
            net.run(ms(5_000));
        }
        net.busy = false;
        net.run(ms(1_000));
        let (found, all) = net.probe();
        assert!(found == all && all > 5, "{found} of {all}");
        net.assert_sound();
    }
}

/// All processes end at once and restart. With disks the outcomes are found; without, no txn is reported as never
/// accepted.
#[test]
fn outcomes_on_disk_survive_the_loss_of_all_processes() {
    for disk in [true, false] {
        let mut net = Net::with(5, 3, 1, 6, 3, disk);
        net.run(ms(8_000));
        net.busy = false;
        net.run(ms(500));
        (0..5).for_each(|i| net.stop_process(i));
        net.run(ms(300));
        (0..5).for_each(|i| net.start(i));
        net.run(ms(6_000));
        assert!(net.all_led(), "{}", net.state());
        let (found, all) = net.probe();
        assert!(all > 3 && found == if disk { all } else { 0 }, "{found} of {all}, disk {disk}");
        net.busy = true;
        net.run(ms(4_000));
        net.assert_sound();
    }
}

/// Two of three members are lost with all their state; the third imports its outcomes into the next ledger.
#[test]
fn the_survivor_of_a_lost_majority_passes_its_outcomes_to_the_next_ledger() {
    let mut net = Net::new(3, 3, 1, 6, 4);
    net.run(ms(8_000));
    net.busy = false;
    net.run(ms(1_000));
    net.kill(0);
    net.kill(1);
    net.run(ms(500));
    net.start(0);
    net.start(1);
    net.run(ms(8_000));
    assert!(net.all_led(), "{}", net.state());
    let (found, all) = net.probe();
    assert!(all > 3 && found == all, "{found} of {all}");
    net.assert_sound();
}

/// Two of three members are lost for good and never replaced under their names, until the operators declare them
/// lost.
#[test]
fn a_group_recovers_once_holders_are_declared_lost_for_good() {
    let mut net = Net::new(5, 3, 1, 6, 8);
    net.run(ms(8_000));
    net.busy = false;
    net.run(ms(1_000));
    let members = net.member_holders(0);
    let gone = [members[0], members[1]];
    gone.iter().for_each(|&i| net.kill(i));
    net.run(ms(20_000));
    assert!(!net.all_led(), "they are not declared lost yet");
    net.lose_for_good(&gone);
    net.run(ms(8_000));
    assert!(net.all_led() && net.voters(0).len() == 3, "{}", net.state());
    let (found, all) = net.probe();
    assert!(found == all && all > 3, "{found} of {all}");
    net.busy = true;
    net.run(ms(2_000));
    net.assert_sound();
}

/// With clocks an hour apart and repeated losses of the leader, the group's time continues and outcomes are kept.
#[test]
fn gateways_with_clocks_an_hour_apart_agree() {
    let mut net = Net::new(5, 3, 1, 4, 6);
    (0..5).for_each(|i| net.kill(i));
    for i in 0..5 {
        net.all[i].ahead = ms(3_600_000 * (i as u64 % 3));
        net.start(i);
    }
    net.run(ms(8_000));
    for _ in 0..4 {
        let leader = net.leader(0).unwrap();
        net.kill(leader);
        net.run(ms(2_000));
        net.start(leader);
        net.run(ms(5_000));
    }
    net.busy = false;
    net.run(ms(1_000));
    let (found, all) = net.probe();
    assert!(found == all && all > 3, "{found} of {all}");
    assert!(net.ends.served > 500, "{:?}", net.ends);
    net.assert_sound();
}

/// In an orderly shutdown the leader transfers leadership first, so that the group has no leader only for the time of
/// a message.
#[test]
fn a_leaving_leader_transfers_leadership_first_and_is_replaced() {
    let mut net = Net::new(6, 3, 1, 6, 5);
    net.run(ms(10_000));
    for _ in 0..3 {
        let leader = net.leader(0).unwrap();
        net.leaderless.clear();
        net.leave(leader);
        net.run(ms(700));
        assert_ne!(net.leader(0), Some(leader), "{}", net.state());
        net.stop_process(leader);
        net.run(ms(3_000));
        assert!(net.all_led(), "{}", net.state());
        let gap = net.leaderless.iter().max().copied().unwrap_or_default();
        assert!(gap < ms(50), "{gap:?}");
        net.start(leader);
        net.run(ms(6_000));
        assert_eq!(net.voters(0).len(), 3);
    }
    assert_eq!(net.ends.aborted, 0, "{:?}", net.ends);
    net.assert_sound();
}

/// Two partitions each have a ledger of their own. A txn accepted by one is never reported as never accepted by the
/// other, and after the partition heals one ledger gives way.
#[test]
fn a_second_ledger_never_answers_for_the_first() {
    let mut net = Net::new(5, 3, 1, 0, 9);
    net.run(ms(8_000));
    let holders: Vec<usize> = net.member_holders(0);
    let leader = net.leader(0).unwrap();
    let third = *holders.iter().find(|h| **h != leader).unwrap();
    let near: Vec<usize> = holders.iter().copied().filter(|h| *h != third).collect();
    net.cut(true, |a, b| near.contains(&a) != near.contains(&b));
    net.kill(third);
    net.start(third);
    net.run(ms(6_000));
    let (here, there) = (net.ledger(leader, 0).unwrap(), net.ledger(third, 0).unwrap());
    assert_ne!(here, there, "{}", net.state());
    let key = Key { sender: 77, number: 5 };
    for at in [leader, third] {
        assert_eq!(
            net.submit_and_wait(at, Operation::RegisterSender(RegisterSender { sender: 77, next_number: 1 })),
            Ok(CommandResult::Registered(true))
        );
    }
    assert_eq!(net.submit_and_wait(leader, Operation::accept(key)), Ok(CommandResult::Granted));
    assert_eq!(net.submit_and_wait(third, Operation::query(key, here)), Ok(CommandResult::Unknown));
    // Without the ledger's id the txn would be reported as never accepted while it runs.
    assert_eq!(net.submit_and_wait(third, Operation::query(key, 0)), Ok(CommandResult::NeverAccepted));
    net.cut(false, |_, _| true);
    net.run(ms(12_000));
    assert!(net.all_led() && net.voters(0).len() == 3, "{}", net.state());
    assert_eq!(net.ledger(leader, 0), net.ledger(third, 0));
}

/// One random run: machine losses, pauses, partitions, lost and late frames, then quiet.
fn random_run(n: usize, copies: usize, seed: u64, disabled: DisabledSafeguards, rounds: usize) -> Net {
    let mut net = Net::with(n, copies, 2, 6, seed, seed.is_multiple_of(2));
    net.disabled = disabled;
    net.run(ms(6_000));
    for _ in 0..rounds {
        let i = net.rng.random_range(0..n);
        match net.rng.random_range(0..8) {
            0..=2 => {
                let lost = if net.rng.random_bool(0.6) { net.leader(0).unwrap_or(i) } else { i };
                net.kill(lost);
                let down = net.rng.random_range(1..4_000);
                net.run(ms(down));
                net.start(lost);
            }
            3 => {
                let lost = net.leader(0).unwrap_or(i);
                net.pause(lost, true);
                let down = net.rng.random_range(200..6_000);
                net.run(ms(down));
                net.pause(lost, false);
            }
            4 => {
                let j = net.leader(0).unwrap_or(i);
                let way = net.rng.random_range(0..3);
                let of = |a: usize, b: usize| (way != 1 && a == j) || (way != 0 && b == j);
                net.cut(true, of);
                // The links of other sites to it break as well, while it may still believe that it leads.
                let soon = net.rng.random_range(1..400);
                net.run(ms(soon));
                net.disconnect_senders(j);
                let down = net.rng.random_range(200..5_000);
                net.run(ms(down));
                net.cut(false, |_, _| true);
            }
            5 => {
                // Two losses at once: a minority of five or a majority of three. One of the two keeps its disk.
                let j = (i + 1) % n;
                net.kill(i);
                net.stop_process(j);
                net.run(ms(1_500));
                net.start(i);
                net.start(j);
            }
            6 => {
                net.loss = 0.1;
                net.late = 0.01;
                net.run(ms(2_000));
                (net.loss, net.late) = (0.0, 0.0);
            }
            _ => {
                let half = net.rng.random_range(1..n);
                net.cut(true, |a, b| (a < half) != (b < half));
                net.run(ms(2_500));
                net.cut(false, |_, _| true);
            }
        }
        let rest = net.rng.random_range(200..4_000);
        net.run(ms(rest));
    }
    net
}

fn seeds() -> u64 {
    std::env::var("COPIES_SEEDS").ok().and_then(|n| n.parse().ok()).unwrap_or(6)
}

#[test]
fn random_faults_violate_no_invariant() {
    let (mut steps, mut ends) = (0, common::Ends::default());
    let first = std::env::var("COPIES_FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in first..first + seeds() {
        let (n, copies) = [(5, 3), (7, 3), (9, 5)][seed as usize % 3];
        let mut net = random_run(n, copies, 1_000 + seed, DisabledSafeguards::default(), 12);
        assert!(
            net.violations.is_empty(),
            "seed {seed}: {:#?}",
            &net.violations[..net.violations.len().min(5)]
        );
        net.run(ms(25_000));
        net.assert_sound();
        assert!(net.all_led(), "seed {seed}: no faults, but a group has no leader\n{}", net.state());
        assert!((0..2).all(|g| net.voters(g).len() == copies), "seed {seed}\n{}", net.state());
        steps += net.steps;
        ends.submitted += net.ends.submitted;
        ends.served += net.ends.served;
        ends.aborted += net.ends.aborted;
        ends.retried += net.ends.retried;
        ends.rejected += net.ends.rejected;
    }
    println!("{steps} steps, {ends:?}");
}

/// Leaders with many pending txns are paused and resume after others have taken over.
fn pause_leaders(seed: u64, disabled: DisabledSafeguards) -> Net {
    let mut net = Net::new(5, 3, 1, 30, seed);
    net.disabled = disabled;
    net.run(ms(6_000));
    for _ in 0..10 {
        let leader = net.leader(0).unwrap_or(0);
        net.pause(leader, true);
        net.run(ms(4_000));
        net.pause(leader, false);
        let rest = net.rng.random_range(1_000..2_000);
        net.run(ms(rest));
    }
    net
}

#[test]
fn a_paused_leader_runs_nothing_after_it_resumes() {
    for seed in 0..4 {
        let net = pause_leaders(seed, DisabledSafeguards::default());
        net.assert_sound();
        assert!(net.ends.served > 1_000, "{:?}", net.ends);
    }
}

/// The raft library panics on a member that lost its state under its own id: the membership is dropped, the process
/// continues.
#[test]
fn a_panic_in_the_raft_library_ends_the_membership_but_not_the_gateway() {
    let panics = |seed| {
        let mut net = random_run(
            5,
            3,
            seed,
            DisabledSafeguards { fresh_run_id: true, ..DisabledSafeguards::default() },
            12,
        );
        let before = net.raft_panics();
        net.disabled = DisabledSafeguards::default();
        net.run(ms(25_000));
        assert!(before == 0 || net.all_led(), "{}", net.state());
        before > 0
    };
    assert!((0..30).any(panics));
}

/// The checks detect each safeguard that is disabled.
#[test]
fn each_disabled_safeguard_is_detected() {
    let all = [
        DisabledSafeguards { replicate_accept_first: true, ..DisabledSafeguards::default() },
        DisabledSafeguards { replicate_outcome_first: true, ..DisabledSafeguards::default() },
        DisabledSafeguards { fresh_run_id: true, ..DisabledSafeguards::default() },
        DisabledSafeguards { accept_lease: true, ..DisabledSafeguards::default() },
    ];
    for disabled in all {
        let run = |seed| {
            if disabled.accept_lease {
                pause_leaders(seed, disabled)
            } else {
                random_run(5, 3, seed, disabled, 12)
            }
        };
        // The raft library itself panics where a member has lost entries that it acknowledged.
        let breaks =
            |seed| Some(run(seed)).is_some_and(|net| !net.violations.is_empty() || net.raft_panics() > 0);
        let found = (0..60).find(|&seed| breaks(seed));
        println!("{disabled:?}: detected by seed {found:?}");
        assert!(found.is_some(), "{disabled:?} is not detected");
    }
}

/// A holder that was just invited and has received no state does not keep the others from founding the group.
#[test]
fn an_invited_member_without_state_does_not_block_a_new_founding() {
    let now = Time::from_micros(1_000_000);
    let file = |i| common::file(i, 3, 3, 1, false);
    let mut nodes: Vec<Node> = (0..3).map(|i| Node::new(&file(i), 10 + i as u64, 1, now).unwrap()).collect();
    let hellos: Vec<Vec<u8>> = nodes.iter().map(Node::hello).collect();
    let called = &mut nodes[0];
    called.hello_received(now, &hellos[1]).unwrap();
    called.hello_received(now, &hellos[2]).unwrap();
    let mut message = Message { from: 500, to: 600, term: 2, ..Message::default() };
    message.set_msg_type(MessageType::MsgHeartbeat);
    let message = message.write_to_bytes().unwrap();
    let member = wire::RaftMessage { group: 0, ledger: 9, message, to_run_id: 10, from: 500 };
    called.frame_received(now, 1, 11, &wire::encode(Payload::RaftMessage(member)));
    assert!(called.member(0).is_some());
    while called.poll().is_some() {}
    called.frame_received(now, 2, 12, &wire::encode(Payload::FindGroup(wire::FindGroup { group: 0 })));
    let frames = std::iter::from_fn(|| called.poll()).filter_map(|out| match out {
        Out::Send { holder: 2, frame, .. } => wire::decode(&frame),
        _ => None,
    });
    let here = frames
        .filter_map(|said| if let Payload::GroupStatus(here) = said { Some(here) } else { None })
        .last();
    assert!(here.is_some_and(|h| h.ledger == 0 && h.supports_founder), "{here:?}");
}

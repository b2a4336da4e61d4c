//! Holders of copies in simulated time: a group comes to be, loses machines with all they hold, and breaks no rule.

mod common;

use common::{Net, Without, ms};
use kelpcart::Time;
use kelpcart_copies::command::{CommandResult, Operation, RegisterSender};
use kelpcart_copies::node::{Node, Out};
use kelpcart_copies::wire::{self, Payload};
use kelpcart_sites::ledger::Key;
use protobuf::Message as _;
use raft::eraftpb::{Message, MessageType};
use rand::Rng;

#[test]
fn a_group_comes_to_be_and_serves() {
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
fn a_machine_lost_with_all_it_held_is_replaced_and_nothing_promised_is_lost() {
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

/// What was promised and not settled is found where it was promised, whoever is asked.
#[test]
fn what_ended_is_found_again_after_losses_of_one_machine_after_the_other() {
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

/// All processes end at once and start again: with disks the endings are there, without them nothing is called never
/// taken.
#[test]
fn after_a_loss_of_all_processes_the_disks_know_how_books_ended() {
    for disk in [true, false] {
        let mut net = Net::with(5, 3, 1, 6, 3, disk);
        net.run(ms(8_000));
        net.busy = false;
        net.run(ms(500));
        (0..5).for_each(|i| net.end(i));
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

/// Two of three are lost with all they held; the third tells the ledger that follows what it knows.
#[test]
fn who_survives_the_loss_of_a_majority_tells_what_it_knows() {
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

/// Two of three members are gone for good, and nobody comes in their places under their names: the operators say so.
#[test]
fn a_group_goes_on_once_those_lost_for_good_are_named() {
    let mut net = Net::new(5, 3, 1, 6, 8);
    net.run(ms(8_000));
    net.busy = false;
    net.run(ms(1_000));
    let members = net.member_holders(0);
    let gone = [members[0], members[1]];
    gone.iter().for_each(|&i| net.kill(i));
    net.run(ms(20_000));
    assert!(!net.all_led(), "nobody has proof that they are gone for good");
    net.lose_for_good(&gone);
    net.run(ms(8_000));
    assert!(net.all_led() && net.voters(0).len() == 3, "{}", net.state());
    let (found, all) = net.probe();
    assert!(found == all && all > 3, "{found} of {all}");
    net.busy = true;
    net.run(ms(2_000));
    net.assert_sound();
}

/// Clocks an hour apart, and the leader lost again and again: the group's time goes on, and what is kept is kept.
#[test]
fn gateways_an_hour_apart_agree() {
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

/// A planned end: the leader hands over before it goes, and nobody is without one for longer than a word takes.
#[test]
fn a_leader_that_leaves_hands_over_first_and_is_replaced() {
    let mut net = Net::new(6, 3, 1, 6, 5);
    net.run(ms(10_000));
    for _ in 0..3 {
        let leader = net.leader(0).unwrap();
        net.leaderless.clear();
        net.leave(leader);
        net.run(ms(700));
        assert_ne!(net.leader(0), Some(leader), "{}", net.state());
        net.end(leader);
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

/// Two halves that know nothing of each other have each a ledger: what one has taken the other never calls never taken,
/// and when they meet one gives way.
#[test]
fn a_second_ledger_beside_the_first_never_speaks_for_it() {
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
            net.question(at, Operation::RegisterSender(RegisterSender { sender: 77, next_number: 1 })),
            Ok(CommandResult::Registered(true))
        );
    }
    assert_eq!(net.question(leader, Operation::accept(key)), Ok(CommandResult::Granted));
    assert_eq!(net.question(third, Operation::query(key, here)), Ok(CommandResult::Unknown));
    // Without the ledger's number it would be called never taken, while it runs.
    assert_eq!(net.question(third, Operation::query(key, 0)), Ok(CommandResult::NeverAccepted));
    net.cut(false, |_, _| true);
    net.run(ms(12_000));
    assert!(net.all_led() && net.voters(0).len() == 3, "{}", net.state());
    assert_eq!(net.ledger(leader, 0), net.ledger(third, 0));
}

/// One random day: kills, stops, cuts, loss and late frames, then quiet.
fn day(n: usize, copies: usize, seed: u64, without: Without, rounds: usize) -> Net {
    let mut net = Net::with(n, copies, 2, 6, seed, seed.is_multiple_of(2));
    net.without = without;
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
                net.stop(lost, true);
                let down = net.rng.random_range(200..6_000);
                net.run(ms(down));
                net.stop(lost, false);
            }
            4 => {
                let j = net.leader(0).unwrap_or(i);
                let way = net.rng.random_range(0..3);
                let of = |a: usize, b: usize| (way != 1 && a == j) || (way != 0 && b == j);
                net.cut(true, of);
                // The links of other sites to it break, too, while it may still believe that it leads.
                let soon = net.rng.random_range(1..400);
                net.run(ms(soon));
                net.part(j);
                let down = net.rng.random_range(200..5_000);
                net.run(ms(down));
                net.cut(false, |_, _| true);
            }
            5 => {
                // Two at once, of five a minority, of three a majority; one of them with its disk.
                let j = (i + 1) % n;
                net.kill(i);
                net.end(j);
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
fn random_days_break_no_rule() {
    let (mut steps, mut ends) = (0, common::Ends::default());
    let first = std::env::var("COPIES_FIRST").ok().and_then(|n| n.parse().ok()).unwrap_or(0);
    for seed in first..first + seeds() {
        let (n, copies) = [(5, 3), (7, 3), (9, 5)][seed as usize % 3];
        let mut net = day(n, copies, 1_000 + seed, Without::default(), 12);
        assert!(net.broken.is_empty(), "seed {seed}: {:#?}", &net.broken[..net.broken.len().min(5)]);
        net.run(ms(25_000));
        net.assert_sound();
        assert!(net.all_led(), "seed {seed}: all is quiet, and a group has no leader\n{}", net.state());
        assert!((0..2).all(|g| net.voters(g).len() == copies), "seed {seed}\n{}", net.state());
        steps += net.steps;
        ends.asked += net.ends.asked;
        ends.served += net.ends.served;
        ends.aborted += net.ends.aborted;
        ends.again += net.ends.again;
        ends.told_off += net.ends.told_off;
    }
    println!("{steps} steps, {ends:?}");
}

/// Leaders with much in hand are stopped and go on after others have taken over.
fn stops(seed: u64, without: Without) -> Net {
    let mut net = Net::new(5, 3, 1, 30, seed);
    net.without = without;
    net.run(ms(6_000));
    for _ in 0..10 {
        let leader = net.leader(0).unwrap_or(0);
        net.stop(leader, true);
        net.run(ms(4_000));
        net.stop(leader, false);
        let rest = net.rng.random_range(1_000..2_000);
        net.run(ms(rest));
    }
    net
}

#[test]
fn a_leader_stopped_and_continued_sends_nothing_on() {
    for seed in 0..4 {
        let net = stops(seed, Without::default());
        net.assert_sound();
        assert!(net.ends.served > 1_000, "{:?}", net.ends);
    }
}

/// The library gives up on a member that has forgotten under its own id: the membership ends, the process goes on.
#[test]
fn a_member_that_the_library_gives_up_on_leaves_and_the_gateway_goes_on() {
    let given_up = |seed| {
        let mut net = day(5, 3, seed, Without { new_id: true, ..Without::default() }, 12);
        let before = net.given_up();
        net.without = Without::default();
        net.run(ms(25_000));
        assert!(before == 0 || net.all_led(), "{}", net.state());
        before > 0
    };
    assert!((0..30).any(given_up));
}

/// Each remedy taken out is found by the rules.
#[test]
fn each_remedy_left_out_is_found() {
    let all = [
        Without { copied_first: true, ..Without::default() },
        Without { ended_first: true, ..Without::default() },
        Without { new_id: true, ..Without::default() },
        Without { given_up: true, ..Without::default() },
    ];
    for without in all {
        let play = |seed| if without.given_up { stops(seed, without) } else { day(5, 3, seed, without, 12) };
        // The consensus library itself gives up where a member has forgotten what it told its leader that it holds.
        let breaks = |seed| Some(play(seed)).is_some_and(|net| !net.broken.is_empty() || net.given_up() > 0);
        let found = (0..60).find(|&seed| breaks(seed));
        println!("{without:?}: found by seed {found:?}");
        assert!(found.is_some(), "{without:?} is not found");
    }
}

/// A holder that a leader has just called, and told nothing, does not keep the others from founding the group anew.
#[test]
fn who_was_called_and_told_nothing_stands_in_nobodys_way() {
    let now = Time::from_micros(1_000_000);
    let file = |i| common::file(i, 3, 3, 1, false);
    let mut nodes: Vec<Node> = (0..3).map(|i| Node::new(&file(i), 10 + i as u64, 1, now).unwrap()).collect();
    let greetings: Vec<Vec<u8>> = nodes.iter().map(Node::hello).collect();
    let called = &mut nodes[0];
    called.hello_received(now, &greetings[1]).unwrap();
    called.hello_received(now, &greetings[2]).unwrap();
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

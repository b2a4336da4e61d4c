//! The hard cases of a link, one by one: each is played by hand against the cores of both ends.

use kelpcart::{Span, Time};
use kelpcart_sites::acceptor::{Acceptor, Call, RefusalReason, RequestMeta, SessionAction};
use kelpcart_sites::initiator::{HopOutcome, HopSpec, Initiator, LinkAction, LinkPhase, Welcome};
use kelpcart_sites::ledger::{Admission, Answer, Bounds, Change, Key, Ledger, Lookup, TxnOutcome};
use kelpcart_sites::settings::Sites;
use kelpcart_sites::wire::{Hello, TxnStatus, VERSION};
use serde_json::json;
use std::collections::VecDeque;
use std::sync::Arc;

fn welcome(ledger: u64) -> Welcome {
    Welcome { ledger, credit: 64, leaving: false, knows_past_ledgers: false }
}

fn at(ms: u64) -> Time {
    Time::from_micros(1_000_000 + ms * 1_000)
}

fn ms(n: u64) -> Span {
    Span::from_millis(n)
}

fn settings(site: &str, other: &str, durable: bool) -> Sites {
    let peer = |name: &str| json!({"name": name, "site": other, "address": "127.0.0.1:1", "as": ["parent"], "size": 1.0});
    let all = json!({
        "site": site, "gateway": "g", "listen": "127.0.0.1:1", "accept": [other],
        "peers": [peer("a"), peer("b")],
        "keys": {"certificate": "", "key": "", "roots": ""},
        "limits": {"answer_before_ms": 0, "taken": 4, "queue_kb": 100_000},
        "ledger": {"file": durable.then_some("somewhere"), "age_ms": 1_000},
    });
    Sites::read(&all.to_string()).unwrap()
}

/// A near end with its first link up, at a round trip of 100 ms.
fn near() -> Initiator {
    let mut near = Initiator::new(&settings("east", "west", false), 7, at(0));
    acts(&mut near, 0);
    near.connected(at(0), 0, &welcome(70));
    pong(&mut near, 0, 100);
    near
}

fn acts(near: &mut Initiator, now: u64) -> Vec<LinkAction> {
    std::iter::from_fn(|| near.poll(at(now))).collect()
}

/// Answers the newest sign of life that was asked for on the first link.
fn pong(near: &mut Initiator, asked: u64, answered: u64) -> bool {
    let ping = acts(near, asked).into_iter().rev().find_map(|a| match a {
        LinkAction::Ping { link: 0, number } => Some(number),
        _ => None,
    });
    if let Some(number) = ping {
        near.pong_received(at(answered), 0, number, 64, false);
    }
    ping.is_some()
}

fn want(once: bool, until: u64) -> HopSpec<'static> {
    HopSpec {
        importance: 5,
        unrepeatable: once,
        size_kb: Some(1.0),
        body_bytes: 0,
        deadline: at(until),
        sla_deadline: at(until),
        path: &[],
    }
}

fn ends(all: &[LinkAction]) -> Vec<(u64, HopOutcome)> {
    all.iter()
        .filter_map(|a| {
            if let LinkAction::Finished { number, outcome: end } = a { Some((*number, *end)) } else { None }
        })
        .collect()
}

fn sent(all: &[LinkAction]) -> Vec<u64> {
    all.iter()
        .filter_map(|a| if let LinkAction::Send { number, .. } = a { Some(*number) } else { None })
        .collect()
}

fn asked(all: &[LinkAction]) -> Vec<u64> {
    let numbers = |a: &LinkAction| {
        if let LinkAction::QueryStatus { numbers, .. } = a { numbers.clone() } else { Vec::new() }
    };
    all.iter().flat_map(numbers).collect()
}

/// Waits out the time before the next try, and has the first link's connection stand again.
fn back(near: &mut Initiator, now: u64, ledger: u64) -> Vec<LinkAction> {
    let all = acts(near, now);
    assert!(all.contains(&LinkAction::Dial { link: 0 }), "{all:?}");
    near.connected(at(now), 0, &welcome(ledger));
    acts(near, now)
}

#[test]
fn a_cut_between_commit_and_answer_is_asked_about_and_the_answer_given_once() {
    let mut near = near();
    let book = near.submit(at(100), 0, &want(true, 3_000));
    assert_eq!(sent(&acts(&mut near, 100)), [book]);
    near.accepted(at(200), book);
    near.disconnected(at(210), 0);
    assert_eq!(ends(&acts(&mut near, 210)), []);
    assert_eq!(asked(&back(&mut near, 600, 70)), [book]);
    near.answered(at(700), 0, book, 10.0);
    // The same once more, as an older connection could still bring it.
    near.answered(at(701), 0, book, 10.0);
    assert_eq!(ends(&acts(&mut near, 701)), [(book, HopOutcome::Answered)]);
    assert_eq!(ends(&acts(&mut near, 4_000)), []);
}

#[test]
fn only_what_was_never_taken_counts_as_not_run() {
    for (fate, end) in
        [(TxnStatus::NeverAccepted, HopOutcome::NeverAccepted), (TxnStatus::Unknown, HopOutcome::Lost)]
    {
        let mut near = near();
        let book = near.submit(at(100), 0, &want(true, 3_000));
        acts(&mut near, 100);
        near.disconnected(at(110), 0);
        assert_eq!(asked(&back(&mut near, 600, 70)), [book]);
        near.status_received(at(700), 0, book, fate);
        assert_eq!(ends(&acts(&mut near, 700)), [(book, end)]);
    }
    // One that runs is waited for, by its time at the longest.
    let mut near = near();
    let book = near.submit(at(100), 0, &want(true, 3_000));
    acts(&mut near, 100);
    near.disconnected(at(110), 0);
    back(&mut near, 600, 70);
    near.status_received(at(700), 0, book, TxnStatus::Running);
    assert_eq!(ends(&acts(&mut near, 2_900)), []);
    assert_eq!(ends(&acts(&mut near, 3_000)), [(book, HopOutcome::TimedOut)]);
}

#[test]
fn a_far_gateway_that_started_anew_without_a_durable_ledger_knows_nothing() {
    let mut near = near();
    let book = near.submit(at(100), 0, &want(true, 3_000));
    acts(&mut near, 100);
    near.disconnected(at(110), 0);
    let all = back(&mut near, 600, 71);
    assert_eq!((asked(&all), ends(&all)), (vec![], vec![(book, HopOutcome::Lost)]));
}

#[test]
fn another_link_to_the_same_gateway_settles_what_is_in_doubt() {
    let mut near = near();
    near.connected(at(100), 1, &welcome(70));
    let book = near.submit(at(100), 0, &want(true, 3_000));
    acts(&mut near, 100);
    near.disconnected(at(110), 0);
    assert!(acts(&mut near, 110).contains(&LinkAction::QueryStatus {
        link: 1,
        ledger: 70,
        numbers: vec![book]
    }));
    near.status_received(at(200), 1, book, TxnStatus::NeverAccepted);
    assert_eq!(ends(&acts(&mut near, 200)), [(book, HopOutcome::NeverAccepted)]);
}

#[test]
fn what_may_run_again_is_given_back_at_the_cut_and_what_was_not_whole_is_not_run() {
    let mut near = near();
    let (media, book) =
        (near.submit(at(100), 0, &want(false, 3_000)), near.submit(at(100), 0, &want(true, 3_000)));
    acts(&mut near, 100);
    near.send_failed(at(110), book);
    near.disconnected(at(110), 0);
    assert_eq!(ends(&acts(&mut near, 110)), [(book, HopOutcome::Down), (media, HopOutcome::Lost)]);
}

#[test]
fn a_silent_link_is_suspected_and_new_txns_are_told_at_once() {
    let mut near = near();
    let book = near.submit(at(1_000), 0, &want(true, 9_000));
    assert_eq!(sent(&acts(&mut near, 1_000)), [book]);
    let mut now = 1_000;
    // Half-open: what is sent goes out, nothing comes back.
    while near.link_stats(0).phase == LinkPhase::Up {
        now += 10;
        acts(&mut near, now);
        assert!(now < 2_500, "never suspected");
    }
    // Round trip of 100 ms, spread 50 ms: three time-outs of 300 ms at the most.
    assert!(now <= 1_000 + 910, "{now}");
    let other = near.submit(at(now), 0, &want(false, 9_000));
    assert_eq!(ends(&acts(&mut near, now)), [(other, HopOutcome::Down)]);
    // Dark for long: the connection is given up, and what is in doubt stays so.
    let mut all = Vec::new();
    for t in now..now + 2_000 {
        all.extend(acts(&mut near, t));
    }
    assert!(all.contains(&LinkAction::Disconnect { link: 0 }) && ends(&all).is_empty());
}

#[test]
fn a_link_that_comes_back_proves_itself_and_returns_in_steps() {
    let mut near = near();
    near.disconnected(at(1_000), 0);
    back(&mut near, 1_500, 70);
    let refused = near.submit(at(1_500), 0, &want(false, 9_000));
    assert_eq!(ends(&acts(&mut near, 1_500)), [(refused, HopOutcome::Down)]);
    let mut now = 1_500;
    for _ in 0..3 {
        assert_ne!(near.link_stats(0).phase, LinkPhase::Up);
        near.poll(at(now));
        let mut pinged = false;
        while !pinged {
            pinged = pong(&mut near, now, now + 90);
            now += 100;
        }
    }
    assert_eq!(near.link_stats(0).phase, LinkPhase::Up);
    let mut last = near.link_stats(0).credit_share;
    assert!(last <= 0.05);
    for second in 1..20 {
        pong(&mut near, now + second * 1_000, now + second * 1_000 + 90);
        let part = near.link_stats(0).credit_share;
        assert!(part >= last && part - last <= 0.075 + 1e-9, "{last} to {part}");
        last = part;
    }
    assert!(last > 0.95, "{last}");
}

/// A host that calls the core whenever it asks for that would do nothing else.
#[test]
fn a_link_on_trial_does_not_ask_to_be_called_at_once() {
    let mut near = near();
    let mut now = 0;
    // Owed a sign of life until it is suspected, then one comes in time.
    while near.link_stats(0).phase == LinkPhase::Up {
        now += 10;
        acts(&mut near, now);
    }
    while !matches!(near.link_stats(0).phase, LinkPhase::Trial(_)) {
        now += 10;
        pong(&mut near, now, now + 5);
        assert!(now < 60_000, "{:?}", near.link_stats(0));
    }
    now += 3_000;
    near.peer_active(at(now), 0);
    acts(&mut near, now);
    assert!(matches!(near.link_stats(0).phase, LinkPhase::Trial(_)), "{:?}", near.link_stats(0));
    assert!(near.next_wake() > at(now), "{:?}", near.next_wake());
}

#[test]
fn gateways_do_not_come_back_at_one_moment() {
    let first_try = |seed| {
        let mut near = Initiator::new(&settings("east", "west", false), seed, at(0));
        acts(&mut near, 0);
        near.disconnected(at(0), 0);
        (0..10_000).find(|&t| acts(&mut near, t).contains(&LinkAction::Dial { link: 0 })).unwrap()
    };
    let mut tries: Vec<u64> = (0..40).map(first_try).collect();
    tries.sort_unstable();
    tries.dedup();
    assert!(tries.len() > 20 && tries[0] >= 50 && tries[tries.len() - 1] <= 101, "{tries:?}");
}

#[test]
fn a_far_end_that_answers_signs_of_life_and_no_txn_costs_its_hops_their_time_only() {
    let mut near = near();
    let media = near.submit(at(200), 0, &want(false, 1_200));
    acts(&mut near, 200);
    let mut all = Vec::new();
    for t in (200..1_300).step_by(20) {
        let now = acts(&mut near, t);
        for act in &now {
            if let LinkAction::Ping { link: 0, number } = act {
                near.pong_received(at(t), 0, *number, 64, false);
            }
        }
        all.extend(now);
    }
    assert_eq!((ends(&all), near.link_stats(0).phase), (vec![(media, HopOutcome::TimedOut)], LinkPhase::Up));
    assert!(
        all.contains(&LinkAction::Cancel { link: 0, number: media }) && near.link_stats(0).in_flight == 0
    );
}

#[test]
fn a_book_goes_before_fifty_megabytes_that_wait() {
    let mut near = near();
    for _ in 0..200 {
        near.submit(
            at(100),
            0,
            &HopSpec { size_kb: Some(250_000.0 / 1_024.0), importance: 2, ..want(false, 60_000) },
        );
    }
    let before = sent(&acts(&mut near, 100));
    assert!((1..10).contains(&before.len()), "{}", before.len());
    let book = near.submit(at(110), 0, &HopSpec { importance: 9, ..want(true, 3_000) });
    near.answered(at(300), 0, before[0], 250_000.0);
    let next = sent(&acts(&mut near, 300));
    assert_eq!(next.first(), Some(&book));
}

#[test]
fn what_cannot_cross_in_its_time_is_told_at_once_and_never_sent() {
    let mut near = near();
    // A link of 1 MB/s that is always asked for more than it carries: 100 KB arrive each 100 ms.
    let mut now = 200;
    let (mut out, mut told) = (VecDeque::new(), Vec::new());
    let large = |now, limit| HopSpec { size_kb: Some(100_000.0 / 1_024.0), ..want(false, now + limit) };
    for _ in 0..60 {
        for _ in 0..3 {
            near.submit(at(now), 0, &large(now, 60_000));
        }
        let all = acts(&mut near, now);
        out.extend(sent(&all));
        now += 100;
        near.answered(at(now), 0, out.pop_front().unwrap(), 100_000.0);
    }
    // What is out and waits already takes seconds: one for less time is told off at once, one for more is not.
    let (short, long) =
        (near.submit(at(now), 0, &large(now, 2_000)), near.submit(at(now), 0, &large(now, 60_000)));
    let all = acts(&mut near, now);
    told.extend(ends(&all));
    assert!(told.contains(&(short, HopOutcome::Full)) && !sent(&all).contains(&short));
    assert!(told.iter().all(|(number, _)| *number != long));
    // What matters more goes before what waits, and is not told off for it.
    let book = near.submit(at(now), 0, &HopSpec { importance: 9, ..want(true, now + 3_000) });
    let mut all = acts(&mut near, now);
    near.answered(at(now + 50), 0, out.pop_front().unwrap(), 100_000.0);
    all.extend(acts(&mut near, now + 50));
    assert!(sent(&all).contains(&book) && ends(&all).iter().all(|e| e.0 != book));
}

#[test]
fn what_never_could_be_in_time_waits_for_one_sla_time_at_the_most() {
    let mut near = near();
    // Round trips of 100 ms, wanted within 50: its client waits for a minute, the queue is full of such.
    let slow =
        |now: u64| HopSpec { size_kb: Some(200.0), sla_deadline: at(now + 50), ..want(false, now + 60_000) };
    let all: Vec<u64> = (0..20).map(|_| near.submit(at(200), 0, &slow(200))).collect();
    let out = sent(&acts(&mut near, 200));
    assert!(!out.is_empty() && out.len() < all.len());
    let told = ends(&acts(&mut near, 251));
    assert_eq!(told.len() + out.len(), all.len());
    assert!(told.iter().all(|(_, end)| *end == HopOutcome::Full));
}

#[test]
fn the_far_end_is_told_what_time_is_left_and_no_time_of_day() {
    // An hour apart, nothing differs: only spans cross.
    for skew in [0, 3_600_000] {
        let mut near = Initiator::new(&settings("east", "west", false), 7, at(skew));
        acts(&mut near, skew);
        near.connected(at(skew), 0, &welcome(70));
        pong(&mut near, skew, skew + 100);
        near.submit(at(skew + 200), 0, &want(true, skew + 2_200));
        let left = acts(&mut near, skew + 200).into_iter().find_map(|a| match a {
            LinkAction::Send { time_left: left, .. } => Some(left),
            _ => None,
        });
        // Two seconds less a careful round trip.
        assert_eq!(left, Some(ms(1_700)));
    }
}

#[test]
fn a_txn_does_not_go_where_it_has_been() {
    let mut near = near();
    let path = ["west".to_owned()];
    let number = near.submit(at(100), 0, &HopSpec { path: &path, ..want(false, 3_000) });
    assert_eq!(ends(&acts(&mut near, 100)), [(number, HopOutcome::Loop)]);
    let path = ["north".to_owned(), "south".to_owned()];
    let number = near.submit(at(100), 0, &HopSpec { path: &path, ..want(false, 3_000) });
    assert_eq!(ends(&acts(&mut near, 100)), [(number, HopOutcome::Loop)]);
}

#[test]
fn one_that_leaves_gets_nothing_new_and_what_waits_is_told() {
    let mut near = near();
    let out = near.submit(at(100), 0, &want(true, 3_000));
    acts(&mut near, 100);
    near.peer_leaving(at(110), 0);
    let new = near.submit(at(120), 0, &want(true, 3_000));
    assert_eq!(ends(&acts(&mut near, 120)), [(new, HopOutcome::Down)]);
    near.answered(at(200), 0, out, 10.0);
    assert_eq!(ends(&acts(&mut near, 200)), [(out, HopOutcome::Answered)]);
}

/// A far end with sessions 1 and 2 of the same gateway's run.
struct World {
    far: Acceptor,
    calls: Vec<(Call, u64)>,
}

fn far(durable: bool) -> World {
    let mut far = Acceptor::new(&settings("west", "east", durable), at(0));
    for session in [1, 2] {
        far.hello(at(0), session, &hello(), true);
    }
    World { far, calls: Vec::new() }
}

fn hello() -> Hello {
    Hello { version: VERSION, site: "east".to_owned(), gateway: "e1".to_owned(), run_id: 5, next_number: 1 }
}

impl World {
    fn request(&mut self, now: u64, session: u64, number: u64) -> Vec<SessionAction> {
        self.request_by(now, session, number, &["east".to_owned()])
    }

    fn request_by(&mut self, now: u64, session: u64, number: u64, path: &[String]) -> Vec<SessionAction> {
        let call = self.far.request(
            at(now),
            session,
            &RequestMeta { number, unrepeatable: true, importance: 5, path },
        );
        self.calls.extend(call.map(|call| (call, number)));
        self.does(now)
    }

    fn does(&mut self, now: u64) -> Vec<SessionAction> {
        std::iter::from_fn(|| self.far.poll(at(now))).collect()
    }

    fn ask(&mut self, now: u64, session: u64, number: u64) -> Vec<SessionAction> {
        self.far.query_status(at(now), session, 0, &[number]);
        self.does(now)
    }

    fn end(&mut self, now: u64, number: u64, body: &[u8]) -> Option<(u64, u64)> {
        let at_call = self.calls.iter().position(|c| c.1 == number).unwrap();
        let (call, _) = self.calls.remove(at_call);
        self.far.finished(at(now), call, &answer(body))
    }
}

fn answer(body: &[u8]) -> Arc<Answer> {
    Arc::new(Answer { outcome: TxnOutcome::Served, body: body.to_vec() })
}

fn runs(all: &[SessionAction]) -> usize {
    all.iter().filter(|d| matches!(d, SessionAction::Run { .. })).count()
}

#[test]
fn a_request_that_an_old_connection_brings_late_does_not_run_once_it_was_called_never_taken() {
    let mut world = far(false);
    world.does(0);
    let said = world.ask(10, 2, 9);
    assert_eq!(said, [SessionAction::SendStatus { session: 2, number: 9, status: TxnStatus::NeverAccepted }]);
    let late = world.request(20, 1, 9);
    assert_eq!(late, [SessionAction::RefuseHop { session: 1, number: 9, reason: RefusalReason::Fenced }]);
}

#[test]
fn what_was_told_off_stays_so_when_it_comes_again() {
    let mut world = far(false);
    world.does(0);
    // Two sessions: each may have two here.
    assert_eq!((runs(&world.request(1, 1, 1)), runs(&world.request(1, 1, 2))), (1, 1));
    assert_eq!(
        world.request(1, 1, 3),
        [SessionAction::RefuseHop { session: 1, number: 3, reason: RefusalReason::Full }]
    );
    world.end(2, 1, b"done");
    assert_eq!(
        world.request(3, 1, 3),
        [SessionAction::RefuseHop { session: 1, number: 3, reason: RefusalReason::Fenced }]
    );
    assert_eq!(runs(&world.request(3, 1, 4)), 1);
}

#[test]
fn what_has_run_is_never_told_off_as_not_run_when_it_comes_again() {
    let mut world = far(false);
    world.does(0);
    world.request(1, 1, 1);
    world.end(2, 1, b"done");
    // No room is left, and then it leaves: the second coming is still answered by what became of the first.
    assert_eq!((runs(&world.request(3, 1, 2)), runs(&world.request(3, 1, 3))), (1, 1));
    let told = |session| [SessionAction::SendAnswer { session, number: 1, answer: answer(b"done") }];
    assert_eq!(world.request(4, 1, 1), told(1));
    world.far.stop();
    world.does(5);
    assert_eq!(world.request(6, 1, 1), told(1));
}

#[test]
fn a_resumed_session_gets_the_answer_while_the_old_one_still_stands() {
    let mut world = far(false);
    world.does(0);
    assert_eq!(runs(&world.request(1, 1, 1)), 1);
    assert_eq!(
        world.ask(5, 2, 1),
        [SessionAction::SendStatus { session: 2, number: 1, status: TxnStatus::Running }]
    );
    // Once more by either connection: it joins.
    assert_eq!(world.request(6, 1, 1), [SessionAction::AlreadyRunning { session: 1, number: 1 }]);
    world.ask(7, 2, 1);
    assert_eq!(world.end(9, 1, b"done"), Some((2, 1)));
    let told = SessionAction::SendAnswer { session: 2, number: 1, answer: answer(b"done") };
    assert_eq!(world.ask(10, 2, 1), [told]);
}

#[test]
fn a_cut_gives_up_what_may_run_again_and_lets_the_rest_run_to_its_end() {
    let mut world = far(false);
    world.does(0);
    world.request(1, 1, 1);
    let path = ["east".to_owned()];
    let media = world
        .far
        .request(at(1), 1, &RequestMeta { number: 2, unrepeatable: false, importance: 5, path: &path })
        .unwrap();
    world.does(1);
    world.far.disconnected(1);
    assert_eq!(world.does(2), [SessionAction::Cancel { call: media }]);
    assert_eq!(world.end(5, 1, b"done"), None);
    assert_eq!(
        world.ask(6, 2, 1),
        [SessionAction::SendAnswer { session: 2, number: 1, answer: answer(b"done") }]
    );
}

#[test]
fn nothing_runs_before_the_disk_has_it_nor_if_it_was_given_up_till_then() {
    let mut world = far(true);
    let first = world.does(0);
    assert!(matches!(&first[0], SessionAction::Persist { seq: 1, .. }));
    let all = world.request(1, 1, 1);
    let key = Key { sender: 5, number: 1 };
    assert_eq!(all, [SessionAction::Persist { seq: 2, changes: vec![Change::Accepted(key)] }]);
    world.request(1, 1, 2);
    world.far.cancelled(1, 2);
    world.far.persisted(at(2), 1);
    assert_eq!(world.does(2), []);
    world.far.persisted(at(3), 3);
    let all = world.does(3);
    assert_eq!(runs(&all), 1, "{all:?}");
    // The disk fails: what waits for it is told off, and has not run.
    world.request(4, 2, 3);
    world.far.persist_failed(at(5), 9);
    let all = world.does(5);
    let told = |d: &SessionAction| matches!(d, SessionAction::SendAnswer { number: 3, answer, .. } if matches!(answer.outcome, TxnOutcome::Rejected { .. }));
    assert!(runs(&all) == 0 && all.iter().any(told), "{all:?}");
}

#[test]
fn after_a_restart_the_disk_tells_what_was_taken_and_what_never_was() {
    let mut world = far(true);
    let (lost, ended) = (Key { sender: 5, number: 7 }, Key { sender: 5, number: 8 });
    let floors = [Key { sender: 5, number: 4 }];
    let taken = [(lost, None), (ended, Some(Answer::clone(&answer(b"done"))))];
    world.far = Acceptor::new(&settings("west", "east", true), at(0));
    world.far.recover(at(0), &floors, &taken);
    world.far.hello(at(0), 1, &Hello { next_number: 10, ..hello() }, true);
    world.does(0);
    let say = |number, fate| SessionAction::SendStatus { session: 1, number, status: fate };
    assert_eq!(world.ask(1, 1, 7), [say(7, TxnStatus::Unknown)]);
    assert_eq!(
        world.ask(1, 1, 8),
        [SessionAction::SendAnswer { session: 1, number: 8, answer: answer(b"done") }]
    );
    assert_eq!(world.ask(1, 1, 9), [say(9, TxnStatus::NeverAccepted)]);
    // Let go of before the restart: not never taken.
    assert_eq!(world.ask(1, 1, 3), [say(3, TxnStatus::Unknown)]);
}

#[test]
fn a_peer_of_another_version_site_or_certificate_is_turned_away() {
    let mut world = far(false);
    world.does(0);
    let why = |world: &mut World, session: u64, hello: &Hello, proven: bool| {
        world.far.hello(at(1), session, hello, proven);
        match world.does(1).pop() {
            Some(SessionAction::RefuseSession { reason: why, .. }) => why,
            other => panic!("{other:?}"),
        }
    };
    let old = Hello { version: VERSION + 1, ..hello() };
    assert_eq!(why(&mut world, 3, &old, true), "protocol version 1 is required, got 2");
    assert!(why(&mut world, 3, &hello(), false).contains("certificate"));
    let stranger = Hello { site: "north".to_owned(), ..hello() };
    assert!(why(&mut world, 3, &stranger, true).contains("the site is not in `accept`"));
    assert!(why(&mut world, 1, &hello(), true).contains("second hello"));
}

#[test]
fn two_sites_that_name_each_other_do_not_pass_a_txn_back_and_forth() {
    let mut world = far(false);
    world.does(0);
    let turned = |number| [SessionAction::RefuseHop { session: 1, number, reason: RefusalReason::Loop }];
    let paths = [
        vec!["west".to_owned(), "east".to_owned()],
        vec!["a".to_owned(), "b".to_owned(), "east".to_owned()],
        vec!["north".to_owned()],
    ];
    for (number, path) in (1..).zip(paths) {
        assert_eq!(world.request_by(1, 1, number, &path), turned(number), "{path:?}");
    }
}

#[test]
fn a_far_end_told_to_stop_takes_no_more_and_answers_what_it_has() {
    let mut world = far(false);
    world.does(0);
    world.request(1, 1, 1);
    world.far.stop();
    assert_eq!(
        world.does(2),
        [SessionAction::AnnounceLeaving { session: 1 }, SessionAction::AnnounceLeaving { session: 2 }]
    );
    assert_eq!(
        world.request(3, 1, 2),
        [SessionAction::RefuseHop { session: 1, number: 2, reason: RefusalReason::Leaving }]
    );
    assert_eq!(world.end(4, 1, b"done"), Some((1, 1)));
}

fn small() -> Ledger {
    let mut ledger = Ledger::new(Bounds { entries: 2, bytes: 10, age: ms(1_000), senders: 1 }, true);
    assert!(ledger.register(at(0), 5, 1));
    ledger.changes();
    ledger
}

fn key(number: u64) -> Key {
    Key { sender: 5, number }
}

#[test]
fn a_full_ledger_takes_no_more_until_its_old_entries_may_go() {
    let mut ledger = small();
    assert_eq!(
        (ledger.accept(at(0), key(1)), ledger.accept(at(0), key(2))),
        (Admission::New, Admission::New)
    );
    assert_eq!(ledger.accept(at(0), key(3)), Admission::Full);
    // It can't be fenced without room: it is not called never taken.
    assert_eq!(ledger.lookup(at(0), key(3)), Lookup::Unknown);
    ledger.finish(at(10), key(1), &answer(b"one"));
    assert_eq!(ledger.accept(at(500), key(3)), Admission::Full);
    assert_eq!(ledger.accept(at(1_010), key(4)), Admission::New);
    // What went is not known any more, and the floor is told before what it covers is dropped.
    assert_eq!(ledger.lookup(at(1_010), key(1)), Lookup::Unknown);
    let changes = ledger.changes();
    let tail = [Change::Floor(key(2)), Change::Dropped(key(1)), Change::Accepted(key(4))];
    assert!(changes.ends_with(&tail), "{changes:?}");
}

#[test]
fn answers_beyond_the_bytes_are_let_go_oldest_first() {
    let mut ledger = small();
    for number in [1, 2] {
        ledger.accept(at(0), key(number));
        ledger.finish(at(number), key(number), &answer(b"sixsix"));
    }
    assert_eq!((ledger.lookup(at(3), key(1)), ledger.bytes()), (Lookup::Unknown, 6));
    assert_eq!(ledger.lookup(at(3), key(2)), Lookup::Ended(answer(b"sixsix")));
}

#[test]
fn a_sender_that_is_not_remembered_is_not_told_that_anything_was_never_taken() {
    let mut ledger = small();
    ledger.accept(at(0), key(1));
    assert!(!ledger.register(at(10), 6, 1), "one that runs here makes room for another");
    ledger.finish(at(10), key(1), &answer(b""));
    assert!(ledger.register(at(1_100), 6, 1));
    assert_eq!(ledger.lookup(at(1_100), key(1)), Lookup::Unknown);
    assert_eq!(ledger.accept(at(1_100), key(2)), Admission::Forgotten);
    // It comes back: what it sent before that stays unknown.
    assert!(ledger.register(at(2_200), 5, 2));
    assert_eq!(ledger.lookup(at(2_200), key(1)), Lookup::Unknown);
    assert_eq!(ledger.lookup(at(2_200), key(2)), Lookup::NeverAccepted);
}

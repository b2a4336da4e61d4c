//! Single failure cases of a link, played step by step against the cores of both ends.

use kelpcart::{Span, Time};
use kelpcart_sites::acceptor::{Acceptor, Call, RefusalReason, RequestMeta, SessionAction};
use kelpcart_sites::initiator::{AcceptorAttempts, HopOutcome, HopSpec, Initiator, LinkAction};
use kelpcart_sites::ledger::{Admission, Answer, Bounds, Change, Key, Ledger, Lookup, TxnOutcome};
use kelpcart_sites::link::{LinkPhase, Welcome};
use kelpcart_sites::settings::Sites;
use kelpcart_sites::wire::{Hello, Pong, TxnStatus, VERSION};
use serde_json::json;
use std::collections::VecDeque;
use std::sync::Arc;

fn welcome(ledger: u64) -> Welcome {
    Welcome { ledger, credit: 64, leaving: false, knows_past_ledgers: false, clock: Some(at(0)) }
}

/// A pong whose clock reads the initiator's time `ms`.
fn pong_at(number: u64, ms: u64) -> Pong {
    Pong { number, credit: 64, leaving: false, clock_us: Some(at(ms).as_micros()) }
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

/// An initiator whose first link is up, with an RTT of 100 ms.
fn initiator() -> Initiator {
    let mut initiator = Initiator::new(&settings("east", "west", false), 7, at(0));
    link_actions(&mut initiator, 0);
    initiator.connected(at(0), 0, &welcome(70));
    pong(&mut initiator, 0, 100);
    initiator
}

fn link_actions(initiator: &mut Initiator, now: u64) -> Vec<LinkAction> {
    std::iter::from_fn(|| initiator.poll(at(now))).collect()
}

/// Answers the newest ping on the first link.
fn pong(initiator: &mut Initiator, polled_at: u64, answered_at: u64) -> bool {
    let ping = link_actions(initiator, polled_at).into_iter().rev().find_map(|a| match a {
        LinkAction::Ping { link: 0, number } => Some(number),
        _ => None,
    });
    if let Some(number) = ping {
        initiator.pong_received(at(answered_at), 0, &pong_at(number, answered_at));
    }
    ping.is_some()
}

fn spec(unrepeatable: bool, deadline: u64) -> HopSpec<'static> {
    HopSpec {
        importance: 5,
        unrepeatable,
        size_kb: Some(1.0),
        body_bytes: 0,
        deadline: at(deadline),
        sla_deadline: at(deadline),
        first_attempt: None,
        start_by: at(deadline),
        path: &[],
    }
}

fn outcomes(all: &[LinkAction]) -> Vec<(u64, HopOutcome)> {
    all.iter()
        .filter_map(|a| {
            if let LinkAction::Finished { number, outcome } = a { Some((*number, *outcome)) } else { None }
        })
        .collect()
}

fn sent(all: &[LinkAction]) -> Vec<u64> {
    all.iter()
        .filter_map(|a| if let LinkAction::Send { number, .. } = a { Some(*number) } else { None })
        .collect()
}

fn queried(all: &[LinkAction]) -> Vec<u64> {
    let numbers = |a: &LinkAction| {
        if let LinkAction::QueryStatus { numbers, .. } = a { numbers.clone() } else { Vec::new() }
    };
    all.iter().flat_map(numbers).collect()
}

/// At the time of the next attempt, reconnects the first link.
fn reconnect(initiator: &mut Initiator, now: u64, ledger: u64) -> Vec<LinkAction> {
    let all = link_actions(initiator, now);
    assert!(all.contains(&LinkAction::Dial { link: 0 }), "{all:?}");
    initiator.connected(at(now), 0, &welcome(ledger));
    link_actions(initiator, now)
}

#[test]
fn a_disconnect_between_commit_and_answer_is_queried_and_answered_once() {
    let mut initiator = initiator();
    let booking = initiator.submit(at(100), 0, &spec(true, 3_000));
    assert_eq!(sent(&link_actions(&mut initiator, 100)), [booking]);
    initiator.accepted(at(200), booking);
    initiator.disconnected(at(210), 0);
    assert_eq!(outcomes(&link_actions(&mut initiator, 210)), []);
    assert_eq!(queried(&reconnect(&mut initiator, 600, 70)), [booking]);
    initiator.answered(at(700), 0, booking, 10.0);
    // A duplicate, as an older connection could still deliver it.
    initiator.answered(at(701), 0, booking, 10.0);
    assert_eq!(outcomes(&link_actions(&mut initiator, 701)), [(booking, HopOutcome::Answered)]);
    assert_eq!(outcomes(&link_actions(&mut initiator, 4_000)), []);
}

/// Guards against a hop that starts too late because it waited for a link, or because its message took long.
#[test]
fn a_hop_is_not_sent_after_its_start_limit_and_states_it_on_the_acceptors_clock() {
    let mut initiator = initiator();
    let limited = HopSpec { first_attempt: Some(at(90)), start_by: at(400), ..spec(true, 3_000) };
    let in_flight: Vec<u64> = (0..64).map(|_| initiator.submit(at(100), 0, &limited)).collect();
    let waiting = initiator.submit(at(100), 0, &limited);
    let all = link_actions(&mut initiator, 100);
    // The acceptor's clock read 100 ms when a pong was written that had come by 100 ms.
    let stated = AcceptorAttempts { first_attempt: Some(at(90)), start_by: Some(at(400)) };
    let states = |a: &&LinkAction| matches!(a, LinkAction::Send { attempts, .. } if *attempts == stated);
    assert_eq!((sent(&all), all.iter().filter(states).count()), (in_flight.clone(), 64));
    initiator.answered(at(400), 0, in_flight[0], 10.0);
    let all = link_actions(&mut initiator, 400);
    assert!(sent(&all).is_empty() && outcomes(&all).contains(&(waiting, HopOutcome::Full)), "{all:?}");
    // One that is never its turn is given back at its limit.
    let later = HopSpec { start_by: at(500), ..limited };
    let two = [(); 2].map(|()| initiator.submit(at(410), 0, &later));
    assert_eq!(sent(&link_actions(&mut initiator, 410)), two[..1]);
    assert!(outcomes(&link_actions(&mut initiator, 500)).contains(&(two[1], HopOutcome::Full)));
    // A pong that took 200 ms on its way: the acceptor's clock may be that far ahead.
    initiator.pong_received(at(600), 0, &pong_at(99, 400));
    initiator.answered(at(600), 0, in_flight[1], 10.0);
    initiator.submit(at(600), 0, &HopSpec { start_by: at(900), ..limited });
    let all = link_actions(&mut initiator, 600);
    let sent =
        |a: &LinkAction| matches!(a, LinkAction::Send { attempts, .. } if attempts.start_by == Some(at(700)));
    assert!(all.iter().any(sent), "{all:?}");
}

/// Guards against a repeat at a far gateway of an earlier release, which would count its window anew.
#[test]
fn an_acceptor_that_states_no_clock_gets_no_repeat_and_no_hop_with_a_start_limit() {
    let mut initiator = Initiator::new(&settings("east", "west", false), 7, at(0));
    link_actions(&mut initiator, 0);
    initiator.connected(at(0), 0, &Welcome { clock: None, ..welcome(70) });
    let repeat = HopSpec { first_attempt: Some(at(0)), ..spec(true, 3_000) };
    let limited = HopSpec { start_by: at(400), ..spec(true, 3_000) };
    let others = [spec(true, 3_000), HopSpec { unrepeatable: false, ..repeat }];
    for (unsent, spec) in [(true, repeat), (true, limited)].into_iter().chain(others.map(|s| (false, s))) {
        let number = initiator.submit(at(10), 0, &spec);
        let all = link_actions(&mut initiator, 10);
        assert_eq!(outcomes(&all) == [(number, HopOutcome::Outdated)], unsent, "{all:?}");
        assert_eq!(sent(&all).is_empty(), unsent, "{all:?}");
    }
}

#[test]
fn only_never_accepted_counts_as_not_run() {
    for (status, outcome) in
        [(TxnStatus::NeverAccepted, HopOutcome::NeverAccepted), (TxnStatus::Unknown, HopOutcome::Lost)]
    {
        let mut initiator = initiator();
        let booking = initiator.submit(at(100), 0, &spec(true, 3_000));
        link_actions(&mut initiator, 100);
        initiator.disconnected(at(110), 0);
        assert_eq!(queried(&reconnect(&mut initiator, 600, 70)), [booking]);
        initiator.status_received(at(700), 0, booking, status);
        assert_eq!(outcomes(&link_actions(&mut initiator, 700)), [(booking, outcome)]);
    }
    // A running hop is waited for until its deadline.
    let mut initiator = initiator();
    let booking = initiator.submit(at(100), 0, &spec(true, 3_000));
    link_actions(&mut initiator, 100);
    initiator.disconnected(at(110), 0);
    reconnect(&mut initiator, 600, 70);
    initiator.status_received(at(700), 0, booking, TxnStatus::Running);
    assert_eq!(outcomes(&link_actions(&mut initiator, 2_900)), []);
    assert_eq!(outcomes(&link_actions(&mut initiator, 3_000)), [(booking, HopOutcome::TimedOut)]);
}

#[test]
fn hops_in_doubt_are_lost_when_the_acceptor_restarts_without_a_durable_ledger() {
    let mut initiator = initiator();
    let booking = initiator.submit(at(100), 0, &spec(true, 3_000));
    link_actions(&mut initiator, 100);
    initiator.disconnected(at(110), 0);
    let all = reconnect(&mut initiator, 600, 71);
    assert_eq!((queried(&all), outcomes(&all)), (vec![], vec![(booking, HopOutcome::Lost)]));
}

#[test]
fn hops_in_doubt_are_queried_over_another_link_to_the_same_gateway() {
    let mut initiator = initiator();
    initiator.connected(at(100), 1, &welcome(70));
    let booking = initiator.submit(at(100), 0, &spec(true, 3_000));
    link_actions(&mut initiator, 100);
    initiator.disconnected(at(110), 0);
    assert!(link_actions(&mut initiator, 110).contains(&LinkAction::QueryStatus {
        link: 1,
        ledger: 70,
        numbers: vec![booking]
    }));
    initiator.status_received(at(200), 1, booking, TxnStatus::NeverAccepted);
    assert_eq!(outcomes(&link_actions(&mut initiator, 200)), [(booking, HopOutcome::NeverAccepted)]);
}

#[test]
fn on_disconnect_repeatable_hops_are_lost_and_partly_written_ones_have_not_run() {
    let mut initiator = initiator();
    let (read, booking) =
        (initiator.submit(at(100), 0, &spec(false, 3_000)), initiator.submit(at(100), 0, &spec(true, 3_000)));
    link_actions(&mut initiator, 100);
    initiator.send_failed(at(110), booking);
    initiator.disconnected(at(110), 0);
    assert_eq!(
        outcomes(&link_actions(&mut initiator, 110)),
        [(booking, HopOutcome::Down), (read, HopOutcome::Lost)]
    );
}

#[test]
fn a_silent_link_is_suspected_and_fails_new_txns_at_once() {
    let mut initiator = initiator();
    let booking = initiator.submit(at(1_000), 0, &spec(true, 9_000));
    assert_eq!(sent(&link_actions(&mut initiator, 1_000)), [booking]);
    let mut now = 1_000;
    // Half-open: messages are sent, and nothing comes back.
    while initiator.link_stats(0).phase == LinkPhase::Up {
        now += 10;
        link_actions(&mut initiator, now);
        assert!(now < 2_500, "never suspected");
    }
    // RTT 100 ms, variation 50 ms: at most three time-outs of 300 ms.
    assert!(now <= 1_000 + 910, "{now}");
    let other = initiator.submit(at(now), 0, &spec(false, 9_000));
    assert_eq!(outcomes(&link_actions(&mut initiator, now)), [(other, HopOutcome::Down)]);
    // Silent for long: the connection is closed, and the hop stays in doubt.
    let mut all = Vec::new();
    for t in now..now + 2_000 {
        all.extend(link_actions(&mut initiator, t));
    }
    assert!(all.contains(&LinkAction::Disconnect { link: 0 }) && outcomes(&all).is_empty());
}

#[test]
fn a_reconnected_link_passes_trial_pings_and_regains_credit_in_steps() {
    let mut initiator = initiator();
    initiator.disconnected(at(1_000), 0);
    reconnect(&mut initiator, 1_500, 70);
    let refused = initiator.submit(at(1_500), 0, &spec(false, 9_000));
    assert_eq!(outcomes(&link_actions(&mut initiator, 1_500)), [(refused, HopOutcome::Down)]);
    let mut now = 1_500;
    for _ in 0..3 {
        assert_ne!(initiator.link_stats(0).phase, LinkPhase::Up);
        initiator.poll(at(now));
        let mut pinged = false;
        while !pinged {
            pinged = pong(&mut initiator, now, now + 90);
            now += 100;
        }
    }
    assert_eq!(initiator.link_stats(0).phase, LinkPhase::Up);
    let mut last = initiator.link_stats(0).credit_share;
    assert!(last <= 0.05);
    for second in 1..20 {
        pong(&mut initiator, now + second * 1_000, now + second * 1_000 + 90);
        let share = initiator.link_stats(0).credit_share;
        assert!(share >= last && share - last <= 0.075 + 1e-9, "{last} to {share}");
        last = share;
    }
    assert!(last > 0.95, "{last}");
}

/// Guards against a busy loop: a host that polls at `next_wake` would poll without pause.
#[test]
fn next_wake_of_a_link_on_trial_is_in_the_future() {
    let mut initiator = initiator();
    let mut now = 0;
    // No reply until the link is suspected, then one pong in time.
    while initiator.link_stats(0).phase == LinkPhase::Up {
        now += 10;
        link_actions(&mut initiator, now);
    }
    while !matches!(initiator.link_stats(0).phase, LinkPhase::Trial(_)) {
        now += 10;
        pong(&mut initiator, now, now + 5);
        assert!(now < 60_000, "{:?}", initiator.link_stats(0));
    }
    now += 3_000;
    initiator.peer_active(at(now), 0);
    link_actions(&mut initiator, now);
    assert!(matches!(initiator.link_stats(0).phase, LinkPhase::Trial(_)), "{:?}", initiator.link_stats(0));
    assert!(initiator.next_wake() > at(now), "{:?}", initiator.next_wake());
}

#[test]
fn reconnects_are_jittered() {
    let first_attempt = |seed| {
        let mut initiator = Initiator::new(&settings("east", "west", false), seed, at(0));
        link_actions(&mut initiator, 0);
        initiator.disconnected(at(0), 0);
        (0..10_000)
            .find(|&t| link_actions(&mut initiator, t).contains(&LinkAction::Dial { link: 0 }))
            .unwrap()
    };
    let mut attempts: Vec<u64> = (0..40).map(first_attempt).collect();
    attempts.sort_unstable();
    attempts.dedup();
    assert!(attempts.len() > 20 && attempts[0] >= 50 && attempts[attempts.len() - 1] <= 101, "{attempts:?}");
}

#[test]
fn an_acceptor_that_answers_pings_but_no_txns_only_times_out_its_hops() {
    let mut initiator = initiator();
    let read = initiator.submit(at(200), 0, &spec(false, 1_200));
    link_actions(&mut initiator, 200);
    let mut all = Vec::new();
    for t in (200..1_300).step_by(20) {
        let now = link_actions(&mut initiator, t);
        for act in &now {
            if let LinkAction::Ping { link: 0, number } = act {
                initiator.pong_received(at(t), 0, &pong_at(*number, t));
            }
        }
        all.extend(now);
    }
    assert_eq!(
        (outcomes(&all), initiator.link_stats(0).phase),
        (vec![(read, HopOutcome::TimedOut)], LinkPhase::Up)
    );
    assert!(
        all.contains(&LinkAction::Cancel { link: 0, number: read }) && initiator.link_stats(0).in_flight == 0
    );
}

#[test]
fn an_important_hop_overtakes_fifty_queued_megabytes() {
    let mut initiator = initiator();
    for _ in 0..200 {
        initiator.submit(
            at(100),
            0,
            &HopSpec { size_kb: Some(250_000.0 / 1_024.0), importance: 2, ..spec(false, 60_000) },
        );
    }
    let before = sent(&link_actions(&mut initiator, 100));
    assert!((1..10).contains(&before.len()), "{}", before.len());
    let booking = initiator.submit(at(110), 0, &HopSpec { importance: 9, ..spec(true, 3_000) });
    initiator.answered(at(300), 0, before[0], 250_000.0);
    let next = sent(&link_actions(&mut initiator, 300));
    assert_eq!(next.first(), Some(&booking));
}

#[test]
fn a_hop_that_cannot_meet_its_deadline_fails_at_once_and_is_never_sent() {
    let mut initiator = initiator();
    // A link of 1 MB/s that is always offered more than its capacity: 100 KB arrive each 100 ms.
    let mut now = 200;
    let (mut in_flight, mut reported) = (VecDeque::new(), Vec::new());
    let large = |now, limit| HopSpec { size_kb: Some(100_000.0 / 1_024.0), ..spec(false, now + limit) };
    for _ in 0..60 {
        for _ in 0..3 {
            initiator.submit(at(now), 0, &large(now, 60_000));
        }
        let all = link_actions(&mut initiator, now);
        in_flight.extend(sent(&all));
        now += 100;
        initiator.answered(at(now), 0, in_flight.pop_front().unwrap(), 100_000.0);
    }
    // The bytes in flight and queued already take seconds: a hop with less time fails at once, one with
    // more does not.
    let (short, long) =
        (initiator.submit(at(now), 0, &large(now, 2_000)), initiator.submit(at(now), 0, &large(now, 60_000)));
    let all = link_actions(&mut initiator, now);
    reported.extend(outcomes(&all));
    assert!(reported.contains(&(short, HopOutcome::Full)) && !sent(&all).contains(&short));
    assert!(reported.iter().all(|(number, _)| *number != long));
    // A more important hop goes ahead of the queue, and does not fail.
    let booking = initiator.submit(at(now), 0, &HopSpec { importance: 9, ..spec(true, now + 3_000) });
    let mut all = link_actions(&mut initiator, now);
    initiator.answered(at(now + 50), 0, in_flight.pop_front().unwrap(), 100_000.0);
    all.extend(link_actions(&mut initiator, now + 50));
    assert!(sent(&all).contains(&booking) && outcomes(&all).iter().all(|e| e.0 != booking));
}

#[test]
fn a_hop_that_never_could_meet_its_sla_waits_one_sla_time_at_most() {
    let mut initiator = initiator();
    // RTT 100 ms, SLA time 50 ms, client time limit one minute; the queue is full of such hops.
    let slow =
        |now: u64| HopSpec { size_kb: Some(200.0), sla_deadline: at(now + 50), ..spec(false, now + 60_000) };
    let all: Vec<u64> = (0..20).map(|_| initiator.submit(at(200), 0, &slow(200))).collect();
    let in_flight = sent(&link_actions(&mut initiator, 200));
    assert!(!in_flight.is_empty() && in_flight.len() < all.len());
    let reported = outcomes(&link_actions(&mut initiator, 251));
    assert_eq!(reported.len() + in_flight.len(), all.len());
    assert!(reported.iter().all(|(_, outcome)| *outcome == HopOutcome::Full));
}

#[test]
fn requests_carry_a_time_budget_and_no_wall_clock_time() {
    // An hour of clock skew makes no difference: only spans are sent.
    for skew in [0, 3_600_000] {
        let mut initiator = Initiator::new(&settings("east", "west", false), 7, at(skew));
        link_actions(&mut initiator, skew);
        initiator.connected(at(skew), 0, &welcome(70));
        pong(&mut initiator, skew, skew + 100);
        initiator.submit(at(skew + 200), 0, &spec(true, skew + 2_200));
        let time_left = link_actions(&mut initiator, skew + 200).into_iter().find_map(|a| match a {
            LinkAction::Send { time_left, .. } => Some(time_left),
            _ => None,
        });
        // Two seconds less one RTT time-out.
        assert_eq!(time_left, Some(ms(1_700)));
    }
}

#[test]
fn a_txn_is_not_sent_to_a_site_it_has_crossed() {
    let mut initiator = initiator();
    let path = ["west".to_owned()];
    let number = initiator.submit(at(100), 0, &HopSpec { path: &path, ..spec(false, 3_000) });
    assert_eq!(outcomes(&link_actions(&mut initiator, 100)), [(number, HopOutcome::Loop)]);
    let path = ["north".to_owned(), "south".to_owned()];
    let number = initiator.submit(at(100), 0, &HopSpec { path: &path, ..spec(false, 3_000) });
    assert_eq!(outcomes(&link_actions(&mut initiator, 100)), [(number, HopOutcome::Loop)]);
}

#[test]
fn a_leaving_acceptor_gets_no_new_hops_and_answers_those_in_flight() {
    let mut initiator = initiator();
    let in_flight = initiator.submit(at(100), 0, &spec(true, 3_000));
    link_actions(&mut initiator, 100);
    initiator.peer_leaving(at(110), 0);
    let new = initiator.submit(at(120), 0, &spec(true, 3_000));
    assert_eq!(outcomes(&link_actions(&mut initiator, 120)), [(new, HopOutcome::Down)]);
    initiator.answered(at(200), 0, in_flight, 10.0);
    assert_eq!(outcomes(&link_actions(&mut initiator, 200)), [(in_flight, HopOutcome::Answered)]);
}

/// An acceptor with sessions 1 and 2 of the same sender run.
struct Harness {
    acceptor: Acceptor,
    calls: Vec<(Call, u64)>,
}

fn acceptor(durable: bool) -> Harness {
    let mut acceptor = Acceptor::new(&settings("west", "east", durable), at(0));
    for session in [1, 2] {
        acceptor.hello(at(0), session, &hello(), true);
    }
    Harness { acceptor, calls: Vec::new() }
}

fn hello() -> Hello {
    Hello {
        version: VERSION,
        site: "east".to_owned(),
        gateway: "e1".to_owned(),
        run_id: 5,
        next_number: 1,
        states_attempts: true,
    }
}

impl Harness {
    fn request(&mut self, now: u64, session: u64, number: u64) -> Vec<SessionAction> {
        self.request_by(now, session, number, &["east".to_owned()])
    }

    fn request_by(&mut self, now: u64, session: u64, number: u64, path: &[String]) -> Vec<SessionAction> {
        let call = self.acceptor.request(
            at(now),
            session,
            &RequestMeta { number, unrepeatable: true, importance: 5, path },
        );
        self.calls.extend(call.map(|call| (call, number)));
        self.actions(now)
    }

    fn actions(&mut self, now: u64) -> Vec<SessionAction> {
        std::iter::from_fn(|| self.acceptor.poll(at(now))).collect()
    }

    fn query(&mut self, now: u64, session: u64, number: u64) -> Vec<SessionAction> {
        self.acceptor.query_status(at(now), session, 0, &[number]);
        self.actions(now)
    }

    fn finish(&mut self, now: u64, number: u64, body: &[u8]) -> Option<(u64, u64)> {
        let at_call = self.calls.iter().position(|c| c.1 == number).unwrap();
        let (call, _) = self.calls.remove(at_call);
        self.acceptor.finished(at(now), call, &answer(body))
    }
}

fn answer(body: &[u8]) -> Arc<Answer> {
    Arc::new(Answer { outcome: TxnOutcome::Served, body: body.to_vec() })
}

fn runs(all: &[SessionAction]) -> usize {
    all.iter().filter(|d| matches!(d, SessionAction::Run { .. })).count()
}

#[test]
fn a_late_request_does_not_run_after_it_was_reported_never_accepted() {
    let mut harness = acceptor(false);
    harness.actions(0);
    let replies = harness.query(10, 2, 9);
    assert_eq!(
        replies,
        [SessionAction::SendStatus { session: 2, number: 9, status: TxnStatus::NeverAccepted }]
    );
    let late = harness.request(20, 1, 9);
    assert_eq!(late, [SessionAction::RefuseHop { session: 1, number: 9, reason: RefusalReason::Fenced }]);
}

#[test]
fn a_refused_request_stays_refused_when_repeated() {
    let mut harness = acceptor(false);
    harness.actions(0);
    // Each of the two sessions has a credit of two.
    assert_eq!((runs(&harness.request(1, 1, 1)), runs(&harness.request(1, 1, 2))), (1, 1));
    assert_eq!(
        harness.request(1, 1, 3),
        [SessionAction::RefuseHop { session: 1, number: 3, reason: RefusalReason::Full }]
    );
    harness.finish(2, 1, b"done");
    assert_eq!(
        harness.request(3, 1, 3),
        [SessionAction::RefuseHop { session: 1, number: 3, reason: RefusalReason::Fenced }]
    );
    assert_eq!(runs(&harness.request(3, 1, 4)), 1);
}

#[test]
fn a_finished_request_is_never_refused_as_not_run_when_repeated() {
    let mut harness = acceptor(false);
    harness.actions(0);
    harness.request(1, 1, 1);
    harness.finish(2, 1, b"done");
    // Out of room and later leaving: the duplicate still gets the outcome of the first.
    assert_eq!((runs(&harness.request(3, 1, 2)), runs(&harness.request(3, 1, 3))), (1, 1));
    let reported = |session| [SessionAction::SendAnswer { session, number: 1, answer: answer(b"done") }];
    assert_eq!(harness.request(4, 1, 1), reported(1));
    harness.acceptor.stop();
    harness.actions(5);
    assert_eq!(harness.request(6, 1, 1), reported(1));
}

#[test]
fn a_resumed_session_gets_the_answer_while_the_old_one_is_open() {
    let mut harness = acceptor(false);
    harness.actions(0);
    assert_eq!(runs(&harness.request(1, 1, 1)), 1);
    assert_eq!(
        harness.query(5, 2, 1),
        [SessionAction::SendStatus { session: 2, number: 1, status: TxnStatus::Running }]
    );
    // A duplicate over either connection joins the running txn.
    assert_eq!(harness.request(6, 1, 1), [SessionAction::AlreadyRunning { session: 1, number: 1 }]);
    harness.query(7, 2, 1);
    assert_eq!(harness.finish(9, 1, b"done"), Some((2, 1)));
    let reported = SessionAction::SendAnswer { session: 2, number: 1, answer: answer(b"done") };
    assert_eq!(harness.query(10, 2, 1), [reported]);
}

#[test]
fn a_disconnect_cancels_repeatable_txns_and_lets_unrepeatable_ones_finish() {
    let mut harness = acceptor(false);
    harness.actions(0);
    harness.request(1, 1, 1);
    let path = ["east".to_owned()];
    let read = harness
        .acceptor
        .request(at(1), 1, &RequestMeta { number: 2, unrepeatable: false, importance: 5, path: &path })
        .unwrap();
    harness.actions(1);
    harness.acceptor.disconnected(1);
    assert_eq!(harness.actions(2), [SessionAction::Cancel { call: read }]);
    assert_eq!(harness.finish(5, 1, b"done"), None);
    assert_eq!(
        harness.query(6, 2, 1),
        [SessionAction::SendAnswer { session: 2, number: 1, answer: answer(b"done") }]
    );
}

#[test]
fn nothing_runs_before_it_is_on_disk_or_if_it_was_cancelled_by_then() {
    let mut harness = acceptor(true);
    let first = harness.actions(0);
    assert!(matches!(&first[0], SessionAction::Persist { seq: 1, .. }));
    let all = harness.request(1, 1, 1);
    let key = Key { sender: 5, number: 1 };
    assert_eq!(all, [SessionAction::Persist { seq: 2, changes: vec![Change::Accepted(key)] }]);
    harness.request(1, 1, 2);
    harness.acceptor.cancelled(1, 2);
    harness.acceptor.persisted(at(2), 1);
    assert_eq!(harness.actions(2), []);
    harness.acceptor.persisted(at(3), 3);
    let all = harness.actions(3);
    assert_eq!(runs(&all), 1, "{all:?}");
    // The disk fails: the call that waits for it is rejected and has not run.
    harness.request(4, 2, 3);
    harness.acceptor.persist_failed(at(5), 9);
    let all = harness.actions(5);
    let reported = |d: &SessionAction| matches!(d, SessionAction::SendAnswer { number: 3, answer, .. } if matches!(answer.outcome, TxnOutcome::Rejected { may_have_run: false, .. }));
    assert!(runs(&all) == 0 && all.iter().any(reported), "{all:?}");
}

#[test]
fn after_a_restart_the_ledger_on_disk_tells_accepted_from_never_accepted() {
    let mut harness = acceptor(true);
    let (lost, ended) = (Key { sender: 5, number: 7 }, Key { sender: 5, number: 8 });
    let floors = [Key { sender: 5, number: 4 }];
    let accepted = [(lost, None), (ended, Some(Answer::clone(&answer(b"done"))))];
    harness.acceptor = Acceptor::new(&settings("west", "east", true), at(0));
    harness.acceptor.recover(at(0), &floors, &accepted);
    harness.acceptor.hello(at(0), 1, &Hello { next_number: 10, ..hello() }, true);
    harness.actions(0);
    let status_reply = |number, status| SessionAction::SendStatus { session: 1, number, status };
    assert_eq!(harness.query(1, 1, 7), [status_reply(7, TxnStatus::Unknown)]);
    assert_eq!(
        harness.query(1, 1, 8),
        [SessionAction::SendAnswer { session: 1, number: 8, answer: answer(b"done") }]
    );
    assert_eq!(harness.query(1, 1, 9), [status_reply(9, TxnStatus::NeverAccepted)]);
    // Evicted before the restart, so not never accepted.
    assert_eq!(harness.query(1, 1, 3), [status_reply(3, TxnStatus::Unknown)]);
}

#[test]
fn a_peer_with_another_version_site_or_certificate_is_refused() {
    let mut harness = acceptor(false);
    harness.actions(0);
    let reason = |harness: &mut Harness, session: u64, hello: &Hello, proven: bool| {
        harness.acceptor.hello(at(1), session, hello, proven);
        match harness.actions(1).pop() {
            Some(SessionAction::RefuseSession { reason, .. }) => reason,
            other => panic!("{other:?}"),
        }
    };
    let old = Hello { version: VERSION + 1, ..hello() };
    assert_eq!(reason(&mut harness, 3, &old, true), "version 1 is spoken here, not 2");
    assert!(reason(&mut harness, 3, &hello(), false).contains("certificate"));
    let stranger = Hello { site: "north".to_owned(), ..hello() };
    assert!(reason(&mut harness, 3, &stranger, true).contains("nothing is taken from that site"));
    assert!(reason(&mut harness, 1, &hello(), true).contains("second hello"));
}

#[test]
fn routing_loops_between_sites_are_refused() {
    let mut harness = acceptor(false);
    harness.actions(0);
    let refused = |number| [SessionAction::RefuseHop { session: 1, number, reason: RefusalReason::Loop }];
    let paths = [
        vec!["west".to_owned(), "east".to_owned()],
        vec!["a".to_owned(), "b".to_owned(), "east".to_owned()],
        vec!["north".to_owned()],
    ];
    for (number, path) in (1..).zip(paths) {
        assert_eq!(harness.request_by(1, 1, number, &path), refused(number), "{path:?}");
    }
}

#[test]
fn a_stopped_acceptor_refuses_new_requests_and_answers_running_ones() {
    let mut harness = acceptor(false);
    harness.actions(0);
    harness.request(1, 1, 1);
    harness.acceptor.stop();
    assert_eq!(
        harness.actions(2),
        [SessionAction::AnnounceLeaving { session: 1 }, SessionAction::AnnounceLeaving { session: 2 }]
    );
    assert_eq!(
        harness.request(3, 1, 2),
        [SessionAction::RefuseHop { session: 1, number: 2, reason: RefusalReason::Leaving }]
    );
    assert_eq!(harness.finish(4, 1, b"done"), Some((1, 1)));
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
fn a_full_ledger_accepts_nothing_until_old_entries_expire() {
    let mut ledger = small();
    assert_eq!(
        (ledger.accept(at(0), key(1)), ledger.accept(at(0), key(2))),
        (Admission::New, Admission::New)
    );
    assert_eq!(ledger.accept(at(0), key(3)), Admission::Full);
    // Without room it can't be fenced, so it is not called never accepted.
    assert_eq!(ledger.lookup(at(0), key(3)), Lookup::Unknown);
    ledger.finish(at(10), key(1), &answer(b"one"));
    assert_eq!(ledger.accept(at(500), key(3)), Admission::Full);
    assert_eq!(ledger.accept(at(1_010), key(4)), Admission::New);
    // The evicted number is unknown, and the floor is recorded before the entry that it covers is dropped.
    assert_eq!(ledger.lookup(at(1_010), key(1)), Lookup::Unknown);
    let changes = ledger.changes();
    let tail = [Change::Floor(key(2)), Change::Dropped(key(1)), Change::Accepted(key(4))];
    assert!(changes.ends_with(&tail), "{changes:?}");
}

#[test]
fn answers_over_the_byte_bound_are_evicted_oldest_first() {
    let mut ledger = small();
    for number in [1, 2] {
        ledger.accept(at(0), key(number));
        ledger.finish(at(number), key(number), &answer(b"sixsix"));
    }
    assert_eq!((ledger.lookup(at(3), key(1)), ledger.bytes()), (Lookup::Unknown, 6));
    assert_eq!(ledger.lookup(at(3), key(2)), Lookup::Ended(answer(b"sixsix")));
}

#[test]
fn an_evicted_sender_gets_no_never_accepted() {
    let mut ledger = small();
    ledger.accept(at(0), key(1));
    assert!(!ledger.register(at(10), 6, 1), "one that runs here makes room for another");
    ledger.finish(at(10), key(1), &answer(b""));
    assert!(ledger.register(at(1_100), 6, 1));
    assert_eq!(ledger.lookup(at(1_100), key(1)), Lookup::Unknown);
    assert_eq!(ledger.accept(at(1_100), key(2)), Admission::Forgotten);
    // The sender returns: what it sent before stays unknown.
    assert!(ledger.register(at(2_200), 5, 2));
    assert_eq!(ledger.lookup(at(2_200), key(1)), Lookup::Unknown);
    assert_eq!(ledger.lookup(at(2_200), key(2)), Lookup::NeverAccepted);
}

//! How long a client may take to send a message, in simulated time.

use kelpcart::{Span, Time};
use kelpcart_gateway::clients::message_timer::MessageTimer;
use quickcheck::{Gen, QuickCheck};

const START: Time = Time::from_micros(1_000_000);

fn seconds(secs: f64) -> Span {
    Span::from_secs_f64(secs)
}

/// When a message is overdue of which `bytes` arrive every `interval` until `silent_after`.
fn overdue_at(bytes: usize, interval: Span, silent_after: Span) -> Span {
    let mut timer = MessageTimer::start(START);
    let (mut now, mut received) = (START, 0);
    while now - START < silent_after && now < timer.deadline() {
        received += bytes;
        timer.record_input(now, received);
        now += interval;
    }
    timer.deadline() - START
}

#[test]
fn a_client_that_sends_no_complete_message_is_disconnected_within_three_seconds() {
    let silent = MessageTimer::start(START).deadline() - START;
    let half_a_large_message = overdue_at(60_000, seconds(0.01), seconds(0.01));
    let trickle = overdue_at(1, seconds(0.7), seconds(60.0));
    for overdue in [silent, half_a_large_message, trickle] {
        assert!(overdue < seconds(3.0), "{overdue:?}");
    }
}

#[test]
fn a_message_that_keeps_arriving_is_waited_for_up_to_a_bound() {
    // The slow writer of a request of 40 KB, and a slower one.
    for interval in [0.094, 0.4] {
        assert!(overdue_at(1_400, seconds(interval), seconds(12.0)) > seconds(12.0));
    }
    let endless = overdue_at(1_400, seconds(0.1), seconds(60.0));
    assert!(endless > seconds(12.0) && endless <= seconds(20.0), "{endless:?}");
}

#[test]
fn a_message_that_stops_arriving_is_soon_overdue() {
    let stopped = overdue_at(1_400, seconds(0.1), seconds(5.0));
    assert!(stopped > seconds(5.0) && stopped <= seconds(6.0), "{stopped:?}");
}

#[test]
fn time_in_which_the_gateway_does_not_read_is_not_counted() {
    let mut timer = MessageTimer::start(START);
    timer.record_input(START, 20);
    let deadline = timer.deadline();
    timer.exclude(seconds(4.0));
    assert_eq!(timer.deadline(), deadline + seconds(4.0));
}

#[test]
fn no_pattern_of_input_shortens_the_time_of_a_message_or_makes_it_endless() {
    fn holds(input: Vec<(u16, u32)>) -> bool {
        let mut timer = MessageTimer::start(START);
        let (mut now, mut received) = (START, 0);
        input.into_iter().all(|(bytes, wait_us)| {
            now += Span::from_micros(wait_us.into());
            received += usize::from(bytes);
            timer.record_input(now, received);
            let overdue = timer.deadline() - START;
            seconds(2.5) <= overdue && overdue <= seconds(20.0)
        })
    }
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 5)).quickcheck(holds as fn(_) -> _);
}

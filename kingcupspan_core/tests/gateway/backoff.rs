//! Pauses between attempts of tasks that go on until they succeed.

use std::time::Duration;

use kingcupspan_core::retry::Backoff;

const INITIAL: Duration = Duration::from_millis(150);
const MAX: Duration = Duration::from_millis(1_000);

// Guards against a store that rejects calls for their rate and gets them again at the same rate.
#[test]
fn pauses_grow_up_to_the_longest() {
    let mut backoff = Backoff::new(INITIAL, MAX);
    let pauses: Vec<u128> = (0..5)
        .map(|_| backoff.next_pause(1.0).as_millis())
        .collect();
    assert_eq!(pauses, [150, 300, 600, 1_000, 1_000]);
}

// Guards against daemons that repeat their calls at the same moment.
#[test]
fn pauses_vary_between_a_half_and_the_whole() {
    let pause = |random| Backoff::new(INITIAL, MAX).next_pause(random).as_millis();
    assert_eq!([pause(0.0), pause(0.5), pause(1.0)], [75, 112, 150]);
}

// Guards against single failures that are followed by the pause of an outage long ago.
#[test]
fn pauses_begin_anew_after_a_success() {
    let mut backoff = Backoff::new(INITIAL, MAX);
    for _ in 0..3 {
        backoff.next_pause(1.0);
    }
    backoff.reset();
    assert_eq!(backoff.next_pause(1.0), INITIAL);
}

// Guards against an overflow in an outage that lasts for days.
#[test]
fn pauses_stay_the_longest_however_often_attempts_fail() {
    let mut backoff = Backoff::new(INITIAL, MAX);
    for _ in 0..100 {
        backoff.next_pause(1.0);
    }
    assert_eq!(backoff.next_pause(1.0), MAX);
}

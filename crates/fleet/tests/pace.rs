//! Calls of a fleet to a platform that does not answer for some seconds.

use core::time;

use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Duration of the outage, from when hosts notice it.
const OUTAGE: time::Duration = time::Duration::from_secs(8);

/// Returns the times at which one host calls.
fn calls(role: fleet::Role, hosts: usize, rng: &mut rand_pcg::Pcg64Mcg) -> Vec<time::Duration> {
    let mut pace = fleet::Pace::default();
    let mut at = fleet::Pace::first_delay(role, hosts, rng.random());
    let mut calls = Vec::new();
    while at < OUTAGE {
        calls.push(at);
        at += pace.retry_delay(role, hosts, rng);
    }
    calls
}

#[rstest]
fn an_outage_costs_a_number_of_calls_that_does_not_grow_with_the_fleet(
    #[values(30, 100, 300, 1_000)] hosts: usize,
) {
    // Guards against hundreds of hosts that all call a platform which is down, several times a
    // second, because none of them hears that it was answered.
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let standby: usize = (0..hosts)
        .map(|_| calls(fleet::Role::Standby, hosts, &mut rng).len())
        .sum();
    // One call every 20 ms, and the first calls of hosts that begin at once.
    assert!(standby <= 400 + 200, "{standby} calls of {hosts} hosts");
}

#[rstest]
fn some_host_calls_within_a_second_if_all_watchers_are_turned_away(
    #[values(30, 100, 300)] hosts: usize,
) {
    // Guards against a fleet that spreads its calls so thinly that a change of the platform is
    // missed.
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    for _ in 0..20 {
        let first = (0..hosts)
            .flat_map(|_| calls(fleet::Role::Standby, hosts, &mut rng))
            .min()
            .expect("a call");
        assert!(
            first < time::Duration::from_secs(1),
            "first call after {first:?}"
        );
    }
}

#[test]
fn a_watcher_notices_the_end_of_an_outage_within_a_second() {
    // Guards against delays that keep doubling.
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let calls = calls(fleet::Role::Watcher, 300, &mut rng);
    assert!(
        calls
            .windows(2)
            .all(|pair| pair[1] - pair[0] <= time::Duration::from_secs(1)),
        "{calls:?}"
    );
}

#[test]
fn an_answer_ends_the_longer_delays() {
    // Guards against a host that calls rarely after an outage that is long over.
    let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(7);
    let mut pace = fleet::Pace::default();
    for _ in 0..5 {
        pace.retry_delay(fleet::Role::Watcher, 300, &mut rng);
    }
    pace.record_answer();
    let delay = pace.retry_delay(fleet::Role::Watcher, 300, &mut rng);
    assert!(delay <= time::Duration::from_millis(225), "{delay:?}");
}

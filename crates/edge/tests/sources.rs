//! Guards against hosts that all take a change from the first one that announces it, whose
//! link then carries it too late.

use core::time;
use std::net;

use rand::SeedableRng;
use rstest::rstest;

#[path = "../src/sources.rs"]
mod sources;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn address(number: u8) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, number / 100, number], 7_000))
}

fn version(revision: u64) -> plan::Version {
    plan::Version::new(0, revision)
}

/// A host with configuration 31 that takes the list of endpoints of others.
const OWN: sources::Own = sources::Own {
    plan: plan::Version::new(0, 31),
    endpoints: Some(plan::Version::new(0, 5)),
};

/// Returns whether a host is of the data centre of those below 100.
fn is_near(ip: net::IpAddr) -> bool {
    matches!(ip, net::IpAddr::V4(ip) if ip.octets()[2] == 0)
}

fn rng() -> rand_pcg::Pcg64Mcg {
    rand_pcg::Pcg64Mcg::seed_from_u64(7)
}

/// Returns how often each of the hosts is chosen.
fn choices(sources: &mut sources::Sources, now: time::Duration) -> [usize; 200] {
    let mut counts = [0; 200];
    let mut rng = rng();
    for _ in 0..1_000 {
        if let sources::Choice::Ask(chosen, _) = sources.choose(now, OWN, is_near, &mut rng) {
            let number = (0..200).find(|number| address(*number) == chosen);
            counts[usize::from(number.expect("a known host"))] += 1;
        }
    }
    counts
}

#[test]
fn all_near_hosts_with_the_newest_configuration_are_asked() {
    let mut sources = sources::Sources::default();
    for number in 0..10 {
        sources.record(ms(0), address(number), version(33), version(5));
    }
    sources.record(ms(0), address(20), version(31), version(5));
    sources.record(ms(0), address(21), version(32), version(5));
    sources.record(ms(0), address(120), version(33), version(5));
    let counts = choices(&mut sources, ms(1));
    assert!(counts[..10].iter().all(|count| *count > 50), "{counts:?}");
    assert_eq!(counts[10..].iter().sum::<usize>(), 0);
}

#[test]
fn far_hosts_are_asked_while_near_ones_rest() {
    let mut sources = sources::Sources::default();
    sources.record(ms(0), address(1), version(33), version(5));
    sources.record(ms(0), address(120), version(33), version(5));
    sources.rest(address(1), ms(60));
    assert_eq!(choices(&mut sources, ms(10))[120], 1_000);
    assert_eq!(choices(&mut sources, ms(60))[1], 1_000);
}

#[rstest]
#[case::nothing_newer(31, 5, sources::Choice::Nothing)]
#[case::older(30, 4, sources::Choice::Nothing)]
#[case::a_configuration(33, 5, sources::Choice::Wait(ms(60)))]
#[case::endpoints(31, 6, sources::Choice::Wait(ms(60)))]
fn a_resting_host_is_waited_for_if_it_has_something_newer(
    #[case] plan: u64,
    #[case] endpoints: u64,
    #[case] expected: sources::Choice,
) {
    let mut sources = sources::Sources::default();
    sources.record(ms(0), address(1), version(plan), version(endpoints));
    sources.rest(address(1), ms(60));
    let choice = sources.choose(ms(10), OWN, is_near, &mut rng());
    assert_eq!(choice, expected);
}

#[test]
fn a_host_that_started_again_is_not_asked_for_what_it_had() {
    let mut sources = sources::Sources::default();
    sources.record(ms(0), address(1), version(33), version(5));
    sources.record(ms(10), address(1), version(0), version(0));
    let choice = sources.choose(ms(20), OWN, is_near, &mut rng());
    assert_eq!(choice, sources::Choice::Nothing);
}

#[test]
fn what_another_host_says_does_not_set_a_host_back() {
    let mut sources = sources::Sources::default();
    sources.record(ms(0), address(1), version(33), version(5));
    sources.record_holder(ms(10), address(1), version(32));
    assert_eq!(sources.holders(version(33), 8, &mut rng()), [address(1)]);
}

#[test]
fn a_host_that_says_nothing_any_more_is_forgotten() {
    let mut sources = sources::Sources::default();
    sources.record(ms(0), address(1), version(33), version(5));
    let choice = sources.choose(ms(20_000), OWN, is_near, &mut rng());
    assert_eq!(choice, sources::Choice::Nothing);
}

#[test]
fn holders_have_the_very_configuration() {
    let mut sources = sources::Sources::default();
    sources.record_plan(ms(0), address(1), version(33));
    sources.record_plan(ms(0), address(2), version(32));
    let holders = sources.holders(version(33), 8, &mut rng());
    assert_eq!(holders, [address(1)]);
}

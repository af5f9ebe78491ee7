//! Tests of the gossip and the failure detection in simulated time.

mod sample;
mod sim;

use core::time::Duration;

use fleet::{Phase, State};

const MINUTE: Duration = Duration::from_secs(60);

/// Starts 12 hosts and waits until they know each other.
fn twelve(seed: u64) -> sim::Fleet {
    let mut fleet = sim::Fleet::new(12, 4, 1, seed);
    let took = fleet.run_until(MINUTE, sim::Fleet::is_complete);
    assert!(
        took < Duration::from_secs(15),
        "the fleet was complete after {took:?}"
    );
    fleet
}

/// Guards against a failed host that stays in use.
#[rstest::rstest]
fn a_dead_host_is_dead_everywhere_within_8_seconds(#[values(1, 2, 3, 4, 5)] seed: u64) {
    let mut fleet = twelve(seed);
    for dead in [0, 5, 11] {
        fleet.hosts[dead].is_up = false;
        let took = fleet.run_until(MINUTE, |fleet| fleet.all_see(dead, State::Dead));
        assert!(took <= Duration::from_secs(8), "dead after {took:?}");
        assert_eq!(fleet.false_deaths(), 0);
    }
}

/// Guards against the late detection of a lost data centre.
#[rstest::rstest]
fn a_lost_data_centre_is_dead_everywhere_within_8_seconds(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = twelve(seed);
    for dead in [2, 6, 10] {
        fleet.hosts[dead].is_up = false;
    }
    let took = fleet.run_until(MINUTE, |fleet| {
        [2, 6, 10]
            .iter()
            .all(|&dead| fleet.all_see(dead, State::Dead))
    });
    assert!(took <= Duration::from_secs(8), "dead after {took:?}");
}

/// Guards against a process that mistakes its own pause for the failure of others,
/// also by outdated datagrams that waited in its socket.
#[rstest::rstest]
fn a_resumed_host_causes_no_false_deaths(
    #[values(1, 2, 3)] seed: u64,
    #[values(2, 4, 20, 600)] pause_s: u64,
) {
    let mut fleet = twelve(seed);
    fleet.hosts[4].is_paused = true;
    for _ in 0..pause_s * 10 {
        fleet.step();
        assert_eq!(fleet.false_deaths(), 0);
    }
    fleet.hosts[4].is_paused = false;
    for _ in 0..200 {
        fleet.step();
        let others = fleet.running().filter(|&observer| observer != 4);
        let wrong = others
            .filter(|&observer| (0..12).any(|host| host != 4 && fleet.sees_dead(observer, host)))
            .count();
        assert_eq!(wrong, 0);
        assert!((0..12).all(|subject| !fleet.sees_dead(4, subject)));
    }
    assert!(fleet.is_complete());
}

/// Guards against hosts that are declared dead because of lost datagrams.
#[rstest::rstest]
fn ten_percent_loss_causes_no_false_deaths(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = twelve(seed);
    fleet.loss = 0.1;
    for _ in 0..6_000 {
        fleet.step();
        assert_eq!(fleet.false_deaths(), 0, "at {:?}", fleet.now);
    }
}

/// Guards against halves that do not discover each other after a partition, and
/// against a half that still considers the other live during it.
#[rstest::rstest]
fn halves_of_a_partition_rejoin_within_15_seconds(#[values(1, 2, 3)] seed: u64) {
    let mut fleet = twelve(seed);
    fleet.split = (6..12).collect();
    fleet.run(Duration::from_secs(15));
    for observer in 0..6 {
        assert!((6..12).all(|other| fleet.sees_dead(observer, other)));
        assert!((0..6).all(|other| !fleet.sees_dead(observer, other)));
    }
    fleet.run(60 * MINUTE);
    fleet.split.clear();
    let took = fleet.run_until(MINUTE, sim::Fleet::is_complete);
    assert!(took <= Duration::from_secs(15), "complete after {took:?}");
}

/// Guards against false deaths and late detection in a fleet that does not fit
/// into one digest, where the counter of a host rarely arrives by gossip.
#[rstest::rstest]
fn large_fleets_detect_failures_without_false_deaths(#[values(1, 2)] seed: u64) {
    let mut fleet = sim::Fleet::new(60, 11, 3, seed);
    let took = fleet.run_until(MINUTE, sim::Fleet::is_complete);
    assert!(took < MINUTE, "the fleet was complete after {took:?}");
    fleet.loss = 0.1;
    for _ in 0..60 {
        fleet.run(Duration::from_secs(1));
        assert_eq!(fleet.false_deaths(), 0, "at {:?}", fleet.now);
    }
    fleet.loss = 0.0;
    fleet.hosts[7].is_up = false;
    let took = fleet.run_until(MINUTE, |fleet| fleet.all_see(7, State::Dead));
    assert!(took <= Duration::from_secs(8), "dead after {took:?}");
    fleet.split = (0..60).filter(|host| host % 11 % 3 == 0).collect();
    let split = fleet.split.clone();
    let took = fleet.run_until(MINUTE, |fleet| {
        let pairs = fleet
            .running()
            .flat_map(|a| fleet.running().map(move |b| (a, b)));
        pairs
            .filter(|(a, b)| split.contains(a) != split.contains(b))
            .all(|(a, b)| fleet.sees_dead(a, b))
    });
    assert!(
        took < MINUTE,
        "each side declared the other dead after {took:?}"
    );
    fleet.split.clear();
    let took = fleet.run_until(MINUTE, sim::Fleet::is_complete);
    assert!(took <= Duration::from_secs(15), "complete after {took:?}");
}

/// Guards against a large fleet that floods an absent host, and against a starting
/// host that knows only a part of the fleet for long.
#[rstest::rstest]
fn a_starting_host_soon_discovers_a_large_fleet(#[values(1, 2)] seed: u64) {
    let mut fleet = sim::Fleet::new(100, 11, 3, seed);
    fleet.run_until(MINUTE, sim::Fleet::is_complete);
    fleet.hosts[1].is_up = false;
    fleet.run(Duration::from_secs(20));
    fleet.arrived[1] = 0;
    fleet.run(Duration::from_secs(20));
    // About 4 per second are sent to a dead host, which is a seed here.
    assert!(
        (20..=160).contains(&fleet.arrived[1]),
        "{} arrived",
        fleet.arrived[1]
    );
    fleet.restart(1);
    let took = fleet.run_until(MINUTE, |fleet| {
        fleet.hosts[1].membership.live().len() >= 95 && fleet.all_see(1, State::Live)
    });
    assert!(took <= Duration::from_secs(6), "known after {took:?}");
}

/// Guards against an old lifetime that remains known after a restart.
#[rstest::rstest]
fn a_new_lifetime_replaces_the_old(#[values(1, 2, 3)] seed: u64, #[values(0, 1, 20)] gap_s: u64) {
    let mut fleet = twelve(seed);
    let old = fleet.hosts[3].membership.own().clone();
    fleet.hosts[3].is_up = false;
    fleet.run(Duration::from_secs(gap_s));
    fleet.restart(3);
    let took = fleet.run_until(MINUTE, |fleet| {
        fleet.is_complete()
            && fleet
                .hosts
                .iter()
                .all(|host| host.membership.has_ended(&old.name, old.incarnation))
    });
    assert!(took <= Duration::from_secs(10), "replaced after {took:?}");
    let new = fleet.hosts[3].membership.own().incarnation;
    assert!(
        fleet
            .hosts
            .iter()
            .all(|host| !host.membership.has_ended(&old.name, new))
    );
}

/// Guards against a process that does not detect a newer lifetime of its host, and
/// against digests of an old lifetime that still count.
#[test]
fn a_superseded_process_detects_it() {
    let mut fleet = twelve(1);
    let mut old = fleet.hosts[3].membership.clone();
    fleet.restart(3);
    fleet.run(Duration::from_secs(10));
    let digests = fleet.hosts[0].membership.tick(fleet.now);
    for (_, digest) in &digests {
        old.receive(fleet.now, digest);
    }
    assert!(old.is_superseded());
    let before = fleet.hosts[0].membership.find("host-003").cloned();
    for (_, digest) in old.tick(fleet.now) {
        fleet.hosts[0].membership.receive(fleet.now, &digest);
    }
    assert_eq!(fleet.hosts[0].membership.find("host-003").cloned(), before);
    assert!(!fleet.hosts[3].membership.is_superseded());
}

/// Guards against a host that all others ignore for hours, because its clock was set back
/// between two starts.
#[test]
fn a_host_whose_clock_was_set_back_is_known_again() {
    let mut fleet = twelve(1);
    fleet.restart(3);
    fleet.run(Duration::from_secs(10));
    let before = fleet.hosts[3].membership.own().incarnation;
    fleet.restart_as(3, before - 2);
    for _ in 0..60 {
        fleet.run(Duration::from_millis(100));
        fleet.hosts[3].membership.move_after_known_lifetimes();
    }
    let known = |host: &sim::Host| {
        let entry = host.membership.find("host-003");
        entry.is_some_and(|entry| entry.incarnation > before)
    };
    assert!(fleet.hosts.iter().all(known));
}

/// Guards against a leaving host that still gets requests.
#[test]
fn the_leaving_phase_reaches_every_host() {
    let mut fleet = twelve(1);
    fleet.hosts[7].membership.set_leaving();
    let took = fleet.run_until(MINUTE, |fleet| fleet.all_see(7, State::Leaving));
    assert!(took <= Duration::from_secs(4), "known after {took:?}");
    for host in &fleet.hosts {
        assert!(
            host.membership
                .live()
                .iter()
                .all(|entry| entry.name != "host-007")
        );
        let entry = host
            .membership
            .find("host-007")
            .expect("the host is running");
        assert_eq!(entry.phase, Phase::Leaving);
    }
}

/// Guards against callers that are directed to a host that has stopped, because
/// digests from before its announcement list it as up again.
#[test]
fn an_announced_leave_outlasts_older_digests() {
    let mut fleet = twelve(1);
    let entry = fleet.hosts[0].membership.find("host-007").cloned();
    let entry = entry.expect("the host is running");
    let now = fleet.now;
    fleet.hosts[0]
        .membership
        .mark_leaving(now, &entry.name, entry.incarnation);
    assert_eq!(fleet.state(0, 7), State::Leaving);
    let returned = fleet.run_until(MINUTE, |fleet| fleet.state(0, 7) != State::Leaving);
    assert!(returned >= MINUTE, "listed again after {returned:?}");
    fleet.restart(7);
    let took = fleet.run_until(MINUTE, |fleet| fleet.state(0, 7) == State::Live);
    assert!(took < MINUTE, "the new lifetime is not leaving");
}

/// Guards against an outdated list that removes hosts or marks a new lifetime as
/// leaving.
#[test]
fn the_platform_list_adds_and_marks_hosts_but_never_removes_them() {
    let mut fleet = twelve(1);
    let listed = fleet::Listed {
        name: "host-005".to_owned(),
        peer: sample::entry(5, 4, 1).peer,
        phase: Phase::Leaving,
    };
    let now = fleet.now;
    fleet.hosts[0]
        .membership
        .apply_platform_list(now, std::slice::from_ref(&listed));
    assert_eq!(fleet.state(0, 5), State::Leaving);
    assert_eq!(fleet.state(0, 6), State::Live);
    fleet.restart(5);
    fleet.run(Duration::from_secs(10));
    fleet.hosts[0]
        .membership
        .apply_platform_list(fleet.now, &[listed]);
    assert_eq!(
        fleet.state(0, 5),
        State::Live,
        "the new lifetime is not leaving"
    );
    fleet.hosts[0]
        .membership
        .apply_platform_list(fleet.now, &[]);
    assert_eq!(fleet.state(0, 5), State::Live);

    let mut lone = fleet::Membership::new(sample::entry(20, 4, 1), fleet::Options::default(), 1);
    let up = fleet::Listed {
        name: "host-006".to_owned(),
        peer: sample::entry(6, 4, 1).peer,
        phase: Phase::Up,
    };
    lone.apply_platform_list(Duration::ZERO, &[up]);
    let out = lone.tick(Duration::ZERO);
    assert_eq!(out.len(), 1);
    assert_eq!(out[0].0, sample::entry(6, 4, 1).peer);
}

/// Guards against a failed host that is never declared dead in a fleet of two.
#[test]
fn one_observer_is_enough_in_a_fleet_of_two() {
    let mut fleet = sim::Fleet::new(2, 1, 1, 1);
    fleet.run(Duration::from_secs(10));
    assert!(fleet.is_complete());
    fleet.hosts[1].is_up = false;
    fleet.run(Duration::from_secs(6));
    assert_eq!(fleet.state(0, 1), State::Dead);
}

/// Guards against an evicted host that an outdated digest brings back.
#[test]
fn an_evicted_host_returns_only_with_a_newer_heartbeat() {
    let mut fleet = twelve(1);
    let mut stale = fleet.hosts[9].membership.clone();
    fleet.hosts[9].is_up = false;
    fleet.run(2 * 60 * MINUTE + MINUTE);
    let observer = &mut fleet.hosts[0].membership;
    assert!(
        observer
            .entries()
            .all(|(entry, _)| entry.name != "host-009")
    );
    let incarnation = stale.own().incarnation;
    assert!(observer.has_ended("host-009", incarnation));
    let now = fleet.now;
    let mut old = stale.tick(now).remove(0).1;
    old.entries[0].counter -= 1;
    observer.receive(now, &old);
    assert_eq!(observer.find("host-009"), None);
    old.entries[0].counter += 2;
    observer.receive(now, &old);
    assert!(observer.find("host-009").is_some());
}

/// Guards against configuration revisions that a host misses.
#[test]
fn a_higher_revision_is_reported_with_its_sender() {
    let mut fleet = twelve(1);
    fleet.hosts[0].membership.set_version(7, [7; 32]);
    let now = fleet.now;
    let (_, digest) = fleet.hosts[0].membership.tick(now).remove(0);
    let received = fleet.hosts[1].membership.receive(now, &digest);
    let source = received.newer.expect("7 is higher than 0");
    assert_eq!((source.revision, source.name.as_str()), (7, "host-000"));
    assert_eq!(source.peer, sample::entry(0, 4, 1).peer);
    fleet.hosts[1].membership.set_version(7, [8; 32]);
    let received = fleet.hosts[1].membership.receive(now, &digest);
    assert!(received.newer.is_none() && received.conflict.is_some());
}

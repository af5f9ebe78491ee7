//! Guards against requests to removed endpoints, and against the loss of all
//! endpoints when their entries expire during an outage of the platform.

use core::time;

use rstest::rstest;

fn ms(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

fn endpoint(id: &str, phase: plan::Phase) -> plan::Endpoint {
    plan::Endpoint {
        id: id.into(),
        service: "s".into(),
        address: ([127, 0, 0, 1], 80).into(),
        data_centre: "dc".into(),
        slots: 1,
        phase,
        started_ms: 0,
        build: Some("v1".into()),
    }
}

fn entry(id: &str, phase: plan::Phase) -> edge::Entry {
    edge::Entry::Endpoint(endpoint(id, phase))
}

fn registry() -> edge::Registry {
    let mut registry = edge::Registry::new(ms(2_000));
    let list = ["a", "b"]
        .map(|id| (id.to_owned(), entry(id, plan::Phase::Up), 5))
        .to_vec();
    registry.replace(ms(0), list, 5);
    registry
}

fn ids(registry: &edge::Registry) -> Vec<String> {
    registry
        .endpoints()
        .into_iter()
        .map(|endpoint| endpoint.id)
        .collect()
}

#[test]
fn a_removal_outside_an_outage_takes_effect_immediately() {
    let mut registry = registry();
    registry.remove(ms(10_000), "a", 6);
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn entries_that_expired_during_an_outage_may_be_restored() {
    let mut registry = registry();
    registry.mark_unreachable(ms(5_000));
    registry.mark_reachable(ms(10_000));
    registry.replace(ms(10_000), Vec::new(), 9);
    assert_eq!(ids(&registry), ["a", "b"]);
    registry.put(ms(11_000), "a", entry("a", plan::Phase::Up), 10);
    assert!(!registry.expire(ms(11_500)));
    assert!(registry.expire(ms(12_100)));
    assert_eq!(ids(&registry), ["a"]);
}

#[test]
fn the_removal_of_a_leaving_endpoint_is_not_held_back_after_an_outage() {
    let mut registry = registry();
    registry.put(ms(1), "a", entry("a", plan::Phase::Leaving), 6);
    registry.mark_unreachable(ms(5_000));
    registry.mark_reachable(ms(10_000));
    registry.remove(ms(10_000), "a", 7);
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn an_invalid_entry_removes_its_endpoint() {
    let mut registry = registry();
    let invalid = edge::Entry::Invalid("test".into());
    registry.put(ms(1), "a", invalid, 6);
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn an_older_change_that_arrives_late_is_ignored() {
    // Guards against a page of a list that is older than events already
    // applied.
    let mut registry = registry();
    registry.put(ms(1), "a", entry("a", plan::Phase::Leaving), 8);
    registry.put(ms(2), "a", entry("a", plan::Phase::Up), 7);
    assert_eq!(registry.endpoints()[0].phase, plan::Phase::Leaving);
}

#[test]
fn no_endpoint_expires_while_the_platform_is_unreachable() {
    let mut registry = registry();
    registry.mark_unreachable(ms(5_000));
    registry.remove(ms(1), "a", 6);
    assert!(!registry.expire(ms(60_000)));
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[test]
fn a_removal_after_a_cut_of_this_host_alone_counts_at_once() {
    // Guards against requests to an endpoint that was removed while the
    // platform was unreachable for this host only.
    let mut registry = registry();
    registry.mark_unreachable(ms(5_000));
    registry.record_peer_contact(ms(7_000));
    registry.mark_reachable(ms(10_000));
    registry.remove(ms(10_010), "a", 6);
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn peer_contact_during_an_earlier_outage_does_not_count_for_the_next() {
    let mut registry = registry();
    registry.mark_unreachable(ms(5_000));
    registry.record_peer_contact(ms(7_000));
    registry.mark_reachable(ms(10_000));
    registry.mark_unreachable(ms(15_000));
    registry.record_peer_contact(ms(14_900));
    registry.mark_reachable(ms(20_000));
    registry.remove(ms(20_010), "a", 6);
    assert_eq!(ids(&registry), ["a", "b"]);
}

#[test]
fn entries_missing_from_an_older_copy_are_used_until_they_are_written_again() {
    // Guards against a fleet without endpoints after the platform is restored.
    let mut registry = registry();
    registry.replace(ms(10_000), Vec::new(), plan::Version::new(1, 3));
    assert_eq!(ids(&registry), ["a", "b"]);
    let up = entry("b", plan::Phase::Up);
    registry.put(ms(11_000), "b", up, plan::Version::new(1, 4));
    assert!(registry.expire(ms(12_100)));
    assert_eq!(ids(&registry), ["b"]);
}

#[test]
fn a_revision_that_is_given_out_again_is_newer_in_its_era() {
    // Guards against changes that are ignored because the number of an earlier era
    // is higher, and against late changes of the earlier era.
    let mut registry = registry();
    let list = vec![("a".to_owned(), entry("a", plan::Phase::Up), 2)];
    registry.replace(ms(10_000), list, plan::Version::new(1, 3));
    registry.remove(ms(13_000), "a", plan::Version::new(1, 4));
    assert!(!ids(&registry).contains(&"a".to_owned()));
    let late = entry("late", plan::Phase::Up);
    registry.put(ms(13_100), "late", late, plan::Version::new(0, 90));
    registry.replace(ms(13_200), Vec::new(), plan::Version::new(0, 90));
    assert!(!ids(&registry).contains(&"late".to_owned()));
    assert_eq!(registry.version(), plan::Version::new(1, 4));
}

#[test]
fn a_leaving_endpoint_stays_so_when_an_older_copy_lists_it_as_up() {
    // Guards against new requests to an endpoint whose leaving the platform lost.
    let mut registry = registry();
    registry.put(ms(9_000), "a", entry("a", plan::Phase::Leaving), 6);
    let list = ["a", "b"].map(|id| (id.to_owned(), entry(id, plan::Phase::Up), 5));
    registry.replace(ms(10_000), list.to_vec(), plan::Version::new(1, 5));
    let phases: Vec<_> = registry
        .endpoints()
        .iter()
        .map(|listed| listed.phase)
        .collect();
    assert_eq!(phases, [plan::Phase::Leaving, plan::Phase::Up]);
}

/// Way in which a list of endpoints comes to a host.
#[derive(Clone, Copy, Debug)]
enum Way {
    Platform,
    Peer,
}

impl Way {
    fn replace(self, registry: &mut edge::Registry, ids: &[&str], version: plan::Version) {
        let ids = ids.iter().map(|id| (*id).to_owned());
        match self {
            Self::Platform => {
                let list = ids.map(|id| (id.clone(), entry(&id, plan::Phase::Up), 5));
                registry.replace(ms(10_000), list.collect(), version);
            }
            Self::Peer => {
                let list = ids.map(|id| endpoint(&id, plan::Phase::Up));
                registry.replace_from_peer(ms(10_000), list.collect(), version);
            }
        }
    }
}

#[rstest]
#[case::platform(&[Way::Platform])]
#[case::peer(&[Way::Peer])]
#[case::peer_first(&[Way::Peer, Way::Platform])]
#[case::peer_last(&[Way::Platform, Way::Peer])]
fn what_is_known_of_endpoints_outlasts_a_restore_whichever_way_the_list_comes(
    #[case] ways: &[Way],
) {
    // Guards against new requests to an endpoint whose leaving the platform lost, and
    // against the loss of endpoints that the copy lacks, at a host that hears of the new era
    // from another one.
    let mut registry = registry();
    registry.put(ms(9_000), "a", entry("a", plan::Phase::Leaving), 6);
    for (revision, way) in (5..).zip(ways) {
        // Another host lists what it holds back as well.
        let ids: &[&str] = match way {
            Way::Platform => &["a"],
            Way::Peer => &["a", "b"],
        };
        way.replace(&mut registry, ids, plan::Version::new(1, revision));
    }
    let phases: Vec<_> = registry
        .endpoints()
        .iter()
        .map(|listed| listed.phase)
        .collect();
    assert_eq!(phases, [plan::Phase::Leaving, plan::Phase::Up]);
    // A later change counts.
    let version = plan::Version::new(1, 9);
    registry.put(ms(10_500), "a", entry("a", plan::Phase::Up), version);
    let again = plan::Version::new(1, 10);
    Way::Peer.replace(&mut registry, &["a"], again);
    assert_eq!(registry.endpoints()[0].phase, plan::Phase::Up);
}

#[test]
fn a_list_without_builds_leaves_those_of_the_same_processes_only() {
    // Guards against the build of a process that is taken for that of another one with
    // its id, when a host of an earlier build, which states no builds, lists it.
    for (before_ms, after_ms, build) in [
        (7, 7, Some("v1")),
        (7, 8, None),
        // The process may have been replaced.
        (0, 0, None),
    ] {
        let listed = |started_ms, build: Option<&str>| plan::Endpoint {
            started_ms,
            build: build.map(str::to_owned),
            ..endpoint("a", plan::Phase::Up)
        };
        let mut registry = edge::Registry::new(ms(2_000));
        let entry = edge::Entry::Endpoint(listed(before_ms, Some("v1")));
        registry.replace(ms(0), vec![("a".to_owned(), entry, 5)], 5);
        registry.replace_from_peer(ms(0), vec![listed(after_ms, None)], 6);
        let kept = registry.endpoints();
        assert_eq!(kept[0].build.as_deref(), build, "{before_ms} {after_ms}");
    }
}

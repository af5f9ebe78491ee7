//! Tests of the rendezvous order of hosts and the layout of shards.

mod sample;

use std::collections::{BTreeMap, BTreeSet};

use fleet::{Entry, Phase, rank};
use proptest::prelude::*;

fn endpoints(numbers: impl Iterator<Item = usize>) -> Vec<String> {
    numbers
        .map(|number| format!("engine-{number:04}"))
        .collect()
}

fn layout(names: &[String], bound: usize) -> Vec<Vec<String>> {
    rank::shards(names.iter().map(String::as_str), bound)
}

/// Counts the endpoints of both layouts whose shard differs.
fn moved(before: &[Vec<String>], after: &[Vec<String>]) -> usize {
    let index = |layout: &[Vec<String>]| -> BTreeMap<String, usize> {
        let shards = layout.iter().enumerate();
        shards
            .flat_map(|(shard, names)| names.iter().map(move |name| (name.clone(), shard)))
            .collect()
    };
    let before = index(before);
    let after = index(after);
    let has_moved =
        |(name, shard): (&String, &usize)| after.get(name).is_some_and(|to| to != shard);
    before.iter().filter(|&pair| has_moved(pair)).count()
}

proptest! {
    /// Guards against shards that are too large or uneven, or that lose or repeat
    /// an endpoint, and against a layout that depends on the order of the names.
    #[test]
    fn layouts_are_even_bounded_and_complete(
        numbers in prop::collection::btree_set(0..2_000_usize, 0..300),
        bound in 0..80_usize,
        rotation in 0..300_usize,
    ) {
        let mut names = endpoints(numbers.into_iter());
        let shards = layout(&names, bound);
        let sizes: Vec<usize> = shards.iter().map(Vec::len).collect();
        let most = sizes.iter().max().copied().unwrap_or(0);
        let least = sizes.iter().min().copied().unwrap_or(0);
        prop_assert!(most <= bound.max(1) && most - least <= 1);
        prop_assert_eq!(shards.len(), names.len().div_ceil(bound.max(1)).max(1));
        let placed: BTreeSet<&String> = shards.iter().flatten().collect();
        prop_assert_eq!(placed.len(), names.len());
        prop_assert_eq!(sizes.iter().sum::<usize>(), names.len());
        let middle = rotation % names.len().max(1);
        names.rotate_left(middle);
        prop_assert_eq!(layout(&names, bound), shards);
    }
}

/// Guards against a change of one endpoint that redistributes a pool.
#[rstest::rstest]
fn removing_one_endpoint_moves_few_others(#[values(32, 64, 128)] bound: usize) {
    let names = endpoints(0..600);
    let before = layout(&names, bound);
    for number in (0..600).step_by(50) {
        let fewer = endpoints((0..600).filter(|&other| other != number));
        let after = layout(&fewer, bound);
        assert_eq!(before.len(), after.len());
        // At most a twentieth of the pool moves, so that the observations of
        // the other endpoints are kept.
        assert!(moved(&before, &after) <= 30);
    }
}

fn hosts(count: usize) -> Vec<Entry> {
    (0..count)
        .map(|number| sample::entry(number, 4, 2))
        .collect()
}

/// Guards against hosts with the same view that choose different homes.
#[test]
fn homes_depend_on_the_set_of_hosts_only() {
    let hosts = hosts(40);
    let mut views: Vec<&Entry> = hosts.iter().collect();
    let homes = rank::homes("large", 3, &views, Some("region-1"));
    views.reverse();
    assert_eq!(rank::homes("large", 3, &views, Some("region-1")), homes);
    let near = homes
        .iter()
        .take_while(|host| host.region == "region-1")
        .count();
    assert_eq!((near, homes.len()), (20, 40));
    assert!(homes[near..].iter().all(|host| host.region != "region-1"));
    views.retain(|host| host.name != homes[0].name);
    let next = rank::homes("large", 3, &views, Some("region-1"));
    assert_eq!(
        next[..],
        homes[1..],
        "the next host takes over, the rest stay"
    );
}

/// Guards against a leaving host that stays home, and against an order that changes
/// when a host leaves.
#[test]
fn leaving_hosts_are_not_homes() {
    let mut hosts = hosts(12);
    let views: Vec<&Entry> = hosts.iter().collect();
    let before: Vec<String> = rank::homes("large", 0, &views, None)
        .iter()
        .map(|host| host.name.clone())
        .collect();
    let leaving = hosts.iter().position(|host| host.name == before[0]);
    hosts[leaving.expect("the home is a host")].phase = Phase::Leaving;
    let views: Vec<&Entry> = hosts.iter().collect();
    let after = rank::homes("large", 0, &views, None);
    let after: Vec<&str> = after.iter().map(|host| host.name.as_str()).collect();
    assert_eq!(after, before[1..]);
}

/// Guards against a hash that differs between builds, by which the hosts of a fleet
/// would disagree during an upgrade.
#[test]
fn the_order_is_fixed() {
    let names = ["a", "b", "c", "d", "e"];
    let order = rank::order(names.into_iter(), "pool/0");
    assert_eq!(order, ["d", "e", "a", "c", "b"]);
}

/// Guards against hosts that are the home of far more shards than others.
#[test]
fn homes_are_spread_over_the_hosts() {
    let hosts = hosts(20);
    let views: Vec<&Entry> = hosts.iter().collect();
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for shard in 0..2_000 {
        let home = rank::homes("large", shard, &views, None)[0];
        *counts.entry(&home.name).or_default() += 1;
    }
    assert_eq!(counts.len(), 20);
    // 100 are expected; 60 and 140 are four standard deviations away.
    assert!(counts.values().all(|count| (60..=140).contains(count)));
}

//! The hosts that read the platform for a fleet of tens to hundreds of hosts: their
//! number must follow from the losses to be survived, not from the size of the fleet.

use core::time;
use std::collections;

use rstest::rstest;

struct Host {
    name: String,
    hash: u64,
    data_centre: usize,
    cpu_millicores: u16,
}

/// Returns the hosts of a fleet. Every twelfth one is strong.
fn hosts(count: usize, data_centres: usize) -> Vec<Host> {
    (0..count)
        .map(|index| Host {
            name: format!("host-{index}"),
            hash: index as u64,
            data_centre: index % data_centres,
            cpu_millicores: if (index / data_centres).is_multiple_of(12) {
                500
            } else {
                84
            },
        })
        .collect()
}

/// Returns the indices of the live hosts that consider themselves watchers. `is_heard`
/// tells whether a host has received the CPU time of another one.
fn watchers(
    hosts: &[Host],
    live: &collections::BTreeSet<usize>,
    is_heard: impl Fn(usize, usize) -> bool,
) -> Vec<usize> {
    let now = time::Duration::from_secs(5);
    let data_centres: collections::BTreeSet<usize> =
        live.iter().map(|&index| hosts[index].data_centre).collect();
    live.iter()
        .copied()
        .filter(|&own| {
            let mut known = fleet::Watchers::default();
            for &other in live.iter().filter(|&&other| is_heard(own, other)) {
                known.record_capacity(now, hosts[other].hash, hosts[other].cpu_millicores);
            }
            let near = live
                .iter()
                .map(|&other| &hosts[other])
                .filter(|other| other.data_centre == hosts[own].data_centre)
                .map(|other| (other.name.as_str(), other.hash));
            let own = &hosts[own];
            known.is_watcher(
                now,
                (&own.name, own.cpu_millicores),
                near,
                data_centres.len(),
            )
        })
        .collect()
}

#[rstest]
fn a_fleet_of_any_size_has_few_watchers_in_all_data_centres(
    #[values(30, 100, 300)] count: usize,
    #[values(1, 3, 4, 6)] data_centres: usize,
) {
    // Guards against calls to the platform that grow with the fleet, and against a data centre
    // without a watcher of its own.
    let hosts = hosts(count, data_centres);
    let watchers = watchers(&hosts, &(0..count).collect(), |_, _| true);
    assert!(
        (6..=8).contains(&watchers.len()),
        "{} watchers",
        watchers.len()
    );
    let places: collections::BTreeSet<usize> = watchers
        .iter()
        .map(|&index| hosts[index].data_centre)
        .collect();
    assert_eq!(places.len(), data_centres);
    for weak in hosts
        .iter()
        .enumerate()
        .filter(|(index, host)| watchers.contains(index) && host.cpu_millicores < 500)
    {
        let is_spared = hosts.iter().enumerate().any(|(index, host)| {
            host.data_centre == weak.1.data_centre
                && host.cpu_millicores == 500
                && !watchers.contains(&index)
        });
        assert!(!is_spared, "a weak host reads instead of a strong one");
    }
}

#[test]
fn the_next_hosts_take_over_from_watchers_that_are_lost() {
    // Guards against a fleet that no longer follows the platform after its strong hosts were
    // lost.
    let hosts = hosts(300, 6);
    let mut live: collections::BTreeSet<usize> = (0..300).collect();
    for _ in 0..40 {
        let found = watchers(&hosts, &live, |_, _| true);
        assert_eq!(found.len(), 6);
        for lost in found {
            live.remove(&lost);
        }
    }
}

#[test]
fn a_data_centre_that_is_cut_off_has_watchers_enough_of_its_own() {
    // Guards against hosts that leave reading to hosts they cannot reach.
    let hosts = hosts(300, 6);
    let live: collections::BTreeSet<usize> = (0..300)
        .filter(|&index| hosts[index].data_centre == 2)
        .collect();
    assert_eq!(watchers(&hosts, &live, |_, _| true).len(), 6);
}

#[test]
fn a_host_that_has_heard_of_nobody_reads_the_platform() {
    // Guards against hosts that wait for others which may not exist.
    let hosts = hosts(30, 6);
    let found = watchers(&hosts, &(0..30).collect(), |_, _| false);
    assert_eq!(found.len(), 30);
}

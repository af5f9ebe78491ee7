//! Choice of the hosts that monitor the heartbeats of a host.

use std::cmp;
use std::collections;

use crate::entry;
use crate::rank;

/// Monitors in the data centre of the host, which detect a failure of the host
/// alone.
const OWN_DATA_CENTRE: usize = 1;

/// Monitors in other data centres of its region, which detect the loss of its data
/// centre.
const OWN_REGION: usize = 2;

/// Monitors in each other region, so that each side of a partition between
/// regions holds two observers.
const OTHER_REGION: usize = 2;

/// Minimum number of monitors of a host, if there are enough hosts.
const MONITORS_MIN: usize = 3;

/// Maximum number of monitors of a host, whatever the number of regions.
const MONITORS_MAX: usize = 11;

/// Chooses the hosts that receive a heartbeat of `host` every second.
///
/// All hosts with the same view choose the same ones. `others` may contain the
/// host itself, which is left out.
pub(crate) fn monitors<'a>(
    host: &entry::Entry,
    others: impl Iterator<Item = &'a entry::Entry>,
) -> Vec<&'a entry::Entry> {
    let key = format!("monitor/{}", host.name);
    let mut scored: Vec<(u64, &entry::Entry)> = others
        .filter(|other| other.name != host.name)
        .map(|other| (rank::score(&other.name, &key), other))
        .collect();
    scored.sort_unstable_by_key(|&(score, other)| (cmp::Reverse(score), &other.name));
    let mut counts: collections::BTreeMap<(bool, &str), usize> = collections::BTreeMap::new();
    let mut chosen = Vec::new();
    let mut rest = Vec::new();
    for (_, other) in scored {
        let (group, quota) = group(host, other);
        let count = counts.entry(group).or_default();
        if *count < quota && chosen.len() < MONITORS_MAX {
            *count += 1;
            chosen.push(other);
        } else {
            rest.push(other);
        }
    }
    let missing = MONITORS_MIN.saturating_sub(chosen.len());
    chosen.extend(rest.into_iter().take(missing));
    chosen
}

/// Returns the group that a monitor belongs to and the quota of that group.
fn group<'a>(host: &entry::Entry, other: &'a entry::Entry) -> ((bool, &'a str), usize) {
    if other.data_centre == host.data_centre {
        return ((true, ""), OWN_DATA_CENTRE);
    }
    let quota = if other.region == host.region {
        OWN_REGION
    } else {
        OTHER_REGION
    };
    ((false, &other.region), quota)
}

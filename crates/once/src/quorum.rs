use core::time;
use std::collections;

use crate::options;

/// Send time of the newest claim that each other owner has acknowledged.
pub(crate) type Acks = collections::BTreeMap<String, time::Duration>;

/// Returns when the lease ends; `None` if this host is no owner or has no quorum.
///
/// During a change of the owners both the current and the previous owners must
/// provide a quorum.
pub(crate) fn lease_end(
    name: &str,
    options: &options::Options,
    acks: &Acks,
) -> Option<time::Duration> {
    if !options.owners.iter().any(|owner| owner == name) {
        return None;
    }
    let current = nth_newest(name, &options.owners, own_quorum(&options.owners), acks)?;
    let needed = previous_quorum(name, &options.previous_owners);
    let previous = nth_newest(name, &options.previous_owners, needed, acks)?;
    Some(current.min(previous).saturating_add(options.lease))
}

/// Returns how many of the other owners must acknowledge.
///
/// An owner has no vote on its own lease: two lifetimes of one name would
/// each count themselves, and their majorities might share no other owner.
fn own_quorum(owners: &[String]) -> usize {
    match owners.len() {
        0 | 1 => 0,
        count => (count - 1) / 2 + 1,
    }
}

/// Returns how many previous owners, other than this one, must acknowledge.
///
/// Here the own vote counts, because this process itself has left the old
/// epoch.
fn previous_quorum(name: &str, previous: &[String]) -> usize {
    if previous.is_empty() {
        return 0;
    }
    let own = usize::from(previous.iter().any(|owner| owner == name));
    previous.len() / 2 + 1 - own
}

/// Returns the send time of the `needed`-th newest acknowledged claim.
///
/// It is the maximum if none is needed, and `None` if there are too few.
fn nth_newest(
    name: &str,
    members: &[String],
    needed: usize,
    acks: &Acks,
) -> Option<time::Duration> {
    if needed == 0 {
        return Some(time::Duration::MAX);
    }
    let mut times = members
        .iter()
        .filter(|member| *member != name)
        .filter_map(|member| acks.get(member).copied())
        .collect::<Vec<_>>();
    times.sort_unstable();
    times.len().checked_sub(needed).map(|index| times[index])
}

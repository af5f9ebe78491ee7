use core::time;
use std::collections;

use crate::options;

/// Send times of the last acknowledged claim, by acknowledging owner.
pub(crate) type Acked = collections::BTreeMap<String, time::Duration>;

/// Returns when the lease ends, or `None` if it has never begun.
pub(crate) fn lease_end(
    name: &str,
    options: &options::Options,
    acked: &Acked,
) -> Option<time::Duration> {
    if !options.owners.iter().any(|owner| owner == name) {
        return None;
    }
    let current = oldest(name, &options.owners, own_quorum(&options.owners), acked)?;
    let needed = previous_quorum(name, &options.previous_owners);
    let previous = oldest(name, &options.previous_owners, needed, acked)?;
    Some(current.min(previous).saturating_add(options.lease))
}

/// Counts the other owners that must acknowledge.
///
/// An owner has no vote on its own lease: two lifetimes of one name would
/// each count themselves, and their majorities might share no third owner.
fn own_quorum(owners: &[String]) -> usize {
    match owners.len() {
        0 | 1 => 0,
        count => (count - 1) / 2 + 1,
    }
}

/// Counts the previous owners, other than this one, that must acknowledge.
///
/// Here the own vote counts: this process has left the old epoch itself.
fn previous_quorum(name: &str, previous: &[String]) -> usize {
    if previous.is_empty() {
        return 0;
    }
    let own = usize::from(previous.iter().any(|owner| owner == name));
    previous.len() / 2 + 1 - own
}

/// Returns the oldest send time among the `needed` newest acknowledgements.
fn oldest(name: &str, members: &[String], needed: usize, acked: &Acked) -> Option<time::Duration> {
    if needed == 0 {
        return Some(time::Duration::MAX);
    }
    let mut times = members
        .iter()
        .filter(|member| *member != name)
        .filter_map(|member| acked.get(member).copied())
        .collect::<Vec<_>>();
    times.sort_unstable();
    times.len().checked_sub(needed).map(|index| times[index])
}

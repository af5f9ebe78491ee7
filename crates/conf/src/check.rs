//! Checks across keys and sections.
//!
//! Each check runs only on values that are valid by themselves, so that one
//! wrong value gives one problem.

mod class;
mod pool;
mod reference;
mod shared;
mod team;

use core::time;
use std::collections;

use crate::group;
use crate::merge;
use crate::problem;
use crate::unit;

/// Runs every check and adds what is wrong to `problems`.
pub(crate) fn run(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    reference::check(merge, problems);
    class::check(merge, problems);
    team::check(merge, problems);
    pool::check(merge, problems);
    shared::check(merge, problems);
}

/// Requires one duration to be shorter than another of the same section.
fn shorter(group: &group::Group, key: &str, bound: &str, equal: bool) -> Option<problem::Problem> {
    let value: time::Duration = group.duration(key)?;
    let limit = group.duration(bound)?;
    if value < limit || (equal && value == limit) {
        return None;
    }
    let relation = if equal { "at most" } else { "less than" };
    let expected = format!("{relation} {bound} ({})", unit::show_duration(limit));
    Some(group.problem(key, expected))
}

/// Returns the first repeated item of a list.
fn repeated<T: Ord>(items: impl IntoIterator<Item = T>) -> Option<T> {
    let mut seen = collections::BTreeSet::new();
    items
        .into_iter()
        .find_map(|item| match seen.contains(&item) {
            true => Some(item),
            false => {
                seen.insert(item);
                None
            }
        })
}

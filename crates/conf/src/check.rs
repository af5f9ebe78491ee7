//! Checks across keys and sections.
//!
//! Each check considers only values that are valid by themselves, so that one
//! invalid value is reported as one problem.

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

/// Runs every check and appends the problems found to `problems`.
pub(crate) fn run(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    reference::check(merge, problems);
    class::check(merge, problems);
    team::check(merge, problems);
    pool::check(merge, problems);
    shared::check(merge, problems);
}

/// Requires the duration `key` to be shorter than the duration `bound` of the
/// same section, or at most equal to it if `is_equal_allowed`.
fn shorter(
    group: &group::Group,
    key: &str,
    bound: &str,
    is_equal_allowed: bool,
) -> Option<problem::Problem> {
    let value: time::Duration = group.duration(key)?;
    let limit = group.duration(bound)?;
    if value < limit || (is_equal_allowed && value == limit) {
        return None;
    }
    let relation = if is_equal_allowed {
        "at most"
    } else {
        "less than"
    };
    let expected = format!("{relation} {bound} ({})", unit::format_duration(limit));
    Some(group.problem(key, expected))
}

/// Returns the first item that occurs a second time.
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

use crate::check;
use crate::group;
use crate::merge;
use crate::problem;

/// Maximum number of classes. Each one takes memory for its windows and metrics
/// on every host.
const CLASSES_MAX: usize = 256;

/// Number of tiers; the schema limits `tier` to 0 to 3.
const TIERS: u64 = 4;

/// Checks the number of classes, their durations and their floors.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    class_count(merge, problems);
    for class in merge.all("class") {
        problems.extend(check::shorter(class, "target_first", "deadline", true));
        if class.integer("tier").is_some_and(|tier| tier > 0) {
            problems.extend(check::shorter(
                class,
                "starvation_window",
                "deadline",
                false,
            ));
            problems.extend(zero_floor(class));
        }
    }
    problems.extend((0..TIERS).filter_map(|tier| floor_sum(merge, tier)));
}

fn class_count(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    let count = merge.all("class").count();
    if (1..=CLASSES_MAX).contains(&count) {
        return;
    }
    problems.push(problem::Problem {
        file: String::new(),
        line: 0,
        section: "class NAME".to_owned(),
        key: String::new(),
        value: format!("{count} classes"),
        expected: format!("1 to {CLASSES_MAX} classes"),
        hint: None,
    });
}

/// Requires a positive floor outside of tier 0: without one, a burst of requests
/// in a higher tier starves the class.
fn zero_floor(class: &group::Group) -> Option<problem::Problem> {
    let is_zero = class.number("floor")? <= 0.0;
    is_zero.then(|| class.problem("floor", "more than 0 outside of tier 0"))
}

/// Requires the floors of a tier to sum to less than 1, so that a share of the
/// service remains that is not reserved.
fn floor_sum(merge: &merge::Merge, tier: u64) -> Option<problem::Problem> {
    let classes: Vec<_> = merge
        .all("class")
        .filter(|class| class.integer("tier") == Some(tier))
        .collect();
    let floor = |class: &&group::Group| class.number("floor").unwrap_or_default();
    let sum: f64 = classes.iter().map(floor).sum();
    if sum < 1.0 {
        return None;
    }
    let expected = format!("floors of tier {tier} that sum to less than 1, not {sum:.3}");
    let last = classes.last()?;
    Some(last.problem("floor", expected))
}

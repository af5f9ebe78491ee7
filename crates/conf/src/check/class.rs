use crate::check;
use crate::group;
use crate::merge;
use crate::problem;

/// Upper bound of classes. Each one costs memory for its windows and metrics
/// on every host.
const CLASSES_MAX: usize = 256;

/// Number of tiers.
const TIERS: u64 = 4;

/// Checks the classes.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    number(merge, problems);
    for class in merge.all("class") {
        problems.extend(check::shorter(class, "target_first", "deadline", true));
        if class.integer("tier").is_some_and(|tier| tier > 0) {
            problems.extend(check::shorter(
                class,
                "starvation_window",
                "deadline",
                false,
            ));
            problems.extend(no_floor(class));
        }
    }
    problems.extend((0..TIERS).filter_map(|tier| floors(merge, tier)));
}

fn number(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
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

/// Requires a floor below tier 0: without one, a burst above the class starves
/// it.
fn no_floor(class: &group::Group) -> Option<problem::Problem> {
    let empty = class.number("floor")? <= 0.0;
    empty.then(|| class.problem("floor", "more than 0 outside of tier 0"))
}

/// Requires the floors of a tier to leave a share of the service.
fn floors(merge: &merge::Merge, tier: u64) -> Option<problem::Problem> {
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

use crate::group;
use crate::hint;
use crate::merge;
use crate::problem;
use crate::schema;

/// Requires the section that a value refers to by name to exist.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    for group in merge.iter() {
        let keys = schema::section(group.header.section).map_or(&[][..], |s| s.keys);
        problems.extend(keys.iter().filter_map(|key| dangling(merge, group, key)));
    }
}

fn dangling(
    merge: &merge::Merge,
    group: &group::Group,
    key: &schema::Key,
) -> Option<problem::Problem> {
    let schema::Kind::Reference(section) = key.kind else {
        return None;
    };
    let name = group.text(key.name)?;
    if merge.named(section, name).is_some() {
        return None;
    }
    let mut problem = group.problem(key.name, key.kind.expected());
    let known = merge.all(section).map(|group| group.header.name.as_str());
    problem.hint = hint::nearest(name, known);
    Some(problem)
}

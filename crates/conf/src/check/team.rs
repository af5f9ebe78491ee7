use std::collections;

use crate::check;
use crate::merge;
use crate::problem;

/// Names that reports use for callers without a key and for teams beyond the
/// maximum that is counted individually.
const RESERVED: [&str; 2] = ["anonymous", "other"];

/// Checks the names of teams and their bearer keys.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    for name in RESERVED {
        let team = merge.named("team", name);
        let expected = "another name, because reports use this one";
        problems.extend(team.map(|team| team.header_problem(expected)));
    }
    bearer_keys(merge, problems);
}

/// Requires each bearer key to belong to one team and to occur there once.
fn bearer_keys(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    let mut owners = collections::BTreeMap::new();
    for team in merge.all("team") {
        let hashes = team.hashes("key_hash");
        if check::repeated(hashes).is_some() {
            problems.push(team.problem("key_hash", "each hash once"));
        }
        for hash in hashes {
            let name = team.header.name.as_str();
            let first = *owners.entry(hash).or_insert(name);
            if first != name {
                let expected = format!("a key of one team; [team {first}] has it too");
                problems.push(team.problem("key_hash", expected));
            }
        }
    }
}

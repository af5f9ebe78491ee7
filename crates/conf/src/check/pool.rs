use std::collections;

use crate::group;
use crate::merge;
use crate::problem;

/// Checks the pools and their endpoints.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    for pool in merge.all("pool") {
        problems.extend(contradiction(merge, pool));
        problems.extend(path(pool));
    }
    addresses(merge, problems);
}

/// Refuses a pool that lets work repeat although its class forbids it.
fn contradiction(merge: &merge::Merge, pool: &group::Group) -> Option<problem::Problem> {
    let class = merge.named("class", pool.text("class")?)?;
    let repeats = pool.flag("idempotent")? && !class.flag("idempotent")?;
    let expected = || format!("false, as in [{}]", class.header);
    repeats.then(|| pool.problem("idempotent", expected()))
}

/// Requires the name of a service to be one segment of a path.
fn path(pool: &group::Group) -> Option<problem::Problem> {
    let service = pool.text("kind")? == "service";
    let segment = !pool.header.name.contains(['/', ':']);
    let expected = "model, or a name without `/` and `:`";
    (service && !segment).then(|| pool.problem("kind", expected))
}

/// Requires the endpoints of a pool to have different addresses; two names for
/// one endpoint would count its slots twice.
fn addresses(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    let mut seen = collections::BTreeMap::new();
    for endpoint in merge.all("endpoint") {
        let Some(address) = endpoint.address("address") else {
            continue;
        };
        let key = (endpoint.text("pool"), address);
        if let Some(first) = seen.insert(key, &endpoint.header) {
            let expected = format!("an address of its own; [{first}] has it too");
            problems.push(endpoint.problem("address", expected));
        }
    }
}

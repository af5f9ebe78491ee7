use std::collections;

use crate::group;
use crate::merge;
use crate::problem;

/// Checks the pools and the addresses of their endpoints.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    for pool in merge.all("pool") {
        problems.extend(idempotency(merge, pool));
        problems.extend(service_name(pool));
    }
    addresses(merge, problems);
}

/// Rejects a pool that is idempotent although its class is not.
fn idempotency(merge: &merge::Merge, pool: &group::Group) -> Option<problem::Problem> {
    let class = merge.named("class", pool.text("class")?)?;
    let is_conflict = pool.flag("idempotent")? && !class.flag("idempotent")?;
    let expected = || format!("false, as in [{}]", class.header);
    is_conflict.then(|| pool.problem("idempotent", expected()))
}

/// Requires the name of a service to be a single path segment: callers address it
/// as `/services/NAME/`.
fn service_name(pool: &group::Group) -> Option<problem::Problem> {
    let is_service = pool.text("kind")? == "service";
    let is_segment = !pool.header.name.contains(['/', ':']);
    let expected = "model, or a name without `/` and `:`";
    (is_service && !is_segment).then(|| pool.problem("kind", expected))
}

/// Requires the endpoints of a pool to have different addresses. The slots of an
/// endpoint with two names would count twice.
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

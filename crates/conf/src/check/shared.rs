use crate::check;
use crate::group;
use crate::merge;
use crate::problem;

/// Upper bound of owners: each pair exchanges a datagram every second.
const OWNERS_MAX: usize = 15;

/// Checks the sections about hosts.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    let once = merge.one("once");
    problems.extend(check::shorter(once, "lease", "resend_max_age", false));
    problems.extend(check::shorter(once, "clock_skew", "resend_max_age", false));
    for key in ["owners", "previous_owners"] {
        owners(once, key, problems);
    }
    problems.extend(orphaned(once));
    problems.extend(keys(merge));
    problems.extend(certificate(merge.one("tls")));
    listeners(merge.one("host"), problems);
}

fn owners(once: &group::Group, key: &str, problems: &mut Vec<problem::Problem>) {
    let owners = once.texts(key);
    if owners.len() > OWNERS_MAX {
        let expected = format!("at most {OWNERS_MAX} names, not {}", owners.len());
        problems.push(once.problem(key, expected));
    }
    if let Some(name) = check::repeated(owners) {
        problems.push(once.problem(key, format!("each name once; {name} is repeated")));
    }
}

/// Refuses previous owners without owners: nobody would take the range over.
fn orphaned(once: &group::Group) -> Option<problem::Problem> {
    let orphaned = once.texts("owners").is_empty() && !once.texts("previous_owners").is_empty();
    orphaned.then(|| once.problem("previous_owners", "no names while `owners` is empty"))
}

/// Requires a shared key where hosts talk to each other.
fn keys(merge: &merge::Merge) -> Option<problem::Problem> {
    let fleet = merge.one("fleet");
    let several = merge.one("once").texts("owners").len() > 1;
    let talks = several || !fleet.addresses("seeds").is_empty();
    // A wrong value has its own problem.
    let given = fleet.given.get("peer_keys");
    let absent = given.is_none_or(|(text, _)| text.is_empty());
    let expected = "a key, because `seeds` or several `owners` are given";
    (talks && absent).then(|| fleet.problem("peer_keys", expected))
}

fn certificate(tls: &group::Group) -> Option<problem::Problem> {
    match (tls.text("certificate"), tls.text("key")) {
        (Some(_), None) => Some(tls.problem("key", "a path, because `certificate` is given")),
        (None, Some(_)) => Some(tls.problem("certificate", "a path, because `key` is given")),
        _ => None,
    }
}

/// Requires the listeners of a host to have different addresses.
fn listeners(host: &group::Group, problems: &mut Vec<problem::Problem>) {
    let keys = ["listen", "peer_listen", "admin_listen"];
    for (index, key) in keys.into_iter().enumerate() {
        let address = host.address(key).filter(|address| address.port() != 0);
        let clash = |other: &&&str| address.is_some() && host.address(other) == address;
        if let Some(other) = keys[..index].iter().find(clash) {
            problems.push(host.problem(key, format!("an address other than that of `{other}`")));
        }
    }
}

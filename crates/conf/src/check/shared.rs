use crate::check;
use crate::group;
use crate::merge;
use crate::problem;

/// Maximum number of owners. Each pair of owners exchanges a datagram every
/// second, so traffic grows with the square of their number.
const OWNERS_MAX: usize = 15;

/// Number of the largest bodies for which there must be memory.
const BODIES_MIN: u64 = 4;

/// Checks the sections `once`, `fleet`, `tls` and `host`.
pub(super) fn check(merge: &merge::Merge, problems: &mut Vec<problem::Problem>) {
    let once = merge.one("once");
    problems.extend(check::shorter(once, "lease", "resend_max_age", false));
    problems.extend(check::shorter(once, "clock_skew", "resend_max_age", false));
    for key in ["owners", "previous_owners"] {
        owners(once, key, problems);
    }
    problems.extend(previous_owners(once));
    problems.extend(peer_keys(merge));
    problems.extend(certificate(merge.one("tls")));
    listeners(merge.one("host"), problems);
    problems.extend(memory(merge.one("limits")));
}

/// Requires room for several bodies, because an address may hold only a part of the
/// memory while it is scarce.
fn memory(limits: &group::Group) -> Option<problem::Problem> {
    let least = limits.integer("body_max")?.saturating_mul(BODIES_MIN);
    let memory = limits.integer("memory_max")?;
    let expected = || format!("at least {BODIES_MIN} times `body_max` ({least} bytes)");
    (memory < least).then(|| limits.problem("memory_max", expected()))
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

/// Rejects previous owners without owners: no host would take over their keys.
fn previous_owners(once: &group::Group) -> Option<problem::Problem> {
    let has_no_owner = once.texts("owners").is_empty() && !once.texts("previous_owners").is_empty();
    has_no_owner.then(|| once.problem("previous_owners", "no names while `owners` is empty"))
}

/// Requires a shared key when the settings name other hosts.
fn peer_keys(merge: &merge::Merge) -> Option<problem::Problem> {
    let fleet = merge.one("fleet");
    let has_several_owners = merge.one("once").texts("owners").len() > 1;
    let has_peers = has_several_owners || !fleet.addresses("seeds").is_empty();
    // An invalid value is already reported as a problem of its own.
    let explicit = fleet.explicit.get("peer_keys");
    let is_absent = explicit.is_none_or(|(text, _)| text.is_empty());
    let expected = "a key, because `seeds` or several `owners` are given";
    (has_peers && is_absent).then(|| fleet.problem("peer_keys", expected))
}

/// Requires `certificate` and `key` to be set together.
fn certificate(tls: &group::Group) -> Option<problem::Problem> {
    match (tls.text("certificate"), tls.text("key")) {
        (Some(_), None) => Some(tls.problem("key", "a path, because `certificate` is given")),
        (None, Some(_)) => Some(tls.problem("certificate", "a path, because `key` is given")),
        _ => None,
    }
}

/// Requires the listeners of a host to have different addresses. Port 0 selects a
/// free port and never collides.
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

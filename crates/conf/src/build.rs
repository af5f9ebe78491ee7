//! Conversion of merged and checked values into [`settings::Settings`].

mod host;
mod model;
mod shared;

use std::collections;

use crate::group;
use crate::merge;
use crate::settings;

/// Builds the settings from values that have passed every check.
pub(crate) fn settings(merge: &merge::Merge) -> settings::Settings {
    settings::Settings {
        host: host::host(merge.one("host")),
        limits: host::limits(merge.one("limits")),
        classes: named(merge, "class", model::class),
        teams: named(merge, "team", model::team),
        anonymous: model::anonymous(merge.one("anonymous")),
        pools: named(merge, "pool", model::pool),
        endpoints: named(merge, "endpoint", model::endpoint),
        once: shared::once(merge.one("once")),
        fleet: shared::fleet(merge.one("fleet")),
        metrics: host::metrics(merge.one("metrics")),
        log: host::log(merge.one("log")),
        tls: host::tls(merge.one("tls")),
        admin: host::admin(merge.one("admin")),
    }
}

fn named<T>(
    merge: &merge::Merge,
    section: &str,
    build: impl Fn(&group::Group) -> T,
) -> collections::BTreeMap<String, T> {
    merge
        .all(section)
        .map(|group| (group.header.name.clone(), build(group)))
        .collect()
}

/// Returns a count in the integer type of its setting. The conversion does not
/// fail for checked values, because the schema limits counts to this type.
fn count<T: TryFrom<u64> + Default>(group: &group::Group, key: &str) -> T {
    let value = group.integer(key).unwrap_or_default();
    T::try_from(value).unwrap_or_default()
}

fn text(group: &group::Group, key: &str) -> String {
    group.text(key).unwrap_or_default().to_owned()
}

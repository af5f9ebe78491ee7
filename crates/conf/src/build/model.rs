use core::net;

use crate::build;
use crate::group;
use crate::settings;

/// Placeholder for an absent address, which the check has already rejected.
const NO_ADDRESS: net::SocketAddr =
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED), 0);

pub(super) fn class(group: &group::Group) -> settings::Class {
    settings::Class {
        tier: build::count(group, "tier"),
        target_first: group.duration("target_first").unwrap_or_default(),
        target_gap: group.duration("target_gap"),
        deadline: group.duration("deadline").unwrap_or_default(),
        floor: group.number("floor").unwrap_or_default(),
        starvation_window: group.duration("starvation_window").unwrap_or_default(),
        attainment: group.number("attainment").unwrap_or_default(),
        idempotent: group.flag("idempotent").unwrap_or_default(),
    }
}

pub(super) fn team(group: &group::Group) -> settings::Team {
    settings::Team {
        key_hashes: group.hashes("key_hash").to_vec(),
        weight: group.number("weight").unwrap_or_default(),
        class: build::text(group, "class"),
    }
}

pub(super) fn anonymous(group: &group::Group) -> settings::Anonymous {
    settings::Anonymous {
        class: build::text(group, "class"),
        weight: group.number("weight").unwrap_or_default(),
    }
}

pub(super) fn pool(group: &group::Group) -> settings::Pool {
    settings::Pool {
        kind: match group.text("kind") {
            Some("service") => settings::Kind::Service,
            _ => settings::Kind::Model,
        },
        shard_endpoints: build::count(group, "shard_endpoints"),
        class: group.text("class").map(str::to_owned),
        long_tokens: build::count(group, "long_tokens"),
        long_share: group.number("long_share").unwrap_or_default(),
        idempotent: group.flag("idempotent"),
        resume: group.flag("resume").unwrap_or_default(),
    }
}

pub(super) fn endpoint(group: &group::Group) -> settings::Endpoint {
    settings::Endpoint {
        pool: build::text(group, "pool"),
        address: group.address("address").unwrap_or(NO_ADDRESS),
        data_centre: build::text(group, "data_centre"),
        slots: build::count(group, "slots"),
        fencing: match group.text("fencing") {
            Some("checked") => settings::Fencing::Checked,
            _ => settings::Fencing::Ignored,
        },
        leaving: group.flag("leaving").unwrap_or_default(),
    }
}

use crate::build;
use crate::group;
use crate::settings;

pub(super) fn host(group: &group::Group) -> settings::Host {
    settings::Host {
        name: group.text("name").map(str::to_owned),
        data_centre: group.text("data_centre").map(str::to_owned),
        region: group.text("region").map(str::to_owned),
        listen: group.address("listen"),
        peer_listen: group.address("peer_listen"),
        admin_listen: group.address("admin_listen"),
    }
}

pub(super) fn limits(group: &group::Group) -> settings::Limits {
    settings::Limits {
        body_max: build::count(group, "body_max"),
        header_max: build::count(group, "header_max"),
        memory_max: group.integer("memory_max"),
        queue_max: build::count(group, "queue_max"),
        idle_timeout: group.duration("idle_timeout").unwrap_or_default(),
        shutdown_max: group.duration("shutdown_max").unwrap_or_default(),
    }
}

pub(super) fn metrics(group: &group::Group) -> settings::Metrics {
    settings::Metrics {
        statsd: group.address("statsd"),
    }
}

pub(super) fn log(group: &group::Group) -> settings::Log {
    settings::Log {
        format: match group.text("format") {
            Some("json") => settings::Format::Json,
            _ => settings::Format::Text,
        },
        level: build::text(group, "level"),
    }
}

pub(super) fn tls(group: &group::Group) -> Option<settings::Tls> {
    Some(settings::Tls {
        certificate: group.text("certificate")?.into(),
        key: group.text("key")?.into(),
    })
}

pub(super) fn admin(group: &group::Group) -> settings::Admin {
    settings::Admin {
        read_key_hashes: group.hashes("read_key_hash").to_vec(),
        operate_key_hashes: group.hashes("operate_key_hash").to_vec(),
    }
}

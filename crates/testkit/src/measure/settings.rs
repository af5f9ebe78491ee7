use core::time;
use std::net;

use conf::settings;
use sha2::Digest as _;

use crate::measure::class::Work;
use crate::measure::cluster::Cluster;
use crate::measure::shape::Shape;

/// Name of the model and pool of the engine without simulated delays.
pub(crate) const PROBE: &str = "probe";
/// Maximum number of endpoints per shard, above the size of every pool here.
const SHARD_ENDPOINTS: usize = 64;
/// Output length above which a request counts as long, in tokens.
const LONG_TOKENS: u32 = 100;
/// Maximum number of hosts that own keys.
const OWNERS_MAX: usize = 15;

/// Returns the settings of the router hosts in front of the cluster.
///
/// `peers` contains the name and the peer address of each host.
pub fn settings(
    shape: &Shape,
    cluster: &Cluster,
    peers: &[(String, net::SocketAddr)],
) -> conf::Settings {
    conf::Settings {
        host: settings::Host::default(),
        limits: settings::Limits {
            body_max: 1 << 20,
            memory_max: None,
            header_max: 16 << 10,
            queue_max: 2_000,
            idle_timeout: time::Duration::from_secs(30),
            shutdown_max: time::Duration::from_secs(10),
        },
        classes: shape.classes.iter().map(class).collect(),
        teams: teams(shape),
        anonymous: settings::Anonymous {
            class: shape.classes[shape.anonymous].name.into(),
            weight: 1.0,
        },
        pools: pools(shape),
        endpoints: endpoints(shape, cluster),
        once: settings::Once {
            owners: peers
                .iter()
                .map(|(name, _)| name.clone())
                .take(OWNERS_MAX)
                .collect(),
            previous_owners: Vec::new(),
            epoch: 1,
            lease: time::Duration::from_secs(2),
            clock_skew: time::Duration::from_millis(200),
            resend_max_age: time::Duration::from_secs(60),
            kept_max: 100_000,
        },
        fleet: settings::Fleet {
            seeds: peers.iter().map(|(_, address)| *address).collect(),
            peer_keys: vec!["a key shared by the hosts of one run".into()],
            platform: Vec::new(),
        },
        metrics: settings::Metrics::default(),
        log: settings::Log {
            format: settings::Format::Text,
            level: "warn".into(),
        },
        tls: None,
        admin: settings::Admin::default(),
    }
}

fn class(class: &crate::measure::Class) -> (String, settings::Class) {
    let value = settings::Class {
        tier: class.tier,
        target_first: class.first,
        target_gap: class.gap,
        deadline: class.deadline,
        floor: class.floor,
        starvation_window: class.first * 2,
        attainment: 0.95,
        idempotent: class.idempotent,
    };
    (class.name.into(), value)
}

fn teams(shape: &Shape) -> std::collections::BTreeMap<String, settings::Team> {
    let team = |team: &crate::measure::Team| {
        let value = settings::Team {
            key_hashes: vec![sha2::Sha256::digest(team.key()).into()],
            weight: team.weight,
            class: shape.classes[team.class].name.into(),
        };
        (team.name.to_owned(), value)
    };
    shape.teams.iter().map(team).collect()
}

fn pools(shape: &Shape) -> std::collections::BTreeMap<String, settings::Pool> {
    let pool = |kind, class: Option<&str>| settings::Pool {
        kind,
        shard_endpoints: SHARD_ENDPOINTS,
        class: class.map(str::to_owned),
        long_tokens: LONG_TOKENS,
        long_share: 0.5,
        idempotent: None,
        resume: kind == settings::Kind::Model,
    };
    let models = [shape.model, PROBE];
    let models = models.map(|name| (name.to_owned(), pool(settings::Kind::Model, None)));
    let services = shape.classes.iter().filter_map(|class| {
        let service = matches!(class.work, Work::Service { .. });
        service.then(|| {
            let value = pool(settings::Kind::Service, Some(class.name));
            (class.name.to_owned(), value)
        })
    });
    models.into_iter().chain(services).collect()
}

fn endpoints(
    shape: &Shape,
    cluster: &Cluster,
) -> std::collections::BTreeMap<String, settings::Endpoint> {
    let mut endpoints = std::collections::BTreeMap::new();
    let mut add = |pool: &str, address, slots: usize| {
        let number = endpoints.len();
        let centre = shape.data_centres[number % shape.data_centres.len()];
        let value = settings::Endpoint {
            pool: pool.into(),
            address,
            data_centre: centre.into(),
            slots: slots as u32,
            fencing: settings::Fencing::Checked,
            leaving: false,
        };
        endpoints.insert(format!("{pool}-{number:02}"), value);
    };
    for engine in &cluster.engines {
        add(shape.model, engine.address(), shape.engine.slots);
    }
    add(PROBE, cluster.probe.address(), shape.engine.slots);
    for (name, service) in &cluster.services {
        add(name, service.address(), shape.service_slots);
    }
    endpoints
}

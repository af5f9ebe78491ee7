//! Settings, configuration and entries of workers, with the figures of the deployments
//! ganci-alpini and derwent-shuffle-grown.

use std::net::{Ipv4Addr, SocketAddr};

/// Memory of a machine in bytes.
pub const MEMORY_BYTES: u64 = 96_000_000;

/// Key of the only tenant.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// Host name of the routes.
pub const HOST: &str = "ficu95.example";

/// `timeoutMs` of the routes for orders and stock.
pub const TIMEOUT_MS: u64 = 1_500;

/// Ports of a host, from the first one on.
pub const PORTS: u16 = 8;

/// What the settings of a deployment's machines have in common.
pub struct Site {
    zone: &'static str,
    region: &'static str,
    limits: &'static str,
    bounds: &'static str,
}

/// The machines of ganci-alpini.
pub const GANCI: Site = Site {
    zone: "brescia",
    region: "lombardia",
    limits: "{ cpuShare: 0.17, cores: 1, memoryMb: 96, maxFds: 2870, linkMbps: 700.0, diskMb: 0 }",
    bounds: "{ seedLagS: 3, reuseAfterS: 2, stableWindowMs: 3000, drainMs: 2000, graceS: 8, \
             lossSlackMs: 200, configMs: 2000, rollbackSlackMs: 250, maxSkewMs: 5000, \
             budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 116, recoverS: 12, ttl_max_s: 5 }",
};

/// The smallest machines of derwent-shuffle-grown.
pub const DERWENT: Site = Site {
    zone: "hobart-a",
    region: "tas-south",
    limits: "{ cpuShare: 0.12, cores: 1, memoryMb: 160, maxFds: 4100, linkMbps: 10.0, diskMb: 0 }",
    bounds: "{ seedLagS: 3, reuseAfterS: 2, stableWindowMs: 4000, drainMs: 3000, graceS: 8, \
             lossSlackMs: 200, configMs: 3000, rollbackSlackMs: 250, maxSkewMs: 6000, \
             budgetRatio: 0.2, budgetWindowS: 10, budgetSlack: 206, recoverS: 15, ttl_max_s: 5 }",
};

/// Returns the settings file of a host whose ports begin at `first`.
pub fn settings(
    site: &Site,
    name: &str,
    ip: Ipv4Addr,
    first: u16,
    seeds: &[SocketAddr],
    store: SocketAddr,
) -> String {
    let Site {
        zone,
        region,
        limits,
        bounds,
    } = site;
    let port = |index: u16| format!("\"{ip}:{}\"", first + index);
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "node: \"{name}\"\nrole: \"router\"\nmachineClass: \"front\"\nip: \"{ip}\"\n\
         zone: \"{zone}\"\nregion: \"{region}\"\nlisten:\n  front: {}\n  ready: {}\n  \
         control: {}\n  directory: {}\ninternalPorts: [{}, {}]\nseeds: [{}]\n\
         bootstrap: true\nlimits: {limits}\nheartbeatMs: 1200\nbounds: {bounds}\n\
         platform: {{ address: \"{store}\", form: \"read\" }}\n",
        port(0),
        port(1),
        port(2),
        port(3),
        first + 4,
        first + 5,
        seeds.join(", ")
    )
}

/// Returns the configuration.
pub fn config() -> String {
    config_of(7, 0, &[KEY])
}

/// Returns a version of the configuration with further routes and these keys.
pub fn config_of(version: u64, further_routes: usize, keys: &[&str]) -> String {
    let route = |name: &str, prefix: &str, kind: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"public\":false,{rest}}}"
        )
    };
    let plain = format!(
        "\"timeoutMs\":{TIMEOUT_MS},\"targetLatencyMs\":300,\"priority\":2,\"service\":\"bottega\",\"maxAttempts\":"
    );
    let mut routes = vec![
        route(
            "r-quote",
            "/quote/",
            "streaming",
            "\"timeoutMs\":4000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300",
        ),
        route("r-order", "/order/", "non_idempotent", &format!("{plain}1")),
        route("r-stock", "/stock/", "idempotent", &format!("{plain}2")),
    ];
    routes.extend((0..further_routes).map(|number| {
        route(
            &format!("r-{number:07}"),
            &format!("/lohu{number:05}/"),
            "streaming",
            "\"timeoutMs\":4000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300",
        )
    }));
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[\
         {{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":771,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":271071,\"kvTokenBytes\":18432,\"stride\":6,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"bottega\",\"healthPath\":\"/health\",\"maxConns\":214,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[{}],\"priority\":1}}]}}",
        routes.join(","),
        keys.join(",")
    )
}

/// Returns the entry of a worker.
pub fn entry(service: &str, address: SocketAddr, slots: u32, state: &str, seq: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"brescia\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1796655249000}}"
    )
}

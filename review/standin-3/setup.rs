//! Settings, configuration and entries of workers, with the figures of the small
//! deployment ganci-alpini.

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

/// Returns the settings file of a host whose ports begin at `first`.
pub fn settings(name: &str, ip: Ipv4Addr, first: u16, seeds: &[SocketAddr], store: SocketAddr) -> String {
    let port = |index: u16| format!("\"{ip}:{}\"", first + index);
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    format!(
        "node: \"{name}\"\nrole: \"router\"\nmachineClass: \"front\"\nip: \"{ip}\"\n\
         zone: \"brescia\"\nregion: \"lombardia\"\nlisten:\n  front: {}\n  ready: {}\n  \
         control: {}\n  directory: {}\ninternalPorts: [{}, {}]\nseeds: [{}]\n\
         bootstrap: true\nlimits:\n  cpuShare: 0.17\n  cores: 1\n  memoryMb: 96\n  \
         maxFds: 2870\n  linkMbps: 700.0\n  diskMb: 0\nheartbeatMs: 1200\nbounds:\n  \
         seedLagS: 3\n  reuseAfterS: 2\n  stableWindowMs: 3000\n  drainMs: 2000\n  graceS: 8\n  \
         lossSlackMs: 200\n  configMs: 2000\n  rollbackSlackMs: 250\n  maxSkewMs: 5000\n  \
         budgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 116\n  recoverS: 12\n  ttl_max_s: 5\n\
         platform:\n  address: \"{store}\"\n  form: \"read\"\n",
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
    let route = |name: &str, prefix: &str, kind: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"public\":false,{rest}}}"
        )
    };
    let plain = format!(
        "\"timeoutMs\":{TIMEOUT_MS},\"targetLatencyMs\":300,\"priority\":2,\"service\":\"bottega\",\"maxAttempts\":"
    );
    let routes = [
        route(
            "r-quote",
            "/quote/",
            "streaming",
            "\"timeoutMs\":4000,\"targetLatencyMs\":500,\"priority\":1,\"service\":\"pool\",\"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"gapAimMs\":300",
        ),
        route("r-order", "/order/", "non_idempotent", &format!("{plain}1")),
        route("r-stock", "/stock/", "idempotent", &format!("{plain}2")),
    ];
    format!(
        "{{\"version\":7,\"routes\":[{}],\"services\":[\
         {{\"name\":\"pool\",\"healthPath\":\"/health\",\"maxConns\":771,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":64,\"kvCapacity\":271071,\"kvTokenBytes\":18432,\"stride\":6,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"bottega\",\"healthPath\":\"/health\",\"maxConns\":214,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"huka270\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// Returns the entry of a worker.
pub fn entry(service: &str, address: SocketAddr, slots: u32, state: &str, seq: u32) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"brescia\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldLeftMs\":0,\"seq\":{seq},\"born\":1796655249000}}"
    )
}

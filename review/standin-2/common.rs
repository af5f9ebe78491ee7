//! Parts that the cases share.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use crate::client::{self, Kind};
use crate::fleet::Fleet;
use crate::net;
use crate::worker::{Options, Runs, Worker};

pub const ZONES: [&str; 3] = ["brescia", "bergamo", "como"];

/// A route of a configuration.
pub struct Route<'a> {
    pub name: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub attempts: u32,
    pub timeout_ms: u64,
    pub is_resumable: bool,
}

/// Returns a configuration with these routes, under `/NAME/`, and services.
pub fn config(version: u64, routes: &[Route<'_>], services: &[&str]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|route| {
            let Route { name, kind, service, attempts, timeout_ms, is_resumable } = route;
            format!(
                "{{\"name\":\"r-{name}\",\"host\":\"{}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":500,\
                 \"gapAimMs\":300,\"priority\":2,\"service\":\"{service}\",\"maxAttempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":{is_resumable}}}",
                client::HOST
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|name| format!("{{\"name\":\"{name}\",\"healthPath\":\"/health\",\"maxConns\":771,\"protocol\":\"h1\",\"tls\":false}}"))
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{}\",\"apiKeys\":[\"{}\"],\"priority\":1}}]}}",
        routes.join(","),
        services.join(","),
        client::TENANT,
        client::KEY,
    )
}

/// Returns the options of a worker that answers plain requests.
pub fn worker(fleet: &Fleet, index: u8, service: &str) -> Options {
    Options {
        id: format!("i-{index}a91c2"),
        service: service.to_owned(),
        address: SocketAddr::new(IpAddr::V4(fleet.ip(101 + index)), 8080),
        zone: ZONES[usize::from(index) % 3].to_owned(),
        version: "v1".to_owned(),
        born: net::wall_ms(),
        slots: 6,
        work: Duration::from_millis(60),
        events: 0,
        gap: Duration::ZERO,
        stop_each: 0,
        brittle: None,
    }
}

/// Starts a worker that registers in the store.
pub fn start(options: Options, runs: &Runs, store: &crate::store::Store) -> io::Result<Worker> {
    let worker = Worker::start(options, runs)?;
    store.put(&worker.key(), &worker.entry("ready", 1));
    Ok(worker)
}

pub fn kind(method: &'static str, path: &str, body: usize, deadline_ms: u64) -> Kind {
    Kind {
        method,
        path: path.to_owned(),
        deadline: Duration::from_millis(deadline_ms),
        body,
        headers: String::new(),
    }
}

/// Starts all hosts and waits until each serves requests of a kind.
pub fn bring_up(fleet: &mut Fleet, probe: &Kind) -> io::Result<Vec<SocketAddr>> {
    fleet.start_all()?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the hosts are not ready"));
    }
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.front()).collect();
    crate::record::wait_served(&hosts, probe, Duration::from_secs(10))?;
    Ok(hosts)
}

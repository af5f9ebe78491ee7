//! Hosts and endpoints of several builds, and streams that callers take up.

use std::net;
use std::sync;

use rand::RngExt;

use super::endpoint::{self, Step};

pub fn whole(from: u64, to: u64) -> String {
    (from..=to).map(endpoint::event).collect()
}

/// Breaks a new stream after two events and completes a resumed one.
pub fn breaks_first(request: &endpoint::Request) -> Vec<Step> {
    let last = request.header("last-event-id");
    let from = last.map_or(1, |id| id.parse::<u64>().expect("id") + 1);
    let mut steps = vec![endpoint::stream_head(request)];
    if last.is_none() {
        steps.push(endpoint::chunk(&whole(1, 2)));
        steps.push(Step::Pause(super::ms(250)));
        steps.push(Step::Reset);
        return steps;
    }
    steps.push(endpoint::chunk(&whole(from, 6)));
    steps.push(endpoint::stream_end());
    steps
}

/// Endpoints with their builds.
pub struct Service(pub Vec<(endpoint::Endpoint, Option<&'static str>)>);

impl Service {
    pub async fn start(
        builds: &[Option<&'static str>],
        script: fn(&endpoint::Request) -> Vec<Step>,
    ) -> Self {
        let mut endpoints = Vec::new();
        for (index, build) in builds.iter().enumerate() {
            let endpoint = endpoint::Endpoint::start(&format!("e{index}"), script).await;
            endpoints.push((endpoint, *build));
        }
        Self(endpoints)
    }

    /// Lists the endpoints that match at a host.
    pub fn list(
        &self,
        host: &edge::Host,
        revision: u64,
        matches: impl Fn(usize, Option<&str>) -> bool,
    ) {
        let entries = self
            .0
            .iter()
            .enumerate()
            .filter(|(index, (_, build))| matches(*index, *build))
            .map(|(_, (endpoint, build))| {
                let mut listed = endpoint.listed();
                listed.build = build.map(str::to_owned);
                (listed.id.clone(), edge::Entry::Endpoint(listed), revision)
            })
            .collect();
        host.update_endpoints(|now, registry| registry.replace(now, entries, revision));
        host.confirm_plan();
    }

    /// Returns the builds of the endpoints that received a request of the stream.
    pub fn builds(&self, ids: &[&str]) -> Vec<Option<&'static str>> {
        let received = |endpoint: &endpoint::Endpoint| {
            let requests = endpoint.requests();
            requests.iter().any(|request| {
                let id = request.header("x-request-id");
                id.is_some_and(|id| ids.contains(&id))
            })
        };
        let served = self.0.iter().filter(|(endpoint, _)| received(endpoint));
        let mut builds: Vec<_> = served.map(|(_, build)| *build).collect();
        builds.sort_unstable();
        builds.dedup();
        builds
    }

    pub fn count(&self) -> usize {
        self.0.iter().map(|(endpoint, _)| endpoint.count()).sum()
    }
}

/// Returns a plan in which a request has so many attempts.
pub fn plan(attempts: u32) -> plan::Plan {
    let mut plan = super::plan(2);
    for route in &mut plan.routes {
        route.attempts_max = attempts;
        route.timeout = super::ms(TIMEOUT_MS);
    }
    plan
}

/// Time for which a stream may go on, whatever the time-out of its route.
const LIFE_MS: u64 = 15_000;

/// Time-out of the routes.
pub const TIMEOUT_MS: u64 = 2_000;

/// Waits until the hosts have followed the list of endpoints for as long as a stream
/// can last.
pub async fn wait_for_history(hosts: &[sync::Arc<edge::Host>]) {
    for _ in 0..5 {
        tokio::time::sleep(super::ms(LIFE_MS / 5 + 50)).await;
        hosts.iter().for_each(|host| host.confirm_plan());
    }
}

/// Last bytes of the addresses of hosts.
const HOSTS: [u8; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// Addresses of hosts that use the same ports.
pub struct Addresses {
    subnet: [u8; 2],
    ports: u16,
}

impl Addresses {
    pub fn new() -> Self {
        let subnet: [u8; 2] = rand::rng().random();
        let ips = HOSTS.map(|host| [127, subnet[0], subnet[1], host].into());
        Self {
            subnet,
            ports: super::host_ports(&ips),
        }
    }

    pub fn of(&self, host: usize, offset: u16) -> net::SocketAddr {
        let [b, c] = self.subnet;
        // CAST: There are only a few hosts.
        (([127, b, c, host as u8 + 1]), self.ports + offset).into()
    }

    pub fn options(&self, host: usize) -> edge::Options {
        edge::Options {
            listen: self.of(host, 0),
            peer_listen: self.of(host, 1),
            load_listen: self.of(host, 2),
            ..super::options(&format!("h{host}"), vec![self.of(0, 1)])
        }
    }
}

/// Starts a host with a plan that allows this number of attempts a request.
pub async fn start(options: edge::Options, attempts: u32) -> sync::Arc<edge::Host> {
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(plan(attempts), "test");
    host.confirm_plan();
    host
}

/// Waits until the hosts know each other.
pub async fn wait_until_known(hosts: &[sync::Arc<edge::Host>]) {
    let known = async {
        while hosts
            .iter()
            .any(|host| host.caller_addresses("dc").len() < hosts.len())
        {
            tokio::time::sleep(super::ms(20)).await;
        }
    };
    tokio::time::timeout(super::ms(10_000), known)
        .await
        .expect("hosts that know each other");
}

/// Starts hosts that know each other, with this number of attempts a request.
pub async fn hosts(count: usize, attempts: u32) -> Vec<sync::Arc<edge::Host>> {
    let addresses = Addresses::new();
    let mut hosts: Vec<sync::Arc<edge::Host>> = Vec::new();
    for index in 0..count {
        hosts.push(start(addresses.options(index), attempts).await);
    }
    wait_until_known(&hosts).await;
    hosts
}

pub fn begin(id: &str) -> String {
    super::request("POST", "/long/a", id, "", "prompt")
}

/// Returns the request that takes up a stream after its second event.
pub fn resume(id: &str, origin: &str) -> String {
    let extra = format!("x-resumes: {origin}\r\nlast-event-id: 2\r\n");
    super::request("POST", "/long/a", id, &extra, "prompt")
}

//! Guards against small changes of a large configuration that cost every host the whole
//! of it, so that slow links carry each one too late.

mod common;

use std::sync;

use common::fleet;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Routes of a large configuration.
const ROUTES: usize = 5_000;

/// Most bytes that a change of one route may cost a host.
const CHANGE_BYTES_MAX: u64 = 2_000;

fn large(revision: u64) -> plan::Plan {
    let mut plan = common::plan(revision);
    let more = (0..ROUTES)
        .map(|number| common::route(&format!("/more-{number}/"), plan::Kind::Idempotent));
    plan.routes.extend(more);
    plan
}

/// Returns a plan in which one more route was added.
fn changed(revision: u64) -> plan::Plan {
    let mut plan = large(revision);
    plan.routes
        .insert(70, common::route("/new/", plan::Kind::Idempotent));
    plan
}

fn metric(host: &edge::Host, name: &str) -> u64 {
    let text = host.metrics.text();
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

fn fetched(host: &edge::Host) -> u64 {
    metric(host, "carobbay.state_bytes_fetched{result=\"fetched\"}")
}

/// Puts a configuration in force at the first host and waits until all have it.
async fn apply(hosts: &[sync::Arc<edge::Host>], plan: plan::Plan) {
    let revision = plan.revision;
    hosts[0].apply_plan(plan, "test");
    hosts[0].confirm_plan();
    let all_have_it = async {
        let has_it =
            |host: &sync::Arc<edge::Host>| metric(host, "carobbay.plan_revision") >= revision;
        while !hosts.iter().all(has_it) {
            tokio::time::sleep(common::ms(20)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), all_have_it)
        .await
        .expect("the configuration at all hosts within 10 s");
}

/// Returns whether a host has a route for this path.
async fn routes(host: &edge::Host, path: &str) -> bool {
    let request = common::request("GET", path, "q1", "", "");
    common::call(host, &request).await.status != 404
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_one_route_costs_little_beside_thousands() {
    let hosts = fleet::start_hosts([61, 1], 3).await;
    tokio::time::sleep(common::ms(1_500)).await;
    apply(&hosts, large(2)).await;
    let before: Vec<u64> = hosts.iter().map(|host| fetched(host)).collect();
    assert!(before[1] > 100_000, "the whole had {} bytes", before[1]);
    apply(&hosts, changed(3)).await;
    for (host, before) in hosts.iter().zip(&before).skip(1) {
        let bytes = fetched(host) - before;
        assert!(bytes > 0 && bytes < CHANGE_BYTES_MAX, "{bytes} bytes");
        assert!(routes(host, "/new/1").await);
        assert!(routes(host, "/more-4999/1").await);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_missed_changes_gets_them_together() {
    let hosts = fleet::start_hosts([61, 2], 2).await;
    apply(&hosts[..1], large(2)).await;
    apply(&hosts[..1], changed(3)).await;
    apply(&hosts[..1], large(4)).await;
    apply(&hosts[..1], changed(5)).await;
    apply(&hosts, changed(6)).await;
    assert!(routes(&hosts[1], "/new/1").await);
    assert!(routes(&hosts[1], "/more-4999/1").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_another_configuration_of_the_same_version_gets_the_whole() {
    // After a restore of the platform, a version may be given out twice.
    let hosts = fleet::start_hosts([61, 3], 2).await;
    tokio::time::sleep(common::ms(1_500)).await;
    let mut other = common::plan(2);
    other.routes.truncate(1);
    hosts[1].apply_plan(other, "test");
    hosts[0].apply_plan(large(2), "test");
    apply(&hosts, changed(3)).await;
    assert!(routes(&hosts[1], "/new/1").await);
    assert!(routes(&hosts[1], "/more-4999/1").await);
    assert!(routes(&hosts[1], "/book/1").await);
}

/// Returns an endpoint that takes no connections.
fn listed(number: u16, phase: plan::Phase) -> plan::Endpoint {
    plan::Endpoint {
        id: format!("i-{number:05}"),
        service: "s".into(),
        address: ([127, 0, 0, 1], 1 + number).into(),
        data_centre: "dc".into(),
        slots: 8,
        phase,
        started_ms: 7,
        build: Some("v1".into()),
    }
}

/// Lists endpoints at the first host and waits until all have the list.
async fn list(hosts: &[sync::Arc<edge::Host>], revision: u64, list: Vec<plan::Endpoint>) {
    let entries: Vec<_> = list
        .into_iter()
        .map(|endpoint| {
            (
                endpoint.id.clone(),
                edge::Entry::Endpoint(endpoint),
                revision,
            )
        })
        .collect();
    hosts[0].update_endpoints(|now, registry| registry.replace(now, entries, revision));
    hosts[0].confirm_plan();
    let all_have_it = async {
        let version = plan::Version::from(revision);
        while !hosts.iter().all(|host| host.endpoint_version() >= version) {
            tokio::time::sleep(common::ms(20)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), all_have_it)
        .await
        .expect("the list at all hosts within 10 s");
}

/// Returns how many endpoints of a host are up, and how many are leaving.
async fn states(host: &sync::Arc<edge::Host>) -> [u64; 2] {
    let listen = common::free();
    let _server = host.serve_metrics(listen).await.expect("metrics");
    // The gauges are set when they are read.
    let mut stream = tokio::net::TcpStream::connect(listen)
        .await
        .expect("connect");
    let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(request).await.expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).await.expect("an answer");
    ["up", "leaving"].map(|state| metric(host, &format!("carobbay.endpoints{{state=\"{state}\"}}")))
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_of_one_endpoint_costs_little_beside_hundreds() {
    let hosts = fleet::start_hosts([61, 4], 2).await;
    // A host that reaches the platform would not take the list of another one.
    hosts[1].mark_platform_unreachable("test");
    let mut endpoints: Vec<_> = (0..600)
        .map(|number| listed(number, plan::Phase::Up))
        .collect();
    list(&hosts, 10, endpoints.clone()).await;
    tokio::time::sleep(common::ms(300)).await;
    let whole = fetched(&hosts[1]);
    assert!(whole > 15_000, "the whole list had {whole} bytes");
    endpoints.remove(70);
    endpoints[200] = listed(201, plan::Phase::Leaving);
    endpoints.push(listed(600, plan::Phase::Up));
    list(&hosts, 11, endpoints).await;
    let bytes = fetched(&hosts[1]) - whole;
    assert!(bytes > 0 && bytes < CHANGE_BYTES_MAX, "{bytes} bytes");
    for host in &hosts {
        assert_eq!(states(host).await, [599, 1]);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_with_another_list_of_the_same_version_gets_the_whole() {
    // Removals are held back at times, so that lists of one version may differ.
    let hosts = fleet::start_hosts([61, 5], 2).await;
    hosts[1].mark_platform_unreachable("test");
    let mut endpoints: Vec<_> = (0..40)
        .map(|number| listed(number, plan::Phase::Up))
        .collect();
    list(&hosts, 10, endpoints.clone()).await;
    let other = listed(99, plan::Phase::Up);
    hosts[1].update_endpoints(|now, registry| {
        let entry = edge::Entry::Endpoint(other);
        registry.put(now, "i-00099", entry, 10);
    });
    endpoints.remove(7);
    list(&hosts, 12, endpoints).await;
    assert_eq!(states(&hosts[1]).await, [39, 0]);
}

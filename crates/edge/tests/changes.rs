//! Guards against small changes of a large configuration that cost every host the whole
//! of it, so that slow links carry each one too late.

mod common;

use std::sync;

use common::fleet;

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

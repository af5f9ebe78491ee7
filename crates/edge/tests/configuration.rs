//! Guards against requests that are handled by an outdated or missing
//! configuration, or sent to endpoints and hosts that are shutting down.

mod common;

use common::endpoint::{self, Step};
use rstest::rstest;
use tokio::io::AsyncWriteExt;

#[tokio::test]
async fn without_configuration_requests_are_refused_with_retry_after() {
    let host = edge::Host::start(common::options("a", Vec::new()))
        .await
        .expect("host");
    assert!(!host.is_ready());
    let answer = common::call(&host, &common::request("GET", "/look/a", "r1", "", "")).await;
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn unknown_routes_and_keys_are_refused_permanently_only_by_a_current_configuration() {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    let none = common::request("GET", "/none/a", "r1", "", "");
    let bad = common::request("GET", "/look/a", "r1", "", "").replace("k1", "k9");
    assert_eq!(common::call(&host, &none).await.status, 404);
    assert_eq!(common::call(&host, &bad).await.status, 401);
    tokio::time::sleep(common::ms(5_200)).await;
    assert_eq!(common::call(&host, &none).await.status, 503);
    assert_eq!(common::call(&host, &bad).await.status, 503);
    assert_eq!(one.count(), 0);
}

#[tokio::test]
async fn a_configuration_with_a_lower_revision_is_ignored() {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    let mut newer = common::plan(9);
    newer.routes.retain(|route| route.prefix != "/book/");
    assert!(host.apply_plan(newer, "test"));
    assert!(!host.apply_plan(common::plan(5), "test"));
    let answer = common::call(&host, &common::request("POST", "/book/a", "r1", "", "o")).await;
    assert_eq!(answer.status, 404);
}

#[tokio::test]
async fn a_leaving_endpoint_gets_no_new_requests() {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "one")).await;
    let two = endpoint::Endpoint::start("e2", |request| endpoint::ok(request, "two")).await;
    let host = common::host(&[&one, &two]).await;
    let mut listed = one.listed();
    listed.phase = plan::Phase::Leaving;
    host.update_endpoints(|now, registry| {
        registry.put(now, "e1", edge::Entry::Endpoint(listed), 2);
    });
    for round in 0..10 {
        let text = common::request("GET", "/look/a", &format!("r{round}"), "", "");
        assert_eq!(common::call(&host, &text).await.text(), "two");
    }
    assert_eq!(one.count(), 0);
}

#[tokio::test]
async fn a_host_that_cannot_read_the_platform_uses_the_state_of_the_others() {
    // Guards against outdated keys and endpoints at hosts that get no answer
    // from the platform.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let first = common::host(&[&one]).await;
    let seed = first.peer_address();
    let second = edge::Host::start(common::options("b", vec![seed]))
        .await
        .expect("host");
    second.mark_platform_unreachable("test");
    let ready = async {
        while !second.is_ready() {
            tokio::time::sleep(common::ms(20)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), ready)
        .await
        .expect("state of the seed");
    let text = common::request("GET", "/look/a", "r1", "", "");
    assert_eq!(common::call(&second, &text).await.status, 200);
    let mut newer = common::plan(2);
    newer.teams[0].keys = vec!["k2".into()];
    first.apply_plan(newer, "test");
    let revoked = async {
        while common::call(&second, &text).await.status == 200 {
            tokio::time::sleep(common::ms(50)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), revoked)
        .await
        .expect("the newer revision");
}

#[tokio::test]
async fn a_stopping_host_finishes_open_requests_and_is_not_listed() {
    let one = endpoint::Endpoint::start("e1", |request| {
        let mut steps = vec![Step::Pause(common::ms(600))];
        steps.extend(endpoint::ok(request, "done"));
        steps
    })
    .await;
    let host = common::host(&[&one]).await;
    assert_eq!(host.caller_addresses("dc").len(), 1);
    let serving = host.clone();
    let call = tokio::spawn(async move {
        let text = common::request("POST", "/book/a", "r1", "", "o");
        common::call(&serving, &text).await
    });
    while one.count() == 0 {
        tokio::time::sleep(common::ms(5)).await;
    }
    let stopping = host.clone();
    let stop = tokio::spawn(async move { stopping.stop().await });
    let answer = call.await.expect("call");
    assert_eq!((answer.status, answer.text().as_str()), (200, "done"));
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(!host.is_ready());
    assert!(host.caller_addresses("dc").is_empty());
    stop.await.expect("stop");
    assert!(
        tokio::net::TcpStream::connect(host.address())
            .await
            .is_err()
    );
}

#[tokio::test]
async fn an_endpoint_learns_which_request_of_a_team_is_more_urgent() {
    // Guards against engines that preempt urgent requests of a team in favour
    // of its other requests.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    let mut plan = common::plan(2);
    plan.teams[0].tier = Some(1);
    plan.routes[0].tier = 0;
    plan.routes[1].tier = 3;
    assert!(host.apply_plan(plan, "test"));
    common::call(&host, &common::request("GET", "/look/a", "r1", "", "")).await;
    common::call(&host, &common::request("POST", "/book/a", "r2", "", "")).await;
    let places: Vec<u64> = one
        .requests()
        .iter()
        .filter_map(|request| request.header("x-tier")?.parse().ok())
        .collect();
    assert_eq!(places.len(), 2);
    assert!(places[0] < places[1], "{places:?}");
}

/// Waits until a host admits requests with this key.
async fn wait_for_key(host: &edge::Host, key: &str) {
    let text = common::request("GET", "/look/a", "r", "", "")
        .replace("Bearer k1", &format!("Bearer {key}"));
    let accepted = async {
        while common::call(host, &text).await.status != 200 {
            tokio::time::sleep(common::ms(50)).await;
        }
    };
    tokio::time::timeout(common::ms(10_000), accepted)
        .await
        .unwrap_or_else(|_| panic!("{key} is not accepted"));
}

#[tokio::test]
async fn the_era_decides_between_hosts_before_the_revision() {
    // Guards against a host that was cut off while the platform was restored: it
    // keeps, and passes on, a configuration that is no longer valid.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let version = |era, revision, key: &str| {
        let mut plan = plan::Plan {
            era,
            ..common::plan(revision)
        };
        plan.teams[0].keys = vec![key.into()];
        plan
    };
    let first = common::host(&[&one]).await;
    first.apply_plan(version(1, 9, "old"), "test");
    let seed = first.peer_address();
    let second = edge::Host::start(common::options("b", vec![seed]))
        .await
        .expect("host");
    common::list(&second, &[&one], 1);
    second.apply_plan(version(2, 5, "new"), "test");
    second.confirm_plan();
    for host in [&first, &second] {
        wait_for_key(host, "new").await;
    }
    assert!(!first.apply_plan(version(1, 12, "old"), "test"));
    // The same content in a newer era needs no transfer, only its version.
    second.apply_plan(version(3, 5, "new"), "test");
    wait_for_key(&first, "new").await;
    second.apply_plan(version(3, 6, "newer"), "test");
    wait_for_key(&first, "newer").await;
}

#[tokio::test]
async fn a_host_without_the_platform_follows_a_restore_through_the_others() {
    // Guards against a host that is cut off during a restore and takes the older copy
    // from a host that has read it, or misses what is written afterwards.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let with_key = |revision, key: &str| {
        let mut plan = common::plan(revision);
        plan.teams[0].keys = vec![key.into()];
        plan
    };
    let first = common::host(&[&one]).await;
    let second = edge::Host::start(common::options("b", vec![first.peer_address()]))
        .await
        .expect("host");
    second.mark_platform_unreachable("test");
    first.read_plan(with_key(7, "k7"), plan::Version::new(1, 20));
    first.read_plan(with_key(9, "k9"), plan::Version::new(1, 40));
    wait_for_key(&second, "k9").await;
    first.read_plan(with_key(7, "k7"), plan::Version::new(2, 20));
    tokio::time::sleep(common::ms(2_500)).await;
    wait_for_key(&second, "k9").await;
    first.read_plan(with_key(8, "k8"), plan::Version::new(2, 26));
    wait_for_key(&second, "k8").await;
}

#[rstest]
#[case::route_removed(|plan: &mut plan::Plan| plan.routes.retain(|route| route.prefix != "/long/"))]
#[case::route_moved(|plan: &mut plan::Plan| plan.routes[2].targets[0].service = "t".into())]
#[case::service_removed(|plan: &mut plan::Plan| plan.services.clear())]
#[case::shorter_timeout(|plan: &mut plan::Plan| plan.routes[2].timeout = common::ms(300))]
#[case::fewer_attempts(|plan: &mut plan::Plan| plan.routes[2].attempts_max = 1)]
#[case::key_revoked(|plan: &mut plan::Plan| plan.teams[0].keys = vec!["k2".into()])]
#[case::smaller_limits(|plan: &mut plan::Plan| plan.limits = plan::Limits {
    header_bytes: 64,
    body_bytes: 1,
    header_timeout: common::ms(100),
    idle_timeout: common::ms(100),
})]
#[tokio::test]
async fn an_open_request_is_completed_under_the_configuration_that_admitted_it(
    #[case] change: fn(&mut plan::Plan),
    #[values(false, true)] has_begun: bool,
) {
    // Guards against a change of the configuration that cuts requests in flight.
    let one = endpoint::Endpoint::start("e1", move |request| {
        let first = match has_begun {
            true => vec![
                endpoint::stream_head(request),
                endpoint::chunk(&endpoint::event(1)),
                Step::Pause(common::ms(600)),
            ],
            false => vec![
                Step::Pause(common::ms(600)),
                endpoint::stream_head(request),
                endpoint::chunk(&endpoint::event(1)),
            ],
        };
        let rest = [endpoint::chunk(&endpoint::event(2)), endpoint::stream_end()];
        first.into_iter().chain(rest).collect()
    })
    .await;
    let host = common::host(&[&one]).await;
    let text = common::request("POST", "/long/a", "r1", "", "prompt");
    let changing = async {
        while one.count() == 0 {
            tokio::time::sleep(common::ms(5)).await;
        }
        tokio::time::sleep(common::ms(100)).await;
        let mut plan = common::plan(2);
        change(&mut plan);
        assert!(host.apply_plan(plan, "test"));
    };
    let (answer, ()) = tokio::join!(common::call(&host, &text), changing);
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    let events = [endpoint::event(1), endpoint::event(2)].concat();
    assert_eq!(answer.text(), events);
}

#[tokio::test]
async fn a_longer_idle_timeout_holds_for_connections_that_are_idle_already() {
    // Guards against a connection that is closed by the previous time-out while a
    // caller that knows the new one sends a request on it.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    let limits = |idle_ms| plan::Limits {
        idle_timeout: common::ms(idle_ms),
        ..plan::Limits::default()
    };
    let mut plan = common::plan(2);
    plan.limits = limits(600);
    host.apply_plan(plan.clone(), "test");
    let mut stream = tokio::net::TcpStream::connect(host.address())
        .await
        .expect("connect");
    let first = common::request("GET", "/look/a", "r1", "", "");
    stream.write_all(first.as_bytes()).await.expect("send");
    assert_eq!(common::read(&mut stream).await.status, 200);
    tokio::time::sleep(common::ms(200)).await;
    plan.revision = 3;
    plan.limits = limits(5_000);
    host.apply_plan(plan, "test");
    tokio::time::sleep(common::ms(900)).await;
    let second = common::request("GET", "/look/a", "r2", "", "");
    stream.write_all(second.as_bytes()).await.expect("send");
    assert_eq!(common::read(&mut stream).await.status, 200);
}

// Guards against a limit of the listener that stays as it was at its start.
#[tokio::test]
async fn a_longer_head_is_accepted_by_the_limit_in_force() {
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    let mut plan = common::plan(2);
    plan.limits.header_bytes = 256 << 10;
    host.apply_plan(plan, "test");
    let long = format!("x-long: {}\r\n", "x".repeat(200 << 10));
    let text = common::request("GET", "/look/a", "r1", &long, "");
    let answer = common::call(&host, &text).await;
    assert_eq!(answer.status, 200, "{answer:?}");
}

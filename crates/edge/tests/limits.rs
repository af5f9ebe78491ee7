//! Guards against endpoints that work beyond a request's deadline, hosts that
//! stop accepting too early, and configurations that revert to an older
//! revision.

mod common;

use std::sync;

use common::endpoint::{self, Step};

fn deadline_ms(request: &endpoint::Request) -> u64 {
    let value = request.header("request-deadline").expect("a deadline");
    value.parse().expect("a number")
}

#[tokio::test]
async fn an_endpoint_gets_the_time_limit_of_the_route_as_deadline() {
    // Guards against endpoints that work on requests that have timed out.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    common::call(&host, &common::request("GET", "/look/a", "r1", "", "")).await;
    let left = deadline_ms(&one.requests()[0]);
    assert!((1_000..=2_000).contains(&left), "{left} ms of 2000");
}

#[tokio::test]
async fn a_retry_gets_the_remaining_time_as_deadline() {
    // Guards against a second endpoint that works longer than the caller waits.
    let slow = |request: &endpoint::Request| {
        let answer = endpoint::text(request, 500, "x-signature: s\r\n", "no");
        vec![Step::Pause(common::ms(150)), Step::Bytes(answer)]
    };
    let one = endpoint::Endpoint::start("e1", slow).await;
    let two = endpoint::Endpoint::start("e2", slow).await;
    let host = common::host(&[&one, &two]).await;
    let extra = "request-deadline: 1000\r\n";
    common::call(&host, &common::request("GET", "/look/a", "r1", extra, "")).await;
    let mut left: Vec<u64> = [&one, &two]
        .iter()
        .flat_map(|endpoint| endpoint.requests())
        .map(|request| deadline_ms(&request))
        .collect();
    left.sort_unstable();
    assert_eq!(left.len(), 2, "{left:?}");
    assert!(left[0] <= 850 && left[1] <= 1_000, "{left:?}");
}

#[tokio::test]
async fn a_stopping_host_serves_callers_that_still_have_its_address() {
    // Guards against refused connections while callers use an older list.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    let stopping = host.clone();
    let start = tokio::time::Instant::now();
    let stopped = tokio::spawn(async move { stopping.stop().await });
    let mut served = 0;
    while tokio::net::TcpStream::connect(host.address()).await.is_ok() {
        if start.elapsed() < common::ms(1_500) {
            let text = common::request("GET", "/look/a", &format!("r{served}"), "", "");
            assert_eq!(common::call(&host, &text).await.status, 200);
            served += 1;
        }
        tokio::time::sleep(common::ms(10)).await;
    }
    let accepted = start.elapsed();
    assert!(accepted >= common::ms(2_000), "refused after {accepted:?}");
    assert!(served > 0);
    stopped.await.expect("the host stops");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn the_newer_of_two_concurrent_plans_stays_in_force() {
    // Guards against a host that reverts to the older revision because two
    // sources deliver configurations at the same time.
    let one = endpoint::Endpoint::start("e1", |request| endpoint::ok(request, "x")).await;
    let host = common::host(&[&one]).await;
    for round in 1..3_000u64 {
        let gate = sync::Arc::new(sync::Barrier::new(2));
        let offers = [round * 2, round * 2 + 1].map(|revision| {
            let (host, gate) = (host.clone(), gate.clone());
            std::thread::spawn(move || {
                let plan = common::plan(revision);
                gate.wait();
                host.apply_plan(plan, "test")
            })
        });
        let taken = offers.map(|offer| offer.join().expect("an offer"));
        assert!(taken[1], "the newer one of round {round} was refused");
        let again = host.apply_plan(common::plan(round * 2 + 1), "test");
        assert!(!again, "revision {} is in force", round * 2);
    }
}

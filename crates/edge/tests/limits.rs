//! Guards against work that goes on after its time, and against hosts that go
//! too early or back in time.

mod common;

use std::sync;

use common::endpoint::{self, Step};

fn deadline_ms(seen: &endpoint::Seen) -> u64 {
    let value = seen.header("request-deadline").expect("a deadline");
    value.parse().expect("a number")
}

#[tokio::test]
async fn an_endpoint_learns_the_time_limit_of_the_route() {
    // Guards against endpoints that work on what nobody waits for.
    let one = endpoint::Endpoint::start("e1", |seen| endpoint::ok(seen, "x")).await;
    let host = common::host(&[&one]).await;
    common::call(&host, &common::request("GET", "/look/a", "r1", "", "")).await;
    let left = deadline_ms(&one.requests()[0]);
    assert!((1_000..=2_000).contains(&left), "{left} ms of 2000");
}

#[tokio::test]
async fn a_repeat_gets_the_time_that_is_left() {
    // Guards against a second endpoint that works longer than the caller waits.
    let slow = |seen: &endpoint::Seen| {
        let answer = endpoint::text(seen, 500, "x-signature: s\r\n", "no");
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
        .map(|seen| deadline_ms(&seen))
        .collect();
    left.sort_unstable();
    assert_eq!(left.len(), 2, "{left:?}");
    assert!(left[0] <= 850 && left[1] <= 1_000, "{left:?}");
}

#[tokio::test]
async fn a_stopping_host_serves_callers_that_still_hold_its_address() {
    // Guards against refused connections while callers keep an older list.
    let one = endpoint::Endpoint::start("e1", |seen| endpoint::ok(seen, "x")).await;
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
async fn of_two_plans_that_come_at_once_the_newer_stays() {
    // Guards against a host that goes back because two sources told it of a change.
    let one = endpoint::Endpoint::start("e1", |seen| endpoint::ok(seen, "x")).await;
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

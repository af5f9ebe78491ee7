//! Guards against answers that are lost between an endpoint that is silent for a while
//! and those that are asked meanwhile.

mod common;

use std::sync::atomic;

use common::endpoint::{self, Step};
use common::silence;
use rstest::rstest;

/// Begins an answer that is no stream, and resets the connection within it.
fn break_within_answer(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 200, "x-signature: sig\r\n", &silence::whole(1, 6));
    vec![
        Step::Bytes(text[..text.len() - 9].into()),
        Step::Pause(common::ms(50)),
        Step::Reset,
    ]
}

/// Begins an answer that is no stream, and never ends it.
fn hang_within_answer(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 200, "x-signature: sig\r\n", &silence::whole(1, 6));
    vec![Step::Bytes(text[..text.len() - 9].into()), Step::Hang]
}

// Guards against a silent run that is given up for an answer that is never completed.
#[rstest]
#[case::stream_hangs("/long/a", silence::silent_before_head, silence::hang_after_head)]
#[case::stream_breaks("/long/a", silence::silent_before_head, silence::break_after_head)]
#[case::answer_hangs("/look/a", silence::silent_before_answer, hang_within_answer)]
#[case::answer_breaks("/look/a", silence::silent_before_answer, break_within_answer)]
#[tokio::test]
async fn a_silent_answer_is_kept_until_another_one_is_certain(
    #[case] path: &str,
    #[case] silent: silence::Script,
    #[case] other: silence::Script,
) {
    let (answer, _) = silence::ask_pair(path, silent, other).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), silence::whole(1, 6));
}

/// Returns a listener at which connections are never established, because its queue
/// is full, with the connections that fill the queue.
async fn deaf() -> (tokio::net::TcpListener, Vec<tokio::net::TcpStream>) {
    let socket = tokio::net::TcpSocket::new_v4().expect("socket");
    socket
        .bind("127.0.0.1:0".parse().expect("address"))
        .expect("bind");
    let listener = socket.listen(1).expect("listen");
    let address = listener.local_addr().expect("address");
    let mut filling = Vec::new();
    while let Ok(Ok(stream)) =
        tokio::time::timeout(common::ms(200), tokio::net::TcpStream::connect(address)).await
    {
        filling.push(stream);
    }
    (listener, filling)
}

// Guards against a retry that is paid and abandoned when the silent run breaks.
#[tokio::test]
async fn a_silent_run_that_breaks_does_not_abandon_the_retry_that_is_under_way() {
    let mut options = common::options("a", Vec::new());
    options.retry_budget.ratio = 0.0;
    // A single host uses six tenths of it, which leaves two retries.
    options.retry_budget.slack = 3.7;
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(silence::plan(), "test");
    // The time-out of an attempt is 270 ms, and that of a connection 250 ms.
    let one =
        endpoint::Endpoint::start("e1", |_| vec![Step::Pause(common::ms(370)), Step::Reset]).await;
    let (listener, _filling) = deaf().await;
    let mut two = endpoint::Endpoint::start("e2", silence::not_run).await;
    two.address = listener.local_addr().expect("address");
    let three = endpoint::Endpoint::start("e3", |request| endpoint::ok(request, "good")).await;
    common::list(&host, &[&one], 1);
    let text = common::request("GET", "/look/a", "r1", silence::DEADLINE, "");
    let listing = async {
        while one.count() == 0 {
            tokio::time::sleep(common::ms(5)).await;
        }
        // The near endpoint is tried before the other one.
        let mut far = three.listed();
        far.data_centre = "far".into();
        host.update_endpoints(|now, registry| {
            registry.put(now, "e2", edge::Entry::Endpoint(two.listed()), 2);
            registry.put(now, "e3", edge::Entry::Endpoint(far), 3);
        });
    };
    let (answer, ()) = tokio::join!(common::call(&host, &text), listing);
    assert_eq!((answer.status, answer.text().as_str()), (200, "good"));
}

// Guards against a new connection to an endpoint for each second of one silent stream.
#[tokio::test]
async fn the_endpoint_of_a_silent_stream_is_probed_once() {
    let one = endpoint::Endpoint::start("e1", |request| {
        vec![
            endpoint::stream_head(request),
            endpoint::chunk(&silence::whole(1, 2)),
            Step::Pause(common::ms(4_500)),
            endpoint::chunk(&silence::whole(3, 6)),
            endpoint::stream_end(),
        ]
    })
    .await;
    let host = common::host(&[&one]).await;
    host.apply_plan(silence::plan(), "test");
    let text = common::request("POST", "/long/a", "r1", silence::DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    let metrics = host.metrics.text();
    let probes = "carobbay.crash_probes{result=\"alive\"} 1\n";
    assert!(metrics.contains(probes), "{metrics}");
}

// Guards against a crash that is looked for when the process may run again.
#[tokio::test]
async fn a_crash_is_noticed_while_another_endpoint_is_asked() {
    let served = std::sync::Arc::default();
    let crash: silence::Script = |request| {
        vec![
            endpoint::stream_head(request),
            endpoint::chunk(&silence::whole(1, 2)),
            Step::Pause(common::ms(1_500)),
            Step::Crash,
        ]
    };
    let one = silence::endpoint("e1", &served, crash, silence::hang).await;
    let two = silence::endpoint("e2", &served, crash, silence::hang).await;
    let host = common::host(&[&one, &two]).await;
    host.apply_plan(silence::plan(), "test");
    let text = common::request("POST", "/long/a", "r1", silence::DEADLINE, "p");
    let noticing = async {
        while one.count() + two.count() < 2 {
            tokio::time::sleep(common::ms(5)).await;
        }
        tokio::time::sleep(common::ms(1_500)).await;
        host.metrics.text()
    };
    let calling = common::call(&host, &text);
    let metrics = tokio::select! {
        metrics = noticing => metrics,
        answer = calling => panic!("the answer ended: {answer:?}"),
    };
    let crashes = "carobbay.crash_probes{result=\"crashed\"} 1\n";
    assert!(metrics.contains(crashes), "{metrics}");
}

// Guards against a silence::failure that the endpoint signed and the router replaces by its own.
#[tokio::test]
async fn the_failure_of_a_silent_endpoint_is_passed_on_if_the_other_one_does_not_answer() {
    let silent: silence::Script = |request| {
        let pause = Step::Pause(common::ms(500));
        [vec![pause], silence::failure(request)].concat()
    };
    let other: silence::Script = |_| vec![Step::Pause(common::ms(600)), Step::Reset];
    let served = std::sync::Arc::default();
    let one = silence::endpoint("e1", &served, silent, other).await;
    let two = silence::endpoint("e2", &served, silent, other).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("GET", "/look/a", "r1", "", "");
    let answer = common::call(&host, &text).await;
    assert_eq!(answer.status, 500, "{answer:?}");
}

// Guards against a request that waits for its deadline at a kept connection that is dead.
#[tokio::test]
async fn a_request_that_is_silent_at_a_kept_connection_is_sent_at_a_new_one() {
    let one = endpoint::Endpoint::start("e1", |request| {
        let is_dead = request.connection == 0 && request.header("x-request-id") == Some("r2");
        match is_dead {
            true => silence::hang(request),
            false => endpoint::ok(request, "good"),
        }
    })
    .await;
    let host = common::host(&[&one]).await;
    for id in ["r1", "r2"] {
        let text = common::request("GET", "/look/a", id, "", "");
        let answer = common::call(&host, &text).await;
        assert_eq!(answer.status, 200, "{id}: {answer:?}");
    }
}

// Guards against a refusal by one endpoint that ends a stream while another endpoint
// still works on it.
#[tokio::test]
async fn a_refusal_by_one_endpoint_does_not_end_the_attempt_at_another() {
    let served = std::sync::Arc::new(atomic::AtomicUsize::new(0));
    let start = |id: &'static str| {
        let served = served.clone();
        endpoint::Endpoint::start(id, move |request| {
            match served.fetch_add(1, atomic::Ordering::SeqCst) {
                0 => silence::break_after_head(request),
                1 => {
                    let mut steps = vec![silence::pause()];
                    steps.extend(silence::silent_before_head(request));
                    steps
                }
                _ => {
                    let text = endpoint::text(request, 400, "x-signature: sig\r\n", "no");
                    vec![Step::Bytes(text)]
                }
            }
        })
    };
    let endpoints = [start("e1").await, start("e2").await, start("e3").await];
    let [one, two, three] = &endpoints;
    let host = common::host(&[one, two, three]).await;
    let mut plan = silence::plan();
    plan.routes[2].attempts_max = 3;
    host.apply_plan(plan, "test");
    let text = common::request("POST", "/long/a", "r1", silence::DEADLINE, "prompt");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), silence::whole(1, 6));
    assert_eq!(served.load(atomic::Ordering::SeqCst), 3);
}

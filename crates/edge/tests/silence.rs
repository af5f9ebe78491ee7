//! Guards against answers that end because their endpoint is silent for a while,
//! although it goes on within the time-out of the route.

mod common;

use std::sync::atomic;

use common::endpoint::{self, Step};
use rstest::rstest;

/// Longer than each time without data after which the router tries another
/// endpoint, and shorter than the time-out of the routes.
const SILENCE_MS: u64 = 1_300;

/// Deadline that leaves room for the silence on a busy machine.
const DEADLINE: &str = "request-deadline: 8000\r\n";

type Script = fn(&endpoint::Request) -> Vec<Step>;

fn whole(from: u64, to: u64) -> String {
    (from..=to).map(endpoint::event).collect()
}

fn silence() -> Step {
    Step::Pause(common::ms(SILENCE_MS))
}

/// Sends all events, and is silent after two of them.
fn silent_after_events(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(&whole(1, 2)),
        silence(),
        endpoint::chunk(&whole(3, 6)),
        endpoint::stream_end(),
    ]
}

/// Sends all events, and is silent before the first one.
fn silent_after_head(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        silence(),
        endpoint::chunk(&whole(1, 6)),
        endpoint::stream_end(),
    ]
}

/// Sends a whole stream, and is silent before its head.
fn silent_before_head(request: &endpoint::Request) -> Vec<Step> {
    vec![
        silence(),
        endpoint::stream_head(request),
        endpoint::chunk(&whole(1, 6)),
        endpoint::stream_end(),
    ]
}

/// Sends an answer that is no stream, and is silent before its head.
fn silent_before_answer(request: &endpoint::Request) -> Vec<Step> {
    let mut steps = vec![silence()];
    steps.extend(endpoint::ok(request, &whole(1, 6)));
    steps
}

fn not_run(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 503, "x-not-run: 1\r\n", "");
    vec![Step::Bytes(text)]
}

fn failure(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 500, "x-signature: sig\r\n", "no");
    vec![Step::Bytes(text)]
}

fn reset(_: &endpoint::Request) -> Vec<Step> {
    vec![Step::Reset]
}

fn hang(_: &endpoint::Request) -> Vec<Step> {
    vec![Step::Hang]
}

fn hang_after_head(request: &endpoint::Request) -> Vec<Step> {
    vec![endpoint::stream_head(request), Step::Hang]
}

fn break_after_head(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        Step::Pause(common::ms(50)),
        Step::Reset,
    ]
}

/// Returns the plan of the tests with time-outs that leave room for the silence
/// on a busy machine.
fn plan() -> plan::Plan {
    let mut plan = common::plan(2);
    for route in &mut plan.routes {
        route.timeout = common::ms(8_000);
    }
    plan
}

/// Starts an endpoint that answers the first request by `first` and later ones
/// by `later`. Endpoints that share `served` count requests together, so the
/// endpoint that is picked first is the silent one.
async fn endpoint(
    id: &str,
    served: &std::sync::Arc<atomic::AtomicUsize>,
    first: Script,
    later: Script,
) -> endpoint::Endpoint {
    let served = served.clone();
    endpoint::Endpoint::start(id, move |request| {
        match served.fetch_add(1, atomic::Ordering::SeqCst) {
            0 => first(request),
            _ => later(request),
        }
    })
    .await
}

#[rstest]
#[case::stream_after_events("/long/a", silent_after_events)]
#[case::stream_after_head("/long/a", silent_after_head)]
#[case::stream_before_head("/long/a", silent_before_head)]
#[case::not_resumable("/live/a", silent_after_events)]
#[case::idempotent("/look/a", silent_before_answer)]
#[case::once("/book/a", silent_before_answer)]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_no_other_one_is_listed(
    #[case] path: &str,
    #[case] script: Script,
) {
    let one = endpoint::Endpoint::start("e1", script).await;
    let host = common::host(&[&one]).await;
    host.apply_plan(plan(), "test");
    let text = common::request("POST", path, "r1", DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), whole(1, 6));
    assert_eq!(one.count(), 1);
}

#[rstest]
#[case::stream_after_events("/long/a", silent_after_events)]
#[case::stream_after_head("/long/a", silent_after_head)]
#[case::stream_before_head("/long/a", silent_before_head)]
#[case::idempotent("/look/a", silent_before_answer)]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_the_other_one_does_not(
    #[case] path: &str,
    #[case] silent: Script,
    #[values(not_run, failure, reset, hang)] other: Script,
) {
    let served = std::sync::Arc::default();
    let one = endpoint("e1", &served, silent, other).await;
    let two = endpoint("e2", &served, silent, other).await;
    let host = common::host(&[&one, &two]).await;
    host.apply_plan(plan(), "test");
    let text = common::request("POST", path, "r1", DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), whole(1, 6));
    assert_eq!(one.count() + two.count(), 2, "the other one was not tried");
}

#[rstest]
#[case(hang_after_head)]
#[case(break_after_head)]
#[tokio::test]
async fn a_silent_stream_is_kept_until_the_other_endpoint_sends_an_event(#[case] other: Script) {
    let served = std::sync::Arc::default();
    let one = endpoint("e1", &served, silent_after_events, other).await;
    let two = endpoint("e2", &served, silent_after_events, other).await;
    let host = common::host(&[&one, &two]).await;
    host.apply_plan(plan(), "test");
    let text = common::request("POST", "/long/a", "r1", DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), whole(1, 6));
}

#[tokio::test]
async fn a_silent_answer_is_completed_without_a_budget_for_retries() {
    let mut options = common::options("a", Vec::new());
    options.retry_budget.slack = 0.0;
    let one = endpoint::Endpoint::start("e1", silent_after_events).await;
    let two = endpoint::Endpoint::start("e2", silent_after_events).await;
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(plan(), "test");
    common::list(&host, &[&one, &two], 1);
    let text = common::request("POST", "/long/a", "r1", DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(one.count() + two.count(), 1);
}

#[tokio::test]
async fn a_silent_answer_that_is_taken_over_ends_at_its_first_endpoint() {
    // Guards against two endpoints that work on the same request side by side
    // after one of them has answered.
    let served = std::sync::Arc::default();
    let answer = |request: &endpoint::Request| endpoint::ok(request, "good");
    let one = endpoint("e1", &served, hang, answer).await;
    let two = endpoint("e2", &served, hang, answer).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("GET", "/look/a", "r1", "", "");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.text().as_str()), (200, "good"));
    let cancelled = || {
        let count =
            |endpoint: &endpoint::Endpoint| endpoint.cancelled.load(atomic::Ordering::SeqCst);
        count(&one) + count(&two)
    };
    let waiting = async {
        while cancelled() == 0 {
            tokio::time::sleep(common::ms(5)).await;
        }
    };
    tokio::time::timeout(common::ms(400), waiting)
        .await
        .expect("the silent run is cancelled");
}

/// Begins an answer that is no stream, and resets the connection within it.
fn break_within_answer(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 200, "x-signature: sig\r\n", &whole(1, 6));
    vec![
        Step::Bytes(text[..text.len() - 9].into()),
        Step::Pause(common::ms(50)),
        Step::Reset,
    ]
}

/// Begins an answer that is no stream, and never ends it.
fn hang_within_answer(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 200, "x-signature: sig\r\n", &whole(1, 6));
    vec![Step::Bytes(text[..text.len() - 9].into()), Step::Hang]
}

// Guards against a silent run that is given up for an answer that is never completed.
#[rstest]
#[case::stream_hangs("/long/a", silent_before_head, hang_after_head)]
#[case::stream_breaks("/long/a", silent_before_head, break_after_head)]
#[case::answer_hangs("/look/a", silent_before_answer, hang_within_answer)]
#[case::answer_breaks("/look/a", silent_before_answer, break_within_answer)]
#[tokio::test]
async fn a_silent_answer_is_kept_until_another_one_is_certain(
    #[case] path: &str,
    #[case] silent: Script,
    #[case] other: Script,
) {
    let served = std::sync::Arc::default();
    let one = endpoint("e1", &served, silent, other).await;
    let two = endpoint("e2", &served, silent, other).await;
    let host = common::host(&[&one, &two]).await;
    host.apply_plan(plan(), "test");
    let text = common::request("POST", path, "r1", DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), whole(1, 6));
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
    host.apply_plan(plan(), "test");
    // The time-out of an attempt is 270 ms, and that of a connection 250 ms.
    let one =
        endpoint::Endpoint::start("e1", |_| vec![Step::Pause(common::ms(370)), Step::Reset]).await;
    let (listener, _filling) = deaf().await;
    let mut two = endpoint::Endpoint::start("e2", not_run).await;
    two.address = listener.local_addr().expect("address");
    let three = endpoint::Endpoint::start("e3", |request| endpoint::ok(request, "good")).await;
    common::list(&host, &[&one], 1);
    let text = common::request("GET", "/look/a", "r1", DEADLINE, "");
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
            endpoint::chunk(&whole(1, 2)),
            Step::Pause(common::ms(4_500)),
            endpoint::chunk(&whole(3, 6)),
            endpoint::stream_end(),
        ]
    })
    .await;
    let host = common::host(&[&one]).await;
    host.apply_plan(plan(), "test");
    let text = common::request("POST", "/long/a", "r1", DEADLINE, "p");
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
    let crash: Script = |request| {
        vec![
            endpoint::stream_head(request),
            endpoint::chunk(&whole(1, 2)),
            Step::Pause(common::ms(1_500)),
            Step::Crash,
        ]
    };
    let one = endpoint("e1", &served, crash, hang).await;
    let two = endpoint("e2", &served, crash, hang).await;
    let host = common::host(&[&one, &two]).await;
    host.apply_plan(plan(), "test");
    let text = common::request("POST", "/long/a", "r1", DEADLINE, "p");
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

// Guards against a failure that the endpoint signed and the router replaces by its own.
#[tokio::test]
async fn the_failure_of_a_silent_endpoint_is_passed_on_if_the_other_one_does_not_answer() {
    let silent: Script = |request| {
        let pause = Step::Pause(common::ms(500));
        [vec![pause], failure(request)].concat()
    };
    let other: Script = |_| vec![Step::Pause(common::ms(600)), Step::Reset];
    let served = std::sync::Arc::default();
    let one = endpoint("e1", &served, silent, other).await;
    let two = endpoint("e2", &served, silent, other).await;
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
            true => hang(request),
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
                0 => break_after_head(request),
                1 => {
                    let mut steps = vec![silence()];
                    steps.extend(silent_before_head(request));
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
    let mut plan = plan();
    plan.routes[2].attempts_max = 3;
    host.apply_plan(plan, "test");
    let text = common::request("POST", "/long/a", "r1", DEADLINE, "prompt");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), whole(1, 6));
    assert_eq!(served.load(atomic::Ordering::SeqCst), 3);
}

//! Guards against answers that end because their endpoint is silent for a while,
//! although it goes on before the deadline.

mod common;

use core::time;
use std::sync;
use std::sync::atomic;

use common::script::{self, Step};
use rstest::rstest;
use testkit::load;
use testkit::service;

/// Time without data after which the hosts of these tests take an endpoint for
/// silent.
const STALL: time::Duration = time::Duration::from_millis(300);

/// Silence of an endpoint that goes on: three times [`STALL`].
const SILENCE: time::Duration = time::Duration::from_millis(900);

/// Longest wait for the end of an answer.
const WAIT_MAX: time::Duration = time::Duration::from_secs(8);

/// Number of tokens of each answer.
const TOKENS: u32 = 8;

type Script = fn(&script::Request) -> Vec<Step>;

/// Sends a whole answer, and is silent for [`SILENCE`] in the middle of it.
fn silent_within(request: &script::Request) -> Vec<Step> {
    if !request.is_stream() {
        let (head, mut body) = script::whole(request, TOKENS);
        let rest = body.split_off(body.len() / 2);
        return vec![
            Step::Bytes(head),
            Step::Bytes(body),
            Step::Pause(SILENCE),
            Step::Bytes(rest),
        ];
    }
    vec![
        script::stream_head(),
        script::events(request, 0, 3),
        Step::Pause(SILENCE),
        script::events(request, 3, TOKENS),
        script::finish(),
        script::done(),
    ]
}

/// Sends a whole answer, and is silent for [`SILENCE`] between its head and its body.
fn silent_after_head(request: &script::Request) -> Vec<Step> {
    if !request.is_stream() {
        let (head, body) = script::whole(request, TOKENS);
        return vec![Step::Bytes(head), Step::Pause(SILENCE), Step::Bytes(body)];
    }
    vec![
        script::stream_head(),
        Step::Pause(SILENCE),
        script::events(request, 0, TOKENS),
        script::finish(),
        script::done(),
    ]
}

fn hang_within(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, 3),
        Step::Hang,
    ]
}

fn hang_after_head(_: &script::Request) -> Vec<Step> {
    vec![script::stream_head(), Step::Hang]
}

/// Sends every token and the finish reason, but not the end of the stream.
fn hang_before_done(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, TOKENS),
        script::finish(),
        Step::Hang,
    ]
}

fn hang(_: &script::Request) -> Vec<Step> {
    vec![Step::Hang]
}

fn full(_: &script::Request) -> Vec<Step> {
    script::refusal("503 Service Unavailable")
}

fn failure(_: &script::Request) -> Vec<Step> {
    script::refusal("500 Internal Server Error")
}

/// Sends an error that is passed on to callers, with a body.
fn rejection(_: &script::Request) -> Vec<Step> {
    let text = "HTTP/1.1 404 Not Found\r\ncontent-length: 2\r\nconnection: close\r\n\r\nno";
    vec![Step::Bytes(text.as_bytes().to_vec())]
}

fn close(_: &script::Request) -> Vec<Step> {
    Vec::new()
}

/// Sends a whole answer without a silence.
fn deliver(request: &script::Request) -> Vec<Step> {
    if !request.is_stream() {
        let (head, body) = script::whole(request, TOKENS);
        return vec![Step::Bytes(head), Step::Bytes(body)];
    }
    vec![
        script::stream_head(),
        script::events(request, 0, TOKENS),
        script::finish(),
        script::done(),
    ]
}

/// Starts two endpoints. The first request to either is answered by `first`, later
/// ones by `later`.
async fn pair(first: Script, later: Script) -> [script::Endpoint; 2] {
    let served = sync::Arc::new(atomic::AtomicUsize::new(0));
    let script = move |request: &script::Request| match request.number {
        0 => first(request),
        _ => later(request),
    };
    [
        script::Endpoint::start(&served, script).await,
        script::Endpoint::start(&served, script).await,
    ]
}

async fn host(endpoints: &[script::Endpoint], further: &str) -> host::Host {
    let addresses: Vec<_> = endpoints.iter().map(script::Endpoint::address).collect();
    let mut options = common::options("host-1", &addresses, &[], further);
    options.stall_timeout = STALL;
    host::Host::start(options).await.expect("the host starts")
}

fn call(stream: bool) -> load::Call {
    let mut call = common::call("r1", TOKENS);
    call.stream = stream;
    call
}

/// Sends a request and returns its record.
///
/// # Panics
///
/// Panics if the answer does not end within [`WAIT_MAX`].
async fn send(call: &load::Call, host: &host::Host) -> load::Record {
    let client = common::client();
    tokio::time::timeout(WAIT_MAX, call.send(&client, host.caller_addr()))
        .await
        .expect("the answer ends")
}

fn requests(endpoints: &[script::Endpoint]) -> usize {
    endpoints.iter().map(script::Endpoint::requests).sum()
}

fn cancelled(endpoints: &[script::Endpoint]) -> usize {
    endpoints.iter().map(script::Endpoint::cancelled).sum()
}

/// Guards against an answer that is lost by a silence although no other endpoint
/// exists.
#[rstest]
#[case::stream_within(true, silent_within)]
#[case::stream_after_head(true, silent_after_head)]
#[case::whole_within(false, silent_within)]
#[case::whole_after_head(false, silent_after_head)]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_it_is_the_only_one(
    #[case] stream: bool,
    #[case] script: Script,
) {
    let served = sync::Arc::new(atomic::AtomicUsize::new(0));
    let endpoints = [script::Endpoint::start(&served, script).await];
    let host = host(&endpoints, "").await;
    let record = send(&call(stream), &host).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert_eq!(requests(&endpoints), 1);
    host.shutdown().await;
}

/// Guards against an answer that is lost because the endpoint that was asked for the
/// rest refuses, fails or hangs.
#[rstest]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_the_other_one_does_not_take_it(
    #[values(true, false)] stream: bool,
    #[values(silent_within, silent_after_head)] first: Script,
    #[values(full, failure, rejection, close, hang, hang_after_head)] later: Script,
) {
    let endpoints = pair(first, later).await;
    let host = host(&endpoints, "").await;
    let record = send(&call(stream), &host).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    let count = endpoints.iter().filter(|one| one.requests() > 0).count();
    assert_eq!(count, 2, "the other endpoint was not asked");
    host.shutdown().await;
}

/// Guards against an answer that is lost because the retry budget allows no second
/// run.
#[rstest]
#[case::stream_within(true, silent_within)]
#[case::stream_after_head(true, silent_after_head)]
#[case::whole_within(false, silent_within)]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_the_retry_budget_is_used_up(
    #[case] stream: bool,
    #[case] script: Script,
) {
    let served = sync::Arc::new(atomic::AtomicUsize::new(0));
    let script = move |request: &script::Request| match request.number {
        0 => failure(request),
        1 => deliver(request),
        _ => script(request),
    };
    let endpoints = [
        script::Endpoint::start(&served, script).await,
        script::Endpoint::start(&served, script).await,
    ];
    let host = host(&endpoints, "").await;
    for _ in 0..2 {
        let record = send(&call(stream), &host).await;
        assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    }
    assert_eq!(requests(&endpoints), 3);
    host.shutdown().await;
}

/// Guards against two endpoints that both go on with one request: the run that
/// delivers first counts, and the other one is cancelled.
#[rstest]
#[case::other_one_delivers(true, hang_within, deliver)]
#[case::other_one_delivers_first_data(true, hang_after_head, deliver)]
#[case::silent_one_goes_on(true, silent_within, hang)]
#[case::silent_one_goes_on_after_head(true, silent_after_head, hang_after_head)]
#[case::silent_one_goes_on_within_a_whole_answer(false, silent_within, hang_after_head)]
#[tokio::test]
async fn the_run_that_does_not_deliver_is_cancelled(
    #[case] stream: bool,
    #[case] first: Script,
    #[case] later: Script,
) {
    let endpoints = pair(first, later).await;
    let host = host(&endpoints, "").await;
    let record = send(&call(stream), &host).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert!(endpoints.iter().all(|endpoint| endpoint.requests() == 1));
    common::wait_for("the other run is cancelled", || cancelled(&endpoints) == 1).await;
    host.shutdown().await;
}

/// Guards against a booking that runs twice or is lost because its service is silent
/// within its answer.
#[rstest]
#[tokio::test]
async fn a_booking_at_a_silent_service_runs_once_and_is_answered(
    #[values(false, true)] keyed: bool,
) {
    let service = common::service();
    let host = host(&[], &common::service_settings(&service)).await;
    let client = common::client();
    service.script([service::Reply {
        within: SILENCE,
        ..service::Reply::default()
    }]);
    let mut call = common::booking("b1", "");
    call.headers.clear();
    if keyed {
        let key = common::minted_key(&client, host.caller_addr()).await;
        call = common::booking("b1", &key);
    }
    let record = send(&call, &host).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert_eq!(service.executions().len(), 1);
    host.shutdown().await;
}

/// Guards against an endpoint that hangs and holds its slot indefinitely, and against
/// an answer that ends sooner than the deadline.
#[rstest]
#[case::within(hang_within)]
#[case::after_head(hang_after_head)]
#[tokio::test]
async fn a_hung_endpoint_holds_its_slot_until_the_deadline(#[case] script: Script) {
    let served = sync::Arc::new(atomic::AtomicUsize::new(0));
    let endpoints = [script::Endpoint::start(&served, script).await];
    let host = host(&endpoints, "").await;
    let mut call = call(true);
    call.headers = vec![("request-deadline".to_owned(), "1500".to_owned())];
    let record = send(&call, &host).await;
    assert!(!record.outcome.is_whole(), "{:?}", record.outcome);
    assert!(
        record.total >= time::Duration::from_millis(1_450),
        "the answer ended after {:?}",
        record.total
    );
    assert!(
        record.total < time::Duration::from_secs(6),
        "the answer ended after {:?}",
        record.total
    );
    common::wait_for("the run is cancelled", || cancelled(&endpoints) == 1).await;
    assert_eq!(requests(&endpoints), 1);
    host.shutdown().await;
}

/// Guards against runs that go on at either endpoint after the caller disconnected
/// while one is silent and the other one is asked.
#[rstest]
#[case::stream_within(true, hang_within, hang)]
#[case::stream_after_head(true, hang_after_head, hang)]
#[case::whole_after_head(false, hang_after_head, hang_after_head)]
#[tokio::test]
async fn a_caller_that_disconnects_cancels_the_silent_run_and_the_other_one(
    #[case] stream: bool,
    #[case] first: Script,
    #[case] later: Script,
) {
    let endpoints = pair(first, later).await;
    let host = host(&endpoints, "").await;
    let address = host.caller_addr();
    let call = call(stream);
    let calling = tokio::spawn(async move { call.send(&common::client(), address).await });
    common::wait_for("both endpoints are asked", || {
        endpoints.iter().all(|endpoint| endpoint.requests() == 1)
    })
    .await;
    calling.abort();
    common::wait_for("both runs are cancelled", || cancelled(&endpoints) == 2).await;
    host.shutdown().await;
}

/// Guards against a last event that is sent again and again while an endpoint that
/// sent every token hangs.
#[tokio::test]
async fn a_missing_last_event_is_sent_once() {
    let endpoints = pair(hang_before_done, deliver).await;
    let host = host(&endpoints, "").await;
    let mut call = call(true);
    call.headers = vec![("request-deadline".to_owned(), "1500".to_owned())];
    let record = send(&call, &host).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert_eq!(requests(&endpoints), 1);
    common::wait_for("the run is cancelled", || cancelled(&endpoints) == 1).await;
    host.shutdown().await;
}

//! Tests of the classification of failed requests. After `NotSent` the router
//! may run a booking at another endpoint, so `NotSent` must never be returned if
//! the endpoint received a byte of the request.

mod common;

use core::time;

use back::{Error, Reuse, Version};
use common::Behaviour;
use rstest::rstest;

fn client() -> back::Client {
    back::Client::new(back::Options {
        connect_timeout: time::Duration::from_millis(200),
        ..back::Options::default()
    })
}

/// Guards against a booking that is reported as possibly run, and therefore not
/// retried, although the endpoint refused the connection.
#[rstest]
#[tokio::test]
async fn a_refused_connection_is_not_sent(
    #[values(Reuse::Pooled, Reuse::Fresh)] reuse: Reuse,
    #[values(Version::Http1, Version::Http2)] version: Version,
) {
    let (address, _socket) = common::refusing();
    let client = client();
    let outcome = client.send_with_version(common::request(address), reuse, version);
    assert!(matches!(outcome.await, Err(Error::NotSent(_))));
}

/// Guards against a connection attempt without a time-out, and against a booking
/// that is reported as possibly run although the machine of the endpoint is
/// unreachable or overloaded.
#[rstest]
#[tokio::test]
async fn an_unanswered_connection_attempt_is_not_sent(
    #[values(Reuse::Pooled, Reuse::Fresh)] reuse: Reuse,
    #[values(Version::Http1, Version::Http2)] version: Version,
) {
    let (address, _listener, _queued) = common::unresponsive().await;
    let client = client();
    let outcome = client.send_with_version(common::request(address), reuse, version);
    assert!(matches!(outcome.await, Err(Error::NotSent(_))));
}

/// Guards against a booking that runs twice: an endpoint that accepts a
/// connection and closes it, before or after reading, may have received the
/// request or passed the socket to a process that received it.
#[rstest]
#[tokio::test]
async fn an_accepted_connection_that_closes_may_have_run(
    #[values(Behaviour::Close, Behaviour::ReadAndClose)] behaviour: Behaviour,
    #[values(Reuse::Pooled, Reuse::Fresh)] reuse: Reuse,
    #[values(Version::Http1, Version::Http2)] version: Version,
) {
    let (address, observed) = common::start(behaviour).await;
    let client = client();
    for _ in 0..50 {
        let outcome = client.send_with_version(common::request(address), reuse, version);
        assert!(matches!(outcome.await, Err(Error::MayHaveRun(_))));
    }
    // The HTTP library itself retries nothing.
    assert!(common::count(&observed.connections) <= 50);
}

/// Guards against a booking that runs twice: an endpoint that reads the start of
/// a request on a pooled connection and closes it may run that request.
#[tokio::test]
async fn a_pooled_connection_that_closes_may_have_run() {
    let (address, observed) = common::start(Behaviour::CloseOnSecond).await;
    let client = client();
    let first = client.send(common::request(address), Reuse::Pooled).await;
    drain(first).await;
    let second = client.send(common::request(address), Reuse::Pooled).await;
    assert!(matches!(second, Err(Error::MayHaveRun(_))));
    assert_eq!(common::count(&observed.requests), 2);
    assert_eq!(common::count(&observed.connections), 1);
}

type Outcome = Result<http::Response<back::Body>, Error>;

/// Reads a response to its end, after which its connection is idle.
async fn drain(outcome: Outcome) {
    let body = outcome.expect("a response").into_body();
    let body = http_body_util::BodyExt::collect(body).await;
    assert_eq!(body.expect("whole").to_bytes(), "ok");
    tokio::task::yield_now().await;
}

/// Guards against a booking whose outcome is needlessly unknown: an endpoint may
/// close an idle connection while the next request is being sent on it. Such a
/// request is never `NotSent` and never sent twice, and the race cannot occur on
/// a fresh connection.
#[rstest]
#[case::pooled(Reuse::Pooled)]
#[case::fresh(Reuse::Fresh)]
#[tokio::test]
async fn a_fresh_connection_avoids_the_close_race_of_an_idle_one(#[case] reuse: Reuse) {
    let mut unknown = 0;
    for round in 0..400 {
        let (address, observed) = common::start(Behaviour::CloseAfter(round % 8)).await;
        let client = client();
        drain(client.send(common::request(address), Reuse::Pooled).await).await;
        match client.send(common::request(address), reuse).await {
            Ok(response) => drain(Ok(response)).await,
            Err(Error::MayHaveRun(_)) => unknown += 1,
            Err(other) => panic!("{other}"),
        }
        assert!(common::count(&observed.requests) <= 2);
    }
    println!("{reuse:?}: {unknown} of 400 outcomes unknown");
    assert!(reuse == Reuse::Pooled || unknown == 0);
}

/// Guards against non-idempotent work on a pooled connection, where the outcome
/// of a request can become unknown as in the test above.
#[tokio::test]
async fn a_fresh_request_opens_its_own_connection() {
    let (address, observed) = common::start(Behaviour::CloseOnSecond).await;
    let client = client();
    drain(client.send(common::request(address), Reuse::Pooled).await).await;
    for expected in 2..5 {
        drain(client.send(common::request(address), Reuse::Fresh).await).await;
        assert_eq!(common::count(&observed.connections), expected);
    }
}

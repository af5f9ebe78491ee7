//! Tests of what a failed request says about the endpoint: `NotSent` lets the
//! router run a booking elsewhere, so that it must never be said of a request
//! of which the endpoint has seen a byte.

mod common;

use core::time;

use back::{Error, Reuse, Version};
use common::Manner;
use rstest::rstest;

fn client() -> back::Client {
    back::Client::new(back::Options {
        connect_timeout: time::Duration::from_millis(200),
        ..back::Options::default()
    })
}

/// Guards against a booking that is reported as possibly run, and therefore
/// never repeated, although the endpoint did not even take the connection.
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

/// Guards against a connect that is waited for until the deadline, and against
/// the same wrong report when an endpoint's machine is gone or overloaded.
#[rstest]
#[tokio::test]
async fn an_unanswered_connect_is_not_sent(
    #[values(Reuse::Pooled, Reuse::Fresh)] reuse: Reuse,
    #[values(Version::Http1, Version::Http2)] version: Version,
) {
    let (address, _listener, _held) = common::unresponsive().await;
    let client = client();
    let outcome = client.send_with_version(common::request(address), reuse, version);
    assert!(matches!(outcome.await, Err(Error::NotSent(_))));
}

/// Guards against a booking that runs twice: an endpoint that accepts a
/// connection and closes it, before or after reading, may have taken the
/// request, or hand its socket to a process that did.
#[rstest]
#[tokio::test]
async fn an_accepted_connection_that_closes_may_have_run(
    #[values(Manner::Closes, Manner::ReadsAndCloses)] manner: Manner,
    #[values(Reuse::Pooled, Reuse::Fresh)] reuse: Reuse,
    #[values(Version::Http1, Version::Http2)] version: Version,
) {
    let (address, seen) = common::start(manner).await;
    let client = client();
    for _ in 0..50 {
        let outcome = client.send_with_version(common::request(address), reuse, version);
        assert!(matches!(outcome.await, Err(Error::MayHaveRun(_))));
    }
    // The library itself repeats nothing.
    assert!(common::count(&seen.connections) <= 50);
}

/// Guards against a booking that runs twice: an endpoint that reads the start
/// of a request on a kept connection and closes it may run that request.
#[tokio::test]
async fn a_kept_connection_that_closes_may_have_run() {
    let (address, seen) = common::start(Manner::ClosesOnSecond).await;
    let client = client();
    let first = client.send(common::request(address), Reuse::Pooled).await;
    drain(first).await;
    let second = client.send(common::request(address), Reuse::Pooled).await;
    assert!(matches!(second, Err(Error::MayHaveRun(_))));
    assert_eq!(common::count(&seen.requests), 2);
    assert_eq!(common::count(&seen.connections), 1);
}

type Answer = Result<http::Response<back::Body>, Error>;

/// Reads an answer to its end, after which its connection is idle.
async fn drain(answer: Answer) {
    let body = answer.expect("an answer").into_body();
    let body = http_body_util::BodyExt::collect(body).await;
    assert_eq!(body.expect("whole").to_bytes(), "ok");
    tokio::task::yield_now().await;
}

/// Guards against a booking with an unknown outcome for no reason: an endpoint
/// may close an idle connection at the moment at which the next request is
/// sent on it. Such a request is never `NotSent` and never sent twice, and a
/// fresh connection does not meet the case.
#[rstest]
#[case::kept(Reuse::Pooled)]
#[case::fresh(Reuse::Fresh)]
#[tokio::test]
async fn a_fresh_connection_avoids_the_close_of_an_idle_one(#[case] reuse: Reuse) {
    let mut unknown = 0;
    for round in 0..400 {
        let (address, seen) = common::start(Manner::ClosesAfter(round % 8)).await;
        let client = client();
        drain(client.send(common::request(address), Reuse::Pooled).await).await;
        match client.send(common::request(address), reuse).await {
            Ok(answer) => drain(Ok(answer)).await,
            Err(Error::MayHaveRun(_)) => unknown += 1,
            Err(other) => panic!("{other}"),
        }
        assert!(common::count(&seen.requests) <= 2);
    }
    println!("{reuse:?}: {unknown} of 400 unknown");
    assert!(reuse == Reuse::Pooled || unknown == 0);
}

/// Guards against non-idempotent work on a kept connection, which the test
/// above shows to be unsafe.
#[tokio::test]
async fn a_fresh_request_opens_its_own_connection() {
    let (address, seen) = common::start(Manner::ClosesOnSecond).await;
    let client = client();
    drain(client.send(common::request(address), Reuse::Pooled).await).await;
    for expected in 2..5 {
        drain(client.send(common::request(address), Reuse::Fresh).await).await;
        assert_eq!(common::count(&seen.connections), expected);
    }
}

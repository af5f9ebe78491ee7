//! Guards against answers that end because their endpoint is silent for a while,
//! although it goes on within the time-out of the route.

mod common;

use std::sync::atomic;

use common::endpoint;
use common::silence;
use rstest::rstest;

#[rstest]
#[case::stream_after_events("/long/a", silence::silent_after_events)]
#[case::stream_after_head("/long/a", silence::silent_after_head)]
#[case::stream_before_head("/long/a", silence::silent_before_head)]
#[case::not_resumable("/live/a", silence::silent_after_events)]
#[case::idempotent("/look/a", silence::silent_before_answer)]
#[case::once("/book/a", silence::silent_before_answer)]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_no_other_one_is_listed(
    #[case] path: &str,
    #[case] script: silence::Script,
) {
    let one = endpoint::Endpoint::start("e1", script).await;
    let host = common::host(&[&one]).await;
    host.apply_plan(silence::plan(), "test");
    let text = common::request("POST", path, "r1", silence::DEADLINE, "p");
    let answer = common::call(&host, &text).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), silence::whole(1, 6));
    assert_eq!(one.count(), 1);
}

#[rstest]
#[case::stream_after_events("/long/a", silence::silent_after_events)]
#[case::stream_after_head("/long/a", silence::silent_after_head)]
#[case::stream_before_head("/long/a", silence::silent_before_head)]
#[case::idempotent("/look/a", silence::silent_before_answer)]
#[tokio::test]
async fn a_silent_endpoint_completes_its_answer_if_the_other_one_does_not(
    #[case] path: &str,
    #[case] silent: silence::Script,
    #[values(silence::not_run, silence::failure, silence::reset, silence::hang)]
    other: silence::Script,
) {
    let (answer, requests) = silence::ask_pair(path, silent, other).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), silence::whole(1, 6));
    assert_eq!(requests, 2, "the other one was not tried");
}

#[rstest]
#[case(silence::hang_after_head)]
#[case(silence::break_after_head)]
#[tokio::test]
async fn a_silent_stream_is_kept_until_the_other_endpoint_sends_an_event(
    #[case] other: silence::Script,
) {
    let (answer, _) = silence::ask_pair("/long/a", silence::silent_after_events, other).await;
    assert_eq!((answer.status, answer.is_whole), (200, true), "{answer:?}");
    assert_eq!(answer.text(), silence::whole(1, 6));
}

#[tokio::test]
async fn a_silent_answer_is_completed_without_a_budget_for_retries() {
    let mut options = common::options("a", Vec::new());
    options.retry_budget.slack = 0.0;
    let one = endpoint::Endpoint::start("e1", silence::silent_after_events).await;
    let two = endpoint::Endpoint::start("e2", silence::silent_after_events).await;
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(silence::plan(), "test");
    common::list(&host, &[&one, &two], 1);
    let text = common::request("POST", "/long/a", "r1", silence::DEADLINE, "p");
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
    let one = silence::endpoint("e1", &served, silence::hang, answer).await;
    let two = silence::endpoint("e2", &served, silence::hang, answer).await;
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

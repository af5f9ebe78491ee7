//! Guards against endpoints that send bytes without end which are no answer: they must
//! neither fill the memory of a host nor occupy it until the deadline.

mod common;

use core::time;
use std::sync::atomic;

use common::endless;
use common::endpoint::{self, Step};
use rstest::rstest;

/// Bytes that an endpoint may have sent before the host closes the connection, most of
/// them in the buffers of the sockets.
const SENT_MAX: usize = 24 << 20;

/// Time within which a host must have left the endpoint. The deadline is 2 s.
const LEFT_WITHIN: time::Duration = time::Duration::from_millis(1_000);

#[rstest]
#[case::field(endless::long_field)]
#[case::fields(endless::many_fields)]
#[case::interim(endless::interim)]
#[case::first_event(endless::first_event)]
#[case::later_event(endless::later_event)]
#[case::lines(endless::lines)]
#[case::comments(endless::comments)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_sends_without_end_is_left_early(
    #[case] script: fn(&endpoint::Request) -> Vec<Step>,
) {
    let one = endpoint::Endpoint::start("e1", script).await;
    let host = common::host(&[&one]).await;
    let text = common::request("POST", "/live/a", "r1", "", "p");
    let began = tokio::time::Instant::now();
    let answer = tokio::time::timeout(LEFT_WITHIN, common::call(&host, &text))
        .await
        .expect("the request has ended");
    assert!(
        answer.status == 502 || !answer.is_whole,
        "status {} after {:?}",
        answer.status,
        began.elapsed()
    );
    let closed = async {
        while one.cancelled.load(atomic::Ordering::SeqCst) == 0 {
            tokio::time::sleep(common::ms(5)).await;
        }
    };
    tokio::time::timeout(LEFT_WITHIN, closed)
        .await
        .expect("the connection is closed");
    let sent = one.flooded.load(atomic::Ordering::SeqCst);
    assert!(sent <= SENT_MAX, "the endpoint sent {sent} bytes");
    let counted = r#"answers_oversized{service="s"}"#;
    assert!(
        host.metrics.text().contains(counted),
        "{}",
        host.metrics.text()
    );
}

#[rstest]
#[case::field(endless::long_field)]
#[case::first_event(endless::first_event)]
#[case::later_event(endless::later_event)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn another_endpoint_replaces_one_that_sends_without_end(
    #[case] script: fn(&endpoint::Request) -> Vec<Step>,
) {
    let served = std::sync::Arc::new(atomic::AtomicUsize::new(0));
    let (first, second) = (served.clone(), served.clone());
    let answer = move |count: &atomic::AtomicUsize, request: &endpoint::Request| match count
        .fetch_add(1, atomic::Ordering::SeqCst)
    {
        0 => script(request),
        _ => {
            let from = request.header("last-event-id").map_or(1, |_| 2);
            let mut steps = vec![endpoint::stream_head(request)];
            steps.extend((from..=3).map(|id| endpoint::chunk(&endpoint::event(id))));
            steps.push(endpoint::stream_end());
            steps
        }
    };
    let other = answer;
    let one = endpoint::Endpoint::start("e1", move |request| answer(&first, request)).await;
    let two = endpoint::Endpoint::start("e2", move |request| other(&second, request)).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("POST", "/long/a", "r1", "", "p");
    let answer = common::call(&host, &text).await;
    assert!(answer.is_whole, "{answer:?}");
    let whole: String = (1..=3).map(endpoint::event).collect();
    assert_eq!(answer.text(), whole);
}

//! Guards against requests that end without an answer when a host stops.

mod common;

use common::endpoint::{self, Step};
use rstest::rstest;

// Guards against requests that are cut without an answer when the host stops.
#[rstest]
#[case::look("GET", "/look/a")]
#[case::book("POST", "/book/a")]
#[case::long("POST", "/long/a")]
#[case::live("POST", "/live/a")]
#[tokio::test]
async fn a_request_without_an_answer_is_refused_before_the_host_stops(
    #[case] method: &str,
    #[case] path: &str,
) {
    let one = endpoint::Endpoint::start("e1", |_| vec![Step::Hang]).await;
    let host = common::host(&[&one]).await;
    let mut plan = common::plan(2);
    for route in &mut plan.routes {
        route.timeout = common::ms(30_000);
    }
    host.apply_plan(plan, "test");
    let text = common::request(method, path, "r1", "", "");
    let stopping = async {
        while one.count() == 0 {
            tokio::time::sleep(common::ms(5)).await;
        }
        host.stop().await;
    };
    let (answer, ()) = tokio::join!(common::call(&host, &text), stopping);
    assert_eq!((answer.status, answer.is_whole), (502, true), "{answer:?}");
}

// Guards against requests that are taken late in the time of a stop, sent on, and cut at its
// end.
#[rstest]
#[case::look("GET", "/look/a")]
#[case::book("POST", "/book/a")]
#[case::live("POST", "/live/a")]
#[tokio::test]
async fn a_request_that_comes_during_the_stop_is_answered_or_not_sent_on(
    #[case] method: &str,
    #[case] path: &str,
) {
    let one = endpoint::Endpoint::start("e1", |request| {
        let mut steps = endpoint::ok(request, "x");
        steps.insert(0, Step::Pause(common::ms(1_500)));
        steps
    })
    .await;
    let options = edge::Options {
        stop_timeout: common::ms(5_000),
        ..common::options("a", Vec::new())
    };
    let host = edge::Host::start(options).await.expect("host");
    host.apply_plan(common::plan(2), "test");
    common::list(&host, &[&one], 1);
    host.confirm_plan();
    let mut callers = tokio::task::JoinSet::new();
    for number in 0..48 {
        let mut stream = tokio::net::TcpStream::connect(host.address())
            .await
            .expect("connect");
        let text = common::request(method, path, &format!("r{number}"), "", "");
        callers.spawn(async move {
            tokio::time::sleep(common::ms(100 * number)).await;
            // The host may have closed the connection.
            let sent = tokio::io::AsyncWriteExt::write_all(&mut stream, text.as_bytes()).await;
            let answer = match sent {
                Ok(()) => common::read(&mut stream).await.is_whole,
                Err(_) => false,
            };
            (format!("r{number}"), answer)
        });
    }
    host.stop().await;
    drop(host);
    let sent_on: Vec<String> = one
        .requests()
        .iter()
        .filter_map(|request| request.header("x-request-id").map(str::to_owned))
        .collect();
    let cut: Vec<String> = callers
        .join_all()
        .await
        .into_iter()
        .filter(|(id, is_answered)| !is_answered && sent_on.contains(id))
        .map(|(id, _)| id)
        .collect();
    assert!(sent_on.len() >= 10, "{} requests sent on", sent_on.len());
    assert!(cut.is_empty(), "cut: {cut:?}");
}

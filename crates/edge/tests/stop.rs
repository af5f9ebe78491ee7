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

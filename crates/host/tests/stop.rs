//! Guards against requests that end without an answer when a host stops.

mod common;

use core::time;

use common::script::{self, Step};
use rstest::rstest;
use testkit::load;

/// Guards against a request that is cut at the end of the shutdown although its caller
/// could be told.
#[rstest]
#[tokio::test]
async fn a_request_without_an_answer_is_refused_before_the_host_ends(
    #[values(true, false)] stream: bool,
) {
    let endpoint = script::Endpoint::start(&std::sync::Arc::default(), |_| vec![Step::Hang]).await;
    let mut options = common::options("host-1", &[endpoint.address()], &[], "");
    let mut settings = conf::Settings::clone(&options.settings);
    settings.limits.shutdown_max = time::Duration::from_millis(500);
    options.settings = std::sync::Arc::new(settings);
    let host = host::Host::start(options).await.expect("the host starts");
    let mut call = common::call("r1", 8);
    call.stream = stream;
    let client = common::client();
    let address = host.caller_addr();
    let stopping = async {
        while endpoint.requests() == 0 {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        host.shutdown().await;
    };
    let (record, ()) = tokio::join!(call.send(&client, address), stopping);
    let load::Outcome::Refused { kind, .. } = record.outcome else {
        panic!("{:?}", record.outcome);
    };
    assert_eq!(kind, "endpoint_failed");
}

//! Guards against requests to an engine that has asked for a pause.

mod common;

use core::time;
use std::sync;

use common::script::{self, Step};
use rstest::rstest;
use tokio::time::Instant;

const TOKENS: u32 = 2;

/// Pause for which the engine asks.
const PAUSE: time::Duration = time::Duration::from_secs(3);

/// Callers, more than the other engine has slots.
const CALLERS: usize = 12;

/// Time after the refusal from which the pause must be kept.
const NOTICE: time::Duration = time::Duration::from_millis(500);

fn deliver(request: &script::Request) -> Vec<Step> {
    vec![
        Step::Pause(time::Duration::from_millis(60)),
        script::stream_head(),
        script::events(request, 0, TOKENS),
        script::finish(),
        script::done(),
    ]
}

fn refuse(_: &script::Request) -> Vec<Step> {
    let head = "HTTP/1.1 503 Service Unavailable\r\nretry-after: 3\r\ncontent-length: 0\r\n\r\n";
    vec![Step::Bytes(head.as_bytes().to_vec())]
}

#[rstest]
#[case::one_host(1)]
#[case::the_home_is_another_host(3)]
#[tokio::test]
async fn an_engine_that_asked_for_a_pause_gets_no_requests(#[case] count: usize) {
    let tired = script::Endpoint::start(&sync::Arc::default(), refuse).await;
    let sound = script::Endpoint::start(&sync::Arc::default(), deliver).await;
    let addresses = [tired.address(), sound.address()];
    let hosts = common::fleet(count, &addresses, "").await;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..CALLERS {
        let address = hosts[caller % count].caller_addr();
        callers.spawn(async move {
            let client = common::client();
            for number in 0.. {
                let call = common::call(&format!("r{caller}-{number}"), TOKENS);
                call.send(&client, address).await;
            }
        });
    }
    common::wait_for("the engine gets a request", || tired.requests() > 0).await;
    let refused = Instant::now();
    tokio::time::sleep_until(refused + NOTICE).await;
    let (before, served) = (tired.requests(), sound.requests());
    tokio::time::sleep_until(refused + PAUSE - time::Duration::from_millis(100)).await;
    let during = tired.requests() - before;
    assert!(during <= 2, "{during} requests in the pause");
    // Four slots of 60 ms for 2.4 s.
    let served = sound.requests() - served;
    assert!(served >= 60, "{served} requests at the other engine");
    callers.shutdown().await;
    common::shutdown(hosts).await;
}

//! Guards against an interrupted stream whose rest is asked of the engine that failed,
//! because that engine is alone in its shard of the pool.

mod common;

use std::sync;

use common::script::{self, Step};
use rstest::rstest;

/// Number of tokens of each answer.
const TOKENS: u32 = 8;

/// Tag of the request that the tests observe.
const TAG: &str = "r1";

/// Number of other requests before it, which pay for its retries.
const EARLIER: usize = 50;

fn deliver(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, TOKENS),
        script::finish(),
        script::done(),
    ]
}

/// Closes the connection within the answer.
fn cut(request: &script::Request) -> Vec<Step> {
    vec![script::stream_head(), script::events(request, 0, 3)]
}

/// Engines by their order, in the order in which they got the observed request.
type Log = sync::Arc<sync::Mutex<Vec<usize>>>;

/// Starts an engine that interrupts the answer to the observed request unless another
/// engine has got that before.
async fn engine(index: usize, log: &Log) -> script::Endpoint {
    let log = log.clone();
    let script = move |request: &script::Request| {
        if request.tag() != TAG {
            return deliver(request);
        }
        let mut log = base::mutex::lock(&log);
        log.push(index);
        match log.iter().any(|other| *other != index) {
            true => deliver(request),
            false => cut(request),
        }
    };
    script::Endpoint::start(&sync::Arc::default(), script).await
}

#[rstest]
#[tokio::test]
async fn the_rest_of_a_stream_is_asked_of_another_shard(#[values(1, 2, 3, 4, 5, 6)] _run: u8) {
    let log = Log::default();
    let engines = [engine(0, &log).await, engine(1, &log).await];
    let addresses: Vec<_> = engines.iter().map(script::Endpoint::address).collect();
    let shards = "[pool braille]\nshard_endpoints = 1\n";
    let host = common::member("host-1", &addresses, &[], shards).await;
    let client = common::client();
    for number in 0..EARLIER {
        let call = common::call(&format!("e{number}"), TOKENS);
        let record = call.send(&client, host.caller_addr()).await;
        assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    }
    let call = common::call(TAG, TOKENS);
    let record = call.send(&client, host.caller_addr()).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    let log = base::mutex::lock(&log).clone();
    assert!(log.len() == 2 && log[0] != log[1], "{log:?}");
    host.shutdown().await;
}

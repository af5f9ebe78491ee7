//! Tests of hosts that cannot reach the engines while their home can.

mod common;

use core::time;

use tokio::time::Instant;

/// Time in which a caller must be answered while both engines are idle.
const ANSWER_MAX: time::Duration = time::Duration::from_millis(700);

fn ask(id: u64) -> wire::Ask {
    wire::Ask {
        pool: "braille".to_owned(),
        shard: 0,
        id,
        class: "open".to_owned(),
        team: 0,
        caller: 1,
        prompt_tokens: 8,
        max_tokens: Some(8),
        prefix: 0,
        fingerprint: 0,
        budget_ms: 3_000,
        attempt: 0,
        avoid: None,
    }
}

/// Guards against a host without links to the engines that takes them from all others,
/// because their home believes its failed connections.
#[tokio::test]
async fn failed_connections_of_one_host_take_no_engine_from_the_others() {
    let engines = [common::engine(4, None), common::engine(4, None)];
    let addresses: Vec<_> = engines.iter().map(|engine| engine.address()).collect();
    let host = common::host(&addresses).await;
    let identity = peer::Identity {
        name: "cut-off".into(),
        incarnation: 1,
    };
    let keys = peer::Keys::new(wire::Keyring::new(&[common::PEER_KEY]).expect("keyring"));
    let options = peer::client::Options::new(identity, keys);
    let cut_off = peer::Client::start(options).expect("client");
    let start = Instant::now();
    let mut reported = 0;
    for id in 0.. {
        if start.elapsed() > time::Duration::from_secs(3) {
            break;
        }
        let asking = cut_off.ask(host.peer_addr(), ask(id));
        let Ok(Ok(wire::Reply::Grant(_))) = tokio::time::timeout(ANSWER_MAX, asking).await else {
            continue;
        };
        let done = wire::Done {
            id,
            result: wire::Finish::Unreachable,
            tokens: 0,
            pause_ms: 0,
        };
        cut_off.report_done(host.peer_addr(), done);
        reported += 1;
    }
    assert!(reported >= 4, "{reported} failed connections were reported");
    let start = Instant::now();
    let record = common::call("r1", 4)
        .send(&common::client(), host.caller_addr())
        .await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    let took = start.elapsed();
    assert!(took < ANSWER_MAX, "answered after {took:?}");
    host.shutdown().await;
}

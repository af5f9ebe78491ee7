//! Tests of one host in front of stand-in engines.

mod common;

use core::time;

use rstest::rstest;
use testkit::engine;
use testkit::load;

/// Guards against answers that are lost, truncated, duplicated or swapped between
/// concurrent callers.
#[rstest]
#[case::streamed(true)]
#[case::whole(false)]
#[tokio::test]
async fn every_caller_gets_its_own_whole_answer(#[case] stream: bool) {
    let engines = [common::engine(12, None), common::engine(12, None)];
    let host = common::host(&[engines[0].address(), engines[1].address()]).await;
    let client = common::client();
    let calls = (0..40).map(|number| {
        let mut call = common::call(&format!("r{number}"), 12);
        call.stream = stream;
        let client = client.clone();
        let address = host.caller_addr();
        async move { call.send(&client, address).await }
    });
    for record in futures_util::future::join_all(calls).await {
        assert!(record.outcome.is_whole(), "{:?}", record.outcome);
        assert_eq!(record.class.as_deref(), Some("urgent"));
    }
    let runs: usize = engines.iter().map(|engine| engine.runs().len()).sum();
    assert_eq!(runs, 40);
    host.shutdown().await;
}

/// Guards against requests that fail because one endpoint is unreachable.
#[tokio::test]
async fn an_endpoint_that_refuses_connections_fails_no_request() {
    let gone = common::engine(4, None);
    let dead = gone.address();
    drop(gone);
    let live = common::engine(4, None);
    let host = common::host(&[dead, live.address()]).await;
    let client = common::client();
    for number in 0..5 {
        let call = common::call(&format!("r{number}"), 4);
        let record = call.send(&client, host.caller_addr()).await;
        assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    }
    host.shutdown().await;
}

/// Guards against a truncated stream that its caller mistakes for a complete answer.
#[tokio::test]
async fn a_truncated_stream_is_never_mistaken_for_a_complete_one() {
    let crash = engine::Crash {
        marker: "fault".to_owned(),
        after_tokens: 3,
        restart_after: None,
    };
    let engine = common::engine(12, Some(crash));
    let host = common::host(&[engine.address()]).await;
    let mut call = common::call("r1", 12);
    call.prompt = "fault".to_owned();
    let record = call.send(&common::client(), host.caller_addr()).await;
    assert!(!record.outcome.is_whole(), "{:?}", record.outcome);
    host.shutdown().await;
}

/// Guards against work that continues at the endpoint after its caller disconnected.
#[tokio::test]
async fn a_caller_that_disconnects_frees_its_slot() {
    let engine = common::engine(100_000, None);
    let host = common::host(&[engine.address()]).await;
    let call = common::call("r1", 100_000);
    let client = common::client();
    let sending = call.send(&client, host.caller_addr());
    let started = async {
        while engine.runs().is_empty() {
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    tokio::select! {
        record = sending => panic!("the answer ended: {:?}", record.outcome),
        () = started => {}
    }
    drop(client);
    while engine.counters().cancelled == 0 {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    host.shutdown().await;
}

/// Guards against a shutdown that interrupts a stream in flight.
#[tokio::test]
async fn a_graceful_shutdown_finishes_streams() {
    let engine = common::engine(60, None);
    let host = common::host(&[engine.address()]).await;
    let address = host.caller_addr();
    let running = tokio::spawn(async move {
        let call = common::call("r1", 60);
        call.send(&common::client(), address).await
    });
    while engine.runs().is_empty() {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    host.shutdown().await;
    let record = running.await.expect("the caller does not panic");
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
}

fn kind(outcome: &load::Outcome) -> (u16, &str, &str) {
    match outcome {
        load::Outcome::Refused {
            status,
            kind,
            run_state,
            ..
        } => (*status, kind, run_state),
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against invalid input that is served, or refused without its reason.
#[tokio::test]
async fn invalid_requests_are_refused_with_their_reason() {
    let engine = common::engine(4, None);
    let host = common::host(&[engine.address()]).await;
    let client = common::client();
    let good = common::call("r1", 4);
    let cases: [(load::Call, (u16, &str)); 6] = [
        (
            load::Call {
                model: Some("other".to_owned()),
                ..good.clone()
            },
            (404, "unknown_model"),
        ),
        (
            load::Call {
                key: Some("wrong".to_owned()),
                ..good.clone()
            },
            (401, "unknown_key"),
        ),
        (
            load::Call {
                prompt: "x".repeat(70_000),
                ..good.clone()
            },
            (413, "body_too_large"),
        ),
        (
            load::Call {
                headers: vec![("x-long".to_owned(), "y".repeat(5_000))],
                ..good.clone()
            },
            (431, "header_too_large"),
        ),
        (
            load::Call {
                headers: vec![("request-deadline".to_owned(), "soon".to_owned())],
                ..good.clone()
            },
            (400, "bad_request"),
        ),
        (
            load::Call {
                path: "/v2/nothing".to_owned(),
                ..good.clone()
            },
            (404, "not_found"),
        ),
    ];
    for (call, (status, name)) in cases {
        let record = call.send(&client, host.caller_addr()).await;
        assert_eq!(kind(&record.outcome), (status, name, "not_run"));
    }
    assert!(engine.runs().is_empty());
    host.shutdown().await;
}

/// Guards against tokens that are lost or duplicated when a stream resumes at
/// another endpoint, in both completion interfaces.
#[rstest]
#[case::chat("/v1/chat/completions")]
#[case::plain("/v1/completions")]
#[tokio::test]
async fn a_stream_resumes_when_its_endpoint_crashes(#[case] path: &str) {
    let engines = [common::engine(120, None), common::engine(120, None)];
    let host = common::host(&[engines[0].address(), engines[1].address()]).await;
    let client = common::client();
    let mut call = common::call("r1", 120);
    call.path = path.to_owned();
    let crash = async {
        loop {
            let running = engines.iter().find(|engine| engine.counters().tokens >= 10);
            if let Some(engine) = running {
                engine.crash();
                return;
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
    };
    let sending = call.send(&client, host.caller_addr());
    let (record, ()) = tokio::join!(sending, crash);
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert!(engines.iter().all(|engine| engine.runs().len() == 1));
    host.shutdown().await;
}

/// Guards against a home whose fencing number an endpoint rejects permanently after
/// another home used a higher one, and against the rejection reaching a caller.
#[tokio::test]
async fn a_home_renews_an_outdated_fencing_number() {
    let options = engine::Options {
        fencing: true,
        ..common::engine_options(4, None)
    };
    let engine = engine::Engine::start(options).expect("the engine starts");
    let host = common::host(&[engine.address()]).await;
    let client = common::client();
    let first = common::call("r1", 4);
    let record = first.send(&client, host.caller_addr()).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);

    tokio::time::sleep(time::Duration::from_millis(5)).await;
    let mut other = common::call("r2", 4);
    let number = common::wall_ms().to_string();
    other.headers = vec![("x-fencing-number".to_owned(), number)];
    let record = other.send(&client, engine.address()).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);

    tokio::time::sleep(time::Duration::from_millis(5)).await;
    let third = common::call("r3", 4);
    let record = third.send(&client, host.caller_addr()).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert_eq!(engine.counters().fenced, 1);
    host.shutdown().await;
}

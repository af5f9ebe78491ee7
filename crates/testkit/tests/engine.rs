//! Tests of the stand-in engine and of the answer check.

use serde_json::json;
use testkit::client;
use testkit::engine;
use testkit::load;
use testkit::text;

const MARKER: &str = "crash-here";
/// Maximum number of attempts in a polling loop.
const TRIES: u32 = 20_000;

fn options() -> engine::Options {
    engine::Options {
        decode: core::time::Duration::from_millis(1),
        seed: 7,
        ..engine::Options::default()
    }
}

fn call(number: u32) -> load::Call {
    let seed = engine::Length::seed(0, number);
    load::Call {
        path: "/v1/chat/completions".into(),
        model: Some("model".into()),
        tag: format!("r{number}"),
        prompt: "Describe the plate.".into(),
        seed,
        expected: engine::Length::of_seed(&options().lengths, options().seed, seed),
        stream: true,
        ..load::Call::default()
    }
}

fn client() -> client::Client {
    client::Client::new(client::Version::Http1, None)
}

/// Polls the condition until it holds.
async fn until(condition: impl Fn() -> bool) {
    for _ in 0..TRIES {
        if condition() {
            return;
        }
        tokio::time::sleep(core::time::Duration::from_millis(1)).await;
    }
    panic!("the condition did not come true");
}

/// Guards against an engine that loses, mixes up or miscounts tokens.
#[rstest::rstest]
#[tokio::test]
async fn answers_are_whole(
    #[values(client::Version::Http1, client::Version::Http2)] version: client::Version,
    #[values(true, false)] stream: bool,
    #[values("/v1/chat/completions", "/v1/completions")] path: &str,
) {
    let engine = engine::Engine::start(options()).unwrap();
    let client = client::Client::new(version, None);
    let calls: Vec<_> = (0..24)
        .map(|number| load::Call {
            stream,
            path: path.into(),
            ..call(number)
        })
        .collect();
    let sent = calls
        .iter()
        .map(|call| call.send(&client, engine.address()));
    for record in futures_util::future::join_all(sent).await {
        assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    }
    let expected: u32 = calls.iter().map(|call| call.expected).sum();
    let figures = engine.counters();
    assert_eq!(figures.tokens, u64::from(expected));
    assert_eq!((figures.completed, figures.executions), (24, 24));
    assert_eq!((figures.wasted, figures.cancelled), (0, 0));
}

/// Guards against an output length that ignores the caller's limit.
#[tokio::test]
async fn max_tokens_limits_the_output() {
    let engine = engine::Engine::start(options()).unwrap();
    let call = load::Call {
        max_tokens: Some(2),
        expected: 2,
        ..call(1)
    };
    let record = call.send(&client(), engine.address()).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    assert_eq!(record.tokens, 2);
}

/// Guards against slots that stay occupied after a cancellation.
#[rstest::rstest]
#[tokio::test]
async fn cancellation_frees_the_slot_and_counts_wasted_tokens(
    #[values(client::Version::Http1, client::Version::Http2)] version: client::Version,
    #[values(true, false)] stream: bool,
) {
    let length = engine::Length {
        median: 1e6,
        sigma: 0.0,
        max: 1_000_000,
        ..engine::Length::default()
    };
    let engine = engine::Engine::start(engine::Options {
        slots: 1,
        lengths: vec![length],
        ..options()
    })
    .unwrap();
    let address = engine.address();
    let endless = load::Call { stream, ..call(0) };
    let task = tokio::spawn(async move {
        let client = client::Client::new(version, None);
        endless.send(&client, address).await
    });
    until(|| engine.counters().tokens > 3).await;
    task.abort();
    until(|| engine.counters().cancelled == 1).await;
    let wasted = engine.counters().wasted;
    assert!(wasted > 3);
    let next = load::Call {
        max_tokens: Some(3),
        expected: 3,
        ..call(1)
    };
    let record = next.send(&client(), address).await;
    assert!(record.outcome.is_whole(), "{:?}", record.outcome);
    let figures = engine.counters();
    assert_eq!(figures.wasted, wasted);
    assert_eq!(figures.tokens, wasted + 3);
}

/// Guards against counting a request that is cancelled in the queue as a cancelled
/// execution, after which executions and their outcomes would no longer add up.
#[tokio::test]
async fn cancellation_in_the_queue_is_not_a_cancelled_execution() {
    let engine = engine::Engine::start(engine::Options {
        slots: 1,
        lengths: vec![engine::Length {
            median: 1e6,
            sigma: 0.0,
            max: 1_000_000,
            ..engine::Length::default()
        }],
        ..options()
    })
    .unwrap();
    let address = engine.address();
    let start = |number| tokio::spawn(async move { call(number).send(&client(), address).await });
    let running = start(0);
    until(|| engine.counters().executions == 1).await;
    let waiting = start(1);
    until(|| engine.waiting() == 1).await;
    waiting.abort();
    until(|| engine.waiting() == 0).await;
    assert_eq!(engine.counters().cancelled, 0);
    running.abort();
    until(|| engine.counters().cancelled == 1).await;
    assert_eq!(engine.counters().executions, 1);
}

/// Guards against a crash that leaves connections open and against a port that is not
/// reopened.
#[tokio::test]
async fn engine_reopens_its_port_after_a_crash() {
    let engine = engine::Engine::start(engine::Options {
        crash: Some(engine::Crash {
            marker: MARKER.into(),
            after_tokens: 2,
            restart_after: Some(core::time::Duration::from_millis(20)),
        }),
        ..options()
    })
    .unwrap();
    let poison = load::Call {
        prompt: format!("Some text with {MARKER} in it."),
        max_tokens: Some(50),
        ..call(0)
    };
    let record = poison.send(&client(), engine.address()).await;
    assert!(matches!(record.outcome, load::Outcome::Broken(_)));
    let client = client();
    for attempt in 0..TRIES {
        let record = call(1).send(&client, engine.address()).await;
        if record.outcome.is_whole() {
            break;
        }
        assert!(matches!(record.outcome, load::Outcome::Broken(_)));
        assert!(attempt + 1 < TRIES);
        tokio::time::sleep(core::time::Duration::from_millis(5)).await;
    }
    let figures = engine.counters();
    assert_eq!((figures.crashes, figures.lost), (1, 2));
    let runs = engine.runs();
    assert_eq!(runs.iter().filter(|tag| *tag == "r0").count(), 1);
}

/// Guards against an engine that accepts requests with an older fencing number.
#[tokio::test]
async fn older_fencing_number_is_refused() {
    let engine = engine::Engine::start(engine::Options {
        fencing: true,
        ..options()
    })
    .unwrap();
    let fenced = |number: u32| load::Call {
        headers: vec![("x-fencing-number".into(), number.to_string())],
        ..call(number)
    };
    let client = client();
    for (number, whole) in [(5, true), (5, true), (4, false), (6, true)] {
        let record = fenced(number).send(&client, engine.address()).await;
        assert_eq!(record.outcome.is_whole(), whole, "{:?}", record.outcome);
    }
    assert_eq!(engine.counters().fenced, 1);
}

/// Guards against a queue that ignores `priority`.
#[tokio::test]
async fn lower_priority_number_runs_first() {
    let engine = engine::Engine::start(engine::Options {
        slots: 1,
        ..options()
    })
    .unwrap();
    // A step of over an hour occupies the only slot while the other requests are queued.
    engine.set_slowdown(1e7);
    let address = engine.address();
    let url = format!("http://{address}/v1/completions");
    let client = client();
    let holder = call(9);
    let mut first = Box::pin(holder.send(&client, address));
    let waiting = async {
        until(|| engine.runs().len() == 1).await;
    };
    futures_util::future::select(&mut first, Box::pin(waiting)).await;
    for priority in [3, 1, 2] {
        let body = json!({"prompt": "x", "user": priority.to_string(), "priority": priority});
        let request = http::Request::post(&url)
            .header("content-type", "application/json")
            .body(body.to_string().into())
            .unwrap();
        let client = client.clone();
        tokio::spawn(async move { client.send(request).await });
    }
    for attempt in 0..TRIES {
        assert!(attempt + 1 < TRIES);
        if get(&format!("http://{address}/load")).await["waiting"] == 3 {
            break;
        }
    }
    drop(first);
    engine.set_slowdown(1.0);
    until(|| engine.runs().len() == 4).await;
    assert_eq!(engine.runs(), ["r9", "1", "2", "3"]);
}

/// Guards against a drain that interrupts running requests or is not reported.
#[tokio::test]
async fn draining_engine_finishes_running_and_refuses_new_requests() {
    let engine = engine::Engine::start(options()).unwrap();
    let client = client();
    let address = engine.address();
    let running = call(0);
    let drained = async {
        until(|| engine.counters().executions == 1).await;
        engine.drain();
        call(1).send(&client, address).await
    };
    let (running, refused) = futures_util::join!(running.send(&client, address), drained);
    assert!(running.outcome.is_whole(), "{:?}", running.outcome);
    assert!(matches!(
        refused.outcome,
        load::Outcome::Refused { status: 503, .. }
    ));
    let load = get(&format!("http://{address}/load")).await;
    assert_eq!(load["draining"], true);
    assert_eq!(load["slots"], 8);
}

/// Guards against a load report that is newer than the lag allows.
#[tokio::test]
async fn load_report_lags() {
    let engine = engine::Engine::start(engine::Options {
        report_lag: core::time::Duration::from_secs(3600),
        ..options()
    })
    .unwrap();
    let address = engine.address();
    let long = load::Call {
        max_tokens: Some(20),
        ..call(0)
    };
    let url = format!("http://{address}/load");
    let report = async {
        until(|| engine.counters().executions == 1).await;
        get(&url).await
    };
    let client = client();
    let (_, report) = futures_util::join!(long.send(&client, address), report);
    assert_eq!(report["running"], 0);
}

/// Guards against a prefix cache that never hits.
#[tokio::test]
async fn repeated_prefix_is_found_in_the_cache() {
    let engine = engine::Engine::start(options()).unwrap();
    let client = client();
    for number in 0..2 {
        let call = load::Call {
            prompt: "The same long text of a plate. ".repeat(20),
            ..call(number)
        };
        call.send(&client, engine.address()).await;
    }
    assert!(engine.counters().cached >= 128);
}

/// Guards against a check that accepts a damaged answer or misreports the fault.
#[rstest::rstest]
#[case("a/0 a/1 a/2 ", text::Verdict::Whole)]
#[case("a/0 a/1 ", text::Verdict::Truncated)]
#[case("a/0 a/1 a/2", text::Verdict::Truncated)]
#[case("a/0 a/2 ", text::Verdict::Missing)]
#[case("a/0 a/1 a/1 ", text::Verdict::Duplicated)]
#[case("a/0 b/1 a/2 ", text::Verdict::Foreign)]
#[case("a/0 a/1 a/2 a/3 ", text::Verdict::Excess)]
fn check_detects_damage(#[case] answer: &str, #[case] verdict: text::Verdict) {
    let mut check = text::Check::new("a");
    for piece in answer.as_bytes().chunks(2) {
        check.push(core::str::from_utf8(piece).unwrap());
    }
    assert_eq!(check.finish(3), verdict);
}

async fn get(url: &str) -> serde_json::Value {
    use http_body_util::BodyExt as _;

    let request = http::Request::get(url).body("".into()).unwrap();
    let response = client().send(request).await.unwrap();
    let body = response.into_body().collect().await.unwrap();
    serde_json::from_slice(&body.to_bytes()).unwrap()
}

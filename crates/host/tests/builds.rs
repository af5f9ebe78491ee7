//! Guards against streams that go on at an engine whose build is not the one that began
//! them.

mod common;

use core::time;
use std::sync;
use std::sync::atomic;

use common::script::{self, Step};
use http_body_util::BodyExt;
use http_body_util::Full;
use rstest::rstest;
use serde_json::json;
use testkit::text;

/// Time without data after which the hosts of these tests take an endpoint for
/// silent.
const STALL: time::Duration = time::Duration::from_millis(300);

/// Silence of an endpoint that goes on: three times [`STALL`].
const SILENCE: time::Duration = time::Duration::from_millis(900);

/// Longest wait for the end of an answer.
const WAIT_MAX: time::Duration = time::Duration::from_secs(8);

/// Number of tokens of each answer.
const TOKENS: u32 = 8;

/// Tag of the request that the tests observe.
const TAG: &str = "r1";

/// Number of other requests before it, which pay for its retries.
const EARLIER: u32 = 50;

type Script = fn(&script::Request) -> Vec<Step>;

/// What an endpoint does with the observed request.
#[derive(Clone)]
struct Role {
    /// Value of `system_fingerprint` in its events; absent if they have none.
    build: Option<serde_json::Value>,
    /// Answer to the first request.
    first: Script,
    /// Answer to later ones.
    later: Script,
    /// Whether the answers arrive in parts that divide events.
    is_divided: bool,
}

impl Role {
    fn new(build: &str, first: Script, later: Script) -> Self {
        Self {
            build: (!build.is_empty()).then(|| json!(build)),
            first,
            later,
            is_divided: false,
        }
    }

    /// Returns the answer to the observed request after `earlier` others of it.
    fn answer(&self, request: &script::Request, earlier: usize) -> Vec<Step> {
        let mut steps = match earlier {
            0 => (self.first)(request),
            _ => (self.later)(request),
        };
        if let Some(build) = &self.build {
            let stamped = steps.into_iter().map(|step| script::stamped(step, build));
            steps = stamped.collect();
        }
        match self.is_divided {
            true => divided(steps),
            false => steps,
        }
    }
}

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

/// Closes the connection within the third event.
fn cut_within_event(request: &script::Request) -> Vec<Step> {
    let mut steps = vec![script::stream_head(), script::events(request, 0, 3)];
    if let Some(Step::Bytes(bytes)) = steps.last_mut() {
        bytes.truncate(bytes.len() - 9);
    }
    steps
}

fn silent_within(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, 3),
        Step::Pause(SILENCE),
        script::events(request, 3, TOKENS),
        script::finish(),
        script::done(),
    ]
}

fn hang_within(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, 3),
        Step::Hang,
    ]
}

/// Sends all tokens, but not the end of the answer.
fn hang_before_end(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::events(request, 0, TOKENS),
        Step::Hang,
    ]
}

fn failure(_: &script::Request) -> Vec<Step> {
    script::refusal("500 Internal Server Error")
}

/// Sends a comment before the events.
fn deliver_after_comment(request: &script::Request) -> Vec<Step> {
    let mut steps = deliver(request);
    steps.insert(1, Step::Bytes(b": wait\n\n".to_vec()));
    steps.insert(2, Step::Pause(time::Duration::from_millis(20)));
    steps
}

/// Divides the data into parts of 11 bytes.
fn divided(steps: Vec<Step>) -> Vec<Step> {
    let mut parts = Vec::new();
    for step in steps {
        let Step::Bytes(bytes) = step else {
            parts.push(step);
            continue;
        };
        for part in bytes.chunks(11) {
            parts.push(Step::Bytes(part.to_vec()));
            parts.push(Step::Pause(time::Duration::from_millis(2)));
        }
    }
    parts
}

/// Starts an endpoint for each role. The roles go to the endpoints in the order in which
/// they are first asked for the observed request.
async fn engines(roles: Vec<Role>) -> Vec<script::Endpoint> {
    let asked = sync::Arc::new(atomic::AtomicUsize::new(0));
    let count = roles.len();
    let mut endpoints = Vec::new();
    for _ in 0..count {
        let (asked, roles) = (asked.clone(), roles.clone());
        let own = sync::OnceLock::new();
        let requests = atomic::AtomicUsize::new(0);
        let script = move |request: &script::Request| {
            if request.tag() != TAG {
                return deliver(request);
            }
            let index = *own.get_or_init(|| asked.fetch_add(1, atomic::Ordering::SeqCst));
            let earlier = requests.fetch_add(1, atomic::Ordering::SeqCst);
            roles[index].answer(request, earlier)
        };
        let served = sync::Arc::default();
        endpoints.push(script::Endpoint::start(&served, script).await);
    }
    endpoints
}

/// Answer that the caller received.
#[derive(Debug)]
struct Answer {
    /// Fingerprints of the events with text, without repetitions.
    builds: Vec<serde_json::Value>,
    is_whole: bool,
    has_error: bool,
}

/// Sends a streamed request and returns the answer.
///
/// # Panics
///
/// Panics if the answer does not end within [`WAIT_MAX`].
async fn send(host: &host::Host, tag: &str) -> Answer {
    let body = json!({
        "model": "braille", "stream": true, "user": tag,
        "messages": [{"role": "user", "content": format!("ward three {tag}")}],
    });
    let uri = format!("http://{}/v1/chat/completions", host.caller_addr());
    let request = http::Request::post(uri)
        .header("content-type", "application/json")
        .header("authorization", format!("Bearer {}", common::KEY))
        .body(Full::from(body.to_string()))
        .expect("the request is valid");
    let answer = async {
        let client = common::client();
        let response = client.send(request).await.expect("the host answers");
        assert_eq!(response.status(), http::StatusCode::OK);
        let body = response.into_body().collect().await;
        parse(tag, &body.expect("a whole body").to_bytes())
    };
    tokio::time::timeout(WAIT_MAX, answer)
        .await
        .expect("the answer ends")
}

fn parse(tag: &str, body: &[u8]) -> Answer {
    let mut check = text::Check::new(tag);
    let mut answer = Answer {
        builds: Vec::new(),
        is_whole: false,
        has_error: false,
    };
    let mut is_done = false;
    let body = String::from_utf8_lossy(body);
    for event in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        is_done |= event == "[DONE]";
        let event: serde_json::Value = serde_json::from_str(event).unwrap_or_default();
        answer.has_error |= event.get("error").is_some();
        let Some(content) = event["choices"][0]["delta"]["content"].as_str() else {
            continue;
        };
        check.push(content);
        let build = &event["system_fingerprint"];
        if answer.builds.last() != Some(build) {
            answer.builds.push(build.clone());
        }
    }
    answer.is_whole = is_done && check.finish(TOKENS) == text::Verdict::Whole;
    answer
}

/// Starts a host in front of these endpoints and sends [`EARLIER`] requests.
async fn host(endpoints: &[script::Endpoint]) -> host::Host {
    let addresses: Vec<_> = endpoints.iter().map(script::Endpoint::address).collect();
    let mut options = common::options("host-1", &addresses, &[], "");
    options.stall_timeout = STALL;
    let host = host::Host::start(options).await.expect("the host starts");
    for number in 0..EARLIER {
        let answer = send(&host, &format!("e{number}")).await;
        assert!(answer.is_whole, "{answer:?}");
    }
    host
}

/// Sends the observed request to a host in front of these endpoints.
async fn run(endpoints: &[script::Endpoint]) -> Answer {
    let host = host(endpoints).await;
    let answer = send(&host, TAG).await;
    host.shutdown().await;
    answer
}

fn cancelled(endpoints: &[script::Endpoint]) -> usize {
    endpoints.iter().map(script::Endpoint::cancelled).sum()
}

/// Guards against an interrupted stream that goes on at another build, or at an engine
/// that does not state its build.
#[rstest]
#[tokio::test]
async fn an_interrupted_stream_does_not_go_on_at_another_build(
    #[values(cut, cut_within_event)] first: Script,
    #[values("two", "")] other: &str,
    #[values(deliver, deliver_after_comment)] rest: Script,
    #[values(false, true)] is_divided: bool,
) {
    let mut role = Role::new(other, rest, rest);
    role.is_divided = is_divided;
    let roles = vec![Role::new("one", first, failure), role];
    let endpoints = engines(roles).await;
    let answer = run(&endpoints).await;
    assert_eq!(answer.builds, [json!("one")], "{answer:?}");
    assert!(answer.has_error && !answer.is_whole, "{answer:?}");
}

/// Guards against a stream that is lost because the first engine that is asked for the
/// rest has another build.
#[rstest]
#[tokio::test]
async fn an_interrupted_stream_goes_on_at_a_third_engine_of_its_build(
    #[values(cut, hang_within)] first: Script,
    #[values("two", "")] other: &str,
) {
    let roles = vec![
        Role::new("one", first, deliver),
        Role::new(other, deliver, deliver),
        Role::new("one", deliver, deliver),
    ];
    let endpoints = engines(roles).await;
    let answer = run(&endpoints).await;
    assert_eq!(answer.builds, [json!("one")], "{answer:?}");
    assert!(answer.is_whole && !answer.has_error, "{answer:?}");
}

/// Guards against a silent stream that is taken over by another build, or cancelled
/// because of it.
#[rstest]
#[case::another("two")]
#[case::unknown("")]
#[tokio::test]
async fn a_silent_stream_completes_beside_another_build(#[case] other: &str) {
    let roles = vec![
        Role::new("one", silent_within, failure),
        Role::new(other, deliver, deliver),
    ];
    let endpoints = engines(roles).await;
    let answer = run(&endpoints).await;
    assert_eq!(answer.builds, [json!("one")], "{answer:?}");
    assert!(answer.is_whole && !answer.has_error, "{answer:?}");
}

/// Guards against a run at another build that goes on after it was found not to fit.
#[tokio::test]
async fn a_run_at_another_build_is_cancelled() {
    let roles = vec![
        Role::new("one", cut, failure),
        Role::new("two", hang_before_end, hang_before_end),
    ];
    let endpoints = engines(roles).await;
    let answer = run(&endpoints).await;
    assert!(answer.has_error && !answer.is_whole, "{answer:?}");
    assert_eq!(answer.builds, [json!("one")], "{answer:?}");
    common::wait_for("the other run is cancelled", || cancelled(&endpoints) == 1).await;
}

/// Guards against a request that is refused because a run of it at another build counted
/// as a crash.
#[tokio::test]
async fn a_run_at_another_build_does_not_count_as_a_crash() {
    let roles = vec![
        Role::new("one", cut, failure),
        Role::new("two", deliver, deliver),
    ];
    let endpoints = engines(roles).await;
    let host = host(&endpoints).await;
    let answer = send(&host, TAG).await;
    assert!(answer.has_error && !answer.is_whole, "{answer:?}");
    let answer = send(&host, TAG).await;
    assert!(answer.is_whole && !answer.has_error, "{answer:?}");
    assert_eq!(answer.builds, [json!("two")], "{answer:?}");
    host.shutdown().await;
}

/// Sends events of build one, then one of build two, and closes the connection.
fn cut_after_change(request: &script::Request) -> Vec<Step> {
    vec![
        script::stream_head(),
        script::stamped(script::events(request, 0, 2), &json!("one")),
        script::stamped(script::events(request, 2, 3), &json!("two")),
    ]
}

/// Guards against a stream that goes on at the first build of a run that changed its own.
#[rstest]
#[case::last("two", true)]
#[case::first("one", false)]
#[tokio::test]
async fn a_stream_goes_on_at_the_build_of_its_last_event(
    #[case] other: &str,
    #[case] is_whole: bool,
) {
    let roles = vec![
        Role::new("", cut_after_change, failure),
        Role::new(other, deliver, deliver),
    ];
    let endpoints = engines(roles).await;
    let answer = run(&endpoints).await;
    assert_eq!(answer.builds, [json!("one"), json!("two")], "{answer:?}");
    assert_eq!(answer.is_whole, is_whole, "{answer:?}");
    assert_ne!(answer.has_error, is_whole, "{answer:?}");
}

/// Guards against a stream that no engine resumes although its events state no build, or
/// state one only from its second run on.
#[rstest]
#[case::none("", "", vec![json!(null)])]
#[case::later("", "two", vec![json!(null), json!("two")])]
#[case::same("one", "one", vec![json!("one")])]
#[tokio::test]
async fn a_stream_that_states_no_build_is_resumed_anywhere(
    #[values(cut, cut_within_event, hang_within)] first: Script,
    #[values(deliver, deliver_after_comment)] rest: Script,
    #[values(false, true)] is_divided: bool,
    #[case] build: &str,
    #[case] other: &str,
    #[case] seen: Vec<serde_json::Value>,
) {
    let mut role = Role::new(other, rest, rest);
    role.is_divided = is_divided;
    let roles = vec![Role::new(build, first, failure), role];
    let endpoints = engines(roles).await;
    let answer = run(&endpoints).await;
    assert!(answer.is_whole && !answer.has_error, "{answer:?}");
    assert_eq!(answer.builds, seen, "{answer:?}");
}

/// Guards against a stream that is not resumed because its fingerprint is null, or is
/// not a string.
#[rstest]
#[case::null(json!(null))]
#[case::empty(json!(""))]
#[case::number(json!(7))]
#[tokio::test]
async fn a_fingerprint_that_names_no_build_does_not_bind_a_stream(
    #[case] value: serde_json::Value,
) {
    let mut first = Role::new("", cut, failure);
    first.build = Some(value);
    let endpoints = engines(vec![first, Role::new("", deliver, deliver)]).await;
    let answer = run(&endpoints).await;
    assert!(answer.is_whole && !answer.has_error, "{answer:?}");
}

//! Endpoints that are silent for a while and go on, and endpoints that are asked
//! meanwhile.

use std::sync::atomic;

use super::endpoint::{self, Step};

/// Longer than each time without data after which the router tries another
/// endpoint, and shorter than the time-out of the routes.
pub const SILENCE_MS: u64 = 1_300;

/// Deadline that leaves room for the silence on a busy machine.
pub const DEADLINE: &str = "request-deadline: 8000\r\n";

pub type Script = fn(&endpoint::Request) -> Vec<Step>;

pub fn whole(from: u64, to: u64) -> String {
    (from..=to).map(endpoint::event).collect()
}

pub fn pause() -> Step {
    Step::Pause(super::ms(SILENCE_MS))
}

/// Sends all events, and is silent after two of them.
pub fn silent_after_events(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(&whole(1, 2)),
        pause(),
        endpoint::chunk(&whole(3, 6)),
        endpoint::stream_end(),
    ]
}

/// Sends all events, and is silent before the first one.
pub fn silent_after_head(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        pause(),
        endpoint::chunk(&whole(1, 6)),
        endpoint::stream_end(),
    ]
}

/// Sends a whole stream, and is silent before its head.
pub fn silent_before_head(request: &endpoint::Request) -> Vec<Step> {
    vec![
        pause(),
        endpoint::stream_head(request),
        endpoint::chunk(&whole(1, 6)),
        endpoint::stream_end(),
    ]
}

/// Sends an answer that is no stream, and is silent before its head.
pub fn silent_before_answer(request: &endpoint::Request) -> Vec<Step> {
    let mut steps = vec![pause()];
    steps.extend(endpoint::ok(request, &whole(1, 6)));
    steps
}

pub fn not_run(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 503, "x-not-run: 1\r\n", "");
    vec![Step::Bytes(text)]
}

pub fn failure(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 500, "x-signature: sig\r\n", "no");
    vec![Step::Bytes(text)]
}

pub fn reset(_: &endpoint::Request) -> Vec<Step> {
    vec![Step::Reset]
}

pub fn hang(_: &endpoint::Request) -> Vec<Step> {
    vec![Step::Hang]
}

pub fn hang_after_head(request: &endpoint::Request) -> Vec<Step> {
    vec![endpoint::stream_head(request), Step::Hang]
}

pub fn break_after_head(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        Step::Pause(super::ms(50)),
        Step::Reset,
    ]
}

/// Returns the plan of the tests with time-outs that leave room for the silence
/// on a busy machine.
pub fn plan() -> plan::Plan {
    let mut plan = super::plan(2);
    for route in &mut plan.routes {
        route.timeout = super::ms(8_000);
    }
    plan
}

/// Starts an endpoint that answers the first request by `first` and later ones
/// by `later`. Endpoints that share `served` count requests together, so the
/// endpoint that is picked first is the silent one.
pub async fn endpoint(
    id: &str,
    served: &std::sync::Arc<atomic::AtomicUsize>,
    first: Script,
    later: Script,
) -> endpoint::Endpoint {
    let served = served.clone();
    endpoint::Endpoint::start(id, move |request| {
        match served.fetch_add(1, atomic::Ordering::SeqCst) {
            0 => first(request),
            _ => later(request),
        }
    })
    .await
}

/// Asks two endpoints, of which the first one to be asked answers by `first` and the
/// other one by `later`. Returns the answer and the number of requests to them.
pub async fn ask_pair(path: &str, first: Script, later: Script) -> (super::Answer, usize) {
    let served = std::sync::Arc::default();
    let one = endpoint("e1", &served, first, later).await;
    let two = endpoint("e2", &served, first, later).await;
    let host = super::host(&[&one, &two]).await;
    host.apply_plan(plan(), "test");
    let text = super::request("POST", path, "r1", DEADLINE, "p");
    let answer = super::call(&host, &text).await;
    (answer, one.count() + two.count())
}

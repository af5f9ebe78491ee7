//! Guards against the error of another endpoint in the middle of a stream that broke, or
//! as its end.

mod common;

use common::endpoint::{self, Step};
use rstest::rstest;

type Script = fn(&endpoint::Request) -> Vec<Step>;

/// Sends the events up to 6 that the caller has not received.
fn rest(request: &endpoint::Request) -> Vec<Step> {
    let last = request.header("last-event-id");
    let last: u64 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
    let mut steps = vec![endpoint::stream_head(request)];
    steps.extend((last + 1..=6).map(|id| endpoint::chunk(&endpoint::event(id))));
    steps.push(endpoint::stream_end());
    steps
}

const ERROR: &str = "{\"error\":\"out of memory\"}";

const ERROR_EVENT: &str = "event: error\ndata: out of memory\n\n";

fn signed(request: &endpoint::Request, status: u16, body: &str) -> Vec<Step> {
    let text = endpoint::text(request, status, "x-signature: sig\r\n", body);
    vec![Step::Bytes(text)]
}

fn failure(request: &endpoint::Request) -> Vec<Step> {
    signed(request, 500, ERROR)
}

fn failure_with_events(request: &endpoint::Request) -> Vec<Step> {
    let extra = "x-signature: sig\r\ncontent-type: text/event-stream\r\n";
    let text = endpoint::text(request, 500, extra, &endpoint::event(3));
    vec![Step::Bytes(text)]
}

fn rejection(request: &endpoint::Request) -> Vec<Step> {
    signed(request, 404, ERROR)
}

fn refusal(request: &endpoint::Request) -> Vec<Step> {
    vec![Step::Bytes(endpoint::text(
        request,
        503,
        "x-not-run: 1\r\n",
        ERROR,
    ))]
}

fn misdirected(request: &endpoint::Request) -> Vec<Step> {
    vec![Step::Bytes(endpoint::text(request, 421, "", ERROR))]
}

fn failure_without_length(request: &endpoint::Request) -> Vec<Step> {
    let id = request.header("x-request-id").unwrap_or_default();
    let head = format!("HTTP/1.1 500 No\r\nx-request-id: {id}\r\nx-signature: sig\r\n\r\n");
    vec![Step::Bytes(head + ERROR), Step::Close]
}

fn success_that_is_an_error(request: &endpoint::Request) -> Vec<Step> {
    signed(request, 200, ERROR)
}

fn success_that_is_an_error_with_blank_lines(request: &endpoint::Request) -> Vec<Step> {
    signed(request, 200, &format!("{ERROR}\n\n"))
}

fn error_event(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(ERROR_EVENT),
        endpoint::stream_end(),
    ]
}

fn head_within_the_stream(request: &endpoint::Request) -> Vec<Step> {
    let text = endpoint::text(request, 500, "", ERROR);
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(&text),
        endpoint::stream_end(),
    ]
}

fn nothing(request: &endpoint::Request) -> Vec<Step> {
    vec![endpoint::stream_head(request), endpoint::stream_end()]
}

/// Answers the first request by breaking off, and the rest of a stream by a script.
fn or(script: Script) -> impl Fn(&endpoint::Request) -> Vec<Step> + Send + Sync + 'static {
    move |request| match request.header("last-event-id") {
        None => endpoint::breaks(request),
        Some(_) => script(request),
    }
}

#[rstest]
#[case::failure(failure)]
#[case::failure_with_events(failure_with_events)]
#[case::rejection(rejection)]
#[case::refusal(refusal)]
#[case::misdirected(misdirected)]
#[case::failure_without_length(failure_without_length)]
#[case::success_that_is_an_error(success_that_is_an_error)]
#[case::success_with_blank_lines(success_that_is_an_error_with_blank_lines)]
#[case::error_event(error_event)]
#[case::head_within_the_stream(head_within_the_stream)]
#[tokio::test]
async fn an_error_after_a_break_is_not_passed_on(#[case] error: Script) {
    let one = endpoint::Endpoint::start("e1", or(error)).await;
    let two = endpoint::Endpoint::start("e2", or(error)).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("POST", "/long/a", "r1", "", "p");
    let answer = common::call(&host, &text).await;
    assert_eq!(answer.status, 200);
    let events = endpoint::event(1) + &endpoint::event(2);
    assert_eq!(answer.text(), events);
    assert!(!answer.is_whole, "the stream looks complete");
}

#[rstest]
#[case::failure(failure)]
#[case::refusal(refusal)]
#[case::success_that_is_an_error(success_that_is_an_error)]
#[case::error_event(error_event)]
#[case::nothing(nothing)]
#[tokio::test]
async fn a_third_endpoint_may_go_on_after_an_error(#[case] error: Script) {
    let scripts = [error, rest];
    for order in [[0, 1, 1], [1, 0, 0], [1, 1, 0]] {
        let one = endpoint::Endpoint::start("e1", or(scripts[order[0]])).await;
        let two = endpoint::Endpoint::start("e2", or(scripts[order[1]])).await;
        let three = endpoint::Endpoint::start("e3", or(scripts[order[2]])).await;
        let host = common::host(&[&one, &two, &three]).await;
        let text = common::request("POST", "/long/a", "r1", "", "p");
        let answer = common::call(&host, &text).await;
        let whole: String = (1..=6).map(endpoint::event).collect();
        let events = endpoint::event(1) + &endpoint::event(2);
        let expected = if answer.is_whole { whole } else { events };
        assert_eq!(answer.text(), expected);
    }
}

/// Sends two events and resets the connection after them.
fn breaks_between_events(request: &endpoint::Request) -> Vec<Step> {
    match request.header("last-event-id") {
        None => vec![
            endpoint::stream_head(request),
            endpoint::chunk(&(endpoint::event(1) + &endpoint::event(2))),
            Step::Pause(common::ms(20)),
            Step::Reset,
        ],
        Some(_) => nothing(request),
    }
}

// The break may come after the last event.
#[tokio::test]
async fn a_stream_whose_rest_is_empty_is_complete() {
    let one = endpoint::Endpoint::start("e1", breaks_between_events).await;
    let two = endpoint::Endpoint::start("e2", breaks_between_events).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("POST", "/long/a", "r1", "", "p");
    let answer = common::call(&host, &text).await;
    let events = endpoint::event(1) + &endpoint::event(2);
    assert_eq!((answer.text(), answer.is_whole), (events, true));
}

fn comment(request: &endpoint::Request) -> Vec<Step> {
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(": no more\n\n"),
        endpoint::stream_end(),
    ]
}

// Guards against a lost event, of which a part has arrived.
#[rstest]
#[case::nothing(nothing)]
#[case::comment(comment)]
#[tokio::test]
async fn a_stream_whose_rest_lacks_the_event_that_broke_is_not_complete(#[case] rest: Script) {
    let one = endpoint::Endpoint::start("e1", or(rest)).await;
    let two = endpoint::Endpoint::start("e2", or(rest)).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("POST", "/long/a", "r1", "", "p");
    let answer = common::call(&host, &text).await;
    let events = endpoint::event(1) + &endpoint::event(2);
    assert!(answer.text().starts_with(&events), "{answer:?}");
    assert!(!answer.is_whole, "the stream looks complete: {answer:?}");
}

// The run that sent a part of the event may be silent and still open.
#[tokio::test]
async fn a_stream_whose_rest_lacks_the_event_of_a_silent_run_is_not_complete() {
    let script = |request: &endpoint::Request| match request.header("last-event-id") {
        None => vec![
            endpoint::stream_head(request),
            endpoint::chunk(&(endpoint::event(1) + &endpoint::event(2))),
            endpoint::chunk(&endpoint::event(3)[..7]),
            Step::Hang,
        ],
        Some(_) => nothing(request),
    };
    let one = endpoint::Endpoint::start("e1", script).await;
    let two = endpoint::Endpoint::start("e2", script).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("POST", "/long/a", "r1", "", "p");
    let answer = common::call(&host, &text).await;
    assert_eq!(answer.text(), endpoint::event(1) + &endpoint::event(2));
    assert!(!answer.is_whole, "the stream looks complete: {answer:?}");
    assert_eq!((one.count(), two.count()), (1, 1));
}

// Guards against events that come twice because the rest of a stream without ids cannot
// be asked for.
#[tokio::test]
async fn a_stream_without_ids_does_not_begin_again() {
    let script = |request: &endpoint::Request| {
        vec![
            endpoint::stream_head(request),
            endpoint::chunk("data: one\n\n"),
            Step::Pause(common::ms(20)),
            Step::Reset,
        ]
    };
    let one = endpoint::Endpoint::start("e1", script).await;
    let two = endpoint::Endpoint::start("e2", script).await;
    let host = common::host(&[&one, &two]).await;
    let text = common::request("POST", "/long/a", "r1", "", "p");
    let answer = common::call(&host, &text).await;
    assert_eq!(answer.text(), "data: one\n\n");
    assert!(!answer.is_whole, "the stream looks complete");
}

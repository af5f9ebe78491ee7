//! Guards against callers that get, as an answer, what an endpoint in trouble sent instead
//! of one: a status that ends no request, a malformed or unfinished head, or a part of a
//! body without a length.

mod common;

use core::time;
use std::collections;
use std::sync;

use base::mutex;
use common::endpoint::{self, Step};
use common::fleet;
use common::link;
use rstest::rstest;

/// Size of a request that exceeds the buffers of a connection.
const LONG_BYTES: usize = 3_000_000;

/// Body of an answer that is none. It is an event as well, so that it can be passed on as
/// a part of a stream.
const PART: &str = "id: 1\ndata: word1\n\n";

/// What an endpoint in trouble sends.
#[derive(Clone, Copy, Debug)]
enum Odd {
    /// A whole answer with this status.
    Status(&'static str),
    /// A whole answer whose head contains this line.
    Line(&'static str),
    /// The head of an answer up to this text, which it contains, and the end of the
    /// connection.
    Cut(&'static str),
    /// The same with a reset.
    CutByReset(&'static str),
    /// A part of an answer without a length, and a reset this many milliseconds later.
    Early(u64),
    /// The same, with the end of the answer before the reset.
    EarlyEnd(u64),
}

impl Odd {
    const fn is_early(self) -> bool {
        matches!(self, Self::Early(_) | Self::EarlyEnd(_))
    }

    fn steps(self, request: &endpoint::Request) -> Vec<Step> {
        let id = request.header("x-request-id").unwrap_or_default();
        let head = |status: &str, line: &str| {
            format!("HTTP/1.1 {status}\r\nx-request-id: {id}\r\nx-signature: sig\r\n{line}")
        };
        let length = format!("content-length: {}\r\n\r\n", PART.len());
        let whole = |status, line| vec![Step::Bytes(head(status, line) + &length + PART)];
        let cut = |at: &str| {
            let whole = head("200 OK", &length);
            let end = whole.find(at).expect("a part of the head") + at.len();
            Step::Bytes(whole[..end].to_owned())
        };
        let part = || Step::Bytes(head("200 OK", "\r\n") + PART);
        match self {
            Self::Status(status) => whole(status, ""),
            Self::Line(line) => whole("200 OK", line),
            Self::Cut(at) => vec![cut(at), Step::Close],
            Self::CutByReset(at) => vec![cut(at), Step::Pause(common::ms(10)), Step::Reset],
            Self::Early(pause) => vec![part(), Step::Pause(common::ms(pause)), Step::Reset],
            Self::EarlyEnd(pause) => vec![
                part(),
                Step::Finish,
                Step::Pause(common::ms(pause)),
                Step::Reset,
            ],
        }
    }

    /// Starts an endpoint in trouble. With `is_kept`, the first answer on each connection
    /// is sound. With `is_rest`, only requests for the rest of a stream are answered like
    /// this; streams that begin break off.
    async fn start(self, id: &str, is_kept: bool, is_rest: bool) -> endpoint::Endpoint {
        let used = sync::Mutex::new(collections::HashSet::new());
        let script = move |request: &endpoint::Request| {
            let is_first = mutex::lock(&used).insert(request.connection);
            if is_rest && request.header("last-event-id").is_none() {
                return endpoint::breaks(request);
            }
            match is_kept && is_first {
                true => sound(request),
                false => self.steps(request),
            }
        };
        match self.is_early() {
            true => endpoint::Endpoint::start_early(id, script).await,
            false => endpoint::Endpoint::start(id, script).await,
        }
    }

    fn body(self) -> String {
        match self.is_early() {
            true => "p".repeat(LONG_BYTES),
            false => "p".to_owned(),
        }
    }
}

/// Answers with the events up to 6 that the caller has not received.
fn sound(request: &endpoint::Request) -> Vec<Step> {
    let last = request.header("last-event-id");
    let last: u64 = last.and_then(|id| id.parse().ok()).unwrap_or(0);
    let events: String = (last + 1..=6).map(endpoint::event).collect();
    if request.head.contains("/look/") {
        return endpoint::ok(request, &events);
    }
    vec![
        endpoint::stream_head(request),
        endpoint::chunk(&events),
        endpoint::stream_end(),
    ]
}

fn whole() -> String {
    (1..=6).map(endpoint::event).collect()
}

/// Returns a request with time for retries on a busy machine.
fn request(path: &str, id: &str, body: &str) -> String {
    common::request("POST", path, id, "request-deadline: 10000\r\n", body)
}

/// Checks that what a caller has got is no whole answer of an endpoint.
fn check_refused(answer: &common::Answer) {
    if answer.status == 200 {
        // A stream has begun before its endpoint was in trouble.
        assert!(!answer.is_whole, "it looks complete: {answer:?}");
        assert!(whole().starts_with(&answer.text()), "{answer:?}");
        return;
    }
    assert!([502, 503, 504].contains(&answer.status), "{answer:?}");
    assert_eq!(answer.header("x-signature"), None, "{answer:?}");
    assert!(!answer.text().contains("word"), "{answer:?}");
}

#[rstest]
#[case::status_000(Odd::Status("000 None"))]
#[case::status_099(Odd::Status("099 None"))]
#[case::status_101(Odd::Status("101 Switching Protocols"))]
#[case::status_600(Odd::Status("600 None"))]
#[case::status_999(Odd::Status("999 None"))]
#[case::status_of_two_digits(Odd::Status("20 OK"))]
#[case::status_of_four_digits(Odd::Status("2000 OK"))]
#[case::status_with_a_sign(Odd::Status("+20 OK"))]
#[case::upgrade(Odd::Line("connection: upgrade\r\nupgrade: x\r\nx bad: 1\r\n"))]
#[case::blank_in_a_name(Odd::Line("x bad: 1\r\n"))]
#[case::blank_after_a_name(Odd::Line("x-bad : 1\r\n"))]
#[case::blank_after_the_name_of_the_length(Odd::Line("content-length : 4\r\n"))]
#[case::blank_before_a_name(Odd::Line(" x-bad: 1\r\n"))]
#[case::no_name(Odd::Line(": 1\r\n"))]
#[case::no_colon(Odd::Line("x-bad\r\n"))]
#[case::zero_in_a_name(Odd::Line("x\0bad: 1\r\n"))]
#[case::control_in_a_name(Odd::Line("x\u{1}bad: 1\r\n"))]
#[case::tab_in_a_name(Odd::Line("x\tbad: 1\r\n"))]
#[case::carriage_return_in_a_name(Odd::Line("x\rbad: 1\r\n"))]
#[case::delete_in_a_name(Odd::Line("x\u{7f}bad: 1\r\n"))]
#[case::second_length(Odd::Line("content-length: 4\r\n"))]
#[case::cut_in_the_status(Odd::Cut("HTTP/1.1 20"))]
#[case::cut_after_the_status(Odd::Cut("200 OK\r\n"))]
#[case::cut_in_a_name(Odd::Cut("content-le"))]
#[case::cut_in_the_length(Odd::Cut("content-length: 1"))]
#[case::cut_before_the_blank_line(Odd::Cut("content-length: 19\r\n"))]
#[case::cut_in_the_blank_line(Odd::Cut("content-length: 19\r\n\r"))]
#[case::reset_in_the_status(Odd::CutByReset("HTTP/1.1 20"))]
#[case::reset_in_the_length(Odd::CutByReset("content-length: 1"))]
#[case::reset_before_the_blank_line(Odd::CutByReset("content-length: 19\r\n"))]
#[case::early_reset(Odd::Early(0))]
#[case::early_reset_after_5_ms(Odd::Early(5))]
#[case::early_reset_after_50_ms(Odd::Early(50))]
#[case::early_end(Odd::EarlyEnd(0))]
#[case::early_end_and_reset_after_50_ms(Odd::EarlyEnd(50))]
#[tokio::test]
async fn what_is_no_answer_is_not_passed_on(#[case] odd: Odd) {
    may_be_repeated(odd, false).await;
    if !odd.is_early() {
        may_be_repeated(odd, true).await;
    }
    may_not_be_repeated(odd).await;
    goes_on(odd).await;
}

/// Least number of requests on each path.
const ROUNDS: usize = 6;

/// Most requests on each path until the endpoint in trouble is asked. The host chooses the
/// endpoint and the connection.
const ROUNDS_MAX: usize = 100;

/// Returns whether an endpoint was asked, on a connection that had carried a request
/// before if `is_kept`.
fn is_asked(endpoint: &endpoint::Endpoint, is_kept: bool) -> bool {
    let mut connections = collections::HashSet::new();
    let requests = endpoint.requests().into_iter();
    requests
        .map(|request| connections.insert(request.connection))
        .any(|is_first| !(is_kept && is_first))
}

/// Requests that may be repeated are answered by the other endpoint, or by none.
async fn may_be_repeated(odd: Odd, is_kept: bool) {
    let one = odd.start("e1", is_kept, false).await;
    let two = endpoint::Endpoint::start("e2", sound).await;
    let host = common::host(&[&one, &two]).await;
    let mut round = 0;
    while round < ROUNDS || !is_asked(&one, is_kept) {
        assert!(round < ROUNDS_MAX, "the endpoint in trouble was not asked");
        for path in ["/look/a", "/long/a"] {
            let text = request(path, &format!("{path}{round}"), &odd.body());
            let answer = common::call(&host, &text).await;
            assert_eq!(answer.status, 200, "{path} {answer:?}");
            assert_eq!(answer.text(), whole(), "{path}");
            assert!(answer.is_whole, "{path} {answer:?}");
        }
        round += 1;
    }
    if is_kept {
        return;
    }
    common::list(&host, &[&one], 2);
    for path in ["/look/a", "/long/a"] {
        check_refused(&common::call(&host, &request(path, "last", &odd.body())).await);
    }
}

/// Requests that may not be repeated have run at most once.
async fn may_not_be_repeated(odd: Odd) {
    for path in ["/book/a", "/live/a"] {
        let one = odd.start("e1", false, false).await;
        let two = odd.start("e2", false, false).await;
        let host = common::host(&[&one, &two]).await;
        let answer = common::call(&host, &request(path, "r1", &odd.body())).await;
        check_refused(&answer);
        // A 503 would state that the request has not run.
        assert_ne!(answer.status, 503, "{answer:?}");
        assert_eq!(one.count() + two.count(), 1, "{path}");
    }
}

/// Streams go on at the sound endpoint only.
async fn goes_on(odd: Odd) {
    let text = request("/long/a", "r1", &odd.body());
    let one = odd.start("e1", false, true).await;
    let two = odd.start("e2", false, true).await;
    let host = common::host(&[&one, &two]).await;
    check_refused(&common::call(&host, &text).await);
    let third = endpoint::Endpoint::start("e3", sound).await;
    common::list(&host, &[&one, &two, &third], 2);
    for round in 0..6 {
        let text = request("/long/a", &format!("s{round}"), &odd.body());
        let answer = common::call(&host, &text).await;
        match answer.is_whole {
            true => assert_eq!((answer.status, answer.text()), (200, whole())),
            false => check_refused(&answer),
        }
    }
}

/// Longest wait until two hosts know each other.
const MEETING: time::Duration = time::Duration::from_secs(10);

// The same where the answer arrives through another host.
#[rstest]
#[case::status_000(1, Odd::Status("000 None"))]
#[case::status_101(2, Odd::Status("101 Switching Protocols"))]
#[case::status_600(3, Odd::Status("600 None"))]
#[case::blank_in_a_name(4, Odd::Line("x bad: 1\r\n"))]
#[case::control_in_a_name(5, Odd::Line("x\u{1}bad: 1\r\n"))]
#[case::cut_in_the_length(6, Odd::Cut("content-length: 1"))]
#[case::early_reset(7, Odd::Early(5))]
#[case::early_end(8, Odd::EarlyEnd(50))]
#[tokio::test]
async fn what_is_no_answer_is_not_passed_on_by_another_host(#[case] net: u8, #[case] odd: Odd) {
    let hosts = fleet::start_hosts([91, net], 2).await;
    let one = odd.start("e1", false, false).await;
    let link = link::Link::start(one.address).await;
    for (host, address) in hosts.iter().zip([link.address, one.address]) {
        let listed = plan::Endpoint {
            address,
            ..one.listed()
        };
        let entry = edge::Entry::Endpoint(listed);
        let entries = vec![(one.id.clone(), entry, 1)];
        host.update_endpoints(|now, registry| registry.replace(now, entries, 1));
        host.confirm_plan();
    }
    let meet = async {
        while hosts.iter().any(|host| host.caller_addresses("").len() < 2) {
            tokio::time::sleep(common::ms(20)).await;
        }
    };
    tokio::time::timeout(MEETING, meet)
        .await
        .expect("hosts meet");
    link.set(link::State::Refuse);
    let mut asked = 0;
    for round in 0..20 {
        for path in ["/book/a", "/live/a", "/look/a", "/long/a"] {
            let id = format!("{path}{round}");
            let answer = common::call(&hosts[0], &request(path, &id, &odd.body())).await;
            check_refused(&answer);
            let requests = one.requests();
            let own = requests.iter().filter(|own| own.head.contains(&id));
            let runs = own.count();
            assert!(runs <= 1 || !["/book/a", "/live/a"].contains(&path));
            assert!(runs == 0 || answer.status != 503 || path != "/book/a");
            asked += runs;
        }
        if asked > 8 {
            break;
        }
        tokio::time::sleep(common::ms(200)).await;
    }
    assert!(asked > 0, "the other host has sent no request");
    assert!(
        hosts[0].metrics.text().contains("forwards"),
        "the host has sent itself"
    );
}

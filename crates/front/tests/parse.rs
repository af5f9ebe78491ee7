//! Tests of the request parsers. They guard against input of callers that causes
//! a panic, exceeds a limit unnoticed or changes its meaning on the way to an
//! endpoint.

use core::time;

use answer::Kind;
use proptest::prelude::*;
use proptest::test_runner;
use rstest::rstest;

/// Number of cases for each parser in the long run.
const MILLION: u32 = 1_000_000;
const NAMES: [&str; 9] = [
    "authorization",
    "request-deadline",
    "idempotency-key",
    "request-time",
    "request-idempotent",
    "connection",
    "host",
    "x-fencing-number",
    "x-note",
];
const BODY: &[u8] =
    br#"{"model":"braille","stream":true,"max_tokens":9,"messages":[{"content":"\u00e9"}]}"#;

type Check = Result<(), test_runner::TestCaseError>;

fn run<S: Strategy>(cases: u32, strategy: S, check: impl Fn(S::Value) -> Check) {
    let config = test_runner::Config {
        cases,
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let mut runner = test_runner::TestRunner::new(config);
    if let Err(failure) = runner.run(&strategy, check) {
        panic!("{failure}");
    }
}

fn text() -> impl Strategy<Value = String> {
    prop_oneof![
        "\\PC{0,40}",
        "[Bb]earer ?[!-~]{0,30}",
        "[+0-9]{1,21}",
        "[0-9]{4}-[0-9]{2}-[0-9]{2}[Tt ][0-9]{2}:[0-9]{2}:[0-9]{2}(\\.[0-9]{1,9})?([Zz]|[-+][0-9]{2}:[0-9]{2}|)",
        "(true|false|close|x-note, host|, ,)",
    ]
}

fn headers() -> impl Strategy<Value = http::HeaderMap> {
    let value = prop_oneof![
        text().prop_map(String::into_bytes),
        proptest::collection::vec(any::<u8>(), 0..40),
    ];
    let field = (0..NAMES.len(), value);
    proptest::collection::vec(field, 0..8).prop_map(|fields| {
        let fields = fields.into_iter().filter_map(|(name, value)| {
            let value = http::HeaderValue::from_bytes(&value).ok()?;
            Some((http::HeaderName::from_static(NAMES[name]), value))
        });
        let mut headers = http::HeaderMap::new();
        for (name, value) in fields {
            headers.append(name, value);
        }
        headers
    })
}

fn check_head(headers: &http::HeaderMap) -> Check {
    let options = front::Options {
        header_bytes_max: 60,
        header_count_max: 4,
        ..front::Options::default()
    };
    let bounds = front::parse::bounds(&http::Uri::from_static("/"), headers, &options);
    let lengths = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len());
    let is_small = headers.len() <= 4 && lengths.sum::<usize>() <= 60;
    prop_assert_eq!(bounds.is_ok(), is_small);
    let Ok(head) = front::parse::head(headers) else {
        return Ok(());
    };
    for name in ["authorization", "host", "connection", "x-fencing-number"] {
        prop_assert!(!head.forwarded.contains_key(name));
    }
    prop_assert_ne!(head.idempotency_key.map(|key| key.len()), Some(0));
    Ok(())
}

fn check_values(text: &str) -> Check {
    if let Ok(key) = front::parse::bearer(text) {
        prop_assert!(!key.is_empty());
        prop_assert_eq!(key.trim(), &key);
    }
    if let Ok(deadline) = front::parse::deadline(text) {
        prop_assert!(deadline >= time::Duration::from_millis(1));
        prop_assert!(deadline <= time::Duration::from_secs(86_400));
    }
    drop(front::parse::request_time(text));
    Ok(())
}

fn check_time(millis: u64) -> Check {
    let time = std::time::UNIX_EPOCH + time::Duration::from_millis(millis);
    let text = humantime::format_rfc3339_millis(time).to_string();
    prop_assert_eq!(front::parse::request_time(&text), Ok(millis));
    let east = text.replace('Z', "+02:30");
    let expected = millis.checked_sub(150 * 60_000);
    prop_assert_eq!(front::parse::request_time(&east).ok(), expected);
    Ok(())
}

fn check_path(text: &str) -> Check {
    let Ok(uri) = text.parse::<http::Uri>() else {
        return Ok(());
    };
    if let Ok(front::Target::Service { name, path }) = front::parse::target(&uri) {
        prop_assert!(!name.is_empty() && !name.contains('/'));
        let sent: http::Uri = format!("http://127.0.0.1:1{path}").parse().expect("valid");
        prop_assert_eq!(sent.query(), uri.query());
        prop_assert_eq!(format!("/services/{name}{}", sent.path()), uri.path());
    }
    Ok(())
}

fn bodies() -> impl Strategy<Value = Vec<u8>> {
    let change = (0..BODY.len(), any::<u8>());
    prop_oneof![
        proptest::collection::vec(any::<u8>(), 0..80),
        "[\\[\\]{}\":,model0-9e.]{0,80}".prop_map(String::into_bytes),
        proptest::collection::vec(change, 0..4).prop_map(|changes| {
            let mut body = BODY.to_vec();
            for (at, value) in changes {
                body[at] = value;
            }
            body
        }),
    ]
}

fn check_body(body: &[u8]) -> Check {
    if let Ok(completion) = front::parse::completion(body) {
        prop_assert_eq!(completion.prompt_tokens as usize, body.len() / 4);
    }
    Ok(())
}

fn every_parser(cases: u32) {
    let start = std::time::Instant::now();
    run(cases, headers(), |headers| check_head(&headers));
    println!("head: {cases} cases by {:?}", start.elapsed());
    run(cases, text(), |text| check_values(&text));
    println!("values: {cases} cases by {:?}", start.elapsed());
    run(cases, 0..253_402_300_799_999_u64, check_time);
    println!("Request-Time: {cases} cases by {:?}", start.elapsed());
    let path = "(/services)?/[!-~]{0,12}/?[!-~]{0,20}";
    run(cases, path, |path| check_path(&path));
    println!("path: {cases} cases by {:?}", start.elapsed());
    run(cases, bodies(), |body| check_body(&body));
    println!("body: {cases} cases by {:?}", start.elapsed());
}

#[test]
fn arbitrary_input_does_not_panic() {
    every_parser(2_000);
}

/// Runs a million cases of each parser:
/// `cargo test --release -p front --test parse -- --ignored --nocapture`.
#[test]
#[ignore = "takes minutes"]
fn a_million_cases_do_not_panic() {
    every_parser(MILLION);
}

/// Guards against a request that is refused or treated as too old because the time
/// of its first attempt was parsed wrongly.
#[rstest]
#[case("1796000000000", Some(1_796_000_000_000))]
#[case("1970-01-01T00:00:01.5Z", Some(1_500))]
#[case("1970-01-01t02:30:01z", Some(9_001_000))]
#[case("1970-01-01T02:30:01+02:30", Some(1_000))]
#[case("1970-01-01T00:00:00-00:01", Some(60_000))]
#[case("1970-01-01T00:00:00+00:01", None)]
#[case("1970-01-01T00:00:00+24:00", None)]
#[case("1970-01-01T00:00:00", None)]
#[case("1969-12-31T23:59:59Z", None)]
#[case("-5", None)]
#[case("", None)]
fn request_times_are_parsed_in_both_formats(#[case] text: &str, #[case] expected: Option<u64>) {
    assert_eq!(front::parse::request_time(text).ok(), expected);
}

/// Guards against a percent-encoded path that is decoded and so gains a query, a
/// line break or another meaning on its way to the endpoint.
#[rstest]
#[case("/services/orders/confirm%3Fx=1?y=2", "orders", "/confirm%3Fx=1?y=2")]
#[case("/services/orders/a%0d%0ab/c%2Fd", "orders", "/a%0d%0ab/c%2Fd")]
#[case("http://host/services/orders//x/", "orders", "//x/")]
fn paths_stay_escaped(#[case] uri: &str, #[case] name: &str, #[case] path: &str) {
    let expected = front::Target::Service {
        name: name.to_owned(),
        path: path.to_owned(),
    };
    let uri = uri.parse().expect("a URI");
    assert_eq!(front::parse::target(&uri), Ok(expected));
}

/// Guards against a request that is interpreted in two ways: the router uses one
/// value of a header and the endpoint the other.
#[test]
fn a_repeated_value_is_refused() {
    for name in &NAMES[..5] {
        let mut headers = http::HeaderMap::new();
        headers.append(*name, http::HeaderValue::from_static("1"));
        headers.append(*name, http::HeaderValue::from_static("2"));
        let refusal = front::parse::head(&headers).expect_err("two values");
        assert_eq!(refusal.kind, Kind::BadRequest);
    }
}

/// Guards against hop-by-hop headers that are forwarded to the endpoint.
#[test]
fn headers_named_by_connection_are_dropped() {
    let mut headers = http::HeaderMap::new();
    headers.append(
        "connection",
        http::HeaderValue::from_static("close, X-Note"),
    );
    headers.append("x-note", http::HeaderValue::from_static("1"));
    headers.append("x-kept", http::HeaderValue::from_static("1"));
    let forwarded = front::parse::head(&headers).expect("valid").forwarded;
    assert_eq!(forwarded.len(), 1);
    assert!(forwarded.contains_key("x-kept"));
}

/// Guards against refusing bodies in which clients send absent fields as null.
#[test]
fn null_fields_count_as_absent() {
    let body = br#"{"model":"m","stream":null,"max_tokens":null,"max_completion_tokens":7}"#;
    let completion = front::parse::completion(body).expect("valid");
    assert!(!completion.is_stream);
    assert_eq!(completion.max_tokens, Some(7));
}

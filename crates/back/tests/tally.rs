//! Tests of `EventCounter`.

use rstest::rstest;

const STREAM: &str = "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\n: comment\n\ndata: [DONE]\n\n";

/// Guards against events that are missed or counted twice because a chunk ends
/// within a line.
#[rstest]
#[case(1)]
#[case(3)]
#[case(7)]
#[case(1_000)]
fn chunk_boundaries_do_not_matter(#[case] size: usize) {
    let mut counter = back::EventCounter::default();
    for chunk in STREAM.as_bytes().chunks(size) {
        counter.push(chunk);
    }
    assert_eq!(counter.tokens(), 2);
    assert!(counter.is_done());
}

/// Guards against a truncated stream that is mistaken for a complete one.
#[test]
fn a_truncated_stream_is_not_done() {
    let mut counter = back::EventCounter::default();
    counter.push(b"data: {}\n\ndata: [DO");
    assert_eq!(counter.tokens(), 1);
    assert!(!counter.is_done());
}

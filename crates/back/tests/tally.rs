//! Tests of the event count.

use rstest::rstest;

const STREAM: &str = "data: {\"a\":1}\n\ndata: {\"b\":2}\r\n\r\n: comment\n\ndata: [DONE]\n\n";

/// Guards against events that are missed or counted twice when a chunk ends
/// inside a line.
#[rstest]
#[case(1)]
#[case(3)]
#[case(7)]
#[case(1_000)]
fn chunk_boundaries_do_not_matter(#[case] size: usize) {
    let mut tally = back::EventCounter::default();
    for chunk in STREAM.as_bytes().chunks(size) {
        tally.push(chunk);
    }
    assert_eq!(tally.tokens(), 2);
    assert!(tally.is_done());
}

/// Guards against a cut stream that passes for a whole one.
#[test]
fn a_cut_stream_is_not_done() {
    let mut tally = back::EventCounter::default();
    tally.push(b"data: {}\n\ndata: [DO");
    assert_eq!(tally.tokens(), 1);
    assert!(!tally.is_done());
}

//! Scripts of endpoints that send bytes without end which are no answer.

use crate::common::endpoint::{self, Step};

/// Bytes that an endpoint sends if nobody stops it.
const FLOOD: usize = 512 << 20;

fn filler(byte: char) -> String {
    byte.to_string().repeat(32 * 1024)
}

/// A field of the head without end.
pub fn long_field(_: &endpoint::Request) -> Vec<Step> {
    let begin = "HTTP/1.1 200 OK\r\nx-signature: ".to_owned();
    vec![Step::Bytes(begin), Step::Flood(filler('a'), FLOOD)]
}

/// A head with fields without end.
pub fn many_fields(_: &endpoint::Request) -> Vec<Step> {
    let fields = "x-more: yes\r\n".repeat(2_000);
    let begin = "HTTP/1.1 200 OK\r\n".to_owned();
    vec![Step::Bytes(begin), Step::Flood(fields, FLOOD)]
}

/// Interim answers without end.
pub fn interim(_: &endpoint::Request) -> Vec<Step> {
    let heads = "HTTP/1.1 103 Early\r\nlink: x\r\n\r\n".repeat(1_000);
    vec![Step::Flood(heads, FLOOD)]
}

/// An event without end, before any other one.
pub fn first_event(request: &endpoint::Request) -> Vec<Step> {
    let text = filler('a');
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    vec![endpoint::stream_head(request), Step::Flood(chunk, FLOOD)]
}

/// An event without end, after a complete one.
pub fn later_event(request: &endpoint::Request) -> Vec<Step> {
    let mut steps = first_event(request);
    steps.insert(1, endpoint::chunk(&endpoint::event(1)));
    steps
}

/// Lines of an event without its end.
pub fn lines(request: &endpoint::Request) -> Vec<Step> {
    let text = "data: a\n".repeat(4_096);
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    vec![endpoint::stream_head(request), Step::Flood(chunk, FLOOD)]
}

/// Comments without an event.
pub fn comments(request: &endpoint::Request) -> Vec<Step> {
    let text = ": wait\n\n".repeat(4_096);
    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
    vec![endpoint::stream_head(request), Step::Flood(chunk, FLOOD)]
}

/// The chunks of an answer with a single body, without the last one.
pub fn body(request: &endpoint::Request) -> Vec<Step> {
    first_event(request)
}

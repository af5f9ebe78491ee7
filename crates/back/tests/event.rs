//! Tests of `back::event`.

use back::event;
use bytes::Bytes;
use rstest::rstest;

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

/// Returns three events, the second one after comments.
fn stream(end: &str) -> String {
    let lines = [
        "id: 1", "data: a", "", ": wait", "", ": on", "id: 2", "data: b", "", "data: c", "",
    ];
    lines.map(|line| format!("{line}{end}")).concat()
}

fn events(splitter: &mut event::Splitter) -> Vec<Bytes> {
    core::iter::from_fn(|| splitter.next_event()).collect()
}

// Guards against events that are merged or lost because a read ends within them.
#[rstest]
fn events_are_split_wherever_reads_end(#[values("\n", "\r\n", "\r")] end: &str) {
    let text = stream(end);
    for cut in 0..text.len() {
        let mut splitter = event::Splitter::default();
        let mut found = Vec::new();
        for part in [&text[..cut], &text[cut..]] {
            splitter.push(part.as_bytes());
            found.extend(events(&mut splitter));
        }
        let ids: Vec<_> = found.iter().map(|event| event::id(event)).collect();
        assert_eq!(ids, [Some(1), Some(2), None], "cut at {cut}");
        assert_eq!(found.concat(), text.as_bytes(), "cut at {cut}");
        assert_eq!(splitter.finish(), Ok(Bytes::new()), "cut at {cut}");
    }
}

// Guards against comments that are held back where events are passed on in blocks.
#[rstest]
fn blocks_are_split_wherever_reads_end(#[values("\n", "\r\n", "\r")] end: &str) {
    let text = stream(end) + &format!(": last{end}{end}");
    for cut in 0..text.len() {
        let mut splitter = event::Splitter::default();
        let mut found = Vec::new();
        for part in [&text[..cut], &text[cut..]] {
            let blocks = splitter.split(Bytes::copy_from_slice(part.as_bytes()));
            let is_whole = blocks.is_empty() || blocks.ends_with(end.as_bytes());
            assert!(is_whole, "cut at {cut}: {blocks:?}");
            found.extend_from_slice(&blocks);
        }
        assert_eq!(found, text.as_bytes(), "cut at {cut}");
        assert_eq!(splitter.pending(), 0, "cut at {cut}");
    }
}

// Guards against a stream that counts as whole although its end lies within an event.
#[test]
fn a_stream_is_whole_only_at_the_end_of_an_event() {
    for end in LINE_ENDS {
        let text = stream(end);
        let whole: Vec<usize> = {
            let mut splitter = event::Splitter::default();
            splitter.push(text.as_bytes());
            let lengths = events(&mut splitter).into_iter().map(|event| event.len());
            lengths.collect()
        };
        let ends = [0, whole[0], whole[0] + whole[1], text.len()];
        for cut in 0..=text.len() {
            let mut splitter = event::Splitter::default();
            splitter.push(&text.as_bytes()[..cut]);
            let found = events(&mut splitter).concat();
            let rest = &text[found.len()..cut];
            let is_comment = rest.starts_with([':', '\n', '\r']) && rest.ends_with(['\n', '\r']);
            let is_whole = ends.contains(&cut) || (is_comment && !rest.contains("id"));
            let expected = match is_whole {
                true => Ok(Bytes::copy_from_slice(rest.as_bytes())),
                false => Err(event::Error { bytes: rest.len() }),
            };
            assert_eq!(
                splitter.finish(),
                expected,
                "{end:?} cut at {cut}: {rest:?}"
            );
        }
    }
}

#[rstest]
#[case::events(200, "text/event-stream", true)]
#[case::events_with_a_charset(200, "Text/Event-Stream; charset=utf-8", true)]
#[case::no_type(200, "", true)]
#[case::json(200, "application/json", false)]
#[case::failure(500, "", false)]
#[case::failure_as_events(500, "text/event-stream", true)]
fn responses_with_events_are_streams(
    #[case] status: u16,
    #[case] kind: &'static str,
    #[case] is_stream: bool,
) {
    let status = http::StatusCode::from_u16(status).expect("a status");
    let mut headers = http::HeaderMap::new();
    if !kind.is_empty() {
        let value = http::HeaderValue::from_static(kind);
        headers.insert(http::header::CONTENT_TYPE, value);
    }
    assert_eq!(event::is_stream(status, &headers), is_stream);
}

use core::time;
use std::fmt;

use bytes::Bytes;

use crate::record;
use crate::step;

/// Longest request identity that is logged, in bytes.
const ID_MAX: usize = 64;

/// A request that was admitted, with what the router knows of it.
#[derive(Debug)]
pub(crate) struct Job {
    /// Identity for logs, bounded and printable.
    pub(crate) id: String,
    /// Identity as the caller sent it, which endpoints echo.
    pub(crate) raw_id: Option<http::HeaderValue>,
    /// Arrival since the start of the process.
    pub(crate) arrived: time::Duration,
    /// When the final answer is due, since the start of the process.
    pub(crate) due: time::Duration,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    /// Headers for the endpoint, but for those of one attempt.
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: plan::Route,
    pub(crate) revision: u64,
    pub(crate) service: String,
    pub(crate) team: Option<String>,
    pub(crate) rank: plan::Rank,
    pub(crate) work: steer::Work,
    /// Same for repeats of the same content by the same caller.
    pub(crate) fingerprint: u64,
    /// Last event that the caller has already.
    pub(crate) last_event: Option<u64>,
    pub(crate) record: record::Record,
    /// Longest pause between two events that were passed on.
    pub(crate) longest_gap: time::Duration,
}

impl Job {
    /// Returns the time that is left.
    pub(crate) const fn left(&self, now: time::Duration) -> time::Duration {
        self.due.saturating_sub(now)
    }

    /// Records a decision.
    pub(crate) fn note(
        &mut self,
        now: time::Duration,
        what: &'static str,
        inputs: fmt::Arguments<'_>,
    ) {
        let at = now.saturating_sub(self.arrived);
        self.record
            .note(&self.id, step::Step::new(at, what, inputs));
    }
}

/// Returns a request identity that is safe to log.
pub(crate) fn printable(raw: Option<&http::HeaderValue>) -> String {
    let Some(raw) = raw else {
        return String::new();
    };
    raw.as_bytes()
        .iter()
        .take(ID_MAX)
        .map(|&byte| {
            let is_plain = byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
            if is_plain { char::from(byte) } else { '?' }
        })
        .collect()
}

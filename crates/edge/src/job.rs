use core::time;
use std::fmt;

use bytes::Bytes;

use crate::record;
use crate::step;

/// Longest request id that is logged, in bytes.
const ID_MAX_BYTES: usize = 64;

/// An admitted request with its route, team and deadline.
#[derive(Debug)]
pub(crate) struct Job {
    /// Request id for logs: printable and of bounded length.
    pub(crate) id: String,
    /// Request id as the caller sent it; endpoints echo it.
    pub(crate) raw_id: Option<http::HeaderValue>,
    /// Arrival, since the start of the process.
    pub(crate) arrived: time::Duration,
    /// Deadline of the answer, since the start of the process.
    pub(crate) due: time::Duration,
    pub(crate) method: http::Method,
    pub(crate) uri: http::Uri,
    /// Headers for the endpoint without those that differ between attempts.
    pub(crate) headers: http::HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) route: plan::Route,
    /// Version of the configuration by which the request was admitted.
    pub(crate) plan: plan::Version,
    pub(crate) service: String,
    pub(crate) team: Option<String>,
    pub(crate) rank: plan::Rank,
    pub(crate) work: steer::Work,
    /// Hash of the caller's key and the content; equal for repeated requests.
    pub(crate) fingerprint: u64,
    /// Id of the last event that the caller has already received.
    pub(crate) last_event: Option<u64>,
    /// Request that brought the first event of the stream, if the caller resumes it.
    pub(crate) origin: Option<http::HeaderValue>,
    pub(crate) record: record::Record,
    /// Longest gap between two events that were passed on.
    pub(crate) longest_gap: time::Duration,
}

impl Job {
    /// Returns the time left until the deadline.
    pub(crate) const fn left(&self, now: time::Duration) -> time::Duration {
        self.due.saturating_sub(now)
    }

    /// Records a decision for the request log; `what` names the step and
    /// `inputs` describes what it was based on.
    pub(crate) fn log_step(
        &mut self,
        now: time::Duration,
        what: &'static str,
        inputs: fmt::Arguments<'_>,
    ) {
        let at = now.saturating_sub(self.arrived);
        self.record
            .push(&self.id, step::Step::new(at, what, inputs));
    }
}

/// Returns a request id that is safe to log: other than printable ASCII,
/// quotes and backslashes become `?`.
pub(crate) fn printable(raw: Option<&http::HeaderValue>) -> String {
    let Some(raw) = raw else {
        return String::new();
    };
    raw.as_bytes()
        .iter()
        .take(ID_MAX_BYTES)
        .map(|&byte| {
            let is_plain = byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
            if is_plain { char::from(byte) } else { '?' }
        })
        .collect()
}

use core::time;

use base::mutex;
use http::header;

use crate::answered;
use crate::headers;
use crate::host;

/// The head of an answer to a request of this host.
#[derive(Debug)]
pub(crate) struct Head<'a> {
    pub(crate) key: steer::Key,
    /// When the request was sent, since the start of the process.
    pub(crate) sent: time::Duration,
    pub(crate) answered: answered::Answered,
    pub(crate) status: http::StatusCode,
    pub(crate) headers: &'a http::HeaderMap,
}

impl Head<'_> {
    /// Returns the pause for which the endpoint asks with a refusal.
    pub(crate) fn pause(&self) -> Option<Result<time::Duration, Malformed>> {
        if self.status != http::StatusCode::SERVICE_UNAVAILABLE {
            return None;
        }
        let text = headers::text(self.headers, &header::RETRY_AFTER)?;
        let pause = text.trim().parse().ok();
        let pause = pause.filter(|pause: &f64| !pause.is_nan() && *pause >= 0.0);
        // A number beyond the range is a very long pause.
        let pause = pause.map(|pause| {
            time::Duration::try_from_secs_f64(pause).unwrap_or(time::Duration::MAX / 4)
        });
        Some(pause.ok_or(Malformed))
    }
}

/// A value that is no number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Malformed;

impl host::Host {
    /// Records whether the endpoint falls over after some refusals. Only an answer of its
    /// own shows that it does not; others may lack the header for other reasons.
    fn record_brittle(&self, now: time::Duration, head: &Head<'_>) {
        let refusals = headers::number(head.headers, &self.options.headers.brittle);
        if refusals.is_none() && head.answered != answered::Answered::Own {
            return;
        }
        let refusals = refusals.map(|refusals| u32::try_from(refusals).unwrap_or(u32::MAX));
        let changed =
            mutex::lock(&self.balancer).record_brittle(now, head.key, head.sent, refusals);
        if let Some(service) = changed {
            mutex::lock(&self.reports).brittle.add(now, service);
            self.crashed.notify_one();
        }
    }

    /// Records what an endpoint states of itself in the head of an answer: its limit,
    /// that it is leaving, or that it wants nothing from this host for a time.
    pub(crate) fn record_stated(&self, now: time::Duration, head: &Head<'_>) {
        use answered::Answered;
        // Another process may have sent the answer.
        if matches!(head.answered, Answered::Foreign | Answered::Misdirected) {
            return;
        }
        self.record_limit(now, head);
        self.record_brittle(now, head);
        self.record_cold(now, head);
        let names = &self.options.headers;
        if headers::text(head.headers, &names.leaving).map(str::trim) == Some("1") {
            mutex::lock(&self.balancer).mark_leaving(head.key);
        }
        match head.pause() {
            Some(Ok(pause)) => {
                self.metrics.count("pauses", &[]);
                mutex::lock(&self.balancer).mark_pausing(now, head.key, pause);
            }
            Some(Err(Malformed)) => self.metrics.count("pauses_malformed", &[]),
            None => {}
        }
    }
}

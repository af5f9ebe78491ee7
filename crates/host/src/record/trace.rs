use core::fmt;
use core::time;
use std::sync;

use crate::record::end;
use crate::record::entry;
use crate::record::records;
use base::mutex;

/// Records the events of one request.
///
/// The record ends when the last copy is dropped. A default trace records
/// nothing.
#[derive(Clone, Default)]
pub(crate) struct Trace(Option<sync::Arc<Open>>);

/// A request that has not ended.
struct Open {
    records: sync::Arc<records::Records>,
    entry: sync::Arc<sync::Mutex<entry::Entry>>,
}

impl Trace {
    pub(super) fn new(
        records: sync::Arc<records::Records>,
        entry: sync::Arc<sync::Mutex<entry::Entry>>,
    ) -> Self {
        Self(Some(sync::Arc::new(Open { records, entry })))
    }

    /// Records a grant after a wait in the queue and returns its number. Later events
    /// of earlier grants change only the steps.
    pub(crate) fn record_grant(&self, endpoint: &str, home: &str, queued: time::Duration) -> u32 {
        let mut serial = 0;
        self.with(|entry, now| {
            entry.queued += queued;
            entry.grants += 1;
            serial = entry.grants;
            // An earlier grant that still runs is silent and ends after this.
            let is_retry = core::mem::take(&mut entry.has_failed) || entry.is_running;
            entry.attempt += u16::from(is_retry);
            entry.earlier_tokens = entry.tokens;
            entry.endpoint = Some(endpoint.to_owned());
            entry.is_running = true;
            entry.end = None;
            let wait = queued.as_millis();
            let detail = format!("endpoint {endpoint} by {home} after {wait} ms in the queue");
            entry.record_step(now, "granted", detail);
        });
        serial
    }

    /// Records the first output under a grant.
    pub(crate) fn record_first_output(&self, grant: Option<u32>) {
        self.with(|entry, now| {
            if entry.first.is_some() || grant != Some(entry.grants) {
                // A resumed stream has had its first output.
                return;
            }
            let first = now.saturating_sub(entry.start);
            entry.first = Some(first);
            entry.gaps.record(now, 0, entry.target_gap);
            entry.record_step(
                now,
                "first",
                format!("first output after {} ms", first.as_millis()),
            );
        });
    }

    /// Records the number of tokens so far under a grant.
    pub(crate) fn set_tokens(&self, grant: Option<u32>, tokens: u32) {
        self.with(|entry, now| {
            if grant != Some(entry.grants) {
                return;
            }
            entry.tokens = entry.earlier_tokens + tokens;
            if entry.first.is_some() {
                entry.gaps.record(now, entry.tokens, entry.target_gap);
            }
        });
    }

    /// Records the end of a grant.
    pub(crate) fn record_end(&self, grant: Option<u32>, result: pool::Outcome) {
        self.with(|entry, now| {
            if grant != Some(entry.grants) {
                entry.record_step(now, "ended", format!("{result:?}; another run goes on"));
                return;
            }
            entry.is_running = false;
            entry.has_failed = matches!(
                result,
                pool::Outcome::Refused
                    | pool::Outcome::Unreachable
                    | pool::Outcome::Broken
                    | pool::Outcome::Failed
            );
            entry.end = match result {
                pool::Outcome::Complete => Some(end::End::Done),
                pool::Outcome::Cancelled => Some(end::End::Cancelled),
                _ if entry.has_failed && entry.first.is_some() => Some(end::End::Cut),
                _ => None,
            };
            let tokens = entry.tokens;
            entry.record_step(now, "ended", format!("{result:?} after {tokens} tokens"));
        });
    }

    /// Records and logs that an attempt failed and another one follows.
    pub(crate) fn record_retry(&self, request: &str, endpoint: &str, refusal: &answer::Refusal) {
        let class = self.class();
        log::info!(
            target: "host",
            request,
            class = class.as_deref().unwrap_or(""),
            endpoint;
            "attempt of request {request} failed at {endpoint}; retrying: {}",
            refusal.message
        );
        self.with(|entry, now| {
            let detail = format!("{}: {}", refusal.kind, refusal.message);
            entry.record_step(now, "retried", detail);
        });
    }

    /// Records that an endpoint is silent and another one is asked.
    pub(crate) fn record_silence(&self, endpoint: &str) {
        self.with(|entry, now| {
            entry.record_step(now, "silent", format!("endpoint {endpoint} sends no data"));
        });
    }

    /// Records that a silent run is kept, because no other endpoint takes the request.
    pub(crate) fn record_kept(&self, refusal: &answer::Refusal) {
        self.with(|entry, now| {
            let detail = format!("{}: {}", refusal.kind, refusal.message);
            entry.record_step(now, "kept", detail);
        });
    }

    /// Records that an endpoint does not go on with the stream and another one is asked.
    pub(crate) fn record_unfit(&self, endpoint: &str, refusal: &answer::Refusal) {
        self.with(|entry, now| {
            let detail = format!("endpoint {endpoint}: {}", refusal.message);
            entry.record_step(now, "unfit", detail);
        });
    }

    /// Records the result for the caller. A streamed answer continues after this.
    pub(crate) fn record_outcome<T>(&self, outcome: &Result<T, answer::Refusal>) {
        self.with(|entry, now| match outcome {
            Ok(_) if entry.is_running => {}
            Ok(_) => {
                // A stored answer, and the answer of another host, have no grant
                // at this host.
                let first = now.saturating_sub(entry.start);
                entry.first.get_or_insert(first);
                entry.end.get_or_insert(end::End::Done);
            }
            Err(refusal) => {
                entry.is_running = false;
                entry.end = Some(end::End::Refused(refusal.kind));
                let detail = match refusal.retry_after {
                    None => format!("{}: {}", refusal.kind, refusal.message),
                    Some(after) => format!(
                        "{}: {}; retry after {} ms",
                        refusal.kind,
                        refusal.message,
                        after.as_millis()
                    ),
                };
                entry.record_step(now, "refused", detail);
            }
        });
    }

    /// Returns the class of the request; `None` for a default trace.
    fn class(&self) -> Option<sync::Arc<str>> {
        let open = self.0.as_ref()?;
        Some(mutex::lock(&open.entry).class.clone())
    }

    fn with(&self, change: impl FnOnce(&mut entry::Entry, time::Duration)) {
        let Some(open) = &self.0 else {
            return;
        };
        let now = open.records.now();
        change(&mut mutex::lock(&open.entry), now);
    }
}

impl fmt::Debug for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Trace").field(&self.0.is_some()).finish()
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.records.close(&self.entry);
    }
}

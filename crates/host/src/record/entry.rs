use core::time;
use std::sync;

use crate::record::end;
use crate::record::gaps;
use crate::record::step;

/// Maximum number of decisions stored per request; later ones are dropped.
const STEPS_MAX: usize = 24;

/// Record of one request that this host received from a caller.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) id: String,
    pub(crate) pool: String,
    pub(crate) class: sync::Arc<str>,
    pub(crate) team: sync::Arc<str>,
    pub(crate) team_key: u32,
    pub(crate) target_first: time::Duration,
    pub(crate) target_gap: Option<time::Duration>,
    /// Time of arrival, from the start of the process.
    pub(crate) start: time::Duration,
    /// Time spent waiting for grants, summed over all attempts.
    pub(crate) queued: time::Duration,
    /// Number of retries so far; a resumed stream counts as one.
    pub(crate) attempt: u16,
    /// Whether the last grant ended without a whole answer.
    pub(crate) has_failed: bool,
    /// Number of grants so far; the last one is the run that delivers.
    pub(crate) grants: u32,
    /// Endpoint of the last grant.
    pub(crate) endpoint: Option<String>,
    /// Whether a grant is in use.
    pub(crate) is_running: bool,
    /// Time from the arrival to the first output.
    pub(crate) first: Option<time::Duration>,
    /// Tokens delivered under all grants.
    pub(crate) tokens: u32,
    /// Tokens delivered under grants before the last one.
    pub(crate) earlier_tokens: u32,
    pub(crate) gaps: gaps::Gaps,
    pub(crate) end: Option<end::End>,
    pub(crate) steps: Vec<step::Step>,
}

impl Entry {
    /// Creates the record of a request that arrives at `now`.
    pub(crate) fn new(
        id: String,
        pool: String,
        resolved: &class::Resolution,
        now: time::Duration,
    ) -> Self {
        let mut entry = Self {
            id,
            pool,
            class: resolved.class.clone(),
            team: resolved.team.clone(),
            team_key: resolved.team_key,
            target_first: resolved.target_first,
            target_gap: resolved.target_gap,
            start: now,
            queued: time::Duration::ZERO,
            attempt: 0,
            has_failed: false,
            grants: 0,
            endpoint: None,
            is_running: false,
            first: None,
            tokens: 0,
            earlier_tokens: 0,
            gaps: gaps::Gaps::default(),
            end: None,
            steps: Vec::new(),
        };
        let detail = format!(
            "class {} of tier {} for team {}, deadline in {} ms",
            resolved.class,
            resolved.tier,
            resolved.team,
            resolved.deadline.as_millis()
        );
        entry.record_step(now, "queued", detail);
        entry
    }

    /// Records a decision, unless [`STEPS_MAX`] are stored already.
    pub(crate) fn record_step(&mut self, now: time::Duration, event: &'static str, detail: String) {
        if self.steps.len() < STEPS_MAX {
            let at = now.saturating_sub(self.start);
            self.steps.push(step::Step { at, event, detail });
        }
    }

    /// Returns the state of the request that the administration API shows.
    pub(crate) fn state(&self) -> &'static str {
        match (self.end, self.is_running, self.first) {
            (Some(end), ..) => end.name(),
            (None, false, _) => "queued",
            (None, true, None) => "dispatched",
            (None, true, Some(_)) => "streaming",
        }
    }

    /// Returns whether the request met its targets.
    ///
    /// `None` if it does not count: it is still open, the caller's request was
    /// invalid, or the caller disconnected before any output was due.
    pub(crate) fn verdict(&self, now: time::Duration) -> Option<burn::Verdict> {
        let age = now.saturating_sub(self.start);
        match self.end? {
            end::End::Refused(kind) => refused(kind),
            end::End::Cancelled if self.first.is_none() && age <= self.target_first => None,
            end => {
                let sample = burn::Sample {
                    time_to_first_token: self.first.unwrap_or(age),
                    queue_time: self.waited(age),
                    gap: self.gaps.figure(),
                    is_retried: self.attempt > 0,
                    is_complete: end != end::End::Cut,
                    target_first: self.target_first,
                    target_gap: self.target_gap,
                };
                Some(sample.verdict())
            }
        }
    }

    /// Returns the time that a request of this age spent without a grant.
    fn waited(&self, age: time::Duration) -> time::Duration {
        match self.endpoint {
            Some(_) => self.queued,
            None => age,
        }
    }
}

/// Returns the verdict on a refused request; `None` if the caller caused it.
fn refused(kind: answer::Kind) -> Option<burn::Verdict> {
    use answer::Kind;

    match kind {
        Kind::BadRequest | Kind::BadKey | Kind::KeyReused => None,
        Kind::EndpointConnect
        | Kind::EndpointFailed
        | Kind::EndpointInvalid
        | Kind::EndpointTimeout => Some(burn::Verdict::Bad(burn::Cause::Endpoint)),
        Kind::RetryBudget => Some(burn::Verdict::Bad(burn::Cause::Retry)),
        _ => Some(burn::Verdict::Bad(burn::Cause::Refusal)),
    }
}

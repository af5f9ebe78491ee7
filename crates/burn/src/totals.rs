use crate::cause;
use crate::counts;

/// Request counts within one window.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Totals {
    /// Requests that met their targets.
    pub good: u64,
    /// Requests that missed their targets because of the queue.
    pub queue: u64,
    /// Requests that missed their targets because of the endpoint.
    pub endpoint: u64,
    /// Requests that missed their targets because of a retry.
    pub retry: u64,
    /// Requests that the router refused.
    pub refusal: u64,
}

impl Totals {
    /// Adds other counts. The sums saturate at 2^64 - 1, so that the order of additions
    /// does not matter.
    pub const fn add(&mut self, other: &Self) {
        self.good = self.good.saturating_add(other.good);
        self.queue = self.queue.saturating_add(other.queue);
        self.endpoint = self.endpoint.saturating_add(other.endpoint);
        self.retry = self.retry.saturating_add(other.retry);
        self.refusal = self.refusal.saturating_add(other.refusal);
    }

    /// Returns the number of requests that missed their targets because of `cause`.
    pub const fn bad_by_cause(&self, cause: cause::Cause) -> u64 {
        match cause {
            cause::Cause::Queue => self.queue,
            cause::Cause::Endpoint => self.endpoint,
            cause::Cause::Retry => self.retry,
            cause::Cause::Refusal => self.refusal,
        }
    }

    /// Returns the number of requests that missed their targets, for any cause.
    pub fn bad(&self) -> u64 {
        let causes = cause::Cause::ALL.into_iter();
        causes.fold(0, |sum, cause| sum.saturating_add(self.bad_by_cause(cause)))
    }

    /// Returns the number of all requests, good and bad.
    pub fn requests(&self) -> u64 {
        self.good.saturating_add(self.bad())
    }

    /// Returns the share of requests that missed their targets, 0 to 1; `None`
    /// without requests.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a share needs no more than 52 bits"
    )]
    pub fn bad_share(&self) -> Option<f64> {
        let requests = self.requests();
        (requests > 0).then(|| self.bad() as f64 / requests as f64)
    }

    /// Returns the burn rate: the share of bad requests divided by the share that
    /// `attainment` (0 to 1) allows; `None` without requests. A rate of 1 uses up the
    /// error budget exactly.
    pub fn burn_rate(&self, attainment: f64) -> Option<f64> {
        let allowed = (1.0 - attainment).max(ALLOWED_SHARE_MIN);
        self.bad_share().map(|share| share / allowed)
    }

    pub(crate) fn add_counts(&mut self, counts: &counts::Counts) {
        let [queue, endpoint, retry, refusal] = counts.bad.map(u64::from);
        self.add(&Self {
            good: u64::from(counts.good),
            queue,
            endpoint,
            retry,
            refusal,
        });
    }
}

/// Minimum allowed share of bad requests; keeps the burn rate finite at an
/// attainment of 1.
const ALLOWED_SHARE_MIN: f64 = 1e-6;

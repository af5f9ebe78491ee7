use core::time;

/// Least rate of requests to an endpoint, however low its limit is, in requests per
/// second of all hosts. Only an answer shows that the limit has ended.
const RATE_MIN: f64 = 0.1;

/// Longest time of which unused requests may be sent later.
const SAVED_TIME_S: f64 = 0.5;

/// Time without news of a limit after which hosts that otherwise leave the endpoint
/// to others try it at a low rate, in case they have missed its end.
const NEWS_TIME: time::Duration = time::Duration::from_secs(30);

/// Hosts that share a limit of less than one request per second.
const HOSTS_MIN: usize = 3;

/// The limit that an endpoint states on the requests of all hosts, and what this host
/// may send of it.
#[derive(Clone, Copy, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Quota {
    /// Requests per second; `None` if the endpoint states no limit.
    per_s: Option<f64>,
    /// When the answer arrived that stated the limit, or none, last.
    stated_at: Option<time::Duration>,
    /// Whether it was an answer to this host.
    is_own: bool,
    /// Share of this host, from 0 to 1.
    share: f64,
    /// Requests that may be sent; negative if too many were.
    tokens: f64,
    refilled_at: time::Duration,
}

impl Quota {
    /// Returns the limit in requests per second.
    pub(crate) const fn per_s(&self) -> Option<f64> {
        self.per_s
    }

    /// Returns when the limit, or that there is none, was stated last.
    pub(crate) const fn stated_at(&self) -> Option<time::Duration> {
        self.stated_at
    }

    /// Returns whether the last statement came with an answer to this host.
    pub(crate) const fn is_own(&self) -> bool {
        self.is_own
    }

    /// Sets the limit that an answer stated at `at`; returns whether it has changed.
    /// Older statements have no effect.
    pub(crate) fn state(
        &mut self,
        now: time::Duration,
        at: time::Duration,
        per_s: Option<f64>,
        is_own: bool,
    ) -> bool {
        if self.stated_at.is_some_and(|known| at <= known) {
            return false;
        }
        let has_changed = self.per_s != per_s;
        if has_changed {
            self.refill(now);
            if self.per_s.is_none() {
                self.tokens = 0.0;
                self.share = 0.0;
            }
            self.per_s = per_s;
        }
        self.stated_at = Some(at);
        self.is_own = is_own;
        has_changed
    }

    /// Sets the share of this host by its position among the hosts, in the order in
    /// which they take the endpoint; `None` if it is not one of them.
    pub(crate) fn set_position(
        &mut self,
        now: time::Duration,
        position: Option<usize>,
        hosts: usize,
    ) {
        let Some(per_s) = self.per_s else { return };
        // CAST: The value saturates at the range.
        let sharing = hosts.min(HOSTS_MIN.saturating_add(per_s as usize)).max(1);
        let is_silent = self
            .stated_at
            .is_none_or(|at| now.saturating_sub(at) > NEWS_TIME);
        let share = match position {
            Some(position) if position < sharing => 1.0 / sharing as f64,
            Some(_) if is_silent => 1.0 / hosts.max(1) as f64,
            _ => 0.0,
        };
        self.refill(now);
        self.share = share;
        if share == 0.0 {
            self.tokens = self.tokens.min(0.0);
        }
    }

    /// Takes the right to send one request.
    pub(crate) fn take(&mut self, now: time::Duration) {
        if self.per_s.is_some() {
            self.refill(now);
            self.tokens -= 1.0;
        }
    }

    /// Returns the time until a request may be sent, zero for now and `None` if this
    /// host leaves the endpoint to others.
    pub(crate) fn wait(&self, now: time::Duration) -> Option<time::Duration> {
        if self.per_s.is_none() {
            return Some(time::Duration::ZERO);
        }
        let missing = 1.0 - self.tokens(now);
        if missing <= 0.0 {
            return Some(time::Duration::ZERO);
        }
        let wait = missing / self.rate();
        time::Duration::try_from_secs_f64(wait).ok()
    }

    fn rate(&self) -> f64 {
        self.per_s.unwrap_or(0.0).max(RATE_MIN) * self.share
    }

    fn tokens(&self, now: time::Duration) -> f64 {
        let rate = self.rate();
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        (self.tokens + rate * elapsed).min((rate * SAVED_TIME_S).max(1.0))
    }

    fn refill(&mut self, now: time::Duration) {
        self.tokens = self.tokens(now);
        self.refilled_at = now;
    }
}

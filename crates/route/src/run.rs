use core::time;

use crate::endpoint;
use crate::request;

slotmap::new_key_type! {
    /// Key of a request that holds a slot of an endpoint.
    pub struct Key;
}

/// Request that holds a slot of an endpoint.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) endpoint: endpoint::Key,
    pub(crate) request: request::Request,
    pub(crate) granted_at: time::Duration,
    pub(crate) first_output_at: Option<time::Duration>,
    /// Whether the request counts as long, by estimate or by attained service.
    pub(crate) is_long: bool,
    /// Whether the first token is late and was counted as a miss.
    pub(crate) is_late: bool,
}

impl Run {
    /// Estimates the tokens generated so far from the time since the first one;
    /// `gap` is the time between tokens in seconds.
    pub(crate) fn attained_tokens(&self, now: time::Duration, gap: f64) -> f64 {
        let first = self
            .first_output_at
            .unwrap_or(self.granted_at + self.request.target_first);
        now.saturating_sub(first).as_secs_f64() / gap
    }
}

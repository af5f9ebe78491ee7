use core::time;

use crate::endpoint;
use crate::request;

slotmap::new_key_type! {
    /// Key of a request that holds a place.
    pub struct Key;
}

/// A request that holds a place.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) endpoint: endpoint::Key,
    pub(crate) work: request::Request,
    pub(crate) granted: time::Duration,
    pub(crate) first: Option<time::Duration>,
    /// Counts as long, by estimate or by attained service.
    pub(crate) long: bool,
    /// Its first token is late and was counted as a miss.
    pub(crate) late: bool,
}

impl Run {
    /// Estimates the tokens generated so far from the time since the first one.
    pub(crate) fn attained(&self, now: time::Duration, gap: f64) -> f64 {
        let first = self.first.unwrap_or(self.granted + self.work.target_first);
        now.saturating_sub(first).as_secs_f64() / gap
    }
}

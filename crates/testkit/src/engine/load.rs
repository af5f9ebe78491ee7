use std::collections;

use tokio::time;

/// Load report that `GET /load` returns.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub(crate) struct Load {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) slots: usize,
    pub(crate) draining: bool,
    /// Unix time in ms at which the report was made.
    pub(crate) at_ms: u64,
}

/// Past load reports, from which an outdated one can be returned.
#[derive(Debug, Default)]
pub(crate) struct History(collections::VecDeque<(time::Instant, Load)>);

impl History {
    pub(crate) fn push(&mut self, now: time::Instant, load: Load) {
        self.0.push_back((now, load));
    }

    /// Returns the newest report that is at least `lag` old, or else the oldest one. Discards
    /// the reports before it.
    pub(crate) fn lagged(&mut self, now: time::Instant, lag: core::time::Duration) -> Load {
        while self.0.len() > 1 && self.0[1].0 + lag <= now {
            self.0.pop_front();
        }
        self.0.front().map(|(_, load)| *load).unwrap_or_default()
    }
}

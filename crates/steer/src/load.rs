use crate::report;

/// The work that one host has at an endpoint, as hosts tell each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Hash of the endpoint's id.
    pub tag: u32,
    /// Requests in flight.
    pub running: u32,
    /// Prompt tokens of requests without a first event.
    pub prefill_tokens: u32,
    /// Tokens that the requests in flight hold in memory at their end.
    pub kv_tokens: u32,
    /// Share of failed answers in percent.
    pub failed_percent: u8,
    /// Whether the endpoint cannot be reached.
    pub is_down: bool,
    /// Newest report of the endpoint with its age in milliseconds.
    pub report: Option<(report::Report, u32)>,
}

impl Load {
    /// Returns whether there is nothing to tell.
    pub(crate) const fn is_silent(&self) -> bool {
        self.running == 0
            && self.prefill_tokens == 0
            && self.failed_percent == 0
            && !self.is_down
            && self.report.is_none()
    }
}

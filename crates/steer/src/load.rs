use crate::report;

/// The work of one host at an endpoint, in the form that hosts publish.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Load {
    /// Hash of the endpoint's id.
    pub tag: u32,
    /// Number of requests in flight.
    pub running: u32,
    /// Prompt tokens not yet processed: those of requests without a first event.
    pub prefill_tokens: u32,
    /// KV cache tokens that the requests in flight occupy at their end.
    pub kv_tokens: u32,
    /// Share of failed answers in percent, from 0 to 100.
    pub failed_percent: u8,
    /// Whether the host currently treats the endpoint as unreachable.
    pub is_down: bool,
    /// Newest report of the endpoint with its age in milliseconds; `None` if
    /// there is no recent one.
    pub report: Option<(report::Report, u32)>,
}

impl Load {
    /// Returns whether there is nothing to publish.
    pub(crate) const fn is_empty(&self) -> bool {
        self.running == 0
            && self.prefill_tokens == 0
            && self.failed_percent == 0
            && !self.is_down
            && self.report.is_none()
    }
}

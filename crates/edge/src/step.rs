use core::time;
use std::fmt;

/// Step of an attempt that failed after the request may have reached the
/// endpoint.
pub(crate) const LOST: &str = "lost";

/// One decision about a request, as the request log shows it.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Time since the arrival of the request.
    pub(crate) at: time::Duration,
    /// Name of the step.
    pub(crate) what: &'static str,
    /// The figures and names that the decision was based on.
    pub(crate) inputs: String,
}

impl Step {
    pub(crate) fn new(at: time::Duration, what: &'static str, inputs: fmt::Arguments<'_>) -> Self {
        Self {
            at,
            what,
            inputs: inputs.to_string(),
        }
    }
}

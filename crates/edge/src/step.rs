use core::time;
use std::fmt;

/// An attempt failed after the request may have arrived.
pub(crate) const LOST: &str = "lost";

/// One decision about a request.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    /// Time since the arrival of the request.
    pub(crate) at: time::Duration,
    /// What was decided.
    pub(crate) what: &'static str,
    /// What decided it.
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

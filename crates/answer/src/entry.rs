use crate::advice;
use crate::run_state;

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name of the kind in answers, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// RunState state that the kind implies.
    pub run_state: run_state::RunState,
    /// Retry advice.
    pub advice: advice::Advice,
    /// Level of the log line.
    pub level: log::Level,
}

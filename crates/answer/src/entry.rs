use crate::advice;
use crate::run_state;

/// One row of the table that maps each [`Kind`](crate::Kind) to its response.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name of the kind in responses, logs and metrics, in snake case.
    pub name: &'static str,
    /// HTTP status code, from 400 to 599.
    pub status: u16,
    /// Whether the work behind the refused request may have run.
    pub run_state: run_state::RunState,
    /// Whether, when and where the caller may retry.
    pub advice: advice::Advice,
    /// Level at which the refusal is logged.
    pub level: log::Level,
}

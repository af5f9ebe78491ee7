use crate::advice;
use crate::run;

/// One row of the table from kind to answer.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    /// Name of the kind in answers, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Run state that the kind implies.
    pub run: run::Run,
    /// Retry advice.
    pub advice: advice::Advice,
    /// Level of the log line.
    pub level: log::Level,
}

use core::time::Duration;

/// One request of the trace.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Duration,
    pub class: u16,
    pub team: u32,
    pub caller: u64,
    pub output: u32,
    pub max_tokens: Option<u32>,
    pub fingerprint: u64,
    /// Hash of the leading part of the prompt.
    pub prefix: u64,
    /// Time from arrival to deadline.
    pub timeout: Duration,
    /// Whether it crashes each engine that runs it.
    pub is_poison: bool,
    /// Limit of the attempts after failures.
    pub retries_max: u16,
}

impl Request {
    pub fn new(at: Duration, class: u16, output: u32) -> Self {
        Self {
            at,
            class,
            team: 1,
            caller: 1,
            output,
            max_tokens: None,
            fingerprint: 0,
            prefix: 0,
            timeout: Duration::from_secs(30),
            is_poison: false,
            retries_max: 0,
        }
    }
}

/// Final status of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Status {
    Complete,
    Refused(answer::Kind),
    Failed,
}

/// Result of one request.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub class: u16,
    pub team: u32,
    /// Time of arrival.
    pub at: Duration,
    /// Time from arrival to the first token.
    pub first: Option<Duration>,
    /// Time from arrival to the end of the last attempt.
    pub end: Duration,
    pub status: Status,
    /// Whether it completed before its deadline.
    pub is_timely: bool,
}

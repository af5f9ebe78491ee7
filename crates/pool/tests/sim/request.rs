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
    /// Deadline, counted from the arrival.
    pub within: Duration,
    /// Crashes the endpoint that runs it.
    pub poison: bool,
    /// Attempts after a failure that the entry host makes at most.
    pub retries: u16,
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
            within: Duration::from_secs(30),
            poison: false,
            retries: 0,
        }
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Complete,
    Refused(answer::Kind),
    Failed,
}

/// What happened to one request.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    pub class: u16,
    pub team: u32,
    /// Arrival.
    pub at: Duration,
    /// Arrival to first token.
    pub first: Option<Duration>,
    /// Arrival to the last answer.
    pub end: Duration,
    pub fate: Fate,
    /// Completed before its deadline.
    pub timely: bool,
}

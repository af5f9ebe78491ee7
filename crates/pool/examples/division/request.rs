use core::time::Duration;

/// A caller's request and its progress.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Duration,
    pub class: u16,
    /// Entry host.
    pub host: usize,
    pub output: u32,
    /// Number of submissions so far; replies to earlier ones are ignored.
    pub submissions: u64,
    /// Home to which it was submitted last.
    pub home: usize,
    pub endpoint: Option<usize>,
    pub first: Option<Duration>,
    /// Number of outcomes returned to the caller.
    pub outcomes: u32,
    pub is_refused: bool,
    pub is_lost: bool,
    /// Whether a lower tier was served at another host while it waited or when it
    /// was refused.
    pub is_inverted: bool,
}

impl Request {
    pub const fn new(at: Duration, class: u16, host: usize, output: u32) -> Self {
        Self {
            at,
            class,
            host,
            output,
            submissions: 0,
            home: host,
            endpoint: None,
            first: None,
            outcomes: 0,
            is_refused: false,
            is_lost: false,
            is_inverted: false,
        }
    }

    /// Returns whether it waits for a slot at `now`.
    pub fn is_waiting(&self, now: Duration) -> bool {
        self.at <= now && self.submissions > 0 && self.endpoint.is_none() && self.outcomes == 0
    }
}

/// Time from arrival to deadline.
pub const TIMEOUT: Duration = Duration::from_secs(20);

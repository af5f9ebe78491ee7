use core::time::Duration;

/// One request and what became of it.
#[derive(Clone, Debug)]
pub struct Request {
    pub at: Duration,
    pub class: u16,
    /// Entry host.
    pub host: usize,
    pub output: u32,
    /// Asks made so far; an answer to an earlier ask is not used.
    pub asks: u64,
    /// Home that was asked last.
    pub home: usize,
    pub endpoint: Option<usize>,
    pub first: Option<Duration>,
    /// Outcomes given to the caller.
    pub outcomes: u32,
    pub refused: bool,
    pub lost: bool,
    /// A lower tier was served at another host while it waited or when it was
    /// refused.
    pub inverted: bool,
}

impl Request {
    pub const fn new(at: Duration, class: u16, host: usize, output: u32) -> Self {
        Self {
            at,
            class,
            host,
            output,
            asks: 0,
            home: host,
            endpoint: None,
            first: None,
            outcomes: 0,
            refused: false,
            lost: false,
            inverted: false,
        }
    }

    /// Returns whether it waits for a place at `now`.
    pub fn is_waiting(&self, now: Duration) -> bool {
        self.at <= now && self.asks > 0 && self.endpoint.is_none() && self.outcomes == 0
    }
}

/// Time from arrival within which an answer is wanted.
pub const WITHIN: Duration = Duration::from_secs(20);

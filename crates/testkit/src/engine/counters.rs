use std::sync;

/// Counts of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Output tokens generated.
    pub tokens: u64,
    /// Output tokens generated for requests that were cancelled.
    pub wasted: u64,
    /// Output tokens generated for requests that a crash interrupted.
    pub lost: u64,
    /// Requests that entered the running batch.
    pub executions: u64,
    /// Requests whose answer was sent in full.
    pub completed: u64,
    /// Requests that were cancelled after they entered the running batch and before the
    /// answer was sent in full.
    pub cancelled: u64,
    /// Requests that were cancelled before they entered the running batch.
    pub withdrawn: u64,
    /// Requests refused because the engine was draining or full.
    pub refused: u64,
    /// Requests refused because of an outdated fencing number.
    pub fenced: u64,
    /// Crashes, whether caused by a request or by [`Handle::crash`](crate::engine::Handle::crash).
    pub crashes: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// Shared counts. Lock order: the batch state first, then the counts.
pub(crate) type Shared = sync::Mutex<Counters>;

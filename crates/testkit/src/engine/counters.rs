use std::sync;

/// Counts of an engine since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Output tokens generated.
    pub tokens: u64,
    /// Output tokens generated for requests that were cancelled or whose caller had left.
    pub wasted: u64,
    /// Output tokens generated for requests that a crash cut off.
    pub lost: u64,
    /// Requests that entered the running batch.
    pub executions: u64,
    /// Requests whose whole answer was taken by the caller.
    pub completed: u64,
    /// Requests whose caller left after they entered the running batch, before
    /// the whole answer was taken.
    pub cancelled: u64,
    /// Requests whose caller left before they entered the running batch.
    pub withdrawn: u64,
    /// Requests refused because the engine was draining or full.
    pub refused: u64,
    /// Requests refused because of an old fencing number.
    pub fenced: u64,
    /// Crashes.
    pub crashes: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
}

/// Counts that are shared. Locked after the state, never before it.
pub(crate) type Shared = sync::Mutex<Counters>;

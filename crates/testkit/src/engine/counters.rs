use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Counts of an engine since its start.
#[derive(Debug, Default)]
pub struct Counters {
    pub(crate) tokens: atomic::AtomicU64,
    pub(crate) wasted: atomic::AtomicU64,
    pub(crate) lost: atomic::AtomicU64,
    pub(crate) executions: atomic::AtomicU64,
    pub(crate) completed: atomic::AtomicU64,
    pub(crate) cancelled: atomic::AtomicU64,
    pub(crate) refused: atomic::AtomicU64,
    pub(crate) fenced: atomic::AtomicU64,
    pub(crate) crashes: atomic::AtomicU64,
    pub(crate) cached: atomic::AtomicU64,
}

/// Values of [`Counters`] at one moment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Figures {
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
    /// Requests whose caller left before the whole answer was taken.
    pub cancelled: u64,
    /// Requests refused because the engine was draining or full.
    pub refused: u64,
    /// Requests refused because of an old fencing number.
    pub fenced: u64,
    /// Crashes.
    pub crashes: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
}

impl Counters {
    /// Returns the current values.
    pub fn figures(&self) -> Figures {
        Figures {
            tokens: self.tokens.load(Relaxed),
            wasted: self.wasted.load(Relaxed),
            lost: self.lost.load(Relaxed),
            executions: self.executions.load(Relaxed),
            completed: self.completed.load(Relaxed),
            cancelled: self.cancelled.load(Relaxed),
            refused: self.refused.load(Relaxed),
            fenced: self.fenced.load(Relaxed),
            crashes: self.crashes.load(Relaxed),
            cached: self.cached.load(Relaxed),
        }
    }
}

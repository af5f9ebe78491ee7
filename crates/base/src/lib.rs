//! Helpers without dependencies on other crates of the router: a process clock
//! and a lock function.

/// Monotonic time since the start of the process, and wall-clock time.
pub mod clock;
/// Locking of mutexes that a panic may have poisoned.
pub mod mutex;

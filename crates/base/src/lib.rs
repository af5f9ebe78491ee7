//! Clock and lock helper that hosts share.

/// Time since the start, and wall-clock time.
pub mod clock;
/// Locks that outlive a panic.
pub mod mutex;

use core::time;
use std::time as std_time;

/// Clock that measures monotonic time since it was started, usually at the start
/// of the process. Copies have the same start.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// Starts a clock at time zero.
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// Returns the monotonic time since the start of the clock. It follows the
    /// paused time of a `tokio` test.
    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Returns the wall-clock time as Unix time in milliseconds, or 0 if the system
    /// clock is set before 1970.
    pub fn wall_ms() -> u64 {
        let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

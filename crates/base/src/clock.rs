use core::time;
use std::time as std_time;

/// Monotonic time since the start of the process, and wall-clock time.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: tokio::time::Instant,
}

impl Clock {
    /// Returns a clock whose time begins now.
    pub fn start() -> Self {
        Self {
            start: tokio::time::Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub fn now(&self) -> time::Duration {
        self.start.elapsed()
    }

    /// Returns the wall-clock time in Unix milliseconds.
    pub fn wall_ms() -> u64 {
        let since = std_time::SystemTime::now().duration_since(std_time::UNIX_EPOCH);
        since.map_or(0, |since| since.as_millis() as u64)
    }
}

use core::time;

use crate::queue;
use crate::subqueue;

/// Sort key of a job by deadline. The deadline is kept in nanoseconds, so that
/// a position takes 16 bytes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Position {
    deadline: u64,
    pub(crate) key: queue::Key,
}

impl Position {
    pub(crate) fn new(deadline: time::Duration, key: queue::Key) -> Self {
        // 0 is reserved for `least`.
        let deadline = u64::try_from(deadline.as_nanos())
            .unwrap_or(u64::MAX)
            .max(1);
        Self { deadline, key }
    }

    pub(crate) const fn deadline(self) -> time::Duration {
        time::Duration::from_nanos(self.deadline)
    }
}

impl subqueue::Item for Position {
    fn least() -> Self {
        Self {
            deadline: 0,
            key: queue::Key::default(),
        }
    }
}

use core::time;

use crate::lines;
use crate::queue;

/// Position of a job by deadline: nanoseconds, so that it takes 16 bytes.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) struct Place {
    deadline: u64,
    pub(crate) key: queue::Key,
}

impl Place {
    pub(crate) fn new(deadline: time::Duration, key: queue::Key) -> Self {
        // 0 is kept for `least`.
        let deadline = u64::try_from(deadline.as_nanos())
            .unwrap_or(u64::MAX)
            .max(1);
        Self { deadline, key }
    }

    pub(crate) const fn deadline(self) -> time::Duration {
        time::Duration::from_nanos(self.deadline)
    }
}

impl lines::Item for Place {
    fn least() -> Self {
        Self {
            deadline: 0,
            key: queue::Key::default(),
        }
    }
}

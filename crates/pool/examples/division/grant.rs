use core::time::Duration;

/// Slot that a home granted to a request, and the time that the request spent at
/// the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Grant {
    pub home: usize,
    pub endpoint: usize,
    pub granted: Duration,
    /// Time from which the home counts the slot as free.
    pub released: Option<Duration>,
    pub started: Option<Duration>,
    pub ended: Option<Duration>,
}

impl Grant {
    /// Returns whether a load report measured at `at` includes the request. A request
    /// that started at that very time is not included.
    fn was_running(&self, at: Duration) -> bool {
        self.started.is_some_and(|start| start < at) && self.ended.is_none_or(|end| end > at)
    }

    /// Returns whether the request has held no slot at its home and at the endpoint
    /// since `at`.
    pub fn is_settled(&self, at: Duration) -> bool {
        let freed = self.released.is_some_and(|end| end <= at);
        freed && (self.started.is_none() || self.ended.is_some_and(|end| end <= at))
    }

    fn is_held(&self, at: Duration) -> bool {
        self.granted <= at && self.released.is_none_or(|end| end > at)
    }

    fn is_running(&self, at: Duration) -> bool {
        self.started.is_some_and(|start| start <= at) && self.ended.is_none_or(|end| end > at)
    }

    /// Returns whether the request takes a slot now that `home` could not see in the
    /// load report of its last grant, which was measured at `report`.
    ///
    /// These are requests of another home that started since, own requests that
    /// were released since, and own requests that held a slot at the time of the
    /// report but were not at the endpoint.
    pub fn is_unreported(&self, home: usize, report: Duration, now: Duration) -> bool {
        if self.home != home {
            return self.is_running(now) && self.started.is_some_and(|start| start >= report);
        }
        let freed = self.released.is_some_and(|end| end > report);
        let absent = self.is_held_near(report) && !self.was_running(report);
        (self.is_running(now) && freed) || (absent && (freed || self.is_running(now)))
    }

    /// Returns whether the home's history counts the slot as held at `at`.
    fn is_held_near(&self, at: Duration) -> bool {
        self.is_held(at) || (self.granted > at && self.granted <= at + HISTORY_RESOLUTION)
    }
}

/// Changes of the count of own requests within this time share one entry of the
/// history by which a report is corrected (`route::history`).
const HISTORY_RESOLUTION: Duration = Duration::from_millis(10);

use core::time::Duration;

/// Place that a home gave to a request, and the time that the request spent at
/// the endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    pub home: usize,
    pub endpoint: usize,
    pub granted: Duration,
    /// The home counts the place as free from then on.
    pub released: Option<Duration>,
    pub started: Option<Duration>,
    pub ended: Option<Duration>,
}

impl Place {
    /// Returns whether a report that was true at `at` shows the request, which
    /// it does not if it started at that very time.
    fn was_running(&self, at: Duration) -> bool {
        self.started.is_some_and(|start| start < at) && self.ended.is_none_or(|end| end > at)
    }

    /// Returns whether neither home nor endpoint has known of it since `at`.
    pub fn is_over(&self, at: Duration) -> bool {
        let freed = self.released.is_some_and(|end| end <= at);
        freed && (self.started.is_none() || self.ended.is_some_and(|end| end <= at))
    }

    fn is_held(&self, at: Duration) -> bool {
        self.granted <= at && self.released.is_none_or(|end| end > at)
    }

    fn is_running(&self, at: Duration) -> bool {
        self.started.is_some_and(|start| start <= at) && self.ended.is_none_or(|end| end > at)
    }

    /// Returns whether the report that the home had at its last grant, true at
    /// `report`, cannot show that the request takes a place now.
    ///
    /// That is a request that another home started since, one of its own that
    /// it released since, or one that it held at the time of the report while
    /// the request was not at the endpoint.
    pub fn is_hidden(&self, home: usize, report: Duration, now: Duration) -> bool {
        if self.home != home {
            return self.is_running(now) && self.started.is_some_and(|start| start >= report);
        }
        let freed = self.released.is_some_and(|end| end > report);
        let absent = self.is_held_near(report) && !self.was_running(report);
        (self.is_running(now) && freed) || (absent && (freed || self.is_running(now)))
    }

    /// Returns whether the home's history shows the place as held at `at`.
    fn is_held_near(&self, at: Duration) -> bool {
        self.is_held(at) || (self.granted > at && self.granted <= at + RESOLUTION)
    }
}

/// Changes of the own count closer together than this share one entry of the
/// history with which a report is corrected (`route::history`).
const RESOLUTION: Duration = Duration::from_millis(10);

use core::time;

use crate::counts;
use crate::ring;
use crate::totals;
use crate::verdict;
use crate::window;

/// Request counts of one class and team in every window.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// Name of the team, or `other`.
    pub team: Box<str>,
    /// Time of the last request.
    pub last_request: time::Duration,
    rings: [ring::Ring<counts::Counts>; window::Window::ALL.len()],
}

impl Series {
    /// Returns a series without requests.
    pub(crate) fn new(team: &str, now: time::Duration) -> Self {
        Self {
            team: team.into(),
            last_request: now,
            rings: window::Window::ALL.map(|window| ring::Ring::new(window, now)),
        }
    }

    /// Counts one request.
    pub(crate) fn add(&mut self, now: time::Duration, verdict: verdict::Verdict) {
        self.last_request = self.last_request.max(now);
        for (ring, window) in self.rings.iter_mut().zip(window::Window::ALL) {
            ring.current(window, now).add(verdict);
        }
    }

    /// Returns the requests within each of [`window::Window::ALL`].
    pub(crate) fn totals(&self, now: time::Duration) -> [totals::Totals; 4] {
        core::array::from_fn(|index| {
            let mut totals = totals::Totals::default();
            for counts in self.rings[index].covered(window::Window::ALL[index], now) {
                totals.add_counts(counts);
            }
            totals
        })
    }
}

use core::time;

use crate::mean;

/// Where an endpoint stands after it was slow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Gets work by its weight.
    Normal,
    /// Gets nothing until this time.
    Ejected(time::Duration),
    /// Gets one request, whose first token decides.
    Proving {
        /// The request was sent.
        sent: bool,
    },
}

/// Recent speed of an endpoint against its past and its peers.
///
/// An observation is a time divided by the mean of its class over the shard,
/// so 1 is normal and 2 is twice as slow.
#[derive(Debug)]
pub(crate) struct Speed {
    fast: mean::Mean,
    past: mean::Mean,
    weight: f64,
    state: State,
    ejections: u32,
    seen: time::Duration,
}

impl Speed {
    pub(crate) const fn new() -> Self {
        Self {
            fast: mean::Mean::new(FAST_WEIGHT),
            past: mean::Mean::new(PAST_WEIGHT),
            weight: 1.0,
            state: State::Normal,
            ejections: 0,
            seen: time::Duration::ZERO,
        }
    }

    pub(crate) fn observe(&mut self, now: time::Duration, ratio: f64) {
        self.fast.observe(ratio);
        self.past.observe(ratio);
        self.seen = now;
        if matches!(self.state, State::Proving { .. }) {
            self.state = State::Normal;
        }
    }

    /// Notes that a request was sent to the endpoint.
    pub(crate) fn sent(&mut self) {
        if matches!(self.state, State::Proving { .. }) {
            self.state = State::Proving { sent: true };
        }
    }

    /// Notes that a request ended, with or without an observation.
    pub(crate) fn ended(&mut self) {
        if matches!(self.state, State::Proving { .. }) {
            self.state = State::Proving { sent: false };
        }
    }

    /// Returns whether the endpoint waits for a request that proves its speed.
    pub(crate) fn wants_proof(&self) -> bool {
        self.state == State::Proving { sent: false }
    }

    /// Returns whether the endpoint gets at most one request.
    pub(crate) const fn proving(&self) -> bool {
        matches!(self.state, State::Proving { .. })
    }

    /// Notes a ratio that is still growing and not part of the past yet.
    pub(crate) fn overdue(&mut self, now: time::Duration, ratio: f64) {
        if self.recent().is_none_or(|fast| fast < ratio) {
            self.fast.observe(ratio);
            self.seen = now;
        }
    }

    pub(crate) fn recent(&self) -> Option<f64> {
        self.fast.get()
    }

    /// Returns the share of its places that the endpoint gets, 0 to 1.
    pub(crate) const fn weight(&self) -> f64 {
        self.weight
    }

    pub(crate) const fn ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_))
    }

    /// Lowers the weight at once, so that it returns gradually.
    pub(crate) fn restart(&mut self) {
        self.weight = self.weight.min(WEIGHT_RESTART);
    }

    /// Moves the weight one step. `eject` says whether the shard allows another
    /// ejection; returns whether this endpoint was ejected now.
    pub(crate) fn step(&mut self, now: time::Duration, median: f64, eject: bool) -> bool {
        if let State::Ejected(until) = self.state {
            if now >= until {
                self.state = State::Proving { sent: false };
                self.weight = WEIGHT_RETURN;
                self.fast = mean::Mean::new(FAST_WEIGHT);
            }
            return false;
        }
        let normal = self.past.get().unwrap_or(1.0).max(median).max(NORMAL_MIN);
        if now.saturating_sub(self.seen) > QUIET && !self.proving() {
            // Without observations the endpoint is tried again gradually.
            self.fast.observe(normal);
        }
        let slow = self.recent().unwrap_or(normal) / normal;
        let target = if slow > TOLERANCE {
            (TOLERANCE / slow).powi(2)
        } else {
            1.0
        };
        if target < self.weight {
            self.weight = target.max(self.weight * FALL);
        } else if !self.proving() {
            self.weight = target.min(self.weight + RISE);
        }
        if self.weight >= 1.0 {
            self.ejections = 0;
        }
        if self.weight < WEIGHT_EJECT && target < WEIGHT_EJECT && eject {
            let factor = 1 << self.ejections.min(EJECTIONS_MAX);
            self.state = State::Ejected(now + EJECTION * factor);
            self.ejections += 1;
            return true;
        }
        false
    }
}

/// Weight of the latest observation in the recent mean.
const FAST_WEIGHT: f64 = 0.25;

/// Weight of the latest observation in the past.
const PAST_WEIGHT: f64 = 0.005;

/// Smallest ratio that counts as normal.
const NORMAL_MIN: f64 = 0.5;

/// Slowness that is tolerated; service times vary by about this much.
const TOLERANCE: f64 = 1.5;

/// Factor by which the weight falls per step of 100 ms at most.
const FALL: f64 = 0.5;

/// Amount by which the weight rises per step of 100 ms at most.
const RISE: f64 = 0.05;

/// Weight below which an endpoint is ejected.
const WEIGHT_EJECT: f64 = 0.15;

/// Weight after an ejection.
const WEIGHT_RETURN: f64 = 0.1;

/// Weight after connection failures.
const WEIGHT_RESTART: f64 = 0.25;

/// Length of the first ejection; it doubles while the endpoint stays slow.
const EJECTION: time::Duration = time::Duration::from_secs(2);

/// Doublings of an ejection at most.
const EJECTIONS_MAX: u32 = 2;

/// Time without observations after which the recent mean returns to normal.
const QUIET: time::Duration = time::Duration::from_secs(1);

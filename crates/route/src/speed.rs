use core::time;

use crate::mean;

/// State of an endpoint with respect to ejection for slowness.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// Gets requests in proportion to its weight.
    Normal,
    /// Gets no requests until this time.
    Ejected(time::Duration),
    /// Gets one request at a time, until the first observation.
    Trial {
        /// Whether the trial request is in flight.
        is_sent: bool,
    },
}

/// Recent speed of an endpoint compared with its long-term speed and with the
/// other endpoints.
///
/// An observation is a time divided by the mean of its class over the shard:
/// 1 is normal, 2 is twice as slow.
#[derive(Debug)]
pub(crate) struct Speed {
    recent: mean::Mean,
    baseline: mean::Mean,
    /// Share of its slots that the endpoint gets, 0 to 1.
    weight: f64,
    state: State,
    /// Ejections since the weight was last 1.
    ejections: u32,
    last_observation: time::Duration,
}

impl Speed {
    pub(crate) const fn new() -> Self {
        Self {
            recent: mean::Mean::new(RECENT_WEIGHT),
            baseline: mean::Mean::new(BASELINE_WEIGHT),
            weight: 1.0,
            state: State::Normal,
            ejections: 0,
            last_observation: time::Duration::ZERO,
        }
    }

    /// Adds an observation, which ends a trial.
    pub(crate) fn observe(&mut self, now: time::Duration, ratio: f64) {
        self.recent.observe(ratio);
        self.baseline.observe(ratio);
        self.last_observation = now;
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Normal;
        }
    }

    /// Records that a request was sent to the endpoint.
    pub(crate) fn record_sent(&mut self) {
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Trial { is_sent: true };
        }
    }

    /// Records that a request ended, with or without an observation.
    pub(crate) fn record_end(&mut self) {
        if matches!(self.state, State::Trial { .. }) {
            self.state = State::Trial { is_sent: false };
        }
    }

    /// Returns whether the endpoint is on trial and the trial request has yet to be
    /// sent.
    pub(crate) fn awaits_trial(&self) -> bool {
        self.state == State::Trial { is_sent: false }
    }

    /// Returns whether the endpoint gets at most one request at a time.
    pub(crate) const fn is_on_trial(&self) -> bool {
        matches!(self.state, State::Trial { .. })
    }

    /// Adds the ratio of a request without output, which may still grow, to the
    /// recent mean only, and only if it is higher than that.
    pub(crate) fn observe_overdue(&mut self, now: time::Duration, ratio: f64) {
        if self.recent().is_none_or(|recent| recent < ratio) {
            self.recent.observe(ratio);
            self.last_observation = now;
        }
    }

    /// Returns the recent mean of the observations.
    pub(crate) fn recent(&self) -> Option<f64> {
        self.recent.get()
    }

    /// Returns the share of its slots that the endpoint gets, 0 to 1.
    pub(crate) const fn weight(&self) -> f64 {
        self.weight
    }

    pub(crate) const fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_))
    }

    /// Lowers the weight after failures; it then rises gradually.
    pub(crate) fn lower_weight(&mut self) {
        self.weight = self.weight.min(WEIGHT_AFTER_FAILURE);
    }

    /// Moves the weight one step towards its target and ends or starts an
    /// ejection; returns whether one started.
    ///
    /// `median` is that of the recent means in the shard. `may_eject` is whether
    /// the shard allows another ejection.
    pub(crate) fn update(&mut self, now: time::Duration, median: f64, may_eject: bool) -> bool {
        if let State::Ejected(until) = self.state {
            if now >= until {
                self.state = State::Trial { is_sent: false };
                self.weight = WEIGHT_AFTER_EJECTION;
                self.recent = mean::Mean::new(RECENT_WEIGHT);
            }
            return false;
        }
        let normal = self
            .baseline
            .get()
            .unwrap_or(1.0)
            .max(median)
            .max(NORMAL_MIN);
        if now.saturating_sub(self.last_observation) > STALE_TIME && !self.is_on_trial() {
            // Without observations the weight returns to normal gradually.
            self.recent.observe(normal);
        }
        let slowness = self.recent().unwrap_or(normal) / normal;
        let target = if slowness > TOLERANCE {
            (TOLERANCE / slowness).powi(2)
        } else {
            1.0
        };
        if target < self.weight {
            self.weight = target.max(self.weight * WEIGHT_FALL_FACTOR);
        } else if !self.is_on_trial() {
            self.weight = target.min(self.weight + WEIGHT_RISE);
        }
        if self.weight >= 1.0 {
            self.ejections = 0;
        }
        if self.weight < WEIGHT_EJECT && target < WEIGHT_EJECT && may_eject {
            let factor = 1 << self.ejections.min(EJECTION_DOUBLINGS_MAX);
            self.state = State::Ejected(now + EJECTION_TIME * factor);
            self.ejections += 1;
            return true;
        }
        false
    }
}

/// Weight of the latest observation in the recent mean.
const RECENT_WEIGHT: f64 = 0.25;

/// Weight of the latest observation in the long-term mean.
const BASELINE_WEIGHT: f64 = 0.005;

/// Smallest ratio that slowness is measured against.
const NORMAL_MIN: f64 = 0.5;

/// Slowness up to which the weight stays 1; service times vary by about this
/// factor.
const TOLERANCE: f64 = 1.5;

/// Smallest factor of the weight in one update, which takes place every 100 ms.
const WEIGHT_FALL_FACTOR: f64 = 0.5;

/// Largest rise of the weight in one update, which takes place every 100 ms.
const WEIGHT_RISE: f64 = 0.05;

/// Weight below which an endpoint is ejected.
const WEIGHT_EJECT: f64 = 0.15;

/// Weight at the end of an ejection.
const WEIGHT_AFTER_EJECTION: f64 = 0.1;

/// Largest weight after failures.
const WEIGHT_AFTER_FAILURE: f64 = 0.25;

/// Duration of the first ejection; it doubles while the endpoint stays slow.
const EJECTION_TIME: time::Duration = time::Duration::from_secs(2);

/// Maximum number of doublings of the ejection time.
const EJECTION_DOUBLINGS_MAX: u32 = 2;

/// Time without observations after which the recent mean returns to normal.
const STALE_TIME: time::Duration = time::Duration::from_secs(1);

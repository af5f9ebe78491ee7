use core::time;
use std::collections;

use crate::balancer;
use crate::key;

/// Time after which callers come back while all endpoints are evacuated. Evacuations last
/// for seconds to hours.
const EVACUATED_WAIT: time::Duration = time::Duration::from_secs(1);

/// Whether an endpoint may be sent to, and otherwise why not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Gate {
    /// The endpoint takes requests.
    Open,
    /// The endpoint is leaving or no longer listed, and only finishes what runs there.
    Leaving,
    /// The data centre of the endpoint is evacuated.
    Evacuated,
    /// The endpoint has asked this host to pause for this time.
    Pausing(time::Duration),
    /// This host has used up its share of the endpoint's limit, of what it takes while it
    /// is cold, or of what it is sent after a pause, for this time; `None` if it has no
    /// share.
    Limited(Option<time::Duration>),
    /// Connections to the endpoint fail.
    Down,
    /// The endpoint has just refused a request for lack of room.
    Full,
}

impl Gate {
    /// Returns whether requests that were meant for the endpoint must not be sent.
    /// Unlike at the choice, a request counts against the limit already, and a
    /// connection shows better than earlier ones whether the endpoint is reachable.
    pub const fn is_shut(self) -> bool {
        matches!(self, Self::Leaving | Self::Evacuated | Self::Pausing(_))
    }

    /// Returns the name of the state in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Open => "open",
            Self::Leaving => "leaving",
            Self::Evacuated => "evacuated",
            Self::Pausing(_) => "pausing",
            Self::Limited(_) => "limited",
            Self::Down => "down",
            Self::Full => "full",
        }
    }

    /// Returns the time after which the endpoint may take requests again, if it is
    /// known.
    pub(crate) const fn wait(self) -> Option<time::Duration> {
        match self {
            Self::Evacuated => Some(EVACUATED_WAIT),
            Self::Pausing(wait) => Some(wait),
            Self::Limited(wait) => wait,
            _ => None,
        }
    }
}

impl balancer::Balancer {
    /// Returns whether an endpoint may be sent to. Every way to an endpoint asks this,
    /// at the choice and right before a request is sent.
    pub fn gate(&self, now: time::Duration, key: key::Key) -> Gate {
        let Some(endpoint) = self.endpoints.get(key) else {
            return Gate::Leaving;
        };
        if endpoint.listed.phase != plan::Phase::Up || endpoint.is_leaving {
            return Gate::Leaving;
        }
        if self.is_evacuated(endpoint) {
            return Gate::Evacuated;
        }
        let pause = endpoint.pause.left(now);
        if !pause.is_zero() {
            return Gate::Pausing(pause);
        }
        let quota = endpoint.quota.wait(now);
        let wait = quota.map(|quota| quota.max(endpoint.pause.ramp(now)));
        let cold = endpoint.cold.choice_wait(now);
        let wait = wait.and_then(|wait| Some(wait.max(cold?)));
        if wait != Some(time::Duration::ZERO) {
            return Gate::Limited(wait);
        }
        if endpoint.is_down(now, &self.options) {
            return Gate::Down;
        }
        match endpoint.fault.is_full(now) {
            true => Gate::Full,
            false => Gate::Open,
        }
    }

    /// Returns the endpoints that do not take requests by what their answers said,
    /// with the state.
    pub fn shut(&self, now: time::Duration) -> collections::BTreeMap<String, Gate> {
        let shut = self.endpoints.values().filter_map(|endpoint| {
            let left = endpoint.pause.left(now);
            let gate = match endpoint.is_leaving {
                true => Gate::Leaving,
                false if left.is_zero() => return None,
                false => Gate::Pausing(left),
            };
            Some((endpoint.listed.id.clone(), gate))
        });
        shut.collect()
    }

    /// Records that an answer of the endpoint says that it is leaving. It holds for
    /// this process, until its entry returns from leaving.
    pub fn mark_leaving(&mut self, key: key::Key) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.is_leaving = true;
        }
    }

    /// Records that the endpoint wants nothing from this host for a time. A pause that
    /// lasts longer is not shortened.
    pub fn mark_pausing(&mut self, now: time::Duration, key: key::Key, pause: time::Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.pause.begin(now, pause);
        }
    }
}

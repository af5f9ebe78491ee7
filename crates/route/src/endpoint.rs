use core::time;

use crate::health;
use crate::history;
use crate::limit;
use crate::mean;
use crate::request;
use crate::spec;
use crate::speed;

slotmap::new_key_type! {
    /// Key of an endpoint in the table.
    pub(crate) struct Key;
}

/// State of one endpoint.
#[derive(Debug)]
pub(crate) struct Endpoint {
    pub(crate) spec: spec::Spec,
    /// Whether the endpoint is still in the list of endpoints.
    pub(crate) is_listed: bool,
    pub(crate) is_draining: bool,
    /// Slots that the endpoint reported; 0 if unknown.
    pub(crate) reported_slots: u32,
    /// Time to which the latest load report refers.
    pub(crate) reported_at: time::Duration,
    /// Number of requests that were not sent by this table.
    pub(crate) foreign: u32,
    /// Number of requests that this table granted.
    pub(crate) own: u32,
    /// Number of own requests that are long.
    pub(crate) long: u32,
    /// Number of own requests that were in flight at a crash.
    pub(crate) suspects: u32,
    pub(crate) history: history::History,
    pub(crate) limit: limit::Limit,
    pub(crate) speed: speed::Speed,
    pub(crate) health: health::Health,
    /// Mean time between tokens, in seconds.
    pub(crate) seconds_per_token: mean::Mean,
    /// Index in the candidates of the table.
    pub(crate) candidate_index: usize,
    /// Concurrency limit for own requests, as last computed.
    pub(crate) own_limit: u32,
    /// Slots for a forecast, as last computed.
    pub(crate) nominal_slots: f64,
}

impl Endpoint {
    pub(crate) fn new(now: time::Duration, spec: spec::Spec) -> Self {
        let mut endpoint = Self {
            spec,
            is_listed: true,
            is_draining: false,
            reported_slots: 0,
            reported_at: time::Duration::ZERO,
            foreign: 0,
            own: 0,
            long: 0,
            suspects: 0,
            history: history::History::new(),
            limit: limit::Limit::new(now, 0),
            speed: speed::Speed::new(),
            health: health::Health::default(),
            seconds_per_token: mean::Mean::new(SECONDS_PER_TOKEN_WEIGHT),
            candidate_index: 0,
            own_limit: 0,
            nominal_slots: 0.0,
        };
        endpoint.limit = limit::Limit::new(now, endpoint.slots());
        endpoint
    }

    /// Returns the maximum number of concurrent requests: the smaller of the
    /// setting and the reported value, as far as they are known.
    pub(crate) const fn slots(&self) -> u32 {
        match (self.spec.slots, self.reported_slots) {
            (0, 0) => SLOTS_DEFAULT,
            (0, known) | (known, 0) => known,
            (one, other) => {
                if one < other {
                    one
                } else {
                    other
                }
            }
        }
    }

    /// Returns whether the endpoint accepts new requests in principle.
    pub(crate) const fn is_open(&self) -> bool {
        self.is_listed && self.spec.is_up && !self.is_draining
    }

    /// Returns whether the endpoint is open and not known to be down.
    pub(crate) const fn is_reachable(&self) -> bool {
        self.is_open() && !self.health.is_down()
    }

    /// Returns the slots that the endpoint would have without foreign load, at
    /// least 1.
    pub(crate) fn capacity(&self) -> u32 {
        let limit = self.limit.get().min(f64::from(self.slots()));
        ((limit * self.speed.weight()) as u32).max(1)
    }

    /// Computes the concurrency limit for own requests.
    pub(crate) fn own_limit(&self) -> u32 {
        if !self.is_open() || self.health.paused_until().is_some() || self.speed.is_ejected() {
            return 0;
        }
        if self.speed.is_on_trial() {
            let wanted = self.own + u32::from(self.speed.awaits_trial());
            return wanted.min(self.slots().saturating_sub(self.foreign));
        }
        let capacity = if self.health.is_probing() {
            1
        } else {
            self.capacity()
        };
        capacity.saturating_sub(self.foreign)
    }

    /// Computes the slots for a forecast of the service rate.
    pub(crate) fn nominal_slots(&self) -> f64 {
        if !self.is_reachable() || self.speed.is_ejected() {
            return 0.0;
        }
        (f64::from(self.capacity()) - f64::from(self.foreign) / 2.0).max(1.0)
    }

    /// Returns a set of bits, one for each kind of request for which there is room.
    pub(crate) fn open_kinds(&self, long_share: f64) -> u8 {
        if self.own >= self.own_limit {
            return 0;
        }
        let has_long_room = self.long < long_slots(self.own_limit, long_share);
        let fits = |need: request::Need| {
            (!need.is_long || has_long_room) && (!need.is_suspect || self.suspects == 0)
        };
        (0..request::Need::COUNT)
            .filter(|&index| fits(request::Need::from_index(index)))
            .fold(0, |bits, index| bits | 1 << index)
    }
}

/// Returns how many of `slots` long requests may hold, at least one.
pub(crate) fn long_slots(slots: u32, share: f64) -> u32 {
    ((f64::from(slots) * share) as u32).max(1)
}

/// Slots of an endpoint if neither its settings nor its reports give a number.
const SLOTS_DEFAULT: u32 = 8;

/// Weight of the latest observation in the mean time between tokens.
const SECONDS_PER_TOKEN_WEIGHT: f64 = 0.1;

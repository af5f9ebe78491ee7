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
    pub(crate) setting: spec::Spec,
    /// Still in the list of endpoints.
    pub(crate) listed: bool,
    pub(crate) draining: bool,
    /// Places that the endpoint reported; 0 if it did not.
    pub(crate) reported: u32,
    pub(crate) report_at: time::Duration,
    /// Requests that others placed there.
    pub(crate) foreign: u32,
    /// Requests that this table placed there.
    pub(crate) own: u32,
    pub(crate) long: u32,
    pub(crate) suspects: u32,
    pub(crate) history: history::History,
    pub(crate) limit: limit::Limit,
    pub(crate) speed: speed::Speed,
    pub(crate) health: health::Health,
    /// Seconds per token.
    pub(crate) gap: mean::Mean,
    /// Index in the array of the scan.
    pub(crate) position: usize,
    /// Places for own requests, as last computed.
    pub(crate) places: u32,
    /// Places for a forecast, as last computed.
    pub(crate) nominal: f64,
}

impl Endpoint {
    pub(crate) fn new(now: time::Duration, setting: spec::Spec) -> Self {
        let mut endpoint = Self {
            setting,
            listed: true,
            draining: false,
            reported: 0,
            report_at: time::Duration::ZERO,
            foreign: 0,
            own: 0,
            long: 0,
            suspects: 0,
            history: history::History::new(),
            limit: limit::Limit::new(now, 0),
            speed: speed::Speed::new(),
            health: health::Health::default(),
            gap: mean::Mean::new(GAP_WEIGHT),
            position: 0,
            places: 0,
            nominal: 0.0,
        };
        endpoint.limit = limit::Limit::new(now, endpoint.slots());
        endpoint
    }

    /// Returns the bound of concurrent requests from the settings and the report.
    pub(crate) const fn slots(&self) -> u32 {
        match (self.setting.slots, self.reported) {
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

    /// Returns whether the endpoint takes new work at all.
    pub(crate) const fn open(&self) -> bool {
        self.listed && self.setting.is_up && !self.draining
    }

    /// Returns whether the endpoint is open and not known to be down.
    pub(crate) const fn alive(&self) -> bool {
        self.open() && !self.health.down()
    }

    /// Returns the places that the endpoint would have without foreign load.
    pub(crate) fn capacity(&self) -> u32 {
        let limit = self.limit.get().min(f64::from(self.slots()));
        ((limit * self.speed.weight()) as u32).max(1)
    }

    /// Returns the places for own requests.
    pub(crate) fn room(&self) -> u32 {
        if !self.open() || self.health.until().is_some() || self.speed.ejected() {
            return 0;
        }
        if self.speed.proving() {
            let wanted = self.own + u32::from(self.speed.wants_proof());
            return wanted.min(self.slots().saturating_sub(self.foreign));
        }
        let capacity = if self.health.probing() {
            1
        } else {
            self.capacity()
        };
        capacity.saturating_sub(self.foreign)
    }

    /// Returns the places on which a forecast can count.
    pub(crate) fn nominal(&self) -> f64 {
        if !self.alive() || self.speed.ejected() {
            return 0.0;
        }
        (f64::from(self.capacity()) - f64::from(self.foreign) / 2.0).max(1.0)
    }

    /// Returns one bit for each kind of request for which there is room.
    pub(crate) fn bits(&self, long_share: f64) -> u8 {
        if self.own >= self.places {
            return 0;
        }
        let long = self.long < long_places(self.places, long_share);
        let fits = |need: request::Need| {
            (!need.is_long || long) && (!need.is_suspect || self.suspects == 0)
        };
        (0..request::Need::COUNT)
            .filter(|&index| fits(request::Need::from_index(index)))
            .fold(0, |bits, index| bits | 1 << index)
    }
}

/// Returns how many of `places` long requests may hold, at least one.
pub(crate) fn long_places(places: u32, share: f64) -> u32 {
    ((f64::from(places) * share) as u32).max(1)
}

/// Places of an endpoint for which neither settings nor reports give a number.
const SLOTS_DEFAULT: u32 = 8;

/// Weight of the latest observation in the time per token.
const GAP_WEIGHT: f64 = 0.1;

use core::time;

/// Time in which a past request loses two thirds of its weight.
const MEMORY_S: f64 = 2.5;

/// Age after which the demand that another host published no longer counts.
const PEER_AGE: time::Duration = time::Duration::from_secs(4);

/// Bounds of the interactive share, so that neither kind of work loses all
/// engines while it is rare.
const SHARE_RANGE: (f64, f64) = (0.1, 0.85);

/// Share of its engines up to which interactive work fills them; beyond it, the
/// steps of all requests grow too long.
const INTERACTIVE_FILL: f64 = 0.75;

/// Share of its engines up to which bulk work fills them. Prompts are read one
/// after the other, and the wait behind a long one grows with the share.
const BULK_FILL: f64 = 0.5;

/// Interactive share of a service without requests.
pub(crate) const SHARE_DEFAULT: f64 = 0.4;

/// Engine time that requests ask for, in milliseconds with decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// For requests whose prompt dominates.
    pub bulk_ms: f32,
    /// For requests whose answer dominates.
    pub interactive_ms: f32,
}

/// How the demand of a service divides into bulk and interactive work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tracker {
    own: Demand,
    updated: time::Duration,
    /// By host of the own data centre.
    peers: rustc_hash::FxHashMap<u64, (Demand, time::Duration)>,
    /// By other data centre.
    sums: rustc_hash::FxHashMap<u64, (Demand, time::Duration)>,
}

impl Tracker {
    /// Notes a request.
    pub(crate) fn note(&mut self, now: time::Duration, engine_ms: f64, is_bulk: bool) {
        self.own = self.own(now);
        self.updated = now;
        if is_bulk {
            self.own.bulk_ms += engine_ms as f32;
        } else {
            self.own.interactive_ms += engine_ms as f32;
        }
    }

    /// Returns the demand that this host has seen.
    pub(crate) fn own(&self, now: time::Duration) -> Demand {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let left = (-age / MEMORY_S).exp() as f32;
        Demand {
            bulk_ms: self.own.bulk_ms * left,
            interactive_ms: self.own.interactive_ms * left,
        }
    }

    /// Returns the demand that all hosts of the own data centre have seen.
    pub(crate) fn near(&self, now: time::Duration) -> Demand {
        add(self.own(now), now, &self.peers)
    }

    /// Takes the demand that another host of the own data centre has seen.
    pub(crate) fn hear(&mut self, now: time::Duration, peer: u64, amounts: Demand) {
        self.peers.insert(peer, (amounts, now));
    }

    /// Takes the demand of another data centre.
    pub(crate) fn apply_sum(&mut self, now: time::Duration, data_centre: u64, amounts: Demand) {
        self.sums.insert(data_centre, (amounts, now));
    }

    /// Returns the share of the engines that is kept for interactive work. It
    /// gets what it needs first; what both do not need is divided.
    pub(crate) fn interactive_share(&self, now: time::Duration, engines: usize) -> f64 {
        let sum = add(self.near(now), now, &self.sums);
        let capacity_ms = engines.max(1) as f64 * MEMORY_S * 1_000.0;
        let interactive = f64::from(sum.interactive_ms) / capacity_ms / INTERACTIVE_FILL;
        let bulk = f64::from(sum.bulk_ms) / capacity_ms / BULK_FILL;
        if f64::from(sum.bulk_ms + sum.interactive_ms) < 1.0 {
            return SHARE_DEFAULT;
        }
        let spare = (1.0 - interactive - bulk).max(0.0);
        let share = interactive + spare * interactive / (interactive + bulk);
        share.clamp(SHARE_RANGE.0, SHARE_RANGE.1)
    }
}

/// Adds up the demand that is still fresh.
fn add(
    own: Demand,
    now: time::Duration,
    others: &rustc_hash::FxHashMap<u64, (Demand, time::Duration)>,
) -> Demand {
    let fresh = others
        .values()
        .filter(|(_, at)| now.saturating_sub(*at) < PEER_AGE);
    fresh.fold(own, |sum, (amounts, _)| Demand {
        bulk_ms: sum.bulk_ms + amounts.bulk_ms,
        interactive_ms: sum.interactive_ms + amounts.interactive_ms,
    })
}

use core::time;

/// Time in which a past request loses two thirds of its weight.
const MEMORY_S: f64 = 2.5;

/// Age after which the demand that another host published no longer counts.
const PEER_AGE: time::Duration = time::Duration::from_secs(4);

/// Bounds of the interactive share, so that neither kind of work loses all
/// engines while it is rare.
const SHARE_RANGE: (f64, f64) = (0.1, 0.85);

/// Interactive share of a service without requests.
const SHARE_DEFAULT: f64 = 0.4;

/// Engine time that requests ask for, in milliseconds with decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Amounts {
    /// For requests whose prompt dominates.
    pub bulk_ms: f32,
    /// For requests whose answer dominates.
    pub interactive_ms: f32,
}

/// How the demand of a service divides into bulk and interactive work.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    own: Amounts,
    updated: time::Duration,
    peers: rustc_hash::FxHashMap<u64, (Amounts, time::Duration)>,
}

impl Demand {
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
    pub(crate) fn own(&self, now: time::Duration) -> Amounts {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let left = (-age / MEMORY_S).exp() as f32;
        Amounts {
            bulk_ms: self.own.bulk_ms * left,
            interactive_ms: self.own.interactive_ms * left,
        }
    }

    /// Takes the demand that another host has seen.
    pub(crate) fn hear(&mut self, now: time::Duration, peer: u64, amounts: Amounts) {
        self.peers.insert(peer, (amounts, now));
    }

    /// Returns the share of interactive work over all hosts.
    pub(crate) fn interactive_share(&self, now: time::Duration) -> f64 {
        let mut sum = self.own(now);
        for (amounts, at) in self.peers.values() {
            if now.saturating_sub(*at) < PEER_AGE {
                sum.bulk_ms += amounts.bulk_ms;
                sum.interactive_ms += amounts.interactive_ms;
            }
        }
        let all = f64::from(sum.bulk_ms + sum.interactive_ms);
        if all < 1.0 {
            return SHARE_DEFAULT;
        }
        (f64::from(sum.interactive_ms) / all).clamp(SHARE_RANGE.0, SHARE_RANGE.1)
    }
}

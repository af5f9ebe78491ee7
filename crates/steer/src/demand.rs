use core::time;

/// Time constant of the exponential decay in seconds: after it, a request
/// counts about a third.
const DECAY_S: f64 = 2.5;

/// Age after which demand published by another host is ignored.
const PEER_AGE_MAX: time::Duration = time::Duration::from_secs(4);

/// Bounds of the interactive share, so that a kind of work that is rare at the
/// moment keeps some engines.
const SHARE_RANGE: (f64, f64) = (0.1, 0.85);

/// Target utilisation of the engines reserved for interactive work. Beyond it,
/// the steps of all requests take too long.
const INTERACTIVE_FILL: f64 = 0.75;

/// Target utilisation of the engines reserved for bulk work. An engine
/// processes prompts one after the other, and the wait behind a long one grows
/// with the utilisation.
const BULK_FILL: f64 = 0.5;

/// Interactive share of a service without recent requests.
pub(crate) const SHARE_DEFAULT: f64 = 0.4;

/// Engine time of recent requests in milliseconds, with exponential decay.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Demand {
    /// Engine time of requests whose prompt dominates the work.
    pub bulk_ms: f32,
    /// Engine time of requests whose answer dominates the work.
    pub interactive_ms: f32,
}

/// Tracks the demand for bulk and for interactive work of one service.
#[derive(Clone, Debug, Default, serde::Deserialize, serde::Serialize)]
pub(crate) struct Tracker {
    own: Demand,
    updated: time::Duration,
    /// Demand by host, for hosts of the own data centre.
    #[serde(with = "crate::ordered")]
    peers: rustc_hash::FxHashMap<u64, (Demand, time::Duration)>,
    /// Demand by data centre, for other data centres.
    #[serde(with = "crate::ordered")]
    sums: rustc_hash::FxHashMap<u64, (Demand, time::Duration)>,
}

impl Tracker {
    /// Adds the engine time of a request that this host has sent.
    pub(crate) fn record(&mut self, now: time::Duration, engine_ms: f64, is_bulk: bool) {
        self.own = self.own(now);
        self.updated = now;
        if is_bulk {
            self.own.bulk_ms += engine_ms as f32;
        } else {
            self.own.interactive_ms += engine_ms as f32;
        }
    }

    /// Returns the demand of this host.
    pub(crate) fn own(&self, now: time::Duration) -> Demand {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        let left = (-age / DECAY_S).exp() as f32;
        Demand {
            bulk_ms: self.own.bulk_ms * left,
            interactive_ms: self.own.interactive_ms * left,
        }
    }

    /// Returns the demand of all hosts of the own data centre.
    pub(crate) fn data_centre_sum(&self, now: time::Duration) -> Demand {
        add(self.own(now), now, &self.peers)
    }

    /// Stores the demand that another host of the own data centre published.
    pub(crate) fn apply(&mut self, now: time::Duration, peer: u64, demand: Demand) {
        self.peers.insert(peer, (demand, now));
    }

    /// Stores the demand of another data centre.
    pub(crate) fn apply_sum(&mut self, now: time::Duration, data_centre: u64, demand: Demand) {
        self.sums.insert(data_centre, (demand, now));
    }

    /// Returns whether there was interactive work lately.
    pub(crate) fn has_interactive(&self, now: time::Duration) -> bool {
        add(self.data_centre_sum(now), now, &self.sums).interactive_ms >= 1.0
    }

    /// Returns the share of the engines to reserve for interactive work.
    ///
    /// Interactive work takes precedence and gets the engines that it needs.
    /// Spare engines are divided in proportion to the two demands.
    pub(crate) fn interactive_share(&self, now: time::Duration, engines: usize) -> f64 {
        let sum = add(self.data_centre_sum(now), now, &self.sums);
        let capacity_ms = engines.max(1) as f64 * DECAY_S * 1_000.0;
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

/// Adds the demand of others that is recent enough to `own`.
fn add(
    own: Demand,
    now: time::Duration,
    others: &rustc_hash::FxHashMap<u64, (Demand, time::Duration)>,
) -> Demand {
    let fresh = others
        .values()
        .filter(|(_, at)| now.saturating_sub(*at) < PEER_AGE_MAX);
    fresh.fold(own, |sum, (demand, _)| Demand {
        bulk_ms: sum.bulk_ms + demand.bulk_ms,
        interactive_ms: sum.interactive_ms + demand.interactive_ms,
    })
}

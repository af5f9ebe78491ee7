use core::time;

use crate::load;

/// Factor by which the rate of the bursting class is multiplied during its burst.
const BURST_FACTOR: f64 = 3.0;
/// Start and end of the burst as fractions of the run.
const BURST_SPAN: (f64, f64) = (0.5, 0.6);

/// What happens during a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, clap::ValueEnum)]
pub enum Scenario {
    /// Demand swings above the capacity, and the class with the lowest tier bursts.
    Crest,
    /// Demand is steady and below the capacity.
    Steady,
    /// Demand is steady and near the capacity because of stragglers; the same
    /// arrivals also run without stragglers.
    Stragglers,
    /// Like `steady`, but some endpoints are temporarily slow.
    SlowEndpoint,
    /// The demand of one team is several times its share and above the capacity.
    GreedyTeam,
}

impl Scenario {
    /// Returns the mean demand as a fraction of the engines' capacity.
    pub const fn utilisation(self) -> f64 {
        match self {
            Self::Steady | Self::SlowEndpoint => 0.7,
            Self::Crest | Self::GreedyTeam => 0.8,
            Self::Stragglers => 0.95,
        }
    }

    /// Returns the variation of the rate of a class over a run of length `span`.
    pub fn swing(
        self,
        (amplitude, period): (f64, time::Duration),
        bursts: bool,
        span: time::Duration,
    ) -> load::Swing {
        if self != Self::Crest {
            return load::Swing::default();
        }
        let burst = load::Burst {
            from: span.mul_f64(BURST_SPAN.0),
            until: span.mul_f64(BURST_SPAN.1),
            factor: BURST_FACTOR,
        };
        load::Swing {
            period,
            amplitude,
            burst: bursts.then_some(burst),
        }
    }
}

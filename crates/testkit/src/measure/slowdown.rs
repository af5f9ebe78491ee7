use core::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Mean time from the start of one slowdown to the start of the next.
const MEAN_PERIOD: time::Duration = time::Duration::from_secs(4);
/// Duration of a slowdown.
const DURATION: time::Duration = time::Duration::from_secs(2);
/// Fraction of the engines that are slow at the same time.
const ENGINE_SHARE: f64 = 0.15;
/// Factor by which the steps of a slow engine take longer.
const FACTOR: f64 = 5.0;

/// Interval during which some engines are slow.
#[derive(Clone, Debug)]
pub struct Slowdown {
    /// Beginning of the interval, relative to the start of the load.
    pub from: time::Duration,
    /// End of the interval, exclusive, relative to the start of the load.
    pub until: time::Duration,
    /// Indices of the slow engines.
    pub engines: Vec<usize>,
    /// Factor by which the steps of these engines take longer.
    pub factor: f64,
}

impl Slowdown {
    /// Draws the slowdowns of a run of length `span`.
    pub fn plan(engines: usize, span: time::Duration, seed: u64) -> Vec<Self> {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let count = ((engines as f64 * ENGINE_SHARE).round() as usize).max(1);
        let mut plan = Vec::new();
        let mut from = MEAN_PERIOD / 2;
        while from + DURATION <= span {
            let drawn = rand::seq::index::sample(&mut rng, engines, count);
            plan.push(Self {
                from,
                until: from + DURATION,
                engines: drawn.into_vec(),
                factor: FACTOR,
            });
            // Jitter prevents all slowdowns from falling on the same phase of the demand.
            from += MEAN_PERIOD.mul_f64(rng.random_range(0.9..1.1));
        }
        plan
    }

    /// Returns whether any engine is slow at `at`.
    pub fn covers(plan: &[Self], at: time::Duration) -> bool {
        plan.iter().any(|slow| slow.from <= at && at < slow.until)
    }
}

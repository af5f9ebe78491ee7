use core::time;

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Time from one slowdown to the next.
const PERIOD: time::Duration = time::Duration::from_secs(4);
/// Length of a slowdown.
const LENGTH: time::Duration = time::Duration::from_secs(2);
/// Share of the engines that are slow at once.
const SHARE: f64 = 0.15;
/// Factor by which a slow engine's steps take longer.
const FACTOR: f64 = 5.0;

/// A moment at which some engines are slow.
#[derive(Clone, Debug)]
pub struct Slowdown {
    /// Start, since the start of the load.
    pub from: time::Duration,
    /// End, since the start of the load.
    pub until: time::Duration,
    /// Indices of the engines.
    pub engines: Vec<usize>,
    /// Factor by which their steps take longer.
    pub factor: f64,
}

impl Slowdown {
    /// Draws the slowdowns of a run.
    pub fn plan(engines: usize, span: time::Duration, seed: u64) -> Vec<Self> {
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let count = ((engines as f64 * SHARE).round() as usize).max(1);
        let mut plan = Vec::new();
        let mut from = PERIOD / 2;
        while from + LENGTH <= span {
            let drawn = rand::seq::index::sample(&mut rng, engines, count);
            plan.push(Self {
                from,
                until: from + LENGTH,
                engines: drawn.into_vec(),
                factor: FACTOR,
            });
            // Jitter keeps the slowdowns from falling on the same phase of a swing.
            from += PERIOD.mul_f64(rng.random_range(0.9..1.1));
        }
        plan
    }

    /// Returns whether some engine is slow at this time.
    pub fn covers(plan: &[Self], at: time::Duration) -> bool {
        plan.iter().any(|slow| slow.from <= at && at < slow.until)
    }
}

use rand::RngExt as _;
use rand::SeedableRng as _;

/// Number of bits below the distribution index in a request's `seed` field.
const INDEX_SHIFT: u32 = 32;

/// Log-normal distribution of output lengths in which some answers are stragglers.
#[derive(Clone, Copy, Debug)]
pub struct Length {
    /// Median in tokens, without stragglers.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Share of answers that are stragglers, 0 to 1.
    pub straggler_share: f64,
    /// Factor by which the length of a straggler is multiplied.
    pub straggler_factor: f64,
    /// Upper bound in tokens.
    pub max: u32,
}

impl Default for Length {
    fn default() -> Self {
        Self {
            median: 16.0,
            sigma: 0.4,
            straggler_share: 0.0,
            straggler_factor: 1.0,
            max: 4096,
        }
    }
}

impl Length {
    /// Returns the value of a `seed` field that selects distribution `index` and its draw
    /// number `draw`.
    pub const fn seed(index: usize, draw: u32) -> u64 {
        ((index as u64) << INDEX_SHIFT) | draw as u64
    }

    /// Returns the output length in tokens that an engine uses for a `seed` field.
    ///
    /// An engine without distributions generates one token.
    pub fn of_seed(lengths: &[Self], engine_seed: u64, seed: u64) -> u32 {
        if lengths.is_empty() {
            return 1;
        }
        let index = (seed >> INDEX_SHIFT) as usize % lengths.len();
        let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(engine_seed ^ seed);
        lengths[index].sample(&mut rng)
    }

    fn sample(&self, rng: &mut rand_pcg::Pcg64Mcg) -> u32 {
        let normal = normal(rng);
        let straggler = rng.random::<f64>() < self.straggler_share;
        let factor = if straggler {
            self.straggler_factor
        } else {
            1.0
        };
        let length = self.median * (self.sigma * normal).exp() * factor;
        length.clamp(1.0, f64::from(self.max.max(1))) as u32
    }
}

/// Samples the standard normal distribution with the Box-Muller transform.
fn normal(rng: &mut rand_pcg::Pcg64Mcg) -> f64 {
    let radius = (-2.0 * (1.0 - rng.random::<f64>()).ln()).sqrt();
    let angle = core::f64::consts::TAU * rng.random::<f64>();
    radius * angle.cos()
}

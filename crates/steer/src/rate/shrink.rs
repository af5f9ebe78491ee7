//! How far the factor of an endpoint deviates from the median of its service.
//!
//! Observations of one endpoint differ from each other by chance. Their spread and the
//! spread between endpoints show how much of the difference of an endpoint is noise (a
//! random-effects model, with the moment estimate of DerSimonian and Laird).

use super::window;

/// Variance of an observation of full weight before observations show another one. The
/// logarithms of decoding steps beside prefills differ by 0.2 to 0.4.
const NOISE: f32 = 0.04;

/// Observations that [`NOISE`] counts as.
const NOISE_COUNT: f32 = 8.0;

/// Variance between endpoints, as a multiple of the noise of one observation, before
/// observations show another one.
const BETWEEN: f32 = 2.0;

/// Endpoints that [`BETWEEN`] counts as.
const BETWEEN_COUNT: f32 = 2.0;

/// Variance of a median as a multiple of that of a mean of normal observations.
const MEDIAN_VARIANCE: f32 = core::f32::consts::FRAC_PI_2;

/// Most speeds of other endpoints that an estimate is compared with.
const SPEEDS_MAX: usize = 24;

/// Probability that the speed of an endpoint is unlike those of others.
const UNLIKE: f32 = 0.1;

/// Summary of the observations of an endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sample {
    /// Median, as a logarithm in proportion to the usual speed.
    pub(super) log: f32,
    /// Sum of the weights.
    pub(super) weight: f32,
    /// Weighted squares of the differences from the median.
    squares: f32,
    /// Observations beyond the first.
    freedom: f32,
}

impl Sample {
    /// Returns the summary of observations, or `None` if none has a weight.
    pub(super) fn new(list: &mut [window::Weighted]) -> Option<Self> {
        let (log, weight) = window::median(list)?;
        let squares = list
            .iter()
            .map(|(value, weight)| weight * (value - log).powi(2));
        Some(Self {
            log,
            weight,
            squares: squares.sum(),
            freedom: list.len() as f32 - 1.0,
        })
    }
}

/// Spread of the observations of a service.
#[derive(Debug)]
pub(super) struct Spread {
    /// Variance of a median with a weight of one.
    noise: f32,
    /// Variance between endpoints.
    between: f32,
    /// Median of the service, as a logarithm.
    middle: f32,
    /// Speeds of some endpoints of the service, without the spread by noise.
    speeds: Vec<f32>,
}

impl Spread {
    /// Returns the spread of the endpoints of a service around its median.
    pub(super) fn new(samples: &[Sample], middle: f32) -> Self {
        let sum = |value: fn(&Sample) -> f32| samples.iter().map(value).sum::<f32>();
        let freedom = sum(|sample| sample.freedom);
        let squares = sum(|sample| sample.squares);
        let noise = (squares + NOISE * NOISE_COUNT) / (freedom + NOISE_COUNT) * MEDIAN_VARIANCE;
        let weight = sum(|sample| sample.weight);
        let mean = sum(|sample| sample.weight * sample.log) / weight;
        let differences = samples.iter();
        let differences = differences.map(|sample| sample.weight * (sample.log - mean).powi(2));
        let count = samples.len() as f32;
        let excess = differences.sum::<f32>() - (count - 1.0) * noise;
        let scale = weight - sum(|sample| sample.weight * sample.weight) / weight;
        let observed = if scale > 0.0 {
            excess.max(0.0) / scale
        } else {
            0.0
        };
        let between = (observed * (count - 1.0).max(0.0) + BETWEEN * noise * BETWEEN_COUNT)
            / ((count - 1.0).max(0.0) + BETWEEN_COUNT);
        let mut spread = Self {
            noise,
            between,
            middle,
            speeds: Vec::new(),
        };
        let mut speeds: Vec<_> = samples
            .iter()
            .map(|sample| middle + (sample.log - middle) * spread.share(sample).sqrt())
            .collect();
        speeds.sort_unstable_by(f32::total_cmp);
        let step = speeds.len().div_ceil(SPEEDS_MAX).max(1);
        spread.speeds = speeds.into_iter().skip(step / 2).step_by(step).collect();
        spread
    }

    /// Returns the variance of the median of a sample. That of one or two observations is
    /// their mean.
    fn variance(&self, sample: &Sample) -> f32 {
        let noise = match sample.freedom < 2.0 {
            true => self.noise / MEDIAN_VARIANCE,
            false => self.noise,
        };
        noise / sample.weight
    }

    /// Returns the part of a difference from the median that is not noise.
    fn share(&self, sample: &Sample) -> f32 {
        self.between / (self.between + self.variance(sample))
    }

    /// Returns the estimate of an endpoint's factor, as a logarithm. It is drawn towards
    /// the median of the service, and towards speeds that other endpoints have: with the
    /// median alone, 0.93 instead of 0.97 of the speeds were found at 98 hosts and engines
    /// of two speeds.
    pub(super) fn estimate(&self, sample: &Sample) -> f32 {
        let own = self.middle + (sample.log - self.middle) * self.share(sample);
        let variance = self.variance(sample);
        let likelihood = |speed: f32| (-(sample.log - speed).powi(2) / (2.0 * variance)).exp();
        let others = (1.0 - UNLIKE) / self.speeds.len().max(1) as f32;
        let unlike = (own, UNLIKE * likelihood(own).max(f32::MIN_POSITIVE));
        let known = self.speeds.iter();
        let known = known.map(|speed| (*speed, others * likelihood(*speed)));
        let (sum, weight) = known
            .chain(core::iter::once(unlike))
            .fold((0.0, 0.0), |(sum, total), (speed, weight)| {
                (sum + speed * weight, total + weight)
            });
        sum / weight
    }
}

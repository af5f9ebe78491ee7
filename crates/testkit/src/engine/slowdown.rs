use core::time;

/// A time during which an endpoint is slower than usual.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Start, since the start of the endpoint.
    pub from: time::Duration,
    /// End, since the start of the endpoint.
    pub until: time::Duration,
    /// Factor by which each step takes longer.
    pub factor: f64,
}

impl Slowdown {
    /// Returns the product of the factors that apply at this time.
    pub fn factor(script: &[Self], at: time::Duration) -> f64 {
        script
            .iter()
            .filter(|slow| slow.from <= at && at < slow.until)
            .map(|slow| slow.factor)
            .product()
    }
}

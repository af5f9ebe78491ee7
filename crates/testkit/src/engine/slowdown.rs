use core::time;

/// Interval during which an endpoint is slower.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Beginning of the interval, relative to the start of the endpoint.
    pub from: time::Duration,
    /// End of the interval, exclusive, relative to the start of the endpoint.
    pub until: time::Duration,
    /// Factor by which durations are multiplied.
    pub factor: f64,
}

impl Slowdown {
    /// Returns the product of the factors that apply at `at`, or 1 if there are none.
    pub fn factor(slowdowns: &[Self], at: time::Duration) -> f64 {
        slowdowns
            .iter()
            .filter(|slowdown| slowdown.from <= at && at < slowdown.until)
            .map(|slowdown| slowdown.factor)
            .product()
    }
}

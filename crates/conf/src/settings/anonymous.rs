/// The `[anonymous]` section: callers without a bearer key.
#[derive(Clone, Debug, PartialEq)]
pub struct Anonymous {
    /// Class of requests without a key, unless the pool sets one.
    pub class: String,
    /// Weight of all anonymous callers together relative to teams, 0.001 to 1000.
    pub weight: f64,
}

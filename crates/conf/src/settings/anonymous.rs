/// The `[anonymous]` section.
#[derive(Clone, Debug, PartialEq)]
pub struct Anonymous {
    /// Class of requests without a key.
    pub class: String,
    /// Weight of all anonymous callers together.
    pub weight: f64,
}

use crate::settings::kind;

/// A `[pool NAME]` section; the name is the model or the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// What the endpoints are.
    pub kind: kind::Kind,
    /// Upper bound of endpoints per shard.
    pub shard_endpoints: usize,
    /// Class of every request of this pool, before the team's.
    pub class: Option<String>,
    /// Output length in tokens above which a request counts as long.
    pub long_tokens: u32,
    /// Share of an endpoint's places that long requests may hold, 0 to 1.
    pub long_share: f64,
    /// Whether a request may run more than once; `None` leaves it to the class.
    pub idempotent: Option<bool>,
    /// Whether the engines continue a partial answer.
    pub resume: bool,
}

use crate::settings::kind;

/// A `[pool NAME]` section; the name is the model or the service.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Kind of the endpoints.
    pub kind: kind::Kind,
    /// Maximum number of endpoints per shard.
    pub shard_endpoints: usize,
    /// Class of every request of this pool; `None` leaves it to the team.
    pub class: Option<String>,
    /// Output length in tokens above which a request counts as long.
    pub long_tokens: u32,
    /// Share of an endpoint's slots that long requests may occupy, 0 to 1.
    pub long_share: f64,
    /// Whether a request may run more than once; `None` leaves it to the class.
    pub idempotent: Option<bool>,
    /// Whether the engines can continue a partial answer, so that another one can
    /// resume an interrupted stream.
    pub resume: bool,
}

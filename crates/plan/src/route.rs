use core::time;

use crate::kind;

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Weight relative to the other targets of the route; 0 for no requests.
    pub weight: u32,
}

/// Services and rules for the requests below a path.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Name, as used in logs.
    pub name: String,
    /// Host name that callers use, without a port; case does not matter.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// Retry semantics.
    pub kind: kind::Kind,
    /// Longest time from the arrival of a request to its final answer.
    pub timeout: time::Duration,
    /// Target for the time to the answer, or to the first event of a stream.
    pub target_first: time::Duration,
    /// Target for the longest pause between two events; `None` without a target.
    pub target_gap: Option<time::Duration>,
    /// Largest number of endpoints to which one request may be sent.
    pub attempts_max: u32,
    /// Tier; 0 is the most urgent one.
    pub tier: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

impl Route {
    /// Returns the host name and the prefix, which identify the route.
    pub fn key(&self) -> (&str, &str) {
        (&self.host, &self.prefix)
    }
}

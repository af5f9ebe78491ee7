use core::time;

use crate::kind;

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share in proportion to the other weights.
    pub weight: u32,
}

/// Where the requests below a path go and how they are treated.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Route {
    /// Name in logs.
    pub name: String,
    /// Host name that callers use.
    pub host: String,
    /// Beginning of the paths; begins and ends with a slash.
    pub prefix: String,
    /// Services with their weights.
    pub targets: Vec<Target>,
    /// What may be repeated.
    pub kind: kind::Kind,
    /// Longest time from the arrival of a request to its final answer.
    pub timeout: time::Duration,
    /// Time within which an answer, or its first event, is on time.
    pub target_first: time::Duration,
    /// Longest pause between two events that is on time.
    pub target_gap: Option<time::Duration>,
    /// Most endpoints to which one request may be sent.
    pub attempts_max: u32,
    /// Rank; 0 is the most urgent.
    pub tier: u8,
    /// Whether requests need no key.
    pub is_public: bool,
}

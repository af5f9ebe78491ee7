use core::time;

/// How the endpoints of a service take requests while their caches are cold.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Cold {
    /// Time for which an endpoint is cold unless it says otherwise.
    pub start: time::Duration,
    /// Requests a second that a cold endpoint takes from all hosts together.
    pub per_s: f64,
}

/// Load that an endpoint reports in the headers of an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Current duration of work in percent of the usual; 100 is normal speed.
    pub slowness_percent: u32,
}

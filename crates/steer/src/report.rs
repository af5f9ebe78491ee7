/// What an endpoint says of its load beside an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Report {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// How long work takes at this moment, in percent of the usual.
    pub slowness_percent: u32,
}

use core::time;

/// Settings of the endpoint choice.
#[derive(Clone, Debug, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Options {
    /// Name of the data centre of this host.
    pub data_centre: String,
    /// Expected wait in milliseconds that a request to another data centre must
    /// save. Traffic between data centres costs money.
    pub remote_penalty_ms: f64,
    /// Expected wait in milliseconds that bulk work must save to run on an engine
    /// for interactive work, and vice versa. Prefill of long prompts delays the
    /// tokens of all other requests in the batch.
    pub mix_penalty_ms: f64,
    /// Bound of the backlog of an engine for the least urgent bulk requests, as a
    /// multiple of the target for the first event. Above it a request is refused
    /// immediately, so that others are on time.
    pub backlog_targets: f64,
    /// Amount by which the multiple is higher for the most urgent requests.
    pub backlog_urgent_targets: f64,
    /// Cost in milliseconds of each token of a shared part that is not in the
    /// prefix cache, in addition to the time to process it.
    pub cache_miss_penalty_ms: f64,
    /// Age after which the loads of another host are ignored, because it has
    /// stopped or is unreachable.
    pub peer_load_age: time::Duration,
    /// Age after which an endpoint's report is ignored.
    pub report_age: time::Duration,
    /// Share of the remaining time that a request may be expected to wait. Above
    /// it the request is refused immediately.
    pub wait_share: f64,
    /// Share of the uncached shared parts that is assumed to be in the prefix
    /// cache of the endpoint that ranks first for a prompt.
    pub first_rank_cached_share: f64,
    /// Bound on the requests of all hosts to a cold endpoint in any second, as a multiple
    /// of the rate that it takes.
    pub cold_over: f64,
    /// Requests beyond that multiple.
    pub cold_slack: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            data_centre: String::new(),
            remote_penalty_ms: 25.0,
            mix_penalty_ms: 600.0,
            cache_miss_penalty_ms: 0.06,
            backlog_targets: 1.0,
            backlog_urgent_targets: 1.0,
            peer_load_age: time::Duration::from_millis(1_500),
            report_age: time::Duration::from_millis(400),
            wait_share: 0.8,
            first_rank_cached_share: 0.8,
            cold_over: 1.5,
            cold_slack: 5.0,
        }
    }
}

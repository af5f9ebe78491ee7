use core::time;

/// Settings of the endpoint choice.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Own data centre.
    pub data_centre: String,
    /// Expected wait, in milliseconds, that a request to another data centre
    /// has to save. Bytes between data centres cost money.
    pub remote_penalty_ms: f64,
    /// Expected wait, in milliseconds, that bulk work has to save to run among
    /// interactive work, and the other way round. Reading long prompts delays
    /// the tokens of all that run beside.
    pub mix_penalty_ms: f64,
    /// Multiple of the target for the first event that the prompts ahead of
    /// one of the least urgent requests may take; above it the request is
    /// refused at once, so that others are on time.
    pub backlog_targets: f64,
    /// What the most urgent requests add to this multiple.
    pub backlog_urgent_targets: f64,
    /// Milliseconds that each token of a shared part that has to be read again
    /// adds to the cost of an endpoint, beyond the time to read it.
    pub cache_miss_penalty_ms: f64,
    /// Age after which the loads of another host no longer count; it has
    /// stopped or is cut off.
    pub peer_load_age: time::Duration,
    /// Age after which an endpoint's word on its momentary slowness is void.
    pub report_age: time::Duration,
    /// Share of the time left that a request may be expected to wait; above it
    /// the request is refused at once.
    pub wait_share: f64,
    /// Share of a prompt's last shared part that is expected in the cache of
    /// the endpoint that ranks first for it.
    pub first_rank_cached_share: f64,
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
        }
    }
}

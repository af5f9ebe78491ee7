use core::time::Duration;

/// What is counted during a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub messages: u64,
    pub bytes: u64,
    /// Messages that the first home sent or received.
    pub home_messages: u64,
    pub home_bytes: u64,
    /// Load reports fetched.
    pub polls: u64,
    /// Most requests above the batch at one endpoint.
    pub excess_max: u32,
    /// Samples of endpoints, those above their batch, and the requests above it.
    pub samples: u64,
    pub over: u64,
    pub excess: u64,
    /// Same, during the split.
    pub split_samples: u64,
    pub split_over: u64,
    pub split_excess: u64,
    pub split_excess_max: u32,
    /// Most requests at an endpoint above the batch and what the home's report
    /// could not show.
    pub beyond_bound: u32,
    /// Oldest report on which a start was based.
    pub report_age_max: Duration,
    /// First grant by any host after the death of the first home.
    pub next_grant: Option<Duration>,
    /// Time of the last grant by each host.
    pub last_grant: Vec<Option<Duration>>,
}

impl Tally {
    pub fn sample(&mut self, excess: u32, split: bool) {
        self.samples += 1;
        self.over += u64::from(excess > 0);
        self.excess += u64::from(excess);
        if split {
            self.split_samples += 1;
            self.split_over += u64::from(excess > 0);
            self.split_excess += u64::from(excess);
        }
    }

    pub fn start(&mut self, excess: u32, split: bool) {
        self.excess_max = self.excess_max.max(excess);
        if split {
            self.split_excess_max = self.split_excess_max.max(excess);
        }
    }
}

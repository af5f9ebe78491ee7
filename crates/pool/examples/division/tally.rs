use core::time::Duration;

/// Counts of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    pub messages: u64,
    pub bytes: u64,
    /// Messages that the first home sent or received, and their bytes.
    pub home_messages: u64,
    pub home_bytes: u64,
    /// Fetched load reports.
    pub polls: u64,
    /// Largest number of requests above the batch at one endpoint.
    pub excess_max: u32,
    /// Samples of endpoints, samples above the batch, and the requests above it.
    pub samples: u64,
    pub over: u64,
    pub excess: u64,
    /// The same during the partition.
    pub partition_samples: u64,
    pub partition_over: u64,
    pub partition_excess: u64,
    pub partition_excess_max: u32,
    /// Largest number of requests at an endpoint above the sum of the batch and the
    /// requests that the home's report could not include.
    pub beyond_bound: u32,
    /// Largest age of the report on which a start was based.
    pub report_age_max: Duration,
    /// Time of the first grant by any host after the power loss of the first home.
    pub next_grant: Option<Duration>,
    /// Time of the last grant by each host.
    pub last_grant: Vec<Option<Duration>>,
}

impl Tally {
    pub fn sample(&mut self, excess: u32, is_partitioned: bool) {
        self.samples += 1;
        self.over += u64::from(excess > 0);
        self.excess += u64::from(excess);
        if is_partitioned {
            self.partition_samples += 1;
            self.partition_over += u64::from(excess > 0);
            self.partition_excess += u64::from(excess);
        }
    }

    pub fn start(&mut self, excess: u32, is_partitioned: bool) {
        self.excess_max = self.excess_max.max(excess);
        if is_partitioned {
            self.partition_excess_max = self.partition_excess_max.max(excess);
        }
    }
}

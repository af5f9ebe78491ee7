use core::time;

/// One request of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time since the start of the load.
    pub at: time::Duration,
    /// Index of the flow.
    pub flow: usize,
    /// Number of the caller within the flow.
    pub caller: u32,
    /// Draw from the distribution of output lengths.
    pub draw: u32,
    /// Draw for the length of the prompt, 0 to 1.
    pub size: f64,
    /// Time after which the caller hangs up.
    pub hangup: Option<time::Duration>,
}

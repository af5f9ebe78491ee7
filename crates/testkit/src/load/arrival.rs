use core::time;

/// Planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Time at which the request is sent, relative to the start of the load.
    pub at: time::Duration,
    /// Index of the request's flow.
    pub flow: usize,
    /// Number of the caller within the flow.
    pub caller: u32,
    /// Random number that selects the output length.
    pub draw: u32,
    /// Length of the prompt as a position between the smallest and the largest prompt, 0 to 1.
    pub size: f64,
    /// Time after which the caller hangs up; `None` if it waits for the answer.
    pub hangup: Option<time::Duration>,
}

use core::time;

/// What the requests of a class ask for.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Answers of the shape's model.
    Model {
        /// Share of the engines' time at the mean load, 0 to 1.
        share: f64,
        /// Smallest and largest prompt in bytes.
        prompt: (usize, usize),
    },
    /// Calls of the service that has the name of the class.
    Service {
        /// Number of endpoints.
        endpoints: usize,
        /// Mean time of a call.
        delay: time::Duration,
    },
}

/// A class of a shape. Its distribution of output lengths has its index.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name.
    pub name: &'static str,
    /// Tier.
    pub tier: u8,
    /// Target for the time to the first token or to the answer.
    pub first: time::Duration,
    /// Target for the mean time between tokens.
    pub gap: Option<time::Duration>,
    /// Deadline.
    pub deadline: time::Duration,
    /// Floor.
    pub floor: f64,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// What the requests ask for.
    pub work: Work,
}

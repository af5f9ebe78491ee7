use core::time;

/// Kind of work that the requests of a class cause.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Generated answers of the shape's model.
    Model {
        /// Fraction of the demand for engine time that the class causes, 0 to 1.
        share: f64,
        /// Smallest and largest length of a prompt in bytes.
        prompt: (usize, usize),
    },
    /// Calls of the service with the same name as the class.
    Service {
        /// Number of endpoints of the service.
        endpoints: usize,
        /// Mean duration of a call.
        delay: time::Duration,
    },
}

/// Request class of a shape. Its index in the shape is also the index of its distribution
/// of output lengths.
#[derive(Clone, Copy, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Priority tier, 0 to 3; 0 is the highest.
    pub tier: u8,
    /// Target for the time to the first token or, for a service, to the response.
    pub first: time::Duration,
    /// Target for the mean time between tokens; `None` for a service.
    pub gap: Option<time::Duration>,
    /// Default deadline of a request.
    pub deadline: time::Duration,
    /// Fraction of service reserved for the class while it is starved, 0 to 1.
    pub floor: f64,
    /// Whether a request may be executed more than once.
    pub idempotent: bool,
    /// Kind of work that the requests cause.
    pub work: Work,
}

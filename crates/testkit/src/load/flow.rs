use crate::load::swing::Swing;

/// Kind of work that the requests of a flow cause.
#[derive(Clone, Debug)]
pub enum Work {
    /// Generated answers of a model.
    Model {
        /// Name of the model.
        model: String,
        /// Index of the distribution of output lengths.
        length: usize,
        /// Limit of the output length in tokens that the caller sets; `None` for no limit.
        max_tokens: Option<u32>,
        /// Smallest and largest length of a prompt in bytes.
        prompt: (usize, usize),
    },
    /// Calls of an HTTP service.
    Service {
        /// Path of the calls.
        path: String,
        /// Whether each call has a unique idempotency key.
        keyed: bool,
    },
}

/// Stream of requests of one team in one class.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Name of the class.
    pub class: String,
    /// Name of the team; `anonymous` for callers without a key.
    pub team: String,
    /// Bearer key; `None` for anonymous callers.
    pub key: Option<String>,
    /// Number of callers, each with a separate connection pool.
    pub callers: u32,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// Variation of the rate over time.
    pub swing: Swing,
    /// Fraction of requests whose caller hangs up early, 0 to 1.
    pub hangups: f64,
    /// Kind of work that the requests cause.
    pub work: Work,
}

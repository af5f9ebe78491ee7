use crate::load::swing::Swing;

/// What the requests of a flow ask for.
#[derive(Clone, Debug)]
pub enum Work {
    /// An answer of a model.
    Model {
        /// Name of the model.
        model: String,
        /// Index of the distribution of output lengths.
        length: usize,
        /// Upper bound of the output length in tokens that the caller gives.
        max_tokens: Option<u32>,
        /// Smallest and largest prompt in bytes.
        prompt: (usize, usize),
    },
    /// A call of a plain service.
    Service {
        /// Path of the call.
        path: String,
        /// Whether each call carries an idempotency key of its own.
        keyed: bool,
    },
}

/// Requests of one team in one class.
#[derive(Clone, Debug)]
pub struct Flow {
    /// Class.
    pub class: String,
    /// Team; `anonymous` for callers without a key.
    pub team: String,
    /// Bearer key.
    pub key: Option<String>,
    /// Number of callers, each with connections of its own.
    pub callers: u32,
    /// Mean rate in requests per second.
    pub rate: f64,
    /// How the rate changes.
    pub swing: Swing,
    /// Share of requests whose caller hangs up early, 0 to 1.
    pub hangups: f64,
    /// What the requests ask for.
    pub work: Work,
}

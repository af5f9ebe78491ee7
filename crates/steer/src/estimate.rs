//! Expected time to the first event of a prompt at an engine, term by term.

use crate::endpoint;
use crate::work;

/// Prompts that wait at each engine on average from which on reading a part again costs
/// no more. A longer queue is refused work rather than waiting work.
const WAITING_MAX: f64 = 4.0;

/// Cost of reading a part again while no prompts wait, as a share of its time. Without
/// it, hosts would read a part at every idle engine.
const AGAIN_IDLE: f64 = 0.5;

/// Shortest time in milliseconds that counts as the work of one waiting prompt.
const PROMPT_MS_MIN: f64 = 50.0;

/// Speed of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Rates {
    /// Prompt tokens that it reads in a millisecond.
    pub(crate) tokens_per_ms: f64,
    /// Time of a decoding step in milliseconds.
    pub(crate) step_ms: f64,
}

/// Terms of the expected time to the first event and of the cost for others, in
/// milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Prefill of the tokens that are not cached.
    pub prefill: f64,
    /// Prefill of the prompts ahead.
    pub ahead: f64,
    /// Wait for a slot.
    pub slot: f64,
    /// Decoding steps up to the first event.
    pub decode: f64,
    /// Cost of traffic to the engine's data centre, which is no time.
    pub distance: f64,
    /// Prefill of what the request evicts from the cache.
    pub eviction: f64,
    /// Delay of others by a shared part that is read again.
    pub again: f64,
}

impl Terms {
    /// Returns the expected time to the first event.
    pub const fn wait(&self) -> f64 {
        self.prefill + self.ahead + self.slot + self.decode
    }

    /// Returns the expected time with the costs for others.
    pub const fn cost(&self) -> f64 {
        self.wait() + self.distance + self.eviction + self.again
    }
}

/// What is known of an engine for one request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Inputs {
    pub(crate) rates: Rates,
    /// Factor by which work currently takes longer.
    pub(crate) slowness: f64,
    pub(crate) slots: f64,
    pub(crate) total: endpoint::Total,
    /// Prompt tokens that are not cached.
    pub(crate) missing: f64,
    /// Those of them in shared parts.
    pub(crate) missing_shared: f64,
    /// Tokens that the cache holds beyond the capacity with the request.
    pub(crate) evicted: f64,
    pub(crate) distance_ms: f64,
    /// Time to read the prompts that wait at an engine, on average over all engines.
    pub(crate) mean_backlog_ms: f64,
    /// Whether other hosts read the shared parts at this engine too.
    pub(crate) is_home: bool,
}

/// Returns the terms of a request at an engine.
pub(crate) fn terms(inputs: &Inputs, work: &work::Work) -> Terms {
    let per_token = inputs.slowness / inputs.rates.tokens_per_ms;
    let step_ms = inputs.rates.step_ms * inputs.slowness;
    let filled = inputs.total.running / inputs.slots;
    let own_ms = (inputs.missing - inputs.missing_shared) * per_token;
    let waiting = (inputs.mean_backlog_ms / own_ms.max(PROMPT_MS_MIN)).min(WAITING_MAX);
    let drain_ms = f64::from(work.expected_output()) * step_ms / inputs.slots;
    Terms {
        prefill: inputs.missing * per_token,
        ahead: inputs.total.prefill_tokens * per_token,
        // The probability that all slots are in use grows steeply with the filled share.
        slot: drain_ms * filled.powi(4),
        decode: step_ms * (1.0 + filled),
        distance: inputs.distance_ms,
        eviction: inputs.evicted * per_token * waiting,
        again: match inputs.is_home {
            true => 0.0,
            false => inputs.missing_shared * per_token * (AGAIN_IDLE + waiting),
        },
    }
}

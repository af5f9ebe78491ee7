use core::time;

use crate::engine::length::Length;
use crate::engine::slowdown::Slowdown;

/// A request that crashes the engine.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Text in the prompt that causes the crash.
    pub marker: String,
    /// Output tokens that the request gets before the crash.
    pub after_tokens: u32,
    /// Time until the engine listens on its port again; `None` for never.
    pub restart_after: Option<time::Duration>,
}

/// Properties of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the model in answers.
    pub model: String,
    /// Upper bound of sequences in the running batch.
    pub slots: usize,
    /// Upper bound of requests that wait inside the engine; more get status 503.
    pub waiting_max: usize,
    /// Time to prefill one prompt token.
    pub prefill: time::Duration,
    /// Upper bound of prompt tokens that are prefilled within one step.
    pub prefill_chunk: u32,
    /// Time of a decode step with one sequence.
    pub decode: time::Duration,
    /// Share by which a decode step is longer with a full batch than with one sequence.
    pub batch_growth: f64,
    /// Seed of the output lengths.
    pub seed: u64,
    /// Distributions of output lengths; the request's `seed` field chooses one.
    pub lengths: Vec<Length>,
    /// Blocks of 16 tokens in the prefix cache.
    pub cache_blocks: usize,
    /// Age of the load reports.
    pub report_lag: time::Duration,
    /// Times at which the engine is slower, relative to its start.
    pub slow: Vec<Slowdown>,
    /// What crashes the engine.
    pub crash: Option<Crash>,
    /// Whether an older fencing number than the newest seen is refused.
    pub fencing: bool,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            model: "model".into(),
            slots: 8,
            waiting_max: 1024,
            prefill: time::Duration::from_micros(20),
            prefill_chunk: 512,
            decode: time::Duration::from_millis(4),
            batch_growth: 0.5,
            seed: 0,
            lengths: vec![Length::default()],
            cache_blocks: 512,
            report_lag: time::Duration::ZERO,
            slow: Vec::new(),
            crash: None,
            fencing: false,
        }
    }
}

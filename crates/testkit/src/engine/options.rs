use core::time;

use crate::engine::length::Length;
use crate::engine::slowdown::Slowdown;

/// Fault in which a request crashes the engine.
#[derive(Clone, Debug)]
pub struct Crash {
    /// Text in the prompt that causes the crash.
    pub marker: String,
    /// Output tokens generated for the request before the crash.
    pub after_tokens: u32,
    /// Time until the engine reopens its port; `None` if it stays closed.
    pub restart_after: Option<time::Duration>,
}

/// Configuration of a stand-in engine.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the model in answers.
    pub model: String,
    /// Maximum number of sequences in the running batch.
    pub slots: usize,
    /// Maximum number of queued requests; beyond it, requests are refused with status 503.
    pub waiting_max: usize,
    /// Time to prefill one prompt token.
    pub prefill: time::Duration,
    /// Maximum number of prompt tokens that are prefilled in one step.
    pub prefill_chunk: u32,
    /// Duration of a decode step with one sequence.
    pub decode: time::Duration,
    /// Fraction by which a decode step takes longer with a full batch than with one sequence.
    pub batch_growth: f64,
    /// Seed of the output lengths.
    pub seed: u64,
    /// Distributions of output lengths; the `seed` field of a request selects one.
    pub lengths: Vec<Length>,
    /// Capacity of the prefix cache in blocks of 16 tokens.
    pub cache_blocks: usize,
    /// Age of the load reports.
    pub report_lag: time::Duration,
    /// Scripted slowdowns, relative to the start of the engine.
    pub slow: Vec<Slowdown>,
    /// Crash that a request can cause, if any.
    pub crash: Option<Crash>,
    /// Whether requests with an older fencing number than the newest seen are refused.
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

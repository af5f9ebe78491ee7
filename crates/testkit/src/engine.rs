//! Stand-in for an inference engine with an OpenAI-compatible API.
//!
//! The engine simulates continuous batching with a bounded number of slots. Each
//! step generates one token for every running sequence whose prompt is prefilled,
//! and its duration grows with the batch size. Prompts are prefilled in bounded
//! chunks within the same steps.

mod answer;
mod batch;
mod body;
mod cache;
mod counters;
mod handle;
mod length;
mod load;
mod options;
mod routes;
mod sequence;
mod slowdown;
mod state;
mod ticket;

pub use batch::unix_ms;
pub use counters::Counters;
pub use handle::Handle;
pub use length::Length;
pub use options::{Crash, Options};
pub use slowdown::Slowdown;

use std::io;

/// Starts stand-in engines.
pub struct Engine;

impl Engine {
    /// Starts an engine on an ephemeral port of 127.0.0.1.
    ///
    /// The engine stops when the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(options: Options) -> io::Result<Handle> {
        Handle::start(options)
    }
}

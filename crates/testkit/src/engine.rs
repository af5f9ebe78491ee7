//! Stand-in for a model engine with an OpenAI-style interface.
//!
//! The engine runs a continuous batch with a bounded number of slots. Each step
//! gives every running sequence one token and takes longer the larger the batch
//! is; prompts are prefilled in bounded chunks within the same steps.

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
    /// Starts an engine on a port of 127.0.0.1 that the system chose.
    ///
    /// The engine stops when the handle is dropped.
    ///
    /// # Errors
    ///
    /// Returns the error of the system if no port can be bound.
    pub fn start(options: Options) -> io::Result<Handle> {
        Handle::start(options)
    }
}

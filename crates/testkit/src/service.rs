//! Stand-in for a plain HTTP service that records what it executed.

mod execution;
mod handle;
mod options;
mod reply;

pub use execution::Execution;
pub use handle::Service;
pub use options::Options;
pub use reply::{Fault, Reply};

//! Stand-in for an HTTP service that records the requests that it executed.

mod execution;
mod handle;
mod options;
mod reply;

pub use execution::Execution;
pub use handle::Service;
pub use options::Options;
pub use reply::{Fault, Reply};

//! Stand-in for the platform's configuration service and host list.

mod entry;
mod handle;
mod options;
mod state;

pub use entry::Entry;
pub use handle::Platform;
pub use options::Options;
pub use state::Counters;

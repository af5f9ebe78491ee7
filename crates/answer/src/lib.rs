//! The closed list of error kinds and the answer that each one gives.
//!
//! Every refusal of the router is one [`Kind`]. [`Kind::entry`] is the only
//! place that maps a kind to an HTTP status, a run state, retry advice and a
//! log level.

mod advice;
mod entry;
mod kind;
mod refusal;
mod run_state;

pub use advice::Advice;
pub use entry::Entry;
pub use kind::Kind;
pub use refusal::Refusal;
pub use run_state::RunState;

//! The closed list of error kinds and the HTTP response that each one gives.
//!
//! Every refusal of the router has one [`Kind`]. [`Kind::entry`] is the only
//! place that maps a kind to an HTTP status, a run state, retry advice and a
//! log level. The HTTP responses themselves are built by the crate `front`
//! from a [`Refusal`].

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

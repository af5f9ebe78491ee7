//! Endpoint choice, admission and repeat budget of opaque traffic.
//!
//! Every host decides for itself. [`Balancer`] holds the endpoints with the work
//! that this host has at them, the loads that other hosts publish as [`Load`]
//! and the reports that come with answers. [`Balancer::pick`] weighs the expected
//! wait at each endpoint, what its prompt cache probably holds and the bytes
//! between data centres. [`Budget`] bounds repeats. Nothing here does I/O or
//! reads a clock; times are durations since the start of the process.

mod balancer;
mod budget;
mod cache;
mod change;
mod choose;
mod counts;
mod demand;
mod demands;
mod end;
mod endpoint;
mod fault;
mod key;
mod load;
mod options;
mod partition;
mod pick;
mod placement;
mod report;
mod run;
mod work;

mod shortlist;
mod sum;
mod tell;

pub use balancer::Balancer;
pub use budget::{Allowance, Budget};
pub use change::Change;
pub use counts::Counts;
pub use demand::Demand;
pub use demands::Demands;
pub use end::End;
pub use key::Key;
pub use load::Load;
pub use options::Options;
pub use pick::{Decision, Pick, Refusal};
pub use placement::Placement;
pub use report::Report;
pub use run::Run;
pub use sum::Sum;
pub use work::{Objective, Part, Work};

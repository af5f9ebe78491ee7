//! Endpoint choice, admission and repeat budget of opaque traffic.
//!
//! Every host decides for itself. [`Fleet`] holds the endpoints with the work
//! that this host has at them, the loads that other hosts publish as [`Load`]
//! and the reports that come with answers. [`Fleet::pick`] weighs the expected
//! wait at each endpoint, what its prompt cache probably holds and the bytes
//! between data centres. [`Budget`] bounds repeats. Nothing here does I/O or
//! reads a clock; times are durations since the start of the process.

mod budget;
mod cache;
mod census;
mod change;
mod choose;
mod demand;
mod demands;
mod end;
mod endpoint;
mod fault;
mod fleet;
mod key;
mod load;
mod need;
mod options;
mod pick;
mod placement;
mod position;
mod report;
mod run;
mod share;
mod shortlist;
mod sum;

pub use budget::{Budget, Share};
pub use census::Census;
pub use change::Change;
pub use demand::Amounts;
pub use demands::Demands;
pub use end::End;
pub use fleet::Fleet;
pub use key::Key;
pub use load::Load;
pub use need::{Need, Part, Work};
pub use options::Options;
pub use pick::{Outcome, Pick, Refusal};
pub use placement::Placement;
pub use report::Report;
pub use run::Run;
pub use sum::Sum;

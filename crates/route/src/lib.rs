//! Endpoint choice, limits, ejection, retries and crash blame.
//!
//! [`Table`] holds the endpoints of one shard and the requests that run on
//! them. [`Budget`], [`Length`], [`Throughput`] and [`Quarantine`] are independent parts
//! that the owner of the table combines with it. Nothing here does I/O or
//! reads a clock; times are durations since the start of the process.

mod budget;
mod choose;
mod endpoint;
mod health;
mod history;
mod hot;
mod latency;
mod length;
mod limit;
mod mean;
mod options;
mod outcome;
mod quarantine;
mod report;
mod request;
mod run;
mod spec;
mod speed;
mod table;
mod throughput;
mod verdict;
mod watch;

pub use budget::Budget;
pub use latency::Latency;
pub use length::Length;
pub use options::Options;
pub use outcome::Outcome;
pub use quarantine::Quarantine;
pub use report::Report;
pub use request::{Need, Request};
pub use run::Key as RunKey;
pub use spec::Spec;
pub use table::Table;
pub use throughput::Throughput;
pub use verdict::Verdict;

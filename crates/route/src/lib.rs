//! Endpoint choice, concurrency limits, ejection and retry budgets of one shard.
//!
//! [`Table`] holds the endpoints of one shard and the requests that run on
//! them. [`Budget`], [`Length`], [`Latency`], [`Throughput`], [`Quarantine`] and
//! [`parts::Quarantine`] are independent parts that the owner, crate `pool`, combines with it. Nothing
//! here does I/O or reads a clock; times are durations since the start of the
//! process.
//!
//! Crate `sched` decides which request is next. Crate `steer` chooses endpoints
//! for opaque traffic, and the routes from paths to services are in crate `plan`.

mod budget;
mod candidate;
mod choose;
mod effect;
mod endpoint;
mod health;
mod history;
mod latency;
mod length;
mod limit;
mod mean;
mod options;
mod outcome;
pub mod parts;
mod quarantine;
mod report;
mod request;
mod run;
mod spec;
mod speed;
mod suspect;
mod table;
mod throughput;
mod update;
mod verdict;

pub use budget::Budget;
pub use effect::Effect;
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

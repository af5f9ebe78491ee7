//! Service-level objectives: sliding windows of request counts, burn rates and
//! their report.
//!
//! A [`Recorder`] counts good and bad requests of one host per class and team in
//! several sliding [`Window`]s, in bounded memory. A [`Snapshot`] holds the counts
//! of one or more hosts; snapshots merge in any order. [`report::Report`] renders
//! a snapshot.
//!
//! Crate `host` records the requests; [`Sample::verdict`] decides whether one met
//! its targets. A [`Window`] spans past requests here and has nothing to do with
//! `starvation_window` of crate `sched`. The crate does no I/O and reads no clock.

mod cause;
mod class;
mod counts;
mod event;
mod histogram;
mod options;
mod recorder;
pub mod report;
mod ring;
mod sample;
mod series;
mod snapshot;
mod totals;
mod verdict;
mod window;

pub use cause::Cause;
pub use class::Class;
pub use event::Event;
pub use histogram::Histogram;
pub use options::Options;
pub use recorder::Recorder;
pub use report::Report;
pub use sample::Sample;
pub use snapshot::{Objective, Snapshot};
pub use totals::Totals;
pub use verdict::Verdict;
pub use window::Window;

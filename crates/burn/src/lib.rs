//! Service-level windows and the burn report.
//!
//! A host keeps one [`Recorder`]. It counts good and bad requests per class and
//! team in several sliding [`Window`]s, in bounded memory. A [`Snapshot`] is
//! what hosts exchange; snapshots of several hosts merge into one, whatever
//! their order. [`report::Report`] renders a snapshot.

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

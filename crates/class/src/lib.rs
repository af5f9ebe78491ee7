//! Authentication of callers and resolution of requests to classes.
//!
//! A [`Table`] is built from settings that crate `conf` has checked.
//! [`Table::resolve`] finds the team of a bearer key, the class of the request and
//! the targets and deadline that follow from it; [`Resolution::reasons`] explains
//! which settings decided. Crates `sched`, `pool` and `burn` have a `Class` of
//! their own, which holds only the settings that they need of a class.

mod caller;
mod index;
mod query;
mod reason;
mod resolution;
mod source;
mod table;
mod team;

pub use query::Query;
pub use reason::Reason;
pub use resolution::Resolution;
pub use source::Source;
pub use table::Table;
pub use team::ANONYMOUS_TEAM_KEY;
pub use team::key as team_key;

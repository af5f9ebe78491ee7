//! Caller recognition and class resolution.
//!
//! A [`Table`] is made from checked settings. [`Table::resolve`] finds the
//! team behind a bearer key, the class of the request and what follows from
//! it; [`Resolution::reasons`] says which settings decided.

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

//! Caller recognition and class resolution.
//!
//! A [`Table`] is made from checked settings. [`Table::resolve`] finds the
//! team behind a bearer key, the class of the request and what follows from
//! it; [`Outcome::reasons`] says which settings decided.

mod caller;
mod index;
mod outcome;
mod query;
mod reason;
mod source;
mod table;
mod team;

pub use outcome::Outcome;
pub use query::Query;
pub use reason::Reason;
pub use source::Source;
pub use table::Table;
pub use team::ANONYMOUS_KEY;
pub use team::key as team_key;

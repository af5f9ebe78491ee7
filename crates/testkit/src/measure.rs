//! Measurement of router policies under a seeded load; the library of the program
//! `measure`.
//!
//! All times are shorter by the factor [`SCALE`], so that a run of 20 s represents
//! more than a minute with real engines.

mod class;
mod cluster;
mod figures;
mod hosts;
mod overhead;
mod percentile;
mod policy;
mod scenario;
mod settings;
mod shape;
mod shapes;
mod slowdown;
mod summary;
mod table;
mod team;
mod tokens;
mod trial;

pub use class::{Class, Work};
pub use cluster::Cluster;
pub use policy::Policy;
pub use scenario::Scenario;
pub use settings::settings;
pub use shape::Shape;
pub use slowdown::Slowdown;
pub use summary::{Row, Summary};
pub use table::Table;
pub use team::Team;
pub use tokens::Tokens;
pub use trial::{Options, trial};

/// Factor by which all times and targets are shorter than in a deployment.
pub const SCALE: u32 = 4;

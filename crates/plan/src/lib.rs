//! Configuration of opaque traffic: routes, services and teams.
//!
//! A [`Plan`] is one revision of what operators configure. [`Table`] indexes it
//! for the request path: it finds the route by host name and longest prefix,
//! the team by key, the service by weight and the rank of a request. A [`Delta`] turns
//! one plan into the next one.
//!
//! The crate holds data and look-ups only. Crate `steer` selects the endpoint
//! within a service. Despite its name, crate `route` does not use these routes:
//! it selects endpoints for crate `host`, which is configured by crates `conf`
//! and `class` instead.

mod build;
mod cold;
pub mod delta;
mod endpoint;
mod engine;
mod evacuation;
mod kind;
mod limits;
mod plan;
mod rank;
mod route;
mod service;
mod table;
mod team;
mod version;

pub use build::Build;
pub use cold::Cold;
pub use delta::Delta;
pub use endpoint::{Endpoint, Phase};
pub use engine::Engine;
pub use evacuation::Evacuation;
pub use kind::Kind;
pub use limits::Limits;
pub use plan::Plan;
pub use rank::Rank;
pub use route::{Route, Target};
pub use service::Service;
pub use table::{Caller, Table};
pub use team::Team;
pub use version::Version;

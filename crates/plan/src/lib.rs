//! Routes, services and teams of opaque traffic.
//!
//! A [`Plan`] is one revision of what operators configure. [`Table`] indexes it
//! for the path of a request: the route by host name and longest prefix, and
//! the team by key.

mod endpoint;
mod engine;
mod kind;
mod limits;
mod plan;
mod rank;
mod route;
mod service;
mod table;
mod team;

pub use endpoint::{Endpoint, Phase};
pub use engine::Engine;
pub use kind::Kind;
pub use limits::Limits;
pub use plan::Plan;
pub use rank::Rank;
pub use route::{Route, Target};
pub use service::Service;
pub use table::{Caller, Table};
pub use team::Team;

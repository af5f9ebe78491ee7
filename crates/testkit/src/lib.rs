//! Stand-ins for engines, services and the platform, and the load tool.

pub mod capacity;
pub mod client;
pub mod engine;
pub mod load;
pub mod measure;
pub mod platform;
pub mod server;
pub mod service;
mod sync;
pub mod text;

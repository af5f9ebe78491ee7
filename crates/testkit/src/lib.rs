//! Stand-ins for engines, services and the platform, and the load tool.

pub mod client;
pub mod engine;
pub mod load;
pub mod server;
mod sync;
pub mod text;

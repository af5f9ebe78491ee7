//! HTTP client for the platform: configuration and list of hosts.
//!
//! Crate `fleet` decides when a host reads the platform.

mod client;
mod config;
mod error;
mod host;
mod options;

pub use client::Client;
pub use config::Config;
pub use error::Error;
pub use host::{Host, State};
pub use options::Options;

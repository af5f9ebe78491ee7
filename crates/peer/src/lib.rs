//! Transport between hosts and the platform client.
//!
//! RPC objects are bound to their thread, so [`Server`] and [`Client`] keep
//! them on threads of their own and talk to them by channels. Their public
//! interfaces can be used from any thread.

mod cause;
pub mod client;
mod counters;
mod error;
mod frame;
mod handler;
mod handshake;
mod identity;
mod keys;
mod limiter;
mod origin;
mod packed;
pub mod platform;
mod rpc;
pub mod server;
mod socket;
mod worker;

pub use cause::Cause;
pub use client::Client;
pub use counters::{Count, Counters};
pub use error::Error;
pub use handler::{Future, Handler};
pub use identity::Identity;
pub use keys::Keys;
pub use origin::Origin;
pub use server::Server;
pub use socket::Socket;

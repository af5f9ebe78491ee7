//! Transport between hosts, and the HTTP client for the platform.
//!
//! - [`Server`] accepts links from other hosts and passes their calls to a
//!   [`Handler`].
//! - [`Client`] opens links to other hosts and makes calls on them.
//! - [`Socket`] sends and receives signed datagrams.
//! - [`platform`] reads the configuration and the list of hosts over HTTP.
//!
//! A link is a TCP connection with a mutual handshake, on which one host calls
//! another by Cap'n Proto RPC. Crate `wire` defines the messages and signatures;
//! this crate transports them and manages the connections. Crate `fleet` decides which
//! hosts are members, `host` handles the calls, and crates `front` and `back` are
//! the HTTP server for callers and the HTTP client for endpoints.
//!
//! Modules with similar words: `server::session` receives the calls of one accepted
//! link and `client::calls` tracks those of one opened link; `client::link` is the task
//! that opens connections on demand and `client::connection` one such connection;
//! `frame` carries the handshake and `packed` the RPC messages that follow it.
//!
//! RPC objects cannot leave their thread, so [`Server`] and [`Client`] keep them
//! on threads of their own and communicate with these over channels. The public
//! types can be used from any thread.

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

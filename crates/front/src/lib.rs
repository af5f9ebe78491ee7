//! HTTP server for the connections of callers, plain or over TLS.
//!
//! A [`Server`] accepts connections and enforces limits on their number, times
//! and sizes. It either parses each request into a [`Request`], passes it to a
//! [`Service`] and encodes the [`Response`] or refusal, or it passes whole HTTP
//! requests within the limits to a [`Handler`] of another crate. The crate
//! `back` is the opposite side, the client towards endpoints; `answer` defines
//! the error kinds that refusals are made of.

pub mod account;
mod activity;
pub mod body;
mod buffers;
mod connection;
mod counters;
mod encode;
mod fingerprint;
mod handler;
mod machine;
mod memory;
mod options;
pub mod parse;
mod request;
mod response;
mod response_body;
mod routes;
mod server;
mod service;
mod slots;
mod stream;
mod tally;
mod throttle;
pub mod tls;

pub use counters::Counters;
pub use encode::refusal as refusal_response;
pub use handler::{Handler, HandlerFuture};
pub use memory::{Holder, Memory, Reservation};
pub use options::Options;
pub use request::{MODEL_PATHS, Request, Target};
pub use response::Response;
pub use server::Server;
pub use service::{Service, ServiceFuture};
pub use tally::Reason;

/// Body of a response to a caller.
pub type Body = axum::body::Body;

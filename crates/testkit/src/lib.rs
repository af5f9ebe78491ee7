//! Stand-ins for engines, services and the platform, and the programs `measure`
//! and `capacity`.
//!
//! The stand-ins ([`engine`], [`service`], [`platform`]) are HTTP servers on
//! loopback for tests, measurements and the command `carobbay demo`; a deployment
//! uses none of them. [`platform`] implements the protocol whose client is
//! `peer::platform`; the stand-in for the store that crate `platform` reads is in
//! the tests of that crate.
//! [`hosts`] plays many hosts before scripted endpoints without a network.
//! [`engines`] plays many hosts before scripted model engines in the same way.
//! [`cut`] has the parts of answers that end early.
//! [`ports`] reserves ports for programs that are told their addresses.
//! [`load`] is the open-loop load generator. [`measure`] runs router hosts under
//! that load and reports latency and correctness; [`capacity`] reports the
//! bytes, processor time and memory that a host uses, and how long a configuration
//! change takes.

mod batch;
pub mod capacity;
pub mod client;
pub mod cut;
pub mod engine;
pub mod engines;
mod exchange;
pub mod hosts;
pub mod load;
pub mod measure;
pub mod platform;
pub mod ports;
pub mod server;
pub mod service;
mod shape;
mod sync;
pub mod text;

//! Discrete-event simulation of several hosts that share one pool.

mod grant;
mod lease;
mod message;
pub mod request;
pub mod setup;
mod tally;
mod world;

pub use setup::{Division, Setup};
pub use world::World;

//! Invariants under faults, with router hosts as processes on loopback.

mod booking;
mod configuration;
mod crashes;
mod fleet;
mod leaving;
mod model;
mod net;
mod once;
mod pairs;
mod streams;

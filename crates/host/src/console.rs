//! Administration of this host: listener of the API and the state that it shows.
//!
//! Crate `admin` defines the API; this module answers it from the state of the
//! host.

mod listener;
mod lists;
mod orders;
mod printed;
mod source;

pub(crate) use listener::listen;
pub(crate) use printed::Printed;
pub(crate) use source::Console;

//! Administration of this host: the state behind the API and its listener.

mod listener;
mod lists;
mod orders;
mod printed;
mod source;

pub(crate) use listener::Listener;
pub(crate) use printed::Printed;
pub(crate) use source::Console;

//! TLS for listeners, with certificates that are reloaded when their files change.

mod acceptor;
mod error;
mod options;
mod pair;

pub use acceptor::{Acceptor, Stream};
pub use error::Error;
pub use options::Options;

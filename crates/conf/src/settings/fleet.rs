use std::fmt;
use std::net;

/// The `[fleet]` section.
#[derive(Clone, PartialEq)]
pub struct Fleet {
    /// Peer addresses of the hosts to contact first.
    pub seeds: Vec<net::SocketAddr>,
    /// Keys shared by all hosts; the first signs, all are accepted.
    pub peer_keys: Vec<String>,
    /// Addresses of the platform's services; empty without a platform.
    pub platform: Vec<net::SocketAddr>,
}

impl fmt::Debug for Fleet {
    /// Formats the section with the number of shared keys in place of the keys.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Fleet")
            .field("seeds", &self.seeds)
            .field(
                "peer_keys",
                &format_args!("{} masked", self.peer_keys.len()),
            )
            .field("platform", &self.platform)
            .finish()
    }
}

use core::time;
use std::path;

/// Default time between two looks at the files.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Default longest handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Where the certificate is and how handshakes are bounded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// PEM file with the certificate chain, the listener's own first.
    pub certificate: path::PathBuf,
    /// PEM file with the private key.
    pub key: path::PathBuf,
    /// Shortest time between two looks at the files; zero looks at every
    /// connection.
    pub check_interval: time::Duration,
    /// Longest handshake, including a look at the files.
    pub handshake_timeout: time::Duration,
}

impl Options {
    /// Returns options for these files with the default times.
    pub fn new(certificate: impl Into<path::PathBuf>, key: impl Into<path::PathBuf>) -> Self {
        Self {
            certificate: certificate.into(),
            key: key.into(),
            check_interval: CHECK_INTERVAL,
            handshake_timeout: HANDSHAKE_TIMEOUT,
        }
    }
}

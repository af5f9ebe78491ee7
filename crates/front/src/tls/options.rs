use core::time;
use std::path;

/// Default minimum time between two checks of the files.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Default maximum duration of a handshake.
const HANDSHAKE_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// Certificate files and time limits of an [`Acceptor`](crate::tls::Acceptor).
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Options {
    /// PEM file with the certificate chain, the certificate of the listener first.
    /// At most 1 MiB.
    pub certificate: path::PathBuf,
    /// PEM file with the private key. At most 1 MiB.
    pub key: path::PathBuf,
    /// Minimum time between two checks of the files, which are made when a
    /// connection arrives; zero checks them for every connection. The default is
    /// 2 s.
    pub check_interval: time::Duration,
    /// Maximum duration of a handshake, including a check of the files. The default
    /// is 10 s.
    pub handshake_timeout: time::Duration,
}

impl Options {
    /// Creates options for these files with the default times.
    pub fn new(certificate: impl Into<path::PathBuf>, key: impl Into<path::PathBuf>) -> Self {
        Self {
            certificate: certificate.into(),
            key: key.into(),
            check_interval: CHECK_INTERVAL,
            handshake_timeout: HANDSHAKE_TIMEOUT,
        }
    }
}

use std::path;

/// The `[tls]` section, if both of its keys are set.
#[derive(Clone, Debug, PartialEq)]
pub struct Tls {
    /// PEM file with the certificate chain.
    pub certificate: path::PathBuf,
    /// PEM file with the private key.
    pub key: path::PathBuf,
}

use std::fs;
use std::io::Read;
use std::path;
use std::sync;

use tokio_rustls::rustls;
use tokio_rustls::rustls::pki_types;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use xxhash_rust::xxh3;

use crate::tls::error;
use crate::tls::options;

/// Maximum size of a PEM file.
const FILE_BYTES_MAX: u64 = 1024 * 1024;
/// ALPN protocols offered in the handshake, the preferred one first.
const PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// Content of a certificate file and a key file, or the errors on reading them.
pub(crate) struct Pair {
    certificate: Result<Vec<u8>, error::Error>,
    key: Result<Vec<u8>, error::Error>,
}

impl Pair {
    /// Reads both files.
    pub(crate) fn read(options: &options::Options) -> Self {
        Self {
            certificate: read(&options.certificate),
            key: read(&options.key),
        }
    }

    /// Returns a hash of the content and of the errors on reading it.
    ///
    /// The content is hashed instead of the modification times, whose resolution
    /// can hide a second change.
    pub(crate) fn fingerprint(&self) -> u128 {
        let mut hash = xxh3::Xxh3::new();
        for part in [&self.certificate, &self.key] {
            match part {
                Ok(bytes) => {
                    hash.update(&(bytes.len() as u64).to_le_bytes());
                    hash.update(bytes);
                }
                Err(cause) => hash.update(cause.to_string().as_bytes()),
            }
        }
        hash.digest128()
    }

    /// Builds the TLS configuration of a listener.
    ///
    /// # Errors
    ///
    /// Fails if a file could not be read or is not valid PEM, or if the key does
    /// not belong to the certificate.
    pub(crate) fn config(
        self,
        options: &options::Options,
    ) -> Result<sync::Arc<rustls::ServerConfig>, error::Error> {
        let chain = chain(&self.certificate?, &options.certificate)?;
        let key = pki_types::PrivateKeyDer::from_pem_slice(&self.key?)
            .map_err(|cause| error::Error::Content(options.key.clone(), cause.to_string()))?;
        let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()
            .map_err(|cause| error::Error::Pair(cause.to_string()))?
            .with_no_client_auth()
            .with_single_cert(chain, key)
            .map_err(|cause| error::Error::Pair(cause.to_string()))?;
        config.alpn_protocols = PROTOCOLS.map(<[u8]>::to_vec).into();
        Ok(sync::Arc::new(config))
    }
}

fn read(path: &path::Path) -> Result<Vec<u8>, error::Error> {
    let read_error = |cause| error::Error::Read(path.to_owned(), cause);
    let file = fs::File::open(path).map_err(read_error)?;
    let mut bytes = Vec::new();
    file.take(FILE_BYTES_MAX + 1)
        .read_to_end(&mut bytes)
        .map_err(read_error)?;
    if bytes.len() as u64 > FILE_BYTES_MAX {
        let text = format!("the file exceeds the limit of {FILE_BYTES_MAX} bytes");
        return Err(error::Error::Content(path.to_owned(), text));
    }
    Ok(bytes)
}

fn chain(
    bytes: &[u8],
    path: &path::Path,
) -> Result<Vec<pki_types::CertificateDer<'static>>, error::Error> {
    let chain: Result<Vec<_>, _> = pki_types::CertificateDer::pem_slice_iter(bytes).collect();
    match chain {
        Ok(chain) if !chain.is_empty() => Ok(chain),
        Ok(_) => Err(error::Error::Content(
            path.to_owned(),
            "the file has no certificate".to_owned(),
        )),
        Err(cause) => Err(error::Error::Content(path.to_owned(), cause.to_string())),
    }
}

use std::fs;
use std::path;
use std::sync;

use anyhow::Context;
use tokio_rustls::rustls;
use tokio_rustls::rustls::pki_types;
use tokio_rustls::rustls::pki_types::pem::PemObject;

/// Returns a TLS connector that trusts only the certificates in a PEM file.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is not PEM, or contains no certificate
/// or an invalid one.
pub(crate) fn connector(file: &path::Path) -> anyhow::Result<tokio_rustls::TlsConnector> {
    let shown = file.display();
    let text = fs::read(file).with_context(|| format!("cannot read {shown}"))?;
    let mut roots = rustls::RootCertStore::empty();
    for certificate in pki_types::CertificateDer::pem_slice_iter(&text) {
        let certificate =
            certificate.with_context(|| format!("{shown} is not a valid PEM file"))?;
        roots
            .add(certificate)
            .with_context(|| format!("{shown} contains an invalid certificate"))?;
    }
    anyhow::ensure!(!roots.is_empty(), "{shown} contains no certificate");
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(sync::Arc::new(config).into())
}

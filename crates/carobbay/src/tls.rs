use std::fs;
use std::path;
use std::sync;

use anyhow::Context;
use tokio_rustls::rustls;
use tokio_rustls::rustls::pki_types;
use tokio_rustls::rustls::pki_types::pem::PemObject;

/// Returns a connector that trusts the certificates of a PEM file only.
///
/// # Errors
///
/// Fails if the file cannot be read or holds no certificate that can be used.
pub(crate) fn connector(file: &path::Path) -> anyhow::Result<tokio_rustls::TlsConnector> {
    let shown = file.display();
    let text = fs::read(file).with_context(|| format!("cannot read {shown}"))?;
    let mut roots = rustls::RootCertStore::empty();
    for certificate in pki_types::CertificateDer::pem_slice_iter(&text) {
        let certificate = certificate.with_context(|| format!("{shown} is not PEM"))?;
        roots
            .add(certificate)
            .with_context(|| format!("{shown} has a certificate that cannot be used"))?;
    }
    anyhow::ensure!(!roots.is_empty(), "{shown} has no certificate");
    let provider = sync::Arc::new(rustls::crypto::ring::default_provider());
    let config = rustls::ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(sync::Arc::new(config).into())
}

use std::io;
use std::sync;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time;
use tokio_rustls::rustls;

use crate::tls::error;
use crate::tls::options;
use crate::tls::pair;

/// TLS connection after a completed handshake.
pub type Stream<I> = tokio_rustls::server::TlsStream<I>;

/// Performs the TLS handshakes of a listener.
///
/// It offers `h2` and `http/1.1`. When a connection arrives and the last check of
/// the files was at least [`options::Options::check_interval`] ago, it checks them
/// and loads a changed certificate. A changed certificate that cannot be used is
/// logged once as an error, and the current one stays in use.
pub struct Acceptor {
    options: options::Options,
    state: sync::Mutex<State>,
}

struct State {
    config: sync::Arc<rustls::ServerConfig>,
    /// Fingerprint of the files at the last check.
    fingerprint: u128,
    next_check: time::Instant,
}

impl Acceptor {
    /// Creates an acceptor with the certificate and the key from their files.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be read or used.
    pub fn new(options: options::Options) -> Result<Self, error::Error> {
        let pair = pair::Pair::read(&options);
        let fingerprint = pair.fingerprint();
        let state = State {
            config: pair.config(&options)?,
            fingerprint,
            next_check: time::Instant::now() + options.check_interval,
        };
        Ok(Self {
            options,
            state: sync::Mutex::new(state),
        })
    }

    /// Performs the handshake of one connection.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails, or with [`io::ErrorKind::TimedOut`] if it takes
    /// longer than [`options::Options::handshake_timeout`].
    pub async fn accept<I>(&self, io: I) -> io::Result<Stream<I>>
    where
        I: AsyncRead + AsyncWrite + Unpin,
    {
        let handshake = async {
            self.reload_if_due().await;
            let config = self.lock().config.clone();
            tokio_rustls::TlsAcceptor::from(config).accept(io).await
        };
        time::timeout(self.options.handshake_timeout, handshake)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn reload_if_due(&self) {
        let now = time::Instant::now();
        {
            let mut state = self.lock();
            if now < state.next_check {
                return;
            }
            // Set before the files are read, so that connections that arrive in
            // the meantime use the current certificate without waiting.
            state.next_check = now + self.options.check_interval;
        }
        let options = self.options.clone();
        let read = tokio::task::spawn_blocking(move || pair::Pair::read(&options));
        match read.await {
            Ok(pair) => self.reload(pair),
            Err(cause) => {
                log::error!(target: "tls", "the task that reads the certificate failed: {cause}");
            }
        }
    }

    fn reload(&self, pair: pair::Pair) {
        let fingerprint = pair.fingerprint();
        let mut state = self.lock();
        if state.fingerprint == fingerprint {
            return;
        }
        state.fingerprint = fingerprint;
        let path = self.options.certificate.display();
        match pair.config(&self.options) {
            Ok(config) => {
                state.config = config;
                log::info!(target: "tls", "certificate {path} reloaded after a change");
            }
            Err(cause) => {
                log::error!(
                    target: "tls",
                    "certificate {path} changed but cannot be used; \
                     the previous one stays in use: {cause}"
                );
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // Each field is assigned as a whole, so that the state is valid even after
        // a panic.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

use std::io;
use std::sync;

use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time;
use tokio_rustls::rustls;

use crate::tls::error;
use crate::tls::options;
use crate::tls::pair;

/// A connection after its handshake.
pub type Stream<I> = tokio_rustls::server::TlsStream<I>;

/// Does the TLS handshake of a listener's connections.
///
/// It offers `h2` and `http/1.1`. When a connection arrives and the last look
/// is [`options::Options::check_interval`] ago, it looks at the files and takes
/// over a changed certificate. A changed certificate that cannot be used is
/// logged once as an error, and the one in use stays.
pub struct Acceptor {
    options: options::Options,
    state: sync::Mutex<State>,
}

struct State {
    config: sync::Arc<rustls::ServerConfig>,
    seen: u128,
    next_check: time::Instant,
}

impl Acceptor {
    /// Reads the certificate and the key.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be read or used.
    pub fn new(options: options::Options) -> Result<Self, error::Error> {
        let pair = pair::Pair::read(&options);
        let seen = pair.fingerprint();
        let state = State {
            config: pair.config(&options)?,
            seen,
            next_check: time::Instant::now() + options.check_interval,
        };
        Ok(Self {
            options,
            state: sync::Mutex::new(state),
        })
    }

    /// Does the handshake of one connection.
    ///
    /// # Errors
    ///
    /// Fails if the handshake fails or takes longer than
    /// [`options::Options::handshake_timeout`].
    pub async fn accept<I>(&self, io: I) -> io::Result<Stream<I>>
    where
        I: AsyncRead + AsyncWrite + Unpin,
    {
        let handshake = async {
            self.check().await;
            let config = self.lock().config.clone();
            tokio_rustls::TlsAcceptor::from(config).accept(io).await
        };
        time::timeout(self.options.handshake_timeout, handshake)
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn check(&self) {
        let now = time::Instant::now();
        {
            let mut state = self.lock();
            if now < state.next_check {
                return;
            }
            // Set before the files are read, so that connections that arrive
            // meanwhile use the current certificate without waiting.
            state.next_check = now + self.options.check_interval;
        }
        let options = self.options.clone();
        let read = tokio::task::spawn_blocking(move || pair::Pair::read(&options));
        match read.await {
            Ok(pair) => self.replace(pair),
            Err(cause) => log::error!(target: "tls", "certificate check failed: {cause}"),
        }
    }

    fn replace(&self, pair: pair::Pair) {
        let seen = pair.fingerprint();
        let mut state = self.lock();
        if state.seen == seen {
            return;
        }
        state.seen = seen;
        let path = self.options.certificate.display();
        match pair.config(&self.options) {
            Ok(config) => {
                state.config = config;
                log::info!(target: "tls", "certificate {path} replaced");
            }
            Err(cause) => {
                log::error!(target: "tls", "changed certificate {path} not used: {cause}");
            }
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        // The state is replaced field by field with whole values, so it is
        // valid even after a panic.
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

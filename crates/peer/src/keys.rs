use std::sync;

/// Handle to the current keyring, which can be replaced while links and sockets use
/// it.
///
/// Clones share the keyring. Open links stay open when their key is removed.
#[derive(Clone, Debug)]
pub struct Keys(sync::Arc<sync::RwLock<sync::Arc<wire::Keyring>>>);

impl Keys {
    /// Creates a handle to this keyring.
    pub fn new(keyring: wire::Keyring) -> Self {
        Self(sync::Arc::new(sync::RwLock::new(sync::Arc::new(keyring))))
    }

    /// Replaces the keyring for all later handshakes and datagrams.
    pub fn replace(&self, keyring: wire::Keyring) {
        let mut current = self.0.write().unwrap_or_else(sync::PoisonError::into_inner);
        *current = sync::Arc::new(keyring);
    }

    /// Returns the current keyring.
    pub(crate) fn current(&self) -> sync::Arc<wire::Keyring> {
        self.0
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }
}

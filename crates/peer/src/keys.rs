use std::sync;

/// Shared keys that can be replaced while links and sockets use them.
///
/// Clones share the keys. Open links stay open when their key is removed.
#[derive(Clone, Debug)]
pub struct Keys(sync::Arc<sync::RwLock<sync::Arc<wire::Keyring>>>);

impl Keys {
    /// Returns keys with this keyring.
    pub fn new(keyring: wire::Keyring) -> Self {
        Self(sync::Arc::new(sync::RwLock::new(sync::Arc::new(keyring))))
    }

    /// Replaces the keyring for new links and for datagrams.
    pub fn replace(&self, keyring: wire::Keyring) {
        let mut current = self.0.write().unwrap_or_else(sync::PoisonError::into_inner);
        *current = sync::Arc::new(keyring);
    }

    /// Returns the keyring in force.
    pub(crate) fn current(&self) -> sync::Arc<wire::Keyring> {
        self.0
            .read()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .clone()
    }
}

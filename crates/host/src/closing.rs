use std::sync;

use tokio::sync::watch;

/// Signal that requests whose answer has not begun are to be refused, because the host
/// is about to end.
#[derive(Clone)]
pub(crate) struct Closing(sync::Arc<watch::Sender<bool>>);

impl Closing {
    /// Creates a signal that is not set.
    pub(crate) fn new() -> Self {
        Self(sync::Arc::new(watch::Sender::new(false)))
    }

    /// Sets the signal.
    pub(crate) fn set(&self) {
        self.0.send_replace(true);
    }

    /// Waits until the signal is set.
    pub(crate) async fn wait(&self) {
        let mut receiver = self.0.subscribe();
        // The sender lives as long as `self`.
        drop(receiver.wait_for(|&is_set| is_set).await);
    }
}

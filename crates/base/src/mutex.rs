use std::sync;

/// Locks a mutex and ignores poisoning.
///
/// A panic in another thread that held the lock may have left the state partly
/// updated, but refusing all further work would be worse.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

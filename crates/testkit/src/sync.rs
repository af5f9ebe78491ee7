use std::sync;

/// Locks a mutex and ignores poisoning, so that a panic in one thread does not affect the
/// others.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

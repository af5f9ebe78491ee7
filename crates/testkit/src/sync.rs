use std::sync;

/// Locks a mutex; a panic of another holder leaves the value usable.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

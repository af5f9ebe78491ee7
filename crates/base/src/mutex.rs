use std::sync;

/// Locks a part of the host's state.
///
/// A panic under the lock may have left the part half changed, but refusing
/// all further work would be worse.
pub fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

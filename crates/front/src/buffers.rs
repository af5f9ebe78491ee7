use std::sync;
use std::sync::atomic;

use crate::account;
use crate::memory;

/// Memory of a connection besides what its caller fills: the smallest read buffer of the
/// HTTP library and the state of the task.
const CONNECTION_BYTES: usize = 12 * 1024;

/// Bytes of an answer that are not reserved, because nearly every answer has them.
const ANSWER_FREE_BYTES: usize = 16 * 1024;

/// Memory of the buffers of one connection.
#[derive(Debug)]
pub(crate) struct Buffers {
    holder: memory::Holder,
    /// Bytes of answers that were taken from endpoints and not written to the caller.
    unsent: atomic::AtomicUsize,
    /// Size of `answer`, so that most writes need no lock.
    reserved: atomic::AtomicUsize,
    answer: sync::Mutex<memory::Reservation>,
    _connection: memory::Reservation,
}

impl Buffers {
    /// Reserves the memory of a new connection.
    ///
    /// # Errors
    ///
    /// Fails if the account is full.
    pub(crate) fn new(holder: memory::Holder) -> Result<Self, account::Full> {
        let mut connection = holder.reserve(account::Kind::Connection);
        connection.resize(CONNECTION_BYTES)?;
        Ok(Self {
            unsent: atomic::AtomicUsize::new(0),
            reserved: atomic::AtomicUsize::new(0),
            answer: sync::Mutex::new(holder.reserve(account::Kind::Answer)),
            _connection: connection,
            holder,
        })
    }

    /// Returns the holder of the connection.
    pub(crate) const fn holder(&self) -> &memory::Holder {
        &self.holder
    }

    /// Counts and logs a connection that is closed because the account is full.
    pub(crate) fn record_refusal(&self, full: account::Full) {
        self.holder.record_refusal(full.into());
    }

    /// Records bytes of an answer that are to be written.
    ///
    /// # Errors
    ///
    /// Fails if the account is full.
    pub(crate) fn queue(&self, bytes: usize) -> Result<(), account::Full> {
        let unsent = self.unsent.fetch_add(bytes, atomic::Ordering::AcqRel) + bytes;
        if unsent <= ANSWER_FREE_BYTES.max(self.reserved.load(atomic::Ordering::Acquire)) {
            return Ok(());
        }
        self.resize(unsent.next_multiple_of(ANSWER_FREE_BYTES))
    }

    /// Records bytes that were written.
    pub(crate) fn record_written(&self, bytes: usize) {
        let order = atomic::Ordering::AcqRel;
        let subtract = |unsent: usize| Some(unsent.saturating_sub(bytes));
        // The closure always returns a value. Heads and framing are written as well, so
        // that more may be written than was queued.
        let _ = self
            .unsent
            .fetch_update(order, atomic::Ordering::Acquire, subtract);
        self.shrink();
    }

    /// Records that nothing is left to be written.
    pub(crate) fn record_empty(&self) {
        self.unsent.store(0, atomic::Ordering::Release);
        self.shrink();
    }

    fn shrink(&self) {
        let reserved = self.reserved.load(atomic::Ordering::Acquire);
        let unsent = self.unsent.load(atomic::Ordering::Acquire);
        if reserved > 0 && unsent <= ANSWER_FREE_BYTES {
            // A reservation that shrinks is always accepted.
            let _ = self.resize(0);
        }
    }

    fn resize(&self, bytes: usize) -> Result<(), account::Full> {
        let mut answer = self
            .answer
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        answer.resize(bytes)?;
        self.reserved.store(bytes, atomic::Ordering::Release);
        Ok(())
    }
}

//! Reading of request bodies into memory that is reserved before it grows.

use core::time;
use std::net;

use answer::{Kind, Refusal};
use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::account;
use crate::memory;
use crate::options;
use crate::tally;

/// Size up to which the memory of a body doubles when it grows.
const DOUBLING_BYTES_MAX: usize = 256 * 1024;

/// Smallest memory of a body whose length is not declared.
const BYTES_MIN: usize = 8 * 1024;

/// Delay behind the least rate beyond which a body is refused. Callers whose links lose
/// packets may pause for some seconds.
const BEHIND_MAX: time::Duration = time::Duration::from_secs(10);

/// Retry delay sent to callers when the memory is full.
const RETRY_AFTER: time::Duration = time::Duration::from_millis(300);

/// Bounds of one request body.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest size in bytes.
    pub bytes_max: u64,
    /// Longest time without data.
    pub pause_max: time::Duration,
    /// Longest time to receive the whole body.
    pub time_max: time::Duration,
}

/// Why a body was not read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Failure {
    /// It exceeds the largest size.
    TooLarge,
    /// No data arrived for the longest pause.
    Paused,
    /// It was not complete within the longest time, or arrived below the least rate.
    Slow,
    /// It is malformed or ends early.
    Malformed(String),
    /// There is no memory for it.
    Full,
}

impl Failure {
    /// Returns the refusal of a request for whose body there is no memory.
    pub fn full() -> Refusal {
        let refusal = Refusal::new(Kind::MemoryFull, "the memory for requests is full");
        refusal.with_retry_after(RETRY_AFTER)
    }
}

/// Reads a whole request body of the caller at `address`. Its memory is released when
/// the last clone of the result is dropped.
///
/// # Errors
///
/// Fails if the body exceeds a limit or is malformed, or if its memory is refused or
/// taken back.
pub async fn collect<B>(
    body: B,
    limits: &Limits,
    memory: &memory::Memory,
    address: net::IpAddr,
) -> Result<Bytes, Failure>
where
    B: http_body::Body<Data = Bytes, Error: core::fmt::Display> + Unpin,
{
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let declared = body.size_hint().exact();
    if declared.is_some_and(|declared| declared > limits.bytes_max) {
        return Err(Failure::TooLarge);
    }
    let holder = memory.open(address);
    let collector = Collector {
        bytes: Vec::new(),
        // CAST: At most the limit of a body, which fits into memory.
        expected: declared.map(|declared| declared as usize),
        reservation: holder.reserve(account::Kind::Body),
    };
    let read = tokio::select! {
        biased;
        read = collector.read(body, limits, &holder) => read,
        () = holder.wait_for_cut() => Err(Cause::Full(account::Full::Cut)),
    };
    read.map_err(|cause| {
        if let Some(reason) = cause.reason() {
            memory.record(reason, address);
        }
        cause.into_failure()
    })
}

/// Reads the rest of a body and drops it. A connection that is closed with unread bytes
/// is reset, which may lose the answer. Returns at once while memory is scarce, and early
/// if the body exceeds a limit.
pub async fn discard<B>(mut body: B, limits: &Limits, memory: &memory::Memory)
where
    B: http_body::Body<Data = Bytes> + Unpin,
{
    let due = Instant::now() + limits.time_max;
    let mut left = limits.bytes_max;
    while !body.is_end_stream() && !memory.is_scarce() {
        let at = due.min(Instant::now() + limits.pause_max);
        let Ok(Some(Ok(frame))) = tokio::time::timeout_at(at, body.frame()).await else {
            return;
        };
        let size = frame.data_ref().map_or(0, Bytes::len) as u64;
        match left.checked_sub(size) {
            Some(rest) => left = rest,
            None => return,
        }
    }
}

/// Reads a whole request body within the limits of `options`.
///
/// # Errors
///
/// Refuses a body that exceeds the size limit with [`Kind::BodyTooLarge`], a body
/// of which no data arrives for the idle time-out or that is incomplete after the
/// body time-out with [`Kind::CallerTimeout`], a body that ends early with
/// [`Kind::BadRequest`], and one without memory with [`Kind::MemoryFull`].
pub(crate) async fn read(
    body: axum::body::Body,
    options: &options::Options,
    address: net::IpAddr,
) -> Result<Bytes, Refusal> {
    let limits = Limits {
        bytes_max: options.body_bytes_max,
        pause_max: options.idle_timeout,
        time_max: options.body_timeout,
    };
    let read = collect(body, &limits, &options.memory, address).await;
    read.map_err(|failure| match failure {
        Failure::TooLarge => {
            let limit = limits.bytes_max;
            let text = format!("the request body exceeds the limit of {limit} bytes");
            Refusal::new(Kind::BodyTooLarge, text)
        }
        Failure::Paused => {
            let millis = limits.pause_max.as_millis();
            let text = format!("no data of the request body arrived for {millis} ms");
            Refusal::new(Kind::CallerTimeout, text)
        }
        Failure::Slow => {
            let millis = limits.time_max.as_millis();
            let text = format!("the request body was not complete within {millis} ms");
            Refusal::new(Kind::CallerTimeout, text)
        }
        Failure::Malformed(cause) => {
            let text = format!("the request body cannot be read: {cause}");
            Refusal::new(Kind::BadRequest, text)
        }
        Failure::Full => Failure::full(),
    })
}

/// Why a body was not read, with the reason for which its memory was refused.
enum Cause {
    Failure(Failure),
    Full(account::Full),
}

impl Cause {
    fn reason(&self) -> Option<tally::Reason> {
        match self {
            Self::Full(full) => Some((*full).into()),
            Self::Failure(Failure::Slow | Failure::Paused) => Some(tally::Reason::SlowBody),
            Self::Failure(_) => None,
        }
    }

    fn into_failure(self) -> Failure {
        match self {
            Self::Full(_) => Failure::Full,
            Self::Failure(failure) => failure,
        }
    }
}

/// The part of a body that has arrived.
struct Collector {
    bytes: Vec<u8>,
    /// Declared length.
    expected: Option<usize>,
    reservation: memory::Reservation,
}

impl Collector {
    async fn read<B>(
        mut self,
        mut body: B,
        limits: &Limits,
        holder: &memory::Holder,
    ) -> Result<Bytes, Cause>
    where
        B: http_body::Body<Data = Bytes, Error: core::fmt::Display> + Unpin,
    {
        let fail = |failure| Err(Cause::Failure(failure));
        let due = Instant::now() + limits.time_max;
        loop {
            let pause_ends = Instant::now() + limits.pause_max;
            let frame = tokio::time::timeout_at(due.min(pause_ends), body.frame()).await;
            let frame = match frame {
                Err(_) if pause_ends < due => return fail(Failure::Paused),
                Err(_) => return fail(Failure::Slow),
                Ok(None) => break,
                Ok(Some(Err(cause))) => return fail(Failure::Malformed(cause.to_string())),
                Ok(Some(Ok(frame))) => frame,
            };
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if (self.bytes.len() + data.len()) as u64 > limits.bytes_max {
                return fail(Failure::TooLarge);
            }
            self.push(data, limits).map_err(Cause::Full)?;
            if holder.record(data.len()) > BEHIND_MAX {
                return fail(Failure::Slow);
            }
        }
        holder.set_waiting(false);
        Ok(Bytes::from_owner(self))
    }

    fn push(&mut self, data: &[u8], limits: &Limits) -> Result<(), account::Full> {
        let needed = self.bytes.len() + data.len();
        if needed > self.bytes.capacity() {
            let capacity = self.capacity_for(needed, limits);
            self.reservation.resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(data);
        Ok(())
    }

    /// Returns the next capacity. It grows in steps, also if the length is declared,
    /// because a declared length costs the caller nothing.
    fn capacity_for(&self, needed: usize, limits: &Limits) -> usize {
        let capacity = self.bytes.capacity();
        let step = capacity.clamp(BYTES_MIN, DOUBLING_BYTES_MAX);
        // CAST: The limit of a body fits into memory.
        let most = self.expected.unwrap_or(limits.bytes_max as usize);
        let first = self
            .expected
            .map_or(0, |expected| expected.min(DOUBLING_BYTES_MAX / 4));
        (capacity + step).max(first).min(most).max(needed)
    }
}

impl AsRef<[u8]> for Collector {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

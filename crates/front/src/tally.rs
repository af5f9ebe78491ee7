use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use crate::account;
use crate::throttle;

/// Minimum time between two log lines of one reason.
const INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Why a caller is refused or its connection closed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reason {
    /// The memory is full and no caller has fallen behind.
    MemoryFull,
    /// The address of the caller holds its share of memory that is scarce.
    AddressFull,
    /// The caller fell behind and another one needed its memory.
    MemoryCut,
    /// The caller fell behind and another one needed its connection.
    ConnectionCut,
    /// The body arrived below the least rate or took too long.
    SlowBody,
}

impl Reason {
    const ALL: [Self; 5] = [
        Self::MemoryFull,
        Self::AddressFull,
        Self::MemoryCut,
        Self::ConnectionCut,
        Self::SlowBody,
    ];

    const fn name(self) -> &'static str {
        match self {
            Self::MemoryFull => "memory_full",
            Self::AddressFull => "address_full",
            Self::MemoryCut => "memory_cut",
            Self::ConnectionCut => "connection_cut",
            Self::SlowBody => "slow_body",
        }
    }
}

impl From<account::Full> for Reason {
    fn from(full: account::Full) -> Self {
        match full {
            account::Full::All => Self::MemoryFull,
            account::Full::Address => Self::AddressFull,
            account::Full::Cut => Self::MemoryCut,
        }
    }
}

/// Counts and logs events by reason.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    counts: [atomic::AtomicU64; Reason::ALL.len()],
    throttles: sync::Mutex<[throttle::Throttle; Reason::ALL.len()]>,
}

impl Tally {
    /// Counts an event, and logs the first one of each second.
    pub(crate) fn record(&self, reason: Reason, address: net::IpAddr) {
        let index = reason as usize;
        self.counts[index].fetch_add(1, atomic::Ordering::Relaxed);
        let mut throttles = self
            .throttles
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let count = throttles[index].record(time::Instant::now(), INTERVAL);
        drop(throttles);
        if let Some(count) = count {
            log::warn!(
                target: "front",
                reason = reason.name();
                "caller at {address} refused or closed; \
                 {count} since the last such message"
            );
        }
    }

    /// Returns the counts by the names of the reasons.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        Reason::ALL.into_iter().map(|reason| {
            let count = self.counts[reason as usize].load(atomic::Ordering::Relaxed);
            (reason.name(), count)
        })
    }
}

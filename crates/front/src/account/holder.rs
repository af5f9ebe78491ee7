use core::time;
use std::net;

use super::kind::{Held, Kind};

/// Memory that a caller fills.
#[derive(Debug)]
pub(super) struct Holder {
    pub(super) address: net::IpAddr,
    pub(super) held: Held,
    pub(super) phase: Phase,
    pub(super) is_cut: bool,
}

impl Holder {
    /// Returns the bytes besides those of the connection itself.
    pub(super) fn filled(&self) -> usize {
        super::sum(self.held) - self.held[Kind::Connection as usize]
    }

    /// Returns for how long the holder has been behind the least rate.
    pub(super) fn behind(&self, now: time::Duration) -> time::Duration {
        match self.phase {
            Phase::Served => time::Duration::ZERO,
            Phase::Waiting(since) => now.saturating_sub(since),
        }
    }
}

/// Whom a holder waits for.
#[derive(Clone, Copy, Debug)]
pub(super) enum Phase {
    /// The host or an endpoint. The holder is not cut off, because its request may have
    /// run.
    Served,
    /// The caller, since this time. Bytes that it sends or reads move the time on by what
    /// they may take at the least rate, but not beyond the present: a caller that was fast
    /// gets no credit for a stop.
    Waiting(time::Duration),
}

use core::time;
use std::net;
use std::sync;

use crate::record;
use crate::shard;

/// Home of the shard that gave the grant.
enum Home {
    /// This host.
    Local {
        shard: sync::Arc<shard::Shard>,
        id: pool::RequestId,
    },
    /// Another host.
    Remote {
        client: peer::Client,
        address: net::SocketAddr,
        id: u64,
    },
}

/// The right to run one request at one endpoint.
///
/// Dropping it without [`Permit::finish`] reports a cancelled request, so that
/// a caller that disconnects frees its slot at once.
pub(crate) struct Permit {
    home: Home,
    grant: shard::Grant,
    queued: time::Duration,
    tokens: u32,
    is_open: bool,
    /// Whether the endpoint is silent, so that the run has failed unless it goes on.
    is_silent: bool,
    /// Time for which the endpoint wants no requests, in milliseconds; 0 for none.
    pause_ms: u32,
    trace: record::Trace,
    /// Number of the grant in the trace; absent if it is not recorded there.
    serial: Option<u32>,
}

impl Permit {
    /// Returns a permit of a shard at this host.
    pub(crate) fn local(
        shard: sync::Arc<shard::Shard>,
        id: pool::RequestId,
        grant: shard::Grant,
        queued: time::Duration,
    ) -> Self {
        Self::new(Home::Local { shard, id }, grant, queued)
    }

    /// Returns a permit of a shard at another host.
    pub(crate) fn remote(
        client: peer::Client,
        address: net::SocketAddr,
        id: u64,
        grant: shard::Grant,
        queued: time::Duration,
    ) -> Self {
        let home = Home::Remote {
            client,
            address,
            id,
        };
        Self::new(home, grant, queued)
    }

    fn new(home: Home, grant: shard::Grant, queued: time::Duration) -> Self {
        Self {
            home,
            grant,
            queued,
            tokens: 0,
            is_open: true,
            is_silent: false,
            pause_ms: 0,
            trace: record::Trace::default(),
            serial: None,
        }
    }

    /// Records the grant and all later events in a trace, unless they are recorded
    /// already.
    pub(crate) fn trace(&mut self, trace: &record::Trace) {
        if self.serial.is_some() {
            return;
        }
        let home = match &self.home {
            Home::Local { .. } => "this host".to_owned(),
            Home::Remote { address, .. } => format!("the home at {address}"),
        };
        self.serial = Some(trace.record_grant(&self.grant.name, &home, self.queued));
        self.trace = trace.clone();
    }

    /// Returns the grant with the endpoint that runs the request.
    pub(crate) const fn grant(&self) -> &shard::Grant {
        &self.grant
    }

    /// Returns the time that the ask spent queued.
    pub(crate) const fn queued(&self) -> time::Duration {
        self.queued
    }

    /// Records the number of tokens generated so far under this permit.
    pub(crate) fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
        self.trace.set_tokens(self.serial, tokens);
    }

    /// Sets whether the endpoint is silent. A permit that is dropped meanwhile ends
    /// as broken.
    pub(crate) const fn set_silent(&mut self, is_silent: bool) {
        self.is_silent = is_silent;
    }

    /// Records the first output.
    pub(crate) fn record_first_output(&self) {
        self.trace.record_first_output(self.serial);
        match &self.home {
            Home::Local { shard, id } => shard.record_first_output(*id),
            Home::Remote {
                client,
                address,
                id,
            } => client.report_first_output(*address, *id),
        }
    }

    /// Records that the endpoint wants no requests for a time.
    pub(crate) fn set_pause(&mut self, pause: time::Duration) {
        self.pause_ms = u32::try_from(pause.as_millis()).unwrap_or(u32::MAX);
    }

    /// Reports the outcome and frees the slot.
    pub(crate) fn finish(mut self, result: pool::Outcome) {
        self.end(result);
    }

    /// Reports the outcome and frees the slot; further calls have no effect.
    pub(crate) fn end(&mut self, result: pool::Outcome) {
        if !core::mem::take(&mut self.is_open) {
            return;
        }
        self.trace.record_end(self.serial, result);
        let tokens = self.tokens;
        match &self.home {
            Home::Local { shard, id } => {
                let pause = time::Duration::from_millis(self.pause_ms.into());
                shard.pause(*id, pause);
                shard.finish(
                    *id,
                    pool::Finish {
                        outcome: result,
                        tokens,
                    },
                );
            }
            Home::Remote {
                client,
                address,
                id,
            } => {
                let done = wire::Done {
                    id: *id,
                    result: to_wire(result),
                    tokens,
                    pause_ms: self.pause_ms,
                    answered: result == pool::Outcome::Failed,
                };
                client.report_done(*address, done);
            }
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(if self.is_silent {
            pool::Outcome::Broken
        } else {
            pool::Outcome::Cancelled
        });
    }
}

const fn to_wire(result: pool::Outcome) -> wire::Finish {
    match result {
        pool::Outcome::Complete => wire::Finish::Complete,
        pool::Outcome::Cancelled => wire::Finish::Cancelled,
        pool::Outcome::Refused => wire::Finish::Refused,
        pool::Outcome::Unreachable => wire::Finish::Unreachable,
        // `Done::answered` tells these apart.
        pool::Outcome::Broken | pool::Outcome::Failed => wire::Finish::Failed,
        pool::Outcome::Unused => wire::Finish::Unused,
    }
}

/// Converts the result that another host reported.
pub(crate) const fn from_wire(done: &wire::Done) -> pool::Outcome {
    match done.result {
        wire::Finish::Complete => pool::Outcome::Complete,
        wire::Finish::Cancelled => pool::Outcome::Cancelled,
        wire::Finish::Refused => pool::Outcome::Refused,
        wire::Finish::Unreachable => pool::Outcome::Unreachable,
        wire::Finish::Failed if done.answered => pool::Outcome::Failed,
        wire::Finish::Failed => pool::Outcome::Broken,
        wire::Finish::Unused => pool::Outcome::Unused,
    }
}

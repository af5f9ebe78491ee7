use core::time;
use std::sync;

use crate::shard;

/// The right to run one request at one endpoint.
///
/// Dropping it without [`Permit::finish`] reports a cancelled request, so that
/// a caller that hangs up frees its place at once.
pub(crate) struct Permit {
    shard: sync::Arc<shard::Shard>,
    id: pool::AskId,
    grant: shard::Grant,
    queued: time::Duration,
    tokens: u32,
    open: bool,
}

impl Permit {
    pub(crate) fn new(
        shard: sync::Arc<shard::Shard>,
        id: pool::AskId,
        grant: shard::Grant,
        queued: time::Duration,
    ) -> Self {
        Self {
            shard,
            id,
            grant,
            queued,
            tokens: 0,
            open: true,
        }
    }

    /// Returns where the request runs.
    pub(crate) const fn grant(&self) -> &shard::Grant {
        &self.grant
    }

    /// Returns the time spent queued.
    pub(crate) const fn queued(&self) -> time::Duration {
        self.queued
    }

    /// Notes the number of tokens generated so far.
    pub(crate) const fn set_tokens(&mut self, tokens: u32) {
        self.tokens = tokens;
    }

    /// Notes the first output.
    pub(crate) fn first(&self) {
        self.shard.first(self.id);
    }

    /// Ends the use of the place.
    pub(crate) fn finish(mut self, result: pool::Result) {
        self.end(result);
    }

    fn end(&mut self, result: pool::Result) {
        if !core::mem::take(&mut self.open) {
            return;
        }
        let finish = pool::Finish {
            result,
            tokens: self.tokens,
        };
        self.shard.done(self.id, finish);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.end(pool::Result::Cancelled);
    }
}

use core::time;

use crate::action;
use crate::endpoint;
use crate::finish;
use crate::load;
use crate::options;
use crate::request;
use crate::stats;

/// Decides which ask runs when and where.
///
/// Times are durations since the start of the process. Decisions are pushed
/// onto `out`; an input may cause decisions about other asks.
pub trait Policy: Send {
    /// Replaces the options. Class indices that are in use keep their meaning.
    fn configure(&mut self, now: time::Duration, options: options::Options);

    /// Replaces the set of endpoints. An endpoint that is no longer listed gets
    /// no new work; its running asks still end with [`Policy::finish`].
    fn set_endpoints(
        &mut self,
        now: time::Duration,
        set: &[endpoint::Endpoint],
        out: &mut Vec<action::Action>,
    );

    /// Queues an ask.
    fn submit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    );

    /// Withdraws an ask that is queued. A granted ask ends with [`Policy::finish`].
    fn cancel(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        out: &mut Vec<action::Action>,
    );

    /// Notes the first output of a granted ask.
    fn record_first_output(&mut self, now: time::Duration, id: request::RequestId);

    /// Notes the end of a granted ask.
    fn finish(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        finish: finish::Finish,
        out: &mut Vec<action::Action>,
    );

    /// Notes a load report.
    fn record_load(
        &mut self,
        now: time::Duration,
        id: endpoint::EndpointId,
        load: load::Load,
        out: &mut Vec<action::Action>,
    );

    /// Notes that a request was in flight at the crash of an endpoint of another
    /// shard. `endpoint` is a hash of the endpoint's name.
    ///
    /// Without it, a request that crashes endpoints would lose two per shard.
    /// The default does nothing.
    fn record_crash(&mut self, _now: time::Duration, _fingerprint: u64, _endpoint: u64) {}

    /// Does what is due: expiry, floors, limits, ejection. Called every 20 ms
    /// while anything is queued or running.
    fn tick(&mut self, now: time::Duration, out: &mut Vec<action::Action>);

    /// Returns figures for status and metrics.
    fn stats(&self, now: time::Duration) -> stats::Stats;
}

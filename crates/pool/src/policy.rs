use core::time;

use crate::action;
use crate::endpoint;
use crate::finish;
use crate::load;
use crate::options;
use crate::request;
use crate::stats;

/// Decides when and at which endpoint each request runs.
///
/// Times are durations since the start of the process. Decisions are appended to
/// `out`; an input may cause decisions about other requests.
pub trait Policy: Send {
    /// Replaces the options. The classes of requests that are queued or running
    /// must keep their indices.
    fn configure(&mut self, now: time::Duration, options: options::Options);

    /// Replaces the set of endpoints. An endpoint that is no longer listed gets
    /// no new requests; its running ones still end with [`Policy::finish`].
    fn set_endpoints(
        &mut self,
        now: time::Duration,
        set: &[endpoint::Endpoint],
        out: &mut Vec<action::Action>,
    );

    /// Queues, grants or refuses a request.
    fn submit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    );

    /// Removes a queued request without an action. A granted request ends with
    /// [`Policy::finish`] instead.
    fn cancel(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        out: &mut Vec<action::Action>,
    );

    /// Records the first output of a granted request.
    fn record_first_output(&mut self, now: time::Duration, id: request::RequestId);

    /// Records that the endpoint of a granted request wants no requests for a time.
    ///
    /// The default implementation does nothing.
    fn pause(&mut self, _now: time::Duration, _id: request::RequestId, _pause: time::Duration) {}

    /// Ends a granted request and frees its slot.
    fn finish(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        finish: finish::Finish,
        out: &mut Vec<action::Action>,
    );

    /// Records a load report of an endpoint.
    fn record_load(
        &mut self,
        now: time::Duration,
        id: endpoint::EndpointId,
        load: load::Load,
        out: &mut Vec<action::Action>,
    );

    /// Records that the request with this fingerprint was in flight when an
    /// endpoint crashed, as another host or shard reports. `endpoint` is the number
    /// of the endpoint's [`EndpointId`](crate::EndpointId) if it has one, so that a
    /// crash that this shard observes as well counts once, and otherwise a number
    /// above all of these.
    ///
    /// Without this input, a request that crashes endpoints could crash two in
    /// each shard. The default implementation does nothing.
    fn record_crash(&mut self, _now: time::Duration, _fingerprint: u64, _endpoint: u64) {}

    /// Records that an endpoint crashed under the request with this fingerprint, and that
    /// the leading part of its prompt, which is not 0, may be the cause: the request got
    /// no output, and a probe has shown that the endpoint has ended. `endpoint` is as in
    /// [`Policy::record_crash`].
    ///
    /// The default implementation does nothing.
    fn record_part_crash(
        &mut self,
        _now: time::Duration,
        _part: u64,
        _fingerprint: u64,
        _endpoint: u64,
    ) {
    }

    /// Does periodic work: deadlines, floors, limits and ejection of endpoints.
    /// Called every 20 ms while anything is queued or running.
    fn tick(&mut self, now: time::Duration, out: &mut Vec<action::Action>);

    /// Returns a snapshot for status and metrics.
    fn stats(&self, now: time::Duration) -> stats::Stats;
}

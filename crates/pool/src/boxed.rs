use core::time;

use crate::action;
use crate::endpoint;
use crate::finish;
use crate::load;
use crate::options;
use crate::policy;
use crate::request;
use crate::stats;

impl<P: policy::Policy + ?Sized> policy::Policy for Box<P> {
    fn configure(&mut self, now: time::Duration, options: options::Options) {
        (**self).configure(now, options);
    }

    fn set_endpoints(
        &mut self,
        now: time::Duration,
        set: &[endpoint::Endpoint],
        out: &mut Vec<action::Action>,
    ) {
        (**self).set_endpoints(now, set, out);
    }

    fn submit(
        &mut self,
        now: time::Duration,
        request: request::Request,
        out: &mut Vec<action::Action>,
    ) {
        (**self).submit(now, request, out);
    }

    fn cancel(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        out: &mut Vec<action::Action>,
    ) {
        (**self).cancel(now, id, out);
    }

    fn record_first_output(&mut self, now: time::Duration, id: request::RequestId) {
        (**self).record_first_output(now, id);
    }

    fn pause(&mut self, now: time::Duration, id: request::RequestId, pause: time::Duration) {
        (**self).pause(now, id, pause);
    }

    fn finish(
        &mut self,
        now: time::Duration,
        id: request::RequestId,
        finish: finish::Finish,
        out: &mut Vec<action::Action>,
    ) {
        (**self).finish(now, id, finish, out);
    }

    fn record_load(
        &mut self,
        now: time::Duration,
        id: endpoint::EndpointId,
        load: load::Load,
        out: &mut Vec<action::Action>,
    ) {
        (**self).record_load(now, id, load, out);
    }

    fn record_crash(&mut self, now: time::Duration, fingerprint: u64, endpoint: u64) {
        (**self).record_crash(now, fingerprint, endpoint);
    }

    fn record_part_crash(
        &mut self,
        now: time::Duration,
        part: u64,
        fingerprint: u64,
        endpoint: u64,
    ) {
        (**self).record_part_crash(now, part, fingerprint, endpoint);
    }

    fn tick(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        (**self).tick(now, out);
    }

    fn stats(&self, now: time::Duration) -> stats::Stats {
        (**self).stats(now)
    }
}

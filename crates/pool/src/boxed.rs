use core::time;

use crate::action;
use crate::ask;
use crate::endpoint;
use crate::finish;
use crate::load;
use crate::options;
use crate::policy;
use crate::stats;

impl<P: policy::Policy + ?Sized> policy::Policy for Box<P> {
    fn configure(&mut self, now: time::Duration, options: options::Options) {
        (**self).configure(now, options);
    }

    fn endpoints(
        &mut self,
        now: time::Duration,
        set: &[endpoint::Endpoint],
        out: &mut Vec<action::Action>,
    ) {
        (**self).endpoints(now, set, out);
    }

    fn ask(&mut self, now: time::Duration, ask: ask::Ask, out: &mut Vec<action::Action>) {
        (**self).ask(now, ask, out);
    }

    fn cancel(&mut self, now: time::Duration, id: ask::AskId, out: &mut Vec<action::Action>) {
        (**self).cancel(now, id, out);
    }

    fn first(&mut self, now: time::Duration, id: ask::AskId) {
        (**self).first(now, id);
    }

    fn done(
        &mut self,
        now: time::Duration,
        id: ask::AskId,
        finish: finish::Finish,
        out: &mut Vec<action::Action>,
    ) {
        (**self).done(now, id, finish, out);
    }

    fn report(
        &mut self,
        now: time::Duration,
        id: endpoint::EndpointId,
        load: load::Load,
        out: &mut Vec<action::Action>,
    ) {
        (**self).report(now, id, load, out);
    }

    fn blame(&mut self, now: time::Duration, fingerprint: u64, endpoint: u64) {
        (**self).blame(now, fingerprint, endpoint);
    }

    fn tick(&mut self, now: time::Duration, out: &mut Vec<action::Action>) {
        (**self).tick(now, out);
    }

    fn stats(&self, now: time::Duration) -> stats::Stats {
        (**self).stats(now)
    }
}

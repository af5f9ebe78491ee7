use core::time;
use std::collections;
use std::net;

use rand::seq::IteratorRandom;

/// Time after which a host that said nothing is not asked any more.
const HEARD_AGE_MAX: time::Duration = time::Duration::from_secs(10);

/// What a host has said of its state.
#[derive(Clone, Copy, Debug, Default)]
struct Source {
    plan: plan::Version,
    endpoints: plan::Version,
    heard: time::Duration,
    rests_until: time::Duration,
}

/// State that a host has; others are asked for what is newer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Own {
    /// Version of the configuration in force.
    pub(crate) plan: plan::Version,
    /// Version of the list of endpoints, if the host takes the list of others.
    pub(crate) endpoints: Option<plan::Version>,
}

impl Own {
    fn lacks(&self, source: &Source) -> bool {
        let lacks_endpoints = self.endpoints.is_some_and(|own| source.endpoints > own);
        source.plan > self.plan || lacks_endpoints
    }
}

/// Which host to ask for its state next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Choice {
    /// No host has said that it has something newer.
    Nothing,
    /// This one, which announces this version of the configuration.
    Ask(net::SocketAddr, plan::Version),
    /// None before this time.
    Wait(time::Duration),
}

/// Hosts by what they have said of their state.
///
/// The first hosts to announce a change are few. All that have it are asked, so that the
/// number of sources grows with each transfer, whatever the links of the first ones carry.
#[derive(Debug, Default)]
pub(crate) struct Sources(collections::HashMap<net::SocketAddr, Source>);

impl Sources {
    /// Records the configuration that a host has.
    pub(crate) fn record_plan(
        &mut self,
        now: time::Duration,
        address: net::SocketAddr,
        plan: plan::Version,
    ) {
        let source = self.0.entry(address).or_default();
        source.plan = plan;
        source.heard = now;
    }

    /// Records that another host says that this one has a configuration.
    pub(crate) fn record_holder(
        &mut self,
        now: time::Duration,
        address: net::SocketAddr,
        plan: plan::Version,
    ) {
        let source = self.0.entry(address).or_default();
        source.plan = source.plan.max(plan);
        source.heard = now;
    }

    /// Records the state that a host has.
    pub(crate) fn record(
        &mut self,
        now: time::Duration,
        address: net::SocketAddr,
        plan: plan::Version,
        endpoints: plan::Version,
    ) {
        self.record_plan(now, address, plan);
        if let Some(source) = self.0.get_mut(&address) {
            source.endpoints = endpoints;
        }
    }

    /// Records that a host is not to be asked before this time.
    pub(crate) fn rest(&mut self, address: net::SocketAddr, until: time::Duration) {
        if let Some(source) = self.0.get_mut(&address) {
            source.rests_until = until;
        }
    }

    /// Returns up to `count` random hosts with this configuration.
    pub(crate) fn holders(
        &self,
        plan: plan::Version,
        count: usize,
        rng: &mut impl rand::Rng,
    ) -> Vec<net::SocketAddr> {
        let holders = self.0.iter().filter(|(_, source)| source.plan == plan);
        holders.map(|(address, _)| *address).sample(rng, count)
    }

    /// Returns a random one of the hosts with the newest state, near ones first.
    pub(crate) fn choose(
        &mut self,
        now: time::Duration,
        own: Own,
        is_near: impl Fn(net::IpAddr) -> bool,
        rng: &mut impl rand::Rng,
    ) -> Choice {
        self.0
            .retain(|_, source| now.saturating_sub(source.heard) < HEARD_AGE_MAX);
        let newer = || self.0.iter().filter(|(_, source)| own.lacks(source));
        let awake = || newer().filter(|(_, source)| source.rests_until <= now);
        let rank = |(address, source): &(&net::SocketAddr, &Source)| {
            let endpoints = own.endpoints.map(|_| source.endpoints);
            (source.plan, endpoints, is_near(address.ip()))
        };
        let Some(best) = awake().map(|source| rank(&source)).max() else {
            let until = newer().map(|(_, source)| source.rests_until).min();
            return until.map_or(Choice::Nothing, Choice::Wait);
        };
        let best = awake().filter(|source| rank(source) == best).choose(rng);
        best.map_or(Choice::Nothing, |(address, source)| {
            Choice::Ask(*address, source.plan)
        })
    }
}

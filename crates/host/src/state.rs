use std::collections;
use std::net;
use std::sync;

use xxhash_rust::xxh3;

use crate::console;
use crate::layout;
use crate::names;
use crate::options;
use crate::record;
use crate::shard;
use base::clock;
use base::mutex;

/// The settings in force and the tables derived from them.
pub(crate) struct Active {
    pub(crate) settings: sync::Arc<conf::Settings>,
    pub(crate) classes: class::Table,
    /// Endpoint names by pool and shard.
    pub(crate) layout: collections::BTreeMap<String, Vec<Vec<String>>>,
}

/// Pool and index of a shard.
pub(crate) type Key = (String, u32);

/// Numbers that shards use in place of names.
#[derive(Default)]
struct Numbers {
    classes: names::Interner,
    /// Classes by number, including classes that were removed.
    known: Vec<pool::Class>,
    /// Numbers of endpoint identities, `name@address`.
    endpoints: names::Interner,
}

/// The settings in force and the shards that this host is or was the home of.
pub(crate) struct State {
    clock: clock::Clock,
    policy: options::Policy,
    active: arc_swap::ArcSwap<Active>,
    numbers: sync::Mutex<Numbers>,
    shards: sync::Mutex<collections::HashMap<Key, sync::Arc<shard::Shard>>>,
    records: sync::Arc<record::Records>,
    printed: arc_swap::ArcSwap<console::Printed>,
    /// Endpoints that an operator drained at this host.
    drained: sync::Mutex<collections::HashSet<String>>,
}

impl State {
    pub(crate) fn new(
        settings: sync::Arc<conf::Settings>,
        policy: options::Policy,
        clock: clock::Clock,
    ) -> Self {
        let records = sync::Arc::new(record::Records::new(&settings, clock));
        let state = Self {
            records,
            printed: arc_swap::ArcSwap::default(),
            drained: sync::Mutex::default(),
            clock,
            policy,
            active: arc_swap::ArcSwap::from_pointee(derive(settings.clone())),
            numbers: sync::Mutex::default(),
            shards: sync::Mutex::default(),
        };
        state.set_classes(&settings);
        state
    }

    /// Returns the settings in force.
    pub(crate) fn active(&self) -> sync::Arc<Active> {
        self.active.load_full()
    }

    /// Returns the records of recent requests.
    pub(crate) const fn records(&self) -> &sync::Arc<record::Records> {
        &self.records
    }

    /// Returns the settings in force as printed text, for the administration API.
    pub(crate) fn printed(&self) -> sync::Arc<console::Printed> {
        self.printed.load_full()
    }

    /// Stores the text of the settings that come into force now.
    pub(crate) fn set_sources(&self, configuration: &conf::Configuration) {
        let printed = console::Printed::new(configuration, self.clock.now());
        self.printed.store(sync::Arc::new(printed));
    }

    /// Returns whether an operator drained the endpoint at this host.
    pub(crate) fn is_drained(&self, endpoint: &str) -> bool {
        mutex::lock(&self.drained).contains(endpoint)
    }

    /// Starts or ends the draining of an endpoint at the shards of this host.
    pub(crate) fn set_drained(&self, endpoint: &str, drained: bool) {
        if drained {
            mutex::lock(&self.drained).insert(endpoint.to_owned());
        } else {
            mutex::lock(&self.drained).remove(endpoint);
        }
        for (key, shard) in self.shards() {
            self.configure(&key, &shard);
        }
    }

    /// Puts settings in force and applies them to every shard.
    pub(crate) fn replace(&self, settings: sync::Arc<conf::Settings>) {
        self.set_classes(&settings);
        self.records.replace(&settings);
        self.active.store(sync::Arc::new(derive(settings)));
        for (key, shard) in self.shards() {
            self.configure(&key, &shard);
        }
    }

    /// Returns a shard, which is created on its first use at this host.
    pub(crate) fn shard(&self, pool: &str, index: u32) -> sync::Arc<shard::Shard> {
        let key = (pool.to_owned(), index);
        let mut shards = mutex::lock(&self.shards);
        if let Some(shard) = shards.get(&key) {
            return shard.clone();
        }
        let options = self.options(pool);
        let policy: Box<dyn pool::Policy> = match self.policy {
            options::Policy::Current => Box::new(pool::Current::new(&options)),
            options::Policy::Baseline => Box::new(pool::Baseline::new(&options)),
        };
        let shard = sync::Arc::new(shard::Shard::new(policy, self.clock));
        self.configure(&key, &shard);
        shards.insert(key, shard.clone());
        shard
    }

    /// Lists the shards that this host is or was home of.
    pub(crate) fn shards(&self) -> Vec<(Key, sync::Arc<shard::Shard>)> {
        mutex::lock(&self.shards)
            .iter()
            .map(|(key, shard)| (key.clone(), shard.clone()))
            .collect()
    }

    /// Returns the number of a class, which shards use as its index; `None` for a
    /// class that was never in the settings.
    pub(crate) fn class_number(&self, name: &str) -> Option<u16> {
        let number = mutex::lock(&self.numbers).classes.get(name)?;
        u16::try_from(number).ok()
    }

    /// Returns the number of an endpoint by its identity, `name@address`; `None`
    /// if no shard of this host has had it.
    pub(crate) fn endpoint_number(&self, name: &str) -> Option<pool::EndpointId> {
        mutex::lock(&self.numbers)
            .endpoints
            .get(name)
            .map(pool::EndpointId)
    }

    /// Returns the number under which crashes of an endpoint count. It is the number
    /// of the endpoint if the settings list its identity, `name@address`, and a hash
    /// above all numbers otherwise.
    pub(crate) fn crash_number(&self, identity: &str) -> u64 {
        let name = identity.split('@').next().unwrap_or_default();
        let active = self.active();
        let listed = active.settings.endpoints.get(name);
        if listed.is_some_and(|endpoint| identity == self::identity(name, endpoint.address)) {
            return mutex::lock(&self.numbers).endpoints.intern(identity).into();
        }
        xxh3::xxh3_64(identity.as_bytes()) | 1 << 63
    }

    /// Records a crash in a shard. A shard without requests so far is created, because
    /// it must count the crash as well.
    pub(crate) fn record_crash(&self, index: u32, crash: &wire::Crash) {
        let number = self.crash_number(&crash.endpoint);
        let shard = self.shard(&crash.pool, index);
        if crash.prefix == 0 {
            shard.record_crash(crash.fingerprint, number);
        } else {
            shard.record_part_crash(crash.prefix, crash.fingerprint, number);
        }
    }

    fn configure(&self, key: &Key, shard: &shard::Shard) {
        let options = self.options(&key.0);
        let members = self.members(&key.0, key.1);
        shard.configure(options, members);
    }

    fn set_classes(&self, settings: &conf::Settings) {
        let mut numbers = mutex::lock(&self.numbers);
        for (name, class) in &settings.classes {
            let number = numbers.classes.intern(name) as usize;
            let class = pool::Class {
                tier: class.tier,
                target_first: class.target_first,
                target_gap: class.target_gap,
                floor: class.floor,
                starvation_window: class.starvation_window,
            };
            if number < numbers.known.len() {
                numbers.known[number] = class;
            } else {
                numbers.known.push(class);
            }
        }
    }

    fn options(&self, name: &str) -> pool::Options {
        let active = self.active();
        let settings = &active.settings;
        let mut weights: collections::HashMap<u32, f64> = settings
            .teams
            .iter()
            .map(|(team, options)| (class::team_key(team), options.weight))
            .collect();
        weights.insert(class::ANONYMOUS_TEAM_KEY, settings.anonymous.weight);
        let pool = settings.pools.get(name);
        pool::Options {
            classes: mutex::lock(&self.numbers).known.clone(),
            weights,
            queue_max: settings.limits.queue_max,
            long_tokens: pool.map_or(u32::MAX, |pool| pool.long_tokens),
            long_share: pool.map_or(1.0, |pool| pool.long_share),
            seed: clock::Clock::wall_ms(),
        }
    }

    fn members(&self, pool: &str, index: u32) -> Vec<shard::Member> {
        let active = self.active();
        let listed = active
            .layout
            .get(pool)
            .and_then(|shards| shards.get(index as usize));
        let mut numbers = mutex::lock(&self.numbers);
        let mut members = Vec::new();
        for name in listed.into_iter().flatten() {
            let Some(endpoint) = active.settings.endpoints.get(name) else {
                continue;
            };
            let identity = identity(name, endpoint.address);
            let id = pool::EndpointId(numbers.endpoints.intern(&identity));
            let phase = if endpoint.leaving || self.is_drained(name) {
                pool::Phase::Draining
            } else {
                pool::Phase::Up
            };
            members.push(shard::Member {
                endpoint: pool::Endpoint {
                    id,
                    phase,
                    slots: endpoint.slots,
                },
                name: identity,
                address: endpoint.address,
            });
        }
        members
    }
}

/// Returns the identity of an endpoint across hosts. An endpoint at a new address
/// counts as another endpoint, so that observations and load of the old address do
/// not apply to it.
fn identity(name: &str, address: net::SocketAddr) -> String {
    format!("{name}@{address}")
}

fn derive(settings: sync::Arc<conf::Settings>) -> Active {
    Active {
        classes: class::Table::new(&settings),
        layout: layout::shards(&settings),
        settings,
    }
}

//! Lists that the administration API returns.

use std::collections;

use crate::console::source;
use crate::console::source::millis;
use crate::record;
use crate::shard;

/// Returns the number of shards that this host is the home of.
pub(super) fn home_shards(console: &source::Console) -> usize {
    let active = console.state.active();
    let shards = active
        .layout
        .iter()
        .flat_map(|(pool, shards)| (0..shards.len()).map(move |index| (pool, index as u32)));
    shards
        .filter(|(pool, index)| console.view.is_home(pool, *index))
        .count()
}

pub(super) fn hosts(console: &source::Console) -> Vec<admin::Host> {
    let now = console.clock.now();
    let own = console
        .view
        .with(|membership| membership.own().name.clone());
    let revision = console.config.revision();
    let mut hosts: Vec<admin::Host> = console.view.with(|membership| {
        let entries = membership.entries();
        entries
            .map(|(entry, state)| admin::Host {
                name: entry.name.clone(),
                incarnation: entry.incarnation,
                data_centre: entry.data_centre.clone(),
                region: entry.region.clone(),
                peer: entry.peer,
                caller: entry.caller,
                state: state_name(state).to_owned(),
                digest_ms: None,
                revision: None,
            })
            .collect()
    });
    for host in &mut hosts {
        if host.name == own {
            host.revision = Some(revision);
            continue;
        }
        if let Some((at, revision)) = console.view.last_digest(&host.name) {
            host.digest_ms = Some(millis(now.saturating_sub(at)));
            host.revision = Some(revision);
        }
    }
    hosts.sort_by(|a, b| a.name.cmp(&b.name));
    hosts
}

const fn state_name(state: fleet::State) -> &'static str {
    match state {
        fleet::State::Live => "up",
        fleet::State::Suspect => "suspected",
        fleet::State::Leaving => "leaving",
        fleet::State::Dead => "dead",
    }
}

pub(super) fn endpoints(console: &source::Console) -> Vec<admin::Endpoint> {
    let active = console.state.active();
    let mut usages = collections::HashMap::new();
    for (key, shard) in console.state.shards() {
        usages.insert(key, shard.inspect());
    }
    let mut endpoints = Vec::new();
    for (pool, shards) in &active.layout {
        for (index, names) in shards.iter().enumerate() {
            let key = (pool.clone(), index as u32);
            let home = console.view.homes(pool, key.1).into_iter().next();
            let home = home.map_or_else(String::new, |home| home.name);
            let inspection = usages.get(&key);
            for name in names {
                let Some(settings) = active.settings.endpoints.get(name) else {
                    continue;
                };
                let place = (pool.as_str(), key.1, home.as_str());
                endpoints.push(endpoint(console, place, (name, settings), inspection));
            }
        }
    }
    endpoints
}

fn endpoint(
    console: &source::Console,
    (pool, shard, home): (&str, u32, &str),
    (name, settings): (&String, &conf::settings::Endpoint),
    inspection: Option<&shard::Inspection>,
) -> admin::Endpoint {
    let now = console.clock.now();
    let identity = format!("{name}@{}", settings.address);
    let usage = inspection.and_then(|inspection| inspection.endpoints.get(&identity));
    let load = usage.and_then(|usage| usage.load);
    admin::Endpoint {
        name: name.clone(),
        pool: pool.to_owned(),
        shard,
        home: home.to_owned(),
        address: settings.address,
        draining: settings.leaving
            || console.state.is_drained(name)
            || load.is_some_and(|load| load.is_draining),
        in_flight: usage.map_or(0, |usage| usage.in_flight),
        slots: settings.slots,
        load: load.map(|load| admin::Load {
            running: load.running,
            waiting: load.waiting,
            slots: load.slots,
            age_ms: millis(now.saturating_sub(load.at)),
        }),
    }
}

pub(super) fn classes(console: &source::Console) -> Vec<admin::Class> {
    let active = console.state.active();
    let records = console.state.records();
    let snapshot = records.snapshot();
    let shards = console.state.shards();
    let shards: Vec<_> = shards.iter().map(|(_, shard)| shard.inspect()).collect();
    let open = records.list(usize::MAX);
    let class = |(name, settings): (&String, &conf::settings::Class)| {
        let number = console.state.class_number(name).map(usize::from);
        let queued = shards
            .iter()
            .filter_map(|shard| shard.stats.queued.get(number?));
        let tally = records.class(name);
        let [latest, ..] = snapshot.class_totals(name);
        admin::Class {
            name: name.clone(),
            tier: settings.tier,
            target_first_ms: millis(settings.target_first),
            target_gap_ms: settings.target_gap.map(millis),
            queued: queued.sum::<usize>() as u64,
            in_flight: running(&open, |entry| *entry.class == **name),
            served: tally.served,
            refused: tally.refused,
            shed: tally.shed,
            attainment: latest.bad_share().map(|share| 1.0 - share),
            burn: latest.burn_rate(settings.attainment),
            wait_ms: shards
                .iter()
                .map(|shard| millis(shard.stats.wait))
                .max()
                .unwrap_or(0),
        }
    };
    active.settings.classes.iter().map(class).collect()
}

pub(super) fn teams(console: &source::Console) -> Vec<admin::Team> {
    let active = console.state.active();
    let records = console.state.records();
    let open = records.list(usize::MAX);
    let team = |(key, weight): (u32, f64)| {
        let name = active.classes.team_name(key).unwrap_or_default();
        let settings = active.settings.teams.get(name);
        let class = settings.map_or(&active.settings.anonymous.class, |team| &team.class);
        let tally = records.team(key);
        let waiting = open
            .iter()
            .filter(|entry| entry.team_key == key && entry.state() == "queued");
        admin::Team {
            name: name.to_owned(),
            weight,
            class: Some(class.clone()),
            queued: waiting.count() as u64,
            in_flight: running(&open, |entry| entry.team_key == key),
            served: tally.served,
            tokens: tally.tokens,
        }
    };
    active.classes.weights().map(team).collect()
}

fn running(open: &[record::Entry], matches: impl Fn(&record::Entry) -> bool) -> u64 {
    let running = open
        .iter()
        .filter(|entry| entry.is_running && matches(entry));
    running.count() as u64
}

pub(super) fn requests(console: &source::Console, limit: usize) -> Vec<admin::Request> {
    let now = console.clock.now();
    let entries = console.state.records().list(limit);
    let request = |entry: record::Entry| admin::Request {
        state: entry.state().to_owned(),
        age_ms: millis(now.saturating_sub(entry.start)),
        queue_ms: millis(entry.queued),
        attempt: entry.attempt,
        endpoint: entry.endpoint,
        class: entry.class.to_string(),
        team: entry.team.to_string(),
        pool: entry.pool,
        id: entry.id,
    };
    entries.into_iter().map(request).collect()
}

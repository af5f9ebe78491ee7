//! Workers are upgraded in place, one after the other, while the store is down.

use std::collections::BTreeSet;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Crowd;
use crate::common::{self, Route};
use crate::fleet::Fleet;
use crate::net;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Options, Runs, Worker};

const SERVICE: &str = "pool";

/// Time for which the store is silent, and from when on the workers are upgraded.
const SILENCE: Duration = Duration::from_millis(4_500);
const FIRST: Duration = Duration::from_millis(300);

/// Time between two upgrades, and the time that a worker is away.
const PAUSE: Duration = Duration::from_millis(1_000);
const AWAY: Duration = Duration::from_millis(200);

/// Streams with events of two versions that the rule allows.
const MIXED_MAX: usize = 2;

pub fn play(record: &mut Record, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(6, &common::ZONES, net::wall_ms())?;
    let store = Store::start(fleet.store_address())?;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut workers = Vec::new();
    for index in 0..6u8 {
        let options = Options {
            slots: 64,
            work: Duration::from_millis(80),
            events: 40,
            gap: Duration::from_millis(80),
            ..common::worker(&fleet, index, SERVICE)
        };
        workers.push(common::start(options, &runs, &store)?);
    }
    let route = Route {
        name: "quote",
        kind: "streaming",
        service: SERVICE,
        attempts: 2,
        timeout_ms: 12_000,
        is_resumable: true,
    };
    store.put("op/config", &common::config(7, &[route], &[SERVICE]));
    let mut kind = common::kind("POST", "/quote/1", 1_700, 12_000);
    kind.headers = "X-Carobbay-Model: m\r\nX-Carobbay-Token-Counts: 600,300\r\nX-Carobbay-Prefix-Hash: {id}0:300,{id}1:300\r\n".to_owned();
    let hosts = common::bring_up(&mut fleet, &kind)?;
    record.line("all hosts serve; the traffic begins");
    let crowd = Crowd::start(&hosts, &[kind], Duration::from_millis(300));
    thread::sleep(Duration::from_secs(5));
    let began = Instant::now();
    if has_trouble {
        record.line(&format!("the store is silent for {} ms", SILENCE.as_millis()));
        store.set_silent(true);
    }
    thread::sleep(FIRST);
    for index in [3, 4, 5, 0] {
        let worker = &mut workers[index];
        let id = worker.options.id.clone();
        worker.end();
        thread::sleep(AWAY);
        let options = Options {
            version: "v2".to_owned(),
            born: net::wall_ms(),
            ..worker.options.clone()
        };
        *worker = Worker::start(options, &runs)?;
        record.line(&format!("{id} has started again with v2"));
        let (entry, key, store) = (worker.entry("ready", 1), worker.key(), store.clone());
        // The worker writes until the store takes it.
        thread::spawn(move || {
            if net::wait_until(Duration::from_secs(30), || !store.is_silent()) {
                store.put(&key, &entry);
            }
        });
        thread::sleep(PAUSE - AWAY);
    }
    thread::sleep(SILENCE.saturating_sub(began.elapsed()));
    store.set_silent(false);
    record.line("the store answers");
    thread::sleep(Duration::from_secs(6));
    let outcomes = crowd.stop();
    let runs = runs.lock().unwrap().clone();
    record.requests(&outcomes, &runs);
    let mut mixed = 0;
    for outcome in &outcomes {
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        let versions: BTreeSet<&str> = data.filter_map(|data| data.split(' ').next()).collect();
        if versions.len() > 1 {
            mixed += 1;
            record.quiet(&format!("mixed {}: {versions:?}", outcome.id));
        }
    }
    let whole = outcomes.iter().filter(|outcome| outcome.status == 200 && outcome.is_whole).count();
    record.line(&format!("{} streams, {whole} of them whole", outcomes.len()));
    record.line(&format!("ORDER: {mixed} streams hold events of two software versions; {MIXED_MAX} are allowed"));
    Ok(mixed <= MIXED_MAX)
}

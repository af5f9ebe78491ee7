//! The store cuts watches that wait; meanwhile a worker leaves.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Crowd, Kind};
use crate::fleet::{Fleet, DRAIN_MS};
use crate::net;
use crate::record::{self, Record};
use crate::store::Store;
use crate::worker::{Options, Runs, Worker};

const ZONES: [&str; 1] = ["brescia"];
const SERVICE: &str = "bottega";

/// Time after which the store cuts a watch that waits.
const CUT_AFTER: Duration = Duration::from_millis(500);

const WORKERS: usize = 8;

/// Workers that leave: a quarter, as `scale_in` of the site (share = 0.25).
const LEAVERS: usize = 2;

/// Time for which a leaving worker serves after its entry was removed.
const LEAVING: Duration = Duration::from_millis(DRAIN_MS + 6_000);

/// Time between two requests of a kind at a host: with two kinds, 1.1 requests a second and
/// host, as the 16.6 a second of the site's plain work make at its 15 hosts.
const PAUSE: Duration = Duration::from_millis(1_800);

fn config() -> String {
    let route = |name: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"{}\",\"prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeoutMs\":4000,\"targetLatencyMs\":300,\
             \"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false}}",
            client::HOST
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\"/health\",\"maxConns\":214,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"{}\",\"apiKeys\":[\"{}\"],\"priority\":1}}]}}",
        route("order", "non_idempotent", 1),
        route("stock", "idempotent", 2),
        client::TENANT,
        client::KEY,
    )
}

pub fn play(record: &mut Record, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(6, &ZONES, net::wall_ms())?;
    let store = Store::start(fleet.store_address())?;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut workers = Vec::new();
    for index in 0..WORKERS as u8 {
        let worker = Worker::start(
            Options {
                id: format!("i-{index}a91c2"),
                service: SERVICE.to_owned(),
                address: SocketAddr::new(IpAddr::V4(fleet.ip(101 + index)), 8080),
                zone: ZONES[0].to_owned(),
                version: "v1".to_owned(),
                born: net::wall_ms(),
                slots: 6,
                work: Duration::from_millis(60),
                events: 0,
                gap: Duration::ZERO,
                stop_each: 0,
                brittle: None,
            },
            &runs,
        )?;
        store.put(&worker.key(), &worker.entry("ready", 1));
        workers.push(worker);
    }
    store.put("op/config", &config());
    fleet.start_all()?;
    if !fleet.wait_ready(Duration::from_secs(20)) {
        return Err(io::Error::other("the hosts are not ready"));
    }
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.front()).collect();
    let kind = |method, path: &str, body| Kind {
        method,
        path: path.to_owned(),
        deadline: Duration::from_millis(4_000),
        body,
        headers: String::new(),
    };
    let kinds = [kind("POST", "/order/1", 600), kind("GET", "/stock/1", 0)];
    record::wait_served(&hosts, &kinds[1], Duration::from_secs(10))?;
    record.line("all hosts serve; the traffic begins");
    let crowd = Crowd::start(&hosts, &kinds, PAUSE);
    thread::sleep(Duration::from_secs(5));
    if has_trouble {
        record.line(&format!("from now on the store cuts a watch that has waited for {} ms", CUT_AFTER.as_millis()));
        store.cut_watches_after(Some(CUT_AFTER));
    }
    thread::sleep(Duration::from_secs(5));
    let leavers = &workers[WORKERS - LEAVERS..];
    let removed: Vec<(&str, Instant)> = leavers
        .iter()
        .map(|worker| {
            worker.leave();
            (worker.options.id.as_str(), store.remove(&worker.key()))
        })
        .collect();
    record.line(&format!(
        "the entries of {LEAVERS} workers are removed, acknowledged; they say in all answers that they leave, and go on for {} ms",
        LEAVING.as_millis()
    ));
    thread::sleep(LEAVING);
    leavers.iter().for_each(Worker::end);
    let ended = Instant::now();
    record.line("they end");
    thread::sleep(Duration::from_secs(2));
    let outcomes = crowd.stop();
    let (calls, cuts) = store.counts();
    let runs = runs.lock().unwrap().clone();
    record.requests(&outcomes, &runs);
    let late: Vec<Duration> = runs
        .iter()
        .filter_map(|run| {
            let (_, removed) = removed.iter().find(|(id, _)| *id == run.worker)?;
            Some(run.arrived.saturating_duration_since(*removed))
        })
        .filter(|since| *since > Duration::from_millis(DRAIN_MS))
        .collect();
    let latest = late.iter().max().map_or(0.0, Duration::as_secs_f64);
    let lost = outcomes.iter().filter(|outcome| {
        let began_before = outcome.sent < ended && outcome.ended >= ended;
        began_before && outcome.status != 200
    });
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    record.line(&format!("{} requests, {served} served; {calls} calls of the store, {cuts} watches cut", outcomes.len()));
    record.line(&format!(
        "DRAIN: {} requests reached a leaving worker later than {DRAIN_MS} ms after the acknowledgement, the last {latest:.1} s after it; {} requests failed as they ended",
        late.len(),
        lost.count()
    ));
    Ok(late.is_empty())
}

//! The store comes back from a copy, and the operator writes again what was lost.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Crowd;
use crate::common::{self, Route};
use crate::fleet::{Fleet, ROLLBACK_SLACK_MS};
use crate::net;
use crate::record::Record;
use crate::store::Store;
use crate::worker::Runs;

/// Services to which the route goes in the first, second and third configuration.
const SERVICES: [&str; 3] = ["first", "second", "third"];
const VERSIONS: [u64; 3] = [7, 9, 12];

/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);

pub fn play(record: &mut Record, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(6, &common::ZONES, net::wall_ms())?;
    let store = Store::start(fleet.store_address())?;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    for index in 0..6u8 {
        let service = SERVICES[usize::from(index) % 3];
        common::start(common::worker(&fleet, index, service), &runs, &store)?;
    }
    let config = |index: usize| {
        let route = Route {
            name: "order",
            kind: "non_idempotent",
            service: SERVICES[index],
            attempts: 1,
            timeout_ms: 4_000,
            is_resumable: false,
        };
        common::config(VERSIONS[index], &[route], &SERVICES)
    };
    store.put("op/config", &config(0));
    let copy = store.copy();
    let kind = common::kind("POST", "/order/1", 600, 4_000);
    let hosts = common::bring_up(&mut fleet, &kind)?;
    record.line("all hosts serve; the traffic begins");
    let crowd = Crowd::start(&hosts, &[kind], Duration::from_millis(200));
    thread::sleep(Duration::from_secs(4));
    let write = |record: &mut Record, index: usize, what: &str| {
        store.put("op/config", &config(index));
        record.line(&format!("{what} version {}, to {}", VERSIONS[index], SERVICES[index]));
    };
    write(record, 1, "the operator writes");
    thread::sleep(Duration::from_secs(2));
    write(record, 2, "the operator writes");
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        store.set_silent(true);
        thread::sleep(AWAY);
        store.restore(copy);
        store.set_silent(false);
        record.line(&format!("the store is back from a copy of 10 s ago, with version {}", VERSIONS[0]));
        thread::sleep(Duration::from_secs(1));
        write(record, 1, "the operator writes again");
        thread::sleep(Duration::from_secs(1));
        write(record, 2, "the operator writes again");
    }
    thread::sleep(Duration::from_secs(5));
    let outcomes = crowd.stop();
    let runs = runs.lock().unwrap().clone();
    record.requests(&outcomes, &runs);
    // A worker of the third service saw the effect of the third version.
    let service = |worker: &str| worker.chars().nth(2).and_then(|c| c.to_digit(10)).unwrap_or(0) as usize % 3;
    let mut back = 0;
    let mut seconds = (f64::MAX, 0.0f64);
    for host in &hosts {
        let of_host = |id: &str| outcomes.iter().find(|outcome| outcome.id == id && outcome.host == *host);
        let seen: Option<Instant> = runs
            .iter()
            .find(|run| service(&run.worker) == 2 && of_host(&run.request).is_some())
            .map(|run| run.arrived);
        let Some(seen) = seen else { continue };
        for run in runs.iter().filter(|run| service(&run.worker) != 2) {
            let Some(outcome) = of_host(&run.request) else { continue };
            if outcome.sent > seen + Duration::from_millis(ROLLBACK_SLACK_MS) {
                back += 1;
                let at = record.at(outcome.sent);
                seconds = (seconds.0.min(at), seconds.1.max(at));
            }
        }
    }
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    record.line(&format!("{} requests, {served} served", outcomes.len()));
    record.line(&format!(
        "CONFIG: {back} requests ran by an older version, sent later than {ROLLBACK_SLACK_MS} ms after their host had shown version {}{}",
        VERSIONS[2],
        if back > 0 { format!(", from {:.3} to {:.3} s", seconds.0, seconds.1) } else { String::new() }
    ));
    Ok(back == 0)
}

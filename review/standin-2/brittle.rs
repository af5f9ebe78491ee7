//! Workers are brittle and get more requests than they take; five of nine hosts are killed.
//! This is no case: it counts the falls (LIMIT) and shows what is served in each second.

use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Crowd;
use crate::common::{self, Route};
use crate::fleet::{Fleet, STABLE_WINDOW_MS};
use crate::net;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Options, Runs, Worker};

const SERVICE: &str = "bottega";
const STABLE: Duration = Duration::from_millis(STABLE_WINDOW_MS);

/// Refusals in a second that a worker bears.
const BORNE: u32 = 1;

/// Time for which a worker is away that fell over.
const BACK: Duration = Duration::from_secs(3);

const LENGTH: Duration = Duration::from_secs(36);

/// Falls that the rule allows for four workers.
const FALLS_MAX: usize = 2;

pub fn play(record: &mut Record, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(9, &common::ZONES, net::wall_ms())?;
    let store = Store::start(fleet.store_address())?;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    let mut workers = Vec::new();
    for index in 0..4u8 {
        let options = Options {
            brittle: Some(BORNE),
            work: Duration::from_millis(250),
            ..common::worker(&fleet, index, SERVICE)
        };
        workers.push(common::start(options, &runs, &store)?);
    }
    let route = Route {
        name: "order",
        kind: "non_idempotent",
        service: SERVICE,
        attempts: 1,
        timeout_ms: 4_000,
        is_resumable: false,
    };
    store.put("op/config", &common::config(7, &[route], &[SERVICE]));
    let kind = common::kind("POST", "/order/1", 600, 4_000);
    let hosts = common::bring_up(&mut fleet, &kind)?;
    let crowd = Crowd::start(&hosts, &[kind], Duration::from_millis(80));
    let began = Instant::now();
    let (mut falls, mut away) = (Vec::new(), Vec::new());
    let mut in_touch = began + STABLE;
    let mut is_killed = !has_trouble;
    while began.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(20));
        for (index, worker) in workers.iter().enumerate() {
            // Two connections may notice the same fall.
            let fallen = std::mem::take(&mut *worker.falls.lock().unwrap());
            if let Some(&at) = fallen.first() {
                record.line(&format!("{} falls over", worker.options.id));
                falls.push(at);
                away.push((index, at + BACK));
            }
        }
        let now = Instant::now();
        for (index, _) in away.iter().filter(|(_, at)| *at <= now) {
            let options = Options {
                born: net::wall_ms(),
                ..workers[*index].options.clone()
            };
            workers[*index] = Worker::start(options, &runs)?;
            store.put(&workers[*index].key(), &workers[*index].entry("ready", 1));
            record.line(&format!("{} is back", workers[*index].options.id));
        }
        away.retain(|(_, at)| *at > now);
        if !is_killed && began.elapsed() > Duration::from_secs(8) {
            is_killed = true;
            let killed = [1, 3, 5, 7, 0];
            killed.iter().for_each(|index| fleet.hosts[*index].kill());
            thread::sleep(Duration::from_millis(500));
            killed.iter().try_for_each(|index| fleet.hosts[*index].start())?;
            in_touch = Instant::now() + STABLE;
            record.line("five hosts were killed and have started again");
        }
    }
    let outcomes = crowd.stop();
    record.requests(&outcomes, &runs.lock().unwrap().clone());
    let mut seconds = vec![(0, 0); LENGTH.as_secs() as usize + 1];
    for outcome in &outcomes {
        let second = outcome.sent.saturating_duration_since(began).as_secs() as usize;
        if let Some((served, all)) = seconds.get_mut(second) {
            *served += u32::from(outcome.status == 200);
            *all += 1;
        }
    }
    let text: Vec<String> = seconds.iter().map(|(served, all)| format!("{served}/{all}")).collect();
    record.line(&format!("served in each second: {}", text.join(" ")));
    let late = falls.iter().filter(|at| **at > in_touch).count();
    record.line(&format!("LIMIT: {late} of {} falls while all machines were in touch, {FALLS_MAX} are allowed", falls.len()));
    Ok(late <= FALLS_MAX)
}

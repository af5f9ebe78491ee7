//! A worker leaves and says so. Then the store is away for a moment and comes back from a
//! copy that is some seconds old, in which the worker is still ready.

mod common;

use common::{Connection, Record, Stop, Store, Worker};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOSTS: u8 = 4;
const DRAIN_MS: u64 = 2_000;

/// Margin for what the clocks of client and worker add.
const MARGIN: Duration = Duration::from_millis(50);

const CONFIG: &str = r#"{"version":3,"routes":[{"name":"r-book","host":"desk.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}],"services":[{"name":"desk","healthPath":"/health","maxConns":400,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"press","apiKeys":["key-of-press"],"priority":1}]}"#;

/// A request: its host, when it was sent and answered, and its status.
#[derive(Clone)]
struct Sent {
    host: usize,
    id: String,
    at: Duration,
    ended: Duration,
    status: u16,
}

fn ask(front: std::net::SocketAddr, id: &str) -> u16 {
    let text = format!(
        "POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Deadline-Ms: 1500\r\nAuthorization: Bearer key-of-press\r\nContent-Length: 4\r\n\r\nbook"
    );
    let answer = Connection::open(front, common::ms(2_000)).and_then(|mut connection| {
        connection.write(&text)?;
        connection.read()
    });
    answer.map_or(0, |answer| answer.status())
}

fn main() {
    let record = Record::new();
    let folder = common::folder("restore");
    let trouble = common::has_trouble();
    let store = Store::start();
    let ledger = common::Ledger::default();
    let workers = ["i-leaves", "i-stays-1", "i-stays-2"].map(|id| Worker::start(id, &record, &ledger));
    let write = |worker: &Worker, state: &str, seq: u64| {
        store.put(&format!("servers/{}", worker.id), &worker.entry("desk", state, seq));
    };
    for worker in &workers {
        write(worker, "ready", 1);
    }
    store.put("op/config", CONFIG);
    let hosts = common::start_hosts(HOSTS, &store, &folder);
    record.say(format!("{HOSTS} hosts are ready"));
    thread::sleep(Duration::from_secs(5));

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Stop::default();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(host, process)| {
            let front = process.layout.front;
            let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.is_set() {
                    let id = format!("h{host}-{number}");
                    number += 1;
                    let at = record.now();
                    let status = ask(front, &id);
                    let ended = record.now();
                    sent.lock().unwrap().push(Sent {
                        host,
                        id,
                        at,
                        ended,
                        status,
                    });
                    thread::sleep(common::ms(15));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));

    let copy = store.copy();
    record.say("the store is copied".to_owned());
    thread::sleep(common::ms(1_500));
    let leaver = &workers[0];
    leaver.leaving.store(true, Ordering::Relaxed);
    record.say(format!("worker {} says in its answers that it is leaving", leaver.id));
    thread::sleep(common::ms(200));
    write(leaver, "draining", 2);
    record.say("the store has acknowledged that it is draining".to_owned());
    thread::sleep(common::ms(700));
    if trouble {
        store.go_away();
        record.say("the store is away".to_owned());
    }
    thread::sleep(common::ms(1_500));
    if trouble {
        store.come_back(&copy);
        record.say("the store is back from the copy".to_owned());
    }
    // The workers write again at their next heartbeat.
    thread::sleep(common::ms(1_000));
    write(leaver, "draining", 3);
    for worker in &workers[1..] {
        write(worker, "ready", 2);
    }
    record.say("the workers have written their entries again".to_owned());
    thread::sleep(Duration::from_secs(3));
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    drop(hosts);

    let runs = ledger.lock().unwrap().clone();
    let mut sent = sent.lock().unwrap().clone();
    sent.sort_by_key(|request| request.at);
    // When each host had first passed on an answer that said so.
    let mut passed: BTreeMap<usize, Duration> = BTreeMap::new();
    let mut late: BTreeMap<usize, usize> = BTreeMap::new();
    for request in &sent {
        let run = runs.iter().find(|run| run.id == request.id);
        record.add(format!(
            "request {} sent at {:.3}: status {}, run by {}",
            request.id,
            request.at.as_secs_f64(),
            request.status,
            run.map_or("none", |run| run.worker.as_str())
        ));
        let Some(run) = run.filter(|run| run.is_leaving) else {
            continue;
        };
        let since = *passed.entry(request.host).or_insert(request.ended);
        if request.at > since + common::ms(DRAIN_MS) + MARGIN {
            *late.entry(request.host).or_default() += 1;
            record.add(format!("{} is late, run at {:.3}", run.id, run.at.as_secs_f64()));
        }
    }
    record.say(format!("{} of {HOSTS} hosts had passed on an answer with Server-Leaving", passed.len()));
    record.say(format!(
        "requests that reached the leaving worker though they were sent over drainMs later, by host: {late:?}"
    ));
    let served = sent.iter().filter(|request| request.status == 200).count();
    record.say(format!("{} requests, {served} served", sent.len()));
    record.write(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(match (late.is_empty(), passed.len() >= 2) {
        (false, _) => 1,
        (true, true) => 0,
        (true, false) => 2,
    });
}

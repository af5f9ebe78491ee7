//! Open connections to the store go silent for good, right after a change of the
//! configuration has reached all hosts. Then the operator takes a key away.

mod common;

use common::{Connection, Record, Stop, Store, Worker};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const HOSTS: u8 = 3;
const CONFIG_MS: u64 = 2_000;
const STABLE_MS: u64 = 3_000;

/// Margin for what the clocks of client and worker add.
const MARGIN: Duration = Duration::from_millis(50);

fn config(version: u64, timeout_ms: u64, has_key: bool) -> String {
    let keys = if has_key { r#""key-kept","key-taken""# } else { r#""key-kept""# };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"desk.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":{timeout_ms},"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":400,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"press","apiKeys":[{keys}],"priority":1}}]}}"#
    )
}

/// A request with the key that is taken away.
#[derive(Clone)]
struct Sent {
    at: Duration,
    id: String,
    status: u16,
}

fn ask(front: std::net::SocketAddr, id: &str) -> u16 {
    let text = format!(
        "POST /book/2f HTTP/1.1\r\nHost: desk.example\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Deadline-Ms: 1500\r\nAuthorization: Bearer key-taken\r\nContent-Length: 4\r\n\r\nbook"
    );
    let answer = Connection::open(front, common::ms(2_000)).and_then(|mut connection| {
        connection.write(&text)?;
        connection.read()
    });
    answer.map_or(0, |answer| answer.status())
}

fn main() {
    let record = Record::new();
    let folder = common::folder("silence");
    let trouble = common::has_trouble();
    let store = Store::start();
    let ledger = common::Ledger::default();
    let workers = ["i-desk-1", "i-desk-2"].map(|id| Worker::start(id, &record, &ledger));
    for worker in &workers {
        let key = format!("servers/{}", worker.id);
        store.put(&key, &worker.entry("desk", "ready", 1));
    }
    store.put("op/config", &config(3, 1_500, true));
    let hosts = common::start_hosts(HOSTS, &store, &folder);
    record.say(format!("{HOSTS} hosts are ready"));
    thread::sleep(Duration::from_secs(6));

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Stop::default();
    let clients: Vec<_> = hosts
        .iter()
        .enumerate()
        .map(|(index, host)| {
            let (front, record, sent, stop) =
                (host.layout.front, record.clone(), sent.clone(), stop.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.is_set() {
                    let id = format!("c{index}-{number}");
                    number += 1;
                    let at = record.now();
                    let status = ask(front, &id);
                    sent.lock().unwrap().push(Sent { at, id, status });
                    thread::sleep(common::ms(20));
                }
            })
        })
        .collect();
    thread::sleep(common::ms(500));

    store.put("op/config", &config(5, 1_600, true));
    record.say("the store has acknowledged version 5, which changes a time-out".to_owned());
    // All hosts have the change when each of them watches again.
    let until = Instant::now() + Duration::from_secs(3);
    loop {
        let ages = store.waiting("op/config");
        if ages.len() == usize::from(HOSTS) && ages.iter().all(|age| *age < common::ms(300)) {
            break;
        }
        if Instant::now() > until {
            drop(hosts);
            eprintln!("the hosts do not watch the configuration");
            std::process::exit(2);
        }
        thread::sleep(common::ms(5));
    }
    thread::sleep(common::ms(50));
    let silence = record.now();
    if trouble {
        store.silence();
        record.say("open connections to the store are silent from now on, new ones work".to_owned());
    }
    thread::sleep(common::ms(50));
    store.put("op/config", &config(9, 1_600, false));
    let acknowledged = record.now();
    record.say("the store has acknowledged version 9, which takes key-taken away".to_owned());
    thread::sleep(Duration::from_secs(8));
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    drop(hosts);

    // From here on a request with the key must not run at a machine in touch.
    let mut bound = acknowledged + common::ms(CONFIG_MS);
    if trouble {
        bound = bound.max(silence + common::ms(STABLE_MS));
    }
    let bound = bound + MARGIN;
    let runs = ledger.lock().unwrap().clone();
    let mut late = Vec::new();
    let mut last = Duration::ZERO;
    let sent = sent.lock().unwrap().clone();
    for request in &sent {
        let run = runs.iter().find(|run| run.id == request.id);
        record.add(format!(
            "request {} sent at {:.3}: status {}, run by {}",
            request.id,
            request.at.as_secs_f64(),
            request.status,
            run.map_or("none", |run| run.worker.as_str())
        ));
        if run.is_some() {
            last = last.max(request.at);
            if request.at > bound {
                late.push(request.clone());
            }
        }
    }
    record.say(format!(
        "{} requests with key-taken; the last one that ran was sent {:.3} s after the acknowledgement, {:.3} s after the silence began",
        sent.len(),
        last.saturating_sub(acknowledged).as_secs_f64(),
        last.saturating_sub(silence).as_secs_f64()
    ));
    record.say(format!("{} ran though they were sent after the bound of {:.3} s", late.len(), bound.as_secs_f64()));
    let served_before = sent.iter().any(|request| request.status == 200);
    let denied_after = sent.iter().any(|request| request.status == 401);
    record.write(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(match (late.is_empty(), served_before && denied_after) {
        (false, _) => 1,
        (true, true) => 0,
        (true, false) => 2,
    });
}

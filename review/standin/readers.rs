//! The hosts that read the store for the fleet lose power at the same moment. Right after
//! that the operator takes a key away.

mod common;

use common::{Connection, Host, Record, Stop, Store, Worker};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const HOSTS: u8 = 8;
const CONFIG_MS: u64 = 2_000;

/// How long the machines are without power.
const DARK: Duration = Duration::from_millis(3_500);

/// Margin for what the clocks of client and worker add.
const MARGIN: Duration = Duration::from_millis(50);

fn config(version: u64, has_key: bool) -> String {
    let keys = if has_key { r#""key-kept","key-taken""# } else { r#""key-kept""# };
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-book","host":"desk.example","prefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":1,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":400,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"press","apiKeys":[{keys}],"priority":1}}]}}"#
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
    let folder = common::folder("readers");
    let trouble = common::has_trouble();
    let store = Store::start();
    let ledger = common::Ledger::default();
    let workers = ["i-desk-1", "i-desk-2"].map(|id| Worker::start(id, &record, &ledger));
    for worker in &workers {
        let key = format!("servers/{}", worker.id);
        store.put(&key, &worker.entry("desk", "ready", 1));
    }
    store.put("op/config", &config(3, true));
    let mut hosts = common::start_hosts(HOSTS, &store, &folder);
    let seeds: Vec<_> = hosts.iter().map(|host| host.layout.control).take(3).collect();
    record.say(format!("{HOSTS} hosts are ready"));
    thread::sleep(Duration::from_secs(8));

    // Hosts whose calls of the store go on read it for the others.
    let before: Vec<u64> = hosts.iter().map(Host::store_calls).collect();
    thread::sleep(Duration::from_secs(6));
    let is_reader: Vec<bool> = hosts
        .iter()
        .zip(before)
        .map(|(host, before)| host.store_calls() > before)
        .collect();
    let calm: Vec<usize> = (0..hosts.len()).filter(|&index| !is_reader[index]).collect();
    record.say(format!("{} hosts read the store, {} don't", hosts.len() - calm.len(), calm.len()));
    if calm.is_empty() {
        drop(hosts);
        eprintln!("every host reads the store");
        std::process::exit(2);
    }

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let stop = Stop::default();
    let clients: Vec<_> = calm
        .iter()
        .map(|&index| {
            let front = hosts[index].layout.front;
            let (record, sent, stop) = (record.clone(), sent.clone(), stop.clone());
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
    thread::sleep(Duration::from_secs(1));

    if trouble {
        for (host, _) in hosts.iter_mut().zip(&is_reader).filter(|(_, is_reader)| **is_reader) {
            host.kill();
        }
        record.say("the hosts that read the store have lost power".to_owned());
    }
    thread::sleep(common::ms(50));
    store.put("op/config", &config(5, false));
    let acknowledged = record.now();
    record.say("the store has acknowledged version 5, which takes key-taken away".to_owned());
    thread::sleep(DARK);
    if trouble {
        for (host, _) in hosts.iter_mut().zip(&is_reader).filter(|(_, is_reader)| **is_reader) {
            *host = Host::start(host.layout.clone(), &seeds, store.address, &folder);
        }
        record.say("they start again".to_owned());
    }
    thread::sleep(Duration::from_secs(5));
    stop.set();
    for client in clients {
        let _ = client.join();
    }
    drop(hosts);

    let bound = acknowledged + common::ms(CONFIG_MS) + MARGIN;
    let runs = ledger.lock().unwrap().clone();
    let mut late = 0;
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
            late += usize::from(request.at > bound);
        }
    }
    record.say(format!(
        "{} requests with key-taken at the hosts that were not touched; the last one that ran was sent {:.3} s after the acknowledgement",
        sent.len(),
        last.saturating_sub(acknowledged).as_secs_f64()
    ));
    record.say(format!("{late} ran though they were sent after the bound of {:.3} s", bound.as_secs_f64()));
    let served_before = sent.iter().any(|request| request.status == 200);
    let denied_after = sent.iter().any(|request| request.status == 401);
    record.write(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(match (late > 0, served_before && denied_after) {
        (true, _) => 1,
        (false, true) => 0,
        (false, false) => 2,
    });
}

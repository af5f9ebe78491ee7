//! The operator raises `maxHeaderBytes` while clients keep their connections.

mod common;

use common::{Connection, Record, Store, Worker};
use std::thread;

/// Connections that clients keep.
const KEPT: usize = 40;

/// Small requests on each of them before the change, and after it.
const SMALL: usize = 12;

fn config(version: u64, header_bytes: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-lookup","host":"desk.example","prefix":"/lookup/","kind":"idempotent","timeoutMs":2000,"targetLatencyMs":300,"priority":2,"service":"desk","maxAttempts":2,"public":false,"sticky":false,"resumable":false}}],"services":[{{"name":"desk","healthPath":"/health","maxConns":400,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":{header_bytes},"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"press","apiKeys":["key-of-press"],"priority":1}}]}}"#
    )
}

fn request(id: &str, header_bytes: usize) -> String {
    // A client's own header field; the whole head is well below `maxHeaderBytes`.
    let note = "n".repeat(header_bytes);
    format!(
        "GET /lookup/2f HTTP/1.1\r\nHost: desk.example\r\nX-Carobbay-Request-Id: {id}\r\nX-Carobbay-Deadline-Ms: 2000\r\nAuthorization: Bearer key-of-press\r\nX-Note: {note}\r\n\r\n"
    )
}

struct Tally {
    record: Record,
    all: usize,
    denied: usize,
    served: usize,
    other: usize,
}

impl Tally {
    /// Sends a request and counts its answer; returns whether it was served.
    fn ask(&mut self, connection: &mut Connection, id: &str, bytes: usize) -> bool {
        self.all += 1;
        let answer = connection
            .write(&request(id, bytes))
            .and_then(|()| connection.read());
        let status = answer.as_ref().map_or(0, common::Message::status);
        let is_stamped = answer
            .as_ref()
            .is_ok_and(|answer| answer.field("x-carobbay-response-stamp").is_some());
        match status {
            200 if is_stamped => self.served += 1,
            408 | 421 | 429 => self.other += 1,
            300..=499 => self.denied += 1,
            _ => self.other += 1,
        }
        self.record
            .add(format!("request {id}, {bytes} bytes of header: status {status}"));
        status == 200
    }
}

fn main() {
    let record = Record::new();
    let folder = common::folder("headers");
    let trouble = common::has_trouble();
    let store = Store::start();
    let ledger = common::Ledger::default();
    let workers = ["i-desk-1", "i-desk-2"].map(|id| Worker::start(id, &record, &ledger));
    for worker in &workers {
        let key = format!("servers/{}", worker.id);
        store.put(&key, &worker.entry("desk", "ready", 1));
    }
    // Without the disruption the higher limit is in force from the start.
    let first = if trouble { 16_384 } else { 131_072 };
    store.put("op/config", &config(3, first));
    let hosts = common::start_hosts(2, &store, &folder);
    record.say(format!("2 hosts are ready, maxHeaderBytes is {first}"));

    let mut tally = Tally {
        record: record.clone(),
        all: 0,
        denied: 0,
        served: 0,
        other: 0,
    };
    let mut kept: Vec<Connection> = (0..KEPT)
        .map(|index| {
            let front = hosts[index % hosts.len()].layout.front;
            Connection::open(front, common::ms(1_000)).expect("a connection")
        })
        .collect();
    for round in 0..SMALL {
        for (index, connection) in kept.iter_mut().enumerate() {
            tally.ask(connection, &format!("before-{round}-{index}"), 200);
        }
        thread::sleep(common::ms(100));
    }
    if trouble {
        store.put("op/config", &config(5, 131_072));
        record.say("the store has acknowledged version 5: maxHeaderBytes is 131072".to_owned());
    }
    // `configMs` is 2 s and `stableWindowMs` 3 s. The clients go on meanwhile.
    for round in 0..SMALL {
        for (index, connection) in kept.iter_mut().enumerate() {
            tally.ask(connection, &format!("after-{round}-{index}"), 200);
        }
        thread::sleep(common::ms(400));
    }
    let mut lost = 0;
    for (index, connection) in kept.iter_mut().enumerate() {
        if !tally.ask(connection, &format!("long-{index}"), 60_000) {
            lost += 1;
        }
    }
    record.say(format!("60,000 bytes of header on kept connections: {lost} of {KEPT} not served"));
    let mut fresh_lost = 0;
    for index in 0..KEPT {
        let front = hosts[index % hosts.len()].layout.front;
        let mut connection = Connection::open(front, common::ms(1_000)).expect("a connection");
        if !tally.ask(&mut connection, &format!("fresh-{index}"), 60_000) {
            fresh_lost += 1;
        }
    }
    record.say(format!("the same on new connections: {fresh_lost} of {KEPT} not served"));
    drop(hosts);
    let bound = 5.0 + tally.all as f64 / 500.0;
    record.say(format!(
        "{} requests: {} served, {} ended with a 4xx of the router's own, {} otherwise; DENIED allows {bound:.1}",
        tally.all, tally.served, tally.denied, tally.other
    ));
    record.say(format!("the workers ran {} requests", ledger.lock().unwrap().len()));
    let is_broken = tally.denied as f64 > bound;
    let is_odd = tally.other > 0;
    record.write(&std::env::args().nth(1).unwrap_or("record.txt".to_owned()));
    let _ = std::fs::remove_dir_all(folder);
    std::process::exit(match (is_broken, is_odd) {
        (true, _) => 1,
        (false, true) => 2,
        (false, false) => 0,
    });
}

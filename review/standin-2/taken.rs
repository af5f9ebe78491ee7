//! All processes are killed and start again; clients take up the streams that broke.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, Kind, Outcome};
use crate::common::{self, Route};
use crate::fleet::{Fleet, STABLE_WINDOW_MS};
use crate::net;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Options, Runs};

const SERVICE: &str = "pool";
const EVENTS: u64 = 100;
const GAP: Duration = Duration::from_millis(80);

/// Pauses of a client before it takes its stream up.
const PAUSES_MS: [u64; 5] = [200, 600, 1_200, 2_000, 2_000];

/// Fewest streams taken up that are judged.
const JUDGED_MIN: usize = 12;

/// One try of a client.
struct Try {
    outcome: Outcome,
    is_resumed: bool,
    /// Whether it brought the next event that the client needs.
    goes_on: bool,
}

/// Reads a stream to its end, over several tries if it breaks.
fn read_stream(hosts: &[SocketAddr], mut place: usize, kind: &Kind, tries: &Mutex<Vec<Try>>) {
    let began = Instant::now();
    let first = client::new_id();
    let (mut id, mut last) = (first.clone(), 0);
    for pause in [0].iter().chain(&PAUSES_MS) {
        thread::sleep(Duration::from_millis(*pause));
        let left = kind.deadline.saturating_sub(began.elapsed());
        if left < Duration::from_millis(200) {
            return;
        }
        let more = match last {
            0 => String::new(),
            last => format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"),
        };
        let kind = Kind {
            deadline: left,
            ..kind.clone()
        };
        let outcome = client::send(hosts[place % hosts.len()], &kind, &id, &more);
        let text = String::from_utf8_lossy(&outcome.body).into_owned();
        let ids: Vec<u64> = text
            .lines()
            .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
            .collect();
        let goes_on = outcome.status == 200 && ids.first() == Some(&(last + 1));
        let is_done = outcome.is_whole && outcome.status == 200;
        let is_resumed = last > 0;
        last = ids.last().copied().unwrap_or(last);
        tries.lock().unwrap().push(Try {
            outcome,
            is_resumed,
            goes_on,
        });
        if is_done {
            return;
        }
        id = client::new_id();
        place += 1;
    }
}

pub fn play(record: &mut Record, has_trouble: bool) -> io::Result<bool> {
    let mut fleet = Fleet::new(6, &common::ZONES, net::wall_ms())?;
    let store = Store::start(fleet.store_address())?;
    let runs: Runs = Arc::new(Mutex::new(Vec::new()));
    for index in 0..6u8 {
        let options = Options {
            slots: 64,
            work: Duration::from_millis(80),
            events: EVENTS,
            gap: GAP,
            ..common::worker(&fleet, index, SERVICE)
        };
        common::start(options, &runs, &store)?;
    }
    let route = Route {
        name: "fit",
        kind: "streaming",
        service: SERVICE,
        attempts: 2,
        timeout_ms: 12_000,
        is_resumable: true,
    };
    store.put("op/config", &common::config(7, &[route], &[SERVICE]));
    let mut kind = common::kind("POST", "/fit/1", 1_700, 12_000);
    kind.headers = "X-Carobbay-Model: m\r\nX-Carobbay-Token-Counts: 600,300\r\nX-Carobbay-Prefix-Hash: {id}0:300,{id}1:300\r\n".to_owned();
    let hosts = common::bring_up(&mut fleet, &kind)?;
    record.line("all hosts serve; the traffic begins");
    let tries = Arc::new(Mutex::new(Vec::new()));
    let is_stopped = Arc::new(AtomicBool::new(false));
    let clients = {
        let (hosts, tries, is_stopped) = (hosts.clone(), tries.clone(), is_stopped.clone());
        thread::spawn(move || {
            let mut open = Vec::new();
            let mut place = 0;
            while !is_stopped.load(Ordering::Relaxed) {
                let (hosts, kind, tries) = (hosts.clone(), kind.clone(), tries.clone());
                open.push(thread::spawn(move || read_stream(&hosts, place, &kind, &tries)));
                place += 1;
                thread::sleep(Duration::from_millis(100));
            }
            for stream in open {
                let _ = stream.join();
            }
        })
    };
    // The hosts have followed the list of the workers for longer than any stream lasts.
    thread::sleep(Duration::from_secs(20));
    if has_trouble {
        fleet.kill_all();
        record.line("all processes are killed");
        thread::sleep(Duration::from_millis(300));
        fleet.start_all()?;
    }
    let back = Instant::now();
    record.line("the machines are back");
    thread::sleep(Duration::from_secs(14));
    is_stopped.store(true, Ordering::Relaxed);
    let _ = clients.join();
    let tries = std::mem::take(&mut *tries.lock().unwrap());
    let outcomes: Vec<Outcome> = tries.iter().map(|one| one.outcome.clone()).collect();
    let runs = runs.lock().unwrap().clone();
    record.requests(&outcomes, &runs);
    // Tries at machines in touch.
    let in_touch = back + Duration::from_millis(STABLE_WINDOW_MS);
    let judged: Vec<&Try> = tries.iter().filter(|one| one.outcome.sent > in_touch).collect();
    let share = |is_resumed: bool| {
        let all: Vec<_> = judged.iter().filter(|one| one.is_resumed == is_resumed).collect();
        let good = all.iter().filter(|one| one.goes_on).count();
        (good, all.len())
    };
    let ((resumed, all_resumed), (new, all_new)) = (share(true), share(false));
    record.line(&format!("at machines in touch, {new} of {all_new} new streams begin"));
    record.line(&format!(
        "LOST: {resumed} of {all_resumed} streams go on that clients take up at machines in touch; half of the share of new ones is the least, of {JUDGED_MIN} or more"
    ));
    let is_broken = all_resumed >= JUDGED_MIN && resumed * all_new * 2 < new * all_resumed;
    Ok(!is_broken)
}

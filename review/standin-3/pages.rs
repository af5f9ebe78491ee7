//! A host starts while workers leave: the list of workers has two pages, and two workers
//! report that they drain between the calls for them.

use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;

use crate::client;
use crate::host::Host;
use crate::record;
use crate::setup;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Error, Verdict};

/// Entries of model workers. With the others, the list exceeds a page of 500.
const MODEL_WORKERS: usize = 520;

/// `drainMs` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);

/// Time from the start of the host after which it counts as in touch.
const IN_TOUCH: Duration = Duration::from_millis(3_000);

/// Pause after that, in which nobody books.
const QUIET: Duration = Duration::from_millis(500);

/// Bookings of the client.
const BOOKINGS: usize = 20;

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let store = Store::start()?;
    store.write("op/config", Some(&setup::config()));
    let work = Duration::from_millis(60);
    let leaving = Worker::start("a-bottega-1", Kind::Plain, work, 6)?;
    let staying = Worker::start("a-bottega-2", Kind::Plain, work, 6)?;
    for (id, worker) in [("a-bottega-1", &leaving), ("a-bottega-2", &staying)] {
        let entry = setup::entry("bottega", worker.address, 6, "ready", 1);
        store.write(&format!("servers/{id}"), Some(&entry));
    }
    // One process answers for all model workers: none of them gets a request here.
    let models = Worker::start("m-pool", Kind::Stream, work, 64)?;
    for number in 0..MODEL_WORKERS {
        let entry = setup::entry("pool", models.address, 64, "ready", 1);
        store.write(&format!("servers/m-pool-{number:04}"), Some(&entry));
    }
    let drain = {
        let (leaving, models) = (leaving.clone(), models.address);
        move |store: &Store| {
            leaving.set_leaving();
            let entry = setup::entry("bottega", leaving.address, 6, "draining", 2);
            store.write("servers/a-bottega-1", Some(&entry));
            let acknowledged = record::now();
            let last = format!("servers/m-pool-{:04}", MODEL_WORKERS - 1);
            store.write(
                &last,
                Some(&setup::entry("pool", models, 64, "draining", 2)),
            );
            record::line(&format!(
                "store: draining of a-bottega-1 acknowledged at {} ms, then that of the last model worker",
                acknowledged.as_millis()
            ));
        }
    };
    let ip = Ipv4Addr::new(127, 0, 75, 1);
    let first = Host::ports(ip)?;
    let seeds = [format!("{ip}:{}", first + 2).parse()?];
    if has_trouble {
        store.set_meanwhile(Box::new(drain.clone()));
    }
    let started = record::now();
    let host = Host::start(
        &setup::GANCI,
        "front-brescia-1",
        ip,
        first,
        store.address,
        &seeds,
    )?;
    host.wait_until_ready()?;
    if !has_trouble {
        // The same changes, once the host has read the whole list.
        thread::sleep(Duration::from_millis(200));
        drain(&store);
    }
    let acknowledged = record::now();
    thread::sleep((started + IN_TOUCH + QUIET).saturating_sub(record::now()));
    let mut sent = Vec::new();
    for number in 0..BOOKINGS {
        let id = format!("order-{number}");
        let head = client::head("POST", "/order/1", &id, 4_000);
        let request = head + "Connection: close\r\nContent-Length: 3\r\n\r\nabc";
        sent.push(record::now());
        let end = client::call(host.front(), request.as_bytes(), Duration::from_secs(4));
        record::line(&format!("client: {id} {end:?}"));
        thread::sleep(Duration::from_millis(50));
    }
    // `acknowledged` is not before the acknowledgement, so nothing counts too early.
    let late = leaving.runs();
    let late = late.iter().filter(|run| run.at > acknowledged + DRAIN);
    let late: Vec<String> = late
        .map(|run| format!("{} at {} ms", run.id, run.at.as_millis()))
        .collect();
    record::line(&format!(
        "requests that reached a-bottega-1 later than {} ms after the acknowledgement: {}",
        DRAIN.as_millis(),
        late.join(", ")
    ));
    Ok(if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    })
}

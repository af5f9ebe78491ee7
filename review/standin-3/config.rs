//! The configuration grows by many routes, at machines whose links carry 10 Mbit/s. Then
//! the processes of all machines are killed.

use std::net::Ipv4Addr;
use std::thread;
use std::time::Duration;

use crate::client::{self, End};
use crate::host::Host;
use crate::link;
use crate::record;
use crate::setup;
use crate::store::Store;
use crate::worker::{Kind, Worker};
use crate::{Error, Verdict};

/// Rate of the link of a machine.
const LINK_BYTES_PER_SECOND: f64 = 10e6 / 8.0;

/// Further routes of the configuration after each change. The last one has less than the
/// 1,048,576 bytes of a value.
const ROUTES: [usize; 3] = [1_400, 2_800, 4_200];

/// Time between two changes, and from the last one to the end of the processes.
const PAUSE: Duration = Duration::from_secs(6);

/// Time for which the processes are down.
const DOWN: Duration = Duration::from_secs(1);

/// `recoverS` of the settings.
const RECOVER: Duration = Duration::from_secs(15);

/// Time for which requests are counted, before and after.
const TIME: Duration = Duration::from_secs(6);

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(100);

/// Time from the start of the hosts after which they count as in touch.
const SETTLE: Duration = Duration::from_millis(4_500);

pub fn run(has_trouble: bool) -> Result<Verdict, Error> {
    let store = Store::start()?;
    store.write("op/config", Some(&setup::config()));
    let worker = Worker::start("i-bottega-1", Kind::Plain, Duration::from_millis(30), 6)?;
    let entry = setup::entry("bottega", worker.address, 6, "ready", 1);
    store.write("servers/i-bottega-1", Some(&entry));
    let ips = [1, 2, 3].map(|number| Ipv4Addr::new(127, 0, 77, number));
    let first = Host::ports(ips[0])?;
    let seeds = [format!("{}:{}", ips[0], first + 2).parse()?];
    // With FAST=1 the links carry 100 Mbit/s, for comparison.
    let is_fast = std::env::var("FAST").as_deref() == Ok("1");
    let rate = if is_fast {
        10.0 * LINK_BYTES_PER_SECOND
    } else {
        LINK_BYTES_PER_SECOND
    };
    let mut hosts = Vec::new();
    for (number, ip) in ips.into_iter().enumerate() {
        let name = format!("front-hobart-a-{}", number + 1);
        let link = link::start(store.address, rate)?;
        hosts.push(Host::start(
            &setup::DERWENT,
            &name,
            ip,
            first,
            link,
            &seeds,
        )?);
    }
    for host in &hosts {
        host.wait_until_ready()?;
    }
    thread::sleep(SETTLE);
    let mut version = 7;
    for routes in ROUTES.into_iter().filter(|_| has_trouble) {
        version += 2;
        let config = setup::config_of(version, routes, &[setup::KEY]);
        store.write("op/config", Some(&config));
        record::line(&format!(
            "operator: version {version} acknowledged, {routes} further routes, {} bytes",
            config.len()
        ));
        thread::sleep(PAUSE);
    }
    let before = served(&hosts, "before");
    for host in &mut hosts {
        host.end();
    }
    record::line("platform: the processes of all hosts are killed");
    thread::sleep(DOWN);
    for host in &mut hosts {
        host.restart()?;
    }
    let back = record::now();
    thread::sleep(RECOVER);
    let ready = hosts
        .iter()
        .filter(|host| client::is_ready(host.ready()))
        .count();
    record::line(&format!(
        "{ready} of {} hosts ready {} s after they are back",
        hosts.len(),
        (record::now() - back).as_secs()
    ));
    let after = served(&hosts, "after");
    let is_judged = before * 4.0 >= 1.0;
    Ok(if is_judged && after * 4.0 < 1.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Sends requests to all hosts in turn; returns the share that was served.
fn served(hosts: &[Host], when: &str) -> f64 {
    let until = record::now() + TIME;
    let (mut sent, mut served) = (0, 0);
    while record::now() < until {
        let host = &hosts[sent % hosts.len()];
        let id = format!("stock-{when}-{sent}");
        let request = client::head("GET", "/stock/1", &id, 4_000) + "Connection: close\r\n\r\n";
        let end = client::call(host.front(), request.as_bytes(), Duration::from_secs(4));
        record::line(&format!("client: {id} at {}: {end:?}", host.name));
        sent += 1;
        served += usize::from(end == End::Status(200));
        thread::sleep(REQUEST_PAUSE);
    }
    record::line(&format!(
        "{when} the fault: {served} of {sent} requests served"
    ));
    served as f64 / sent.max(1) as f64
}

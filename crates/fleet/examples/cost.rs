//! Prints the cost of the membership per host: bytes and datagrams per second, CPU
//! time per second and memory per known host. Also prints how many of 600 endpoints
//! move to another shard when one is added or removed.

use std::collections;
use std::fs;
use std::net;
use std::time;

/// Size of a memory page on x86-64 and most 64-bit Arm systems.
const PAGE_BYTES: usize = 4_096;
const CENTRES: usize = 11;
const REGIONS: usize = 3;
const ENDPOINTS: usize = 600;
/// Size of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;
/// Seconds before the measurement, in which the hosts discover each other.
const WARM_UP_S: u64 = 150;
/// Seconds of the measurement.
const MEASURED_S: u64 = 20;

/// Cost of the measured seconds for all hosts together.
#[derive(Default)]
struct Cost {
    datagrams: usize,
    bytes: usize,
    entries: usize,
    membership: time::Duration,
    codec: time::Duration,
}

/// Hosts that exchange sealed datagrams without delay or loss.
struct Fleet {
    hosts: Vec<fleet::Membership>,
    addresses: collections::HashMap<net::SocketAddr, usize>,
    keys: wire::Keyring,
}

fn entry(number: usize) -> fleet::Entry {
    let centre = number % CENTRES;
    let ip = [10, centre as u8, 0, (number / CENTRES) as u8 + 1];
    fleet::Entry {
        name: format!("router-{centre:02}-{:03}", number / CENTRES),
        incarnation: 1_764_000_000_000 + number as u64 * 86_413,
        counter: 0,
        phase: fleet::Phase::Up,
        suspected: false,
        data_centre: format!("dc-{centre:02}"),
        region: format!("region-{}", centre % REGIONS),
        peer: net::SocketAddr::from((ip, 7_000)),
        caller: net::SocketAddr::from((ip, 8_000)),
    }
}

impl Fleet {
    fn new(count: usize) -> Self {
        let options = fleet::Options {
            seeds: (0..3).map(|number| entry(number).peer).collect(),
            ..fleet::Options::default()
        };
        let hosts = (0..count)
            .map(|number| fleet::Membership::new(entry(number), options.clone(), number as u64 + 1))
            .collect();
        Self {
            hosts,
            addresses: (0..count)
                .map(|number| (entry(number).peer, number))
                .collect(),
            keys: wire::Keyring::new(&["a shared key of the fleet"])
                .expect("the keyring has a key"),
        }
    }

    /// Runs one second; the ticks of the hosts are spread over it.
    fn second(&mut self, second: u64, cost: &mut Cost) {
        for number in 0..self.hosts.len() {
            let offset = number as u64 * 1_000 / self.hosts.len() as u64;
            let now = time::Duration::from_millis(second * 1_000 + offset);
            let start = time::Instant::now();
            let out = self.hosts[number].tick(now);
            cost.membership += start.elapsed();
            for (target, digest) in out {
                self.send(now, target, digest, cost);
            }
        }
    }

    fn send(
        &mut self,
        now: time::Duration,
        target: net::SocketAddr,
        digest: fleet::Digest,
        cost: &mut Cost,
    ) {
        let start = time::Instant::now();
        let sealed = wire::Packet::Digest(digest)
            .seal(&self.keys)
            .expect("the digest is within the bounds");
        let opened = wire::Packet::open(&sealed, &self.keys);
        cost.codec += start.elapsed();
        cost.datagrams += 1;
        cost.bytes += sealed.len();
        let Ok(wire::Packet::Digest(digest)) = opened else {
            panic!("a sealed digest cannot be opened");
        };
        cost.entries += digest.entries.len();
        let Some(&to) = self.addresses.get(&target) else {
            return;
        };
        let start = time::Instant::now();
        self.hosts[to].receive(now, &digest);
        cost.membership += start.elapsed();
    }

    fn known(&self) -> usize {
        self.hosts.iter().map(|host| host.live().len() - 1).sum()
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text =
        fs::read_to_string("/proc/self/statm").expect("Linux provides the memory use of a process");
    let pages = text
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<usize>().ok());
    pages.expect("the second field is a number of pages") * PAGE_BYTES
}

/// Prints the cost of the membership in a fleet of `count` hosts.
fn measure(count: usize) {
    let before = resident_bytes();
    let mut fleet = Fleet::new(count);
    for second in 0..WARM_UP_S {
        fleet.second(second, &mut Cost::default());
    }
    let known = fleet.known();
    let memory = resident_bytes().saturating_sub(before);
    let mut cost = Cost::default();
    for second in WARM_UP_S..WARM_UP_S + MEASURED_S {
        fleet.second(second, &mut cost);
    }
    let share = count as f64 * MEASURED_S as f64;
    let micros = |time: time::Duration| time.as_secs_f64() * 1e6 / share;
    println!(
        "{count} hosts ({} of {} pairs known): {:.1} datagrams/s and {:.0} bytes/s out per host \
         ({:.0} with IP and UDP headers), {:.1} entries per datagram, {:.0} us/s of processor \
         time in membership and {:.0} us/s in the codec, {} bytes per known host",
        known,
        count * (count - 1),
        cost.datagrams as f64 / share,
        cost.bytes as f64 / share,
        (cost.bytes + HEADER_BYTES * cost.datagrams) as f64 / share,
        cost.entries as f64 / cost.datagrams as f64,
        micros(cost.membership),
        micros(cost.codec),
        memory / known.max(1),
    );
}

/// Returns the shard of each endpoint.
fn layout(
    numbers: impl Iterator<Item = usize>,
    bound: usize,
) -> collections::HashMap<String, usize> {
    let names: Vec<String> = numbers
        .map(|number| format!("engine-{number:04}"))
        .collect();
    let shards = fleet::rank::shards(names.iter().map(String::as_str), bound);
    let pairs = shards.into_iter().enumerate();
    pairs
        .flat_map(|(shard, names)| names.into_iter().map(move |name| (name, shard)))
        .collect()
}

/// Prints the share of endpoints that move when one is removed or added.
fn print_moves(bound: usize) {
    let before = layout(0..ENDPOINTS, bound);
    let count = |after: &collections::HashMap<String, usize>| {
        let moved = before
            .iter()
            .filter(|(name, shard)| after.get(*name).is_some_and(|other| other != *shard));
        moved.count() as f64 / ENDPOINTS as f64 * 100.0
    };
    let trials = 100;
    let removed: Vec<f64> = (0..trials)
        .map(|trial| {
            count(&layout(
                (0..ENDPOINTS).filter(|&number| number != trial * 6),
                bound,
            ))
        })
        .collect();
    let added: Vec<f64> = (0..trials)
        .map(|trial| count(&layout((0..ENDPOINTS).chain([ENDPOINTS + trial]), bound)))
        .collect();
    let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
    let most = |shares: &[f64]| shares.iter().copied().fold(0.0, f64::max);
    println!(
        "shards of at most {bound}: one of {ENDPOINTS} endpoints removed moves {:.2}% of the \
         others (at most {:.2}%), one added {:.2}% (at most {:.2}%)",
        mean(&removed),
        most(&removed),
        mean(&added),
        most(&added),
    );
}

fn main() {
    for count in [12, 48, 120, 340] {
        measure(count);
    }
    for bound in [32, 50, 64, 128] {
        print_moves(bound);
    }
}

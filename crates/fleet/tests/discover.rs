//! Tests of the discovery answer to callers.

mod sample;

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

use fleet::{Entry, Phase, discover};

fn caller(number: u32) -> IpAddr {
    Ipv4Addr::from(0xC0A8_0000 + number).into()
}

fn answer(hosts: &[Entry], caller: IpAddr) -> discover::Answer {
    discover::answer(hosts, "dc-1", caller, &discover::Options::default())
}

/// Guards against callers that are directed to a leaving host or to a distant one.
#[test]
fn near_hosts_come_first_and_leaving_hosts_are_left_out() {
    let mut hosts: Vec<Entry> = (0..12).map(|number| sample::entry(number, 4, 2)).collect();
    hosts[5].phase = Phase::Leaving;
    hosts[9].suspected = true;
    let answer = answer(&hosts, caller(1));
    let names: Vec<&str> = answer.hosts.iter().map(|host| host.name.as_str()).collect();
    assert_eq!(names.len(), 11);
    assert_eq!(names[..2], ["host-001", "host-009"]);
    let weights: Vec<u32> = answer.hosts.iter().map(|host| host.weight).collect();
    assert_eq!(weights, [100, 1, 10, 10, 10, 1, 1, 1, 1, 1, 1]);
    assert!(
        answer.hosts[2..5]
            .iter()
            .all(|host| host.data_centre == "dc-3")
    );
}

/// Guards against callers that all use the same host, and against a caller whose
/// list of hosts changes with every answer.
#[test]
fn callers_spread_and_each_keeps_its_hosts() {
    let mut hosts: Vec<Entry> = (0..48).map(|number| sample::entry(number, 4, 2)).collect();
    let mut firsts: BTreeMap<String, usize> = BTreeMap::new();
    for number in 0..1_200 {
        let first = answer(&hosts, caller(number)).hosts.remove(0);
        *firsts.entry(first.name).or_default() += 1;
    }
    assert_eq!(firsts.len(), 12, "each host of the data centre");
    // 100 are expected; 60 and 140 are four standard deviations away.
    assert!(firsts.values().all(|count| (60..=140).contains(count)));
    let before = answer(&hosts, caller(7));
    hosts.reverse();
    assert_eq!(answer(&hosts, caller(7)), before);
}

/// Guards against a list without a usable host when a data centre is lost, and
/// against answers that grow with the fleet.
#[test]
fn long_lists_are_truncated_and_include_other_data_centres() {
    let hosts: Vec<Entry> = (0..340).map(|number| sample::entry(number, 4, 2)).collect();
    let answer = answer(&hosts, caller(1));
    assert_eq!(answer.hosts.len(), 32);
    let near = answer
        .hosts
        .iter()
        .filter(|host| host.weight == 100)
        .count();
    assert_eq!(near, 16);
}

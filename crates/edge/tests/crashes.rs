//! Tests of requests that crash the endpoints that run them.

mod common;

use std::net;
use std::sync;

use base::mutex;
use common::engine;
use rstest::rstest;

const HOSTS: usize = 24;
const ENGINES: usize = 12;

/// Times that the caller sends the request that crashes engines.
const RESENDS: usize = 48;

/// Other requests in flight at each engine.
const BYSTANDERS: usize = 20;

/// A fleet of hosts before engines that a request can crash.
struct Fleet {
    hosts: Vec<sync::Arc<edge::Host>>,
    engines: Vec<engine::Engine>,
    revision: u64,
}

impl Fleet {
    async fn start(crash: engine::Crash) -> Self {
        let options = engine::Options {
            crash,
            restart: common::ms(800),
            answer: common::ms(1_500),
        };
        let mut engines = Vec::new();
        for index in 0..ENGINES {
            engines.push(engine::Engine::start(&format!("e{index}"), options).await);
        }
        // All hosts use the same ports, so they need different addresses.
        let ports = [common::free(), common::free(), common::free()].map(|address| address.port());
        let address = |host: usize, port: usize| {
            net::SocketAddr::from(([127, 78, crash as u8, host as u8 + 1], ports[port]))
        };
        let mut hosts = Vec::new();
        for index in 0..HOSTS {
            let options = edge::Options {
                listen: address(index, 0),
                peer_listen: address(index, 1),
                load_listen: address(index, 2),
                data_centre: format!("dc{}", index % 3),
                ..common::options(&format!("h{index}"), vec![address(0, 1)])
            };
            let host = edge::Host::start(options).await.expect("host");
            host.apply_plan(common::plan(1), "test");
            hosts.push(host);
        }
        let mut fleet = Self {
            hosts,
            engines,
            revision: 0,
        };
        fleet.list();
        fleet
    }

    fn list(&mut self) {
        self.revision += 1;
        for host in &self.hosts {
            let entries = self.engines.iter().map(|engine| {
                let listed = engine.listed();
                (
                    listed.id.clone(),
                    edge::Entry::Endpoint(listed),
                    self.revision,
                )
            });
            let entries = entries.collect();
            host.update_endpoints(|now, registry| registry.replace(now, entries, self.revision));
            host.confirm_plan();
        }
    }

    fn crashes(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| mutex::lock(&engine.crashes).len())
            .sum()
    }
}

/// Keeps a resumable stream of a caller in flight at one of the hosts.
async fn stay_busy(host: sync::Arc<edge::Host>, caller: usize) {
    for round in 0.. {
        let id = format!("b{caller}-{round}");
        let text = common::request("POST", &format!("/long/{id}"), &id, "", "x");
        let _ = common::call(&host, &text).await;
        tokio::time::sleep(common::ms(5)).await;
    }
}

#[rstest]
#[case::before_its_head(engine::Crash::BeforeHead)]
#[case::after_its_head(engine::Crash::AfterHead)]
#[case::after_its_first_event(engine::Crash::AfterPart)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn hosts_agree_on_a_request_that_crashes_engines_under_load(#[case] crash: engine::Crash) {
    // Guards against a request that crashes one engine after the other because
    // the reports about the requests that ran beside it hide it.
    let mut fleet = Fleet::start(crash).await;
    let callers: Vec<_> = (0..ENGINES * BYSTANDERS)
        .map(|caller| {
            let host = fleet.hosts[caller % HOSTS].clone();
            tokio::spawn(stay_busy(host, caller))
        })
        .collect();
    tokio::time::sleep(common::ms(2_000)).await;
    for round in 0..RESENDS {
        let host = &fleet.hosts[round % HOSTS];
        let text = common::request("POST", "/live/bad", &format!("p{round}"), "", "poison");
        let _ = common::call(host, &text).await;
        fleet.engines[round % ENGINES].crash();
        tokio::time::sleep(common::ms(300)).await;
        fleet.list();
    }
    for caller in callers {
        caller.abort();
    }
    let crashes = fleet.crashes();
    assert!(crashes <= 3, "{crashes} engines ended in {RESENDS} sends");
}

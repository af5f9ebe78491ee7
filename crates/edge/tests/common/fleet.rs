use std::net;
use std::sync;

use base::mutex;

use super::engine;

/// A fleet of hosts before engines that a request can crash.
pub struct Fleet {
    pub hosts: Vec<sync::Arc<edge::Host>>,
    pub engines: Vec<engine::Engine>,
    revision: u64,
}

impl Fleet {
    /// Starts engines and the hosts before them.
    pub async fn start(
        net: [u8; 2],
        hosts: usize,
        engines: usize,
        options: engine::Options,
    ) -> Self {
        let mut started = Vec::new();
        for index in 0..engines {
            started.push(engine::Engine::start(&format!("e{index}"), options).await);
        }
        let list = start_hosts(net, hosts).await;
        let mut fleet = Self {
            hosts: list,
            engines: started,
            revision: 0,
        };
        fleet.list();
        fleet
    }

    /// Tells the hosts which processes of the engines run now.
    pub fn list(&mut self) {
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

    /// Returns the number of processes that requests have ended.
    pub fn crashes(&self) -> usize {
        self.engines
            .iter()
            .map(|engine| mutex::lock(&engine.crashes).len())
            .sum()
    }
}

/// Starts hosts without endpoints at loopback addresses that begin with 127 and `net`.
pub async fn start_hosts(net: [u8; 2], count: usize) -> Vec<sync::Arc<edge::Host>> {
    let ips: Vec<net::Ipv4Addr> = (1..=count as u8)
        .map(|host| [127, net[0], net[1], host].into())
        .collect();
    // All hosts use the same ports, so they need different addresses.
    let ports = super::host_ports(&ips);
    let address = |host: usize, port: u16| net::SocketAddr::from((ips[host], ports + port));
    let mut list = Vec::new();
    for index in 0..count {
        let options = edge::Options {
            listen: address(index, 0),
            peer_listen: address(index, 1),
            load_listen: address(index, 2),
            data_centre: format!("dc{}", index % 3),
            ..super::options(&format!("h{index}"), vec![address(0, 1)])
        };
        let host = edge::Host::start(options).await.expect("host");
        host.apply_plan(super::plan(1), "test");
        list.push(host);
    }
    list
}

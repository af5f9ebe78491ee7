use std::io;
use std::net;

use crate::engine;
use crate::load;
use crate::measure::class::Work;
use crate::measure::settings::PROBE;
use crate::measure::shape::Shape;
use crate::service;

/// Stand-in endpoints of a run.
pub struct Cluster {
    /// Engines of the shape's model.
    pub engines: Vec<engine::Handle>,
    /// Engine without simulated delays, with which the overhead of the router is measured.
    pub probe: engine::Handle,
    /// Service endpoints with the names of their services.
    pub services: Vec<(&'static str, service::Service)>,
}

impl Cluster {
    /// Starts the endpoints of a shape.
    ///
    /// # Errors
    ///
    /// Returns the system's error if no port can be bound.
    pub fn start(shape: &Shape) -> io::Result<Self> {
        let engine = || {
            engine::Engine::start(engine::Options {
                model: shape.model.into(),
                fencing: true,
                ..shape.engine.clone()
            })
        };
        let engines = (0..shape.engines).map(|_| engine());
        let probe = engine::Options {
            model: PROBE.into(),
            prefill: core::time::Duration::ZERO,
            decode: core::time::Duration::ZERO,
            lengths: Vec::new(),
            ..engine::Options::default()
        };
        Ok(Self {
            engines: engines.collect::<io::Result<_>>()?,
            probe: engine::Engine::start(probe)?,
            services: services(shape)?,
        })
    }

    /// Returns the endpoint for request `number` without a router, in round-robin order.
    pub fn direct(&self, flow: &load::Flow, number: usize) -> net::SocketAddr {
        if matches!(flow.work, load::Work::Model { .. }) {
            return self.engines[number % self.engines.len()].address();
        }
        let named = self.services.iter().filter(|(name, _)| *name == flow.class);
        let addresses: Vec<_> = named.map(|(_, service)| service.address()).collect();
        addresses[number % addresses.len()]
    }
}

fn services(shape: &Shape) -> io::Result<Vec<(&'static str, service::Service)>> {
    let mut services = Vec::new();
    for class in &shape.classes {
        let Work::Service { endpoints, delay } = class.work else {
            continue;
        };
        for number in 0..endpoints {
            let options = service::Options {
                slots: shape.service_slots,
                delay,
                jitter: 0.5,
                seed: number as u64,
                ..service::Options::default()
            };
            services.push((class.name, service::Service::start(options)?));
        }
    }
    Ok(services)
}

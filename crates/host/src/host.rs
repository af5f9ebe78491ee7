use std::net;
use std::sync;

use crate::clock;
use crate::flow;
use crate::options;
use crate::poll;
use crate::state;

/// A running router host.
pub struct Host {
    front: front::Server,
    state: sync::Arc<state::State>,
    tasks: tokio::task::JoinSet<()>,
}

impl Host {
    /// Starts a host.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound.
    pub async fn start(options: options::Options) -> anyhow::Result<Self> {
        let clock = clock::Clock::start();
        let state = state::State::new(options.settings.clone(), options.policy, clock);
        let state = sync::Arc::new(state);
        let client = back::Client::new(back::Options::default());
        let mut tasks = tokio::task::JoinSet::new();
        tasks.spawn(poll::tick(state.clone()));
        tasks.spawn(poll::loads(state.clone(), client.clone(), clock));
        let service = Service {
            flow: flow::Flow {
                state: state.clone(),
                client,
                clock,
            },
            caller_address: sync::OnceLock::new(),
        };
        let service = sync::Arc::new(service);
        let limits = &options.settings.limits;
        let limits = front::Options {
            body_max: limits.body_max,
            header_max: limits.header_max,
            idle_timeout: limits.idle_timeout,
        };
        let front = front::Server::start(options.listen, limits, service.clone()).await?;
        // The address is known only after the bind when the port is 0.
        service.caller_address.get_or_init(|| front.address());
        log::info!(target: "host", "host {} serves callers on {}", options.name, front.address());
        Ok(Self {
            front,
            state,
            tasks,
        })
    }

    /// Returns the address of the caller interface.
    pub const fn caller_addr(&self) -> net::SocketAddr {
        self.front.address()
    }

    /// Puts settings in force.
    pub fn replace(&self, settings: sync::Arc<conf::Settings>) {
        self.state.replace(settings);
    }

    /// Stops accepting callers, waits until every request in flight has its
    /// answer, and stops.
    pub async fn shutdown(mut self) {
        self.front.shutdown().await;
        self.tasks.shutdown().await;
    }
}

struct Service {
    flow: flow::Flow,
    caller_address: sync::OnceLock<net::SocketAddr>,
}

impl front::Service for Service {
    fn serve(&self, request: front::Request) -> front::Serving<'_> {
        Box::pin(async move {
            let force = self.flow.state.force();
            let query = class::Query {
                bearer: request.bearer.as_deref(),
                address: request.address,
                pool: request.path.pool(),
                idempotent: request.idempotent,
                deadline: request.deadline,
            };
            let resolved = force.classes.resolve(&query)?;
            self.flow.serve(&request, &resolved).await
        })
    }

    fn hosts(&self, _address: net::IpAddr) -> serde_json::Value {
        let own = self.caller_address.get();
        serde_json::json!({
            "hosts": own.iter().map(|own| serde_json::json!({"address": own, "weight": 1.0})).collect::<Vec<_>>(),
            "ttl_ms": 5_000,
        })
    }

    fn models(&self) -> serde_json::Value {
        let force = self.flow.state.force();
        let data: Vec<serde_json::Value> = force
            .settings
            .pools
            .iter()
            .filter(|(_, pool)| pool.kind == conf::settings::Kind::Model)
            .map(|(name, _)| serde_json::json!({"id": name, "object": "model"}))
            .collect();
        serde_json::json!({"object": "list", "data": data})
    }
}

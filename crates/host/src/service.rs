use core::time;
use std::net;
use std::sync;

use answer::{Kind, Refusal};

use crate::closing;
use crate::flow;
use crate::keyed;
use crate::state;
use crate::terms;
use crate::view;

/// Number of minted keys in one answer of `GET /v1/hosts`.
const KEYS_PER_ANSWER: usize = 4;

/// Value of `retry-after` while no configuration is in force.
const RETRY_AFTER: time::Duration = time::Duration::from_secs(1);

/// Implementation of the caller interface.
pub(crate) struct Service {
    pub(crate) state: sync::Arc<state::State>,
    pub(crate) view: sync::Arc<view::View>,
    pub(crate) keyed: sync::Arc<keyed::Runner>,
    pub(crate) flow: flow::Flow,
    pub(crate) closing: closing::Closing,
}

impl front::Service for Service {
    fn serve(&self, request: front::Request) -> front::ServiceFuture<'_> {
        Box::pin(async move {
            let active = self.state.active();
            if active.settings.pools.is_empty() {
                let text = "no configuration is in force yet";
                return Err(Refusal::new(Kind::NoEndpoint, text).with_retry_after(RETRY_AFTER));
            }
            let query = class::Query {
                bearer: request.bearer.as_deref(),
                address: request.address,
                pool: request.target.pool(),
                idempotent: request.is_idempotent,
                deadline: request.deadline,
            };
            let resolved = active.classes.resolve(&query);
            let records = self.state.records();
            let resolved = resolved.inspect_err(|refusal| records.count_unclassified(refusal))?;
            let mut terms = terms::Terms::from(&resolved);
            let trace = records.open(&request, &resolved);
            terms.trace = trace.clone();
            let serving = async {
                match request.idempotency_key.clone() {
                    Some(key) if !terms.is_idempotent => {
                        self.keyed.serve(request, terms, &key).await
                    }
                    _ => {
                        let streamed = flow::Delivery::Streamed;
                        self.flow
                            .serve(&request, &terms, streamed, &|| Ok(()))
                            .await
                    }
                }
            };
            let outcome = tokio::select! {
                biased;
                outcome = serving => outcome,
                () = self.closing.wait() => {
                    let text = "the host stops before the endpoint has answered";
                    Err(Refusal::new(Kind::EndpointFailed, text))
                }
            };
            trace.record_outcome(&outcome);
            outcome
        })
    }

    fn hosts(&self, address: net::IpAddr) -> serde_json::Value {
        // Requests with a key of this host get an unknown outcome once it has
        // stopped, so a leaving host mints none.
        let count = if self.view.is_leaving() {
            0
        } else {
            KEYS_PER_ANSWER
        };
        let keys = self.keyed.mint(count);
        let answer = self.view.discover(address, keys);
        serde_json::to_value(answer).unwrap_or_default()
    }

    fn models(&self) -> serde_json::Value {
        let active = self.state.active();
        let data: Vec<serde_json::Value> = active
            .settings
            .pools
            .iter()
            .filter(|(_, pool)| pool.kind == conf::settings::Kind::Model)
            .map(|(name, _)| serde_json::json!({"id": name, "object": "model"}))
            .collect();
        serde_json::json!({"object": "list", "data": data})
    }
}

use std::net;

use crate::client;
use crate::load;
use crate::measure::cluster::Cluster;
use crate::measure::percentile::percentile;
use crate::measure::settings::PROBE;
use crate::measure::table::Table;

/// Number of measured pairs of calls, one direct and one through the router.
const PAIRS: usize = 300;
/// Number of unmeasured pairs of calls before them.
const WARM_UP: usize = 20;

/// Measures the time to the first token, alternating between direct calls and calls through
/// the router, with an engine without simulated delays and no other load.
pub(crate) async fn overhead(
    cluster: &Cluster,
    router: Option<net::SocketAddr>,
    key: &str,
    run: &str,
    table: &mut Table,
) {
    let direct_client = client::Client::new(client::Version::Http1, None);
    let router_client = direct_client.clone();
    let mut direct = Vec::new();
    let mut routed = Vec::new();
    for number in 0..PAIRS + WARM_UP {
        let call = load::Call {
            path: "/v1/chat/completions".into(),
            model: Some(PROBE.into()),
            tag: format!("{run}-probe-{number}"),
            prompt: format!("probe {run} {number}"),
            stream: true,
            expected: 1,
            key: Some(key.into()),
            ..load::Call::default()
        };
        let first = call
            .send(&direct_client, cluster.probe.address())
            .await
            .first;
        direct.extend(first.filter(|_| number >= WARM_UP));
        if let Some(router) = router {
            let first = call.send(&router_client, router).await.first;
            routed.extend(first.filter(|_| number >= WARM_UP));
        }
    }
    for (share, name) in [(0.5, "p50"), (0.99, "p99")] {
        let direct = percentile(&mut direct, share);
        let routed = percentile(&mut routed, share);
        table.set_some(format!("direct_first_{name}_ms"), direct);
        let added = direct.zip(routed).map(|(direct, routed)| routed - direct);
        table.set_some(format!("overhead_first_{name}_ms"), added);
    }
}

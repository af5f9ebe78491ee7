use std::collections;

/// Divides the endpoints of each pool into shards.
///
/// The result depends on the settings only, so that all hosts agree on it.
pub(crate) fn shards(settings: &conf::Settings) -> collections::BTreeMap<String, Vec<Vec<String>>> {
    let mut layout = collections::BTreeMap::new();
    for (name, pool) in &settings.pools {
        let members = settings
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.pool == *name)
            .map(|(endpoint, _)| endpoint.as_str());
        let shards = fleet::rank::shards(members, pool.shard_endpoints);
        layout.insert(name.clone(), shards);
    }
    layout
}

/// Returns the names of the endpoints in each shard of a pool.
///
/// The result is empty for a pool that is not configured.
pub fn of(settings: &conf::Settings, pool: &str) -> Vec<Vec<String>> {
    shards(settings).remove(pool).unwrap_or_default()
}

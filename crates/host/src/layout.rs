use std::collections;

/// Divides the endpoints of each pool into shards.
///
/// Every host computes the same layout from the same settings: endpoints in
/// the order of their names, at most `shard_endpoints` per shard, shards of
/// nearly equal size.
pub(crate) fn shards(settings: &conf::Settings) -> collections::BTreeMap<String, Vec<Vec<String>>> {
    let mut layout = collections::BTreeMap::new();
    for (name, pool) in &settings.pools {
        let members: Vec<String> = settings
            .endpoints
            .iter()
            .filter(|(_, endpoint)| endpoint.pool == *name)
            .map(|(endpoint, _)| endpoint.clone())
            .collect();
        let count = members.len().div_ceil(pool.shard_endpoints.max(1)).max(1);
        let mut shards = vec![Vec::new(); count];
        for (index, member) in members.into_iter().enumerate() {
            shards[index % count].push(member);
        }
        layout.insert(name.clone(), shards);
    }
    layout
}

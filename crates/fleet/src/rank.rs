//! Rendezvous hashing with a hash that is the same on every host and build.

use std::cmp;
use std::collections;

use xxhash_rust::xxh3;

use crate::entry;

/// Orders names by their score for the key, highest first.
///
/// The result depends only on the set of names and the key.
pub fn order<'a>(names: impl Iterator<Item = &'a str>, key: &str) -> Vec<&'a str> {
    let mut scored: Vec<(u64, &str)> = names.map(|name| (score(name, key), name)).collect();
    scored.sort_unstable_by(|a, b| b.cmp(a));
    scored.into_iter().map(|(_, name)| name).collect()
}

/// Orders the hosts that may be the home of a shard.
///
/// The first is the home, the next ones take over in turn. Hosts of `region` come
/// first, then the others, each group in rendezvous order; without a region all
/// hosts are one group. Leaving hosts are left out.
pub fn homes<'a>(
    pool: &str,
    shard: u32,
    hosts: &[&'a entry::Entry],
    region: Option<&str>,
) -> Vec<&'a entry::Entry> {
    let key = format!("{pool}/{shard}");
    let mut scored: Vec<(bool, u64, &entry::Entry)> = hosts
        .iter()
        .filter(|host| host.phase == entry::Phase::Up)
        .map(|host| {
            let near = region.is_none_or(|region| host.region == region);
            (near, score(&host.name, &key), *host)
        })
        .collect();
    scored.sort_unstable_by(|a, b| (b.0, b.1, &b.2.name).cmp(&(a.0, a.1, &a.2.name)));
    scored.into_iter().map(|(_, _, host)| host).collect()
}

/// Divides endpoints into the fewest shards of at most `shard_endpoints` each; 0
/// counts as 1.
///
/// Sizes differ by at most one. The layout depends only on the set of names. Each
/// shard has a fixed capacity, and pairs of endpoint and shard are assigned by
/// descending score, so that adding or removing one endpoint moves only a short
/// chain of others. There is always at least one shard.
pub fn shards<'a>(
    names: impl IntoIterator<Item = &'a str>,
    shard_endpoints: usize,
) -> Vec<Vec<String>> {
    let names: collections::BTreeSet<&str> = names.into_iter().collect();
    let names: Vec<&str> = names.into_iter().collect();
    let count = names.len().div_ceil(shard_endpoints.max(1)).max(1);
    let mut layout = vec![Vec::new(); count];
    let mut placed = vec![false; names.len()];
    for (_, index, shard) in scored_pairs(&names, count) {
        if placed[index] || layout[shard].len() == capacity(names.len(), count, shard) {
            continue;
        }
        placed[index] = true;
        layout[shard].push(names[index].to_owned());
    }
    for shard in &mut layout {
        shard.sort_unstable();
    }
    layout
}

/// Returns all pairs of name and shard as score, index of the name and shard, by
/// descending score.
fn scored_pairs(names: &[&str], count: usize) -> Vec<(u64, usize, usize)> {
    let mut pairs: Vec<(u64, usize, usize)> = (0..count)
        .flat_map(|shard| {
            let key = format!("shard/{shard}");
            names
                .iter()
                .enumerate()
                .map(move |(index, name)| (score(name, &key), index, shard))
        })
        .collect();
    pairs.sort_unstable_by_key(|&(score, index, shard)| (cmp::Reverse(score), index, shard));
    pairs
}

/// Returns the number of endpoints that a shard holds.
fn capacity(names: usize, count: usize, shard: usize) -> usize {
    names / count + usize::from(shard < names % count)
}

/// Returns the rendezvous score of a name for a key.
pub fn score(name: &str, key: &str) -> u64 {
    let seed = xxh3::xxh3_64(name.as_bytes());
    xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}

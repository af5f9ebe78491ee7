use xxhash_rust::xxh3;

/// Returns the owner of a key: the name with the highest rendezvous score.
///
/// The result depends only on the set of names and the key, so all hosts with
/// the same settings agree. It is `None` if `owners` is empty.
pub fn owner_of<'a>(owners: &'a [String], key: &str) -> Option<&'a str> {
    owners
        .iter()
        .max_by_key(|name| (score(name, key), name.as_str()))
        .map(String::as_str)
}

fn score(name: &str, key: &str) -> u64 {
    let seed = xxh3::xxh3_64(name.as_bytes());
    xxh3::xxh3_64_with_seed(key.as_bytes(), seed)
}

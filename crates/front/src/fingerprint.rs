use xxhash_rust::xxh3;

use crate::request;

/// Hashes the pool, the service path, the bearer key and the body of a request.
/// The result is never 0.
pub(crate) fn fingerprint(target: &request::Target, bearer: Option<&str>, body: &[u8]) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(target.pool().as_bytes());
    if let request::Target::Service { path, .. } = target {
        hash.update(path.as_bytes());
    }
    hash.update(&[0]);
    hash.update(bearer.unwrap_or_default().as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest().max(1)
}

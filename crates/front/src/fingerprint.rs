use xxhash_rust::xxh3;

use crate::request;

/// Returns the fingerprint of a request.
pub(crate) fn fingerprint(path: &request::Target, bearer: Option<&str>, body: &[u8]) -> u64 {
    let mut hash = xxh3::Xxh3::new();
    hash.update(path.pool().as_bytes());
    if let request::Target::Service { path, .. } = path {
        hash.update(path.as_bytes());
    }
    hash.update(&[0]);
    hash.update(bearer.unwrap_or_default().as_bytes());
    hash.update(&[0]);
    hash.update(body);
    hash.digest().max(1)
}

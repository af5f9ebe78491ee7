use sha2::Digest;

use crate::terms;

/// A request with an idempotency key at the host that may dispatch it.
pub(crate) struct Job {
    pub(crate) request: front::Request,
    pub(crate) terms: terms::Terms,
    /// Key in the scope of its caller, as [`scope`] returns it.
    pub(crate) key: String,
    pub(crate) fingerprint: once::Fingerprint,
}

impl Job {
    /// Returns the job of a request; `key` is the result of [`scope`].
    pub(crate) fn new(request: front::Request, terms: terms::Terms, key: String) -> Self {
        let fingerprint = fingerprint(&request, &terms);
        Self {
            request,
            terms,
            key,
            fingerprint,
        }
    }
}

/// Returns the key in the scope of its caller, so that equal keys of two callers
/// differ. A minted key is unique and stays unchanged.
pub(crate) fn scope(key: &str, terms: &terms::Terms) -> String {
    if once::key::is_minted(key) {
        return key.to_owned();
    }
    format!("{:08x}.{:016x}.{key}", terms.team, terms.caller)
}

/// Returns the hash that detects a key used with a different request.
fn fingerprint(request: &front::Request, terms: &terms::Terms) -> once::Fingerprint {
    let mut hash = sha2::Sha256::new();
    for part in [
        terms.team.to_be_bytes().as_slice(),
        &terms.caller.to_be_bytes(),
        request.method.as_str().as_bytes(),
        request.target.pool().as_bytes(),
        request.target.endpoint_path().as_bytes(),
        &request.body,
    ] {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    hash.finalize().into()
}

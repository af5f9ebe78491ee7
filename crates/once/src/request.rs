/// SHA-256 of what makes two requests the same.
///
/// It covers the caller, the path and the body, so that one caller never
/// receives the kept answer of another.
pub type Fingerprint = [u8; 32];

/// A request as the ledger sees it.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Minted key, or the caller's own key with the caller as its scope.
    pub key: &'a str,
    /// Digest of the request.
    pub fingerprint: Fingerprint,
    /// Whether a key that the ledger does not hold may run here.
    ///
    /// It comes from [`Owner::may_dispatch`](crate::Owner::may_dispatch) for
    /// a caller's own key and from
    /// [`Minted::may_dispatch`](crate::key::Minted::may_dispatch) for a
    /// minted key. It is decided before any refusal that says `not_run`,
    /// because an earlier lifetime may have run the key.
    pub permit: Result<(), answer::Kind>,
}

/// SHA-256 of the parts that make two requests the same.
///
/// It covers the caller, the path and the body, so that one caller never
/// receives the stored answer of another.
pub type Fingerprint = [u8; 32];

/// The parts of a request that the ledger decides by.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Minted key, or the caller's own key qualified by the caller.
    pub key: &'a str,
    /// Fingerprint of the request, compared with that of the first attempt.
    pub fingerprint: Fingerprint,
    /// Whether a key that is not in the ledger may run here.
    ///
    /// It comes from [`Owner::may_dispatch`](crate::Owner::may_dispatch) for
    /// a caller's own key and from
    /// [`Minted::may_dispatch`](crate::key::Minted::may_dispatch) for a
    /// minted key. It is evaluated before any refusal with `not_run`,
    /// because an earlier lifetime may have run the key.
    pub permit: Result<(), answer::Kind>,
}

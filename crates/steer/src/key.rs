slotmap::new_key_type! {
    /// Key of an endpoint in a [`crate::Balancer`].
    pub struct Key;
}

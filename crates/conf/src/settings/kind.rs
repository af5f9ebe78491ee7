/// What the endpoints of a pool are.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Engines of one model.
    Model,
    /// A plain HTTP service.
    Service,
}

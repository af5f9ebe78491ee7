/// Kind of the endpoints of a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Inference engines of one model.
    Model,
    /// Instances of a plain HTTP service.
    Service,
}

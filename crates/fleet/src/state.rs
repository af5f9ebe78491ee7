/// State of a host as seen by one observer.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// Its heartbeat counter advances.
    Live,
    /// Its heartbeat counter has stopped according to this observer alone.
    Suspect,
    /// It is running and finishes its open requests.
    Leaving,
    /// Two observers agree that its counter has stopped, this one alone has waited
    /// much longer for it, or the host is not known.
    Dead,
}

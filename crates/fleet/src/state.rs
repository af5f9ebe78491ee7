/// What this observer holds of another host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum State {
    /// Its heartbeat counter advances.
    Live,
    /// Its heartbeat counter has stopped; one observer has noticed.
    Suspect,
    /// It runs and finishes what it has.
    Leaving,
    /// Two observers suspect it, or it was never known.
    Dead,
}

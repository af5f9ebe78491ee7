use std::collections;

use crate::version;

/// The data centres that operators have evacuated, as of a version of the platform's
/// state. It is complete: a data centre that is not named is not evacuated.
#[derive(Clone, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Evacuation {
    /// Version of the platform's state; a higher one replaces a lower one.
    pub version: version::Version,
    /// Names of the evacuated data centres.
    pub data_centres: collections::BTreeSet<String>,
}

//! Maps in files, as lists of their values.
//!
//! Decisions add up the values of these maps, and the sum of floating-point numbers depends
//! on the order. A map that is read has the values in the order in which they were written,
//! under keys that mean nothing.

use serde::{Deserialize, Serialize};

type Map<V> = rustc_hash::FxHashMap<u64, V>;

/// Writes the values.
///
/// # Errors
///
/// Fails as the serializer does.
pub(crate) fn serialize<V, S>(map: &Map<V>, serializer: S) -> Result<S::Ok, S::Error>
where
    V: Serialize,
    S: serde::Serializer,
{
    serializer.collect_seq(map.values())
}

/// Reads the values.
///
/// # Errors
///
/// Fails as the deserializer does.
pub(crate) fn deserialize<'de, V, D>(deserializer: D) -> Result<Map<V>, D::Error>
where
    V: Copy + Deserialize<'de>,
    D: serde::Deserializer<'de>,
{
    let values = Vec::<V>::deserialize(deserializer)?;
    let mut map: Map<V> = (0..).zip(values.iter().copied()).collect();
    // The order of a map follows from its keys, so the values are put into that order.
    for (slot, value) in map.values_mut().zip(values) {
        *slot = value;
    }
    Ok(map)
}

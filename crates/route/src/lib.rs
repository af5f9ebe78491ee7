//! Endpoint choice, limits, ejection, retries and crash blame.

//! Messages between hosts in Cap'n Proto.

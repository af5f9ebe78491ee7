//! Administration API.

//! HTTP client for endpoints.

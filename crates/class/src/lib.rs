//! Caller recognition and class resolution.

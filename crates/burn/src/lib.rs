//! Service-level windows and the burn report.

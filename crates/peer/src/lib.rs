//! Transport between hosts and the platform client.

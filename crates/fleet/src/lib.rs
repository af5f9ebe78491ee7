//! Membership, configuration versions and discovery.

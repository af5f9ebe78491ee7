//! Queue with tiers, floors, deadlines and weighted fairness.

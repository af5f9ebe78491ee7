//! Stand-ins for engines, services and the platform, and the load tool.

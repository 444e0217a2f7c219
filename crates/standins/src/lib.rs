//! Stand-ins for backend servers and the platform, for tests and measurements.

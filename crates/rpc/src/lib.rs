//! Messages and transport between daemons.

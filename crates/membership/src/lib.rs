//! Decisions about which endpoints exist and what state they are in.

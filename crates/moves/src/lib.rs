//! Decisions that move traffic between versions of a service.

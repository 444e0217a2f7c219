//! Decisions that spread accepted configuration versions to every daemon.

//! The client as operators run it.

mod explain;

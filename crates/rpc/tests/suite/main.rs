//! Tests of the connections between daemons over a link that stalls or is slow.

mod fleet;

//! Operators client.
fn main() {}

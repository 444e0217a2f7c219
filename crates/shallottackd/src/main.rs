//! Daemon that sits beside a backend server.
fn main() {}

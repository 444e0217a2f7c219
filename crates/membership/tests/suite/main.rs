//! Tests of the membership core.

mod detection;
mod driver;
mod encoding;
mod owner;
mod partition;
mod random;
mod spread;
mod traffic;

//! Tests of the stand-ins, in process and as processes of their own.

mod backend;
mod ending;
mod platform;
mod setup;

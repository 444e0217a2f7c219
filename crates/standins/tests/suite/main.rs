//! Tests of the stand-ins, in process and as processes of their own.

mod platform;

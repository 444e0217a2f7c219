//! Tests of the membership core.

mod encoding;

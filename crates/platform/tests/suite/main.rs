//! Tests of the platform's clients.

mod http;

//! Tests with separate processes, and of whole fleets.

mod pages;
mod processes;

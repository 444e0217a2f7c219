//! Tests of the admission core.

mod cancel;
mod deadline;
mod fair;
mod invariants;
mod limit;
mod report;
mod simulation;

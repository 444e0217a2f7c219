//! Tests of the admission controller.

mod cancel;
mod deadline;
mod fair;
mod invariants;
mod limit;
mod report;
mod simulation;

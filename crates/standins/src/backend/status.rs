//! Health and load endpoints.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use tide::{Body, Request, Response, StatusCode};

use super::{HealthReport, LoadReport, state::State};

/// Response of the load endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of slots.
    pub slots: usize,
    /// Busy slots.
    pub busy: usize,
    /// Calls that wait for a slot.
    pub waiting: usize,
}

pub(super) async fn health(request: Request<State>) -> tide::Result {
    let state = request.state();
    state.thawed().await;
    let faults = state.faults();
    let up = match faults.health {
        HealthReport::Truth => state.healthy(Duration::from_millis(faults.lag_ms)),
        HealthReport::Up => true,
        HealthReport::Down => false,
    };
    Ok(Response::new(if up { StatusCode::Ok } else { StatusCode::ServiceUnavailable }))
}

pub(super) async fn load(request: Request<State>) -> tide::Result<Body> {
    let state = request.state();
    state.thawed().await;
    let (faults, settings) = (state.faults(), &state.settings);
    let (busy, waiting) = match faults.load {
        LoadReport::Truth => {
            let sample = state.slots.sample(Duration::from_millis(faults.lag_ms));
            (sample.busy, sample.waiting)
        }
        LoadReport::Idle => (0, 0),
        LoadReport::Full => (settings.slots, settings.queue),
    };
    Body::from_json(&Load { slots: settings.slots, busy, waiting })
}

//! Calls of the service.

use std::time::{Duration, Instant};

use async_std::task;
use futures_lite::future;
use serde::{Deserialize, Serialize};
use shallottack_http::{RUN_HEADER, RawConnection};
use shallottack_kernel::{GroupName, ServiceName};
use tide::{Body, Request, Response, StatusCode};

use super::{Faults, ledger::Run, slots::Slot, state::State};

/// Response body of a successful call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Group of the backend server.
    pub group: GroupName,
    /// Number of the run on this backend server.
    pub run: u64,
    /// Path of the request.
    pub path: String,
    /// `Idempotency-Key` of the request.
    pub key: Option<String>,
    /// Header `standin-echo` of the request.
    pub echo: Option<String>,
    /// Length of the request body in bytes.
    pub received: usize,
    /// Padding of the length in the header `standin-bytes`.
    pub padding: String,
}

/// What a call asks for in its headers.
struct Call {
    deadline: Option<Instant>,
    service_time: Option<Duration>,
    key: Option<String>,
    echo: Option<String>,
    padding: usize,
}

impl Call {
    fn read(request: &Request<State>) -> Call {
        let text = |name: &str| request.header(name).map(|values| values.last().as_str());
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        let remaining = number("shallottack-deadline-ms").map(Duration::from_millis);
        Call {
            deadline: remaining.map(|left| Instant::now() + left),
            service_time: number("standin-service-ms").map(Duration::from_millis),
            key: text("idempotency-key").map(str::to_owned),
            echo: text("standin-echo").map(str::to_owned),
            padding: number("standin-bytes").unwrap_or(0) as usize,
        }
    }
}

fn not_run(state: &State) -> Response {
    Response::builder(StatusCode::ServiceUnavailable)
        .header(RUN_HEADER, "no")
        .header("standin-group", state.settings.group.as_str())
        .build()
}

fn shed(state: &State) -> Response {
    state.ledger().shed += 1;
    let mut response = not_run(state);
    response.insert_header("retry-after", "1");
    response
}

/// Handles a call: waits for a slot, runs and answers, with the faults in force.
pub(super) async fn call(mut request: Request<State>) -> tide::Result {
    let state = State::clone(request.state());
    let call = Call::read(&request);
    state.ledger().arrived += 1;
    state.thawed().await;
    let faults = state.faults();
    if state.roll(faults.shed_share) {
        return Ok(shed(&state));
    }
    let slot = match until(call.deadline, state.slots.acquire()).await {
        Some(Some(slot)) => slot,
        Some(None) => return Ok(shed(&state)),
        None => {
            state.ledger().expired += 1;
            return Ok(not_run(&state));
        }
    };
    let received = request.body_bytes().await?.len();
    let Some(run) = run(&state, &call, &faults, slot).await else {
        return Ok(Response::builder(StatusCode::GatewayTimeout)
            .header(RUN_HEADER, "unknown")
            .header("standin-group", state.settings.group.as_str())
            .build());
    };
    if state.roll(faults.late_share) {
        task::sleep(Duration::from_millis(faults.late_ms)).await;
    }
    let reply = Reply {
        service: state.settings.service.clone(),
        group: state.settings.group.clone(),
        run,
        path: request.url().path().to_owned(),
        key: call.key,
        echo: call.echo,
        received,
        padding: "x".repeat(call.padding),
    };
    answer(&state, &faults, &reply, request.ext::<RawConnection>()).await
}

/// Runs a call in its slot. Returns the number of the run, or `None` when its deadline passed.
async fn run(state: &State, call: &Call, faults: &Faults, slot: Slot<'_>) -> Option<u64> {
    let run = Run::begin(state, call.key.clone());
    let time = call.service_time.unwrap_or_else(|| state.service_time());
    let time = time + Duration::from_millis(faults.slow_ms);
    let work = async {
        if !time.is_zero() {
            task::sleep(time).await;
        }
        state.thawed().await;
    };
    until(call.deadline, work).await?;
    // Entered before the slot is free, so that the ledger has this end before the next run's.
    let number = run.complete();
    drop(slot);
    Some(number)
}

async fn answer(
    state: &State,
    faults: &Faults,
    reply: &Reply,
    wire: Option<&RawConnection>,
) -> tide::Result {
    if let Some(wire) = wire.filter(|_| state.roll(faults.lost_share)) {
        wire.close();
    }
    let group = reply.group.as_str();
    if state.roll(faults.error_share) {
        state.ledger().errors += 1;
        let response = Response::builder(StatusCode::InternalServerError);
        return Ok(response.header("standin-group", group).body("injected error").build());
    }
    if let Some(wire) = wire.filter(|_| state.roll(faults.half_share)) {
        let body = serde_json::to_string(reply)?;
        let half = &body[..body.len() / 2];
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        wire.write(format!("{head}{half}").as_bytes()).await.ok();
        wire.close();
    }
    let mut response = Response::builder(StatusCode::Ok)
        .header("standin-group", group)
        .header("standin-run", reply.run.to_string())
        .body(Body::from_json(reply)?)
        .build();
    if let Some(echo) = &reply.echo {
        response.insert_header("standin-echo", echo);
    }
    Ok(response)
}

/// Waits for `work`, or until `deadline` passes; then returns `None`.
async fn until<T>(deadline: Option<Instant>, work: impl Future<Output = T>) -> Option<T> {
    let Some(deadline) = deadline else { return Some(work.await) };
    let passed = async {
        task::sleep(deadline.saturating_duration_since(Instant::now())).await;
        None
    };
    future::or(async { Some(work.await) }, passed).await
}

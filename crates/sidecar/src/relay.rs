//! Requests for the backend server on this VM: slot, run and answer.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use shallottack_fleet::{Admission, Arrival, TaskId};
use shallottack_kernel::ErrorKind;
use shallottack_rpc::{FleetHandler, Frame, PROTOCOL};

use crate::{
    backend::{Ended, Task},
    events::Event,
    message::{End, RunReply, RunRequest, decode, encode},
    node::{Node, Turn},
    tasks::InProgress,
};

/// Time after which a refused request may find its backend server again.
const REFUSED_RETRY: Duration = Duration::from_millis(100);

/// Receiver of other daemons' calls.
pub struct Relay(pub Arc<Node>);

#[async_trait]
impl FleetHandler for Relay {
    async fn run(&self, frame: Frame) -> Result<Frame, String> {
        let request: RunRequest = decode(&frame.head)?;
        let _progress = InProgress::new(&self.0);
        let arrived = self.0.now();
        let (end, body) = run(&self.0, request, frame.body).await;
        let reply = RunReply {
            held: self.0.now().since(arrived),
            vm: self.0.settings.vm.clone(),
            end,
            load: self.0.load(),
            versions: self.0.versions(),
        };
        Ok(Frame { protocol: PROTOCOL, head: encode(&reply).into(), body })
    }

    async fn sync(&self, frame: Frame) -> Result<Frame, String> {
        let reply = self.0.answer_sync(&decode(&frame.head)?);
        Ok(Frame { protocol: PROTOCOL, head: encode(&reply).into(), body: Bytes::new() })
    }
}

/// Gives back what a request holds at the slots when it ends or its caller goes.
struct Slot<'a> {
    node: &'a Node,
    task: TaskId,
    /// Whether the request ran to its end, so that its time counts.
    measured: bool,
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut cores = self.node.cores();
        if self.measured {
            let wakes = cores.slots.finish(now, self.task, true);
            cores.wake(&wakes);
        } else {
            cores.cancel(now, self.task);
        }
    }
}

/// Runs a request at the backend server on this VM.
pub async fn run(node: &Arc<Node>, request: RunRequest, body: Bytes) -> (End, Bytes) {
    let arrived = node.now();
    let slot = match admit(node, &request).await {
        Ok(slot) => slot,
        Err((kind, after)) => {
            let load = node.load();
            node.events.write(&Event::Refused {
                id: &request.id,
                kind: kind.as_str(),
                running: load.running,
                queued: load.queued,
                limit: load.limit,
                retry_after_ms: after.as_millis() as u64,
                waited_ms: node.now().since(arrived).as_millis() as u64,
            });
            metrics::counter!("shallottack_refused_total", "kind" => kind.as_str()).increment(1);
            return (End::Refused { kind, after }, Bytes::new());
        }
    };
    run_admitted(node, request, body, slot, arrived).await
}

async fn run_admitted(
    node: &Arc<Node>,
    request: RunRequest,
    body: Bytes,
    mut slot: Slot<'_>,
    arrived: shallottack_kernel::Time,
) -> (End, Bytes) {
    let started = node.now();
    let waited = started.since(arrived);
    metrics::histogram!("shallottack_queue_seconds").record(waited.as_secs_f64());
    let load = node.load();
    node.events.write(&Event::Admitted {
        id: &request.id,
        waited_ms: waited.as_millis() as u64,
        running: load.running,
        queued: load.queued,
        limit: load.limit,
    });
    let id = request.id.clone();
    let left = request.left.saturating_sub(waited);
    let ended = match task(request, body, left) {
        Ok(task) => node.backend.send(task).await,
        Err(error) => Ended::Unsent(error),
    };
    let run = node.now().since(started);
    metrics::histogram!("shallottack_backend_seconds").record(run.as_secs_f64());
    let (outcome, status, reason) = match &ended {
        Ended::Answered(answer) => ("answered", answer.status.as_u16(), ""),
        Ended::NotRun(status) => ("not-run", status.as_u16(), ""),
        Ended::Unsent(reason) => ("unsent", 0, reason.as_str()),
        Ended::Broken(reason) => ("broken", 0, reason.as_str()),
        Ended::TimedOut => ("timed-out", 0, ""),
    };
    let run_ms = run.as_millis() as u64;
    node.events.write(&Event::Ran { id: &id, outcome, status, run_ms, reason });
    match ended {
        Ended::Answered(answer) => {
            slot.measured = true;
            let headers = to_wire(&answer.headers);
            (End::Answered { status: answer.status.as_u16(), headers, run }, answer.body)
        }
        Ended::NotRun(_) => (End::Shed, Bytes::new()),
        Ended::Unsent(_) => {
            node.backend_refused();
            (End::Refused { kind: ErrorKind::NoEndpoint, after: REFUSED_RETRY }, Bytes::new())
        }
        Ended::Broken(reason) => (End::Broken(reason), Bytes::new()),
        Ended::TimedOut => (End::TimedOut, Bytes::new()),
    }
}

/// Waits for a slot.
async fn admit<'a>(
    node: &'a Node,
    request: &RunRequest,
) -> Result<Slot<'a>, (ErrorKind, Duration)> {
    let now = node.now();
    let task = node.next_task();
    let turn = {
        let mut cores = node.cores();
        if cores.own.stopping {
            return Err((ErrorKind::Stopping, REFUSED_RETRY));
        }
        let expected = cores.local.server().is_some_and(|it| it.id == request.server);
        if !expected || !cores.local.is_ready() || !cores.backend_up(now) {
            return Err((ErrorKind::NoEndpoint, REFUSED_RETRY));
        }
        let arrival = Arrival {
            task,
            route: Arc::clone(&request.route),
            priority: request.priority,
            retry: request.repeat,
            returned: request.returned,
            goal: now + request.goal,
            deadline: now + request.left,
            may_wait: request.may_wait,
        };
        match cores.slots.arrive(now, arrival) {
            Admission::Run => None,
            Admission::Wait => Some(cores.wait_for(task)),
            Admission::Reject { kind, retry_after } => return Err((kind, retry_after)),
        }
    };
    let slot = Slot { node, task, measured: false };
    let Some(turn) = turn else { return Ok(slot) };
    match turn.recv().await {
        Ok(Turn::Run) => Ok(slot),
        Ok(Turn::Reject(after)) => Err((ErrorKind::DeadlineUnmet, after)),
        // The slots were closed, which answers every waiter before; kept as a refusal.
        Err(_) => Err((ErrorKind::NoEndpoint, REFUSED_RETRY)),
    }
}

fn task(request: RunRequest, body: Bytes, left: Duration) -> Result<Task, String> {
    Ok(Task {
        id: request.id,
        method: Method::from_bytes(request.method.as_bytes()).map_err(|it| it.to_string())?,
        target: request.target,
        headers: from_wire(&request.headers)?,
        body,
        left,
        server: request.server,
        caller: request.caller.as_str().to_owned(),
        idempotent: request.idempotent,
    })
}

/// Returns headers as they are sent between daemons.
pub fn to_wire(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect()
}

/// Returns headers as they came from another daemon.
///
/// # Errors
///
/// Returns what is wrong with a name or value that HTTP does not allow.
pub fn from_wire(headers: &[(String, Vec<u8>)]) -> Result<HeaderMap, String> {
    let mut all = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|it| format!("{it}"))?;
        all.append(name, HeaderValue::from_bytes(value).map_err(|it| it.to_string())?);
    }
    Ok(all)
}

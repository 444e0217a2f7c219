//! Runs requests at the backend server on this VM: slot, exchange and reply.

use std::{sync::Arc, time::Duration};

use async_std::task;
use async_trait::async_trait;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method};
use shallottack_fleet::{
    Admission, Arrival, Parent, RepeatCause, RequestKey, RunEnd, SendId, Standing, StartedRun,
    TaskId,
};
use shallottack_http::{Body, MemoryBudget};
use shallottack_kernel::{ErrorKind, Time};
use shallottack_rpc::{BodyTurn, FleetHandler, Frame, GrantedCall, PROTOCOL};

use crate::{
    backend::{BackendRequest, BackendResponse, ExchangeOutcome},
    events::Event,
    in_progress::InProgressGuard,
    intake::{BodyGuard, await_turn},
    message::{PeerMessage, RunOutcome, RunReply, RunRequest, decode, encode},
    node::{Node, Shared, SlotDecision},
    quotas,
    rejection::MEMORY_RETRY_AFTER,
    repeats::{check_calls, log_calls},
    revoke::{count_delay, handle_revoke},
};

/// `Retry-After` of a refused request; its backend server may be available again by then.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Why a request is refused, and when to retry.
pub type Refusal = (ErrorKind, Duration);

/// Refusal of a request whose deadline passed before its start, or that was revoked.
pub const EXPIRED: Refusal = (ErrorKind::DeadlineUnmet, REFUSED_RETRY_AFTER);

/// `Retry-After` of a request of which another run is on trial; that run has ended by then as a rule.
const TRIAL_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Handler of calls from other daemons.
pub struct PeerService(pub Arc<Node>);

#[async_trait]
impl FleetHandler for PeerService {
    async fn run(&self, head: Bytes, body: Body) -> Result<(Vec<u8>, Body), String> {
        let mut request: RunRequest = decode(&head)?;
        let _progress = InProgressGuard::new(&self.0);
        let arrived = self.0.now();
        count_delay(&self.0, arrived, &mut request);
        Ok(run_for_peer(&self.0, request, body, arrived).await)
    }

    async fn grant(&self, head: Bytes, bytes: usize) -> Result<BodyTurn, String> {
        let mut request: RunRequest = decode(&head)?;
        let progress = InProgressGuard::new(&self.0);
        let arrived = self.0.now();
        count_delay(&self.0, arrived, &mut request);
        request.left = self.0.time_before_stop(arrived, request.left);
        let turn = await_turn(&self.0, &request, bytes).await;
        Ok(match turn {
            Ok(body) => BodyTurn::Granted(Box::new(GrantedRun {
                node: Arc::clone(&self.0),
                request,
                arrived,
                body,
                _progress: progress,
            })),
            Err(refusal) => {
                let waited = self.0.now().since(arrived);
                BodyTurn::Refused(refuse(&self.0, &request, refusal, waited))
            }
        })
    }

    fn refuse(&self, head: Bytes) -> Result<Vec<u8>, String> {
        let request: RunRequest = decode(&head)?;
        let refusal = (ErrorKind::Overloaded, MEMORY_RETRY_AFTER);
        Ok(refuse(&self.0, &request, refusal, Duration::ZERO))
    }

    fn memory(&self) -> &MemoryBudget {
        &self.0.memory
    }

    async fn sync(&self, frame: Frame) -> Result<Frame, String> {
        let head = match decode(&frame.head)? {
            PeerMessage::Sync(request) => encode(&self.0.handle_sync(&request)),
            PeerMessage::Share(request) => encode(&quotas::answer(&self.0, &request)?),
        };
        let head = head.into();
        Ok(Frame { protocol: PROTOCOL, head, ..Frame::default() })
    }

    fn revoke(&self, frame: Frame) -> Result<Frame, String> {
        handle_revoke(&self.0, &frame)
    }
}

/// A request whose body may come over the link.
struct GrantedRun {
    node: Arc<Node>,
    request: RunRequest,
    /// When the head arrived.
    arrived: Time,
    body: BodyGuard,
    _progress: InProgressGuard,
}

#[async_trait]
impl GrantedCall for GrantedRun {
    fn time_left(&self) -> Duration {
        self.request.left.saturating_sub(self.node.now().since(self.arrived))
    }

    fn record_arrival(&mut self, bytes: usize) {
        self.body.record_arrival(bytes);
    }

    async fn run(self: Box<Self>, body: Body) -> Result<(Vec<u8>, Body), String> {
        let GrantedRun { node, mut request, arrived, body: turn, _progress } = *self;
        drop(turn);
        let passed = node.now().since(arrived);
        metrics::histogram!("shallottack_body_seconds").record(passed.as_secs_f64());
        request.goal = request.goal.saturating_sub(passed);
        request.left = request.left.saturating_sub(passed);
        // Another server would need the body once more.
        request.may_wait = true;
        Ok(run_for_peer(&node, request, body, arrived).await)
    }
}

/// Runs a request of another daemon, the head of which arrived at `arrived`, and returns the reply.
async fn run_for_peer(
    node: &Arc<Node>,
    mut request: RunRequest,
    body: Body,
    arrived: Time,
) -> (Vec<u8>, Body) {
    let now = node.now();
    request.left = node.time_before_stop(now, request.left);
    let next = new_arrival(TaskId::default(), now, &request);
    let (outcome, body) = run(node, request, body).await;
    let held = node.shared().link.send(node.now(), body.len());
    if !held.is_zero() {
        metrics::histogram!("shallottack_link_wait_seconds").record(held.as_secs_f64());
        task::sleep(held).await;
    }
    let reply = RunReply {
        elapsed: node.now().since(arrived),
        vm: node.settings.vm.clone(),
        outcome,
        load: node.load(),
        lowest: node.lowest_ticket(now, next),
        versions: node.versions(),
    };
    (encode(&reply), body)
}

/// Logs and counts the refusal of a request that held no slot; `waited` is the time since it arrived.
fn log_refusal(node: &Node, request: &RunRequest, (kind, retry_after): Refusal, waited: Duration) {
    let load = node.load();
    node.events.write(&Event::Refused {
        id: &request.id,
        kind: kind.as_str(),
        delay_ms: request.delay.as_millis() as u64,
        running: load.running,
        queued: load.queued,
        limit: load.limit,
        retry_after_ms: retry_after.as_millis() as u64,
        waited_ms: waited.as_millis() as u64,
    });
    metrics::counter!("shallottack_refused_total", "kind" => kind.as_str()).increment(1);
}

/// Refuses a request of another daemon whose body has not come; returns the head of the reply.
fn refuse(node: &Node, request: &RunRequest, refusal: Refusal, waited: Duration) -> Vec<u8> {
    log_refusal(node, request, refusal, waited);
    let now = node.now();
    let (kind, retry_after) = refusal;
    let reply = RunReply {
        elapsed: waited,
        vm: node.settings.vm.clone(),
        outcome: RunOutcome::Refused { kind, retry_after },
        load: node.load(),
        lowest: node.lowest_ticket(now, new_arrival(TaskId::default(), now, request)),
        versions: node.versions(),
    };
    encode(&reply)
}

/// Releases a request's slot or queue place when the request ends or its caller disconnects.
struct SlotGuard<'a> {
    node: &'a Node,
    task: TaskId,
    /// Send with which the request came from another daemon.
    send: Option<SendId>,
    /// Whether the request ran to completion, so that its run time is measured.
    completed: bool,
}

impl Drop for SlotGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut shared = self.node.shared();
        if let Some(send) = self.send {
            shared.sends.end_unstarted(send);
        }
        if self.completed {
            let wakes = shared.slots.finish(now, self.task, true);
            shared.wake(&wakes);
        } else {
            shared.cancel(now, self.task);
        }
    }
}

/// Records the end of a run, also when its caller disconnects.
struct RunGuard<'a> {
    node: &'a Node,
    task: TaskId,
    id: String,
    key: RequestKey,
    repeat: Option<RepeatCause>,
    started: Time,
    /// When the request expires.
    deadline: Time,
    /// How the run ended; `None` until the exchange with the backend server has ended.
    end: Option<RunEnd>,
}

impl<'a> RunGuard<'a> {
    /// Starts a run of a request that expires after `left`.
    fn start(node: &'a Node, task: TaskId, request: &RunRequest, left: Duration) -> RunGuard<'a> {
        let now = node.now();
        let mut shared = node.shared();
        shared.runs.start(task, request.key);
        let (organisation, rank) = (request.organisation.clone(), request.rank);
        shared.parents.start(task, &request.id, Parent { organisation, rank });
        let run = StartedRun {
            id: &request.id,
            route: &request.route,
            repeat: request.repeat.is_some(),
            named: request.named_call,
        };
        let calls = shared.fan_out.start(now, task, &run);
        shared.placement.budget_mut().charge_calls(now, &calls);
        drop(shared);
        log_calls(node, now, request, &calls, true);
        RunGuard {
            node,
            task,
            id: request.id.clone(),
            key: request.key,
            repeat: request.repeat,
            started: now,
            deadline: now + left,
            end: None,
        }
    }
}

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        let now = self.node.now();
        let mut shared = self.node.shared();
        let end = self.end.unwrap_or(RunEnd::Unanswered);
        shared.runs.finish(now, self.task, end);
        let unanswered = end == RunEnd::Unanswered;
        shared.parents.finish(now, self.task, unanswered.then_some(self.deadline));
        let more = shared.fan_out.finish(now, self.task);
        shared.placement.budget_mut().charge_calls(now, &more);
        drop(shared);
        if self.end.is_none() {
            self.node.events.write(&Event::Ran {
                id: &self.id,
                key: self.key,
                repeat: self.repeat,
                outcome: "cancelled",
                status: 0,
                run_ms: now.since(self.started).as_millis() as u64,
                reason: "the caller's daemon ended the call",
            });
        }
    }
}

/// Waits for a slot and runs a request at the backend server on this VM.
pub async fn run(node: &Arc<Node>, request: RunRequest, body: Body) -> (RunOutcome, Body) {
    let arrived = node.now();
    let slot = match acquire_slot(node, &request).await {
        Ok(slot) => slot,
        Err(refusal) => {
            log_refusal(node, &request, refusal, node.now().since(arrived));
            let (kind, retry_after) = refusal;
            return (RunOutcome::Refused { kind, retry_after }, Body::default());
        }
    };
    run_admitted(node, request, body, slot, arrived).await
}

/// Runs a request that holds a slot.
async fn run_admitted(
    node: &Arc<Node>,
    request: RunRequest,
    body: Body,
    mut slot: SlotGuard<'_>,
    arrived: Time,
) -> (RunOutcome, Body) {
    let started = node.now();
    let waited = started.since(arrived);
    metrics::histogram!("shallottack_queue_seconds").record(waited.as_secs_f64());
    let load = node.load();
    node.events.write(&Event::Admitted {
        id: &request.id,
        delay_ms: request.delay.as_millis() as u64,
        waited_ms: waited.as_millis() as u64,
        running: load.running,
        queued: load.queued,
        limit: load.limit,
    });
    let (id, key, repeat) = (request.id.clone(), request.key, request.repeat);
    let left = request.left.saturating_sub(waited);
    let mut guard = RunGuard::start(node, slot.task, &request, left);
    let exchange = match build_request(request, body, left) {
        Ok(request) => node.backend.send(request).await,
        Err(error) => ExchangeOutcome::Unsent(error),
    };
    let end = match &exchange {
        ExchangeOutcome::Answered(_) => RunEnd::Completed,
        ExchangeOutcome::NotRun(..) | ExchangeOutcome::Unsent(_) | ExchangeOutcome::Expired => {
            RunEnd::NotRun
        }
        ExchangeOutcome::Broken(_) | ExchangeOutcome::TimedOut => RunEnd::Unanswered,
    };
    guard.end = Some(end);
    if let Some(send) = slot.send.filter(|_| end == RunEnd::NotRun) {
        node.shared().sends.record_not_run(send);
    }
    let completed = end == RunEnd::Completed;
    drop(guard);
    if completed {
        node.record_completion(key);
    }
    if matches!(exchange, ExchangeOutcome::Broken(_) | ExchangeOutcome::Unsent(_)) {
        node.check_for_crash();
    }
    let run = node.now().since(started);
    metrics::histogram!("shallottack_backend_seconds").record(run.as_secs_f64());
    let (outcome, status, reason) = match &exchange {
        ExchangeOutcome::Answered(response) => ("answered", response.status.as_u16(), ""),
        ExchangeOutcome::NotRun(status, _) => ("not-run", status.as_u16(), ""),
        ExchangeOutcome::Unsent(reason) => ("unsent", 0, reason.as_str()),
        ExchangeOutcome::Broken(reason) => ("broken", 0, reason.as_str()),
        ExchangeOutcome::TimedOut => ("timed-out", 0, ""),
        ExchangeOutcome::Expired => ("expired", 0, ""),
    };
    if let ExchangeOutcome::Answered(BackendResponse { notice, .. })
    | ExchangeOutcome::NotRun(_, notice) = &exchange
    {
        node.record_notice(&id, notice);
    }
    let run_ms = run.as_millis() as u64;
    node.events.write(&Event::Ran { id: &id, key, repeat, outcome, status, run_ms, reason });
    match exchange {
        ExchangeOutcome::Answered(response) => {
            slot.completed = true;
            let headers = encode_headers(&response.headers);
            (RunOutcome::Answered { status: response.status.as_u16(), headers, run }, response.body)
        }
        ExchangeOutcome::NotRun(..) => (RunOutcome::Shed, Body::default()),
        ExchangeOutcome::Unsent(_) => {
            node.backend_refused();
            (
                RunOutcome::Refused {
                    kind: ErrorKind::NoEndpoint,
                    retry_after: REFUSED_RETRY_AFTER,
                },
                Body::default(),
            )
        }
        ExchangeOutcome::Broken(reason) => (RunOutcome::Broken(reason), Body::default()),
        ExchangeOutcome::TimedOut => (RunOutcome::TimedOut, Body::default()),
        ExchangeOutcome::Expired => {
            let (kind, retry_after) = EXPIRED;
            (RunOutcome::Refused { kind, retry_after }, Body::default())
        }
    }
}

/// Waits for a slot, or returns why the request is refused and when to retry.
async fn acquire_slot<'a>(node: &'a Node, request: &RunRequest) -> Result<SlotGuard<'a>, Refusal> {
    let now = node.now();
    let task = node.next_task();
    node.check_connections();
    check_start(node, request)?;
    if request.left.is_zero() {
        return Err(EXPIRED);
    }
    let send = request.stamp.map(|it| it.id);
    let slot = SlotGuard { node, task, send, completed: false };
    let waiter = {
        let mut shared = node.shared();
        if send.is_some_and(|it| !shared.sends.arrive(now, it, task)) {
            return Err(EXPIRED);
        }
        check_server(&mut shared, now, request)?;
        match shared.slots.arrive(now, new_arrival(task, now, request)) {
            Admission::Run => None,
            Admission::Wait => Some(shared.register_waiter(task)),
            Admission::Reject { kind, retry_after } => return Err((kind, retry_after)),
        }
    };
    if let Some(decision) = waiter {
        match decision.recv().await {
            Ok(SlotDecision::Run) => check_start(node, request)?,
            Ok(SlotDecision::Reject(retry_after)) => {
                node.check_evacuation()?;
                return Err((ErrorKind::DeadlineUnmet, retry_after));
            }
            // The caller's daemon has revoked the request.
            Err(_) => return Err(EXPIRED),
        }
    }
    let started = node.now();
    let expired = started.since(now) >= request.left;
    // From here on, the request counts as started for its sender.
    if expired || send.is_some_and(|it| !node.shared().sends.start(started, it)) {
        return Err(EXPIRED);
    }
    Ok(slot)
}

/// Returns why a request is refused by the state of this daemon and of its backend server.
pub fn check_server(shared: &mut Shared, now: Time, request: &RunRequest) -> Result<(), Refusal> {
    if shared.own.stopping {
        return Err((ErrorKind::Stopping, REFUSED_RETRY_AFTER));
    }
    let expected = shared.local.server().is_some_and(|it| it.id == request.server);
    if !expected || !shared.may_offer() || !shared.backend_up(now) {
        return Err((ErrorKind::NoEndpoint, REFUSED_RETRY_AFTER));
    }
    if let Some(limit) = request.rate_limit {
        shared.slots.assume_rate_limit(now, limit);
    }
    Ok(())
}

/// Returns why a request is refused, and when to retry, whatever slots are free.
pub fn check_start(node: &Node, request: &RunRequest) -> Result<(), Refusal> {
    node.check_evacuation()?;
    check_standing(node, request)?;
    check_calls(node, request).map_err(|kind| (kind, REFUSED_RETRY_AFTER))
}

/// Returns why a request is refused, and when to retry, if backend servers crashed while they ran it.
fn check_standing(node: &Node, request: &RunRequest) -> Result<(), Refusal> {
    match node.standing(request.key) {
        Standing::Free => Ok(()),
        Standing::Trial if !node.shared().runs.is_running(request.key) => Ok(()),
        Standing::Trial => Err((ErrorKind::Blocked, TRIAL_RETRY_AFTER)),
        Standing::Wait(wait) => Err((ErrorKind::Blocked, wait)),
    }
}

/// Returns the description of a request for the slots.
pub fn new_arrival(task: TaskId, now: Time, request: &RunRequest) -> Arrival {
    Arrival {
        task,
        route: Arc::clone(&request.route),
        rank: request.rank,
        ticket: request.ticket,
        returned: request.returned,
        goal: now + request.goal,
        deadline: now + request.left,
        may_wait: request.may_wait,
    }
}

fn build_request(
    request: RunRequest,
    body: Body,
    left: Duration,
) -> Result<BackendRequest, String> {
    Ok(BackendRequest {
        id: request.id,
        method: Method::from_bytes(request.method.as_bytes()).map_err(|it| it.to_string())?,
        target: request.target,
        headers: decode_headers(&request.headers)?,
        body,
        left,
        server: request.server,
        caller: request.caller.as_str().to_owned(),
        organisation: request.organisation,
        idempotent: request.idempotent,
    })
}

/// Converts headers to the form that is sent between daemons.
pub fn encode_headers(headers: &HeaderMap) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|(name, value)| (name.to_string(), value.as_bytes().to_vec())).collect()
}

/// Converts headers received from another daemon.
///
/// # Errors
///
/// Returns the reason why a name or value is not valid in HTTP.
pub fn decode_headers(headers: &[(String, Vec<u8>)]) -> Result<HeaderMap, String> {
    let mut decoded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let name: HeaderName = name.parse().map_err(|it| format!("{it}"))?;
        decoded.append(name, HeaderValue::from_bytes(value).map_err(|it| it.to_string())?);
    }
    Ok(decoded)
}

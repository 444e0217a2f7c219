//! Handles requests of callers: routing, placement, attempts and the final response.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::{HeaderMap, Request, Response, StatusCode, header, request};
use shallottack_fleet::{
    CallOrigin, Choice, Match, Next, Outcome, PlacementRequest, RateLimit, RepeatCause, RequestKey,
    Route, SendHistory, Server, TaskId, VersionFilter,
};
use shallottack_http::{Application, Body, ConnectionLimits, MemoryBudget, ParseError, SizeLimits};
use shallottack_kernel::{EndpointId, ErrorKind, Run, ServiceName, Time};
use shallottack_site::headers;

use crate::{
    events::Event,
    in_progress::InProgressGuard,
    message::{RunOutcome, RunReply, RunRequest, SendStamp, decode},
    node::{Node, Shared},
    quotas,
    rejection::{MEMORY_RETRY_AFTER, error_response, reject},
    relay,
    repeats::log_repeat,
    revoke::{self, OutgoingSend, SendResult},
    sender::{Sender, count_request, find_sender},
};

/// Deadline of a request when neither the caller nor the route states one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// `Retry-After` of a daemon without a configuration; a healthy store answers within
/// milliseconds.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(300);

/// `Retry-After` of a request that a configuration of which a newer one is known does not allow; the newer
/// one takes a crossing of a link that is not idle.
const BEHIND_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Connection limits while no configuration is known; all such requests are rejected as not ready.
const UNCONFIGURED_LIMITS: ConnectionLimits = ConnectionLimits {
    sizes: SizeLimits { head: 16 * 1024, body: 1024 * 1024 },
    head: Duration::from_secs(10),
    idle: Duration::from_secs(10),
};

/// A caller's request with its route.
struct Call {
    id: String,
    /// Whether a run on this VM makes it.
    origin: CallOrigin,
    sender: Sender,
    route: Arc<Route>,
    service: ServiceName,
    began: Time,
    /// When the caller first sent the request, which is earlier than `began` if the request was
    /// rejected with `Retry-After` before.
    first_at: Time,
    /// Time until which the caller waits, which the route's timeout does not shorten.
    waits_until: Time,
    key: RequestKey,
    placement: PlacementRequest,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Body,
    /// Version of the configuration that routed the request.
    config: u64,
}

/// An error response of this daemon.
struct Rejection {
    kind: ErrorKind,
    retry_after: Duration,
    reason: String,
    ran: bool,
}

/// A complete response of a backend server.
struct CompleteResponse {
    status: u16,
    headers: HeaderMap,
    body: Body,
}

/// Daemon and backend server that a request is sent to.
struct Target {
    vm: EndpointId,
    address: SocketAddr,
    server: Server,
    may_wait: bool,
    rate_limit: Option<RateLimit>,
}

/// HTTP application that serves callers.
pub struct CallerService(pub Arc<Node>);

impl Application for CallerService {
    fn limits(&self) -> ConnectionLimits {
        let config = self.0.config();
        config.map_or(UNCONFIGURED_LIMITS, |it| {
            let limits = it.limits;
            ConnectionLimits {
                sizes: SizeLimits { head: limits.header_bytes, body: limits.body_bytes },
                head: limits.header_timeout,
                idle: limits.idle_timeout,
            }
        })
    }

    fn is_closing(&self) -> bool {
        self.0.stopping()
    }

    fn allows_parallel(&self, head: &request::Parts) -> bool {
        let Some(config) = self.0.config() else { return false };
        match config.find(host(head), head.uri.path()) {
            Match::Found(route) => route.idempotent,
            Match::Missing => true,
        }
    }

    async fn call(&self, request: Request<Body>) -> Response<Body> {
        let _progress = InProgressGuard::new(&self.0);
        handle_request(&self.0, request).await
    }

    fn malformed(&self, error: ParseError) -> Response<Body> {
        let (kind, retry_after) = match error {
            ParseError::Syntax => (ErrorKind::BadRequest, Duration::ZERO),
            ParseError::HeadTooLarge => (ErrorKind::HeaderTooLarge, Duration::ZERO),
            ParseError::BodyTooLarge => (ErrorKind::TooLarge, Duration::ZERO),
            ParseError::NoMemory => (ErrorKind::Overloaded, MEMORY_RETRY_AFTER),
        };
        let now = self.0.now();
        reject(&self.0, "", now, kind, retry_after, &error.to_string())
    }

    fn memory(&self) -> &MemoryBudget {
        &self.0.memory
    }
}

fn host(head: &request::Parts) -> &str {
    let stated = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    stated.or_else(|| head.uri.host()).unwrap_or("")
}

async fn handle_request(node: &Arc<Node>, request: Request<Body>) -> Response<Body> {
    let began = node.now();
    let (mut head, body) = request.into_parts();
    let id = headers::request_id(&head.headers).unwrap_or("").to_owned();
    let Some(config) = node.config() else {
        let retry_after = NOT_READY_RETRY_AFTER;
        return reject(node, &id, began, ErrorKind::NotReady, retry_after, "no configuration yet");
    };
    let route = match config.find(host(&head), head.uri.path()) {
        Match::Found(route) => route,
        Match::Missing => {
            let reason = format!("no route for {}{}", host(&head), head.uri.path());
            return reject_by_config(node, &id, began, ErrorKind::NoRoute, &reason);
        }
    };
    let sender = find_sender(node, &config, &route, &id, &head.headers, DEFAULT_DEADLINE);
    headers::remove_identity(&mut head.headers);
    let sender = match sender {
        Ok(sender) => sender,
        Err(reason) => {
            return reject_by_config(node, &id, began, ErrorKind::Unauthorized, reason);
        }
    };
    let call = match prepare_call(node, config.version, head, body, route, sender, began) {
        Ok(call) => call,
        Err((kind, reason)) => {
            return reject(node, &id, began, kind, Duration::ZERO, &reason);
        }
    };
    // Calls of running requests have none, so that they need no token.
    let organisation = call.sender.organisation.as_ref().map(|it| Arc::clone(&it.name));
    let token = match quotas::admit(node, organisation, call.placement.goal).await {
        Ok(token) => token,
        Err(retry_after) => {
            let kind = ErrorKind::Overloaded;
            let reason = "quota of the organisation used up".to_owned();
            let rejection = Rejection { kind, retry_after, reason, ran: false };
            return respond(node, &call, &SendHistory::default(), Err(rejection));
        }
    };
    let mut guard = CancelGuard { node, call: &call, sent_to: None, ended: false };
    let mut history = SendHistory::default();
    let result = run_attempts(node, &call, &mut history, &mut guard).await;
    guard.ended = true;
    token.settle(history.arrivals > 0 || history.ran);
    respond(node, &call, &history, result)
}

/// Rejects a request that the configuration in force does not allow. While another daemon is known to
/// have a newer one, which may allow it, the caller is told to come back instead.
fn reject_by_config(
    node: &Node,
    id: &str,
    began: Time,
    kind: ErrorKind,
    reason: &str,
) -> Response<Body> {
    if !node.is_behind() {
        return reject(node, id, began, kind, Duration::ZERO, reason);
    }
    let reason =
        format!("{reason} in version {}, of which a newer one is known", node.config_version());
    reject(node, id, began, ErrorKind::NotReady, BEHIND_RETRY_AFTER, &reason)
}

/// Records the cancellation when a caller disconnects before its request ends.
struct CancelGuard<'a> {
    node: &'a Node,
    call: &'a Call,
    /// VM to which the request is currently sent.
    sent_to: Option<EndpointId>,
    ended: bool,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if let Some(vm) = &self.sent_to {
            self.node.shared().placement.cancel_send(vm);
        }
        let ms = self.node.now().since(self.call.began).as_millis() as u64;
        let (id, route) = (self.call.id.as_str(), &*self.call.route.name);
        count_request(self.node, &self.call.sender, "cancelled", None);
        let organisation = self.call.sender.name();
        self.node.events.write(&Event::Cancelled { id, route, organisation, ms });
    }
}

/// Determines service, deadline and goal of a request, and counts it in the retry budget.
fn prepare_call(
    node: &Node,
    config: u64,
    mut head: request::Parts,
    body: Body,
    route: Arc<Route>,
    sender: Sender,
    began: Time,
) -> Result<Call, (ErrorKind, String)> {
    let id = headers::request_id(&head.headers).unwrap_or("").to_owned();
    let stated = headers::deadline(&head.headers).unwrap_or(DEFAULT_DEADLINE);
    let allowed = route.timeout.map_or(stated, |it| it.min(stated));
    let allowed = node.time_before_stop(began, allowed);
    let deadline = began + allowed;
    let waits_until = began + node.time_before_stop(began, stated);
    let goal = route.goal.unwrap_or(allowed).min(allowed);
    let service = route.draw_service(&mut rand::rng()).cloned();
    let service =
        service.ok_or((ErrorKind::NoEndpoint, "route has no target service".to_owned()))?;
    headers::strip_connection_headers(&mut head.headers);
    head.headers.remove(headers::TARGET);
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
    let caller = &node.settings.service;
    let pieces = body.pieces().iter().map(|it| it.as_ref());
    let key = RequestKey::new(caller, head.method.as_str(), host(&head), &target, pieces);
    let returned = node.shared().rejected_callers.take_return(began, key);
    let first_at = returned.unwrap_or(began);
    let placement = PlacementRequest {
        service: service.clone(),
        versions: draw_versions(node, &service),
        route: Arc::clone(&route.name),
        ticket: node.shared().tickets.draw(began, &mut rand::rng(), &route.name),
        goal: first_at + goal,
        deadline,
        idempotent: route.idempotent,
        attempts: route.attempts,
        returned: returned.is_some(),
        trial: None,
    };
    let origin = {
        let mut shared = node.shared();
        shared.placement.budget_mut().record_request(began, &service);
        shared.fan_out.record_request(began, &service, headers::parent(&id))
    };
    Ok(Call {
        id,
        origin,
        sender,
        service,
        began,
        first_at,
        waits_until,
        key,
        placement,
        method: head.method.as_str().to_owned(),
        target,
        headers: relay::encode_headers(&head.headers),
        body,
        config,
        route,
    })
}

/// Draws the versions of the service that may run a request, according to its rollout.
fn draw_versions(node: &Node, service: &ServiceName) -> VersionFilter {
    let now = node.now();
    let shared = node.shared();
    shared
        .rollouts
        .get(service)
        .map_or(VersionFilter::Any, |it| it.draw_versions(now, &mut rand::rng()))
}

/// Sends a request until it is answered or no further attempt is allowed.
async fn run_attempts(
    node: &Arc<Node>,
    call: &Call,
    history: &mut SendHistory,
    guard: &mut CancelGuard<'_>,
) -> Result<CompleteResponse, Rejection> {
    let mut last = String::new();
    // A backend server's error response, delivered if no other backend server can be tried.
    let mut failure: Option<CompleteResponse> = None;
    let mut refused = false;
    loop {
        let placement = match node.check_placement(call.key, &call.placement, history.ran) {
            Ok(placement) => placement,
            Err(wait) => return failure.ok_or_else(|| blocked(call, history, wait)),
        };
        let now = node.now();
        let choice = node.shared().placement.choose(now, &mut rand::rng(), &placement, history);
        let target = match choice {
            Choice::Send { vm, address, server, may_wait, has_room, load, age } => {
                if refused && has_room {
                    metrics::counter!("shallottack_refused_with_room_total").increment(1);
                }
                node.events.write(&Event::Placed {
                    id: &call.id,
                    route: &call.route.name,
                    config: call.config,
                    vm: &vm,
                    send: history.sent,
                    may_wait,
                    running: load.running,
                    queued: load.queued,
                    limit: load.limit,
                    age_ms: age.as_millis() as u64,
                    left_ms: call.placement.deadline.since(now).as_millis() as u64,
                });
                Target { vm, address, server, may_wait, rate_limit: load.pace.limit() }
            }
            Choice::Reject { kind, retry_after } => {
                if let Some(failure) = failure {
                    return Ok(failure);
                }
                let reason = if last.is_empty() { "no backend server available" } else { &last };
                let reason = reason.to_owned();
                return Err(Rejection { kind, retry_after, reason, ran: history.ran });
            }
        };
        let (vm, server) = (target.vm.clone(), target.server.clone());
        guard.sent_to = Some(vm.clone());
        let nested = (call.origin == CallOrigin::Repeat).then_some(RepeatCause::Nested);
        let repeat = history.repeat.or(nested);
        let (outcome, response, reason) = send_to(node, call, target, repeat).await;
        guard.sent_to = None;
        refused = matches!(outcome, Outcome::Refused { kind: ErrorKind::Overloaded, .. });
        let ended = node.now();
        if !matches!(outcome, Outcome::Answered { .. }) {
            node.events.write(&Event::SendFailed {
                id: &call.id,
                vm: &vm,
                outcome: format!("{outcome:?}"),
                reason: &reason,
                ms: ended.since(now).as_millis() as u64,
            });
        }
        let mut shared = node.shared();
        if response.as_ref().is_some_and(|it| headers::leaving(&it.headers)) {
            shared.placement.record_leaving(ended, &vm, &server);
        }
        if let Outcome::Answered { status, run, .. } = outcome {
            count_for_rollout(node, &mut shared, call, &vm, status, run);
        }
        let next = shared.placement.finish_send(
            ended,
            &mut rand::rng(),
            &placement,
            history,
            &vm,
            outcome,
        );
        drop(shared);
        log_repeat(node, &call.id, &call.service, history);
        match (next, response) {
            (Next::Deliver, Some(response)) => return Ok(response),
            (Next::Retry, response) => {
                last = reason;
                failure = response.or(failure);
            }
            (Next::Fail { kind, retry_after }, _) => {
                if let Some(failure) = failure {
                    return Ok(failure);
                }
                return Err(Rejection { kind, retry_after, reason, ran: history.ran });
            }
            (Next::Deliver, None) => {
                let (kind, retry_after) = (ErrorKind::AnswerBroken, Duration::ZERO);
                return Err(Rejection { kind, retry_after, reason, ran: true });
            }
        }
    }
}

/// Returns the rejection of a request at which backend servers crashed.
fn blocked(call: &Call, history: &SendHistory, retry_after: Duration) -> Rejection {
    let kind = history.final_kind(ErrorKind::Blocked);
    let reason = format!("backend servers crashed while they ran request {}", call.key);
    Rejection { kind, retry_after, reason, ran: history.ran }
}

/// Counts an answer for the rollout of the service, if there is one.
fn count_for_rollout(
    node: &Node,
    shared: &mut Shared,
    call: &Call,
    vm: &EndpointId,
    status: u16,
    run: Duration,
) {
    let Some(rollout) = shared.rollouts.get_mut(&call.service) else { return };
    let Some(server) = shared.directory.get(vm).and_then(|it| it.server.as_ref()) else { return };
    let side = rollout.side(&server.group);
    let cold = !server.warmup_left.is_zero();
    node.update_rollout(rollout, "counted", |it| {
        it.record_answer(&call.route.name, side, status >= 500, run, cold);
    });
}

/// Sends a request to the daemon of a VM, which can be this one.
///
/// Returns the outcome, the response if there is one, and a description for the log.
async fn send_to(
    node: &Arc<Node>,
    call: &Call,
    target: Target,
    repeat: Option<RepeatCause>,
) -> (Outcome, Option<CompleteResponse>, String) {
    let now = node.now();
    let left = call.placement.deadline.since(now);
    let vm = &target.vm;
    let own = *vm == node.settings.vm;
    let stamp = (!own).then(|| SendStamp { id: node.next_send(), sent: now });
    let request = RunRequest {
        id: call.id.clone(),
        stamp,
        named_call: call.origin != CallOrigin::Unknown,
        server: target.server.id.clone(),
        caller: node.settings.service.clone(),
        key: call.key,
        route: Arc::clone(&call.route.name),
        organisation: call.sender.organisation.as_ref().map(|it| Arc::clone(&it.name)),
        rank: call.sender.rank,
        ticket: call.placement.ticket,
        repeat,
        idempotent: call.route.idempotent,
        returned: call.placement.returned,
        goal: call.placement.goal.since(now),
        left,
        rate_limit: target.rate_limit,
        may_wait: target.may_wait,
        method: call.method.clone(),
        target: call.target.clone(),
        headers: call.headers.clone(),
        delay: Duration::ZERO,
    };
    let Some(stamp) = stamp else {
        let next = relay::new_arrival(TaskId::default(), now, &request);
        let (run_outcome, body) = relay::run(node, request, call.body.clone()).await;
        let (load, lowest) = (node.load(), node.lowest_ticket(now, next));
        let ended = node.now();
        let mut shared = node.shared();
        shared.placement.record_load(ended, vm, load);
        shared.placement.record_gate(ended, vm, &call.route.name, lowest);
        drop(shared);
        return interpret_outcome(run_outcome, call.body.len(), body);
    };
    let send = OutgoingSend {
        vm,
        address: target.address,
        id: stamp.id,
        request: &request,
        body: call.body.clone(),
        began: now,
        deadline: call.placement.deadline,
        waits_until: call.waits_until,
    };
    let (head, body) = match revoke::send(node, send).await {
        SendResult::Reply(head, body) => (head, body),
        SendResult::Unsent(reason) => return (Outcome::Unreachable, None, reason),
        SendResult::NotRun(reason) => return (Outcome::Revoked, None, reason),
        SendResult::Cut(reason) => return (Outcome::Cut, None, reason),
        SendResult::TimedOut(reason) => return (Outcome::TimedOut { ran: true }, None, reason),
    };
    match decode::<RunReply>(&head) {
        Ok(reply) => {
            if reply.vm != *vm {
                // The address now belongs to another VM.
                node.remove_member(vm);
            }
            node.record_load(&reply.vm, reply.load);
            let ended = node.now();
            let transfer = ended.since(now).saturating_sub(reply.elapsed);
            let mut shared = node.shared();
            shared.placement.record_transit(ended, vm, transfer, body.len());
            shared.placement.record_gate(ended, vm, &call.route.name, reply.lowest);
            drop(shared);
            node.check_versions(&reply.vm, reply.versions);
            interpret_outcome(reply.outcome, call.body.len(), body)
        }
        Err(reason) => (Outcome::Cut, None, reason),
    }
}

/// Converts the outcome at another daemon for the placement, with a description for the log.
///
/// `sent` is the size of the request's body in bytes.
fn interpret_outcome(
    run_outcome: RunOutcome,
    sent: usize,
    body: Body,
) -> (Outcome, Option<CompleteResponse>, String) {
    match run_outcome {
        RunOutcome::Answered { status, headers, run } => match relay::decode_headers(&headers) {
            Ok(headers) => {
                let outcome = Outcome::Answered { status, run, bytes: sent + body.len() };
                (
                    outcome,
                    Some(CompleteResponse { status, headers, body }),
                    format!("status {status}"),
                )
            }
            Err(reason) => (Outcome::Broken, None, reason),
        },
        RunOutcome::Shed => (Outcome::Shed, None, "shed by the backend server".to_owned()),
        RunOutcome::Refused { kind, retry_after } => {
            let reason = format!("refused by the daemon of the backend server: {kind}");
            (Outcome::Refused { kind, retry_after }, None, reason)
        }
        RunOutcome::Broken(reason) => (Outcome::Broken, None, reason),
        RunOutcome::TimedOut => {
            let reason = "deadline exceeded at the backend server".to_owned();
            (Outcome::TimedOut { ran: true }, None, reason)
        }
    }
}

/// Records the result in metrics and the log, and builds the response.
fn respond(
    node: &Node,
    call: &Call,
    history: &SendHistory,
    result: Result<CompleteResponse, Rejection>,
) -> Response<Body> {
    let passed = node.now().since(call.began);
    let ms = passed.as_millis() as u64;
    let route = Arc::clone(&call.route.name);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(rejection) if rejection.kind.answer().run == Run::No => "rejected",
        Err(_) => "failed",
    };
    let labels = [("route", metrics::SharedString::from(route)), ("outcome", outcome.into())];
    metrics::counter!("shallottack_requests_total", &labels).increment(1);
    metrics::histogram!("shallottack_request_seconds", &labels).record(passed.as_secs_f64());
    count_request(node, &call.sender, outcome, Some(passed));
    metrics::histogram!("shallottack_request_sends").record(f64::from(history.sent));
    match result {
        Ok(answer) => {
            node.events.write(&Event::Answered {
                id: &call.id,
                route: &call.route.name,
                organisation: call.sender.name(),
                status: answer.status,
                sends: history.sent,
                arrivals: history.arrivals,
                ms,
                goal_ms: call.placement.goal.since(call.began).as_millis() as u64,
            });
            let mut response = Response::new(answer.body);
            // The status was parsed from a valid response, so the fallback is never used.
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = answer.headers;
            response
        }
        Err(rejection) => {
            if rejection.kind.answer().retry_after {
                let now = node.now();
                node.shared().rejected_callers.record_rejection(
                    now,
                    call.key,
                    call.first_at,
                    rejection.retry_after,
                );
            }
            node.events.write(&Event::Rejected {
                id: &call.id,
                route: &call.route.name,
                organisation: call.sender.name(),
                kind: rejection.kind.as_str(),
                status: rejection.kind.answer().status,
                ran: rejection.ran,
                reason: &rejection.reason,
                retry_after_ms: rejection.retry_after.as_millis() as u64,
                sends: history.sent,
                arrivals: history.arrivals,
                ms,
                config: call.config,
            });
            error_response(&call.id, rejection.kind, rejection.retry_after)
        }
    }
}

//! Requests of callers: route, placement, attempts and the final answer.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header, request};
use shallottack_fleet::{
    CallerKey, Choice, Configuration, Match, Next, Outcome, PlacementRequest, Route, SendHistory,
    VersionFilter,
};
use shallottack_http::{Application, ConnectionLimits, ERROR_HEADER, Malformed, RUN_HEADER, Sizes};
use shallottack_kernel::{EndpointId, ErrorKind, Run, ServiceName, Time};
use shallottack_rpc::PeerError;
use shallottack_site::headers;

use crate::{
    events::Event,
    message::{End, RunReply, RunRequest, decode, encode},
    node::{Cores, Node},
    relay,
    tasks::InProgress,
};

/// Time that a caller waits at most when neither it nor the route states one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(10);
/// Time after which a caller may come back to a daemon without a configuration; the store
/// answers within milliseconds when it is well.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);
/// Time beyond the deadline in which the daemon beside the backend server can state the end.
const ANSWER_SLACK: Duration = Duration::from_millis(60);

/// Limits before a configuration states some; all such requests are answered as not ready.
const FIRST_LIMITS: ConnectionLimits = ConnectionLimits {
    sizes: Sizes { head: 16 * 1024, body: 1024 * 1024 },
    head: Duration::from_secs(10),
    idle: Duration::from_secs(10),
};

/// A request of a caller whose route is known.
struct Call {
    id: String,
    route: Arc<Route>,
    service: ServiceName,
    began: Time,
    /// Time of the caller's first request, before it was told to come back.
    first: Time,
    key: CallerKey,
    ask: PlacementRequest,
    method: String,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
    config: u64,
}

/// A failure of the daemon's own.
struct Failed {
    kind: ErrorKind,
    retry_after: Duration,
    reason: String,
    ran: bool,
}

/// A whole response of a backend server.
struct Answered {
    status: u16,
    headers: HeaderMap,
    body: Bytes,
}

/// Requests of callers.
pub struct Callers(pub Arc<Node>);

impl Application for Callers {
    fn limits(&self) -> ConnectionLimits {
        let current = self.0.current();
        current.map_or(FIRST_LIMITS, |it| {
            let limits = it.limits;
            ConnectionLimits {
                sizes: Sizes { head: limits.header_bytes, body: limits.body_bytes },
                head: limits.header_timeout,
                idle: limits.idle_timeout,
            }
        })
    }

    fn closing(&self) -> bool {
        self.0.stopping()
    }

    fn parallel(&self, head: &request::Parts) -> bool {
        let Some(current) = self.0.current() else { return false };
        match current.find(host(head), head.uri.path()) {
            Match::Found(route) => route.idempotent,
            Match::Missing => true,
        }
    }

    async fn call(&self, request: Request<Bytes>) -> Response<Bytes> {
        let _progress = InProgress::new(&self.0);
        answer(&self.0, request).await
    }

    fn malformed(&self, error: Malformed) -> Response<Bytes> {
        let kind = match error {
            Malformed::Syntax => ErrorKind::BadRequest,
            Malformed::HeadTooLarge => ErrorKind::HeaderTooLarge,
            Malformed::BodyTooLarge => ErrorKind::TooLarge,
        };
        let now = self.0.now();
        refuse(&self.0, "", now, kind, Duration::ZERO, &error.to_string())
    }
}

fn host(head: &request::Parts) -> &str {
    let stated = head.headers.get(header::HOST).and_then(|it| it.to_str().ok());
    stated.or_else(|| head.uri.host()).unwrap_or("")
}

async fn answer(node: &Arc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    let began = node.now();
    let (head, body) = request.into_parts();
    let id = headers::request_id(&head.headers).unwrap_or("").to_owned();
    let Some(current) = node.current() else {
        let retry_after = NOT_READY_RETRY;
        return refuse(node, &id, began, ErrorKind::NotReady, retry_after, "no configuration yet");
    };
    let route = match current.find(host(&head), head.uri.path()) {
        Match::Found(route) => route,
        Match::Missing => {
            let reason = format!("no route for {}{}", host(&head), head.uri.path());
            return refuse(node, &id, began, ErrorKind::NoRoute, Duration::ZERO, &reason);
        }
    };
    let call = match read(node, &current, head, body, route, began, id.clone()) {
        Ok(call) => call,
        Err((kind, reason)) => {
            return refuse(node, &id, began, kind, Duration::ZERO, &reason);
        }
    };
    let mut guard = Pending { node, call: &call, at: None, ended: false };
    let mut attempt = SendHistory::default();
    let result = attempts(node, &call, &mut attempt, &mut guard).await;
    guard.ended = true;
    finish(node, &call, &attempt, result)
}

/// Notes the cancellation of a request whose caller goes before its end.
struct Pending<'a> {
    node: &'a Node,
    call: &'a Call,
    at: Option<EndpointId>,
    ended: bool,
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        if let Some(vm) = &self.at {
            self.node.cores().placement.cancel_send(vm);
        }
        let ms = self.node.now().since(self.call.began).as_millis() as u64;
        let (id, route) = (self.call.id.as_str(), &*self.call.route.name);
        self.node.events.write(&Event::Cancelled { id, route, ms });
    }
}

fn read(
    node: &Node,
    current: &Configuration,
    mut head: request::Parts,
    body: Bytes,
    route: Arc<Route>,
    began: Time,
    id: String,
) -> Result<Call, (ErrorKind, String)> {
    let stated = headers::deadline(&head.headers).unwrap_or(DEFAULT_DEADLINE);
    let allowed = route.timeout.map_or(stated, |it| it.min(stated));
    let deadline = began + allowed;
    let goal = route.goal.unwrap_or(allowed).min(allowed);
    let service = route.draw_service(&mut rand::rng()).cloned();
    let service = service.ok_or((ErrorKind::NoEndpoint, "route has no service".to_owned()))?;
    headers::strip_hop(&mut head.headers);
    head.headers.remove(headers::TARGET);
    let target = head.uri.path_and_query().map_or("/", |it| it.as_str()).to_owned();
    let key = caller_key(&head, &body);
    let returned = node.cores().returns.take_return(began, key);
    let first = returned.unwrap_or(began);
    let ask = PlacementRequest {
        service: service.clone(),
        versions: split(node, &service),
        route: Arc::clone(&route.name),
        goal: first + goal,
        deadline,
        idempotent: route.idempotent,
        attempts: route.attempts,
        returned: returned.is_some(),
    };
    {
        let mut cores = node.cores();
        cores.placement.count_request(began, &service);
        // Callers and the backend server share the VM's address, so that calls of running requests
        // can't be told from others; counting all keeps the fleet under its budget.
        let share = cores.slots.retry_share();
        cores.placement.count_nested(began, &service, share);
    }
    Ok(Call {
        id,
        service,
        began,
        first,
        key,
        ask,
        method: head.method.as_str().to_owned(),
        target,
        headers: relay::to_wire(&head.headers),
        body,
        config: current.row_version,
        route,
    })
}

/// Returns what tells a caller who comes back: a new request has another identifier and deadline.
fn caller_key(head: &request::Parts, body: &[u8]) -> CallerKey {
    let mut hasher = DefaultHasher::new();
    (&head.method, host(head), &head.uri, body).hash(&mut hasher);
    CallerKey(hasher.finish())
}

fn split(node: &Node, service: &ServiceName) -> VersionFilter {
    let now = node.now();
    let cores = node.cores();
    cores
        .rollouts
        .get(service)
        .map_or(VersionFilter::Any, |it| it.draw_versions(now, &mut rand::rng()))
}

async fn attempts(
    node: &Arc<Node>,
    call: &Call,
    attempt: &mut SendHistory,
    guard: &mut Pending<'_>,
) -> Result<Answered, Failed> {
    let mut last = String::new();
    // Failure of a backend server that is delivered when no other one can be asked.
    let mut failure: Option<Answered> = None;
    loop {
        let now = node.now();
        let choice = node.cores().placement.choose(now, &mut rand::rng(), &call.ask, attempt);
        let (vm, address, server, may_wait) = match choice {
            Choice::Send { vm, address, server, may_wait, load, age } => {
                node.events.write(&Event::Placed {
                    id: &call.id,
                    route: &call.route.name,
                    config: call.config,
                    vm: &vm,
                    send: attempt.sent,
                    may_wait,
                    running: load.running,
                    queued: load.queued,
                    limit: load.limit,
                    age_ms: age.as_millis() as u64,
                    left_ms: call.ask.deadline.since(now).as_millis() as u64,
                });
                (vm, address, server, may_wait)
            }
            Choice::Reject { kind, retry_after } => {
                if let Some(failure) = failure {
                    return Ok(failure);
                }
                let reason = if last.is_empty() { "no backend server to send to" } else { &last };
                let reason = reason.to_owned();
                return Err(Failed { kind, retry_after, reason, ran: attempt.ran });
            }
        };
        guard.at = Some(vm.clone());
        let repeat = attempt.arrivals > 0;
        let (outcome, answer, reason) =
            send(node, call, &vm, address, server, may_wait, repeat).await;
        guard.at = None;
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
        let mut cores = node.cores();
        if let Outcome::Answered { status, run, .. } = outcome {
            count(node, &mut cores, call, &vm, status, run);
        }
        let next =
            cores.placement.finish_send(ended, &mut rand::rng(), &call.ask, attempt, &vm, outcome);
        drop(cores);
        match (next, answer) {
            (Next::Deliver, Some(answer)) => return Ok(answer),
            (Next::Retry, answer) => {
                last = reason;
                failure = answer.or(failure);
            }
            (Next::Fail { kind, retry_after }, _) => {
                if let Some(failure) = failure {
                    return Ok(failure);
                }
                return Err(Failed { kind, retry_after, reason, ran: attempt.ran });
            }
            (Next::Deliver, None) => {
                let (kind, retry_after) = (ErrorKind::AnswerBroken, Duration::ZERO);
                return Err(Failed { kind, retry_after, reason, ran: true });
            }
        }
    }
}

/// Counts an answer for the rollout of its service, if there is one.
fn count(node: &Node, cores: &mut Cores, call: &Call, vm: &EndpointId, status: u16, run: Duration) {
    let Some(rollout) = cores.rollouts.get_mut(&call.service) else { return };
    let Some(server) = cores.directory.get(vm).and_then(|it| it.server.as_ref()) else { return };
    let side = rollout.side(&server.group);
    let cold = !server.warmup_left.is_zero();
    node.judge(rollout, "counted", |it| {
        it.record_answer(&call.route.name, side, status >= 500, run, cold);
    });
}

/// Sends a request to the daemon of a VM, which can be this one.
async fn send(
    node: &Arc<Node>,
    call: &Call,
    vm: &EndpointId,
    address: std::net::SocketAddr,
    server: EndpointId,
    may_wait: bool,
    repeat: bool,
) -> (Outcome, Option<Answered>, String) {
    let now = node.now();
    let left = call.ask.deadline.since(now);
    let request = RunRequest {
        id: call.id.clone(),
        server,
        caller: node.settings.service.clone(),
        route: Arc::clone(&call.route.name),
        priority: call.route.priority,
        repeat,
        idempotent: call.route.idempotent,
        returned: call.ask.returned,
        goal: call.ask.goal.since(now),
        left,
        may_wait,
        method: call.method.clone(),
        target: call.target.clone(),
        headers: call.headers.clone(),
    };
    if *vm == node.settings.vm {
        let (end, body) = relay::run(node, request, call.body.clone()).await;
        let load = node.load();
        node.cores().placement.record_load(node.now(), vm, load);
        return outcome(end, call.body.len(), body);
    }
    let exchange = node.peers.run(address, encode(&request), call.body.clone());
    let within = left + ANSWER_SLACK;
    let frame = match async_std::future::timeout(within, exchange).await {
        Ok(Ok(frame)) => frame,
        Ok(Err(PeerError::Unsent(reason))) => return (Outcome::Unreachable, None, reason),
        Ok(Err(PeerError::Cut(reason))) => return (Outcome::Cut, None, reason),
        Err(_) => {
            let reason = "no answer from the daemon before the deadline".to_owned();
            return (Outcome::TimedOut { ran: true }, None, reason);
        }
    };
    match decode::<RunReply>(&frame.head) {
        Ok(reply) => {
            if reply.vm != *vm {
                // Another VM has the address now.
                node.remove_member(vm);
            }
            node.heard_from(&reply.vm, reply.load);
            let ended = node.now();
            let on_way = ended.since(now).saturating_sub(reply.held);
            node.cores().placement.record_transit(ended, vm, on_way, frame.body.len());
            node.heard_versions(&reply.vm, reply.versions);
            outcome(reply.end, call.body.len(), frame.body)
        }
        Err(reason) => (Outcome::Cut, None, reason),
    }
}

fn outcome(end: End, sent: usize, body: Bytes) -> (Outcome, Option<Answered>, String) {
    match end {
        End::Answered { status, headers, run } => match relay::from_wire(&headers) {
            Ok(headers) => {
                let outcome = Outcome::Answered { status, run, bytes: sent + body.len() };
                (outcome, Some(Answered { status, headers, body }), format!("status {status}"))
            }
            Err(reason) => (Outcome::Broken, None, reason),
        },
        End::Shed => (Outcome::Shed, None, "shed by the backend server".to_owned()),
        End::Refused { kind, after } => {
            let reason = format!("refused by the daemon of the backend server: {kind}");
            (Outcome::Refused { kind, retry_after: after }, None, reason)
        }
        End::Broken(reason) => (Outcome::Broken, None, reason),
        End::TimedOut => {
            let reason = "deadline passed at the backend server".to_owned();
            (Outcome::TimedOut { ran: true }, None, reason)
        }
    }
}

fn finish(
    node: &Node,
    call: &Call,
    attempt: &SendHistory,
    result: Result<Answered, Failed>,
) -> Response<Bytes> {
    let passed = node.now().since(call.began);
    let ms = passed.as_millis() as u64;
    let route = Arc::clone(&call.route.name);
    let outcome = match &result {
        Ok(_) => "answered",
        Err(failed) if failed.kind.answer().run == Run::No => "rejected",
        Err(_) => "failed",
    };
    let labels = [("route", metrics::SharedString::from(route)), ("outcome", outcome.into())];
    metrics::counter!("shallottack_requests_total", &labels).increment(1);
    metrics::histogram!("shallottack_request_seconds", &labels).record(passed.as_secs_f64());
    match result {
        Ok(answer) => {
            node.events.write(&Event::Answered {
                id: &call.id,
                route: &call.route.name,
                status: answer.status,
                sends: attempt.sent,
                arrivals: attempt.arrivals,
                ms,
                goal_ms: call.ask.goal.since(call.began).as_millis() as u64,
            });
            let mut response = Response::new(answer.body);
            // The status came through a typed response, so that it is valid.
            *response.status_mut() =
                StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
            *response.headers_mut() = answer.headers;
            response
        }
        Err(failed) => {
            if failed.kind.answer().retry_after {
                let now = node.now();
                node.cores().returns.record_rejection(
                    now,
                    call.key,
                    call.first,
                    failed.retry_after,
                );
            }
            node.events.write(&Event::Rejected {
                id: &call.id,
                route: &call.route.name,
                kind: failed.kind.as_str(),
                status: failed.kind.answer().status,
                ran: failed.ran,
                reason: &failed.reason,
                retry_after_ms: failed.retry_after.as_millis() as u64,
                sends: attempt.sent,
                arrivals: attempt.arrivals,
                ms,
                config: call.config,
            });
            error_response(&call.id, failed.kind, failed.retry_after)
        }
    }
}

/// Refuses a request before it was placed.
fn refuse(
    node: &Node,
    id: &str,
    began: Time,
    kind: ErrorKind,
    retry_after: Duration,
    reason: &str,
) -> Response<Bytes> {
    metrics::counter!("shallottack_refused_total", "kind" => kind.as_str()).increment(1);
    node.events.write(&Event::Rejected {
        id,
        route: "",
        kind: kind.as_str(),
        status: kind.answer().status,
        ran: false,
        reason,
        retry_after_ms: retry_after.as_millis() as u64,
        sends: 0,
        arrivals: 0,
        ms: node.now().since(began).as_millis() as u64,
        config: node.config_row(),
    });
    error_response(id, kind, retry_after)
}

fn error_response(id: &str, kind: ErrorKind, retry_after: Duration) -> Response<Bytes> {
    let answer = kind.answer();
    let mut response = Response::new(Bytes::new());
    *response.status_mut() =
        StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let all = response.headers_mut();
    let run = if answer.run == Run::No { "no" } else { "unknown" };
    all.insert(ERROR_HEADER, HeaderValue::from_static(kind.as_str()));
    all.insert(RUN_HEADER, HeaderValue::from_static(run));
    if answer.retry_after {
        all.insert(header::RETRY_AFTER, headers::retry_after(retry_after));
    }
    // The identifier came in a header, so that it is valid in one.
    if let Ok(id) = HeaderValue::from_str(id) {
        all.insert(headers::REQUEST_ID, id);
    }
    response
}

//! Requests of callers: choice of endpoint, attempts and the final answer.

use std::{sync::Arc, time::Duration};

use rand::rng;
use shallottack_http::{Answer, Error};
use shallottack_kernel::{Clock, EndpointId, ErrorKind, Failure, Run};
use shallottack_membership as membership;
use shallottack_routing::{CallId, CallInfo, Choice, Hint, NextStep, Outcome};
use tide::http::{Request, Response};

use super::{
    Calls,
    answer::{self, LEAVING_HEADER, LOAD_HEADER},
    call::{Call, stated_deadline},
    relay::{Served, pass_on},
    route_table::RouteEntry,
};

/// Time after which a caller may come back to a daemon without a configuration.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);
/// Time beyond the deadline that an endpoint's daemon gets to state how a call ended.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// End of one attempt.
struct Attempt {
    outcome: Outcome,
    answer: Option<Response>,
    detail: String,
}

impl Calls {
    /// Answers a caller's request.
    pub(crate) async fn caller(self: Arc<Self>, request: Request) -> Response {
        let started = self.clock.now();
        let entry = match self.route(&request) {
            Ok(entry) => entry,
            Err(failure) => return answer::failure_response(&failure),
        };
        let result = self.forward(&entry, request).await;
        entry.latency.record(self.clock.now().since(started).as_secs_f64());
        match result {
            Ok(response) => {
                entry.answered.increment(1);
                response
            }
            Err(failure) => {
                match failure.kind.answer().run {
                    Run::No => entry.refused.increment(1),
                    Run::Unknown => entry.unknown.increment(1),
                }
                answer::failure_response(&failure)
            }
        }
    }

    fn route(&self, request: &Request) -> Result<Arc<RouteEntry>, Failure> {
        let routes = self.routes.load();
        let Some(routes) = routes.as_ref() else {
            return Err(Failure::new(ErrorKind::NotReady, "no configuration in force yet")
                .retry_after(NOT_READY_RETRY));
        };
        if self.stopping() {
            return Err(Failure::new(ErrorKind::Stopping, "the daemon is stopping")
                .retry_after(Duration::from_millis(10)));
        }
        let path = request.url().path();
        let entry = routes.find(request.method().as_ref(), path);
        entry.cloned().ok_or_else(|| {
            let detail = format!("no route for {} {path}", request.method());
            Failure::new(ErrorKind::NoRoute, detail)
        })
    }

    async fn forward(
        self: &Arc<Self>,
        entry: &RouteEntry,
        request: Request,
    ) -> Result<Response, Failure> {
        let class = &entry.class;
        let allowed = stated_deadline(&request).map_or(class.deadline, |it| it.min(class.deadline));
        let deadline = self.clock.now() + allowed;
        let service = entry.route.service.clone();
        let call =
            Call::read(request, service, class.name.clone(), deadline, class.idempotent).await?;
        let info = CallInfo {
            call: self.next_call(),
            service: call.service.clone(),
            class: call.class.clone(),
            group: self.group(&call.service),
            deadline,
            idempotent: call.repeat_safe(),
            retry_budget: call.retries,
        };
        let choice = self.router().choose(self.clock.now(), &mut rng(), &info);
        let (endpoint, retries) = match choice {
            Choice::Send { endpoint, retry_budget } => (endpoint, retry_budget),
            Choice::Fail { kind, retry_after } => {
                return Err(given_up(kind, retry_after, no_endpoint(&call)));
            }
        };
        let guard = RouterGuard { calls: Arc::clone(self), call: info.call };
        let result = self.attempts(&guard, &call, endpoint, retries).await;
        self.pass_hints();
        result
    }

    async fn attempts(
        self: &Arc<Self>,
        guard: &RouterGuard,
        call: &Call,
        mut endpoint: EndpointId,
        mut retries: u8,
    ) -> Result<Response, Failure> {
        loop {
            let attempt = self.attempt(call, &endpoint, retries).await;
            let now = self.clock.now();
            let next = self.router().end_attempt(now, &mut rng(), guard.call, attempt.outcome);
            match (next, attempt.answer) {
                (NextStep::Done, Some(response)) => return Ok(response),
                (NextStep::Done, None) => {
                    return Err(Failure::new(ErrorKind::OutcomeUnknown, attempt.detail));
                }
                (NextStep::Fail { kind, retry_after }, _) => {
                    return Err(given_up(kind, retry_after, attempt.detail));
                }
                (NextStep::Retry { endpoint: other, delay, retry_budget: left }, _) => {
                    if !delay.is_zero() {
                        async_std::task::sleep(delay).await;
                    }
                    (endpoint, retries) = (other, left);
                }
            }
        }
    }

    async fn attempt(self: &Arc<Self>, call: &Call, to: &EndpointId, retries: u8) -> Attempt {
        if *to == self.me {
            return self.local_attempt(call, retries).await;
        }
        let Some(member) = self.mesh.member(to) else {
            let detail = format!("endpoint {to} is gone");
            return Attempt { outcome: Outcome::Unreachable, answer: None, detail };
        };
        let now = self.clock.now();
        let request = call.relay_request(now, retries, &self.token);
        let within = call.deadline.since(now) + ANSWER_GRACE;
        match self.pool.send(member.addresses.relay, request, within).await {
            Ok(answer) => relayed(answer),
            Err(error) => {
                Attempt { outcome: broken(&error), answer: None, detail: error.to_string() }
            }
        }
    }

    async fn local_attempt(&self, call: &Call, retries: u8) -> Attempt {
        let result = self.serve_local(call, retries).await;
        let load = Some(load_report(self.backend.load()));
        let leaving = self.backend.leaving();
        match result {
            Served::Answered(answer) => {
                let failed = u16::from(answer.status()) >= 500;
                let outcome = Outcome::Answered { failed, load, leaving };
                Attempt { outcome, answer: Some(pass_on(*answer)), detail: String::new() }
            }
            Served::Stored(response) => {
                let outcome = Outcome::Answered { failed: false, load, leaving };
                Attempt { outcome, answer: Some(*response), detail: String::new() }
            }
            Served::Failed(failure) => {
                let outcome = Outcome::Refused {
                    kind: failure.kind,
                    not_run: failure.kind.answer().run == Run::No,
                    retry_after: failure.retry_after,
                    load,
                    leaving,
                };
                Attempt { outcome, answer: None, detail: failure.detail }
            }
        }
    }

    fn pass_hints(self: &Arc<Self>) {
        for hint in self.router().take_hints() {
            let endpoint = match hint {
                Hint::Unreachable { endpoint, .. } | Hint::Suspect { endpoint, .. } => endpoint,
            };
            self.mesh.membership(membership::Input::PeerUnresponsive { endpoint });
        }
    }
}

/// Forgets the call in the router when its caller goes away.
struct RouterGuard {
    calls: Arc<Calls>,
    call: CallId,
}

impl Drop for RouterGuard {
    fn drop(&mut self) {
        self.calls.router().cancel(self.call);
    }
}

fn relayed(answer: Answer) -> Attempt {
    let load = answer.header(LOAD_HEADER).and_then(answer::parse_load);
    let leaving = answer.header(LEAVING_HEADER).is_some();
    if let Some(error) = answer::stated_error(&answer) {
        let outcome = Outcome::Refused {
            kind: error.kind,
            not_run: error.not_run,
            retry_after: error.retry_after,
            load,
            leaving,
        };
        let body: Option<shallottack_api::ErrorBody> = serde_json::from_slice(&answer.body).ok();
        let detail = body.map_or_else(String::new, |it| it.detail);
        return Attempt { outcome, answer: None, detail };
    }
    let failed = u16::from(answer.status()) >= 500;
    let outcome = Outcome::Answered { failed, load, leaving };
    Attempt { outcome, answer: Some(pass_on(answer)), detail: String::new() }
}

fn broken(error: &Error) -> Outcome {
    match error {
        Error::Unreachable(_) => Outcome::Unreachable,
        Error::StaleConnection(_) => Outcome::Broken { partial: false },
        Error::InvalidResponse(_) | Error::TooLarge { .. } => Outcome::Broken { partial: true },
        Error::TimedOut { sent: true } => Outcome::TimedOut,
        Error::TimedOut { sent: false } => Outcome::Unreachable,
    }
}

fn load_report(load: shallottack_admission::Load) -> shallottack_routing::LoadReport {
    shallottack_routing::LoadReport {
        in_flight: load.in_flight,
        queued: load.queued,
        limit: load.limit,
    }
}

fn given_up(kind: ErrorKind, retry_after: Option<Duration>, detail: String) -> Failure {
    let failure = Failure::new(kind, detail);
    match retry_after {
        Some(after) => failure.retry_after(after),
        None => failure,
    }
}

fn no_endpoint(call: &Call) -> String {
    format!("service `{}` has no endpoint that can serve the call in time", call.service)
}

//! Requests that are sent once more, and the calls that they make again.

use shallottack_fleet::{Calls, RepeatCause, SendHistory};
use shallottack_kernel::{ErrorKind, ServiceName, Time};

use crate::{events::Event, message::RunRequest, node::Node};

/// Logs the decision on whether a request is sent once more, if there was one.
pub fn log_repeat(node: &Node, id: &str, service: &ServiceName, history: &SendHistory) {
    let Some(decision) = &history.decision else { return };
    let labels = [
        ("cause", decision.cause.as_str()),
        ("outcome", if decision.granted { "granted" } else { "denied" }),
    ];
    metrics::counter!("shallottack_repeats_total", &labels).increment(1);
    node.events.write(&Event::Repeat {
        id,
        service: service.as_str(),
        cause: decision.cause,
        granted: decision.granted,
        arrivals: history.arrivals,
        requests: decision.budget.requests,
        repeats: decision.budget.total(),
        nested: decision.budget.nested(),
        allowed: decision.budget.allowed,
    });
}

/// Checks whether the calls that a repeat makes again fit into the retry budgets of the called
/// services.
///
/// # Errors
///
/// Returns why the repeat is refused if they don't fit.
pub fn check_calls(node: &Node, request: &RunRequest) -> Result<(), ErrorKind> {
    // Nested calls were granted with the run that makes them.
    if matches!(request.repeat, None | Some(RepeatCause::Nested)) {
        return Ok(());
    }
    let now = node.now();
    let (calls, fits) = {
        let shared = node.shared();
        let calls = shared.fan_out.calls(&request.route);
        let fits = shared.placement.budget().calls_fit(now, &calls);
        (calls, fits)
    };
    if fits {
        return Ok(());
    }
    log_calls(node, now, request, &calls, false);
    Err(ErrorKind::Overloaded)
}

/// Logs the decision on whether a repeat may make its calls again.
pub fn log_calls(node: &Node, now: Time, request: &RunRequest, calls: &Calls, granted: bool) {
    for (service, calls) in calls {
        let budget = node.shared().placement.budget().usage(now, service);
        node.events.write(&Event::RepeatedCalls {
            id: &request.id,
            service: service.as_str(),
            calls: *calls,
            granted,
            requests: budget.requests,
            repeats: budget.total(),
            nested: budget.nested(),
            allowed: budget.allowed,
        });
    }
}

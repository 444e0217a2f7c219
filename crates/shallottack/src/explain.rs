//! Traces one request through the logs of several daemons.

use serde::Serialize;
use serde_json::{Map, Value};

/// Log of one daemon.
pub(crate) struct Log {
    /// File name, used as the VM name until a `started` event gives the real one.
    pub(crate) name: String,
    /// Content of the log, one JSON object per line.
    pub(crate) text: String,
}

/// Log line that belongs to the request.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Step {
    /// VM of the daemon that wrote the line.
    pub(crate) vm: String,
    /// Unix time in milliseconds, by the clock of that VM.
    pub(crate) time: u64,
    /// Name of the event.
    pub(crate) event: String,
    /// All other fields of the line.
    pub(crate) fields: Map<String, Value>,
}

/// Steps, outcome and cause of failure of a request.
#[derive(Debug, Serialize)]
pub(crate) struct Explanation {
    pub(crate) id: String,
    pub(crate) steps: Vec<Step>,
    /// Last step that states how the request ended for its caller.
    pub(crate) outcome: Option<Step>,
    /// Last failed step other than the end of a request, or else the outcome if it is a failure.
    pub(crate) cause: Option<Step>,
    /// Number of lines that the daemons dropped; steps may be missing because of them.
    pub(crate) dropped: u64,
    /// Number of lines that are not JSON objects with a time and an event.
    pub(crate) unreadable: usize,
}

/// Collects the log lines of the request `id` and of the calls that it made.
pub(crate) fn explain(id: &str, logs: &[Log]) -> Explanation {
    let (mut steps, mut dropped, mut unreadable) = (Vec::new(), 0, 0);
    for log in logs {
        let mut vm = log.name.clone();
        for line in log.text.lines().filter(|it| !it.trim().is_empty()) {
            let Some(step) = parse_line(line, &vm) else {
                unreadable += 1;
                continue;
            };
            match (step.event.as_str(), step.fields.get("vm").and_then(Value::as_str)) {
                ("started", Some(name)) => vm = name.to_owned(),
                ("dropped", _) => {
                    dropped += step.fields.get("lines").and_then(Value::as_u64).unwrap_or(0);
                }
                _ => {}
            }
            if belongs_to(&step, id) {
                steps.push(step);
            }
        }
    }
    // The sort is stable, so lines of one daemon keep their order within a millisecond.
    steps.sort_by_key(|it| it.time);
    let is_end = |it: &Step| matches!(it.event.as_str(), "answered" | "rejected" | "cancelled");
    let outcome = steps.iter().rev().find(|it| is_end(it) && has_id(it, id)).cloned();
    let cause = match &outcome {
        Some(it) if !is_failure(it) => None,
        _ => {
            let earlier = steps.iter().rev().find(|it| is_failure(it) && !is_end(it));
            earlier.or(outcome.as_ref()).cloned()
        }
    };
    Explanation { id: id.to_owned(), steps, outcome, cause, dropped, unreadable }
}

fn parse_line(line: &str, vm: &str) -> Option<Step> {
    let Ok(Value::Object(mut fields)) = serde_json::from_str(line) else { return None };
    let time = fields.remove("time")?.as_u64()?;
    let event = fields.remove("event")?.as_str()?.to_owned();
    Some(Step { vm: vm.to_owned(), time, event, fields })
}

fn has_id(step: &Step, id: &str) -> bool {
    step.fields.get("id").and_then(Value::as_str) == Some(id)
}

/// Returns whether the step is of the request `id` or of a call that it made.
///
/// The identifier of such a call is that of the request followed by a dot and a suffix.
fn belongs_to(step: &Step, id: &str) -> bool {
    let found = step.fields.get("id").and_then(Value::as_str);
    let rest = found.and_then(|it| it.strip_prefix(id));
    rest.is_some_and(|it| it.is_empty() || it.starts_with('.'))
}

fn is_failure(step: &Step) -> bool {
    let status = step.fields.get("status").and_then(Value::as_u64).unwrap_or(0);
    match step.event.as_str() {
        "rejected" | "refused" | "send-failed" | "cancelled" => true,
        "answered" => status >= 500,
        "ran" => !(200..500).contains(&status),
        _ => false,
    }
}

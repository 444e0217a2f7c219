//! Path of one request through the logs of several daemons.

use serde::Serialize;
use serde_json::{Map, Value};

/// Log of one daemon.
pub(crate) struct Log {
    /// Name of the file, used until the log names its VM.
    pub(crate) name: String,
    /// Lines as they were written.
    pub(crate) text: String,
}

/// One line of a log that belongs to the request.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct Step {
    /// VM of the daemon that wrote it.
    pub(crate) vm: String,
    /// Unix time in milliseconds, by the clock of that VM.
    pub(crate) time: u64,
    /// Name of the event.
    pub(crate) event: String,
    /// Its other fields.
    pub(crate) fields: Map<String, Value>,
}

/// What became of a request, and why.
#[derive(Debug, Serialize)]
pub(crate) struct Explanation {
    pub(crate) id: String,
    pub(crate) steps: Vec<Step>,
    /// Last line that tells how the request ended for its caller.
    pub(crate) outcome: Option<Step>,
    /// Last failure before it, else the outcome itself when that is one.
    pub(crate) cause: Option<Step>,
    /// Lines that the daemons left out; a step may be among them.
    pub(crate) dropped: u64,
    /// Lines that are no JSON objects.
    pub(crate) unreadable: usize,
}

/// Joins the lines of the request `id` and of the calls that it made.
pub(crate) fn explain(id: &str, logs: &[Log]) -> Explanation {
    let (mut steps, mut dropped, mut unreadable) = (Vec::new(), 0, 0);
    for log in logs {
        let mut vm = log.name.clone();
        for line in log.text.lines().filter(|it| !it.trim().is_empty()) {
            let Some(step) = read(line, &vm) else {
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
            if belongs(&step, id) {
                steps.push(step);
            }
        }
    }
    // Stable, so that the lines of one daemon keep their order within a millisecond.
    steps.sort_by_key(|it| it.time);
    let ends = |it: &Step| matches!(it.event.as_str(), "answered" | "rejected" | "cancelled");
    let outcome = steps.iter().rev().find(|it| ends(it) && is_of(it, id)).cloned();
    let cause = match &outcome {
        Some(it) if !is_failure(it) => None,
        _ => {
            let earlier = steps.iter().rev().find(|it| is_failure(it) && !ends(it));
            earlier.or(outcome.as_ref()).cloned()
        }
    };
    Explanation { id: id.to_owned(), steps, outcome, cause, dropped, unreadable }
}

fn read(line: &str, vm: &str) -> Option<Step> {
    let Ok(Value::Object(mut fields)) = serde_json::from_str(line) else { return None };
    let time = fields.remove("time")?.as_u64()?;
    let event = fields.remove("event")?.as_str()?.to_owned();
    Some(Step { vm: vm.to_owned(), time, event, fields })
}

fn is_of(step: &Step, id: &str) -> bool {
    step.fields.get("id").and_then(Value::as_str) == Some(id)
}

/// Calls that a request makes carry its identifier with a suffix.
fn belongs(step: &Step, id: &str) -> bool {
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

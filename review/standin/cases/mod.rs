//! The cases.

mod hang;
mod interim;
mod leave;
mod memory;

use std::{io, time::Duration};

use self::memory::Disruption;
use crate::{
    Rule,
    caller::{HOST, Seen},
    endpoint::Endpoint,
    record::Record,
};

/// Runs the case `name`.
pub fn run(name: &str, trouble: bool, record: &Record) -> io::Result<Rule> {
    match name {
        "hang" => hang::run(trouble, record),
        "interim" => interim::run(trouble, record),
        "leave" => leave::run(trouble, record),
        "long-body" => memory::run(Disruption::LongBody, trouble, record),
        "endless-answers" => memory::run(Disruption::EndlessAnswers, trouble, record),
        _ => Err(io::Error::other("there is no such case")),
    }
}

/// A route of the configuration: prefix, kind, service and timeout in milliseconds.
type Route = (&'static str, &'static str, &'static str, u64);

/// Returns the operator's configuration, with the limits that the pages show.
fn configuration(routes: &[Route]) -> String {
    let routes: Vec<String> = routes
        .iter()
        .map(|(prefix, kind, service, timeout)| {
            let name = prefix.trim_matches('/');
            let goal = timeout * 2 / 5;
            format!(
                "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"prefix\":\"{prefix}\",\
                 \"kind\":\"{kind}\",\"timeout\":\"{timeout}ms\",\"latency_goal\":\"{goal}ms\",\
                 \"priority\":1,\"service\":\"{service}\",\"attempts\":2}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":\"00000007\",\"routes\":[{}],\"services\":[\
         {{\"name\":\"order-desk\",\"health_path\":\"/health\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"stock-svc\",\"health_path\":\"/health\",\"max_conns\":110,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":67108864,\
         \"header_timeout\":\"3000ms\",\"idle_timeout\":\"15000ms\"}},\
         \"base_version\":\"00000005\"}}",
        routes.join(",")
    )
}

/// Greatest share of its answers that an endpoint spoils, as one in so many: `garble` in the site file.
const SPOILT_ONE_IN: usize = 20;

/// Checks that an endpoint has spoilt no greater share of its answers than the pages name.
fn check_share(endpoint: &Endpoint, record: &Record) -> io::Result<()> {
    let (spoilt, runs) = endpoint.spoilt();
    record.note(&format!("{}: spoilt {spoilt} of {runs} answers", endpoint.id));
    if spoilt * SPOILT_ONE_IN > runs {
        return Err(io::Error::other("the endpoint spoilt too many answers"));
    }
    Ok(())
}

/// Time after the timeout at which the rule looks for an answer.
const SLACK: Duration = Duration::from_millis(500);
/// Fewest requests without an answer at their timeout that are judged.
const MIN_UNANSWERED: usize = 5;

/// Applies the rule CONFIG: of the requests that are still unanswered at the timeout of their route,
/// more than half have no answer half a second later.
///
/// `seen` holds what the callers saw and after what time.
fn judge_unanswered(seen: &[(Seen, Duration)], timeout: Duration, record: &Record) -> Rule {
    let answered = |it: &Seen| matches!(it, Seen::Answer(..));
    let late = seen.iter().filter(|it| it.1 >= timeout || !answered(&it.0));
    let late: Vec<_> = late.collect();
    let without = late.iter().filter(|it| it.1 >= timeout + SLACK || !answered(&it.0)).count();
    record.note(&format!(
        "{} requests; {} had no answer at the timeout, {without} of them had none half a second later",
        seen.len(),
        late.len(),
    ));
    let broken = late.len() >= MIN_UNANSWERED && without * 2 > late.len();
    if broken { Rule::Broken } else { Rule::Held }
}

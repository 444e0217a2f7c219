//! An endpoint sends, in the place of some answers, bytes that are none: a head with status 101, which
//! no caller asked for. The callers of these requests must still get an answer.

use std::{
    io,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Rule,
    caller::{Call, Seen, call},
    cases::{check_share, configuration, judge_unanswered},
    endpoint::Trouble,
    record::Record,
    site::Site,
};

/// Timeout of the route.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that callers wait, longer than the rule looks at.
const BUDGET: Duration = Duration::from_millis(2_500);
/// One answer in so many is spoilt, at one of the two endpoints of the service.
const ONE_IN: usize = 20;
/// Bytes that are no answer.
const BYTES: &str = "HTTP/1.1 101 Switching Protocols\r\n\r\n";
/// Time for which the endpoint spoils answers.
const TRAFFIC: Duration = Duration::from_secs(5);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(10);

pub fn run(trouble: bool, record: &Record) -> io::Result<Rule> {
    let mut site = Site::start(record, &["order-desk", "stock-svc", "stock-svc"], 9)?;
    let timeout_ms = TIMEOUT.as_millis() as u64;
    let routes = [("/stock/", "idempotent", "stock-svc", timeout_ms)];
    site.store.put("op", "config", &configuration(&routes));
    site.start_daemons()?;
    if trouble {
        site.machines[1].endpoint.spoil_one_in(ONE_IN, Trouble::Bytes(BYTES));
    }
    let to = site.machines[0].callers;
    let (sender, receiver) = mpsc::channel();
    let began = Instant::now();
    let mut sent = 0;
    thread::scope(|scope| {
        while began.elapsed() < TRAFFIC {
            sent += 1;
            let (path, id) = ("/stock/work-20/a".to_owned(), format!("stock-{sent}"));
            let request = Call { method: "GET", path, id, budget: BUDGET, body: Vec::new() };
            let sender = sender.clone();
            scope.spawn(move || {
                let began = Instant::now();
                let seen = call(to, &request, record);
                // The receiver lives until all callers have ended.
                let _ = sender.send((seen, began.elapsed()));
            });
            thread::sleep(INTERVAL);
        }
    });
    drop(sender);
    check_share(&site.machines[1].endpoint, record)?;
    let seen: Vec<(Seen, Duration)> = receiver.iter().collect();
    Ok(judge_unanswered(&seen, TIMEOUT, record))
}

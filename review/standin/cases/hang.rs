//! An endpoint sends bytes that are no answer, without end, in the place of one answer. The daemon
//! beside it must go on serving its callers from the sound endpoints.

use std::{
    io,
    sync::{
        atomic::{AtomicBool, Ordering::SeqCst},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Rule,
    caller::{Call, Seen, call},
    cases::{configuration, judge_unanswered},
    endpoint::Trouble,
    record::Record,
    site::{Machine, Site},
};

/// Timeout of the routes, and time that callers wait.
const TIMEOUT_MS: u64 = 1_000;
/// Time between two requests to the sound endpoints.
const INTERVAL: Duration = Duration::from_millis(50);
/// Interval of the platform's questions whether a daemon is ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);
/// Longest time for which callers send.
const TRAFFIC: Duration = Duration::from_secs(8);

pub fn run(trouble: bool, record: &Record) -> io::Result<Rule> {
    let mut site = Site::start(record, &["order-desk", "stock-svc", "stock-svc"], 9)?;
    let routes = [
        ("/desk/", "idempotent", "order-desk", TIMEOUT_MS),
        ("/stock/", "idempotent", "stock-svc", TIMEOUT_MS),
    ];
    site.store.put("op", "config", &configuration(&routes));
    site.start_daemons()?;
    let machine = &site.machines[0];
    if trouble {
        machine.endpoint.set_trouble(Trouble::EndlessHead("HTTP/1.1 100 Continue\r\n\r\n"));
    }
    // The only request that meets the endpoint in trouble.
    let first = get("/desk/work-20/a", "desk-1");
    let (to, noted) = (machine.callers, record.clone());
    let met = thread::spawn(move || call(to, &first, &noted));
    thread::sleep(Duration::from_millis(100));
    let seen = send_traffic(&site, record);
    met.join().ok();
    Ok(judge_unanswered(&seen, Duration::from_millis(TIMEOUT_MS), record))
}

fn get(path: &str, id: &str) -> Call {
    let budget = Duration::from_millis(TIMEOUT_MS);
    Call { method: "GET", path: path.to_owned(), id: id.to_owned(), budget, body: Vec::new() }
}

/// Sends requests to the sound endpoints from the first machine, until the platform has taken it out.
///
/// Returns for each what its caller saw, and after what time.
fn send_traffic(site: &Site, record: &Record) -> Vec<(Seen, Duration)> {
    let machine = &site.machines[0];
    let (sender, receiver) = mpsc::channel();
    let began = Instant::now();
    let out = AtomicBool::new(false);
    let mut sent = 0;
    thread::scope(|scope| {
        scope.spawn(|| watch_readiness(machine, began, &out, record));
        while began.elapsed() < TRAFFIC && !out.load(SeqCst) {
            sent += 1;
            let request = get("/stock/work-20/a", &format!("stock-{sent}"));
            let (sender, to, record) = (sender.clone(), machine.callers, record.clone());
            scope.spawn(move || {
                let began = Instant::now();
                let seen = call(to, &request, &record);
                // The receiver lives until all callers have ended.
                let _ = sender.send((seen, began.elapsed()));
            });
            thread::sleep(INTERVAL);
        }
    });
    drop(sender);
    receiver.iter().collect()
}

/// Asks once a second whether the daemon is ready, as the platform does. After two misses in a row the
/// machine gets no new callers.
fn watch_readiness(machine: &Machine, began: Instant, out: &AtomicBool, record: &Record) {
    let mut misses = 0;
    while began.elapsed() < TRAFFIC && misses < 2 {
        let asked = Instant::now();
        misses = if machine.is_ready() { 0 } else { misses + 1 };
        record.note(&format!("platform: {misses} misses in a row"));
        thread::sleep(READY_INTERVAL.saturating_sub(asked.elapsed()));
    }
    out.store(misses >= 2, SeqCst);
}

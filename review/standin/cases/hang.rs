//! An endpoint sends bytes that are no answer, without end, in the place of one answer. The daemon
//! beside it must go on serving its callers from the sound endpoints.

use std::{
    io,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Rule,
    caller::{Call, Seen, call},
    cases::{check_share, configuration, judge_unanswered},
    endpoint::Trouble,
    record::Record,
    site::{Machine, Site},
};

/// Timeout of the routes.
const TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time that callers wait, longer than the rule looks at.
const BUDGET: Duration = Duration::from_millis(2_500);
/// Bytes that are no answer.
const BYTES: &str = "HTTP/1.1 100 Continue\r\n\r\n";
/// Time between two requests of each kind.
const INTERVAL: Duration = Duration::from_millis(50);
/// Time for which all answers are sound.
const SOUND_TIME: Duration = Duration::from_secs(2);
/// Time for which callers send afterwards.
const TRAFFIC: Duration = Duration::from_secs(3);
/// Interval of the platform's questions whether a daemon is ready.
const READY_INTERVAL: Duration = Duration::from_secs(1);

/// What callers saw, and after what time.
type Results = Mutex<Vec<(Seen, Duration)>>;

pub fn run(trouble: bool, record: &Record) -> io::Result<Rule> {
    let mut site = Site::start(record, &["order-desk", "stock-svc", "stock-svc"], 9)?;
    let timeout_ms = TIMEOUT.as_millis() as u64;
    // Callers give up an `idempotent` request early that isn't read, so that these are of the other kind.
    let routes = [
        ("/desk/", "non_idempotent", "order-desk", timeout_ms),
        ("/order/", "non_idempotent", "stock-svc", timeout_ms),
    ];
    site.store.put("op", "config", &configuration(&routes));
    site.start_daemons()?;
    let machine = &site.machines[0];
    let results = Results::default();
    let out = AtomicBool::new(false);
    let began = Instant::now();
    thread::scope(|scope| {
        scope.spawn(|| watch_readiness(machine, began, &out, record));
        scope.spawn(|| send("desk", "/desk/work-20/a", machine, began, &out, &results, record));
        scope.spawn(|| send("order", "/order/work-300/a", machine, began, &out, &results, record));
        thread::sleep(SOUND_TIME);
        if trouble {
            machine.endpoint.spoil_next(1, Trouble::EndlessHead(BYTES));
        }
    });
    check_share(&machine.endpoint, record)?;
    let seen = results.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(judge_unanswered(&seen, TIMEOUT, record))
}

/// Sends a request every `INTERVAL` from the first machine, until the platform has taken it out.
fn send(
    name: &str,
    path: &str,
    machine: &Machine,
    began: Instant,
    out: &AtomicBool,
    results: &Results,
    record: &Record,
) {
    let mut sent = 0;
    thread::scope(|scope| {
        while began.elapsed() < SOUND_TIME + TRAFFIC && !out.load(SeqCst) {
            sent += 1;
            let (path, id) = (path.to_owned(), format!("{name}-{sent}"));
            let body = b"order".to_vec();
            let request = Call { method: "POST", path, id, budget: BUDGET, body };
            scope.spawn(move || {
                let began = Instant::now();
                let seen = call(machine.callers, &request, record);
                let mut results = results.lock().unwrap_or_else(PoisonError::into_inner);
                results.push((seen, began.elapsed()));
            });
            thread::sleep(INTERVAL);
        }
    });
}

/// Asks once a second whether the daemon is ready, as the platform does. After two misses in a row the
/// machine gets no new callers.
fn watch_readiness(machine: &Machine, began: Instant, out: &AtomicBool, record: &Record) {
    let mut misses = 0;
    while began.elapsed() < SOUND_TIME + TRAFFIC && misses < 2 {
        let asked = Instant::now();
        misses = if machine.is_ready() { 0 } else { misses + 1 };
        record.note(&format!("platform: {misses} misses in a row"));
        thread::sleep(READY_INTERVAL.saturating_sub(asked.elapsed()));
    }
    out.store(misses >= 2, SeqCst);
}

//! A daemon must stay within the memory of its machine. The stand-in for the platform kills one that
//! does not, and its callers' requests to sound endpoints are then lost.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Rule,
    caller::{Call, Seen, call, call_on},
    cases::{check_share, configuration},
    endpoint::Trouble,
    http::Connection,
    record::Record,
    site::{Machine, SIGKILL, Site},
};

/// `limits.memory_mb` of the machines.
const MEMORY_MB: f64 = 110.0;
/// Slots of an endpoint.
const SLOTS: usize = 9;
/// Timeout of the routes, and time that callers wait.
const TIMEOUT_MS: u64 = 1_000;
/// Time for which the endpoint in trouble answers soundly before, and the time between two requests
/// for it: nine spoilt answers are less than one in twenty then.
const SOUND_TIME: Duration = Duration::from_secs(3);
const SOUND_INTERVAL: Duration = Duration::from_millis(12);
/// Number of callers of the first machine that keep their connections.
const CALLERS: usize = 8;
/// Size of the long body; the configuration allows 67,108,864 bytes. It takes the link of 1,000 Mbit/s
/// for less than half a second.
const BODY_BYTES: usize = 58 * 1024 * 1024;
/// Time for which callers send after the disruption began.
const TRAFFIC: Duration = Duration::from_secs(3);
/// Number of lost requests that the rule allows.
const MAX_LOST: usize = 3;

/// What disturbs the first machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disruption {
    /// A caller sends a body that the limits of the configuration allow.
    LongBody,
    /// The endpoint beside it sends bodies without end.
    EndlessAnswers,
}

pub fn run(disruption: Disruption, trouble: bool, record: &Record) -> io::Result<Rule> {
    let mut site = Site::start(record, &["order-desk", "stock-svc", "stock-svc"], SLOTS)?;
    let routes = [
        ("/desk/", "idempotent", "order-desk", TIMEOUT_MS),
        ("/stock/", "idempotent", "stock-svc", TIMEOUT_MS),
        ("/order/", "non_idempotent", "stock-svc", TIMEOUT_MS),
    ];
    site.store.put("op", "config", &configuration(&routes));
    site.start_daemons()?;
    let ended = AtomicBool::new(false);
    let lost = Mutex::new(Vec::new());
    let machine = &site.machines[0];
    thread::scope(|scope| {
        send_to_first_endpoint(site.machines[1].callers, record);
        for caller in 0..CALLERS {
            let (to, ended, lost) = (machine.callers, &ended, &lost);
            scope.spawn(move || send_on_kept_connection(to, caller, ended, lost, record));
        }
        scope.spawn(|| watch_memory(machine, &ended, record));
        thread::sleep(Duration::from_secs(1));
        if trouble {
            disturb(disruption, machine, record);
        }
        thread::sleep(TRAFFIC);
        ended.store(true, SeqCst);
    });
    check_share(&machine.endpoint, record)?;
    let lost = lost.into_inner().unwrap_or_else(PoisonError::into_inner);
    Ok(judge(&site, &lost, record))
}

fn get(path: &str, id: String) -> Call {
    let budget = Duration::from_millis(TIMEOUT_MS);
    Call { method: "GET", path: path.to_owned(), id, budget, body: Vec::new() }
}

/// Sends requests for the endpoint beside the first daemon from another machine.
fn send_to_first_endpoint(to: SocketAddr, record: &Record) {
    let (began, mut sent) = (Instant::now(), 0);
    thread::scope(|scope| {
        while began.elapsed() < SOUND_TIME {
            sent += 1;
            let request = get("/desk/work-5/a", format!("sound-{sent}"));
            scope.spawn(move || call(to, &request, record));
            thread::sleep(SOUND_INTERVAL);
        }
    });
}

fn disturb(disruption: Disruption, machine: &Machine, record: &Record) {
    let to = machine.callers;
    match disruption {
        Disruption::LongBody => {
            let body = vec![b'x'; BODY_BYTES];
            let request = Call { method: "POST", body, ..get("/order/work-20/a", "long-1".into()) };
            let record = record.clone();
            thread::spawn(move || call(to, &request, &record));
        }
        Disruption::EndlessAnswers => {
            machine.endpoint.spoil_next(SLOTS, Trouble::EndlessBody);
            for caller in 0..SLOTS {
                let request = get("/desk/work-20/a", format!("desk-{caller}"));
                let record = record.clone();
                thread::spawn(move || call(to, &request, &record));
            }
        }
    }
}

/// Sends one request after the other on one connection, and notes each whose connection ended without
/// an answer.
fn send_on_kept_connection(
    to: SocketAddr,
    caller: usize,
    ended: &AtomicBool,
    lost: &Mutex<Vec<String>>,
    record: &Record,
) {
    let Ok(mut connection) = Connection::open(to) else { return };
    let mut sent = 0;
    while !ended.load(SeqCst) {
        sent += 1;
        let request = get("/stock/work-300/a", format!("stock-{caller}-{sent}"));
        match call_on(&mut connection, &request, record) {
            // The daemon has said that it closes the connection.
            Seen::Answer(..) if connection.closing => return,
            Seen::Answer(..) => {}
            Seen::Closed(_) => {
                lost.lock().unwrap_or_else(PoisonError::into_inner).push(request.id);
                return;
            }
            _ => return,
        }
    }
}

/// Kills the daemon once it exceeds the memory of the machine, as the platform does.
fn watch_memory(machine: &Machine, ended: &AtomicBool, record: &Record) {
    let mut peak: f64 = 0.0;
    while !ended.load(SeqCst) {
        peak = machine.memory_mb().map_or(peak, |it| peak.max(it));
        if peak > MEMORY_MB {
            record
                .note(&format!("platform: {} exceeds {MEMORY_MB} MB: {peak:.0} MB", machine.name));
            machine.signal(SIGKILL);
            return;
        }
        thread::sleep(Duration::from_millis(1));
    }
    record.note(&format!("platform: {} had {peak:.0} MB at most", machine.name));
}

/// Applies the rule: requests from kept connections that were passed on to a sound endpoint, and whose
/// connection was closed without an answer.
fn judge(site: &Site, lost: &[String], record: &Record) -> Rule {
    let sound = &site.machines[1..];
    let passed_on = |id: &String| sound.iter().any(|it| it.endpoint.has_run(id));
    let count = lost.iter().filter(|it| passed_on(it)).count();
    record
        .note(&format!("{count} requests that sound endpoints ran were closed without an answer"));
    if count > MAX_LOST { Rule::Broken } else { Rule::Held }
}

//! An endpoint leaves while the store is down, and the daemon beside it acknowledges this. The daemon is
//! killed and starts again, and a check-in from before the leave arrives late. The acknowledgement must
//! still bind.

use std::{
    io,
    net::SocketAddr,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Rule,
    caller::{Call, call},
    cases::configuration,
    endpoint::End,
    record::Record,
    site::{SIGKILL, Site},
};

/// Timeout of the route, and time that callers wait.
const TIMEOUT_MS: u64 = 1_000;
/// `drain`: time after the acknowledgement from which no request may reach the endpoint.
const DRAIN: Duration = Duration::from_millis(2_000);
/// `contact`: time after its start from which a machine is in touch.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time from the acknowledgement to the kill.
const KILL_PAUSE: Duration = Duration::from_millis(100);
/// Pause before a killed process is started again.
const RESTART_PAUSE: Duration = Duration::from_millis(500);
/// Time for which the store is down, and how long before the leave that begins.
const OUTAGE: Duration = Duration::from_millis(4_500);
const OUTAGE_LEAD: Duration = Duration::from_millis(500);
/// Time for which the late check-in was on its way.
const LATENESS: Duration = Duration::from_millis(2_500);
/// Time for which the endpoint serves on after its leave.
const SERVES_ON: Duration = Duration::from_secs(10);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

pub fn run(trouble: bool, record: &Record) -> io::Result<Rule> {
    let mut site = Site::start(record, &["order-desk", "stock-svc", "stock-svc"], 9)?;
    let routes = [("/order/", "non_idempotent", "stock-svc", TIMEOUT_MS)];
    site.store.put("op", "config", &configuration(&routes));
    site.start_daemons()?;
    let callers = site.machines[0].callers;
    send_for(Duration::from_secs(1), callers, "before", record);

    let (endpoint, control) = (site.machines[1].endpoint.clone(), site.machines[1].control);
    let outage = Instant::now();
    if trouble {
        record.note("store: down");
        site.store.set_down(true);
    }
    thread::sleep(OUTAGE_LEAD);
    endpoint.stop_heartbeats();
    let late = endpoint.check_in("ready");
    let (late_sent, status) = (Instant::now(), endpoint.call(control, &endpoint.leave()));
    let acknowledged = Instant::now();
    record.note(&format!("{}: has {status:?} to its leave", endpoint.id));
    if status != Some(200) {
        return Err(io::Error::other("the leave was not acknowledged"));
    }
    if trouble {
        thread::sleep(KILL_PAUSE);
        site.machines[1].end_daemon(SIGKILL);
        thread::sleep(RESTART_PAUSE);
        site.machines[1].start_daemon()?;
    }
    let started = Instant::now();
    thread::sleep(LATENESS.saturating_sub(late_sent.elapsed()));
    let status = endpoint.call(control, &late);
    record.note(&format!("{}: has {status:?} to its late check-in", endpoint.id));

    thread::sleep(OUTAGE.saturating_sub(outage.elapsed()));
    site.store.set_down(false);
    record.note("store: up");
    let in_touch = (started.max(outage + OUTAGE) + CONTACT).max(acknowledged + DRAIN);
    thread::sleep(in_touch.saturating_duration_since(Instant::now()));
    let judged = Instant::now();
    let left = (acknowledged + SERVES_ON).saturating_duration_since(judged);
    thread::scope(|scope| {
        scope.spawn(|| {
            thread::sleep(left);
            endpoint.exit();
        });
        send_for(left + Duration::from_millis(200), callers, "after", record);
    });
    let dropped = endpoint.runs().iter().filter(|it| it.end == End::Dropped).count();
    let reached = endpoint.runs().iter().filter(|it| it.began >= judged).count();
    record.note(&format!(
        "{reached} requests reached the endpoint that left, {} ms or more after the \
         acknowledgement; its exit ended {dropped} of them",
        judged.duration_since(acknowledged).as_millis(),
    ));
    Ok(if reached > 0 { Rule::Broken } else { Rule::Held })
}

/// Sends a request every `INTERVAL`, each on a new connection.
fn send_for(time: Duration, to: SocketAddr, name: &str, record: &Record) {
    let began = Instant::now();
    let mut sent = 0;
    thread::scope(|scope| {
        while began.elapsed() < time {
            sent += 1;
            let budget = Duration::from_millis(TIMEOUT_MS);
            let (path, id) = ("/order/work-200/a".to_owned(), format!("{name}-{sent}"));
            let request = Call { method: "POST", path, id, budget, body: b"order".to_vec() };
            scope.spawn(move || call(to, &request, record));
            thread::sleep(INTERVAL);
        }
    });
}

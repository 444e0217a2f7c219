//! An endpoint leaves while the store is down, and the daemon beside it acknowledges this. The daemon is
//! killed and starts again, and a check-in from before the leave arrives late. The acknowledgement must
//! still bind.

use std::{
    io,
    net::SocketAddr,
    sync::atomic::{AtomicBool, Ordering::SeqCst},
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
/// Time from the acknowledgement to the next start of the killed process.
const RESTART_PAUSE: Duration = Duration::from_millis(600);
/// Time for which the store is down, and how long before the leave that begins.
const OUTAGE: Duration = Duration::from_millis(1_000);
const OUTAGE_LEAD: Duration = Duration::from_millis(500);
/// Time that is added to `contact`, so that the machines are in touch beyond doubt.
const MARGIN: Duration = Duration::from_millis(200);
/// Time for which the endpoint serves on after the late check-in.
const SERVES_ON: Duration = Duration::from_millis(500);
/// Time between two requests.
const INTERVAL: Duration = Duration::from_millis(50);

pub fn run(trouble: bool, record: &Record) -> io::Result<Rule> {
    let mut site = Site::start(record, &["order-desk", "stock-svc", "stock-svc"], 9)?;
    let routes = [("/order/", "non_idempotent", "stock-svc", TIMEOUT_MS)];
    site.store.put("op", "config", &configuration(&routes));
    site.start_daemons()?;
    let (callers, endpoint) = (site.machines[0].callers, site.machines[1].endpoint.clone());
    let ended = AtomicBool::new(false);
    let judged = thread::scope(|scope| {
        scope.spawn(|| send(callers, &ended, record));
        thread::sleep(Duration::from_secs(1));
        let judged = leave(&mut site, trouble, record);
        thread::sleep(SERVES_ON);
        endpoint.exit();
        ended.store(true, SeqCst);
        judged
    });
    let (acknowledged, judged) = judged?;
    // The runs that the exit ends are recorded within moments.
    thread::sleep(MARGIN);
    let reached = endpoint.runs().into_iter().filter(|it| it.began >= judged);
    let reached: Vec<_> = reached.collect();
    let dropped = reached.iter().filter(|it| it.end == End::Dropped).count();
    record.note(&format!(
        "{} requests reached the endpoint that left, {} ms or more after the acknowledgement; its \
         exit ended {dropped} of them",
        reached.len(),
        judged.duration_since(acknowledged).as_millis(),
    ));
    Ok(if reached.is_empty() { Rule::Held } else { Rule::Broken })
}

/// Lets the second endpoint leave, up to the arrival of its late check-in.
///
/// Returns when the leave was acknowledged, and since when all machines are in touch and `drain` is over.
fn leave(site: &mut Site, trouble: bool, record: &Record) -> io::Result<(Instant, Instant)> {
    let (endpoint, control) = (site.machines[1].endpoint.clone(), site.machines[1].control);
    if trouble {
        record.note("store: down");
        site.store.set_down(true);
    }
    let outage = Instant::now();
    thread::sleep(OUTAGE_LEAD);
    let late = endpoint.check_in("ready");
    endpoint.begin_leave();
    let status = endpoint.call(control, &endpoint.leave());
    let acknowledged = Instant::now();
    record.note(&format!("{}: has {status:?} to its leave", endpoint.id));
    if status != Some(200) {
        return Err(io::Error::other("the leave was not acknowledged"));
    }
    if trouble {
        thread::sleep(KILL_PAUSE);
        site.machines[1].end_daemon(SIGKILL);
    }
    thread::sleep(OUTAGE.saturating_sub(outage.elapsed()));
    site.store.set_down(false);
    record.note("store: up");
    if trouble {
        thread::sleep(RESTART_PAUSE.saturating_sub(acknowledged.elapsed()));
        site.machines[1].start_daemon()?;
    }
    let in_touch = Instant::now() + CONTACT + MARGIN;
    let judged = in_touch.max(acknowledged + DRAIN);
    thread::sleep(judged.saturating_duration_since(Instant::now()));
    let ms = acknowledged.elapsed().as_millis();
    let status = endpoint.call(control, &late);
    record.note(&format!("{}: has {status:?} to its check-in that is {ms} ms late", endpoint.id));
    Ok((acknowledged, judged))
}

/// Sends a request every `INTERVAL`, each on a new connection.
fn send(to: SocketAddr, ended: &AtomicBool, record: &Record) {
    let mut sent = 0;
    thread::scope(|scope| {
        while !ended.load(SeqCst) {
            sent += 1;
            let budget = Duration::from_millis(TIMEOUT_MS);
            let (path, id) = ("/order/work-300/a".to_owned(), format!("order-{sent}"));
            let request = Call { method: "POST", path, id, budget, body: b"order".to_vec() };
            scope.spawn(move || call(to, &request, record));
            thread::sleep(INTERVAL);
        }
    });
}

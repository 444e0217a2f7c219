//! A leave that was acknowledged while the store was away is forgotten when all daemons are killed.

#[path = "../stand-2/lib.rs"]
mod stand;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
};

use stand::*;

/// Bound of the rule, as in the settings of the site.
const DRAIN_MS: u64 = 2_000;
/// Time after which machines are in touch.
const CONTACT_MS: u64 = 3_000;

const CONFIG: &str = r#"{"version":"00000007","routes":[{"name":"r-pay","host":"shop.example","prefix":"/pay/","kind":"non_idempotent","timeout":"1500ms","latency_goal":"800ms","priority":1,"service":"desk","attempts":2}],"services":[{"name":"desk","health_path":"/health","max_conns":130,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

fn main() {
    run_case(run);
}

fn run() -> i32 {
    let (record, folder, store) = (Record::new(), Folder::new(), Store::start());
    store.put("op", "config", CONFIG);
    let servers: Vec<Arc<Server>> =
        ["a", "b", "c", "d", "e"].iter().map(|it| Server::start(&record, it, "desk", 12, 290)).collect();
    let mut daemons: Vec<Daemon> =
        servers.iter().map(|it| Daemon::start(&record, &folder, &store, it)).collect();
    daemons.iter().for_each(Daemon::wait_ready);
    for (server, daemon) in servers.iter().zip(&daemons) {
        server.start_beats(daemon.heartbeats);
    }
    sleep(5_000);

    // Eight clients at each of the machines beside b to e, with a payment each at a time.
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = daemons[1..]
        .iter()
        .flat_map(|it| (0..8).map(|_| (it.callers, it.name.clone())))
        .map(|(callers, name)| {
            let (record, stop) = (record.clone(), Arc::clone(&stop));
            thread::spawn(move || {
                let mut all = Vec::new();
                while !stop.load(SeqCst) {
                    all.push(request_at(&record, callers, &name, "POST", "/pay/1", 3_000, "a=1"));
                    sleep(20);
                }
                all
            })
        })
        .collect();
    sleep(2_000);
    let before = servers[0].arrivals().iter().filter(|it| it.run).count();
    if before == 0 {
        broken("server a gets no requests before it leaves");
    }

    // The store is away for some 2 s.
    if !calm() {
        store.set_mode(StoreMode::Busy);
        record.say("the store answers 503");
    }
    sleep(300);

    // Server a leaves with DELETE alone, and serves on. It says so in its answers, too. Its last
    // check-in is on the way.
    let leaving = &servers[0];
    leaving.stop_beats();
    sleep(100);
    let late = leaving.next_sequence();
    leaving.set_extra(&[("Server-Leaving", "1")]);
    let mut status = 0;
    let mut acked = 0;
    for _ in 0..5 {
        status = leaving.leave(daemons[0].heartbeats);
        acked = record.now();
        if status == 200 {
            break;
        }
        sleep(500);
    }
    if status != 200 {
        broken("the leave is not acknowledged");
    }
    record.say("the leave of server a is acknowledged");
    sleep(300);

    // All daemons are killed at the same moment and start again.
    if !calm() {
        daemons.iter_mut().for_each(Daemon::kill);
        sleep(500);
        daemons.iter_mut().for_each(Daemon::run);
    } else {
        sleep(500);
    }
    sleep(600);
    store.set_mode(StoreMode::Up);
    let up = record.now();
    record.say("the store is back");

    // The check-in arrives when all machines are in touch.
    sleep(CONTACT_MS + 300);
    let answer = leaving.check_in(daemons[0].heartbeats, "ready", late);
    record.say(&format!("check-in {late} of server a arrives late: {answer}"));
    sleep(450);
    leaving.exit();
    sleep(1_000);
    stop.store(true, SeqCst);
    let outcomes: Vec<Outcome> =
        clients.into_iter().flat_map(|it| it.join().unwrap_or_default()).collect();

    // Requests that were sent while all machines were in touch, and reached server a after `drain`.
    let from = (up + CONTACT_MS).max(acked + DRAIN_MS);
    let sent: Vec<&Outcome> = outcomes.iter().filter(|it| it.at >= from).collect();
    let served = sent.iter().filter(|it| it.status == 200).count();
    let arrivals = leaving.arrivals();
    let reached = |it: &&&Outcome| arrivals.iter().any(|other| other.run && other.id == it.id);
    let late = sent.iter().filter(reached).count();
    let lost = sent.iter().filter(reached).filter(|it| it.status != 200).count();
    record.say(&format!(
        "requests sent from {from} ms on: {}, served: {served}, at the server that had left: \
         {late}, of these ended by its exit: {lost}",
        sent.len()
    ));
    if served * 2 < sent.len() || sent.is_empty() {
        broken("the fleet does not serve again");
    }
    i32::from(late > 0)
}

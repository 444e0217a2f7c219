//! A check-in of another writer displaces the server beside a daemon for good.

#[path = "../stand-2/lib.rs"]
mod stand;

use std::sync::Arc;

use stand::*;

/// Bound of the rule, as in the settings of the site.
const RECOVERY_MS: u64 = 15_000;

const CONFIG: &str = r#"{"version":"00000007","routes":[{"name":"r-look","host":"shop.example","prefix":"/look/","kind":"idempotent","timeout":"1200ms","latency_goal":"600ms","priority":2,"service":"desk","attempts":2}],"services":[{"name":"desk","health_path":"/health","max_conns":130,"protocol":"h1","tls":false},{"name":"book","health_path":"/health","max_conns":130,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

fn main() {
    run_case(run);
}

fn run() -> i32 {
    let (record, folder, store) = (Record::new(), Folder::new(), Store::start());
    store.put("op", "config", CONFIG);
    let servers: Vec<Arc<Server>> = [("a", "desk"), ("b", "desk"), ("c", "book")]
        .iter()
        .map(|(name, service)| Server::start(&record, name, service, 12, 60))
        .collect();
    let mut daemons: Vec<Daemon> =
        servers.iter().map(|it| Daemon::start(&record, &folder, &store, it)).collect();
    daemons.iter().for_each(Daemon::wait_ready);
    for (server, daemon) in servers.iter().zip(&daemons) {
        server.start_beats(daemon.heartbeats);
    }
    sleep(4_000);
    let before = send(&record, &daemons, 40);
    record.say(&format!("served before the final fault: {before} of 40"));
    if before < 30 {
        broken("the fleet does not serve before the final fault");
    }

    // The final fault: all processes are killed right after a configuration is acknowledged, and
    // start again.
    store.put("op", "config", &CONFIG.replace("00000007", "00000008"));
    record.say("a configuration is acknowledged");
    daemons.iter_mut().for_each(Daemon::kill);
    sleep(1_000);
    daemons.iter_mut().for_each(Daemon::run);
    daemons.iter().for_each(Daemon::wait_ready);
    let back = record.now();
    sleep(3_000);

    // One check-in of another writer at each machine of the service.
    if !calm() {
        for daemon in &daemons[..2] {
            let body = format!(
                "{{\"service\":\"elsewhere\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\",\
                 \"version\":\"v1\",\"capacity\":9,\"state\":\"ready\",\"warmup_left\":\"0ms\",\
                 \"sequence\":1,\"born\":{}}}",
                unix_ms()
            );
            let status = put_instance(daemon.heartbeats, "i-elsewhere", &body);
            record.say(&format!("{} answers {status} to the check-in of another writer", daemon.name));
        }
    }
    let wait = (back + RECOVERY_MS + 500).saturating_sub(record.now());
    sleep(wait);
    let after = send(&record, &daemons, 100);
    record.say(&format!("served later than `recovery` after the return: {after} of 100"));
    i32::from(after * 4 < 100)
}

/// Sends requests one after the other at all machines in turn. Returns the number of those served.
fn send(record: &Record, daemons: &[Daemon], count: usize) -> usize {
    let mut served = 0;
    for number in 0..count {
        let to = &daemons[number % daemons.len()];
        let outcome = request(record, to, "GET", "/look/1", 1_200, "");
        served += usize::from(outcome.status == 200 && outcome.signed);
        sleep(30);
    }
    served
}

//! A daemon in the process of the test.

use std::{
    fs,
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use async_std::task::block_on;
use shallottack_standins::site::{SiteServer, SiteStore};

/// Time in which the daemon has to serve requests.
pub const WITHIN: Duration = Duration::from_secs(8);

/// Ports of a daemon.
pub struct Ports {
    pub callers: SocketAddr,
    pub peers: SocketAddr,
}

/// Starts the daemon of the VM `name` beside a backend server of `stock`, until it takes heartbeats.
pub fn start(name: &str, store: &SiteStore, server: &SiteServer) -> Ports {
    // Held together, so that the ports differ.
    let held = [(); 5].map(|()| TcpListener::bind(("127.0.0.1", 0)).unwrap());
    let [callers, peers, ready, heartbeats, metrics] = held.map(|it| it.local_addr().unwrap());
    let file = format!("shallottack-sidecar-{name}-{}.yaml", std::process::id());
    let settings = std::env::temp_dir().join(file);
    let text = format!(
        "vm: {name}\ndata_centre: a\nservice: stock\nbackend: \"{}\"\nlisten:\n  \
         callers: \"{callers}\"\n  peers: \"{peers}\"\n  ready: \"{ready}\"\n  \
         heartbeats: \"{heartbeats}\"\n  metrics: \"{metrics}\"\nstore: \"{}\"\n\
         heartbeat: 1500ms\nlink_mbps: 10\nstop:\n  grace: 6s\nretries:\n  ratio: 0.2\n  \
         extra: 60\n  window: 10s\n",
        server.address(),
        store.address(),
    );
    fs::write(&settings, text).unwrap();
    let path = settings.clone();
    thread::spawn(move || block_on(shallottack_sidecar::run(&path)).unwrap());
    await_that("the daemon takes heartbeats", WITHIN, || {
        server.heartbeat(heartbeats, "ready").is_ok_and(|it| it == 200)
    });
    fs::remove_file(settings).unwrap();
    Ports { callers, peers }
}

/// Waits until a condition holds.
pub fn await_that(what: &str, within: Duration, condition: impl Fn() -> bool) {
    let end = Instant::now() + within;
    while !condition() {
        assert!(Instant::now() < end, "not within {within:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

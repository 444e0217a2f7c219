//! Leaves that all daemons forget, since they are killed together while the store is away.

use super::*;

/// Time after the start of a daemon from which a first heartbeat may be a late one: two intervals.
const SILENCE: Duration = Duration::from_secs(3);

/// Kills all daemons, and starts them again beside the same backend servers, which send nothing yet.
fn restart_all(vms: &mut [Vm]) {
    vms.iter_mut().for_each(Vm::kill);
    let starts: Vec<usize> = vms.iter().map(|it| it.log().matches(STARTED).count()).collect();
    for vm in &mut *vms {
        vm.child = Vm::spawn(&vm.settings);
    }
    for (vm, starts) in vms.iter().zip(starts) {
        eventually("the daemon has started", || vm.log().matches(STARTED).count() > starts);
    }
}

/// Sends a heartbeat of a backend server to its daemon.
fn beat(vm: &Vm) {
    assert_eq!(vm.server.heartbeat(vm.heartbeats, "ready").unwrap(), 200);
}

/// Returns a store and the VMs of a fleet, that of the callers first.
fn vms(stock: &[&str]) -> (SiteStore, Vec<Vm>) {
    let (store, shop, stock) = fleet(stock);
    (store, std::iter::once(shop).chain(stock).collect())
}

/// Checks that callers are served, and not by the backend servers of `left`.
fn check_unused(shop: &Vm, left: &[&Vm], what: &str) {
    let runs = || -> Vec<usize> { left.iter().map(|it| it.server.runs().len()).collect() };
    let before = runs();
    eventually("a request is served", || shop.get("/count/1", "warm").status == 200);
    // Several at a time, so that one backend server alone is not enough.
    thread::scope(|scope| {
        for caller in 0..8 {
            scope.spawn(move || {
                for number in 0..10 {
                    shop.get("/count/1", &format!("c{caller}-{number}"));
                }
            });
        }
    });
    assert_eq!(runs(), before, "{what}: a server that has left gets requests");
}

/// How a backend server leaves; it then says so in its responses.
type Leave = fn(&Vm);

const LEAVES: [(&str, Leave); 4] = [
    ("notice", |it| {
        it.server.state_leaving();
        assert_eq!(it.server.leave(it.heartbeats).unwrap(), 200);
    }),
    ("draining", |it| {
        it.server.state_leaving();
        assert_eq!(it.server.heartbeat(it.heartbeats, "draining").unwrap(), 200);
    }),
    ("notice of an unknown start", |it| {
        it.server.state_leaving();
        let request = "DELETE /v1/instances/i-stock-1 HTTP/1.1\r\nhost: x\r\n\r\n";
        assert_eq!(exchange(it.heartbeats, request, 1).unwrap()[0].status, 200);
    }),
    ("response", |it| {
        it.server.state_leaving();
        let request = request("GET", "/count/1", "own");
        exchange(it.callers, &request, 1).unwrap();
    }),
];

/// Guards against a leave that is acknowledged while the store is away and forgotten when all daemons
/// are killed, once or twice: the last heartbeat before it arrives late.
#[test]
fn acknowledged_leave_is_forgotten_by_all_daemons() {
    for (name, leave) in LEAVES {
        for kills in 1..=2 {
            let (store, mut vms) = vms(&["stock-1", "stock-2"]);
            store.set_down(true);
            leave(&vms[1]);
            (0..kills).for_each(|_| restart_all(&mut vms));
            store.set_down(false);
            beat(&vms[2]);
            beat(&vms[1]);
            check_unused(&vms[0], &[&vms[1]], name);
            // Also the daemon itself keeps to what it has learned.
            beat(&vms[1]);
            check_unused(&vms[0], &[&vms[1]], name);
        }
    }
}

/// Guards against leaves of several backend servers at once that are forgotten with all daemons.
#[test]
fn leaves_of_many_servers_are_forgotten_by_all_daemons() {
    let (store, mut vms) = vms(&["stock-1", "stock-2", "stock-3", "stock-4"]);
    store.set_down(true);
    for vm in &vms[1..4] {
        vm.server.state_leaving();
        assert_eq!(vm.server.leave(vm.heartbeats).unwrap(), 200);
    }
    restart_all(&mut vms);
    store.set_down(false);
    vms[1..].iter().for_each(beat);
    check_unused(&vms[0], &[&vms[1], &vms[2], &vms[3]], "three of four");
}

/// Guards against a leave that the store has lost, since it came back from an older copy, and that all
/// daemons forget.
#[test]
fn leave_that_the_store_has_lost_is_forgotten_by_all_daemons() {
    let (store, mut vms) = vms(&["stock-1", "stock-2"]);
    let copy = store.copy();
    vms[1].server.state_leaving();
    assert_eq!(vms[1].server.leave(vms[1].heartbeats).unwrap(), 200);
    vms.iter_mut().for_each(Vm::kill);
    store.restore(&copy);
    restart_all(&mut vms);
    beat(&vms[2]);
    beat(&vms[1]);
    check_unused(&vms[0], &[&vms[1]], "older copy");
}

/// Guards against a late heartbeat of a server that does not say in its responses that it is leaving:
/// it comes alone, and long after the daemons have started.
#[test]
fn lone_late_heartbeat_brings_back_a_server() {
    let (store, mut vms) = vms(&["stock-1", "stock-2"]);
    store.set_down(true);
    assert_eq!(vms[1].server.leave(vms[1].heartbeats).unwrap(), 200);
    restart_all(&mut vms);
    let started = Instant::now();
    store.set_down(false);
    beat(&vms[2]);
    eventually("the daemons have waited", || started.elapsed() > SILENCE);
    beat(&vms[1]);
    check_unused(&vms[0], &[&vms[1]], "late");
}

/// Guards against sound servers that are kept out after a restart of all daemons: each is used with its
/// first heartbeat.
#[test]
fn sound_server_is_kept_out_after_a_restart() {
    let (_store, mut vms) = vms(&["stock-1", "stock-2"]);
    restart_all(&mut vms);
    let began = Instant::now();
    vms[1..].iter().for_each(beat);
    for vm in &vms[1..] {
        eventually("the server is used", || {
            vms[0].get("/count/1", "c1");
            vm.server.runs().len() > 1
        });
    }
    assert!(began.elapsed() < Duration::from_millis(1_500), "{:?}", began.elapsed());
}

//! Leaves that a daemon acknowledges shortly before it is killed.

use super::*;

/// Time after the acknowledgement from which no request may reach the backend server.
const DRAIN: Duration = Duration::from_secs(2);

/// How a backend server states that it leaves.
type Leave = fn(&Vm) -> std::io::Result<u16>;

const LEAVES: [(&str, Leave); 2] = [
    ("notice", |it| it.server.leave(it.heartbeats)),
    ("draining", |it| it.server.heartbeat(it.heartbeats, "draining")),
];

/// Guards against a leave that is acknowledged while the store is down and forgotten when the daemon
/// is killed: a heartbeat from before it arrives late.
#[test]
fn acknowledged_leave_is_forgotten_by_a_restarted_daemon() {
    for (name, leave) in LEAVES {
        let (store, shop, mut stock) = fleet(&["stock-1", "stock-2"]);
        store.set_down(true);
        let acknowledged = Instant::now();
        assert_eq!(leave(&stock[1]).unwrap(), 200, "{name}");
        // Also the daemon that the callers use knows only what others tell it.
        stock[1].restart();
        store.set_down(false);
        eventually("the time of the drain is over", || acknowledged.elapsed() > DRAIN);
        let late = stock[1].server.heartbeat(stock[1].heartbeats, "ready");
        assert_eq!(late.unwrap(), 200, "{name}");
        let before = stock[1].server.runs().len();
        for number in 0..40 {
            let answer = shop.get("/count/1", &format!("c{number}"));
            assert_eq!(answer.status, 200, "{name}");
        }
        assert_eq!(stock[1].server.runs().len(), before, "{name}");
    }
}

/// Guards against leaves that only the daemons of a data centre that is cut off could have held, and
/// against leaves of many servers at once. One of the daemons that hold them is killed as well.
#[test]
fn leaves_are_forgotten_with_those_who_held_them() {
    let (store, shop, mut stock) = fleet(&["stock-1", "stock-2", "stock-3", "stock-4"]);
    store.set_down(true);
    let acknowledged = Instant::now();
    for vm in &stock[1..] {
        assert_eq!(vm.server.leave(vm.heartbeats).unwrap(), 200);
    }
    // All restart at the same time, so that they can't tell each other.
    stock[1..].iter_mut().for_each(Vm::kill);
    stock[1..].iter_mut().for_each(Vm::restart);
    store.set_down(false);
    eventually("the time of the drain is over", || acknowledged.elapsed() > DRAIN);
    for vm in &stock[1..] {
        vm.server.heartbeat(vm.heartbeats, "ready").unwrap();
    }
    let runs = || -> usize { stock[1..].iter().map(|it| it.server.runs().len()).sum() };
    let before = runs();
    for number in 0..40 {
        assert_eq!(shop.get("/count/1", &format!("c{number}")).status, 200);
    }
    assert_eq!(runs(), before);
}

/// Guards against an acknowledgement that nobody could keep: neither the store nor another daemon is
/// there.
#[test]
fn leave_that_nobody_holds_is_acknowledged() {
    let (store, mut shop, stock) = fleet(&["stock-1"]);
    shop.kill();
    store.set_down(true);
    assert_eq!(stock[0].server.leave(stock[0].heartbeats).unwrap(), 503);
    store.set_down(false);
    eventually("the store holds the leave", || {
        stock[0].server.leave(stock[0].heartbeats).unwrap() == 200
    });
}

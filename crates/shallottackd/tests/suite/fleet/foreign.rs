//! Heartbeats and leave notices of processes that are not the backend server.

use super::*;

/// Time within which a backend server that sends heartbeats is used again, whatever another process has
/// sent: three heartbeat intervals.
const WRONG_BELIEF: Duration = Duration::from_millis(4_500);

/// Sends a heartbeat with any body for a server; returns the status of the answer.
fn send(vm: &Vm, method: &str, server: &str, body: &str) -> u16 {
    let length = body.len();
    let request = format!(
        "{method} /v1/instances/{server} HTTP/1.1\r\nhost: x\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    exchange(vm.heartbeats, &request, 1).unwrap()[0].status
}

fn unix_ms() -> u64 {
    std::time::UNIX_EPOCH.elapsed().unwrap().as_millis() as u64
}

/// Returns a heartbeat in which one field has another value, or is missing.
fn altered(service: &str, field: &str, value: serde_json::Value) -> String {
    let mut body = json!({"service": service, "address": "127.0.0.1:9", "zone": "a", "version": "v1",
        "capacity": 9, "state": "ready", "warmup_left": "0ms", "sequence": 1, "born": unix_ms()});
    if value.is_null() {
        body.as_object_mut().unwrap().remove(field);
    } else {
        body[field] = value;
    }
    body.to_string()
}

/// Returns a store with a configuration that names `book` besides `stock`, and a VM of each of `shop`
/// and `stock`.
fn named_services() -> (SiteStore, Vm, Vm) {
    let (store, shop, mut stock) = fleet(&["stock-1"]);
    let mut config = configuration("00000002", &["/count/", "/order/", "/late/"]);
    config["services"] = json!([{"name": "stock"}, {"name": "book"}]);
    store.put("op", "config", &config);
    eventually("the configuration is in force", || shop.get("/late/1", "l1").status == 200);
    (store, shop, stock.remove(0))
}

/// Guards against a heartbeat that another process sends, which replaces the backend server on the VM
/// for good: for a service that is not named, or with a field that no backend server states.
#[test]
fn heartbeat_of_another_writer_displaces_the_server() {
    let (_store, shop, stock) = named_services();
    let own = "i-stock-1";
    let future = 4_102_444_800_000_u64;
    let refused = [
        ("i-elsewhere", altered("elsewhere", "born", json!(unix_ms()))),
        (own, altered("elsewhere", "born", json!(future))),
        (own, altered("elsewhere", "state", json!("draining"))),
        (own, altered("elsewhere", "born", json!(null))),
        (own, altered("stock", "service", json!(null))),
        (own, altered("stock", "service", json!(7))),
        (own, altered("stock", "state", json!("elsewhere"))),
        (own, altered("stock", "capacity", json!(0))),
        (own, altered("stock", "capacity", json!(u64::MAX))),
        (own, altered("stock", "sequence", json!("1"))),
        (own, altered("stock", "born", json!(-1))),
        (own, altered("stock", "born", json!(1.5))),
        (own, "{\"service\":".to_owned()),
        (own, "\u{1}\u{2}".to_owned()),
    ];
    for (id, body) in &refused {
        assert_eq!(send(&stock, "PUT", id, body), 400, "{body}");
    }
    let dropped = [
        ("i-elsewhere", altered("stock", "born", json!(unix_ms()))),
        ("i-elsewhere", altered("stock", "born", json!(future))),
        ("i-elsewhere", altered("stock", "born", json!(null))),
        ("i-elsewhere", altered("book", "born", json!(unix_ms()))),
        (own, altered("book", "born", json!(future))),
    ];
    for (number, (id, body)) in dropped.iter().enumerate() {
        assert_eq!(send(&stock, "PUT", id, body), 200, "{body}");
        for request in 0..20 {
            let answer = shop.get("/count/1", &format!("c{number}-{request}"));
            assert_eq!(answer.status, 200, "{body}");
        }
    }
    assert!(stock.log().contains("neither the settings nor the configuration name the service"));
}

/// Guards against a start in the far future, which no later start exceeds: the server that goes on
/// sending heartbeats is used all the while, and its heartbeats count again after some of them.
#[test]
fn start_in_the_future_locks_out_the_server() {
    let (_store, shop, mut stock) = fleet(&["stock-1"]);
    let stock = stock.remove(0);
    let body = altered("stock", "born", json!(4_102_444_800_000_u64));
    assert_eq!(send(&stock, "PUT", "i-stock-1", &body), 200);
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < WRONG_BELIEF {
        assert_eq!(stock.server.heartbeat(stock.heartbeats, "ready").unwrap(), 200);
        let next = Instant::now() + Duration::from_millis(1_500);
        while Instant::now() < next {
            number += 1;
            assert_eq!(shop.get("/count/1", &format!("c{number}")).status, 200);
            thread::sleep(Duration::from_millis(20));
        }
    }
    // A change that the server states shows that its heartbeats count.
    stock.server.set_slots(3);
    assert_eq!(stock.server.heartbeat(stock.heartbeats, "ready").unwrap(), 200);
    eventually("the server's heartbeats count", || {
        stock
            .log()
            .lines()
            .any(|it| it.contains("\"event\":\"server\"") && it.contains("\"slots\":3"))
    });
}

/// Guards against a leave of an incarnation with an earlier start, which is acknowledged and dropped:
/// the time of day was ahead when the server started before.
#[test]
fn leave_after_a_clock_that_jumped_back_is_acknowledged_and_dropped() {
    type Leave = fn(&Vm, u64) -> u16;
    let drain: Leave = |vm, born| {
        let mut body: serde_json::Value =
            serde_json::from_str(&altered("stock", "born", json!(born))).unwrap();
        (body["state"], body["sequence"]) = (json!("draining"), json!(9));
        send(vm, "PUT", "i-stock-1", &body.to_string())
    };
    let leaves: [(&str, Leave); 3] = [
        ("draining", drain),
        ("notice", |vm, born| {
            send(vm, "DELETE", "i-stock-1", &json!({ "born": born }).to_string())
        }),
        ("notice without a start", |vm, _| send(vm, "DELETE", "i-stock-1", "")),
    ];
    for (name, leave) in leaves {
        let (_store, shop, stock) = fleet(&["stock-1"]);
        let stock = &stock[0];
        let second = unix_ms();
        for born in [second + 2_000, second] {
            let body = altered("stock", "born", json!(born));
            assert_eq!(send(stock, "PUT", "i-stock-1", &body), 200, "{name}");
        }
        assert_eq!(leave(stock, second), 200, "{name}");
        eventually("requests have stopped", || shop.get("/count/1", "c1").status == 503);
        // The last heartbeat before the leave arrives late.
        send(stock, "PUT", "i-stock-1", &altered("stock", "born", json!(second)));
        let before = stock.server.runs().len();
        for number in 0..40 {
            let answer = shop.get("/count/1", &format!("l{number}"));
            assert_eq!(answer.status, 503, "{name}");
        }
        assert_eq!(stock.server.runs().len(), before, "{name}");
    }
}

/// Guards against one leave notice of another process that replaces the one of the server on the VM.
#[test]
fn foreign_leave_notice_hides_that_of_the_server() {
    let (store, shop, mut stock) = fleet(&["stock-1", "stock-2"]);
    store.set_down(true);
    stock[0].kill();
    let starts = stock[0].log().matches(STARTED).count();
    stock[0].child = Vm::spawn(&stock[0].settings);
    eventually("the daemon has started", || stock[0].log().matches(STARTED).count() > starts);
    // The notices come before any heartbeat.
    eventually("the leave is acknowledged", || {
        stock[0].server.leave(stock[0].heartbeats).is_ok_and(|it| it == 200)
    });
    assert_eq!(send(&stock[0], "DELETE", "i-elsewhere", ""), 200);
    assert_eq!(send(&stock[0], "DELETE", "i-stock-1", "{\"born\":"), 400);
    store.set_down(false);
    let runs = stock[0].server.runs().len();
    assert_eq!(stock[0].server.heartbeat(stock[0].heartbeats, "ready").unwrap(), 200);
    for number in 0..40 {
        assert_eq!(shop.get("/count/1", &format!("c{number}")).status, 200);
    }
    assert_eq!(stock[0].server.runs().len(), runs);
}

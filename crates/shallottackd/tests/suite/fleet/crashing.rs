//! Requests that crash the backend servers that run them.

use std::time::{Duration, Instant};

use shallottack_standins::site::{Received, SiteStore};

use super::{Vm, eventually, fleet, request};

/// Time for which a machine has to be undisturbed before the platform's bounds hold for it.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Time for which a crashed server is down.
const DOWN: Duration = Duration::from_millis(400);
const DEADLY: &str = "/count/deadly";

/// Fleet whose servers crash when they begin to run a request for [`DEADLY`].
fn crashing_fleet() -> (SiteStore, Vm, Vec<Vm>) {
    let (store, shop, stock) = fleet(&["stock-1", "stock-2", "stock-3"]);
    for vm in &stock {
        vm.server.crash_at(DEADLY, DOWN);
    }
    for number in 0..60 {
        let path = format!("/count/{number}");
        eventually("a request is served", || shop.get(&path, &format!("w{number}")).status == 200);
    }
    (store, shop, stock)
}

fn crashes(stock: &[Vm]) -> u64 {
    stock.iter().map(|it| it.server.crashes()).sum()
}

fn heartbeats(stock: &[Vm]) {
    for vm in stock {
        let status = vm.server.heartbeat(vm.heartbeats, "ready");
        assert!(status.is_ok_and(|it| it == 200));
    }
}

/// Waits until the platform's bounds hold for machines that were disturbed.
fn settle(stock: &[Vm]) {
    let began = Instant::now();
    eventually("the machines are undisturbed for a while", || {
        heartbeats(stock);
        began.elapsed() > CONTACT
    });
}

fn is_blocked(answer: &Received) -> bool {
    answer.header("shallottack-error") == Some("blocked")
}

/// Sends the request and sound ones for a time.
fn press(shop: &Vm, stock: &[Vm], time: Duration) -> Received {
    let end = Instant::now() + time;
    let mut answer = Received::default();
    let mut number = 0;
    while Instant::now() < end {
        answer = shop.get(DEADLY, &format!("d{number}"));
        heartbeats(stock);
        shop.get(&format!("/count/{number}"), &format!("s{number}"));
        number += 1;
    }
    answer
}

/// Guards against one request that crashes server after server.
#[test]
fn one_request_crashes_server_after_server() {
    let (_store, shop, stock) = crashing_fleet();
    let began = Instant::now();
    while crashes(&stock) < 3 {
        assert!(began.elapsed() < Duration::from_secs(8), "{} crashes", crashes(&stock));
        press(&shop, &stock, Duration::from_millis(50));
    }
    press(&shop, &stock, CONTACT);
    let before = crashes(&stock);
    let answer = press(&shop, &stock, CONTACT);
    let more = crashes(&stock) - before;
    assert!(more <= 3, "{more} more crashes after {before}");
    assert!(is_blocked(&answer) && answer.status == 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
    assert_eq!(shop.get("/count/sound", "s").status, 200);
    let order = request("POST", DEADLY, "o").replace(DEADLY, "/order/deadly");
    let answer = shallottack_standins::site::exchange(shop.callers, &order, 1).unwrap().remove(0);
    assert_eq!(answer.status, 200);
}

/// Guards against a request that crashes servers again after the daemons have started again, one or
/// all of them.
#[test]
fn request_crashes_servers_again_after_a_restart() {
    let (_store, mut shop, mut stock) = crashing_fleet();
    let blocked = |it: &Vm| it.metric("shallottack_blocked_requests") == 1;
    eventually("all daemons block the request", || {
        press(&shop, &stock, Duration::from_millis(50));
        blocked(&shop) && stock.iter().all(blocked)
    });
    press(&shop, &stock, CONTACT);
    let before = crashes(&stock);
    shop.restart();
    stock[0].restart();
    eventually("a request is served", || shop.get("/count/1", "r1").status == 200);
    settle(&stock);
    press(&shop, &stock, Duration::from_millis(500));
    assert_eq!(crashes(&stock), before, "after a restart of two daemons");
    shop.restart();
    stock.iter_mut().for_each(Vm::restart);
    eventually("a request is served", || shop.get("/count/1", "r2").status == 200);
    settle(&stock);
    press(&shop, &stock, Duration::from_millis(500));
    assert_eq!(crashes(&stock), before, "after a restart of all daemons");
}

/// Guards against sound requests that are rejected since they ran while servers crashed for other
/// reasons.
#[test]
fn crashes_of_other_causes_block_sound_requests() {
    let (_store, shop, stock) = fleet(&["stock-1", "stock-2", "stock-3"]);
    let end = Instant::now() + Duration::from_secs(4);
    let mut number = 0;
    while Instant::now() < end {
        let trigger = format!("/count/trigger-{}", number / 40);
        for vm in &stock {
            vm.server.crash_at(&trigger, Duration::from_millis(200));
        }
        let crashes_now = number % 40 == 0;
        let path = if crashes_now { trigger } else { format!("/count/{}", number % 3) };
        let requests: String =
            (0..4).map(|it| request("GET", &path, &format!("{number}-{it}"))).collect();
        let answers = shallottack_standins::site::exchange(shop.callers, &requests, 4).unwrap();
        assert!(crashes_now || !answers.iter().any(is_blocked), "{path}");
        heartbeats(&stock);
        number += 1;
    }
    assert!(crashes(&stock) >= 6, "{} crashes", crashes(&stock));
}

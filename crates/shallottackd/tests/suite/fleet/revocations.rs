//! Requests that are not answered, and whether they run.

use super::*;

/// Number of requests that go well.
const REQUESTS: usize = 30;
/// Time in which a daemon that runs on has handled what it received meanwhile.
const HANDLED: Duration = Duration::from_millis(700);

/// Guards against further messages for requests that are answered.
#[test]
fn answered_request_is_not_revoked() {
    let (_store, shop, stock) = fleet(&["stock-1", "stock-2"]);
    for number in 0..REQUESTS {
        assert_eq!(shop.get("/count/1", &format!("c{number}")).status, 200);
    }
    assert_eq!(shop.metric("shallottack_revocations_total"), 0);
    assert!(stock.iter().all(|it| it.metric("shallottack_revoked_total") == 0));
}

/// Guards against an order that runs after its caller was told that it failed: the daemon beside the
/// backend server stands still until after the deadline. That it did not run can't be known then.
#[test]
fn request_runs_after_its_deadline() {
    let (_store, shop, stock) = fleet(&["stock-1"]);
    let order = |id: &str| request("POST", "/order/1", id).replace("4000", "800");
    stock[0].stand_still();
    let answer = exchange(shop.callers, &order("stopped"), 1).unwrap().remove(0);
    assert_eq!(answer.status, 504);
    stock[0].signal(Signal::CONT);
    thread::sleep(HANDLED);
    let orders = stock[0].server.runs().iter().filter(|it| it.target == "/order/1").count();
    assert_eq!(orders, 0);
    eventually("orders are served again", || {
        let answers = exchange(shop.callers, &order("resumed"), 1);
        answers.is_ok_and(|it| it[0].status == 200)
    });
}

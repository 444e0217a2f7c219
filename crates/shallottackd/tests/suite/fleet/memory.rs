//! Memory of a daemon while its peers send more than it can hold.

use super::*;

/// Memory of the smallest VM in KiB, above which the platform ends the process.
const SMALLEST_MEMORY: u64 = 88_000_000 / 1_024;
/// Slots of the backend server, as many as the VMs of the platform have.
const SLOTS: u32 = 9;

/// Returns the largest memory of a daemon until all `threads` have ended, in KiB.
fn peak_until_end<T>(vm: &Vm, threads: &[thread::JoinHandle<T>]) -> u64 {
    let mut peak = 0;
    while threads.iter().any(|it| !it.is_finished()) {
        peak = peak.max(vm.anonymous_memory());
        thread::sleep(Duration::from_millis(1));
    }
    peak
}

/// Guards against responses without end that exceed the memory of the VM together, although each is
/// cut at its own limit.
#[test]
fn endless_answers_together_exceed_the_memory() {
    let (_store, shop, mut stock) = fleet(&["stock-1"]);
    let stock = stock.remove(0);
    stock.server.set_slots(SLOTS);
    stock.server.heartbeat(stock.heartbeats, "ready").unwrap();
    let forms = [
        "HTTP/1.1 200 OK\r\nresponse-signature: s\r\n\r\n",
        "HTTP/1.1 200 OK\r\nresponse-signature: s\r\ncontent-length: 16000000\r\n\r\n",
    ];
    for (round, start) in forms.into_iter().enumerate() {
        stock.server.answer(Answering::Endless(start, "aaaa"));
        let sent: Vec<_> = (0..SLOTS)
            .map(|number| {
                let (to, id) = (shop.callers, format!("endless-{round}-{number}"));
                thread::spawn(move || exchange(to, &request("POST", "/order/1", &id), 1))
            })
            .collect();
        let peak = peak_until_end(&stock, &sent);
        for answer in sent {
            assert!(answer.join().unwrap().is_ok(), "{start:?}: closed without an answer");
        }
        assert!(peak < SMALLEST_MEMORY, "{start:?}: {peak} KiB of {SMALLEST_MEMORY}");
        stock.server.answer(Answering::After(Duration::ZERO));
        eventually("a request is served", || shop.get("/count/1", "after").status == 200);
    }
}

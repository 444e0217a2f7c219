//! Memory of a daemon while its peers send more than it can hold.

use std::{
    io::{Read, Write},
    net::TcpStream,
};

use super::*;

/// Longest body that the configuration allows.
const BODY_BYTES: usize = 64 * 1024 * 1024;

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

/// Sends an order with a long body; returns the start of what comes back.
fn send_long(to: SocketAddr, id: &str, length: usize) -> std::io::Result<String> {
    let head = request("POST", "/order/1", id)
        .replace("deadline-ms: 4000", &format!("deadline-ms: 4000\r\ncontent-length: {length}"));
    let mut stream = TcpStream::connect(to)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut writer = stream.try_clone()?;
    let sender = thread::spawn(move || {
        let block = vec![b'x'; 64 * 1024];
        let mut sent = writer.write_all(head.as_bytes());
        for _ in 0..length / block.len() {
            sent = sent.and_then(|()| writer.write_all(&block));
        }
        // The daemon may answer and close the connection before it has read the whole body.
        sent.is_ok()
    });
    let mut bytes = [0; 64];
    let count = stream.read(&mut bytes)?;
    sender.join().unwrap();
    Ok(String::from_utf8_lossy(&bytes[..count]).into_owned())
}

/// Configuration with the largest limits.
fn long_bodies() -> serde_json::Value {
    let mut value = configuration("00000002", &["/count/", "/order/", "/long/"]);
    value["limits"]["max_body_bytes"] = json!(BODY_BYTES);
    value
}

/// Guards against a request body within the limits that takes a daemon over the memory of its VM,
/// since it is held more than once: in the parser, in the call and in the message to another daemon.
#[test]
fn long_body_is_held_more_than_once() {
    let (store, shop, stock) = fleet(&["stock-1"]);
    store.put("op", "config", &long_bodies());
    eventually("the limits are in force", || shop.get("/long/1", "l1").status == 200);
    let to = shop.callers;
    let sent = [thread::spawn(move || send_long(to, "long", BODY_BYTES))];
    let peaks = thread::scope(|scope| {
        let other = scope.spawn(|| peak_until_end(&stock[0], &sent));
        [peak_until_end(&shop, &sent), other.join().unwrap()]
    });
    let [sent] = sent;
    let answer = sent.join().unwrap().unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    println!("peaks with one long body: {peaks:?} KiB");
    assert!(peaks.iter().all(|it| *it < SMALLEST_MEMORY), "{peaks:?} KiB of {SMALLEST_MEMORY}");
}

/// Guards against several long bodies that fill the memory together, and against a refusal of one that
/// has run. Requests of other callers are served meanwhile.
#[test]
fn long_bodies_together_exceed_the_memory() {
    let (store, shop, stock) = fleet(&["stock-1"]);
    store.put("op", "config", &long_bodies());
    eventually("the limits are in force", || shop.get("/long/1", "l1").status == 200);
    let to = shop.callers;
    let sent: Vec<_> = (0..6)
        .map(|it| thread::spawn(move || send_long(to, &format!("long-{it}"), BODY_BYTES / 2)))
        .collect();
    let peak = peak_until_end(&shop, &sent);
    assert_eq!(shop.get("/count/1", "short").status, 200);
    for (number, answer) in sent.into_iter().enumerate() {
        // A refused caller may lose the answer, since the daemon closes while it still sends.
        let answer = answer.join().unwrap().unwrap_or_default();
        let ran = stock[0].server.runs();
        let ran = ran.iter().any(|it| it.header("request-id") == Some(&format!("long-{number}")));
        let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 429");
        assert!(refused || answer.starts_with("HTTP/1.1 200"), "{answer}");
        assert!(!(refused && ran), "long-{number} ran and was refused");
    }
    println!("peak with six long bodies: {peak} KiB");
    assert!(peak < SMALLEST_MEMORY, "{peak} KiB of {SMALLEST_MEMORY}");
}

//! Peers that always have bytes ready, while others wait for the daemon.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, atomic::AtomicBool},
};

use super::*;

/// Time for which a peer sends.
const SENDING: Duration = Duration::from_secs(2);
/// Longest time in which the daemon answers others meanwhile; a request that is late by more has no
/// answer half a second after its timeout.
const MAX_STALL: Duration = Duration::from_millis(500);
/// Bytes that are sent at once.
const BLOCK_BYTES: usize = 64 * 1024;

/// Returns the longest time in which the platform's question was answered until `ended`.
fn longest_stall(vm: &Vm, mut ended: impl FnMut() -> bool) -> Duration {
    let mut longest = Duration::ZERO;
    while !ended() {
        let asked = Instant::now();
        assert!(vm.is_ready(), "no answer after {longest:?} at most");
        longest = longest.max(asked.elapsed());
        thread::sleep(Duration::from_millis(2));
    }
    longest
}

/// Guards against interim responses without end that hold the only thread of the daemon: requests of
/// others have no answer, and the request is not ended at its deadline.
#[test]
fn interim_responses_without_end_stop_the_daemon() {
    let (_store, shop, stock) = fleet(&["stock-1"]);
    let cases = [
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("", "HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"),
        ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\na\r\n"),
    ];
    for (case, (start, rest)) in cases.into_iter().enumerate() {
        let [id, other] = ["sound", "spoilt"].map(|it| format!("{it}-{case}"));
        stock[0].server.answer(Answering::After(Duration::from_millis(300)));
        let to = shop.callers;
        let order = request("POST", "/order/1", &id);
        let sound = thread::spawn(move || exchange(to, &order, 1));
        eventually("the sound request runs", || {
            stock[0].server.runs().iter().any(|it| it.header("request-id") == Some(id.as_str()))
        });
        stock[0].server.answer(Answering::Endless(start, rest));
        let sent = Instant::now();
        let order = request("POST", "/order/1", &other);
        let spoilt = thread::spawn(move || exchange(to, &order, 1));
        let stall = longest_stall(&stock[0], || sent.elapsed() > SENDING);
        println!("{rest:?}: longest stall {stall:?}");
        assert!(stall < MAX_STALL, "{rest:?}: {stall:?}");
        assert_eq!(sound.join().unwrap().unwrap()[0].status, 200, "{rest:?}");
        let answer = spoilt.join().unwrap().unwrap().remove(0);
        assert!(matches!(answer.status, 502 | 504), "{rest:?}: {}", answer.status);
        assert!(sent.elapsed() < Duration::from_millis(3_500), "{rest:?}: {:?}", sent.elapsed());
    }
}

/// Sends `rest` to `to` again and again behind `start`, and reads what comes back, until `ended`.
fn flood(to: SocketAddr, start: &[u8], rest: &[u8], ended: &Arc<AtomicBool>) {
    let mut stream = TcpStream::connect(to).unwrap();
    let mut reader = stream.try_clone().unwrap();
    thread::spawn(move || {
        let mut bytes = vec![0; BLOCK_BYTES];
        while reader.read(&mut bytes).is_ok_and(|it| it > 0) {}
    });
    let (start, rest) = (start.to_vec(), rest.repeat(BLOCK_BYTES / rest.len()));
    let ended = Arc::clone(ended);
    thread::spawn(move || {
        // The daemon may close the connection at any time.
        let mut sent = stream.write_all(&start);
        while sent.is_ok() && !ended.load(SeqCst) {
            sent = stream.write_all(&rest);
        }
    });
}

/// Guards against callers and other daemons whose bytes hold the only thread of the daemon.
#[test]
fn bytes_without_end_stop_the_daemon() {
    let (_store, shop, _stock) = fleet(&["stock-1"]);
    let chunked = b"POST /count/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: c\r\n\
        transfer-encoding: chunked\r\n\r\n";
    let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";
    let ping = b"\0\0\x08\x06\0\0\0\0\0........";
    let cases: [(&str, SocketAddr, &[u8], &[u8]); 5] = [
        ("requests", shop.callers, b"", b"GET /none HTTP/1.1\r\nhost: shop.example\r\n\r\n"),
        ("chunks", shop.callers, chunked, b"1\r\na\r\n"),
        ("bytes behind a refusal", shop.callers, b"junk\r\n\r\n", b"junk"),
        ("heartbeats", shop.heartbeats, b"", b"GET /none HTTP/1.1\r\nhost: a\r\n\r\n"),
        ("pings", shop.peers, preface, ping),
    ];
    for (name, to, start, rest) in cases {
        let (ended, began) = (Arc::new(AtomicBool::new(false)), Instant::now());
        (0..4).for_each(|_| flood(to, start, rest, &ended));
        let stall = longest_stall(&shop, || began.elapsed() > SENDING);
        ended.store(true, SeqCst);
        println!("{name}: longest stall {stall:?}");
        assert!(stall < MAX_STALL, "{name}: {stall:?}");
        assert_eq!(shop.get("/count/1", name).status, 200, "{name}");
    }
}

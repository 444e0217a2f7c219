//! Listener: limits, cancellation and graceful shutdown.

use std::time::{Duration, Instant};

use async_std::{
    channel::{self, Receiver, Sender},
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task,
};
use futures_lite::future;
use shallottack_http::{Limits, Serving, Stopped, serve};
use tide::http::Method;

use crate::peer::{TEST_TIMEOUT, get, pool, read_head, read_to_close, request};

/// Server with `/fast`, and with `/held`, which reports its start and waits for its release.
struct TestServer {
    serving: Serving,
    started: Receiver<()>,
    release: Sender<()>,
}

async fn start(limits: Limits) -> TestServer {
    let (start, started) = channel::unbounded();
    let (release, released) = channel::unbounded::<()>();
    let mut app = tide::new();
    app.at("/fast").all(|_| async { Ok("fast") });
    app.at("/held").all(move |_| {
        let (start, released) = (start.clone(), released.clone());
        async move {
            start.send(()).await.ok();
            released.recv().await.ok();
            Ok("held")
        }
    });
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    TestServer { serving: serve(listener, app, limits).unwrap(), started, release }
}

/// Waits until `condition` holds.
async fn eventually(condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < TEST_TIMEOUT, "the condition did not become true");
        task::sleep(Duration::from_millis(1)).await;
    }
}

/// Connects to the server and writes `bytes`.
async fn raw(server: &TestServer, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(server.serving.address()).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

/// Guards against delayed acknowledgements: if head and body of a response are written separately
/// and without TCP_NODELAY, each call waits about 40 ms.
#[test]
fn sequential_calls_do_not_wait_for_acknowledgements() {
    task::block_on(async {
        let server = start(Limits::default()).await;
        let (pool, address) = (pool(), server.serving.address());
        let began = Instant::now();
        for _ in 0..50 {
            let answer = pool.send(address, get(address, "/fast"), TEST_TIMEOUT).await.unwrap();
            assert_eq!(answer.body, b"fast");
        }
        assert!(began.elapsed() < Duration::from_secs(1), "{:?}", began.elapsed());
        let (traffic, counts) = (server.serving.traffic(), pool.counts());
        assert_eq!((traffic.accepted, traffic.requests), (1, 50));
        assert_eq!(traffic.bytes_in, counts.bytes_out);
        // The client may read a response before the server has counted its bytes.
        eventually(|| server.serving.traffic().bytes_out == counts.bytes_in).await;
    });
}

/// A client over the connection limit must be told that its request was not run.
#[test]
fn a_connection_over_the_limit_is_refused_as_not_run() {
    task::block_on(async {
        let server = start(Limits { connections: 1, ..Limits::default() }).await;
        let address = server.serving.address();
        let _first = raw(&server, b"").await;
        eventually(|| server.serving.traffic().open == 1).await;
        let answer = pool().send(address, get(address, "/fast"), TEST_TIMEOUT).await.unwrap();
        assert_eq!(u16::from(answer.status()), 503);
        assert_eq!(answer.header("shallottack-run"), Some("no"));
        assert_eq!(server.serving.traffic().refused, 1);
        assert_eq!(server.serving.traffic().requests, 0);
    });
}

/// Connections that wait for their refusal must not use up the connection limit.
#[test]
fn refused_connections_do_not_count_against_the_limit() {
    task::block_on(async {
        let server = start(Limits { connections: 1, ..Limits::default() }).await;
        let address = server.serving.address();
        let first = raw(&server, b"").await;
        eventually(|| server.serving.traffic().open == 1).await;
        let _refused = raw(&server, b"").await;
        eventually(|| server.serving.traffic().refused == 1).await;
        drop(first);
        eventually(|| server.serving.traffic().open == 1).await;
        let answer = pool().send(address, get(address, "/fast"), TEST_TIMEOUT).await.unwrap();
        assert_eq!(answer.body, b"fast");
    });
}

/// Slow clients must not keep their connections indefinitely.
#[test]
fn slow_heads_and_bodies_are_cut_off() {
    task::block_on(async {
        let short = Duration::from_millis(50);
        let server = start(Limits { head: short, transfer: short, ..Limits::default() }).await;
        let mut head = raw(&server, b"GET /fast HTTP/1.1\r\nhost: a\r\n").await;
        let body = b"POST /fast HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab";
        let mut body = raw(&server, body).await;
        assert_eq!(read_to_close(&mut head).await, "");
        assert_eq!(read_to_close(&mut body).await, "");
        assert_eq!(server.serving.traffic().rejected, 2);
        assert_eq!(server.serving.traffic().requests, 0);
    });
}

/// A request with a truncated body must not run.
#[test]
fn a_truncated_request_does_not_run() {
    task::block_on(async {
        let server = start(Limits::default()).await;
        let request = b"POST /fast HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab";
        let mut stream = raw(&server, request).await;
        stream.shutdown(std::net::Shutdown::Write).unwrap();
        assert_eq!(read_to_close(&mut stream).await, "");
        assert_eq!(server.serving.traffic().requests, 0);
    });
}

/// Guards against a pipelined request that async-h1 reads along with the previous one and discards:
/// it must not be left unanswered on an open connection.
#[test]
fn a_pipelined_request_is_not_run_and_the_connection_closes() {
    task::block_on(async {
        let server = start(Limits::default()).await;
        let one = "POST /fast HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab";
        let mut stream = raw(&server, one.repeat(2).as_bytes()).await;
        let answers = read_to_close(&mut stream).await;
        assert!(answers.contains("connection: close") && answers.ends_with("fast"), "{answers}");
        assert_eq!(answers.matches("HTTP/1.1 200").count(), 1);
        assert_eq!(server.serving.traffic().requests, 1);
    });
}

#[test]
fn malformed_and_oversized_requests_get_their_status() {
    task::block_on(async {
        let server = start(Limits { body_bytes: 100, ..Limits::default() }).await;
        let address = server.serving.address();
        let mut post = request(Method::Post, address, "/fast");
        post.set_body(vec![0; 101]);
        let answer = pool().send(address, post, TEST_TIMEOUT).await.unwrap();
        assert_eq!(u16::from(answer.status()), 413);
        let long = format!("GET / HTTP/1.1\r\nhost: a\r\nx: {}\r\n\r\n", "x".repeat(9000));
        for (bytes, status) in [(long.as_str(), 431), ("GET / HTTP/0.9\r\nhost: a\r\n\r\n", 400)] {
            let mut stream = raw(&server, bytes.as_bytes()).await;
            let head = read_head(&mut stream).await;
            assert!(head.starts_with(&format!("HTTP/1.1 {status} ")), "{head}");
            assert!(head.contains("shallottack-run: no"), "{head}");
        }
    });
}

/// Work for a client that has disconnected must end.
#[test]
fn closing_the_connection_cancels_the_request() {
    task::block_on(async {
        let server = start(Limits::default()).await;
        let stream = raw(&server, b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n").await;
        server.started.recv().await.unwrap();
        drop(stream);
        eventually(|| server.serving.traffic().cancelled == 1).await;
        eventually(|| server.serving.traffic().open == 0).await;
    });
}

/// A stop must neither interrupt a request in flight nor wait for idle connections.
#[test]
fn a_graceful_stop_finishes_requests_and_closes_idle_connections() {
    task::block_on(async {
        let server = start(Limits::default()).await;
        let (pool, address) = (pool(), server.serving.address());
        pool.preconnect(address, 3).await.unwrap();
        let call = pool.send(address, get(address, "/held"), TEST_TIMEOUT);
        let stop = async {
            server.started.recv().await.unwrap();
            let stopping = server.serving.stop(TEST_TIMEOUT);
            let check = async {
                // The listener is closed before the request in flight is released.
                let closed = async || TcpStream::connect(address).await.is_err();
                while !closed().await {
                    task::sleep(Duration::from_millis(1)).await;
                }
                server.release.send(()).await.unwrap();
            };
            future::zip(stopping, check).await.0
        };
        let (answer, stopped) = future::zip(call, stop).await;
        let answer = answer.unwrap();
        assert_eq!(answer.body, b"held");
        assert_eq!(answer.header("connection"), Some("close"));
        assert_eq!(stopped, Stopped { aborted: 0 });
    });
}

/// A request that never completes must not delay a stop beyond its time limit.
#[test]
fn a_stop_ends_at_its_limit() {
    task::block_on(async {
        let server = start(Limits::default()).await;
        let mut stream = raw(&server, b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n").await;
        server.started.recv().await.unwrap();
        assert_eq!(server.serving.stop(Duration::from_millis(50)).await, Stopped { aborted: 1 });
        assert_eq!(read_to_close(&mut stream).await, "");
    });
}

/// Requests that arrive on a pooled connection as the stop begins are still served.
#[test]
fn a_stop_serves_requests_within_the_linger_time() {
    task::block_on(async {
        let server = start(Limits { linger: Duration::from_secs(1), ..Limits::default() }).await;
        let (pool, address) = (pool(), server.serving.address());
        pool.send(address, get(address, "/fast"), TEST_TIMEOUT).await.unwrap();
        let late = async {
            while TcpStream::connect(address).await.is_ok() {
                task::sleep(Duration::from_millis(1)).await;
            }
            pool.send(address, get(address, "/fast"), TEST_TIMEOUT).await.unwrap()
        };
        let (answer, stopped) = future::zip(late, server.serving.stop(TEST_TIMEOUT)).await;
        assert_eq!(answer.body, b"fast");
        assert_eq!(pool.counts().opened, 1);
        assert_eq!(stopped, Stopped { aborted: 0 });
    });
}

//! Client: complete responses and connection reuse.

use std::time::{Duration, Instant};

use async_std::{io::WriteExt, task};
use futures_lite::future;
use shallottack_http::{Error, Pool, PoolSettings};
use tide::http::Method;

use crate::peer::{RawServer, TEST_TIMEOUT, get, pool, read_head, read_to_close, request};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Sends one request to a peer that writes `response` and closes.
fn exchange_once(response: &'static str) -> Result<Vec<u8>, Error> {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let sent = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let answering = async { drop(server.answer_one(response).await) };
        future::zip(sent, answering).await.0.map(|answer| answer.body)
    })
}

fn assert_invalid(response: &'static str) {
    let error = exchange_once(response).unwrap_err();
    assert!(matches!(error, Error::InvalidResponse(_)), "{response:?} gave {error:?}");
    assert!(error.may_have_reached());
}

#[test]
fn truncated_or_unframed_responses_are_invalid() {
    // async-h1's client accepts the first three as complete.
    assert_invalid("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf");
    assert_invalid("HTTP/1.1 200 OK\r\n\r\nuntil close");
    assert_invalid("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n");
    assert_invalid("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhal");
    assert_invalid("HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 3\r\n\r\nok");
    assert_invalid("HTTP/1.1 200 OK\r\ncontent-len");
    assert_invalid("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    assert_invalid("");
}

#[test]
fn bytes_after_the_response_are_invalid() {
    assert_invalid("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok and more");
    assert_invalid("HTTP/1.1 204 No Content\r\n\r\nmore");
    assert_invalid("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\nmore");
}

#[test]
fn oversized_bodies_are_rejected_with_and_without_a_length() {
    let long = "x".repeat(1001);
    for response in [
        format!("HTTP/1.1 200 OK\r\ncontent-length: 1001\r\n\r\n{long}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{long}\r\n0\r\n\r\n"),
    ] {
        let error = exchange_once(response.leak()).unwrap_err();
        assert_eq!(error, Error::TooLarge { limit: 1000 });
    }
}

/// Guards against a reader that is never woken: async-h1's decoder loses its wake-up inside the
/// trailers of a chunked body when the peer sends one byte per segment.
#[test]
fn responses_split_into_bytes_are_complete() {
    for response in
        [OK, "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"]
    {
        let body = task::block_on(async {
            let server = RawServer::bind().await;
            let address = server.address;
            // Spawned as a separate task, so that only arriving bytes wake it.
            let sent =
                task::spawn(
                    async move { pool().send(address, get(address, "/"), TEST_TIMEOUT).await },
                );
            let mut stream = server.accept().await;
            stream.set_nodelay(true).unwrap();
            read_head(&mut stream).await;
            for byte in response.bytes() {
                stream.write_all(&[byte]).await.unwrap();
                task::sleep(Duration::from_micros(500)).await;
            }
            let written = Instant::now();
            let body = sent.await.unwrap().body;
            assert!(written.elapsed() < TEST_TIMEOUT / 2, "woken only by the deadline");
            body
        });
        assert_eq!(body, b"ok");
    }
}

/// Guards against a late response that is taken for the response to the next request.
#[test]
fn a_late_response_is_not_given_to_the_next_request() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let first = pool.send(server.address, get(server.address, "/1"), Duration::from_millis(50));
        let (first, mut late) = future::zip(first, server.accept()).await;
        assert_eq!(first.unwrap_err(), Error::TimedOut { sent: true });
        read_head(&mut late).await;
        late.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate").await.ok();
        let second = pool.send(server.address, get(server.address, "/2"), TEST_TIMEOUT);
        let (second, _open) = future::zip(second, server.answer_one(OK)).await;
        assert_eq!(second.unwrap().body, b"ok");
        assert_eq!(pool.counts().opened, 2);
    });
}

/// Guards against an unsolicited response that is taken for the response to the next request.
#[test]
fn a_connection_with_unsolicited_bytes_is_not_used() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let sent = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let (_, mut stream) = future::zip(sent, server.answer_one(OK)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nfake").await.unwrap();
        let sent = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let (answer, _open) = future::zip(sent, server.answer_one(OK)).await;
        assert_eq!(answer.unwrap().body, b"ok");
    });
}

#[test]
fn only_a_complete_exchange_keeps_its_connection() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let answering = async {
            let mut stream = server.answer_one(OK).await;
            read_head(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nhalf").await.unwrap();
            stream
        };
        let sending = async {
            pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT).await.unwrap();
            assert_eq!(pool.idle_connections(server.address), 1);
            let short = Duration::from_millis(50);
            pool.send(server.address, get(server.address, "/"), short).await.unwrap_err();
            assert_eq!(pool.idle_connections(server.address), 0);
        };
        let (mut stream, ()) = future::zip(answering, sending).await;
        assert_eq!(read_to_close(&mut stream).await, "");
        assert_eq!(pool.counts().reused, 1);
    });
}

/// A pooled connection that closes after the request was written leaves the outcome unknown.
#[test]
fn a_pooled_connection_closed_after_the_request_is_stale() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let answering = async {
            let mut stream = server.answer_one(OK).await;
            read_head(&mut stream).await;
        };
        let sending = async {
            pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT).await.unwrap();
            pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT).await.unwrap_err()
        };
        let ((), error) = future::zip(answering, sending).await;
        assert!(matches!(error, Error::StaleConnection(_)), "{error:?}");
        assert!(error.may_have_reached());
    });
}

/// Guards against a request that fails because the server had closed an idle connection.
#[test]
fn a_connection_closed_while_idle_is_replaced() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        assert_eq!(pool.preconnect(server.address, 2).await, Ok(2));
        let streams = (server.accept().await, server.accept().await);
        drop(streams);
        let sent = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let (answer, _open) = future::zip(sent, server.answer_one(OK)).await;
        assert_eq!(answer.unwrap().body, b"ok");
        assert_eq!(pool.counts().reused, 0);
    });
}

#[test]
fn a_refused_connection_is_unreachable() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let address = server.address;
        drop(server);
        let error = pool().send(address, get(address, "/"), TEST_TIMEOUT).await.unwrap_err();
        assert!(matches!(error, Error::Unreachable(_)), "{error:?}");
        assert!(!error.may_have_reached());
    });
}

/// Requests over the connection limit wait. One that times out while waiting is reported as not
/// sent.
#[test]
fn a_request_that_waits_for_a_connection_is_not_sent() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = Pool::new(PoolSettings { connections: 1, ..PoolSettings::default() });
        let first = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let others = async {
            let mut stream = server.accept().await;
            read_head(&mut stream).await;
            let short = Duration::from_millis(20);
            let waiting = pool.send(server.address, get(server.address, "/"), short).await;
            stream.write_all(OK.as_bytes()).await.unwrap();
            waiting
        };
        let (first, second) = future::zip(first, others).await;
        assert_eq!(first.unwrap().body, b"ok");
        assert_eq!(second.unwrap_err(), Error::TimedOut { sent: false });
    });
}

/// A cancelled call must close its connection, so that the server can cancel the request.
#[test]
fn dropping_the_future_closes_the_connection() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let sent = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let accepted = async {
            let mut stream = server.accept().await;
            read_head(&mut stream).await;
            stream
        };
        let pending = async {
            sent.await.ok();
            unreachable!("the peer does not answer")
        };
        let mut stream = future::or(accepted, pending).await;
        assert_eq!(read_to_close(&mut stream).await, "");
        assert_eq!(pool.idle_connections(server.address), 0);
    });
}

#[test]
fn idle_connections_are_closed_after_the_idle_time() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let idle = Duration::from_millis(40);
        let pool = Pool::new(PoolSettings { idle, ..PoolSettings::default() });
        pool.preconnect(server.address, 1).await.unwrap();
        let mut stream = server.accept().await;
        assert_eq!(read_to_close(&mut stream).await, "");
    });
}

/// async-h1 adds a `Date` with a line break to a response without one. If forwarded, it would end
/// the head early.
#[test]
fn a_missing_date_adds_no_line_break() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let sent = pool.send(server.address, get(server.address, "/"), TEST_TIMEOUT);
        let (answer, _open) = future::zip(sent, server.answer_one(OK)).await;
        assert_eq!(answer.unwrap().header("date"), None);
    });
}

/// A response to HEAD has no body, whatever its `Content-Length`.
#[test]
fn a_response_to_head_has_no_body() {
    task::block_on(async {
        let server = RawServer::bind().await;
        let pool = pool();
        let head = request(Method::Head, server.address, "/");
        let sent = pool.send(server.address, head, TEST_TIMEOUT);
        let response = "HTTP/1.1 200 OK\r\ncontent-length: 7\r\n\r\n";
        let (answer, _open) = future::zip(sent, server.answer_one(response)).await;
        assert_eq!(answer.unwrap().header("content-length"), Some("7"));
        assert_eq!(pool.idle_connections(server.address), 1);
    });
}

//! Pipelined requests: order, cancellation, framing and limits, by raw bytes.

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
    task,
};
use bytes::{Bytes, BytesMut};
use futures_lite::future;
use http::{Request, Response, StatusCode, request};
use proptest::prelude::*;
use shallottack_http::{
    Application, ConnectionLimits, ParseError, ParseProgress, Parser, SizeLimits, serve_pipelined,
};

use crate::peer::PATIENCE;

const SIZES: SizeLimits = SizeLimits { head: 512, body: 2_048 };

/// Application that answers `/MS` after that many milliseconds with its path.
#[derive(Default)]
struct Paths {
    running: AtomicUsize,
    most: AtomicUsize,
    ended: AtomicUsize,
}

struct Run<'a>(&'a Paths);

impl Drop for Run<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, SeqCst);
    }
}

impl Application for Paths {
    fn limits(&self) -> ConnectionLimits {
        let (head, idle) = (Duration::from_millis(300), Duration::from_millis(600));
        ConnectionLimits { sizes: SIZES, head, idle }
    }

    fn is_closing(&self) -> bool {
        false
    }

    fn allows_parallel(&self, head: &request::Parts) -> bool {
        head.method == http::Method::GET
    }

    async fn call(&self, request: Request<Bytes>) -> Response<Bytes> {
        let running = self.running.fetch_add(1, SeqCst) + 1;
        self.most.fetch_max(running, SeqCst);
        let _run = Run(self);
        let path = request.uri().path().to_owned();
        let wait = path.trim_start_matches('/').parse().unwrap_or(0);
        task::sleep(Duration::from_millis(wait)).await;
        self.ended.fetch_add(1, SeqCst);
        Response::new(Bytes::from([path.as_bytes(), request.body()].concat()))
    }

    fn malformed(&self, error: ParseError) -> Response<Bytes> {
        let mut response = Response::new(Bytes::new());
        *response.status_mut() = match error {
            ParseError::Syntax => StatusCode::BAD_REQUEST,
            ParseError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ParseError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        };
        response
    }
}

async fn open() -> (Arc<Paths>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let paths = Arc::new(Paths::default());
    let application = Arc::clone(&paths);
    task::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_pipelined(stream, &*application, future::pending()).await.ok();
    });
    (paths, TcpStream::connect(address).await.unwrap())
}

/// Writes `bytes` and returns the statuses and bodies of all that comes until the end.
async fn exchange(bytes: &[u8]) -> Vec<String> {
    let (_, mut stream) = open().await;
    stream.write_all(bytes).await.unwrap();
    let mut all = Vec::new();
    timeout(PATIENCE, stream.read_to_end(&mut all)).await.unwrap().unwrap();
    parts(&all)
}

fn parts(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let answers = text.split("HTTP/1.1 ").skip(1);
    answers
        .map(|it| format!("{} {}", &it[..3], it.split_once("\r\n\r\n").map_or("", |it| it.1)))
        .collect()
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Guards against answers in the order of their ends.
#[test]
fn answers_keep_the_order_of_requests() {
    let bytes = get("/200") + &get("/0") + &get("/100");
    let answers = task::block_on(exchange(bytes.as_bytes()));
    assert_eq!(answers, ["200 /200", "200 /0", "200 /100"]);
}

/// Guards against more requests of one connection than the daemon can hold.
#[test]
fn requests_ahead_are_bounded() {
    task::block_on(async {
        let (paths, mut stream) = open().await;
        stream.write_all(get("/150").repeat(40).as_bytes()).await.unwrap();
        let mut all = Vec::new();
        timeout(PATIENCE, stream.read_to_end(&mut all)).await.unwrap().unwrap();
        assert_eq!(parts(&all).len(), 40);
        assert_eq!(paths.most.load(SeqCst), 16);
    });
}

/// Guards against work for a caller that has gone.
#[test]
fn closed_connection_cancels_all_requests() {
    task::block_on(async {
        let (paths, mut stream) = open().await;
        stream.write_all(get("/5000").repeat(4).as_bytes()).await.unwrap();
        let began = Instant::now();
        while paths.running.load(SeqCst) < 4 {
            assert!(began.elapsed() < PATIENCE, "the requests do not start");
            task::yield_now().await;
        }
        drop(stream);
        while paths.running.load(SeqCst) > 0 {
            assert!(began.elapsed() < PATIENCE, "the requests are not cancelled");
            task::yield_now().await;
        }
        assert_eq!(paths.ended.load(SeqCst), 0);
    });
}

/// Guards against a request that is hidden in the body of another one, and against framing that
/// two readers could take differently.
#[test]
fn ambiguous_framing_is_rejected() {
    let cases = [
        ("both framings", "content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ("two lengths", "content-length: 5\r\ncontent-length: 6\r\n\r\nabcdef"),
        ("signed length", "content-length: +5\r\n\r\nabcde"),
        ("list of lengths", "content-length: 5, 5\r\n\r\nabcde"),
        ("other coding", "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        ("hidden coding", "transfer-encoding : chunked\r\n\r\n0\r\n\r\n"),
        ("long chunk", "transfer-encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n"),
        ("no chunk size", "transfer-encoding: chunked\r\n\r\nxyz\r\n\r\n"),
    ];
    for (name, rest) in cases {
        let bytes = format!("POST /0 HTTP/1.1\r\nhost: a\r\n{rest}{}", get("/hidden"));
        let answers = task::block_on(exchange(bytes.as_bytes()));
        let last = answers.last().map(String::as_str);
        assert_eq!(last, Some("400 "), "{name}: {answers:?}");
        assert!(!answers.iter().any(|it| it.contains("hidden")), "{name}: {answers:?}");
    }
}

/// Guards against bytes without end from a caller, each form of which has its own bound.
#[test]
fn endless_bytes_end_the_connection() {
    let chunked = "POST /0 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n";
    let cases = [
        ("short lines", "GET /0 HTTP/1.1\r\n".to_owned(), "a: b\r\n", "431 "),
        ("one header", "GET /0 HTTP/1.1\r\na: ".to_owned(), "bbbb", "431 "),
        ("request line", "GET /".to_owned(), "aaaa", "431 "),
        ("chunk extension", chunked.to_owned() + "1;", "aaaa", "400 "),
        ("trailers", chunked.to_owned() + "0\r\n", "a: b\r\n", "431 "),
        ("chunks", chunked.to_owned(), "4\r\naaaa\r\n", "413 "),
    ];
    for (name, start, rest, expected) in cases {
        let bytes = start + &rest.repeat(2_000);
        let answers = task::block_on(exchange(bytes.as_bytes()));
        assert_eq!(answers.last().map(String::as_str), Some(expected), "{name}");
    }
}

/// Guards against a connection that is held by a head that never ends or by nothing at all.
#[test]
fn silent_callers_are_let_go() {
    for bytes in ["GET /0 HT", ""] {
        let began = Instant::now();
        let answers = task::block_on(exchange(bytes.as_bytes()));
        assert!(answers.is_empty(), "{answers:?}");
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

proptest! {
    /// Guards against framing that depends on where the bytes are cut.
    #[test]
    fn cuts_change_nothing(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 0..60), 1..6),
        chunked in prop::collection::vec(any::<bool>(), 6),
        cuts in prop::collection::vec(1_usize..40, 1..40),
    ) {
        let mut bytes = Vec::new();
        for (body, chunked) in bodies.iter().zip(&chunked) {
            bytes.extend_from_slice(b"POST /a HTTP/1.1\r\nhost: a\r\n");
            if *chunked {
                bytes.extend_from_slice(b"transfer-encoding: chunked\r\n\r\n");
                for part in body.chunks(7) {
                    bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
                    bytes.extend_from_slice(part);
                    bytes.extend_from_slice(b"\r\n");
                }
                bytes.extend_from_slice(b"0\r\nt: x\r\n\r\n");
            } else {
                bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
                bytes.extend_from_slice(body);
            }
        }
        let (mut parser, mut buffer, mut found) = (Parser::default(), BytesMut::new(), Vec::new());
        let mut rest = bytes.as_slice();
        for cut in cuts.iter().cycle() {
            let (part, behind) = rest.split_at((*cut).min(rest.len()));
            rest = behind;
            buffer.extend_from_slice(part);
            while let ParseProgress::Complete(parsed) = parser.next(&mut buffer, SIZES).unwrap() {
                found.push(parsed.request.into_body().to_vec());
            }
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(found, bodies);
    }

    /// Guards against a panic, and against a body beyond the limit, whatever comes.
    #[test]
    fn any_bytes_are_taken(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (mut parser, mut buffer) = (Parser::default(), BytesMut::from(bytes.as_slice()));
        while let Ok(ParseProgress::Complete(parsed)) = parser.next(&mut buffer, SIZES) {
            prop_assert!(parsed.request.body().len() <= SIZES.body);
        }
    }
}

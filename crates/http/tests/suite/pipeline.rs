//! Pipelined requests: order, cancellation, framing and limits, tested with raw bytes.

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
    Application, Body, BudgetSettings, ConnectionLimits, Kind, MemoryBudget, ParseError,
    ParseProgress, Parser, SizeLimits, serve_pipelined,
};

use crate::peer::TEST_TIMEOUT;

const SIZES: SizeLimits = SizeLimits { head: 512, body: 2_048 };

/// Application that answers `/MS` with the path after that many milliseconds.
#[derive(Default)]
struct PathEcho {
    running: AtomicUsize,
    max_running: AtomicUsize,
    completed: AtomicUsize,
    memory: MemoryBudget,
}

/// Counts a request as running until dropped.
struct RunGuard<'a>(&'a PathEcho);

impl Drop for RunGuard<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, SeqCst);
    }
}

impl Application for PathEcho {
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

    async fn call(&self, request: Request<Body>) -> Response<Body> {
        let running = self.running.fetch_add(1, SeqCst) + 1;
        self.max_running.fetch_max(running, SeqCst);
        let _guard = RunGuard(self);
        let path = request.uri().path().to_owned();
        let wait = path.trim_start_matches('/').parse().unwrap_or(0);
        task::sleep(Duration::from_millis(wait)).await;
        self.completed.fetch_add(1, SeqCst);
        Response::new(Bytes::from([path.as_bytes(), &request.body().to_bytes()].concat()).into())
    }

    fn malformed(&self, error: ParseError) -> Response<Body> {
        let mut response = Response::new(Body::default());
        *response.status_mut() = match error {
            ParseError::Syntax => StatusCode::BAD_REQUEST,
            ParseError::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            ParseError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            ParseError::NoMemory => StatusCode::TOO_MANY_REQUESTS,
        };
        response
    }

    fn memory(&self) -> &MemoryBudget {
        &self.memory
    }
}

async fn open() -> (Arc<PathEcho>, TcpStream) {
    open_with(MemoryBudget::unlimited()).await
}

async fn open_with(memory: MemoryBudget) -> (Arc<PathEcho>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let echo = Arc::new(PathEcho { memory, ..PathEcho::default() });
    let application = Arc::clone(&echo);
    task::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        serve_pipelined(stream, &*application, future::pending()).await.ok();
    });
    (echo, TcpStream::connect(address).await.unwrap())
}

/// Writes `bytes` and returns the status and body of each response until the connection closes.
async fn exchange(bytes: &[u8]) -> Vec<String> {
    let (_, mut stream) = open().await;
    stream.write_all(bytes).await.unwrap();
    let mut all = Vec::new();
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut all)).await.unwrap().unwrap();
    split_responses(&all)
}

/// Splits responses into `STATUS BODY` strings.
fn split_responses(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(bytes);
    let answers = text.split("HTTP/1.1 ").skip(1);
    answers
        .map(|it| format!("{} {}", &it[..3], it.split_once("\r\n\r\n").map_or("", |it| it.1)))
        .collect()
}

/// Guards against a refusal on a connection on which no request has arrived, while memory is short, and
/// against a request that is never read after that.
#[test]
fn idle_connection_is_refused_for_lack_of_memory() {
    let settings = BudgetSettings { capacity: 8 * 1024, short_share: 0, responses: 8 * 1024 };
    let memory = MemoryBudget::new(settings);
    task::block_on(async {
        let mut held = memory.open(Kind::Request);
        assert!(held.try_grow(settings.capacity));
        let (echo, mut stream) = open_with(memory.clone()).await;
        let mut bytes = [0; 1_024];
        let read = timeout(Duration::from_millis(1_200), stream.read(&mut bytes)).await;
        // The idle limit of the connection closes it, without a response.
        assert!(matches!(read, Ok(Ok(0))), "{read:?}");
        drop(held);
        drop(echo);
        let (_echo, mut stream) = open_with(memory).await;
        stream.write_all(get("/0").as_bytes()).await.unwrap();
        let count = timeout(TEST_TIMEOUT, stream.read(&mut bytes)).await.unwrap().unwrap();
        assert!(bytes[..count].starts_with(b"HTTP/1.1 200"));
    });
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: a\r\n\r\n")
}

/// Guards against responses that are sent in the order of completion.
#[test]
fn responses_keep_the_order_of_requests() {
    let bytes = get("/200") + &get("/0") + &get("/100");
    let answers = task::block_on(exchange(bytes.as_bytes()));
    assert_eq!(answers, ["200 /200", "200 /0", "200 /100"]);
}

/// Guards against one connection that runs an unbounded number of requests at once.
#[test]
fn concurrent_requests_are_bounded() {
    task::block_on(async {
        let (echo, mut stream) = open().await;
        stream.write_all(get("/150").repeat(40).as_bytes()).await.unwrap();
        let mut all = Vec::new();
        timeout(TEST_TIMEOUT, stream.read_to_end(&mut all)).await.unwrap().unwrap();
        assert_eq!(split_responses(&all).len(), 40);
        assert_eq!(echo.max_running.load(SeqCst), 16);
    });
}

/// Guards against work for a client that has closed its connection.
#[test]
fn closed_connection_cancels_all_requests() {
    task::block_on(async {
        let (echo, mut stream) = open().await;
        stream.write_all(get("/5000").repeat(4).as_bytes()).await.unwrap();
        let began = Instant::now();
        while echo.running.load(SeqCst) < 4 {
            assert!(began.elapsed() < TEST_TIMEOUT, "the requests did not start");
            task::yield_now().await;
        }
        drop(stream);
        while echo.running.load(SeqCst) > 0 {
            assert!(began.elapsed() < TEST_TIMEOUT, "the requests were not cancelled");
            task::yield_now().await;
        }
        assert_eq!(echo.completed.load(SeqCst), 0);
    });
}

/// Guards against request smuggling: a request hidden in the body of another one, or framing that
/// two parsers could interpret differently.
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

/// Guards against unbounded input from a client. Each part of a request has its own limit.
#[test]
fn unbounded_input_closes_the_connection() {
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

/// Guards against a connection that stays open with an incomplete head or without any request.
#[test]
fn silent_clients_are_disconnected() {
    for bytes in ["GET /0 HT", ""] {
        let began = Instant::now();
        let answers = task::block_on(exchange(bytes.as_bytes()));
        assert!(answers.is_empty(), "{answers:?}");
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

proptest! {
    /// Guards against framing that depends on how the bytes are split into reads.
    #[test]
    fn split_reads_parse_alike(
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
                found.push(parsed.request.into_body().to_bytes().to_vec());
            }
            if rest.is_empty() {
                break;
            }
        }
        prop_assert_eq!(found, bodies);
    }

    /// Guards against a panic or a body over the limit on arbitrary bytes.
    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let (mut parser, mut buffer) = (Parser::default(), BytesMut::from(bytes.as_slice()));
        while let Ok(ParseProgress::Complete(parsed)) = parser.next(&mut buffer, SIZES) {
            prop_assert!(parsed.request.body().len() <= SIZES.body);
        }
    }
}

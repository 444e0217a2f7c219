//! Blocking HTTP/1.1 exchange over one connection, for stand-ins that have to misbehave.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, PoisonError},
    thread,
    time::Duration,
};

/// Most headers of one message.
const HEADERS: usize = 64;

/// Bytes of an endless answer that are written at once.
const ENDLESS_BYTES: usize = 64 * 1024;

/// A message that was received whole.
#[derive(Debug, Clone, Default)]
pub struct Received {
    /// Method of a request; empty for a response.
    pub method: String,
    /// Path and query of a request.
    pub target: String,
    /// Status of a response; 0 for a request.
    pub status: u16,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Received {
    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|it| it.0 == name).map(|it| it.1.as_str())
    }
}

/// What a stand-in does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Answers.
    Answer {
        /// Status code.
        status: u16,
        /// Headers besides the length.
        headers: Vec<(String, String)>,
        /// Body.
        body: Vec<u8>,
    },
    /// Writes these bytes, and waits for the next request.
    Bytes(&'static str),
    /// Writes these bytes, then closes the connection.
    Cut(&'static str),
    /// Closes all connections and accepts none for this time.
    Crash(Duration),
    /// Writes bytes without end, until the other side closes the connection.
    Endless {
        /// What comes first.
        start: &'static str,
        /// What comes again and again.
        rest: &'static str,
    },
}

/// Serves `handler` on a free loopback port, one thread for each connection, until the process
/// ends.
///
/// # Errors
///
/// Returns the error of the operating system when no port can be opened.
pub(super) fn serve<F>(handler: F) -> io::Result<SocketAddr>
where
    F: Fn(Received) -> Reply + Clone + Send + 'static,
{
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let mut listener = listener;
        loop {
            let pause = serve_until_crash(&listener, &handler);
            drop(listener);
            thread::sleep(pause);
            // The port stays free, since other processes are given other ports.
            let Ok(opened) = TcpListener::bind(address) else { return };
            listener = opened;
        }
    });
    Ok(address)
}

/// Connections of a stand-in, and for how long it is down if it has crashed.
#[derive(Default)]
struct Process {
    streams: Vec<TcpStream>,
    crashed: Option<Duration>,
}

/// Serves connections until a request crashes the stand-in; returns for how long it is down.
fn serve_until_crash<F>(listener: &TcpListener, handler: &F) -> Duration
where
    F: Fn(Received) -> Reply + Clone + Send + 'static,
{
    let process = Arc::new(Mutex::new(Process::default()));
    let locked = || process.lock().unwrap_or_else(PoisonError::into_inner);
    for stream in listener.incoming().flatten() {
        let mut guard = locked();
        if let Some(pause) = guard.crashed {
            return pause;
        }
        guard.streams.extend(stream.try_clone());
        drop(guard);
        let (handler, process) = (handler.clone(), Arc::clone(&process));
        thread::spawn(move || {
            // A connection that the other side breaks off ends its thread.
            if let Ok(Some(pause)) = serve_connection(&stream, handler) {
                crash(&process, &stream, pause);
            }
            // Its other handle stays open. The other side may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        });
    }
    Duration::ZERO
}

fn crash(process: &Mutex<Process>, stream: &TcpStream, pause: Duration) {
    let streams = {
        let mut guard = process.lock().unwrap_or_else(PoisonError::into_inner);
        guard.crashed = Some(pause);
        std::mem::take(&mut guard.streams)
    };
    let address = stream.local_addr();
    for stream in streams {
        // The other side may have closed it.
        let _ = stream.shutdown(Shutdown::Both);
    }
    // Wakes the listener.
    let _ = address.and_then(TcpStream::connect);
}

/// Sends raw requests over one connection and returns `count` responses.
///
/// # Errors
///
/// Returns the error of the operating system, or of a response that ends early.
pub fn exchange(to: SocketAddr, requests: &str, count: usize) -> io::Result<Vec<Received>> {
    Connection::open(to)?.exchange(requests, count)
}

/// Connection that a caller keeps open.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn open(to: SocketAddr) -> io::Result<Connection> {
        let stream = TcpStream::connect(to)?;
        stream.set_read_timeout(Some(std::time::Duration::from_secs(10)))?;
        Ok(Connection(BufReader::new(stream)))
    }

    /// Writes requests and reads `count` responses.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system, also if the connection ends before the last response.
    pub fn exchange(&mut self, requests: &str, count: usize) -> io::Result<Vec<Received>> {
        self.0.get_mut().write_all(requests.as_bytes())?;
        (0..count)
            .map(|_| receive(&mut self.0)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into()))
            .collect()
    }
}

/// Serves a connection to its end; returns for how long the stand-in is down if it crashed.
fn serve_connection(
    stream: &TcpStream,
    handler: impl Fn(Received) -> Reply,
) -> io::Result<Option<Duration>> {
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = receive(&mut reader)? {
        let (status, headers, body) = match handler(request) {
            Reply::Answer { status, headers, body } => (status, headers, body),
            Reply::Bytes(bytes) => {
                writer.write_all(bytes.as_bytes())?;
                continue;
            }
            Reply::Cut(bytes) => {
                writer.write_all(bytes.as_bytes())?;
                return Ok(None);
            }
            Reply::Crash(pause) => return Ok(Some(pause)),
            Reply::Endless { start, rest } => {
                writer.write_all(start.as_bytes())?;
                let rest = rest.repeat(ENDLESS_BYTES.div_ceil(rest.len()));
                loop {
                    writer.write_all(rest.as_bytes())?;
                }
            }
        };
        let mut head = format!("HTTP/1.1 {status} -\r\ncontent-length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(None)
}

/// Reads one message; `None` when the connection ended before it.
fn receive(reader: &mut impl BufRead) -> io::Result<Option<Received>> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        if reader.read_until(b'\n', &mut head)? == 0 {
            return Ok(None);
        }
    }
    let malformed = |error: httparse::Error| io::Error::new(io::ErrorKind::InvalidData, error);
    let mut fields = [httparse::EMPTY_HEADER; HEADERS];
    let mut message = Received::default();
    let fields = if head.starts_with(b"HTTP/") {
        let mut response = httparse::Response::new(&mut fields);
        response.parse(&head).map_err(malformed)?;
        message.status = response.code.unwrap_or_default();
        response.headers
    } else {
        let mut request = httparse::Request::new(&mut fields);
        request.parse(&head).map_err(malformed)?;
        message.method = request.method.unwrap_or_default().to_owned();
        message.target = request.path.unwrap_or_default().to_owned();
        request.headers
    };
    for field in fields.iter() {
        let value = String::from_utf8_lossy(field.value).into_owned();
        message.headers.push((field.name.to_ascii_lowercase(), value));
    }
    let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body.resize(length, 0);
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

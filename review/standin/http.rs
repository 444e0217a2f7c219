//! HTTP/1.1 over blocking sockets.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header; names are compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|it| it.0.eq_ignore_ascii_case(name));
        found.map(|it| it.1.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// Returns the path with the query of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    /// Returns whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|it| it.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
    /// Whether the peer has said that it closes the connection.
    pub closing: bool,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream, rest: Vec::new(), closing: false }
    }

    /// Opens a connection within a second, as callers do.
    pub fn open(to: SocketAddr) -> io::Result<Connection> {
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map(Connection::new)
    }

    /// Sends a message with a `Content-Length`.
    pub fn send(&mut self, message: &Message) -> io::Result<()> {
        let mut text = format!("{}\r\n", message.start);
        for (name, value) in &message.headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("content-length: {}\r\n\r\n", message.body.len());
        let mut bytes = text.into_bytes();
        bytes.extend(&message.body);
        self.stream.write_all(&bytes)
    }

    /// Reads the next message until `deadline`; `None` if the connection ends before its first byte.
    pub fn receive(&mut self, deadline: Option<Instant>) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(position) = self.rest.windows(4).position(|it| it == b"\r\n\r\n") {
                break position + 4;
            }
            if !self.fill(deadline)? {
                let empty = self.rest.is_empty();
                return if empty { Ok(None) } else { Err(io::ErrorKind::UnexpectedEof.into()) };
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end);
        let mut lines = head.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|it| it.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        let mut message = Message { start, headers, body: Vec::new() };
        let length = message.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        while self.rest.len() < length {
            if !self.fill(deadline)? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        message.body = self.rest.drain(..length).collect();
        self.closing |= message.closes();
        Ok(Some(message))
    }

    /// Reads more bytes; returns whether the connection goes on.
    fn fill(&mut self, deadline: Option<Instant>) -> io::Result<bool> {
        let limit = deadline.map(|it| it.saturating_duration_since(Instant::now()));
        if limit.is_some_and(|it| it.is_zero()) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(limit)?;
        let mut bytes = [0; 64 * 1024];
        let count = self.stream.read(&mut bytes)?;
        self.rest.extend(&bytes[..count]);
        Ok(count > 0)
    }

    /// Returns whether the peer has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        self.stream.set_nonblocking(true).ok();
        let peeked = self.stream.peek(&mut byte);
        self.stream.set_nonblocking(false).ok();
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Serves each connection to `listener` on a thread of its own.
pub fn serve(listener: TcpListener, handler: impl Fn(Connection) + Send + Clone + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handler = handler.clone();
            thread::spawn(move || handler(Connection::new(stream)));
        }
    });
}

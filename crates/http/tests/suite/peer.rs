//! Raw TCP peers and shared helpers.

use std::{net::SocketAddr, time::Duration};

use async_std::{
    future::timeout,
    io::{ReadExt, WriteExt},
    net::{TcpListener, TcpStream},
};
use shallottack_http::{Pool, PoolSettings};
use tide::http::{Method, Request, Url};

/// Timeout of every wait in a test; only a failing test reaches it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);

/// TCP server that leaves the responses to the test.
pub struct RawServer {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl RawServer {
    pub async fn bind() -> RawServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        RawServer { listener, address }
    }

    pub async fn accept(&self) -> TcpStream {
        timeout(TEST_TIMEOUT, self.listener.accept()).await.expect("a connection").unwrap().0
    }

    /// Accepts a connection, reads one request and writes `response`.
    pub async fn answer_one(&self, response: &str) -> TcpStream {
        let mut stream = self.accept().await;
        read_head(&mut stream).await;
        stream.write_all(response.as_bytes()).await.unwrap();
        stream
    }
}

/// Reads a head up to and including its blank line.
pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        timeout(TEST_TIMEOUT, stream.read_exact(&mut byte)).await.expect("a head").unwrap();
        head.push(byte[0]);
    }
    String::from_utf8(head).unwrap()
}

/// Reads until the peer closes the connection.
pub async fn read_to_close(stream: &mut TcpStream) -> String {
    let mut all = Vec::new();
    // A reset also ends the connection, and the bytes read before it are kept.
    timeout(TEST_TIMEOUT, stream.read_to_end(&mut all)).await.expect("the end of the stream").ok();
    String::from_utf8(all).unwrap()
}

pub fn get(address: SocketAddr, path: &str) -> Request {
    request(Method::Get, address, path)
}

pub fn request(method: Method, address: SocketAddr, path: &str) -> Request {
    Request::new(method, Url::parse(&format!("http://{address}{path}")).unwrap())
}

pub fn pool() -> Pool {
    Pool::new(PoolSettings { body_bytes: 1000, ..PoolSettings::default() })
}

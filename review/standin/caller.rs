//! Callers of a machine.

use std::{
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    record::Record,
};

/// Host of all routes of the cases.
pub const HOST: &str = "site.example";

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub id: String,
    /// Time that the caller waits.
    pub budget: Duration,
    pub body: Vec<u8>,
}

/// What a caller saw.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// An answer with this status, and whether it has the endpoint's signature.
    Answer(u16, bool),
    /// The connection ended without a complete answer.
    Closed(String),
    /// There was no answer within the budget.
    Nothing,
    /// No connection could be opened.
    NoConnection(String),
}

/// Sends a request on a connection and returns what came back.
pub fn call_on(connection: &mut Connection, call: &Call, record: &Record) -> Seen {
    let message = Message {
        start: format!("{} {} HTTP/1.1", call.method, call.path),
        headers: vec![
            ("Host".to_owned(), HOST.to_owned()),
            ("Request-Id".to_owned(), call.id.clone()),
            ("Deadline-Ms".to_owned(), call.budget.as_millis().to_string()),
        ],
        body: call.body.clone(),
    };
    record.note(&format!("caller: sends {} {} {}", call.id, call.method, call.path));
    let began = Instant::now();
    let deadline = began + call.budget;
    let received = connection.send(&message).and_then(|()| receive(connection, deadline, record));
    let seen = match received {
        Ok(Some(answer)) => {
            Seen::Answer(answer.status(), answer.header("response-signature").is_some())
        }
        Ok(None) => Seen::Closed("closed".to_owned()),
        Err(error)
            if matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::WouldBlock) =>
        {
            Seen::Nothing
        }
        Err(error) => Seen::Closed(error.to_string()),
    };
    let ms = began.elapsed().as_millis();
    record.note(&format!("caller: {} has {seen:?} after {ms} ms", call.id));
    seen
}

/// Reads the answer; interim responses (1xx) before it are none.
fn receive(
    connection: &mut Connection,
    deadline: Instant,
    record: &Record,
) -> io::Result<Option<Message>> {
    loop {
        match connection.receive(Some(deadline))? {
            Some(interim) if (100..200).contains(&interim.status()) => {
                record.note(&format!("caller: has an interim response, {}", interim.status()));
            }
            other => return Ok(other),
        }
    }
}

/// Sends a request on a new connection and returns what came back.
pub fn call(to: SocketAddr, call: &Call, record: &Record) -> Seen {
    match Connection::open(to) {
        Ok(mut connection) => call_on(&mut connection, call, record),
        Err(error) => Seen::NoConnection(error.to_string()),
    }
}

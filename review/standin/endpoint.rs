//! An endpoint: it runs requests, signs its answers and sends check-ins to the daemon beside it.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Connection, Message, serve},
    record::Record,
};

/// Interval of check-ins.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// Interval at which a run looks whether its caller has gone.
const LOOK: Duration = Duration::from_millis(10);
/// Longest time for which bytes without end are sent; `garble` lasts for 5.5 s in the site file.
const STREAM_TIME: Duration = Duration::from_secs(5);

/// What an endpoint does in the place of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Sends a head and then a body that does not end until the caller closes.
    EndlessBody,
    /// Sends bytes in the place of a head that do not end until the caller closes.
    EndlessHead(&'static str),
    /// Sends these bytes and keeps the connection open.
    Bytes(&'static str),
}

/// Which answers an endpoint spoils.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Spoils {
    None,
    /// So many of the next ones.
    Next(usize, Trouble),
    /// One in so many.
    OneIn(usize, Trouble),
}

/// How a run went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    Running,
    Answered,
    /// The time that the caller gave it is over.
    TimedOut,
    /// The caller closed the connection or the endpoint exited, so that it stopped work.
    Dropped,
    /// The endpoint sent bytes that are no answer, and waits for the next request.
    Spoilt,
}

/// What follows a request on its connection.
enum Reply {
    Answer(Message),
    /// The bytes have been sent.
    Sent,
    Close,
}

/// A request that an endpoint ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub began: Instant,
    pub ended: Option<Instant>,
    pub end: End,
}

struct State {
    spoils: Spoils,
    spoilt: usize,
    /// Whether it has sent its leave: it sends no check-ins then, and says so in its answers.
    leaving: bool,
    runs: Vec<Run>,
}

#[derive(Clone)]
pub struct Endpoint {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: usize,
    born: u64,
    sequence: Arc<AtomicU64>,
    busy: Arc<AtomicUsize>,
    exited: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
    record: Record,
}

impl Endpoint {
    /// Starts an endpoint on a free port.
    pub fn start(id: &str, service: &str, slots: usize, record: &Record) -> io::Result<Endpoint> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let state = State { spoils: Spoils::None, spoilt: 0, leaving: false, runs: Vec::new() };
        let endpoint = Endpoint {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            slots,
            born: born.as_millis() as u64,
            sequence: Arc::default(),
            busy: Arc::default(),
            exited: Arc::default(),
            state: Arc::new(Mutex::new(state)),
            record: record.clone(),
        };
        let served = endpoint.clone();
        serve(listener, move |connection| served.handle(connection));
        Ok(endpoint)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Spoils the next `count` answers.
    pub fn spoil_next(&self, count: usize, trouble: Trouble) {
        self.record.note(&format!("{}: spoils the next {count} answers: {trouble:?}", self.id));
        self.lock().spoils = Spoils::Next(count, trouble);
    }

    /// Spoils one in `share` answers.
    pub fn spoil_one_in(&self, share: usize, trouble: Trouble) {
        self.record.note(&format!("{}: spoils one answer in {share}: {trouble:?}", self.id));
        self.lock().spoils = Spoils::OneIn(share, trouble);
    }

    /// Returns how many answers it has spoilt, and how many requests it has run.
    pub fn spoilt(&self) -> (usize, usize) {
        let state = self.lock();
        (state.spoilt, state.runs.len())
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Returns whether a request has begun to run here.
    pub fn has_run(&self, id: &str) -> bool {
        self.lock().runs.iter().any(|it| it.id == id)
    }

    /// Sends check-ins to the daemon at `control` for as long as the process runs.
    pub fn announce_to(&self, control: SocketAddr) {
        let endpoint = self.clone();
        thread::spawn(move || {
            loop {
                if endpoint.lock().leaving {
                    return;
                }
                let (sent, check_in) = (Instant::now(), endpoint.check_in("ready"));
                if endpoint.call(control, &check_in) == Some(200) {
                    thread::sleep(HEARTBEAT.saturating_sub(sent.elapsed()));
                } else {
                    thread::sleep(Duration::from_millis(200));
                }
            }
        });
    }

    /// Begins to leave: there are no further check-ins, and all answers say so.
    pub fn begin_leave(&self) {
        self.lock().leaving = true;
    }

    /// Exits: requests that run end, and no further one is read.
    pub fn exit(&self) {
        self.record.note(&format!("{}: exits", self.id));
        self.exited.store(true, SeqCst);
    }

    /// Returns the next check-in.
    pub fn check_in(&self, state: &str) -> Message {
        let sequence = self.sequence.fetch_add(1, SeqCst) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"capacity\":{},\"state\":\"{state}\",\"warmup_left\":\"0ms\",\
             \"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.slots, self.born
        );
        self.message("PUT", body)
    }

    /// Returns the notice that it leaves.
    pub fn leave(&self) -> Message {
        self.message("DELETE", format!("{{\"born\":{}}}", self.born))
    }

    fn message(&self, method: &str, body: String) -> Message {
        Message {
            start: format!("{method} /v1/instances/{} HTTP/1.1", self.id),
            headers: vec![
                ("host".to_owned(), "daemon".to_owned()),
                ("content-type".to_owned(), "application/json".to_owned()),
            ],
            body: body.into_bytes(),
        }
    }

    /// Sends a message to a daemon; returns the status of its answer within a second.
    pub fn call(&self, control: SocketAddr, message: &Message) -> Option<u16> {
        let deadline = Instant::now() + Duration::from_secs(1);
        let mut connection = Connection::open(control).ok()?;
        connection.send(message).ok()?;
        connection.receive(Some(deadline)).ok()?.map(|it| it.status())
    }

    fn handle(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.receive(None) {
            if self.exited.load(SeqCst) {
                return;
            }
            match self.answer(&mut connection, &request) {
                Reply::Answer(answer) if connection.send(&answer).is_ok() => {}
                Reply::Sent => {}
                _ => return,
            }
        }
    }

    /// Runs a request.
    fn answer(&self, connection: &mut Connection, request: &Message) -> Reply {
        let request_id = request.header("request-id").unwrap_or("").to_owned();
        let mut headers = vec![("Request-Id".to_owned(), request_id.clone())];
        if self.lock().leaving {
            headers.push(("Server-Leaving".to_owned(), "1".to_owned()));
        }
        if request.header("target-instance").is_some_and(|it| it != self.id) {
            headers.push(("Instance-Id".to_owned(), self.id.clone()));
            return Reply::Answer(message("421 Misdirected Request", headers, ""));
        }
        if self.busy.fetch_add(1, SeqCst) >= self.slots {
            self.busy.fetch_sub(1, SeqCst);
            headers.push(("Not-Executed".to_owned(), "1".to_owned()));
            return Reply::Answer(message("503 Service Unavailable", headers, ""));
        }
        let (index, trouble) = self.begin(&request_id, request);
        let end = match trouble {
            None => self.work(connection, request),
            Some(Trouble::EndlessBody) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRequest-Id: {request_id}\r\nContent-Type: text/plain\r\n\r\n"
                );
                stream_without_end(connection, &head, "the server's bytes ")
            }
            Some(Trouble::EndlessHead(piece)) => stream_without_end(connection, "", piece),
            Some(Trouble::Bytes(bytes)) => {
                self.work(connection, request);
                connection.stream.write_all(bytes.as_bytes()).ok();
                End::Spoilt
            }
        };
        self.busy.fetch_sub(1, SeqCst);
        self.finish(index, &request_id, end);
        let signature = format!("{}.{request_id}", self.id);
        headers.push(("Response-Signature".to_owned(), signature));
        match end {
            End::Answered => Reply::Answer(message("200 OK", headers, "the server's bytes")),
            End::TimedOut => Reply::Answer(message("504 Gateway Timeout", headers, "")),
            End::Spoilt => Reply::Sent,
            End::Running | End::Dropped => Reply::Close,
        }
    }

    /// Records the start of a run; returns its number and what it has in the place of an answer.
    fn begin(&self, id: &str, request: &Message) -> (usize, Option<Trouble>) {
        let mut state = self.lock();
        let (began, ended) = (Instant::now(), None);
        state.runs.push(Run { id: id.to_owned(), began, ended, end: End::Running });
        let trouble = match state.spoils {
            Spoils::Next(left, trouble) if left > 0 => {
                state.spoils = Spoils::Next(left - 1, trouble);
                Some(trouble)
            }
            Spoils::OneIn(share, trouble) if state.runs.len().is_multiple_of(share) => {
                Some(trouble)
            }
            _ => None,
        };
        state.spoilt += usize::from(trouble.is_some());
        let left = request.header("deadline-ms").unwrap_or("-");
        let spoilt = if trouble.is_some() { ", spoils the answer" } else { "" };
        let line = format!("{}: runs {id} {} for {left} ms{spoilt}", self.id, request.target());
        self.record.note(&line);
        (state.runs.len() - 1, trouble)
    }

    fn finish(&self, index: usize, id: &str, end: End) {
        self.record.note(&format!("{}: {id} {end:?}", self.id));
        let mut state = self.lock();
        (state.runs[index].end, state.runs[index].ended) = (end, Some(Instant::now()));
    }

    /// Works for the time that the path states (`work-MS`), for as long as the caller gave it, until its
    /// caller has gone or it exits.
    fn work(&self, connection: &Connection, request: &Message) -> End {
        let part = request.target().split('/').find_map(|it| it.strip_prefix("work-"));
        let time = Duration::from_millis(part.and_then(|it| it.parse().ok()).unwrap_or(5));
        let allowed = request.header("deadline-ms").and_then(|it| it.parse().ok());
        let allowed = allowed.map_or(time, Duration::from_millis);
        let until = Instant::now() + time.min(allowed);
        while Instant::now() < until {
            thread::sleep(LOOK.min(until.saturating_duration_since(Instant::now())));
            if connection.is_closed() || self.exited.load(SeqCst) {
                return End::Dropped;
            }
        }
        if time > allowed { End::TimedOut } else { End::Answered }
    }
}

fn message(status: &str, headers: Vec<(String, String)>, body: &str) -> Message {
    Message { start: format!("HTTP/1.1 {status}"), headers, body: body.as_bytes().to_vec() }
}

/// Sends `head`, and `piece` again and again until the caller closes, for `STREAM_TIME` at most.
fn stream_without_end(connection: &mut Connection, head: &str, piece: &str) -> End {
    let began = Instant::now();
    let bytes = piece.repeat((64 * 1024 / piece.len()).max(1));
    let stream = &mut connection.stream;
    stream.set_write_timeout(Some(STREAM_TIME)).ok();
    let mut sent = stream.write_all(head.as_bytes());
    while sent.is_ok() && began.elapsed() < STREAM_TIME {
        sent = stream.write_all(bytes.as_bytes());
    }
    End::Dropped
}

//! Backend server that signs its answers and sends heartbeats.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use super::http::{Received, Reply, exchange, serve};

/// Path of the health check.
pub const HEALTH_PATH: &str = "/health";

/// How a backend server answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answering {
    /// Runs the request and answers after a time.
    After(Duration),
    /// Runs the request, answers with these bytes and closes the connection.
    Cut(&'static str),
    /// Runs the request and answers, under this identifier or none, that it did not run.
    StaleRefusal(Option<&'static str>),
    /// Runs the request and refuses it without stating that it did not run.
    BareRefusal(u16),
    /// Answers that it did not run the request.
    Shed,
    /// Runs the request and answers under the identifier of another one.
    Foreign,
    /// Runs the request, answers with these bytes and keeps the connection open.
    Bytes(&'static str),
    /// Runs the request and answers with these bytes, the second again and again without end.
    Endless(&'static str, &'static str),
}

struct State {
    answering: Answering,
    /// Path of the request that crashes it, and for how long it is then down.
    crashing: Option<(String, Duration)>,
    /// Number of its crashes.
    crashes: u64,
    /// Headers of all answers besides those of the request.
    notice: Vec<(String, String)>,
    runs: Vec<Received>,
    sequence: u64,
    /// Number of requests that it states to run at the same time.
    slots: u32,
    /// Times at which requests arrived, health checks included.
    arrivals: Vec<Instant>,
    /// Time until which it states that it is cold.
    cold_until: Option<Instant>,
}

/// Backend server on a loopback port.
#[derive(Clone)]
pub struct SiteServer {
    id: String,
    service: String,
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl SiteServer {
    /// Starts a backend server that answers at once.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when no port can be opened.
    pub fn start(id: &str, service: &str) -> io::Result<SiteServer> {
        let answering = Answering::After(Duration::ZERO);
        let state = Arc::new(Mutex::new(State {
            answering,
            crashing: None,
            crashes: 0,
            notice: Vec::new(),
            runs: Vec::new(),
            sequence: 0,
            slots: 4,
            arrivals: Vec::new(),
            cold_until: None,
        }));
        let (own, served) = (id.to_owned(), Arc::clone(&state));
        let address = serve(move |request| answer(&own, &served, &request))?;
        Ok(SiteServer { id: id.to_owned(), service: service.to_owned(), address, state })
    }

    /// Returns the address that it serves.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how it answers from now on.
    pub fn answer(&self, answering: Answering) {
        lock(&self.state).answering = answering;
    }

    /// Crashes from now on when it begins to run a request for `path`, and is down for `pause`.
    pub fn crash_at(&self, path: &str, pause: Duration) {
        lock(&self.state).crashing = Some((path.to_owned(), pause));
    }

    /// Returns how often it has crashed.
    pub fn crashes(&self) -> u64 {
        lock(&self.state).crashes
    }

    /// States in all answers how many requests per second it takes; `None` ends this.
    pub fn state_limit(&self, per_second: Option<f64>) {
        let header = |it: f64| ("server-limit".to_owned(), it.to_string());
        lock(&self.state).notice = per_second.map(header).into_iter().collect();
    }

    /// States in all answers that it is leaving.
    pub fn state_leaving(&self) {
        lock(&self.state).notice = vec![("server-leaving".to_owned(), "1".to_owned())];
    }

    /// Starts again under its identifier, and neither leaves nor has a limit.
    pub fn start_again(&self) {
        let mut state = lock(&self.state);
        (state.crashes, state.sequence) = (state.crashes + 1, 0);
        state.notice.clear();
    }

    /// States from now on that it runs this many requests at the same time.
    pub fn set_slots(&self, slots: u32) {
        lock(&self.state).slots = slots;
    }

    /// States from now on that it is cold for `time`, in heartbeats and in answers to health checks.
    pub fn set_cold(&self, time: Duration) {
        lock(&self.state).cold_until = Some(Instant::now() + time);
    }

    /// Returns the times at which requests arrived, health checks included.
    pub fn arrivals(&self) -> Vec<Instant> {
        lock(&self.state).arrivals.clone()
    }

    /// Returns the requests that it has run.
    pub fn runs(&self) -> Vec<Received> {
        lock(&self.state).runs.clone()
    }

    /// Sends a leave notice to the daemon at `to`; returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the daemon can't be reached.
    pub fn leave(&self, to: SocketAddr) -> io::Result<u16> {
        let body = format!("{{\"born\":{}}}", 1 + lock(&self.state).crashes);
        let request = format!(
            "DELETE /v1/instances/{} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        Ok(exchange(to, &request, 1)?[0].status)
    }

    /// Sends a heartbeat with a state to the daemon at `to`; returns the status of the answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the daemon can't be reached.
    pub fn heartbeat(&self, to: SocketAddr, state: &str) -> io::Result<u16> {
        let (sequence, born, slots, warmup) = {
            let mut state = lock(&self.state);
            state.sequence += 1;
            (state.sequence, 1 + state.crashes, state.slots, state.warmup_ms())
        };
        let body = serde_json::json!({
            "service": self.service, "address": self.address.to_string(), "zone": "a",
            "version": "v1", "capacity": slots, "state": state, "warmup_left": format!("{warmup}ms"),
            "sequence": sequence, "born": born,
        })
        .to_string();
        let request = format!(
            "PUT /v1/instances/{} HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{body}",
            self.id,
            body.len()
        );
        Ok(exchange(to, &request, 1)?[0].status)
    }
}

impl State {
    /// Returns for how long it is cold, in milliseconds.
    fn warmup_ms(&self) -> u128 {
        let left = self.cold_until.map(|it| it.saturating_duration_since(Instant::now()));
        left.unwrap_or_default().as_millis()
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer(id: &str, state: &Mutex<State>, request: &Received) -> Reply {
    if request.target == HEALTH_PATH {
        let mut state = lock(state);
        state.arrivals.push(Instant::now());
        let warmup = ("warmup-ms".to_owned(), state.warmup_ms().to_string());
        let headers = vec![warmup, ("instance-id".to_owned(), id.to_owned())];
        return Reply::Answer { status: 200, headers, body: Vec::new() };
    }
    let meant = request.header("target-instance").unwrap_or(id).to_owned();
    let request_id = request.header("request-id").unwrap_or_default().to_owned();
    if meant != id {
        let mut headers = vec![("instance-id".to_owned(), id.to_owned())];
        headers.extend(lock(state).notice.clone());
        return Reply::Answer { status: 421, headers, body: Vec::new() };
    }
    let (answering, notice) = {
        let mut state = lock(state);
        state.arrivals.push(Instant::now());
        if state.answering != Answering::Shed {
            state.runs.push(request.clone());
        }
        if let Some((_, pause)) = state.crashing.clone().filter(|it| it.0 == request.target) {
            (state.crashes, state.sequence) = (state.crashes + 1, 0);
            return Reply::Crash(pause);
        }
        (state.answering, state.notice.clone())
    };
    let signed = |request_id: String| {
        let signature = ("response-signature".to_owned(), format!("{id}.1"));
        let mut headers = vec![("request-id".to_owned(), request_id), signature];
        headers.extend(notice);
        Reply::Answer { status: 200, headers, body: b"whole".to_vec() }
    };
    match answering {
        Answering::After(time) => {
            thread::sleep(time);
            signed(request_id)
        }
        Answering::Foreign => signed("another".to_owned()),
        Answering::Cut(bytes) => Reply::Cut(bytes),
        Answering::Bytes(bytes) => Reply::Bytes(bytes),
        Answering::StaleRefusal(earlier) => {
            let mut headers = vec![("not-executed".to_owned(), "1".to_owned())];
            headers.extend(earlier.map(|it| ("request-id".to_owned(), it.to_owned())));
            Reply::Answer { status: 503, headers, body: Vec::new() }
        }
        Answering::BareRefusal(status) => {
            let headers = vec![("request-id".to_owned(), request_id)];
            Reply::Answer { status, headers, body: Vec::new() }
        }
        Answering::Endless(start, rest) => Reply::Endless { start, rest },
        Answering::Shed => {
            let id = ("request-id".to_owned(), request_id);
            let headers = vec![("not-executed".to_owned(), "1".to_owned()), id];
            Reply::Answer { status: 503, headers, body: Vec::new() }
        }
    }
}

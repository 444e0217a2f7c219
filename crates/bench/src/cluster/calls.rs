//! Requests of callers and what came of them.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use shallottack_http::{Answer, Error, Pool, PoolSettings};
use shallottack_standins::backend::Reply;
use tide::http::{Method, Request, Url};

use super::RequestKind;

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct CallSpec {
    /// Method.
    pub method: Method,
    /// Path.
    pub path: String,
    /// Idempotency key.
    pub key: Option<String>,
    /// Text that the backend server returns, by which a crossed answer is found.
    pub echo: String,
    /// Longest time that the caller allows.
    pub within: Duration,
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The whole answer to this request.
    Answered {
        /// Number of the run on the backend server.
        run: u64,
    },
    /// An answer of the backend server with an error status.
    Failed(u16),
    /// Refused, with the statement that the request was not run.
    NotRun(String),
    /// The outcome is unknown.
    Unknown(String),
    /// The answer of another request, or an answer that is not whole but looks so.
    Wrong(String),
}

impl CallSpec {
    /// Returns the request number `number` of a kind.
    pub fn new(kind: &RequestKind, number: usize, seed: u64) -> CallSpec {
        let id = format!("{}-{seed}-{number}", kind.class);
        CallSpec {
            method: kind.method.parse().unwrap_or(Method::Get),
            path: kind.path.clone(),
            key: kind.keyed.then(|| id.clone()),
            echo: id,
            within: Duration::from_secs(6),
        }
    }

    fn request(&self, to: SocketAddr) -> Request {
        let url = Url::parse(&format!("http://{to}{}", self.path)).expect("valid path");
        let mut request = Request::new(self.method, url);
        request.insert_header("standin-echo", self.echo.as_str());
        if let Some(key) = &self.key {
            request.insert_header("idempotency-key", key.as_str());
        }
        if self.method == Method::Post {
            request.set_body(format!("{{\"request\":\"{}\"}}", self.path));
        }
        request
    }
}

/// A caller with kept connections.
#[derive(Debug, Clone)]
pub struct Caller {
    pool: Pool,
}

impl Default for Caller {
    fn default() -> Self {
        Caller { pool: Pool::new(PoolSettings::default()) }
    }
}

impl Caller {
    /// Sends a request and returns what came of it, and how long it took.
    pub async fn call(&self, to: SocketAddr, spec: &CallSpec) -> (CallResult, Duration) {
        let started = Instant::now();
        let answer = self.pool.send(to, spec.request(to), spec.within).await;
        (judge(spec, answer), started.elapsed())
    }
}

fn judge(spec: &CallSpec, answer: Result<Answer, Error>) -> CallResult {
    let answer = match answer {
        Ok(answer) => answer,
        Err(error) if error.may_have_reached() => return CallResult::Unknown(error.to_string()),
        Err(error) => return CallResult::NotRun(error.to_string()),
    };
    if let Some(kind) = answer.header("shallottack-error") {
        return match answer.header("shallottack-run") {
            Some("no") => CallResult::NotRun(kind.to_owned()),
            _ => CallResult::Unknown(kind.to_owned()),
        };
    }
    let status = u16::from(answer.status());
    if !answer.status().is_success() {
        return CallResult::Failed(status);
    }
    match serde_json::from_slice::<Reply>(&answer.body) {
        Ok(reply) if reply.echo.as_deref() == Some(&spec.echo) && reply.key == spec.key => {
            CallResult::Answered { run: reply.run }
        }
        Ok(reply) => CallResult::Wrong(format!("answer to {:?}", reply.echo)),
        Err(error) => CallResult::Wrong(error.to_string()),
    }
}

//! Calls that other daemons forward to the backend server beside this one.

use std::sync::Arc;

use shallottack_http::Answer;
use shallottack_kernel::{Clock, ErrorKind, Failure};
use subtle::ConstantTimeEq;
use tide::http::{Request, Response};

use super::{
    Calls, answer,
    answer::{LEAVING_HEADER, LOAD_HEADER},
    backend::RunResult,
    call::{Call, TOKEN_HEADER},
};

/// How a call ended at the daemon beside the backend server.
pub(crate) enum Served {
    /// The backend server gave a whole answer.
    Answered(Box<Answer>),
    /// The stored answer of an earlier request with the same key.
    Stored(Box<Response>),
    /// It failed; the kind tells whether it can have run.
    Failed(Failure),
}

impl From<RunResult> for Served {
    fn from(result: RunResult) -> Served {
        match result {
            Ok(answer) => Served::Answered(answer),
            Err(failure) => Served::Failed(failure),
        }
    }
}

impl Calls {
    /// Answers a forwarded call.
    pub(crate) async fn relay(self: Arc<Self>, request: Request) -> Response {
        let given = request.header(TOKEN_HEADER).map_or("", |it| it.last().as_str());
        if !bool::from(given.as_bytes().ct_eq(self.token.as_bytes())) {
            let failure = Failure::new(ErrorKind::Unauthorized, "token missing or wrong");
            return answer::failure_response(&failure);
        }
        let result = match Call::from_relay(self.clock.now(), request).await {
            Ok(call) => {
                let retries = call.retries.unwrap_or(0);
                self.serve_local(&call, retries).await
            }
            Err(failure) => Served::Failed(failure),
        };
        let mut response = match result {
            Served::Answered(answer) => pass_on(*answer),
            Served::Stored(response) => *response,
            Served::Failed(failure) => answer::failure_response(&failure),
        };
        response.insert_header(LOAD_HEADER, answer::load_value(self.backend.load()));
        if self.backend.leaving() {
            response.insert_header(LEAVING_HEADER, "1");
        }
        response
    }

    /// Runs a call on the backend server beside this daemon, at most once when it is keyed.
    pub(crate) async fn serve_local(&self, call: &Call, retries: u8) -> Served {
        match call.claim_key() {
            Some(key) => self.keyed.serve(key, call, retries).await,
            None => self.backend.serve(call, retries).await.into(),
        }
    }
}

/// Returns an answer as it is passed on to the next connection.
pub(crate) fn pass_on(answer: Answer) -> Response {
    let mut response = answer.into_response();
    let dropped: Vec<_> =
        response.header_names().filter(|it| !answer::passes(it.as_str())).cloned().collect();
    for name in dropped {
        response.remove_header(name);
    }
    response
}

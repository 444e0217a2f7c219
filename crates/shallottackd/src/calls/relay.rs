//! Calls that other daemons forward to the backend server beside this one.

use std::sync::Arc;

use shallottack_kernel::{Clock, ErrorKind, Failure};
use subtle::ConstantTimeEq;
use tide::http::{Request, Response};

use super::{
    Calls, answer,
    answer::{LEAVING_HEADER, LOAD_HEADER},
    backend::RunResult,
    call::{Call, TOKEN_HEADER},
};

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
            Err(failure) => RunResult::Failed(failure),
        };
        let mut response = match result {
            RunResult::Answered(answer) => pass_on(*answer),
            RunResult::Failed(failure) => answer::failure_response(&failure),
        };
        response.insert_header(LOAD_HEADER, answer::load_value(self.backend.load()));
        if self.backend.stopping() {
            response.insert_header(LEAVING_HEADER, "1");
        }
        response
    }

    /// Runs a call on the backend server beside this daemon, at most once when it is keyed.
    pub(crate) async fn serve_local(&self, call: &Call, retries: u8) -> RunResult {
        self.backend.serve(call, retries).await
    }
}

/// Returns an answer as it is passed on to the next connection.
pub(crate) fn pass_on(answer: shallottack_http::Answer) -> Response {
    let mut response = answer.into_response();
    let dropped: Vec<_> =
        response.header_names().filter(|it| !answer::passes(it.as_str())).cloned().collect();
    for name in dropped {
        response.remove_header(name);
    }
    response
}

//! Asks the backend server on this VM which one it is.
//!
//! A backend server refuses a request whose target is another one, and states its own identifier.

use std::{sync::Arc, time::Duration};

use async_std::task;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use shallottack_fleet::{ServerAnswer, ServerUpdate, Stay};
use shallottack_http::Body;
use shallottack_kernel::EndpointId;
use shallottack_site::headers;

use crate::{
    backend::{BackendRequest, ServerStatement},
    events::Event,
    heartbeats::publish_change,
    node::Node,
};

/// Timeout of one question; a refusal waits for no slot.
const TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a question that was not answered.
const PAUSE: Duration = Duration::from_millis(100);
/// Most questions until the next heartbeat, whose interval is 1.5 s.
const MAX_QUESTIONS: usize = 4;
/// Target of the question. Identifiers of backend servers begin with `i-`.
const NO_TARGET: &str = "none";

impl Node {
    /// Asks the backend server which one it is, unless that is in progress.
    pub fn identify_server(self: &Arc<Self>) {
        if std::mem::replace(&mut self.shared().identifying, true) {
            return;
        }
        let node = Arc::clone(self);
        task::spawn(async move { node.run_identification().await });
    }

    async fn run_identification(self: Arc<Self>) {
        for question in 1..=MAX_QUESTIONS {
            let asked = self.now();
            let statement = match self.identity_request() {
                Ok(request) => self.backend.ask(request).await,
                Err(reason) => Err(reason),
            };
            let (answer, reason) = match &statement {
                Ok(statement) => read_answer(statement),
                Err(reason) => (ServerAnswer::Silent, reason.clone()),
            };
            let clear =
                !matches!(answer, ServerAnswer::Silent | ServerAnswer::Named(_, Stay::Unclear));
            let last = clear || question == MAX_QUESTIONS;
            let now = self.now();
            let change = self.update_server(|local| match &answer {
                ServerAnswer::Named(_, Stay::Unclear) if !last => ServerUpdate::Unchanged,
                answer => local.answer(now, answer),
            });
            self.log_answer(&answer, &reason, self.now().since(asked));
            if let ServerAnswer::Named(id, _) = &answer {
                publish_change(&self, id, change, "answer");
            }
            if last {
                self.shared().identifying = false;
                if let Ok(statement) = statement {
                    self.backend.keep_connection(statement);
                }
                return;
            }
            if answer == ServerAnswer::Silent {
                task::sleep(PAUSE).await;
            }
        }
    }

    /// Returns a request that no backend server runs.
    fn identity_request(&self) -> Result<BackendRequest, String> {
        let send = self.next_send();
        let id = format!("identify-{:x}-{}", send.daemon, send.number);
        let mut fields = HeaderMap::new();
        fields
            .insert(headers::REQUEST_ID, HeaderValue::from_str(&id).map_err(|it| it.to_string())?);
        Ok(BackendRequest {
            id,
            method: Method::GET,
            target: "/".to_owned(),
            headers: fields,
            body: Body::default(),
            left: TIMEOUT,
            server: EndpointId::new(NO_TARGET).map_err(|it| it.to_string())?,
            caller: self.settings.service.as_str().to_owned(),
            organisation: None,
            idempotent: true,
        })
    }

    fn log_answer(&self, answer: &ServerAnswer, reason: &str, took: Duration) {
        let (server, outcome) = match answer {
            ServerAnswer::Named(id, Stay::Stays) => (id.as_str(), "named"),
            ServerAnswer::Named(id, Stay::Unclear) => (id.as_str(), "closing"),
            ServerAnswer::Named(id, Stay::Leaves) => (id.as_str(), "leaving"),
            ServerAnswer::Silent => ("", "silent"),
        };
        metrics::counter!("shallottack_identifications_total", "outcome" => outcome).increment(1);
        let current = self.shared().local.server().cloned();
        self.events.write(&Event::Identified {
            outcome,
            server,
            current: current.as_ref().map_or("", |it| it.id.as_str()),
            reason,
            ms: took.as_millis() as u64,
        });
    }
}

/// Returns what a response states, and why it states nothing.
fn read_answer(statement: &ServerStatement) -> (ServerAnswer, String) {
    let response = &statement.response;
    let named = headers::instance(&response.headers).and_then(|it| EndpointId::new(it).ok());
    match named {
        Some(id) if response.status == StatusCode::MISDIRECTED_REQUEST => {
            let stay = match (response.notice.leaving, statement.closes()) {
                (true, _) => Stay::Leaves,
                (false, true) => Stay::Unclear,
                (false, false) => Stay::Stays,
            };
            (ServerAnswer::Named(id, stay), String::new())
        }
        _ => (ServerAnswer::Silent, format!("status {}", response.status)),
    }
}

//! Heartbeats of the backend server, and the platform's question whether the daemon is ready.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use shallottack_fleet::Accepted;
use shallottack_kernel::EndpointId;
use shallottack_site::{READY_PATH, heartbeat};

use crate::{events::Event, listener::CallerGone, node::Node};

/// Largest heartbeat in bytes; usual ones have some 200.
const MAX_BYTES: usize = 16 * 1024;

/// Answers the backend server on the same VM.
///
/// # Errors
///
/// Never: a request that can't be read is answered.
pub async fn handle(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, CallerGone> {
    let Some(id) = heartbeat::server_id(request.uri().path()) else {
        return Ok(status(StatusCode::NOT_FOUND));
    };
    match *request.method() {
        Method::PUT => Ok(beat(&node, id, request).await),
        Method::DELETE => {
            let body = Limited::new(request.into_body(), MAX_BYTES).collect().await;
            let body = body.map(|it| it.to_bytes()).unwrap_or_default();
            let born = heartbeat::decode_leave(&body);
            let accepted = node.cores().local.leave(node.now(), &id, born);
            note(&node, &id, accepted, "left");
            Ok(status(StatusCode::OK))
        }
        _ => Ok(status(StatusCode::METHOD_NOT_ALLOWED)),
    }
}

async fn beat(node: &Node, id: EndpointId, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), MAX_BYTES).collect().await;
    let decoded = match body {
        Ok(body) => heartbeat::decode(id.clone(), &body.to_bytes()),
        Err(error) => Err(error.to_string()),
    };
    let beat = match decoded {
        Ok(beat) => beat,
        Err(reason) => {
            let (id, outcome) = (id.as_str(), "malformed");
            node.events.write(&Event::Heartbeat { id, outcome, reason: &reason });
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let (accepted, replaced) = {
        let mut cores = node.cores();
        let before = cores.local.server().map(|it| it.id.clone());
        let accepted = cores.local.heartbeat(node.now(), &beat);
        let replaced = accepted == Accepted::Changed && before.as_ref() != Some(&id);
        if replaced {
            cores.slots.reset_costs();
        }
        (accepted, replaced)
    };
    if replaced {
        node.backend.forget();
    }
    note(node, &id, accepted, "heartbeat");
    let mut response = status(StatusCode::OK);
    *response.body_mut() = Full::from("{}");
    response
}

fn note(node: &Node, id: &EndpointId, accepted: Accepted, reason: &str) {
    match accepted {
        Accepted::Changed => node.server_changed(reason),
        Accepted::Same => {}
        Accepted::Stale => {
            let id = id.as_str();
            node.events.write(&Event::Heartbeat { id, outcome: "stale", reason });
        }
    }
}

/// Answers whether the daemon takes callers.
///
/// # Errors
///
/// Never.
pub async fn ready(
    node: Arc<Node>,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, CallerGone> {
    if request.uri().path() != READY_PATH {
        return Ok(status(StatusCode::NOT_FOUND));
    }
    let ready = node.current().is_some() && !node.stopping();
    Ok(status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }))
}

fn status(code: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = code;
    response
}

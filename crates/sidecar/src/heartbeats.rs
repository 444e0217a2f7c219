//! Heartbeats of the backend server, and the platform's question whether the daemon is ready.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use shallottack_fleet::ServerUpdate;
use shallottack_kernel::EndpointId;
use shallottack_site::{READY_PATH, heartbeat};

use crate::{events::Event, node::Node};

/// Answers the backend server on the same VM.
pub async fn handle(node: Arc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    let Some(id) = heartbeat::server_id(request.uri().path()) else {
        return status(StatusCode::NOT_FOUND);
    };
    match *request.method() {
        Method::PUT => beat(&node, &id, request.body()),
        Method::DELETE => {
            let born = heartbeat::decode_leave(request.body());
            let accepted = node.cores().local.leave(node.now(), &id, born);
            note(&node, &id, accepted, "left");
            status(StatusCode::OK)
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn beat(node: &Node, id: &EndpointId, body: &[u8]) -> Response<Bytes> {
    let beat = match heartbeat::decode(id.clone(), body) {
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
        let replaced = accepted == ServerUpdate::Changed && before.as_ref() != Some(id);
        if replaced {
            cores.slots.reset_run_times();
        }
        (accepted, replaced)
    };
    if replaced {
        node.backend.forget();
    }
    note(node, id, accepted, "heartbeat");
    let mut response = status(StatusCode::OK);
    *response.body_mut() = Bytes::from_static(b"{}");
    response
}

fn note(node: &Node, id: &EndpointId, accepted: ServerUpdate, reason: &str) {
    match accepted {
        ServerUpdate::Changed => node.server_changed(reason),
        ServerUpdate::Unchanged => {}
        ServerUpdate::Stale => {
            let id = id.as_str();
            node.events.write(&Event::Heartbeat { id, outcome: "stale", reason });
        }
    }
}

/// Answers whether the daemon takes callers.
pub async fn ready(node: Arc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    if request.uri().path() != READY_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let ready = node.current().is_some() && !node.stopping();
    status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn status(code: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = code;
    response
}

//! HTTP handlers for heartbeats of the backend server and for the platform's readiness checks.

use std::sync::Arc;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use shallottack_fleet::{CrashSign, ServerUpdate};
use shallottack_kernel::EndpointId;
use shallottack_site::{READY_PATH, heartbeat};

use crate::{events::Event, node::Node};

/// Handles a heartbeat or a deregistration of the backend server on the same VM.
pub async fn handle(node: Arc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    let Some(id) = heartbeat::server_id(request.uri().path()) else {
        return status(StatusCode::NOT_FOUND);
    };
    match *request.method() {
        Method::PUT => handle_heartbeat(&node, &id, request.body()),
        Method::DELETE => {
            let born = heartbeat::decode_leave(request.body());
            let update = node.shared().local.leave(node.now(), &id, born);
            publish_change(&node, &id, update, "left");
            status(StatusCode::OK)
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

fn handle_heartbeat(node: &Arc<Node>, id: &EndpointId, body: &[u8]) -> Response<Bytes> {
    let heartbeat = match heartbeat::decode(id.clone(), body) {
        Ok(heartbeat) => heartbeat,
        Err(reason) => {
            let (id, outcome) = (id.as_str(), "malformed");
            node.events.write(&Event::Heartbeat { id, outcome, reason: &reason });
            return status(StatusCode::BAD_REQUEST);
        }
    };
    if node.shared().local.is_restart(&heartbeat) {
        node.record_crash(CrashSign::Restarted);
    }
    let (update, replaced) = {
        let mut shared = node.shared();
        let before = shared.local.server().cloned();
        let update = shared.local.heartbeat(node.now(), &heartbeat);
        let same = before.is_some_and(|it| it.is_same_start(&heartbeat.server));
        let replaced = update == ServerUpdate::Changed && !same;
        if replaced {
            shared.reset_server();
        }
        (update, replaced)
    };
    if replaced {
        node.backend.close_idle();
    }
    publish_change(node, id, update, "heartbeat");
    let mut response = status(StatusCode::OK);
    *response.body_mut() = Bytes::from_static(b"{}");
    response
}

/// Publishes a change of the backend server, or logs a stale message.
fn publish_change(node: &Node, id: &EndpointId, update: ServerUpdate, reason: &str) {
    match update {
        ServerUpdate::Changed => node.server_changed(reason),
        ServerUpdate::Unchanged => {}
        ServerUpdate::Stale => {
            let id = id.as_str();
            node.events.write(&Event::Heartbeat { id, outcome: "stale", reason });
        }
    }
}

/// Handles the platform's readiness check: whether the daemon accepts callers.
pub async fn ready(node: Arc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    if request.uri().path() != READY_PATH {
        return status(StatusCode::NOT_FOUND);
    }
    let ready = node.config().is_some() && !node.stopping();
    status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
}

fn status(code: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = code;
    response
}

//! HTTP handlers for heartbeats of the backend server and for the platform's readiness checks.

use std::{sync::Arc, time::Duration};

use async_std::task;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use shallottack_fleet::{Heartbeat, ServerState, ServerUpdate};
use shallottack_kernel::EndpointId;
use shallottack_site::{READY_PATH, heartbeat};

use crate::{events::Event, node::Node};

/// Longest time for which the acknowledgement of a leave waits until the leave outlives this daemon;
/// backend servers wait for one second.
const KEPT_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks of whether it does.
const KEPT_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Handles a heartbeat or a deregistration of the backend server on the same VM.
pub async fn handle(node: Arc<Node>, request: Request<Bytes>) -> Response<Bytes> {
    let Some(id) = heartbeat::server_id(request.uri().path()) else {
        return status(StatusCode::NOT_FOUND);
    };
    match *request.method() {
        Method::PUT => handle_heartbeat(&node, &id, request.body()).await,
        Method::DELETE => {
            let born = heartbeat::decode_leave(request.body());
            let (update, early) = {
                let mut shared = node.shared();
                let before = shared.local.early_leave().cloned();
                let update = shared.local.leave(node.now(), &id, born);
                (update, before.as_ref() != shared.local.early_leave())
            };
            if early {
                node.server_changed("left before a heartbeat");
            } else {
                publish_change(&node, &id, update, "left");
            }
            acknowledge_leave(&node, &id).await
        }
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn handle_heartbeat(node: &Arc<Node>, id: &EndpointId, body: &[u8]) -> Response<Bytes> {
    let heartbeat = match read_heartbeat(node, id, body) {
        Ok(heartbeat) => heartbeat,
        Err(reason) => {
            let (id, outcome) = (id.as_str(), "malformed");
            node.events.write(&Event::Heartbeat { id, outcome, reason: &reason });
            return status(StatusCode::BAD_REQUEST);
        }
    };
    let now = node.now();
    let (update, replaced) = node.update_server(|local| local.heartbeat(now, &heartbeat));
    if !replaced && matches!(update, ServerUpdate::Changed | ServerUpdate::Unchanged) {
        node.record_warmup(&mut node.shared(), heartbeat.server.warmup_left, true);
    }
    if update == ServerUpdate::Unconfirmed {
        node.identify_server();
    }
    publish_change(node, id, update, "heartbeat");
    if heartbeat.server.state != ServerState::Ready {
        return acknowledge_leave(node, id).await;
    }
    let mut response = status(StatusCode::OK);
    *response.body_mut() = Bytes::from_static(b"{}");
    response
}

/// Reads a heartbeat, which any process on the VM may have sent.
///
/// # Errors
///
/// Returns the reason why no backend server that callers may reach sends it.
fn read_heartbeat(node: &Node, id: &EndpointId, body: &[u8]) -> Result<Heartbeat, String> {
    let heartbeat = heartbeat::decode(id.clone(), body)?;
    heartbeat.check()?;
    let service = &heartbeat.server.service;
    if !node.names_service(service) {
        return Err(format!(
            "neither the settings nor the configuration name the service {service}"
        ));
    }
    Ok(heartbeat)
}

/// Acknowledges a leave once the store or other daemons hold it, so that a daemon that starts again
/// on this VM is told of it. Refuses it if that takes too long; the backend server then repeats it.
async fn acknowledge_leave(node: &Arc<Node>, id: &EndpointId) -> Response<Bytes> {
    let began = node.now();
    if !node.is_leave_kept() {
        // Not left to the task that writes the own row, which may be waiting for the store.
        node.broadcast();
    }
    while !node.is_leave_kept() {
        if node.now().since(began) >= KEPT_TIMEOUT {
            let (id, outcome) = (id.as_str(), "refused");
            let reason = "neither the store nor other daemons hold the leave";
            node.events.write(&Event::Heartbeat { id, outcome, reason });
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        task::sleep(KEPT_CHECK_INTERVAL).await;
    }
    let mut response = status(StatusCode::OK);
    *response.body_mut() = Bytes::from_static(b"{}");
    response
}

/// Publishes a change of the backend server, or logs a stale message.
pub fn publish_change(node: &Node, id: &EndpointId, update: ServerUpdate, reason: &str) {
    match update {
        ServerUpdate::Changed => node.server_changed(reason),
        ServerUpdate::Unchanged | ServerUpdate::Unconfirmed => {}
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

//! HTTP handlers for heartbeats of the backend server and for the platform's readiness checks.

use std::{sync::Arc, time::Duration};

use async_std::task;
use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use shallottack_fleet::{Heartbeat, ServerState, ServerUpdate};
use shallottack_kernel::EndpointId;
use shallottack_site::{READY_PATH, heartbeat};

use crate::{events::Event, node::Node, server::ServerChange};

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
        Method::DELETE => handle_leave(&node, &id, request.body()).await,
        _ => status(StatusCode::METHOD_NOT_ALLOWED),
    }
}

async fn handle_leave(node: &Arc<Node>, id: &EndpointId, body: &[u8]) -> Response<Bytes> {
    let born = match heartbeat::decode_leave(body) {
        Ok(born) => born,
        Err(reason) => return reject_malformed(node, id, &reason),
    };
    let now = node.now();
    let change = node.update_server(|local| local.leave(now, id, born));
    publish_change(node, id, change, "left");
    acknowledge_leave(node, id, change).await
}

async fn handle_heartbeat(node: &Arc<Node>, id: &EndpointId, body: &[u8]) -> Response<Bytes> {
    let heartbeat = match read_heartbeat(node, id, body) {
        Ok(heartbeat) => heartbeat,
        Err(reason) => return reject_malformed(node, id, &reason),
    };
    let now = node.now();
    let change = node.update_server(|local| local.heartbeat(now, &heartbeat));
    let counts = matches!(change.update, ServerUpdate::Changed | ServerUpdate::Unchanged);
    if counts && !change.replaced {
        node.record_warmup(&mut node.shared(), heartbeat.server.warmup_left, true);
    }
    if change.update == ServerUpdate::Unconfirmed {
        node.identify_server();
    }
    publish_change(node, id, change, "heartbeat");
    if heartbeat.server.state != ServerState::Ready {
        return acknowledge_leave(node, id, change).await;
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
async fn acknowledge_leave(
    node: &Arc<Node>,
    id: &EndpointId,
    change: ServerChange,
) -> Response<Bytes> {
    if change.update == ServerUpdate::Refused {
        return refuse_leave(node, id, "there is no room for more leaves");
    }
    let began = node.now();
    if !node.is_leave_kept() {
        // Not left to the task that writes the own row, which may be waiting for the store.
        node.broadcast();
    }
    while !node.is_leave_kept() {
        if node.now().since(began) >= KEPT_TIMEOUT {
            return refuse_leave(node, id, "neither the store nor other daemons hold the leave");
        }
        task::sleep(KEPT_CHECK_INTERVAL).await;
    }
    let mut response = status(StatusCode::OK);
    *response.body_mut() = Bytes::from_static(b"{}");
    response
}

fn refuse_leave(node: &Node, id: &EndpointId, reason: &str) -> Response<Bytes> {
    node.events.write(&Event::Heartbeat { id: id.as_str(), outcome: "refused", reason });
    status(StatusCode::SERVICE_UNAVAILABLE)
}

/// Answers a message that no backend server sends.
fn reject_malformed(node: &Node, id: &EndpointId, reason: &str) -> Response<Bytes> {
    node.events.write(&Event::Heartbeat { id: id.as_str(), outcome: "malformed", reason });
    status(StatusCode::BAD_REQUEST)
}

/// Publishes a change of the backend server, and logs a message that is not about the current one.
pub fn publish_change(node: &Node, id: &EndpointId, change: ServerChange, reason: &str) {
    let log = |outcome| node.events.write(&Event::Heartbeat { id: id.as_str(), outcome, reason });
    if change.leaves {
        log("left");
    } else if change.update == ServerUpdate::Stale {
        log("stale");
    }
    if change.leaves || change.update == ServerUpdate::Changed {
        node.server_changed(reason);
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

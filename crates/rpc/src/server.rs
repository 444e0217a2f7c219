//! Server side of the mesh: the listener for other daemons.

use std::sync::Arc;

use async_std::{
    net::{TcpListener, TcpStream},
    task::JoinHandle,
};
use async_trait::async_trait;
use futures_lite::StreamExt;
use hyper::{server::conn::http2::Builder, service::service_fn};
use smol_hyper::rt::FuturesIo;
use subtle::ConstantTimeEq;
use tonic::{Request, Response, Status};
use tower_service::Service;

use crate::{
    Envelope, MAX_ENVELOPE_BYTES, PROTOCOL, Traffic,
    generated::mesh_server::{Mesh, MeshServer},
    io::{CountedStream, Spawner},
};

/// Handler of received envelopes.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Handles an envelope and returns the messages for its sender.
    async fn deliver(&self, envelope: Envelope) -> Envelope;
}

struct MeshService<H> {
    handler: Arc<H>,
    authorization: Arc<str>,
}

#[async_trait]
impl<H: Handler> Mesh for MeshService<H> {
    async fn deliver(&self, request: Request<Envelope>) -> Result<Response<Envelope>, Status> {
        let given = request.metadata().get("authorization").map_or(&b""[..], |it| it.as_bytes());
        if !bool::from(given.ct_eq(self.authorization.as_bytes())) {
            return Err(Status::unauthenticated("token missing or wrong"));
        }
        let envelope = request.into_inner();
        if envelope.protocol != PROTOCOL {
            let detail = format!("protocol {}, expected {PROTOCOL}", envelope.protocol);
            return Err(Status::failed_precondition(detail));
        }
        Ok(Response::new(self.handler.deliver(envelope).await))
    }
}

/// Serves `handler` to other daemons that present `token`, until the task is cancelled.
pub fn serve<H: Handler>(
    listener: TcpListener,
    token: &str,
    handler: Arc<H>,
    traffic: Arc<Traffic>,
) -> JoinHandle<()> {
    let authorization: Arc<str> = format!("Bearer {token}").into();
    async_std::task::spawn(async move {
        let mut incoming = listener.incoming();
        while let Some(stream) = incoming.next().await {
            // Accepting fails while file descriptors are exhausted; the listener stays usable.
            let Ok(stream) = stream else { continue };
            let service = MeshService {
                handler: Arc::clone(&handler),
                authorization: Arc::clone(&authorization),
            };
            let service = MeshServer::new(service).max_decoding_message_size(MAX_ENVELOPE_BYTES);
            async_std::task::spawn(serve_connection(stream, service, Arc::clone(&traffic)));
        }
    })
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    service: MeshServer<MeshService<H>>,
    traffic: Arc<Traffic>,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = CountedStream::new(stream, traffic);
    let service = service_fn(move |request| service.clone().call(request));
    // An error means a broken connection, which the peer opens again.
    let _ = Builder::new(Spawner).serve_connection(FuturesIo::new(stream), service).await;
}

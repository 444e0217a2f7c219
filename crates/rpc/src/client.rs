//! Client side of the mesh: connections to other daemons.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use hyper::{
    body::Incoming,
    client::conn::http2::{Builder, SendRequest},
};
use smol_hyper::rt::FuturesIo;
use tonic::{body::Body, metadata::MetadataValue};

use crate::{
    Envelope, MAX_ENVELOPE_BYTES, Traffic,
    generated::mesh_client::MeshClient,
    io::{CountedStream, Spawner},
};

/// Limits on the connections to other daemons.
#[derive(Debug, Clone)]
pub struct PeersSettings {
    /// Largest number of open connections; beyond it, the least recently used one is dropped.
    pub connections: usize,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// Time limit for one exchange on an open connection.
    pub deliver_timeout: Duration,
}

impl Default for PeersSettings {
    fn default() -> Self {
        PeersSettings {
            connections: 32,
            connect_timeout: Duration::from_millis(500),
            deliver_timeout: Duration::from_secs(2),
        }
    }
}

/// Error of an exchange with another daemon.
#[derive(Debug, Clone, thiserror::Error)]
pub enum DeliverError {
    /// No connection could be opened in time.
    #[error("no connection to {0}: {1}")]
    Connect(SocketAddr, String),
    /// The exchange failed or timed out; the envelope may have been delivered.
    #[error("exchange with {0} failed: {1}")]
    Exchange(SocketAddr, String),
}

#[derive(Clone)]
struct Channel {
    sender: SendRequest<Body>,
}

impl tower_service::Service<http::Request<Body>> for Channel {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(cx)
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}

struct Connection {
    client: MeshClient<Channel>,
    used: Instant,
}

/// Bounded set of connections to other daemons.
pub struct Peers {
    settings: PeersSettings,
    authorization: MetadataValue<tonic::metadata::Ascii>,
    traffic: Arc<Traffic>,
    open: Mutex<HashMap<SocketAddr, Connection>>,
}

impl Peers {
    /// Creates an empty set; `token` authenticates this daemon to the others.
    ///
    /// # Panics
    ///
    /// Panics if `token` has characters that HTTP headers do not allow; the settings' validation
    /// rejects such tokens.
    pub fn new(settings: PeersSettings, token: &str, traffic: Arc<Traffic>) -> Peers {
        let mut authorization: MetadataValue<_> =
            format!("Bearer {token}").parse().expect("the settings' validation checks the token");
        authorization.set_sensitive(false);
        Peers { settings, authorization, traffic, open: Mutex::new(HashMap::new()) }
    }

    /// Sends an envelope and returns the receiver's answer.
    ///
    /// # Errors
    ///
    /// Returns [`DeliverError`] if no connection can be opened or the exchange fails; the
    /// connection is then dropped.
    pub async fn deliver(
        &self,
        to: SocketAddr,
        envelope: Envelope,
    ) -> Result<Envelope, DeliverError> {
        self.traffic.count_exchange();
        let mut client = match self.cached(to) {
            Some(client) => client,
            None => self.connect(to).await?,
        };
        let mut request = tonic::Request::new(envelope);
        request.metadata_mut().insert("authorization", self.authorization.clone());
        let failure = match timeout(self.settings.deliver_timeout, client.deliver(request)).await {
            Ok(Ok(reply)) => return Ok(reply.into_inner()),
            Ok(Err(status)) => status.to_string(),
            Err(_) => "timed out".to_owned(),
        };
        self.disconnect(to);
        Err(DeliverError::Exchange(to, failure))
    }

    fn cached(&self, to: SocketAddr) -> Option<MeshClient<Channel>> {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let connection = open.get_mut(&to)?;
        connection.used = Instant::now();
        Some(connection.client.clone())
    }

    fn disconnect(&self, to: SocketAddr) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }

    async fn connect(&self, to: SocketAddr) -> Result<MeshClient<Channel>, DeliverError> {
        let failed = |error: String| DeliverError::Connect(to, error);
        let client = timeout(self.settings.connect_timeout, self.handshake(to))
            .await
            .map_err(|_| failed("timed out".to_owned()))?
            .map_err(failed)?;
        self.insert(to, client.clone());
        Ok(client)
    }

    async fn handshake(&self, to: SocketAddr) -> Result<MeshClient<Channel>, String> {
        let stream = TcpStream::connect(to).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        self.traffic.count_connection();
        let stream = CountedStream::new(stream, Arc::clone(&self.traffic));
        let (sender, connection) = Builder::new(Spawner)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(|error| error.to_string())?;
        async_std::task::spawn(connection);
        let origin: http::Uri = format!("http://{to}").parse().map_err(|_| "bad address")?;
        Ok(MeshClient::with_origin(Channel { sender }, origin)
            .max_decoding_message_size(MAX_ENVELOPE_BYTES))
    }

    fn insert(&self, to: SocketAddr, client: MeshClient<Channel>) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.len() >= self.settings.connections {
            let oldest = open.iter().min_by_key(|(_, it)| it.used).map(|(address, _)| *address);
            if let Some(address) = oldest {
                open.remove(&address);
            }
        }
        open.insert(to, Connection { client, used: Instant::now() });
    }
}

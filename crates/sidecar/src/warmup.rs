//! Cold backend server on this VM: signs, health checks and the rate in force.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{future::timeout, net::TcpStream, task};
use bytes::Bytes;
use http::{HeaderMap, Request, header};
use http_body_util::Empty;
use hyper::client::conn::http1::handshake;
use shallottack_fleet::{CheckStart, ColdRate, ColdSign, Configuration, RateLimit};
use shallottack_http::{PacedStream, spawn_connection};
use shallottack_kernel::Time;
use shallottack_site::headers;
use smol_hyper::rt::FuturesIo;

use crate::{
    events::Event,
    node::{Node, Shared},
    settings::ColdSettings,
};

/// Longest wait of a health check for a slot, and for its response; the next heartbeat tells the
/// same soon after.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between attempts to get a slot; a slot is freed about as often.
const SLOT_CHECK_INTERVAL: Duration = Duration::from_millis(5);

impl Node {
    /// Records a sign that the backend server on this VM may have become cold.
    pub fn suspect_cold(&self, sign: ColdSign) {
        let now = self.now();
        let mut shared = self.shared();
        shared.slots.suspect_cold(now, sign);
        self.log_cold(
            &mut shared,
            now,
            match sign {
                ColdSign::Refused => "refused",
                ColdSign::Closed => "closed",
                ColdSign::Returned => "returned",
            },
        );
    }

    /// Records that idle connections to the backend server have ended together, if they have.
    pub fn check_connections(&self) {
        if self.shared().slots.has_cold_rate() && self.backend.take_lost_connections() {
            self.suspect_cold(ColdSign::Closed);
        }
    }

    /// Records how long the backend server stays cold, as its heartbeat stated.
    ///
    /// `same` states whether the heartbeat is of the incarnation that was known before.
    pub fn record_warmup(&self, shared: &mut Shared, left: Duration, same: bool) {
        let now = self.now();
        let wakes = shared.slots.record_warmup(now, left, same);
        shared.wake(&wakes);
        self.log_cold(shared, now, "heartbeat");
    }

    /// Sets the rate for a cold backend server according to the configuration.
    pub fn apply_cold_limit(&self, shared: &mut Shared, configuration: &Configuration) {
        let now = self.now();
        let bound = self.settings.cold.unwrap_or(ColdSettings { overage: 1.0, slack: 0.0 });
        let limit = configuration.cold_limit(&self.settings.service);
        let rate = limit.and_then(|it| ColdRate::new(it.rate, bound.overage, bound.slack));
        let wakes = shared.slots.set_cold_rate(now, rate);
        shared.wake(&wakes);
        self.log_cold(shared, now, "configuration");
    }

    /// Asks the backend server how long it stays cold, if that is due.
    pub fn check_warmup(self: &Arc<Self>) {
        let now = self.now();
        if !self.shared().slots.begin_check(now) {
            return;
        }
        let node = Arc::clone(self);
        task::spawn(async move { node.run_check().await });
    }

    async fn run_check(self: Arc<Self>) {
        let asked = self.now();
        let server = self.shared().local.server().cloned();
        let stated = match self.begin_check(asked).await {
            Ok(path) => self.ask_warmup(&path).await,
            Err(reason) => Err(reason),
        };
        let now = self.now();
        let mut shared = self.shared();
        let current = shared.local.server().map(|it| (&it.id, it.started_ms));
        let unchanged = current == server.as_ref().map(|it| (&it.id, it.started_ms));
        let left = stated.as_ref().ok().copied().filter(|_| unchanged);
        let wakes = shared.slots.finish_check(asked, now, left);
        shared.wake(&wakes);
        let outcome = if stated.is_ok() { "stated" } else { "failed" };
        metrics::counter!("shallottack_health_checks_total", "outcome" => outcome).increment(1);
        self.events.write(&Event::HealthCheck {
            outcome,
            left_ms: left.map(|it| it.as_millis() as u64),
            reason: stated.as_ref().err().map_or("", String::as_str),
            ms: now.since(asked).as_millis() as u64,
        });
        self.log_cold(&mut shared, now, "health check");
    }

    /// Waits for a slot for the health check and returns its path.
    async fn begin_check(&self, asked: Time) -> Result<Arc<str>, String> {
        let limit = self.config().and_then(|it| it.cold_limit(&self.settings.service));
        let path = limit.and_then(|it| it.health_path).ok_or("the service has no health check")?;
        loop {
            let now = self.now();
            match self.shared().slots.start_check(now) {
                CheckStart::Run => return Ok(path),
                CheckStart::Wait if now.since(asked) >= CHECK_TIMEOUT => {
                    return Err("no slot became free".to_owned());
                }
                CheckStart::Wait => {}
            }
            task::sleep(SLOT_CHECK_INTERVAL).await;
        }
    }

    /// Returns how long the backend server stays cold, as its response to a health check states.
    async fn ask_warmup(&self, path: &str) -> Result<Duration, String> {
        let asking = timeout(CHECK_TIMEOUT, ask(self.settings.backend, path)).await;
        let stated = asking.map_err(|_| "no response in time".to_owned())??;
        let expected = self.shared().local.server().map(|it| it.id.as_str().to_owned());
        let instance = headers::instance(&stated);
        if instance.is_some() && instance != expected.as_deref() {
            return Err("response of another backend server".to_owned());
        }
        headers::warmup(&stated).ok_or_else(|| "the response states no warm-up".to_owned())
    }

    /// Logs that the rate for a cold backend server is in force from now on, or no longer.
    fn log_cold(&self, shared: &mut Shared, now: Time, reason: &str) {
        let limit_per_s = shared.slots.cold_limit(now).map(RateLimit::rate);
        if std::mem::replace(&mut shared.cold, limit_per_s.is_some()) == limit_per_s.is_some() {
            return;
        }
        let server = shared.local.server();
        self.events.write(&Event::Cold {
            server: server.map_or("", |it| it.id.as_str()),
            state: if limit_per_s.is_some() { "cold" } else { "warm" },
            reason,
            limit_per_s,
        });
    }
}

/// Sends a health check on a connection of its own and returns the headers of the response.
async fn ask(address: SocketAddr, path: &str) -> Result<HeaderMap, String> {
    let stream = TcpStream::connect(address).await.map_err(|it| it.to_string())?;
    stream.set_nodelay(true).map_err(|it| it.to_string())?;
    let (mut sender, connection) =
        handshake(FuturesIo::new(PacedStream::new(stream))).await.map_err(|it| it.to_string())?;
    let _guard = spawn_connection(connection);
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(|it| it.to_string())?;
    let response = sender.send_request(request).await.map_err(|it| it.to_string())?;
    Ok(response.into_parts().0.headers)
}

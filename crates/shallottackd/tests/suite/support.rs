//! Helpers shared by the tests.

use std::{future::Future, net::SocketAddr, time::Duration};

use shallottack_http::{Answer, Error, Pool, PoolSettings};
use shallottackd::{Daemon, Running, Settings};
use tide::http::{Method, Request, Url};

/// Longest time that a test waits for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(20);

/// Operators' token of the daemons in tests.
pub const OPERATORS_TOKEN: &str = "operators-token-of-tests";

/// Returns settings with free ports, an in-process platform and a backend server.
pub fn settings(endpoint: &str) -> String {
    format!(
        "endpoint: {endpoint}
data_centre: medina
listen:
  callers: 127.0.0.1:0
  relay: 127.0.0.1:0
  peers: 127.0.0.1:0
  operators: 127.0.0.1:0
  announce: 127.0.0.1:0
platform:
  memory: {{}}
tokens:
  mesh: mesh-token-of-the-tests
  operators: {OPERATORS_TOKEN}
embedded:
  service: garden-book
  group: v1
  slots: 4
"
    )
}

/// Starts a daemon with the given settings.
pub async fn start(text: &str) -> Daemon<Running> {
    let settings = Settings::parse("test.yaml", text).expect("settings are valid");
    let daemon = Daemon::bind(settings).await.expect("ports are free");
    daemon.start().await.expect("daemon starts")
}

/// Sends a request with the operators' token.
pub async fn send(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Option<String>,
) -> Result<Answer, Error> {
    let mut request = Request::new(method, Url::parse(&format!("http://{to}{path}")).unwrap());
    request.insert_header("authorization", format!("Bearer {OPERATORS_TOKEN}"));
    if let Some(body) = body {
        request.set_body(body);
    }
    Pool::new(PoolSettings::default()).send(to, request, Duration::from_secs(10)).await
}

/// Waits until `condition` returns a value.
///
/// # Panics
///
/// Panics when it does not within [`WAIT_LIMIT`].
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    what: &str,
    mut condition: impl FnMut() -> F,
) -> T {
    let started = std::time::Instant::now();
    while started.elapsed() < WAIT_LIMIT {
        if let Some(value) = condition().await {
            return value;
        }
        async_std::task::sleep(Duration::from_millis(10)).await;
    }
    panic!("{what}: not within {WAIT_LIMIT:?}");
}

//! Backend server inside the daemon, for trying things out.

use std::{net::SocketAddr, time::Duration};

use async_std::net::TcpListener;
use serde_json::json;
use shallottack_http::{Limits, Pool, PoolSettings, Serving, serve};
use tide::{
    Request,
    http::{self, Method, Url},
};

use crate::settings::Embedded;

/// Time between two attempts to announce the backend server.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(50);
/// Attempts to announce the backend server.
const ANNOUNCE_ATTEMPTS: u32 = 100;

/// Starts the backend server and announces it to the daemon at `announce`.
///
/// # Errors
///
/// Returns the error of the operating system when no port can be opened, or an error when the
/// daemon does not take the announcement.
pub async fn start(settings: &Embedded, announce: SocketAddr) -> std::io::Result<Serving> {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
    let mut app = tide::with_state(settings.service.clone());
    app.at("/").all(answer);
    app.at("/*").all(answer);
    let serving = serve(listener, app, Limits::default())?;
    let body = json!({
        "service": settings.service,
        "group": settings.group,
        "address": serving.address(),
        "slots": settings.slots,
        "cold_start_ms": 0,
    });
    let pool = Pool::new(PoolSettings::default());
    for _ in 0..ANNOUNCE_ATTEMPTS {
        let url = Url::parse("http://daemon/announce").expect("constant URL parses");
        let mut request = http::Request::new(Method::Post, url);
        request.set_body(body.to_string());
        let answer = pool.send(announce, request, Duration::from_secs(1)).await;
        if answer.is_ok_and(|it| it.status().is_success()) {
            return Ok(serving);
        }
        async_std::task::sleep(ANNOUNCE_INTERVAL).await;
    }
    Err(std::io::Error::other("the daemon did not take the backend server's announcement"))
}

async fn answer(request: Request<shallottack_kernel::ServiceName>) -> tide::Result {
    let service = request.state();
    let line = format!("{service} answers {} {}\n", request.method(), request.url().path());
    Ok(line.into())
}

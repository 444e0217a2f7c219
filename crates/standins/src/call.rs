//! Calls of control paths.

use std::{io, net::SocketAddr, time::Duration};

use serde::{Serialize, de::DeserializeOwned};
use shallottack_http::Pool;
use tide::http::{Body, Method, Request, Url};

/// Time for a call of a control path.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Calls `path` at `to`, by POST with `body` as JSON or by GET without one, and returns the body of
/// the response.
///
/// # Errors
///
/// Returns an error when the call fails or its status is no success.
pub(crate) async fn call_path<B: Serialize>(
    pool: &Pool,
    to: SocketAddr,
    path: &str,
    body: Option<&B>,
) -> io::Result<Vec<u8>> {
    let url = Url::parse(&format!("http://{to}{path}")).map_err(io::Error::other)?;
    let method = if body.is_some() { Method::Post } else { Method::Get };
    let mut request = Request::new(method, url);
    if let Some(body) = body {
        request.set_body(Body::from_json(body).map_err(io::Error::other)?);
    }
    let answer = pool.send(to, request, CALL_TIMEOUT).await.map_err(io::Error::other)?;
    if !answer.status().is_success() {
        return Err(io::Error::other(format!("{path}: status {}", answer.status())));
    }
    Ok(answer.body)
}

/// Calls `path` at `to`, by POST with `body` as JSON or by GET without one, and returns the JSON of
/// the response; a response without a body reads as `null`.
///
/// # Errors
///
/// Returns an error when the call fails, the status is no success or the JSON does not fit.
pub async fn fetch_json<B: Serialize, T: DeserializeOwned>(
    pool: &Pool,
    to: SocketAddr,
    path: &str,
    body: Option<&B>,
) -> io::Result<T> {
    let body = call_path(pool, to, path, body).await?;
    let json: &[u8] = if body.is_empty() { b"null" } else { &body };
    Ok(serde_json::from_slice(json)?)
}

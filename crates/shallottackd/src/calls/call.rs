//! A caller's request on its way through the mesh.

use std::time::Duration;

use shallottack_api::{DEADLINE_HEADER, KEY_HEADER, RETRIES_HEADER};
use shallottack_claims::check_key;
use shallottack_kernel::{ClassName, ErrorKind, Failure, ServiceName, Time};
use tide::http::{Method, Request, Url};

use super::answer::passes;

/// Header with the class of a forwarded call.
const CLASS_HEADER: &str = "shallottack-class";
/// Header with the service of a forwarded call.
const SERVICE_HEADER: &str = "shallottack-service";
/// Header that marks the class of a forwarded call as idempotent.
const IDEMPOTENT_HEADER: &str = "shallottack-idempotent";
/// Header with the secret that daemons share.
pub(crate) const TOKEN_HEADER: &str = "shallottack-token";
/// Most retries that a caller may ask for; the budget of a call that states none.
const MAX_RETRIES: u8 = 8;

/// A caller's request with what the mesh knows of it.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
    pub(crate) service: ServiceName,
    pub(crate) class: ClassName,
    pub(crate) deadline: Time,
    pub(crate) idempotent: bool,
    /// Retries that remain for the call and all that it calls in turn; `None` at its start.
    pub(crate) retries: Option<u8>,
    pub(crate) key: Option<String>,
}

impl Call {
    /// Returns the request that carries the call to the daemon of an endpoint.
    pub(crate) fn relay_request(&self, now: Time, retries: u8, token: &str) -> Request {
        let mut request = self.request(now, retries);
        request.insert_header(TOKEN_HEADER, token);
        request.insert_header(CLASS_HEADER, self.class.as_str());
        request.insert_header(SERVICE_HEADER, self.service.as_str());
        if self.idempotent {
            request.insert_header(IDEMPOTENT_HEADER, "1");
        }
        request
    }

    /// Returns the request that carries the call to the backend server.
    pub(crate) fn request(&self, now: Time, retries: u8) -> Request {
        let mut request = Request::new(self.method, target_url(&self.target));
        for (name, value) in &self.headers {
            request.append_header(name.as_str(), value.as_str());
        }
        let remaining = self.deadline.since(now).as_micros().div_ceil(1_000);
        request.insert_header(DEADLINE_HEADER, remaining.to_string());
        request.insert_header(RETRIES_HEADER, retries.to_string());
        if !self.body.is_empty() {
            request.set_body(self.body.clone());
            // Setting the body replaces the type that the caller stated.
            request.remove_header("content-type");
            let stated = self.headers.iter().find(|(name, _)| name == "content-type");
            if let Some((_, value)) = stated {
                request.insert_header("content-type", value.as_str());
            }
        }
        request
    }

    /// Reads a forwarded call.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] of kind `BadRequest` when a header is missing or malformed.
    pub(crate) async fn from_relay(now: Time, request: Request) -> Result<Call, Failure> {
        let missing = |name: &str| {
            Failure::new(ErrorKind::BadRequest, format!("header `{name}` missing or malformed"))
        };
        let class = parsed(&request, CLASS_HEADER).ok_or_else(|| missing(CLASS_HEADER))?;
        let service = parsed(&request, SERVICE_HEADER).ok_or_else(|| missing(SERVICE_HEADER))?;
        let millis = parsed(&request, DEADLINE_HEADER).ok_or_else(|| missing(DEADLINE_HEADER))?;
        let idempotent = request.header(IDEMPOTENT_HEADER).is_some();
        let deadline = now + Duration::from_millis(millis);
        Call::read(request, service, class, deadline, idempotent).await
    }

    /// Reads the parts of a request that are passed on.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] of kind `BadRequest` when the body can't be read or the idempotency
    /// key is malformed.
    pub(crate) async fn read(
        mut request: Request,
        service: ServiceName,
        class: ClassName,
        deadline: Time,
        idempotent: bool,
    ) -> Result<Call, Failure> {
        let body = request.take_body().into_bytes().await.map_err(|error| {
            Failure::new(ErrorKind::BadRequest, format!("body can't be read: {error}"))
        })?;
        let headers = request
            .iter()
            .filter(|(name, _)| passes(name.as_str()))
            .flat_map(|(name, values)| {
                values.iter().map(|it| (name.as_str().to_owned(), it.as_str().to_owned()))
            })
            .collect();
        let url = request.url();
        let target = match url.query() {
            Some(query) => format!("{}?{query}", url.path()),
            None => url.path().to_owned(),
        };
        Ok(Call {
            method: request.method(),
            target,
            headers,
            body,
            service,
            class,
            deadline,
            idempotent,
            retries: parsed(&request, RETRIES_HEADER).map(|it: u8| it.min(MAX_RETRIES)),
            key: key(&request)?,
        })
    }

    /// Returns the key of a call that must run at most once, or `None` for other calls.
    pub(crate) fn claim_key(&self) -> Option<&str> {
        self.key.as_deref().filter(|_| !self.idempotent)
    }

    /// Returns whether sending the call again can't run it twice.
    pub(crate) fn repeat_safe(&self) -> bool {
        self.idempotent || self.key.is_some()
    }
}

/// Returns the time that a caller allows, if it states one.
pub(crate) fn stated_deadline(request: &Request) -> Option<Duration> {
    parsed(request, DEADLINE_HEADER).map(Duration::from_millis)
}

fn key(request: &Request) -> Result<Option<String>, Failure> {
    let Some(values) = request.header(KEY_HEADER) else { return Ok(None) };
    if values.iter().count() > 1 {
        let detail = format!("`{KEY_HEADER}` appears more than once");
        return Err(Failure::new(ErrorKind::BadRequest, detail));
    }
    let key = values.last().as_str();
    check_key(key)?;
    Ok(Some(key.to_owned()))
}

fn parsed<T: std::str::FromStr>(request: &Request, name: &str) -> Option<T> {
    request.header(name)?.last().as_str().parse().ok()
}

/// Returns a URL with the given path and query; the host is the receiver's own.
fn target_url(target: &str) -> Url {
    let mut url = Url::parse("http://shallottack").expect("constant URL parses");
    let (path, query) = target.split_once('?').map_or((target, None), |(p, q)| (p, Some(q)));
    url.set_path(path);
    url.set_query(query);
    url
}

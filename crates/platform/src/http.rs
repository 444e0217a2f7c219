//! HTTP client of the platform.

use std::{
    fmt,
    net::SocketAddr,
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use async_trait::async_trait;
use serde::de::DeserializeOwned;
use shallottack_http::{Answer, Error, Pool, PoolSettings, RUN_HEADER};
use tide::http::{Method, Request, Url, headers::AUTHORIZATION};

use crate::{CommitError, Condition, ObjectError, ObjectStore, ReadError, Row, Table, Transaction};

/// Settings of the platform's HTTP client.
#[derive(Clone)]
pub struct HttpSettings {
    /// Addresses of the platform; the next one is tried if a request certainly did not reach the
    /// current one.
    pub addresses: Vec<SocketAddr>,
    /// Bearer token.
    pub token: String,
    /// Time limit for one call, including all its attempts.
    pub timeout: Duration,
    /// Largest number of connections to one address.
    pub connections: usize,
    /// Largest response body in bytes.
    pub body_bytes: usize,
}

impl HttpSettings {
    /// Returns settings with the default limits.
    pub fn new(addresses: Vec<SocketAddr>, token: impl Into<String>) -> HttpSettings {
        HttpSettings {
            addresses,
            token: token.into(),
            timeout: Duration::from_secs(2),
            connections: 8,
            body_bytes: 16 << 20,
        }
    }
}

/// Omits the token, so that it can't reach a log.
impl fmt::Debug for HttpSettings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpSettings")
            .field("addresses", &self.addresses)
            .field("timeout", &self.timeout)
            .finish_non_exhaustive()
    }
}

/// Table and object store of a platform that is reached over HTTP.
pub struct HttpPlatform {
    settings: HttpSettings,
    authorization: String,
    pool: Pool,
    /// Index of the address that the next call starts with.
    current: AtomicUsize,
}

impl HttpPlatform {
    /// Creates a client; connections are opened on demand.
    pub fn new(settings: HttpSettings) -> HttpPlatform {
        let pool = Pool::new(PoolSettings {
            connections: settings.connections,
            connect: settings.timeout / 2,
            body_bytes: settings.body_bytes,
            ..PoolSettings::default()
        });
        let authorization = format!("Bearer {}", settings.token);
        HttpPlatform { settings, authorization, pool, current: AtomicUsize::new(0) }
    }

    /// Sends a call; tries the next address only if the call certainly did not reach the last one.
    async fn call(
        &self,
        method: Method,
        target: &str,
        body: Option<&[u8]>,
    ) -> Result<Answer, Error> {
        let start = Instant::now();
        let mut result = Err(Error::Unreachable("no address is configured".to_owned()));
        for _ in 0..self.settings.addresses.len() {
            let index = self.current.load(Ordering::Relaxed) % self.settings.addresses.len();
            let to = self.settings.addresses[index];
            let mut request = Request::new(method, self.url(to, target)?);
            request.insert_header(AUTHORIZATION, self.authorization.as_str());
            if let Some(body) = body {
                request.set_body(body);
            }
            let left = self.settings.timeout.saturating_sub(start.elapsed());
            result = self.pool.send(to, request, left).await;
            match &result {
                Err(e) if !e.may_have_reached() => {
                    self.current.store(index + 1, Ordering::Relaxed);
                }
                _ => break,
            }
        }
        result
    }

    fn url(&self, to: SocketAddr, target: &str) -> Result<Url, Error> {
        Url::parse(&format!("http://{to}{target}")).map_err(|e| Error::Unreachable(e.to_string()))
    }

    async fn fetch<T: DeserializeOwned>(&self, target: &str) -> Result<T, ReadError> {
        let answer = self.call(Method::Get, target, None).await;
        let answer = answer.map_err(|e| ReadError(e.to_string()))?;
        if !answer.status().is_success() {
            return Err(ReadError(format!("status {}", answer.status())));
        }
        serde_json::from_slice(&answer.body).map_err(|e| ReadError(e.to_string()))
    }

    async fn object(
        &self,
        method: Method,
        name: &str,
        body: Option<&[u8]>,
    ) -> Result<Vec<u8>, ObjectError> {
        let target = format!("/objects/{}", encode_name(name));
        let answer = self.call(method, &target, body).await;
        let answer = answer.map_err(|e| ObjectError::Unavailable(e.to_string()))?;
        match answer.status() as u16 {
            200..300 => Ok(answer.body),
            404 if method == Method::Get => Err(ObjectError::Missing(name.to_owned())),
            status => Err(ObjectError::Unavailable(format!("status {status}"))),
        }
    }
}

#[async_trait]
impl Table for HttpPlatform {
    async fn read(&self, key: &str) -> Result<Option<Row>, ReadError> {
        self.fetch(&format!("/table/{}", encode_name(key))).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, ReadError> {
        let (prefix, after) = (encode_name(prefix), encode_name(after));
        self.fetch(&format!("/table?prefix={prefix}&after={after}&limit={limit}")).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<(), CommitError> {
        let body = serde_json::to_vec(&transaction);
        let body = body.map_err(|e| CommitError::Unavailable(e.to_string()))?;
        match self.call(Method::Post, "/table/commit", Some(&body)).await {
            Ok(answer) => commit_result(&answer),
            Err(e) if e.may_have_reached() => Err(CommitError::Unknown(e.to_string())),
            Err(e) => Err(CommitError::Unavailable(e.to_string())),
        }
    }
}

#[async_trait]
impl ObjectStore for HttpPlatform {
    async fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        self.object(Method::Get, name, None).await
    }

    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), ObjectError> {
        self.object(Method::Put, name, Some(&body)).await.map(drop)
    }

    async fn delete(&self, name: &str) -> Result<(), ObjectError> {
        self.object(Method::Delete, name, None).await.map(drop)
    }
}

/// Maps the response to the outcome of a transaction. Only certain statuses and the header
/// `shallottack-run: no` prove that nothing was written; any other error may come from a server or
/// proxy in between.
fn commit_result(answer: &Answer) -> Result<(), CommitError> {
    let status = answer.status() as u16;
    match status {
        200..300 => Ok(()),
        409 => match serde_json::from_slice::<Condition>(&answer.body) {
            Ok(condition) => Err(CommitError::Conflict { key: condition.key }),
            Err(e) => Err(CommitError::Unknown(format!("conflict without a key: {e}"))),
        },
        400 | 401 | 403 | 404 | 413 | 431 => {
            Err(CommitError::Unavailable(format!("status {status}")))
        }
        _ if answer.header(RUN_HEADER) == Some("no") => {
            Err(CommitError::Unavailable(format!("status {status}, not run")))
        }
        _ => Err(CommitError::Unknown(format!("status {status}"))),
    }
}

/// Placeholder for the URL parser; only the query is used.
const BASE_URL: &str = "http://platform/";

/// Form-encodes a key or object name as one path segment. Slashes are encoded too, because URL
/// parsers would resolve a `..` between slashes as a parent directory.
///
/// # Panics
///
/// Never: the base URL is a constant.
pub fn encode_name(name: &str) -> String {
    let url = Url::parse_with_params(BASE_URL, [("name", name)]).expect("the base URL is valid");
    url.query().and_then(|query| query.strip_prefix("name=")).unwrap_or_default().to_owned()
}

/// Decodes a key or object name that [`encode_name`] encoded.
///
/// # Panics
///
/// Never: the base URL is a constant.
pub fn decode_name(segment: &str) -> String {
    let mut url = Url::parse(BASE_URL).expect("the base URL is valid");
    url.set_query(Some(&format!("name={segment}")));
    url.query_pairs().next().map_or_else(String::new, |(_, name)| name.into_owned())
}

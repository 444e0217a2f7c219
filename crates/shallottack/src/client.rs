//! HTTP client for the operators' API of a daemon.

use std::{
    net::SocketAddr,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use serde::{Serialize, de::DeserializeOwned};
use shallottack_api::ErrorBody;
use shallottack_config::WriteId;
use shallottack_http::{Answer, Pool, PoolSettings};
use shallottack_kernel::ErrorKind;
use tide::http::{Method, Request, Url};

use crate::output::Error;

/// Address of the daemon if none is given.
const DEFAULT_DAEMON: &str = "127.0.0.1:8083";
/// Timeout of one request.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum wait for a daemon that has just started.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two requests to a daemon that is not ready.
const READY_POLL: Duration = Duration::from_millis(200);
/// Maximum size of an answer in bytes; fits the largest catalog.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Options that all commands share.
pub(crate) struct ClientOptions {
    pub(crate) daemon: Option<String>,
    pub(crate) token_file: Option<String>,
    pub(crate) json: bool,
}

/// Connection to the operators' API of one daemon.
pub(crate) struct Client {
    address: SocketAddr,
    token: String,
    pool: Pool,
}

impl Client {
    /// Creates a client from the command-line options and the environment.
    pub(crate) fn new(options: &ClientOptions) -> Result<Client, Error> {
        let given = options.daemon.clone().or_else(|| std::env::var("SHALLOTTACK_DAEMON").ok());
        let given = given.unwrap_or_else(|| DEFAULT_DAEMON.to_owned());
        let address = given.parse().map_err(|_| {
            Error::Usage(format!("`{given}` is not an address like {DEFAULT_DAEMON}"))
        })?;
        let pool =
            Pool::new(PoolSettings { body_bytes: MAX_ANSWER_BYTES, ..PoolSettings::default() });
        Ok(Client { address, token: read_token(options)?, pool })
    }

    /// Sends a `GET` request and decodes the answer; retries while the daemon is not ready.
    pub(crate) async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let started = Instant::now();
        loop {
            let error = match self.send(Method::Get, path, None).await {
                Ok(answer) => return self.decode(&answer),
                Err(error) => error,
            };
            // A daemon that has just started has no configuration yet.
            let not_ready = matches!(&error, Error::Refused(it) if it.error == ErrorKind::NotReady);
            if !not_ready || started.elapsed() > READY_TIMEOUT {
                return Err(error);
            }
            async_std::task::sleep(READY_POLL).await;
        }
    }

    /// Sends `value` in a `POST` request and decodes the answer.
    pub(crate) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, Error> {
        let body = serde_json::to_vec(value).expect("plain data encodes");
        self.decode(&self.send(Method::Post, path, Some(body)).await?)
    }

    /// Sends a `POST` request without a body and ignores the body of the answer.
    pub(crate) async fn trigger(&self, path: &str) -> Result<(), Error> {
        self.send(Method::Post, path, None).await.map(drop)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, Error> {
        let url = Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|error| Error::Usage(error.to_string()))?;
        let mut request = Request::new(method, url);
        request.insert_header("authorization", format!("Bearer {}", self.token));
        if let Ok(user) = std::env::var("USER") {
            request.insert_header("shallottack-operator", user);
        }
        if let Some(body) = body {
            request.set_body(body);
        }
        let answer = self.pool.send(self.address, request, TIMEOUT).await.map_err(|error| {
            let (address, detail) = (self.address.to_string(), error.to_string());
            if error.may_have_reached() {
                Error::NoAnswer { address, detail }
            } else {
                Error::Unreachable { address, detail }
            }
        })?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        match serde_json::from_slice::<ErrorBody>(&answer.body) {
            Ok(body) => Err(Error::Refused(body)),
            Err(_) => Err(self.no_answer(format!("status {}", answer.status()))),
        }
    }

    fn decode<T: DeserializeOwned>(&self, answer: &Answer) -> Result<T, Error> {
        serde_json::from_slice(&answer.body).map_err(|error| self.no_answer(error.to_string()))
    }

    fn no_answer(&self, detail: String) -> Error {
        Error::NoAnswer { address: self.address.to_string(), detail }
    }
}

fn read_token(options: &ClientOptions) -> Result<String, Error> {
    if let Some(path) = &options.token_file {
        let text = std::fs::read_to_string(path)
            .map_err(|source| Error::Read { path: path.clone(), source })?;
        return Ok(text.trim().to_owned());
    }
    std::env::var("SHALLOTTACK_TOKEN").map_err(|_| {
        Error::Usage("a token is required: --token-file FILE or SHALLOTTACK_TOKEN".to_owned())
    })
}

/// Returns a unique write id, made of the current time and random bits.
pub(crate) fn new_write_id() -> WriteId {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    WriteId(format!("{:x}-{:016x}", now.as_millis(), rand::random::<u64>()).into())
}

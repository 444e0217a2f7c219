//! Backend servers and calls for the tests.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_std::task;
use shallottack_http::{Answer, Error, Pool, PoolSettings};
use shallottack_kernel::{GroupName, ServiceName};
use shallottack_standins::{Backend, BackendSettings, backend::Reply};
use tide::http::{Method, Request, Url};

/// Bound on every wait of a test; only a failing test reaches it.
pub const PATIENCE: Duration = Duration::from_secs(10);

pub fn settings() -> BackendSettings {
    let names = (ServiceName::new("garden-book"), GroupName::new("v1"));
    let settings = BackendSettings::new(names.0.unwrap(), names.1.unwrap());
    BackendSettings { service_time: Duration::ZERO, ..settings }
}

pub async fn start(settings: BackendSettings) -> (Backend, Caller) {
    let backend = Backend::start(settings).await.unwrap();
    let caller = Caller { pool: Pool::new(PoolSettings::default()), address: backend.address() };
    (backend, caller)
}

#[derive(Clone)]
pub struct Caller {
    pub pool: Pool,
    pub address: SocketAddr,
}

impl Caller {
    pub async fn call_within(
        &self,
        within: Duration,
        headers: &[(&str, &str)],
    ) -> Result<Answer, Error> {
        let url = Url::parse(&format!("http://{}/renew", self.address)).unwrap();
        let mut request = Request::new(Method::Post, url);
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        self.pool.send(self.address, request, within).await
    }

    pub async fn call(&self, headers: &[(&str, &str)]) -> Answer {
        self.call_within(PATIENCE, headers).await.unwrap()
    }

    pub async fn get(&self, path: &str) -> Answer {
        let url = Url::parse(&format!("http://{}{path}", self.address)).unwrap();
        let request = Request::new(Method::Get, url);
        self.pool.send(self.address, request, PATIENCE).await.unwrap()
    }
}

pub fn status(answer: &Answer) -> u16 {
    answer.status().into()
}

pub fn reply(answer: &Answer) -> Reply {
    serde_json::from_slice(&answer.body).unwrap()
}

/// Waits until `condition` holds.
pub async fn eventually(condition: impl Fn() -> bool) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < PATIENCE, "the condition does not come true");
        task::sleep(Duration::from_millis(1)).await;
    }
}

//! Platform over HTTP: table and object store around `MemoryPlatform`, with faults.
//!
//! Paths with a bearer token:
//!
//! - `GET /table/<key>`: the row as JSON, or `null`
//! - `GET /table?prefix=&after=&limit=`: rows as a JSON list
//! - `POST /table/commit`: a transaction as JSON; 204, or 409 with the failed condition as JSON
//! - `GET|PUT|DELETE /objects/<name>`: bytes; 404 for a missing object
//!
//! Keys and names are one path segment, encoded by `shallottack_platform::encode_name`. A call that
//! was not applied because of a fault or a rate limit answers 503 or 429 with the header
//! `shallottack-run: no`.
//!
//! Control paths without a token:
//!
//! - `GET|POST /control/faults`: [`Faults`] as JSON; absent fields are off
//! - `GET /control/counts`: [`Counts`] as JSON
//! - `POST /control/tear`: [`Tear`] as JSON; cuts an object short

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::{net::TcpListener, task};
use serde::{Deserialize, Serialize};
use shallottack_http::{Limits, RUN_HEADER, RawConnection, Serving, serve};
use shallottack_platform::{
    CommitError, Condition, MemoryPlatform, ObjectError, ObjectStore, Table, Transaction,
    decode_name,
};
use tide::{Body, Next, Request, Response, StatusCode};

/// Longest request in bytes, for snapshots.
const BODY_BYTES: usize = 16 << 20;

/// Settings of the platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformSettings {
    /// Address to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Bearer token that calls must carry.
    pub token: String,
    /// Most reads in a second; more are refused. Zero for no limit.
    pub reads_per_s: u64,
    /// Most writes in a second; more are refused. Zero for no limit.
    pub writes_per_s: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        PlatformSettings {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            token: "platform".to_owned(),
            reads_per_s: 0,
            writes_per_s: 0,
        }
    }
}

/// How an outage shows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outage {
    /// No outage.
    #[default]
    None,
    /// Calls are answered 503 with `shallottack-run: no`.
    Refuse,
    /// Connections are closed without a response; nothing is applied.
    Close,
    /// Calls get no response while the outage lasts; nothing is applied.
    Silent,
}

/// Faults of the platform stand-in.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Outage of table and object store.
    pub outage: Outage,
    /// Delay of every call in milliseconds, before it takes effect.
    pub delay_ms: u64,
    /// Number of coming successful writes whose response is lost: the connection is closed.
    pub lost_answers: u32,
    /// Number of coming commits that are answered 409 without effect, for their first condition.
    pub conflicts: u32,
}

/// Calls since the start and in the last full second.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Table reads and scans.
    pub reads: u64,
    /// Table commits.
    pub writes: u64,
    /// Commits that conflicted.
    pub conflicts: u64,
    /// Reads and writes of objects.
    pub object_calls: u64,
    /// Calls refused by an outage or a rate limit.
    pub refused: u64,
    /// Responses that were lost on purpose.
    pub lost_answers: u64,
    /// Table reads in the last full second.
    pub reads_per_s: u64,
    /// Table commits in the last full second.
    pub writes_per_s: u64,
    /// Highest number of table reads in a second.
    pub peak_reads_per_s: u64,
    /// Highest number of table commits in a second.
    pub peak_writes_per_s: u64,
    /// Age of the process in milliseconds.
    pub uptime_ms: u64,
}

/// Request to cut an object short, as a torn write does.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Tear {
    /// Name of the object.
    pub name: String,
    /// Number of bytes that remain.
    pub keep_bytes: usize,
}

/// Number of calls per second of the run.
#[derive(Debug, Default)]
struct Rate {
    second: u64,
    current: u64,
    last: u64,
    peak: u64,
}

impl Rate {
    fn turn(&mut self, second: u64) {
        if second != self.second {
            self.last = if second == self.second + 1 { self.current } else { 0 };
            (self.second, self.current) = (second, 0);
        }
    }

    /// Counts a call; returns `false` when it is over `limit`.
    fn add(&mut self, second: u64, limit: u64) -> bool {
        self.turn(second);
        if limit > 0 && self.current >= limit {
            return false;
        }
        self.current += 1;
        self.peak = self.peak.max(self.current);
        true
    }
}

#[derive(Debug, Default)]
struct Status {
    faults: Faults,
    counts: Counts,
    reads: Rate,
    writes: Rate,
}

/// State shared by the handlers.
#[derive(Clone)]
struct Shared {
    memory: MemoryPlatform,
    settings: Arc<PlatformSettings>,
    status: Arc<Mutex<Status>>,
    started: Instant,
}

impl Shared {
    fn status(&self) -> MutexGuard<'_, Status> {
        self.status.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn counts(&self) -> Counts {
        let uptime = self.started.elapsed();
        let mut status = self.status();
        status.reads.turn(uptime.as_secs());
        status.writes.turn(uptime.as_secs());
        Counts {
            reads_per_s: status.reads.last,
            writes_per_s: status.writes.last,
            peak_reads_per_s: status.reads.peak,
            peak_writes_per_s: status.writes.peak,
            uptime_ms: uptime.as_millis() as u64,
            ..status.counts.clone()
        }
    }

    /// Counts a call of the table or the object store; returns `false` when it is over a limit.
    fn admit(&self, call: Call) -> bool {
        let second = self.started.elapsed().as_secs();
        let mut status = self.status();
        let admitted = match call {
            Call::Read => status.reads.add(second, self.settings.reads_per_s),
            Call::Commit => status.writes.add(second, self.settings.writes_per_s),
            Call::Object => true,
        };
        let counts = &mut status.counts;
        match call {
            _ if !admitted => counts.refused += 1,
            Call::Read => counts.reads += 1,
            Call::Commit => counts.writes += 1,
            Call::Object => counts.object_calls += 1,
        }
        admitted
    }

    /// Closes the connection instead of answering when a write's response is to be lost.
    fn lose_answer(&self, wire: Option<&RawConnection>) {
        let mut status = self.status();
        if status.faults.lost_answers > 0 {
            status.faults.lost_answers -= 1;
            status.counts.lost_answers += 1;
            wire.inspect(|wire| wire.close());
        }
    }

    fn take_conflict(&self) -> bool {
        let mut status = self.status();
        let conflict = status.faults.conflicts > 0;
        status.faults.conflicts = status.faults.conflicts.saturating_sub(1);
        conflict
    }
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Read,
    Commit,
    Object,
}

/// A running platform stand-in.
pub struct PlatformServer {
    shared: Shared,
    serving: Serving,
}

impl PlatformServer {
    /// Binds the address and serves until the returned handle is dropped or stopped.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system when the address can't be bound.
    pub async fn start(settings: PlatformSettings) -> io::Result<PlatformServer> {
        let listener = TcpListener::bind(settings.listen).await?;
        let shared = Shared {
            memory: MemoryPlatform::new(),
            settings: Arc::new(settings),
            status: Arc::default(),
            started: Instant::now(),
        };
        let limits = Limits { body_bytes: BODY_BYTES, raw_connection: true, ..Limits::default() };
        let serving = serve(listener, app(shared.clone()), limits)?;
        Ok(PlatformServer { shared, serving })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.serving.address()
    }

    /// Returns the platform behind the listener.
    pub fn memory(&self) -> &MemoryPlatform {
        &self.shared.memory
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.status().faults = faults;
    }

    /// Returns the counts so far.
    pub fn counts(&self) -> Counts {
        self.shared.counts()
    }

    /// Stops gracefully within `limit`.
    pub async fn stop(self, limit: Duration) {
        self.serving.stop(limit).await;
    }
}

fn app(shared: Shared) -> tide::Server<Shared> {
    let mut app = tide::with_state(shared);
    let mut table = tide::with_state(app.state().clone());
    table.with(guard);
    table.at("/").get(scan);
    table.at("/:key").get(read);
    table.at("/commit").post(commit);
    let mut objects = tide::with_state(app.state().clone());
    objects.with(guard);
    objects.at("/:name").get(get_object).put(put_object).delete(delete_object);
    app.at("/table").nest(table);
    app.at("/objects").nest(objects);
    app.at("/control/faults").get(show_faults).post(set_faults);
    app.at("/control/counts")
        .get(async |request: Request<Shared>| Body::from_json(&request.state().counts()));
    app.at("/control/tear").post(tear);
    app
}

fn not_run(status: StatusCode) -> Response {
    Response::builder(status).header(RUN_HEADER, "no").build()
}

/// Checks the token and applies delay and outage.
fn guard<'a>(
    request: Request<Shared>,
    next: Next<'a, Shared>,
) -> std::pin::Pin<Box<dyn Future<Output = tide::Result> + Send + 'a>> {
    Box::pin(async move {
        let shared = request.state();
        let expected = format!("Bearer {}", shared.settings.token);
        if request.header("authorization").is_none_or(|value| value.as_str() != expected) {
            return Ok(not_run(StatusCode::Unauthorized));
        }
        let faults = shared.status().faults.clone();
        if faults.delay_ms > 0 {
            task::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage != Outage::None {
            shared.status().counts.refused += 1;
        }
        match faults.outage {
            Outage::None => Ok(next.run(request).await),
            Outage::Refuse => Ok(not_run(StatusCode::ServiceUnavailable)),
            Outage::Close => {
                request.ext::<RawConnection>().inspect(|wire| wire.close());
                Ok(not_run(StatusCode::ServiceUnavailable))
            }
            Outage::Silent => {
                while shared.status().faults.outage == Outage::Silent {
                    task::sleep(Duration::from_millis(10)).await;
                }
                Ok(not_run(StatusCode::ServiceUnavailable))
            }
        }
    })
}

/// Prefix and page of a scan.
#[derive(Deserialize)]
struct Scan {
    #[serde(default)]
    prefix: String,
    #[serde(default)]
    after: String,
    limit: usize,
}

async fn scan(request: Request<Shared>) -> tide::Result {
    let shared = request.state();
    let Scan { prefix, after, limit } = request.query()?;
    if !shared.admit(Call::Read) {
        return Ok(not_run(StatusCode::TooManyRequests));
    }
    let rows = shared.memory.scan(&prefix, &after, limit).await?;
    Ok(Response::builder(200).body(Body::from_json(&rows)?).build())
}

async fn read(request: Request<Shared>) -> tide::Result {
    let shared = request.state();
    if !shared.admit(Call::Read) {
        return Ok(not_run(StatusCode::TooManyRequests));
    }
    let row = shared.memory.read(&decode_name(request.param("key")?)).await?;
    Ok(Response::builder(200).body(Body::from_json(&row)?).build())
}

async fn commit(mut request: Request<Shared>) -> tide::Result {
    let Ok(transaction) = request.body_json::<Transaction>().await else {
        return Ok(not_run(StatusCode::BadRequest));
    };
    let shared = request.state();
    if !shared.admit(Call::Commit) {
        return Ok(not_run(StatusCode::TooManyRequests));
    }
    let conditions = transaction.conditions.clone();
    let result = match conditions.first() {
        Some(condition) if shared.take_conflict() => {
            Err(CommitError::Conflict { key: condition.key.clone() })
        }
        _ => shared.memory.commit(transaction).await,
    };
    match result {
        Ok(()) => {
            shared.lose_answer(request.ext::<RawConnection>());
            Ok(Response::new(StatusCode::NoContent))
        }
        Err(CommitError::Conflict { key }) => {
            shared.status().counts.conflicts += 1;
            let revision = conditions.iter().find(|c| c.key == key).and_then(|c| c.revision);
            let failed = Condition { key, revision };
            Ok(Response::builder(409).body(Body::from_json(&failed)?).build())
        }
        Err(CommitError::Unavailable(_)) => Ok(not_run(StatusCode::ServiceUnavailable)),
        Err(CommitError::Unknown(_)) => Ok(Response::new(StatusCode::GatewayTimeout)),
    }
}

fn object_failed(error: &ObjectError) -> Response {
    match error {
        ObjectError::Missing(_) | ObjectError::Corrupt(_) => Response::new(StatusCode::NotFound),
        ObjectError::Unavailable(_) => Response::new(StatusCode::ServiceUnavailable),
    }
}

async fn get_object(request: Request<Shared>) -> tide::Result {
    let shared = request.state();
    shared.admit(Call::Object);
    match shared.memory.get(&decode_name(request.param("name")?)).await {
        Ok(body) => Ok(Response::builder(200).body(body).build()),
        Err(e) => Ok(object_failed(&e)),
    }
}

async fn put_object(mut request: Request<Shared>) -> tide::Result {
    let body = request.body_bytes().await?;
    let shared = request.state();
    shared.admit(Call::Object);
    match shared.memory.put(&decode_name(request.param("name")?), body).await {
        Ok(()) => {
            shared.lose_answer(request.ext::<RawConnection>());
            Ok(Response::new(StatusCode::NoContent))
        }
        Err(e) => Ok(object_failed(&e)),
    }
}

async fn delete_object(request: Request<Shared>) -> tide::Result {
    let shared = request.state();
    shared.admit(Call::Object);
    match shared.memory.delete(&decode_name(request.param("name")?)).await {
        Ok(()) => Ok(Response::new(StatusCode::NoContent)),
        Err(e) => Ok(object_failed(&e)),
    }
}

async fn show_faults(request: Request<Shared>) -> tide::Result<Body> {
    let faults = request.state().status().faults.clone();
    Body::from_json(&faults)
}

async fn set_faults(mut request: Request<Shared>) -> tide::Result {
    let faults = request.body_json().await?;
    request.state().status().faults = faults;
    Ok(Response::new(StatusCode::NoContent))
}

async fn tear(mut request: Request<Shared>) -> tide::Result {
    let tear: Tear = request.body_json().await?;
    request.state().memory.truncate_object(&tear.name, tear.keep_bytes);
    Ok(Response::new(StatusCode::NoContent))
}

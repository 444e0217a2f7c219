//! The operators' API.

mod status;

use std::sync::Arc;

use shallottack_api::{
    CHANGES_PATH, CLASSES_PATH, CONFIG_PATH, ClassStatus, DRAIN_PATH, LOCAL_STATUS_PATH,
    METRICS_PATH, STATUS_PATH,
};
use shallottack_config::{Change, MAX_CHANGE_BYTES};
use shallottack_http::Pool;
use shallottack_kernel::{ErrorKind, Failure};
use subtle::ConstantTimeEq;
use tide::{
    Request, Response,
    http::{StatusCode, mime},
};

use crate::{
    calls::{Backend, failure_response},
    commits::Commits,
    mesh::Mesh,
    telemetry,
};

/// Header with the operator's name, recorded with each change.
const OPERATOR_HEADER: &str = "shallottack-operator";
/// Time after which an operator may come back to a daemon without a configuration.
const NOT_READY_RETRY: std::time::Duration = std::time::Duration::from_secs(1);
/// Longest operator's name in bytes.
const MAX_OPERATOR_BYTES: usize = 64;

/// Service behind the operators' API.
pub struct Operators {
    authorization: String,
    token: String,
    mesh: Arc<Mesh>,
    commits: Arc<Commits>,
    backend: Arc<Backend>,
    pool: Pool,
    drain: async_std::channel::Sender<()>,
}

type Shared = Arc<Operators>;

impl Operators {
    /// Name under which the service is registered with the kernel.
    pub const NAME: &'static str = "operators";

    /// Creates the service; a message on `drain` asks for a planned stop.
    pub fn new(
        token: &str,
        mesh: Arc<Mesh>,
        commits: Arc<Commits>,
        backend: Arc<Backend>,
        drain: async_std::channel::Sender<()>,
    ) -> Arc<Operators> {
        Arc::new(Operators {
            authorization: format!("Bearer {token}"),
            token: token.to_owned(),
            mesh,
            commits,
            backend,
            pool: Pool::new(crate::calls::relay_pool(1024 * 1024)),
            drain,
        })
    }

    /// Returns the HTTP application.
    pub fn app(self: &Arc<Self>) -> tide::Server<Shared> {
        let mut app = tide::with_state(Arc::clone(self));
        app.at(METRICS_PATH).get(metrics);
        app.at(CONFIG_PATH).get(|it| authorized(it, config));
        app.at(CHANGES_PATH).post(|it| authorized(it, changes));
        app.at(STATUS_PATH).get(|it| authorized(it, status::mesh));
        app.at(LOCAL_STATUS_PATH).get(|it| authorized(it, status::local));
        app.at(CLASSES_PATH).get(|it| authorized(it, classes));
        app.at(DRAIN_PATH).post(|it| authorized(it, drain));
        app.at("/").all(unknown);
        app.at("/*").all(unknown);
        app
    }

    fn allows(&self, request: &Request<Shared>) -> bool {
        let given = request.header("authorization").map_or("", |it| it.last().as_str());
        bool::from(given.as_bytes().ct_eq(self.authorization.as_bytes()))
    }
}

/// Runs a handler for a request that carries the operators' token.
async fn authorized<F, R>(request: Request<Shared>, handler: F) -> tide::Result
where
    F: Fn(Request<Shared>) -> R,
    R: Future<Output = Result<Response, Failure>>,
{
    let result = if request.state().allows(&request) {
        handler(request).await
    } else {
        Err(Failure::new(ErrorKind::Unauthorized, "token missing or wrong"))
    };
    Ok(result.unwrap_or_else(|failure| failure_response(&failure).into()))
}

async fn unknown(request: Request<Shared>) -> tide::Result {
    let detail = format!("no such path: {}", request.url().path());
    Ok(failure_response(&Failure::new(ErrorKind::NotFound, detail)).into())
}

async fn metrics(request: Request<Shared>) -> tide::Result {
    let operators = request.state();
    telemetry::record(&operators.mesh, &operators.backend);
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(telemetry::render());
    response.set_content_type("text/plain; version=0.0.4");
    Ok(response)
}

async fn config(request: Request<Shared>) -> Result<Response, Failure> {
    match request.state().mesh.catalog() {
        Some(catalog) => json(&*catalog),
        // An empty configuration would make `apply` leave out removals.
        None => Err(Failure::new(ErrorKind::NotReady, "no configuration in force yet")
            .retry_after(NOT_READY_RETRY)),
    }
}

async fn changes(mut request: Request<Shared>) -> Result<Response, Failure> {
    let body = request.body_bytes().await.map_err(bad_request)?;
    if body.len() > MAX_CHANGE_BYTES {
        let detail = format!("change has {} bytes, at most {MAX_CHANGE_BYTES}", body.len());
        return Err(Failure::new(ErrorKind::TooLarge, detail));
    }
    let change: Change = serde_json::from_slice(&body).map_err(bad_request)?;
    let operator = request.header(OPERATOR_HEADER).map_or("unnamed", |it| it.last().as_str());
    if operator.len() > MAX_OPERATOR_BYTES {
        return Err(bad_request(format!("`{OPERATOR_HEADER}` is over {MAX_OPERATOR_BYTES} bytes")));
    }
    let flag =
        |name: &str| request.url().query_pairs().any(|(key, value)| key == name && value == "true");
    let (dry_run, repeat) = (flag("dry_run"), flag("repeat"));
    let commits = &request.state().commits;
    json(&commits.submit(change, operator, dry_run, repeat).await?)
}

async fn classes(request: Request<Shared>) -> Result<Response, Failure> {
    let statuses: Vec<ClassStatus> =
        request.state().backend.report().into_iter().map(class_status).collect();
    json(&statuses)
}

fn class_status(report: shallottack_admission::ClassReport) -> ClassStatus {
    let calls = report.answered + report.failed + report.refused;
    let causes: Vec<String> = report.causes.iter().map(|it| cause(*it).to_owned()).collect();
    ClassStatus {
        class: report.class,
        answered: report.answered,
        refused: report.refused,
        failed: report.failed,
        latency_ms: (report.answered > 0).then_some(report.latency.as_secs_f64() * 1_000.0),
        met: (calls > 0).then_some(report.met),
        held_back: (!causes.is_empty()).then(|| causes.join(", ")),
    }
}

fn cause(cause: shallottack_admission::Cause) -> &'static str {
    match cause {
        shallottack_admission::Cause::Queueing => "queueing at the daemon",
        shallottack_admission::Cause::BackendLatency => "latency of the backend server",
        shallottack_admission::Cause::Failures => "failures of the backend server",
        shallottack_admission::Cause::Refusals => "refusals",
    }
}

async fn drain(request: Request<Shared>) -> Result<Response, Failure> {
    // A full channel means that a stop was already asked for.
    let _ = request.state().drain.try_send(());
    Ok(Response::new(StatusCode::Accepted))
}

fn json(value: &impl serde::Serialize) -> Result<Response, Failure> {
    let body = serde_json::to_vec(value)
        .map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))?;
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response.set_content_type(mime::JSON);
    Ok(response)
}

fn bad_request(error: impl std::fmt::Display) -> Failure {
    Failure::new(ErrorKind::BadRequest, error.to_string())
}

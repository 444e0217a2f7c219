//! Keyed requests, which run at most once: runs the claim decisions.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{SystemTime, UNIX_EPOCH},
};

use async_std::channel::{Receiver, Sender, bounded};
use rand::{SeedableRng, rngs::StdRng};
use shallottack_claims::{
    self as claims, Action, Arrival, BatchOutcome, Claims, Input, ReadOutcome, RequestId,
    StoredAnswer, request_digest,
};
use shallottack_kernel::{Clock, EndpointId, ErrorKind, Failure, Run, SystemClock};
use shallottack_platform::{CommitError, Platform, Transaction, decode_object, encode_object};
use tide::http::{Response, headers::CONTENT_TYPE};

use super::{
    answer::status,
    backend::{Backend, RunResult},
    call::Call,
    relay::Served,
};

/// What the claim decisions let a request do.
enum Verdict {
    Run,
    Stored(StoredAnswer),
    Refuse(Failure),
}

struct State {
    claims: Claims,
    rng: StdRng,
    waiting: HashMap<RequestId, Sender<Verdict>>,
}

/// Service that runs keyed requests at most once.
pub struct KeyedCalls {
    platform: Arc<dyn Platform>,
    backend: Arc<Backend>,
    clock: SystemClock,
    state: Mutex<State>,
    next_request: AtomicU64,
    wake: Sender<()>,
    woken: Receiver<()>,
}

impl KeyedCalls {
    /// Creates the service for a daemon that has just started.
    pub fn new(
        endpoint: EndpointId,
        platform: Arc<dyn Platform>,
        backend: Arc<Backend>,
        clock: SystemClock,
    ) -> Arc<KeyedCalls> {
        let (wake, woken) = bounded(1);
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let origin_ms = (unix_time.as_micros() as u64).saturating_sub(clock.now().0) / 1_000;
        let settings = claims::Settings::default();
        let claims = Claims::new(settings, endpoint, rand::random(), origin_ms);
        let rng = StdRng::seed_from_u64(rand::random());
        Arc::new(KeyedCalls {
            platform,
            backend,
            clock,
            state: Mutex::new(State { claims, rng, waiting: HashMap::new() }),
            next_request: AtomicU64::new(0),
            wake,
            woken,
        })
    }

    /// Runs a keyed call, or answers it with the stored answer of an earlier one.
    pub(crate) async fn serve(self: &Arc<Self>, key: &str, call: &Call, retries: u8) -> Served {
        let request = RequestId(self.next_request.fetch_add(1, Ordering::Relaxed));
        let (sender, verdict) = bounded(1);
        self.lock().waiting.insert(request, sender);
        let digest = request_digest(call.method.as_ref(), &call.target, &call.body);
        self.feed(Input::Arrive(Arrival {
            request,
            service: call.service.clone(),
            key: key.into(),
            digest,
            deadline: call.deadline,
        }));
        // A task of its own: when the caller goes away, the run goes on and its outcome is kept.
        let (keyed, call) = (Arc::clone(self), call.clone());
        async_std::task::spawn(async move {
            match verdict.recv().await {
                Ok(Verdict::Run) => keyed.run(request, &call, retries).await.into(),
                Ok(Verdict::Stored(answer)) => keyed.stored(answer).await,
                Ok(Verdict::Refuse(failure)) => Served::Failed(failure),
                Err(_) => Served::Failed(Failure::new(
                    ErrorKind::Internal,
                    "the claim decisions dropped the request",
                )),
            }
        })
        .await
    }

    /// Passes the time to the claim decisions when they ask for it; ends when cancelled.
    pub async fn run_timers(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let wake_at = self.lock().claims.wake_at();
            if wake_at <= now {
                self.feed(Input::Tick);
                continue;
            }
            // A notification only means that an earlier time may apply.
            let _ = async_std::future::timeout(wake_at.since(now), self.woken.recv()).await;
        }
    }

    async fn run(self: &Arc<Self>, request: RequestId, call: &Call, retries: u8) -> RunResult {
        let result = self.backend.serve(call, retries).await;
        let outcome = match &result {
            Ok(answer) => claims::RunResult::Answer(Arc::new(kept(answer))),
            Err(failure) => match failure.kind.answer().run {
                Run::No => claims::RunResult::NotRun,
                Run::Unknown => claims::RunResult::Unknown,
            },
        };
        self.feed(Input::RunDone { request, result: outcome });
        result
    }

    async fn stored(&self, answer: StoredAnswer) -> Served {
        let answer = match answer {
            StoredAnswer::Inline(answer) => answer,
            StoredAnswer::Object(name) => match self.read_answer(&name).await {
                Some(answer) => Arc::new(answer),
                None => {
                    let detail = "the request ran and its stored answer can't be read";
                    return Served::Failed(Failure::new(ErrorKind::OutcomeUnknown, detail));
                }
            },
        };
        Served::Stored(Box::new(restored(&answer)))
    }

    async fn read_answer(&self, name: &str) -> Option<claims::Answer> {
        let object = self.platform.get(name).await.ok()?;
        serde_json::from_slice(decode_object(name, &object).ok()?).ok()
    }

    fn feed(self: &Arc<Self>, input: Input) {
        let actions = {
            let mut state = self.lock();
            let State { claims, rng, .. } = &mut *state;
            claims.handle(self.clock.now(), rng, input)
        };
        for action in actions {
            self.carry_out(action);
        }
        // A full channel already holds a notification.
        let _ = self.wake.try_send(());
    }

    fn carry_out(self: &Arc<Self>, action: Action) {
        match action {
            Action::Commit { batch, transaction } => {
                let keyed = Arc::clone(self);
                async_std::task::spawn(async move {
                    let outcome = keyed.commit(transaction).await;
                    keyed.feed(Input::BatchDone { batch, outcome });
                });
            }
            Action::ReadRow { key } => {
                let keyed = Arc::clone(self);
                async_std::task::spawn(async move {
                    let outcome = keyed.read_row(&key).await;
                    keyed.feed(Input::ReadDone { key, outcome });
                });
            }
            Action::PutObject { key, name, answer } => {
                let keyed = Arc::clone(self);
                async_std::task::spawn(async move {
                    let body = serde_json::to_vec(&*answer).expect("plain data encodes");
                    let written = keyed.platform.put(&name, encode_object(&body)).await.is_ok();
                    keyed.feed(Input::PutDone { key, written });
                });
            }
            Action::Run { request } => self.tell(request, Verdict::Run),
            Action::AnswerStored { request, answer } => {
                self.tell(request, Verdict::Stored(answer));
            }
            Action::Refuse { request, kind, retry_after } => {
                let mut failure = Failure::new(kind, refusal_detail(kind));
                failure.retry_after = retry_after;
                self.tell(request, Verdict::Refuse(failure));
            }
        }
    }

    fn tell(&self, request: RequestId, verdict: Verdict) {
        if let Some(waiting) = self.lock().waiting.remove(&request) {
            // The receiver is a task that waits until it is told.
            let _ = waiting.try_send(verdict);
        }
    }

    async fn commit(&self, transaction: Transaction) -> BatchOutcome {
        match self.platform.commit(transaction).await {
            Ok(()) => BatchOutcome::Committed,
            Err(CommitError::Conflict { key }) => BatchOutcome::Conflict { key: key.into() },
            Err(CommitError::Unavailable(_)) => BatchOutcome::Unavailable,
            Err(CommitError::Unknown(_)) => BatchOutcome::Unknown,
        }
    }

    async fn read_row(&self, key: &str) -> ReadOutcome {
        match self.platform.read(key).await {
            Ok(None) => ReadOutcome::Absent,
            Ok(Some(row)) => match serde_json::from_slice(&row.value) {
                Ok(value) => ReadOutcome::Found { revision: row.revision, row: value },
                Err(_) => ReadOutcome::Unavailable,
            },
            Err(_) => ReadOutcome::Unavailable,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns an answer in the form in which it is kept for repeats.
fn kept(answer: &shallottack_http::Answer) -> claims::Answer {
    let headers = answer.headers().filter(|(name, _)| super::answer::passes(name));
    let headers = headers.flat_map(|(name, values)| {
        values.iter().map(move |value| (name.to_owned(), value.as_str().to_owned()))
    });
    claims::Answer {
        status: u16::from(answer.status()),
        headers: headers.collect(),
        body: answer.body.clone(),
    }
}

fn restored(answer: &claims::Answer) -> Response {
    let mut response = Response::new(status(answer.status));
    response.set_body(answer.body.clone());
    response.remove_header(CONTENT_TYPE);
    for (name, value) in &answer.headers {
        response.append_header(name.as_str(), value.as_str());
    }
    response
}

fn refusal_detail(kind: ErrorKind) -> &'static str {
    match kind {
        ErrorKind::KeyReused => "the idempotency key was used with another request",
        ErrorKind::KeyInProgress => "a request with this idempotency key is running",
        ErrorKind::OutcomeUnknown => "an earlier request with this key may have run",
        ErrorKind::PlatformDown => "the platform can't record the idempotency key",
        ErrorKind::DeadlineUnmet => "the idempotency key could not be recorded in time",
        _ => "the keyed request was refused",
    }
}

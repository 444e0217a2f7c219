//! Calls to the backend server on the same VM, admitted by the admission core.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use async_std::channel::{Receiver, Sender, bounded};
use shallottack_admission::{
    AdmissionController, AdmissionDecision, Arrival, CallId, ClassReport, Completion, Dequeued,
    Load, Outcome, Refusal,
};
use shallottack_api::RUN_HEADER;
use shallottack_config::Catalog;
use shallottack_http::{Answer, Error, Pool, PoolSettings};
use shallottack_kernel::{Clock, ErrorKind, Failure, SystemClock};
use shallottack_membership as membership;

use super::{answer, call::Call};
use crate::mesh::Mesh;

/// Time after which a caller may come back when the backend server is absent.
const ABSENT_RETRY: Duration = Duration::from_secs(1);
/// Connections opened ahead for each slot of the backend server.
const AHEAD_PER_SLOT: usize = 1;
/// Time between two probes of a backend server that has announced itself.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// Probes after an announcement; the backend server announces itself again when all failed.
const PROBES: u32 = 240;

/// Whether a queued call may start.
type Decision = Result<(), Refusal>;

/// The backend server announced itself and nothing was tried since.
const ANNOUNCED: u8 = 0;
/// It answered.
const ANSWERED: u8 = 1;
/// A connection failed, it left, or it never announced itself.
const FAILED: u8 = 2;

struct State {
    admission: AdmissionController,
    waiting: HashMap<CallId, Sender<Decision>>,
}

/// Service that runs calls on the backend server beside this daemon.
pub struct Backend {
    mesh: Arc<Mesh>,
    clock: SystemClock,
    state: Mutex<State>,
    address: ArcSwapOption<SocketAddr>,
    pool: Pool,
    next_call: AtomicU64,
    stopping: AtomicBool,
    leaving: AtomicBool,
    /// What was last heard of the backend server: [`ANNOUNCED`], [`ANSWERED`] or [`FAILED`].
    server: AtomicU8,
    wake: Sender<()>,
    woken: Receiver<()>,
}

/// Whole answer of the backend server, or a failure whose kind tells whether the call can have run.
pub(crate) type RunResult = Result<Box<Answer>, Failure>;

impl Backend {
    /// Name under which the service is registered with the kernel.
    pub const NAME: &'static str = "backend";

    /// Creates the service; it refuses calls until a backend server announces itself.
    pub fn new(mesh: Arc<Mesh>, clock: SystemClock, pool: PoolSettings) -> Arc<Backend> {
        let (wake, woken) = bounded(1);
        let admission = AdmissionController::new(shallottack_admission::Settings::default(), 1);
        Arc::new(Backend {
            mesh,
            clock,
            state: Mutex::new(State { admission, waiting: HashMap::new() }),
            address: ArcSwapOption::empty(),
            pool: Pool::new(pool),
            next_call: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            server: AtomicU8::new(FAILED),
            wake,
            woken,
        })
    }

    /// Takes the address and slots of a backend server that announced itself.
    pub fn announce(self: &Arc<Self>, address: SocketAddr, slots: u32) {
        {
            let mut state = self.lock();
            let starts = state.admission.set_slots(self.clock.now(), slots);
            state.release(starts);
        }
        self.address.store(Some(Arc::new(address)));
        self.server.store(ANNOUNCED, Ordering::SeqCst);
        self.leaving.store(false, Ordering::SeqCst);
        async_std::task::spawn(Arc::clone(self).probe(address, slots));
    }

    /// Returns whether the backend server has announced itself and no connection to it has failed
    /// since.
    pub(crate) fn reachable(&self) -> bool {
        self.server.load(Ordering::SeqCst) != FAILED
    }

    /// Takes the leave of the backend server; its next announcement is news.
    pub(crate) fn left(&self) {
        self.leaving.store(true, Ordering::SeqCst);
        self.server.store(FAILED, Ordering::SeqCst);
    }

    /// Opens connections ahead of the first calls, which is also the probe that the membership
    /// core waits for.
    async fn probe(self: Arc<Self>, address: SocketAddr, slots: u32) {
        for _ in 0..PROBES {
            if self.address.load().as_deref() != Some(&address) {
                return;
            }
            match self.pool.preconnect(address, slots as usize * AHEAD_PER_SLOT).await {
                Ok(_) => return self.note_answer(),
                Err(_) => async_std::task::sleep(PROBE_INTERVAL).await,
            }
        }
    }

    /// Tells the membership core of the first success after an announcement or a failed
    /// connection; later ones change nothing.
    fn note_answer(&self) {
        // Checked first, since a swap on every call would contend between threads.
        if self.server.load(Ordering::Relaxed) != ANSWERED
            && self.server.swap(ANSWERED, Ordering::Relaxed) != ANSWERED
        {
            self.mesh.membership(membership::Input::BackendResponded);
        }
    }

    /// Takes the classes of a catalog.
    pub fn set_classes(&self, catalog: &Catalog) {
        self.lock().admission.set_classes(catalog);
    }

    /// Refuses all calls from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Tells the daemons that call from now on, in every answer, that the endpoint is leaving.
    pub fn leave(&self) {
        self.leaving.store(true, Ordering::SeqCst);
    }

    /// Returns whether answers say that the endpoint is leaving.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }

    /// Returns whether calls are refused because of a planned stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    /// Returns the present load.
    pub fn load(&self) -> Load {
        self.lock().admission.load()
    }

    /// Returns how each class fared.
    pub fn report(&self) -> Vec<ClassReport> {
        self.lock().admission.report()
    }

    /// Returns the counts of the connections to the backend server.
    pub fn connections(&self) -> shallottack_http::PoolCounts {
        self.pool.counts()
    }

    /// Passes the time to the admission core when it asks for it; ends when cancelled.
    pub async fn run_timers(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let wake_at = self.lock().admission.wake_at();
            if wake_at <= now {
                let mut state = self.lock();
                let starts = state.admission.tick(now);
                state.release(starts);
                continue;
            }
            // A notification only means that an earlier time may apply.
            let _ = async_std::future::timeout(wake_at.since(now), self.woken.recv()).await;
        }
    }

    /// Runs a call on the backend server once it is admitted.
    pub(crate) async fn serve(self: &Arc<Self>, call: &Call, retries: u8) -> RunResult {
        match self.admit(call).await {
            Ok((address, slot)) => self.run(address, slot, call, retries).await,
            Err(failure) => Err(failure),
        }
    }

    async fn admit(self: &Arc<Self>, call: &Call) -> Result<(SocketAddr, Slot), Failure> {
        if self.stopping() {
            return Err(Failure::new(ErrorKind::Stopping, "the daemon is stopping")
                .retry_after(Duration::from_millis(10)));
        }
        let Some(address) = self.address.load_full() else {
            return Err(Failure::new(
                ErrorKind::NotReady,
                "no backend server has announced itself",
            )
            .retry_after(ABSENT_RETRY));
        };
        let id = CallId(self.next_call.fetch_add(1, Ordering::Relaxed));
        let arrival =
            Arrival { call: id, class: call.class.clone(), deadline: call.deadline, cost: None };
        let waiting = self.arrive(&arrival)?;
        let slot = Slot { backend: Arc::clone(self), call: Some(id) };
        if let Some(decision) = waiting {
            match decision.recv().await {
                Ok(Ok(())) => {}
                Ok(Err(refusal)) => {
                    slot.forget();
                    return Err(refused(refusal));
                }
                Err(_) => {
                    let detail = "the queue dropped the call before its start";
                    return Err(
                        Failure::new(ErrorKind::Overloaded, detail).retry_after(ABSENT_RETRY)
                    );
                }
            }
        }
        Ok((*address, slot))
    }

    fn arrive(&self, arrival: &Arrival) -> Result<Option<Receiver<Decision>>, Failure> {
        let mut state = self.lock();
        match state.admission.arrive(self.clock.now(), arrival) {
            AdmissionDecision::Run => Ok(None),
            AdmissionDecision::Queue => {
                let (sender, receiver) = bounded(1);
                state.waiting.insert(arrival.call, sender);
                // A full channel already holds a notification.
                let _ = self.wake.try_send(());
                Ok(Some(receiver))
            }
            AdmissionDecision::Refuse(refusal) => Err(refused(refusal)),
        }
    }

    async fn run(
        self: &Arc<Self>,
        address: SocketAddr,
        slot: Slot,
        call: &Call,
        retries: u8,
    ) -> RunResult {
        let started = self.clock.now();
        let within = call.deadline.since(started);
        let result = self.pool.send(address, call.request(started, retries), within).await;
        let latency = self.clock.now().since(started);
        let (outcome, result) = self.judge(result);
        slot.complete(Completion { latency, outcome });
        result
    }

    /// Returns what a result means for the admission core and for the caller.
    fn judge(&self, result: Result<Answer, Error>) -> (Outcome, RunResult) {
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                if matches!(error, Error::Unreachable(_)) {
                    self.server.store(FAILED, Ordering::Relaxed);
                    self.mesh.membership(membership::Input::BackendConnectFailed);
                }
                return (Outcome::Failed, Err(exchange_failure(&error)));
            }
        };
        self.note_answer();
        let status = u16::from(answer.status());
        if status == 503 && answer.header(RUN_HEADER) == Some("no") {
            let after = answer::retry_after(&answer).unwrap_or(ABSENT_RETRY);
            let failure = Failure::new(ErrorKind::Overloaded, "the backend server shed the call")
                .retry_after(after);
            return (Outcome::Shed, Err(failure));
        }
        let outcome = if status >= 500 { Outcome::Failed } else { Outcome::Answered };
        (outcome, Ok(Box::new(answer)))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells waiting calls that they may start or are refused.
    fn release(&mut self, starts: Dequeued) {
        let start = starts.start.into_iter().map(|call| (call, Ok(())));
        let refuse = starts.refuse.into_iter().map(|(call, refusal)| (call, Err(refusal)));
        for (call, decision) in start.chain(refuse) {
            if let Some(waiting) = self.waiting.remove(&call) {
                // The call was cancelled at this moment; its `Slot` gives the place back.
                let _ = waiting.try_send(decision);
            }
        }
    }
}

/// Place of a call in the admission core; dropping it cancels the call.
struct Slot {
    backend: Arc<Backend>,
    call: Option<CallId>,
}

impl Slot {
    fn complete(mut self, completion: Completion) {
        let Some(call) = self.call.take() else { return };
        let mut state = self.backend.lock();
        let starts = state.admission.complete(self.backend.clock.now(), call, completion);
        state.release(starts);
    }

    /// Drops the place of a call that the core has already refused.
    fn forget(mut self) {
        self.call = None;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(call) = self.call.take() else { return };
        let mut state = self.backend.lock();
        state.waiting.remove(&call);
        let starts = state.admission.cancel(self.backend.clock.now(), call);
        state.release(starts);
    }
}

fn refused(refusal: Refusal) -> Failure {
    let detail = match refusal.kind {
        ErrorKind::DeadlineUnmet => "the call could not be served before its deadline",
        _ => "the class has used its share of the backend server",
    };
    Failure::new(refusal.kind, detail).retry_after(refusal.retry_after)
}

fn exchange_failure(error: &Error) -> Failure {
    let kind = match error {
        Error::Unreachable(_) => ErrorKind::NotReady,
        Error::TimedOut { sent: false } => ErrorKind::DeadlineUnmet,
        Error::InvalidResponse(_) | Error::TooLarge { .. } => ErrorKind::AnswerBroken,
        Error::StaleConnection(_) | Error::TimedOut { sent: true } => ErrorKind::OutcomeUnknown,
    };
    Failure::new(kind, format!("backend server: {error}")).retry_after(ABSENT_RETRY)
}

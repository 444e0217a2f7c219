//! Callers' requests and forwarded calls.

mod announce;
mod answer;
mod backend;
mod call;
mod callers;
mod keyed;
mod relay;
mod route_table;

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use shallottack_config::Catalog;
use shallottack_http::{Pool, PoolSettings};
use shallottack_kernel::{
    Clock, DataCentre, EndpointId, GroupName, ServiceName, SystemClock, Time,
};
use shallottack_membership::{Member, State};
use shallottack_routing::{CallId, Candidate, CandidateState, Router};

pub(crate) use self::{answer::failure_response, route_table::RouteTable};
pub use self::{backend::Backend, keyed::KeyedCalls};
use crate::mesh::{Mesh, Observer};

/// Service that answers callers' requests.
pub struct Calls {
    me: EndpointId,
    token: Arc<str>,
    mesh: Arc<Mesh>,
    backend: Arc<Backend>,
    keyed: Arc<KeyedCalls>,
    clock: SystemClock,
    router: Arc<Mutex<Router>>,
    routes: Arc<ArcSwapOption<RouteTable>>,
    pool: Pool,
    next_call: AtomicU64,
    announced: Mutex<Option<announce::Announcement>>,
    stopping: AtomicBool,
}

impl Calls {
    /// Name under which the service is registered with the kernel.
    pub const NAME: &'static str = "calls";

    /// Creates the service on the tables that `view` keeps up to date.
    pub fn new(
        me: EndpointId,
        token: &str,
        view: &CallsView,
        mesh: Arc<Mesh>,
        backend: Arc<Backend>,
        keyed: Arc<KeyedCalls>,
        pool: PoolSettings,
    ) -> Arc<Calls> {
        Arc::new(Calls {
            me,
            token: token.into(),
            mesh,
            backend,
            keyed,
            clock: view.clock,
            router: Arc::clone(&view.router),
            routes: Arc::clone(&view.routes),
            pool: Pool::new(pool),
            next_call: AtomicU64::new(0),
            announced: Mutex::new(None),
            stopping: AtomicBool::new(false),
        })
    }

    /// Refuses all new requests of callers from now on.
    pub fn stop(&self) {
        self.stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether new requests are refused because of a planned stop.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::SeqCst)
    }

    fn next_call(&self) -> CallId {
        CallId(self.next_call.fetch_add(1, Ordering::Relaxed))
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the group of a service that takes calls.
    fn group(&self, service: &ServiceName) -> Option<GroupName> {
        let catalog = self.mesh.catalog()?;
        catalog.services.get(service).map(|it| it.group.clone())
    }
}

/// Routing tables that the mesh keeps up to date.
pub struct CallsView {
    clock: SystemClock,
    router: Arc<Mutex<Router>>,
    routes: Arc<ArcSwapOption<RouteTable>>,
    backend: std::sync::OnceLock<Arc<Backend>>,
    /// Incarnation of each ready endpoint and the time since when it is ready.
    ready: Mutex<HashMap<EndpointId, (u64, Time)>>,
}

impl CallsView {
    /// Creates empty tables for a daemon in the data centre `here`.
    pub fn new(here: DataCentre, clock: SystemClock) -> Arc<CallsView> {
        let router = Router::new(shallottack_routing::Settings::default(), here);
        Arc::new(CallsView {
            clock,
            router: Arc::new(Mutex::new(router)),
            routes: Arc::new(ArcSwapOption::empty()),
            backend: std::sync::OnceLock::new(),
            ready: Mutex::new(HashMap::new()),
        })
    }

    /// Passes the classes of later catalogs to `backend` too.
    pub fn attach(&self, backend: Arc<Backend>) {
        // Attached once, right after both are made.
        let _ = self.backend.set(backend);
    }

    /// Returns since when an endpoint is ready; a restart of the endpoint begins anew.
    fn ready_since(&self, member: &Member) -> Option<Time> {
        let mut ready = self.ready.lock().unwrap_or_else(PoisonError::into_inner);
        if member.state != State::Ready {
            ready.remove(&member.endpoint);
            return None;
        }
        let first = (member.incarnation, self.clock.now());
        let entry = ready.entry(member.endpoint.clone()).or_insert(first);
        if entry.0 != member.incarnation {
            *entry = first;
        }
        Some(entry.1)
    }

    fn router(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observer for CallsView {
    fn catalog_applied(&self, catalog: Arc<Catalog>) {
        self.router().set_classes(&catalog);
        if let Some(backend) = self.backend.get() {
            backend.set_classes(&catalog);
        }
        // Last, so that a route is found only once its class is known.
        self.routes.store(Some(Arc::new(RouteTable::new(&catalog))));
    }

    fn endpoints_changed(&self, service: &ServiceName, endpoints: Vec<Arc<Member>>) {
        let candidates =
            endpoints.iter().map(|member| candidate(member, self.ready_since(member))).collect();
        self.router().set_endpoints(service, candidates);
    }
}

fn candidate(member: &Member, cold_since: Option<Time>) -> Candidate {
    let state = match member.state {
        State::Starting => CandidateState::Starting,
        State::Ready => CandidateState::Ready,
        State::Leaving => CandidateState::Leaving,
        State::Suspect => CandidateState::Suspect,
        State::Dead | State::Left => CandidateState::Dead,
    };
    Candidate {
        endpoint: member.endpoint.clone(),
        data_centre: member.data_centre.clone(),
        group: member.group.clone(),
        state,
        incarnation: member.incarnation,
        cold_since,
        weight: 1.0,
    }
}

/// Settings of the connections to other daemons' relay ports.
pub fn relay_pool(body_bytes: usize) -> PoolSettings {
    PoolSettings {
        connections: 128,
        idle: Duration::from_secs(20),
        connect: Duration::from_millis(500),
        body_bytes,
    }
}

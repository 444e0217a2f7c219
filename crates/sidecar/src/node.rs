//! State that the services of a daemon share.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use arc_swap::ArcSwapOption;
use async_std::channel::{Receiver, Sender, bounded};
use shallottack_fleet::{
    Configuration, Directory, FetchTracker, Load, LocalServer, Member, MergeResult,
    NeighbourSettings, Neighbours, Placement, PlacementSettings, RejectedCallers,
    RejectedCallersSettings, RetryBudget, RetryBudgetSettings, Rollout, Slots, SlotsSettings,
    TaskId, Wake, is_store_reader,
};
use shallottack_kernel::{Clock, EndpointId, ServiceName, SystemClock, Time};
use shallottack_rpc::FleetPeers;
use shallottack_site::configuration;

use crate::{
    backend::Backend,
    config_history::{ConfigHistory, StoredConfig},
    events::{Event, EventLog},
    message::OrderRow,
    settings::Settings,
};

/// Part of the fleet's retry budget that is used; the rest covers repeats that backend servers
/// cause with calls of their own, and daemons that count each other late.
const BUDGET_USED: f64 = 0.6;
/// Time for which a backend server that refused a connection gets no request.
const BACKEND_PAUSE: Duration = Duration::from_millis(250);

/// Answer to a request that waits for a slot.
#[derive(Debug, Clone, Copy)]
pub enum Turn {
    /// It runs now.
    Run,
    /// It can't be served in time.
    Reject(Duration),
}

/// Cores of the daemon, behind one lock that is never held over a wait.
pub struct Cores {
    /// Other daemons and this one.
    pub directory: Directory,
    /// Choice of backend servers.
    pub placement: Placement,
    /// Callers that were told to come back.
    pub returns: RejectedCallers,
    /// Backend server on this VM.
    pub local: LocalServer,
    /// Its slots.
    pub slots: Slots,
    /// Moves by service.
    pub rollouts: BTreeMap<ServiceName, Rollout>,
    /// This daemon as it describes itself.
    pub own: Member,
    /// Orders of rollouts as they lie in the store, by service.
    pub orders: BTreeMap<ServiceName, OrderRow>,
    /// Configurations as other daemons get them.
    pub configs: ConfigHistory,
    /// Daemons that are being asked for operators' rows.
    pub fetches: FetchTracker,
    /// Since when another daemon is known to have a newer configuration.
    pub behind_since: Option<Time>,
    /// Daemons that this one exchanges with.
    pub neighbours: Neighbours,
    waiters: HashMap<TaskId, Sender<Turn>>,
    backend_down: Option<Time>,
}

/// State that the services of a daemon share.
pub struct Node {
    /// Settings from the start.
    pub settings: Settings,
    /// Steady clock of all decisions.
    pub clock: SystemClock,
    /// Connections to other daemons.
    pub peers: FleetPeers,
    /// Connections to the backend server.
    pub backend: Backend,
    /// Structured log.
    pub events: EventLog,
    /// Requests of callers and of other daemons in progress.
    pub in_progress: AtomicUsize,
    /// Wakes the writer of this daemon's row.
    pub publish: (Sender<()>, Receiver<()>),
    current: ArcSwapOption<Configuration>,
    cores: Mutex<Cores>,
    tasks: AtomicU64,
}

impl Node {
    /// Creates the state of a daemon that knows nothing yet.
    pub fn new(settings: Settings, events: EventLog) -> Arc<Node> {
        let retries = &settings.retries;
        let budget = RetryBudget::new(RetryBudgetSettings {
            ratio: retries.ratio,
            extra: retries.extra,
            window: retries.window,
            usable_share: BUDGET_USED,
        });
        let placement = Placement::new(
            PlacementSettings::default(),
            settings.vm.clone(),
            settings.data_centre.clone(),
            budget,
        );
        // A clock before 1970 gives 0, which the daemon's own row in the store raises.
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = Member {
            vm: settings.vm.clone(),
            incarnation: since_epoch.as_millis() as u64,
            sequence: 1,
            address: settings.listen.peers,
            data_centre: settings.data_centre.clone(),
            link_kbps: (settings.link_mbps * 1_000.0) as u32,
            stopping: false,
            server: None,
        };
        let mut directory = Directory::default();
        directory.merge(&own);
        let cores = Cores {
            directory,
            placement,
            returns: RejectedCallers::new(RejectedCallersSettings::default()),
            local: LocalServer::default(),
            slots: Slots::new(SlotsSettings::default()),
            rollouts: BTreeMap::new(),
            own,
            orders: BTreeMap::new(),
            configs: ConfigHistory::default(),
            fetches: FetchTracker::default(),
            behind_since: None,
            neighbours: Neighbours::default(),
            waiters: HashMap::new(),
            backend_down: None,
        };
        Arc::new(Node {
            backend: Backend::new(settings.backend),
            settings,
            clock: SystemClock::new(),
            peers: FleetPeers::default(),
            events,
            in_progress: AtomicUsize::new(0),
            publish: bounded(1),
            current: ArcSwapOption::empty(),
            cores: Mutex::new(cores),
            tasks: AtomicU64::new(0),
        })
    }

    /// Returns the current time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Locks the cores; the lock must not be held over a wait.
    pub fn cores(&self) -> MutexGuard<'_, Cores> {
        self.cores.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<Arc<Configuration>> {
        self.current.load_full()
    }

    /// Returns the row version of the configuration in force, 0 for none.
    pub fn config_row(&self) -> u64 {
        self.current.load().as_ref().map_or(0, |it| it.row_version)
    }

    /// Returns whether this daemon follows what changes in the store. In a sampled fleet few do, and
    /// pass on what is new.
    pub fn is_reader(&self) -> bool {
        let cores = self.cores();
        if !cores.sampled() || self.current.load().is_none() {
            return true;
        }
        let here = &self.settings.data_centre;
        let members = cores.directory.members().filter(|it| it.data_centre == *here);
        let answering = members.filter(|it| !it.stopping && cores.placement.is_reachable(&it.vm));
        is_store_reader(&NeighbourSettings::default(), &cores.own, answering)
    }

    /// Returns whether the daemon stops.
    pub fn stopping(&self) -> bool {
        self.cores().own.stopping
    }

    /// Begins the stop: the daemon takes no new work and tells the others.
    pub fn begin_stop(&self) {
        self.redescribe(|own| own.stopping = true);
    }

    /// Returns a new identifier for a request at the slots.
    pub fn next_task(&self) -> TaskId {
        TaskId(self.tasks.fetch_add(1, SeqCst))
    }

    /// Puts a configuration in force unless it is older than the one in force.
    pub fn offer_config(self: &Arc<Self>, stored: &StoredConfig, source: &str) {
        if stored.row <= self.config_row() {
            return;
        }
        match configuration::decode(stored.row, &stored.bytes) {
            Ok(configuration) => {
                // Held while the version is compared again, since store and peers race.
                let mut cores = self.cores();
                if stored.row <= self.config_row() {
                    return;
                }
                let now = self.now();
                let behind = now.since(cores.behind_since.take().unwrap_or(now));
                metrics::histogram!("shallottack_config_behind_seconds")
                    .record(behind.as_secs_f64());
                self.events.write(&Event::Config {
                    version: configuration.version,
                    row: configuration.row_version,
                    routes: configuration.len(),
                    source,
                    behind_ms: behind.as_millis() as u64,
                });
                metrics::gauge!("shallottack_config_row").set(configuration.row_version as f64);
                self.current.store(Some(Arc::new(configuration)));
                cores.configs.push(stored.clone());
                drop(cores);
                self.announce();
            }
            Err(reason) => {
                self.events.write(&Event::ConfigRejected { row: stored.row, reason: &reason });
            }
        }
    }

    /// Takes the description of another daemon.
    pub fn offer_member(&self, member: &Member) {
        if member.vm == self.settings.vm {
            return;
        }
        let mut cores = self.cores();
        if cores.directory.merge(member) == MergeResult::Unchanged {
            return;
        }
        if cores.neighbours.contains(member) {
            cores.placement.set_member(self.now(), member);
        }
        let server = member.server.as_ref();
        self.events.write(&Event::Member {
            vm: member.vm.as_str(),
            server: server.map_or("", |it| it.id.as_str()),
            state: server.map(|it| it.state),
            stopping: member.stopping,
            incarnation: member.incarnation,
            sequence: member.sequence,
        });
    }

    /// Forgets a daemon that has ended.
    pub fn remove_member(&self, vm: &EndpointId) {
        let mut cores = self.cores();
        if let Some(member) = cores.directory.remove(vm) {
            cores.placement.remove_member(vm);
            self.peers.forget(member.address);
            self.events.write(&Event::Peer { vm: vm.as_str(), state: "removed", reason: "" });
        }
    }

    /// Changes how this daemon describes itself and tells the others.
    pub fn redescribe(&self, change: impl FnOnce(&mut Member)) {
        {
            let mut cores = self.cores();
            let cores = &mut *cores;
            change(&mut cores.own);
            cores.own.sequence += 1;
            cores.directory.merge(&cores.own);
            cores.placement.set_member(self.now(), &cores.own);
        }
        // A full channel means that the writer is woken already.
        self.publish.0.try_send(()).ok();
    }

    /// Takes the state of the backend server over into the slots and the description.
    pub fn server_changed(&self, reason: &str) {
        let server = {
            let mut cores = self.cores();
            let now = self.now();
            let server = cores.local.server().cloned();
            let limit = match &server {
                Some(server) if cores.local.is_ready() => server.slots,
                _ => 0,
            };
            let wakes = cores.slots.set_limit(now, limit);
            cores.wake(&wakes);
            server
        };
        if let Some(server) = &server {
            self.events.write(&Event::Server {
                id: server.id.as_str(),
                state: server.state,
                version: server.group.as_str(),
                slots: server.slots,
                reason,
            });
        }
        self.redescribe(|own| own.server = server);
    }

    /// Returns the load of the backend server as other daemons are told of it.
    pub fn load(&self) -> Load {
        let cores = self.cores();
        cores.load(self.now())
    }

    /// Notes that the backend server refused a connection.
    pub fn backend_refused(&self) {
        self.cores().backend_down = Some(self.now() + BACKEND_PAUSE);
    }
}

impl Cores {
    /// Registers a request that waits for a slot.
    pub fn wait_for(&mut self, task: TaskId) -> Receiver<Turn> {
        let (sender, receiver) = bounded(1);
        self.waiters.insert(task, sender);
        receiver
    }

    /// Tells requests that waited what became of them.
    pub fn wake(&mut self, wakes: &[Wake]) {
        for wake in wakes {
            let (task, turn) = match wake {
                Wake::Start(task) => (task, Turn::Run),
                Wake::Reject(task, after) => (task, Turn::Reject(*after)),
            };
            // A request whose caller has just gone gives its slot back itself.
            if let Some(waiter) = self.waiters.remove(task) {
                waiter.try_send(turn).ok();
            }
        }
    }

    /// Forgets a request, whether it waits or runs.
    pub fn cancel(&mut self, now: Time, task: TaskId) {
        self.waiters.remove(&task);
        let wakes = self.slots.cancel(now, task);
        self.wake(&wakes);
    }

    /// Returns whether the backend server takes connections, as far as is known.
    pub fn backend_up(&self, now: Time) -> bool {
        self.backend_down.is_none_or(|until| now >= until)
    }

    /// Returns the load of the backend server.
    pub fn load(&self, now: Time) -> Load {
        let load = self.slots.load(now);
        if self.backend_up(now) && !self.own.stopping { load } else { Load { limit: 0, ..load } }
    }
}

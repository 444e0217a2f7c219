//! Runs the distribution and membership cores: feeds them inputs and carries out their actions.

mod beliefs;
mod outbox;
mod store;
mod tasks;

use std::{
    collections::BTreeSet,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use arc_swap::ArcSwapOption;
use async_std::channel::{Receiver, Sender, bounded};
use async_trait::async_trait;
use rand::{SeedableRng, rngs::StdRng};
use shallottack_config::{Catalog, Version};
use shallottack_distribution::{self as distribution, Distribution, Peer, Report};
use shallottack_kernel::{Clock, DataCentre, EndpointId, ServiceName, SystemClock, Time};
use shallottack_membership::{self as membership, Identity, Member, Membership, State};
use shallottack_platform::Platform;
use shallottack_rpc::{Envelope, Handler, PROTOCOL, Peers, Traffic};

pub(crate) use self::store::translate;
pub use self::store::{Store, StoreError};
use self::{beliefs::Beliefs, outbox::Outbox};

/// Time for which changes of members are collected before the peer list and the routing tables
/// are rebuilt; a restart of many daemons brings thousands of changes within seconds.
const REBUILD_DELAY: Duration = Duration::from_millis(50);

/// Receiver of what the mesh learns.
pub trait Observer: Send + Sync {
    /// Takes a new catalog in force.
    fn catalog_applied(&self, catalog: Arc<Catalog>);

    /// Takes the endpoints of a service after a change.
    fn endpoints_changed(&self, service: &ServiceName, endpoints: Vec<Arc<Member>>);
}

struct Cores {
    distribution: Distribution,
    membership: Membership,
    rng: StdRng,
    /// Time at which collected changes of members are passed on.
    rebuild_at: Option<Time>,
    changed_services: BTreeSet<ServiceName>,
    report: Option<Report>,
    beliefs: Beliefs,
}

/// What a mesh service is made of.
pub struct MeshParts {
    /// What this daemon tells others about itself.
    pub identity: Identity,
    /// Settings of the distribution core.
    pub distribution: distribution::Settings,
    /// Settings of the membership core.
    pub membership: membership::Settings,
    /// Connections to other daemons.
    pub peers: Peers,
    /// Bytes that pass through the connections to and from other daemons.
    pub traffic: Arc<Traffic>,
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// Receiver of what the mesh learns.
    pub observer: Arc<dyn Observer>,
    /// Clock that the cores are driven by.
    pub clock: SystemClock,
    /// Seed of the cores' randomness.
    pub seed: u64,
}

/// Service that keeps this daemon's configuration and view of the mesh up to date.
pub struct Mesh {
    me: Peer,
    cores: Mutex<Cores>,
    peers: Peers,
    traffic: Arc<Traffic>,
    store: Store,
    observer: Arc<dyn Observer>,
    clock: SystemClock,
    catalog: ArcSwapOption<Catalog>,
    wake: Sender<()>,
    woken: Receiver<()>,
    halted: AtomicBool,
}

/// Input of one of the two cores.
enum CoreInput {
    Distribution(distribution::Input),
    Membership(membership::Input),
}

impl Mesh {
    /// Name under which the mesh is registered with the kernel.
    pub const NAME: &'static str = "mesh";

    /// Creates the service; [`Mesh::run`] starts it.
    pub fn new(parts: MeshParts) -> Arc<Mesh> {
        let mut rng = StdRng::seed_from_u64(parts.seed);
        let now = parts.clock.now();
        let me = Peer {
            endpoint: parts.identity.endpoint.clone(),
            data_centre: parts.identity.data_centre.clone(),
        };
        let distribution = Distribution::new(parts.distribution, me.clone(), now, &mut rng);
        let membership = Membership::new(parts.membership, parts.identity, now);
        let (wake, woken) = bounded(1);
        let cores = Cores {
            distribution,
            membership,
            rng,
            rebuild_at: None,
            changed_services: BTreeSet::new(),
            report: None,
            beliefs: Beliefs::default(),
        };
        Arc::new(Mesh {
            me,
            cores: Mutex::new(cores),
            peers: parts.peers,
            traffic: parts.traffic,
            store: Store::new(parts.platform),
            observer: parts.observer,
            clock: parts.clock,
            catalog: ArcSwapOption::empty(),
            wake,
            woken,
            halted: AtomicBool::new(false),
        })
    }

    /// Returns the catalog in force, or `None` before the first.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.load_full()
    }

    /// Returns this daemon's endpoint and data centre.
    pub fn me(&self) -> &Peer {
        &self.me
    }

    /// Returns the bytes that passed to and from other daemons.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }

    /// Returns the store of versions in the platform.
    pub fn store(&self) -> &Store {
        &self.store
    }

    /// Returns the version in force on this daemon.
    pub fn in_force(&self) -> Version {
        self.catalog.load().as_ref().map_or(Version::ZERO, |catalog| catalog.version)
    }

    /// Returns the source of this daemon's data centre, when known.
    pub fn source(&self) -> Option<EndpointId> {
        self.lock().distribution.source().map(|source| source.holder.clone())
    }

    /// Returns the latest report of the data centre, when this daemon is its source.
    pub fn report(&self) -> Option<Report> {
        let mut cores = self.lock();
        let now = self.clock.now();
        cores.distribution.is_source(now).then(|| cores.distribution.report())
    }

    /// Returns all members that are not gone.
    pub fn members(&self) -> Vec<Arc<Member>> {
        let cores = self.lock();
        cores.membership.members().filter(|it| !it.state.is_gone()).cloned().collect()
    }

    /// Returns the number of records that are still being gossiped.
    pub fn pending_gossip(&self) -> usize {
        self.lock().membership.pending_gossip()
    }

    /// Returns the record of one endpoint.
    pub fn member(&self, endpoint: &EndpointId) -> Option<Arc<Member>> {
        self.lock().membership.member(endpoint).cloned()
    }

    /// Returns the number of members of a data centre whose daemons are alive.
    pub fn live(&self, data_centre: &DataCentre) -> usize {
        self.lock().membership.live_members(data_centre).count()
    }

    /// Returns the counters of both cores.
    pub fn counters(&self) -> (distribution::Counters, membership::Counters) {
        let cores = self.lock();
        (*cores.distribution.counters(), *cores.membership.counters())
    }

    /// Ends all activity at once: later inputs and messages have no effect.
    pub fn halt(&self) {
        self.halted.store(true, Ordering::SeqCst);
    }

    /// Passes an input to the membership core.
    pub fn membership(self: &Arc<Self>, input: membership::Input) {
        self.feed([CoreInput::Membership(input)]);
    }

    /// Passes an input to the distribution core.
    pub fn distribution(self: &Arc<Self>, input: distribution::Input) {
        self.feed([CoreInput::Distribution(input)]);
    }

    /// Wakes the cores at the times that they ask for; ends when the task is cancelled.
    pub async fn run(self: Arc<Self>) {
        loop {
            let now = self.clock.now();
            let wake_at = self.wake_at();
            if wake_at <= now {
                self.tick(now);
                continue;
            }
            // A notification only means that an earlier time may apply.
            let _ = async_std::future::timeout(wake_at - now, self.woken.recv()).await;
        }
    }

    fn wake_at(&self) -> Time {
        let cores = self.lock();
        let next = cores.distribution.wake_at().min(cores.membership.wake_at());
        cores.rebuild_at.map_or(next, |at| at.min(next))
    }

    fn tick(self: &Arc<Self>, now: Time) {
        let mut inputs = Vec::new();
        {
            let cores = self.lock();
            if cores.distribution.wake_at() <= now {
                inputs.push(CoreInput::Distribution(distribution::Input::Tick));
            }
            if cores.membership.wake_at() <= now {
                inputs.push(CoreInput::Membership(membership::Input::Tick));
            }
        }
        self.feed(inputs);
        self.rebuild(now);
    }

    fn feed(self: &Arc<Self>, inputs: impl IntoIterator<Item = CoreInput>) {
        let outbox = self.handle(inputs);
        self.dispatch(outbox, None);
    }

    /// Passes inputs to the cores and collects what is to be sent and done.
    fn handle(&self, inputs: impl IntoIterator<Item = CoreInput>) -> Outbox {
        let mut outbox = Outbox::default();
        if self.halted.load(Ordering::SeqCst) {
            return outbox;
        }
        let mut applied = None;
        {
            let mut cores = self.lock();
            for input in inputs {
                let now = self.clock.now();
                let Cores { distribution, membership, rng, .. } = &mut *cores;
                match input {
                    CoreInput::Distribution(input) => {
                        for action in distribution.handle(now, rng, input) {
                            outbox.add_distribution(action, &mut applied);
                        }
                    }
                    CoreInput::Membership(input) => {
                        for action in membership.handle(now, rng, input) {
                            if let Some(member) = outbox.add_membership(action) {
                                cores.note_change(now, &member);
                            }
                        }
                    }
                }
            }
            for to in outbox.without_distribution() {
                let now = self.clock.now();
                let Cores { distribution, rng, .. } = &mut *cores;
                for action in distribution.handle(now, rng, distribution::Input::Piggyback { to }) {
                    outbox.add_distribution(action, &mut applied);
                }
            }
            outbox.resolve(&cores.membership);
            cores.log_beliefs(&self.me, self.clock.now());
            if let Some(report) = outbox.report.take() {
                cores.report = Some(report);
            }
            // Stored under the lock, so that two threads can't store catalogs in the wrong order.
            if let Some(catalog) = &applied {
                self.catalog.store(Some(Arc::clone(catalog)));
                self.observer.catalog_applied(Arc::clone(catalog));
            }
        }
        // A full channel already holds a notification.
        let _ = self.wake.try_send(());
        outbox
    }

    /// Passes collected changes of members to the distribution core and the observer.
    fn rebuild(self: &Arc<Self>, now: Time) {
        let (peers, services) = {
            let mut cores = self.lock();
            if cores.rebuild_at.is_none_or(|at| at > now) {
                return;
            }
            cores.rebuild_at = None;
            let changed = std::mem::take(&mut cores.changed_services);
            let endpoints: Vec<_> = changed
                .into_iter()
                .map(|service| {
                    let members =
                        cores.membership.members_of_service(service.as_str()).cloned().collect();
                    (service, members)
                })
                .collect();
            (cores.live_peers(), endpoints)
        };
        for (service, endpoints) in services {
            self.observer.endpoints_changed(&service, endpoints);
        }
        self.feed([CoreInput::Distribution(distribution::Input::Peers(peers))]);
    }

    fn lock(&self) -> MutexGuard<'_, Cores> {
        self.cores.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn envelope(&self) -> Envelope {
        Envelope {
            protocol: PROTOCOL,
            sender: self.me.endpoint.as_str().to_owned(),
            data_centre: self.me.data_centre.as_str().to_owned(),
            ..Envelope::default()
        }
    }

    /// Decodes the messages of an envelope; malformed ones are dropped, since the sender's core
    /// repeats what matters.
    fn open(envelope: &Envelope) -> Option<(EndpointId, Vec<CoreInput>)> {
        let from = EndpointId::new(&envelope.sender).ok()?;
        let mut inputs = Vec::new();
        for bytes in &envelope.membership {
            if let Ok(message) = postcard::from_bytes(bytes) {
                let from = from.clone();
                inputs.push(CoreInput::Membership(membership::Input::Message { from, message }));
            }
        }
        for bytes in &envelope.distribution {
            if let Ok(message) = postcard::from_bytes(bytes) {
                let from = from.clone();
                let input = distribution::Input::Message { from, message };
                inputs.push(CoreInput::Distribution(input));
            }
        }
        Some((from, inputs))
    }
}

impl Cores {
    /// Logs what has changed since the last call.
    fn log_beliefs(&mut self, me: &Peer, now: Time) {
        let beliefs = Beliefs {
            joined: self.membership.has_joined(),
            source: self.distribution.source().cloned(),
            leads: self.distribution.is_source(now),
        };
        beliefs.log_changes(&self.beliefs, me);
        self.beliefs = beliefs;
    }

    fn note_change(&mut self, now: Time, member: &Member) {
        self.changed_services.insert(member.service.clone());
        self.rebuild_at.get_or_insert(now + REBUILD_DELAY);
    }

    fn live_peers(&self) -> Vec<Peer> {
        let live = self.membership.members().filter(|it| it.state < State::Suspect);
        live.map(|it| Peer { endpoint: it.endpoint.clone(), data_centre: it.data_centre.clone() })
            .collect()
    }
}

/// Handler of other daemons' envelopes.
pub struct MeshHandler(pub Arc<Mesh>);

#[async_trait]
impl Handler for MeshHandler {
    async fn deliver(&self, envelope: Envelope) -> Envelope {
        let Some((from, inputs)) = Mesh::open(&envelope) else { return self.0.envelope() };
        let outbox = self.0.handle(inputs);
        self.0.dispatch(outbox, Some(&from)).unwrap_or_else(|| self.0.envelope())
    }
}

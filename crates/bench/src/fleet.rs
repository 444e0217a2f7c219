//! Many mesh services of the daemon in one process, connected over loopback.

mod gate;
mod node;

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::{RngExt, rngs::StdRng, seq::SliceRandom};
use shallottack_config::{
    Catalog, Change, Class, LatencyTarget, Resource, Route, Service, Version, WriteId,
};
use shallottack_distribution::Mode;
use shallottack_platform::{Faults, MemoryPlatform};

pub use self::{gate::CutPlatform, node::Node};

/// Size of a fleet and how its versions spread.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// Number of daemons.
    pub daemons: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of services, each with a class and a route in the configuration.
    pub services: usize,
    /// How versions spread.
    pub mode: Mode,
    /// Seed of all randomness.
    pub seed: u64,
}

/// When a daemon put a version in force.
#[derive(Debug, Clone, Copy)]
pub struct Applied {
    /// Index of the daemon.
    pub node: usize,
    /// The version.
    pub version: Version,
    /// When.
    pub at: Instant,
}

/// What the daemons report while they run.
#[derive(Debug, Default)]
pub struct Log {
    applied: Vec<Applied>,
    last: BTreeMap<usize, Version>,
    reference: BTreeMap<Version, u64>,
    seen: Vec<(Version, u64)>,
    regressions: u64,
    dangling: u64,
}

/// Log shared by all daemons of a fleet.
#[derive(Debug, Clone, Default)]
pub struct SharedLog(Arc<Mutex<Log>>);

impl SharedLog {
    fn lock(&self) -> MutexGuard<'_, Log> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a daemon put a catalog in force. A restart does not reset the daemon's last
    /// version: going back over a restart counts as a regression too.
    pub(crate) fn record(&self, node: usize, catalog: &Catalog) {
        let digest = digest(catalog);
        let mut log = self.lock();
        let version = catalog.version;
        if log.last.get(&node).is_some_and(|last| version < *last) {
            log.regressions += 1;
        }
        log.last.insert(node, version);
        log.dangling += u64::from(catalog.validate().is_err());
        log.seen.push((version, digest));
        log.applied.push(Applied { node, version, at: Instant::now() });
    }

    /// Records what a version holds according to the platform.
    pub fn reference(&self, catalog: &Catalog) {
        self.lock().reference.insert(catalog.version, digest(catalog));
    }

    /// Returns how often a daemon put an older version in force.
    pub fn regressions(&self) -> u64 {
        self.lock().regressions
    }

    /// Returns how often a catalog with a dangling route or another problem was put in force.
    pub fn dangling(&self) -> u64 {
        self.lock().dangling
    }

    /// Returns how often a catalog in force differed from the version in the platform.
    pub fn partial(&self) -> u64 {
        let log = self.lock();
        let differs = |(version, digest): &&(Version, u64)| {
            log.reference.get(version).is_some_and(|it| it != digest)
        };
        log.seen.iter().filter(differs).count() as u64
    }

    /// Returns the number of applied versions that were compared with the platform's.
    pub fn compared(&self) -> usize {
        let log = self.lock();
        log.seen.iter().filter(|(version, _)| log.reference.contains_key(version)).count()
    }

    /// Returns for each daemon when it first had `version` or a newer one in force after `since`.
    pub fn in_force_at(&self, version: Version, since: Instant) -> BTreeMap<usize, Instant> {
        let log = self.lock();
        let mut first = BTreeMap::new();
        for applied in log.applied.iter().filter(|it| it.version >= version && it.at >= since) {
            first.entry(applied.node).or_insert(applied.at);
        }
        first
    }
}

fn digest(catalog: &Catalog) -> u64 {
    use std::hash::{DefaultHasher, Hash, Hasher};
    let mut hasher = DefaultHasher::new();
    serde_json::to_string(catalog).expect("plain data encodes").hash(&mut hasher);
    hasher.finish()
}

/// Many mesh services on one in-memory platform.
pub struct Fleet {
    settings: FleetSettings,
    platform: MemoryPlatform,
    nodes: Vec<Node>,
    cuts: Vec<Arc<std::sync::atomic::AtomicBool>>,
    log: SharedLog,
    names: usize,
}

impl Fleet {
    /// Starts a fleet whose platform holds a configuration of the stated size.
    pub async fn start(settings: FleetSettings) -> Fleet {
        let cuts = (0..settings.data_centres).map(|_| Arc::default()).collect();
        let mut fleet = Fleet {
            settings,
            platform: MemoryPlatform::new(),
            nodes: Vec::new(),
            cuts,
            log: SharedLog::default(),
            names: 0,
        };
        for index in 0..fleet.settings.daemons {
            let node = fleet.new_node(index).await;
            fleet.nodes.push(node);
        }
        fleet
    }

    /// Returns the daemons.
    pub fn nodes(&self) -> &[Node] {
        &self.nodes
    }

    /// Returns the platform.
    pub fn platform(&self) -> &MemoryPlatform {
        &self.platform
    }

    /// Returns the log.
    pub fn log(&self) -> &SharedLog {
        &self.log
    }

    /// Applies the first configuration and waits until it is in force on all daemons.
    pub async fn apply_base(&self) -> Version {
        let change = base_change(self.settings.services);
        let accepted = self.nodes[0].submit(change).await.expect("first change is accepted");
        self.wait_in_force(accepted).await;
        accepted
    }

    /// Waits until every daemon has `version` or a newer one in force; returns the daemons that
    /// have not after a minute.
    pub async fn wait_in_force(&self, version: Version) -> Vec<usize> {
        let started = Instant::now();
        loop {
            let behind: Vec<usize> =
                self.nodes.iter().filter(|it| it.in_force() < version).map(Node::index).collect();
            if behind.is_empty() || started.elapsed() > Duration::from_secs(60) {
                return behind;
            }
            async_std::task::sleep(Duration::from_millis(5)).await;
        }
    }

    /// Waits until every daemon knows all others as live, or a minute has passed.
    pub async fn wait_joined(&self) -> bool {
        let started = Instant::now();
        while self.nodes.iter().any(|it| it.known() < self.settings.daemons) {
            if started.elapsed() > Duration::from_secs(60) {
                return false;
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        true
    }

    /// Waits until no daemon gossips records any more, or two minutes have passed.
    pub async fn wait_quiet(&self) -> bool {
        let started = Instant::now();
        while self.nodes.iter().any(|it| it.pending_gossip() > 0) {
            if started.elapsed() > Duration::from_secs(120) {
                return false;
            }
            async_std::task::sleep(Duration::from_millis(100)).await;
        }
        true
    }

    /// Returns a change that sets the deadline of one class, different for each `number`.
    pub fn change(&self, number: usize, rng: &mut StdRng) -> Change {
        let service = rng.random_range(0..self.settings.services);
        let mut class = class(service);
        class.deadline = Duration::from_millis(2_000 + number as u64);
        let base = self.nodes[rng.random_range(0..self.nodes.len())].in_force();
        Change {
            id: WriteId(format!("change-{number}").into()),
            base,
            upserts: vec![Resource::Class(class)],
            removes: Vec::new(),
        }
    }

    /// Cuts a data centre off from the others and from the platform, or heals the cut.
    pub fn cut(&self, data_centre: usize, cut: bool) {
        self.cuts[data_centre].store(cut, std::sync::atomic::Ordering::SeqCst);
    }

    /// Takes the platform down, or brings it back.
    pub fn outage(&self, down: bool) {
        self.platform.set_faults(Faults { down, ..Faults::default() });
    }

    /// Kills the sources of all data centres without notice and returns their number.
    pub async fn kill_sources(&mut self) -> usize {
        let sources: Vec<usize> =
            self.nodes.iter().filter(|it| it.is_source()).map(Node::index).collect();
        for index in &sources {
            self.restart(*index).await;
        }
        sources.len()
    }

    /// Kills a share of the daemons without notice and starts them empty, all at once.
    pub async fn mass_restart(&mut self, share: f64, rng: &mut StdRng) -> usize {
        let mut indices: Vec<usize> = (0..self.nodes.len()).collect();
        indices.shuffle(rng);
        indices.truncate((self.nodes.len() as f64 * share) as usize);
        for index in &indices {
            self.nodes[*index].kill().await;
        }
        for index in &indices {
            self.restart(*index).await;
        }
        indices.len()
    }

    async fn restart(&mut self, index: usize) {
        self.nodes[index].kill().await;
        let node = self.new_node(index).await;
        self.nodes[index] = node;
    }

    async fn new_node(&mut self, index: usize) -> Node {
        self.names += 1;
        Node::start(&self.settings, index, self.names as u64, &self.platform, &self.cuts, &self.log)
            .await
    }
}

fn class(index: usize) -> Class {
    Class {
        name: format!("class-{index}").parse().expect("valid name"),
        latency: LatencyTarget { quantile: 0.99, within: Duration::from_millis(80) },
        failures: 0.001,
        deadline: Duration::from_secs(1),
        idempotent: true,
    }
}

fn base_change(services: usize) -> Change {
    let mut upserts = Vec::new();
    for index in 0..services {
        let class = class(index);
        let service = Service {
            name: format!("service-{index}").parse().expect("valid name"),
            group: "v1".parse().expect("valid name"),
        };
        upserts.push(Resource::Route(Route {
            name: format!("route-{index}").parse().expect("valid name"),
            prefix: format!("/service-{index}"),
            methods: Default::default(),
            class: class.name.clone(),
            service: service.name.clone(),
        }));
        upserts.push(Resource::Class(class));
        upserts.push(Resource::Service(service));
    }
    Change { id: WriteId("base".into()), base: Version::ZERO, upserts, removes: Vec::new() }
}

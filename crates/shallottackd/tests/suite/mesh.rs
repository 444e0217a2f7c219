//! Several daemons on one platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use async_std::task::{block_on, sleep};
use async_trait::async_trait;
use shallottack_http::{Answer, Error, Pool, PoolSettings};
use shallottack_kernel::{GroupName, ServiceName};
use shallottack_platform::{
    CommitError, Faults, MemoryPlatform, ObjectError, ObjectStore, ReadError, Row, Table,
    Transaction,
};
use shallottack_standins::{Backend, BackendSettings};
use shallottackd::{Daemon, Running, Settings, commits::Commits, mesh::Mesh};
use tide::http::{Method, Request, Url};

use crate::support::{eventually, send, settings};

const CONFIGURATION: &str = "
classes:
  - { name: lookup, latency: { quantile: 0.99, within_ms: 80 }, failures: 0.001, deadline_ms: 2000, idempotent: true }
  - { name: renewal, latency: { quantile: 0.99, within_ms: 500 }, failures: 0.001, deadline_ms: 3000 }
services:
  - { name: sponsor-desk, group: v1 }
routes:
  - { name: placements, prefix: /placements, class: lookup, service: sponsor-desk }
  - { name: renewals, prefix: /renewals, methods: [POST], class: renewal, service: sponsor-desk }
";

/// Daemons with a backend server each, on one in-memory platform.
struct TestMesh {
    platform: MemoryPlatform,
    daemons: Vec<Daemon<Running>>,
    backends: Vec<Backend>,
}

impl TestMesh {
    /// Starts `count` daemons and waits until each routes to all endpoints.
    async fn start(count: usize) -> TestMesh {
        let platform = MemoryPlatform::new();
        let mut mesh = TestMesh { platform, daemons: Vec::new(), backends: Vec::new() };
        for index in 0..count {
            let daemon = mesh.start_daemon(index).await;
            let service = ServiceName::new("sponsor-desk").unwrap();
            let mut backend = BackendSettings::new(service, GroupName::new("v1").unwrap());
            backend.announce = Some(daemon.addresses().announce);
            backend.service_time = Duration::from_millis(2);
            mesh.backends.push(Backend::start(backend).await.unwrap());
            mesh.daemons.push(daemon);
        }
        let catalog = shallottack_config::parse_file(CONFIGURATION.as_bytes()).unwrap();
        mesh.submit(0, &catalog, "first").await.unwrap();
        mesh.wait_in_force(1).await;
        for daemon in &mesh.daemons {
            let service = daemon.registry().lookup::<Mesh>(Mesh::NAME).unwrap();
            eventually("all endpoints are ready", || async {
                let ready = shallottack_membership::State::Ready;
                let members = service.members();
                let all = members.iter().filter(|it| it.state == ready).count();
                (all == count).then_some(())
            })
            .await;
        }
        mesh
    }

    async fn start_daemon(&self, index: usize) -> Daemon<Running> {
        let text = settings(&format!("sponsor-desk-{index}"));
        let text = text.split("embedded:").next().unwrap();
        let settings = Settings::parse("test.yaml", text).unwrap();
        let bound = Daemon::bind(settings).await.unwrap();
        bound.start_on(Arc::new(self.platform.clone())).await.unwrap()
    }

    async fn submit(
        &self,
        daemon: usize,
        wanted: &shallottack_config::Catalog,
        id: &str,
    ) -> Result<u64, shallottack_kernel::Failure> {
        self.submit_change(daemon, self.change(daemon, wanted, id)).await
    }

    /// Returns the change from what a daemon holds now.
    fn change(
        &self,
        daemon: usize,
        wanted: &shallottack_config::Catalog,
        id: &str,
    ) -> shallottack_config::Change {
        let registry = self.daemons[daemon].registry();
        let held = registry.lookup::<Mesh>(Mesh::NAME).unwrap().catalog().unwrap_or_default();
        let id = shallottack_config::WriteId(id.into());
        shallottack_config::Change::between(&held, wanted, id)
    }

    async fn submit_change(
        &self,
        daemon: usize,
        change: shallottack_config::Change,
    ) -> Result<u64, shallottack_kernel::Failure> {
        let registry = self.daemons[daemon].registry();
        let commits = registry.lookup::<Commits>(Commits::NAME).unwrap();
        commits.submit(change, "test", false, false).await.map(|it| it.version.seq)
    }

    async fn wait_in_force(&self, seq: u64) {
        for daemon in &self.daemons {
            let mesh = daemon.registry().lookup::<Mesh>(Mesh::NAME).unwrap();
            eventually("the version is in force", || async {
                (mesh.in_force().seq >= seq).then_some(())
            })
            .await;
        }
    }

    async fn get(&self, daemon: usize) -> Result<Answer, Error> {
        send(self.daemons[daemon].addresses().callers, Method::Get, "/placements/1", None).await
    }

    async fn renew(&self, daemon: usize, key: &str, body: &str) -> Result<Answer, Error> {
        let to = self.daemons[daemon].addresses().callers;
        let url = Url::parse(&format!("http://{to}/renewals")).unwrap();
        let mut request = Request::new(Method::Post, url);
        request.insert_header("idempotency-key", key);
        request.set_body(body.to_owned());
        Pool::new(PoolSettings::default()).send(to, request, Duration::from_secs(10)).await
    }

    fn runs(&self, key: &str) -> u64 {
        let ledgers = self.backends.iter().map(Backend::ledger);
        ledgers.filter_map(|it| it.keys.get(key).map(|runs| runs.runs)).sum()
    }
}

/// Guards against an outage of the platform that stops what is in force, and against a refusal of
/// a change or a keyed request during it that does not say that nothing was run.
#[test]
fn an_outage_of_the_platform_stops_no_call_in_force() {
    block_on(async {
        let mesh = TestMesh::start(2).await;
        mesh.platform.set_faults(Faults { down: true, ..Faults::default() });
        for daemon in 0..2 {
            assert_eq!(mesh.get(daemon).await.unwrap().status(), 200);
        }
        let refused = mesh.renew(0, "renewal-1", "{}").await.unwrap();
        assert_eq!(refused.header("shallottack-error"), Some("platform-down"));
        assert_eq!(refused.header("shallottack-run"), Some("no"));
        assert_eq!(mesh.runs("renewal-1"), 0);
        mesh.platform.set_faults(Faults::default());
        eventually("the renewal runs once the platform is back", || async {
            let answer = mesh.renew(1, "renewal-1", "{}").await.ok()?;
            answer.status().is_success().then_some(())
        })
        .await;
        assert_eq!(mesh.runs("renewal-1"), 1);
    });
}

/// Guards against a keyed request that runs again when its caller repeats it through another
/// daemon, also when the platform's answers to the claim were lost.
#[test]
fn a_repeated_keyed_request_runs_once() {
    block_on(async {
        let mesh = TestMesh::start(3).await;
        for number in 0..20 {
            let key = format!("renewal-{number}");
            mesh.platform.set_faults(Faults { lost_answers: number % 3, ..Faults::default() });
            let mut bodies = Vec::new();
            for daemon in 0..3 {
                let answer = eventually("the renewal is answered", || async {
                    let answer = mesh.renew(daemon, &key, "{}").await.ok()?;
                    answer.status().is_success().then_some(answer)
                })
                .await;
                bodies.push(answer.body);
            }
            bodies.dedup();
            assert_eq!(bodies.len(), 1, "{key}: all repeats get the first answer");
            assert_eq!(mesh.runs(&key), 1, "{key}");
        }
        let reused = mesh.renew(0, "renewal-0", "{\"other\":1}").await.unwrap();
        assert_eq!(reused.header("shallottack-error"), Some("key-reused"));
    });
}

/// Guards against two operators whose changes overwrite each other or are refused without need.
#[test]
fn racing_operators_merge_or_conflict() {
    block_on(async {
        let mesh = TestMesh::start(2).await;
        let base = shallottack_config::parse_file(CONFIGURATION.as_bytes()).unwrap();
        let edited = |from: &str, to: &str| {
            shallottack_config::parse_file(CONFIGURATION.replace(from, to).as_bytes()).unwrap()
        };
        let (first, second) = (edited("2000", "1900"), edited("3000", "2900"));
        // Both start from the same version, also when the first is in force before the second is
        // sent.
        let (one, two) = (mesh.change(0, &first, "one"), mesh.change(1, &second, "two"));
        let (one, two) =
            futures_lite::future::zip(mesh.submit_change(0, one), mesh.submit_change(1, two)).await;
        assert_eq!(one.unwrap() + two.unwrap(), 2 + 3, "both are accepted, one after the other");
        mesh.wait_in_force(3).await;
        let held =
            mesh.daemons[0].registry().lookup::<Mesh>(Mesh::NAME).unwrap().catalog().unwrap();
        assert_ne!(held.classes["lookup"], base.classes["lookup"]);
        assert_ne!(held.classes["renewal"], base.classes["renewal"]);

        let (first, second) = (edited("2000", "1800"), edited("2000", "1700"));
        let (three, four) = (mesh.change(0, &first, "three"), mesh.change(1, &second, "four"));
        let (one, two) =
            futures_lite::future::zip(mesh.submit_change(0, three), mesh.submit_change(1, four))
                .await;
        let refused: Vec<_> = [one, two].into_iter().filter_map(Result::err).collect();
        assert_eq!(refused.len(), 1, "{refused:?}");
        assert_eq!(refused[0].kind, shallottack_kernel::ErrorKind::Conflict);
    });
}

/// Guards against a planned stop that cuts requests in flight, and against new work at a backend
/// server more than 2 s after its daemon began to leave.
#[test]
fn a_planned_stop_cuts_nothing() {
    block_on(async {
        let mut mesh = TestMesh::start(3).await;
        let (stopped, calls) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
        let addresses: Vec<_> = mesh.daemons.iter().map(|it| it.addresses().callers).collect();
        let callers: Vec<_> = (0..8)
            .map(|number| {
                let to = addresses[number % 2];
                let (stopped, calls) = (Arc::clone(&stopped), Arc::clone(&calls));
                async_std::task::spawn(async move {
                    let pool = Pool::new(PoolSettings::default());
                    while !stopped.load(Ordering::SeqCst) {
                        let url = Url::parse(&format!("http://{to}/placements/1")).unwrap();
                        let request = Request::new(Method::Get, url);
                        let answer = pool.send(to, request, Duration::from_secs(5)).await.unwrap();
                        assert_eq!(answer.status(), 200);
                        calls.fetch_add(1, Ordering::SeqCst);
                    }
                })
            })
            .collect();
        eventually("calls flow", || async { (calls.load(Ordering::SeqCst) > 100).then_some(()) })
            .await;
        let leaving = mesh.daemons.pop().unwrap();
        let begun = std::time::Instant::now();
        let stop = async_std::task::spawn(leaving.stop());
        let mut last_change = (mesh.backends[2].ledger().runs, Duration::ZERO);
        while begun.elapsed() < Duration::from_secs(3) {
            let runs = mesh.backends[2].ledger().runs;
            if runs != last_change.0 {
                last_change = (runs, begun.elapsed());
            }
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(stop.await.aborted, 0);
        assert!(last_change.1 < Duration::from_secs(2), "new work after {:?}", last_change.1);
        stopped.store(true, Ordering::SeqCst);
        for caller in callers {
            caller.await;
        }
    });
}

/// Guards against a daemon that starts empty beside others and serves an older version than the
/// one accepted before its start.
#[test]
fn a_daemon_that_starts_empty_serves_the_accepted_version() {
    block_on(async {
        let mut mesh = TestMesh::start(2).await;
        let edited = CONFIGURATION.replace("2000", "1900");
        let catalog = shallottack_config::parse_file(edited.as_bytes()).unwrap();
        mesh.submit(1, &catalog, "second").await.unwrap();
        let daemon = mesh.start_daemon(7).await;
        let service = daemon.registry().lookup::<Mesh>(Mesh::NAME).unwrap();
        eventually("the new daemon has a version in force", || async {
            let catalog = service.catalog()?;
            assert!(catalog.version.seq >= 2, "version {}", catalog.version);
            Some(())
        })
        .await;
        mesh.daemons.push(daemon);
        mesh.wait_in_force(2).await;
    });
}

/// Platform that does not list rows while `blind` is set.
struct BlindPlatform {
    inner: MemoryPlatform,
    blind: Arc<AtomicBool>,
}

#[async_trait]
impl Table for BlindPlatform {
    async fn read(&self, key: &str) -> Result<Option<Row>, ReadError> {
        self.inner.read(key).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>, ReadError> {
        if self.blind.load(Ordering::SeqCst) {
            return Err(ReadError("rows are not listed".to_owned()));
        }
        self.inner.scan(prefix, after, limit).await
    }

    async fn commit(&self, transaction: Transaction) -> Result<(), CommitError> {
        self.inner.commit(transaction).await
    }
}

#[async_trait]
impl ObjectStore for BlindPlatform {
    async fn get(&self, name: &str) -> Result<Vec<u8>, ObjectError> {
        self.inner.get(name).await
    }

    async fn put(&self, name: &str, body: Vec<u8>) -> Result<(), ObjectError> {
        self.inner.put(name, body).await
    }

    async fn delete(&self, name: &str) -> Result<(), ObjectError> {
        self.inner.delete(name).await
    }
}

/// Guards against a source that became one before it knew another member and never looks for any:
/// its data centre stays cut off from the others.
#[test]
fn sources_that_started_alone_find_each_other() {
    block_on(async {
        let platform = MemoryPlatform::new();
        let blind = Arc::new(AtomicBool::new(true));
        let (mut daemons, mut backends) = (Vec::new(), Vec::new());
        for data_centre in ["medina", "lac"] {
            let text = settings(&format!("sponsor-desk-{data_centre}"));
            let text = text.split("embedded:").next().unwrap();
            let text = text.replace("data_centre: medina", &format!("data_centre: {data_centre}"));
            let bound = Daemon::bind(Settings::parse("test.yaml", &text).unwrap()).await.unwrap();
            let platform = BlindPlatform { inner: platform.clone(), blind: Arc::clone(&blind) };
            let daemon = bound.start_on(Arc::new(platform)).await.unwrap();
            let service = ServiceName::new("sponsor-desk").unwrap();
            let mut backend = BackendSettings::new(service, GroupName::new("v1").unwrap());
            backend.announce = Some(daemon.addresses().announce);
            backends.push(Backend::start(backend).await.unwrap());
            daemons.push(daemon);
        }
        let meshes: Vec<Arc<Mesh>> =
            daemons.iter().map(|it| it.registry().lookup::<Mesh>(Mesh::NAME).unwrap()).collect();
        for mesh in &meshes {
            eventually("the daemon is the source", || async {
                mesh.report().is_some().then_some(())
            })
            .await;
        }
        blind.store(false, Ordering::SeqCst);
        for (mesh, other) in [(0, "sponsor-desk-lac"), (1, "sponsor-desk-medina")] {
            let other = other.parse().unwrap();
            eventually("the source knows the other one", || async {
                meshes[mesh].member(&other).map(drop)
            })
            .await;
        }
    });
}

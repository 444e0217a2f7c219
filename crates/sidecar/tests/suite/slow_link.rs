//! Configurations that reach a daemon over a slow link.
//!
//! The daemon runs in this process. Another daemon is played by the test, and whatever the two send
//! each other is on the way for longer than an exchange or a connection usually takes.

use std::{
    fs,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
        mpsc,
    },
    thread,
    time::{Duration, Instant},
};

use async_std::task::{self, block_on};
use async_trait::async_trait;
use bytes::Bytes;
use serde_json::json;
use shallottack_fleet::{Load, Member};
use shallottack_http::{Body, BudgetSettings, MemoryBudget};
use shallottack_kernel::{DataCentre, EndpointId};
use shallottack_rpc::{FleetHandler, FleetPeers, Frame, PROTOCOL, serve_fleet};
use shallottack_sidecar::{
    config_history::{ConfigHistory, StoredConfig},
    message::{
        Gossip, OperatorRows, PeerMessage, SyncReply, SyncRequest, Versions, decode, encode,
    },
};
use shallottack_standins::site::{SiteServer, SiteStore, exchange};
use smallvec::SmallVec;

/// Time in which the daemon starts and knows the other one.
const WITHIN: Duration = Duration::from_secs(8);
/// Time on the way in each direction, longer than a fetch was awaited before.
const DELAY: Duration = Duration::from_millis(1_600);
/// Shortest time within which a configuration has to be in force, as stated by the sites.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

/// Forwards connections; what they carry, and their opening, is on the way for `delay`.
fn delayed(to: SocketAddr, slow: &Arc<AtomicBool>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let address = listener.local_addr().unwrap();
    let slow = Arc::clone(slow);
    thread::spawn(move || {
        for client in listener.incoming() {
            let (client, slow) = (client.unwrap(), Arc::clone(&slow));
            thread::spawn(move || {
                let Ok(server) = TcpStream::connect(to) else { return };
                for (from, to) in
                    [(client.try_clone().unwrap(), server.try_clone().unwrap()), (server, client)]
                {
                    let slow = Arc::clone(&slow);
                    thread::spawn(move || forward(from, to, &slow));
                }
            });
        }
    });
    address
}

fn forward(mut from: TcpStream, mut to: TcpStream, slow: &AtomicBool) {
    let (sender, receiver) = mpsc::channel::<(Instant, Vec<u8>)>();
    let writer = thread::spawn(move || {
        while let Ok((due, bytes)) = receiver.recv() {
            thread::sleep(due.saturating_duration_since(Instant::now()));
            if to.write_all(&bytes).is_err() {
                break;
            }
        }
        // The other side may have ended already.
        let _ = to.shutdown(std::net::Shutdown::Both);
    });
    let mut part = [0; 4_096];
    while let Ok(count @ 1..) = from.read(&mut part) {
        let delay = if slow.load(SeqCst) { DELAY } else { Duration::ZERO };
        if sender.send((Instant::now() + delay, part[..count].to_vec())).is_err() {
            break;
        }
    }
    drop(sender);
    let _ = writer.join();
}

/// Another daemon, played by the test.
struct Peer {
    memory: MemoryBudget,
    own: Member,
    configs: Mutex<ConfigHistory>,
    version: Mutex<u64>,
    /// Number of fetches that it answered.
    fetches: AtomicUsize,
}

impl Peer {
    fn versions(&self) -> Versions {
        Versions { config: *self.version.lock().unwrap(), ..Versions::default() }
    }

    fn add(&self, version: u64) {
        let bytes = serde_json::to_vec(&configuration(version)).unwrap();
        let stored = StoredConfig { version, bytes: bytes.into() };
        self.configs.lock().unwrap().push(stored, None);
        *self.version.lock().unwrap() = version;
    }

    /// Returns the state that it sends, with the difference from version `held` if there is one.
    fn gossip(&self, held: Option<u64>) -> Gossip {
        let config = held.and_then(|it| self.configs.lock().unwrap().compress_newest(it).unwrap());
        Gossip {
            own: self.own.clone(),
            load: Load::default(),
            versions: self.versions(),
            evidence: Vec::new(),
            reports: Vec::new(),
            members: Vec::new(),
            leaves: SmallVec::new(),
            digests: Vec::new(),
            rows: OperatorRows { config, orders: Vec::new() },
        }
    }
}

#[async_trait]
impl FleetHandler for Peer {
    async fn run(&self, _: Bytes, _: Body) -> Result<(Vec<u8>, Body), String> {
        Err("runs nothing".to_owned())
    }

    fn refuse(&self, _: Bytes) -> Result<Vec<u8>, String> {
        Err("runs nothing".to_owned())
    }

    fn memory(&self) -> &MemoryBudget {
        &self.memory
    }

    async fn sync(&self, frame: Frame) -> Result<Frame, String> {
        let PeerMessage::Sync(request) = decode(&frame.head)? else {
            return Err("no quotas".to_owned());
        };
        if request.fetch {
            self.fetches.fetch_add(1, SeqCst);
        }
        let held = request.gossip.versions.config;
        let reply = SyncReply { gossip: self.gossip(request.fetch.then_some(held)) };
        let head = encode(&reply).into();
        Ok(Frame { protocol: PROTOCOL, head, body: Bytes::new(), body_bytes: 0 })
    }

    fn revoke(&self, frame: Frame) -> Result<Frame, String> {
        Ok(frame)
    }
}

fn configuration(version: u64) -> serde_json::Value {
    let route = |path: String| {
        json!({"name": format!("r{}", path.replace('/', "-")), "host": "shop.example",
            "prefix": path, "kind": "idempotent", "timeout": "3000ms", "latency_goal": "500ms",
            "priority": 1, "service": "stock", "attempts": 2})
    };
    let routes: Vec<_> = (1..=version).map(|it| route(format!("/v{it}/"))).collect();
    json!({"version": format!("{version:08x}"), "routes": routes, "services": [], "limits":
        {"max_header_bytes": 16_384, "max_body_bytes": 1_000_000, "header_timeout": "3000ms",
         "idle_timeout": "15000ms"}})
}

fn memory() -> MemoryBudget {
    let capacity = 8_000_000;
    MemoryBudget::new(BudgetSettings { capacity, short_share: 1_000_000, responses: capacity })
}

/// A daemon that has version 1, the store of which is away, and another one that it knows.
struct Pair {
    peer: Arc<Peer>,
    peers: FleetPeers,
    /// Address of the daemon behind the slow link.
    to: SocketAddr,
    callers: SocketAddr,
    _server: SiteServer,
    _store: SiteStore,
}

impl Pair {
    /// Starts both on an idle link, which is slow when this returns.
    async fn start(name: &str) -> Pair {
        let store = SiteStore::start().unwrap();
        store.put("op", "config", &configuration(1));
        let server = SiteServer::start(&format!("i-{name}"), "stock").unwrap();
        let held = [(); 5].map(|()| TcpListener::bind(("127.0.0.1", 0)).unwrap());
        let [callers, peers, ready, heartbeats, metrics] = held.map(|it| it.local_addr().unwrap());
        let file = format!("shallottack-slow-link-{name}-{}.yaml", std::process::id());
        let settings = std::env::temp_dir().join(file);
        let text = format!(
            "vm: {name}\ndata_centre: a\nservice: stock\nbackend: \"{}\"\nlisten:\n  \
             callers: \"{callers}\"\n  peers: \"{peers}\"\n  ready: \"{ready}\"\n  \
             heartbeats: \"{heartbeats}\"\n  metrics: \"{metrics}\"\nstore: \"{}\"\n\
             heartbeat: 1500ms\nlink_mbps: 10\nstop:\n  grace: 6s\nretries:\n  ratio: 0.2\n  \
             extra: 60\n  window: 10s\n",
            server.address(),
            store.address(),
        );
        fs::write(&settings, text).unwrap();
        let path = settings.clone();
        thread::spawn(move || block_on(shallottack_sidecar::run(&path)).unwrap());
        await_that("the daemon takes heartbeats", WITHIN, || {
            server.heartbeat(heartbeats, "ready").is_ok_and(|it| it == 200)
        });
        fs::remove_file(settings).unwrap();
        await_that("version 1 is in force", WITHIN, || in_force(callers, 1));
        store.set_down(true);

        let slow = Arc::<AtomicBool>::default();
        let listener = async_std::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = delayed(listener.local_addr().unwrap(), &slow);
        let own = Member {
            vm: EndpointId::new("other-1").unwrap(),
            incarnation: 1,
            sequence: 1,
            address,
            data_centre: DataCentre::new("a").unwrap(),
            link_kbps: 10_000,
            stopping: false,
            server: None,
            left: SmallVec::new(),
            crashes: SmallVec::new(),
            verdicts: SmallVec::new(),
        };
        let peer = Arc::new(Peer {
            memory: memory(),
            own,
            configs: Mutex::default(),
            version: Mutex::new(0),
            fetches: AtomicUsize::new(0),
        });
        peer.add(1);
        drop(serve_fleet(listener, Arc::clone(&peer)));
        let to = delayed(peers, &slow);
        let pair = Pair {
            peer,
            peers: FleetPeers::new(memory()),
            to,
            callers,
            _server: server,
            _store: store,
        };
        pair.exchange(None).await.expect("an exchange on the idle link");
        slow.store(true, SeqCst);
        pair
    }

    /// Sends the other daemon's state, and returns the daemon's.
    async fn exchange(&self, held: Option<u64>) -> Option<SyncReply> {
        let request = SyncRequest { gossip: self.peer.gossip(held), fetch: false };
        let message = encode(&PeerMessage::Sync(Box::new(request)));
        let reply = self.peers.sync(self.to, message, DELAY * 3).await;
        reply.ok().and_then(|it| decode(&it.head).ok())
    }
}

fn in_force(callers: SocketAddr, version: u64) -> bool {
    let request = format!(
        "GET /v{version}/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: v{version}\r\n\
         deadline-ms: 1000\r\n\r\n"
    );
    exchange(callers, &request, 1).is_ok_and(|it| it[0].status == 200)
}

fn await_that(what: &str, within: Duration, condition: impl Fn() -> bool) {
    let end = Instant::now() + within;
    while !condition() {
        assert!(Instant::now() < end, "not within {within:?}: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}

/// Guards against a version that takes three crossings of a full link, the last of which takes longer
/// than its answer is awaited: callers got 404 for routes that were in force elsewhere.
#[test]
fn change_crosses_a_slow_link_three_times() {
    block_on(async {
        let pair = Pair::start("stock-1").await;
        pair.peer.add(2);
        let announced = Instant::now();
        let announcing = pair.exchange(Some(1));
        let during = task::spawn_blocking({
            let callers = pair.callers;
            move || {
                await_that("version 2 is in force", CONFIG_APPLY, || in_force(callers, 2));
                announced.elapsed()
            }
        });
        let (_, taken) = futures_lite::future::zip(announcing, during).await;
        assert!(taken >= DELAY, "the link is not slow: {taken:?}");
    });
}

/// Guards against an answer that comes late and is thrown away, so that a configuration that is too
/// long for an announcement is never in force behind a slow link.
#[test]
fn late_answer_to_a_fetch_is_thrown_away() {
    block_on(async {
        let pair = Pair::start("stock-2").await;
        pair.peer.add(2);
        let announcing = pair.exchange(None);
        let during = task::spawn_blocking({
            let callers = pair.callers;
            // The announcement, the opening of a connection, the fetch and its answer.
            let within = DELAY * 4 + CONFIG_APPLY;
            move || await_that("version 2 is in force", within, || in_force(callers, 2))
        });
        futures_lite::future::zip(announcing, during).await;
        let fetches = pair.peer.fetches.load(SeqCst);
        assert!((1..=8).contains(&fetches), "{fetches} fetches");
    });
}

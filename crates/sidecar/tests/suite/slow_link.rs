//! Configurations that reach a daemon over a slow link.
//!
//! The daemon runs in this process. Another daemon is played by the test, and whatever the two send
//! each other is on the way for longer than an exchange or a connection usually takes.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use async_std::task::{self, block_on};
use async_trait::async_trait;
use bytes::Bytes;
use serde_json::json;
use shallottack_fleet::{Load, Member, Rank, RequestKey, SendId, Ticket};
use shallottack_http::{Body, BudgetSettings, MemoryBudget};
use shallottack_kernel::{DataCentre, EndpointId, ServiceName, Time};
use shallottack_rpc::{BodyTurn, FleetHandler, FleetPeers, Frame, Lane, PROTOCOL, serve_fleet};
use shallottack_sidecar::{
    config_history::{ConfigHistory, StoredConfig},
    message::{
        Gossip, OperatorRows, PeerMessage, RunOutcome, RunReply, RunRequest, SendStamp, SyncReply,
        SyncRequest, Versions, decode, encode,
    },
};
use shallottack_standins::{
    link::{Proxy, Queue},
    site::{Answering, SiteServer, SiteStore, exchange},
};
use smallvec::SmallVec;

use crate::daemon::{self, Ports, WITHIN, await_that};

/// Time on the way in each direction, longer than a fetch was awaited before.
const DELAY: Duration = Duration::from_millis(1_600);
/// Shortest time within which a configuration has to be in force, as stated by the sites.
const CONFIG_APPLY: Duration = Duration::from_secs(2);

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

    async fn grant(&self, _: Bytes, _: usize) -> Result<BodyTurn, String> {
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
        Ok(Frame { protocol: PROTOCOL, head, ..Frame::default() })
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
    /// Directions of the link of the daemon.
    inbound: Queue,
    outbound: Queue,
    server: SiteServer,
    _store: SiteStore,
}

impl Pair {
    /// Starts both on an idle link.
    async fn start(name: &str) -> Pair {
        let store = SiteStore::start().unwrap();
        store.put("op", "config", &configuration(1));
        let server = SiteServer::start(&format!("i-{name}"), "stock").unwrap();
        let Ports { callers, peers } = daemon::start(name, &store, &server);
        await_that("version 1 is in force", WITHIN, || in_force(callers, 1));
        store.set_down(true);

        let (inbound, outbound) = (Queue::default(), Queue::default());
        let listener = async_std::net::TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = Proxy::start(listener.local_addr().unwrap(), &outbound, &inbound).address;
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
        let to = Proxy::start(peers, &inbound, &outbound).address;
        let pair = Pair {
            peer,
            peers: FleetPeers::new(memory()),
            to,
            callers,
            inbound,
            outbound,
            server,
            _store: store,
        };
        pair.exchange(None).await.expect("an exchange on the idle link");
        pair
    }

    fn slow_down(&self) {
        self.inbound.delay(DELAY);
        self.outbound.delay(DELAY);
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
    status(callers, version) == Some(200)
}

/// Returns the status of the answer on the route that a version adds.
fn status(callers: SocketAddr, version: u64) -> Option<u16> {
    let request = format!(
        "GET /v{version}/1 HTTP/1.1\r\nhost: shop.example\r\nrequest-id: v{version}\r\n\
         deadline-ms: 1000\r\n\r\n"
    );
    exchange(callers, &request, 1).ok().map(|it| it[0].status)
}

/// Guards against a version that takes three crossings of a full link, the last of which takes longer
/// than its answer is awaited: callers got 404 for routes that were in force elsewhere.
#[test]
fn change_crosses_a_slow_link_three_times() {
    block_on(async {
        let pair = Pair::start("stock-1").await;
        pair.slow_down();
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
        pair.slow_down();
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

/// Guards against a refusal by a version of which a newer one is known, in which the route may be: callers
/// got a final 404 instead of a time to come back.
#[test]
fn route_is_missing_in_a_version_known_to_be_old() {
    block_on(async {
        let pair = Pair::start("stock-4").await;
        pair.slow_down();
        assert_eq!(status(pair.callers, 2), Some(404), "no newer version is known");
        pair.peer.add(2);
        let announcing = pair.exchange(None);
        let during = task::spawn_blocking({
            let callers = pair.callers;
            move || {
                let known = || status(callers, 2) == Some(503);
                await_that("a newer version is known", DELAY + CONFIG_APPLY, known);
                while let Some(status @ (404 | 503)) = status(callers, 2) {
                    assert_eq!(status, 503);
                    thread::sleep(Duration::from_millis(50));
                }
                await_that("version 2 is in force", CONFIG_APPLY, || in_force(callers, 2));
                assert_eq!(status(callers, 3), Some(404), "no newer version is known");
            }
        });
        futures_lite::future::zip(announcing, during).await;
    });
}

/// Rate of the smallest links in bytes per second.
const LINK_RATE: u64 = 1_250_000;
/// Mean length of an upload in bytes.
const UPLOAD: usize = 60_000;
/// Uploads as a share of what the link carries.
const OVERLOAD: f64 = 2.2;
/// Time for which uploads come.
const UPLOADS_FOR: Duration = Duration::from_secs(6);
/// Time between two configurations.
const STORM_PAUSE: Duration = Duration::from_millis(150);

/// Sends an upload as another caller's daemon does. Returns the outcome, if the call was answered.
async fn upload(
    to: SocketAddr,
    peers: Arc<FleetPeers>,
    sent: Time,
    number: u64,
) -> Option<RunOutcome> {
    let caller = ServiceName::new("shop").unwrap();
    let id = format!("u{number}");
    let request = RunRequest {
        stamp: Some(SendStamp { id: SendId { daemon: 7, number }, sent }),
        server: EndpointId::new("i-stock-3").unwrap(),
        key: RequestKey::new(&caller, "POST", "shop.example", &id, std::iter::empty()),
        caller,
        route: Arc::from("r-v1-"),
        organisation: None,
        rank: Rank::new(None, 2),
        ticket: Ticket(128),
        named_call: false,
        repeat: None,
        idempotent: false,
        returned: false,
        goal: Duration::from_millis(1_200),
        left: Duration::from_secs(4),
        rate_limit: None,
        may_wait: true,
        method: "POST".to_owned(),
        target: format!("/v1/{id}"),
        headers: vec![("request-id".to_owned(), id.clone().into_bytes())],
        delay: Duration::ZERO,
        id,
    };
    let body = Body::from(Bytes::from(vec![b'u'; UPLOAD / 2 + (number as usize % 7) * UPLOAD / 6]));
    let call = peers.open_call(to, Lane::Large).await;
    let reply = async { call?.run(encode(&request), body).await }.await;
    reply.ok().map(|(head, _)| decode::<RunReply>(&head).unwrap().outcome)
}

/// Guards against uploads of many daemons that fill the link of the one beside the server: during a
/// series of changes its callers got 404 for routes that were in force elsewhere for seconds, and calls
/// to it came after their deadlines. The link must not be idle either.
#[test]
fn uploads_of_many_daemons_hold_back_a_series_of_changes() {
    block_on(async {
        let pair = Pair::start("stock-3").await;
        pair.server.set_slots(6);
        pair.server.answer(Answering::After(Duration::from_millis(50)));
        pair.inbound.limit(LINK_RATE);
        pair.outbound.limit(LINK_RATE);
        let began = Instant::now();
        let clock = move || Time(1_000_000_000 + began.elapsed().as_micros() as u64);
        let before = pair.inbound.forwarded();
        let senders: Vec<_> = (0..12).map(|_| Arc::new(FleetPeers::new(memory()))).collect();
        let to = pair.to;
        let uploads = async {
            let mut sent = Vec::new();
            let pause = Duration::from_secs_f64(UPLOAD as f64 / (OVERLOAD * LINK_RATE as f64));
            while began.elapsed() < UPLOADS_FOR {
                let number = sent.len() as u64;
                let peers = Arc::clone(&senders[number as usize % senders.len()]);
                sent.push(task::spawn(upload(to, peers, clock(), number)));
                task::sleep(pause).await;
            }
            let carried = pair.inbound.forwarded() - before;
            let mut answered = 0;
            for it in sent.drain(..) {
                let outcome = it.await;
                assert!(outcome.is_some(), "an upload has no answer");
                answered += u32::from(matches!(outcome, Some(RunOutcome::Answered { .. })));
            }
            (carried, answered)
        };
        let callers = pair.callers;
        let changes = async {
            let mut slowest = Duration::ZERO;
            let mut version = 1;
            while began.elapsed() < UPLOADS_FOR {
                pair.peer.add(version + 1);
                let announced = Instant::now();
                let exchange = pair.exchange(Some(version));
                let shown = task::spawn_blocking(move || {
                    let what = format!("version {} is in force", version + 1);
                    await_that(&what, CONFIG_APPLY, || in_force(callers, version + 1));
                    announced.elapsed()
                });
                let (reply, taken) = futures_lite::future::zip(exchange, shown).await;
                assert!(reply.is_some());
                slowest = slowest.max(taken);
                version += 1;
                task::sleep(STORM_PAUSE).await;
            }
            slowest
        };
        let ((carried, answered), slowest) = futures_lite::future::zip(uploads, changes).await;
        let share = carried as f64 / (LINK_RATE as f64 * UPLOADS_FOR.as_secs_f64());
        println!("slowest change {slowest:?}, {answered} uploads answered, link {share:.2} busy");
        // One crossing of a link on which bodies take some tens of milliseconds.
        assert!(slowest < CONFIG_APPLY / 4, "{slowest:?}");
        assert!(share > 0.7, "the link is {share:.2} busy");
    });
}

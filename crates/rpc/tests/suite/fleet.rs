//! Calls between daemons on busy, silent and cut connections.

use std::{
    ops::Deref,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use async_std::{
    net::TcpListener,
    task::{self, block_on},
};
use async_trait::async_trait;
use bytes::Bytes;
use shallottack_http::{Body, BudgetSettings, MemoryBudget};
use shallottack_rpc::{
    BodyTurn, FleetHandler, FleetPeers, Frame, GrantedCall, Lane, PROTOCOL, PeerError, serve_fleet,
};
use shallottack_standins::link::{Proxy, Queue};

/// Size of a large body in bytes.
const LARGE: usize = 360_000;
/// Run time of a request.
const RUN: Duration = Duration::from_millis(100);

/// Number of bodies that the handler grants at the same time.
const TURNS: usize = 2;

/// Handler that counts its calls, and grants one body after another.
struct Counting {
    memory: MemoryBudget,
    runs: AtomicUsize,
    /// Number of runs that have ended.
    ended: AtomicUsize,
    revocations: AtomicUsize,
    /// Whether no body is granted.
    holds: AtomicBool,
    /// Numbers of bodies that are granted now, and at most so far.
    granted: AtomicUsize,
    most_granted: AtomicUsize,
}

/// A granted call of the handler.
struct Granted {
    handler: Arc<Counting>,
    head: Bytes,
}

impl Drop for Granted {
    fn drop(&mut self) {
        self.handler.granted.fetch_sub(1, SeqCst);
    }
}

#[async_trait]
impl GrantedCall for Granted {
    fn time_left(&self) -> Duration {
        Duration::from_secs(20)
    }

    fn record_arrival(&mut self, _: usize) {}

    async fn run(self: Box<Self>, body: Body) -> Result<(Vec<u8>, Body), String> {
        let (handler, head) = (Arc::clone(&self.handler), self.head.clone());
        drop(self);
        handler.run(head, body).await
    }
}

/// Link to a daemon.
struct Link {
    proxy: Proxy,
    /// Queue towards the daemon.
    to: Queue,
}

impl Deref for Link {
    type Target = Proxy;

    fn deref(&self) -> &Proxy {
        &self.proxy
    }
}

/// Handler of a daemon.
struct Daemon(Arc<Counting>);

impl Counting {
    async fn run(&self, head: Bytes, _: Body) -> Result<(Vec<u8>, Body), String> {
        if head.as_ref() == b"invalid" {
            return Err("invalid".to_owned());
        }
        self.runs.fetch_add(1, SeqCst);
        task::sleep(RUN).await;
        self.ended.fetch_add(1, SeqCst);
        Ok((head.to_vec(), Body::default()))
    }
}

#[async_trait]
impl FleetHandler for Daemon {
    async fn run(&self, head: Bytes, body: Body) -> Result<(Vec<u8>, Body), String> {
        self.0.run(head, body).await
    }

    async fn grant(&self, head: Bytes, _: usize) -> Result<BodyTurn, String> {
        if head.as_ref() == b"refused" {
            return Ok(BodyTurn::Refused(head.to_vec()));
        }
        let full = |it: &Counting| it.holds.load(SeqCst) || it.granted.load(SeqCst) >= TURNS;
        while full(&self.0) {
            task::sleep(Duration::from_millis(1)).await;
        }
        let granted = self.0.granted.fetch_add(1, SeqCst) + 1;
        self.0.most_granted.fetch_max(granted, SeqCst);
        Ok(BodyTurn::Granted(Box::new(Granted { handler: Arc::clone(&self.0), head })))
    }

    fn refuse(&self, head: Bytes) -> Result<Vec<u8>, String> {
        Ok(head.to_vec())
    }

    fn memory(&self) -> &MemoryBudget {
        &self.0.memory
    }

    async fn sync(&self, frame: Frame) -> Result<Frame, String> {
        if frame.head.as_ref() == b"late" {
            task::sleep(RUN * 3).await;
        }
        Ok(frame)
    }

    fn revoke(&self, frame: Frame) -> Result<Frame, String> {
        self.0.revocations.fetch_add(1, SeqCst);
        Ok(Frame { protocol: PROTOCOL, ..frame })
    }
}

fn memory() -> MemoryBudget {
    let capacity = 64_000_000;
    MemoryBudget::new(BudgetSettings { capacity, short_share: 1_000_000, responses: capacity })
}

/// Starts a daemon behind a link.
async fn start() -> (Arc<Counting>, Link, FleetPeers) {
    let handler = Arc::new(Counting {
        memory: memory(),
        runs: AtomicUsize::new(0),
        ended: AtomicUsize::new(0),
        revocations: AtomicUsize::new(0),
        holds: AtomicBool::new(false),
        granted: AtomicUsize::new(0),
        most_granted: AtomicUsize::new(0),
    });
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let to = Queue::default();
    let proxy = Proxy::start(listener.local_addr().unwrap(), &to, &Queue::default());
    drop(serve_fleet(listener, Arc::new(Daemon(Arc::clone(&handler)))));
    (handler, Link { proxy, to }, FleetPeers::new(memory()))
}

async fn run(peers: &FleetPeers, proxy: &Link, lane: Lane, bytes: usize) -> Result<(), PeerError> {
    let call = peers.open_call(proxy.address, lane).await?;
    call.run(b"head".to_vec(), Body::from(Bytes::from(vec![1; bytes]))).await.map(|_| ())
}

/// Guards against pings that wait behind bodies on a link of 10 Mbit/s and whose late answers end the
/// requests in progress: all of them were answered with 502, although some ran.
#[test]
fn busy_connection_is_taken_for_a_dead_one() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        let peers = Arc::new(peers);
        run(&peers, &proxy, Lane::Large, 0).await.unwrap();
        proxy.limit(1_250_000);
        let sends: Vec<_> = (0..10)
            .map(|_| {
                let (peers, address) = (Arc::clone(&peers), proxy.address);
                task::spawn(async move {
                    let call = peers.open_call(address, Lane::Large).await?;
                    let watch = call.watch();
                    let body = Body::from(Bytes::from(vec![1; LARGE]));
                    let silent = async {
                        watch.silent().await;
                        panic!("the connection counts as silent");
                    };
                    let run = call.run(b"head".to_vec(), body);
                    futures_lite::future::or(run, silent).await
                })
            })
            .collect();
        for send in sends {
            send.await.unwrap();
        }
        assert_eq!((handler.runs.load(SeqCst), proxy.accepted()), (11, 1));
    });
}

/// Guards against a connection that is silent for a while, whose requests fail although their replies
/// come later, and against one that is found late and takes new requests.
#[test]
fn silent_connection_keeps_its_requests_and_gets_no_new_ones() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        proxy.stall();
        let call = peers.open_call(proxy.address, Lane::Small).await.unwrap();
        let watch = call.watch();
        let began = Instant::now();
        let waiting = call.run(b"head".to_vec(), Body::default());
        let during = async {
            watch.silent().await;
            let found = began.elapsed();
            assert!((1_100..1_500).contains(&found.as_millis()), "{found:?}");
            // Others use a new connection, which is not stalled.
            run(&peers, &proxy, Lane::Small, 10).await.unwrap();
            assert_eq!((handler.runs.load(SeqCst), proxy.accepted()), (2, 2));
            let within = Duration::from_millis(500);
            peers.revoke(proxy.address, b"id".to_vec(), within).await.unwrap();
            task::sleep(Duration::from_millis(1_000)).await;
            proxy.resume();
        };
        let (reply, ()) = futures_lite::future::zip(waiting, during).await;
        reply.unwrap();
        assert_eq!(handler.runs.load(SeqCst), 3);
    });
}

/// Guards against further messages for requests that go well, and against small requests that wait
/// behind the bodies of large ones.
#[test]
fn small_request_takes_one_message_and_overtakes_large_ones() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        for _ in 0..5 {
            run(&peers, &proxy, Lane::Small, 100).await.unwrap();
        }
        assert_eq!((handler.runs.load(SeqCst), proxy.accepted()), (5, 1));
        assert_eq!(handler.revocations.load(SeqCst), 0);
        // A tenth of a link, on which a body takes 2.9 s.
        proxy.limit(125_000);
        let large = run(&peers, &proxy, Lane::Large, LARGE);
        let small = async {
            task::sleep(Duration::from_millis(300)).await;
            let began = Instant::now();
            run(&peers, &proxy, Lane::Small, 100).await.unwrap();
            began.elapsed()
        };
        let (large, small) = futures_lite::future::zip(large, small).await;
        large.unwrap();
        assert!(small < RUN * 3, "{small:?}");
    });
}

/// Guards against a cut connection after which nothing can be learned of its requests, and against a
/// message that the receiver rejected before a run and that counts as run.
#[test]
fn cut_connection_is_followed_by_a_revocation() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        proxy.cut(true);
        let error = run(&peers, &proxy, Lane::Small, 10).await.unwrap_err();
        assert!(matches!(error, PeerError::Cut(_)), "{error}");
        proxy.cut(false);
        let within = Duration::from_millis(500);
        peers.revoke(proxy.address, b"id".to_vec(), within).await.unwrap();
        assert_eq!(handler.revocations.load(SeqCst), 1);
        let call = peers.open_call(proxy.address, Lane::Small).await.unwrap();
        let error = call.run(b"invalid".to_vec(), Body::default()).await.unwrap_err();
        assert!(matches!(error, PeerError::Unsent(_)), "{error}");
    });
}

/// Guards against an exchange that opens another connection while one is open but silent: on a busy
/// link, the packets that open it wait for longer than the time limit to connect.
#[test]
fn exchange_on_a_silent_connection_opens_another_one() {
    block_on(async {
        let (_handler, proxy, peers) = start().await;
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        proxy.stall();
        let call = peers.open_call(proxy.address, Lane::Small).await.unwrap();
        let watch = call.watch();
        let waiting = call.run(b"head".to_vec(), Body::default());
        let exchange = async {
            watch.silent().await;
            let resume = async {
                task::sleep(Duration::from_millis(200)).await;
                proxy.resume();
            };
            let sync = peers.sync(proxy.address, b"state".to_vec(), Duration::from_secs(2));
            let (reply, ()) = futures_lite::future::zip(sync, resume).await;
            reply.unwrap();
            assert_eq!(proxy.accepted(), 1);
        };
        let (reply, ()) = futures_lite::future::zip(waiting, exchange).await;
        reply.unwrap();
    });
}

/// Guards against a connection that ends, with the requests on it, since one exchange took too long
/// although its answers arrive, and against one that is kept although nothing arrives.
#[test]
fn late_exchange_ends_a_connection_on_which_answers_arrive() {
    block_on(async {
        let (_handler, proxy, peers) = start().await;
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        let within = Duration::from_millis(50);
        proxy.stall();
        peers.sync(proxy.address, b"state".to_vec(), within).await.unwrap_err();
        proxy.resume();
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        assert_eq!(proxy.accepted(), 2, "nothing arrived within the time limit");
        let late = peers.sync(proxy.address, b"late".to_vec(), RUN * 2);
        let answered = run(&peers, &proxy, Lane::Small, 10);
        let (late, answered) = futures_lite::future::zip(late, answered).await;
        late.unwrap_err();
        answered.unwrap();
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        assert_eq!(proxy.accepted(), 2, "an answer arrived within the time limit");
    });
}

/// Guards against bodies that cross a link although their receiver has no use for them yet, or never:
/// together they delay all small messages to it.
#[test]
fn body_crosses_the_link_before_it_is_granted() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        handler.holds.store(true, SeqCst);
        let before = proxy.to.forwarded();
        let held = run(&peers, &proxy, Lane::Large, LARGE);
        let during = async {
            task::sleep(RUN * 2).await;
            // The head, and what opens the connection.
            assert!(proxy.to.forwarded() - before < 1_000, "{}", proxy.to.forwarded() - before);
            handler.holds.store(false, SeqCst);
        };
        let (held, ()) = futures_lite::future::zip(held, during).await;
        held.unwrap();
        assert_eq!(handler.runs.load(SeqCst), 1);

        let before = proxy.to.forwarded();
        let call = peers.open_call(proxy.address, Lane::Large).await.unwrap();
        let body = Body::from(Bytes::from(vec![1; LARGE]));
        let (head, _) = call.run(b"refused".to_vec(), body).await.unwrap();
        assert_eq!(head.as_ref(), b"refused");
        assert!(proxy.to.forwarded() - before < 1_000, "{}", proxy.to.forwarded() - before);
    });
}

/// Guards against a small message that waits behind the bodies of all daemons that send to one VM: a
/// daemon learned of a configuration seconds after all others.
#[test]
fn small_message_waits_behind_the_bodies_of_many_daemons() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        run(&peers, &proxy, Lane::Small, 10).await.unwrap();
        proxy.to.limit(1_250_000);
        let senders: Vec<_> = (0..12)
            .map(|_| {
                let address = proxy.address;
                task::spawn(async move {
                    let peers = FleetPeers::new(memory());
                    let call = peers.open_call(address, Lane::Large).await?;
                    let body = Body::from(Bytes::from(vec![1; LARGE]));
                    call.run(b"head".to_vec(), body).await.map(|_| ())
                })
            })
            .collect();
        let began = Instant::now();
        let mut slowest = Duration::ZERO;
        while began.elapsed() < Duration::from_secs(2) {
            let sent = Instant::now();
            let within = Duration::from_secs(5);
            peers.sync(proxy.address, b"state".to_vec(), within).await.unwrap();
            slowest = slowest.max(sent.elapsed());
            task::sleep(Duration::from_millis(20)).await;
        }
        for sender in senders {
            sender.await.unwrap();
        }
        // 12 bodies of 360 kB on a link of 10 Mbit/s.
        let ideal = Duration::from_secs_f64((12 * LARGE) as f64 / 1_250_000.0);
        println!("slowest exchange {slowest:?}, bodies {:?} of {ideal:?}", began.elapsed());
        assert!(slowest < Duration::from_millis(300), "{slowest:?}");
        assert!(began.elapsed() < ideal.mul_f64(1.25), "{:?} of {ideal:?}", began.elapsed());
        assert_eq!(handler.most_granted.load(SeqCst), TURNS);
    });
}

/// Guards against a request that is sent on and run after its caller has left, while its body crosses the
/// link or while it runs.
#[test]
fn granted_request_runs_after_its_caller_has_left() {
    block_on(async {
        let (handler, proxy, peers) = start().await;
        // The body takes 0.9 s.
        proxy.to.limit(400_000);
        let leave_after = async |leave: Duration| {
            let left = async {
                task::sleep(leave).await;
                Err(PeerError::Cut("left".to_owned()))
            };
            let call = run(&peers, &proxy, Lane::Large, LARGE);
            futures_lite::future::or(call, left).await.unwrap_err();
        };
        leave_after(Duration::from_millis(300)).await;
        assert_eq!(handler.granted.load(SeqCst), 1);
        let before = proxy.to.forwarded();
        task::sleep(Duration::from_millis(1_200)).await;
        let after = proxy.to.forwarded() - before;
        // What was read from the body before the caller left.
        assert!(after < 100_000, "{after} bytes of {LARGE} were sent on");
        assert_eq!((handler.granted.load(SeqCst), handler.runs.load(SeqCst)), (0, 0));

        proxy.to.limit(0);
        leave_after(RUN / 2).await;
        task::sleep(RUN * 2).await;
        assert_eq!((handler.runs.load(SeqCst), handler.ended.load(SeqCst)), (1, 0));
    });
}

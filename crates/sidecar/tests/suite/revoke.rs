//! Requests that another daemon revokes, against a daemon beside a backend server.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task::{self, block_on};
use shallottack_fleet::{Rank, RequestKey, Revocation, SendId, Ticket};
use shallottack_http::{Body, BudgetSettings, MemoryBudget};
use shallottack_kernel::{EndpointId, ErrorKind, ServiceName, Time};
use shallottack_rpc::{FleetPeers, Lane};
use shallottack_sidecar::message::{
    RevokeReply, RevokeRequest, RunOutcome, RunReply, RunRequest, SendStamp, decode, encode,
};
use shallottack_standins::site::{Answering, SiteServer, SiteStore};

use crate::daemon::{self, WITHIN};

/// Run time at the backend server.
const RUN: Duration = Duration::from_millis(600);

/// Another daemon, in the place of which the test sends.
struct Sender {
    peers: FleetPeers,
    to: SocketAddr,
    began: Instant,
}

impl Sender {
    fn now(&self) -> Time {
        Time(1_000_000_000 + self.began.elapsed().as_micros() as u64)
    }

    fn stamp(&self, number: u64) -> SendStamp {
        SendStamp { id: SendId { daemon: 9, number }, sent: self.now() }
    }

    async fn run(&self, stamp: SendStamp) -> RunOutcome {
        let id = format!("r{}", stamp.id.number);
        let caller = ServiceName::new("shop").unwrap();
        let request = RunRequest {
            stamp: Some(stamp),
            server: EndpointId::new("i-stock-1").unwrap(),
            key: RequestKey::new(&caller, "GET", "shop.example", &id, std::iter::empty()),
            caller,
            route: Arc::from("count"),
            organisation: None,
            rank: Rank::new(None, 1),
            ticket: Ticket(128),
            named_call: false,
            repeat: None,
            idempotent: false,
            returned: false,
            goal: Duration::from_secs(4),
            left: Duration::from_secs(4),
            rate_limit: None,
            may_wait: true,
            method: "GET".to_owned(),
            target: format!("/{id}"),
            headers: vec![("request-id".to_owned(), id.clone().into_bytes())],
            delay: Duration::ZERO,
            id,
        };
        let call = self.peers.open_call(self.to, Lane::Small).await.unwrap();
        let (head, _) = call.run(encode(&request), Body::default()).await.unwrap();
        decode::<RunReply>(&head).unwrap().outcome
    }

    async fn revoke(&self, number: u64, age: Duration) -> Revocation {
        let request = RevokeRequest { stamp: self.stamp(number), age, request: String::new() };
        let reply = self.peers.revoke(self.to, encode(&request), Duration::from_millis(500)).await;
        decode::<RevokeReply>(&reply.unwrap().head).unwrap().revocation
    }
}

fn is_expired(outcome: &RunOutcome) -> bool {
    matches!(outcome, RunOutcome::Refused { kind: ErrorKind::DeadlineUnmet, .. })
}

/// Guards against a request that runs although its sender was told that it never will, whether it
/// arrives after its revocation, waits for a slot or comes too late; and against the statement that a
/// request which runs will not.
#[test]
fn revoked_request_runs_at_the_backend_server() {
    let store = SiteStore::start().unwrap();
    let server = SiteServer::start("i-stock-1", "stock").unwrap();
    server.set_slots(1);
    let to = daemon::start("stock-1", &store, &server).peers;
    let capacity = 8_000_000;
    let budget = BudgetSettings { capacity, short_share: 1_000_000, responses: capacity };
    let peers = FleetPeers::new(MemoryBudget::new(budget));
    let sender = Sender { peers, to, began: Instant::now() };
    let targets = || server.runs().iter().map(|it| it.target.clone()).collect::<Vec<_>>();
    block_on(async {
        // The daemon has been up for too short a time to know of a send before.
        let hour = Duration::from_secs(3_600);
        assert_eq!(sender.revoke(1, hour).await, Revocation::Unknown);
        let end = Instant::now() + WITHIN;
        let mut number = 10;
        while !matches!(sender.run(sender.stamp(number)).await, RunOutcome::Answered { .. }) {
            assert!(Instant::now() < end, "no request is served");
            task::sleep(Duration::from_millis(50)).await;
            number += 1;
        }
        task::sleep(Duration::from_secs(1)).await;
        let before = server.runs().len();

        // Arrives after its revocation.
        assert_eq!(sender.revoke(1_000, Duration::ZERO).await, Revocation::Revoked);
        assert!(is_expired(&sender.run(sender.stamp(1_000)).await));
        assert_eq!(server.runs().len(), before);

        // Runs, or waits for the only slot.
        server.answer(Answering::After(RUN));
        let revoking = async {
            task::sleep(RUN / 3).await;
            let age = RUN / 3;
            let running = sender.revoke(1_001, age).await;
            let waiting = sender.revoke(1_002, age / 2).await;
            (running, waiting, Instant::now())
        };
        let waiting = async {
            task::sleep(RUN / 6).await;
            let outcome = sender.run(sender.stamp(1_002)).await;
            (outcome, Instant::now())
        };
        let running = sender.run(sender.stamp(1_001));
        let pair = futures_lite::future::zip(waiting, revoking);
        let (ran, ((refused, at), (first, second, revoked_at))) =
            futures_lite::future::zip(running, pair).await;
        assert!(matches!(ran, RunOutcome::Answered { .. }), "{ran:?}");
        assert!(is_expired(&refused), "{refused:?}");
        assert_eq!((first, second), (Revocation::Started, Revocation::Revoked));
        assert!(at < revoked_at + RUN / 4, "the place in the queue is kept");
        assert_eq!(targets().last().map(String::as_str), Some("/r1001"));

        // Was on the way for longer than its sender waits.
        server.answer(Answering::After(Duration::ZERO));
        let stamp = sender.stamp(1_003);
        let late = SendStamp { sent: Time(stamp.sent.0 - 5_000_000), ..stamp };
        assert!(is_expired(&sender.run(late).await));
        let ran = sender.run(sender.stamp(1_004)).await;
        assert!(matches!(ran, RunOutcome::Answered { .. }), "{ran:?}");
        let targets = targets();
        assert!(!targets.contains(&"/r1000".to_owned()) && !targets.contains(&"/r1002".to_owned()));
        assert!(!targets.contains(&"/r1003".to_owned()));
    });
}

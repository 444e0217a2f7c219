//! Fixtures shared by the test modules.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use shallottack_fleet::{
    Arrival, Heartbeat, LocalServer, Member, PlacementRequest, Rank, Server, ServerAnswer,
    ServerState, ServerUpdate, Stay, TaskId, Ticket, VersionFilter,
};
use shallottack_kernel::{DataCentre, EndpointId, GroupName, ServiceName, Time};
use smallvec::SmallVec;

pub fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn id(text: &str) -> EndpointId {
    EndpointId::new(text).unwrap()
}

pub fn service(text: &str) -> ServiceName {
    ServiceName::new(text).unwrap()
}

pub fn group(text: &str) -> GroupName {
    GroupName::new(text).unwrap()
}

fn ready(server: &str) -> Server {
    Server {
        id: id(server),
        started_ms: 1,
        service: service("stock"),
        group: group("v1"),
        slots: 4,
        state: ServerState::Ready,
        warmup_left: Duration::ZERO,
    }
}

pub fn beat(server: &str, started_ms: u64, sequence: u64, state: ServerState) -> Heartbeat {
    Heartbeat { server: Server { state, started_ms, ..ready(server) }, sequence }
}

/// Returns the state of a VM of the service `stock`, whose daemon starts before its backend server.
pub fn local_server() -> LocalServer {
    LocalServer::new(at(0), 0, service("stock"), ms(1_500))
}

/// Processes a heartbeat while the backend server `running` answers whenever it is asked.
pub fn receive(
    local: &mut LocalServer,
    now: Time,
    beat: &Heartbeat,
    running: &str,
) -> ServerUpdate {
    match local.heartbeat(now, beat) {
        ServerUpdate::Unconfirmed => {
            local.answer(now, &ServerAnswer::Named(id(running), Stay::Stays))
        }
        update => update,
    }
}

/// Returns a member with a ready backend server `i-<vm>` of the service `stock`.
pub fn member(vm: &str, data_centre: &str, sequence: u64) -> Member {
    Member {
        vm: id(vm),
        incarnation: 1,
        sequence,
        address: SocketAddr::from(([127, 0, 0, 1], 9000)),
        data_centre: DataCentre::new(data_centre).unwrap(),
        link_kbps: 1_000_000,
        stopping: false,
        server: Some(ready(&format!("i-{vm}"))),
        left: SmallVec::new(),
        crashes: SmallVec::new(),
        verdicts: SmallVec::new(),
    }
}

pub fn request(now: Time) -> PlacementRequest {
    PlacementRequest {
        service: service("stock"),
        versions: VersionFilter::Any,
        route: Arc::from("count"),
        ticket: Ticket(128),
        goal: now + ms(400),
        deadline: now + ms(1_000),
        idempotent: true,
        attempts: 2,
        returned: false,
        trial: None,
    }
}

pub fn arrival(task: u64, priority: u8, now: Time, goal: u64, deadline: u64) -> Arrival {
    Arrival {
        task: TaskId(task),
        route: Arc::from(format!("route-{priority}")),
        rank: Rank::new(None, priority),
        ticket: Ticket(128),
        returned: false,
        goal: now + ms(goal),
        deadline: now + ms(deadline),
        may_wait: true,
    }
}

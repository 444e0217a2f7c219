//! Announcements of the backend server on the same VM.

use std::{
    net::SocketAddr,
    sync::{Arc, PoisonError},
    time::Duration,
};

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_kernel::{ErrorKind, Failure, GroupName, ServiceName};
use shallottack_membership as membership;
use tide::http::{Request, Response, StatusCode};

use super::{Calls, answer};

/// Most slots that a backend server may announce.
const MAX_SLOTS: u32 = 65_536;

/// What a backend server states when it announces itself.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct Announcement {
    service: ServiceName,
    group: GroupName,
    address: SocketAddr,
    slots: u32,
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "cold_start_ms", default)]
    cold_start: Duration,
}

impl Calls {
    /// Takes the announcement of the backend server.
    pub(crate) async fn announce(self: Arc<Self>, mut request: Request) -> Response {
        let body = request.take_body().into_bytes().await.unwrap_or_default();
        let announcement = match serde_json::from_slice::<Announcement>(&body) {
            Ok(it) if (1..=MAX_SLOTS).contains(&it.slots) => it,
            Ok(it) => return refuse(format!("slots is {}, expected 1 to {MAX_SLOTS}", it.slots)),
            Err(error) => return refuse(format!("malformed announcement: {error}")),
        };
        if self.stopping() {
            let failure = Failure::new(ErrorKind::Stopping, "the daemon is stopping")
                .retry_after(Duration::from_secs(1));
            return answer::failure_response(&failure);
        }
        if !self.take_announcement(&announcement) {
            return Response::new(StatusCode::NoContent);
        }
        self.mesh.membership(membership::Input::Announce(membership::Announcement {
            service: announcement.service,
            group: announcement.group,
            slots: announcement.slots,
            cold_start: announcement.cold_start,
        }));
        // After the membership core, which would take an earlier success for one of the last life.
        self.backend.announce(announcement.address, announcement.slots);
        Response::new(StatusCode::NoContent)
    }

    /// Records an announcement; returns whether it is news. Backend servers repeat their
    /// announcement, so that a restarted daemon hears of them; a repeat must not start the cold
    /// start again.
    fn take_announcement(&self, announcement: &Announcement) -> bool {
        let mut last = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        // The rest of a cold start is shorter with each repeat.
        let cold_start = announcement.cold_start;
        let same = |it: &Announcement| Announcement { cold_start, ..it.clone() } == *announcement;
        let known = last.as_ref().is_some_and(same) && self.backend.reachable();
        *last = Some(announcement.clone());
        !known
    }

    /// Takes the backend server out of service; requests in flight go on.
    pub(crate) async fn leave(self: Arc<Self>) -> Response {
        self.backend.left();
        self.mesh.membership(membership::Input::Leave { notify: Vec::new() });
        Response::new(StatusCode::NoContent)
    }
}

fn refuse(detail: String) -> Response {
    answer::failure_response(&Failure::new(ErrorKind::BadRequest, detail))
}

//! State that a daemon keeps about one backend server.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, Time};

use crate::{
    LARGE_BYTES, Load, Member, Pace, PlacementSettings, Server, ServerState, Ticket,
    spread::Estimate,
};

/// Load of a backend server, as a daemon passes it on for another daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// VM of the backend server.
    pub vm: EndpointId,
    /// Load of the backend server.
    pub load: Load,
    /// Time since the backend server's own daemon reported the load, in milliseconds.
    pub age_ms: u32,
}

/// Lowest ticket with which the daemon of a VM admits requests of a route.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Gate {
    /// Lowest ticket; `None` if no request is admitted.
    pub(crate) lowest: Option<Ticket>,
    /// Time at which `lowest` was current.
    pub(crate) time: Time,
}

impl Gate {
    /// Returns whether a request with this ticket would have been admitted.
    pub(crate) fn admits(&self, ticket: Ticket) -> bool {
        self.lowest.is_some_and(|it| it <= ticket)
    }
}

/// Whether the daemon of a VM can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// No direct answer so far.
    Unknown,
    /// The last exchange succeeded.
    Up,
    /// The last exchange failed; the next one is due at `retry_at`.
    Down { retry_at: Time, backoff: Duration },
}

/// A backend server that requests can be sent to, and its daemon.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) member: Member,
    pub(crate) server: Server,
    /// Whether the operators evacuate its data centre.
    pub(crate) evacuated: bool,
    pub(crate) reach: Reach,
    pub(crate) load: Load,
    /// Time at which `load` was current.
    pub(crate) load_time: Time,
    /// Time of the last answer or message received from the daemon itself.
    pub(crate) last_contact: Time,
    /// Time of the pending probe, if any.
    pub(crate) probed: Option<Time>,
    /// Requests sent by this daemon that have not ended.
    pub(crate) in_flight: u32,
    /// Requests sent by this daemon since `load_time`.
    pub(crate) sent_since: u32,
    /// Time of the last request sent by this daemon.
    pub(crate) last_sent: Time,
    /// Mean run time relative to the mean of the route; above 1 is slower.
    pub(crate) relative_run: f64,
    /// Moving average of the share of sends that the backend server shed, failed or did not answer.
    pub(crate) fault_share: f64,
    /// Time until which the backend server is warming up.
    pub(crate) warm_at: Time,
    /// Gate of each route, as stated in the last reply to one of its requests.
    pub(crate) gates: HashMap<Arc<str>, Gate>,
    /// Mean queueing delay on the links there and back in seconds.
    pub(crate) link_delay: f64,
    /// Time of the last update of `link_delay`.
    pub(crate) delay_time: Time,
}

impl Candidate {
    /// Returns whether requests may be sent to the backend server now.
    pub(crate) fn is_available(&self, now: Time) -> bool {
        let reachable = match self.reach {
            Reach::Up | Reach::Unknown => true,
            Reach::Down { retry_at, .. } => now >= retry_at,
        };
        reachable
            && !self.evacuated
            && !self.member.stopping
            && self.server.state == ServerState::Ready
    }

    /// Returns the gate of a route, unless it is outdated.
    pub(crate) fn gate(&self, now: Time, route: &str, expiry: Duration) -> Option<&Gate> {
        self.gates.get(route).filter(|it| now.since(it.time) <= expiry)
    }

    /// Returns the transfer time of a message of `kilobytes` on an idle link of the VM, in seconds.
    pub(crate) fn transfer_time(&self, kilobytes: f64) -> f64 {
        kilobytes * 8.192 / f64::from(self.member.link_kbps.max(1))
    }

    /// Returns how long a message of `kilobytes` is held back for those before it on the link of
    /// the VM, in seconds.
    pub(crate) fn link_backlog(&self, now: Time, kilobytes: f64) -> f64 {
        if kilobytes * 1_024.0 < LARGE_BYTES as f64 {
            return 0.0;
        }
        let reported = f64::from(self.load.link_ms) / 1_000.0;
        (reported - now.since(self.load_time).as_secs_f64()).max(0.0)
    }

    /// Returns the expected queueing delay of a message on the links, in seconds.
    pub(crate) fn expected_delay(&self, now: Time, settings: &PlacementSettings) -> f64 {
        let age = now.since(self.delay_time).as_secs_f64() / settings.delay_expiry.as_secs_f64();
        self.link_delay * (1.0 - age).max(0.0)
    }

    /// Returns the expected run time relative to the mean of the route.
    pub(crate) fn slowdown(&self, now: Time, settings: &PlacementSettings) -> f64 {
        let warmup = if now < self.warm_at { settings.warmup_factor } else { 1.0 };
        // Running requests have used half of their run time on average, or more where run times
        // vary widely.
        let stalled = (f64::from(self.load.elapsed_permille) / 1_000.0 / 2.0).max(1.0);
        self.relative_run * warmup * stalled
    }

    /// Returns the expected times by the last report; `run_time` is the mean run time of the route in
    /// seconds.
    pub(crate) fn estimate(
        &self,
        now: Time,
        run_time: f64,
        settings: &PlacementSettings,
    ) -> Estimate {
        let run = run_time * self.slowdown(now, settings);
        let wait = self.expected_wait(now, run, settings) * run;
        let free = f64::from(u8::from(wait <= 0.0));
        Estimate { time: run + wait, wait, free, weight: 1.0 }
    }

    /// Returns the expected wait for a start, in multiples of `run`, a run time in seconds.
    fn expected_wait(&self, now: Time, run: f64, settings: &PlacementSettings) -> f64 {
        self.wait_for_slot(now, run, settings).max(self.wait_for_pace(now) / run.max(0.001))
    }

    /// Returns the expected time until the rate limit lets a request start, in seconds.
    pub(crate) fn wait_for_pace(&self, now: Time) -> f64 {
        let Pace::Limited { limit, wait_ms } = self.load.pace else { return 0.0 };
        let sent = f64::from(self.sent_since) / limit.rate();
        let age = now.since(self.load_time).as_secs_f64();
        (f64::from(wait_ms) / 1_000.0 + sent - age).max(0.0)
    }

    /// Returns the expected wait for a free slot, in multiples of `run`, a run time in seconds.
    fn wait_for_slot(&self, now: Time, run: f64, settings: &PlacementSettings) -> f64 {
        let age = now.since(self.load_time).as_secs_f64() / (run * settings.load_expiry).max(0.001);
        let reported = f64::from(self.load.running + self.load.queued) * (1.0 - age).max(0.0);
        let busy = (reported + f64::from(self.sent_since)).max(f64::from(self.in_flight));
        let limit = f64::from(self.load.limit.max(1));
        if self.load.limit == 0 && age < 1.0 {
            return f64::from(u16::MAX);
        }
        ((busy + 1.0 - limit * settings.fill_share) / limit).max(0.0)
    }
}

/// Returns a newly reported load, with the known pace of the backend server if the report has none.
pub(crate) fn with_known_pace(load: Load, known: Pace) -> Load {
    if load.pace == Pace::Unknown { Load { pace: known, ..load } } else { load }
}

/// Returns the load of a backend server that has not reported any.
pub(crate) fn initial_load(server: &Server) -> Load {
    Load { limit: server.slots, ..Load::default() }
}

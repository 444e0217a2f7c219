//! What a daemon knows of one backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use shallottack_kernel::{EndpointId, Time};

use crate::{Load, Member, PlacementSettings, Server, ServerState};

/// What one daemon passes on of the load of another one's backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// VM of the backend server.
    pub vm: EndpointId,
    /// Its load.
    pub load: Load,
    /// Time since its daemon stated it, in milliseconds.
    pub age_ms: u32,
}

/// Whether the daemon of a VM answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reach {
    /// Never heard of directly.
    Unproven,
    /// Answered last.
    Up,
    /// Did not answer; tried again at `again`.
    Down { again: Time, pause: Duration },
}

/// A backend server that requests may be sent to, and its daemon.
#[derive(Debug)]
pub(crate) struct Candidate {
    pub(crate) member: Member,
    pub(crate) server: Server,
    pub(crate) reach: Reach,
    pub(crate) load: Load,
    pub(crate) heard: Time,
    /// Time of the last answer or message of its daemon itself.
    pub(crate) contacted: Time,
    /// Time of the question that is neither answered nor given up.
    pub(crate) asked: Option<Time>,
    /// Requests sent and not ended.
    pub(crate) pending: u32,
    /// Requests sent since the load was reported.
    pub(crate) since: u32,
    /// Time of the last request sent.
    pub(crate) sent: Time,
    /// Run time relative to the mean of the route.
    pub(crate) speed: f64,
    /// Share of sends that the backend server shed, failed or did not answer.
    pub(crate) faults: f64,
    pub(crate) cold: Time,
    /// Mean time in seconds that messages waited on their way there and back.
    pub(crate) lag: f64,
    /// Time of the last message that `lag` counts.
    pub(crate) lagged: Time,
}

impl Candidate {
    pub(crate) fn open(&self, now: Time) -> bool {
        let reachable = match self.reach {
            Reach::Up | Reach::Unproven => true,
            Reach::Down { again, .. } => now >= again,
        };
        reachable && !self.member.stopping && self.server.state == ServerState::Ready
    }

    /// Returns the time in seconds that a message of `kilobytes` takes on an idle link of the VM.
    pub(crate) fn transfer(&self, kilobytes: f64) -> f64 {
        kilobytes * 8.192 / f64::from(self.member.link_kbps.max(1))
    }

    /// Returns the time in seconds that a message is expected to wait at links on its way.
    pub(crate) fn lag(&self, now: Time, settings: &PlacementSettings) -> f64 {
        let age = now.since(self.lagged).as_secs_f64() / settings.delay_expiry.as_secs_f64();
        self.lag * (1.0 - age).max(0.0)
    }

    /// Returns the factor of the usual run time.
    pub(crate) fn pace(&self, now: Time, settings: &PlacementSettings) -> f64 {
        let cold = if now < self.cold { settings.warmup_factor } else { 1.0 };
        // Running requests are half done on average, or further when run times vary much.
        let stalled = (f64::from(self.load.elapsed_permille) / 1_000.0 / 2.0).max(1.0);
        self.speed * cold * stalled
    }

    /// Returns the expected wait for a slot, in run times of `run` seconds.
    pub(crate) fn wait(&self, now: Time, run: f64, settings: &PlacementSettings) -> f64 {
        let age = now.since(self.heard).as_secs_f64() / (run * settings.load_expiry).max(0.001);
        let reported = f64::from(self.load.running + self.load.queued) * (1.0 - age).max(0.0);
        let busy = (reported + f64::from(self.since)).max(f64::from(self.pending));
        let limit = f64::from(self.load.limit.max(1));
        if self.load.limit == 0 && age < 1.0 {
            return f64::from(u16::MAX);
        }
        ((busy + 1.0 - limit * settings.fill_share) / limit).max(0.0)
    }
}

pub(crate) fn fresh_load(server: &Server) -> Load {
    Load { limit: server.slots, ..Load::default() }
}

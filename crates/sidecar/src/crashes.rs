//! Crashes of the backend server on this VM, and requests that are blocked for those of the fleet.

use std::{borrow::Cow, sync::Arc, time::Duration};

use async_std::task;
use shallottack_fleet::{
    ColdSign, Crash, CrashSign, CrashedRuns, MAX_REPORTED_CRASHES, Member, PlacementRequest,
    RequestKey, Standing, Verdict,
};
use shallottack_kernel::unix_ms;

use crate::{events::Event, node::Node};

impl Node {
    /// Checks whether the backend server has crashed, after a run that ended without a response or a
    /// connection that failed.
    pub fn check_for_crash(self: &Arc<Self>) {
        if !self.shared().runs.may_have_crashed(self.now()) {
            return;
        }
        self.suspect_cold(ColdSign::Closed);
        let node = Arc::clone(self);
        task::spawn(async move {
            if node.backend.refuses_connections().await {
                node.record_crash(CrashSign::Refused);
            }
        });
    }

    /// Records that the backend server has crashed, unless it was leaving or nothing ran there.
    pub fn record_crash(self: &Arc<Self>, sign: CrashSign) {
        let (now, now_ms) = (self.now(), unix_ms());
        let service = self.settings.service.clone();
        let (crash, verdicts) = {
            let mut shared = self.shared();
            if !shared.local.is_ready() {
                shared.runs.reset();
                return;
            }
            let Some(runs) = shared.runs.take_crash(now, sign) else { return };
            let CrashedRuns { completions, requests } = runs;
            let crash = Crash { at_ms: now_ms, service, completions, requests };
            let verdicts = shared.blocklist.record_crash(now_ms, &self.settings.vm, &crash);
            (crash, verdicts)
        };
        metrics::counter!("shallottack_backend_crashes_total").increment(1);
        self.events.write(&Event::Crash {
            service: crash.service.as_str(),
            sign,
            completions: crash.completions,
            requests: &crash.requests,
        });
        self.report_crashes(Some(crash));
        self.apply_verdicts(&verdicts);
        // Not left to the task that writes the own row, which may be waiting for the store.
        self.broadcast();
    }

    /// Takes over the crashes and verdicts that an earlier daemon on this VM reported.
    pub fn restore_crashes(&self, earlier: &Member) {
        let verdicts = self.shared().blocklist.record_member(unix_ms(), earlier);
        self.apply_verdicts(&verdicts);
        earlier.crashes.iter().for_each(|it| self.report_crashes(Some(it.clone())));
    }

    /// Records that the backend server ran a request to its end.
    pub fn record_completion(&self, key: RequestKey) {
        let verdict = self.shared().blocklist.record_completion(unix_ms(), key);
        self.apply_verdicts(verdict.as_slice());
    }

    /// Returns whether and how a request may run, given the crashes of backend servers that ran it.
    pub fn standing(&self, key: RequestKey) -> Standing {
        self.shared().blocklist.standing(unix_ms(), key)
    }

    /// Returns how to place a caller's request that `ran` states has run before or not.
    ///
    /// # Errors
    ///
    /// Returns the time for which the request is rejected since backend servers crashed while they
    /// ran it.
    pub fn check_placement<'a>(
        &self,
        key: RequestKey,
        request: &'a PlacementRequest,
        ran: bool,
    ) -> Result<Cow<'a, PlacementRequest>, Duration> {
        match self.standing(key) {
            Standing::Free => Ok(Cow::Borrowed(request)),
            // A trial ends with its first run.
            Standing::Trial if !ran => {
                let trial = Some(key);
                Ok(Cow::Owned(PlacementRequest { attempts: 1, trial, ..request.clone() }))
            }
            Standing::Trial => Err(Duration::ZERO),
            Standing::Wait(wait) => Err(wait),
        }
    }

    /// Logs new verdicts, and describes those on requests for the service on this VM.
    pub fn apply_verdicts(&self, verdicts: &[Verdict]) {
        for it in verdicts {
            let service = it.service.as_str();
            let Verdict { key, finding, at_ms, .. } = *it;
            self.events.write(&Event::Verdict { key, service, finding, at_ms });
        }
        if !verdicts.is_empty() {
            self.report_crashes(None);
        }
    }

    /// Updates the crashes and verdicts in this daemon's description, after another crash or verdict.
    fn report_crashes(&self, another: Option<Crash>) {
        let now_ms = unix_ms();
        let mut shared = self.shared();
        let blocked = shared.blocklist.blocked_count(now_ms);
        metrics::gauge!("shallottack_blocked_requests").set(blocked as f64);
        let mut crashes = shared.own.crashes.clone();
        crashes.extend(another);
        crashes.retain(|it| shared.blocklist.is_evidence(now_ms, it));
        let surplus = crashes.len().saturating_sub(MAX_REPORTED_CRASHES);
        crashes.drain(..surplus);
        let verdicts = shared.blocklist.verdicts(&self.settings.service);
        if (&shared.own.crashes, &shared.own.verdicts) == (&crashes, &verdicts) {
            return;
        }
        shared.change_own(self.now(), |own| (own.crashes, own.verdicts) = (crashes, verdicts));
        // If the channel is full, the writer has already been woken.
        self.publish_signal.0.try_send(()).ok();
    }
}

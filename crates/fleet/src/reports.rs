//! Loads of backend servers, received from their own daemons or passed on by others.

use std::time::Duration;

use shallottack_kernel::{EndpointId, Time};

use crate::{
    Load, LoadReport, Placement,
    candidate::{Candidate, Reach, with_known_pace},
};

impl Placement {
    /// Records the load reported by the daemon of a VM itself, which is reachable.
    ///
    /// Returns whether the daemon was unreachable or had not answered before.
    pub fn record_load(&mut self, now: Time, vm: &EndpointId, load: Load) -> bool {
        let Some(it) = self.candidates.get_mut(vm) else { return false };
        let regained = it.reach != Reach::Up;
        it.reach = Reach::Up;
        it.load = with_known_pace(load, it.load.pace);
        it.load_time = now;
        it.last_contact = now;
        it.probed = None;
        it.sent_since = 0;
        regained
    }

    /// Records a load that another daemon passed on, unless a newer one is known.
    pub fn record_report(&mut self, now: Time, report: &LoadReport) {
        if report.vm == self.vm {
            return;
        }
        let Some(it) = self.candidates.get_mut(&report.vm) else { return };
        let reported = Time(now.0.saturating_sub(u64::from(report.age_ms) * 1_000));
        if reported <= it.load_time {
            return;
        }
        it.load = with_known_pace(report.load, it.load.pace);
        it.load_time = reported;
        // The reported load includes the requests sent before it.
        it.sent_since = if it.last_sent <= reported { 0 } else { it.sent_since.min(it.in_flight) };
    }

    /// Returns up to `limit` of the newest loads that are no older than `max_age`.
    pub fn recent_reports(&self, now: Time, max_age: Duration, limit: usize) -> Vec<LoadReport> {
        let recent = |it: &&Candidate| {
            it.reach == Reach::Up && it.member.vm != self.vm && now.since(it.load_time) <= max_age
        };
        let mut recent: Vec<&Candidate> = self.candidates.values().filter(recent).collect();
        recent.sort_unstable_by_key(|it| std::cmp::Reverse(it.load_time));
        recent.truncate(limit);
        let report = |it: &Candidate| LoadReport {
            vm: it.member.vm.clone(),
            load: it.load,
            age_ms: now.since(it.load_time).as_millis() as u32,
        };
        recent.into_iter().map(report).collect()
    }
}

//! Reachability of other data centres.
//!
//! Members of another data centre are probed by the members of that data centre. Each daemon only
//! decides for itself whether the data centre is reachable and does not disseminate the result:
//! changing the record of each member would cost thousands of record changes for every partition,
//! and as many again when it heals.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{
    Action, Member, Membership, State,
    core::{Context, choose_random},
};

/// Reachability of one other data centre.
#[derive(Debug)]
pub(crate) struct Reachability {
    /// Time of the next reachability probe.
    pub next: Time,
    /// Number of failed probes since the last message from the data centre.
    failures: u32,
    /// Whether the data centre is unreachable.
    unreachable: bool,
}

impl Reachability {
    pub fn resume(&mut self, now: Time) {
        self.failures = 0;
        self.next = self.next.max(now);
    }
}

/// Returns a random duration between 75 % and 125 % of `period`.
pub(crate) fn jittered(cx: &mut Context<'_>, period: Duration) -> Duration {
    period.mul_f64(cx.rng.random_range(0.75..1.25))
}

impl Membership {
    /// Returns whether the members of a data centre are reachable from the local daemon.
    pub fn is_reachable(&self, data_centre: &DataCentre) -> bool {
        self.reachability.get(data_centre).is_none_or(|it| !it.unreachable)
    }

    pub(crate) fn track_data_centre(&mut self, cx: &mut Context<'_>, data_centre: &DataCentre) {
        if !self.reachability.contains_key(data_centre) {
            let next = cx.now + jittered(cx, self.settings.reachability_period);
            self.reachability.insert(
                data_centre.clone(),
                Reachability { next, failures: 0, unreachable: false },
            );
        }
    }

    /// Returns the local view of `record`: `Suspect` while its data centre is unreachable.
    pub(crate) fn local_view(&self, record: &Arc<Member>) -> Arc<Member> {
        if record.state < State::Suspect && !self.is_reachable(&record.data_centre) {
            Arc::new(record.with_state(State::Suspect))
        } else {
            Arc::clone(record)
        }
    }

    /// Marks the data centre of `from` as reachable after a message from it.
    pub(crate) fn mark_reachable(&mut self, cx: &mut Context<'_>, from: &EndpointId) {
        let Some(entry) = self.table.get(from) else { return };
        let data_centre = entry.record.data_centre.clone();
        let next = cx.now + jittered(cx, self.settings.reachability_period);
        let Some(state) = self.reachability.get_mut(&data_centre) else { return };
        let healed = std::mem::take(&mut state.unreachable);
        state.failures = 0;
        state.next = next;
        if healed {
            self.refresh_views(cx, &data_centre);
            self.anti_entropy.schedule_with(cx, from.clone());
        }
    }

    pub(crate) fn check_reachability(&mut self, cx: &mut Context<'_>) {
        let due: Vec<DataCentre> = self
            .reachability
            .iter()
            .filter(|(_, it)| it.next <= cx.now)
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        for data_centre in due {
            // Overwritten by the outcome of the probe.
            let next = cx.now + jittered(cx, self.settings.reachability_period);
            if let Some(state) = self.reachability.get_mut(&data_centre) {
                state.next = next;
            }
            if let Some(target) = choose_random(cx, self.table.peers(&data_centre)).cloned() {
                self.send_probe(cx, target, true);
            }
        }
    }

    /// Handles a failed probe of a member of another data centre.
    pub(crate) fn reachability_probe_failed(
        &mut self,
        cx: &mut Context<'_>,
        data_centre: &DataCentre,
    ) {
        let isolated = self.is_isolated(cx.now);
        self.counters.inconclusive_probes += u64::from(isolated);
        let limit = self.settings.reachability_failures;
        let Some(state) = self.reachability.get_mut(data_centre) else { return };
        state.failures = if isolated { 0 } else { state.failures + 1 };
        let newly_unreachable = state.failures >= limit && !state.unreachable;
        state.unreachable |= newly_unreachable;
        let retry = if state.unreachable {
            self.settings.unreachable_retry
        } else {
            self.settings.reachability_retry
        };
        state.next = cx.now + retry;
        if newly_unreachable {
            self.counters.partitions += 1;
            self.refresh_views(cx, data_centre);
        }
    }

    /// Updates the local view of all members of a data centre.
    fn refresh_views(&mut self, cx: &mut Context<'_>, data_centre: &DataCentre) {
        for id in self.table.peers(data_centre).to_vec() {
            let Some(entry) = self.table.get(&id) else { continue };
            let view = self.local_view(&entry.record);
            if view != entry.view {
                cx.actions.push(Action::MemberChanged { member: Arc::clone(&view) });
                self.table.set_view(&id, view);
            }
        }
    }
}

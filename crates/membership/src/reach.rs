//! Reachability of other data centres.
//!
//! Members of another data centre are probed by their own peers. Whether the data centre can be
//! reached at all is decided by each daemon for itself and not disseminated: marking each of its
//! records would cost thousands of record changes for every partition, and again when it heals.

use std::{sync::Arc, time::Duration};

use rand::RngExt;
use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{
    Action, Member, Membership, State,
    core::{Context, pick},
};

/// Contact with one other data centre.
#[derive(Debug)]
pub(crate) struct Reach {
    /// Time of the next probe.
    pub next: Time,
    /// Failed probes since a message last arrived from there.
    failed: u32,
    /// Whether the data centre is unreachable.
    cut: bool,
}

impl Reach {
    pub fn resume(&mut self, now: Time) {
        self.failed = 0;
        self.next = self.next.max(now);
    }
}

/// Returns a time between three and five quarters of `period`.
pub(crate) fn jittered(cx: &mut Context<'_>, period: Duration) -> Duration {
    period.mul_f64(cx.rng.random_range(0.75..1.25))
}

impl Membership {
    /// Returns whether members of a data centre can be reached from here.
    pub fn is_reachable(&self, data_centre: &DataCentre) -> bool {
        self.reach.get(data_centre).is_none_or(|it| !it.cut)
    }

    pub(crate) fn add_reach(&mut self, cx: &mut Context<'_>, data_centre: &DataCentre) {
        if !self.reach.contains_key(data_centre) {
            let next = cx.now + jittered(cx, self.settings.reachability_period);
            self.reach.insert(data_centre.clone(), Reach { next, failed: 0, cut: false });
        }
    }

    /// Returns the record as this daemon sees it.
    pub(crate) fn shown(&self, record: &Arc<Member>) -> Arc<Member> {
        if record.state < State::Suspect && !self.is_reachable(&record.data_centre) {
            Arc::new(record.with_state(State::Suspect))
        } else {
            Arc::clone(record)
        }
    }

    /// Notes that a message arrived from a member.
    pub(crate) fn heard_from(&mut self, cx: &mut Context<'_>, from: &EndpointId) {
        let Some(entry) = self.table.get(from) else { return };
        let data_centre = entry.record.data_centre.clone();
        let next = cx.now + jittered(cx, self.settings.reachability_period);
        let Some(reach) = self.reach.get_mut(&data_centre) else { return };
        let healed = std::mem::take(&mut reach.cut);
        reach.failed = 0;
        reach.next = next;
        if healed {
            self.show_again(cx, &data_centre);
            self.entropy.soon(cx, from.clone());
        }
    }

    pub(crate) fn check_contacts(&mut self, cx: &mut Context<'_>) {
        let due: Vec<DataCentre> = self
            .reach
            .iter()
            .filter(|(_, it)| it.next <= cx.now)
            .map(|(data_centre, _)| data_centre.clone())
            .collect();
        for data_centre in due {
            // The outcome of the probe sets the next time again.
            let next = cx.now + jittered(cx, self.settings.reachability_period);
            if let Some(reach) = self.reach.get_mut(&data_centre) {
                reach.next = next;
            }
            if let Some(target) = pick(cx, self.table.peers(&data_centre)).cloned() {
                self.probe(cx, target, true);
            }
        }
    }

    /// Notes that a probe of a member of another data centre failed.
    pub(crate) fn contact_failed(&mut self, cx: &mut Context<'_>, data_centre: &DataCentre) {
        let isolated = self.is_isolated(cx.now);
        self.counters.inconclusive_probes += u64::from(isolated);
        let limit = self.settings.reachability_failures;
        let Some(reach) = self.reach.get_mut(data_centre) else { return };
        reach.failed = if isolated { 0 } else { reach.failed + 1 };
        let cut = reach.failed >= limit && !reach.cut;
        reach.cut |= cut;
        let retry = if reach.cut {
            self.settings.unreachable_retry
        } else {
            self.settings.reachability_retry
        };
        reach.next = cx.now + retry;
        if cut {
            self.counters.partitions += 1;
            self.show_again(cx, data_centre);
        }
    }

    /// Updates what is shown of all members of a data centre.
    fn show_again(&mut self, cx: &mut Context<'_>, data_centre: &DataCentre) {
        for id in self.table.peers(data_centre).to_vec() {
            let Some(entry) = self.table.get(&id) else { continue };
            let shown = self.shown(&entry.record);
            if shown != entry.shown {
                cx.out.push(Action::MemberChanged { member: Arc::clone(&shown) });
                self.table.show(&id, shown);
            }
        }
    }
}

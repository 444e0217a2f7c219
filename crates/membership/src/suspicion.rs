//! Suspicions and how they end: in a refutation or in the member being declared `Dead`.

use std::sync::Arc;

use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{
    Body, Member, Membership, State,
    core::{Context, Dissemination},
    table::Entry,
};

/// A suspicion that has not been refuted.
#[derive(Debug)]
pub(crate) struct Suspicion {
    /// Time at which the member is declared `Dead`.
    pub deadline: Time,
    /// Whether the deadline is based on [`crate::Settings::extended_suspicion`].
    extended: bool,
}

impl Membership {
    /// Returns whether a data centre has a mass failure: more than a third of its members are
    /// suspected or were declared `Dead` within [`crate::Settings::extended_suspicion`].
    ///
    /// One failed member is never a mass failure, since it would always be one in a data centre of
    /// two members.
    pub fn is_mass_failure(&self, data_centre: &DataCentre, now: Time) -> bool {
        let mut failed = 0;
        let mut total = usize::from(*data_centre == self.identity.data_centre);
        let alive = self.table.peers(data_centre).iter();
        for entry in alive.chain(self.table.gone()).filter_map(|id| self.table.get(id)) {
            let recent = now.since(entry.changed_at) <= self.settings.extended_suspicion;
            match entry.record.state {
                State::Suspect => failed += 1,
                State::Dead if recent && entry.record.data_centre == *data_centre => failed += 1,
                State::Dead | State::Left => continue,
                _ => {}
            }
            total += 1;
        }
        failed > 1 && failed * 3 > total
    }

    pub(crate) fn new_suspicion(&self, now: Time, record: &Member) -> Suspicion {
        if record.data_centre == self.identity.data_centre {
            Suspicion { deadline: now + self.settings.suspicion_timeout, extended: false }
        } else {
            Suspicion { deadline: now + self.settings.extended_suspicion, extended: true }
        }
    }

    /// Marks a member as `Suspect` and sends it the record, so that it can refute it.
    pub(crate) fn suspect(&mut self, cx: &mut Context<'_>, target: &EndpointId) {
        let Some(entry) = self.table.get(target) else { return };
        if entry.record.state >= State::Suspect {
            return;
        }
        self.counters.suspicions += 1;
        let record = Arc::new(entry.record.with_state(State::Suspect));
        self.store(cx, &record, Dissemination::Gossip);
        self.send(cx, target, Body::Gossip);
    }

    pub(crate) fn check_suspicions(&mut self, cx: &mut Context<'_>) {
        let due: Vec<EndpointId> = self
            .suspicions
            .iter()
            .filter(|(_, it)| it.deadline <= cx.now)
            .map(|(id, _)| id.clone())
            .collect();
        for id in due {
            self.resolve_suspicion(cx, &id);
        }
    }

    fn resolve_suspicion(&mut self, cx: &mut Context<'_>, id: &EndpointId) {
        let Some(entry) = self.table.get(id) else {
            self.suspicions.remove(id);
            return;
        };
        let (record, since) = (Arc::clone(&entry.record), entry.changed_at);
        let wait = self.is_isolated(cx.now) || !self.is_reachable(&record.data_centre);
        let mass = self.is_mass_failure(&record.data_centre, cx.now);
        let growing = self.suspicions_growing(&record.data_centre, cx.now);
        let latest = since + self.settings.extended_suspicion;
        let Some(suspicion) = self.suspicions.get_mut(id) else { return };
        if wait {
            // A refutation could not arrive at the moment.
            suspicion.deadline = cx.now + self.settings.suspicion_timeout;
        } else if mass && !suspicion.extended && cx.now < latest {
            suspicion.extended = true;
            suspicion.deadline = latest;
            self.counters.extended_suspicions += 1;
        } else if growing && cx.now < latest {
            suspicion.deadline = latest.min(cx.now + self.settings.suspicion_settle);
        } else {
            self.counters.deaths += 1;
            self.store(cx, &Arc::new(record.with_state(State::Dead)), Dissemination::Gossip);
        }
    }

    /// Returns whether several members of a data centre are suspected, the last one for less than
    /// [`crate::Settings::suspicion_settle`].
    fn suspicions_growing(&self, data_centre: &DataCentre, now: Time) -> bool {
        let newest = self.suspected_members(data_centre).map(|it| it.changed_at).max();
        let recent = newest.is_some_and(|it| now.since(it) < self.settings.suspicion_settle);
        recent && self.suspected_members(data_centre).count() > 1
    }

    /// Returns the suspected members of a data centre.
    pub(crate) fn suspected_members(
        &self,
        data_centre: &DataCentre,
    ) -> impl Iterator<Item = &Entry> {
        let entries = self.suspicions.keys().filter_map(|id| self.table.get(id));
        entries.filter(move |it| it.record.data_centre == *data_centre)
    }

    /// Returns whether the local daemon may itself be cut off: no message has arrived for
    /// [`crate::Settings::isolation_timeout`], although members of its data centre should be alive.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        let silent = now.since(self.last_received) > self.settings.isolation_timeout;
        silent
            && self
                .table
                .peers(&self.identity.data_centre)
                .iter()
                .filter_map(|id| self.table.get(id))
                .any(|it| it.record.state < State::Suspect)
    }
}

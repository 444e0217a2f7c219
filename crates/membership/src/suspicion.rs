//! Suspicions and their end in refutation or death.

use std::sync::Arc;

use shallottack_kernel::{DataCentre, EndpointId, Time};

use crate::{
    Body, Member, Membership, State,
    core::{Context, Spread},
    table::Entry,
};

/// A suspicion that was not refuted yet.
#[derive(Debug)]
pub(crate) struct Suspicion {
    /// Time at which the member becomes `Dead`.
    pub deadline: Time,
    /// Whether the deadline already is the later one.
    extended: bool,
}

impl Membership {
    /// Returns whether more than a third of a data centre is suspected or was declared `Dead`
    /// within the longer suspicion time. A single suspicion is never a mass failure, so that a
    /// data centre of two members is not always in one.
    pub fn is_mass_failure(&self, data_centre: &DataCentre, now: Time) -> bool {
        let mut doubted = 0;
        let mut total = usize::from(*data_centre == self.identity.data_centre);
        let alive = self.table.peers(data_centre).iter();
        for entry in alive.chain(self.table.gone()).filter_map(|id| self.table.get(id)) {
            let recent = now.since(entry.since) <= self.settings.extended_suspicion;
            match entry.record.state {
                State::Suspect => doubted += 1,
                State::Dead if recent && entry.record.data_centre == *data_centre => doubted += 1,
                State::Dead | State::Left => continue,
                _ => {}
            }
            total += 1;
        }
        doubted > 1 && doubted * 3 > total
    }

    pub(crate) fn new_suspicion(&self, now: Time, record: &Member) -> Suspicion {
        if record.data_centre == self.identity.data_centre {
            Suspicion { deadline: now + self.settings.suspicion_timeout, extended: false }
        } else {
            Suspicion { deadline: now + self.settings.extended_suspicion, extended: true }
        }
    }

    /// Marks a member as `Suspect` and tells it so that it can refute.
    pub(crate) fn suspect(&mut self, cx: &mut Context<'_>, target: &EndpointId) {
        let Some(entry) = self.table.get(target) else { return };
        if entry.record.state >= State::Suspect {
            return;
        }
        self.counters.suspicions += 1;
        let record = Arc::new(entry.record.with_state(State::Suspect));
        self.store(cx, &record, Spread::Gossip);
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
            self.end_suspicion(cx, &id);
        }
    }

    fn end_suspicion(&mut self, cx: &mut Context<'_>, id: &EndpointId) {
        let Some(entry) = self.table.get(id) else {
            self.suspicions.remove(id);
            return;
        };
        let (record, since) = (Arc::clone(&entry.record), entry.since);
        let wait = self.is_isolated(cx.now) || !self.is_reachable(&record.data_centre);
        let mass = self.is_mass_failure(&record.data_centre, cx.now);
        let rising = self.suspicions_rise(&record.data_centre, cx.now);
        let latest = since + self.settings.extended_suspicion;
        let Some(suspicion) = self.suspicions.get_mut(id) else { return };
        if wait {
            // A refutation could not arrive.
            suspicion.deadline = cx.now + self.settings.suspicion_timeout;
        } else if mass && !suspicion.extended && cx.now < latest {
            suspicion.extended = true;
            suspicion.deadline = latest;
            self.counters.extended_suspicions += 1;
        } else if rising && cx.now < latest {
            suspicion.deadline = latest.min(cx.now + self.settings.suspicion_settle);
        } else {
            self.counters.deaths += 1;
            self.store(cx, &Arc::new(record.with_state(State::Dead)), Spread::Gossip);
        }
    }

    /// Returns whether several members of a data centre are suspected, the last one since a moment
    /// ago.
    fn suspicions_rise(&self, data_centre: &DataCentre, now: Time) -> bool {
        let newest = self.suspected(data_centre).map(|it| it.since).max();
        let recent = newest.is_some_and(|it| now.since(it) < self.settings.suspicion_settle);
        recent && self.suspected(data_centre).count() > 1
    }

    /// Returns the suspected members of a data centre.
    pub(crate) fn suspected(&self, data_centre: &DataCentre) -> impl Iterator<Item = &Entry> {
        let entries = self.suspicions.keys().filter_map(|id| self.table.get(id));
        entries.filter(move |it| it.record.data_centre == *data_centre)
    }

    /// Returns whether this daemon has heard from no one for so long that it may be the one that
    /// is cut off, although members of its data centre should be alive.
    pub(crate) fn is_isolated(&self, now: Time) -> bool {
        let silent = now.since(self.heard) > self.settings.isolation_timeout;
        silent
            && self
                .table
                .peers(&self.identity.data_centre)
                .iter()
                .filter_map(|id| self.table.get(id))
                .any(|it| it.record.state < State::Suspect)
    }
}

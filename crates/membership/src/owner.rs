//! The daemon's own record: announcement, cold start, leave and refutation.

use std::sync::Arc;

use shallottack_kernel::{EndpointId, Time};

use crate::{
    Announcement, Member, Membership, State,
    core::{Context, Spread},
};

/// State of the own backend server beyond its record.
#[derive(Debug)]
pub(crate) struct Owner {
    /// Lowest incarnation that the next new record may have.
    incarnation: u64,
    /// End of the announced cold start.
    warm_at: Time,
    /// Whether a call or probe has succeeded since the announcement.
    succeeded: bool,
    /// Failed connections in a row.
    failures: u32,
    /// Whether the daemon is about to exit.
    pub stopped: bool,
}

impl Owner {
    pub fn new(incarnation: u64) -> Owner {
        Owner { incarnation, warm_at: Time(0), succeeded: false, failures: 0, stopped: false }
    }
}

impl Membership {
    /// Returns the daemon's own record, or `None` before the first announcement.
    pub fn local_member(&self) -> Option<&Arc<Member>> {
        self.table.get(&self.identity.endpoint).map(|it| &it.record)
    }

    pub(crate) fn announce(&mut self, cx: &mut Context<'_>, announcement: Announcement) {
        let record = Member {
            endpoint: self.identity.endpoint.clone(),
            service: announcement.service,
            group: announcement.group,
            data_centre: self.identity.data_centre.clone(),
            addresses: self.identity.addresses,
            slots: announcement.slots,
            incarnation: self.owner.incarnation,
            state: State::Starting,
        };
        let own = self.local_member();
        // A backend server that did not receive the response announces itself again.
        let repeated =
            own.is_some_and(|own| own.state == State::Starting && own.same_content(&record));
        if repeated {
            return;
        }
        self.owner.warm_at = cx.now + announcement.cold_start;
        self.owner.succeeded = false;
        self.owner.failures = 0;
        self.raise(cx, record);
    }

    pub(crate) fn leave(&mut self, cx: &mut Context<'_>, notify: Vec<EndpointId>) {
        self.retire(cx, State::Leaving, notify);
    }

    pub(crate) fn stop(&mut self, cx: &mut Context<'_>) {
        self.retire(cx, State::Left, Vec::new());
        self.owner.stopped = true;
    }

    pub(crate) fn connect_failed(&mut self, cx: &mut Context<'_>) {
        self.owner.failures += 1;
        if self.owner.failures >= self.settings.connect_failures {
            self.retire(cx, State::Leaving, Vec::new());
        }
    }

    pub(crate) fn succeeded(&mut self, cx: &mut Context<'_>) {
        self.owner.failures = 0;
        self.owner.succeeded = true;
        self.check_ready(cx);
    }

    /// Returns when a `Starting` backend server becomes `Ready` without further input.
    pub(crate) fn ready_at(&self) -> Option<Time> {
        let starting = self.local_member().is_some_and(|own| own.state == State::Starting);
        (starting && self.owner.succeeded).then_some(self.owner.warm_at)
    }

    pub(crate) fn check_ready(&mut self, cx: &mut Context<'_>) {
        if self.ready_at().is_none_or(|at| cx.now < at) {
            return;
        }
        if let Some(own) = self.local_member() {
            let record = Arc::new(own.with_state(State::Ready));
            self.store(cx, &record, Spread::Gossip);
        }
    }

    /// Moves the own record to a later state of its life and tells some members immediately.
    fn retire(&mut self, cx: &mut Context<'_>, state: State, notify: Vec<EndpointId>) {
        let Some(own) = self.local_member().filter(|own| own.state < state) else { return };
        let record = Arc::new(own.with_state(state));
        self.store(cx, &record, Spread::Gossip);
        self.push(cx, &record, notify);
    }

    /// Publishes `record` with an incarnation above every earlier one.
    fn raise(&mut self, cx: &mut Context<'_>, mut record: Member) {
        record.incarnation = self.owner.incarnation;
        self.owner.incarnation = record.incarnation.saturating_add(1);
        let record = Arc::new(record);
        self.store(cx, &record, Spread::Gossip);
    }

    /// Handles a record of this daemon that another one sent.
    ///
    /// It is superseded when it would win over the own record, or has the same incarnation and
    /// another content: a suspicion, or a record from before a restart.
    pub(crate) fn hear_self(&mut self, cx: &mut Context<'_>, heard: &Arc<Member>) {
        let next = heard.incarnation.saturating_add(1);
        let Some(own) = self.local_member() else {
            self.owner.incarnation = self.owner.incarnation.max(next);
            // The backend server has not announced itself to this process. Without this, callers
            // would use the record from before the restart.
            if !heard.state.is_gone() {
                let record = Member {
                    data_centre: self.identity.data_centre.clone(),
                    addresses: self.identity.addresses,
                    ..heard.with_state(State::Leaving)
                };
                self.refute(cx, record);
            }
            return;
        };
        let conflict = heard.incarnation == own.incarnation && !heard.same_content(own);
        if heard.cmp_precedence(own).is_gt() || conflict {
            let record = own.as_ref().clone();
            self.owner.incarnation = self.owner.incarnation.max(next);
            self.refute(cx, record);
        }
    }

    fn refute(&mut self, cx: &mut Context<'_>, record: Member) {
        self.counters.refutations += 1;
        self.raise(cx, record);
        if let Some(own) = self.local_member().map(Arc::clone) {
            self.push(cx, &own, Vec::new());
        }
    }
}

//! Local record: announcement, cold start, leave and refutation.

use std::sync::Arc;

use shallottack_kernel::{EndpointId, Time};

use crate::{
    Announcement, Member, Membership, State,
    core::{Context, Dissemination},
};

/// State of the local endpoint that is not part of its record.
#[derive(Debug)]
pub(crate) struct LocalState {
    /// Lowest incarnation that the next published record may have.
    next_incarnation: u64,
    /// End of the announced cold start.
    warm_at: Time,
    /// Whether a call or probe of the backend server has succeeded since its announcement.
    succeeded: bool,
    /// Number of consecutive failed connections to the backend server.
    connect_failures: u32,
    /// Whether the daemon is about to exit.
    pub stopped: bool,
}

impl LocalState {
    pub fn new(next_incarnation: u64) -> LocalState {
        LocalState {
            next_incarnation,
            warm_at: Time(0),
            succeeded: false,
            connect_failures: 0,
            stopped: false,
        }
    }
}

impl Membership {
    /// Returns the local record, or `None` before the first announcement.
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
            incarnation: self.local.next_incarnation,
            state: State::Starting,
        };
        let own = self.local_member();
        // A backend server that did not receive the response repeats its announcement.
        let repeated =
            own.is_some_and(|own| own.state == State::Starting && own.same_content(&record));
        if repeated {
            return;
        }
        self.local.warm_at = cx.now + announcement.cold_start;
        self.local.succeeded = false;
        self.local.connect_failures = 0;
        self.publish(cx, record);
    }

    pub(crate) fn leave(&mut self, cx: &mut Context<'_>, notify: Vec<EndpointId>) {
        self.advance_state(cx, State::Leaving, notify);
    }

    pub(crate) fn stop(&mut self, cx: &mut Context<'_>) {
        self.advance_state(cx, State::Left, Vec::new());
        self.local.stopped = true;
    }

    pub(crate) fn backend_connect_failed(&mut self, cx: &mut Context<'_>) {
        self.local.connect_failures += 1;
        if self.local.connect_failures >= self.settings.connect_failures {
            self.advance_state(cx, State::Leaving, Vec::new());
        }
    }

    pub(crate) fn backend_responded(&mut self, cx: &mut Context<'_>) {
        self.local.connect_failures = 0;
        self.local.succeeded = true;
        self.check_ready(cx);
    }

    /// Returns the time at which a `Starting` backend server becomes `Ready`, or `None` if that
    /// needs further input.
    pub(crate) fn ready_at(&self) -> Option<Time> {
        let starting = self.local_member().is_some_and(|own| own.state == State::Starting);
        (starting && self.local.succeeded).then_some(self.local.warm_at)
    }

    pub(crate) fn check_ready(&mut self, cx: &mut Context<'_>) {
        if self.ready_at().is_none_or(|at| cx.now < at) {
            return;
        }
        if let Some(own) = self.local_member() {
            let record = Arc::new(own.with_state(State::Ready));
            self.store(cx, &record, Dissemination::Gossip);
        }
    }

    /// Moves the local record to a later state and immediately notifies some random members and
    /// those in `notify`.
    fn advance_state(&mut self, cx: &mut Context<'_>, state: State, notify: Vec<EndpointId>) {
        let Some(own) = self.local_member().filter(|own| own.state < state) else { return };
        let record = Arc::new(own.with_state(state));
        self.store(cx, &record, Dissemination::Gossip);
        self.push(cx, &record, notify);
    }

    /// Publishes `record` as the local record, with an incarnation above every earlier one.
    fn publish(&mut self, cx: &mut Context<'_>, mut record: Member) {
        record.incarnation = self.local.next_incarnation;
        self.local.next_incarnation = record.incarnation.saturating_add(1);
        let record = Arc::new(record);
        self.store(cx, &record, Dissemination::Gossip);
    }

    /// Handles a record of the local endpoint that another daemon sent.
    ///
    /// The record is refuted if it supersedes the local one, or has the same incarnation but
    /// different content: it is a suspicion, or dates from before a restart.
    pub(crate) fn receive_local_record(&mut self, cx: &mut Context<'_>, received: &Arc<Member>) {
        let next = received.incarnation.saturating_add(1);
        let Some(own) = self.local_member() else {
            self.local.next_incarnation = self.local.next_incarnation.max(next);
            // The backend server has not announced itself to this process yet. Callers would
            // continue to use the record from before the restart.
            if !received.state.is_gone() {
                let record = Member {
                    data_centre: self.identity.data_centre.clone(),
                    addresses: self.identity.addresses,
                    ..received.with_state(State::Leaving)
                };
                self.refute(cx, record);
            }
            return;
        };
        let conflict = received.incarnation == own.incarnation && !received.same_content(own);
        if received.cmp_precedence(own).is_gt() || conflict {
            let record = own.as_ref().clone();
            self.local.next_incarnation = self.local.next_incarnation.max(next);
            self.refute(cx, record);
        }
    }

    fn refute(&mut self, cx: &mut Context<'_>, record: Member) {
        self.counters.refutations += 1;
        self.publish(cx, record);
        if let Some(own) = self.local_member().map(Arc::clone) {
            self.push(cx, &own, Vec::new());
        }
    }
}

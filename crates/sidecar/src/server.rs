//! The backend server on this VM: what follows from a change of it.

use std::sync::Arc;

use shallottack_fleet::{
    CrashSign, Kept, LeaveNotice, LocalServer, Member, RateLimit, ServerState, ServerUpdate,
};
use smallvec::SmallVec;

use crate::{
    backend::Notice,
    events::Event,
    node::{Node, Shared},
};

/// Effect of a message about the backend server.
#[derive(Debug, Clone, Copy)]
pub struct ServerChange {
    /// Effect on the current incarnation.
    pub update: ServerUpdate,
    /// Whether another incarnation runs now.
    pub replaced: bool,
    /// Whether the leave of another incarnation was recorded.
    pub leaves: bool,
}

impl Node {
    /// Changes what is known of the backend server, and forgets the former one if another incarnation
    /// runs now.
    ///
    /// Other daemons are not notified.
    pub fn update_server(
        self: &Arc<Self>,
        change: impl FnOnce(&mut LocalServer) -> ServerUpdate,
    ) -> ServerChange {
        let (update, leaves, former) = {
            let mut shared = self.shared();
            let former = shared.local.server().cloned();
            let was_ready = shared.local.is_ready();
            let revision = shared.local.leaves_revision();
            let update = change(&mut shared.local);
            let leaves = shared.local.leaves_revision() != revision;
            let change = ServerChange { update, replaced: false, leaves };
            let Some(server) = shared.local.server().cloned() else { return change };
            if former.as_ref().is_some_and(|it| it.is_same_start(&server)) {
                return change;
            }
            shared.reset_server();
            self.record_warmup(&mut shared, server.warmup_left, false);
            if !was_ready {
                shared.runs.reset();
            }
            (update, leaves, former)
        };
        if former.is_some() {
            self.record_crash(CrashSign::Restarted);
        }
        self.backend.close_idle();
        ServerChange { update, replaced: true, leaves }
    }

    /// Applies the state of the backend server to the slots and to this daemon's description.
    pub fn server_changed(&self, reason: &str) {
        let server = {
            let mut shared = self.shared();
            let now = self.now();
            let server = shared.local.server().cloned();
            let limit = shared.slot_limit();
            self.inherit_runs(&mut shared);
            let wakes = shared.slots.set_limit(now, limit);
            shared.wake(&wakes);
            server
        };
        if let Some(server) = &server {
            self.events.write(&Event::Server {
                id: server.id.as_str(),
                state: server.state,
                version: server.group.as_str(),
                slots: server.slots,
                reason,
            });
        }
        {
            let mut shared = self.shared();
            let left: SmallVec<[LeaveNotice; 1]> = shared.local.leaves().cloned().collect();
            let leaving = server.as_ref().is_some_and(|it| it.state != ServerState::Ready);
            let server = server.filter(|_| leaving || shared.may_offer());
            shared.change_own(self.now(), |own| (own.server, own.left) = (server, left));
            if leaving || !shared.own.left.is_empty() {
                let sequence = shared.own.sequence;
                shared.kept.record_leave(sequence);
            }
        }
        // If the channel is full, the writer has already been woken.
        self.publish_signal.0.try_send(()).ok();
    }

    /// Takes over which backend server an earlier daemon on this VM sent requests to.
    pub fn restore_runs(&self, earlier: &Member) {
        let mut shared = self.shared();
        // A daemon that stops waits for its runs.
        shared.predecessor = earlier.server.clone().filter(|_| !earlier.stopping);
        self.inherit_runs(&mut shared);
    }

    /// Counts the slots of the backend server as taken by runs of the earlier daemon, if it sent
    /// requests to the same incarnation.
    fn inherit_runs(&self, shared: &mut Shared) {
        let Some(server) = shared.local.server().cloned().filter(|_| shared.may_offer()) else {
            return;
        };
        let Some(earlier) = shared.predecessor.take() else { return };
        if earlier.is_same_start(&server) {
            let started = shared.started;
            shared.slots.assume_runs(started, server.slots);
            let (server, runs) = (server.id.as_str(), server.slots);
            let age_ms = self.now().since(started).as_millis() as u64;
            self.events.write(&Event::Inherited { server, runs, age_ms });
        }
    }

    /// Applies what `source` knows of the leaves that an earlier daemon acknowledged, and offers the
    /// backend server from now on unless it has left.
    pub fn apply_leaves(&self, notices: &[LeaveNotice], source: &str) {
        let (changed, informed) = {
            let mut shared = self.shared();
            let revision = shared.local.leaves_revision();
            let now = self.now();
            let mut changed = false;
            for notice in notices {
                let update = shared.local.restore_leave(now, notice);
                changed |= update == ServerUpdate::Changed;
                if update == ServerUpdate::Refused {
                    metrics::counter!("shallottack_leaves_dropped_total").increment(1);
                }
            }
            changed |= revision != shared.local.leaves_revision();
            (changed, std::mem::replace(&mut shared.informed, true))
        };
        if changed || !informed {
            self.server_changed(source);
        }
    }

    /// Returns whether the leave of the backend server outlives this daemon.
    pub fn is_leave_kept(&self) -> bool {
        let shared = self.shared();
        let members = shared.directory.members();
        let reachable =
            members.filter(|it| it.vm != shared.own.vm && shared.placement.is_reachable(&it.vm));
        shared.kept.is_leave_kept(reachable.take(Kept::HOLDERS).count())
    }

    /// Applies what the backend server stated about itself in its response to the request `id`.
    pub fn record_notice(&self, id: &str, notice: &Notice) {
        let now = self.now();
        let mut shared = self.shared();
        if let Ok(limit) = notice.rate_limit {
            let wakes = shared.slots.set_rate_limit(now, limit);
            shared.wake(&wakes);
        }
        let update = if notice.leaving {
            shared.local.observe_leaving(now)
        } else {
            ServerUpdate::Unchanged
        };
        if shared.notice == *notice && update == ServerUpdate::Unchanged {
            return;
        }
        shared.notice = notice.clone();
        let limit_per_s = shared.slots.rate_limit().map(RateLimit::rate);
        metrics::gauge!("shallottack_backend_rate_limit").set(limit_per_s.unwrap_or(0.0));
        self.events.write(&Event::Notice {
            id,
            server: shared.local.server().map_or("", |it| it.id.as_str()),
            limit_per_s,
            leaving: notice.leaving,
            invalid: notice.rate_limit.as_ref().err().map_or("", String::as_str),
        });
        drop(shared);
        if update == ServerUpdate::Changed {
            self.server_changed("response");
        }
    }
}

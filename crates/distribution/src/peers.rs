//! Handling of members and their messages, pulls, floor queries and reports.

use shallottack_config::Version;
use shallottack_kernel::EndpointId;

use crate::{
    Action, Distribution, EncodedDelta, KnownSource, Message, Mode, Peer, SenderState,
    distribution::Context,
    settings::{backoff, jitter, spread},
    store::ApplyOutcome,
};

/// Number of tracked endpoints above which those that are no longer members are dropped. Until
/// then they are kept, so that a restarted daemon finds its version floor. Above the fleet's size
/// of 3,700.
const MAX_TRACKED_ENDPOINTS: usize = 8_192;

impl Distribution {
    pub(crate) fn set_peers(&mut self, peers: Vec<Peer>) {
        self.view.update(peers, self.settings.candidates);
        let view = &self.view;
        // A briefly suspected member leaves the view and returns without a new report, so reports
        // are kept while it is absent. Only children in the view are aggregated.
        if self.reports.children.len() > MAX_TRACKED_ENDPOINTS {
            self.reports.children.retain(|it, _| view.local.binary_search(it).is_ok());
        }
        if self.highest_in_force.len() > MAX_TRACKED_ENDPOINTS {
            self.highest_in_force.retain(|it, _| {
                view.local.binary_search(it).is_ok() || view.remote.binary_search(it).is_ok()
            });
        }
    }

    pub(crate) fn handle_message(
        &mut self,
        ctx: &mut Context<'_>,
        from: EndpointId,
        message: Message,
    ) {
        match message {
            Message::Push { sender, deltas } => {
                self.record_sender(ctx, &from, &sender);
                self.apply_deltas(ctx, Some(&from), &deltas);
                self.pull.record_ahead(ctx.now, &from, sender.version);
            }
            Message::Probe { sender } => {
                self.record_sender(ctx, &from, &sender);
                self.handle_probe(ctx, &from, sender.version);
            }
            Message::Pull { sender } => {
                self.record_sender(ctx, &from, &sender);
                self.handle_pull(ctx, &from, sender.version);
            }
            Message::Deltas { sender, deltas } => {
                self.record_sender(ctx, &from, &sender);
                self.pull.finish(&from);
                // If nothing was applied, the same peer must not be asked again immediately.
                if self.apply_deltas(ctx, Some(&from), &deltas) {
                    self.pull.record_ahead(ctx.now, &from, sender.version);
                } else {
                    self.pull.forget(&from);
                }
            }
            Message::Snapshot { sender, body } => {
                self.record_sender(ctx, &from, &sender);
                self.pull.finish(&from);
                if self.apply_snapshot(ctx, &body) != ApplyOutcome::Applied {
                    self.pull.forget(&from);
                }
            }
            Message::Busy { retry_after } => self.handle_busy(ctx, &from, retry_after),
            Message::FloorQuery { nonce } => {
                let yours = self.highest_in_force.get(&from).copied();
                let sender = self.sender_state();
                ctx.send(from, Message::FloorAnswer { nonce, sender, yours });
                return;
            }
            Message::FloorAnswer { nonce, sender, yours } => {
                self.record_sender(ctx, &from, &sender);
                self.handle_floor_answer(ctx, &from, nonce, &sender, yours);
            }
            Message::Report(report) => {
                // The sender's membership record may not have arrived yet. If its report were
                // dropped, it would be missing until the sender repeats the unchanged report.
                self.reports.children.insert(from, report);
                return;
            }
        }
        self.pull_if_behind(ctx);
    }

    /// Records the state of a message's sender.
    fn record_sender(&mut self, ctx: &mut Context<'_>, from: &EndpointId, sender: &SenderState) {
        if sender.in_force {
            let highest = self.highest_in_force.entry(from.clone()).or_default();
            *highest = sender.version.max(*highest);
        }
        let Some(source) = &sender.source else { return };
        self.learn_source(source);
        // Only messages from the source itself show that it is alive: relays also forward deltas
        // that arrived through other data centres.
        let current = self.source.as_ref() == Some(source) && source.holder == *from;
        if current && self.lease.held.is_none() {
            self.lease.postpone(ctx.now, ctx.rng, &self.settings);
        }
    }

    /// Adopts a source with a higher fencing epoch and gives up the local lease if its epoch is
    /// lower.
    pub(crate) fn learn_source(&mut self, source: &KnownSource) {
        if source.data_centre != self.me.data_centre
            || self.source.as_ref().is_some_and(|known| source.epoch <= known.epoch)
        {
            return;
        }
        if self.lease.held.is_some_and(|held| held.epoch < source.epoch) {
            self.lease.step_down();
        }
        self.source = Some(source.clone());
    }

    fn handle_probe(&mut self, ctx: &mut Context<'_>, from: &EndpointId, theirs: Version) {
        if theirs > self.held() {
            self.pull.record_ahead(ctx.now, from, theirs);
        } else if theirs < self.held() {
            let deltas = self.store.deltas_after(theirs, self.settings.message_bytes);
            let sender = self.sender_state();
            // A snapshot is not sent unasked: the peer would get it from several senders at once.
            let message = match deltas {
                Some(deltas) => Message::Deltas { sender, deltas },
                None => Message::Probe { sender },
            };
            ctx.send(from.clone(), message);
        }
    }

    fn handle_pull(&mut self, ctx: &mut Context<'_>, from: &EndpointId, have: Version) {
        let sender = self.sender_state();
        let message = match self.store.deltas_after(have, self.settings.message_bytes) {
            Some(deltas) => Message::Deltas { sender, deltas },
            None => match self.transfer_limiter.admit(ctx.now, ctx.rng, &self.settings) {
                Ok(()) => {
                    self.counters.snapshots_sent += 1;
                    Message::Snapshot { sender, body: self.store.snapshot() }
                }
                Err(retry_after) => {
                    self.counters.snapshots_deferred += 1;
                    Message::Busy { retry_after }
                }
            },
        };
        ctx.send(from.clone(), message);
    }

    fn handle_busy(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EndpointId,
        after: std::time::Duration,
    ) {
        self.pull.finish(from);
        self.pull.forget(from);
        let until = ctx.now + after.min(self.settings.retry_cap);
        self.pull.busy = Some((from.clone(), until));
        self.pull.retry_at = until;
    }

    fn handle_floor_answer(
        &mut self,
        ctx: &mut Context<'_>,
        from: &EndpointId,
        nonce: u64,
        sender: &SenderState,
        yours: Option<Version>,
    ) {
        if nonce != self.nonce {
            return;
        }
        if self.floor.known.is_none() {
            self.floor.add_answer(from.clone(), sender, yours);
            self.update_in_force(ctx);
        }
        self.pull.record_ahead(ctx.now, from, sender.version);
    }

    /// Pulls from a peer that is ahead, unless a pull is in progress.
    fn pull_if_behind(&mut self, ctx: &mut Context<'_>) {
        let held = self.held();
        if let Some(to) = self.pull.next_peer(ctx.now, held) {
            self.start_pull(ctx, to);
        }
    }

    fn start_pull(&mut self, ctx: &mut Context<'_>, to: EndpointId) {
        self.pull.pending = Some((to.clone(), ctx.now + self.settings.pull_timeout));
        let sender = self.sender_state();
        ctx.send(to, Message::Pull { sender });
    }

    /// Sends new deltas to the children in the tree, or to random peers in [`Mode::Epidemic`].
    pub(crate) fn push_deltas(
        &mut self,
        ctx: &mut Context<'_>,
        from: Option<&EndpointId>,
        mut deltas: Vec<EncodedDelta>,
    ) {
        let mut bytes = 0;
        let fits = deltas.iter().take_while(|it| {
            bytes += it.body.len();
            bytes <= self.settings.message_bytes
        });
        // Receivers pull the deltas that do not fit.
        let fitting = fits.count().max(1);
        deltas.truncate(fitting);
        let sender = self.sender_state();
        for to in self.downstream(ctx) {
            if Some(&to) != from {
                ctx.send(to, Message::Push { sender: sender.clone(), deltas: deltas.clone() });
            }
        }
    }

    /// Announces a version downstream that receivers can only reach with a snapshot.
    pub(crate) fn announce_version(&mut self, ctx: &mut Context<'_>) {
        let sender = self.sender_state();
        for to in self.downstream(ctx) {
            ctx.send(to, Message::Probe { sender: sender.clone() });
        }
    }

    fn downstream(&mut self, ctx: &mut Context<'_>) -> Vec<EndpointId> {
        match (self.settings.mode, &self.source) {
            (Mode::Tree, Some(source)) => {
                self.view.position(&source.holder, self.settings.arity).children.clone()
            }
            (Mode::Epidemic, _) => {
                let fanout = 0..self.settings.gossip_fanout;
                fanout.filter_map(|_| self.random_peer(ctx)).collect()
            }
            (Mode::Tree, None) | (Mode::Poll, _) => Vec::new(),
        }
    }

    /// Returns a random member; every `remote_interval`th is of another data centre.
    fn random_peer(&mut self, ctx: &mut Context<'_>) -> Option<EndpointId> {
        self.probe_count = self.probe_count.wrapping_add(1);
        let remote = self.probe_count.is_multiple_of(self.settings.remote_interval);
        self.view.random(ctx.rng, remote)
    }

    /// Sends a probe along with another message to the same peer if a probe is due soon. Probes to
    /// other data centres are sent separately, since most other messages stay in the local one.
    pub(crate) fn piggyback_probe(&mut self, ctx: &mut Context<'_>, to: EndpointId) {
        let interval = self.settings.probe_interval;
        let due = self.probe_at <= ctx.now + interval / 2;
        let remote = self.probe_count.wrapping_add(1).is_multiple_of(self.settings.remote_interval);
        if !due || remote || self.settings.mode == Mode::Poll {
            return;
        }
        self.probe_count = self.probe_count.wrapping_add(1);
        self.probe_at = ctx.now + interval + interval / 2;
        let sender = self.sender_state();
        ctx.send(to, Message::Probe { sender });
    }

    pub(crate) fn tick_pull(&mut self, ctx: &mut Context<'_>) {
        self.pull.expire(ctx.now);
        if ctx.now >= self.probe_at {
            self.probe_at = ctx.now + spread(ctx.rng, self.settings.probe_interval);
            if let Some(to) = self.random_peer(ctx) {
                let sender = self.sender_state();
                ctx.send(to, Message::Probe { sender });
            }
        }
        if self.in_force.is_none() && ctx.now >= self.pull.retry_at {
            let (base, cap) = (self.settings.retry_base, self.settings.retry_cap);
            self.pull.retries = self.pull.retries.saturating_add(1);
            let bound = backoff(base, cap, self.pull.retries);
            self.pull.retry_at = ctx.now + jitter(ctx.rng, bound);
            if self.pull.pending.is_none()
                && let Some(to) = self.random_peer(ctx)
            {
                self.start_pull(ctx, to);
            }
        }
        self.pull_if_behind(ctx);
    }

    pub(crate) fn tick_floor(&mut self, ctx: &mut Context<'_>) {
        if self.floor.known.is_some()
            || self.floor.unavailable_since.is_none()
            || ctx.now < self.floor.query_at
        {
            return;
        }
        self.floor.query_at = ctx.now + spread(ctx.rng, self.settings.floor_interval);
        let nonce = self.nonce;
        for i in 0..self.settings.floor_peers {
            // The first query goes to another data centre, in case the local one is partitioned.
            if let Some(to) = self.view.random(ctx.rng, i == 0) {
                ctx.send(to, Message::FloorQuery { nonce });
            }
        }
        self.update_in_force(ctx);
    }

    pub(crate) fn tick_report(&mut self, ctx: &mut Context<'_>) {
        if ctx.now < self.reports.next_at {
            return;
        }
        self.reports.next_at = ctx.now + self.settings.report_interval;
        let Some(source) = self.source.clone() else { return };
        let parent = self.view.position(&source.holder, self.settings.arity).parent.clone();
        if parent.is_none() && !self.lease.is_valid(ctx.now) {
            return;
        }
        // The source may be known before its membership record arrives; it has no address until
        // then.
        let known = |to: &EndpointId| self.view.local.binary_search(to).is_ok();
        if parent.as_ref().is_some_and(|to| !known(to)) {
            return;
        }
        let report = self.report();
        let fresh = self.reports.sent.as_ref().is_some_and(|(to, sent, at)| {
            *to == parent && *sent == report && ctx.now - *at < self.settings.report_refresh
        });
        if fresh {
            return;
        }
        self.reports.sent = Some((parent.clone(), report.clone(), ctx.now));
        match parent {
            Some(to) => ctx.send(to, Message::Report(report)),
            None => ctx.out.push(Action::Report(report)),
        }
    }
}

//! Handling of the platform's answers: head row, deltas, snapshots and the source lease.

use std::{sync::Arc, time::Duration};

use shallottack_config::Version;
use shallottack_kernel::Time;

use crate::{
    Action, Distribution, EncodedDelta, FetchError, KnownSource, LeaseOutcome, Message, Mode,
    ObservedHead, ObservedLease, Unavailable,
    distribution::{Context, NEVER},
    lease::LeaseStep,
    reader::Fetch,
    settings::spread,
    store::ApplyOutcome,
};

impl Distribution {
    /// Returns the interval between reads of the head row, or `None` if this daemon does not read
    /// it.
    fn head_interval(&self, now: Time) -> Option<Duration> {
        match self.settings.mode {
            Mode::Tree => self.lease.is_valid(now).then_some(self.settings.head_interval),
            Mode::Epidemic => {
                let members = self.view.local.len() as u32 + 1;
                Some(self.settings.head_interval.saturating_mul(members))
            }
            Mode::Poll => Some(self.settings.poll_interval),
        }
    }

    fn schedule_head(&mut self, ctx: &mut Context<'_>) {
        self.reader.head_at = match self.head_interval(ctx.now) {
            None => NEVER,
            // A source keeps to the interval; the many readers of the other modes are spread in time.
            Some(interval) if self.settings.mode == Mode::Tree => ctx.now + interval,
            Some(interval) => ctx.now + spread(ctx.rng, interval),
        };
    }

    pub(crate) fn tick_head(&mut self, ctx: &mut Context<'_>) {
        if ctx.now < self.reader.head_at {
            return;
        }
        if self.reader.head_pending {
            self.platform_failed(ctx);
        } else if self.floor.known.is_none() || self.head_interval(ctx.now).is_some() {
            self.reader.head_pending = true;
            self.reader.head_at = ctx.now + self.settings.platform_timeout;
            ctx.out.push(Action::ReadHead);
        } else {
            self.reader.head_at = NEVER;
        }
    }

    fn platform_failed(&mut self, ctx: &mut Context<'_>) {
        self.reader.postpone(ctx.now, ctx.rng, &self.settings);
        self.floor.head_read_failed(ctx.now);
    }

    pub(crate) fn handle_head(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<Option<ObservedHead>, Unavailable>,
    ) {
        self.reader.head_pending = false;
        let Ok(head) = result else { return self.platform_failed(ctx) };
        let version = head.map_or(Version::ZERO, |it| it.version);
        self.reader.failures = 0;
        self.reader.head = self.reader.head.max(version);
        if self.floor.known.is_none() {
            self.floor.known = Some(version);
            self.update_in_force(ctx);
        }
        self.schedule_head(ctx);
        if self.head_interval(ctx.now).is_some() {
            self.start_fetch(ctx);
        }
    }

    fn start_fetch(&mut self, ctx: &mut Context<'_>) {
        let held = self.held();
        ctx.out.extend(self.reader.start_fetch(ctx.now, &self.settings, held));
    }

    pub(crate) fn handle_deltas(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<Vec<Arc<[u8]>>, FetchError>,
    ) {
        if self.reader.finish_fetch().is_none() {
            return;
        }
        let bodies = match result {
            Ok(bodies) => bodies,
            Err(FetchError::Unavailable) => return self.platform_failed(ctx),
            Err(FetchError::Missing) => return self.next_snapshot(ctx, Fetch::Deltas),
        };
        let mut deltas = Vec::with_capacity(bodies.len());
        for body in bodies {
            match EncodedDelta::from_body(body) {
                Some(delta) => deltas.push(delta),
                None => self.counters.rejected += 1,
            }
        }
        let before = self.held();
        self.apply_deltas(ctx, None, &deltas);
        // Peers may have delivered the same versions during the fetch.
        if self.held() > before || deltas.last().is_some_and(|it| it.to <= before) {
            self.reader.snapshots_unusable = false;
            let held = self.held();
            ctx.out.extend(self.reader.next_deltas(ctx.now, &self.settings, held));
        } else {
            self.next_snapshot(ctx, Fetch::Deltas);
        }
    }

    pub(crate) fn handle_snapshot(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<Arc<[u8]>, FetchError>,
    ) {
        let Some(fetch) = self.reader.finish_fetch() else { return };
        match result.map(|body| self.apply_snapshot(ctx, &body)) {
            Ok(ApplyOutcome::Applied) => {
                let held = self.held();
                ctx.out.extend(self.reader.next_deltas(ctx.now, &self.settings, held));
            }
            // Older snapshots would be stale too.
            Ok(ApplyOutcome::Stale) => {
                self.reader.snapshots_unusable = true;
                self.platform_failed(ctx);
            }
            Ok(ApplyOutcome::Gap | ApplyOutcome::Invalid) | Err(FetchError::Missing) => {
                self.next_snapshot(ctx, fetch);
            }
            Err(FetchError::Unavailable) => self.platform_failed(ctx),
        }
    }

    fn next_snapshot(&mut self, ctx: &mut Context<'_>, failed: Fetch) {
        let held = self.held();
        match self.reader.next_snapshot(ctx.now, &self.settings, held, failed) {
            Some(action) => ctx.out.push(action),
            None => {
                // If deltas failed too, the next attempt may try the snapshots again.
                self.reader.snapshots_unusable = matches!(failed, Fetch::Snapshot { .. });
                self.platform_failed(ctx);
            }
        }
    }

    /// Applies the delta of a change that this daemon committed, and pushes it to the source.
    pub(crate) fn handle_commit(&mut self, ctx: &mut Context<'_>, body: Arc<[u8]>) {
        let Some(delta) = EncodedDelta::from_body(body) else {
            self.counters.rejected += 1;
            return;
        };
        let deltas = vec![delta];
        if !self.apply_deltas(ctx, None, &deltas) || self.settings.mode != Mode::Tree {
            return;
        }
        let Some(source) = self.source.clone() else { return };
        if source.holder != self.me.endpoint {
            let message = Message::Push { sender: self.sender_state(), deltas };
            ctx.send(source.holder, message);
        }
    }

    pub(crate) fn tick_lease(&mut self, ctx: &mut Context<'_>) {
        let candidate = self.view.is_candidate();
        let step = self.lease.poll(ctx.now, ctx.rng, &self.settings, candidate);
        self.apply_lease_step(ctx, step);
        if ctx.now >= self.heartbeat_at {
            self.send_heartbeats(ctx);
        }
    }

    fn apply_lease_step(&mut self, ctx: &mut Context<'_>, step: LeaseStep) {
        match step {
            LeaseStep::Wait => {}
            LeaseStep::Act(action) => ctx.out.push(action),
            LeaseStep::Follow { holder, epoch } => {
                let data_centre = self.me.data_centre.clone();
                self.learn_source(&KnownSource { data_centre, holder, epoch });
            }
        }
    }

    /// Sends a heartbeat to the daemons that would otherwise try to acquire the lease.
    fn send_heartbeats(&mut self, ctx: &mut Context<'_>) {
        if !self.lease.is_valid(ctx.now) {
            self.heartbeat_at = NEVER;
            return;
        }
        self.heartbeat_at = ctx.now + self.settings.lease_renew;
        let sender = self.sender_state();
        for to in self.view.candidates.iter().filter(|it| **it != self.me.endpoint) {
            ctx.send(to.clone(), Message::Probe { sender: sender.clone() });
        }
    }

    pub(crate) fn handle_lease(
        &mut self,
        ctx: &mut Context<'_>,
        result: Result<Option<ObservedLease>, Unavailable>,
    ) {
        let Ok(seen) = result else {
            self.lease.next_at = ctx.now + self.reader.back_off(ctx.rng, &self.settings);
            return;
        };
        self.reader.failures = 0;
        let known = self.source.as_ref().map_or(0, |it| it.epoch);
        let step = self.lease.evaluate(ctx.now, ctx.rng, &self.settings, known, seen);
        self.apply_lease_step(ctx, step);
    }

    pub(crate) fn handle_lease_commit(
        &mut self,
        ctx: &mut Context<'_>,
        requested: Time,
        outcome: LeaseOutcome,
    ) {
        self.lease.commit_finished(ctx.now, ctx.rng, &self.settings, requested, outcome);
        let Some(held) = self.lease.held else { return };
        if !self.lease.is_valid(ctx.now) || outcome != LeaseOutcome::Committed {
            return;
        }
        let (data_centre, holder) = (self.me.data_centre.clone(), self.me.endpoint.clone());
        self.learn_source(&KnownSource { data_centre, holder, epoch: held.epoch });
        // Starts the reads and heartbeats, also when an expired lease is regained after a pause.
        if self.heartbeat_at == NEVER {
            self.send_heartbeats(ctx);
        }
        if self.reader.head_at == NEVER {
            self.reader.head_at = ctx.now;
            self.tick_head(ctx);
        }
    }
}

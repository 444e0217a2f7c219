//! Shares that other daemons lend to this one, and what it grants of them.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use shallottack_kernel::{EndpointId, Time};

use super::{
    message::{DemandEntry, ShareGrant, ShareReply, ShareRequest},
    quotas::{QuotaBounds, TOKEN_TIMEOUT},
};
use crate::Quota;

/// Interval at which organisations without requests are updated.
const REFRESH_INTERVAL: Duration = Duration::from_millis(200);
/// Part of the shares that is not granted while the demand is lower, for daemons at which an
/// organisation sends its first requests.
const RESERVE: f64 = 0.25;
/// Weight of a daemon with little demand, as a fraction of the quota's rate, so that one with a
/// single request gets room for the next ones.
const MIN_WEIGHT: f64 = 0.005;
/// Time for which the order of a daemon's requests is remembered; longer than one is on the way.
const LENDER_MEMORY: Duration = Duration::from_secs(30);
/// Longest time for which tokens are added at once; leases and loans last longer.
const MAX_REFILL: Duration = Duration::from_secs(2);
/// Smoothed requests per second from which a daemon gets a share also if there are many such
/// daemons: three requests in the smoothing time. A share for each single request would be unused
/// most of the time.
const STEADY_PER_S: f64 = 1.9;
/// Part of all shares from which a daemon gets it also for a single request, since few daemons have
/// demand.
const FEW_HOLDERS: f64 = 0.1;
/// Largest ratio of the share to the demand while the quota is not used up. The rest stays at the
/// broker, where every daemon finds it at once.
const ROOM: f64 = 3.0;
/// Ratio of the share to the demand at the first request of an organisation, as others may send
/// their first requests at the same time.
const FIRST_ROOM: f64 = 6.0;
/// Tokens for which the smallest share has room. Each time that a share moves, the fraction of a
/// token that the daemon has is lost.
const MIN_DEPTH: f64 = 1.3;

/// A daemon that lends its shares of a group.
#[derive(Debug)]
struct Lender {
    incarnation: u64,
    sequence: u64,
    /// When it last sent a request.
    heard: Time,
    share: f64,
    until: Time,
}

/// Part of other daemons' shares that was granted.
#[derive(Debug, Clone, Copy, Default)]
struct Lease {
    sequence: u64,
    fraction: f64,
    until: Time,
}

impl Lease {
    fn at(&self, now: Time) -> f64 {
        if self.until > now { self.fraction } else { 0.0 }
    }
}

/// What one daemon wants and has of one organisation.
#[derive(Debug, Default)]
struct Holder {
    kept: f64,
    demand: f64,
    /// Until when the demand counts.
    until: Time,
    /// Whether this is the first request in some time that states demand.
    new: bool,
    /// Lease that the daemon has applied.
    applied: Lease,
    /// Lease of the last reply, which it may have applied.
    offered: Lease,
}

impl Holder {
    fn outstanding(&self, now: Time) -> f64 {
        self.applied.at(now).max(self.offered.at(now))
    }
}

/// Lent shares of one organisation.
#[derive(Debug)]
struct Pool {
    quota: Quota,
    holders: BTreeMap<EndpointId, Holder>,
    /// Tokens of the part that is not granted.
    tokens: f64,
    /// That part at the last update.
    free: f64,
    updated: Time,
}

/// Shares that are lent to this daemon for one group of organisations.
#[derive(Debug, Default)]
pub(super) struct Broker {
    lenders: BTreeMap<EndpointId, Lender>,
    pools: BTreeMap<Arc<str>, Pool>,
}

impl Broker {
    /// Sets the quota of an organisation.
    pub(super) fn set_quota(
        &mut self,
        now: Time,
        bounds: &QuotaBounds,
        name: &Arc<str>,
        quota: Quota,
    ) {
        if let Some(pool) = self.pools.get_mut(name) {
            pool.quota = quota;
            pool.tokens = pool.tokens.min(room(pool.free, bounds.depth(quota)));
            return;
        }
        let holders = BTreeMap::new();
        let pool = Pool { quota, holders, tokens: 0.0, free: 0.0, updated: now };
        self.pools.insert(Arc::clone(name), pool);
    }

    /// Removes the organisations that have no quota any more.
    pub(super) fn retain(&mut self, keep: impl Fn(&Arc<str>) -> bool) {
        self.pools.retain(|name, _| keep(name));
    }

    /// Returns the number of daemons that lend.
    pub(super) fn lenders(&self, now: Time) -> usize {
        self.lenders.values().filter(|it| it.until > now).count()
    }

    /// Handles a request, with leases of `duration`; `interval` is that between requests.
    pub(super) fn answer(
        &mut self,
        now: Time,
        bounds: &QuotaBounds,
        incarnation: u64,
        (interval, duration): (Duration, Duration),
        request: &ShareRequest,
    ) -> ShareReply {
        let mut reply = ShareReply {
            incarnation,
            time: now,
            sequence: request.sequence,
            duration,
            grants: Vec::new(),
        };
        let order = (request.incarnation, request.sequence);
        let known = self.lenders.get(&request.vm).map(|it| (it.incarnation, it.sequence));
        if known.is_some_and(|it| it >= order) {
            return reply;
        }
        let restarted = known.is_some_and(|it| it.0 != request.incarnation);
        let lends = self.record_loan(now, incarnation, request);
        self.record_demand(now, request, lends, restarted, interval * 3);
        let end = now + duration;
        self.refresh(now, bounds, end);
        let sent = request.echo.filter(|_| lends).map(|it| it.time + it.held);
        let in_time = sent.is_some_and(|it| now.since(it) <= TOKEN_TIMEOUT);
        for entry in &request.entries {
            let grant = self.grant(now, bounds, end, request, entry, in_time);
            reply.grants.extend(grant);
        }
        self.lenders.retain(|_, it| it.until > now || now.since(it.heard) < LENDER_MEMORY);
        reply
    }

    /// Records what the sender lends. Returns whether it lends anything.
    fn record_loan(&mut self, now: Time, incarnation: u64, request: &ShareRequest) -> bool {
        let lender = self.lenders.entry(request.vm.clone()).or_insert(Lender {
            incarnation: 0,
            sequence: 0,
            heard: now,
            share: 0.0,
            until: Time::default(),
        });
        lender.heard = now;
        (lender.incarnation, lender.sequence) = (request.incarnation, request.sequence);
        let echo = request.echo.filter(|it| it.incarnation == incarnation);
        let Some((share, echo)) = request.share.zip(echo) else { return false };
        lender.share = share.clamp(0.0, 1.0);
        // The request was sent later than this, so that the loan ends here before the lender
        // counts on its share again.
        lender.until = echo.time + echo.held + request.expiry;
        true
    }

    /// Records the demand of the sender, and which of its leases it still has.
    fn record_demand(
        &mut self,
        now: Time,
        request: &ShareRequest,
        lends: bool,
        restarted: bool,
        lasts: Duration,
    ) {
        for (name, pool) in &mut self.pools {
            let entry = request.entries.iter().find(|it| it.organisation == *name);
            if entry.is_none() && !pool.holders.contains_key(&request.vm) {
                continue;
            }
            let holder = pool.holders.entry(request.vm.clone()).or_default();
            if restarted {
                (holder.applied, holder.offered) = (Lease::default(), Lease::default());
            }
            // The reply to an earlier request can't be applied any more.
            let applied = entry.map_or(0, |it| it.applied);
            if holder.offered.sequence == applied {
                holder.applied = holder.offered;
            } else if holder.applied.sequence != applied {
                holder.applied = Lease::default();
            }
            holder.offered = Lease { sequence: request.sequence, ..Lease::default() };
            holder.new = holder.demand == 0.0 || holder.until <= now;
            holder.demand = entry.map_or(0.0, |it| it.demand);
            holder.until = now + lasts;
            if lends {
                holder.kept = entry.map_or(0.0, |it| it.kept);
            }
        }
    }

    /// Forgets daemons without demand, and adds the tokens of organisations without requests.
    fn refresh(&mut self, now: Time, bounds: &QuotaBounds, end: Time) {
        let Broker { pools, lenders } = self;
        for pool in pools.values_mut().filter(|it| now.since(it.updated) >= REFRESH_INTERVAL) {
            pool.holders.retain(|vm, it| {
                let kept = it.kept > 0.0 && lenders.get(vm).is_some_and(|it| it.until > now);
                kept || it.demand > 0.0 && it.until > now || it.outstanding(now) > 0.0
            });
            let free = pool.sums(now, end, lenders).free();
            pool.refill(now, (bounds.rate(pool.quota), bounds.depth(pool.quota)), free);
        }
    }

    /// Returns the shares of one organisation for the sender.
    fn grant(
        &mut self,
        now: Time,
        bounds: &QuotaBounds,
        end: Time,
        request: &ShareRequest,
        entry: &DemandEntry,
        in_time: bool,
    ) -> Option<ShareGrant> {
        let pool = self.pools.get_mut(&entry.organisation)?;
        let sums = pool.sums(now, end, &self.lenders);
        let Sums { all, lent, outstanding, weights, demand } = sums;
        let depth = bounds.depth(pool.quota);
        pool.refill(now, (bounds.rate(pool.quota), depth), sums.free());
        if in_time {
            pool.tokens = (pool.tokens + entry.back.max(0.0)).min(room(sums.free(), depth));
        }
        let lends = |vm: &EndpointId| self.lenders.get(vm).filter(|it| it.until >= end);
        let own = lends(&request.vm).map(|it| it.share);
        let holder = pool.holders.get_mut(&request.vm)?;
        let before = holder.applied.at(now);
        let free = (lent - (outstanding - holder.outstanding(now))).max(0.0);
        let mut target = 0.0;
        if entry.demand > 0.0 {
            let usable = (all * (1.0 - RESERVE)).max(demand.min(all));
            target = usable * entry.demand.max(MIN_WEIGHT) / weights;
            if demand < all * (1.0 - RESERVE) {
                target = target.min((entry.demand * ROOM).max(all * RESERVE));
            }
            if holder.new {
                target = target.min(entry.demand * FIRST_ROOM);
            }
        }
        // What the daemon's own share suffices for is left to it, so that it needs no broker.
        let least = (MIN_DEPTH + 0.01) / depth;
        if entry.demand > 0.0 && demand < all && own.is_some_and(|it| it >= least) {
            target = target.max(least);
        }
        let own_lent = own.map_or(0.0, |it| (it - holder.kept).max(0.0));
        let held = if own.is_some() { holder.kept } else { entry.kept };
        let wanted = (target - held).max(0.0);
        let mut returned = wanted.min(own_lent).min(free);
        let mut lease = (wanted - returned).min(free - returned).max(0.0);
        // Demand that is spread thin is served with single tokens from the part not granted.
        let steady = entry.demand * pool.quota.rate >= STEADY_PER_S || target >= FEW_HOLDERS * all;
        if !steady || (held + returned + lease) * depth < MIN_DEPTH {
            lease = 0.0;
        }
        if (held + returned + lease) * depth < MIN_DEPTH {
            returned = 0.0;
        }
        holder.kept += returned;
        holder.offered = Lease { sequence: request.sequence, fraction: lease, until: end };
        let moved = (returned + lease - before).max(0.0);
        let part = if pool.free > 0.0 { (moved / pool.free).min(1.0) } else { 0.0 };
        let waiting = f64::from(entry.waiting).min(pool.tokens.floor());
        let tokens = (pool.tokens * part).max(waiting);
        pool.tokens -= tokens;
        pool.free = (pool.free - moved).max(0.0);
        pool.tokens = pool.tokens.min(room(pool.free, depth));
        let organisation = Arc::clone(&entry.organisation);
        let exhausted = demand >= all;
        Some(ShareGrant { organisation, target, returned, lease, tokens, exhausted })
    }
}

/// Sums over the daemons that lend or want shares of one organisation.
#[derive(Debug, Default)]
struct Sums {
    /// Shares of all lenders, lent or kept.
    all: f64,
    lent: f64,
    outstanding: f64,
    weights: f64,
    demand: f64,
}

impl Sums {
    /// Returns the part that is not granted.
    fn free(&self) -> f64 {
        (self.lent - self.outstanding).max(0.0)
    }
}

impl Pool {
    /// Returns the sums at `now`; a loan counts if it lasts until `end`.
    fn sums(&self, now: Time, end: Time, lenders: &BTreeMap<EndpointId, Lender>) -> Sums {
        let all = lenders.values().filter(|it| it.until >= end).map(|it| it.share).sum();
        let mut sums = Sums { all, ..Sums::default() };
        let mut kept = 0.0;
        for (vm, holder) in &self.holders {
            if holder.kept > 0.0 && lenders.get(vm).is_some_and(|it| it.until >= end) {
                kept += holder.kept;
            }
            sums.outstanding += holder.outstanding(now);
            if holder.until > now && holder.demand > 0.0 {
                sums.weights += holder.demand.max(MIN_WEIGHT);
                sums.demand += holder.demand;
            }
        }
        sums.lent = (sums.all - kept).max(0.0);
        sums
    }

    /// Adds the tokens of the time since the last update, during which the part that was not granted
    /// was at least the lower of that before and that now.
    fn refill(&mut self, now: Time, (rate, depth): (f64, f64), free: f64) {
        let passed = now.since(self.updated).min(MAX_REFILL).as_secs_f64();
        let gained = self.free.min(free) * rate * passed;
        self.tokens = (self.tokens + gained).min(room(free, depth));
        (self.free, self.updated) = (free, now);
    }
}

/// Returns how many tokens the part that is not granted may have: at least one, since a daemon that
/// asks can use no less.
fn room(free: f64, depth: f64) -> f64 {
    if free > 0.0 { (free * depth).max(1.0) } else { 0.0 }
}

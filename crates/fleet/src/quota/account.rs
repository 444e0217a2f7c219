//! Token bucket and demand of one organisation at one daemon.

use std::{sync::Arc, time::Duration};

use shallottack_kernel::Time;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    message::ShareGrant,
    quotas::{AppliedReply, BrokerId, LANES, QuotaBounds, QuotaUse},
};
use crate::Quota;

/// Time over which the demand is smoothed; a single request counts for a few intervals.
const DEMAND_TIME: Duration = Duration::from_millis(1_500);
/// Demand in requests per second below which an organisation counts as one without requests.
const MIN_DEMAND_PER_S: f64 = 0.02;
/// Fraction of the kept share below which a target is followed, so that random variations of the
/// demand do not move shares.
const RELEASE_BELOW: f64 = 0.7;
/// Part of the tolerance that tokens of an expired lease may use, until the lenders of a broker that
/// is gone lend to the next one.
const SPARE_SHARE: f64 = 0.25;
/// Time for which tokens without a share remain usable; covers the change of the broker.
const SPARE_TIME: Duration = Duration::from_millis(2_000);
/// Divisor of the interval for the time in which a daemon does not ask again, if the broker had no
/// token though the quota is not used up.
const DECLINE_DIVISOR: u32 = 4;
/// Longest time after which a rejected caller is told to return.
const MAX_RETURN: Duration = Duration::from_secs(5);

/// Share that the broker of one lane manages.
#[derive(Debug)]
struct Part {
    /// Part of the own share that is not lent.
    kept: f64,
    lease: f64,
    lease_until: Time,
    /// Broker of the lease and the request to which it was granted.
    lease_source: Option<(BrokerId, u64)>,
    /// Fraction that the broker considers right; `None` before the first reply.
    target: Option<f64>,
    /// Requests that wait for a token of the broker.
    waiting: u8,
    /// Tokens for which a smaller share has no room; they are given back to the broker.
    back: f64,
    /// Until when the broker is not asked, since it had no token.
    declined_until: Time,
}

/// Shares, token bucket and demand of one organisation.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) name: Arc<str>,
    pub(super) group: usize,
    quota: Quota,
    bounds: QuotaBounds,
    parts: [Part; LANES],
    /// Lane that is asked next.
    turn: usize,
    tokens: f64,
    /// Tokens without a share.
    spare: f64,
    spare_until: Time,
    /// Whole tokens that the daemon has since its start.
    initial: f64,
    initial_until: Time,
    updated: Time,
    demand_per_s: f64,
    demand_at: Time,
    /// When the next rejected caller is told to return.
    next_return: Time,
    /// When a request was last rejected.
    pub(super) rejected_at: Option<Time>,
}

impl Account {
    pub(super) fn new(
        now: Time,
        name: Arc<str>,
        group: usize,
        quota: Quota,
        bounds: QuotaBounds,
    ) -> Account {
        let part = || Part {
            kept: 0.0,
            lease: 0.0,
            lease_until: now,
            lease_source: None,
            target: None,
            waiting: 0,
            back: 0.0,
            declined_until: Time::default(),
        };
        Account {
            name,
            group,
            quota,
            bounds,
            parts: std::array::from_fn(|_| part()),
            turn: 0,
            tokens: 0.0,
            spare: 0.0,
            spare_until: now,
            initial: 0.0,
            initial_until: now,
            updated: now,
            demand_per_s: 0.0,
            demand_at: now,
            next_return: now,
            rejected_at: None,
        }
    }

    /// Replaces the quota; tokens beyond the new depth are lost.
    pub(super) fn set_quota(&mut self, now: Time, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.refill(now);
        // A rate of zero leaves no tokens at all.
        let ratio = (quota.rate / self.quota.rate.max(f64::MIN_POSITIVE)).min(1.0);
        self.spare *= ratio;
        self.initial = (self.initial * ratio).floor();
        self.quota = quota;
        self.tokens = self.tokens.min(self.depth());
    }

    fn fraction(&self) -> f64 {
        self.parts.iter().map(|it| it.kept + it.lease).sum()
    }

    fn depth(&self) -> f64 {
        self.fraction() * self.bounds.depth(self.quota)
    }

    /// Adds the tokens of the time since the last call, and ends expired leases.
    pub(super) fn refill(&mut self, now: Time) {
        let seconds = |until: Time| until.since(self.updated).as_secs_f64();
        let gained =
            |it: &Part| it.kept * seconds(now) + it.lease * seconds(now.min(it.lease_until));
        let gained: f64 = self.parts.iter().map(gained).sum();
        self.updated = now.max(self.updated);
        self.tokens = (self.tokens + gained * self.bounds.rate(self.quota)).min(self.depth());
        if now >= self.spare_until {
            self.spare = 0.0;
        }
        for lane in 0..LANES {
            let part = &mut self.parts[lane];
            if part.lease == 0.0 || now < part.lease_until {
                continue;
            }
            let most = part.lease * SPARE_SHARE * self.bounds.tolerance(self.quota);
            let until = part.lease_until + SPARE_TIME;
            (part.lease, part.lease_source) = (0.0, None);
            let lost = (self.tokens - self.depth()).max(0.0);
            self.tokens -= lost;
            if now < until {
                self.spare += lost.min(most);
                self.spare_until = self.spare_until.max(until);
            }
        }
    }

    /// Sets the part of the own share that is not lent.
    pub(super) fn keep(&mut self, now: Time, lane: usize, kept: f64) {
        self.refill(now);
        self.parts[lane].kept = kept;
        self.tokens = self.tokens.min(self.depth());
    }

    /// Returns the part of the own share that is not to be lent, at most `own`.
    pub(super) fn release(&mut self, now: Time, lane: usize, own: f64) -> f64 {
        self.refill(now);
        let part = &self.parts[lane];
        let wanted = match part.target {
            _ if self.demand(now) == 0.0 => 0.0,
            Some(target) if target < part.kept * RELEASE_BELOW => target,
            _ => part.kept,
        };
        let wanted = wanted.min(own);
        // A share that can't hold a whole token is of more use at the broker.
        let share = self.fraction() - part.kept + wanted;
        let usable = share * self.bounds.depth(self.quota) >= 1.0;
        let wanted = if usable { wanted } else { 0.0 };
        self.keep(now, lane, wanted);
        wanted
    }

    pub(super) fn kept(&self, lane: usize) -> f64 {
        self.parts[lane].kept
    }

    pub(super) fn waiting(&self, lane: usize) -> u8 {
        self.parts[lane].waiting
    }

    /// Takes the tokens that are given back to the broker of a lane.
    pub(super) fn take_back(&mut self, lane: usize) -> f64 {
        std::mem::take(&mut self.parts[lane].back)
    }

    /// Returns the lane whose broker is to be asked for a token, and counts the request there.
    ///
    /// The lanes take turns; one whose broker had no token is left out for some time, and one of
    /// those in `slow`, whose brokers have not replied yet, is asked only if there is no other.
    pub(super) fn ask(&mut self, now: Time, again: bool, slow: [bool; LANES]) -> Option<usize> {
        let lanes = (0..LANES).map(|it| (self.turn + it) % LANES);
        let mut usable = lanes.filter(|it| now >= self.parts[*it].declined_until);
        let first = usable.clone().next()?;
        let lane = usable.find(|it| !slow[*it]).unwrap_or(first);
        let part = &mut self.parts[lane];
        if !again || part.waiting == 0 {
            part.waiting = part.waiting.saturating_add(1);
        }
        if !again {
            self.turn = (lane + 1) % LANES;
        }
        Some(lane)
    }

    /// Applies what the broker of a lane grants; without a grant, its lease ends.
    ///
    /// A larger lease of another broker stays until it expires.
    pub(super) fn apply(
        &mut self,
        now: Time,
        lane: usize,
        reply: &AppliedReply,
        grant: Option<&ShareGrant>,
    ) {
        self.refill(now);
        let part = &mut self.parts[lane];
        part.target = grant.map(|it| it.target);
        part.kept += grant.map_or(0.0, |it| it.returned);
        let lease = grant.filter(|_| reply.until > now).map_or(0.0, |it| it.lease);
        let same = part.lease_source.as_ref().is_none_or(|it| it.0 == reply.broker);
        if same || lease >= part.lease {
            part.lease = lease;
            part.lease_until = reply.until;
            part.lease_source = (lease > 0.0).then(|| (reply.broker.clone(), reply.sequence));
        }
        let waiting = std::mem::take(&mut part.waiting);
        let tokens = grant.filter(|_| reply.in_time).map_or(0.0, |it| it.tokens);
        let sum = self.tokens + tokens;
        self.tokens = sum.min(self.depth());
        let excess = sum - self.tokens;
        let rest = excess.min(tokens).min(f64::from(waiting));
        self.parts[lane].back = excess - rest;
        if rest > 0.0 {
            self.spare += rest;
            self.spare_until = self.spare_until.max(now + SPARE_TIME);
        }
        if waiting > 0 && self.tokens + self.spare < 1.0 {
            let exhausted = grant.is_none_or(|it| it.exhausted);
            let decline = if exhausted { reply.interval } else { reply.interval / DECLINE_DIVISOR };
            self.parts[lane].declined_until = now + decline;
        }
    }

    /// Returns the request to which `broker` granted the lease in use, 0 for none.
    pub(super) fn lease_of(&self, lane: usize, broker: &BrokerId) -> u64 {
        let source = self.parts[lane].lease_source.as_ref();
        source.filter(|it| it.0 == *broker).map_or(0, |it| it.1)
    }

    /// Returns whether the share is large enough for one token.
    pub(super) fn is_usable(&self) -> bool {
        self.depth() >= 1.0 && self.quota.rate > 0.0
    }

    /// Returns the time until the next token if the demand is within the share.
    pub(super) fn time_to_token(&self, now: Time) -> Option<Duration> {
        let share = self.fraction();
        if !self.is_usable() || self.demand(now) > share {
            return None;
        }
        let needed = (1.0 - self.tokens - self.spare).max(0.0);
        Some(Duration::from_secs_f64((needed / (share * self.quota.rate)).min(60.0)))
    }

    /// Takes a token, if there is one.
    pub(super) fn take(&mut self, now: Time) -> bool {
        self.refill(now);
        if self.tokens + self.spare < 1.0 {
            let passes = self.initial >= 1.0 && now < self.initial_until;
            self.initial -= if passes { 1.0 } else { 0.0 };
            return passes;
        }
        let spare = self.spare.min(1.0);
        self.spare -= spare;
        self.tokens = (self.tokens - (1.0 - spare)).max(0.0);
        true
    }

    /// Adds the tokens of daemon `rank` of `daemons` that have just started, usable until a time.
    ///
    /// Daemons round differently, so that their sum is at most that of the tokens of all starts.
    pub(super) fn add_initial(&mut self, until: Time, rank: usize, daemons: usize) {
        let all = (self.bounds.initial(self.quota) - 1.0).max(0.0);
        if self.quota.rate <= 0.0 {
            return;
        }
        let offset = xxh3_64(self.name.as_bytes()) as f64 / u64::MAX as f64;
        let below = |rank: usize| (all * rank as f64 / daemons as f64 + offset).floor();
        self.initial = below(rank + 1) - below(rank);
        self.initial_until = until;
    }

    /// Returns a token that was not used.
    pub(super) fn put_back(&mut self, now: Time) {
        self.refill(now);
        self.tokens = (self.tokens + 1.0).min(self.depth());
    }

    /// Counts a request of a caller.
    pub(super) fn count(&mut self, now: Time) {
        self.demand_per_s = self.decayed(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.demand_at).as_secs_f64() / DEMAND_TIME.as_secs_f64();
        self.demand_per_s * (-age).exp()
    }

    /// Returns the demand as a fraction of the quota's rate.
    pub(super) fn demand(&self, now: Time) -> f64 {
        let per_s = self.decayed(now);
        if per_s < MIN_DEMAND_PER_S || self.quota.rate <= 0.0 {
            return 0.0;
        }
        per_s / self.quota.rate
    }

    /// Returns when a rejected caller finds a token, with rejected callers one after another.
    ///
    /// Beyond the longest time it starts again with the next token, so that callers stay spread.
    pub(super) fn return_time(&mut self, now: Time, without_share: Duration) -> Duration {
        let per_s = self.fraction() * self.quota.rate;
        let (first, gap) = if self.is_usable() && per_s > 0.0 {
            let first = (1.0 - self.tokens).max(0.0) / per_s;
            (Duration::from_secs_f64(first.min(60.0)), Duration::from_secs_f64(1.0 / per_s))
        } else {
            (without_share, without_share / 8)
        };
        let first = now + first.min(MAX_RETURN);
        let mut time = self.next_return.max(first);
        if time > now + MAX_RETURN {
            time = first;
        }
        self.next_return = time + gap;
        time.since(now)
    }

    /// Returns the share in use and the demand.
    pub(super) fn usage(&mut self, now: Time) -> QuotaUse {
        self.refill(now);
        QuotaUse {
            organisation: Arc::clone(&self.name),
            share: self.fraction(),
            kept: self.parts.iter().map(|it| it.kept).sum(),
            tokens: self.tokens + self.spare + self.initial,
            demand: self.demand(now),
        }
    }
}

//! Shares of this daemon in the quotas of all organisations.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use shallottack_kernel::{EndpointId, Time};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    account::Account,
    broker::Broker,
    message::{DemandEntry, Echo, ShareReply, ShareRequest},
};
use crate::Quota;

/// Number of groups of organisations. Spreads the work over several daemons, while each daemon sends
/// only a few messages.
const GROUPS: usize = 4;
/// Number of brokers of a group. Each manages the same part of every share, so that organisations
/// with low demand are served from the other part when a broker fails.
pub(super) const LANES: usize = 2;
/// Shortest interval between requests to the broker of a group.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
/// Requests per second that the broker of a group gets at intervals from all daemons.
const REQUESTS_PER_S: f64 = 100.0;
/// Part of the interval after which a broker is asked again for requests of callers that wait for
/// tokens; a round trip between data centres. They wait for a part of their latency goal only.
const ASK_DIVISOR: u32 = 100;
/// Longest time for which a request of a caller waits for the next token of the own share.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(100);
/// Duration of a loan in intervals. A broker grants only what is lent for longer than its leases,
/// so that the next request of the lender may be somewhat late.
const LOAN_INTERVALS: f64 = 2.8;
/// Duration of a lease in intervals, so that the next reply may be late.
const LEASE_INTERVALS: f64 = 1.4;
/// Time after the start in which a daemon owns no shares, in addition to a loan: an earlier daemon
/// on the VM may have lent its shares, and all others have to know the number of daemons.
const START_MARGIN: Duration = Duration::from_secs(1);
/// Time limit for the reply of a broker; a VM at a fifth of its normal speed still meets it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a reply after which the other broker of the group is asked instead; brokers reply in a
/// few milliseconds.
const SLOW_REPLY: Duration = Duration::from_millis(30);
/// Age of a message above which its tokens are lost. While they are on the way, others are gained.
pub(super) const TOKEN_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a daemon that did not reply is no broker.
const AVOID_TIME: Duration = Duration::from_secs(3);
/// Time after its start from which a daemon is a broker of the first lane of a group, and half of
/// that from which it is one of the second lane: after many daemons have started, the brokers of a
/// group do not change at the same time.
const BROKER_AGE: Duration = Duration::from_secs(20);
/// Time for which daemons that are no longer known still count; they may be cut off and go on.
const SHRINK_DELAY: Duration = Duration::from_secs(30);
/// Part of the overage by which the rate is raised, for the tokens that are lost when shares move.
const RATE_SHARE: f64 = 0.4;
/// Part of the tolerance that buckets use in addition to the burst. The rest covers tokens that are
/// on the way, those of expired leases, and daemons that count different numbers of daemons.
const DEPTH_SHARE: f64 = 0.45;
/// Part of the tolerance that the tokens of daemons which have just started use, if all daemons start
/// within one window. With the parts of the buckets and of expired leases it is the whole.
const INITIAL_SHARE: f64 = 0.3;
/// Time for which these tokens are usable; a daemon then owns its share.
const INITIAL_TIME: Duration = Duration::from_secs(4);

/// How closely the requests of one organisation have to keep to its quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuotaBounds {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share by which the quota of a window may be exceeded.
    pub overage: f64,
    /// Number of requests by which it may be exceeded in addition.
    pub slack: f64,
}

impl QuotaBounds {
    /// Returns the number of tokens per second of all daemons together.
    pub(super) fn rate(&self, quota: Quota) -> f64 {
        quota.rate * (1.0 + RATE_SHARE * self.overage)
    }

    /// Returns the number of requests in a window that may exceed the quota, without those that the
    /// raised rate uses.
    pub(super) fn tolerance(&self, quota: Quota) -> f64 {
        let rate = (1.0 - RATE_SHARE) * quota.rate;
        self.overage * (rate * self.window.as_secs_f64() + quota.burst) + self.slack
    }

    /// Returns the number of tokens that all daemons together may hold.
    pub(super) fn depth(&self, quota: Quota) -> f64 {
        quota.burst + DEPTH_SHARE * self.tolerance(quota)
    }

    /// Returns the number of tokens of all daemons together if all have just started.
    pub(super) fn initial(&self, quota: Quota) -> f64 {
        INITIAL_SHARE * self.tolerance(quota)
    }
}

impl Default for QuotaBounds {
    fn default() -> Self {
        QuotaBounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 }
    }
}

/// What to do with a request of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TokenDecision {
    /// The request may run; a token was taken if the organisation has a quota.
    Pass,
    /// A token may come within a short time: the broker is asked, or the next one is near.
    Wait,
    /// The quota is used up.
    Reject {
        /// Time until the next token that no earlier rejected caller was told to return for.
        retry_after: Duration,
        /// Whether it is the first rejection in a second for the organisation.
        first: bool,
    },
}

/// Share and demand of one organisation at this daemon.
#[derive(Debug, Clone, PartialEq)]
pub struct QuotaUse {
    /// Name of the organisation.
    pub organisation: Arc<str>,
    /// Usable fraction of the quota, with leases.
    pub share: f64,
    /// The daemon's own part of it.
    pub kept: f64,
    /// Tokens in requests.
    pub tokens: f64,
    /// Requests per second that callers send, as a fraction of the quota's rate.
    pub demand: f64,
}

/// Requests to brokers that are due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// There are none.
    None,
    /// Requests of callers wait for tokens of known brokers.
    Asked,
    /// The interval has passed, so that the brokers are chosen anew.
    Regular,
}

/// A daemon that can be a broker.
#[derive(Debug, Clone, PartialEq)]
pub struct Peer {
    /// Name of its VM.
    pub vm: EndpointId,
    /// Time since its start.
    pub up: Duration,
}

/// A start of a daemon after an earlier one on its VM.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Restart {
    /// Time since the start of the earlier daemon.
    pub since: Duration,
    /// Position of the VM among those of all daemons, from 0.
    pub rank: usize,
    /// Number of daemons.
    pub daemons: usize,
}

/// VM and incarnation of a broker.
pub(super) type BrokerId = (EndpointId, u64);

/// A reply as it applies to all organisations of the group.
pub(super) struct AppliedReply {
    pub(super) broker: BrokerId,
    pub(super) sequence: u64,
    /// When its leases end.
    pub(super) until: Time,
    /// Whether its tokens are usable.
    pub(super) in_time: bool,
    /// Interval between requests to the broker.
    pub(super) interval: Duration,
}

/// The broker's last reply.
#[derive(Debug)]
struct LastReply {
    broker: BrokerId,
    time: Time,
    received: Time,
}

/// A request without a reply so far.
#[derive(Debug)]
struct Sent {
    vm: EndpointId,
    sequence: u64,
    at: Time,
}

/// Organisations of a group at one of its brokers.
#[derive(Debug)]
struct Lane {
    /// What other daemons lend to this one.
    broker: Broker,
    /// Chosen broker.
    chosen: Option<EndpointId>,
    last: Option<LastReply>,
    /// To whom the own shares are lent, and until when.
    loan: Option<(BrokerId, Time)>,
    sent: Option<Sent>,
    next_at: Time,
    /// Whether a request of a caller waits for a token.
    asked: bool,
    ask_at: Time,
    avoided: SmallVec<[(EndpointId, Time); 2]>,
}

/// Shares of this daemon in the quotas of all organisations, and those that others lend to it.
#[derive(Debug)]
pub struct Quotas {
    bounds: QuotaBounds,
    vm: EndpointId,
    incarnation: u64,
    started: Time,
    /// Daemons that share the quotas; `None` until they are known.
    daemons: Option<usize>,
    /// When the number was known first.
    known: Time,
    /// When there were as many daemons last.
    counted: Time,
    sequence: u64,
    /// Start for which the organisations have not been given tokens yet.
    restart: Option<Restart>,
    accounts: BTreeMap<Arc<str>, Account>,
    lanes: [Lane; GROUPS * LANES],
    changed: SmallVec<[(usize, EndpointId); 2]>,
}

impl Quotas {
    /// Creates the quotas of a daemon that starts at `now`; it knows no organisations.
    ///
    /// The incarnation distinguishes the starts of the daemon on one VM.
    pub fn new(bounds: QuotaBounds, vm: EndpointId, incarnation: u64, now: Time) -> Quotas {
        let lanes = std::array::from_fn(|_| Lane {
            broker: Broker::default(),
            chosen: None,
            last: None,
            loan: None,
            sent: None,
            next_at: now,
            asked: false,
            ask_at: now,
            avoided: SmallVec::new(),
        });
        Quotas {
            bounds,
            vm,
            incarnation,
            started: now,
            daemons: None,
            known: now,
            counted: now,
            sequence: 0,
            restart: None,
            accounts: BTreeMap::new(),
            lanes,
            changed: SmallVec::new(),
        }
    }

    /// Sets the quotas of all organisations that have one.
    pub fn set_organisations<'a>(
        &mut self,
        now: Time,
        quotas: impl Iterator<Item = (&'a Arc<str>, Quota)>,
    ) {
        let quotas: BTreeMap<&Arc<str>, Quota> = quotas.collect();
        self.accounts.retain(|name, _| quotas.contains_key(name));
        for (name, quota) in &quotas {
            let group = group_of(name);
            for lane in &mut self.lanes[group * LANES..(group + 1) * LANES] {
                lane.broker.set_quota(now, &self.bounds, name, *quota);
            }
            // A part of the own share that is not lent is added with the next requests.
            self.accounts
                .entry(Arc::clone(name))
                .or_insert_with(|| Account::new(now, Arc::clone(name), group, *quota, self.bounds))
                .set_quota(now, *quota);
        }
        for lane in &mut self.lanes {
            lane.broker.retain(|name| quotas.contains_key(name));
        }
        self.add_initial(now);
    }

    /// Gives a daemon that has just restarted a few tokens of each organisation, as it owns no shares
    /// at first.
    ///
    /// Must be called once, after the start is recorded where a later daemon on the VM finds it. A
    /// daemon gets none if the earlier one may have used its own in the same window.
    pub fn restarted(&mut self, now: Time, restart: Restart) {
        if restart.since >= self.bounds.window + INITIAL_TIME {
            self.restart = Some(restart);
            self.add_initial(now);
        }
    }

    fn add_initial(&mut self, now: Time) {
        if self.accounts.is_empty() {
            return;
        }
        let Some(Restart { rank, daemons, .. }) = self.restart.take() else { return };
        let until = self.started + INITIAL_TIME;
        if now >= until || rank >= daemons {
            return;
        }
        for account in self.accounts.values_mut() {
            account.add_initial(until, rank, daemons);
        }
    }

    /// Sets the number of daemons that share the quotas, including this one.
    ///
    /// Must not be called before others have told of the daemons: one that knows only itself would
    /// own everything. A lower number counts after the time in which daemons that are cut off may go on.
    pub fn set_daemons(&mut self, now: Time, daemons: usize) {
        if self.daemons.is_none() {
            self.known = now;
        }
        if self.daemons.is_none_or(|it| it < daemons) {
            // A daemon that knew no other one chose itself as the broker.
            for lane in &mut self.lanes {
                let alone = lane.chosen.as_ref().is_none_or(|it| *it == self.vm);
                lane.next_at = if alone { now } else { lane.next_at };
            }
        }
        let fewer = self.daemons.is_some_and(|it| daemons < it);
        if !fewer || now.since(self.counted) > SHRINK_DELAY {
            self.daemons = Some(daemons.max(1));
            self.counted = now;
        }
    }

    /// Returns whether no organisation has a quota, so that no messages are sent.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Returns the interval between requests to the broker of one group.
    pub fn interval(&self) -> Duration {
        let daemons = self.daemons.unwrap_or_default() as f64;
        MIN_INTERVAL.max(Duration::from_secs_f64(daemons / REQUESTS_PER_S))
    }

    /// Returns the share of each quota that this daemon owns for one lane, whether or not it is lent.
    fn share(&self, now: Time) -> f64 {
        let start = self.interval().mul_f64(LOAN_INTERVALS) + START_MARGIN;
        let settled = now.since(self.started) >= start && now.since(self.known) >= START_MARGIN;
        let daemons = self.daemons.filter(|_| settled);
        daemons.map_or(0.0, |it| 1.0 / (it * LANES) as f64)
    }

    /// Takes a token for a request of an organisation. `again` tells that the request has waited
    /// and is already counted.
    pub fn take(&mut self, now: Time, organisation: &str, again: bool) -> TokenDecision {
        let interval = self.interval();
        let Some(account) = self.accounts.get_mut(organisation) else {
            return TokenDecision::Pass;
        };
        if !again {
            account.count(now);
        }
        if account.take(now) {
            return TokenDecision::Pass;
        }
        if account.time_to_token(now).is_some_and(|it| it <= MAX_TOKEN_WAIT) {
            return TokenDecision::Wait;
        }
        let lanes = &self.lanes[account.group * LANES..];
        let slow = std::array::from_fn(|it| {
            lanes[it].sent.as_ref().is_some_and(|it| now.since(it.at) >= SLOW_REPLY)
        });
        if let Some(lane) = account.ask(now, again, slow) {
            self.lanes[account.group * LANES + lane].asked = true;
            return TokenDecision::Wait;
        }
        self.reject(now, organisation, interval)
    }

    /// Returns the rejection of a request that has waited as long as it may.
    pub fn give_up(&mut self, now: Time, organisation: &str) -> TokenDecision {
        let interval = self.interval();
        self.reject(now, organisation, interval)
    }

    fn reject(&mut self, now: Time, organisation: &str, interval: Duration) -> TokenDecision {
        let Some(account) = self.accounts.get_mut(organisation) else {
            return TokenDecision::Pass;
        };
        let retry_after = account.return_time(now, interval);
        let second = Duration::from_secs(1);
        let first = account.rejected_at.is_none_or(|it| now.since(it) >= second);
        if first {
            account.rejected_at = Some(now);
        }
        TokenDecision::Reject { retry_after, first }
    }

    /// Returns the token of a request that no backend server ran.
    pub fn put_back(&mut self, now: Time, organisation: &str) {
        if let Some(account) = self.accounts.get_mut(organisation) {
            account.put_back(now);
        }
    }

    /// Returns whether a request to a broker is due.
    pub fn due(&self, now: Time) -> Due {
        let free = |it: &&Lane| it.sent.as_ref().is_none_or(|it| now.since(it.at) >= REPLY_TIMEOUT);
        let mut lanes = self.lanes.iter().filter(free).filter(|_| !self.accounts.is_empty());
        if lanes.clone().any(|it| now >= it.next_at) {
            return Due::Regular;
        }
        if lanes.any(|it| it.asked && now >= it.ask_at) { Due::Asked } else { Due::None }
    }

    /// Returns the requests to send now, with their receivers.
    ///
    /// `reachable` are the daemons that this one can reach; they are needed if [`Quotas::due`]
    /// returns [`Due::Regular`].
    pub fn requests(
        &mut self,
        now: Time,
        reachable: &[Peer],
    ) -> SmallVec<[(EndpointId, ShareRequest); 1]> {
        let mut requests = SmallVec::new();
        if self.accounts.is_empty() {
            return requests;
        }
        for index in 0..GROUPS * LANES {
            self.end_loan(now, index);
            // A request to this daemon itself is answered at once; its reply may make another due.
            for _ in 0..2 {
                let Some((vm, request)) = self.request(now, index, reachable) else { break };
                if vm != self.vm {
                    requests.push((vm, request));
                    break;
                }
                let reply = self.answer(now, &request);
                self.apply(now, request.lane, request.sequence, reply.as_ref());
            }
        }
        requests
    }

    /// Takes the own shares back once their loan has expired.
    fn end_loan(&mut self, now: Time, index: usize) {
        let own = self.share(now);
        let lane = &mut self.lanes[index];
        if lane.loan.as_ref().is_some_and(|it| it.1 > now) {
            return;
        }
        lane.loan = None;
        for account in self.accounts.values_mut().filter(|it| it.group == index / LANES) {
            if account.kept(index % LANES) != own {
                account.keep(now, index % LANES, own);
            }
        }
    }

    fn request(
        &mut self,
        now: Time,
        index: usize,
        reachable: &[Peer],
    ) -> Option<(EndpointId, ShareRequest)> {
        let (own, interval) = (self.share(now), self.interval());
        let lane = &mut self.lanes[index];
        if let Some(sent) = &lane.sent {
            if now.since(sent.at) < REPLY_TIMEOUT {
                return None;
            }
            let sequence = sent.sequence;
            self.apply(now, index as u8, sequence, None);
        }
        let lane = &mut self.lanes[index];
        let regular = now >= lane.next_at;
        if !(regular || lane.asked && now >= lane.ask_at) {
            return None;
        }
        let used = self.accounts.values().any(|it| it.group == index / LANES);
        if regular {
            lane.avoided.retain(|it| it.1 > now);
            let own = Peer { vm: self.vm.clone(), up: now.since(self.started) };
            let usable = || {
                let avoided = |it: &Peer| lane.avoided.iter().any(|other| other.0 == it.vm);
                reachable.iter().chain([&own]).filter(move |it| !avoided(it))
            };
            let age = BROKER_AGE / (index % LANES + 1) as u32;
            let rank = |it: &&Peer| (weight(index, &it.vm), it.vm.clone());
            let old = usable().filter(|it| it.up >= age).max_by_key(rank);
            let chosen = old.or_else(|| usable().max_by_key(rank)).map(|it| it.vm.clone());
            if chosen != lane.chosen && used {
                self.changed.extend(chosen.clone().map(|it| (index, it)));
            }
            lane.chosen = chosen;
        }
        lane.next_at = if regular { now + interval } else { lane.next_at };
        (lane.asked, lane.ask_at) = (false, now + interval / ASK_DIVISOR);
        if !used {
            return None;
        }
        let vm = lane.chosen.clone()?;
        let last = lane.last.as_ref().filter(|it| it.broker.0 == vm);
        let broker = last.map(|it| it.broker.clone());
        let echo = last.map(|it| Echo {
            incarnation: it.broker.1,
            time: it.time,
            held: now.since(it.received),
        });
        let expiry = interval.mul_f64(LOAN_INTERVALS);
        let elsewhere = lane.loan.as_ref().is_some_and(|it| Some(&it.0) != broker.as_ref());
        if elsewhere && let Some((_, until)) = &lane.loan {
            lane.next_at = lane.next_at.min(*until);
        }
        let lends = own > 0.0 && !elsewhere && broker.is_some();
        let mut entries = Vec::new();
        for account in self.accounts.values_mut().filter(|it| it.group == index / LANES) {
            account.refill(now);
            let part = index % LANES;
            let kept = if lends { account.release(now, part, own) } else { account.kept(part) };
            let demand = account.demand(now) / LANES as f64;
            let applied = broker.as_ref().map_or(0, |it| account.lease_of(part, it));
            let back = if lends { account.take_back(part) } else { 0.0 };
            if demand > 0.0 || kept > 0.0 || applied > 0 || back > 0.0 {
                let organisation = Arc::clone(&account.name);
                let waiting = account.waiting(part);
                entries.push(DemandEntry { organisation, demand, kept, waiting, back, applied });
            }
        }
        if lends {
            lane.loan = broker.map(|it| (it, now + expiry));
        }
        self.sequence += 1;
        let sequence = self.sequence;
        lane.sent = Some(Sent { vm: vm.clone(), sequence, at: now });
        let request = ShareRequest {
            vm: self.vm.clone(),
            incarnation: self.incarnation,
            sequence,
            lane: index as u8,
            echo,
            share: lends.then_some(own),
            expiry,
            entries,
        };
        Some((vm, request))
    }

    /// Answers the request of a daemon that chose this one as the broker of a group; `None` if there
    /// is no such group.
    pub fn answer(&mut self, now: Time, request: &ShareRequest) -> Option<ShareReply> {
        let interval = self.interval();
        let times = (interval, interval.mul_f64(LEASE_INTERVALS));
        let lane = self.lanes.get_mut(usize::from(request.lane))?;
        Some(lane.broker.answer(now, &self.bounds, self.incarnation, times, request))
    }

    /// Applies the reply to the request `sequence`, or `None` if the broker did not reply.
    ///
    /// Ignores a reply that comes after the time limit.
    pub fn apply(&mut self, now: Time, lane: u8, sequence: u64, reply: Option<&ShareReply>) {
        let index = usize::from(lane);
        let interval = self.interval();
        let Some(lane) = self.lanes.get_mut(index) else { return };
        let Some(sent) = lane.sent.take_if(|it| it.sequence == sequence) else { return };
        let late = now.since(sent.at) >= REPLY_TIMEOUT;
        let Some(reply) = reply.filter(|it| !late && it.sequence == sequence) else {
            lane.avoided.push((sent.vm, now + AVOID_TIME));
            // The next broker is chosen at once.
            lane.next_at = now;
            return;
        };
        let broker = (sent.vm, reply.incarnation);
        let known = lane.last.as_ref().is_some_and(|it| it.broker == broker);
        if !known {
            // The own shares can be lent now that the broker's clock is known.
            lane.next_at = now;
        }
        lane.last = Some(LastReply { broker: broker.clone(), time: reply.time, received: now });
        let applied = AppliedReply {
            broker,
            sequence,
            until: sent.at + reply.duration,
            interval,
            in_time: now.since(sent.at) <= TOKEN_TIMEOUT,
        };
        for account in self.accounts.values_mut().filter(|it| it.group == index / LANES) {
            let grant = reply.grants.iter().find(|it| it.organisation == account.name);
            account.apply(now, index % LANES, &applied, grant);
        }
    }

    /// Returns the lanes whose broker changed since the last call, with the new one.
    pub fn take_changes(&mut self) -> SmallVec<[(usize, EndpointId); 2]> {
        std::mem::take(&mut self.changed)
    }

    /// Returns the shares of this daemon by organisation.
    pub fn usage(&mut self, now: Time) -> impl Iterator<Item = QuotaUse> {
        self.accounts.values_mut().map(move |it| it.usage(now))
    }

    /// Returns the number of daemons that lend shares to this one, summed over the lanes.
    pub fn lenders(&self, now: Time) -> usize {
        self.lanes.iter().map(|it| it.broker.lenders(now)).sum()
    }
}

/// Returns the group of an organisation.
fn group_of(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) % GROUPS as u64) as usize
}

/// Returns the weight of a daemon as the broker of a lane.
fn weight(lane: usize, vm: &EndpointId) -> u64 {
    let mut bytes = vm.as_str().as_bytes().to_vec();
    bytes.push(lane as u8);
    xxh3_64(&bytes)
}

//! Admission control for the backend server on the same VM.
//!
//! If all slots are busy, requests wait in order of priority and latency goal. A request that can't
//! start in time is rejected at once.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use shallottack_kernel::{ErrorKind, Time};
use smallvec::SmallVec;

use crate::{
    Pace, Rank, RateLimit, Ticket,
    cold_slots::CheckSlot,
    inherited::InheritedRuns,
    rate::Pacer,
    usage::{Claim, Usage, level, levels, lowest_ticket},
};

/// Run time assumed for a route without measurements, in placement and admission; typical for the
/// sites' requests.
pub(crate) const DEFAULT_RUN: Duration = Duration::from_millis(100);
/// Share of the spare time before the latency goal for which a request may wait, in placement and
/// admission. A request that starts later misses its goal about as often as not.
pub(crate) const WAIT_SHARE: f64 = 0.5;
/// Minimum time after which a rejected caller may retry; a few runs end within it.
pub(crate) const MIN_RETRY: Duration = Duration::from_millis(50);

/// Identifier of a request at the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default)]
pub struct TaskId(pub u64);

/// Settings of [`Slots`].
#[serde_as]
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SlotsSettings {
    /// Run time assumed for a route without measurements; typical for the site's requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub default_run: Duration,
    /// Weight of one run in the average run time of a route; the average adapts within about ten
    /// runs.
    pub ewma_weight: f64,
    /// Maximum wait of a request, as a share of the time to its latency goal less the run time. Run
    /// times vary, so a request that starts one average run time before its goal is late half of
    /// the time. A longer queue serves no more requests, but more of them late.
    pub wait_share: f64,
    /// Maximum wait of a request that misses its latency goal, as a share of its remaining time.
    pub late_wait: f64,
    /// Time before its latency goal from which a request counts as late, in average run times; most
    /// runs end within it. Late requests queue behind all others of their priority, so that the
    /// slots serve requests that can meet their goals.
    pub late_margin: f64,
    /// Maximum number of late requests in the queue, as a share of the slots. More of them show
    /// that more requests arrive than can be served, so they would wait in vain.
    pub max_late: f64,
    /// Maximum time that a late request stays in the queue, as a share of its time to the deadline.
    pub max_held: f64,
    /// Time over which the work of each route is averaged; a queue drains a few times within it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub work_window: Duration,
    /// Whether routes of one priority take turns; otherwise the earliest goal goes first.
    pub equal_turns: bool,
    /// Whether requests of one route go in the order of their tickets.
    pub tickets: bool,
    /// Share of the slots up to which a route goes before more urgent ones if its requests wait for
    /// long, so that none is starved.
    pub min_share: f64,
    /// Wait after which a request of a route below its minimum share goes first, as a share of the
    /// time to its latency goal less the run time.
    pub starved_wait: f64,
    /// Time after the start of a daemon within which the runs that an earlier one left at the backend
    /// server end; about the longest timeout of a route. Backend servers exist that never answer a
    /// request for which they have no room.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub inherited_time: Duration,
    /// Maximum length of the queue; maintaining a longer one costs more time than it saves.
    pub max_queued: usize,
    /// Minimum time after which a rejected caller may retry; a few runs end within it.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub min_retry: Duration,
}

impl Default for SlotsSettings {
    fn default() -> Self {
        SlotsSettings {
            default_run: DEFAULT_RUN,
            ewma_weight: 0.05,
            wait_share: WAIT_SHARE,
            late_wait: 0.25,
            late_margin: 1.8,
            max_late: 0.5,
            max_held: 0.4,
            work_window: Duration::from_millis(500),
            equal_turns: true,
            tickets: true,
            min_share: 0.08,
            starved_wait: 0.25,
            inherited_time: Duration::ZERO,
            max_queued: 256,
            min_retry: MIN_RETRY,
        }
    }
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifier of the request.
    pub task: TaskId,
    /// Name of the matching route.
    pub route: Arc<str>,
    /// Rank among the requests that compete for the slots.
    pub rank: Rank,
    /// Rank among the requests of the route.
    pub ticket: Ticket,
    /// Whether the caller was rejected earlier and retried after the stated wait.
    pub returned: bool,
    /// Time by which the response meets the latency goal.
    pub goal: Time,
    /// Time after which the caller no longer waits for a response.
    pub deadline: Time,
    /// Whether the request may wait here, because no other backend server has a free slot.
    pub may_wait: bool,
}

/// Decision on an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs now.
    Run,
    /// The request waits for a slot.
    Wait,
    /// The request is rejected.
    Reject {
        /// Reason for the rejection.
        kind: ErrorKind,
        /// Time after which the expected wait is short enough.
        retry_after: Duration,
    },
}

/// Decision on a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// The request runs now.
    Start(TaskId),
    /// The request can no longer be served in time; its caller may retry after the given time.
    Reject(TaskId, Duration),
}

/// Load of a backend server, as reported to other daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run at the backend server.
    pub running: u32,
    /// Number of requests that wait for a slot.
    pub queued: u32,
    /// Number of requests that may run concurrently; 0 if none may be sent.
    pub limit: u32,
    /// Time for which the running requests have run, in thousandths of their usual run time.
    pub elapsed_permille: u32,
    /// Time until the link of the VM has carried the large messages so far, in milliseconds: the
    /// longer one of the two directions.
    pub link_ms: u32,
    /// Rate at which the backend server takes requests.
    pub pace: Pace,
}

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    arrived: Time,
    run_time: Duration,
}

/// Share of the slots that every request is assumed to get, so that its expected wait is finite.
const MIN_REMAINING_SHARE: f64 = 0.05;

/// Order in which requests get a slot; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueRank {
    /// Whether the request has not waited for long, or its route has used its minimum share.
    unstarved: bool,
    priority: usize,
    late: bool,
    /// Slot time that the route has used, in thousandths of all slots.
    used_permille: u32,
    new_caller: bool,
    level: std::cmp::Reverse<usize>,
    goal: Time,
}

#[derive(Debug)]
struct Running {
    route: Arc<str>,
    started: Time,
    run_time: Duration,
}

/// Slots of one backend server.
#[derive(Debug)]
pub struct Slots {
    settings: SlotsSettings,
    limit: u32,
    running: HashMap<TaskId, Running>,
    inherited: InheritedRuns,
    /// Waiting requests, in the order of their ranks when the queue was last sorted.
    queue: Vec<Waiting>,
    usage: Usage,
    pub(crate) pacer: Pacer,
    /// Slot of a health check.
    pub(crate) check: CheckSlot,
    /// Average run time of each route in microseconds.
    run_times: HashMap<Arc<str>, f64>,
}

impl Slots {
    /// Creates slots that admit nothing until [`Slots::set_limit`].
    pub fn new(settings: SlotsSettings) -> Slots {
        Slots {
            settings,
            limit: 0,
            running: HashMap::new(),
            inherited: InheritedRuns::default(),
            queue: Vec::new(),
            usage: Usage::new(settings.work_window),
            pacer: Pacer::new(),
            check: CheckSlot::default(),
            run_times: HashMap::new(),
        }
    }

    /// Sets the number of requests that may run concurrently.
    ///
    /// Starts waiting requests if there are free slots; a limit of 0 rejects all of them.
    pub fn set_limit(&mut self, now: Time, limit: u32) -> SmallVec<[Wake; 4]> {
        self.limit = limit;
        if limit > 0 {
            return self.dispatch(now);
        }
        let min_retry = self.settings.min_retry;
        self.queue.drain(..).map(|it| Wake::Reject(it.arrival.task, min_retry)).collect()
    }

    /// Resets what the responses of the backend server showed, for use when another one, or
    /// another incarnation, runs on the VM.
    pub fn reset_server(&mut self) {
        self.run_times.clear();
        self.pacer.reset();
        self.inherited = InheritedRuns::default();
    }

    /// Assumes that an earlier daemon left `count` runs at the backend server when this one started,
    /// at `started`. They count as running until they are expected to have ended.
    pub fn assume_runs(&mut self, started: Time, count: u32) {
        self.inherited = InheritedRuns::new(count, started, self.settings.inherited_time);
    }

    /// Sets the rate limit that the backend server states in a response; `None` if it states none.
    ///
    /// Starts waiting requests if they may start earlier than before.
    pub fn set_rate_limit(&mut self, now: Time, limit: Option<RateLimit>) -> SmallVec<[Wake; 4]> {
        if self.pacer.set(now, limit) { self.dispatch(now) } else { SmallVec::new() }
    }

    /// Sets the rate limit that another daemon knows, which holds until the backend server responds
    /// to this one.
    pub fn assume_rate_limit(&mut self, now: Time, limit: RateLimit) {
        self.pacer.assume(now, limit);
    }

    /// Returns the rate limit that the backend server states.
    pub fn rate_limit(&self) -> Option<RateLimit> {
        self.pacer.limit()
    }

    /// Returns the time until the rate limit lets the next waiting request start, if one waits.
    pub fn next_start(&self, now: Time) -> Option<Duration> {
        (!self.queue.is_empty()).then(|| self.pacer.wait(now, 0)).filter(|it| !it.is_zero())
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        if self.limit == 0 {
            let retry_after = self.settings.min_retry;
            return Admission::Reject { kind: ErrorKind::NoEndpoint, retry_after };
        }
        if self.has_room(now) && self.queue.is_empty() {
            self.start(now, &arrival);
            return Admission::Run;
        }
        self.usage.update(now);
        let run_time = self.run_time(&arrival.route);
        let wait = self.arrival_wait(now, &arrival);
        let max_wait = self.max_wait(now, &arrival, run_time);
        if !arrival.may_wait || wait > max_wait || self.queue.len() >= self.settings.max_queued {
            let retry_after = wait.saturating_sub(max_wait).max(self.settings.min_retry);
            return Admission::Reject { kind: ErrorKind::Overloaded, retry_after };
        }
        self.queue.push(Waiting { arrival, arrived: now, run_time });
        Admission::Wait
    }

    /// Decides on a request whose body has to come first, which takes `transfer`. Returns the longest time
    /// that the body may wait for its turn.
    ///
    /// # Errors
    ///
    /// Returns the rejection, as for an arrival now.
    pub fn check_ahead(
        &mut self,
        now: Time,
        arrival: &Arrival,
        transfer: Duration,
    ) -> Result<Duration, (ErrorKind, Duration)> {
        if self.limit == 0 {
            return Err((ErrorKind::NoEndpoint, self.settings.min_retry));
        }
        self.usage.update(now);
        let max_wait = self.max_wait(now, arrival, self.run_time(&arrival.route) + transfer);
        let free = self.has_room(now) && self.queue.is_empty();
        let wait = if free { Duration::ZERO } else { self.arrival_wait(now, arrival) };
        let full = self.queue.len() >= self.settings.max_queued;
        if (!free && !arrival.may_wait) || wait > max_wait || full {
            let retry_after = wait.saturating_sub(max_wait).max(self.settings.min_retry);
            return Err((ErrorKind::Overloaded, retry_after));
        }
        Ok(max_wait)
    }

    /// Returns the lowest ticket with which an arrival would be admitted now, or `None` if it would
    /// be rejected with any ticket.
    pub fn lowest_ticket(&mut self, now: Time, arrival: &Arrival) -> Option<Ticket> {
        if self.limit == 0 {
            return None;
        }
        self.usage.update(now);
        let max_wait = self.max_wait(now, arrival, self.run_time(&arrival.route));
        let admitted = |level: &usize| {
            let ticket = lowest_ticket(*level)?;
            let arrival = Arrival { ticket, ..arrival.clone() };
            (self.arrival_wait(now, &arrival) <= max_wait).then_some(ticket)
        };
        levels().map_while(|it| admitted(&it)).last()
    }

    /// Frees the slot of a request and starts waiting ones.
    ///
    /// `measured` states whether the request ran to completion, so that its run time counts.
    pub fn finish(&mut self, now: Time, task: TaskId, measured: bool) -> SmallVec<[Wake; 4]> {
        let Some(run) = self.running.remove(&task) else { return SmallVec::new() };
        if measured {
            let weight = self.settings.ewma_weight;
            let micros = now.since(run.started).as_micros() as f64;
            let first = self.settings.default_run.as_micros() as f64;
            let mean = self.run_times.entry(run.route).or_insert(first);
            self.pacer.cold.record_run(now, micros / mean.max(1.0));
            *mean += (micros - *mean) * weight;
        }
        self.dispatch(now)
    }

    /// Removes a request whose caller has disconnected, whether it waits or runs.
    pub fn cancel(&mut self, now: Time, task: TaskId) -> SmallVec<[Wake; 4]> {
        if let Some(position) = self.queue.iter().position(|it| it.arrival.task == task) {
            self.queue.remove(position);
            return SmallVec::new();
        }
        self.finish(now, task, false)
    }

    /// Rejects waiting requests that can no longer be served in time.
    pub fn expire(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        self.usage.update(now);
        let mut wakes = self.drop_late(now);
        let mut queue = std::mem::take(&mut self.queue);
        queue.sort_by_cached_key(|it| self.waiting_rank(now, it));
        let (mut before, mut ahead) = (Duration::ZERO, 0);
        queue.retain(|waiting| {
            let wait = self.expected_wait(now, before, ahead, &waiting.arrival);
            let too_late = now + wait + waiting.run_time / 2 > waiting.arrival.deadline;
            let reject = too_late || self.exceeds_max_held(now, waiting);
            if reject {
                let retry_after = wait.max(self.settings.min_retry);
                wakes.push(Wake::Reject(waiting.arrival.task, retry_after));
            } else {
                before += waiting.run_time;
                ahead += 1;
            }
            !reject
        });
        self.queue = queue;
        wakes
    }

    /// Returns the load to report to other daemons.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running() + self.inherited.running(now),
            queued: self.queue.len() as u32,
            limit: self.limit,
            elapsed_permille: (self.elapsed_ratio(now) * 1_000.0) as u32,
            link_ms: 0,
            pace: self.pacer.pace(now, self.queue.len()),
        }
    }

    /// Rejects the longest-waiting late requests beyond the maximum number of them.
    fn drop_late(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let late = |it: &Waiting| self.is_late(now, &it.arrival, it.run_time);
        let count = self.queue.iter().filter(|it| late(it)).count();
        let max_late = (f64::from(self.capacity(now)) * self.settings.max_late).ceil() as usize;
        let mut tasks: SmallVec<[(Time, TaskId); 4]> = self
            .queue
            .iter()
            .filter(|it| late(it))
            .map(|it| (it.arrived, it.arrival.task))
            .collect();
        tasks.sort_unstable();
        tasks.truncate(count.saturating_sub(max_late));
        self.queue.retain(|it| !tasks.iter().any(|(_, task)| *task == it.arrival.task));
        let min_retry = self.settings.min_retry;
        tasks.into_iter().map(|(_, task)| Wake::Reject(task, min_retry)).collect()
    }

    /// Returns whether a late request has exceeded its maximum time in the queue.
    fn exceeds_max_held(&self, now: Time, waiting: &Waiting) -> bool {
        let time = waiting.arrival.deadline.since(waiting.arrived);
        self.is_late(now, &waiting.arrival, waiting.run_time)
            && now.since(waiting.arrived) > time.mul_f64(self.settings.max_held)
    }

    /// Returns whether a request may start now.
    fn has_room(&self, now: Time) -> bool {
        let running = self.running() + self.check_slots() + self.inherited.running(now);
        running < self.limit && self.pacer.may_start(now)
    }

    /// Returns the number of requests that run concurrently at full load: all slots, or as many as
    /// the rate limit keeps busy.
    fn capacity(&self, now: Time) -> u32 {
        let Some(limit) = self.pacer.limit_in_force(now) else { return self.limit };
        let mean = self.run_times.values().sum::<f64>() / self.run_times.len().max(1) as f64;
        let run_time = if self.run_times.is_empty() {
            self.settings.default_run.as_secs_f64()
        } else {
            mean / 1_000_000.0
        };
        ((limit.rate() * run_time).ceil() as u32).clamp(1, self.limit.max(1))
    }

    pub(crate) fn limit(&self) -> u32 {
        self.limit
    }

    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the time for which the running requests have run, relative to their usual run time.
    ///
    /// The ratio is about 1 in steady state, and grows while the backend server is slow or stalled.
    fn elapsed_ratio(&self, now: Time) -> f64 {
        let (elapsed, usual) = self.running.values().fold((0.0, 0.0), |(elapsed, usual), it| {
            (elapsed + now.since(it.started).as_secs_f64(), usual + it.run_time.as_secs_f64())
        });
        if usual > 0.0 { elapsed / usual } else { 0.0 }
    }

    /// Returns the expected run time of a route.
    fn run_time(&self, route: &str) -> Duration {
        let mean = self.run_times.get(route);
        mean.map_or(self.settings.default_run, |it| Duration::from_micros(*it as u64))
    }

    /// Returns the order of a request that arrived at `arrived`: those of starved routes first, then
    /// by priority, then requests that can still meet their latency goal, then the route that has
    /// used the least, then callers that retry after a rejection, then the highest ticket and the
    /// earliest goal.
    fn rank(&self, now: Time, arrived: Time, arrival: &Arrival, run_time: Duration) -> QueueRank {
        let late = self.is_late(now, arrival, run_time);
        let used = self.usage.share(&arrival.route, self.capacity(now));
        let spare = arrival.goal.since(arrived).saturating_sub(run_time);
        let starved = used < self.settings.min_share
            && now.since(arrived) > spare.mul_f64(self.settings.starved_wait);
        QueueRank {
            unstarved: late || !starved,
            priority: Slots::priority(arrival),
            late,
            used_permille: if self.settings.equal_turns { (used * 1_000.0) as u32 } else { 0 },
            new_caller: !arrival.returned,
            level: std::cmp::Reverse(self.level(arrival.ticket)),
            goal: arrival.goal,
        }
    }

    /// Returns the order of a waiting request.
    fn waiting_rank(&self, now: Time, waiting: &Waiting) -> QueueRank {
        self.rank(now, waiting.arrived, &waiting.arrival, waiting.run_time)
    }

    /// Returns whether a request is unlikely to meet its latency goal.
    fn is_late(&self, now: Time, arrival: &Arrival, run_time: Duration) -> bool {
        now + run_time.mul_f64(self.settings.late_margin) > arrival.goal
    }

    fn level(&self, ticket: Ticket) -> usize {
        if self.settings.tickets { level(ticket) } else { 0 }
    }

    fn priority(arrival: &Arrival) -> usize {
        arrival.rank.level()
    }

    /// Returns the share of the slots that requests ahead of this one leave free.
    fn remaining_share(&self, now: Time, arrival: &Arrival) -> f64 {
        let claim = Claim {
            route: &arrival.route,
            priority: Slots::priority(arrival),
            level: self.level(arrival.ticket),
            equal_turns: self.settings.equal_turns,
            late: self.is_late(now, arrival, self.run_time(&arrival.route)),
            returned: arrival.returned,
        };
        let least = self.settings.min_share.max(MIN_REMAINING_SHARE);
        (1.0 - self.usage.share_ahead(&claim, self.capacity(now))).max(least)
    }

    /// Returns the expected wait of an arrival.
    fn arrival_wait(&self, now: Time, arrival: &Arrival) -> Duration {
        let rank = self.rank(now, now, arrival, self.run_time(&arrival.route));
        let ahead = |it: &&Waiting| self.waiting_rank(now, it) <= rank;
        let (count, before) = self
            .queue
            .iter()
            .filter(ahead)
            .fold((0, Duration::ZERO), |(count, sum), it| (count + 1, sum + it.run_time));
        self.expected_wait(now, before, count, arrival)
    }

    /// Returns the expected time until a request starts, including the requests expected to arrive
    /// and go first. `count` waiting requests go first, whose run times are `before` in total.
    fn expected_wait(
        &self,
        now: Time,
        before: Duration,
        count: usize,
        arrival: &Arrival,
    ) -> Duration {
        let limit = self.limit.max(1);
        // A slot is freed when one of the running requests ends; on average, they are half done.
        let residual: Duration = self
            .running
            .values()
            .map(|it| it.run_time.saturating_sub(now.since(it.started)).max(it.run_time / 4))
            .sum::<Duration>()
            / (limit * limit);
        let wait = (residual + before / limit)
            .max(self.pacer.wait(now, count))
            .max(self.inherited.next_end(now));
        wait.div_f64(self.remaining_share(now, arrival))
    }

    /// Returns the maximum wait of a request.
    fn max_wait(&self, now: Time, arrival: &Arrival, run_time: Duration) -> Duration {
        let left = arrival.deadline.since(now).saturating_sub(run_time);
        let spare = arrival.goal.since(now).saturating_sub(run_time);
        if spare.is_zero() {
            return left.mul_f64(self.settings.late_wait);
        }
        let share = if arrival.returned { 1.0 } else { self.settings.wait_share };
        spare.mul_f64(share).min(left)
    }

    /// Takes a slot for a request.
    fn start(&mut self, now: Time, arrival: &Arrival) {
        self.pacer.record_start(now);
        let run_time = self.run_time(&arrival.route);
        let priority = Slots::priority(arrival);
        let level = self.level(arrival.ticket);
        self.usage.record(now, &arrival.route, priority, level, run_time);
        let run = Running { route: Arc::clone(&arrival.route), started: now, run_time };
        self.running.insert(arrival.task, run);
    }

    /// Rejects requests that can't be served in time, then starts others in the free slots.
    pub fn dispatch(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let mut wakes = self.expire(now);
        while self.has_room(now) && !self.queue.is_empty() {
            // Ranks change with each start, since it counts as use of its route.
            let next = (0..self.queue.len())
                .min_by_key(|&it| self.waiting_rank(now, &self.queue[it]))
                .unwrap_or(0);
            let waiting = self.queue.remove(next);
            self.start(now, &waiting.arrival);
            wakes.push(Wake::Start(waiting.arrival.task));
        }
        wakes
    }
}

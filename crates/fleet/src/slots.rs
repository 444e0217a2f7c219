//! Slots of the backend server on the same VM: which request runs, waits or is rejected.
//!
//! Answers load that exceeds the slots: requests wait in order of rank and of the time by which
//! their response is due, and a request whose turn can't come in time is rejected at once.

use std::{collections::HashMap, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ErrorKind, Time};
use smallvec::SmallVec;

/// Run time assumed for a route without measurements, at the caller's daemon and at the slots; a
/// typical run of the sites' requests.
pub(crate) const FIRST_COST: Duration = Duration::from_millis(100);
/// Part of the spare time to its goal for which a request may wait, at the caller's daemon and at
/// the slots: starting later than that, it ends late about as often as not.
pub(crate) const WAIT_PART: f64 = 0.5;
/// Shortest time after which a rejected caller may come back; a few runs end in it.
pub(crate) const LEAST_RETRY: Duration = Duration::from_millis(50);

/// Identifies a request at the slots.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskId(pub u64);

/// Figures of the slots.
#[derive(Debug, Clone, Copy)]
pub struct SlotsSettings {
    /// Run time assumed for a route without measurements; a typical run of the site's requests.
    pub default_run: Duration,
    /// Weight of one run in the mean run time of a route; the mean follows within some ten runs.
    pub ewma_weight: f64,
    /// Part of the time to its goal, less the run, for which a request may wait. Run times vary,
    /// so that a request which starts at the last moment of its mean run time is late half of the
    /// time; a longer queue serves no more requests, but more of them late.
    pub wait_share: f64,
    /// Part of its remaining time for which a request that misses its goal may wait.
    pub late_wait: f64,
    /// Mean run times before its goal after which a request counts as late: most runs end within
    /// them. Requests that would start later go behind all others of their rank, so that the
    /// slots serve those whose answers are in time.
    pub late_margin: f64,
    /// Late requests that may wait, as a part of the slots. A longer tail shows that more arrives
    /// than can be served, so that it would be held for nothing.
    pub max_late: f64,
    /// Part of its time for which a late request is held before it is rejected.
    pub max_held: f64,
    /// Time over which the work of each rank is averaged; a few queues drain in it.
    pub work_window: Duration,
    /// Most waiting requests; a longer queue than this costs more time to keep than it serves.
    pub max_queued: usize,
    /// Shortest time after which a rejected caller is told to come back: a few runs end in it.
    pub min_retry: Duration,
}

impl Default for SlotsSettings {
    fn default() -> Self {
        SlotsSettings {
            default_run: FIRST_COST,
            ewma_weight: 0.05,
            wait_share: WAIT_PART,
            late_wait: 0.25,
            late_margin: 1.8,
            max_late: 0.5,
            max_held: 0.4,
            work_window: Duration::from_millis(500),
            max_queued: 256,
            min_retry: LEAST_RETRY,
        }
    }
}

/// A request that asks for a slot.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Identifies the request.
    pub task: TaskId,
    /// Route that it came by.
    pub route: Arc<str>,
    /// Rank of the route; 0 is the most urgent.
    pub priority: u8,
    /// Whether it was sent to another backend server before.
    pub retry: bool,
    /// Whether its caller was rejected before and came back as told.
    pub returned: bool,
    /// Time by which the response is of full use.
    pub goal: Time,
    /// Time by which the response is of any use.
    pub deadline: Time,
    /// Whether it may wait here, because no other backend server has a free slot.
    pub may_wait: bool,
}

/// Decision on an arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// Runs now.
    Run,
    /// Waits for a slot.
    Wait,
    /// Is rejected.
    Reject {
        /// Why.
        kind: ErrorKind,
        /// Time after which a slot is likely to be free in time.
        retry_after: Duration,
    },
}

/// Decision on a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Wake {
    /// Runs now.
    Start(TaskId),
    /// Can't be served in time any more.
    Reject(TaskId, Duration),
}

/// Load as other daemons are told of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests at the backend server.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Requests that may run at once; 0 when none may be sent.
    pub limit: u32,
    /// How long the running requests have run, in thousandths of what is usual for them.
    pub elapsed_permille: u32,
}

#[derive(Debug)]
struct Waiting {
    arrival: Arrival,
    arrived: Time,
    cost: Duration,
}

/// Work that started, averaged over a window.
#[derive(Debug, Clone, Copy, Default)]
struct Work {
    seconds: f64,
    updated: Time,
}

impl Work {
    fn at(&self, now: Time, window: Duration) -> f64 {
        self.seconds * (-now.since(self.updated).as_secs_f64() / window.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Time, window: Duration, cost: Duration) {
        self.seconds = self.at(now, window) + cost.as_secs_f64();
        self.updated = now;
    }
}

/// Priorities that are told apart; less urgent ones share the last.
const RANKS: usize = 8;
/// Part of the slots that the least urgent requests are assumed to get at least, so that the
/// expected wait stays finite.
const LEAST_PART: f64 = 0.05;

#[derive(Debug)]
struct Running {
    route: Arc<str>,
    started: Time,
    cost: Duration,
    retry: bool,
}

/// Slots of one backend server.
#[derive(Debug)]
pub struct Slots {
    settings: SlotsSettings,
    limit: u32,
    running: HashMap<TaskId, Running>,
    /// In the order of their ranks at arrival, which change while they wait.
    queue: Vec<Waiting>,
    work: [Work; RANKS],
    /// Mean run time of each route in microseconds.
    costs: HashMap<Arc<str>, f64>,
}

impl Slots {
    /// Creates slots that admit nothing until [`Slots::set_limit`].
    pub fn new(settings: SlotsSettings) -> Slots {
        Slots {
            settings,
            limit: 0,
            running: HashMap::new(),
            queue: Vec::new(),
            work: [Work::default(); RANKS],
            costs: HashMap::new(),
        }
    }

    /// Sets the number of requests that may run at once; with 0, all that wait are rejected.
    pub fn set_limit(&mut self, now: Time, limit: u32) -> SmallVec<[Wake; 4]> {
        self.limit = limit;
        if limit > 0 {
            return self.dispatch(now);
        }
        let least = self.settings.min_retry;
        self.queue.drain(..).map(|it| Wake::Reject(it.arrival.task, least)).collect()
    }

    /// Forgets run times, because another backend server runs here now.
    pub fn reset_run_times(&mut self) {
        self.costs.clear();
    }

    /// Decides on an arrival.
    pub fn arrive(&mut self, now: Time, arrival: Arrival) -> Admission {
        if self.limit == 0 {
            let retry_after = self.settings.min_retry;
            return Admission::Reject { kind: ErrorKind::NoEndpoint, retry_after };
        }
        if self.running() < self.limit && self.queue.is_empty() {
            self.run(now, &arrival);
            return Admission::Run;
        }
        let cost = self.cost(&arrival.route);
        let place = self.place(now, &arrival, cost);
        let wait = self.wait(now, place, &arrival);
        let patience = self.patience(now, &arrival, cost);
        if !arrival.may_wait || wait > patience || self.queue.len() >= self.settings.max_queued {
            let retry_after = wait.saturating_sub(patience).max(self.settings.min_retry);
            return Admission::Reject { kind: ErrorKind::Overloaded, retry_after };
        }
        self.queue.insert(place, Waiting { arrival, arrived: now, cost });
        Admission::Wait
    }

    /// Takes the end of a run; `measured` states whether it ran to its end.
    pub fn finish(&mut self, now: Time, task: TaskId, measured: bool) -> SmallVec<[Wake; 4]> {
        let Some(run) = self.running.remove(&task) else { return SmallVec::new() };
        if measured {
            let weight = self.settings.ewma_weight;
            let micros = now.since(run.started).as_micros() as f64;
            let first = self.settings.default_run.as_micros() as f64;
            let mean = self.costs.entry(run.route).or_insert(first);
            *mean += (micros - *mean) * weight;
        }
        self.dispatch(now)
    }

    /// Forgets a request whose caller has gone.
    pub fn cancel(&mut self, now: Time, task: TaskId) -> SmallVec<[Wake; 4]> {
        if let Some(place) = self.queue.iter().position(|it| it.arrival.task == task) {
            self.queue.remove(place);
            return SmallVec::new();
        }
        self.finish(now, task, false)
    }

    /// Rejects requests whose turn can no longer come in time.
    pub fn expire(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let mut wakes = self.drop_late(now);
        let mut place = 0;
        while place < self.queue.len() {
            let waiting = &self.queue[place];
            let wait = self.wait(now, place, &waiting.arrival);
            let hopeless = now + wait + waiting.cost / 2 > waiting.arrival.deadline;
            if hopeless || self.held_long(now, waiting) {
                let retry_after = wait.max(self.settings.min_retry);
                wakes.push(Wake::Reject(waiting.arrival.task, retry_after));
                self.queue.remove(place);
            } else {
                place += 1;
            }
        }
        wakes
    }

    /// Returns the load as other daemons are told of it.
    pub fn load(&self, now: Time) -> Load {
        Load {
            running: self.running(),
            queued: self.queue.len() as u32,
            limit: self.limit,
            elapsed_permille: (self.pace(now) * 1_000.0) as u32,
        }
    }

    /// Rejects the longest-waiting late requests beyond the number that may wait.
    fn drop_late(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let late = |it: &Waiting| self.late(now, &it.arrival, it.cost);
        let count = self.queue.iter().filter(|it| late(it)).count();
        let most = (f64::from(self.limit) * self.settings.max_late).ceil() as usize;
        let mut tasks: SmallVec<[(Time, TaskId); 4]> = self
            .queue
            .iter()
            .filter(|it| late(it))
            .map(|it| (it.arrived, it.arrival.task))
            .collect();
        tasks.sort_unstable();
        tasks.truncate(count.saturating_sub(most));
        self.queue.retain(|it| !tasks.iter().any(|(_, task)| *task == it.arrival.task));
        let least = self.settings.min_retry;
        tasks.into_iter().map(|(_, task)| Wake::Reject(task, least)).collect()
    }

    /// Returns the share of repeats among the running requests.
    pub fn retry_share(&self) -> f64 {
        let repeats = self.running.values().filter(|it| it.retry).count();
        repeats as f64 / self.running.len().max(1) as f64
    }

    /// Returns whether a request that misses its goal has been held for too much of its time.
    fn held_long(&self, now: Time, waiting: &Waiting) -> bool {
        let time = waiting.arrival.deadline.since(waiting.arrived);
        self.late(now, &waiting.arrival, waiting.cost)
            && now.since(waiting.arrived) > time.mul_f64(self.settings.max_held)
    }

    fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how long the running requests have run relative to their usual whole time. It is
    /// about 1 in steady state and grows while the backend server is slow or stands still.
    fn pace(&self, now: Time) -> f64 {
        let (elapsed, usual) = self.running.values().fold((0.0, 0.0), |(elapsed, usual), it| {
            (elapsed + now.since(it.started).as_secs_f64(), usual + it.cost.as_secs_f64())
        });
        if usual > 0.0 { elapsed / usual } else { 0.0 }
    }

    fn cost(&self, route: &str) -> Duration {
        let mean = self.costs.get(route);
        mean.map_or(self.settings.default_run, |it| Duration::from_micros(*it as u64))
    }

    /// Returns the rank in the queue: by priority, then those that can still meet their goal, then
    /// those that were told to come back.
    fn rank(&self, now: Time, arrival: &Arrival, cost: Duration) -> (usize, bool, bool, Time) {
        let late = self.late(now, arrival, cost);
        (Slots::urgency(arrival), late, !arrival.returned, arrival.goal)
    }

    fn late(&self, now: Time, arrival: &Arrival, cost: Duration) -> bool {
        now + cost.mul_f64(self.settings.late_margin) > arrival.goal
    }

    fn urgency(arrival: &Arrival) -> usize {
        usize::from(arrival.priority).min(RANKS - 1)
    }

    /// Returns the part of the slots that more urgent requests leave, and to late requests all
    /// others of their rank.
    fn left_part(&self, now: Time, arrival: &Arrival, late: bool) -> f64 {
        let window = self.settings.work_window;
        let urgent = &self.work[..Slots::urgency(arrival) + usize::from(late)];
        let work: f64 = urgent.iter().map(|it| it.at(now, window)).sum();
        let slots = f64::from(self.limit.max(1)) * window.as_secs_f64();
        (1.0 - work / slots).max(LEAST_PART)
    }

    fn place(&self, now: Time, arrival: &Arrival, cost: Duration) -> usize {
        let rank = self.rank(now, arrival, cost);
        self.queue.partition_point(|it| self.rank(now, &it.arrival, it.cost) <= rank)
    }

    /// Returns the time until the request at a place of the queue starts, with the more urgent
    /// ones that are expected to arrive before.
    fn wait(&self, now: Time, place: usize, arrival: &Arrival) -> Duration {
        let late = self.late(now, arrival, self.cost(&arrival.route));
        let limit = self.limit.max(1);
        // A slot gets free when one of the running requests ends; they are half done on average.
        let residual: Duration = self
            .running
            .values()
            .map(|it| it.cost.saturating_sub(now.since(it.started)).max(it.cost / 4))
            .sum::<Duration>()
            / (limit * limit);
        let before: Duration = self.queue[..place].iter().map(|it| it.cost).sum();
        (residual + before / limit).div_f64(self.left_part(now, arrival, late))
    }

    /// Returns how long a request may wait.
    fn patience(&self, now: Time, arrival: &Arrival, cost: Duration) -> Duration {
        let left = arrival.deadline.since(now).saturating_sub(cost);
        let spare = arrival.goal.since(now).saturating_sub(cost);
        if spare.is_zero() {
            return left.mul_f64(self.settings.late_wait);
        }
        let part = if arrival.returned { 1.0 } else { self.settings.wait_share };
        spare.mul_f64(part).min(left)
    }

    fn run(&mut self, now: Time, arrival: &Arrival) {
        let cost = self.cost(&arrival.route);
        self.work[Slots::urgency(arrival)].add(now, self.settings.work_window, cost);
        let (route, retry) = (Arc::clone(&arrival.route), arrival.retry);
        let run = Running { route, started: now, cost, retry };
        self.running.insert(arrival.task, run);
    }

    fn dispatch(&mut self, now: Time) -> SmallVec<[Wake; 4]> {
        let mut wakes = self.expire(now);
        while self.running() < self.limit && !self.queue.is_empty() {
            // Ranks change while requests wait: those that missed their goal go behind.
            let next = (0..self.queue.len())
                .min_by_key(|&it| self.rank(now, &self.queue[it].arrival, self.queue[it].cost))
                .unwrap_or(0);
            let waiting = self.queue.remove(next);
            self.run(now, &waiting.arrival);
            wakes.push(Wake::Start(waiting.arrival.task));
        }
        wakes
    }
}

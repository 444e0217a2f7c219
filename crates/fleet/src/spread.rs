//! Choice among backend servers whose reports are out of date, in a fleet in which many daemons
//! choose at the same time.
//!
//! Of the requests that a report counts, some have ended since, and other daemons have sent new
//! ones. The expected load moves from the reported one to the usual one of the service as the report
//! ages, and becomes less certain. The choice is random, with weights by the expected room, so that
//! daemons with the same reports choose different backend servers.

use shallottack_kernel::Time;

use crate::{PlacementSettings, candidate::Candidate};

/// Cost that lowers the chance of a backend server by a factor of e, in run times; low, so that a
/// request leaves the data centre only if it has no room there.
const COST_SCALE: f64 = 0.03;
/// Difference of costs in multiples of the scale from which a backend server is not chosen.
const MAX_DIFFERENCE: f64 = 200.0;
/// Lowest usual share of busy slots, so that a service without load has no certain reports either.
const MIN_USUAL: f64 = 0.05;
/// Variance of the busy slots of a backend server whose report is new; requests of others are on
/// their way.
const MIN_VARIANCE: f64 = 0.15;

/// Exponent of the probability of a free slot in the weight; high, since each refusal takes a round
/// trip between VMs.
const FREE_EXPONENT: i32 = 64;
/// Exponent of the expected share of free slots in the weight, which evens out the load.
const ROOM_EXPONENT: i32 = 2;
/// Lowest expected share of free slots; full backend servers differ by their waits.
const MIN_ROOM: f64 = 0.02;
/// Probability of a free slot from which the first send looks for one and doesn't wait there; one in
/// five may be refused, for 1.2 sends.
const FIRST_SEND_ODDS: f64 = 0.8;
/// The same for further sends.
const NEXT_SEND_ODDS: f64 = 0.95;

/// Returns whether a send to a backend server with this probability of a free slot looks for one.
/// `sent` is the number of sends before.
pub(crate) fn has_room(free: f64, sent: u8) -> bool {
    free >= if sent == 0 { FIRST_SEND_ODDS } else { NEXT_SEND_ODDS }
}

/// Expected times at one backend server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Estimate {
    /// Expected time until the response, as far as it differs between the candidates, in seconds.
    pub(crate) time: f64,
    /// Wait for a start, in seconds.
    pub(crate) wait: f64,
    /// Probability of a free slot.
    pub(crate) free: f64,
    /// Weight in a random choice among candidates of the same cost.
    pub(crate) weight: f64,
}

/// Random choice of a backend server for one request.
#[derive(Debug)]
pub(crate) struct Spread {
    /// Mean share of the slots that running and waiting requests take, as reported.
    usual: f64,
    /// State of the random number generator.
    state: u64,
    /// Cost at which a weight counts in full, in seconds.
    base: f64,
    /// Sum of the weights so far.
    total: f64,
}

impl Spread {
    /// Estimates the usual load from the last reports of the candidates, of which new ones
    /// count more. `run_time` is the mean run time of the route in seconds, `seed` a random number.
    pub(crate) fn new<'a>(
        now: Time,
        run_time: f64,
        candidates: impl Iterator<Item = &'a Candidate>,
        seed: u64,
    ) -> Spread {
        let (busy, limit) = candidates.fold((0.0, 0.0), |(busy, limit), it| {
            let age = now.since(it.load_time).as_secs_f64() / run_time.max(0.001);
            let weight = 1.0 / (1.0 + age);
            let reported = f64::from(it.load.running + it.load.queued);
            (busy + reported * weight, limit + f64::from(it.load.limit) * weight)
        });
        let usual = if limit > 0.0 { busy / limit } else { 0.0 }.max(MIN_USUAL);
        // The generator never leaves the state 0.
        Spread { usual, state: seed.max(1), base: f64::MAX, total: 0.0 }
    }

    /// Returns what is expected of a candidate.
    ///
    /// `run_time` is the mean run time of the route and `goal` the time left to the latency goal, in
    /// seconds.
    pub(crate) fn estimate(
        &self,
        now: Time,
        candidate: &Candidate,
        run_time: f64,
        goal: f64,
        settings: &PlacementSettings,
    ) -> Estimate {
        let slowdown = candidate.slowdown(now, settings);
        let run = (run_time * slowdown).max(0.001);
        let age = now.since(candidate.load_time).as_secs_f64() / run;
        let limit = f64::from(candidate.load.limit.max(1));
        if candidate.load.limit == 0 && age < settings.load_expiry {
            let wait = f64::from(u16::MAX) * run;
            return Estimate { time: run_time + wait, wait, free: 0.0, weight: 1.0 };
        }
        let kept = (-age).exp();
        let usual = self.usual * limit;
        let reported = f64::from(candidate.load.running + candidate.load.queued);
        let own = f64::from(candidate.sent_since);
        let busy =
            (reported * kept + usual * (1.0 - kept) + own).max(f64::from(candidate.in_flight));
        let variance = MIN_VARIANCE + usual * (1.0 - kept * kept);
        // Logistic approximation of the normal distribution.
        let free = 1.0 / (1.0 + (-1.7 * (limit - busy - 0.5) / variance.sqrt()).exp());
        let room = ((limit - busy) / limit).max(MIN_ROOM);
        let wait = ((busy + 1.0 - limit).max(0.0) / limit * run).max(candidate.wait_for_pace(now));
        // A slow backend server is used as much as others, unless the request would be late there.
        let late = (run - goal).max(0.0);
        let stall = slowdown / candidate.relative_run;
        let time = run_time * stall + wait + late;
        let weight = free.powi(FREE_EXPONENT) * room.powi(ROOM_EXPONENT) / slowdown;
        Estimate { time, wait, free, weight }
    }

    /// Returns whether to choose a candidate instead of the one chosen so far. After the last one,
    /// each has been chosen with a probability in proportion to its weight, lowered by its cost.
    pub(crate) fn takes(&mut self, cost: f64, weight: f64, run_time: f64) -> bool {
        let difference = (cost - self.base) / (COST_SCALE * run_time);
        let mut weight = weight.max(f64::MIN_POSITIVE);
        if difference > MAX_DIFFERENCE {
            return false;
        } else if difference > 0.0 {
            weight *= (-difference).exp();
        } else if difference < 0.0 {
            self.total *= difference.exp();
            self.base = cost;
        }
        self.total += weight;
        self.draw() * self.total <= weight
    }

    /// Draws a number from 0 to 1.
    fn draw(&mut self) -> f64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        (self.state >> 11) as f64 / (1_u64 << 53) as f64
    }
}

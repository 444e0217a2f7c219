//! Deficit round robin over the classes.

use std::collections::VecDeque;

use crate::class::{ClassState, SchedulerState};

/// Largest absolute deficit of a class, in calls of the largest cost. The bound keeps a single very
/// long call from blocking its class for long.
const MAX_DEFICIT_CALLS: i64 = 4;
/// Largest ratio of the largest cost to the quantum. It bounds the number of rounds until some
/// class may start a call.
const MAX_ROUNDS: i64 = 16;

/// Deficit round robin scheduler for the queues of the classes.
///
/// A class may start a call while its deficit counter is positive, and the counter may become
/// negative. The quantum can therefore be as small as the cost of the cheapest call, which keeps
/// rounds short and reduces the wait of a class for its next turn.
///
/// As in FQ-CoDel, newly backlogged (new) classes are served before the other (old) ones, so that
/// a class below its fair share waits for one free slot instead of a whole round. It then stays in
/// the round until its deficit counter is positive again, even with an empty queue; otherwise a
/// class could exceed its share by sending one call at a time.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    new: VecDeque<usize>,
    old: VecDeque<usize>,
    /// Service time in microseconds added to the deficit counter of each class per round.
    quantum: i64,
    /// Largest cost of a call in microseconds.
    max_cost: i64,
}

impl RoundRobin {
    /// Adds a class that is about to queue a call, unless it is already in the round robin.
    pub fn activate(&mut self, index: usize, class: &mut ClassState, cost: u64) {
        let cost = cost as i64;
        self.max_cost = self.max_cost.max(cost);
        self.quantum = if self.quantum == 0 { cost } else { self.quantum.min(cost) };
        self.quantum = self.quantum.max(self.max_cost / MAX_ROUNDS).max(1);
        if class.scheduling == SchedulerState::Idle {
            class.scheduling = SchedulerState::New;
            class.deficit = self.quantum;
            self.new.push_back(index);
        }
    }

    /// Returns the classes in the round robin; their queues may be empty.
    pub fn active(&self) -> impl Iterator<Item = usize> {
        self.new.iter().chain(&self.old).copied()
    }

    /// Returns the class whose first queued call is served next and the cost charged for it.
    ///
    /// At least one class must have a queued call.
    pub fn next(
        &mut self,
        classes: &mut [ClassState],
        cost: impl Fn(&ClassState) -> u64,
    ) -> Option<(usize, i64)> {
        loop {
            let new = self.new.front().copied();
            let index = new.or_else(|| self.old.front().copied())?;
            let class = &mut classes[index];
            if class.deficit > 0 && !class.queue.is_empty() {
                let charge = cost(class) as i64;
                class.deficit -= charge;
                return Some((index, charge));
            }
            if new.is_some() {
                self.new.pop_front();
                class.scheduling = SchedulerState::Old;
                self.old.push_back(index);
            } else if class.deficit > 0 {
                self.old.pop_front();
                class.scheduling = SchedulerState::Idle;
                class.deficit = 0;
            } else {
                class.deficit += self.quantum;
                self.old.rotate_left(1);
            }
        }
    }

    /// Replaces the charge of a call by its measured service time.
    pub fn correct_charge(&self, class: &mut ClassState, charge: i64, micros: u64) {
        if charge > 0 && class.scheduling != SchedulerState::Idle {
            let max = self.max_cost * MAX_DEFICIT_CALLS;
            class.deficit = (class.deficit + charge - micros as i64).clamp(-max, max);
        }
    }

    /// Recomputes the quantum from the costs of the active classes.
    pub fn update_quantum(&mut self, classes: &[ClassState], cost: impl Fn(&ClassState) -> u64) {
        let costs = || self.active().map(|it| cost(&classes[it]) as i64);
        if let (Some(min), Some(max)) = (costs().min(), costs().max()) {
            self.max_cost = max;
            self.quantum = min.max(max / MAX_ROUNDS).max(1);
        }
    }
}

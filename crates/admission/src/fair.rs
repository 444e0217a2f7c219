//! Deficit round robin over classes.

use std::collections::VecDeque;

use crate::class::{ClassState, Place};

/// Debt or credit that a class carries at most, in calls of the largest cost, so that one call
/// that took very long does not keep its class out for long.
const MAX_CALLS: i64 = 4;
/// The quantum is at least the largest cost divided by this, which bounds the rounds that are
/// needed until some class may start a call.
const MAX_ROUNDS: i64 = 16;

/// Order in which backlogged classes are served.
///
/// A class may start a call while its deficit is positive and goes into debt for the rest of the
/// charge, so that the quantum can be as small as the cheapest call: a round is then short, and a
/// class that has just been served waits less for its next turn.
///
/// A class that has just become backlogged is served before the others, so that a class below its
/// share waits for one free slot and not for a round. It then takes its turn in the round until
/// its debt is repaid, even when its queue is empty: a class gains nothing by sending call by call.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    fresh: VecDeque<usize>,
    backlogged: VecDeque<usize>,
    /// Service time in microseconds that each class may use in a round.
    quantum: i64,
    /// Largest cost of a call, in microseconds.
    largest: i64,
}

impl RoundRobin {
    /// Adds a class whose queue has become non-empty.
    pub fn activate(&mut self, index: usize, class: &mut ClassState, cost: u64) {
        let cost = cost as i64;
        self.largest = self.largest.max(cost);
        self.quantum = if self.quantum == 0 { cost } else { self.quantum.min(cost) };
        self.quantum = self.quantum.max(self.largest / MAX_ROUNDS).max(1);
        if class.place == Place::Idle {
            class.place = Place::Fresh;
            class.deficit = self.quantum;
            self.fresh.push_back(index);
        }
    }

    /// Returns the classes that may have queued calls.
    pub fn active(&self) -> impl Iterator<Item = usize> {
        self.fresh.iter().chain(&self.backlogged).copied()
    }

    /// Returns the class whose first call is next and the charge for it. Some class must have a
    /// queued call.
    pub fn next(
        &mut self,
        classes: &mut [ClassState],
        cost: impl Fn(&ClassState) -> u64,
    ) -> Option<(usize, i64)> {
        loop {
            let fresh = self.fresh.front().copied();
            let index = fresh.or_else(|| self.backlogged.front().copied())?;
            let class = &mut classes[index];
            if class.deficit > 0 && !class.queue.is_empty() {
                let charge = cost(class) as i64;
                class.deficit -= charge;
                return Some((index, charge));
            }
            if fresh.is_some() {
                self.fresh.pop_front();
                class.place = Place::Backlogged;
                self.backlogged.push_back(index);
            } else if class.deficit > 0 {
                self.backlogged.pop_front();
                class.place = Place::Idle;
                class.deficit = 0;
            } else {
                class.deficit += self.quantum;
                self.backlogged.rotate_left(1);
            }
        }
    }

    /// Corrects the charge of a call by its measured service time.
    pub fn settle(&self, class: &mut ClassState, charge: i64, micros: u64) {
        if charge > 0 && class.place != Place::Idle {
            let most = self.largest * MAX_CALLS;
            class.deficit = (class.deficit + charge - micros as i64).clamp(-most, most);
        }
    }

    /// Sets the quantum anew from the costs of the active classes.
    pub fn adjust(&mut self, classes: &[ClassState], cost: impl Fn(&ClassState) -> u64) {
        let costs = || self.active().map(|it| cost(&classes[it]) as i64);
        if let (Some(least), Some(most)) = (costs().min(), costs().max()) {
            self.largest = most;
            self.quantum = least.max(most / MAX_ROUNDS).max(1);
        }
    }
}

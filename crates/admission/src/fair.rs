//! Deficit round robin over classes.

use std::collections::VecDeque;

use crate::class::{ClassState, Place};

/// Rounds of debt or credit that a class carries at most, so that one call that took very long
/// does not keep its class out for long.
const MAX_ROUNDS: i64 = 4;

/// Order in which backlogged classes are served.
///
/// A class that has just become backlogged is served once before the others, so that a class
/// below its share waits for one free slot and not for a whole round. It then goes to the end of
/// the round even when its queue is empty again; a class cannot gain by sending call by call.
#[derive(Debug, Default)]
pub(crate) struct RoundRobin {
    fresh: VecDeque<usize>,
    backlogged: VecDeque<usize>,
    /// Largest cost of a call that was queued, in microseconds: each visit allows one call.
    quantum: i64,
}

impl RoundRobin {
    /// Adds a class whose queue has become non-empty.
    pub fn activate(&mut self, index: usize, class: &mut ClassState, cost: u64) {
        self.quantum = self.quantum.max(cost as i64);
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

    /// Returns the class whose first call is next and charges it `cost(class)`.
    pub fn next(
        &mut self,
        classes: &mut [ClassState],
        cost: impl Fn(&ClassState) -> u64,
    ) -> Option<(usize, i64)> {
        loop {
            if let Some(&index) = self.fresh.front() {
                let class = &mut classes[index];
                if let Some(charge) = self.charge(class, cost(class)) {
                    return Some((index, charge));
                }
                self.fresh.pop_front();
                class.place = Place::Backlogged;
                self.backlogged.push_back(index);
                continue;
            }
            let &index = self.backlogged.front()?;
            let class = &mut classes[index];
            if class.queue.is_empty() {
                self.backlogged.pop_front();
                class.place = Place::Idle;
                class.deficit = 0;
            } else if let Some(charge) = self.charge(class, cost(class)) {
                return Some((index, charge));
            } else {
                class.deficit += self.quantum;
                self.backlogged.rotate_left(1);
            }
        }
    }

    /// Corrects the charge of a call by its measured service time.
    pub fn settle(&self, class: &mut ClassState, charge: i64, micros: u64) {
        if charge > 0 && class.place != Place::Idle {
            let most = self.quantum * MAX_ROUNDS;
            class.deficit = (class.deficit + charge - micros as i64).clamp(-most, most);
        }
    }

    /// Sets the quantum anew from the costs of the active classes.
    pub fn adjust(&mut self, classes: &[ClassState], cost: impl Fn(&ClassState) -> u64) {
        let largest = self.active().map(|it| cost(&classes[it]) as i64).max();
        self.quantum = largest.unwrap_or(self.quantum);
    }

    fn charge(&mut self, class: &mut ClassState, cost: u64) -> Option<i64> {
        let cost = cost as i64;
        self.quantum = self.quantum.max(cost);
        if class.queue.is_empty() || class.deficit < cost {
            return None;
        }
        class.deficit -= cost;
        Some(cost)
    }
}

//! Selection of an endpoint among the candidates of a service.

use rand::{Rng, RngExt};
use shallottack_kernel::{GroupName, Time};

use crate::{Router, pool::Pool};

/// Random draws for each of the two candidates before all members are searched in order.
const MAX_DRAWS: usize = 4;

impl Router {
    /// Returns an endpoint for an attempt: in the data centre of this daemon, in another one,
    /// a suspected one or, as a last resort, an ejected one.
    pub(crate) fn select(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        service: usize,
        group: Option<&GroupName>,
        class: usize,
        tried: &[usize],
    ) -> Option<usize> {
        let pool = self.services[service].pool(group)?;
        let local = self.pick_of_two(now, rng, &pool.local, tried);
        if let Some(local) = local
            && self.expected_latency(now, local, class) <= self.target_latency(class)
        {
            return Some(local);
        }
        match local {
            Some(local) => Some(self.spill_over(now, rng, pool, local, class, tried)),
            None => self
                .fastest_remote(now, rng, pool, class, tried)
                .or_else(|| self.last_resort(rng, pool, tried)),
        }
    }

    /// Returns the endpoint to use when the local one drawn is expected to miss the latency target:
    /// another local one that meets it, else a remote one that meets it, else the one drawn.
    fn spill_over(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        pool: &Pool,
        drawn: usize,
        class: usize,
        tried: &[usize],
    ) -> usize {
        let usable = |it: &usize| self.endpoints[*it].usable(now) && !tried.contains(it);
        let best = pool
            .local
            .iter()
            .copied()
            .filter(usable)
            .min_by(|&a, &b| {
                self.expected_latency(now, a, class)
                    .total_cmp(&self.expected_latency(now, b, class))
            })
            .unwrap_or(drawn);
        if self.expected_latency(now, best, class) <= self.target_latency(class) {
            return best;
        }
        match self.fastest_remote(now, rng, pool, class, tried) {
            Some(remote)
                if self.expected_latency(now, remote, class) <= self.target_latency(class) =>
            {
                remote
            }
            _ => drawn,
        }
    }

    /// Picks an endpoint in each remote data centre and returns the one with the lowest expected
    /// latency.
    fn fastest_remote(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        pool: &Pool,
        class: usize,
        tried: &[usize],
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (_, members) in &pool.remote {
            if let Some(index) = self.pick_of_two(now, rng, members, tried) {
                let expected = self.expected_latency(now, index, class);
                if best.is_none_or(|it| expected < it.0) {
                    best = Some((expected, index));
                }
            }
        }
        best.map(|it| it.1)
    }

    /// Returns a random endpoint that takes calls, a suspected one if possible.
    fn last_resort(&self, rng: &mut dyn Rng, pool: &Pool, tried: &[usize]) -> Option<usize> {
        let accepts = |it: &usize| self.endpoints[*it].accepts_calls() && !tried.contains(it);
        let suspect = pool.suspect.iter().copied().filter(accepts).count();
        if suspect > 0 {
            let nth = rng.random_range(0..suspect);
            return pool.suspect.iter().copied().filter(accepts).nth(nth);
        }
        let count = pool.all().filter(accepts).count();
        (count > 0)
            .then(|| rng.random_range(0..count))
            .and_then(|it| pool.all().filter(accepts).nth(it))
    }

    /// Returns the member with the lower score of two random usable ones (power of two choices).
    fn pick_of_two(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        members: &[usize],
        tried: &[usize],
    ) -> Option<usize> {
        let first = self.draw(now, rng, members, tried, None)?;
        let Some(second) = self.draw(now, rng, members, tried, Some(first)) else {
            return Some(first);
        };
        let score = |it: usize| self.endpoints[it].score(now, &self.settings);
        Some(if score(second) < score(first) { second } else { first })
    }

    /// Returns a random usable member other than `other`, by weight.
    fn draw(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        members: &[usize],
        tried: &[usize],
        other: Option<usize>,
    ) -> Option<usize> {
        if members.is_empty() {
            return None;
        }
        let usable =
            |it: usize| Some(it) != other && !tried.contains(&it) && self.endpoints[it].usable(now);
        for _ in 0..MAX_DRAWS {
            let index = members[rng.random_range(0..members.len())];
            let weight = self.endpoints[index].weight(now, &self.settings);
            if usable(index) && (weight >= 1.0 || rng.random::<f64>() < weight) {
                return Some(index);
            }
        }
        // Few members are usable or have full weight, so the usable one with the highest weight is
        // taken.
        let offset = rng.random_range(0..members.len());
        let rotated = members[offset..].iter().chain(&members[..offset]).copied();
        let weight = |it: usize| self.endpoints[it].weight(now, &self.settings);
        let mut best: Option<usize> = None;
        for index in rotated.filter(|&it| usable(it)) {
            if best.is_none_or(|it| weight(index) > weight(it)) {
                best = Some(index);
            }
        }
        best
    }

    fn expected_latency(&self, now: Time, endpoint: usize, class: usize) -> f64 {
        let tail_deviations = self.classes[class].tail_deviations;
        self.endpoints[endpoint].expected_latency(now, tail_deviations, &self.settings)
    }

    fn target_latency(&self, class: usize) -> f64 {
        self.classes[class].within.as_micros() as f64
    }
}

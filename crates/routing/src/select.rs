//! Choice of an endpoint among the candidates of a service.

use rand::{Rng, RngExt};
use shallottack_kernel::{GroupName, Time};

use crate::{Router, pool::Pool};

/// Random draws for each of the two candidates before the members are searched in order.
const DRAWS: usize = 4;

impl Router {
    /// Returns an endpoint for an attempt: of the own data centre, of another one, a suspected
    /// one or, as the last resort, an ejected one.
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
        let local = self.pick(now, rng, &pool.local, tried);
        if let Some(local) = local
            && self.expected(now, local, class) <= self.within(class)
        {
            return Some(local);
        }
        match local {
            Some(local) => Some(self.spill(now, rng, pool, local, class, tried)),
            None => self
                .nearest(now, rng, pool, class, tried)
                .or_else(|| self.last_resort(rng, pool, tried)),
        }
    }

    /// Returns the endpoint to use when the local one drawn misses the class target: another
    /// local one, or a remote one when only that is expected to meet the target.
    fn spill(
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
            .min_by(|&a, &b| self.expected(now, a, class).total_cmp(&self.expected(now, b, class)))
            .unwrap_or(drawn);
        if self.expected(now, best, class) <= self.within(class) {
            return best;
        }
        match self.nearest(now, rng, pool, class, tried) {
            Some(remote) if self.expected(now, remote, class) <= self.within(class) => remote,
            _ => drawn,
        }
    }

    /// Returns the endpoint with the lowest expected latency among two of each other data centre.
    fn nearest(
        &self,
        now: Time,
        rng: &mut dyn Rng,
        pool: &Pool,
        class: usize,
        tried: &[usize],
    ) -> Option<usize> {
        let mut best: Option<(f64, usize)> = None;
        for (_, members) in &pool.remote {
            if let Some(index) = self.pick(now, rng, members, tried) {
                let expected = self.expected(now, index, class);
                if best.is_none_or(|it| expected < it.0) {
                    best = Some((expected, index));
                }
            }
        }
        best.map(|it| it.1)
    }

    /// Returns any endpoint that is not leaving, suspected ones first.
    fn last_resort(&self, rng: &mut dyn Rng, pool: &Pool, tried: &[usize]) -> Option<usize> {
        let open = |it: &usize| self.endpoints[*it].open() && !tried.contains(it);
        let suspect = pool.suspect.iter().copied().filter(open).count();
        if suspect > 0 {
            let nth = rng.random_range(0..suspect);
            return pool.suspect.iter().copied().filter(open).nth(nth);
        }
        let count = pool.all().filter(open).count();
        (count > 0)
            .then(|| rng.random_range(0..count))
            .and_then(|it| pool.all().filter(open).nth(it))
    }

    /// Returns the better of two random usable members.
    fn pick(
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
        for _ in 0..DRAWS {
            let index = members[rng.random_range(0..members.len())];
            let share = self.endpoints[index].share(now, &self.settings);
            if usable(index) && (share >= 1.0 || rng.random::<f64>() < share) {
                return Some(index);
            }
        }
        // Among the few that are usable a warm endpoint goes before a cold one.
        let offset = rng.random_range(0..members.len());
        let rotated = members[offset..].iter().chain(&members[..offset]).copied();
        let share = |it: usize| self.endpoints[it].share(now, &self.settings);
        let mut best: Option<usize> = None;
        for index in rotated.filter(|&it| usable(it)) {
            if best.is_none_or(|it| share(index) > share(it)) {
                best = Some(index);
            }
        }
        best
    }

    fn expected(&self, now: Time, endpoint: usize, class: usize) -> f64 {
        let spread = self.classes[class].spread;
        self.endpoints[endpoint].expected(now, spread, &self.settings)
    }

    fn within(&self, class: usize) -> f64 {
        self.classes[class].within.as_micros() as f64
    }
}

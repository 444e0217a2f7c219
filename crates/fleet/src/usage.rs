//! Recent use of the slots by route, which decides whose turn is next.
//!
//! Answers a shortage that lasts for seconds, in which several routes of one priority compete for
//! the slots of a backend server: a route that asks for little is not crowded out by one that asks
//! for much. Within a route, requests with high tickets go first, so that calls that one operation
//! makes in parallel are served or rejected together.

use std::{collections::HashMap, sync::Arc, time::Duration};

use shallottack_kernel::Time;

use crate::Ticket;

/// Levels into which the tickets are divided; the fate of operations differs within one level only.
const LEVELS: usize = 8;
/// Routes after which those without recent use are forgotten.
const MAX_ROUTES: usize = 64;

/// Slot time of one route, as an exponentially decaying sum.
#[derive(Debug, Clone, Default)]
struct RouteUse {
    priority: usize,
    updated: Time,
    /// Slot time of each ticket level in seconds.
    seconds: [f64; LEVELS],
}

impl RouteUse {
    fn decay(&mut self, now: Time, window: Duration) {
        let factor = (-now.since(self.updated).as_secs_f64() / window.as_secs_f64()).exp();
        self.seconds.iter_mut().for_each(|it| *it *= factor);
        self.updated = now;
    }

    fn total(&self) -> f64 {
        self.seconds.iter().sum()
    }
}

/// Place of a request among those that compete for the slots.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Claim<'a> {
    pub(crate) route: &'a str,
    pub(crate) priority: usize,
    /// Level of the request's ticket.
    pub(crate) level: usize,
    /// Whether the routes of one priority take turns.
    pub(crate) equal_turns: bool,
    /// Whether the request queues behind all others of its priority.
    pub(crate) late: bool,
    /// Whether the request goes before others of its route whatever its ticket.
    pub(crate) returned: bool,
}

/// Recent use of the slots of one backend server.
#[derive(Debug)]
pub(crate) struct Usage {
    window: Duration,
    routes: HashMap<Arc<str>, RouteUse>,
}

impl Usage {
    /// Creates a record that averages over `window`.
    pub(crate) fn new(window: Duration) -> Usage {
        Usage { window, routes: HashMap::new() }
    }

    /// Records that a request of `run_time` starts.
    pub(crate) fn record(
        &mut self,
        now: Time,
        route: &Arc<str>,
        priority: usize,
        level: usize,
        run_time: Duration,
    ) {
        self.update(now);
        if self.routes.len() >= MAX_ROUTES {
            let least = run_time.as_secs_f64() / 100.0;
            self.routes.retain(|_, it| it.total() > least);
        }
        let used = self.routes.entry(Arc::clone(route)).or_default();
        (used.priority, used.updated) = (priority, now);
        used.seconds[level] += run_time.as_secs_f64();
    }

    /// Brings the sums of all routes up to date.
    pub(crate) fn update(&mut self, now: Time) {
        for used in self.routes.values_mut() {
            used.decay(now, self.window);
        }
    }

    /// Returns the share of `slots` that a route has used.
    pub(crate) fn share(&self, route: &str, slots: u32) -> f64 {
        self.routes.get(route).map_or(0.0, |it| self.share_of(it.total(), slots))
    }

    /// Returns the share of `slots` that requests ahead of a claim have used.
    ///
    /// Those are the more urgent routes, the other routes of its priority up to an equal turn, and
    /// the requests of its own route with higher tickets.
    pub(crate) fn share_ahead(&self, claim: &Claim<'_>, slots: u32) -> f64 {
        let own = self.routes.get(claim.route).map_or(0.0, RouteUse::total);
        let ahead = |(route, used): (&Arc<str>, &RouteUse)| {
            let equal = used.priority == claim.priority;
            if used.priority < claim.priority || (equal && claim.late) {
                used.total()
            } else if !equal || claim.returned && **route == *claim.route {
                0.0
            } else if **route == *claim.route {
                used.seconds[claim.level + 1..].iter().sum()
            } else if claim.equal_turns {
                used.total().min(own)
            } else {
                0.0
            }
        };
        self.share_of(self.routes.iter().map(ahead).sum(), slots)
    }

    fn share_of(&self, seconds: f64, slots: u32) -> f64 {
        seconds / (f64::from(slots.max(1)) * self.window.as_secs_f64())
    }
}

/// Returns the level of a ticket, from 0 for the lowest.
pub(crate) fn level(ticket: Ticket) -> usize {
    usize::from(ticket.0) * LEVELS / (usize::from(u8::MAX) + 1)
}

/// Returns the lowest ticket of a level; `None` for a level above the highest.
pub(crate) fn lowest_ticket(level: usize) -> Option<Ticket> {
    let ticket = level * (usize::from(u8::MAX) + 1) / LEVELS;
    u8::try_from(ticket).ok().map(Ticket)
}

/// All levels from the highest to the lowest.
pub(crate) fn levels() -> impl Iterator<Item = usize> {
    (0..LEVELS).rev()
}

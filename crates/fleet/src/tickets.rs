//! Tickets: random ranks that decide which requests of a route are served under overload.
//!
//! Answers the overload of a service that running requests call several times in parallel. If each
//! of two calls is served with a chance of a half, a quarter of the operations succeed, and the
//! rest of the work is lost. Calls of one operation reach the daemon at the same moment, so requests
//! of one route that do get the same ticket, and all backend servers serve the highest tickets.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

/// Time between two requests of one route that still counts as the same moment.
const SAME_MOMENT: Duration = Duration::from_millis(2);
/// Maximum number of routes remembered.
const MAX_ROUTES: usize = 256;

/// Random rank of a request among those of its route; the highest are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket(pub u8);

/// Source of the tickets of one daemon.
#[derive(Debug, Default)]
pub struct Tickets {
    /// Time and ticket of the last request of each route.
    last: HashMap<Arc<str>, (Time, Ticket)>,
}

impl Tickets {
    /// Draws a ticket, or repeats that of the last request of the route if it came at the same
    /// moment.
    pub fn draw(&mut self, now: Time, rng: &mut dyn Rng, route: &Arc<str>) -> Ticket {
        if let Some((at, ticket)) = self.last.get_mut(route) {
            if now.since(*at) > SAME_MOMENT {
                *ticket = Ticket(rng.random());
            }
            *at = now;
            return *ticket;
        }
        if self.last.len() >= MAX_ROUTES {
            self.last.retain(|_, (at, _)| now.since(*at) <= SAME_MOMENT);
        }
        let ticket = Ticket(rng.random());
        self.last.insert(Arc::clone(route), (now, ticket));
        ticket
    }
}

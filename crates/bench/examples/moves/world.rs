//! Generated versions and the outcomes of their calls.

use std::time::Duration;

use rand::{RngExt, rngs::StdRng};
use shallottack_kernel::RouteName;
use shallottack_moves::{Outcome, RouteClass, Side};

pub const KINDS: [&str; 11] = [
    "good",
    "fails-at-once",
    "fails-late",
    "slow-under-load",
    "one-route",
    "shared-backend",
    "sparse-good",
    "sparse-bad",
    "cold-start",
    "noisy-good",
    "noisy-bad",
];
/// Calls per second and endpoint: 1.5 million over 3,700 endpoints.
pub const ENDPOINT_RATE: f64 = 405.0;

/// Daemons of the deployment, endpoints of the service, its mean service time in milliseconds, and
/// its routes: name, part of the calls, target in milliseconds, allowed failures, allowed slow
/// calls, idempotent.
pub type Site = (usize, usize, f64, &'static [(&'static str, f64, u64, f64, f64, bool)]);
pub const SITES: [Site; 4] = [
    (
        11,
        6,
        5.0,
        &[("placements", 0.9, 150, 0.005, 0.05, true), ("renewals", 0.1, 500, 0.001, 0.01, false)],
    ),
    (11, 5, 3.0, &[("rounds", 1.0, 80, 0.001, 0.01, true)]),
    (9, 5, 5.0, &[("orders", 1.0, 500, 0.001, 0.01, false)]),
    (
        9,
        4,
        3.0,
        &[("shelves", 0.8, 200, 0.005, 0.05, true), ("urgent", 0.2, 60, 0.001, 0.01, true)],
    ),
];

/// Time in microseconds from which an endpoint is slow, until when, until when it says so, and the
/// factor of its latency at the start.
pub type Cold = (u64, u64, u64, f64);

/// The truth about one move.
pub struct World {
    pub kind: usize,
    pub site: Site,
    pub rate: f64,
    pub deadline: u64,
    pub bad: bool,
    /// Probability that the fault hits a call, whether as an error, and from when.
    pub strength: f64,
    pub errors: bool,
    pub onset: u64,
    /// Calls per second to the new group from which the fault shows.
    pub load: f64,
    pub route: Option<usize>,
    /// Part of the calls that the fault can hit.
    pub part: f64,
    pub episodes: Vec<(u64, u64)>,
    pub stalls: Vec<Vec<(u64, u64)>>,
    pub cold: Vec<Vec<Cold>>,
    pub usual: Vec<[(f64, f64); 2]>,
    pub failover: Option<u64>,
}

pub fn between(rng: &mut StdRng, low: f64, high: f64) -> f64 {
    low + rng.random::<f64>() * (high - low)
}

pub fn exponential(rng: &mut StdRng) -> f64 {
    -(1.0 - rng.random::<f64>()).ln()
}

pub fn world(rng: &mut StdRng, run: u64) -> World {
    let kind = (run % KINDS.len() as u64) as usize;
    let name = KINDS[kind];
    let site = SITES[rng.random_range(0..SITES.len())];
    let full = ENDPOINT_RATE * site.1 as f64 * between(rng, 0.4, 1.2);
    let rate = if name.starts_with("sparse") { between(rng, 2.0, 20.0) } else { full };
    let deadline = (between(rng, 300.0, 900.0) * 1e6) as u64;
    let bad =
        !matches!(name, "good" | "shared-backend" | "sparse-good" | "cold-start" | "noisy-good");
    let errors = rng.random::<bool>() && name != "slow-under-load";
    let allowed = site.3.iter().map(|it| if errors { it.3 } else { it.4 }).fold(0.0, f64::max);
    let least = (4.0 * allowed).max(0.05f64);
    let strength = (between(rng, least.ln(), 0.0)).exp();
    let late = matches!(name, "fails-late" | "noisy-bad") || name == "sparse-bad" && rng.random();
    let onset = if late { (deadline as f64 * between(rng, 0.02, 1.2)) as u64 } else { 0 };
    let load = if name == "slow-under-load" { rate * between(rng, 0.05, 0.9) } else { 0.0 };
    let one = name == "one-route";
    let route = (one && site.3.len() > 1).then(|| rng.random_range(0..site.3.len()));
    let part = if one && site.3.len() == 1 { 0.2 } else { 1.0 };
    let mut spans = |count: usize, least: f64, most: f64| -> Vec<(u64, u64)> {
        (0..count)
            .map(|_| {
                let from = (deadline as f64 * rng.random::<f64>()) as u64;
                (from, from + (between(rng, least, most) * 1e6) as u64)
            })
            .collect()
    };
    let episodes = if name == "shared-backend" { spans(3, 10.0, 60.0) } else { Vec::new() };
    let noisy = name.starts_with("noisy");
    let stall_count = if noisy { (deadline / 60_000_000) as usize } else { 0 };
    let stalls = (0..2 * site.1).map(|_| spans(stall_count, 0.1, 1.0)).collect();
    let cold =
        (0..2 * site.1).map(|at| cold_starts(rng, name == "cold-start", at >= site.1, deadline));
    let cold = cold.collect();
    let usual = site.3.iter().map(|it| {
        let high = if noisy { 0.9 } else { 0.5 };
        let (failures, slow) = (it.3 * between(rng, 0.05, high), it.4 * between(rng, 0.05, high));
        let factor = between(rng, 0.7, 1.3);
        [(failures, slow), (failures * factor, slow * factor)]
    });
    let usual = usual.collect();
    let failover =
        (rng.random::<f64>() < 0.2).then(|| (deadline as f64 * rng.random::<f64>()) as u64);
    World {
        kind,
        site,
        rate,
        deadline,
        bad,
        strength,
        errors,
        onset,
        load,
        route,
        part,
        episodes,
        stalls,
        cold,
        usual,
        failover,
    }
}

pub fn cold_starts(rng: &mut StdRng, cold: bool, new: bool, deadline: u64) -> Vec<Cold> {
    let restarts = if cold { 2 } else { 0 };
    let starts = (0..restarts).map(|_| (deadline as f64 * rng.random::<f64>()) as u64);
    let mut starts: Vec<u64> = starts.collect();
    if cold && new {
        starts.push(0);
    }
    let one = |from: u64| {
        let length = between(rng, 5.0, 20.0) * 1e6;
        let told = length * between(rng, 0.7, 1.3);
        (from, from + length as u64, from + told as u64, between(rng, 5.0, 30.0))
    };
    starts.into_iter().map(one).collect()
}

impl World {
    pub fn classes(&self) -> Vec<RouteClass> {
        let class = |it: &(&str, f64, u64, f64, f64, bool)| RouteClass {
            route: RouteName::new(it.0).expect("a name"),
            within: Duration::from_millis(it.2),
            failures: it.3,
            slow: it.4,
            idempotent: it.5,
        };
        self.site.3.iter().map(class).collect()
    }

    /// Returns the outcome of a call and whether the fault of the new version hit it.
    pub fn call(
        &self,
        rng: &mut StdRng,
        now: u64,
        route: usize,
        side: Side,
        load: f64,
    ) -> (Outcome, bool, usize) {
        let new = side == Side::New;
        let endpoint = usize::from(new) * self.site.1 + rng.random_range(0..self.site.1);
        let (failures, slow) = self.usual[route][usize::from(new)];
        let mut failed = rng.random::<f64>() < failures;
        let mut late = rng.random::<f64>() < slow;
        let inside = |spans: &[(u64, u64)]| spans.iter().any(|it| it.0 <= now && now < it.1);
        let hit = |rng: &mut StdRng| rng.random::<f64>() < self.strength;
        if inside(&self.episodes) && hit(rng) {
            (failed, late) = (failed || self.errors, late || !self.errors);
        }
        if inside(&self.stalls[endpoint]) {
            late |= rng.random::<f64>() < 0.8;
            failed |= rng.random::<f64>() < 0.1;
        }
        let fault = new
            && self.bad
            && now >= self.onset
            && load >= self.load
            && self.route.is_none_or(|it| it == route)
            && rng.random::<f64>() < self.part
            && hit(rng);
        if fault {
            (failed, late) = (failed || self.errors, late || !self.errors);
        }
        let within = self.site.3[route].2 as f64;
        let mut factor = 1.0;
        let mut cold = false;
        for &(from, until, told, start) in &self.cold[endpoint] {
            if from <= now && now < until {
                factor = 1.0 + (start - 1.0) * (until - now) as f64 / (until - from) as f64;
            }
            cold |= from <= now && now < told;
        }
        let mut millis = 2.0 + self.site.2 * exponential(rng) * factor;
        if late {
            millis = millis.max(within * between(rng, 1.05, 2.0));
        }
        let latency = Duration::from_micros((millis * 1e3) as u64);
        (Outcome { failed, latency, cold }, fault, endpoint)
    }
}

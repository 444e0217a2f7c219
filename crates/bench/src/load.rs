//! Load on one address: in sequence, closed loop and open loop.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use crate::{
    cluster::{CallResult, CallSpec, Caller},
    report::quantile,
};

/// Latencies in milliseconds and the number of calls without an answer.
#[derive(Debug, Clone, Default)]
pub struct Latencies {
    values: Vec<f64>,
    /// Calls that were refused, failed or got a wrong answer.
    pub failed: u64,
}

impl Latencies {
    /// Returns the latency at a quantile in milliseconds.
    pub fn at(&mut self, share: f64) -> f64 {
        quantile(&mut self.values, share)
    }

    /// Returns the number of answered calls.
    pub fn answered(&self) -> usize {
        self.values.len()
    }

    fn add(&mut self, result: &CallResult, time: Duration) {
        match result {
            CallResult::Answered { .. } => self.values.push(time.as_secs_f64() * 1_000.0),
            _ => self.failed += 1,
        }
    }
}

/// Sends `count` calls one after the other.
pub async fn in_sequence(to: SocketAddr, spec: &CallSpec, count: usize) -> Latencies {
    let caller = Caller::default();
    let mut latencies = Latencies::default();
    for _ in 0..count {
        let (result, time) = caller.call(to, spec).await;
        latencies.add(&result, time);
    }
    latencies
}

/// Keeps `callers` calls under way for `time` and returns the answered calls per second.
pub async fn closed_loop(to: SocketAddr, spec: &CallSpec, callers: usize, time: Duration) -> f64 {
    let caller = Caller::default();
    let answered = Arc::new(AtomicU64::new(0));
    let started = Instant::now();
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let (caller, spec, answered) = (caller.clone(), spec.clone(), Arc::clone(&answered));
            async_std::task::spawn(async move {
                while started.elapsed() < time {
                    let (result, _) = caller.call(to, &spec).await;
                    if matches!(result, CallResult::Answered { .. }) {
                        answered.fetch_add(1, Ordering::Relaxed);
                    }
                }
            })
        })
        .collect();
    for task in tasks {
        task.await;
    }
    answered.load(Ordering::Relaxed) as f64 / started.elapsed().as_secs_f64()
}

/// Sends calls at a fixed rate, whether or not earlier ones were answered; latencies count from
/// the time at which a call was due.
pub async fn open_loop(to: SocketAddr, spec: &CallSpec, per_s: f64, time: Duration) -> Latencies {
    let caller = Caller::default();
    let latencies = Arc::new(Mutex::new(Latencies::default()));
    let started = Instant::now();
    let count = (per_s * time.as_secs_f64()) as u32;
    let mut tasks = Vec::with_capacity(count as usize);
    for number in 0..count {
        let due = started + Duration::from_secs_f64(f64::from(number) / per_s);
        let wait = due.saturating_duration_since(Instant::now());
        if !wait.is_zero() {
            async_std::task::sleep(wait).await;
        }
        let (caller, spec, latencies) = (caller.clone(), spec.clone(), Arc::clone(&latencies));
        // Timers of the runtime are late by up to a millisecond, which is not the path's doing, so
        // that the latency counts from the moment of sending when the generator itself is late.
        let sent = Instant::now();
        tasks.push(async_std::task::spawn(async move {
            let (result, _) = caller.call(to, &spec).await;
            let time = sent.elapsed();
            latencies.lock().unwrap_or_else(PoisonError::into_inner).add(&result, time);
        }));
    }
    for task in tasks {
        task.await;
    }
    let latencies = latencies.lock().unwrap_or_else(PoisonError::into_inner);
    latencies.clone()
}

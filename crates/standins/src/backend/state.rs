//! State shared by the handlers of a backend server.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::{
    channel::{self, Receiver, Sender},
    task,
};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{BackendSettings, End, Faults, Ledger, slots::Slots};

/// Interval at which frozen work looks whether it may go on.
const THAW_POLL: Duration = Duration::from_millis(5);

/// Shared state as the handlers hold it.
pub(super) type State = Arc<Shared>;

/// State of a backend server.
pub(super) struct Shared {
    pub settings: BackendSettings,
    pub slots: Slots,
    pub ends: Sender<End>,
    started: Instant,
    faults: Mutex<Faults>,
    ledger: Mutex<Ledger>,
    rng: Mutex<ChaCha8Rng>,
    draining: Mutex<Option<Instant>>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(super) fn new(settings: BackendSettings) -> (Shared, Receiver<End>) {
        let (ends, ended) = channel::bounded(1);
        let shared = Shared {
            slots: Slots::new(settings.slots, settings.queue),
            ends,
            started: Instant::now(),
            faults: Mutex::new(settings.faults.clone()),
            ledger: Mutex::default(),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(settings.seed)),
            draining: Mutex::new(None),
            settings,
        };
        (shared, ended)
    }

    pub(super) fn ledger(&self) -> MutexGuard<'_, Ledger> {
        lock(&self.ledger)
    }

    pub(super) fn faults(&self) -> Faults {
        lock(&self.faults).clone()
    }

    pub(super) fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
    }

    pub(super) fn start_drain(&self) {
        lock(&self.draining).get_or_insert_with(Instant::now);
    }

    /// Returns the remaining cold start.
    pub(super) fn cold_left(&self) -> Duration {
        self.settings.cold_start.saturating_sub(self.started.elapsed())
    }

    /// Returns whether it was neither cold nor draining `lag` ago.
    pub(super) fn healthy(&self, lag: Duration) -> bool {
        let warm = self.started.elapsed() >= self.settings.cold_start + lag;
        warm && lock(&self.draining).is_none_or(|since| since.elapsed() < lag)
    }

    /// Returns `true` with the probability `share`.
    pub(super) fn roll(&self, share: f64) -> bool {
        share > 0.0 && lock(&self.rng).random::<f64>() < share
    }

    /// Returns a random number below `bound`, for jitter.
    pub(super) fn jitter(&self, bound: Duration) -> Duration {
        Duration::from_nanos(lock(&self.rng).next_u64() % (bound.as_nanos() as u64).max(1))
    }

    /// Draws the service time of a call.
    pub(super) fn service_time(&self) -> Duration {
        let settings = &self.settings;
        let drawn = settings.distribution.draw(settings.service_time, &mut *lock(&self.rng));
        let cold = self.cold_left();
        if cold.is_zero() {
            return drawn;
        }
        let part = cold.div_duration_f64(settings.cold_start);
        drawn.mul_f64(1.0 + (settings.cold_factor - 1.0).max(0.0) * part)
    }

    /// Waits while it is frozen.
    pub(super) async fn thawed(&self) {
        while lock(&self.faults).freeze {
            task::sleep(THAW_POLL).await;
        }
    }
}

//! Slots of a backend server and the queue before them.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use async_std::channel::{self, Receiver, Sender};

/// Time for which samples are kept; it bounds the lag of the load endpoint.
const HISTORY: Duration = Duration::from_secs(60);

/// Shortest distance of two samples, which bounds the memory of the history to some 200 KB.
const RESOLUTION: Duration = Duration::from_millis(10);

/// Busy slots and waiting calls at a moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    at: Instant,
    pub busy: usize,
    pub waiting: usize,
}

/// Counted slots with a bounded queue.
pub(super) struct Slots {
    /// Bounded channel as a semaphore: one message per busy slot.
    take: Sender<()>,
    release: Receiver<()>,
    waiting: AtomicUsize,
    queue: usize,
    history: Mutex<VecDeque<Sample>>,
}

/// A busy slot.
pub(super) struct Slot<'a>(&'a Slots);

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.release.try_recv().ok();
        self.0.record();
    }
}

/// A place in the queue.
struct Place<'a>(&'a Slots);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.waiting.fetch_sub(1, SeqCst);
    }
}

impl Slots {
    pub(super) fn new(count: usize, queue: usize) -> Slots {
        let (take, release) = channel::bounded(count.max(1));
        Slots { take, release, waiting: AtomicUsize::new(0), queue, history: Mutex::default() }
    }

    /// Returns a slot, after a wait in the queue if need be, or `None` when the queue is full.
    pub(super) async fn acquire(&self) -> Option<Slot<'_>> {
        if self.take.try_send(()).is_err() {
            let place = Place(self);
            if self.waiting.fetch_add(1, SeqCst) >= self.queue {
                return None;
            }
            self.record();
            // Fails only when the receiver is gone, and the slots hold both ends.
            self.take.send(()).await.ok();
            drop(place);
        }
        self.record();
        Some(Slot(self))
    }

    /// Returns the state `lag` ago; without a sample that old, an idle one.
    pub(super) fn sample(&self, lag: Duration) -> Sample {
        let now = Instant::now();
        if lag.is_zero() {
            return self.current(now);
        }
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        let past = history.iter().rev().find(|sample| now.duration_since(sample.at) >= lag);
        past.copied().unwrap_or(Sample { at: now, busy: 0, waiting: 0 })
    }

    fn current(&self, at: Instant) -> Sample {
        Sample { at, busy: self.take.len(), waiting: self.waiting.load(SeqCst) }
    }

    fn record(&self) {
        let sample = self.current(Instant::now());
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(last) = history.back_mut().filter(|last| sample.at - last.at < RESOLUTION) {
            *last = Sample { at: last.at, ..sample };
            return;
        }
        // The newest sample beyond the limit still tells the state at the limit.
        while history.get(1).is_some_and(|second| sample.at.duration_since(second.at) > HISTORY) {
            history.pop_front();
        }
        history.push_back(sample);
    }
}

//! Adaptive concurrency limit for the backend server.

use std::time::Duration;

use shallottack_kernel::Time;

use crate::Settings;

/// Answers per unit of the limit in a short window, which detects a slow backend server. At a
/// limit of 12 the window has 48 answers; the mean of 48 exponentially distributed service times
/// has a relative standard deviation of 14 %, far below the slow ratio.
const SHORT_CALLS_PER_SLOT: u32 = 4;
/// Smallest number of answers in a short window.
const MIN_SHORT_CALLS: u32 = 32;
/// Short windows in a long window, which decides on a limit above the slots. Its ratio is compared
/// with thresholds only 10 % apart and therefore needs more answers.
const SHORT_WINDOWS_PER_LONG: u32 = 16;
/// Smallest limit that latency alone leads to, as a share of the slots. A backend server that is
/// slow because of its own dependency doesn't get faster with fewer calls.
const MIN_LATENCY_LIMIT_SHARE: f64 = 0.25;

/// Latency sample from one answer.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    /// Service latency in microseconds.
    pub latency: u64,
    /// Latency baseline of the class in microseconds.
    pub baseline: u64,
    /// Whether the service latency alone exceeds the latency target of the class.
    pub late: bool,
    /// Share of answers that may be late according to the latency target of the class.
    pub allowed_late: f64,
    /// Whether the limit was reached when the call ended.
    pub saturated: bool,
}

/// Sums over the samples of a window.
#[derive(Debug, Default, Clone, Copy)]
struct Window {
    calls: u32,
    latency: u64,
    baseline: u64,
    late: f64,
    allowed_late: f64,
    saturated: u32,
}

impl Window {
    fn add(&mut self, sample: Sample) {
        self.calls += 1;
        self.latency += sample.latency;
        self.baseline += sample.baseline;
        self.late += f64::from(u8::from(sample.late));
        self.allowed_late += sample.allowed_late;
        self.saturated += u32::from(sample.saturated);
    }

    fn merge(&mut self, other: &Window) {
        self.calls += other.calls;
        self.latency += other.latency;
        self.baseline += other.baseline;
        self.saturated += other.saturated;
    }

    /// Returns the ratio of latency to baseline.
    fn ratio(&self) -> f64 {
        self.latency as f64 / self.baseline.max(1) as f64
    }

    /// Returns whether the limit was reached at more than half of the samples.
    fn mostly_saturated(&self) -> bool {
        self.saturated * 2 > self.calls
    }
}

/// Concurrency limit that is adapted by additive increase and multiplicative decrease (AIMD).
#[derive(Debug)]
pub(crate) struct Limit {
    slots: u32,
    value: f64,
    short: Window,
    long: Window,
    /// Short windows in the long window.
    windows: u32,
    last_change: Time,
    last_shed: Option<Time>,
}

impl Limit {
    pub fn new(slots: u32) -> Limit {
        let slots = slots.max(1);
        Limit {
            slots,
            value: f64::from(slots),
            short: Window::default(),
            long: Window::default(),
            windows: 0,
            last_change: Time(0),
            last_shed: None,
        }
    }

    /// Returns the limit, at least 1.
    pub fn get(&self) -> u32 {
        self.value as u32
    }

    /// Returns whether the limit is above the announced slots.
    pub fn above_slots(&self) -> bool {
        self.get() > self.slots
    }

    /// Sets the announced slots. The limit restarts there if they differ from the last ones.
    pub fn set_slots(&mut self, slots: u32) {
        if slots.max(1) != self.slots {
            *self = Limit::new(slots);
        }
    }

    /// Records the latency of an answer and adapts the limit at the end of a window.
    pub fn record_answer(&mut self, now: Time, sample: Sample, settings: &Settings) {
        self.short.add(sample);
        if self.short.calls < (self.get() * SHORT_CALLS_PER_SLOT).max(MIN_SHORT_CALLS) {
            return;
        }
        let window = std::mem::take(&mut self.short);
        let slots = f64::from(self.slots);
        if window.ratio() > settings.slow_ratio {
            // The backend server announced that it can run this many calls, so high latency lowers
            // the limit below the slots only when a class misses its latency target.
            let missed = window.late > window.allowed_late;
            let min = if missed { (slots * MIN_LATENCY_LIMIT_SHARE).max(1.0) } else { slots };
            let target = (self.value * settings.decrease_factor).max(min);
            if target < self.value {
                self.set(now, target);
            }
            return;
        }
        if self.value < slots {
            if window.mostly_saturated() {
                self.set(now, (self.value + 1.0).min(slots));
            }
            return;
        }
        self.long.merge(&window);
        self.windows += 1;
        if self.windows == SHORT_WINDOWS_PER_LONG {
            self.end_long_window(now, settings);
        }
    }

    /// Lowers the limit after the backend server shed a call.
    ///
    /// Calls shed within `cooldown` of the last decrease were sent under the earlier limit and are
    /// ignored. `failing` states whether the class of the call misses its failure target.
    pub fn record_shed(
        &mut self,
        now: Time,
        cooldown: Duration,
        failing: bool,
        settings: &Settings,
    ) {
        if self.last_shed.is_some_and(|at| now.since(at) < cooldown) {
            return;
        }
        self.last_shed = Some(now);
        let factor = if failing { settings.failing_factor } else { settings.decrease_factor };
        // A factor alone might not change the integer part of a small limit.
        self.set(now, (self.value * factor).min(self.value - 1.0).max(1.0));
    }

    /// Raises a limit below the slots by 1 after each recovery interval, since low load may never
    /// fill a window. While the limit is reached, only full windows raise it.
    pub fn tick(&mut self, now: Time, saturated: bool, settings: &Settings) {
        let slots = f64::from(self.slots);
        if self.value < slots && now.since(self.last_change) >= settings.recovery_interval {
            if saturated {
                self.last_change = now;
            } else {
                self.set(now, (self.value + 1.0).min(slots));
            }
        }
    }

    /// Returns the time of the next recovery step, if the limit is below the slots.
    pub fn wake_at(&self, settings: &Settings) -> Option<Time> {
        (self.value < f64::from(self.slots)).then(|| self.last_change + settings.recovery_interval)
    }

    fn end_long_window(&mut self, now: Time, settings: &Settings) {
        let window = self.long;
        let ratio = window.ratio();
        let (slots, max) = (f64::from(self.slots), self.slots * settings.limit_factor);
        if ratio < settings.increase_ratio && window.mostly_saturated() {
            self.set(now, (self.value + 1.0).min(f64::from(max)));
        } else if ratio > settings.decrease_ratio {
            self.set(now, (self.value - 1.0).max(slots));
        } else {
            self.set(now, self.value);
        }
    }

    /// Sets the limit and restarts all windows.
    fn set(&mut self, now: Time, value: f64) {
        self.value = value;
        self.last_change = now;
        self.short = Window::default();
        self.long = Window::default();
        self.windows = 0;
    }
}

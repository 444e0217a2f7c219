//! Adaptive limit on the calls at the backend server.

use std::time::Duration;

use shallottack_kernel::Time;

use crate::Settings;

/// Answers per unit of the limit in the window that detects a slow backend server. With 4 the
/// mean of 48 exponential service times varies by 14 %, far below the slow ratio.
const SHORT_CALLS_PER_SLOT: u32 = 4;
/// Smallest number of answers in that window.
const SHORT_CALLS: u32 = 32;
/// Short windows in the window that decides on a limit above the slots; its ratios are compared
/// with thresholds only 10 % apart.
const LONG_WINDOWS: u32 = 16;
/// Latency alone never takes the limit below this share of the slots: a backend server whose own
/// dependency is slow does not get faster with fewer calls.
const LATENCY_FLOOR: f64 = 0.25;

/// One answer as the limit sees it.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sample {
    /// Service latency in microseconds.
    pub latency: u64,
    /// Latency floor of the class in microseconds.
    pub floor: u64,
    /// Whether the service latency alone missed the target of the class.
    pub late: bool,
    /// Share of answers that the target of the class allows to be late.
    pub allowed: f64,
    /// Whether the limit was reached when the call ended.
    pub saturated: bool,
}

#[derive(Debug, Default, Clone, Copy)]
struct Window {
    calls: u32,
    latency: u64,
    floor: u64,
    late: f64,
    allowed: f64,
    saturated: u32,
}

impl Window {
    fn add(&mut self, sample: Sample) {
        self.calls += 1;
        self.latency += sample.latency;
        self.floor += sample.floor;
        self.late += f64::from(u8::from(sample.late));
        self.allowed += sample.allowed;
        self.saturated += u32::from(sample.saturated);
    }

    fn merge(&mut self, other: &Window) {
        self.calls += other.calls;
        self.latency += other.latency;
        self.floor += other.floor;
        self.saturated += other.saturated;
    }

    fn ratio(&self) -> f64 {
        self.latency as f64 / self.floor.max(1) as f64
    }

    fn busy(&self) -> bool {
        self.saturated * 2 > self.calls
    }
}

/// Additive increase, multiplicative decrease of the number of calls at the backend server.
#[derive(Debug)]
pub(crate) struct Limit {
    slots: u32,
    value: f64,
    short: Window,
    long: Window,
    windows: u32,
    changed: Time,
    shed: Option<Time>,
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
            changed: Time(0),
            shed: None,
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

    pub fn set_slots(&mut self, slots: u32) {
        if slots.max(1) != self.slots {
            *self = Limit::new(slots);
        }
    }

    /// Takes an answer into account.
    pub fn answered(&mut self, now: Time, sample: Sample, settings: &Settings) {
        self.short.add(sample);
        if self.short.calls < (self.get() * SHORT_CALLS_PER_SLOT).max(SHORT_CALLS) {
            return;
        }
        let window = std::mem::take(&mut self.short);
        let slots = f64::from(self.slots);
        if window.ratio() > settings.slow_ratio {
            // The slots are announced as safe, so latency takes the limit below them only when it
            // costs a class its target.
            let missed = window.late > window.allowed;
            let lowest = if missed { (slots * LATENCY_FLOOR).max(1.0) } else { slots };
            let target = (self.value * settings.decrease_factor).max(lowest);
            if target < self.value {
                self.set(now, target);
            }
            return;
        }
        if self.value < slots {
            if window.busy() {
                self.set(now, (self.value + 1.0).min(slots));
            }
            return;
        }
        self.long.merge(&window);
        self.windows += 1;
        if self.windows == LONG_WINDOWS {
            self.end_long(now, settings);
        }
    }

    /// Takes a call that the backend server shed into account. Sheds within `pause` of a change tell of the limit before it and are ignored.
    pub fn shed(&mut self, now: Time, pause: Duration, failing: bool, settings: &Settings) {
        if self.shed.is_some_and(|at| now.since(at) < pause) {
            return;
        }
        self.shed = Some(now);
        let factor = if failing { settings.failing_factor } else { settings.decrease_factor };
        // Taking off at least one keeps small limits from standing still.
        self.set(now, (self.value * factor).min(self.value - 1.0).max(1.0));
    }

    /// Lets a limit below the slots recover when there is too little load for full windows. While
    /// the limit is reached, only the windows raise it.
    pub fn tick(&mut self, now: Time, saturated: bool, settings: &Settings) {
        let slots = f64::from(self.slots);
        if self.value < slots && now.since(self.changed) >= settings.recovery_interval {
            if saturated {
                self.changed = now;
            } else {
                self.set(now, (self.value + 1.0).min(slots));
            }
        }
    }

    /// Returns when the limit next recovers by itself.
    pub fn wake_at(&self, settings: &Settings) -> Option<Time> {
        (self.value < f64::from(self.slots)).then(|| self.changed + settings.recovery_interval)
    }

    fn end_long(&mut self, now: Time, settings: &Settings) {
        let window = self.long;
        let ratio = window.ratio();
        let (slots, highest) = (f64::from(self.slots), self.slots * settings.limit_factor);
        if ratio < settings.increase_ratio && window.busy() {
            self.set(now, (self.value + 1.0).min(f64::from(highest)));
        } else if ratio > settings.decrease_ratio {
            self.set(now, (self.value - 1.0).max(slots));
        } else {
            self.set(now, self.value);
        }
    }

    fn set(&mut self, now: Time, value: f64) {
        self.value = value;
        self.changed = now;
        self.short = Window::default();
        self.long = Window::default();
        self.windows = 0;
    }
}

//! Structured log with one JSON line per event; writing is rate-limited and never blocks.

use std::{
    io::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::Instant,
};

use serde::Serialize;
use shallottack_fleet::{CrashSign, Finding, RepeatCause, RequestKey, RolloutState, ServerState};
use shallottack_kernel::{EndpointId, unix_ms};

/// Capacity of the queue to the writer thread, a few seconds of lines at full load.
const QUEUE_LINES: usize = 4_096;
/// Limit per second of lines about successful requests; enough to trace every request at some 50
/// requests a second.
const ORDINARY_LINES_PER_S: u32 = 150;
/// Limit per second of lines about failures and state changes.
const IMPORTANT_LINES_PER_S: u32 = 600;
/// Size in bytes above which no more lines are joined into one write.
const BATCH_BYTES: usize = 64 * 1024;

/// An event of the log: a decision about a request, or a change in the daemon's state.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "kebab-case")]
#[allow(missing_docs, reason = "the fields are described in docs/OPERATIONS.md")]
pub enum Event<'a> {
    Started {
        vm: &'a str,
        data_centre: &'a str,
        service: &'a str,
        incarnation: u64,
    },
    Reloaded {
        outcome: &'a str,
    },
    Stopping {
        signal: &'a str,
    },
    Stopped {
        unfinished: usize,
        waited_ms: u64,
    },
    Config {
        version: u64,
        routes: usize,
        #[serde(skip_serializing_if = "is_zero")]
        organisations: usize,
        source: &'a str,
        way: &'a str,
        behind_ms: u64,
    },
    Reader {
        rank: Option<usize>,
        poll_ms: u64,
        daemons: usize,
    },
    Behind {
        vm: &'a str,
        version: u64,
        held: u64,
    },
    Fetched {
        vm: &'a str,
        config: u64,
        orders: u64,
        outcome: &'a str,
        bytes: usize,
        ms: u64,
    },
    ConfigIgnored {
        version: u64,
        held: u64,
        source: &'a str,
    },
    ConfigRejected {
        source: &'a str,
        reason: &'a str,
    },
    Store {
        table: &'a str,
        state: &'a str,
        reason: &'a str,
    },
    Peer {
        vm: &'a str,
        state: &'a str,
        reason: &'a str,
    },
    Member {
        vm: &'a str,
        server: &'a str,
        state: Option<ServerState>,
        stopping: bool,
        incarnation: u64,
        sequence: u64,
    },
    Server {
        id: &'a str,
        state: ServerState,
        version: &'a str,
        slots: u32,
        reason: &'a str,
    },
    Inherited {
        server: &'a str,
        runs: u32,
        age_ms: u64,
    },
    Notice {
        id: &'a str,
        server: &'a str,
        limit_per_s: Option<f64>,
        leaving: bool,
        invalid: &'a str,
    },
    Published {
        sequence: u64,
        row: u64,
    },
    Identified {
        outcome: &'a str,
        server: &'a str,
        current: &'a str,
        reason: &'a str,
        ms: u64,
    },
    Heartbeat {
        id: &'a str,
        outcome: &'a str,
        reason: &'a str,
    },
    Rollout {
        service: &'a str,
        to: &'a str,
        state: RolloutState,
        share: f64,
        reason: &'a str,
        old_all: u32,
        old_failed: u32,
        old_slow: u32,
        new_all: u32,
        new_failed: u32,
        new_slow: u32,
        heard: usize,
    },
    Placed {
        id: &'a str,
        route: &'a str,
        config: u64,
        vm: &'a EndpointId,
        send: u8,
        may_wait: bool,
        running: u32,
        queued: u32,
        limit: u32,
        age_ms: u64,
        left_ms: u64,
    },
    Revocation {
        id: &'a str,
        vm: &'a EndpointId,
        outcome: &'a str,
        reason: &'a str,
        age_ms: u64,
        ms: u64,
    },
    Revoke {
        id: &'a str,
        outcome: &'a str,
        age_ms: u64,
    },
    SendFailed {
        id: &'a str,
        vm: &'a EndpointId,
        outcome: String,
        reason: &'a str,
        ms: u64,
    },
    Repeat {
        id: &'a str,
        service: &'a str,
        cause: RepeatCause,
        granted: bool,
        arrivals: u8,
        requests: f64,
        repeats: f64,
        nested: f64,
        allowed: f64,
    },
    RepeatedCalls {
        id: &'a str,
        service: &'a str,
        calls: f64,
        granted: bool,
        requests: f64,
        repeats: f64,
        nested: f64,
        allowed: f64,
    },
    Answered {
        id: &'a str,
        route: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        organisation: Option<&'a str>,
        status: u16,
        sends: u8,
        arrivals: u8,
        ms: u64,
        goal_ms: u64,
    },
    Rejected {
        id: &'a str,
        route: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        organisation: Option<&'a str>,
        kind: &'a str,
        status: u16,
        ran: bool,
        reason: &'a str,
        retry_after_ms: u64,
        sends: u8,
        arrivals: u8,
        ms: u64,
        config: u64,
    },
    Cancelled {
        id: &'a str,
        route: &'a str,
        #[serde(skip_serializing_if = "Option::is_none")]
        organisation: Option<&'a str>,
        ms: u64,
    },
    Granted {
        id: &'a str,
        bytes: usize,
        delay_ms: u64,
        waited_ms: u64,
        granted: usize,
        on_way: usize,
        waiting: usize,
    },
    Admitted {
        id: &'a str,
        delay_ms: u64,
        waited_ms: u64,
        running: u32,
        queued: u32,
        limit: u32,
    },
    Refused {
        id: &'a str,
        kind: &'a str,
        delay_ms: u64,
        running: u32,
        queued: u32,
        limit: u32,
        retry_after_ms: u64,
        waited_ms: u64,
    },
    Ran {
        id: &'a str,
        key: RequestKey,
        repeat: Option<RepeatCause>,
        outcome: &'a str,
        status: u16,
        run_ms: u64,
        reason: &'a str,
    },
    Evacuation {
        data_centre: &'a str,
        state: &'a str,
        era: u64,
        row: u64,
        source: &'a str,
    },
    Cold {
        server: &'a str,
        state: &'a str,
        reason: &'a str,
        limit_per_s: Option<f64>,
    },
    HealthCheck {
        outcome: &'a str,
        left_ms: Option<u64>,
        reason: &'a str,
        ms: u64,
    },
    Crash {
        service: &'a str,
        sign: CrashSign,
        completions: u32,
        requests: &'a [RequestKey],
    },
    Verdict {
        key: RequestKey,
        service: &'a str,
        finding: Finding,
        at_ms: u64,
    },
    QuotaBroker {
        lane: usize,
        vm: &'a EndpointId,
    },
    QuotaRejected {
        organisation: &'a str,
        retry_after_ms: u64,
        share: f64,
        demand: f64,
    },
    Dropped {
        lines: u64,
    },
}

fn is_zero(count: &usize) -> bool {
    *count == 0
}

/// Importance of a line, which selects its rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Importance {
    Ordinary,
    Important,
}

impl Event<'_> {
    fn importance(&self) -> Importance {
        match self {
            Event::Placed { .. }
            | Event::Granted { .. }
            | Event::Admitted { .. }
            | Event::Cancelled { .. } => Importance::Ordinary,
            Event::Answered { status, .. } if *status < 400 => Importance::Ordinary,
            Event::Ran { status, repeat: None, .. } if (1..400).contains(status) => {
                Importance::Ordinary
            }
            _ => Importance::Important,
        }
    }
}

#[derive(Serialize)]
struct Line<'a> {
    /// Unix time in milliseconds.
    time: u64,
    #[serde(flatten)]
    event: &'a Event<'a>,
}

/// Numbers of lines in the current second.
#[derive(Debug)]
struct RateWindow {
    began: Instant,
    ordinary: u32,
    important: u32,
}

/// Log that writes events from a separate thread.
#[derive(Debug)]
pub struct EventLog {
    lines: SyncSender<Vec<u8>>,
    window: Mutex<RateWindow>,
    dropped: AtomicU64,
}

impl EventLog {
    /// Creates a log that writes to standard output, and starts its writer thread.
    pub fn start() -> EventLog {
        EventLog::start_on(std::io::stdout())
    }

    /// Creates a log that writes to `output`, and starts its writer thread.
    pub fn start_on(output: impl Write + Send + 'static) -> EventLog {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&receiver, output));
        let window = RateWindow { began: Instant::now(), ordinary: 0, important: 0 };
        EventLog { lines, window: Mutex::new(window), dropped: AtomicU64::new(0) }
    }

    /// Writes an event.
    ///
    /// Never blocks: an event above the rate limit, or while the queue is full, is counted as
    /// dropped.
    pub fn write(&self, event: &Event<'_>) {
        if !self.allow(event.importance()) {
            self.dropped.fetch_add(1, Relaxed);
            return;
        }
        self.push(event);
    }

    /// Returns the number of lines dropped since the last [`Event::Dropped`].
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }

    fn allow(&self, importance: Importance) -> bool {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if window.began.elapsed().as_secs() >= 1 {
            *window = RateWindow { began: Instant::now(), ordinary: 0, important: 0 };
            let lines = self.dropped.swap(0, Relaxed);
            if lines > 0 {
                metrics::counter!("shallottack_log_dropped_total").increment(lines);
                self.push(&Event::Dropped { lines });
            }
        }
        let (count, limit) = match importance {
            Importance::Ordinary => (&mut window.ordinary, ORDINARY_LINES_PER_S),
            Importance::Important => (&mut window.important, IMPORTANT_LINES_PER_S),
        };
        *count += 1;
        *count <= limit
    }

    fn push(&self, event: &Event<'_>) {
        // A clock before 1970 is logged as time 0; the lines stay in order.
        let line = Line { time: unix_ms(), event };
        let written = serde_json::to_vec(&line).map(|mut it| {
            it.push(b'\n');
            self.lines.try_send(it).is_ok()
        });
        if !written.unwrap_or(false) {
            self.dropped.fetch_add(1, Relaxed);
        }
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    while let Ok(mut batch) = lines.recv() {
        while batch.len() < BATCH_BYTES {
            let Ok(line) = lines.try_recv() else { break };
            batch.extend(line);
        }
        // The reader is gone. The queue is closed, and further lines are counted as dropped.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}

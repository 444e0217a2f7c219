//! Structured log: one line for each decision, bounded and never waited for.

use std::{
    io::Write,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering::Relaxed},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
    time::{Instant, SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use shallottack_fleet::{RolloutState, ServerState};
use shallottack_kernel::EndpointId;

/// Lines that wait for a slow reader; some seconds of full load.
const QUEUE_LINES: usize = 4_096;
/// Lines about requests that were answered well, each second; enough to follow single requests
/// at today's rates of some 50 a second.
const ORDINARY_PER_S: u32 = 150;
/// Lines about failures and changes of state, each second.
const IMPORTANT_PER_S: u32 = 600;
/// Bytes written in one call.
const BATCH_BYTES: usize = 64 * 1024;

/// A decision that touches a request, or a change of what the daemon believes.
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
        row: u64,
        routes: usize,
        source: &'a str,
        behind_ms: u64,
    },
    Fetched {
        vm: &'a str,
        config: u64,
        orders: u64,
        outcome: &'a str,
        bytes: usize,
        ms: u64,
    },
    ConfigRejected {
        row: u64,
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
    Published {
        sequence: u64,
        row: u64,
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
    SendFailed {
        id: &'a str,
        vm: &'a EndpointId,
        outcome: String,
        reason: &'a str,
        ms: u64,
    },
    Answered {
        id: &'a str,
        route: &'a str,
        status: u16,
        sends: u8,
        arrivals: u8,
        ms: u64,
        goal_ms: u64,
    },
    Rejected {
        id: &'a str,
        route: &'a str,
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
        ms: u64,
    },
    Admitted {
        id: &'a str,
        waited_ms: u64,
        running: u32,
        queued: u32,
        limit: u32,
    },
    Refused {
        id: &'a str,
        kind: &'a str,
        running: u32,
        queued: u32,
        limit: u32,
        retry_after_ms: u64,
        waited_ms: u64,
    },
    Ran {
        id: &'a str,
        outcome: &'a str,
        status: u16,
        run_ms: u64,
        reason: &'a str,
    },
    Dropped {
        lines: u64,
    },
}

/// How important a line is when not all can be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Weight {
    Ordinary,
    Important,
}

impl Event<'_> {
    fn weight(&self) -> Weight {
        match self {
            Event::Placed { .. } | Event::Admitted { .. } | Event::Cancelled { .. } => {
                Weight::Ordinary
            }
            Event::Answered { status, .. } if *status < 400 => Weight::Ordinary,
            Event::Ran { status, .. } if (1..400).contains(status) => Weight::Ordinary,
            _ => Weight::Important,
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

#[derive(Debug)]
struct Second {
    began: Instant,
    ordinary: u32,
    important: u32,
}

/// Writes events to standard output from a thread of its own.
#[derive(Debug)]
pub struct EventLog {
    lines: SyncSender<Vec<u8>>,
    second: Mutex<Second>,
    dropped: AtomicU64,
}

impl EventLog {
    /// Creates the log and starts its writer on standard output.
    pub fn start() -> EventLog {
        EventLog::start_on(std::io::stdout())
    }

    /// Creates the log and starts its writer on `output`.
    pub fn start_on(output: impl Write + Send + 'static) -> EventLog {
        let (lines, receiver) = sync_channel(QUEUE_LINES);
        std::thread::spawn(move || write_lines(&receiver, output));
        let second = Second { began: Instant::now(), ordinary: 0, important: 0 };
        EventLog { lines, second: Mutex::new(second), dropped: AtomicU64::new(0) }
    }

    /// Writes an event, or counts it as dropped when the limit or the queue is full.
    pub fn write(&self, event: &Event<'_>) {
        if !self.allow(event.weight()) {
            self.dropped.fetch_add(1, Relaxed);
            return;
        }
        self.push(event);
    }

    /// Returns the number of lines that were dropped since the last report of them.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Relaxed)
    }

    fn allow(&self, weight: Weight) -> bool {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if second.began.elapsed().as_secs() >= 1 {
            *second = Second { began: Instant::now(), ordinary: 0, important: 0 };
            let lines = self.dropped.swap(0, Relaxed);
            if lines > 0 {
                metrics::counter!("shallottack_log_dropped_total").increment(lines);
                self.push(&Event::Dropped { lines });
            }
        }
        let (count, most) = match weight {
            Weight::Ordinary => (&mut second.ordinary, ORDINARY_PER_S),
            Weight::Important => (&mut second.important, IMPORTANT_PER_S),
        };
        *count += 1;
        *count <= most
    }

    fn push(&self, event: &Event<'_>) {
        // A clock before 1970 shows as time 0; the order of the lines still holds.
        let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line { time: time.as_millis() as u64, event };
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
        // Nobody reads the log any more; the queue then fills and lines are counted as dropped.
        if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
            return;
        }
    }
}

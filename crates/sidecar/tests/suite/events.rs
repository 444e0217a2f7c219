//! Structured log: format of the lines, and behaviour without a reader.

use std::{
    io::{self, Write},
    sync::{Arc, Mutex, mpsc},
    time::{Duration, Instant},
};

use shallottack_fleet::{CrashSign, Finding, RepeatCause, RequestKey, RolloutState, ServerState};
use shallottack_kernel::EndpointId;
use shallottack_sidecar::{Event, EventLog};

/// Output that collects all written bytes.
#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Output that blocks on each write until the sender is dropped.
struct BlockedWriter(mpsc::Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // Returns an error, which is ignored, once the sender is dropped.
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against changed event names and fields, on which operators' tools rely.
#[test]
fn event_lines_match_snapshot() {
    let vm = EndpointId::new("vm-1").unwrap();
    let id = "9c41";
    let events = [
        Event::Started { vm: "vm-1", data_centre: "a", service: "desk", incarnation: 5 },
        Event::Config {
            version: 12,
            routes: 3,
            organisations: 0,
            source: "store",
            way: "store",
            behind_ms: 0,
        },
        Event::Fetched { vm: "vm-2", config: 9, orders: 0, outcome: "config", bytes: 840, ms: 120 },
        Event::Store { table: "op", state: "lost", reason: "no answer: timed out" },
        Event::Peer { vm: "vm-2", state: "lost", reason: "cut" },
        Event::Revocation { id, vm: &vm, outcome: "revoked", reason: "", age_ms: 1_200, ms: 4 },
        Event::Revoke { id, outcome: "revoked", age_ms: 1_200 },
        Event::Server {
            id: "i-1",
            state: ServerState::Draining,
            version: "v1",
            slots: 12,
            reason: "heartbeat",
        },
        Event::Inherited { server: "i-1", runs: 6, age_ms: 210 },
        Event::ConfigIgnored { version: 5, held: 7, source: "store" },
        Event::Notice {
            id: "r1",
            server: "i-1",
            limit_per_s: Some(2.5),
            leaving: true,
            invalid: "",
        },
        Event::Rollout {
            service: "desk",
            to: "v2",
            state: RolloutState::RolledBack,
            share: 0.07,
            reason: "counted",
            old_all: 940,
            old_failed: 3,
            old_slow: 9,
            new_all: 70,
            new_failed: 11,
            new_slow: 0,
            heard: 41,
        },
        Event::Evacuation { data_centre: "a", state: "begun", era: 1, row: 31, source: "vm-2" },
        Event::Cold { server: "i-1", state: "cold", reason: "closed", limit_per_s: Some(12.5) },
        Event::HealthCheck { outcome: "stated", left_ms: Some(2_500), reason: "", ms: 4 },
        Event::Placed {
            id,
            route: "r",
            config: 7,
            vm: &vm,
            send: 1,
            may_wait: false,
            running: 3,
            queued: 0,
            limit: 12,
            age_ms: 20,
            left_ms: 900,
        },
        Event::SendFailed { id, vm: &vm, outcome: "Cut".to_owned(), reason: "ping", ms: 700 },
        Event::Granted {
            id,
            bytes: 60_000,
            delay_ms: 2,
            waited_ms: 40,
            granted: 2,
            on_way: 80_000,
            waiting: 1,
        },
        Event::Admitted { id, delay_ms: 2, waited_ms: 4, running: 12, queued: 2, limit: 12 },
        Event::Refused {
            id,
            kind: "overloaded",
            delay_ms: 2,
            running: 12,
            queued: 9,
            limit: 12,
            retry_after_ms: 50,
            waited_ms: 0,
        },
        Event::Ran {
            id,
            key: RequestKey(0x9c4),
            repeat: Some(RepeatCause::Shed),
            outcome: "answered",
            status: 200,
            run_ms: 88,
            reason: "",
        },
        Event::Crash {
            service: "desk",
            sign: CrashSign::Refused,
            completions: 940,
            requests: &[RequestKey(0x9c4), RequestKey(0xf00d_0000_0000_0001)],
        },
        Event::Verdict {
            key: RequestKey(0x9c4),
            service: "desk",
            finding: Finding::Blocked,
            at_ms: 1_774_139_556_085,
        },
        Event::Repeat {
            id,
            service: "desk",
            cause: RepeatCause::Shed,
            granted: true,
            arrivals: 1,
            requests: 120.0,
            repeats: 18.5,
            nested: 7.5,
            allowed: 24.0,
        },
        Event::RepeatedCalls {
            id,
            service: "stock",
            calls: 1.5,
            granted: false,
            requests: 120.0,
            repeats: 23.5,
            nested: 12.5,
            allowed: 24.0,
        },
        Event::Answered {
            id,
            route: "r",
            organisation: Some("acme"),
            status: 200,
            sends: 1,
            arrivals: 1,
            ms: 93,
            goal_ms: 300,
        },
        Event::Rejected {
            id,
            route: "r",
            organisation: None,
            kind: "overloaded",
            status: 429,
            ran: false,
            reason: "full",
            retry_after_ms: 90,
            sends: 2,
            arrivals: 0,
            ms: 3,
            config: 7,
        },
        Event::Cancelled { id, route: "r", organisation: None, ms: 40 },
        Event::Stopped { unfinished: 0, waited_ms: 2_450 },
    ];
    let output = SharedBuffer::default();
    let log = EventLog::start_on(output.clone());
    events.iter().for_each(|it| log.write(it));
    let end = Instant::now() + Duration::from_secs(5);
    let lines = || String::from_utf8(output.0.lock().unwrap().clone()).unwrap();
    while lines().lines().count() < events.len() {
        assert!(Instant::now() < end, "the log writer is too slow");
        std::thread::yield_now();
    }
    let without_time: Vec<String> = lines()
        .lines()
        .map(|it| it.split_once(',').map_or(it, |(_, rest)| rest).to_owned())
        .collect();
    insta::assert_yaml_snapshot!(without_time);
}

/// Guards against a blocked reader of the log that stalls the daemon; lines must be dropped and
/// counted instead.
#[test]
fn blocked_reader_does_not_block_writes() {
    let (release, blocked) = mpsc::channel();
    let log = EventLog::start_on(BlockedWriter(blocked));
    let began = Instant::now();
    for _ in 0..50_000 {
        log.write(&Event::Refused {
            id: "r",
            kind: "overloaded",
            delay_ms: 0,
            running: 1,
            queued: 1,
            limit: 1,
            retry_after_ms: 1,
            waited_ms: 1,
        });
    }
    assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
    // The count is reset by the report of each second.
    assert!(log.dropped() > 40_000 || began.elapsed() > Duration::from_secs(1));
    drop(release);
}

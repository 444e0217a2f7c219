//! Which incarnation of the backend server runs on a VM, by heartbeats of several senders.

use shallottack_fleet::{LocalServer, ServerAnswer, ServerState, ServerUpdate};

use crate::fixture::{at, beat, id, local_server, receive};

/// Year 2100.
const FUTURE_MS: u64 = 4_102_444_800_000;

fn ready(server: &str, started_ms: u64, sequence: u64) -> shallottack_fleet::Heartbeat {
    beat(server, started_ms, sequence, ServerState::Ready)
}

fn current(local: &LocalServer) -> (&str, u64) {
    let server = local.server().unwrap();
    (server.id.as_str(), server.started_ms)
}

/// Guards against a heartbeat of another server, however late its start, that replaces the one that
/// runs on the VM.
#[test]
fn heartbeat_of_another_server_replaces_the_one_that_answers() {
    for started_ms in [0, 6, FUTURE_MS, u64::MAX] {
        let mut local = local_server();
        receive(&mut local, at(0), &ready("i-1", 5, 1), "i-1");
        receive(&mut local, at(10), &ready("i-2", started_ms, u64::MAX), "i-1");
        assert_eq!(current(&local), ("i-1", 5), "{started_ms}");
        assert!(local.is_ready());
    }
}

/// Guards against an order of the starts by the time of day alone: the server states an earlier start
/// than the one before it, since the clock was ahead then, or another process stated a later one.
#[test]
fn server_with_an_earlier_start_is_locked_out() {
    for first in [7, FUTURE_MS, u64::MAX] {
        let mut local = local_server();
        receive(&mut local, at(0), &ready("i-1", first, 9), "i-1");
        for sequence in 1..=3 {
            let now = at(1_500 * sequence);
            assert_eq!(current(&local), ("i-1", first), "the former one may still run");
            receive(&mut local, now, &ready("i-1", 5, sequence), "i-1");
            if now >= at(3_000) {
                break;
            }
        }
        assert_eq!(current(&local), ("i-1", 5));
    }
}

/// Guards against late heartbeats of an earlier incarnation that replace the later one, which still
/// sends its own.
#[test]
fn late_heartbeats_replace_a_running_server() {
    let mut local = local_server();
    receive(&mut local, at(0), &ready("i-1", 7, 1), "i-1");
    for sequence in 2..10 {
        receive(&mut local, at(1_500 * sequence), &ready("i-1", 5, 80 + sequence), "i-1");
        receive(&mut local, at(1_500 * sequence + 10), &ready("i-1", 7, sequence), "i-1");
        assert_eq!(current(&local), ("i-1", 7));
    }
}

/// Guards against a sequence number that no later one exceeds.
#[test]
fn largest_sequence_number_hides_later_heartbeats() {
    let mut local = local_server();
    receive(&mut local, at(0), &ready("i-1", 5, u64::MAX), "i-1");
    for sequence in 1..=2 {
        receive(&mut local, at(1_500 * sequence), &ready("i-1", 5, sequence), "i-1");
    }
    let drains = beat("i-1", 5, 3, ServerState::Draining);
    assert_eq!(receive(&mut local, at(4_500), &drains, "i-1"), ServerUpdate::Changed);
    assert!(!local.is_ready());
}

/// Guards against a server that is never used because it does not say which one it is, and against one
/// heartbeat, which may be late, that is enough for it.
#[test]
fn server_that_does_not_answer_is_never_used() {
    let mut local = local_server();
    for (sequence, expected) in [(1, ServerUpdate::Unconfirmed), (2, ServerUpdate::Changed)] {
        let update = local.heartbeat(at(1_500 * sequence), &ready("i-1", 5, sequence));
        assert_eq!(update, expected);
        local.answer(at(1_500 * sequence), &ServerAnswer::Silent);
    }
    assert!(local.is_ready());
}

/// Guards against a service other than that of the VM which replaces the server there, and against a
/// server of such a service that is never used.
#[test]
fn service_of_another_vm_counts_as_much_as_its_own() {
    let mut local = local_server();
    let mut foreign = ready("i-1", 9, 1);
    foreign.server.service = crate::fixture::service("book");
    receive(&mut local, at(0), &ready("i-1", 5, 1), "i-1");
    receive(&mut local, at(10), &foreign, "i-1");
    assert_eq!(current(&local), ("i-1", 5));
    // The address has passed to a server of that service.
    foreign.server.id = id("i-2");
    receive(&mut local, at(20), &foreign, "i-2");
    assert_eq!(current(&local), ("i-2", 9));
    // The VM's own service needs no later start.
    receive(&mut local, at(30), &ready("i-2", 8, 1), "i-2");
    assert_eq!(current(&local), ("i-2", 8));
}

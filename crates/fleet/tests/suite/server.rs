//! Late, repeated and reordered messages about the backend server.

use shallottack_fleet::{LeaveNotice, LocalServer, ServerAnswer, ServerState, ServerUpdate, Stay};

use crate::fixture::{at, beat, id, local_server, ms, receive, service};

/// Guards against a delayed heartbeat that reopens a draining backend server.
#[test]
fn draining_lasts_for_the_incarnation() {
    let mut local = local_server();
    assert_eq!(
        receive(&mut local, at(0), &beat("i-1", 5, 1, ServerState::Ready), "i-1"),
        ServerUpdate::Changed
    );
    assert_eq!(
        receive(&mut local, at(10), &beat("i-1", 5, 3, ServerState::Draining), "i-1"),
        ServerUpdate::Changed
    );
    assert_eq!(
        receive(&mut local, at(20), &beat("i-1", 5, 2, ServerState::Ready), "i-1"),
        ServerUpdate::Stale
    );
    assert_eq!(
        receive(&mut local, at(30), &beat("i-1", 5, 4, ServerState::Ready), "i-1"),
        ServerUpdate::Unchanged
    );
    assert!(!local.is_ready());
}

/// Guards against a heartbeat of an earlier incarnation that replaces the current one.
#[test]
fn earlier_incarnation_changes_nothing() {
    let mut local = local_server();
    receive(&mut local, at(0), &beat("i-2", 9, 1, ServerState::Ready), "i-2");
    assert_eq!(
        receive(&mut local, at(5), &beat("i-1", 5, 7, ServerState::Draining), "i-2"),
        ServerUpdate::Unchanged
    );
    assert_eq!(local.server().unwrap().id, id("i-2"));
    assert!(local.is_ready());
}

/// Guards against a restarted backend server that is taken for its earlier incarnation.
#[test]
fn later_incarnation_of_the_same_identifier_starts_afresh() {
    let mut local = local_server();
    receive(&mut local, at(0), &beat("i-1", 5, 9, ServerState::Draining), "i-1");
    assert_eq!(
        receive(&mut local, at(5), &beat("i-1", 6, 1, ServerState::Ready), "i-1"),
        ServerUpdate::Changed
    );
    assert!(local.is_ready());
}

/// Guards against a heartbeat that was sent before the leave notice and arrives after it.
#[test]
fn server_that_left_stays_gone() {
    let mut local = local_server();
    receive(&mut local, at(0), &beat("i-1", 5, 1, ServerState::Ready), "i-1");
    assert_eq!(local.leave(at(1), &id("i-1"), Some(5)), ServerUpdate::Changed);
    assert_eq!(
        receive(&mut local, at(2), &beat("i-1", 5, 2, ServerState::Ready), "i-1"),
        ServerUpdate::Stale
    );
    assert!(!local.is_ready());
}

/// Guards against a daemon that starts between a leave notice and a delayed heartbeat: it
/// acknowledged the leave notice of an unknown backend server, and must not send to it afterwards.
#[test]
fn server_that_left_before_its_first_heartbeat_stays_gone() {
    // Without a stated start, a later incarnation may have the identifier; it goes on running.
    for (started_ms, expected) in [(Some(5), ServerUpdate::Stale), (None, ServerUpdate::Unchanged)]
    {
        let mut local = local_server();
        local.leave(at(0), &id("i-1"), started_ms);
        let late = beat("i-1", 5, 7, ServerState::Ready);
        assert_eq!(receive(&mut local, at(1_300), &late, "i-1"), expected);
        assert!(!local.is_ready(), "started_ms {started_ms:?}");
        assert_eq!(
            receive(&mut local, at(9_000), &beat("i-1", 6, 1, ServerState::Ready), "i-1"),
            ServerUpdate::Changed
        );
        assert!(local.is_ready());
    }
}

/// Guards against the leave notice of a replaced backend server that closes its successor.
#[test]
fn leave_of_another_server_changes_nothing() {
    let mut local = local_server();
    receive(&mut local, at(0), &beat("i-2", 9, 1, ServerState::Ready), "i-2");
    local.leave(at(1), &id("i-1"), Some(5));
    assert!(local.is_ready());
}

/// Guards against a leave notice that came before any heartbeat and is replaced by another one, which
/// this daemon received or another daemon remembers.
#[test]
fn remembered_leave_replaces_a_later_one() {
    let notice = |server: &str, started_ms| LeaveNotice { id: id(server), started_ms };
    let mut local = local_server();
    local.leave(at(0), &id("i-2"), Some(9));
    local.restore_leave(at(1), &notice("i-1", Some(5)));
    local.restore_leave(at(2), &notice("i-3", Some(12)));
    local.leave(at(3), &id("i-4"), None);
    local.restore_leave(at(4), &notice("i-3", Some(12)));
    let kept: Vec<LeaveNotice> = local.leaves().cloned().collect();
    let expected = [("i-2", Some(9)), ("i-1", Some(5)), ("i-3", Some(12)), ("i-4", None)];
    assert_eq!(kept, expected.map(|(server, started_ms)| notice(server, started_ms)));
    for (server, started_ms) in [("i-2", 9), ("i-1", 5), ("i-3", 12), ("i-4", 5)] {
        let late = beat(server, started_ms, 7, ServerState::Ready);
        receive(&mut local, at(10), &late, server);
        assert!(!local.is_ready(), "{server}");
    }
}

/// Guards against a late heartbeat that brings back a server whose leave another daemon remembers, and
/// against a remembered leave that ends a later incarnation.
#[test]
fn remembered_leave_is_forgotten_or_taken_for_a_later_one() {
    let notice = LeaveNotice { id: id("i-1"), started_ms: Some(5) };
    let mut local = local_server();
    assert_eq!(local.restore_leave(at(0), &notice), ServerUpdate::Stale);
    assert_eq!(
        receive(&mut local, at(1), &beat("i-1", 5, 1, ServerState::Ready), "i-1"),
        ServerUpdate::Stale
    );
    assert_eq!(
        receive(&mut local, at(2), &beat("i-1", 6, 1, ServerState::Ready), "i-1"),
        ServerUpdate::Changed
    );
    local.restore_leave(at(3), &notice);
    assert!(local.is_ready());
}

/// Returns the state of a VM whose daemon starts beside a backend server that started before.
fn restarted() -> LocalServer {
    LocalServer::new(at(0), 1_000, service("stock"), ms(1_500))
}

/// Guards against a late heartbeat that brings back a server whose leave all daemons have forgotten:
/// the server says that it is leaving, or the heartbeat comes alone long after the start.
#[test]
fn forgotten_leave_is_undone_by_a_late_heartbeat() {
    let late = beat("i-1", 5, 7, ServerState::Ready);
    for (time, stay) in [(100, Stay::Leaves), (100, Stay::Unclear), (3_000, Stay::Stays)] {
        let mut local = restarted();
        assert_eq!(local.heartbeat(at(time), &late), ServerUpdate::Unconfirmed);
        local.answer(at(time), &ServerAnswer::Named(id("i-1"), stay));
        assert!(!local.is_ready(), "{stay:?} after {time} ms");
    }
}

/// Guards against a server that is kept out for good since its daemon was restarted: what is said of it
/// is not certain, and it goes on sending heartbeats.
#[test]
fn sound_server_is_kept_out_after_a_restart() {
    let states = [(100, Stay::Stays, 1), (100, Stay::Unclear, 2), (3_000, Stay::Stays, 2)];
    for (first, stay, needed) in states {
        let mut local = restarted();
        for sequence in 1..=needed {
            assert!(!local.is_ready());
            let now = at(first + 1_500 * (sequence - 1));
            let update = local.heartbeat(now, &beat("i-1", 5, sequence, ServerState::Ready));
            if update == ServerUpdate::Unconfirmed {
                local.answer(now, &ServerAnswer::Named(id("i-1"), stay));
            }
        }
        assert!(local.is_ready(), "{stay:?} after {first} ms");
    }
}

/// Guards against a server that started after its daemon and waits for a second heartbeat, although no
/// earlier daemon can have acknowledged its leave.
#[test]
fn new_server_waits_for_a_second_heartbeat() {
    let mut local = restarted();
    receive(&mut local, at(9_000), &beat("i-1", 9_500, 1, ServerState::Ready), "i-1");
    assert!(local.is_ready());
}

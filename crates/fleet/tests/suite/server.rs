//! Late, repeated and out-of-order news of the backend server.

use shallottack_fleet::{LocalServer, ServerState, ServerUpdate};

use crate::fixture::{at, beat, id};

/// Guards against a late heartbeat that brings a leaving backend server back.
#[test]
fn draining_lasts_for_the_incarnation() {
    let mut local = LocalServer::default();
    assert_eq!(
        local.heartbeat(at(0), &beat("i-1", 5, 1, ServerState::Ready)),
        ServerUpdate::Changed
    );
    assert_eq!(
        local.heartbeat(at(10), &beat("i-1", 5, 3, ServerState::Draining)),
        ServerUpdate::Changed
    );
    assert_eq!(
        local.heartbeat(at(20), &beat("i-1", 5, 2, ServerState::Ready)),
        ServerUpdate::Stale
    );
    assert_eq!(
        local.heartbeat(at(30), &beat("i-1", 5, 4, ServerState::Ready)),
        ServerUpdate::Unchanged
    );
    assert!(!local.is_ready());
}

/// Guards against a heartbeat of an earlier incarnation that replaces the present one.
#[test]
fn earlier_incarnation_changes_nothing() {
    let mut local = LocalServer::default();
    local.heartbeat(at(0), &beat("i-2", 9, 1, ServerState::Ready));
    assert_eq!(
        local.heartbeat(at(5), &beat("i-1", 5, 7, ServerState::Draining)),
        ServerUpdate::Stale
    );
    assert_eq!(local.server().unwrap().id, id("i-2"));
    assert!(local.is_ready());
}

/// Guards against a server that started again under its identifier being taken for the old one.
#[test]
fn later_incarnation_of_the_same_identifier_starts_anew() {
    let mut local = LocalServer::default();
    local.heartbeat(at(0), &beat("i-1", 5, 9, ServerState::Draining));
    assert_eq!(
        local.heartbeat(at(5), &beat("i-1", 6, 1, ServerState::Ready)),
        ServerUpdate::Changed
    );
    assert!(local.is_ready());
}

/// Guards against a heartbeat that was sent before the leave and arrives after it.
#[test]
fn server_that_left_stays_away() {
    let mut local = LocalServer::default();
    local.heartbeat(at(0), &beat("i-1", 5, 1, ServerState::Ready));
    assert_eq!(local.leave(at(1), &id("i-1"), Some(5)), ServerUpdate::Changed);
    assert_eq!(local.heartbeat(at(2), &beat("i-1", 5, 2, ServerState::Ready)), ServerUpdate::Stale);
    assert!(!local.is_ready());
}

/// Guards against a daemon that starts between the leave and a late heartbeat: it acknowledged the
/// leave of a server that it had not heard of, and must not send to it afterwards.
#[test]
fn server_that_left_before_its_first_heartbeat_stays_away() {
    for born in [Some(5), None] {
        let mut local = LocalServer::default();
        local.leave(at(0), &id("i-1"), born);
        assert_eq!(
            local.heartbeat(at(1_300), &beat("i-1", 5, 7, ServerState::Ready)),
            ServerUpdate::Stale
        );
        assert!(!local.is_ready(), "born {born:?}");
        assert_eq!(
            local.heartbeat(at(9_000), &beat("i-1", 6, 1, ServerState::Ready)),
            ServerUpdate::Changed
        );
        assert!(local.is_ready());
    }
}

/// Guards against the leave of a replaced server closing its successor.
#[test]
fn leave_of_another_server_changes_nothing() {
    let mut local = LocalServer::default();
    local.heartbeat(at(0), &beat("i-2", 9, 1, ServerState::Ready));
    local.leave(at(1), &id("i-1"), Some(5));
    assert!(local.is_ready());
}

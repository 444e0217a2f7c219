//! Requests that crash backend servers, told apart from those that run while servers crash.

use std::time::Duration;

use shallottack_fleet::{Blocklist, Crash, Finding, Member, RequestKey, Standing, Verdict};
use smallvec::SmallVec;

use crate::fixture::{id, member, service};

const DEADLY: RequestKey = RequestKey(7);
/// Unix time in milliseconds.
const START: u64 = 1_000_000_000_000;
const MINUTE: u64 = 60_000;
/// Time in milliseconds after which the repeats of a request that was cut are over.
const APART: u64 = 2_500;

fn crash(at_ms: u64, requests: &[u64]) -> Crash {
    let requests = requests.iter().map(|it| RequestKey(*it)).collect();
    Crash { at_ms, service: service("stock"), completions: 100, requests }
}

/// Records crashes on VMs of their own, [`APART`] from each other, and returns the verdicts.
fn record(list: &mut Blocklist, from_ms: u64, crashes: &[&[u64]]) -> Vec<(RequestKey, Finding)> {
    record_every(APART, list, from_ms, crashes)
}

fn record_every(
    step: u64,
    list: &mut Blocklist,
    from_ms: u64,
    crashes: &[&[u64]],
) -> Vec<(RequestKey, Finding)> {
    let mut verdicts = Vec::new();
    for (number, requests) in crashes.iter().enumerate() {
        let at_ms = from_ms + step * number as u64;
        let vm = id(&format!("vm-{number}"));
        let new = list.record_crash(at_ms, &vm, &crash(at_ms, requests));
        verdicts.extend(new.into_iter().map(|it| (it.key, it.finding)));
    }
    verdicts
}

/// Guards against a request that goes on crashing servers, and against one that is blamed for being
/// in progress beside it.
#[test]
fn request_common_to_three_crashes_is_blocked() {
    let mut list = Blocklist::default();
    assert!(record(&mut list, START, &[&[1, 7, 2], &[7, 1, 3]]).is_empty());
    let third = START + 2 * APART;
    assert_eq!(record(&mut list, third, &[&[4, 7]]), [(DEADLY, Finding::Blocked)]);
    assert!(list.blocked(third, DEADLY).is_some());
    assert_eq!(list.blocked(third, RequestKey(1)), None);
}

/// Guards against a sound request that is blamed since it is repeated at one server after the other
/// while they crash, and against a burst that shows nothing however long it is.
#[test]
fn burst_of_crashes_is_weak_evidence() {
    let first = [1, 7, 2, 11, 12, 13, 14, 15];
    let crashes: [&[u64]; 6] = [&first, &[7, 1, 3], &[7, 1], &[7, 4], &[5, 7], &[6, 7]];
    let mut list = Blocklist::default();
    assert!(record_every(100, &mut list, START, &crashes[..5]).is_empty());
    assert_eq!(record_every(100, &mut list, START + 500, &crashes[5..]).len(), 1);
    let mut list = Blocklist::default();
    assert!(record_every(100, &mut list, START, &crashes[..4]).is_empty());
    assert_eq!(record(&mut list, START + 4_000, &crashes[5..]).len(), 1);
}

/// Guards against a sound request that is blamed since its caller repeats it together with the one
/// that crashes servers.
#[test]
fn companion_is_not_blocked() {
    let mut list = Blocklist::default();
    assert!(record(&mut list, START, &[&[1, 7], &[7, 1], &[1, 7], &[7, 1]]).is_empty());
    let verdicts = record(&mut list, START + 4 * APART, &[&[7, 5], &[7, 1]]);
    assert_eq!(verdicts[0], (DEADLY, Finding::Blocked));
    assert!(verdicts.iter().all(|it| it.0 == DEADLY), "{verdicts:?}");
}

/// Guards against requests that hide each other when two of them crash servers at the same time.
#[test]
fn two_requests_that_crash_servers_are_blocked() {
    let mut list = Blocklist::default();
    let crashes: [&[u64]; 6] = [&[7, 1], &[8, 2], &[7, 3], &[8, 4], &[7, 5], &[8, 6]];
    let blocked: Vec<RequestKey> =
        record(&mut list, START, &crashes).into_iter().map(|it| it.0).collect();
    assert_eq!(blocked, [DEADLY, RequestKey(8)]);
}

/// Guards against one crash that counts several times, since many daemons pass its report on.
#[test]
fn repeated_reports_count_once() {
    let mut list = Blocklist::default();
    for now_ms in [START, START + 5, START + 9] {
        assert!(list.record_crash(now_ms, &id("vm-1"), &crash(START, &[7])).is_empty());
    }
    assert_eq!(list.blocked(START + 9, DEADLY), None);
}

/// Guards against reports that count although they are old, or come from a clock that is far ahead.
#[test]
fn old_and_future_reports_are_ignored() {
    let mut list = Blocklist::default();
    for number in 0..5 {
        let vm = id(&format!("vm-{number}"));
        let old = crash(START - 11 * MINUTE, &[7]);
        assert!(list.record_crash(START, &vm, &old).is_empty());
        let future = crash(u64::MAX - number, &[7]);
        assert!(list.record_crash(START, &vm, &future).is_empty());
        let verdict = Verdict {
            key: DEADLY,
            service: service("stock"),
            at_ms: u64::MAX,
            finding: Finding::Blocked,
            trials: 0,
        };
        assert!(!list.record_verdict(START, &verdict));
    }
    assert_eq!(list.blocked(START, DEADLY), None);
}

/// Guards against a request that is held responsible for crashes although it ran to its end later.
#[test]
fn completed_run_clears_a_request() {
    let mut list = Blocklist::default();
    record(&mut list, START, &[&[7], &[7, 1]]);
    let now_ms = START + 3 * APART;
    let cleared = list.record_completion(now_ms, DEADLY).expect("others know two crashes");
    assert!(record(&mut list, now_ms + 10, &[&[7], &[7, 1]]).is_empty());
    let mut other = Blocklist::default();
    record(&mut other, START, &[&[7], &[7], &[7]]);
    assert!(other.blocked(now_ms, DEADLY).is_some());
    assert!(other.record_verdict(now_ms, &cleared));
    assert_eq!(other.blocked(now_ms, DEADLY), None);
    assert!(!other.record_verdict(now_ms, &cleared));
}

/// Guards against a request that is blocked for ever, or that crashes servers often while it is
/// tried again.
#[test]
fn blocked_request_is_tried_again_ever_later() {
    let mut list = Blocklist::default();
    record(&mut list, START, &[&[7, 1], &[7, 2], &[7, 3]]);
    let mut now_ms = START + 2 * APART;
    let mut waits = Vec::new();
    for trial in 0..5 {
        let wait = list.blocked(now_ms, DEADLY).expect("it crashed a server just now");
        waits.push(wait.as_secs() / 60);
        now_ms += wait.as_millis() as u64;
        assert_eq!(list.blocked(now_ms, DEADLY), None);
        let vm = id(&format!("vm-{trial}"));
        list.record_crash(now_ms + 1, &vm, &crash(now_ms + 1, &[7]));
        list.record_crash(now_ms + 2, &id("vm-9"), &crash(now_ms + 2, &[7]));
        now_ms += 2;
    }
    insta::assert_compact_debug_snapshot!(waits);
}

/// Guards against copies of a request that crash several servers at once while it is not blocked, and
/// against a suspicion that never ends.
#[test]
fn suspect_rests_and_is_tried_at_one_server() {
    let mut list = Blocklist::default();
    record_every(100, &mut list, START, &[&[7, 7, 1], &[7, 1]]);
    let last = START + 100;
    assert_eq!(list.standing(last, RequestKey(1)), Standing::Free);
    let wait = Duration::from_millis(1_500);
    assert_eq!(list.standing(last + 500, DEADLY), Standing::Wait(wait));
    assert_eq!(list.standing(last + 2_000, DEADLY), Standing::Trial);
    assert_eq!(list.standing(last + 11 * MINUTE, DEADLY), Standing::Free);
    list.record_completion(last + 2_100, DEADLY);
    assert_eq!(list.standing(last + 2_100, DEADLY), Standing::Free);
}

/// Guards against a daemon that judges the same requests without end when it remembers no more
/// verdicts.
#[test]
fn full_list_is_judged_without_end() {
    let mut list = Blocklist::default();
    let now_ms = START + 10 * APART;
    for key in 1_000..1_256 {
        let verdict = Verdict {
            key: RequestKey(key),
            service: service("stock"),
            at_ms: now_ms,
            finding: Finding::Blocked,
            trials: 0,
        };
        assert!(list.record_verdict(now_ms, &verdict));
    }
    let crashes: [&[u64]; 6] = [&[7, 1], &[8, 2], &[7, 3], &[8, 4], &[7, 5], &[8, 6]];
    for (number, requests) in crashes.iter().enumerate() {
        let crash = crash(START + number as u64 * APART, requests);
        list.record_crash(now_ms, &id(&format!("vm-{number}")), &crash);
    }
    assert_eq!(list.blocked_count(now_ms), 256);
}

/// Guards against daemons that believe different things, whatever the order of what they receive.
#[test]
fn restarted_daemon_learns_from_descriptions() {
    let mut list = Blocklist::default();
    record(&mut list, START, &[&[7, 1], &[7, 2], &[7, 3]]);
    let described = Member { verdicts: list.verdicts(&service("stock")), ..member("vm-1", "a", 1) };
    let mut restarted = Blocklist::default();
    assert_eq!(restarted.record_member(START + 4 * APART, &described).len(), 1);
    assert_eq!(
        restarted.blocked(START + 4 * APART, DEADLY),
        list.blocked(START + 4 * APART, DEADLY)
    );
    let crashes = (0..3).map(|it| crash(START + it * APART, &[7, 10 + it]));
    let described: Vec<Member> = crashes
        .enumerate()
        .map(|(number, it)| Member {
            crashes: SmallVec::from_iter([it]),
            ..member(&format!("vm-{number}"), "a", 1)
        })
        .collect();
    let mut cut_off = Blocklist::default();
    described.iter().rev().for_each(|it| drop(cut_off.record_member(START + 4 * APART, it)));
    assert_eq!(cut_off.blocked(START + 4 * APART, DEADLY), list.blocked(START + 4 * APART, DEADLY));
}

/// Guards against memory that grows with the number of different requests, and against a flood of
/// them that ends a block.
#[test]
fn flood_of_requests_ends_no_block() {
    let mut list = Blocklist::default();
    record(&mut list, START, &[&[7, 1], &[7, 2], &[7, 3]]);
    let first = START + 3 * APART;
    for number in 1_000..1_600 {
        let at_ms = first + number;
        let requests: Vec<u64> = (0..100).map(|it| number * 100 + it).collect();
        list.record_crash(at_ms, &id("vm-1"), &crash(at_ms, &requests));
        let cleared = Verdict {
            key: RequestKey(number),
            service: service("stock"),
            at_ms,
            finding: Finding::Cleared,
            trials: 0,
        };
        list.record_verdict(at_ms, &cleared);
    }
    assert!(list.blocked(first + 1_600, DEADLY).is_some());
    let described = list.verdicts(&service("stock"));
    assert_eq!((described.len(), described[0].key), (32, DEADLY));
}

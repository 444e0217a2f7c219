//! Choice of backend servers under uneven load, refusals and lost daemons.

use shallottack_fleet::{
    Choice, Load, LoadReport, Member, Next, Outcome, Placement, PlacementRequest,
    PlacementSettings, RetryBudget, RetryBudgetSettings, SendHistory, VersionFilter,
};
use shallottack_kernel::{DataCentre, ErrorKind};

use crate::fixture::{ask, at, group, id, member, ms, rng};

fn placement(vms: &[(&str, &str)]) -> Placement {
    let budget = RetryBudget::new(RetryBudgetSettings {
        ratio: 0.2,
        extra: 60.0,
        window: ms(10_000),
        usable_share: 1.0,
    });
    let here = DataCentre::new("a").unwrap();
    let mut placement = Placement::new(PlacementSettings::default(), id("me"), here, budget);
    for (vm, data_centre) in vms {
        placement.set_member(at(0), &member(vm, data_centre, 1));
        placement.record_load(at(0), &id(vm), load(0, 0));
    }
    placement.count_request(at(0), &ask(at(0)).service);
    placement
}

fn load(running: u32, queued: u32) -> Load {
    Load { running, queued, limit: 4, elapsed_permille: 0 }
}

fn chosen(choice: &Choice) -> &str {
    match choice {
        Choice::Send { vm, .. } => vm.as_str(),
        Choice::Reject { .. } => "-",
    }
}

fn choose(placement: &mut Placement, ask: &PlacementRequest, attempt: &mut SendHistory) -> Choice {
    placement.choose(at(1), &mut rng(1), ask, attempt)
}

/// Guards against bytes between data centres while the own one has free slots.
#[test]
fn own_data_centre_is_preferred() {
    let mut placement = placement(&[("b1", "b"), ("a1", "a"), ("b2", "b")]);
    let choice = choose(&mut placement, &ask(at(0)), &mut SendHistory::default());
    assert_eq!(chosen(&choice), "a1");
}

/// Guards against a queue at one data centre while another one has free slots.
#[test]
fn busy_data_centre_is_left() {
    let mut placement = placement(&[("a1", "a"), ("b1", "b")]);
    placement.record_load(at(1), &id("a1"), load(4, 4));
    let choice = choose(&mut placement, &ask(at(0)), &mut SendHistory::default());
    assert_eq!(chosen(&choice), "b1");
}

/// Guards against requests that are sent around although every backend server is known to be full.
#[test]
fn request_is_rejected_at_once_when_all_are_full() {
    let mut placement = placement(&[("a1", "a"), ("b1", "b")]);
    placement.record_load(at(1), &id("a1"), load(4, 40));
    placement.record_load(at(1), &id("b1"), load(4, 40));
    let choice = choose(&mut placement, &ask(at(0)), &mut SendHistory::default());
    let Choice::Reject { kind, retry_after } = choice else { panic!("{choice:?}") };
    assert_eq!(kind, ErrorKind::Overloaded);
    assert!(retry_after >= ms(50) && retry_after <= ms(1_000), "{retry_after:?}");
}

/// Guards against a full report that keeps a backend server out for ever.
#[test]
fn old_report_counts_for_nothing() {
    let mut placement = placement(&[("a1", "a")]);
    placement.record_load(at(0), &id("a1"), load(4, 40));
    let mut attempt = SendHistory::default();
    let late = at(600);
    let choice = placement.choose(late, &mut rng(1), &ask(late), &mut attempt);
    assert_eq!(chosen(&choice), "a1");
}

/// Guards against a second run of a request that must run at most once, whatever happened to it.
#[test]
fn unsafe_request_is_never_sent_after_it_may_have_run() {
    for outcome in [Outcome::Cut, Outcome::Broken, Outcome::TimedOut { ran: true }] {
        let mut placement = placement(&[("a1", "a"), ("a2", "a")]);
        let ask = PlacementRequest { idempotent: false, ..ask(at(0)) };
        let mut attempt = SendHistory::default();
        let choice = choose(&mut placement, &ask, &mut attempt);
        let vm = id(chosen(&choice));
        let next = placement.finish_send(at(2), &mut rng(1), &ask, &mut attempt, &vm, outcome);
        let Next::Fail { kind, .. } = next else { panic!("{outcome:?}: {next:?}") };
        // 429 and 503 state that the request did not run.
        assert!(!matches!(kind.answer().status, 429 | 503), "{outcome:?}: {kind}");
    }
}

/// Guards against a refusal that says not run after an earlier backend server may have run it.
#[test]
fn refusal_after_a_run_does_not_say_not_run() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a")]);
    let ask = ask(at(0));
    let mut attempt = SendHistory::default();
    let first = id(chosen(&choose(&mut placement, &ask, &mut attempt)));
    let next =
        placement.finish_send(at(2), &mut rng(1), &ask, &mut attempt, &first, Outcome::Broken);
    assert_eq!(next, Next::Retry);
    let second = id(chosen(&choose(&mut placement, &ask, &mut attempt)));
    assert_ne!(first, second);
    let refused = Outcome::Refused { kind: ErrorKind::Overloaded, retry_after: ms(10) };
    let late = at(2_000);
    let next = placement.finish_send(late, &mut rng(1), &ask, &mut attempt, &second, refused);
    let Next::Fail { kind, .. } = next else { panic!("{next:?}") };
    assert_eq!(kind, ErrorKind::OutcomeUnknown);
}

/// Guards against more backend servers for one request than its route allows.
#[test]
fn attempts_of_the_route_are_kept() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a"), ("a3", "a"), ("a4", "a")]);
    let ask = ask(at(0));
    let mut attempt = SendHistory::default();
    let mut sends = 0;
    loop {
        let choice = choose(&mut placement, &ask, &mut attempt);
        let vm = id(chosen(&choice));
        sends += 1;
        let next =
            placement.finish_send(at(2), &mut rng(1), &ask, &mut attempt, &vm, Outcome::Shed);
        if next != Next::Retry {
            break;
        }
    }
    assert_eq!(sends, ask.attempts);
}

/// Guards against requests that wait on a VM that does not answer.
#[test]
fn lost_daemon_is_left_out_until_it_answers() {
    let mut placement = placement(&[("a1", "a"), ("b1", "b")]);
    assert!(placement.mark_unreachable(at(1), &id("a1")));
    let choice = choose(&mut placement, &ask(at(0)), &mut SendHistory::default());
    assert_eq!(chosen(&choice), "b1");
    assert!(placement.record_load(at(1), &id("a1"), load(0, 0)));
    let choice = choose(&mut placement, &ask(at(0)), &mut SendHistory::default());
    assert_eq!(chosen(&choice), "a1");
}

/// Guards against a backend server that fails often and keeps its full share.
#[test]
fn failing_backend_server_gets_less() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a")]);
    let ask = PlacementRequest { idempotent: false, ..ask(at(0)) };
    let mut rng = rng(3);
    let mut counts = [0, 0];
    for _ in 0..200 {
        let mut attempt = SendHistory::default();
        let choice = placement.choose(at(1), &mut rng, &ask, &mut attempt);
        let vm = id(chosen(&choice));
        let failing = vm == id("a1");
        counts[usize::from(failing)] += 1;
        let run = ms(20);
        let outcome =
            if failing { Outcome::Shed } else { Outcome::Answered { status: 200, run, bytes: 9 } };
        placement.finish_send(at(1), &mut rng, &ask, &mut attempt, &vm, outcome);
        placement.record_load(at(1), &vm, load(0, 0));
    }
    assert!(counts[1] * 5 < counts[0], "{counts:?}");
}

/// Guards against a slow daemon that asks all others again at every look, before they can answer,
/// and so never catches up.
#[test]
fn daemon_is_not_asked_again_while_it_may_still_answer() {
    let mut placement = placement(&[("vm-1", "a")]);
    let vm = id("vm-1");
    assert!(placement.probe_due(at(1_000), &vm, ms(1_000)));
    assert!(!placement.probe_due(at(1_250), &vm, ms(1_000)));
    placement.record_load(at(1_300), &vm, load(0, 0));
    assert!(!placement.probe_due(at(1_500), &vm, ms(1_000)));
    assert!(placement.probe_due(at(2_300), &vm, ms(1_000)));
    assert!(placement.probe_due(at(4_300), &vm, ms(1_000)), "a lost answer blocks for ever");
}

/// Guards against a choice by an old load while another daemon has heard a younger one. Replays a
/// burst of other callers that this daemon sees nothing of.
#[test]
fn load_that_another_daemon_heard_decides() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a")]);
    let busy = LoadReport { vm: id("a1"), load: load(4, 4), age_ms: 100 };
    placement.record_report(at(2_000), &busy);
    let free = LoadReport { vm: id("a2"), load: load(0, 0), age_ms: 100 };
    placement.record_report(at(2_000), &free);
    for _ in 0..3 {
        let mut attempt = SendHistory::default();
        let choice = placement.choose(at(2_000), &mut rng(1), &ask(at(2_000)), &mut attempt);
        assert_eq!(chosen(&choice), "a2");
    }
    // One that is older than what is known changes nothing.
    let late = LoadReport { vm: id("a1"), load: load(0, 0), age_ms: 900 };
    placement.record_report(at(2_100), &late);
    let choice =
        placement.choose(at(2_100), &mut rng(1), &ask(at(2_100)), &mut SendHistory::default());
    assert_eq!(chosen(&choice), "a2");
}

/// Guards against loads that are passed on although their time has passed, and against a daemon
/// that is told of its own load.
#[test]
fn young_loads_are_passed_on() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a"), ("a3", "a")]);
    placement.record_load(at(1_000), &id("a2"), load(2, 0));
    placement.record_load(at(1_500), &id("a3"), load(3, 0));
    let reports = placement.recent_reports(at(1_600), ms(700), 24);
    let passed: Vec<_> = reports.iter().map(|it| (it.vm.as_str(), it.age_ms)).collect();
    assert_eq!(passed, [("a3", 100), ("a2", 600)]);
    assert_eq!(placement.recent_reports(at(1_600), ms(700), 1).len(), 1);
}

/// Guards against large responses from a VM with a slow link while another one has a fast link.
#[test]
fn large_responses_come_over_fast_links() {
    let mut placement = placement(&[]);
    let ask = ask(at(0));
    for (vm, link_kbps) in [("a1", 10_000), ("a2", 200_000)] {
        placement.set_member(at(0), &Member { link_kbps, ..member(vm, "a", 1) });
        placement.record_load(at(0), &id(vm), load(0, 0));
    }
    let large = Outcome::Answered { status: 200, run: ms(50), bytes: 400 * 1_024 };
    for now in 0..40 {
        let mut attempt = SendHistory::default();
        let vm = id(chosen(&placement.choose(at(now), &mut rng(now), &ask, &mut attempt)));
        placement.finish_send(at(now), &mut rng(1), &ask, &mut attempt, &vm, large);
        placement.record_load(at(now), &vm, load(0, 0));
        assert!(now == 0 || vm == id("a2"), "{vm} at {now}");
    }
}

/// Guards against requests to a VM whose link is full: replays small answers that wait there behind
/// large ones, and clears the link.
#[test]
fn full_link_is_left_until_it_clears() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a")]);
    (0..4).for_each(|_| placement.record_transit(at(10), &id("a1"), ms(250), 200));
    placement.record_transit(at(10), &id("a2"), ms(2), 200);
    for seed in 0..8 {
        let mut attempt = SendHistory::default();
        let choice = placement.choose(at(20), &mut rng(seed), &ask(at(20)), &mut attempt);
        assert_eq!(chosen(&choice), "a2");
        placement.cancel_send(&id("a2"));
        placement.record_load(at(20), &id("a2"), load(0, 0));
    }
    placement.record_load(at(2_000), &id("a1"), load(0, 0));
    placement.record_load(at(2_000), &id("a2"), load(3, 0));
    let choice =
        placement.choose(at(2_000), &mut rng(1), &ask(at(2_000)), &mut SendHistory::default());
    assert_eq!(chosen(&choice), "a1");
}

/// Guards against a new version whose few requests are spread over all of its backend servers, so
/// that none has the load that it will have in use.
#[test]
fn version_on_trial_runs_at_few_backend_servers() {
    let names: Vec<String> = (0..24).map(|it| format!("vm-{it}")).collect();
    let all: Vec<(&str, &str)> =
        names.iter().enumerate().map(|(it, name)| (name.as_str(), ["a", "b"][it / 12])).collect();
    let mut placement = placement(&all);
    for (vm, data_centre) in all.iter().skip(6).take(12) {
        let mut member = member(vm, data_centre, 2);
        member.server.as_mut().unwrap().group = group("v2");
        placement.set_member(at(0), &member);
    }
    let versions = VersionFilter::Canary { group: group("v2"), fraction: 0.2 };
    let ask = PlacementRequest { versions, ..ask(at(0)) };
    let mut choose = || choose(&mut placement, &ask, &mut SendHistory::default());
    let taken: Vec<String> = (0..10).map(|_| chosen(&choose()).to_owned()).collect();
    // One of the six of the own data centre, until its slots are taken; then the old version.
    let (new, old) = taken.split_at(3);
    assert!(names[6..12].contains(&new[0]) && new.iter().all(|it| *it == new[0]), "{taken:?}");
    assert!(old.iter().all(|it| names[..6].contains(it)), "{taken:?}");
}

/// Guards against a request that is rejected, or fails for good, because the few backend servers of
/// a version on trial have no room or failed it.
#[test]
fn request_goes_on_to_the_old_version() {
    let mut placement = placement(&[("a1", "a"), ("a2", "a"), ("a3", "a")]);
    let mut new = member("a3", "a", 2);
    new.server.as_mut().unwrap().group = group("v2");
    placement.set_member(at(0), &new);
    let versions = VersionFilter::Canary { group: group("v2"), fraction: 1.0 };
    let ask = PlacementRequest { versions, ..ask(at(0)) };
    let mut attempt = SendHistory::default();
    assert_eq!(chosen(&choose(&mut placement, &ask, &mut attempt)), "a3");
    let failed = Outcome::Answered { status: 500, run: ms(50), bytes: 0 };
    let next = placement.finish_send(at(60), &mut rng(1), &ask, &mut attempt, &id("a3"), failed);
    assert_eq!(next, Next::Retry);
    let choice = choose(&mut placement, &ask, &mut attempt);
    assert!(["a1", "a2"].contains(&chosen(&choice)), "{choice:?}");
    placement.record_load(at(61), &id("a3"), load(4, 40));
    let choice = placement.choose(at(61), &mut rng(1), &ask, &mut SendHistory::default());
    assert!(["a1", "a2"].contains(&chosen(&choice)), "{choice:?}");
}

/// Guards against a backend server on trial that gets nearly twice its usual load, and is slow for
/// that reason.
#[test]
fn backend_servers_on_trial_have_about_their_usual_load() {
    let names: Vec<String> = (0..12).map(|it| format!("vm-{it}")).collect();
    let all: Vec<(&str, &str)> = names.iter().map(|it| (it.as_str(), "a")).collect();
    let mut placement = placement(&all);
    for name in &names[6..] {
        let mut member = member(name, "a", 2);
        member.server.as_mut().unwrap().group = group("v2");
        placement.set_member(at(0), &member);
    }
    let versions = VersionFilter::Canary { group: group("v2"), fraction: 0.3 };
    let ask = PlacementRequest { versions, ..ask(at(0)) };
    let mut choose = || choose(&mut placement, &ask, &mut SendHistory::default());
    let mut taken: Vec<String> = (0..12).map(|_| chosen(&choose()).to_owned()).collect();
    taken.retain(|it| names[6..].contains(it));
    taken.sort();
    taken.dedup();
    assert_eq!(taken.len(), 2, "{taken:?}");
}

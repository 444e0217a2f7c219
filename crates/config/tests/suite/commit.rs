//! Tests of submitting changes.

use shallottack_config::{
    Kind, MAX_CHANGE_BYTES, ResourceKey, Version,
    commit::{Accepted, Outcome, Request, Step, raise_epoch},
};
use shallottack_kernel::{ErrorKind, Failure};

use crate::platform::{Platform, change, class, request, route, service};

fn accepted(step: &Step) -> Version {
    match step {
        Step::Done(Accepted { version, dry_run: false }) => *version,
        other => panic!("not accepted: {other:?}"),
    }
}

fn failure(step: Step) -> Failure {
    match step {
        Step::Failed(failure) => failure,
        other => panic!("not failed: {other:?}"),
    }
}

fn outage(step: &Step) -> Outcome {
    match step {
        Step::Wait(_) => Outcome::Waited,
        _ => Outcome::Unavailable("outage".into()),
    }
}

fn at(seq: u64) -> Version {
    Version { epoch: 0, seq }
}

/// Creates a platform with a class, two services and a route, at version 0.1.
fn platform() -> Platform {
    let mut platform = Platform::default();
    let first = [
        class("browse"),
        service("garden-book", "v1"),
        service("sponsor-desk", "v1"),
        route("garden", "browse", "garden-book"),
    ];
    let step = platform.run(request(change("first", Version::ZERO, &first, &[])));
    assert_eq!(accepted(&step), at(1));
    platform
}

/// Guards against a daemon that cannot commit to a table without a head row.
#[test]
fn first_change_creates_the_head_row() {
    let platform = platform();
    assert_eq!(platform.version(), at(1));
    assert!(platform.catalog().contains(&ResourceKey::new(Kind::Route, "garden")));
}

/// Guards against a change being applied again when an operator repeats it.
#[test]
fn unchanged_repeat_is_accepted_with_the_same_version() {
    let mut platform = platform();
    let again = change("second", at(1), &[service("garden-book", "v2")], &[]);
    assert_eq!(accepted(&platform.run(request(again.clone()))), at(2));
    platform.run(request(change("third", at(2), &[service("garden-book", "v3")], &[])));
    assert_eq!(accepted(&platform.run(request(again))), at(2));
    assert_eq!(platform.version(), at(3));
}

/// Guards against a different change under a used id being reported as accepted.
#[test]
fn changed_repeat_is_refused() {
    let mut platform = platform();
    let step = platform.run(request(change("first", at(1), &[service("garden-book", "v2")], &[])));
    assert_eq!(failure(step).kind, ErrorKind::KeyReused);
}

/// Guards against a change that took effect being reported as not applied, or applied twice.
#[test]
fn lost_answer_is_recognised_by_the_id() {
    let mut platform = platform();
    let mut lost = false;
    let step = platform.run_with(
        request(change("second", at(1), &[service("garden-book", "v2")], &[])),
        |platform, step| match (step, platform.answer(step)) {
            (Step::Transact(_), Outcome::Committed) if !std::mem::replace(&mut lost, true) => {
                Outcome::Unknown("answer lost".into())
            }
            (_, outcome) => outcome,
        },
    );
    assert_eq!(accepted(&step), at(2));
    assert_eq!(platform.version(), at(2));
}

/// Guards against a change being reported as not applied while its transaction may still take
/// effect.
#[test]
fn unknown_outcome_is_not_reported_as_not_applied() {
    let mut platform = platform();
    let second = request(change("second", at(1), &[service("garden-book", "v2")], &[]));
    let step = platform.run_with(second.clone(), |platform, step| match step {
        Step::Transact(_) => Outcome::Unknown("answer lost".into()),
        _ => platform.answer(step),
    });
    assert_eq!(failure(step).kind, ErrorKind::OutcomeUnknown);
    let repeat = Request { repeat: true, ..second };
    let step = platform.run_with(repeat, |_, step| outage(step));
    assert_eq!(failure(step).kind, ErrorKind::OutcomeUnknown);
}

/// Guards against a change being reported as accepted while the platform is down.
#[test]
fn outage_applies_nothing() {
    let mut platform = platform();
    let before = platform.clone();
    let second = request(change("second", at(1), &[service("garden-book", "v2")], &[]));
    let step = platform.run_with(second, |_, step| outage(step));
    let failure = failure(step);
    assert_eq!(failure.kind, ErrorKind::PlatformDown);
    assert!(failure.retry_after.is_some());
    assert_eq!(platform, before);
}

/// Guards against a concurrent change of other resources being refused, and against an overlapping
/// one being overwritten.
#[test]
fn disjoint_changes_merge_and_overlapping_ones_conflict() {
    let mut platform = platform();
    let mut raced = false;
    let step = platform.run_with(
        request(change("second", at(1), &[service("garden-book", "v2")], &[])),
        |platform, step| {
            if matches!(step, Step::Transact(_)) && !std::mem::replace(&mut raced, true) {
                let other = change("other", at(1), &[service("sponsor-desk", "v2")], &[]);
                accepted(&platform.run(request(other)));
            }
            platform.answer(step)
        },
    );
    assert_eq!(accepted(&step), at(3));
    let late = change("late", at(1), &[service("sponsor-desk", "v3")], &[]);
    insta::assert_snapshot!(failure(platform.run(request(late))), @"conflict: `service sponsor-desk` was changed by change `other` of operator `lina` in version 0.2");
}

/// Guards against a route that refers to a resource removed by another operator.
#[test]
fn removal_of_a_needed_resource_names_the_other_change() {
    let mut platform = platform();
    let gone = [ResourceKey::new(Kind::Service, "sponsor-desk")];
    accepted(&platform.run(request(change("gone", at(1), &[], &gone))));
    let needs = change("needs", at(1), &[route("sponsors", "browse", "sponsor-desk")], &[]);
    insta::assert_snapshot!(failure(platform.run(request(needs))), @"conflict: conflict with change `gone` of operator `lina` in version 0.2: configuration rejected: route sponsors: service `sponsor-desk` does not exist");
    let gone = [ResourceKey::new(Kind::Class, "browse"), ResourceKey::new(Kind::Class, "none")];
    let step = platform.run(request(change("all", at(2), &[], &gone)));
    insta::assert_snapshot!(failure(step), @"rejected: configuration rejected: class none: does not exist and cannot be removed; route garden: class `browse` does not exist");
}

/// Guards against a change that is too large, invalidly named, empty or contradictory reaching the
/// table.
#[test]
fn malformed_changes_are_refused_without_a_read() {
    let many: Vec<_> =
        (0..MAX_CHANGE_BYTES / 32).map(|i| service(&format!("s{i}"), "v1")).collect();
    let gone = [ResourceKey::new(Kind::Service, "a")];
    let cases = [
        (change("big", at(0), &many, &[]), ErrorKind::TooLarge),
        (change("../head", at(0), &[service("a", "v1")], &[]), ErrorKind::BadRequest),
        (change("", at(0), &[service("a", "v1")], &[]), ErrorKind::BadRequest),
        (change("empty", at(0), &[], &[]), ErrorKind::BadRequest),
        (change("twice", at(0), &[service("a", "v1")], &gone), ErrorKind::Rejected),
    ];
    for (change, kind) in cases {
        let step =
            Platform::default().run_with(request(change), |_, step| panic!("asked {step:?}"));
        assert_eq!(failure(step).kind, kind);
    }
}

/// Guards against a dry run that writes.
#[test]
fn dry_run_writes_nothing() {
    let mut platform = platform();
    let before = platform.clone();
    let second = request(change("second", at(1), &[service("garden-book", "v2")], &[]));
    let step = platform.run(Request { dry_run: true, ..second });
    assert_eq!(step, Step::Done(Accepted { version: at(2), dry_run: true }));
    assert_eq!(platform, before);
}

/// Guards against a version being used twice after the table was restored, and against the loss of
/// an accepted change that a daemon still holds.
#[test]
fn restored_table_takes_changes_only_after_its_epoch_is_raised() {
    let mut platform = platform();
    let backup = platform.clone();
    accepted(&platform.run(request(change("lost", at(1), &[service("garden-book", "v2")], &[]))));
    let held = platform.catalog();
    let mut platform = backup;
    let next = request(change("next", at(1), &[service("sponsor-desk", "v2")], &[]));
    let step = platform.run_with(next.clone(), |platform, step| match step {
        Step::LoadCatalog { .. } => Outcome::Catalog(held.clone().into()),
        _ => platform.answer(step),
    });
    assert_eq!(failure(step).kind, ErrorKind::PlatformDown);

    let read = platform.head();
    let id = shallottack_config::WriteId("raise".into());
    let raise =
        raise_epoch(read.as_ref(), &platform.catalog(), &held, &id, &"lina".into()).unwrap();
    std::sync::Arc::make_mut(&mut platform.objects).extend(raise.objects);
    platform.transact(&raise.transaction).unwrap();
    assert_eq!(platform.version(), Version { epoch: 1, seq: 2 });
    assert!(platform.version() > held.version);
    assert_eq!(platform.catalog().services, held.services);
    assert_eq!(failure(platform.run(next)).kind, ErrorKind::OutcomeUnknown);
}

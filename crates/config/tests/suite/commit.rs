//! Submitting a change.

use shallottack_config::{
    Kind, MAX_CHANGE_BYTES, ResourceKey, Version,
    commit::{Accepted, Outcome, Request, Step, raise_epoch},
};
use shallottack_kernel::{ErrorKind, Failure};

use crate::world::{World, change, class, request, route, service};

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

/// A world with a class, two services and a route, in version 0.1.
fn world() -> World {
    let mut world = World::default();
    let first = [
        class("browse"),
        service("garden-book", "v1"),
        service("sponsor-desk", "v1"),
        route("garden", "browse", "garden-book"),
    ];
    let step = world.run(request(change("first", Version::ZERO, &first, &[])));
    assert_eq!(accepted(&step), at(1));
    world
}

/// Guards against a daemon that cannot commit to a table without a head row.
#[test]
fn first_change_makes_the_head() {
    let world = world();
    assert_eq!(world.version(), at(1));
    assert!(world.catalog().contains(&ResourceKey::new(Kind::Route, "garden")));
}

/// Guards against a second application of a change that an operator repeats.
#[test]
fn unchanged_repeat_is_accepted_with_the_same_version() {
    let mut world = world();
    let again = change("second", at(1), &[service("garden-book", "v2")], &[]);
    assert_eq!(accepted(&world.run(request(again.clone()))), at(2));
    world.run(request(change("third", at(2), &[service("garden-book", "v3")], &[])));
    assert_eq!(accepted(&world.run(request(again))), at(2));
    assert_eq!(world.version(), at(3));
}

/// Guards against an id that is reused for another change being answered as accepted.
#[test]
fn changed_repeat_is_refused() {
    let mut world = world();
    let step = world.run(request(change("first", at(1), &[service("garden-book", "v2")], &[])));
    assert_eq!(failure(step).kind, ErrorKind::KeyReused);
}

/// Guards against a write that took effect being reported as lost, or being applied twice.
#[test]
fn lost_answer_is_recognised_by_the_id() {
    let mut world = world();
    let mut lost = false;
    let step = world.run_with(
        request(change("second", at(1), &[service("garden-book", "v2")], &[])),
        |world, step| match (step, world.answer(step)) {
            (Step::Transact(_), Outcome::Committed) if !std::mem::replace(&mut lost, true) => {
                Outcome::Unknown("answer lost".into())
            }
            (_, outcome) => outcome,
        },
    );
    assert_eq!(accepted(&step), at(2));
    assert_eq!(world.version(), at(2));
}

/// Guards against "not applied" being said of a transaction that may still take effect.
#[test]
fn change_in_doubt_is_not_reported_as_lost() {
    let mut world = world();
    let second = request(change("second", at(1), &[service("garden-book", "v2")], &[]));
    let step = world.run_with(second.clone(), |world, step| match step {
        Step::Transact(_) => Outcome::Unknown("answer lost".into()),
        _ => world.answer(step),
    });
    assert_eq!(failure(step).kind, ErrorKind::OutcomeUnknown);
    let repeat = Request { repeat: true, ..second };
    let step = world.run_with(repeat, |_, step| outage(step));
    assert_eq!(failure(step).kind, ErrorKind::OutcomeUnknown);
}

/// Guards against a change being claimed while the platform is down.
#[test]
fn outage_applies_nothing() {
    let mut world = world();
    let before = world.clone();
    let second = request(change("second", at(1), &[service("garden-book", "v2")], &[]));
    let step = world.run_with(second, |_, step| outage(step));
    let failure = failure(step);
    assert_eq!(failure.kind, ErrorKind::PlatformDown);
    assert!(failure.retry_after.is_some());
    assert_eq!(world, before);
}

/// Guards against refusal of operators who race with changes that have nothing in common, and
/// against an overwrite of one whose change overlaps.
#[test]
fn disjoint_changes_merge_and_overlapping_ones_conflict() {
    let mut world = world();
    let mut raced = false;
    let step = world.run_with(
        request(change("second", at(1), &[service("garden-book", "v2")], &[])),
        |world, step| {
            if matches!(step, Step::Transact(_)) && !std::mem::replace(&mut raced, true) {
                let other = change("other", at(1), &[service("sponsor-desk", "v2")], &[]);
                accepted(&world.run(request(other)));
            }
            world.answer(step)
        },
    );
    assert_eq!(accepted(&step), at(3));
    let late = change("late", at(1), &[service("sponsor-desk", "v3")], &[]);
    insta::assert_snapshot!(failure(world.run(request(late))), @"conflict: `service sponsor-desk` was changed by change `other` of operator `lina` in version 0.2");
}

/// Guards against a route that refers to a resource which another operator removed (R2).
#[test]
fn removal_of_a_needed_resource_names_the_other_change() {
    let mut world = world();
    let gone = [ResourceKey::new(Kind::Service, "sponsor-desk")];
    accepted(&world.run(request(change("gone", at(1), &[], &gone))));
    let needs = change("needs", at(1), &[route("sponsors", "browse", "sponsor-desk")], &[]);
    insta::assert_snapshot!(failure(world.run(request(needs))), @"conflict: conflict with change `gone` of operator `lina` in version 0.2: configuration rejected: route sponsors: service `sponsor-desk` does not exist");
    let gone = [ResourceKey::new(Kind::Class, "browse"), ResourceKey::new(Kind::Class, "none")];
    let step = world.run(request(change("all", at(2), &[], &gone)));
    insta::assert_snapshot!(failure(step), @"rejected: configuration rejected: class none: does not exist and cannot be removed; route garden: class `browse` does not exist");
}

/// Guards against an oversized, ill-named or contradictory change reaching the table.
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
        let step = World::default().run_with(request(change), |_, step| panic!("asked {step:?}"));
        assert_eq!(failure(step).kind, kind);
    }
}

/// Guards against a dry run that writes.
#[test]
fn dry_run_writes_nothing() {
    let mut world = world();
    let before = world.clone();
    let second = request(change("second", at(1), &[service("garden-book", "v2")], &[]));
    let step = world.run(Request { dry_run: true, ..second });
    assert_eq!(step, Step::Done(Accepted { version: at(2), dry_run: true }));
    assert_eq!(world, before);
}

/// Guards against a version being used twice after a restore of the table, and against the loss
/// of an accepted change that a daemon still holds.
#[test]
fn restored_table_takes_changes_only_after_its_epoch_is_raised() {
    let mut world = world();
    let backup = world.clone();
    accepted(&world.run(request(change("lost", at(1), &[service("garden-book", "v2")], &[]))));
    let held = world.catalog();
    let mut world = backup;
    let next = request(change("next", at(1), &[service("sponsor-desk", "v2")], &[]));
    let step = world.run_with(next.clone(), |world, step| match step {
        Step::LoadCatalog { .. } => Outcome::Catalog(held.clone().into()),
        _ => world.answer(step),
    });
    assert_eq!(failure(step).kind, ErrorKind::PlatformDown);

    let read = world.head();
    let id = shallottack_config::WriteId("raise".into());
    let raise = raise_epoch(read.as_ref(), &world.catalog(), &held, &id, &"lina".into()).unwrap();
    std::sync::Arc::make_mut(&mut world.objects).extend(raise.objects);
    world.transact(&raise.transaction).unwrap();
    assert_eq!(world.version(), Version { epoch: 1, seq: 2 });
    assert!(world.version() > held.version);
    assert_eq!(world.catalog().services, held.services);
    assert_eq!(failure(world.run(next)).kind, ErrorKind::OutcomeUnknown);
}

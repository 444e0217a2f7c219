//! Property tests of catalogs and changes.

use std::time::Duration;

use proptest::{collection::vec, prelude::*};
use shallottack_config::{
    Catalog, Change, Class, Delta, Kind, LatencyTarget, Resource, ResourceKey, Route, Service,
    Version, WriteId,
    commit::{Accepted, Step, decode, delta_of, encode},
    parse_file, print_file,
};

use crate::platform::{Platform, class, request, route, service};

fn any_class(name: String) -> impl Strategy<Value = Resource> {
    let numbers = (0.001..0.999, 0.0..=1.0, 1..=600_000u64, any::<bool>());
    numbers.prop_flat_map(move |(quantile, failures, deadline, idempotent)| {
        let name = name.clone();
        (1..=deadline).prop_map(move |within| {
            Resource::Class(Class {
                name: name.parse().unwrap(),
                latency: LatencyTarget { quantile, within: Duration::from_millis(within) },
                failures,
                deadline: Duration::from_millis(deadline),
                idempotent,
            })
        })
    })
}

/// Names, including those that YAML reads as numbers, booleans or null when unquoted.
fn any_name() -> impl Strategy<Value = String> {
    prop_oneof![
        "[a-c]",
        "[a-z0-9._-]{1,8}",
        prop::sample::select(vec!["null", "true", "no", "1e3", "0x1f", ".nan", "---", "-", "1_0"])
            .prop_map(str::to_owned),
    ]
}

fn any_resource() -> impl Strategy<Value = Resource> {
    let methods = prop::sample::subsequence(vec!["GET", "POST", "DELETE"], 0..=3);
    prop_oneof![
        any_name().prop_flat_map(any_class),
        (any_name(), any_name()).prop_map(|(name, group)| Resource::Service(Service {
            name: name.parse().unwrap(),
            group: group.parse().unwrap(),
        })),
        (any_name(), "/[ -~é]{0,6}", methods, any_name(), any_name()).prop_map(
            |(name, prefix, methods, class, service)| Resource::Route(Route {
                name: name.parse().unwrap(),
                prefix,
                methods: methods.into_iter().map(str::to_owned).collect(),
                class: class.parse().unwrap(),
                service: service.parse().unwrap(),
            })
        ),
    ]
}

/// Changes of resources whose names start with `prefix`. Most routes refer to the class and the
/// service `base`, so that most changes are valid.
fn any_change(prefix: &'static str) -> impl Strategy<Value = Change> {
    let name = move || "[a-c]".prop_map(move |name| format!("{prefix}{name}"));
    let target = move || prop_oneof![4 => Just("base".to_owned()), 1 => name()];
    let resource = prop_oneof![
        name().prop_flat_map(any_class),
        (name(), "v[1-3]").prop_map(|(name, group)| service(&name, &group)),
        (name(), target(), target()).prop_map(|(name, class, to)| route(&name, &class, &to)),
    ];
    let kinds = prop::sample::select(vec![Kind::Class, Kind::Service, Kind::Route]);
    let key = (kinds, name()).prop_map(|(kind, name)| ResourceKey::new(kind, &name));
    (vec(resource, 1..4), vec(key, 0..2)).prop_map(move |(mut upserts, mut removes)| {
        upserts.sort_by_key(Resource::key);
        upserts.dedup_by_key(|it| it.key());
        removes.retain(|key| !upserts.iter().any(|it| it.key() == *key));
        removes.dedup();
        Change { id: WriteId(prefix.into()), base: Version::ZERO, upserts, removes }
    })
}

/// Change that creates the initial catalog: `base`, and resources that both changes may replace or
/// remove.
fn start() -> Change {
    let names = ["base", "aa", "ab", "ba", "bb"];
    let mut upserts: Vec<_> = names.iter().map(|name| class(name)).collect();
    upserts.extend(names.iter().map(|name| service(name, "v1")));
    upserts.extend(names.iter().skip(1).map(|name| route(name, "base", name)));
    Change { id: WriteId("start".into()), base: Version::ZERO, upserts, removes: Vec::new() }
}

fn delta(resources: Vec<Resource>) -> Delta {
    let (from, to) = (Version::ZERO, Version::ZERO.next());
    Delta { from, to, upserts: resources, removes: Vec::new() }
}

/// Creates a valid catalog: adds the class and the service of each route, and drops routes whose
/// prefix and methods overlap with those of another one.
fn catalog(resources: Vec<Resource>) -> Catalog {
    let mut all = delta(Vec::new());
    for resource in resources {
        if let Resource::Route(route) = &resource {
            all.upserts.push(class(route.class.as_str()));
            all.upserts.push(service(route.service.as_str(), "v1"));
        }
        all.upserts.push(resource);
        if Catalog::default().apply(&all).is_err() {
            all.upserts.pop();
        }
    }
    Catalog::default().apply(&all).unwrap()
}

fn any_catalog() -> impl Strategy<Value = Catalog> {
    vec(any_resource(), 0..12).prop_map(catalog)
}

fn outcome(platform: &mut Platform, change: &Change, base: Version) -> Option<Version> {
    match platform.run(request(Change { base, ..change.clone() })) {
        Step::Done(Accepted { version, .. }) => Some(version),
        Step::Failed(_) => None,
        other => panic!("{other:?}"),
    }
}

proptest! {
    /// Guards against a result that depends on which of two concurrent changes commits first.
    #[test]
    fn merge_of_disjoint_changes_commutes(one in any_change("a"), two in any_change("b")) {
        let mut forward = Platform::default();
        let base = outcome(&mut forward, &start(), Version::ZERO).unwrap();
        let mut backward = forward.clone();
        let in_order = [outcome(&mut forward, &one, base), outcome(&mut forward, &two, base)];
        let reversed = [outcome(&mut backward, &two, base), outcome(&mut backward, &one, base)];
        let all = in_order.iter().chain(&reversed).all(Option::is_some);
        // The changes touch and refer to different names, so neither depends on the other.
        prop_assert_eq!(all, in_order[0].is_some() && reversed[0].is_some());
        if all {
            prop_assert_eq!(forward.catalog(), backward.catalog());
        }
    }

    /// Guards against a version that is applied partially.
    #[test]
    fn apply_is_all_or_nothing(start in any_catalog(), change in any_change("a")) {
        let before = start.clone();
        let delta = delta_of(&change, start.version, start.version.next());
        match start.apply(&delta) {
            Ok(next) => {
                prop_assert!(next.validate().is_ok());
                prop_assert!(change.upserts.iter().all(|it| next.contains(&it.key())));
                prop_assert!(!change.removes.iter().any(|key| next.contains(key)));
                prop_assert_eq!(next.version, delta.to);
            }
            Err(_) => prop_assert_eq!(&start, &before),
        }
    }

    /// Guards against a printed file or a stored object that is read back as a different
    /// configuration.
    #[test]
    fn parse_of_print_is_the_identity(catalog in any_catalog()) {
        let printed = print_file(&catalog);
        let read = parse_file(printed.as_bytes()).map(|it| Catalog { version: catalog.version, ..it });
        prop_assert_eq!(read.as_ref(), Ok(&catalog), "{}", printed);
        prop_assert_eq!(decode::<Catalog>(&encode(&catalog)).unwrap(), catalog);
    }

    /// Guards against a client or daemon panicking on arbitrary input.
    #[test]
    fn arbitrary_bytes_never_panic(
        bytes in vec(any::<u8>(), 0..200),
        text in "[-:{}\\[\\],&*!|>'\"%@`# \n\ta-z0-9.]{0,80}",
    ) {
        let _ = (parse_file(&bytes), parse_file(text.as_bytes()));
    }

    /// Guards against a panic on a file with one damaged byte.
    #[test]
    fn damaged_files_never_panic(catalog in any_catalog(), at in any::<prop::sample::Index>(), byte in any::<u8>()) {
        let mut bytes = print_file(&catalog).into_bytes();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        if let Err(error) = parse_file(&bytes) {
            prop_assert!(!error.problems.is_empty());
        }
    }
}

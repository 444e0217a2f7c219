//! Tests of configuration files.

use shallottack_config::{
    Catalog, Change, Kind, MAX_CLASSES, MAX_ROUTES, MAX_SERVICES, ResourceKey, Version, WriteId,
    parse_file, print_file,
};

use crate::platform::{Platform, change, class, request, route, service};

const GOOD: &str = r"
classes:
  - name: browse
    latency: { quantile: 0.99, within_ms: 20 }
    failures: 0.001
    deadline_ms: 800
    idempotent: true
services:
  - { name: garden-book, group: v1 }
routes:
  - name: garden
    prefix: /garden
    methods: [GET, HEAD]
    class: browse
    service: garden-book
";

fn errors(from: &str, to: &str) -> String {
    assert!(from.is_empty() || GOOD.contains(from));
    parse_file(GOOD.replacen(from, to, 1).as_bytes()).unwrap_err().to_string()
}

/// Guards against a printed file that differs from the configuration in force.
#[test]
fn valid_file_is_read_and_printed() {
    let catalog = parse_file(GOOD.as_bytes()).unwrap();
    assert_eq!(parse_file(print_file(&catalog).as_bytes()).unwrap(), catalog);
    insta::assert_snapshot!(print_file(&catalog));
    assert_eq!(parse_file(b"").unwrap(), Catalog::default());
}

/// Guards against a misspelled key, a missing value or malformed YAML being accepted, and against
/// error messages without the position.
#[test]
fn structural_errors_are_reported_with_their_position() {
    insta::assert_snapshot!(errors("failures:", "failure:"));
    insta::assert_snapshot!(errors("routes:", "rutes:"));
    insta::assert_snapshot!(errors("    deadline_ms: 800\n", ""));
    insta::assert_snapshot!(errors("deadline_ms: 800", "deadline_ms: -1"));
    insta::assert_snapshot!(errors("deadline_ms: 800", "deadline_ms: soon"));
    insta::assert_snapshot!(errors("failures: 0.001", "failures: few"));
    insta::assert_snapshot!(errors("group: v1", "group:"));
    insta::assert_snapshot!(errors("failures: 0.001", "failures: 0.001\n    failures: 0.1"));
    insta::assert_snapshot!(errors("group: v1 }", "group: v1"));
    insta::assert_snapshot!(parse_file(b"classes: []\nservices: \xff").unwrap_err().to_string());
}

/// Guards against reporting only one problem per attempt.
#[test]
fn all_invalid_contents_are_reported_at_once() {
    insta::assert_snapshot!(errors(
        "services:\n  - { name: garden-book, group: v1 }\nroutes:\n",
        "services:
  - { name: Garden Book, group: '' }
  - { name: stock, group: v1 }
  - { name: stock, group: v2 }
routes:
  - { name: a, prefix: a, methods: [get], class: browse, service: stock }
  - { name: b, prefix: /b, class: none, service: stock }
  - { name: a, prefix: /c, class: browse, service: stock }
"
    ));
    insta::assert_snapshot!(errors("quantile: 0.99", "quantile: .nan"));
}

/// Guards against a change that removes or replaces unchanged resources.
#[test]
fn change_contains_only_differences() {
    let mut platform = Platform::default();
    let first = [class("browse"), service("a", "v1"), service("b", "v1"), service("c", "v1")];
    platform.run(request(change("first", Version::ZERO, &first, &[])));
    let held = platform.catalog();
    let mut wanted = parse_file(print_file(&held).as_bytes()).unwrap();
    assert!(Change::between(&held, &wanted, WriteId("x".into())).touched().is_empty());
    wanted.services.remove("a");
    wanted.services.insert("b".parse().unwrap(), parse_service("v2"));
    let made = Change::between(&held, &wanted, WriteId("second".into()));
    assert_eq!(made.base, held.version);
    assert_eq!(made.upserts, [service("b", "v2")]);
    assert_eq!(made.removes, [ResourceKey::new(Kind::Service, "a")]);
    platform.run(request(made));
    assert_eq!(platform.catalog().services, wanted.services);
}

fn parse_service(group: &str) -> std::sync::Arc<shallottack_config::Service> {
    let text = format!("services: [{{ name: b, group: {group} }}]");
    parse_file(text.as_bytes()).unwrap().services["b"].clone()
}

/// Guards against the YAML parser's own limits refusing a file of the maximum size.
#[test]
fn file_at_the_limits_is_read() {
    let classes = (0..MAX_CLASSES).map(|i| class(&format!("class-{i}")));
    let services = (0..MAX_SERVICES).map(|i| service(&format!("service-{i}"), "v1"));
    let routes = (0..MAX_ROUTES).map(|i| route(&format!("route-{i}"), "class-0", "service-0"));
    let resources: Vec<_> = classes.chain(services).chain(routes).collect();
    let delta = shallottack_config::Delta {
        from: Version::ZERO,
        to: Version::ZERO.next(),
        upserts: resources,
        removes: Vec::new(),
    };
    let catalog = Catalog::default().apply(&delta).unwrap();
    let read = parse_file(print_file(&catalog).as_bytes()).unwrap();
    assert_eq!(read.routes, catalog.routes);
}

/// Guards against an error whose size grows with the square of the file's size.
#[test]
fn each_duplicate_route_is_reported_once() {
    let routes = (0..1_000)
        .map(|i| format!("- {{ name: r{i}, prefix: /a, class: browse, service: garden-book }}\n"));
    let text =
        GOOD.replace("routes:\n", &format!("routes:\n  {}", routes.collect::<Vec<_>>().join("  ")));
    let error = parse_file(text.as_bytes()).unwrap_err();
    assert_eq!(error.problems.len(), 999, "{}", error.problems[0]);
}

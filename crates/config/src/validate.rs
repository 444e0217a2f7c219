//! Validation of a whole catalog.

use std::{collections::BTreeMap, fmt, time::Duration};

use crate::{Catalog, Class, Kind, ResourceKey, Route};

/// Maximum number of classes in a catalog, limited because classes are metric labels.
pub const MAX_CLASSES: usize = 256;
/// Maximum number of services in a catalog.
pub const MAX_SERVICES: usize = 2_000;
/// Maximum number of routes in a catalog.
pub const MAX_ROUTES: usize = 10_000;
/// Maximum size of an encoded change in bytes.
pub const MAX_CHANGE_BYTES: usize = 64 * 1024;
/// Longest deadline that a class may allow.
const MAX_DEADLINE: Duration = Duration::from_secs(600);
/// Maximum length of a path prefix in bytes.
const MAX_PREFIX_BYTES: usize = 512;

/// Problem that makes a catalog invalid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Problem {
    /// Resource with the problem; `None` when it concerns the whole catalog.
    pub resource: Option<ResourceKey>,
    /// What is wrong and what was expected.
    pub detail: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.resource {
            Some(key) => write!(f, "{key}: {}", self.detail),
            None => f.write_str(&self.detail),
        }
    }
}

/// Every problem found in a catalog.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("configuration rejected: {}", .problems.iter().map(Problem::to_string).collect::<Vec<_>>().join("; "))]
pub struct Rejection {
    /// The problems, never empty.
    pub problems: Vec<Problem>,
}

/// Checks limits and value ranges, that the class and service of every route exist, and that no two
/// routes match the same requests.
///
/// # Errors
///
/// Returns a [`Rejection`] with every problem found.
pub fn validate(catalog: &Catalog) -> Result<(), Rejection> {
    let mut problems = Vec::new();
    check_sizes(catalog, &mut problems);
    for class in catalog.classes.values() {
        check_class(class, &mut problems);
    }
    for route in catalog.routes.values() {
        check_route(catalog, route, &mut problems);
    }
    check_duplicate_routes(catalog, &mut problems);
    if problems.is_empty() { Ok(()) } else { Err(Rejection { problems }) }
}

fn check_sizes(catalog: &Catalog, problems: &mut Vec<Problem>) {
    let sizes = [
        ("classes", catalog.classes.len(), MAX_CLASSES),
        ("services", catalog.services.len(), MAX_SERVICES),
        ("routes", catalog.routes.len(), MAX_ROUTES),
    ];
    for (kind, count, max) in sizes {
        if count > max {
            let detail = format!("{count} {kind}, at most {max} allowed");
            problems.push(Problem { resource: None, detail });
        }
    }
}

fn check_class(class: &Class, problems: &mut Vec<Problem>) {
    let mut report = |detail: String| {
        let resource = Some(ResourceKey::new(Kind::Class, class.name.as_str()));
        problems.push(Problem { resource, detail });
    };
    let quantile = class.latency.quantile;
    if !(quantile > 0.0 && quantile < 1.0) {
        report(format!("latency quantile is {quantile}, expected above 0 and below 1"));
    }
    if !(0.0..=1.0).contains(&class.failures) {
        report(format!("failures is {}, expected 0 to 1", class.failures));
    }
    if class.deadline.is_zero() || class.deadline > MAX_DEADLINE {
        report(format!(
            "deadline_ms is {}, expected 1 to {}",
            class.deadline.as_millis(),
            MAX_DEADLINE.as_millis()
        ));
    }
    if class.latency.within.is_zero() || class.latency.within > class.deadline {
        report(format!(
            "latency within_ms is {}, expected 1 to the deadline of {}",
            class.latency.within.as_millis(),
            class.deadline.as_millis()
        ));
    }
}

fn check_route(catalog: &Catalog, route: &Route, problems: &mut Vec<Problem>) {
    let mut report = |detail: String| {
        let resource = Some(ResourceKey::new(Kind::Route, route.name.as_str()));
        problems.push(Problem { resource, detail });
    };
    if !route.prefix.starts_with('/') || route.prefix.len() > MAX_PREFIX_BYTES {
        report(format!("prefix must start with `/` and have at most {MAX_PREFIX_BYTES} bytes"));
    }
    if let Some(method) = route.methods.iter().find(|it| !is_method(it)) {
        report(format!("`{method}` is not an HTTP method in capitals"));
    }
    if !catalog.classes.contains_key(&route.class) {
        report(format!("class `{}` does not exist", route.class));
    }
    if !catalog.services.contains_key(&route.service) {
        report(format!("service `{}` does not exist", route.service));
    }
}

fn is_method(text: &str) -> bool {
    matches!(text, "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE" | "OPTIONS")
}

/// Reports routes with the same prefix and an overlapping method, since the choice between them
/// would depend on their names. Each route is reported at most once, which bounds the number of
/// problems by the number of routes.
fn check_duplicate_routes(catalog: &Catalog, problems: &mut Vec<Problem>) {
    let mut by_prefix: BTreeMap<&str, Vec<&Route>> = BTreeMap::new();
    for route in catalog.routes.values() {
        by_prefix.entry(&route.prefix).or_default().push(route);
    }
    for routes in by_prefix.values() {
        for (i, second) in routes.iter().enumerate() {
            if let Some(first) = routes[..i].iter().find(|it| methods_overlap(it, second)) {
                let resource = Some(ResourceKey::new(Kind::Route, second.name.as_str()));
                let detail = format!("same prefix and method as route `{}`", first.name);
                problems.push(Problem { resource, detail });
            }
        }
    }
}

fn methods_overlap(first: &Route, second: &Route) -> bool {
    first.methods.is_empty()
        || second.methods.is_empty()
        || first.methods.iter().any(|it| second.methods.contains(it))
}

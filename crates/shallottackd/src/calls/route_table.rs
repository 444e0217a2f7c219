//! Index of the routes of a catalog.

use std::{collections::HashMap, sync::Arc};

use metrics::{Counter, Histogram};
use shallottack_config::{Catalog, Class, Route};
use smallvec::SmallVec;

/// A route with its class and its metrics.
pub(crate) struct RouteEntry {
    pub(crate) route: Arc<Route>,
    pub(crate) class: Arc<Class>,
    pub(crate) latency: Histogram,
    pub(crate) answered: Counter,
    pub(crate) refused: Counter,
    pub(crate) unknown: Counter,
}

/// Routes of one catalog by prefix.
#[derive(Default)]
pub(crate) struct RouteTable {
    by_prefix: HashMap<String, SmallVec<[Arc<RouteEntry>; 2]>>,
}

impl RouteTable {
    /// Indexes the routes of a catalog, which is valid, so that every route has its class.
    pub(crate) fn new(catalog: &Catalog) -> RouteTable {
        let mut table = RouteTable::default();
        for route in catalog.routes.values() {
            let Some(class) = catalog.classes.get(&route.class) else { continue };
            let entry = Arc::new(RouteEntry::new(route, class));
            table.by_prefix.entry(route.prefix.clone()).or_default().push(entry);
        }
        table
    }

    /// Returns the entry of the longest prefix that covers a request.
    pub(crate) fn find(&self, method: &str, path: &str) -> Option<&Arc<RouteEntry>> {
        let whole = std::iter::once(path.len());
        // A prefix ends in front of a slash or behind it.
        let ends = path.rmatch_indices('/').flat_map(|(at, _)| [at + 1, at]);
        whole.chain(ends).find_map(|end| {
            let entries = self.by_prefix.get(&path[..end])?;
            entries.iter().find(|entry| entry.route.matches(method, path))
        })
    }
}

impl RouteEntry {
    fn new(route: &Arc<Route>, class: &Arc<Class>) -> RouteEntry {
        let labels = [("class", class.name.to_string()), ("service", route.service.to_string())];
        let calls = |result: &'static str| {
            let mut labels = labels.to_vec();
            labels.push(("result", result.to_owned()));
            metrics::counter!("shallottack_calls_total", &labels)
        };
        RouteEntry {
            route: Arc::clone(route),
            class: Arc::clone(class),
            latency: metrics::histogram!("shallottack_call_seconds", &labels),
            answered: calls("answered"),
            refused: calls("refused"),
            unknown: calls("unknown"),
        }
    }
}

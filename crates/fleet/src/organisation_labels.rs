//! Labels of metrics by organisation, whose number is bounded.

use std::{collections::HashSet, sync::Arc};

use crate::{Organisation, Organisations};

/// Most organisations with metrics of their own; each has a histogram.
const MAX_LABELS: usize = 20;
/// Label of the organisations without metrics of their own.
const OTHER: &str = "other";

/// Organisations that have metrics of their own.
///
/// A series stays in the metrics until the daemon ends, so that an organisation that was given one
/// keeps it. Later configurations only fill the places that are left.
#[derive(Debug)]
pub struct OrganisationLabels {
    names: HashSet<Arc<str>>,
    other: Arc<str>,
}

impl Default for OrganisationLabels {
    fn default() -> Self {
        OrganisationLabels { names: HashSet::new(), other: Arc::from(OTHER) }
    }
}

impl OrganisationLabels {
    /// Gives the free places to the organisations of a configuration with the highest rates; one
    /// without a limit goes before those that have one.
    pub fn update(&mut self, organisations: &Organisations) {
        let mut missing: Vec<&Organisation> = organisations
            .iter()
            .map(Arc::as_ref)
            .filter(|it| !self.names.contains(&it.name))
            .collect();
        let rate = |it: &Organisation| it.quota.map_or(f64::INFINITY, |it| it.rate);
        missing.sort_by(|a, b| rate(b).total_cmp(&rate(a)));
        let free = MAX_LABELS - self.names.len();
        self.names.extend(missing.iter().take(free).map(|it| Arc::clone(&it.name)));
    }

    /// Returns the label of an organisation.
    pub fn label(&self, name: &str) -> Arc<str> {
        Arc::clone(self.names.get(name).unwrap_or(&self.other))
    }
}

//! Aggregated in-force reports.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallottack_config::Version;
use shallottack_kernel::{EndpointId, Time};

/// Most lagging endpoints named in a report, so that its size stays bounded.
pub const MAX_LAGGING: usize = 16;

/// An endpoint behind the others of its subtree.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lagging {
    /// Version in force on the endpoint.
    pub version: Version,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Versions in force in a subtree.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Number of daemons that the report covers.
    pub daemons: u32,
    /// Lowest version in force; zero when a daemon is not ready.
    pub lowest: Version,
    /// The endpoints that are furthest behind, at most [`MAX_LAGGING`].
    pub lagging: Vec<Lagging>,
}

/// Last reports of the children and of what was sent up.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reports {
    pub(crate) children: BTreeMap<EndpointId, Report>,
    /// Last report sent, to whom and when.
    pub(crate) sent: Option<(Option<EndpointId>, Report, Time)>,
    pub(crate) next_at: Time,
}

impl Reports {
    /// Returns the report of the subtree of `me`, which has `own` in force and knows of versions
    /// up to `newest`.
    pub(crate) fn aggregate(
        &self,
        me: &EndpointId,
        own: Version,
        newest: Version,
        children: &[EndpointId],
    ) -> Report {
        let mut report = Report { daemons: 1, lowest: own, lagging: Vec::new() };
        if own < newest {
            report.lagging.push(Lagging { version: own, endpoint: me.clone() });
        }
        for endpoint in children {
            let Some(child) = self.children.get(endpoint) else { continue };
            report.daemons += child.daemons;
            report.lowest = report.lowest.min(child.lowest);
            report.lagging.extend(child.lagging.iter().filter(|it| it.version < newest).cloned());
            // A subtree that is behind as a whole names nobody: its root stands for it.
            if child.lowest < newest && child.lagging.is_empty() {
                let version = child.lowest;
                report.lagging.push(Lagging { version, endpoint: endpoint.clone() });
            }
        }
        report.lagging.sort();
        report.lagging.dedup();
        report.lagging.truncate(MAX_LAGGING);
        report
    }
}

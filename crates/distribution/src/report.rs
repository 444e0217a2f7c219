//! In-force reports, aggregated up the distribution tree.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use shallottack_config::Version;
use shallottack_kernel::{EndpointId, Time};

/// Maximum number of lagging endpoints listed in a report; bounds its size.
pub const MAX_LAGGING: usize = 16;

/// An endpoint that does not have the newest known version in force.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lagging {
    /// Version in force on the endpoint.
    pub version: Version,
    /// The endpoint.
    pub endpoint: EndpointId,
}

/// Summary of the versions in force in a subtree.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Report {
    /// Number of daemons that the report covers.
    pub daemons: u32,
    /// Lowest version in force; zero if a daemon is not ready.
    pub lowest: Version,
    /// Endpoints that are furthest behind, at most [`MAX_LAGGING`].
    pub lagging: Vec<Lagging>,
}

/// Latest reports received from children and sent to the parent.
#[derive(Debug, Clone, Default)]
pub(crate) struct Reports {
    pub(crate) children: BTreeMap<EndpointId, Report>,
    /// Last report sent, its receiver (`None` at the root) and the time.
    pub(crate) sent: Option<(Option<EndpointId>, Report, Time)>,
    pub(crate) next_at: Time,
}

impl Reports {
    /// Returns the report of the subtree rooted at `me`, which has `own` in force. `newest` is the
    /// newest version known.
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
            // A subtree in which no daemon knows of `newest` lists no endpoints, so its root is
            // listed instead.
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

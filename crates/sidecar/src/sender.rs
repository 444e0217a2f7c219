//! Who sends a request: an organisation by its key, or a run on this VM.

use std::{sync::Arc, time::Duration};

use http::HeaderMap;
use shallottack_fleet::{Configuration, KeyCheck, Organisation, ParentLookup, Rank, Route};
use shallottack_site::headers;

use crate::node::Node;

/// Sender of a request that may be served.
pub struct Sender {
    /// Organisation that holds the key of the request; `None` if it has none.
    pub organisation: Option<Arc<Organisation>>,
    /// Rank of the request, which for a call is that of the request that makes it.
    pub rank: Rank,
}

impl Sender {
    /// Returns the name of the organisation.
    pub fn name(&self) -> Option<&str> {
        self.organisation.as_ref().map(|it| &*it.name)
    }
}

/// Finds the sender of a request.
///
/// `longest` is the longest time that a request on a route without a timeout may take.
///
/// # Errors
///
/// Returns why the request is unauthorised.
pub fn find_sender(
    node: &Node,
    config: &Configuration,
    route: &Route,
    id: &str,
    headers: &HeaderMap,
    longest: Duration,
) -> Result<Sender, &'static str> {
    let check = config.check_key(route, headers::credential(headers));
    let needs_key = check == KeyCheck::Missing;
    match check {
        KeyCheck::Found(organisation) => {
            let rank = Rank::new(organisation.priority, route.priority);
            return Ok(Sender { organisation: Some(organisation), rank });
        }
        KeyCheck::Unknown => return Err("unknown key"),
        KeyCheck::Missing | KeyCheck::NotNeeded => {}
    }
    let rank = Rank::new(None, route.priority);
    // Without organisations, requests rank by their routes alone.
    if config.organisations.is_empty() {
        return Ok(Sender { organisation: None, rank });
    }
    let longest = config.longest_timeout(longest);
    let lookup = headers::parent(id).map_or(ParentLookup::Missing, |parent| {
        let now = node.now();
        node.shared().parents.find(now, parent, longest)
    });
    match lookup {
        ParentLookup::Found(parent) => Ok(Sender { organisation: None, rank: parent.rank }),
        ParentLookup::Earlier if needs_key => {
            metrics::counter!("shallottack_unverified_calls_total").increment(1);
            Ok(Sender { organisation: None, rank })
        }
        ParentLookup::Missing if needs_key => Err("no key"),
        ParentLookup::Earlier | ParentLookup::Missing => Ok(Sender { organisation: None, rank }),
    }
}

/// Counts a request for its organisation, if it has one. `passed` is the time until its response;
/// `None` if it has none.
pub fn count_request(
    node: &Node,
    sender: &Sender,
    outcome: &'static str,
    passed: Option<Duration>,
) {
    let Some(name) = sender.name() else { return };
    let label = node.shared().organisation_labels.label(name);
    let label = metrics::SharedString::from(label);
    let labels = [("organisation", label.clone()), ("outcome", outcome.into())];
    metrics::counter!("shallottack_organisation_requests_total", &labels).increment(1);
    if let Some(passed) = passed {
        let labels = [("organisation", label)];
        metrics::histogram!("shallottack_organisation_request_seconds", &labels)
            .record(passed.as_secs_f64());
    }
}

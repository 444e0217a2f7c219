//! Simulated platform: accepted versions, their objects and the lease rows.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use shallottack_config::{Catalog, Class, Delta, LatencyTarget, Resource, Route, Service, Version};
use shallottack_distribution::{
    Action, FetchError, Input, LeaseOutcome, LeaseRow, ObservedHead, ObservedLease, Unavailable,
};

/// The accepted versions and their objects, and the lease rows.
#[derive(Clone, Default)]
pub struct Platform {
    pub history: Vec<Arc<Catalog>>,
    pub deltas: BTreeMap<u64, Arc<[u8]>>,
    pub snapshots: BTreeMap<u64, Arc<[u8]>>,
    leases: BTreeMap<String, ObservedLease>,
    revision: u64,
}

pub fn encode<T: serde::Serialize>(value: &T) -> Arc<[u8]> {
    serde_json::to_vec(value).unwrap().into()
}

/// Returns the delta that follows `catalog`. It changes the group of the service; the first one
/// also adds the route and the class.
pub fn next_delta(catalog: &Catalog) -> Delta {
    let to = catalog.version.next();
    let (name, group) = ("garden-book".parse().unwrap(), format!("v{}", to.seq).parse().unwrap());
    let mut upserts = vec![Resource::Service(Service { name, group })];
    if catalog.version == Version::ZERO {
        let class = Class {
            name: "interactive".parse().unwrap(),
            latency: LatencyTarget { quantile: 0.99, within: Duration::from_millis(50) },
            failures: 0.01,
            deadline: Duration::from_secs(2),
            idempotent: true,
        };
        upserts.push(Resource::Route(Route {
            name: "beds".parse().unwrap(),
            prefix: "/beds".to_owned(),
            methods: Default::default(),
            class: class.name.clone(),
            service: "garden-book".parse().unwrap(),
        }));
        upserts.push(Resource::Class(class));
    }
    Delta { from: catalog.version, to, upserts, removes: Vec::new() }
}

impl Platform {
    pub fn head(&self) -> Version {
        self.history.last().map_or(Version::ZERO, |it| it.version)
    }

    /// Accepts another change and returns its delta.
    pub fn commit(&mut self) -> Arc<[u8]> {
        let last = self.history.last().cloned().unwrap_or_default();
        let delta = next_delta(&last);
        let next = last.apply(&delta).unwrap();
        let seq = next.version.seq;
        if seq.is_multiple_of(64) {
            self.snapshots.insert(seq, encode(&next));
        }
        self.history.push(Arc::new(next));
        self.deltas.insert(seq, encode(&delta));
        self.deltas[&seq].clone()
    }

    /// Asserts that `catalog` equals the accepted catalog of its version, that is, no daemon puts a
    /// partial or invalid version in force.
    pub fn check(&self, catalog: &Catalog) {
        let seq = catalog.version.seq as usize;
        let accepted = seq.checked_sub(1).map(|i| self.history[i].clone()).unwrap_or_default();
        assert_eq!(*catalog, *accepted, "partial version");
    }

    /// Returns the answer to a request of a daemon in data centre `centre`, or `None` if the action
    /// is no platform request. Requests fail while the platform is `down`.
    pub fn answer(&mut self, centre: &str, down: bool, action: &Action) -> Option<Input> {
        let unavailable = FetchError::Unavailable;
        Some(match action {
            Action::ReadHead if down => Input::HeadRead(Err(Unavailable)),
            Action::ReadHead => {
                let head = self.history.last().map(|it| ObservedHead { version: it.version });
                Input::HeadRead(Ok(head))
            }
            Action::ReadLease if down => Input::LeaseRead(Err(Unavailable)),
            Action::ReadLease => Input::LeaseRead(Ok(self.leases.get(centre).cloned())),
            Action::CommitLease { revision, row, requested } => {
                let outcome = self.commit_lease(centre, down, *revision, row.clone());
                Input::LeaseCommitted { requested: *requested, outcome }
            }
            Action::FetchDeltas { .. } if down => Input::DeltasFetched(Err(unavailable)),
            Action::FetchDeltas { from } => {
                let wanted = from.seq + 1..=self.head().seq;
                let delta = |seq| self.deltas.get(&seq).cloned().ok_or(FetchError::Missing);
                Input::DeltasFetched(wanted.map(delta).collect())
            }
            Action::FetchSnapshot { .. } if down => Input::SnapshotFetched(Err(unavailable)),
            Action::FetchSnapshot { skip } => {
                let body = self.snapshots.values().nth_back(usize::from(*skip)).cloned();
                Input::SnapshotFetched(body.ok_or(FetchError::Missing))
            }
            Action::Send { .. } | Action::Apply(_) | Action::Report(_) => return None,
        })
    }

    fn commit_lease(
        &mut self,
        centre: &str,
        down: bool,
        revision: Option<u64>,
        row: LeaseRow,
    ) -> LeaseOutcome {
        if down {
            return LeaseOutcome::Unconfirmed;
        }
        if self.leases.get(centre).map(|it| it.revision) != revision {
            return LeaseOutcome::Conflict;
        }
        self.revision += 1;
        let revision = self.revision;
        self.leases.insert(centre.to_owned(), ObservedLease { revision, row });
        LeaseOutcome::Committed
    }
}

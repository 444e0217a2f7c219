//! Complete configuration of one version.

use std::{collections::BTreeMap, sync::Arc};

use serde::{Deserialize, Serialize};
use shallottack_kernel::{ClassName, RouteName, ServiceName};

use crate::{
    ApplyError, Class, Delta, Kind, Rejection, Resource, ResourceKey, Route, Service, Version,
    validate,
};

/// Complete configuration of one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Version of this configuration.
    pub version: Version,
    /// Classes by name.
    pub classes: BTreeMap<ClassName, Arc<Class>>,
    /// Services by name.
    pub services: BTreeMap<ServiceName, Arc<Service>>,
    /// Routes by name.
    pub routes: BTreeMap<RouteName, Arc<Route>>,
}

impl Catalog {
    /// Applies `delta` and returns the resulting catalog after validating it as a whole.
    ///
    /// # Errors
    ///
    /// Returns [`ApplyError::Gap`] when the delta starts at another version or does not lead to a
    /// newer one, and [`ApplyError::Rejected`] when the result would be invalid.
    pub fn apply(&self, delta: &Delta) -> Result<Catalog, ApplyError> {
        if delta.from != self.version || delta.to <= self.version {
            return Err(ApplyError::Gap { from: delta.from, in_force: self.version });
        }
        let mut next = self.clone();
        next.version = delta.to;
        for resource in &delta.upserts {
            next.insert(resource.clone());
        }
        for key in &delta.removes {
            next.remove(key);
        }
        validate(&next)?;
        Ok(next)
    }

    /// Returns whether a resource with this key exists.
    pub fn contains(&self, key: &ResourceKey) -> bool {
        match key.kind {
            Kind::Class => self.classes.contains_key(&*key.name),
            Kind::Service => self.services.contains_key(&*key.name),
            Kind::Route => self.routes.contains_key(&*key.name),
        }
    }

    /// Returns the route for a request: the one with the longest prefix that matches whole path
    /// segments.
    pub fn route(&self, method: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes
            .values()
            .filter(|route| route.matches(method, path))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns all resources.
    pub fn resources(&self) -> impl Iterator<Item = Resource> {
        let classes = self.classes.values().map(|it| Resource::Class(it.as_ref().clone()));
        let services = self.services.values().map(|it| Resource::Service(it.as_ref().clone()));
        let routes = self.routes.values().map(|it| Resource::Route(it.as_ref().clone()));
        classes.chain(services).chain(routes)
    }

    /// Validates the catalog as a whole.
    ///
    /// # Errors
    ///
    /// Returns a [`Rejection`] with every problem found.
    pub fn validate(&self) -> Result<(), Rejection> {
        validate(self)
    }

    pub(crate) fn insert(&mut self, resource: Resource) {
        match resource {
            Resource::Class(class) => {
                self.classes.insert(class.name.clone(), Arc::new(class));
            }
            Resource::Service(service) => {
                self.services.insert(service.name.clone(), Arc::new(service));
            }
            Resource::Route(route) => {
                self.routes.insert(route.name.clone(), Arc::new(route));
            }
        }
    }

    fn remove(&mut self, key: &ResourceKey) {
        match key.kind {
            Kind::Class => drop(self.classes.remove(&*key.name)),
            Kind::Service => drop(self.services.remove(&*key.name)),
            Kind::Route => drop(self.routes.remove(&*key.name)),
        }
    }
}

impl Route {
    /// Returns whether the route matches a request.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        let prefix_matches = path.strip_prefix(self.prefix.as_str()).is_some_and(|rest| {
            rest.is_empty() || rest.starts_with('/') || self.prefix.ends_with('/')
        });
        prefix_matches && (self.methods.is_empty() || self.methods.iter().any(|it| it == method))
    }
}

//! Difference between two catalogs.

use std::{collections::BTreeMap, sync::Arc};

use crate::{Catalog, Kind, Resource, ResourceKey};

/// Resources to add, replace and remove to get from one catalog to another.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Difference {
    /// Resources that are new or differ, sorted by key.
    pub upserts: Vec<Resource>,
    /// Keys of the removed resources, sorted.
    pub removes: Vec<ResourceKey>,
}

impl Difference {
    /// Returns whether both catalogs have the same resources.
    pub fn is_empty(&self) -> bool {
        self.upserts.is_empty() && self.removes.is_empty()
    }
}

/// Returns the changes that turn the resources of `from` into those of `to`.
pub fn difference(from: &Catalog, to: &Catalog) -> Difference {
    let mut result = Difference::default();
    compare(&mut result, Kind::Class, &from.classes, &to.classes, Resource::Class);
    compare(&mut result, Kind::Service, &from.services, &to.services, Resource::Service);
    compare(&mut result, Kind::Route, &from.routes, &to.routes, Resource::Route);
    result
}

fn compare<N, T>(
    result: &mut Difference,
    kind: Kind,
    from: &BTreeMap<N, Arc<T>>,
    to: &BTreeMap<N, Arc<T>>,
    wrap: fn(T) -> Resource,
) where
    N: Ord + std::borrow::Borrow<str>,
    T: Clone + PartialEq,
{
    let changed = to.iter().filter(|(name, it)| from.get::<N>(name) != Some(*it));
    result.upserts.extend(changed.map(|(_, it)| wrap(it.as_ref().clone())));
    let removed = from.keys().filter(|name| !to.contains_key::<N>(name));
    result.removes.extend(removed.map(|name| ResourceKey::new(kind, name.borrow())));
}

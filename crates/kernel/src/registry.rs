//! Registry through which the services of a daemon find each other by name.

use std::{
    any::Any,
    collections::BTreeMap,
    sync::{Arc, RwLock},
};

/// The name is already taken by another service.
#[derive(Debug, thiserror::Error)]
#[error("a service named `{0}` is already registered")]
pub struct ServiceTaken(pub &'static str);

/// Services of one daemon by name.
#[derive(Default)]
pub struct Registry {
    services: RwLock<BTreeMap<&'static str, Arc<dyn Any + Send + Sync>>>,
}

impl Registry {
    /// Creates an empty registry.
    pub fn new() -> Registry {
        Registry::default()
    }

    /// Registers `service` under `name`.
    ///
    /// # Errors
    ///
    /// Returns [`ServiceTaken`] when the name is in use.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it changed the registry.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: &'static str,
        service: Arc<T>,
    ) -> Result<(), ServiceTaken> {
        let mut services = self.services.write().expect("registry lock");
        if services.contains_key(name) {
            return Err(ServiceTaken(name));
        }
        services.insert(name, service);
        Ok(())
    }

    /// Returns the service named `name`, or `None` when it is absent or of another type.
    ///
    /// # Panics
    ///
    /// Panics when another thread panicked while it changed the registry.
    pub fn lookup<T: Any + Send + Sync>(&self, name: &str) -> Option<Arc<T>> {
        let services = self.services.read().expect("registry lock");
        Arc::clone(services.get(name)?).downcast::<T>().ok()
    }
}

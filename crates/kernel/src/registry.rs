//! Registry in which the services of a daemon look each other up by name.

use std::{
    any::Any,
    collections::BTreeMap,
    sync::{Arc, RwLock},
};

/// Error for a name under which a service is already registered.
#[derive(Debug, thiserror::Error)]
#[error("a service named `{0}` is already registered")]
pub struct ServiceTaken(pub &'static str);

/// Services of one daemon, indexed by name.
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
    /// Returns [`ServiceTaken`] if `name` is already registered.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while modifying the registry.
    pub fn register<T: Any + Send + Sync>(
        &self,
        name: &'static str,
        service: Arc<T>,
    ) -> Result<(), ServiceTaken> {
        let mut services = self.services.write().expect("registry lock is not poisoned");
        if services.contains_key(name) {
            return Err(ServiceTaken(name));
        }
        services.insert(name, service);
        Ok(())
    }

    /// Returns the service named `name`, or `None` if it isn't registered or isn't a `T`.
    ///
    /// # Panics
    ///
    /// Panics if another thread panicked while modifying the registry.
    pub fn lookup<T: Any + Send + Sync>(&self, name: &str) -> Option<Arc<T>> {
        let services = self.services.read().expect("registry lock is not poisoned");
        Arc::clone(services.get(name)?).downcast::<T>().ok()
    }
}

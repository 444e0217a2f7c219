//! Organisations that send requests, and their keys.

use std::{collections::HashMap, sync::Arc};

/// Number of requests that an organisation may send through all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// Requests per second.
    pub rate: f64,
    /// Requests beyond the rate that may come at once.
    pub burst: f64,
}

/// An organisation that sends requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: Arc<str>,
    /// Priority of its requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Limit on its requests; `None` if there is none.
    pub quota: Option<Quota>,
}

/// What a request states as its key.
///
/// Has no `Debug`, so that keys reach no log.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Credential<'a> {
    /// The request has no key.
    Absent,
    /// The request has this key.
    Key(&'a str),
    /// The request has several keys, or one that no organisation can hold.
    Malformed,
}

/// Result of checking the key of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyCheck {
    /// The organisation that holds the key.
    Found(Arc<Organisation>),
    /// The request needs no key and has none that is known.
    NotNeeded,
    /// The request needs a key and has none.
    Missing,
    /// No organisation holds the key.
    Unknown,
}

/// Organisations of a configuration by key.
///
/// Has no `Debug`, so that keys reach no log.
#[derive(Default)]
pub struct Organisations {
    all: Vec<Arc<Organisation>>,
    by_key: HashMap<Box<str>, Arc<Organisation>>,
}

impl Organisations {
    /// Adds an organisation with its keys.
    ///
    /// # Errors
    ///
    /// Returns the name of the organisation that holds one of the keys already.
    pub fn add(&mut self, organisation: Organisation, keys: Vec<String>) -> Result<(), Arc<str>> {
        let organisation = Arc::new(organisation);
        for key in keys {
            let holder = self.by_key.insert(key.into_boxed_str(), Arc::clone(&organisation));
            // An organisation may list a key twice.
            if let Some(holder) = holder.filter(|it| !Arc::ptr_eq(it, &organisation)) {
                return Err(Arc::clone(&holder.name));
            }
        }
        self.all.push(organisation);
        Ok(())
    }

    /// Returns the number of organisations.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns whether there are no organisations, so that requests need no key.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns all organisations.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Organisation>> {
        self.all.iter()
    }

    /// Returns the organisation that holds a key.
    pub fn of_key(&self, key: &str) -> Option<&Arc<Organisation>> {
        self.by_key.get(key)
    }
}

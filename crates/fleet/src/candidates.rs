//! Candidates of one daemon, by service and VM.

use std::collections::{BTreeMap, HashMap};

use shallottack_kernel::{EndpointId, ServiceName};

use crate::candidate::Candidate;

/// Candidates of all services.
///
/// A choice looks at the candidates of one service only, whatever the number of others.
#[derive(Debug, Default)]
pub(crate) struct Candidates {
    /// Candidates of each service, in the order of their VMs.
    services: BTreeMap<ServiceName, Vec<Candidate>>,
    /// Service of the candidate of each VM.
    vms: HashMap<EndpointId, ServiceName>,
}

impl Candidates {
    /// Returns the number of candidates.
    pub(crate) fn len(&self) -> usize {
        self.vms.len()
    }

    /// Returns whether the backend server of a VM is a candidate.
    pub(crate) fn contains_key(&self, vm: &EndpointId) -> bool {
        self.vms.contains_key(vm)
    }

    /// Returns the candidates of all services.
    pub(crate) fn values(&self) -> impl Iterator<Item = &Candidate> {
        self.services.values().flatten()
    }

    /// Returns the candidates of all services, to change anything but their services.
    pub(crate) fn values_mut(&mut self) -> impl Iterator<Item = &mut Candidate> {
        self.services.values_mut().flatten()
    }

    /// Returns the candidates of a service, in the order of their VMs.
    pub(crate) fn of_service(&self, service: &ServiceName) -> &[Candidate] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns the candidate of a VM.
    pub(crate) fn get(&self, vm: &EndpointId) -> Option<&Candidate> {
        let all = self.services.get(self.vms.get(vm)?)?;
        Some(&all[position(all, vm).ok()?])
    }

    /// Returns the candidate of a VM, to change anything but its service.
    pub(crate) fn get_mut(&mut self, vm: &EndpointId) -> Option<&mut Candidate> {
        let all = self.services.get_mut(self.vms.get(vm)?)?;
        let position = position(all, vm).ok()?;
        Some(&mut all[position])
    }

    /// Adds a candidate, in place of another one of its VM.
    pub(crate) fn insert(&mut self, candidate: Candidate) {
        let (vm, service) = (candidate.member.vm.clone(), candidate.server.service.clone());
        self.remove(&vm);
        let all = self.services.entry(service.clone()).or_default();
        let (Ok(position) | Err(position)) = position(all, &vm);
        all.insert(position, candidate);
        self.vms.insert(vm, service);
    }

    /// Sets the service of the candidate of a VM, if there is one.
    pub(crate) fn set_service(&mut self, vm: &EndpointId, service: &ServiceName) {
        if self.vms.get(vm).is_none_or(|it| it == service) {
            return;
        }
        if let Some(mut candidate) = self.remove(vm) {
            candidate.server.service = service.clone();
            self.insert(candidate);
        }
    }

    /// Removes the candidate of a VM.
    pub(crate) fn remove(&mut self, vm: &EndpointId) -> Option<Candidate> {
        let service = self.vms.remove(vm)?;
        let all = self.services.get_mut(&service)?;
        let position = position(all, vm).ok()?;
        let removed = all.remove(position);
        if all.is_empty() {
            self.services.remove(&service);
        }
        Some(removed)
    }
}

/// Returns the position of the candidate of a VM, or where it belongs.
fn position(all: &[Candidate], vm: &EndpointId) -> Result<usize, usize> {
    all.binary_search_by(|it| it.member.vm.cmp(vm))
}

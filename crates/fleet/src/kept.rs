//! Where this daemon's description is held besides its own memory.

use std::collections::HashMap;

use shallottack_kernel::EndpointId;

/// Sequences of the description that the store and other daemons hold.
#[derive(Debug, Default)]
pub struct Kept {
    stored: u64,
    holders: HashMap<EndpointId, u64>,
    /// First sequence that describes the leave of the backend server, 0 without one.
    leave: u64,
}

impl Kept {
    /// Number of other daemons that have to hold a leave before it is acknowledged, unless the store
    /// holds it. With two, it outlives this daemon and another one.
    pub const HOLDERS: usize = 2;

    /// Records that the store holds the description with this sequence.
    pub fn record_stored(&mut self, sequence: u64) {
        self.stored = self.stored.max(sequence);
    }

    /// Records that the daemon of a VM holds the description with this sequence.
    pub fn record_holder(&mut self, vm: &EndpointId, sequence: u64) {
        let held = self.holders.entry(vm.clone()).or_default();
        *held = sequence.max(*held);
    }

    /// Forgets a daemon that no longer exists.
    pub fn remove_holder(&mut self, vm: &EndpointId) {
        self.holders.remove(vm);
    }

    /// Records the first sequence that describes the current state of the leave.
    pub fn record_leave(&mut self, sequence: u64) {
        self.leave = sequence;
    }

    /// Returns whether the leave outlives this daemon; `reachable` is the number of other daemons
    /// that can be reached, counted up to [`Kept::HOLDERS`].
    pub fn is_leave_kept(&self, reachable: usize) -> bool {
        let holders = self.holders.values().filter(|it| **it >= self.leave).count();
        self.stored >= self.leave || holders >= Self::HOLDERS.min(reachable).max(1)
    }
}

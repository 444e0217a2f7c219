//! Live members and the distribution tree computed from them.

use rand::{Rng, RngExt};
use shallottack_kernel::EndpointId;
use xxhash_rust::xxh3::xxh3_64;

use crate::Peer;

/// Parent and children of the local daemon in the tree with one root.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct TreePosition {
    pub(crate) root: EndpointId,
    pub(crate) parent: Option<EndpointId>,
    pub(crate) children: Vec<EndpointId>,
}

/// Live members as known to the local daemon.
#[derive(Debug, Clone)]
pub(crate) struct View {
    me: Peer,
    /// Other members of the local data centre, sorted.
    pub(crate) local: Vec<EndpointId>,
    /// Members of other data centres, sorted.
    pub(crate) remote: Vec<EndpointId>,
    /// Members of the local data centre with the lowest ranks; they may acquire the source lease.
    pub(crate) candidates: Vec<EndpointId>,
    position: Option<TreePosition>,
}

fn pair_hash(first: &str, second: &str) -> u64 {
    let mut bytes = Vec::with_capacity(first.len() + second.len() + 1);
    bytes.extend_from_slice(first.as_bytes());
    // Names contain no zero byte, so different pairs never have the same bytes.
    bytes.push(0);
    bytes.extend_from_slice(second.as_bytes());
    xxh3_64(&bytes)
}

impl View {
    pub(crate) fn new(me: Peer) -> View {
        let candidates = vec![me.endpoint.clone()];
        View { me, local: Vec::new(), remote: Vec::new(), candidates, position: None }
    }

    pub(crate) fn update(&mut self, peers: Vec<Peer>, candidates: usize) {
        self.local.clear();
        self.remote.clear();
        for peer in peers {
            if peer.endpoint == self.me.endpoint {
                continue;
            }
            let same = peer.data_centre == self.me.data_centre;
            if same { &mut self.local } else { &mut self.remote }.push(peer.endpoint);
        }
        for list in [&mut self.local, &mut self.remote] {
            list.sort();
            list.dedup();
        }
        let centre = self.me.data_centre.as_str();
        let mut ranked: Vec<_> = self.local.iter().chain([&self.me.endpoint]).cloned().collect();
        ranked.sort_by_cached_key(|it| pair_hash(centre, it.as_str()));
        ranked.truncate(candidates);
        self.candidates = ranked;
        self.position = None;
    }

    /// Returns the number of members besides the local daemon.
    pub(crate) fn other_members(&self) -> usize {
        self.local.len() + self.remote.len()
    }

    pub(crate) fn is_candidate(&self) -> bool {
        self.candidates.contains(&self.me.endpoint)
    }

    /// Returns a random member, preferably of another data centre if `remote`, otherwise of the
    /// local one.
    pub(crate) fn random(&self, rng: &mut dyn Rng, remote: bool) -> Option<EndpointId> {
        let (first, second) =
            if remote { (&self.remote, &self.local) } else { (&self.local, &self.remote) };
        let list = if first.is_empty() { second } else { first };
        (!list.is_empty()).then(|| list[rng.random_range(0..list.len())].clone())
    }

    /// Returns the local daemon's position in the tree rooted at `root`.
    pub(crate) fn position(&mut self, root: &EndpointId, arity: usize) -> &TreePosition {
        if self.position.as_ref().is_none_or(|it| it.root != *root) {
            self.position = Some(self.compute_position(root, arity));
        }
        self.position.as_ref().expect("set above")
    }

    fn compute_position(&self, root: &EndpointId, arity: usize) -> TreePosition {
        let members = self.local.iter().chain([&self.me.endpoint]).filter(|it| *it != root);
        let mut order: Vec<_> = members.collect();
        order.sort_by_cached_key(|it| pair_hash(root.as_str(), it.as_str()));
        order.insert(0, root);
        let index = order.iter().position(|it| **it == self.me.endpoint).unwrap_or(0);
        let start = (index * arity + 1).min(order.len());
        let end = (start + arity).min(order.len());
        TreePosition {
            root: root.clone(),
            parent: (index > 0).then(|| order[(index - 1) / arity].clone()),
            children: order[start..end].iter().map(|it| (*it).clone()).collect(),
        }
    }
}

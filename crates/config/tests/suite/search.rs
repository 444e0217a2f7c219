//! Breadth-first search over the states of a model.

use std::{
    cell::RefCell,
    hash::{Hash, Hasher},
    rc::Rc,
};

use pathfinding::directed::bfs::bfs_reach;

pub trait Model: Sized {
    /// Returns a digest of the whole state, with 128 bits so that collisions are improbable.
    fn key(&self) -> u128;
    /// Returns the possible next states, each with a label of the event that leads to it.
    fn next(&self) -> Vec<(String, Self)>;
    /// Returns the invariant that the state violates, if any.
    fn violated_invariant(&self) -> Option<&'static str>;
}

struct Event {
    label: String,
    before: Option<Rc<Event>>,
}

struct Node<M> {
    key: u128,
    depth: usize,
    violated: Option<&'static str>,
    /// State, taken when its successors are generated; after that only the digest is kept.
    model: Rc<RefCell<Option<M>>>,
    last: Option<Rc<Event>>,
}

impl<M: Model> Node<M> {
    fn new(model: M, depth: usize, last: Option<Rc<Event>>) -> Node<M> {
        let (key, violated) = (model.key(), model.violated_invariant());
        Node { key, depth, violated, model: Rc::new(RefCell::new(Some(model))), last }
    }

    fn next(&self) -> Vec<Node<M>> {
        let next = self.model.take().map(|model| model.next()).unwrap_or_default();
        let node = |(label, model)| {
            let last = Some(Rc::new(Event { label, before: self.last.clone() }));
            Node::new(model, self.depth + 1, last)
        };
        next.into_iter().map(node).collect()
    }
}

impl<M> Clone for Node<M> {
    fn clone(&self) -> Self {
        Node { model: self.model.clone(), last: self.last.clone(), ..*self }
    }
}

impl<M> PartialEq for Node<M> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<M> Eq for Node<M> {}

impl<M> Hash for Node<M> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

/// Searches all states reachable from `start`. Prints their number and depth, and returns the first
/// violated invariant with the shortest sequence of events that violates it.
pub fn search<M: Model>(name: &str, start: M) -> Option<String> {
    let (mut states, mut depth) = (0, 0);
    for node in bfs_reach(Node::new(start, 0, None), Node::next) {
        states += 1;
        depth = node.depth;
        if let Some(invariant) = node.violated {
            println!("{name}: {invariant} after {states} states, depth {depth}");
            return Some(format!("{}\n=> {invariant}", trace(node.last.as_ref())));
        }
    }
    println!("{name}: holds in all {states} states, depth {depth}");
    None
}

fn trace(mut last: Option<&Rc<Event>>) -> String {
    let mut labels = Vec::new();
    while let Some(event) = last {
        labels.push(event.label.as_str());
        last = event.before.as_ref();
    }
    labels.reverse();
    labels.join("\n")
}

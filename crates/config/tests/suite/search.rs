//! Breadth-first search over the states of a model.

use std::{
    cell::RefCell,
    hash::{Hash, Hasher},
    rc::Rc,
};

use pathfinding::directed::bfs::bfs_reach;

pub trait Model: Sized {
    /// Returns a digest of the whole state; 128 bits make a collision of two states improbable.
    fn key(&self) -> u128;
    /// Returns the possible next states, each with what happens.
    fn next(&self) -> Vec<(String, Self)>;
    /// Returns the invariant that the state breaks.
    fn broken(&self) -> Option<&'static str>;
}

struct Event {
    label: String,
    before: Option<Rc<Event>>,
}

struct Node<M> {
    key: u128,
    depth: usize,
    broken: Option<&'static str>,
    /// The state, until its next states are known; the search keeps only the digest of older ones.
    model: Rc<RefCell<Option<M>>>,
    last: Option<Rc<Event>>,
}

impl<M: Model> Node<M> {
    fn new(model: M, depth: usize, last: Option<Rc<Event>>) -> Node<M> {
        let (key, broken) = (model.key(), model.broken());
        Node { key, depth, broken, model: Rc::new(RefCell::new(Some(model))), last }
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

/// Searches all states from `start`. Prints their number and depth, and returns the first broken
/// invariant with the shortest sequence of events that breaks it.
pub fn search<M: Model>(name: &str, start: M) -> Option<String> {
    let (mut states, mut depth) = (0, 0);
    for node in bfs_reach(Node::new(start, 0, None), Node::next) {
        states += 1;
        depth = node.depth;
        if let Some(invariant) = node.broken {
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

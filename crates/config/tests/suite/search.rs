//! Breadth-first search over the states of a model.

use std::{
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
    model: Rc<M>,
    last: Option<Rc<Event>>,
}

impl<M> Clone for Node<M> {
    fn clone(&self) -> Self {
        let (model, last) = (self.model.clone(), self.last.clone());
        Node { key: self.key, depth: self.depth, model, last }
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
    let root = Node { key: start.key(), depth: 0, model: Rc::new(start), last: None };
    let (mut states, mut depth) = (0, 0);
    let reach = bfs_reach(root, |node: &Node<M>| {
        let (depth, before) = (node.depth + 1, node.last.clone());
        let next = node.model.next().into_iter();
        let nodes = next.map(move |(label, model)| {
            let last = Some(Rc::new(Event { label, before: before.clone() }));
            Node { key: model.key(), depth, model: Rc::new(model), last }
        });
        nodes.collect::<Vec<_>>()
    });
    for node in reach {
        states += 1;
        depth = node.depth;
        if let Some(invariant) = node.model.broken() {
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

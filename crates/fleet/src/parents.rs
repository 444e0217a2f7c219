//! Requests that run at the backend server on this VM, by identifier, as the parents of calls.
//!
//! The calls that a running request makes carry no key. They name their parent by its identifier.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};

use shallottack_kernel::Time;

use crate::{Rank, TaskId};

/// Most requests remembered after their end without an answer; a backend server has at most some
/// tens of slots.
const MAX_ENDED: usize = 256;

/// What calls inherit from the request that makes them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Parent {
    /// Organisation that sent the request; `None` if the request has none or is itself a call.
    pub organisation: Option<Arc<str>>,
    /// Rank of the request.
    pub rank: Rank,
}

/// Result of looking for the parent of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParentLookup {
    /// The parent runs on this VM, or may still run there.
    Found(Parent),
    /// The parent may be a run that began before this daemon started.
    Earlier,
    /// The parent does not run on this VM.
    Missing,
}

#[derive(Debug)]
struct EndedRun {
    id: String,
    parent: Parent,
    /// When the request expires.
    expires: Time,
}

/// Requests that may make calls on this VM.
#[derive(Debug)]
pub struct Parents {
    /// When the daemon started.
    started: Time,
    running: HashMap<TaskId, (String, Parent)>,
    /// Requests whose runs ended without an answer, so that the backend server may still run them.
    ended: VecDeque<EndedRun>,
}

impl Parents {
    /// Creates the state of a daemon that starts.
    pub fn new(started: Time) -> Parents {
        Parents { started, running: HashMap::new(), ended: VecDeque::new() }
    }

    /// Records the start of a run.
    pub fn start(&mut self, task: TaskId, id: &str, parent: Parent) {
        self.running.insert(task, (id.to_owned(), parent));
    }

    /// Records the end of a run.
    ///
    /// `expires` is the deadline of a request that the backend server may still run since it has not
    /// answered; its calls are recognised until then.
    pub fn finish(&mut self, now: Time, task: TaskId, expires: Option<Time>) {
        let Some((id, parent)) = self.running.remove(&task) else { return };
        let Some(expires) = expires.filter(|it| *it > now) else { return };
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(EndedRun { id, parent, expires });
    }

    /// Looks for the request that is named as the parent of a call.
    ///
    /// A run of an earlier daemon on this VM is not known. It expires within `longest`, the longest
    /// time that a request may take, after this daemon started.
    pub fn find(&self, now: Time, id: &str, longest: Duration) -> ParentLookup {
        let running = self.running.values().find(|it| it.0 == id).map(|it| &it.1);
        let ended = || self.ended.iter().find(|it| it.expires > now && it.id == id);
        match running.or_else(|| ended().map(|it| &it.parent)) {
            Some(parent) => ParentLookup::Found(parent.clone()),
            None if now < self.started + longest => ParentLookup::Earlier,
            None => ParentLookup::Missing,
        }
    }
}

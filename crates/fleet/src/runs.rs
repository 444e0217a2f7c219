//! Requests in progress at the backend server on the same VM, and those that a crash ended.
//!
//! A crash closes all connections, so that all runs in progress end without a response. A single
//! lost response is no crash: the others go on, or the backend server still accepts connections.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::Serialize;
use shallottack_kernel::Time;
use smallvec::SmallVec;

use crate::{RequestKey, TaskId};

/// Time within which the runs that a crash ended are noticed, and the crash is detected by a
/// refused connection.
const CRASH_WINDOW: Duration = Duration::from_secs(1);
/// Time within which the first heartbeat of the next incarnation shows a crash.
const RESTART_WINDOW: Duration = Duration::from_secs(3);
/// Time for which a request that ran to its end is not suspected of a crash.
const COMPLETION_WINDOW: Duration = Duration::from_secs(30);
/// Maximum number of completed runs remembered; above the number of runs in the window.
const MAX_COMPLETED: usize = 4_096;
/// Maximum number of runs without a response that are remembered.
const MAX_UNANSWERED: usize = 256;
/// Maximum number of requests in the report of a crash; those that started last are kept.
pub const MAX_SUSPECTS: usize = 64;

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The backend server responded.
    Completed,
    /// The backend server did not run the request.
    NotRun,
    /// There was no response, or the caller did not wait for it.
    Unanswered,
}

/// How a crash of the backend server was detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CrashSign {
    /// It refuses connections.
    Refused,
    /// Another incarnation has started without a leave of the one before.
    Restarted,
}

/// Requests that a crash of the backend server ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashedRuns {
    /// Number of requests that the incarnation ran to their end before.
    pub completions: u32,
    /// Requests that were in progress, once for each run, without those that ran to their end shortly
    /// before.
    pub requests: SmallVec<[RequestKey; 12]>,
}

/// Runs of requests at the backend server on the same VM.
#[derive(Debug, Default)]
pub struct Runs {
    running: HashMap<TaskId, RequestKey>,
    /// Runs that ended without a response, oldest first.
    unanswered: VecDeque<(Time, RequestKey)>,
    /// Runs that ended with a response, oldest first.
    completed: VecDeque<(Time, RequestKey)>,
    /// Number of runs of this incarnation that ended with a response.
    completions: u32,
}

impl Runs {
    /// Records that a request is sent to the backend server.
    pub fn start(&mut self, task: TaskId, key: RequestKey) {
        self.running.insert(task, key);
    }

    /// Returns whether a run of a request is in progress.
    pub fn is_running(&self, key: RequestKey) -> bool {
        self.running.values().any(|it| *it == key)
    }

    /// Records the end of a run.
    pub fn finish(&mut self, now: Time, task: TaskId, end: RunEnd) {
        let Some(key) = self.running.remove(&task) else { return };
        match end {
            RunEnd::Completed => {
                self.completions = self.completions.saturating_add(1);
                push(&mut self.completed, MAX_COMPLETED, (now, key));
            }
            RunEnd::NotRun => {}
            RunEnd::Unanswered => push(&mut self.unanswered, MAX_UNANSWERED, (now, key)),
        }
    }

    /// Returns whether all runs in progress have just ended without a response.
    pub fn may_have_crashed(&self, now: Time) -> bool {
        let recent = |it: &(Time, RequestKey)| now.since(it.0) <= CRASH_WINDOW;
        self.running.is_empty() && self.unanswered.back().is_some_and(recent)
    }

    /// Ends an incarnation of the backend server that has crashed.
    ///
    /// Returns `None` if no request was in progress at the crash.
    pub fn take_crash(&mut self, now: Time, sign: CrashSign) -> Option<CrashedRuns> {
        let window = match sign {
            CrashSign::Refused => CRASH_WINDOW,
            CrashSign::Restarted => RESTART_WINDOW,
        };
        let completed = |key: &RequestKey| {
            self.completed
                .iter()
                .any(|(time, it)| it == key && now.since(*time) <= COMPLETION_WINDOW + window)
        };
        let mut requests: SmallVec<[RequestKey; 12]> = SmallVec::new();
        for (time, key) in self.unanswered.iter().rev() {
            let suspected = now.since(*time) <= window && !completed(key);
            if suspected && requests.len() < MAX_SUSPECTS {
                requests.push(*key);
            }
        }
        let completions = self.completions;
        self.reset();
        (!requests.is_empty()).then_some(CrashedRuns { completions, requests })
    }

    /// Forgets the runs of an incarnation that has ended.
    pub fn reset(&mut self) {
        self.unanswered.clear();
        self.completions = 0;
    }
}

fn push<T>(queue: &mut VecDeque<T>, capacity: usize, entry: T) {
    if queue.len() >= capacity {
        queue.pop_front();
    }
    queue.push_back(entry);
}

//! Sends that their senders can revoke before they start.
//!
//! A daemon whose request is not answered asks the receiver whether it has started. The receiver
//! either confirms that it has, or remembers that it must not start later, also if it arrives only
//! then.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use serde::{Deserialize, Serialize};
use shallottack_kernel::Time;

use crate::TaskId;

/// Longest time from a revocation to its answer; an answer that comes later is not used.
pub const REVOKE_TIMEOUT: Duration = Duration::from_millis(600);
/// Time before the caller gives up at which an unanswered request is revoked, so that the caller
/// still gets the answer: a round trip between data centres on links with a short queue.
const REVOKE_LEAD: Duration = Duration::from_millis(80);
/// Largest share of the time to the deadline that [`REVOKE_LEAD`] may take.
const MAX_LEAD_SHARE: f64 = 0.25;
/// Time after the deadline in which the daemon beside the backend server can still report the
/// outcome.
const REPLY_SLACK: Duration = Duration::from_millis(60);
/// How long a started send is remembered. Later revocations are answered with
/// [`Revocation::Unknown`]; hardly any route has a longer deadline.
const KEEP_STARTED: Duration = Duration::from_secs(12);
/// How long a revoked send is remembered. Later arrivals are recognised by their delay.
const KEEP_REVOKED: Duration = Duration::from_secs(60);
/// Most revoked sends that are remembered; beyond it, nothing is revoked.
const MAX_REVOKED: usize = 8_192;

/// Identifier of one send of a request, unique in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SendId {
    /// Random number of the sending daemon, drawn at its start.
    pub daemon: u64,
    /// Number of the send among those of the daemon.
    pub number: u64,
}

/// Answer to a revocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Revocation {
    /// The send has not started and never will.
    Revoked,
    /// The send has started, and may have ended.
    Started,
    /// It is not known whether the send has started.
    Unknown,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Waits for a slot.
    Waiting(TaskId),
    Started,
    Revoked,
}

/// Sends that the daemon beside a backend server has received.
#[derive(Debug)]
pub struct Sends {
    /// Time since which all sends are recorded.
    began: Time,
    states: HashMap<SendId, State>,
    started: VecDeque<(Time, SendId)>,
    revoked: VecDeque<(Time, SendId)>,
}

impl Sends {
    /// Creates an empty record of a daemon that starts at `now`.
    pub fn new(now: Time) -> Sends {
        Sends {
            began: now,
            states: HashMap::new(),
            started: VecDeque::new(),
            revoked: VecDeque::new(),
        }
    }

    /// Records the arrival of a send. Returns whether it may start, which is not the case if it has
    /// been revoked.
    pub fn arrive(&mut self, now: Time, id: SendId, task: TaskId) -> bool {
        self.expire(now);
        if self.states.contains_key(&id) {
            return false;
        }
        self.states.insert(id, State::Waiting(task));
        true
    }

    /// Records that a send starts. Returns `false` if it must not, since it has been revoked.
    pub fn start(&mut self, now: Time, id: SendId) -> bool {
        if !matches!(self.states.get(&id), Some(State::Waiting(_))) {
            return false;
        }
        self.states.insert(id, State::Started);
        self.started.push_back((now, id));
        true
    }

    /// Records that a send that has not started has ended, and will not start.
    pub fn end_unstarted(&mut self, id: SendId) {
        if matches!(self.states.get(&id), Some(State::Waiting(_))) {
            self.states.remove(&id);
        }
    }

    /// Records that a started send has ended without a run.
    pub fn record_not_run(&mut self, id: SendId) {
        if self.states.get(&id) == Some(&State::Started) {
            self.states.remove(&id);
        }
    }

    /// Revokes a send, if it has not started.
    ///
    /// `age` is the time from the send to the revocation at the sender. Also returns the request to
    /// cancel, if it waits for a slot.
    pub fn revoke(&mut self, now: Time, id: SendId, age: Duration) -> (Revocation, Option<TaskId>) {
        self.expire(now);
        match self.states.get(&id) {
            Some(State::Started) => return (Revocation::Started, None),
            Some(State::Revoked) => return (Revocation::Revoked, None),
            Some(State::Waiting(_)) | None => (),
        }
        // The revocation itself may have been on the way for up to its timeout.
        let age = age + REVOKE_TIMEOUT;
        let recorded = age <= now.since(self.began) && age <= KEEP_STARTED;
        let waiting = match self.states.get(&id) {
            Some(State::Waiting(task)) => Some(*task),
            _ => None,
        };
        if self.revoked.len() >= MAX_REVOKED || (waiting.is_none() && !recorded) {
            return (Revocation::Unknown, None);
        }
        self.states.insert(id, State::Revoked);
        self.revoked.push_back((now, id));
        (Revocation::Revoked, waiting)
    }

    /// Returns the number of sends that are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Returns whether no send is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn expire(&mut self, now: Time) {
        let states = &mut self.states;
        for (queue, keep, state) in [
            (&mut self.started, KEEP_STARTED, State::Started),
            (&mut self.revoked, KEEP_REVOKED, State::Revoked),
        ] {
            while let Some((time, id)) = queue.front()
                && now.since(*time) > keep
            {
                if states.get(id) == Some(&state) {
                    states.remove(id);
                }
                queue.pop_front();
            }
        }
    }
}

/// What is known of a send that has not been answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendEvent {
    /// The connection has ended.
    Cut,
    /// No byte has arrived on the connection for longer than a living one takes.
    Silent,
    /// The time of [`PendingSend::ask_at`] has come.
    Due,
    /// The receiver answered the revocation.
    Answered(Revocation),
    /// The revocation was not answered in time.
    Unanswered,
    /// The time of [`PendingSend::end`] has come.
    Ended,
}

/// Next step of the sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendStep {
    /// Wait for the reply or the next event.
    Wait,
    /// Ask the receiver to revoke the send, and wait for the reply meanwhile.
    Revoke,
    /// End the send; the receiver will not start it.
    NotRun,
    /// End the send as cut; it may have run.
    Cut,
    /// End the send after its deadline; it may have run.
    TimedOut,
}

/// The sender's view of a send that has not been answered.
#[derive(Debug)]
pub struct PendingSend {
    ask_at: Time,
    end: Time,
    idempotent: bool,
    /// Whether the connection has ended.
    cut: bool,
    /// Whether the connection is silent.
    silent: bool,
    /// Whether a revocation is on the way.
    asking: bool,
    /// Whether the receiver has answered, so that a further revocation would tell nothing new.
    answered: bool,
}

impl PendingSend {
    /// Creates the state of a send at `now`.
    ///
    /// `deadline` is that of the request and `waits_until` the time until which the caller waits,
    /// which is the same or later.
    pub fn new(now: Time, deadline: Time, waits_until: Time, idempotent: bool) -> PendingSend {
        let waits = waits_until.since(now);
        let lead = REVOKE_LEAD.min(waits.mul_f64(MAX_LEAD_SHARE));
        let ask_at = (now + waits.saturating_sub(lead)).min(deadline);
        let end = (deadline + REPLY_SLACK).max((ask_at + REVOKE_TIMEOUT).min(waits_until));
        PendingSend {
            ask_at,
            end,
            idempotent,
            cut: false,
            silent: false,
            asking: false,
            answered: false,
        }
    }

    /// Returns the time at which to report [`SendEvent::Due`]; `None` if that is not needed.
    pub fn ask_at(&self) -> Option<Time> {
        (!self.asking && !self.answered).then_some(self.ask_at)
    }

    /// Returns whether to report [`SendEvent::Silent`].
    pub fn watches_silence(&self) -> bool {
        !self.silent && !self.asking && !self.answered
    }

    /// Returns the time at which the sender stops waiting.
    pub fn end(&self) -> Time {
        self.end
    }

    /// Decides how a send continues after an event.
    pub fn handle(&mut self, now: Time, event: SendEvent) -> SendStep {
        match event {
            SendEvent::Answered(Revocation::Revoked) => SendStep::NotRun,
            SendEvent::Answered(Revocation::Started | Revocation::Unknown) => {
                (self.asking, self.answered) = (false, true);
                if self.cut { SendStep::Cut } else { SendStep::Wait }
            }
            SendEvent::Unanswered => {
                self.asking = false;
                // Asking once more before the deadline is of no use if that time has passed.
                self.answered |= now >= self.ask_at;
                // Another server can take an idempotent request; others can only wait.
                if self.cut || (self.silent && self.idempotent) {
                    SendStep::Cut
                } else {
                    SendStep::Wait
                }
            }
            SendEvent::Cut => {
                self.cut = true;
                if self.answered || now >= self.end { SendStep::Cut } else { self.ask() }
            }
            SendEvent::Silent => {
                self.silent = true;
                self.ask()
            }
            SendEvent::Due => self.ask(),
            SendEvent::Ended if self.cut => SendStep::Cut,
            SendEvent::Ended => SendStep::TimedOut,
        }
    }

    fn ask(&mut self) -> SendStep {
        if std::mem::replace(&mut self.asking, true) { SendStep::Wait } else { SendStep::Revoke }
    }
}

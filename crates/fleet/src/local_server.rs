//! The backend server on the same VM: which incarnation runs there, and whether it is leaving.
//!
//! One message does not decide which incarnation runs there. Any process may send a heartbeat, one may
//! arrive late, and the time of day that orders the starts may jump. The backend server itself decides,
//! when it is asked. Where it does not answer, the incarnation that goes on sending heartbeats does.

use std::time::Duration;

use shallottack_kernel::{EndpointId, ServiceName, Time};
use smallvec::SmallVec;

use crate::{Heartbeat, LeaveNotice, Server, ServerState};

/// Heartbeats in a row after which an incarnation runs on the VM even if the backend server does not
/// say so. A late heartbeat comes alone.
const MIN_HEARTBEATS: u32 = 2;
/// Heartbeat intervals without a heartbeat after which an incarnation may have ended; a heartbeat may
/// be late by one interval.
const SILENT_INTERVALS: u32 = 2;
/// Most incarnations that are considered besides the current one.
const MAX_CONTENDERS: usize = 4;

/// Effect of a heartbeat, a leave notice or an answer of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerUpdate {
    /// The backend server, its incarnation or its state changed; other daemons must be notified.
    Changed,
    /// Nothing changed that concerns other daemons.
    Unchanged,
    /// The message is about an earlier incarnation or an unknown backend server, or is out of date.
    Stale,
    /// The message is about another incarnation than the current one; the backend server has to be
    /// asked which one it is.
    Unconfirmed,
}

/// What the backend server on the same VM states about itself when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerAnswer {
    /// It has this identifier.
    Named(EndpointId),
    /// It does not answer, or does not say.
    Silent,
}

/// State of the backend server on the same VM.
#[derive(Debug)]
pub struct LocalServer {
    /// Service of the VM.
    service: ServiceName,
    /// Time after which an incarnation without a heartbeat may have ended.
    silence: Duration,
    current: Option<Current>,
    /// Other incarnations with recent heartbeats.
    contenders: SmallVec<[Contender; 1]>,
    /// Leave notice that came before any heartbeat, with the start time of that incarnation once it
    /// is known.
    early_leave: Option<LeaveNotice>,
}

#[derive(Debug)]
struct Current {
    server: Server,
    sequence: u64,
    last_heartbeat: Time,
    /// Start of the drain, which lasts for the rest of the incarnation.
    draining_since: Option<Time>,
}

/// An incarnation that sends heartbeats, but is not the current one.
#[derive(Debug)]
struct Contender {
    /// Its last heartbeat.
    beat: Heartbeat,
    received: Time,
    /// Number of its heartbeats since the last one of the current incarnation.
    count: u32,
}

impl LocalServer {
    /// Creates the state of a VM whose backend server runs `service` and sends a heartbeat every
    /// `interval`.
    pub fn new(service: ServiceName, interval: Duration) -> LocalServer {
        LocalServer {
            service,
            silence: interval * SILENT_INTERVALS,
            current: None,
            contenders: SmallVec::new(),
            early_leave: None,
        }
    }

    /// Processes a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        if let Some(notice) = &mut self.early_leave
            && notice.id == beat.server.id
            // A leave notice without a start time is about the first incarnation seen afterwards.
            && beat.server.started_ms <= *notice.started_ms.get_or_insert(beat.server.started_ms)
        {
            return ServerUpdate::Stale;
        }
        let current = self.current.as_mut();
        if let Some(current) = current.filter(|it| it.server.is_same_start(&beat.server)) {
            if current.has_left() {
                return ServerUpdate::Stale;
            }
            if beat.sequence > current.sequence {
                self.contenders.iter_mut().for_each(|it| it.count = it.count.min(1));
                return current.update(now, beat);
            }
        }
        self.contend(now, beat)
    }

    /// Processes a heartbeat of another incarnation than the current one, or one with an earlier
    /// sequence number.
    fn contend(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        let known =
            self.contenders.iter().position(|it| it.beat.server.is_same_start(&beat.server));
        let at = match known {
            Some(at) => {
                let contender = &mut self.contenders[at];
                if beat.sequence <= contender.beat.sequence {
                    return ServerUpdate::Stale;
                }
                (contender.beat, contender.received) = (beat.clone(), now);
                contender.count += 1;
                at
            }
            None => {
                self.forget_contender();
                self.contenders.push(Contender { beat: beat.clone(), received: now, count: 1 });
                self.contenders.len() - 1
            }
        };
        let drains = beat.server.state != ServerState::Ready;
        // A server that drains gets no requests, whichever incarnation it is.
        if self.current.is_none() && drains {
            return self.adopt(at);
        }
        if self.contenders[at].count >= MIN_HEARTBEATS && self.is_silent(now) {
            return self.adopt(at);
        }
        let same = self.server().is_some_and(|it| it.is_same_start(&beat.server));
        if same { ServerUpdate::Stale } else { ServerUpdate::Unconfirmed }
    }

    /// Makes room for another contender.
    fn forget_contender(&mut self) {
        if self.contenders.len() == MAX_CONTENDERS {
            let received = self.contenders.iter().map(|it| it.received);
            let oldest = received.enumerate().min_by_key(|it| it.1).map_or(0, |it| it.0);
            self.contenders.remove(oldest);
        }
    }

    /// Processes what the backend server stated when it was asked, after
    /// [`ServerUpdate::Unconfirmed`].
    pub fn answer(&mut self, answer: &ServerAnswer) -> ServerUpdate {
        let ServerAnswer::Named(id) = answer else { return ServerUpdate::Unchanged };
        // Another process sent the other heartbeats, or they were late.
        self.contenders.retain(|it| it.beat.server.id == *id);
        let mut candidates: SmallVec<[usize; 1]> = (0..self.contenders.len()).collect();
        candidates.retain(|at| self.precedes(&self.contenders[*at].beat.server));
        match candidates.into_iter().max_by_key(|at| self.contenders[*at].received) {
            Some(at) => self.adopt(at),
            None => ServerUpdate::Unchanged,
        }
    }

    /// Returns whether a server with the identifier that runs on the VM replaces the current one.
    ///
    /// The identifier does not tell the incarnations apart that have it; of these, one whose start is
    /// earlier, or whose service is not that of the VM, has to go on sending heartbeats instead.
    fn precedes(&self, server: &Server) -> bool {
        let Some(current) = self.server().filter(|it| it.id == server.id) else { return true };
        let rank = |it: &Server| (it.service == self.service, it.started_ms);
        rank(server) > rank(current)
    }

    /// Makes a contender the current incarnation.
    fn adopt(&mut self, at: usize) -> ServerUpdate {
        let Contender { beat: Heartbeat { mut server, sequence }, received, .. } =
            self.contenders.remove(at);
        let same = self.current.take_if(|it| it.server.is_same_start(&server));
        let drains = server.state != ServerState::Ready;
        let draining_since = same.and_then(|it| it.draining_since).or(drains.then_some(received));
        if draining_since.is_some() {
            server.state = ServerState::Draining;
        }
        self.current = Some(Current { server, sequence, last_heartbeat: received, draining_since });
        ServerUpdate::Changed
    }

    /// Returns whether the current incarnation, if there is one, may have ended.
    fn is_silent(&self, now: Time) -> bool {
        self.heartbeat_age(now).is_none_or(|it| it >= self.silence)
    }

    /// Processes a notice that the backend server `id` leaves without a drain.
    ///
    /// `started_ms` is the start time of the incarnation, if the notice states it.
    pub fn leave(&mut self, now: Time, id: &EndpointId, started_ms: Option<u64>) -> ServerUpdate {
        let Some(current) = self.current.as_mut().filter(|it| it.server.id == *id) else {
            self.early_leave = Some(LeaveNotice { id: id.clone(), started_ms });
            return ServerUpdate::Stale;
        };
        if started_ms.is_some_and(|it| it < current.server.started_ms) {
            return ServerUpdate::Stale;
        }
        current.draining_since.get_or_insert(now);
        if current.has_left() {
            return ServerUpdate::Unchanged;
        }
        current.server.state = ServerState::Gone;
        ServerUpdate::Changed
    }

    /// Processes a leave notice that the store or another daemon holds.
    ///
    /// It does not replace the notice of a later incarnation, or of an unknown one, which this daemon
    /// has received itself.
    pub fn restore_leave(&mut self, now: Time, notice: &LeaveNotice) -> ServerUpdate {
        let is_current = self.server().is_some_and(|it| it.id == notice.id);
        let is_later = |it: &LeaveNotice| {
            it.started_ms.is_none_or(|started_ms| Some(started_ms) >= notice.started_ms)
        };
        if !is_current && self.early_leave.as_ref().is_some_and(is_later) {
            return ServerUpdate::Stale;
        }
        self.leave(now, &notice.id, notice.started_ms)
    }

    /// Returns the leave notice that came before any heartbeat.
    pub fn early_leave(&self) -> Option<&LeaveNotice> {
        self.early_leave.as_ref()
    }

    /// Processes a response in which the backend server states that it is leaving.
    pub fn observe_leaving(&mut self, now: Time) -> ServerUpdate {
        let Some(current) = &mut self.current else { return ServerUpdate::Stale };
        current.draining_since.get_or_insert(now);
        if current.server.state != ServerState::Ready {
            return ServerUpdate::Unchanged;
        }
        current.server.state = ServerState::Draining;
        ServerUpdate::Changed
    }

    /// Returns the state of the backend server, or `None` before its first heartbeat.
    pub fn server(&self) -> Option<&Server> {
        self.current.as_ref().map(|it| &it.server)
    }

    /// Returns whether the backend server accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.current.as_ref().is_some_and(|it| it.server.state == ServerState::Ready)
    }

    /// Returns the time since the last heartbeat, or `None` before the first.
    pub fn heartbeat_age(&self, now: Time) -> Option<Duration> {
        self.current.as_ref().map(|it| now.since(it.last_heartbeat))
    }
}

impl Current {
    fn has_left(&self) -> bool {
        self.server.state == ServerState::Gone
    }

    fn update(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        self.sequence = beat.sequence;
        self.last_heartbeat = now;
        self.server.warmup_left = beat.server.warmup_left;
        let state =
            if self.draining_since.is_some() { ServerState::Draining } else { beat.server.state };
        if state != ServerState::Ready {
            self.draining_since.get_or_insert(now);
        }
        let changed = self.server.state != state || self.server.slots != beat.server.slots;
        self.server.state = state;
        self.server.slots = beat.server.slots;
        if changed { ServerUpdate::Changed } else { ServerUpdate::Unchanged }
    }
}

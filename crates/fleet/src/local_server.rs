//! The backend server on the same VM: which incarnation runs there, and whether it is leaving.
//!
//! One message does not decide which incarnation runs there. Any process may send a heartbeat, one may
//! arrive late, and the time of day that orders the starts may jump. The backend server itself decides,
//! when it is asked. Where it does not answer, the incarnation that goes on sending heartbeats does.

use std::time::Duration;

use shallottack_kernel::{EndpointId, ServiceName, Time};
use smallvec::SmallVec;

use crate::{
    Heartbeat, LeaveNotice, Server, ServerState,
    leaves::{Leaves, Standing},
};

/// Heartbeats in a row after which an incarnation runs on the VM even if the backend server does not
/// say so. A late heartbeat comes alone.
const MIN_HEARTBEATS: u32 = 2;
/// Heartbeats in a row after which an incarnation that may have left has not.
const MIN_DOUBTFUL_HEARTBEATS: u32 = 3;
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
    /// There is no room to keep a leave, which must not be acknowledged.
    Refused,
}

/// What the backend server on the same VM states about itself when it is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerAnswer {
    /// It has this identifier.
    Named(EndpointId, Stay),
    /// It does not answer, or does not say.
    Silent,
}

/// What a response of the backend server tells of whether it is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stay {
    /// It does not say that it is leaving.
    Stays,
    /// It ends connections, as servers do that are leaving, and others now and then.
    Unclear,
    /// It says that it is leaving.
    Leaves,
}

/// State of the backend server on the same VM.
#[derive(Debug)]
pub struct LocalServer {
    /// When the daemon started, on its clock and as Unix time in milliseconds.
    started: (Time, u64),
    /// Service of the VM.
    service: ServiceName,
    /// Time after which an incarnation without a heartbeat may have ended.
    silence: Duration,
    current: Option<Current>,
    /// Other incarnations with recent heartbeats.
    contenders: SmallVec<[Contender; 1]>,
    /// Leaves of other incarnations than the current one.
    leaves: Leaves,
}

#[derive(Debug)]
struct Current {
    server: Server,
    sequence: u64,
    last_heartbeat: Time,
    /// Start of the drain, which lasts for the rest of the incarnation.
    draining_since: Option<Time>,
    /// Whether another incarnation seems to run in its place. Its next heartbeat says otherwise.
    doubtful: bool,
}

/// An incarnation that sends heartbeats, but is not the current one.
#[derive(Debug)]
struct Contender {
    /// Its last heartbeat.
    beat: Heartbeat,
    received: Time,
    /// Number of its heartbeats since the last one of the current incarnation.
    count: u32,
    /// Whether a server with its identifier has left since its last heartbeat.
    doubtful: bool,
    /// Whether its first heartbeat may be a late one of a server that left before this daemon started.
    late: bool,
}

impl LocalServer {
    /// Creates the state of a VM whose backend server runs `service` and sends a heartbeat every
    /// `interval`, for a daemon that starts now.
    ///
    /// `unix_ms` is the Unix time in milliseconds.
    pub fn new(now: Time, unix_ms: u64, service: ServiceName, interval: Duration) -> LocalServer {
        LocalServer {
            started: (now, unix_ms),
            service,
            silence: interval * SILENT_INTERVALS,
            current: None,
            contenders: SmallVec::new(),
            leaves: Leaves::default(),
        }
    }

    /// Processes a heartbeat.
    pub fn heartbeat(&mut self, now: Time, beat: &Heartbeat) -> ServerUpdate {
        let drains = beat.server.state != ServerState::Ready;
        let current = self.current.as_mut();
        if let Some(current) = current.filter(|it| it.server.is_same_start(&beat.server)) {
            if current.has_left() {
                return ServerUpdate::Stale;
            }
            if beat.sequence > current.sequence {
                self.contenders.iter_mut().for_each(|it| it.count = it.count.min(1));
                return current.update(now, beat);
            }
            // A drain lasts for the rest of the incarnation, also if it is stated late.
            if drains {
                return current.drain(now);
            }
        } else if drains {
            // Kept as a leave, since the answer to the heartbeat acknowledges it.
            if let Some(notice) = LeaveNotice::of(&beat.server) {
                self.doubt_contenders(now, &notice);
                if !self.leaves.record(now, notice) {
                    return ServerUpdate::Refused;
                }
            }
            if let Some(current) = self.current.as_mut().filter(|it| it.server.id == beat.server.id)
            {
                current.doubt();
            }
        } else if self.leaves.standing(&beat.server) == Standing::Left {
            return ServerUpdate::Stale;
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
                contender.doubtful = false;
                at
            }
            None => {
                let late = self.may_be_late(now, &beat.server);
                self.add_contender(Contender { late, ..Contender::new(now, beat.clone()) })
            }
        };
        let drains = beat.server.state != ServerState::Ready;
        // A server that drains gets no requests, whichever incarnation it is.
        if self.current.is_none() && drains {
            return self.adopt(at);
        }
        let needed = match self.leaves.standing(&beat.server) {
            Standing::Doubtful => MIN_DOUBTFUL_HEARTBEATS,
            Standing::Free | Standing::Left => MIN_HEARTBEATS,
        };
        if self.contenders[at].count >= needed && self.is_silent(now) {
            return self.adopt(at);
        }
        let same = self.server().is_some_and(|it| it.is_same_start(&beat.server));
        if same { ServerUpdate::Stale } else { ServerUpdate::Unconfirmed }
    }

    /// Returns whether a heartbeat may be a late one of a server that left before this daemon started:
    /// no server has sent one since, although this one already ran.
    fn may_be_late(&self, now: Time, server: &Server) -> bool {
        let (started, started_ms) = self.started;
        let silent = now.since(started) >= self.silence && self.current.is_none();
        silent && server.started_ms < started_ms
    }

    /// Adds a contender, in place of the one that has been silent for longest if there are many.
    /// Returns its position.
    fn add_contender(&mut self, contender: Contender) -> usize {
        if self.contenders.len() == MAX_CONTENDERS {
            let received = self.contenders.iter().map(|it| it.received);
            let oldest = received.enumerate().min_by_key(|it| it.1).map_or(0, |it| it.0);
            self.contenders.remove(oldest);
        }
        self.contenders.push(contender);
        self.contenders.len() - 1
    }

    /// Processes what the backend server stated when it was asked, after
    /// [`ServerUpdate::Unconfirmed`].
    pub fn answer(&mut self, now: Time, answer: &ServerAnswer) -> ServerUpdate {
        let ServerAnswer::Named(id, stay) = answer else { return ServerUpdate::Unchanged };
        // Another process sent the other heartbeats, or they were late.
        self.contenders.retain(|it| it.beat.server.id == *id);
        match stay {
            Stay::Stays => {}
            Stay::Unclear => self.contenders.iter_mut().for_each(|it| it.late |= it.count == 1),
            Stay::Leaves => {
                self.doubt_contenders(now, &LeaveNotice { id: id.clone(), started_ms: None });
                let current = self.current.as_mut().filter(|it| it.server.id == *id);
                return current.map_or(ServerUpdate::Unchanged, |it| it.drain(now));
            }
        }
        let mut candidates: SmallVec<[usize; 1]> = (0..self.contenders.len()).collect();
        candidates.retain(|at| self.replaces_current(&self.contenders[*at].beat.server));
        candidates.retain(|at| self.is_sound(*at));
        if let Some(at) = candidates.into_iter().max_by_key(|at| self.contenders[*at].received) {
            return self.adopt(at);
        }
        match &mut self.current {
            Some(current) if current.server.id != *id => current.doubt(),
            _ => ServerUpdate::Unchanged,
        }
    }

    /// Returns whether no leave is about a contender, or it has gone on running since.
    fn is_sound(&mut self, at: usize) -> bool {
        let Contender { beat, count, doubtful, late, .. } = &self.contenders[at];
        if *doubtful || (*late && *count < MIN_HEARTBEATS) {
            return false;
        }
        match self.leaves.standing(&beat.server) {
            Standing::Free => true,
            Standing::Doubtful => *count >= MIN_DOUBTFUL_HEARTBEATS,
            Standing::Left => beat.server.state != ServerState::Ready,
        }
    }

    /// Returns whether a server with the identifier that runs on the VM replaces the current one.
    ///
    /// The identifier does not tell the incarnations apart that have it; of these, one whose start is
    /// earlier, or whose service is not that of the VM, has to go on sending heartbeats instead.
    fn replaces_current(&self, server: &Server) -> bool {
        let Some(current) = self.server().filter(|it| it.id == server.id) else { return true };
        let rank = |it: &Server| (it.service == self.service, it.started_ms);
        rank(server) > rank(current)
    }

    /// Makes a contender the current incarnation.
    fn adopt(&mut self, at: usize) -> ServerUpdate {
        let Contender { beat: Heartbeat { mut server, sequence }, received, .. } =
            self.contenders.remove(at);
        let former = self.current.take();
        let same = former.as_ref().filter(|it| it.server.is_same_start(&server));
        let drains = server.state != ServerState::Ready;
        let draining_since = same.and_then(|it| it.draining_since).or(drains.then_some(received));
        if draining_since.is_some() {
            server.state = ServerState::Draining;
        }
        if server.state == ServerState::Ready {
            self.leaves.refute(&server.id);
        }
        let left = former.filter(|it| !it.server.is_same_start(&server));
        if let Some(notice) = left.and_then(|it| LeaveNotice::of(&it.server)) {
            self.leaves.record_ended(received, notice);
        }
        self.current = Some(Current {
            server,
            sequence,
            last_heartbeat: received,
            draining_since,
            doubtful: false,
        });
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
        let notice = LeaveNotice { id: id.clone(), started_ms };
        self.doubt_contenders(now, &notice);
        match self.current.as_mut().filter(|it| it.server.id == *id) {
            Some(current) if notice.is_about(&current.server) => current.leave(now),
            _ if !self.leaves.record(now, notice) => ServerUpdate::Refused,
            Some(current) => current.doubt(),
            None => ServerUpdate::Stale,
        }
    }

    /// Doubts the contenders with the identifier of a server that leaves, and records the leave of those
    /// that the notice may be about. A notice without a start is about the incarnation that runs now,
    /// whichever that is.
    fn doubt_contenders(&mut self, now: Time, notice: &LeaveNotice) {
        let leaves = &mut self.leaves;
        for contender in self.contenders.iter_mut().filter(|it| it.beat.server.id == notice.id) {
            let server = &contender.beat.server;
            contender.doubtful = true;
            if notice.is_about(server) {
                let started_ms = Some(server.started_ms);
                leaves.record(now, LeaveNotice { id: server.id.clone(), started_ms });
            }
        }
    }

    /// Processes a leave notice that the store or another daemon holds.
    pub fn restore_leave(&mut self, now: Time, notice: &LeaveNotice) -> ServerUpdate {
        if self.leaves.contains(notice) {
            return ServerUpdate::Stale;
        }
        let current = self.current.as_mut().filter(|it| it.server.id == notice.id);
        if let (Some(current), Some(_)) = (current, notice.started_ms)
            && notice.is_about(&current.server)
        {
            return current.leave(now);
        }
        if !self.leaves.record(now, notice.clone()) {
            return ServerUpdate::Refused;
        }
        let Some(current) = self.current.take_if(|it| it.server.id == notice.id) else {
            return ServerUpdate::Stale;
        };
        // The current incarnation may be the one that left, unless its start is stated and differs.
        if notice.started_ms.is_some() || current.has_left() {
            self.current = Some(current);
            return ServerUpdate::Stale;
        }
        let Current { server, sequence, last_heartbeat, .. } = current;
        self.add_contender(Contender::new(last_heartbeat, Heartbeat { server, sequence }));
        ServerUpdate::Changed
    }

    /// Returns the leaves of other incarnations than the current one.
    pub fn leaves(&self) -> impl Iterator<Item = &LeaveNotice> {
        self.leaves.notices()
    }

    /// Returns a number that rises with each leave that is recorded of another incarnation than the
    /// current one.
    pub fn leaves_revision(&self) -> u64 {
        self.leaves.revision()
    }

    /// Processes a response in which the backend server states that it is leaving.
    pub fn observe_leaving(&mut self, now: Time) -> ServerUpdate {
        self.current.as_mut().map_or(ServerUpdate::Stale, |it| it.drain(now))
    }

    /// Returns the state of the backend server, or `None` before its first heartbeat.
    pub fn server(&self) -> Option<&Server> {
        self.current.as_ref().map(|it| &it.server)
    }

    /// Returns whether the backend server accepts new requests.
    pub fn is_ready(&self) -> bool {
        let is_ready = |it: &Current| it.server.state == ServerState::Ready && !it.doubtful;
        self.current.as_ref().is_some_and(is_ready)
    }

    /// Returns the time since the last heartbeat, or `None` before the first.
    pub fn heartbeat_age(&self, now: Time) -> Option<Duration> {
        self.current.as_ref().map(|it| now.since(it.last_heartbeat))
    }
}

impl Contender {
    fn new(received: Time, beat: Heartbeat) -> Contender {
        Contender { beat, received, count: 1, doubtful: false, late: false }
    }
}

impl Current {
    fn has_left(&self) -> bool {
        self.server.state == ServerState::Gone
    }

    fn leave(&mut self, now: Time) -> ServerUpdate {
        self.draining_since.get_or_insert(now);
        let state = std::mem::replace(&mut self.server.state, ServerState::Gone);
        if state == ServerState::Gone { ServerUpdate::Unchanged } else { ServerUpdate::Changed }
    }

    fn drain(&mut self, now: Time) -> ServerUpdate {
        self.draining_since.get_or_insert(now);
        if self.server.state != ServerState::Ready {
            return ServerUpdate::Unchanged;
        }
        self.server.state = ServerState::Draining;
        ServerUpdate::Changed
    }

    /// Sends no requests until the next heartbeat.
    fn doubt(&mut self) -> ServerUpdate {
        let doubtful = std::mem::replace(&mut self.doubtful, true);
        if doubtful { ServerUpdate::Unchanged } else { ServerUpdate::Changed }
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
        let doubtful = std::mem::replace(&mut self.doubtful, false);
        let changed =
            doubtful || self.server.state != state || self.server.slots != beat.server.slots;
        self.server.state = state;
        self.server.slots = beat.server.slots;
        if changed { ServerUpdate::Changed } else { ServerUpdate::Unchanged }
    }
}

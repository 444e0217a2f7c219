//! Bodies that other daemons may send over the link of this VM.
//!
//! Answers uploads that all callers' daemons send to one VM at the same time: together they fill its
//! link, and configurations, loads and calls with short deadlines wait behind them. A daemon that has
//! a large body sends the head of its request, and the body when this daemon grants it. At any time,
//! so many bodies are granted that what is on the way keeps the link busy for some tens of
//! milliseconds, whoever sends it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use shallottack_kernel::Time;
use smallvec::SmallVec;

use crate::{LARGE_BYTES, Rank, TaskId, link::PACED_SHARE};

/// Time for which the granted bodies keep the link busy: a few round trips between data centres, so
/// that the link is not idle until the next part comes. Small messages wait behind it.
const ON_WAY_TIME: Duration = Duration::from_millis(30);
/// Smallest number of bodies that are granted, so that one may begin while another one ends.
const MIN_GRANTED: usize = 2;
/// Time without a byte of a granted body after which another one is granted in its place: its sender
/// has stopped, or its own link is the slow one.
const STALL_TIME: Duration = Duration::from_millis(250);
/// Time over which the bytes of each sender are averaged; several bodies take it on a slow link.
const SHARE_WINDOW: Duration = Duration::from_secs(1);
/// Number of senders from which those without recent bytes are forgotten.
const MAX_SENDERS: usize = 256;
/// Most bodies that wait; more of them take longer than any request has.
const MAX_WAITING: usize = 512;
/// Share of the mean over all ranks up to which the bodies of a rank go before more urgent ones, so that
/// none is starved: each is to be served a quarter as often as the mean.
const STARVED_SHARE: f64 = 0.3;

/// A body that another daemon would send.
#[derive(Debug, Clone)]
pub struct BodyOffer {
    /// Identifies the request.
    pub task: TaskId,
    /// Length in bytes.
    pub bytes: usize,
    /// Rank of the request.
    pub rank: Rank,
    /// Organisation of the request, or its route if there is none; they take equal turns.
    pub sender: Arc<str>,
    /// Time by which the response meets the latency goal.
    pub goal: Time,
    /// Longest time that it may wait for its turn.
    pub max_wait: Duration,
}

/// Decision on an offer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyDecision {
    /// The body may come now.
    Grant,
    /// The body waits for its turn.
    Wait,
    /// The body would wait for too long.
    Refuse {
        /// Time after which it could.
        retry_after: Duration,
    },
}

/// Decision on a body that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyWake {
    /// The body may come now.
    Grant(TaskId),
    /// The body has waited for too long; after the given time it could come at once.
    Refuse(TaskId, Duration),
}

#[derive(Debug)]
struct Granted {
    task: TaskId,
    /// Bytes that have not arrived.
    left: usize,
    /// Time of the grant, or of the last bytes.
    progress: Time,
}

#[derive(Debug)]
struct Waiting {
    offer: BodyOffer,
    arrived: Time,
}

/// Bytes granted to a sender, as an exponentially decaying sum.
#[derive(Debug, Clone, Copy)]
struct Share {
    bytes: f64,
    updated: Time,
}

/// Order in which bodies are granted; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    unstarved: bool,
    rank: Rank,
    /// Kilobytes that the sender was granted recently.
    granted_kb: u64,
    goal: Time,
}

/// Bodies on their way to this VM, and those that wait for their turn.
#[derive(Debug)]
pub struct Intake {
    /// Bandwidth for bodies in bytes per second.
    rate: f64,
    /// Number of bodies that are granted at the same time.
    max_granted: usize,
    granted: SmallVec<[Granted; 4]>,
    waiting: Vec<Waiting>,
    shares: HashMap<Arc<str>, Share>,
    ranks: SmallVec<[(Rank, Share); 4]>,
}

impl Intake {
    /// Creates the record for an idle link of `kbps` kilobits per second.
    pub fn new(kbps: u32) -> Intake {
        let rate = f64::from(kbps.max(1)) * 1_000.0 / 8.0;
        // Of each body, one part of the size of a stream's window is on the way.
        let parts = (rate * ON_WAY_TIME.as_secs_f64() / LARGE_BYTES as f64) as usize;
        Intake {
            rate: rate * PACED_SHARE,
            max_granted: parts.max(MIN_GRANTED),
            granted: SmallVec::new(),
            waiting: Vec::new(),
            shares: HashMap::new(),
            ranks: SmallVec::new(),
        }
    }

    /// Decides on the offer of a body.
    pub fn offer(&mut self, now: Time, offer: BodyOffer) -> BodyDecision {
        let free = self.active(now) < self.max_granted && self.waiting.is_empty();
        let wait = if free { Duration::ZERO } else { self.expected_wait(now, &offer) };
        let full = self.waiting.len() >= MAX_WAITING;
        if wait > offer.max_wait || full {
            return BodyDecision::Refuse { retry_after: wait.saturating_sub(offer.max_wait) };
        }
        if free {
            self.grant(now, &offer);
            return BodyDecision::Grant;
        }
        self.waiting.push(Waiting { offer, arrived: now });
        BodyDecision::Wait
    }

    /// Records that bytes of a granted body have arrived.
    pub fn record_arrival(&mut self, now: Time, task: TaskId, bytes: usize) {
        if let Some(it) = self.granted.iter_mut().find(|it| it.task == task) {
            it.left = it.left.saturating_sub(bytes);
            it.progress = now;
        }
    }

    /// Ends a body that has arrived, or whose sender no longer sends it, granted or not.
    pub fn end(&mut self, now: Time, task: TaskId) -> SmallVec<[BodyWake; 4]> {
        self.granted.retain(|it| it.task != task);
        self.waiting.retain(|it| it.offer.task != task);
        self.advance(now)
    }

    /// Refuses the bodies that have waited for too long, and grants others if there is room.
    pub fn advance(&mut self, now: Time) -> SmallVec<[BodyWake; 4]> {
        let mut wakes = SmallVec::new();
        let backlog = self.backlog();
        self.waiting.retain(|it| {
            let late = now.since(it.arrived) > it.offer.max_wait;
            if late {
                wakes.push(BodyWake::Refuse(it.offer.task, backlog));
            }
            !late
        });
        while self.active(now) < self.max_granted && !self.waiting.is_empty() {
            let next = (0..self.waiting.len()).min_by_key(|&it| self.turn(now, &self.waiting[it]));
            let waiting = self.waiting.remove(next.unwrap_or(0));
            self.grant(now, &waiting.offer);
            wakes.push(BodyWake::Grant(waiting.offer.task));
        }
        wakes
    }

    /// Returns the time that the granted and the waiting bodies take.
    pub fn backlog(&self) -> Duration {
        let waiting: usize = self.waiting.iter().map(|it| it.offer.bytes).sum();
        self.transfer_time(self.on_way() + waiting)
    }

    /// Returns the number of granted bodies.
    pub fn granted(&self) -> usize {
        self.granted.len()
    }

    /// Returns the number of bodies that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of bytes that were granted and have not arrived.
    pub fn on_way(&self) -> usize {
        self.granted.iter().map(|it| it.left).sum()
    }

    /// Returns the number of granted bodies whose bytes arrive.
    fn active(&self, now: Time) -> usize {
        self.granted.iter().filter(|it| now.since(it.progress) < STALL_TIME).count()
    }

    fn grant(&mut self, now: Time, offer: &BodyOffer) {
        self.granted.push(Granted { task: offer.task, left: offer.bytes, progress: now });
        if self.shares.len() >= MAX_SENDERS {
            self.shares.retain(|_, it| it.at(now) >= 1.0);
        }
        let share = self.shares.entry(Arc::clone(&offer.sender));
        let share = share.or_insert(Share { bytes: 0.0, updated: now });
        share.add(now, offer.bytes);
        self.ranks.retain(|it| it.1.at(now) >= 1.0);
        match self.ranks.iter_mut().find(|it| it.0 == offer.rank) {
            Some((_, share)) => share.add(now, offer.bytes),
            None => {
                self.ranks.push((offer.rank, Share { bytes: offer.bytes as f64, updated: now }));
            }
        }
    }

    /// Returns whether the bodies of a rank were granted so rarely that they go first.
    fn is_starved(&self, now: Time, rank: Rank) -> bool {
        let own = self.ranks.iter().find(|it| it.0 == rank).map_or(0.0, |it| it.1.at(now));
        let all: f64 = self.ranks.iter().map(|it| it.1.at(now)).sum();
        own < all / self.ranks.len().max(1) as f64 * STARVED_SHARE
    }

    fn turn(&self, now: Time, waiting: &Waiting) -> Turn {
        let offer = &waiting.offer;
        let granted = self.shares.get(&offer.sender).map_or(0.0, |it| it.at(now));
        Turn {
            unstarved: !self.is_starved(now, offer.rank),
            rank: offer.rank,
            granted_kb: (granted / 1_024.0) as u64,
            goal: offer.goal,
        }
    }

    /// Returns the expected time until an offer has its turn.
    fn expected_wait(&self, now: Time, offer: &BodyOffer) -> Duration {
        let waiting = Waiting { offer: offer.clone(), arrived: now };
        let turn = self.turn(now, &waiting);
        let ahead = self.waiting.iter().filter(|it| self.turn(now, it) <= turn);
        let ahead: usize = ahead.map(|it| it.offer.bytes).sum();
        self.transfer_time(self.on_way() + ahead)
    }

    /// Returns the time that a body of `bytes` takes on an idle link.
    pub fn transfer_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.rate)
    }
}

impl Share {
    fn add(&mut self, now: Time, bytes: usize) {
        *self = Share { bytes: self.at(now) + bytes as f64, updated: now };
    }

    /// Returns the sum at `now`.
    fn at(self, now: Time) -> f64 {
        let age = now.since(self.updated).as_secs_f64() / SHARE_WINDOW.as_secs_f64();
        self.bytes * (-age).exp()
    }
}

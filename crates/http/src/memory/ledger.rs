//! Decides who gets memory for the bytes of peers.

use std::collections::{HashMap, VecDeque};

use smallvec::SmallVec;

/// What a message is; responses can't use the whole budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request, which can still be refused as not run.
    Request,
    /// A response.
    Response,
}

/// Sizes of a budget in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetSettings {
    /// Bytes that all messages may hold together.
    pub capacity: usize,
    /// Part of the capacity that only short messages use, so that long ones never stop them.
    pub short_share: usize,
    /// Bytes that all long responses may hold together.
    pub responses: usize,
}

/// Longest short message in bytes.
pub const SHORT_BYTES: usize = 64 * 1024;
/// A message of unknown length that holds more than this part of its share gives up when it can't
/// grow. Shorter ones wait for those that give up or end.
const PATIENT_PART: usize = 8;

/// Memory of one message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Ticket(u64);

/// Decision about a message that needs more memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Growth {
    /// The memory is granted.
    Granted,
    /// The message waits its turn.
    Wait,
    /// The message has to be given up, since it holds what others wait for or is too long.
    GiveUp,
}

#[derive(Debug)]
struct Holder {
    kind: Kind,
    held: usize,
    /// Bytes that it waits for, together with those held.
    wanted: usize,
}

/// Memory held and awaited by all messages.
#[derive(Debug)]
pub struct Ledger {
    settings: BudgetSettings,
    holders: HashMap<Ticket, Holder>,
    held: usize,
    /// Bytes held by long messages.
    long: usize,
    /// Bytes held by long responses.
    long_responses: usize,
    /// Messages that wait, in the order of their arrival.
    waiting: VecDeque<Ticket>,
    next: u64,
    peak: usize,
}

impl Ledger {
    /// Creates a ledger without messages.
    pub fn new(settings: BudgetSettings) -> Ledger {
        Ledger {
            settings,
            holders: HashMap::new(),
            held: 0,
            long: 0,
            long_responses: 0,
            waiting: VecDeque::new(),
            next: 0,
            peak: 0,
        }
    }

    /// Adds a message that holds nothing yet.
    pub fn open(&mut self, kind: Kind) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        self.holders.insert(ticket, Holder { kind, held: 0, wanted: 0 });
        ticket
    }

    /// Grants a message `total` bytes if they are free and no earlier message waits for them.
    pub fn try_grow(&mut self, ticket: Ticket, total: usize) -> bool {
        let Some(holder) = self.holders.get(&ticket) else { return false };
        if total <= holder.held {
            return true;
        }
        let overtakes = total > SHORT_BYTES && self.waiting.iter().any(|it| *it != ticket);
        if overtakes || !self.fits(holder, total) {
            return false;
        }
        self.set(ticket, total);
        true
    }

    /// Grants a message `total` bytes, or decides what to do instead.
    pub fn grow(&mut self, ticket: Ticket, total: usize) -> Growth {
        if self.try_grow(ticket, total) {
            self.waiting.retain(|it| *it != ticket);
            return Growth::Granted;
        }
        let Some(holder) = self.holders.get_mut(&ticket) else { return Growth::GiveUp };
        let share = match holder.kind {
            Kind::Request => self.settings.capacity - self.settings.short_share,
            Kind::Response => self.settings.responses,
        };
        if total > share.max(SHORT_BYTES) || holder.held > share / PATIENT_PART {
            self.waiting.retain(|it| *it != ticket);
            return Growth::GiveUp;
        }
        holder.wanted = total;
        if !self.waiting.contains(&ticket) {
            self.waiting.push_back(ticket);
        }
        Growth::Wait
    }

    /// Reduces what a message holds to `total` bytes. Returns the messages whose wait ends.
    pub fn shrink(&mut self, ticket: Ticket, total: usize) -> SmallVec<[Ticket; 2]> {
        if self.holders.get(&ticket).is_some_and(|it| total < it.held) {
            self.set(ticket, total);
        }
        self.grant_waiting()
    }

    /// Removes a message. Returns the messages whose wait ends.
    pub fn close(&mut self, ticket: Ticket) -> SmallVec<[Ticket; 2]> {
        self.set(ticket, 0);
        self.holders.remove(&ticket);
        self.waiting.retain(|it| *it != ticket);
        self.grant_waiting()
    }

    /// Returns the length in bytes of the longest request that fits when nothing else is held.
    pub fn longest_request(&self) -> usize {
        self.settings.capacity - self.settings.short_share
    }

    /// Returns the number of bytes held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Returns the largest number of bytes held so far.
    pub fn peak(&self) -> usize {
        self.peak
    }

    fn fits(&self, holder: &Holder, total: usize) -> bool {
        let more = total - holder.held;
        if self.held + more > self.settings.capacity {
            return false;
        }
        if total <= SHORT_BYTES {
            return true;
        }
        // A message that becomes long counts with all its bytes.
        let more = if holder.held > SHORT_BYTES { more } else { total };
        let response = holder.kind == Kind::Response;
        self.long + more <= self.settings.capacity - self.settings.short_share
            && !(response && self.long_responses + more > self.settings.responses)
    }

    fn set(&mut self, ticket: Ticket, total: usize) {
        let Some(holder) = self.holders.get_mut(&ticket) else { return };
        let long = |bytes: usize| if bytes > SHORT_BYTES { bytes } else { 0 };
        let before = std::mem::replace(&mut holder.held, total);
        self.held = self.held - before + total;
        self.long = self.long - long(before) + long(total);
        if holder.kind == Kind::Response {
            self.long_responses = self.long_responses - long(before) + long(total);
        }
        self.peak = self.peak.max(self.held);
    }

    /// Grants what fits in the order of arrival; a long message waits for those before it, a short
    /// one only for room.
    fn grant_waiting(&mut self) -> SmallVec<[Ticket; 2]> {
        let mut granted = SmallVec::new();
        let mut blocked = false;
        for ticket in std::mem::take(&mut self.waiting) {
            let Some(holder) = self.holders.get(&ticket) else { continue };
            // It may have grown without waiting in the meantime.
            let (wanted, short) = (holder.wanted.max(holder.held), holder.wanted <= SHORT_BYTES);
            if (short || !blocked) && self.fits(holder, wanted) {
                self.set(ticket, wanted);
                granted.push(ticket);
            } else {
                blocked |= !short;
                self.waiting.push_back(ticket);
            }
        }
        granted
    }
}
